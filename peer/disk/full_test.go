package disk

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
)

// smallDisk is a file system with room for a number of bytes, and syncs that may
// fail.
type smallDisk struct {
	systemFiles
	room      int64
	syncFault error
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
	d.room += before - sizeOf(name)
	return &smallFile{File: file, disk: d, name: name}, nil
}

func (d *smallDisk) Remove(name string) error {
	before := sizeOf(name)
	err := d.systemFiles.Remove(name)
	if err == nil {
		d.room += before
	}
	return err
}

func (d *smallDisk) Rename(from, to string) error {
	d.room += sizeOf(to)
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
	if int64(len(raw)) <= f.disk.room {
		f.disk.room -= int64(len(raw))
		return f.File.Write(raw)
	}
	n, err := f.File.Write(raw[:f.disk.room])
	f.disk.room -= int64(n)
	if err == nil {
		err = &os.PathError{Op: "write", Path: f.name, Err: syscall.ENOSPC}
	}
	return n, err
}

func (f *smallFile) Truncate(size int64) error {
	f.disk.room += sizeOf(f.name) - size
	return f.File.Truncate(size)
}

// Sync does no more than fail when asked to: what is tested here is room.
func (f *smallFile) Sync() error { return f.disk.syncFault }

func (d *smallDisk) SyncFolder(string) error { return d.syncFault }

// holds checks what a folder holds by opening a copy of it, as after a crash.
func holds(t *testing.T, path, slot string, frames ...string) {
	t.Helper()
	copied := t.TempDir()
	must(t, os.CopyFS(copied, os.DirFS(path)))
	f, held, err := Open(copied)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if string(held.Slot) != slot || fmt.Sprintf("%s", held.Frames) != fmt.Sprintf("%s", frames) {
		t.Fatalf("holds %q and %q, want %q and %q", held.Slot, held.Frames, slot, frames)
	}
}

// TestFullAtEachByte: wherever the room ends, a folder holds what it held, says
// that it is full, and goes on as soon as there is room.
func TestFullAtEachByte(t *testing.T) {
	for room := int64(0); room < 220; room++ {
		path := t.TempDir()
		disk := &smallDisk{room: 1 << 20}
		f, _, err := OpenIn(disk, path)
		must(t, err)
		must(t, f.Replace([]byte("first state")))
		must(t, f.Append([]byte("one")))
		disk.room = room
		slot, frames := "first state", []string{"one"}
		for _, frame := range []string{"two, which is longer", "three"} {
			switch err := f.Append([]byte(frame)); {
			case err == nil:
				frames = append(frames, frame)
			case !errors.Is(err, ErrFull):
				t.Fatalf("room %d: %v", room, err)
			}
			holds(t, path, slot, frames...)
		}
		switch err := f.Replace([]byte("second state, longer than the first")); {
		case err == nil:
			slot, frames = "second state, longer than the first", nil
		case !errors.Is(err, ErrFull):
			t.Fatalf("room %d: %v", room, err)
		}
		holds(t, path, slot, frames...)
		disk.room = 1 << 20
		must(t, f.Append([]byte("four")))
		frames = append(frames, "four")
		holds(t, path, slot, frames...)
		must(t, f.Replace([]byte("third state")))
		must(t, f.Append([]byte("five")))
		holds(t, path, "third state", "five")
		must(t, f.Close())
	}
}

// TestFailedSyncIsNotFull: nobody knows what a sync that failed has left, even
// if it was for want of room, so the folder is not used any more.
func TestFailedSyncIsNotFull(t *testing.T) {
	for _, fault := range []error{syscall.EIO, syscall.ENOSPC} {
		disk := &smallDisk{room: 1 << 20}
		f, _, err := OpenIn(disk, filepath.Join(t.TempDir()))
		must(t, err)
		must(t, f.Replace([]byte("state")))
		disk.syncFault = fault
		if err := f.Append([]byte("one")); err == nil || errors.Is(err, ErrFull) {
			t.Errorf("%v: append says %v", fault, err)
		}
		if err := f.Replace([]byte("state")); err == nil || errors.Is(err, ErrFull) {
			t.Errorf("%v: replace says %v", fault, err)
		}
	}
}
