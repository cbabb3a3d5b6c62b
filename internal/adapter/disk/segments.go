package disk

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/cuminwing/cuminwing/internal/raft"
)

// loadSegments replays every segment in order and cuts a torn tail.
func (s *Store) loadSegments() ([]raft.Entry, error) {
	names, err := s.list(segmentPrefix)
	if err != nil {
		return nil, err
	}
	replay := &replay{store: s}
	for i, name := range names {
		if err := replay.segment(name, i == 0, i == len(names)-1); err != nil {
			return nil, err
		}
	}
	return replay.entries, nil
}

// replay rebuilds the log from records.
type replay struct {
	store   *Store
	entries []raft.Entry
}

func (r *replay) segment(name string, first, last bool) error {
	path := filepath.Join(r.store.folder, name)
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	number, err := checkHeader(path, segmentMagic, data)
	if err != nil {
		if last && r.unfinished(data) {
			return r.removeUnfinished(path)
		}
		return err
	}
	if name != fmt.Sprintf("%s%016x", segmentPrefix, number) {
		return &CorruptError{path, 0, "file name does not match the header"}
	}
	if first {
		r.store.number = number
	}
	if number != r.store.number {
		return &CorruptError{path, 0, fmt.Sprintf("first record is %d, want %d", number, r.store.number)}
	}
	r.store.segments = append(r.store.segments, segment{name: name, first: number})
	return r.records(path, data, last)
}

// unfinished reports whether a file has neither a header nor any record.
func (r *replay) unfinished(data []byte) bool {
	header := len(data) >= headerBytes && string(data[:len(segmentMagic)]) == segmentMagic
	return !header && !laterRecord(data, r.store.number-1)
}

// removeUnfinished removes a segment whose header was not written in full
// before a crash; nothing in it was promised.
func (r *replay) removeUnfinished(path string) error {
	if err := os.Remove(path); err != nil {
		return err
	}
	return syncFolder(r.store.folder)
}

func (r *replay) records(path string, data []byte, last bool) error {
	offset := int64(headerBytes)
	for offset < int64(len(data)) {
		body, number, ok := readRecord(data[offset:])
		if !ok {
			return r.damaged(path, data, offset, last)
		}
		if number != r.store.number {
			return &CorruptError{path, offset, fmt.Sprintf("record is %d, want %d", number, r.store.number)}
		}
		rec, err := parseBody(body)
		if err != nil {
			return &CorruptError{path, offset, err.Error()}
		}
		if err := r.apply(rec); err != nil {
			return &CorruptError{path, offset, err.Error()}
		}
		r.store.number++
		offset += recordHeaderBytes + int64(len(body))
	}
	return nil
}

// damaged cuts a torn tail. The record that a crash tore was not synced, so
// nothing was written after it; a later record means that synced data is
// damaged, and to start without it could break a promise.
func (r *replay) damaged(path string, data []byte, offset int64, last bool) error {
	if !last || laterRecord(data[offset+1:], r.store.number) {
		return &CorruptError{path, offset, "record is damaged"}
	}
	f, err := r.store.open(path, os.O_WRONLY)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	if err := f.Truncate(offset); err != nil {
		return err
	}
	return f.Sync()
}

func (r *replay) apply(rec record) error {
	if rec.state != nil {
		r.store.state = *rec.state
	}
	if rec.reset {
		r.entries = nil
	}
	for _, e := range rec.entries {
		if err := r.add(e); err != nil {
			return err
		}
		current := &r.store.segments[len(r.store.segments)-1]
		current.last = max(current.last, e.Index)
	}
	return nil
}

// add appends an entry; an entry at an occupied position replaces it and all
// that follow.
func (r *replay) add(e raft.Entry) error {
	if len(r.entries) == 0 {
		r.entries = append(r.entries, e)
		return nil
	}
	first := r.entries[0].Index
	next := first + uint64(len(r.entries))
	switch {
	case e.Index > next:
		return fmt.Errorf("entry %d follows entry %d", e.Index, next-1)
	case e.Index <= first:
		r.entries = append(r.entries[:0], e)
	default:
		r.entries = append(r.entries[:e.Index-first], e)
	}
	return nil
}

// removeSegments removes the oldest segments that hold only entries up to the
// snapshot.
func (s *Store) removeSegments() error {
	removed := false
	for len(s.segments) > 1 && s.segments[0].last <= s.snapshot.Index {
		if err := os.Remove(filepath.Join(s.folder, s.segments[0].name)); err != nil {
			return err
		}
		s.segments = s.segments[1:]
		removed = true
	}
	if !removed {
		return nil
	}
	return syncFolder(s.folder)
}
