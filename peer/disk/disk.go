// Package disk stores one state durably in a directory: two slots, overwritten
// alternately, and a log of the records appended since the newer slot was written.
//
// A write is acknowledged only after it has been synced, so a power failure can lose or
// tear only unacknowledged writes. Any other damage is reported as ErrDamaged. Start
// reading at OpenIn, Store.Append and Store.Replace.
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

// ErrDamaged reports damage that an interrupted write cannot explain. The stored state
// must be treated as lost.
var ErrDamaged = errors.New("the stored state is damaged")

// ErrUnknownFormat reports a file of another program or a newer version. The directory
// is left unchanged.
var ErrUnknownFormat = errors.New("the directory holds files of another program or of a newer version")

// ErrFull reports that the disk had no space and the stored contents are unchanged; the
// operation may be retried. A failed sync is never ErrFull: what it left is unknown.
var ErrFull = errors.New("no space left on the disk; nothing was written")

// Store is an open directory. It is not safe for concurrent use.
type Store struct {
	files      FileSystem
	path       string
	generation uint64
	log        File
	format     recordFormat
	size       int64 // of the current log, in bytes
	// Syncs counts the file syncs made.
	Syncs int64
}

// Contents is what a directory contained when it was opened.
type Contents struct {
	Empty   bool
	State   []byte
	Records [][]byte
	// TruncatedBytes is the length of the incomplete write removed from the log's end.
	TruncatedBytes int64
}

// Open opens a directory, creating it if needed, and reads what it holds.
func Open(path string) (*Store, Contents, error) { return OpenIn(System, path) }

// OpenIn is like Open but uses the given file system.
func OpenIn(files FileSystem, path string) (*Store, Contents, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, Contents{}, errors.Wrap(err, "creating the state directory")
	}
	s := &Store{files: files, path: path}
	slots, err := s.readSlots()
	if err != nil {
		return nil, Contents{}, err
	}
	logs, err := s.readLogs(slots.recognized())
	if err != nil {
		return nil, Contents{}, err
	}
	newest := slots.newest()
	s.generation = slots[newest].generation
	switch {
	case slots[newest].body == nil && !logs.present():
		return s, Contents{Empty: true}, nil
	case slots[newest].body == nil, logs.generation() > s.generation:
		return nil, Contents{}, errors.Wrapf(ErrDamaged, "the slot of generation %d is missing or damaged", logs.generation())
	}
	contents := Contents{State: slots[newest].body}
	if logs[newest].generation < s.generation {
		// A crash came between writing the slot and installing its log.
		return s, contents, s.startLog(newest)
	}
	err = s.replayLog(newest, logs[newest], &contents)
	return s, contents, err
}

// replayLog reads a log, truncates an incomplete write at its end and opens it to append.
func (s *Store) replayLog(i int, stored logFile, contents *Contents) error {
	s.format, s.size = stored.format, int64(stored.headerSize)
	rest := stored.raw[stored.headerSize:]
	for len(rest) > 0 {
		record, n := s.format.read(rest, s.size)
		if n == 0 {
			if s.format.containsRecord(rest[1:], s.size+1) {
				return errors.Wrap(ErrDamaged, "the log is damaged before its last record")
			}
			break
		}
		contents.Records = append(contents.Records, bytes.Clone(record))
		rest, s.size = rest[n:], s.size+int64(n)
	}
	contents.TruncatedBytes = int64(len(rest))
	log, err := s.files.OpenFile(s.name("log", i), os.O_RDWR, 0o600)
	if err != nil {
		return errors.Wrap(err, "opening the log")
	}
	s.log = log
	if err := log.Truncate(s.size); err != nil {
		return errors.Wrap(err, "truncating the log")
	}
	if _, err := log.Seek(s.size, io.SeekStart); err != nil {
		return errors.Wrap(err, "seeking to the end of the log")
	}
	return errors.Wrap(log.Sync(), "syncing the log")
}

func (s *Store) name(kind string, i int) string {
	return filepath.Join(s.path, fmt.Sprintf("%s-%d", kind, i))
}

// Append writes one record to the log and syncs it. After an error other than ErrFull
// the store must not be used again.
func (s *Store) Append(body []byte) error {
	record := s.format.append(nil, s.size, body)
	if _, err := s.log.Write(record); err != nil {
		return s.undoWrite(err)
	}
	s.size += int64(len(record))
	s.Syncs++
	return errors.Wrap(s.log.Sync(), "syncing the log")
}

