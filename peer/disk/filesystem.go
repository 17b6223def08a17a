package disk

import (
	"io"
	"os"

	"github.com/cockroachdb/errors"
)

// File is an open file of a store.
type File interface {
	io.Writer
	io.Seeker
	Truncate(size int64) error
	Sync() error
	Close() error
}

// FileSystem is the file system that a store uses. Tests substitute one that fails.
type FileSystem interface {
	OpenFile(name string, flag int, mode os.FileMode) (File, error)
	// Open opens a file to read it from its start.
	Open(name string) (io.ReadCloser, error)
	Rename(from, to string) error
	Remove(name string) error
	// SyncDir makes the creations, renames and removals in a directory durable.
	SyncDir(path string) error
}

// System is the operating system's file system.
var System FileSystem = systemFiles{}

type systemFiles struct{}

func (systemFiles) OpenFile(name string, flag int, mode os.FileMode) (File, error) {
	return os.OpenFile(name, flag, mode)
}

func (systemFiles) Open(name string) (io.ReadCloser, error) { return os.Open(name) }

func (systemFiles) Rename(from, to string) error { return os.Rename(from, to) }

func (systemFiles) Remove(name string) error { return os.Remove(name) }

func (systemFiles) SyncDir(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "opening the directory to sync it")
	}
	defer directory.Close()
	return errors.Wrap(directory.Sync(), "syncing the directory")
}
