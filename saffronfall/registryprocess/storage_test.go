package registryprocess

import (
	"testing"

	"github.com/go-logr/logr"

	"saffronfall/peer/core"
	"saffronfall/peer/registry"
)

// Guards against a duty to found the fleet that ends with the process, or with its log.
func TestFoundingDutyIsStored(t *testing.T) {
	path := t.TempDir()
	reopen := func() *process {
		dataDir, state := open(path, logr.Discard())
		s := &process{storage: storage{dataDir: dataDir}, log: logr.Discard(), machine: registry.New(registry.Options{ID: "d1"})}
		if duty := s.resumeFounding(state.founding, false); !duty.MayFound {
			t.Fatalf("after a restart: %+v", duty)
		}
		return s
	}
	dataDir, state := open(path, logr.Discard())
	first := &process{storage: storage{dataDir: dataDir}, log: logr.Discard()}
	if duty := first.resumeFounding(state.founding, true); !duty.MayFound || duty.Plan != nil {
		t.Fatalf("at the first start: %+v", duty)
	}
	dataDir.Close()
	second := reopen()
	if !second.storeFounding(registry.FoundingDuty{MayFound: true, Plan: &core.Founding{Fleet: "f"}}) {
		t.Fatal("the plan was not stored")
	}
	for range 40 {
		var entries []registry.ReplicaEntry
		for range 200 {
			entries = append(entries, entry("a replica with a long name, so that a new slot is written", false))
		}
		second.store(entries, nil)
	}
	second.dataDir.Close()
	third := reopen()
	if third.storedFounding.Plan == nil || third.storedFounding.Plan.Fleet != "f" {
		t.Errorf("the plan is lost: %+v", third.storedFounding)
	}
	third.dataDir.Close()
	if third.storeFounding(registry.FoundingDuty{MayFound: true, Plan: &core.Founding{Fleet: "g"}}) {
		t.Error("a plan that could not be stored is sent")
	}
}

// Guards against a founding by a registry that was not told to found one.
func TestOnlyABootstrapRegistryFounds(t *testing.T) {
	dataDir, state := open(t.TempDir(), logr.Discard())
	s := &process{storage: storage{dataDir: dataDir}, log: logr.Discard()}
	if duty := s.resumeFounding(state.founding, false); duty.MayFound || duty.Plan != nil {
		t.Errorf("%+v", duty)
	}
}
