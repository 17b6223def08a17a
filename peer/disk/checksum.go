package disk

import (
	"crypto/rand"
	"encoding/binary"
	"hash"

	"github.com/cockroachdb/errors"
	"github.com/dchest/siphash"
)

// checksumKey is the random key of a file's checksums (SipHash, Aumasson and Bernstein
// 2012). Any subset of the blocks of the last write may survive a power failure. With
// unkeyed checksums a tenant could store bytes that look like a log record, or whose
// loss leaves the checksum unchanged.
type checksumKey [2]uint64

const checksumKeySize = 16 // bytes

func newChecksumKey() (checksumKey, error) {
	raw := make([]byte, checksumKeySize)
	if _, err := rand.Read(raw); err != nil {
		return checksumKey{}, errors.Wrap(err, "generating a checksum key")
	}
	return decodeChecksumKey(raw), nil
}

func decodeChecksumKey(raw []byte) checksumKey {
	return checksumKey{binary.LittleEndian.Uint64(raw), binary.LittleEndian.Uint64(raw[8:])}
}

func (k checksumKey) appendTo(raw []byte) []byte {
	raw = binary.LittleEndian.AppendUint64(raw, k[0])
	return binary.LittleEndian.AppendUint64(raw, k[1])
}

// checksum includes the header's length, so that kinds of headers cannot be confused.
func (k checksumKey) checksum(header, body []byte) uint64 {
	hash := k.hash(header)
	hash.Write(body)
	return hash.Sum64()
}

// hash returns the checksum's hash before the body is written to it.
func (k checksumKey) hash(header []byte) hash.Hash64 {
	hash := siphash.New(k.appendTo(make([]byte, 0, checksumKeySize)))
	hash.Write([]byte{byte(len(header))})
	hash.Write(header)
	return hash
}

// checksumShort does not allocate.
func (k checksumKey) checksumShort(input []byte) uint64 { return siphash.Hash(k[0], k[1], input) }
