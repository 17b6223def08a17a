package partition

import (
	"sort"
	"time"
)

// Rules decide what a command does to the entries of a part.
type Rules interface {
	// Seated is called when this seat has come to own the part.
	Elected(now time.Duration, tx *Tx)
	// Apply runs one command and returns its answer.
	Apply(now time.Duration, tx *Tx, command any) any
}

// Tx is a command's view of a part.
type Tx struct {
	m     *Machine
	now   time.Duration
	wrote bool
}

// Clock is the part's clock. It is handed from owner to owner and never runs
// fast, so what is counted on it runs long, never short.
func (t *Tx) Clock() time.Duration { return t.m.clock(t.now) }

// Get reads an entry.
func (t *Tx) Get(key string) ([]byte, bool) {
	e, ok := t.m.leading.table[key]
	if !ok || e.Deleted {
		return nil, false
	}
	return e.Value, true
}

// Put writes an entry.
func (t *Tx) Put(key string, value []byte) { t.put(Entry{Key: key, Value: value}) }

// Remove removes an entry, leaving a mark until all copies have it.
func (t *Tx) Delete(key string) {
	if _, ok := t.Get(key); ok {
		t.put(Entry{Key: key, Deleted: true})
	}
}

// Keys lists the present keys that begin with a prefix, in order.
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
