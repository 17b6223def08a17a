// Package slab stores values, such as the state of pending requests, in reusable slots. A
// ticket identifies a slot and its generation, so that the ticket of a removed value is never
// valid for the next value in its slot. Start reading at Slab.
package slab

// Ticket identifies a stored value: the upper 32 bits are the generation of its slot, the lower
// 32 bits the index. Zero is never a valid ticket.
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

// Put stores a value and returns its ticket, which is never zero.
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

// Get returns the value of a ticket, and false if the ticket is no longer valid.
func (s *Slab[T]) Get(t Ticket) (T, bool) {
	var none T
	index, generation := uint32(t), uint32(t>>32)
	if int(index) >= len(s.slots) || !s.slots[index].used || s.slots[index].generation != generation {
		return none, false
	}
	return s.slots[index].value, true
}

// Take removes and returns the value of a ticket, and false if the ticket is no longer valid.
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

// Len returns the number of stored values.
func (s *Slab[T]) Len() int { return s.count }
