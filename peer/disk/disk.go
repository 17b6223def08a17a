// Package disk keeps one state in a folder: two slots that are written in
// turn, and a short log of what came after the newer one.
package disk

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/cockroachdb/errors"
)

// ErrLost says that the folder's copy is damaged other than by a write that
// was cut off, and so counts as lost.
var ErrLost = errors.New("the copy in this folder is lost")

// ErrForeign says that the folder holds something that this program did not
// write, or a newer version of it did. It is left as it is.
var ErrForeign = errors.New("this folder is not this program's, or a newer version's")

// ErrFull says that there was no room and that nothing has changed: the folder
// holds what it held, and the same may be tried again. A sync that fails is never
// ErrFull, as nobody knows what it left behind.
var ErrFull = errors.New("no room on the disk; nothing was written")

// Folder is an open folder. It is used by one goroutine.
type Folder struct {
	files      FileSystem
	path       string
	generation uint64
	log        File
	// frames is how the log's frames are checked.
	frames frames
	size   int64
	// Syncs counts the syncs made.
	Syncs int64
}

// Held is what a folder held when it was opened.
type Held struct {
	Empty  bool
	Slot   []byte
	Frames [][]byte
	// Cut is how many bytes of an unfinished write were cut off.
	Cut int64
}

// Open reads a folder, which may be empty.
func Open(path string) (*Folder, Held, error) { return OpenIn(System, path) }

// OpenIn reads a folder of a file system.
func OpenIn(files FileSystem, path string) (*Folder, Held, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, Held{}, errors.Wrap(err, "folder")
	}
	f := &Folder{files: files, path: path}
	slots, err := f.readSlots()
	if err != nil {
		return nil, Held{}, err
	}
	logs, err := f.readLogs(slots.ours())
	if err != nil {
		return nil, Held{}, err
	}
	newest := slots.newest()
	f.generation = slots[newest].generation
	switch {
	case slots[newest].body == nil && !logs.present():
		return f, Held{Empty: true}, nil
	case slots[newest].body == nil, logs.generation() > f.generation:
		return nil, Held{}, errors.Wrapf(ErrLost, "the slot of generation %d is gone or damaged", logs.generation())
	}
	held := Held{Slot: slots[newest].body}
	if logs[newest].generation < f.generation {
		// The slot is whole and its log was not begun.
		return f, held, f.begin(newest)
	}
	err = f.resume(newest, logs[newest], &held)
	return f, held, err
}

// resume reads the frames of a log, cuts off an unfinished write and goes on after it.
func (f *Folder) resume(i int, l logFile, held *Held) error {
	f.frames, f.size = l.frames, int64(l.headSize)
	rest := l.raw[l.headSize:]
	for len(rest) > 0 {
		frame, n := f.frames.read(rest, f.size)
		if n == 0 {
			if f.frames.any(rest[1:], f.size+1) {
				return errors.Wrap(ErrLost, "the log is damaged before its end")
			}
			break
		}
		held.Frames = append(held.Frames, bytes.Clone(frame))
		rest, f.size = rest[n:], f.size+int64(n)
	}
	held.Cut = int64(len(rest))
	log, err := f.files.OpenFile(f.name("log", i), os.O_RDWR, 0o600)
	if err != nil {
		return errors.Wrap(err, "log")
	}
	f.log = log
	if err := log.Truncate(f.size); err != nil {
		return errors.Wrap(err, "cutting the log")
	}
	if _, err := log.Seek(f.size, io.SeekStart); err != nil {
		return errors.Wrap(err, "log")
	}
	return errors.Wrap(log.Sync(), "log")
}

func (f *Folder) name(kind string, i int) string {
	return filepath.Join(f.path, fmt.Sprintf("%s-%d", kind, i))
}

// Append writes one frame to the log and syncs it. After an error other than
// ErrFull the folder must not be used again.
func (f *Folder) Append(body []byte) error {
	frame := f.frames.append(nil, f.size, body)
	if _, err := f.log.Write(frame); err != nil {
		return f.takeBack(err)
	}
	f.size += int64(len(frame))
	f.Syncs++
	return errors.Wrap(f.log.Sync(), "log")
}

