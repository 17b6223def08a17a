// Package disk keeps one state in a folder: two slots that are written in
// turn, and a short log of what came after the newer one.
package disk

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
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

var table = crc32.MakeTable(crc32.Castagnoli)

const (
	slotMagic = "SFSLOT01"
	logMagic  = "SFLOG001"
)

// known checks the first bytes of a file, where they are whole. A beginning of
// another version is a newer one's. Any other is damage where the folder has a
// slot of this program's, and else somebody else's.
func known(name string, raw []byte, magic string, ours bool) error {
	if len(raw) < len(magic) || string(raw[:len(magic)]) == magic || bytes.Count(raw[:len(magic)], []byte{0}) == len(magic) {
		return nil
	}
	if family := magic[:len(magic)-2]; string(raw[:len(family)]) != family && ours {
		return nil
	}
	return errors.Wrapf(ErrForeign, "%s begins with %q and not with %q", name, raw[:len(magic)], magic)
}

// Folder is an open folder. It is used by one goroutine.
type Folder struct {
	files      FileSystem
	path       string
	generation uint64
	log        File
	size       int64
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
func Open(path string) (*Folder, Held, error) { return OpenIn(systemFiles{}, path) }

// OpenIn reads a folder of a file system.
func OpenIn(files FileSystem, path string) (*Folder, Held, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, Held{}, errors.Wrap(err, "folder")
	}
	f := &Folder{files: files, path: path}
	var slots, raws [2][]byte
	var generations [2]uint64
	present := false
	for i := range slots {
		raw, err := files.ReadFile(f.name("slot", i))
		if os.IsNotExist(err) {
			continue
		}
		if err != nil {
			return nil, Held{}, errors.Wrap(err, "slot")
		}
		present = true
		raws[i] = raw
		generations[i], slots[i] = readSlot(raw)
	}
	ours := generations[0]+generations[1] > 0
	for i, raw := range raws {
		if err := known(f.name("slot", i), raw, slotMagic, ours); err != nil {
			return nil, Held{}, err
		}
	}
	newest := 0
	if generations[1] > generations[0] {
		newest = 1
	}
	f.generation = generations[newest]
	logged, anyLog, err := f.newestLog(ours)
	if err != nil {
		return nil, Held{}, err
	}
	switch {
	case !present && !anyLog:
		return f, Held{Empty: true}, nil
	case slots[newest] == nil && !anyLog && logged == 0:
		return f, Held{Empty: true}, nil
	case slots[newest] == nil, logged > f.generation:
		return nil, Held{}, errors.Wrapf(ErrLost, "the slot of generation %d is gone or damaged", logged)
	}
	held := Held{Slot: slots[newest]}
	raw, err := files.ReadFile(f.name("log", newest))
	if err != nil && !os.IsNotExist(err) {
		return nil, Held{}, errors.Wrap(err, "log")
	}
	if logged < f.generation || len(raw) < len(logMagic)+8 {
		return f, held, f.begin(newest)
	}
	end := int64(len(logMagic) + 8)
	rest := raw[end:]
	for len(rest) > 0 {
		frame, n := readFrame(rest)
		if n == 0 {
			if anyFrame(rest[1:]) {
				return nil, Held{}, errors.Wrap(ErrLost, "the log is damaged before its end")
			}
			break
		}
		held.Frames = append(held.Frames, append([]byte(nil), frame...))
		rest, end = rest[n:], end+int64(n)
	}
	held.Cut = int64(len(rest))
	f.log, err = files.OpenFile(f.name("log", newest), os.O_RDWR, 0o600)
	if err != nil {
		return nil, Held{}, errors.Wrap(err, "log")
	}
	if err := f.log.Truncate(end); err != nil {
		return nil, Held{}, errors.Wrap(err, "cutting the log")
	}
	if _, err := f.log.Seek(end, io.SeekStart); err != nil {
		return nil, Held{}, errors.Wrap(err, "log")
	}
	f.size = end
	return f, held, errors.Wrap(f.log.Sync(), "log")
}

func (f *Folder) name(kind string, i int) string {
	return filepath.Join(f.path, fmt.Sprintf("%s-%d", kind, i))
}

