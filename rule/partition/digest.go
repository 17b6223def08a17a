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
	encoded := make([]byte, 0, 32+len(e.Key)+len(e.Version.Term.Leader)+len(e.Value))
	encoded = binary.LittleEndian.AppendUint64(encoded, e.Version.Seq)
	encoded = binary.LittleEndian.AppendUint64(encoded, e.Version.Term.Round)
	encoded = binary.LittleEndian.AppendUint64(encoded, uint64(len(e.Key)))
	encoded = binary.LittleEndian.AppendUint64(encoded, uint64(len(e.Version.Term.Leader)))
	encoded = append(encoded, e.Key...)
	encoded = append(encoded, e.Version.Term.Leader...)
	encoded = append(encoded, e.Value...)
	return siphash.Hash(k[0], k[1], encoded)
}

func (m *Machine) setDigestKey(key DigestKey) {
	if m.digestKey == key {
		return
	}
	m.digestKey = key
	m.digest = key.table(m.state.Entries)
}

func (m *Machine) newDigestKey() DigestKey {
	randomWord := func() uint64 { return uint64(m.random()*(1<<32))<<32 | uint64(m.random()*(1<<32)) }
	return DigestKey{randomWord(), randomWord()}
}
