// Package disk stores the control log of one replica in files: segments of
// records, and snapshots of the state machine.
package disk

import (
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/cuminwing/cuminwing/internal/raft"
)

// FormatVersion is the format version of the segment and snapshot files.
const FormatVersion = 1

const (
	segmentMagic   = "CUMINLOG"
	snapshotMagic  = "CUMINSNP"
	segmentPrefix  = "log-"
	snapshotPrefix = "snapshot-"
	tempSuffix     = ".tmp"
	lockFileName   = "lock"
	// newMarkerName is the name of an empty file that exists until the replica
	// has finished bootstrapping.
	newMarkerName = "new"
	// headerBytes is the size of a file header: magic, format version, four
	// unused bytes, and the number of the first record of a segment or the
	// index of a snapshot.
	headerBytes = 8 + 4 + 4 + 8
	// defaultSegmentBytes is the segment size at which the next Save starts a
	// new segment.
	defaultSegmentBytes = 8 << 20
)

// Options configures a Store. The zero value selects the defaults.
type Options struct {
	// SegmentBytes is the segment size at which the next Save starts a new
	// segment. Zero means 8 MiB.
	SegmentBytes int64
	// Open opens files for writing. Nil means os.OpenFile.
	Open OpenFunc
	// SyncDir syncs a directory. Nil means fsync. Only tests set it.
	SyncDir func(name string) error
	// Rename and Remove replace os.Rename and os.Remove. Only tests set them.
	Rename func(from, to string) error
	Remove func(name string) error
}

// CorruptError reports damage to a file that a crash cannot have caused.
type CorruptError struct {
	File   string
	Offset int64
	Reason string
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s: offset %d: %s", e.File, e.Offset, e.Reason)
}

// ErrFailed is returned by all writes after a write or sync has failed. What a
// failed sync has left on disk is unknown until the files are read again.
var ErrFailed = errors.New("disk: writes are disabled because an earlier write or sync failed")

// segment describes a segment file.
type segment struct {
	name string
	// firstRecord is the number of the first record.
	firstRecord uint64
	// lastEntry is the highest entry index, 0 if there are no entries.
	lastEntry uint64
}

// Store stores the log and the snapshots of one replica. Apart from
// WriteSnapshot, its methods are not safe for concurrent use.
type Store struct {
	dir          string
	open         OpenFunc
	syncDir      func(name string) error
	rename       func(from, to string) error
	remove       func(name string) error
	segmentBytes int64
	lockFile     *os.File
	segments     []segment
	segmentFile  File
	segmentSize  int64
	// nextRecord is the number of the next record to write.
	nextRecord uint64
	hardState  raft.HardState
	snapshot   raft.SnapshotMeta
	buffer     []byte
	writeErr   error
}

// Open reads the files in dir and returns the stored state and the data of the
// newest snapshot. It creates dir if it does not exist.
func Open(dir string, options Options) (*Store, raft.PersistentState, []byte, error) {
	s := &Store{
		dir: dir, open: options.Open, syncDir: options.SyncDir, rename: options.Rename, remove: options.Remove,
		segmentBytes: options.SegmentBytes, nextRecord: 1,
	}
	if s.open == nil {
		s.open = openFile
	}
	if s.syncDir == nil {
		s.syncDir = syncDir
	}
	if s.rename == nil {
		s.rename = os.Rename
	}
	if s.remove == nil {
		s.remove = os.Remove
	}
	if s.segmentBytes == 0 {
		s.segmentBytes = defaultSegmentBytes
	}
	stored, data, err := s.load()
	if err != nil {
		_ = s.Close()
		return nil, raft.PersistentState{}, nil, fmt.Errorf("open control log in %s: %w", dir, err)
	}
	return s, stored, data, nil
}

func (s *Store) load() (raft.PersistentState, []byte, error) {
	var stored raft.PersistentState
	if err := s.prepareDir(); err != nil {
		return stored, nil, err
	}
	isNew, err := s.ensureNewMarker()
	if err != nil {
		return stored, nil, err
	}
	meta, data, err := s.loadSnapshot()
	if err != nil {
		return stored, nil, err
	}
	s.snapshot = meta
	entries, err := s.loadSegments()
	if err != nil {
		return stored, nil, err
	}
	kept, err := s.entriesAfterSnapshot(entries)
	if err != nil {
		return stored, nil, err
	}
	stored = raft.PersistentState{HardState: s.hardState, Snapshot: meta, Entries: kept, Bootstrapping: isNew}
	// The discarded entries must not be loaded again at the next start.
	reset := len(entries) > 0 && len(kept) == 0
	return stored, data, s.startSegment(reset)
}

func (s *Store) prepareDir() error {
	if err := os.MkdirAll(s.dir, dirMode); err != nil {
		return err
	}
	if err := s.syncDir(filepath.Dir(s.dir)); err != nil {
		return err
	}
	lock, err := os.OpenFile(filepath.Join(s.dir, lockFileName), os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return err
	}
	s.lockFile = lock
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return fmt.Errorf("lock directory (another process may be using it): %w", err)
	}
	if err := s.removeTempFiles(); err != nil {
		return err
	}
	// An earlier process may have renamed a snapshot without a sync. Nothing that
	// depends on the snapshot may become durable before it.
	return s.syncDir(s.dir)
}

// ensureNewMarker creates the marker file if there are no segments. It reports
// whether the marker exists.
func (s *Store) ensureNewMarker() (bool, error) {
	path := filepath.Join(s.dir, newMarkerName)
	if _, err := os.Stat(path); err == nil {
		return true, nil
	}
	segments, err := s.listFiles(segmentPrefix)
	if err != nil || len(segments) > 0 {
		return false, err
	}
	return true, s.writeFileAtomic(path)
}

