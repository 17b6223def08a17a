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
	slotMagic   = "SFSLOT02"
	slotMagicV1 = "SFSLOT01"
)

// checksumSize is the size of a file's or record's checksum, in bytes.
const checksumSize = 8

// slotHeaderSize covers the magic number, generation, key, length and checksum, in bytes.
const slotHeaderSize = len(slotMagic) + 8 + checksumKeySize + 8 + checksumSize

// bufferSize is the size of the buffers in which files are read and written, in bytes.
const bufferSize = 256 << 10

// slotFile is the header of a slot on disk. If the slot is invalid, its generation is zero.
type slotFile struct {
	header     []byte
	generation uint64
	headerSize int64
}

type slotFiles [2]slotFile

func (s slotFiles) newest() int {
	if s[1].generation > s[0].generation {
		return 1
	}
	return 0
}

// recognized reports whether a valid slot shows that this program wrote the directory.
func (s slotFiles) recognized() bool { return s[0].generation+s[1].generation > 0 }

func (s *Store) readSlots() (slots slotFiles, err error) {
	for i := range slots {
		file, err := s.files.Open(s.name("slot", i))
		if os.IsNotExist(err) {
			continue
		}
		if err == nil {
			slots[i], err = readSlot(bufio.NewReaderSize(file, bufferSize))
			file.Close()
		}
		if err != nil {
			return slots, errors.Wrap(err, "reading a slot")
		}
	}
	for i, slot := range slots {
		if err := checkMagic(s.name("slot", i), slot.header, slots.recognized(), slotMagic, slotMagicV1); err != nil {
			return slots, err
		}
	}
	return slots, nil
}

// visitSlot passes the state in a valid slot to the visitor.
func (s *Store) visitSlot(i int, slot slotFile, visitor Visitor) error {
	file, err := s.files.Open(s.name("slot", i))
	if err != nil {
		return errors.Wrap(err, "reading a slot")
	}
	defer file.Close()
	in := bufio.NewReaderSize(file, bufferSize)
	if _, err := in.Discard(int(slot.headerSize)); err != nil {
		return errors.Wrap(err, "reading a slot")
	}
	return visitor.VisitState(in)
}

// checkMagic returns ErrUnknownFormat for a file of a newer version or another program. In
// a recognized directory, any mismatch besides the version is damage, which the caller
// detects.
func checkMagic(name string, raw []byte, recognized bool, magics ...string) error {
	size := len(magics[0])
	if len(raw) < size || bytes.Count(raw[:size], []byte{0}) == size {
		return nil
	}
	for _, magic := range magics {
		if string(raw[:size]) == magic {
			return nil
		}
	}
	if formatPrefix := magics[0][:size-2]; string(raw[:len(formatPrefix)]) != formatPrefix && recognized {
		return nil
	}
	return errors.Wrapf(ErrUnknownFormat, "%s begins with %q, want %q", name, raw[:size], magics[0])
}

// slotHeader is a slot's header up to its checksum.
func slotHeader(key checksumKey, generation, length uint64) []byte {
	raw := make([]byte, 0, slotHeaderSize)
	raw = append(raw, slotMagic...)
	raw = binary.LittleEndian.AppendUint64(raw, generation)
	raw = key.appendTo(raw)
	return binary.LittleEndian.AppendUint64(raw, length)
}

// writeSlot writes a slot of the current generation with an encoded state of the given length. Its
// checksum is written last, so that the state need not be held in memory.
func (s *Store) writeSlot(file File, key checksumKey, length int64, encode func(io.Writer) error) error {
	header := slotHeader(key, s.generation, uint64(length))
	if _, err := file.Write(append(bytes.Clone(header), make([]byte, checksumSize)...)); err != nil {
		return err
	}
	hash := key.hash(header)
	var written byteCounter
	out := bufio.NewWriterSize(io.MultiWriter(file, hash, &written), bufferSize)
	if err := encode(out); err != nil {
		return err
	}
	if err := out.Flush(); err != nil {
		return err
	}
	if int64(written) != length {
		return errors.Newf("the state has %d bytes and had %d", written, length)
	}
	if _, err := file.Seek(int64(len(header)), io.SeekStart); err != nil {
		return err
	}
	_, err := file.Write(binary.LittleEndian.AppendUint64(nil, hash.Sum64()))
	return err
}

// readSlot reads a slot and checks its checksum.
func readSlot(in io.Reader) (slotFile, error) {
	header := make([]byte, slotHeaderSize)
	n, err := io.ReadFull(in, header)
	slot := slotFile{header: header[:n]}
	switch {
	case err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
		return slot, err
	case n >= len(slotMagicV1) && string(header[:len(slotMagicV1)]) == slotMagicV1:
		return readSlotV1(slot, in)
	case n < slotHeaderSize || string(header[:len(slotMagic)]) != slotMagic:
		return slot, nil
	}
	checksumOffset := slotHeaderSize - checksumSize
	hash := decodeChecksumKey(header[len(slotMagic)+8:]).hash(header[:checksumOffset])
	size, err := io.Copy(hash, in)
	if err != nil {
		return slot, err
	}
	length := binary.LittleEndian.Uint64(header[checksumOffset-8:])
	if uint64(size) == length && hash.Sum64() == binary.LittleEndian.Uint64(header[checksumOffset:]) {
		slot.generation, slot.headerSize = binary.LittleEndian.Uint64(header[len(slotMagic):]), int64(slotHeaderSize)
	}
	return slot, nil
}
