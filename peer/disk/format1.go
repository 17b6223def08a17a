package disk

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"io"
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

// readSlotV1 reads a slot of which a part is read already: slot.header, and the rest from in.
func readSlotV1(slot slotFile, in io.Reader) (slotFile, error) {
	if len(slot.header) < slotHeaderSizeV1 {
		return slot, nil
	}
	checksumOffset := slotHeaderSizeV1 - 4
	hash := crc32.New(castagnoli)
	hash.Write(slot.header[:checksumOffset])
	size, err := io.Copy(hash, io.MultiReader(bytes.NewReader(slot.header[slotHeaderSizeV1:]), in))
	if err != nil {
		return slot, err
	}
	length := binary.LittleEndian.Uint32(slot.header[checksumOffset-4:])
	if uint64(size) == uint64(length) && hash.Sum32() == binary.LittleEndian.Uint32(slot.header[checksumOffset:]) {
		slot.generation, slot.headerSize = binary.LittleEndian.Uint64(slot.header[len(slotMagicV1):]), int64(slotHeaderSizeV1)
	}
	return slot, nil
}

func appendRecordV1(raw, body []byte) []byte {
	header := binary.LittleEndian.AppendUint32(nil, uint32(len(body)))
	header = binary.LittleEndian.AppendUint32(header, crc32.Checksum(header[:4], castagnoli))
	header = binary.LittleEndian.AppendUint32(header, crc32.Checksum(body, castagnoli))
	return append(append(raw, header...), body...)
}

// recordLengthV1 returns the length of the record whose header raw is, if its header is valid.
func recordLengthV1(raw []byte) (int64, bool) {
	valid := crc32.Checksum(raw[:4], castagnoli) == binary.LittleEndian.Uint32(raw[4:])
	return recordHeaderSizeV1 + int64(binary.LittleEndian.Uint32(raw)), valid
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
