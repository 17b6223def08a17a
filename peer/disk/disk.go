// Package disk stores one state durably in a directory: two slots, overwritten
// alternately, and a log of the records appended since the newer slot was written.
//
// A write is acknowledged only after it has been synced, so a power failure can lose or
// tear only unacknowledged writes. Any other damage is reported as ErrDamaged. Start
// reading at Visit, Store.Append and Store.Replace.
package disk

import (
	"bufio"
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
	slotSize   int64
	// Syncs counts the file syncs made.
	Syncs int64
}

// Opened says what a directory was like when it was opened.
type Opened struct {
	Empty bool
	// TruncatedBytes is the length of the incomplete write removed from the log's end.
	TruncatedBytes int64
}

// Contents is what a directory contained when it was opened.
type Contents struct {
	Opened
	State   []byte
	Records [][]byte
}

// Visitor receives what a directory contains, so that it need not all be in memory at once. An error
// ends the opening.
type Visitor interface {
	// VisitState reads the encoded state. It is called first, and not for an empty directory.
	VisitState(state io.Reader) error
	// VisitRecord is called for each record since. It must not keep the slice.
	VisitRecord(record []byte) error
}

// collector is the Visitor that collects the Contents.
type collector struct{ contents *Contents }

func (c collector) VisitState(state io.Reader) (err error) {
	c.contents.State, err = io.ReadAll(state)
	return err
}

func (c collector) VisitRecord(record []byte) error {
	c.contents.Records = append(c.contents.Records, bytes.Clone(record))
	return nil
}

// Open opens a directory, creating it if needed, and reads what it holds.
func Open(path string) (*Store, Contents, error) { return OpenIn(System, path) }

// OpenIn is like Open but uses the given file system.
func OpenIn(files FileSystem, path string) (*Store, Contents, error) {
	var contents Contents
	s, opened, err := Visit(files, path, collector{contents: &contents})
	if err != nil {
		return nil, Contents{}, err
	}
	contents.Opened = opened
	return s, contents, nil
}

// Visit is like OpenIn, and passes the contents to a visitor. After an error, what the visitor got must
// not be used.
func Visit(files FileSystem, path string, visitor Visitor) (*Store, Opened, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, Opened{}, errors.Wrap(err, "creating the state directory")
	}
	s := &Store{files: files, path: path}
	slots, err := s.readSlots()
	if err != nil {
		return nil, Opened{}, err
	}
	logs, err := s.readLogs(slots.recognized())
	if err != nil {
		return nil, Opened{}, err
	}
	newest := slots.newest()
	s.generation = slots[newest].generation
	switch {
	case s.generation == 0 && !logs.present():
		return s, Opened{Empty: true}, nil
	case s.generation == 0, logs.generation() > s.generation:
		return nil, Opened{}, errors.Wrapf(ErrDamaged, "the slot of generation %d is missing or damaged", logs.generation())
	}
	if err := s.visitSlot(newest, slots[newest], visitor); err != nil {
		return nil, Opened{}, err
	}
	if logs[newest].generation < s.generation {
		// A crash came between writing the slot and installing its log.
		return s, Opened{}, s.startLog(newest)
	}
	truncated, err := s.replayLog(newest, logs[newest], visitor)
	return s, Opened{TruncatedBytes: truncated}, err
}

// replayLog visits a log, truncates an incomplete write at its end and opens it to append. It returns
// the length of the incomplete write.
func (s *Store) replayLog(i int, stored logFile, visitor Visitor) (int64, error) {
	s.format, s.size = stored.format, int64(stored.headerSize)
	truncated, err := s.visitRecords(i, visitor)
	if err != nil {
		return 0, err
	}
	log, err := s.files.OpenFile(s.name("log", i), os.O_RDWR, 0o600)
	if err != nil {
		return 0, errors.Wrap(err, "opening the log")
	}
	s.log = log
	if err := log.Truncate(s.size); err != nil {
		return 0, errors.Wrap(err, "truncating the log")
	}
	if _, err := log.Seek(s.size, io.SeekStart); err != nil {
		return 0, errors.Wrap(err, "seeking to the end of the log")
	}
	return truncated, errors.Wrap(log.Sync(), "syncing the log")
}

// visitRecords passes the records to the visitor, and returns the length of what follows the last one.
func (s *Store) visitRecords(i int, visitor Visitor) (int64, error) {
	file, err := s.files.Open(s.name("log", i))
	if err != nil {
		return 0, errors.Wrap(err, "reading the log")
	}
	defer file.Close()
	in := bufio.NewReaderSize(file, bufferSize)
	if _, err := in.Discard(int(s.size)); err != nil {
		return 0, errors.Wrap(err, "reading the log")
	}
	records := recordReader{in: in, format: s.format, offset: s.size}
	for {
		record, rest, err := records.next()
		switch {
		case err != nil:
			return 0, errors.Wrap(err, "reading the log")
		case record != nil:
			s.size = records.offset
			if err := visitor.VisitRecord(record); err != nil {
				return 0, err
			}
		case len(rest) > 0 && s.format.containsRecord(rest[1:], s.size+1):
			return 0, errors.Wrap(ErrDamaged, "the log is damaged before its last record")
		default:
			return int64(len(rest)), nil
		}
	}
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

// SlotSize returns the length of the state that was last written, in bytes; zero if none was.
func (s *Store) SlotSize() int64 { return s.slotSize }

// Replace writes the whole state to the older slot and starts a new log. After ErrFull
// the store keeps using its current slot and log; after any other error it must not be
// used again.
func (s *Store) Replace(state []byte) error {
	return s.ReplaceWith(func(out io.Writer) error {
		_, err := out.Write(state)
		return err
	})
}

// ReplaceWith is like Replace with a state that encode writes, which is called twice and must write as
// many bytes each time.
func (s *Store) ReplaceWith(encode func(io.Writer) error) error {
	s.generation++
	err := s.replace(encode)
	if errors.Is(err, ErrFull) {
		s.generation--
	}
	return err
}

// byteCounter counts what is written to it.
type byteCounter int64

func (c *byteCounter) Write(p []byte) (int, error) {
	*c += byteCounter(len(p))
	return len(p), nil
}

func (s *Store) replace(encode func(io.Writer) error) error {
	i := int(s.generation % 2)
	key, err := newChecksumKey()
	if err != nil {
		return err
	}
	var length byteCounter
	counted := bufio.NewWriterSize(&length, bufferSize)
	if err := errors.CombineErrors(encode(counted), counted.Flush()); err != nil {
		return err
	}
	format, err := s.prepareLog(i)
	if err != nil {
		return err
	}
	// Once written, the new slot is current, so later steps must not need disk space:
	// the new log is prepared first.
	err = s.writeSynced(s.name("slot", i), func(file File) error { return s.writeSlot(file, key, int64(length), encode) })
	if err != nil {
		return err
	}
	s.slotSize = int64(length)
	return s.installLog(i, format)
}

func (s *Store) writeSynced(name string, write func(File) error) error {
	file, err := s.files.OpenFile(name, os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return s.removePartial(name, err)
	}
	defer file.Close()
	if err := write(file); err != nil {
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
	err = s.writeSynced(s.name("fresh", i), func(file File) error {
		_, err := file.Write(logHeader(key, s.generation))
		return err
	})
	return recordFormat{key: &key}, err
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
