package part

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

func digest(table map[string]Entry) uint64 {
	var sum uint64
	for _, e := range table {
		sum += e.digest()
	}
	return sum
}

// digest is an entry's share of the sum over a table. Marks of removal, and what
// is not there, have none.
func (e Entry) digest() uint64 {
	if e.Gone || e.Stamp == (Stamp{}) {
		return 0
	}
	var h xxhash.Digest
	h.Reset()
	h.WriteString(e.Key)
	var tail [24]byte
	binary.LittleEndian.PutUint64(tail[0:], e.Stamp.Seq)
	binary.LittleEndian.PutUint64(tail[8:], e.Stamp.Term.Round)
	binary.LittleEndian.PutUint64(tail[16:], uint64(len(e.Key)))
	h.Write(tail[:])
	h.WriteString(e.Stamp.Term.Owner)
	h.Write(e.Value)
	return h.Sum64()
}