func (f *Folder) newestLog(ours bool) (generation uint64, any bool, err error) {
	for i := 0; i < 2; i++ {
		raw, err := f.files.ReadFile(f.name("log", i))
		if os.IsNotExist(err) {
			continue
		}
		if err != nil {
			return 0, false, errors.Wrap(err, "log")
		}
		any = true
		if len(raw) < len(logMagic)+8 {
			return 0, any, errors.Wrap(ErrLost, "a log's head is damaged")
		}
		head := raw[:len(logMagic)+8]
		if err := known(f.name("log", i), head, logMagic, ours); err != nil {
			return 0, any, err
		}
		if string(head[:len(logMagic)]) != logMagic {
			return 0, any, errors.Wrap(ErrLost, "a log's head is damaged")
		}
		generation = max(generation, binary.LittleEndian.Uint64(head[len(logMagic):]))
	}
	return generation, any, nil
}

func readSlot(raw []byte) (uint64, []byte) {
	head := len(slotMagic) + 16
	if len(raw) < head || string(raw[:len(slotMagic)]) != slotMagic {
		return 0, nil
	}
	generation := binary.LittleEndian.Uint64(raw[len(slotMagic):])
	length := binary.LittleEndian.Uint32(raw[len(slotMagic)+8:])
	sum := binary.LittleEndian.Uint32(raw[len(slotMagic)+12:])
	body := raw[head:]
	if uint64(len(body)) != uint64(length) || crc32.Update(crc32.Checksum(raw[:len(slotMagic)+12], table), table, body) != sum {
		return 0, nil
	}
	return generation, body
}

func readFrame(raw []byte) ([]byte, int) {
	if len(raw) < 12 {
		return nil, 0
	}
	length := binary.LittleEndian.Uint32(raw)
	if crc32.Checksum(raw[:4], table) != binary.LittleEndian.Uint32(raw[4:]) || uint64(len(raw)) < 12+uint64(length) {
		return nil, 0
	}
	body := raw[12 : 12+length]
	if crc32.Checksum(body, table) != binary.LittleEndian.Uint32(raw[8:]) {
		return nil, 0
	}
	return body, 12 + int(length)
}

func anyFrame(raw []byte) bool {
	for i := range raw {
		if _, n := readFrame(raw[i:]); n > 0 {
			return true
		}
	}
	return false
}

// Append writes one frame to the log and syncs it. After an error other than
// ErrFull the folder must not be used again.
func (f *Folder) Append(body []byte) error {
	frame := make([]byte, 12, 12+len(body))
	binary.LittleEndian.PutUint32(frame, uint32(len(body)))
	binary.LittleEndian.PutUint32(frame[4:], crc32.Checksum(frame[:4], table))
	binary.LittleEndian.PutUint32(frame[8:], crc32.Checksum(body, table))
	frame = append(frame, body...)
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
	head := make([]byte, 0, len(slotMagic)+16+len(state))
	head = append(head, slotMagic...)
	head = binary.LittleEndian.AppendUint64(head, f.generation)
	head = binary.LittleEndian.AppendUint32(head, uint32(len(state)))
	head = binary.LittleEndian.AppendUint32(head, crc32.Update(crc32.Checksum(head, table), table, state))
	if err := f.prepareLog(i); err != nil {
		return err
	}
	// From here on the new slot counts, so nothing that comes after it may want room.
	if err := f.writeSynced(f.name("slot", i), append(head, state...)); err != nil {
		return err
	}
	return f.beginLog(i)
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
	if err := f.prepareLog(i); err != nil {
		return err
	}
	return f.beginLog(i)
}

// logHead is what the log of the present generation begins with.
func (f *Folder) logHead() []byte {
	return append([]byte(logMagic), binary.LittleEndian.AppendUint64(nil, f.generation)...)
}

// prepareLog writes an empty log of the present generation under another name.
func (f *Folder) prepareLog(i int) error { return f.writeSynced(f.name("fresh", i), f.logHead()) }

// beginLog puts a prepared log in its place. It comes into being whole, by a
// rename, so a damaged head is never the trace of a cut-off write.
func (f *Folder) beginLog(i int) error {
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
	f.log, f.size = log, int64(len(f.logHead()))
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
