package statefile

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"
)

// Guards against a VM that starts with a truncated or damaged state file.
func TestReadRefusesDamagedFiles(t *testing.T) {
	file := filepath.Join(t.TempDir(), "state", "config")
	payload := []byte("revision 7")
	if err := Write(file, payload); err != nil {
		t.Fatal(err)
	}
	got, err := Read(file)
	if err != nil || !bytes.Equal(got, payload) {
		t.Fatalf("read the wrong payload %q, error %v", got, err)
	}
	whole, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for cut := range whole {
		if _, err := Decode(whole[:cut]); err == nil {
			t.Fatalf("a file truncated to %d bytes was accepted", cut)
		}
		damaged := bytes.Clone(whole)
		damaged[cut] ^= 1
		if _, err := Decode(damaged); err == nil {
			t.Fatalf("a file with a flipped bit in byte %d was accepted", cut)
		}
	}
	if _, err := Read(file + ".missing"); !errors.Is(err, os.ErrNotExist) {
		t.Fatalf("read of a missing file returned error %v, want os.ErrNotExist", err)
	}
}

// Guards against panics on damaged files, and against accepting a file that Write
// cannot have written.
func FuzzDecode(f *testing.F) {
	f.Add(encode([]byte("payload")))
	f.Fuzz(func(t *testing.T, data []byte) {
		payload, err := Decode(data)
		if err == nil && !bytes.Equal(encode(payload), data) {
			t.Fatal("a file that was accepted differs from the encoding of its payload")
		}
	})
}
