package disk

import (
	"io"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// File is a file that is open for writing. Tests replace it to inject faults.
type File interface {
	io.Writer
	Sync() error
	Truncate(size int64) error
	Close() error
}

// OpenFunc opens a file for writing and creates it if it does not exist.
type OpenFunc func(name string, flag int) (File, error)

const (
	fileMode = 0o600
	dirMode  = 0o700
)

func openFile(name string, flag int) (File, error) {
	return os.OpenFile(name, flag|os.O_CREATE, fileMode)
}

// syncDir syncs a directory, which makes the creation, renaming and removal of
// its files durable.
func syncDir(name string) error {
	dir, err := os.Open(name)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}

// syncFile syncs a file that an earlier process may have written without a sync. What
// was read from it must not be lost in a later power loss.
func (s *Store) syncFile(name string) error {
	f, err := s.open(name, os.O_WRONLY)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// writeFileAtomic writes and syncs a temporary file in the directory of name
// and renames it to name.
func (s *Store) writeFileAtomic(name string, parts ...[]byte) error {
	temp := name + tempSuffix
	f, err := s.open(temp, os.O_WRONLY|os.O_TRUNC)
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
	if err := s.rename(temp, name); err != nil {
		return err
	}
	return s.syncDir(filepath.Dir(name))
}
