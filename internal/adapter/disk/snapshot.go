package disk

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"strings"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/cuminwing/cuminwing/internal/raft"
)

// A snapshot file consists of the file header, the length of the metadata, the
// CRC-32C of metadata and data, the metadata, and the data.
const snapshotPreambleBytes = 4 + 4

// SaveSnapshot writes a snapshot and removes the files that it makes obsolete.
func (s *Store) SaveSnapshot(snapshot raft.Snapshot) error {
	if s.writeErr != nil {
		return ErrFailed
	}
	if err := s.installSnapshot(&snapshot); err != nil {
		s.writeErr = err
		return fmt.Errorf("write snapshot: %w", err)
	}
	return nil
}

func (s *Store) installSnapshot(snapshot *raft.Snapshot) error {
	if err := s.WriteSnapshot(snapshot); err != nil {
		return err
	}
	return s.activateSnapshot(snapshot.SnapshotMeta)
}

// WriteSnapshot writes a snapshot file, which a restart may load from then on.
// It may run concurrently with other methods, so that writing a large state does
// not delay log writes.
func (s *Store) WriteSnapshot(snapshot *raft.Snapshot) error {
	meta := encodeMeta(snapshot.SnapshotMeta)
	preamble := make([]byte, snapshotPreambleBytes)
	binary.LittleEndian.PutUint32(preamble, uint32(len(meta)))
	sum := crc32.Update(crc32.Checksum(meta, castagnoli), castagnoli, snapshot.Data)
	binary.LittleEndian.PutUint32(preamble[4:], sum)
	header := encodeFileHeader(snapshotMagic, snapshot.Index)
	return s.writeFileAtomic(s.snapshotPath(snapshot.Index), header, preamble, meta, snapshot.Data)
}

// ActivateSnapshot makes a snapshot that WriteSnapshot has written the current
// one, unless a newer snapshot has been received from the leader in the
// meantime.
func (s *Store) ActivateSnapshot(meta raft.SnapshotMeta) error {
	if s.writeErr != nil {
		return ErrFailed
	}
	if meta.Index <= s.snapshot.Index {
		return s.removeOldSnapshots()
	}
	if err := s.activateSnapshot(meta); err != nil {
		s.writeErr = err
		return fmt.Errorf("remove files made obsolete by the snapshot: %w", err)
	}
	return nil
}

func (s *Store) activateSnapshot(meta raft.SnapshotMeta) error {
	s.snapshot = meta
	if err := s.removeOldSnapshots(); err != nil {
		return err
	}
	return s.removeObsoleteSegments()
}

func (s *Store) snapshotPath(index uint64) string {
	return filepath.Join(s.dir, fmt.Sprintf("%s%016x", snapshotPrefix, index))
}

// removeOldSnapshots removes all snapshots older than the current one.
func (s *Store) removeOldSnapshots() error {
	names, err := s.listFiles(snapshotPrefix)
	if err != nil {
		return err
	}
	current := filepath.Base(s.snapshotPath(s.snapshot.Index))
	for _, name := range names {
		if name >= current || strings.HasSuffix(name, tempSuffix) {
			continue
		}
		if err := s.remove(filepath.Join(s.dir, name)); err != nil {
			return err
		}
	}
	return nil
}

// loadSnapshot reads the newest snapshot.
func (s *Store) loadSnapshot() (raft.SnapshotMeta, []byte, error) {
	names, err := s.listFiles(snapshotPrefix)
	if err != nil || len(names) == 0 {
		return raft.SnapshotMeta{}, nil, err
	}
	path := filepath.Join(s.dir, names[len(names)-1])
	file, err := os.ReadFile(path)
	if err != nil {
		return raft.SnapshotMeta{}, nil, err
	}
	return decodeSnapshot(path, file)
}

func decodeSnapshot(path string, file []byte) (raft.SnapshotMeta, []byte, error) {
	var meta raft.SnapshotMeta
	index, err := decodeFileHeader(path, snapshotMagic, file)
	if err != nil {
		return meta, nil, err
	}
	rest := file[headerBytes:]
	damaged := &CorruptError{path, headerBytes, "snapshot is truncated or damaged"}
	if len(rest) < snapshotPreambleBytes {
		return meta, nil, damaged
	}
	size := int64(binary.LittleEndian.Uint32(rest))
	content := rest[snapshotPreambleBytes:]
	if size > int64(len(content)) || crc32.Checksum(content, castagnoli) != binary.LittleEndian.Uint32(rest[4:]) {
		return meta, nil, damaged
	}
	meta, err = decodeMeta(content[:size])
	data := content[size:]
	if err != nil || meta.Index != index || meta.Size != uint64(len(data)) {
		return meta, nil, damaged
	}
	return meta, data, nil
}

func encodeMeta(m raft.SnapshotMeta) []byte {
	buf := protowire.AppendVarint(nil, m.Index)
	buf = protowire.AppendVarint(buf, m.Term)
	buf = protowire.AppendVarint(buf, m.Size)
	return protowire.AppendBytes(buf, m.Members.Encode())
}

func decodeMeta(data []byte) (raft.SnapshotMeta, error) {
	p := &fieldReader{data: data}
	m := raft.SnapshotMeta{Index: p.varint(), Term: p.varint(), Size: p.varint()}
	members := p.bytes()
	if p.err != nil {
		return m, p.err
	}
	var err error
	m.Members, err = raft.DecodeMembership(members)
	return m, err
}

// ReadChunk returns up to limit bytes of the current snapshot's data, starting
// at offset. It reports false if the current snapshot does not have the given
// index, if offset is beyond its end, or if the file cannot be read.
func (s *Store) ReadChunk(index, offset uint64, limit int) ([]byte, bool) {
	if index != s.snapshot.Index || offset > s.snapshot.Size {
		return nil, false
	}
	f, err := os.Open(s.snapshotPath(index))
	if err != nil {
		return nil, false
	}
	defer func() { _ = f.Close() }()
	start := headerBytes + snapshotPreambleBytes + len(encodeMeta(s.snapshot))
	buf := make([]byte, min(uint64(limit), s.snapshot.Size-offset))
	if _, err := f.ReadAt(buf, int64(start)+int64(offset)); err != nil && err != io.EOF {
		return nil, false
	}
	return buf, true
}
