package disk

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"syscall"
	"testing"

	"github.com/cuminwing/cuminwing/internal/raft"
)

var updateSamples = flag.Bool("update", false, "regenerate the sample files in testdata")

func entries(term, first, last uint64) []raft.Entry {
	var out []raft.Entry
	for i := first; i <= last; i++ {
		out = append(out, raft.Entry{Index: i, Term: term, Kind: raft.EntryCommand, Data: []byte{byte(i), byte(term)}})
	}
	return out
}

func openStore(t *testing.T, dir string, options Options) (*Store, raft.PersistentState, []byte) {
	t.Helper()
	s, stored, data, err := Open(dir, options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s, stored, data
}

func save(t *testing.T, s *Store, r raft.Ready) {
	t.Helper()
	if err := s.Save(&r); err != nil {
		t.Fatal(err)
	}
}

// writeSampleLog writes three records after the first one of a segment. It
// returns the name of the segment file.
func writeSampleLog(t *testing.T, dir string) string {
	t.Helper()
	s, _, _ := openStore(t, dir, Options{})
	save(t, s, raft.Ready{HardState: &raft.HardState{Term: 3, Vote: "vm-1"}, Entries: entries(2, 1, 4)})
	save(t, s, raft.Ready{Entries: entries(3, 3, 5)})
	save(t, s, raft.Ready{Entries: entries(3, 6, 6)})
	name := filepath.Join(dir, s.segments[0].name)
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	return name
}

var sampleEntries = append(entries(2, 1, 2), entries(3, 3, 6)...)

// recordStarts returns the offset of each record, followed by the offset at
// which the records end.
func recordStarts(data []byte) []int {
	var starts []int
	for offset := headerBytes; offset < len(data); {
		starts = append(starts, offset)
		body, _, ok := readRecord(data[offset:])
		if !ok {
			return starts
		}
		offset += recordHeaderBytes + len(body)
	}
	return append(starts, len(data))
}

// Guards against a start that rejects a record torn by a crash at the end of the
// segment, accepts damage in the middle of the segment, or does not report the
// file and offset of the damage.
func TestDamagedSegment(t *testing.T) {
	last := 3
	tests := []struct {
		name string
		// damage modifies the content of the file. starts has the offsets of
		// its records.
		damage func(data []byte, starts []int) []byte
		// kept is the number of remaining entries, -1 if the file must be
		// rejected.
		kept int
		// record is the record whose offset the error must report.
		record int
	}{
		{"undamaged", func(d []byte, _ []int) []byte { return d }, 6, 0},
		{"last record cut in the header", func(d []byte, starts []int) []byte { return d[:starts[last]+7] }, 5, 0},
		{"last record cut in the body", func(d []byte, starts []int) []byte { return d[:len(d)-1] }, 5, 0},
		{"last record half written", func(d []byte, starts []int) []byte { clear(d[starts[last]+24:]); return d }, 5, 0},
		{"zeros after the end", func(d []byte, _ []int) []byte { return append(d, make([]byte, 600)...) }, 6, 0},
		{"bit flip in a body", func(d []byte, starts []int) []byte { d[starts[2]+recordHeaderBytes+3] ^= 1; return d }, -1, 2},
		{"bit flip in a length", func(d []byte, starts []int) []byte { d[starts[2]+1] ^= 0x40; return d }, -1, 2},
		{"record overwritten with zeros", func(d []byte, starts []int) []byte { clear(d[starts[1]:starts[2]]); return d }, -1, 1},
		{"record missing", func(d []byte, starts []int) []byte { return append(d[:starts[1]], d[starts[2]:]...) }, -1, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			dir := t.TempDir()
			name := writeSampleLog(t, dir)
			data, err := os.ReadFile(name)
			if err != nil {
				t.Fatal(err)
			}
			starts := recordStarts(data)
			if err := os.WriteFile(name, tt.damage(data, starts), fileMode); err != nil {
				t.Fatal(err)
			}
			for range 2 {
				s, stored, _, err := Open(dir, Options{})
				if tt.kept < 0 {
					var corrupt *CorruptError
					if !errors.As(err, &corrupt) || corrupt.File != name || corrupt.Offset != int64(starts[tt.record]) {
						t.Fatalf("got error %v, want a CorruptError for %s at offset %d", err, name, starts[tt.record])
					}
					return
				}
				if err != nil {
					t.Fatal(err)
				}
				if !reflect.DeepEqual(stored.Entries, sampleEntries[:tt.kept]) {
					t.Fatalf("loaded the wrong entries: %v", stored.Entries)
				}
				// The second start reads the truncated file and the segment after it.
				_ = s.Close()
			}
		})
	}
}

