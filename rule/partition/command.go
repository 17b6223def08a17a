package partition

import (
	"sort"
	"time"
)

// Rules define the commands of a partition. They run at the leader only; what is replicated are the
// entries that they write.
type Rules interface {
	// Elected is called once in a term, when this member begins to serve as its leader.
	Elected(now time.Duration, tx *Tx)
	// Apply runs one command and returns its result.
	Apply(now time.Duration, tx *Tx, command any) any
}

// Tx gives one command access to the partition's entries.
type Tx struct {
	m     *Machine
	now   time.Duration
	wrote bool
}

// Clock returns the partition's clock, which each leader continues from its predecessor. It may lag
// behind real time but is never ahead, so periods measured by it are never too short.
func (t *Tx) Clock() time.Duration { return t.m.clock(t.now) }

// Get returns the value of an entry, and whether it exists.
func (t *Tx) Get(key string) ([]byte, bool) {
	e, ok := t.m.leading.table[key]
	if !ok || e.Deleted {
		return nil, false
	}
	return e.Value, true
}

// Put sets the value of an entry.
func (t *Tx) Put(key string, value []byte) { t.put(Entry{Key: key, Value: value}) }

// Delete deletes an entry. Its tombstone is kept until all members have it.
func (t *Tx) Delete(key string) {
	if _, ok := t.Get(key); ok {
		t.put(Entry{Key: key, Deleted: true})
	}
}

// Keys returns the keys of existing entries that begin with a prefix, in order.
func (t *Tx) Keys(prefix string) []string {
	var keys []string
	for k, e := range t.m.leading.table {
		if !e.Deleted && len(k) >= len(prefix) && k[:len(prefix)] == prefix {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	return keys
}

func (t *Tx) put(e Entry) {
	lead := t.m.leading
	e.Version = Version{Term: lead.term, Seq: lead.seq + 1}
	lead.keepCommitted(e.Key)
	lead.digest += t.m.digestKey.entry(e) - t.m.digestKey.entry(lead.table[e.Key])
	lead.table[e.Key] = e
	lead.queuedEntries = append(lead.queuedEntries, e)
	t.wrote = true
}
