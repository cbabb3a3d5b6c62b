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

// A snapshot file is the file header, the length of the description, the
// CRC-32C of description and data, the description, and the data.
const snapshotPreamble = 4 + 4

// SaveSnapshot writes a snapshot and removes the files that it makes
// superfluous.
func (s *Store) SaveSnapshot(snapshot raft.Snapshot) error {
	if s.failed != nil {
		return ErrFailed
	}
	if err := s.receiveSnapshot(&snapshot); err != nil {
		s.failed = err
		return fmt.Errorf("write snapshot: %w", err)
	}
	return nil
}

func (s *Store) receiveSnapshot(snapshot *raft.Snapshot) error {
	if err := s.WriteSnapshot(snapshot); err != nil {
		return err
	}
	return s.adopt(snapshot.SnapshotMeta)
}

// WriteSnapshot writes a snapshot, which a restart may then use. It may run
// while other methods do, so that a large state does not hold up the log.
func (s *Store) WriteSnapshot(snapshot *raft.Snapshot) error {
	meta := encodeMeta(snapshot.SnapshotMeta)
	preamble := make([]byte, snapshotPreamble)
	binary.LittleEndian.PutUint32(preamble, uint32(len(meta)))
	sum := crc32.Update(crc32.Checksum(meta, castagnoli), castagnoli, snapshot.Data)
	binary.LittleEndian.PutUint32(preamble[4:], sum)
	header := fileHeader(snapshotMagic, snapshot.Index)
	return s.writeAtomic(s.snapshotPath(snapshot.Index), header, preamble, meta, snapshot.Data)
}

// Adopt makes a snapshot that WriteSnapshot has written the current one,
// unless a newer one was received meanwhile.
func (s *Store) Adopt(meta raft.SnapshotMeta) error {
	if s.failed != nil {
		return ErrFailed
	}
	if meta.Index <= s.snapshot.Index {
		return s.removeSnapshots()
	}
	if err := s.adopt(meta); err != nil {
		s.failed = err
		return fmt.Errorf("adopt snapshot: %w", err)
	}
	return nil
}

func (s *Store) adopt(meta raft.SnapshotMeta) error {
	s.snapshot = meta
	if err := s.removeSnapshots(); err != nil {
		return err
	}
	return s.removeSegments()
}

func (s *Store) snapshotPath(index uint64) string {
	return filepath.Join(s.folder, fmt.Sprintf("%s%016x", snapshotPrefix, index))
}

// removeSnapshots removes every snapshot older than the current one.
func (s *Store) removeSnapshots() error {
	names, err := s.list(snapshotPrefix)
	if err != nil {
		return err
	}
	current := filepath.Base(s.snapshotPath(s.snapshot.Index))
	for _, name := range names {
		if name >= current || strings.HasSuffix(name, temporarySuffix) {
			continue
		}
		if err := os.Remove(filepath.Join(s.folder, name)); err != nil {
			return err
		}
	}
	return nil
}

// loadSnapshot reads the newest snapshot.
func (s *Store) loadSnapshot() (raft.SnapshotMeta, []byte, error) {
	names, err := s.list(snapshotPrefix)
	if err != nil || len(names) == 0 {
		return raft.SnapshotMeta{}, nil, err
	}
	path := filepath.Join(s.folder, names[len(names)-1])
	file, err := os.ReadFile(path)
	if err != nil {
		return raft.SnapshotMeta{}, nil, err
	}
	return parseSnapshot(path, file)
}

func parseSnapshot(path string, file []byte) (raft.SnapshotMeta, []byte, error) {
	var meta raft.SnapshotMeta
	index, err := checkHeader(path, snapshotMagic, file)
	if err != nil {
		return meta, nil, err
	}
	rest := file[headerBytes:]
	damaged := &CorruptError{path, headerBytes, "snapshot is damaged"}
	if len(rest) < snapshotPreamble {
		return meta, nil, damaged
	}
	size := int64(binary.LittleEndian.Uint32(rest))
	content := rest[snapshotPreamble:]
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
	p := &parser{data: data}
	m := raft.SnapshotMeta{Index: p.varint(), Term: p.varint(), Size: p.varint()}
	members := p.bytes()
	if p.err != nil {
		return m, p.err
	}
	var err error
	m.Members, err = raft.DecodeMembership(members)
	return m, err
}

// ReadChunk returns up to limit bytes of the newest snapshot's data. It
// reports false if the newest snapshot is another one.
func (s *Store) ReadChunk(index, offset uint64, limit int) ([]byte, bool) {
	if index != s.snapshot.Index || offset > s.snapshot.Size {
		return nil, false
	}
	f, err := os.Open(s.snapshotPath(index))
	if err != nil {
		return nil, false
	}
	defer func() { _ = f.Close() }()
	start := headerBytes + snapshotPreamble + len(encodeMeta(s.snapshot))
	buf := make([]byte, min(uint64(limit), s.snapshot.Size-offset))
	if _, err := f.ReadAt(buf, int64(start)+int64(offset)); err != nil && err != io.EOF {
		return nil, false
	}
	return buf, true
}