// Guards against a start that accepts a damaged segment other than the last one,
// or a missing segment.
func TestDamagedOldSegment(t *testing.T) {
	for _, remove := range []bool{false, true} {
		dir := t.TempDir()
		s, _, _ := openStore(t, dir, Options{SegmentBytes: 1})
		for i := uint64(1); i <= 4; i++ {
			save(t, s, raft.Ready{Entries: entries(1, i, i)})
		}
		name := filepath.Join(dir, s.segments[2].name)
		_ = s.Close()
		if remove {
			_ = os.Remove(name)
		} else {
			_ = os.Truncate(name, headerBytes+recordHeaderBytes+2)
		}
		_, _, _, err := Open(dir, Options{})
		var corrupt *CorruptError
		if !errors.As(err, &corrupt) {
			t.Fatalf("segment removed: %v: got error %v, want a CorruptError", remove, err)
		}
	}
}

// faultyFile is a File that fails according to a faultPlan.
type faultyFile struct {
	File
	plan *faultPlan
}

type faultPlan struct {
	writes, syncs       int
	failWrite, failSync int
	partial             bool
	err                 error
}

func (f faultyFile) Write(p []byte) (int, error) {
	f.plan.writes++
	if f.plan.writes == f.plan.failWrite {
		n := 0
		if f.plan.partial {
			n, _ = f.File.Write(p[:len(p)/2])
		}
		return n, f.plan.err
	}
	return f.File.Write(p)
}

func (f faultyFile) Sync() error {
	f.plan.syncs++
	if f.plan.syncs == f.plan.failSync {
		return f.plan.err
	}
	return f.File.Sync()
}

// Guards against a store that accepts writes after a failed write or sync, or
// that cannot be opened after a restart.
func TestWriteFaults(t *testing.T) {
	tests := []struct {
		name string
		plan faultPlan
		// atLeast is the minimum number of entries after a restart.
		atLeast int
	}{
		{"sync fails", faultPlan{failSync: 4, err: syscall.EIO}, 1},
		{"disk full", faultPlan{failWrite: 4, err: syscall.ENOSPC}, 1},
		{"disk full within a record", faultPlan{failWrite: 4, partial: true, err: syscall.ENOSPC}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			dir := t.TempDir()
			s, _, _ := openStore(t, dir, Options{Open: func(name string, flag int) (File, error) {
				f, err := openFile(name, flag)
				return faultyFile{f, &tt.plan}, err
			}})
			save(t, s, raft.Ready{Entries: entries(1, 1, 1)})
			err := s.Save(&raft.Ready{Entries: entries(1, 2, 2)})
			if !errors.Is(err, tt.plan.err) {
				t.Fatalf("save with an injected fault returned %v, want %v", err, tt.plan.err)
			}
			if err := s.Save(&raft.Ready{Entries: entries(1, 2, 2)}); !errors.Is(err, ErrFailed) {
				t.Fatalf("the next save returned %v, want ErrFailed", err)
			}
			if err := s.SaveSnapshot(raft.Snapshot{SnapshotMeta: raft.SnapshotMeta{Index: 1, Term: 1}}); !errors.Is(err, ErrFailed) {
				t.Fatalf("the next snapshot returned %v, want ErrFailed", err)
			}
			_ = s.Close()
			_, stored, _ := openStore(t, dir, Options{})
			if len(stored.Entries) < tt.atLeast {
				t.Fatalf("loaded %d entries after the restart, want at least %d", len(stored.Entries), tt.atLeast)
			}
		})
	}
}