// removeNewMarker removes the marker file, so that the replica is allowed to
// vote after a restart.
func (s *Store) removeNewMarker() error {
	if err := s.remove(filepath.Join(s.dir, newMarkerName)); err != nil {
		return err
	}
	return s.syncDir(s.dir)
}

func (s *Store) removeTempFiles() error {
	names, err := filepath.Glob(filepath.Join(s.dir, "*"+tempSuffix))
	if err != nil {
		return err
	}
	for _, name := range names {
		if err := s.remove(name); err != nil {
			return err
		}
	}
	return nil
}

// entriesAfterSnapshot returns the entries that follow the snapshot. If a crash
// occurred after a received snapshot was renamed and before the record that
// resets the log was written, the stored entries may end before the snapshot or
// conflict with it. It then returns none.
func (s *Store) entriesAfterSnapshot(entries []raft.Entry) ([]raft.Entry, error) {
	snapshotIndex := s.snapshot.Index
	if len(entries) == 0 || entries[len(entries)-1].Index < snapshotIndex {
		return nil, nil
	}
	first := entries[0].Index
	if first == snapshotIndex+1 {
		return entries, nil
	}
	if first > snapshotIndex+1 {
		return nil, fmt.Errorf("log entries %d to %d are missing", snapshotIndex+1, first-1)
	}
	if entries[snapshotIndex-first].Term != s.snapshot.Term {
		return nil, nil
	}
	return entries[snapshotIndex-first+1:], nil
}

// Save writes the snapshot, hard state and entries of r and syncs them. After an
// error, all further writes fail with ErrFailed.
func (s *Store) Save(r *raft.Ready) error {
	if s.writeErr != nil {
		return ErrFailed
	}
	if !r.MustSync() {
		return nil
	}
	if err := s.save(r); err != nil {
		s.writeErr = err
		return fmt.Errorf("write control log: %w", err)
	}
	return nil
}

func (s *Store) save(r *raft.Ready) error {
	if r.Snapshot != nil {
		if err := s.installSnapshot(r.Snapshot); err != nil {
			return err
		}
	}
	if r.HardState != nil {
		s.hardState = *r.HardState
	}
	if s.segmentSize >= s.segmentBytes {
		if err := s.startSegment(false); err != nil {
			return err
		}
	}
	if err := s.writeRecord(record{hardState: r.HardState, reset: r.Snapshot != nil, entries: r.Entries}); err != nil || !r.Bootstrapped {
		return err
	}
	return s.removeNewMarker()
}

func (s *Store) writeRecord(r record) error {
	s.buffer = appendRecord(s.buffer[:0], s.nextRecord, r)
	if _, err := s.segmentFile.Write(s.buffer); err != nil {
		return err
	}
	if err := s.segmentFile.Sync(); err != nil {
		return err
	}
	s.segmentSize += int64(len(s.buffer))
	s.nextRecord++
	if n := len(r.entries); n > 0 {
		current := &s.segments[len(s.segments)-1]
		current.lastEntry = max(current.lastEntry, r.entries[n-1].Index)
	}
	return nil
}

// startSegment starts a new segment. Its first record holds the hard state, so
// that older segments can be removed.
func (s *Store) startSegment(reset bool) error {
	if s.segmentFile != nil {
		if err := s.segmentFile.Close(); err != nil {
			return err
		}
	}
	name := fmt.Sprintf("%s%016x", segmentPrefix, s.nextRecord)
	path := filepath.Join(s.dir, name)
	f, err := s.open(path, os.O_WRONLY|os.O_TRUNC)
	if err != nil {
		return err
	}
	s.segmentFile = f
	if _, err := f.Write(encodeFileHeader(segmentMagic, s.nextRecord)); err != nil {
		return err
	}
	if n := len(s.segments); n == 0 || s.segments[n-1].name != name {
		// A segment without records, left by a crash, is written anew.
		s.segments = append(s.segments, segment{name: name, firstRecord: s.nextRecord})
	}
	s.segmentSize = headerBytes
	if err := s.writeRecord(record{hardState: &s.hardState, reset: reset}); err != nil {
		return err
	}
	return s.syncDir(s.dir)
}

func encodeFileHeader(magic string, number uint64) []byte {
	h := make([]byte, headerBytes)
	copy(h, magic)
	binary.LittleEndian.PutUint32(h[8:], FormatVersion)
	binary.LittleEndian.PutUint64(h[16:], number)
	return h
}

// decodeFileHeader checks the magic and the format version of a file and returns
// the number in its header.
func decodeFileHeader(path, magic string, data []byte) (uint64, error) {
	if len(data) < headerBytes || string(data[:8]) != magic {
		return 0, &CorruptError{path, 0, "file header is truncated or has the wrong magic"}
	}
	switch v := binary.LittleEndian.Uint32(data[8:]); v {
	case FormatVersion:
	case 0:
		return 0, &CorruptError{path, 0, "file header has no format version"}
	default:
		return 0, fmt.Errorf("%s: unsupported format version %d, want %d", path, v, FormatVersion)
	}
	return binary.LittleEndian.Uint64(data[16:]), nil
}

// Close closes the current segment and unlocks the directory.
func (s *Store) Close() error {
	var err error
	if s.segmentFile != nil {
		err = s.segmentFile.Close()
		s.segmentFile = nil
	}
	if s.lockFile != nil {
		err = errors.Join(err, s.lockFile.Close())
		s.lockFile = nil
	}
	return err
}

func (s *Store) listFiles(prefix string) ([]string, error) {
	files, err := os.ReadDir(s.dir)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, f := range files {
		if strings.HasPrefix(f.Name(), prefix) {
			names = append(names, f.Name())
		}
	}
	return names, nil
}
