package disk

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"os"

	"github.com/cockroachdb/errors"
)

const (
	logMagic   = "SFLOG002"
	logMagicV1 = "SFLOG001"
)

// logHeaderSize covers the magic number, generation, key and checksum, in bytes.
const logHeaderSize = len(logMagic) + 8 + checksumKeySize + 8

func logHeader(key checksumKey, generation uint64) []byte {
	raw := binary.LittleEndian.AppendUint64([]byte(logMagic), generation)
	raw = key.appendTo(raw)
	return binary.LittleEndian.AppendUint64(raw, key.checksum(raw, nil))
}

// logFile is the header of a log on disk; present is set if there is one.
type logFile struct {
	present    bool
	generation uint64
	headerSize int
	format     recordFormat
}

type logFiles [2]logFile

func (l logFiles) present() bool { return l[0].present || l[1].present }

func (l logFiles) generation() uint64 { return max(l[0].generation, l[1].generation) }

// readLogs reads the headers of both logs. A damaged header is an error: a log is installed complete.
func (s *Store) readLogs(recognized bool) (logs logFiles, err error) {
	for i := range logs {
		raw, err := s.readPrefix(s.name("log", i), logHeaderSize)
		if os.IsNotExist(err) {
			continue
		}
		if err != nil {
			return logs, errors.Wrap(err, "reading a log")
		}
		if err := checkMagic(s.name("log", i), raw, recognized, logMagic, logMagicV1); err != nil {
			return logs, err
		}
		var valid bool
		if logs[i], valid = readLogHeader(raw); !valid {
			return logs, errors.Wrapf(ErrDamaged, "the header of %s is damaged", s.name("log", i))
		}
	}
	return logs, nil
}

// readPrefix returns the start of a file, or all of a shorter one.
func (s *Store) readPrefix(name string, size int) ([]byte, error) {
	file, err := s.files.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return io.ReadAll(io.LimitReader(file, int64(size)))
}

func readLogHeader(raw []byte) (logFile, bool) {
	log := logFile{present: true}
	switch {
	case len(raw) >= logHeaderSize && string(raw[:len(logMagic)]) == logMagic:
		key := decodeChecksumKey(raw[len(logMagic)+8:])
		checksumOffset := logHeaderSize - 8
		if key.checksum(raw[:checksumOffset], nil) != binary.LittleEndian.Uint64(raw[checksumOffset:]) {
			return log, false
		}
		log.headerSize, log.format = logHeaderSize, recordFormat{key: &key}
	case len(raw) >= logHeaderSizeV1 && string(raw[:len(logMagicV1)]) == logMagicV1:
		log.headerSize = logHeaderSizeV1
	default:
		return log, false
	}
	log.generation = binary.LittleEndian.Uint64(raw[len(logMagic):])
	return log, true
}

// recordFormat encodes and decodes log records. The separate checksum of the length allows
// a search for records at any offset. Both checksums cover the record's offset in the log.
// A nil key selects the first format.
type recordFormat struct{ key *checksumKey }

// recordHeaderSize covers the length, its checksum and the record's checksum, in bytes.
const recordHeaderSize = 4 + 4 + 8

func (f recordFormat) append(raw []byte, offset int64, body []byte) []byte {
	if f.key == nil {
		return appendRecordV1(raw, body)
	}
	header := binary.LittleEndian.AppendUint32(nil, uint32(len(body)))
	header = binary.LittleEndian.AppendUint32(header, f.lengthChecksum(offset, header))
	header = binary.LittleEndian.AppendUint64(header, f.checksum(offset, header, body))
	return append(append(raw, header...), body...)
}

// headerSize is the size of a record's header, in bytes.
func (f recordFormat) headerSize() int {
	if f.key == nil {
		return recordHeaderSizeV1
	}
	return recordHeaderSize
}

// recordLength returns the encoded length of the record with a header at an offset of the log, if the
// header's own checksum matches.
func (f recordFormat) recordLength(header []byte, offset int64) (int64, bool) {
	if f.key == nil {
		return recordLengthV1(header)
	}
	valid := f.lengthChecksum(offset, header[:4]) == binary.LittleEndian.Uint32(header[4:])
	return recordHeaderSize + int64(binary.LittleEndian.Uint32(header)), valid
}

// recordReader reads a log record by record.
type recordReader struct {
	in     *bufio.Reader
	format recordFormat
	// offset is that of the next record in the log.
	offset int64
	buffer bytes.Buffer
}

// next returns the body of the next record, which is valid until the next call. If there is no valid
// one, the body is nil, and rest is all that remains of the log.
func (r *recordReader) next() (body, rest []byte, err error) {
	r.buffer.Reset()
	headerSize := int64(r.format.headerSize())
	if ok, err := r.fill(headerSize); !ok {
		return nil, r.buffer.Bytes(), err
	}
	if length, valid := r.format.recordLength(r.buffer.Bytes(), r.offset); valid {
		if ok, err := r.fill(length - headerSize); !ok {
			return nil, r.buffer.Bytes(), err
		}
		if body, n := r.format.read(r.buffer.Bytes(), r.offset); n > 0 {
			r.offset += int64(n)
			return body, nil, nil
		}
	}
	_, err = r.buffer.ReadFrom(r.in)
	return nil, r.buffer.Bytes(), err
}

// fill reads more bytes into the buffer and reports whether the log has as many.
func (r *recordReader) fill(size int64) (bool, error) {
	_, err := io.CopyN(&r.buffer, r.in, size)
	if errors.Is(err, io.EOF) {
		return false, nil
	}
	return err == nil, err
}

// read returns the body and the encoded length of the record that raw, at an offset of the
// log, begins with. The length is zero if there is no valid record.
func (f recordFormat) read(raw []byte, offset int64) ([]byte, int) {
	if f.key == nil {
		return readRecordV1(raw)
	}
	if len(raw) < recordHeaderSize {
		return nil, 0
	}
	length := uint64(binary.LittleEndian.Uint32(raw))
	if f.lengthChecksum(offset, raw[:4]) != binary.LittleEndian.Uint32(raw[4:]) ||
		uint64(len(raw)) < recordHeaderSize+length {
		return nil, 0
	}
	end := recordHeaderSize + int(length)
	body := raw[recordHeaderSize:end]
	if f.checksum(offset, raw[:8], body) != binary.LittleEndian.Uint64(raw[8:]) {
		return nil, 0
	}
	return body, end
}

func (f recordFormat) containsRecord(raw []byte, offset int64) bool {
	for i := range raw {
		if _, n := f.read(raw[i:], offset+int64(i)); n > 0 {
			return true
		}
	}
	return false
}

func (f recordFormat) lengthChecksum(offset int64, length []byte) uint32 {
	input := binary.LittleEndian.AppendUint64(make([]byte, 0, 8+4), uint64(offset))
	return uint32(f.key.checksumShort(append(input, length[:4]...)))
}

func (f recordFormat) checksum(offset int64, header, body []byte) uint64 {
	input := binary.LittleEndian.AppendUint64(make([]byte, 0, 8+8), uint64(offset))
	return f.key.checksum(append(input, header[:8]...), body)
}