func snapshotAt(index, term uint64) raft.Snapshot {
	data := []byte("state of the machine")
	members := raft.NewVoters(map[string]string{"vm-1": "127.0.0.1:1"})
	return raft.Snapshot{
		SnapshotMeta: raft.SnapshotMeta{Index: index, Term: term, Members: members, Size: uint64(len(data))},
		Data:         data,
	}
}

// Guards against a snapshot that loses entries or restores removed ones. It
// covers snapshots taken locally and received from the leader, and a crash right
// after the rename of the snapshot file.
func TestSnapshots(t *testing.T) {
	tests := []struct {
		name     string
		snapshot raft.Snapshot
		// received is true if the snapshot came from the leader. crash is true
		// if only the snapshot file was written before a crash.
		received, crash bool
		next            []raft.Entry
		want            []raft.Entry
	}{
		{"taken locally", snapshotAt(4, 3), false, false, entries(3, 7, 7), append(entries(3, 5, 6), entries(3, 7, 7)...)},
		{"received beyond the log", snapshotAt(9, 4), true, false, entries(4, 10, 10), entries(4, 10, 10)},
		{"received beyond the log, crash", snapshotAt(9, 4), true, true, entries(4, 10, 10), entries(4, 10, 10)},
		{"received over a conflict", snapshotAt(4, 4), true, false, entries(4, 5, 5), entries(4, 5, 5)},
		{"received over a conflict, crash", snapshotAt(4, 4), true, true, entries(4, 5, 5), entries(4, 5, 5)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			dir := t.TempDir()
			writeSampleLog(t, dir)
			s, _, _ := openStore(t, dir, Options{})
			switch {
			case tt.received && !tt.crash:
				save(t, s, raft.Ready{Snapshot: &tt.snapshot})
			default:
				if err := s.SaveSnapshot(tt.snapshot); err != nil {
					t.Fatal(err)
				}
			}
			if tt.crash {
				_ = s.Close()
				s, _, _ = openStore(t, dir, Options{})
			}
			save(t, s, raft.Ready{Entries: tt.next})
			checkChunks(t, s, tt.snapshot)
			_ = s.Close()
			_, stored, data := openStore(t, dir, Options{})
			if !reflect.DeepEqual(stored.Entries, tt.want) || !reflect.DeepEqual(stored.Snapshot, tt.snapshot.SnapshotMeta) {
				t.Fatalf("loaded %+v, want entries %v", stored, tt.want)
			}
			if string(data) != string(tt.snapshot.Data) {
				t.Fatalf("loaded the wrong snapshot data: %q", data)
			}
		})
	}
}

func checkChunks(t *testing.T, s *Store, snapshot raft.Snapshot) {
	t.Helper()
	var got []byte
	for uint64(len(got)) < snapshot.Size {
		chunk, ok := s.ReadChunk(snapshot.Index, uint64(len(got)), 7)
		if !ok || len(chunk) == 0 {
			t.Fatalf("no snapshot chunk at offset %d", len(got))
		}
		got = append(got, chunk...)
	}
	if string(got) != string(snapshot.Data) {
		t.Fatalf("chunks add up to the wrong snapshot data: %q", got)
	}
}

// Guards against a start from a damaged snapshot, and against two processes that
// use the same directory.
func TestOpenRejectsDamagedSnapshotAndSecondProcess(t *testing.T) {
	dir := t.TempDir()
	s, _, _ := openStore(t, dir, Options{})
	if _, _, _, err := Open(dir, Options{}); err == nil {
		t.Fatal("a directory that is already open was opened a second time")
	}
	if err := s.SaveSnapshot(snapshotAt(1, 1)); err != nil {
		t.Fatal(err)
	}
	_ = s.Close()
	name := s.snapshotPath(1)
	data, _ := os.ReadFile(name)
	data[len(data)-1] ^= 1
	_ = os.WriteFile(name, data, fileMode)
	if _, _, _, err := Open(dir, Options{}); err == nil || !strings.Contains(err.Error(), name) {
		t.Fatalf("got error %v, want one that names the damaged snapshot %s", err, name)
	}
}

