package disk

import (
	"crypto/rand"
	"encoding/binary"

	"github.com/cockroachdb/errors"
	"github.com/dchest/siphash"
)

// sumKey is the key of a file's checksums (SipHash, Aumasson and Bernstein 2012), drawn
// by chance for each file. Tenants choose what files hold, and which blocks of a last
// write outlive a loss of power is chance: without a key they could choose bytes that
// look like a frame of the log, or whose loss a checksum does not show.
type sumKey [2]uint64

const sumKeySize = 16

// newSumKey draws a key.
func newSumKey() (sumKey, error) {
	raw := make([]byte, sumKeySize)
	if _, err := rand.Read(raw); err != nil {
		return sumKey{}, errors.Wrap(err, "drawing a key")
	}
	return readSumKey(raw), nil
}

func readSumKey(raw []byte) sumKey {
	return sumKey{binary.LittleEndian.Uint64(raw), binary.LittleEndian.Uint64(raw[8:])}
}

func (k sumKey) appendTo(raw []byte) []byte {
	raw = binary.LittleEndian.AppendUint64(raw, k[0])
	return binary.LittleEndian.AppendUint64(raw, k[1])
}

// sum is the checksum of a head, whose length tells its kind, and a body.
func (k sumKey) sum(head, body []byte) uint64 {
	h := siphash.New(k.appendTo(make([]byte, 0, sumKeySize)))
	h.Write([]byte{byte(len(head))})
	h.Write(head)
	h.Write(body)
	return h.Sum64()
}

// shortSum is the checksum of a few bytes, without an allocation.
func (k sumKey) shortSum(text []byte) uint64 { return siphash.Hash(k[0], k[1], text) }
