// Package statefile keeps one small state in one file of the data folder. A
// file is written beside the old one, synced and renamed, so that a crash
// leaves either the old or the new state.
package statefile

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// Layout of the header: magic, format version, CRC-32C of the payload and
// length of the payload.
const (
	magic         = "CWST"
	formatVersion = 1
	headerBytes   = len(magic) + 1 + 4 + 8
)

const (
	filePerm   = 0o600
	folderPerm = 0o700
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// CorruptError says why a file is refused.
type CorruptError struct{ File, Reason string }

// Error names the file and the reason.
func (e *CorruptError) Error() string { return e.File + ": " + e.Reason }

// Write replaces the state in file. It returns once the state is synced.
func Write(file string, payload []byte) error {
	folder := filepath.Dir(file)
	if err := os.MkdirAll(folder, folderPerm); err != nil {
		return fmt.Errorf("create data folder: %w", err)
	}
	temporary := file + ".new"
	if err := writeSynced(temporary, encode(payload)); err != nil {
		return fmt.Errorf("write %s: %w", temporary, err)
	}
	if err := os.Rename(temporary, file); err != nil {
		return fmt.Errorf("replace %s: %w", file, err)
	}
	return syncFolder(folder)
}

// Read returns the state in file. The error is os.ErrNotExist, possibly
// wrapped, if there is none, and a CorruptError if it cannot be trusted.
func Read(file string) ([]byte, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read state: %w", err)
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

// Decode checks the header of a state and returns its payload.
func Decode(data []byte) ([]byte, error) {
	if len(data) < headerBytes {
		return nil, errors.New("file is shorter than its header")
	}
	if string(data[:len(magic)]) != magic {
		return nil, errors.New("file is not a cuminwing state file")
	}
	rest := data[len(magic):]
	if rest[0] != formatVersion {
		return nil, fmt.Errorf("format version is %d, want %d", rest[0], formatVersion)
	}
	sum := binary.LittleEndian.Uint32(rest[1:])
	size := binary.LittleEndian.Uint64(rest[5:])
	payload := data[headerBytes:]
	if uint64(len(payload)) != size {
		return nil, fmt.Errorf("payload has %d bytes, want %d", len(payload), size)
	}
	if crc32.Checksum(payload, castagnoli) != sum {
		return nil, errors.New("checksum does not match")
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

func syncFolder(folder string) (err error) {
	f, err := os.Open(folder)
	if err != nil {
		return fmt.Errorf("open data folder: %w", err)
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	return f.Sync()
}
