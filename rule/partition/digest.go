package partition

import (
	"encoding/binary"

	"github.com/dchest/siphash"
)

// DigestKey is the secret random key of a term's digests. States with the same digest are treated
// as equal, and tenants control the contents of entries. Without the key they can't construct two
// states with the same digest.
type DigestKey [2]uint64

// table returns the sum of the entries' digests, so that one changed entry updates it alone.
func (k DigestKey) table(table map[string]Entry) uint64 {
	var sum uint64
	for _, e := range table {
		sum += k.entry(e)
	}
	return sum
}

// entry returns the digest of one entry; it is 0 for tombstones and missing entries.
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

func (m *Machine) setDigestKey(k DigestKey) {
	if m.digestKey == k {
		return
	}
	m.digestKey = k
	m.digest = k.table(m.state.Entries)
}

func (m *Machine) newDigestKey() DigestKey {
	half := func() uint64 { return uint64(m.random()*(1<<32))<<32 | uint64(m.random()*(1<<32)) }
	return DigestKey{half(), half()}
}
