package slab

import "testing"

// TestLateTicket: what comes late for a slot that was reused finds nothing.
func TestStaleTicket(t *testing.T) {
	var s Slab[string]
	first := s.Put("a")
	if v, ok := s.Take(first); !ok || v != "a" {
		t.Fatal("not kept")
	}
	second := s.Put("b")
	if uint32(first) != uint32(second) || first == second {
		t.Fatalf("%x and %x", first, second)
	}
	if _, ok := s.Get(first); ok {
		t.Error("a late ticket found the next one's value")
	}
	if _, ok := s.Take(0); ok || s.Len() != 1 {
		t.Error("the ticket that is none")
	}
}
