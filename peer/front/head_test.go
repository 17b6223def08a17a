package front

import (
	"net/http/httptest"
	"testing"

	"saffronfall/peer/replica"
)

// Hashes must agree on all nodes of a fleet and must not be computable without its key.
func TestHashesAreKeyed(t *testing.T) {
	read := func(key [2]uint64, name string) (affinity uint64, part uint64) {
		h := &handler{Options: Options{Headers: replica.DefaultHeaders, HashKey: key}}
		r := httptest.NewRequest("POST", "/a", nil)
		r.Header.Set("Saffronfall-Attempt", "a1")
		r.Header.Set("Saffronfall-Affinity", name)
		r.Header.Set("Saffronfall-Prompt", name+":5")
		a, fault := h.parseHead(r)
		if fault != "" {
			t.Fatal(fault)
		}
		return a.Affinity, a.Prompt[0].ID
	}
	affinity, part := read([2]uint64{1, 2}, "17")
	if again, samePart := read([2]uint64{1, 2}, "17"); again != affinity || samePart != part {
		t.Error("two nodes of one fleet hash differently")
	}
	if other, otherPart := read([2]uint64{1, 2}, "18"); other == affinity || otherPart == part {
		t.Error("two names have the same hash")
	}
	if elsewhere, otherPart := read([2]uint64{3, 4}, "17"); elsewhere == affinity || otherPart == part {
		t.Error("the hashes do not depend on the key")
	}
	h := &handler{Options: Options{Headers: replica.DefaultHeaders}}
	r := httptest.NewRequest("POST", "/a", nil)
	r.Header.Set("Saffronfall-Attempt", "a1")
	if a, _ := h.parseHead(r); a.Affinity != 0 {
		t.Error("a request without an affinity key has an affinity")
	}
}