// undoWrite truncates the log to its size before a failed write.
func (s *Store) undoWrite(cause error) error {
	if !isFull(cause) {
		return errors.Wrap(cause, "appending to the log")
	}
	if err := s.log.Truncate(s.size); err != nil {
		return errors.Wrap(err, "undoing a log write that ran out of space")
	}
	if _, err := s.log.Seek(s.size, io.SeekStart); err != nil {
		return errors.Wrap(err, "undoing a log write that ran out of space")
	}
	return errors.Mark(errors.Wrap(cause, "appending to the log"), ErrFull)
}

func isFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// Size returns the length of the log in bytes.
func (s *Store) Size() int64 { return s.size }

// Replace writes the whole state to the older slot and starts a new log. After ErrFull
// the store keeps using its current slot and log; after any other error it must not be
// used again.
func (s *Store) Replace(state []byte) error {
	s.generation++
	err := s.replace(state)
	if errors.Is(err, ErrFull) {
		s.generation--
	}
	return err
}

func (s *Store) replace(state []byte) error {
	i := int(s.generation % 2)
	key, err := newChecksumKey()
	if err != nil {
		return err
	}
	format, err := s.prepareLog(i)
	if err != nil {
		return err
	}
	// Once written, the new slot is current, so later steps must not need disk space:
	// the new log is prepared first.
	if err := s.writeSynced(s.name("slot", i), appendSlot(key, s.generation, state)); err != nil {
		return err
	}
	return s.installLog(i, format)
}

func (s *Store) writeSynced(name string, raw []byte) error {
	file, err := s.files.OpenFile(name, os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return s.removePartial(name, err)
	}
	defer file.Close()
	if _, err := file.Write(raw); err != nil {
		return s.removePartial(name, err)
	}
	s.Syncs++
	if err := file.Sync(); err != nil {
		return errors.Wrap(err, "syncing a state file")
	}
	return s.files.SyncDir(s.path)
}

// removePartial frees the space of an incomplete file. Such a file is never read: a slot's
// checksum would not match, and a log is installed by a rename.
func (s *Store) removePartial(name string, cause error) error {
	if !isFull(cause) {
		return errors.Wrap(cause, "writing a state file")
	}
	if err := s.files.Remove(name); err != nil && !os.IsNotExist(err) {
		return errors.Wrap(err, "removing a partial file after running out of space")
	}
	return errors.Mark(errors.Wrap(cause, "writing a state file"), ErrFull)
}

func (s *Store) startLog(i int) error {
	format, err := s.prepareLog(i)
	if err != nil {
		return err
	}
	return s.installLog(i, format)
}

// prepareLog writes an empty log of the current generation under a temporary name.
func (s *Store) prepareLog(i int) (recordFormat, error) {
	key, err := newChecksumKey()
	if err != nil {
		return recordFormat{}, err
	}
	return recordFormat{key: &key}, s.writeSynced(s.name("fresh", i), logHeader(key, s.generation))
}

// installLog renames a prepared log to its final name. A log appears complete, so an
// interrupted write never leaves a damaged header.
func (s *Store) installLog(i int, format recordFormat) error {
	if err := s.files.Rename(s.name("fresh", i), s.name("log", i)); err != nil {
		return errors.Wrap(err, "installing the new log")
	}
	if err := s.files.SyncDir(s.path); err != nil {
		return err
	}
	if s.log != nil {
		s.log.Close()
	}
	log, err := s.files.OpenFile(s.name("log", i), os.O_RDWR|os.O_APPEND, 0o600)
	if err != nil {
		return errors.Wrap(err, "opening the new log")
	}
	s.log, s.format, s.size = log, format, int64(logHeaderSize)
	return nil
}

// SetAside moves a damaged store's files into a new subdirectory; the directory then
// opens as empty.
func SetAside(path string) error {
	for i := 0; ; i++ {
		target := filepath.Join(path, fmt.Sprintf("lost-%d", i))
		if _, err := os.Stat(target); err == nil {
			continue
		}
		if err := os.Mkdir(target, 0o700); err != nil {
			return errors.Wrap(err, "setting aside the damaged state")
		}
		for _, kind := range []string{"slot", "log", "fresh"} {
			for n := 0; n < 2; n++ {
				name := fmt.Sprintf("%s-%d", kind, n)
				err := os.Rename(filepath.Join(path, name), filepath.Join(target, name))
				if err != nil && !os.IsNotExist(err) {
					return errors.Wrap(err, "setting aside the damaged state")
				}
			}
		}
		return nil
	}
}

// Close closes the log file.
func (s *Store) Close() error {
	if s.log == nil {
		return nil
	}
	return s.log.Close()
}