// takeBack removes what a write that failed has left at the end of the log.
func (f *Folder) takeBack(cause error) error {
	if !isFull(cause) {
		return errors.Wrap(cause, "log")
	}
	if err := f.log.Truncate(f.size); err != nil {
		return errors.Wrap(err, "taking back a write for which there was no room")
	}
	if _, err := f.log.Seek(f.size, io.SeekStart); err != nil {
		return errors.Wrap(err, "taking back a write for which there was no room")
	}
	return errors.Mark(errors.Wrap(cause, "log"), ErrFull)
}

func isFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// Size is the length of the log.
func (f *Folder) Size() int64 { return f.size }

// Replace writes the whole state to the slot whose turn it is and begins a new
// log. After ErrFull the folder goes on with the log that it has.
func (f *Folder) Replace(state []byte) error {
	f.generation++
	err := f.replace(state)
	if errors.Is(err, ErrFull) {
		f.generation--
	}
	return err
}

func (f *Folder) replace(state []byte) error {
	i := int(f.generation % 2)
	key, err := newSumKey()
	if err != nil {
		return err
	}
	fresh, err := f.prepareLog(i)
	if err != nil {
		return err
	}
	// From here on the new slot counts, so nothing that comes after it may want room.
	if err := f.writeSynced(f.name("slot", i), appendSlot(key, f.generation, state)); err != nil {
		return err
	}
	return f.beginLog(i, fresh)
}

func (f *Folder) writeSynced(name string, raw []byte) error {
	file, err := f.files.OpenFile(name, os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return f.noRoom(name, err)
	}
	defer file.Close()
	if _, err := file.Write(raw); err != nil {
		return f.noRoom(name, err)
	}
	f.Syncs++
	if err := file.Sync(); err != nil {
		return errors.Wrap(err, "folder")
	}
	return f.files.SyncFolder(f.path)
}

// noRoom gives back the room that a file took which could not be written whole.
// Such a file is never read: a slot that is cut off does not match its checksum,
// and a log comes into being by a rename.
func (f *Folder) noRoom(name string, cause error) error {
	if !isFull(cause) {
		return errors.Wrap(cause, "folder")
	}
	if err := f.files.Remove(name); err != nil && !os.IsNotExist(err) {
		return errors.Wrap(err, "removing a file for which there was no room")
	}
	return errors.Mark(errors.Wrap(cause, "folder"), ErrFull)
}

// begin starts the log of the present generation.
func (f *Folder) begin(i int) error {
	fresh, err := f.prepareLog(i)
	if err != nil {
		return err
	}
	return f.beginLog(i, fresh)
}

// prepareLog writes an empty log of the present generation under another name.
func (f *Folder) prepareLog(i int) (frames, error) {
	key, err := newSumKey()
	if err != nil {
		return frames{}, err
	}
	return frames{key: &key}, f.writeSynced(f.name("fresh", i), logHead(key, f.generation))
}

// beginLog puts a prepared log in its place. It comes into being whole, by a
// rename, so a damaged head is never the trace of a cut-off write.
func (f *Folder) beginLog(i int, fresh frames) error {
	if err := f.files.Rename(f.name("fresh", i), f.name("log", i)); err != nil {
		return errors.Wrap(err, "log")
	}
	if err := f.files.SyncFolder(f.path); err != nil {
		return err
	}
	if f.log != nil {
		f.log.Close()
	}
	log, err := f.files.OpenFile(f.name("log", i), os.O_RDWR|os.O_APPEND, 0o600)
	if err != nil {
		return errors.Wrap(err, "log")
	}
	f.log, f.frames, f.size = log, fresh, int64(logHeadSize)
	return nil
}

// SetAside moves a lost copy out of the way, so that the folder is empty.
func SetAside(path string) error {
	for i := 0; ; i++ {
		aside := filepath.Join(path, fmt.Sprintf("lost-%d", i))
		if _, err := os.Stat(aside); err == nil {
			continue
		}
		if err := os.Mkdir(aside, 0o700); err != nil {
			return errors.Wrap(err, "setting aside")
		}
		for _, kind := range []string{"slot", "log", "fresh"} {
			for n := 0; n < 2; n++ {
				name := fmt.Sprintf("%s-%d", kind, n)
				err := os.Rename(filepath.Join(path, name), filepath.Join(aside, name))
				if err != nil && !os.IsNotExist(err) {
					return errors.Wrap(err, "setting aside")
				}
			}
		}
		return nil
	}
}

// Close closes the folder.
func (f *Folder) Close() error {
	if f.log == nil {
		return nil
	}
	return f.log.Close()
}
