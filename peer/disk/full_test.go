package disk

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
)

// smallDisk is a file system with limited space, in bytes, and optionally failing syncs.
type smallDisk struct {
	systemFiles
	space   int64
	syncErr error
}

type smallFile struct {
	File
	disk *smallDisk
	name string
}

func (d *smallDisk) OpenFile(name string, flag int, mode os.FileMode) (File, error) {
	before := sizeOf(name)
	file, err := d.systemFiles.OpenFile(name, flag, mode)
	if err != nil {
		return nil, err
	}
	d.space += before - sizeOf(name)
	return &smallFile{File: file, disk: d, name: name}, nil
}

func (d *smallDisk) Remove(name string) error {
	before := sizeOf(name)
	err := d.systemFiles.Remove(name)
	if err == nil {
		d.space += before
	}
	return err
}

func (d *smallDisk) Rename(from, to string) error {
	d.space += sizeOf(to)
	return d.systemFiles.Rename(from, to)
}

func sizeOf(name string) int64 {
	info, err := os.Stat(name)
	if err != nil {
		return 0
	}
	return info.Size()
}

func (f *smallFile) Write(raw []byte) (int, error) {
	if int64(len(raw)) <= f.disk.space {
		f.disk.space -= int64(len(raw))
		return f.File.Write(raw)
	}
	n, err := f.File.Write(raw[:f.disk.space])
	f.disk.space -= int64(n)
	if err == nil {
		err = &os.PathError{Op: "write", Path: f.name, Err: syscall.ENOSPC}
	}
	return n, err
}

func (f *smallFile) Truncate(size int64) error {
	f.disk.space += sizeOf(f.name) - size
	return f.File.Truncate(size)
}

// Sync returns the configured error without syncing.
func (f *smallFile) Sync() error { return f.disk.syncErr }

func (d *smallDisk) SyncDir(string) error { return d.syncErr }

// checkContents checks a copy of a directory, as after a crash.
func checkContents(t *testing.T, path, slot string, records ...string) {
	t.Helper()
	copied := t.TempDir()
	must(t, os.CopyFS(copied, os.DirFS(path)))
	s, contents, err := Open(copied)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if string(contents.State) != slot || fmt.Sprintf("%s", contents.Records) != fmt.Sprintf("%s", records) {
		t.Fatalf("holds %q and %q, want %q and %q", contents.State, contents.Records, slot, records)
	}
}

// TestFullAtEachByte checks that the store keeps its contents, returns ErrFull, and works again
// once there is space.
func TestFullAtEachByte(t *testing.T) {
	for space := int64(0); space < 220; space++ {
		path := t.TempDir()
		disk := &smallDisk{space: 1 << 20}
		s, _, err := OpenIn(disk, path)
		must(t, err)
		must(t, s.Replace([]byte("first state")))
		must(t, s.Append([]byte("one")))
		disk.space = space
		slot, records := "first state", []string{"one"}
		for _, record := range []string{"two, which is longer", "three"} {
			switch err := s.Append([]byte(record)); {
			case err == nil:
				records = append(records, record)
			case !errors.Is(err, ErrFull):
				t.Fatalf("space %d: %v", space, err)
			}
			checkContents(t, path, slot, records...)
		}
		switch err := s.Replace([]byte("second state, longer than the first")); {
		case err == nil:
			slot, records = "second state, longer than the first", nil
		case !errors.Is(err, ErrFull):
			t.Fatalf("space %d: %v", space, err)
		}
		checkContents(t, path, slot, records...)
		disk.space = 1 << 20
		must(t, s.Append([]byte("four")))
		records = append(records, "four")
		checkContents(t, path, slot, records...)
		must(t, s.Replace([]byte("third state")))
		must(t, s.Append([]byte("five")))
		checkContents(t, path, "third state", "five")
		must(t, s.Close())
	}
}

// TestFailedSyncIsNotFull guards against a retry after a failed sync.
func TestFailedSyncIsNotFull(t *testing.T) {
	for _, fault := range []error{syscall.EIO, syscall.ENOSPC} {
		disk := &smallDisk{space: 1 << 20}
		s, _, err := OpenIn(disk, filepath.Join(t.TempDir()))
		must(t, err)
		must(t, s.Replace([]byte("state")))
		disk.syncErr = fault
		if err := s.Append([]byte("one")); err == nil || errors.Is(err, ErrFull) {
			t.Errorf("%v: Append returned %v", fault, err)
		}
		if err := s.Replace([]byte("state")); err == nil || errors.Is(err, ErrFull) {
			t.Errorf("%v: Replace returned %v", fault, err)
		}
	}
}
