// Package slab stores values in reusable slots. The ticket of a removed value is not valid for the
// next value in its slot. Start reading at Slab.
package slab

// Ticket holds the generation of a slot in the upper 32 bits and its index in the lower ones. Zero
// is never valid.
type Ticket uint64

// Slab stores values of one type. Its zero value is ready for use. It is not safe for concurrent
// use.
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

// Put stores a value and returns its ticket.
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

// Get returns the value of a ticket, and false if it is not valid.
func (s *Slab[T]) Get(ticket Ticket) (T, bool) {
	var none T
	index, generation := uint32(ticket), uint32(ticket>>32)
	if int(index) >= len(s.slots) || !s.slots[index].used || s.slots[index].generation != generation {
		return none, false
	}
	return s.slots[index].value, true
}

// Take removes and returns the value of a ticket, and false if it is not valid.
func (s *Slab[T]) Take(ticket Ticket) (T, bool) {
	value, ok := s.Get(ticket)
	if !ok {
		return value, false
	}
	var none T
	index := uint32(ticket)
	s.slots[index].value, s.slots[index].used = none, false
	s.slots[index].generation++
	if s.slots[index].generation == 0 {
		s.slots[index].generation = 1
	}
	s.free = append(s.free, index)
	s.count--
	return value, true
}

// Len returns the number of stored values.
func (s *Slab[T]) Len() int { return s.count }
