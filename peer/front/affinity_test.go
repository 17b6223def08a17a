package front

import (
	"net/http/httptest"
	"testing"

	"saffronfall/peer/replica"
)

// TestHashesAreKeyed: what requesters choose is told apart by hashes that only the fleet
// knows, alike at all its nodes.
func TestHashesAreKeyed(t *testing.T) {
	read := func(key [2]uint64, thing string) (affinity uint64, part uint64) {
		h := &handler{Options: Options{Names: replica.DefaultHeaders, HashKey: key}}
		r := httptest.NewRequest("POST", "/a", nil)
		r.Header.Set("Saffronfall-Attempt", "a1")
		r.Header.Set("Saffronfall-Affinity", thing)
		r.Header.Set("Saffronfall-Prompt", thing+":5")
		a, fault := h.read(r)
		if fault != "" {
			t.Fatal(fault)
		}
		return a.Affinity, a.Prompt[0].ID
	}
	thing, part := read([2]uint64{1, 2}, "17")
	if again, samePart := read([2]uint64{1, 2}, "17"); again != thing || samePart != part {
		t.Error("two nodes of one fleet hash differently")
	}
	if other, otherPart := read([2]uint64{1, 2}, "18"); other == thing || otherPart == part {
		t.Error("two things are one")
	}
	if elsewhere, otherPart := read([2]uint64{3, 4}, "17"); elsewhere == thing || otherPart == part {
		t.Error("another fleet's hashes are known")
	}
	h := &handler{Options: Options{Names: replica.DefaultHeaders}}
	r := httptest.NewRequest("POST", "/a", nil)
	r.Header.Set("Saffronfall-Attempt", "a1")
	if a, _ := h.read(r); a.Affinity != 0 {
		t.Error("a request that names no thing has one")
	}
}
