package disk

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/cuminwing/cuminwing/internal/raft"
)

// loadSegments replays all segments in order and truncates a torn record at the
// end of the last one.
func (s *Store) loadSegments() ([]raft.Entry, error) {
	names, err := s.listFiles(segmentPrefix)
	if err != nil {
		return nil, err
	}
	r := &replayer{store: s}
	for i, name := range names {
		if err := r.replaySegment(name, i == 0, i == len(names)-1); err != nil {
			return nil, err
		}
	}
	return r.entries, nil
}

// replayer rebuilds the hard state and the log entries from records.
type replayer struct {
	store   *Store
	entries []raft.Entry
}

func (r *replayer) replaySegment(name string, first, last bool) error {
	path := filepath.Join(r.store.dir, name)
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	number, err := decodeSegmentHeader(path, data)
	var corrupt *CorruptError
	if last && errors.As(err, &corrupt) && !containsLaterRecord(data, r.store.nextRecord) {
		return r.removeUnfinished(path)
	}
	if err != nil {
		return err
	}
	if first {
		r.store.nextRecord = number
	}
	if number != r.store.nextRecord {
		return &CorruptError{path, 0, fmt.Sprintf("segment starts with record %d, want %d", number, r.store.nextRecord)}
	}
	r.store.segments = append(r.store.segments, segment{name: name, firstRecord: number})
	if err := r.replayRecords(path, data, last); err != nil {
		return err
	}
	return r.store.syncFile(path)
}

// decodeSegmentHeader checks the file header of a segment and returns the number of
// its first record.
func decodeSegmentHeader(path string, data []byte) (uint64, error) {
	number, err := decodeFileHeader(path, segmentMagic, data)
	if err == nil && filepath.Base(path) != fmt.Sprintf("%s%016x", segmentPrefix, number) {
		err = &CorruptError{path, 0, "record number in the file name differs from the one in the file header"}
	}
	return number, err
}

// removeUnfinished removes a segment whose creation a crash has interrupted: its file
// header is damaged, and it holds no record after its first one, which repeats the
// hard state. A crash may keep that record without the header, because both are synced
// together. No vote or acknowledgement can depend on such a segment.
func (r *replayer) removeUnfinished(path string) error {
	if err := r.store.remove(path); err != nil {
		return err
	}
	return r.store.syncDir(r.store.dir)
}

func (r *replayer) replayRecords(path string, data []byte, last bool) error {
	offset := int64(headerBytes)
	for offset < int64(len(data)) {
		body, number, ok := readRecord(data[offset:])
		if !ok {
			return r.truncateTornTail(path, data, offset, last)
		}
		if number != r.store.nextRecord {
			return &CorruptError{path, offset, fmt.Sprintf("record number is %d, want %d", number, r.store.nextRecord)}
		}
		rec, err := decodeBody(body)
		if err != nil {
			return &CorruptError{path, offset, err.Error()}
		}
		if err := r.apply(rec); err != nil {
			return &CorruptError{path, offset, err.Error()}
		}
		r.store.nextRecord++
		offset += recordHeaderBytes + int64(len(body))
	}
	return nil
}

// truncateTornTail truncates the last segment at a damaged record. A record torn
// by a crash was never synced, so no later record follows it. If a later record
// exists, synced data is damaged, and truncateTornTail returns a CorruptError:
// starting without that data could revoke a vote or an acknowledgement.
func (r *replayer) truncateTornTail(path string, data []byte, offset int64, last bool) error {
	if !last || containsLaterRecord(data[offset+1:], r.store.nextRecord) {
		return &CorruptError{path, offset, "record is damaged"}
	}
	f, err := r.store.open(path, os.O_WRONLY)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return f.Truncate(offset)
}

func (r *replayer) apply(rec record) error {
	if rec.hardState != nil {
		r.store.hardState = *rec.hardState
	}
	if rec.reset {
		r.entries = nil
	}
	for _, e := range rec.entries {
		if err := r.appendEntry(e); err != nil {
			return err
		}
		current := &r.store.segments[len(r.store.segments)-1]
		current.lastEntry = max(current.lastEntry, e.Index)
	}
	return nil
}

// appendEntry appends an entry. If the log already has an entry with the same
// index, the new entry replaces it and all entries after it.
func (r *replayer) appendEntry(e raft.Entry) error {
	if len(r.entries) == 0 {
		r.entries = append(r.entries, e)
		return nil
	}
	first := r.entries[0].Index
	next := first + uint64(len(r.entries))
	switch {
	case e.Index > next:
		return fmt.Errorf("gap in the log: entry %d follows entry %d", e.Index, next-1)
	case e.Index <= first:
		r.entries = append(r.entries[:0], e)
	default:
		r.entries = append(r.entries[:e.Index-first], e)
	}
	return nil
}

// removeObsoleteSegments removes the oldest segments, as long as the snapshot
// covers all their entries. It syncs the directory after each removal: otherwise a
// power loss could bring back a segment that is followed by a removed one.
func (s *Store) removeObsoleteSegments() error {
	for len(s.segments) > 1 && s.segments[0].lastEntry <= s.snapshot.Index {
		if err := s.remove(filepath.Join(s.dir, s.segments[0].name)); err != nil {
			return err
		}
		s.segments = s.segments[1:]
		if err := s.syncDir(s.dir); err != nil {
			return err
		}
	}
	return nil
}
