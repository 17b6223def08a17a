package disk

import (
	"io"
	"os"

	"github.com/cockroachdb/errors"
)

// File is an open file of a folder.
type File interface {
	io.Writer
	io.Seeker
	Truncate(size int64) error
	Sync() error
	Close() error
}

// FileSystem is where folders are. The operating system's is used unless a test
// brings one that fails.
type FileSystem interface {
	OpenFile(name string, flag int, mode os.FileMode) (File, error)
	ReadFile(name string) ([]byte, error)
	Rename(from, to string) error
	Remove(name string) error
	// SyncFolder makes names that were made, changed or removed in a folder last.
	SyncFolder(path string) error
}

// System is the operating system's file system.
var System FileSystem = systemFiles{}

// systemFiles is the operating system's file system.
type systemFiles struct{}

func (systemFiles) OpenFile(name string, flag int, mode os.FileMode) (File, error) {
	return os.OpenFile(name, flag, mode)
}

func (systemFiles) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

func (systemFiles) Rename(from, to string) error { return os.Rename(from, to) }

func (systemFiles) Remove(name string) error { return os.Remove(name) }

func (systemFiles) SyncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "folder")
	}
	defer folder.Close()
	return errors.Wrap(folder.Sync(), "folder")
}
