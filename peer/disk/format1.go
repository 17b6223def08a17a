package disk

import (
	"encoding/binary"
	"hash/crc32"
)

// castagnoli is for the unkeyed checksums (CRC-32C) of the first format, which is still
// read; its logs are appended to until the next Replace.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Sizes in bytes.
const (
	slotHeaderSizeV1   = len(slotMagicV1) + 16
	logHeaderSizeV1    = len(logMagicV1) + 8
	recordHeaderSizeV1 = 12
)

func readSlotV1(raw []byte) slotFile {
	slot := slotFile{raw: raw}
	if len(raw) < slotHeaderSizeV1 {
		return slot
	}
	checksumOffset := slotHeaderSizeV1 - 4
	body := raw[slotHeaderSizeV1:]
	length := binary.LittleEndian.Uint32(raw[checksumOffset-4:])
	sum := crc32.Update(crc32.Checksum(raw[:checksumOffset], castagnoli), castagnoli, body)
	if uint64(len(body)) != uint64(length) || sum != binary.LittleEndian.Uint32(raw[checksumOffset:]) {
		return slot
	}
	slot.generation, slot.body = binary.LittleEndian.Uint64(raw[len(slotMagicV1):]), body
	return slot
}

func appendRecordV1(raw, body []byte) []byte {
	header := binary.LittleEndian.AppendUint32(nil, uint32(len(body)))
	header = binary.LittleEndian.AppendUint32(header, crc32.Checksum(header[:4], castagnoli))
	header = binary.LittleEndian.AppendUint32(header, crc32.Checksum(body, castagnoli))
	return append(append(raw, header...), body...)
}

func readRecordV1(raw []byte) ([]byte, int) {
	if len(raw) < recordHeaderSizeV1 {
		return nil, 0
	}
	length := binary.LittleEndian.Uint32(raw)
	if crc32.Checksum(raw[:4], castagnoli) != binary.LittleEndian.Uint32(raw[4:]) ||
		uint64(len(raw)) < recordHeaderSizeV1+uint64(length) {
		return nil, 0
	}
	body := raw[recordHeaderSizeV1 : recordHeaderSizeV1+length]
	if crc32.Checksum(body, castagnoli) != binary.LittleEndian.Uint32(raw[8:]) {
		return nil, 0
	}
	return body, recordHeaderSizeV1 + int(length)
}
