package disk

import (
	"bytes"
	"encoding/binary"
	"os"

	"github.com/cockroachdb/errors"
)

// Beginnings of slots: the present format and the first one, which is still read.
const (
	slotMagic    = "SFSLOT02"
	crcSlotMagic = "SFSLOT01"
)

// slotHeadSize is the size of a slot's head: magic, generation, key, length and sum.
const slotHeadSize = len(slotMagic) + 8 + sumKeySize + 8 + 8

// slotFile is what one of the two slots holds. One that is not whole has neither a body
// nor a generation.
type slotFile struct {
	raw        []byte
	generation uint64
	body       []byte
}

// slotFiles are both slots of a folder.
type slotFiles [2]slotFile

// newest is which of the slots counts.
func (s slotFiles) newest() int {
	if s[1].generation > s[0].generation {
		return 1
	}
	return 0
}

// ours reports whether a slot is whole, and so was written by this program.
func (s slotFiles) ours() bool { return s[0].generation+s[1].generation > 0 }

// readSlots reads both slots.
func (f *Folder) readSlots() (slots slotFiles, err error) {
	for i := range slots {
		raw, err := f.files.ReadFile(f.name("slot", i))
		if os.IsNotExist(err) {
			continue
		}
		if err != nil {
			return slots, errors.Wrap(err, "slot")
		}
		slots[i] = readSlot(raw)
	}
	for i, slot := range slots {
		if err := known(f.name("slot", i), slot.raw, slots.ours(), slotMagic, crcSlotMagic); err != nil {
			return slots, err
		}
	}
	return slots, nil
}

// known checks the first bytes of a file, where they are whole. A beginning of
// another version is a newer one's. Any other is damage where the folder has a
// slot of this program's, and else somebody else's.
func known(name string, raw []byte, ours bool, magics ...string) error {
	size := len(magics[0])
	if len(raw) < size || bytes.Count(raw[:size], []byte{0}) == size {
		return nil
	}
	for _, magic := range magics {
		if string(raw[:size]) == magic {
			return nil
		}
	}
	if family := magics[0][:size-2]; string(raw[:len(family)]) != family && ours {
		return nil
	}
	return errors.Wrapf(ErrForeign, "%s begins with %q and not with %q", name, raw[:size], magics[0])
}

// appendSlot makes a slot.
func appendSlot(key sumKey, generation uint64, state []byte) []byte {
	raw := make([]byte, 0, slotHeadSize+len(state))
	raw = append(raw, slotMagic...)
	raw = binary.LittleEndian.AppendUint64(raw, generation)
	raw = key.appendTo(raw)
	raw = binary.LittleEndian.AppendUint64(raw, uint64(len(state)))
	raw = binary.LittleEndian.AppendUint64(raw, key.sum(raw, state))
	return append(raw, state...)
}

// readSlot reads a slot of either format.
func readSlot(raw []byte) slotFile {
	if len(raw) >= len(crcSlotMagic) && string(raw[:len(crcSlotMagic)]) == crcSlotMagic {
		return readCRCSlot(raw)
	}
	slot := slotFile{raw: raw}
	if len(raw) < slotHeadSize || string(raw[:len(slotMagic)]) != slotMagic {
		return slot
	}
	sumAt := slotHeadSize - 8
	key := readSumKey(raw[len(slotMagic)+8:])
	body := raw[slotHeadSize:]
	length := binary.LittleEndian.Uint64(raw[sumAt-8:])
	sum := binary.LittleEndian.Uint64(raw[sumAt:])
	if uint64(len(body)) != length || key.sum(raw[:sumAt], body) != sum {
		return slot
	}
	slot.generation, slot.body = binary.LittleEndian.Uint64(raw[len(slotMagic):]), body
	return slot
}
