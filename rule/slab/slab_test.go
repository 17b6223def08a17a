package slab

import "testing"

func TestStaleTicket(t *testing.T) {
	var s Slab[string]
	first := s.Put("a")
	if v, ok := s.Take(first); !ok || v != "a" {
		t.Fatal("the stored value was not returned")
	}
	second := s.Put("b")
	if uint32(first) != uint32(second) || first == second {
		t.Fatalf("tickets %x and %x: want the same slot and another generation", first, second)
	}
	if _, ok := s.Get(first); ok {
		t.Error("a stale ticket found the value of the next one")
	}
	if _, ok := s.Take(0); ok || s.Len() != 1 {
		t.Error("the zero ticket removed a value")
	}
}
