// Package statefile stores small pieces of state in the data folder, each in a
// file of its own. A file is replaced atomically: the new state is written to a
// temporary file, synced and renamed, so that a crash leaves either the old or
// the new state.
package statefile

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// The header consists of the magic, the format version, the CRC-32C of the
// payload and the length of the payload.
const (
	magic         = "CWST"
	formatVersion = 1
	headerBytes   = len(magic) + 1 + 4 + 8
)

const (
	filePerm = 0o600
	dirPerm  = 0o700
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// CorruptError reports a file whose content is not a valid state.
type CorruptError struct{ File, Reason string }

// Error implements error.
func (e *CorruptError) Error() string { return e.File + ": " + e.Reason }

// Write atomically replaces the state in file. When it returns nil, the state is
// durable.
func Write(file string, payload []byte) error {
	dir := filepath.Dir(file)
	if err := os.MkdirAll(dir, dirPerm); err != nil {
		return fmt.Errorf("create data folder: %w", err)
	}
	temp := file + ".new"
	if err := writeSynced(temp, encode(payload)); err != nil {
		return fmt.Errorf("write %s: %w", temp, err)
	}
	if err := os.Rename(temp, file); err != nil {
		return fmt.Errorf("replace %s: %w", file, err)
	}
	return syncDir(dir)
}

// Read returns the state in file. The error wraps os.ErrNotExist if the file does
// not exist, and is a *CorruptError if its content is not a valid state.
func Read(file string) ([]byte, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read state file: %w", err)
	}
	payload, err := Decode(data)
	if err != nil {
		return nil, &CorruptError{File: file, Reason: err.Error()}
	}
	return payload, nil
}

func encode(payload []byte) []byte {
	buf := make([]byte, 0, headerBytes+len(payload))
	buf = append(buf, magic...)
	buf = append(buf, formatVersion)
	buf = binary.LittleEndian.AppendUint32(buf, crc32.Checksum(payload, castagnoli))
	buf = binary.LittleEndian.AppendUint64(buf, uint64(len(payload)))
	return append(buf, payload...)
}

// Decode verifies the content of a state file and returns the payload.
func Decode(data []byte) ([]byte, error) {
	if len(data) < headerBytes {
		return nil, errors.New("file is shorter than the header of a state file")
	}
	if string(data[:len(magic)]) != magic {
		return nil, errors.New("file does not start with the magic of a cuminwing state file")
	}
	rest := data[len(magic):]
	if rest[0] != formatVersion {
		return nil, fmt.Errorf("unsupported format version %d, want %d", rest[0], formatVersion)
	}
	sum := binary.LittleEndian.Uint32(rest[1:])
	size := binary.LittleEndian.Uint64(rest[5:])
	payload := data[headerBytes:]
	if uint64(len(payload)) != size {
		return nil, fmt.Errorf("payload has %d bytes, but the header says %d", len(payload), size)
	}
	if crc32.Checksum(payload, castagnoli) != sum {
		return nil, errors.New("checksum of the payload does not match the header")
	}
	return payload, nil
}

func writeSynced(file string, data []byte) (err error) {
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, filePerm)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	if _, err = f.Write(data); err != nil {
		return err
	}
	return f.Sync()
}

func syncDir(dir string) (err error) {
	f, err := os.Open(dir)
	if err != nil {
		return fmt.Errorf("open data folder: %w", err)
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	return f.Sync()
}
