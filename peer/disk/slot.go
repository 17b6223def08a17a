package disk

import (
	"bytes"
	"encoding/binary"
	"os"

	"github.com/cockroachdb/errors"
)

const (
	slotMagic   = "SFSLOT02"
	slotMagicV1 = "SFSLOT01"
)

// slotHeaderSize covers the magic number, generation, key, length and checksum, in bytes.
const slotHeaderSize = len(slotMagic) + 8 + checksumKeySize + 8 + 8

// slotFile is a slot as read from disk. If invalid, it has generation zero and a nil body.
type slotFile struct {
	raw        []byte
	generation uint64
	body       []byte
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
		raw, err := s.files.ReadFile(s.name("slot", i))
		if os.IsNotExist(err) {
			continue
		}
		if err != nil {
			return slots, errors.Wrap(err, "reading a slot")
		}
		slots[i] = readSlot(raw)
	}
	for i, slot := range slots {
		if err := checkMagic(s.name("slot", i), slot.raw, slots.recognized(), slotMagic, slotMagicV1); err != nil {
			return slots, err
		}
	}
	return slots, nil
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

func appendSlot(key checksumKey, generation uint64, state []byte) []byte {
	raw := make([]byte, 0, slotHeaderSize+len(state))
	raw = append(raw, slotMagic...)
	raw = binary.LittleEndian.AppendUint64(raw, generation)
	raw = key.appendTo(raw)
	raw = binary.LittleEndian.AppendUint64(raw, uint64(len(state)))
	raw = binary.LittleEndian.AppendUint64(raw, key.checksum(raw, state))
	return append(raw, state...)
}

func readSlot(raw []byte) slotFile {
	if len(raw) >= len(slotMagicV1) && string(raw[:len(slotMagicV1)]) == slotMagicV1 {
		return readSlotV1(raw)
	}
	slot := slotFile{raw: raw}
	if len(raw) < slotHeaderSize || string(raw[:len(slotMagic)]) != slotMagic {
		return slot
	}
	checksumOffset := slotHeaderSize - 8
	key := decodeChecksumKey(raw[len(slotMagic)+8:])
	body := raw[slotHeaderSize:]
	length := binary.LittleEndian.Uint64(raw[checksumOffset-8:])
	sum := binary.LittleEndian.Uint64(raw[checksumOffset:])
	if uint64(len(body)) != length || key.checksum(raw[:checksumOffset], body) != sum {
		return slot
	}
	slot.generation, slot.body = binary.LittleEndian.Uint64(raw[len(slotMagic):]), body
	return slot
}
