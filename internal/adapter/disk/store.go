// Package disk keeps the control log of one voter in files: segments of
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

// FormatVersion is the version of segments and snapshots that Store writes.
const FormatVersion = 1

const (
	segmentMagic    = "CUMINLOG"
	snapshotMagic   = "CUMINSNP"
	segmentPrefix   = "log-"
	snapshotPrefix  = "snapshot-"
	temporarySuffix = ".tmp"
	lockName        = "lock"
	// newName is a file that exists until the replica is formed.
	newName = "new"
	// headerBytes is magic, version, four unused bytes and a number: that of
	// the first record of a segment, or the index of a snapshot.
	headerBytes = 8 + 4 + 4 + 8
	// defaultSegmentBytes is the size at which a segment is closed.
	defaultSegmentBytes = 8 << 20
)

// Options of a store; the zero value is for use.
type Options struct {
	// SegmentBytes is the size at which a segment is closed.
	SegmentBytes int64
	// Open replaces how files are opened for writing.
	Open OpenFunc
}

// CorruptError reports damage that a crash cannot explain.
type CorruptError struct {
	File   string
	Offset int64
	Reason string
}

// Error names the file and the offset of the damage.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s: offset %d: %s", e.File, e.Offset, e.Reason)
}

// ErrFailed is returned by every write after one has failed: what a failed
// sync has left on disk is unknown until the files are read again.
var ErrFailed = errors.New("disk: an earlier write or sync failed")

// segment is one log file.
type segment struct {
	name string
	// first is the number of its first record.
	first uint64
	// last is its highest entry index.
	last uint64
}

// Store is the disk of one voter. It is not safe for concurrent use.
type Store struct {
	folder   string
	open     OpenFunc
	limit    int64
	lock     *os.File
	segments []segment
	file     File
	size     int64
	// number is that of the next record.
	number   uint64
	state    raft.HardState
	snapshot raft.SnapshotMeta
	buffer   []byte
	failed   error
}

// Open reads the files in folder, creating it if needed, and returns the
// stored state with the data of the newest snapshot.
func Open(folder string, options Options) (*Store, raft.Stored, []byte, error) {
	s := &Store{folder: folder, open: options.Open, limit: options.SegmentBytes, number: 1}
	if s.open == nil {
		s.open = openFile
	}
	if s.limit == 0 {
		s.limit = defaultSegmentBytes
	}
	stored, data, err := s.load()
	if err != nil {
		_ = s.Close()
		return nil, raft.Stored{}, nil, fmt.Errorf("open control log in %s: %w", folder, err)
	}
	return s, stored, data, nil
}

func (s *Store) load() (raft.Stored, []byte, error) {
	var stored raft.Stored
	if err := s.prepareFolder(); err != nil {
		return stored, nil, err
	}
	isNew, err := s.markNew()
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
	kept, err := s.after(entries)
	if err != nil {
		return stored, nil, err
	}
	stored = raft.Stored{HardState: s.state, Snapshot: meta, Entries: kept, New: isNew}
	// Entries that are left out now must not return at the next start.
	reset := len(entries) > 0 && len(kept) == 0
	return stored, data, s.startSegment(reset)
}

func (s *Store) prepareFolder() error {
	if err := os.MkdirAll(s.folder, folderMode); err != nil {
		return err
	}
	if err := syncFolder(filepath.Dir(s.folder)); err != nil {
		return err
	}
	lock, err := os.OpenFile(filepath.Join(s.folder, lockName), os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return err
	}
	s.lock = lock
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return fmt.Errorf("another process uses the folder: %w", err)
	}
	return s.removeTemporary()
}

// markNew marks an empty folder, and reports whether the folder is marked.
func (s *Store) markNew() (bool, error) {
	path := filepath.Join(s.folder, newName)
	if _, err := os.Stat(path); err == nil {
		return true, nil
	}
	segments, err := s.list(segmentPrefix)
	if err != nil || len(segments) > 0 {
		return false, err
	}
	return true, s.writeAtomic(path)
}

// removeMark makes a restart start as a voter that may vote.
func (s *Store) removeMark() error {
	if err := os.Remove(filepath.Join(s.folder, newName)); err != nil {
		return err
	}
	return syncFolder(s.folder)
}