// Guards against a change that makes files of format version 1 unreadable.
func TestFormatVersion1(t *testing.T) {
	sample := filepath.Join("testdata", "version-1")
	if *updateSamples {
		writeSampleFiles(t, sample)
	}
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS(sample)); err != nil {
		t.Fatal(err)
	}
	_, stored, data := openStore(t, dir, Options{})
	want := raft.PersistentState{
		HardState: raft.HardState{Term: 3, Vote: "vm-1"},
		Snapshot:  snapshotAt(2, 2).SnapshotMeta,
		Entries:   entries(3, 3, 6),
	}
	if !reflect.DeepEqual(stored, want) || string(data) != "state of the machine" {
		t.Fatalf("loaded the wrong state: %+v, snapshot data %q", stored, data)
	}
}

func writeSampleFiles(t *testing.T, dir string) {
	t.Helper()
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	writeSampleLog(t, dir)
	s, _, _ := openStore(t, dir, Options{})
	if err := s.SaveSnapshot(snapshotAt(2, 2)); err != nil {
		t.Fatal(err)
	}
	_ = s.Close()
	_ = os.Remove(filepath.Join(dir, lockFileName))
}

// Guards against the loss of acknowledged entries after two power losses in a row: the
// first leaves a segment with a header and no record, which the next start writes anew.
func TestSegmentThatIsWrittenAnewIsKept(t *testing.T) {
	dir := t.TempDir()
	name := writeSampleLog(t, dir)
	data, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	next := uint64(len(recordStarts(data)))
	empty := filepath.Join(dir, fmt.Sprintf("%s%016x", segmentPrefix, next))
	if err := os.WriteFile(empty, encodeFileHeader(segmentMagic, next), fileMode); err != nil {
		t.Fatal(err)
	}
	s, _, _ := openStore(t, dir, Options{})
	save(t, s, raft.Ready{Entries: entries(3, 7, 9)})
	if err := s.SaveSnapshot(raft.Snapshot{SnapshotMeta: raft.SnapshotMeta{Index: 6, Term: 3}}); err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	_, stored, _ := openStore(t, dir, Options{})
	if want := entries(3, 7, 9); !reflect.DeepEqual(stored.Entries, want) {
		t.Errorf("entries after the restart are %v, want %v", stored.Entries, want)
	}
}

// Guards against a log that cannot be opened after a power loss: each file that was
// removed without a sync of the directory may be back, so that the segments would have
// a gap.
func TestPowerLossWhileSegmentsAreRemovedLeavesNoGap(t *testing.T) {
	dir := t.TempDir()
	for i := range uint64(4) {
		s, _, _ := openStore(t, dir, Options{})
		save(t, s, raft.Ready{Entries: entries(1, i+1, i+1)})
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
	}
	listSegments := func() []string {
		names, err := filepath.Glob(filepath.Join(dir, segmentPrefix+"*"))
		if err != nil {
			t.Fatal(err)
		}
		return names
	}
	removing, durable := false, 0
	s, _, _ := openStore(t, dir, Options{SyncDir: func(string) error {
		if left := len(listSegments()); removing && durable-left > 1 {
			t.Errorf("%d segments were removed between two syncs of the directory", durable-left)
		}
		durable = len(listSegments())
		return nil
	}})
	removing, durable = true, len(listSegments())
	if err := s.SaveSnapshot(raft.Snapshot{SnapshotMeta: raft.SnapshotMeta{Index: 4, Term: 1}}); err != nil {
		t.Fatal(err)
	}
	if left := len(listSegments()); left != 1 {
		t.Errorf("%d segments are left, want 1", left)
	}
}
