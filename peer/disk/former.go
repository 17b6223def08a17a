package disk

import (
	"encoding/binary"
	"hash/crc32"
)

// The first format of this package, with checksums that anybody can make. Folders of
// it are read, and their logs appended to until the next state is written.

var crcTable = crc32.MakeTable(crc32.Castagnoli)

const (
	crcSlotHeadSize  = len(crcSlotMagic) + 16
	crcLogHeadSize   = len(crcLogMagic) + 8
	crcFrameHeadSize = 12
)

func readCRCSlot(raw []byte) slotFile {
	slot := slotFile{raw: raw}
	if len(raw) < crcSlotHeadSize {
		return slot
	}
	sumAt := crcSlotHeadSize - 4
	body := raw[crcSlotHeadSize:]
	length := binary.LittleEndian.Uint32(raw[sumAt-4:])
	sum := crc32.Update(crc32.Checksum(raw[:sumAt], crcTable), crcTable, body)
	if uint64(len(body)) != uint64(length) || sum != binary.LittleEndian.Uint32(raw[sumAt:]) {
		return slot
	}
	slot.generation, slot.body = binary.LittleEndian.Uint64(raw[len(crcSlotMagic):]), body
	return slot
}

func appendCRC(raw, body []byte) []byte {
	head := binary.LittleEndian.AppendUint32(nil, uint32(len(body)))
	head = binary.LittleEndian.AppendUint32(head, crc32.Checksum(head[:4], crcTable))
	head = binary.LittleEndian.AppendUint32(head, crc32.Checksum(body, crcTable))
	return append(append(raw, head...), body...)
}

func readCRC(raw []byte) ([]byte, int) {
	if len(raw) < crcFrameHeadSize {
		return nil, 0
	}
	length := binary.LittleEndian.Uint32(raw)
	if crc32.Checksum(raw[:4], crcTable) != binary.LittleEndian.Uint32(raw[4:]) || uint64(len(raw)) < crcFrameHeadSize+uint64(length) {
		return nil, 0
	}
	body := raw[crcFrameHeadSize : crcFrameHeadSize+length]
	if crc32.Checksum(body, crcTable) != binary.LittleEndian.Uint32(raw[8:]) {
		return nil, 0
	}
	return body, crcFrameHeadSize + int(length)
}
