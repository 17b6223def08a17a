package partition

import (
	"sort"
	"time"
)

// Rules decide what a command does to the entries of a part.
type Rules interface {
	// Seated is called when this seat has come to own the part.
	Seated(now time.Duration, tx *Tx)
	// Apply runs one command and returns its answer.
	Apply(now time.Duration, tx *Tx, command any) any
}

// Tx is a command's view of a part.
type Tx struct {
	m       *Machine
	now     time.Duration
	written bool
}

// Clock is the part's clock. It is handed from owner to owner and never runs
// fast, so what is counted on it runs long, never short.
func (t *Tx) Clock() time.Duration { return t.m.clock(t.now) }

// Get reads an entry.
func (t *Tx) Get(key string) ([]byte, bool) {
	e, ok := t.m.owning.table[key]
	if !ok || e.Gone {
		return nil, false
	}
	return e.Value, true
}

// Put writes an entry.
func (t *Tx) Put(key string, value []byte) { t.put(Entry{Key: key, Value: value}) }

// Remove removes an entry, leaving a mark until all copies have it.
func (t *Tx) Remove(key string) {
	if _, ok := t.Get(key); ok {
		t.put(Entry{Key: key, Gone: true})
	}
}

// Keys lists the present keys that begin with a prefix, in order.
func (t *Tx) Keys(prefix string) []string {
	var keys []string
	for k, e := range t.m.owning.table {
		if !e.Gone && len(k) >= len(prefix) && k[:len(prefix)] == prefix {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	return keys
}

func (t *Tx) put(e Entry) {
	o := t.m.owning
	e.Stamp = Stamp{Term: o.term, Seq: o.seq + 1}
	o.supersede(e.Key)
	o.sum += t.m.digestKey.entry(e) - t.m.digestKey.entry(o.table[e.Key])
	o.table[e.Key] = e
	o.entries = append(o.entries, e)
	t.written = true
}
