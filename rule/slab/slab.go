// Package slab keeps the waiting steps of inquiries in reusable slots. A ticket
// names a slot and its generation, so that what comes late for a slot that has
// since been reused finds nothing.
package slab

// Ticket names a kept value: generation in the upper half, index in the lower.
type Ticket uint64

// Slab keeps values of one type.
type Slab[T any] struct {
	slots []slot[T]
	free  []uint32
	count int
}

type slot[T any] struct {
	generation uint32
	used       bool
	value      T
}

// Keep stores a value and returns its ticket, which is never zero.
func (s *Slab[T]) Put(value T) Ticket {
	var index uint32
	if n := len(s.free); n > 0 {
		index, s.free = s.free[n-1], s.free[:n-1]
	} else {
		index = uint32(len(s.slots))
		s.slots = append(s.slots, slot[T]{generation: 1})
	}
	s.slots[index].used, s.slots[index].value = true, value
	s.count++
	return Ticket(uint64(s.slots[index].generation)<<32 | uint64(index))
}

// Look returns the value of a ticket that is still current.
func (s *Slab[T]) Get(t Ticket) (T, bool) {
	var none T
	index, generation := uint32(t), uint32(t>>32)
	if int(index) >= len(s.slots) || !s.slots[index].used || s.slots[index].generation != generation {
		return none, false
	}
	return s.slots[index].value, true
}

// Take returns the value of a current ticket and ends the ticket.
func (s *Slab[T]) Take(t Ticket) (T, bool) {
	value, ok := s.Get(t)
	if !ok {
		return value, false
	}
	var none T
	index := uint32(t)
	s.slots[index].value, s.slots[index].used = none, false
	s.slots[index].generation++
	if s.slots[index].generation == 0 {
		s.slots[index].generation = 1
	}
	s.free = append(s.free, index)
	s.count--
	return value, true
}

// Used is how many values are kept.
func (s *Slab[T]) Len() int { return s.count }