func (s *Store) removeTemporary() error {
	names, err := filepath.Glob(filepath.Join(s.folder, "*"+temporarySuffix))
	if err != nil {
		return err
	}
	for _, name := range names {
		if err := os.Remove(name); err != nil {
			return err
		}
	}
	return nil
}

// after returns the entries that follow the snapshot. A crash between the
// rename of a received snapshot and the record that resets the log leaves
// entries that do not lead up to it or conflict with it.
func (s *Store) after(entries []raft.Entry) ([]raft.Entry, error) {
	at := s.snapshot.Index
	if len(entries) == 0 || entries[len(entries)-1].Index < at {
		return nil, nil
	}
	first := entries[0].Index
	if first == at+1 {
		return entries, nil
	}
	if first > at+1 {
		return nil, fmt.Errorf("entries %d to %d are missing", at+1, first-1)
	}
	if entries[at-first].Term != s.snapshot.Term {
		return nil, nil
	}
	return entries[at-first+1:], nil
}

// Save writes and syncs what r holds. After an error the store stays failed.
func (s *Store) Save(r *raft.Ready) error {
	if s.failed != nil {
		return ErrFailed
	}
	if !r.MustSync() {
		return nil
	}
	if err := s.save(r); err != nil {
		s.failed = err
		return fmt.Errorf("write control log: %w", err)
	}
	return nil
}

func (s *Store) save(r *raft.Ready) error {
	if r.Snapshot != nil {
		if err := s.receiveSnapshot(r.Snapshot); err != nil {
			return err
		}
	}
	if r.HardState != nil {
		s.state = *r.HardState
	}
	if s.size >= s.limit {
		if err := s.startSegment(false); err != nil {
			return err
		}
	}
	if err := s.write(record{state: r.HardState, reset: r.Snapshot != nil, entries: r.Entries}); err != nil || !r.Formed {
		return err
	}
	return s.removeMark()
}

func (s *Store) write(r record) error {
	s.buffer = appendRecord(s.buffer[:0], s.number, r)
	if _, err := s.file.Write(s.buffer); err != nil {
		return err
	}
	if err := s.file.Sync(); err != nil {
		return err
	}
	s.size += int64(len(s.buffer))
	s.number++
	if n := len(r.entries); n > 0 {
		current := &s.segments[len(s.segments)-1]
		current.last = max(current.last, r.entries[n-1].Index)
	}
	return nil
}

// startSegment opens a new segment that begins with the hard state, so that
// older segments can be removed.
func (s *Store) startSegment(reset bool) error {
	if s.file != nil {
		if err := s.file.Close(); err != nil {
			return err
		}
	}
	name := fmt.Sprintf("%s%016x", segmentPrefix, s.number)
	path := filepath.Join(s.folder, name)
	f, err := s.open(path, os.O_WRONLY|os.O_TRUNC)
	if err != nil {
		return err
	}
	s.file = f
	if _, err := f.Write(fileHeader(segmentMagic, s.number)); err != nil {
		return err
	}
	s.segments = append(s.segments, segment{name: name, first: s.number})
	s.size = headerBytes
	if err := s.write(record{state: &s.state, reset: reset}); err != nil {
		return err
	}
	return syncFolder(s.folder)
}

func fileHeader(magic string, number uint64) []byte {
	h := make([]byte, headerBytes)
	copy(h, magic)
	binary.LittleEndian.PutUint32(h[8:], FormatVersion)
	binary.LittleEndian.PutUint64(h[16:], number)
	return h
}

// checkHeader returns the number in a file header.
func checkHeader(path, magic string, data []byte) (uint64, error) {
	if len(data) < headerBytes || string(data[:8]) != magic {
		return 0, &CorruptError{path, 0, "file header is damaged"}
	}
	if v := binary.LittleEndian.Uint32(data[8:]); v != FormatVersion {
		return 0, fmt.Errorf("%s: format version is %d, want %d", path, v, FormatVersion)
	}
	return binary.LittleEndian.Uint64(data[16:]), nil
}

// Close releases the folder.
func (s *Store) Close() error {
	var err error
	if s.file != nil {
		err = s.file.Close()
		s.file = nil
	}
	if s.lock != nil {
		err = errors.Join(err, s.lock.Close())
		s.lock = nil
	}
	return err
}

func (s *Store) list(prefix string) ([]string, error) {
	files, err := os.ReadDir(s.folder)
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
