package disk

import (
	"io"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// File is an open file that is written. Tests replace it to inject faults.
type File interface {
	io.Writer
	Sync() error
	Truncate(size int64) error
	Close() error
}

// OpenFunc opens a file for writing, creating it if needed.
type OpenFunc func(name string, flag int) (File, error)

const (
	fileMode   = 0o600
	folderMode = 0o700
)

func openFile(name string, flag int) (File, error) {
	return os.OpenFile(name, flag|os.O_CREATE, fileMode)
}

// syncFolder makes creations, renames and removals in a folder durable.
func syncFolder(name string) error {
	folder, err := os.Open(name)
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}

// writeAtomic writes a file beside name, syncs it and renames it.
func (s *Store) writeAtomic(name string, parts ...[]byte) error {
	temporary := name + temporarySuffix
	f, err := s.open(temporary, os.O_WRONLY|os.O_TRUNC)
	if err != nil {
		return err
	}
	for _, part := range parts {
		if err == nil {
			_, err = f.Write(part)
		}
	}
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return err
	}
	if err := os.Rename(temporary, name); err != nil {
		return err
	}
	return syncFolder(filepath.Dir(name))
}
