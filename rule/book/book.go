// Package book is a program's books: what its turns have put out, over whatever
// nodes, and what those under way may still put out.
package book

import (
	"hash/fnv"
	"time"
)

// Book is the durable state of one program. Charged holds ended turns at what
// they put out and lost ones at their most.
type Book struct {
	Charged int64            `msgpack:"c"`
	Running map[string]int64 `msgpack:"r,omitempty"`
	// Ended are marks of the newest ended attempts, so that a repeated
	// reservation that comes late books nothing.
	Ended   []uint32      `msgpack:"e,omitempty"`
	Touched time.Duration `msgpack:"t"`
}

// remembered is how many ended attempts are told from new ones.
const remembered = 32

func mark(attempt string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(attempt))
	return h.Sum32()
}

// Outstanding is what running turns may put out at most.
func (b *Book) Outstanding() int64 {
	var sum int64
	for _, most := range b.Running {
		sum += most
	}
	return sum
}

// Reserve books the most that a turn may put out, unless the budget cannot hold
// it. An attempt is booked once, however often it is asked for.
func (b *Book) Reserve(attempt string, most, budget int64) bool {
	if _, ok := b.Running[attempt]; ok {
		return true
	}
	m := mark(attempt)
	for _, e := range b.Ended {
		if e == m {
			return true
		}
	}
	if b.Charged+b.Outstanding()+most > budget {
		return false
	}
	if b.Running == nil {
		b.Running = map[string]int64{}
	}
	b.Running[attempt] = most
	return true
}

// Settle replaces an attempt's reservation by what it put out. One that has no
// reservation yet gets none later. It reports whether anything changed.
func (b *Book) Settle(attempt string, tokens int64) bool {
	for _, e := range b.Ended {
		if e == mark(attempt) {
			return false
		}
	}
	if _, ok := b.Running[attempt]; ok {
		delete(b.Running, attempt)
		b.Charged += tokens
	}
	b.Ended = append(b.Ended, mark(attempt))
	if n := len(b.Ended); n > remembered {
		b.Ended = append([]uint32(nil), b.Ended[n-remembered:]...)
	}
	return true
}
