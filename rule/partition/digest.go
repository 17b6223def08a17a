package partition

import (
	"encoding/binary"

	"github.com/dchest/siphash"
)

// DigestKey is the secret of a term's digests. Its leader draws it by chance and
// tells its replicas. Two copies with the same digest are taken for equal, and
// tenants choose what entries hold, so nobody outside may be able to make two
// different copies with one digest.
type DigestKey [2]uint64

// sum is the digest of a table: the sum of its entries' digests, so that one
// changed entry costs no more than that entry.
func (k DigestKey) table(table map[string]Entry) uint64 {
	var sum uint64
	for _, e := range table {
		sum += k.entry(e)
	}
	return sum
}

// entry is one entry's share of the sum. Tombstones, and entries that are not
// there, have none.
func (k DigestKey) entry(e Entry) uint64 {
	if e.Deleted || e.Version == (Version{}) {
		return 0
	}
	text := make([]byte, 0, 32+len(e.Key)+len(e.Version.Term.Leader)+len(e.Value))
	text = binary.LittleEndian.AppendUint64(text, e.Version.Seq)
	text = binary.LittleEndian.AppendUint64(text, e.Version.Term.Round)
	text = binary.LittleEndian.AppendUint64(text, uint64(len(e.Key)))
	text = binary.LittleEndian.AppendUint64(text, uint64(len(e.Version.Term.Leader)))
	text = append(text, e.Key...)
	text = append(text, e.Version.Term.Leader...)
	text = append(text, e.Value...)
	return siphash.Hash(k[0], k[1], text)
}

// useKey makes the digest of this replica's copy one under a key.
func (m *Machine) setDigestKey(k DigestKey) {
	if m.digestKey == k {
		return
	}
	m.digestKey = k
	m.digest = k.table(m.state.Entries)
}

// newKey draws a key.
func (m *Machine) newDigestKey() DigestKey {
	half := func() uint64 { return uint64(m.random()*(1<<32))<<32 | uint64(m.random()*(1<<32)) }
	return DigestKey{half(), half()}
}
