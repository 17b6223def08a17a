package disk

import (
	"encoding/binary"
	"os"

	"github.com/cockroachdb/errors"
)

// Beginnings of logs: the present format and the first one, which is still read and
// appended to until the next state is written.
const (
	logMagic    = "SFLOG002"
	crcLogMagic = "SFLOG001"
)

// logHeadSize is the size of a log's head: magic, generation, key and sum.
const logHeadSize = len(logMagic) + 8 + sumKeySize + 8

// logHead is what a log begins with.
func logHead(key sumKey, generation uint64) []byte {
	raw := binary.LittleEndian.AppendUint64([]byte(logMagic), generation)
	raw = key.appendTo(raw)
	return binary.LittleEndian.AppendUint64(raw, key.sum(raw, nil))
}

// logFile is one of the two logs.
type logFile struct {
	raw        []byte
	generation uint64
	headSize   int
	frames     frames
}

// logFiles are both logs of a folder.
type logFiles [2]logFile

// present reports whether there is a log.
func (l logFiles) present() bool { return l[0].raw != nil || l[1].raw != nil }

// generation is that of the newest log.
func (l logFiles) generation() uint64 { return max(l[0].generation, l[1].generation) }

// readLogs reads both logs. A damaged head makes the copy count as lost, as a log comes
// into being whole.
func (f *Folder) readLogs(ours bool) (logs logFiles, err error) {
	for i := range logs {
		raw, err := f.files.ReadFile(f.name("log", i))
		if os.IsNotExist(err) {
			continue
		}
		if err != nil {
			return logs, errors.Wrap(err, "log")
		}
		if err := known(f.name("log", i), raw, ours, logMagic, crcLogMagic); err != nil {
			return logs, err
		}
		var whole bool
		if logs[i], whole = readLogHead(raw); !whole {
			return logs, errors.Wrap(ErrLost, "a log's head is damaged")
		}
	}
	return logs, nil
}

// readLogHead reads the head of a log of either format, and reports whether it is whole.
func readLogHead(raw []byte) (logFile, bool) {
	l := logFile{raw: raw}
	switch {
	case len(raw) >= logHeadSize && string(raw[:len(logMagic)]) == logMagic:
		key := readSumKey(raw[len(logMagic)+8:])
		sumAt := logHeadSize - 8
		if key.sum(raw[:sumAt], nil) != binary.LittleEndian.Uint64(raw[sumAt:]) {
			return l, false
		}
		l.headSize, l.frames = logHeadSize, frames{key: &key}
	case len(raw) >= crcLogHeadSize && string(raw[:len(crcLogMagic)]) == crcLogMagic:
		l.headSize = crcLogHeadSize
	default:
		return l, false
	}
	l.generation = binary.LittleEndian.Uint64(raw[len(logMagic):])
	return l, true
}

// frames is the format of a log's frames: each has a length with a check of its own, so
// that a frame can be looked for anywhere, and a check of the whole. Without a key they
// are of the first format.
type frames struct{ key *sumKey }

// frameHeadSize is the size of a frame's head: length, its check, and the sum.
const frameHeadSize = 4 + 4 + 8

// append appends a frame that stands at a position of the log.
func (f frames) append(raw []byte, at int64, body []byte) []byte {
	if f.key == nil {
		return appendCRC(raw, body)
	}
	head := binary.LittleEndian.AppendUint32(nil, uint32(len(body)))
	head = binary.LittleEndian.AppendUint32(head, f.lengthCheck(at, head))
	head = binary.LittleEndian.AppendUint64(head, f.sum(at, head, body))
	return append(append(raw, head...), body...)
}

// read reads the frame at a position of the log, and how long it is with its head; zero
// where there is none.
func (f frames) read(raw []byte, at int64) ([]byte, int) {
	if f.key == nil {
		return readCRC(raw)
	}
	if len(raw) < frameHeadSize {
		return nil, 0
	}
	length := uint64(binary.LittleEndian.Uint32(raw))
	if f.lengthCheck(at, raw[:4]) != binary.LittleEndian.Uint32(raw[4:]) || uint64(len(raw)) < frameHeadSize+length {
		return nil, 0
	}
	end := frameHeadSize + int(length)
	body := raw[frameHeadSize:end]
	if f.sum(at, raw[:8], body) != binary.LittleEndian.Uint64(raw[8:]) {
		return nil, 0
	}
	return body, end
}

// any reports whether there is a frame anywhere from a position on.
func (f frames) any(raw []byte, at int64) bool {
	for i := range raw {
		if _, n := f.read(raw[i:], at+int64(i)); n > 0 {
			return true
		}
	}
	return false
}

// lengthCheck checks a frame's length at its position.
func (f frames) lengthCheck(at int64, length []byte) uint32 {
	text := binary.LittleEndian.AppendUint64(make([]byte, 0, 8+4), uint64(at))
	return uint32(f.key.shortSum(append(text, length[:4]...)))
}

// sum checks a whole frame at its position.
func (f frames) sum(at int64, head, body []byte) uint64 {
	text := binary.LittleEndian.AppendUint64(make([]byte, 0, 8+8), uint64(at))
	return f.key.sum(append(text, head[:8]...), body)
}
