package registryprocess

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"saffronfall/peer/core"
	"saffronfall/peer/registry"
	"saffronfall/rule/message"
)

func entry(id string, leaving bool) registry.ReplicaEntry {
	return registry.ReplicaEntry{Replica: registry.Replica{ID: id, Service: "app", Address: id + ":1", Leaving: leaving}}
}

// TestReplicasAreStored also checks that a damaged data directory is set aside.
func TestReplicasAreStored(t *testing.T) {
	path := t.TempDir()
	dataDir, state := open(path, logr.Discard())
	replicas := state.replicaList()
	if dataDir == nil || len(replicas) != 0 {
		t.Fatalf("%v, %+v", dataDir, replicas)
	}
	s := &process{storage: storage{dataDir: dataDir}, log: logr.Discard()}
	s.store([]registry.ReplicaEntry{entry("a", false), entry("b", false)}, nil)
	s.store([]registry.ReplicaEntry{entry("b", true)}, nil)
	s.store(nil, nil)
	dataDir.Close()
	dataDir, state = open(path, logr.Discard())
	replicas = state.replicaList()
	if len(replicas) != 2 || replicas[0].Replica.Leaving || !replicas[1].Replica.Leaving {
		t.Fatalf("%+v", replicas)
	}
	if err := dataDir.Replace(message.Marshal(replicas)); err != nil {
		t.Fatal(err)
	}
	s.dataDir = dataDir
	s.store([]registry.ReplicaEntry{entry("c", false)}, nil)
	dataDir.Close()
	dataDir, state = open(path, logr.Discard())
	replicas = state.replicaList()
	if len(replicas) != 3 {
		t.Fatalf("%+v", replicas)
	}
	dataDir.Close()
	names, _ := filepath.Glob(filepath.Join(path, "slot-*"))
	for _, name := range names {
		raw, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		raw[len(raw)-1] ^= 0xff
		if err := os.WriteFile(name, raw, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	dataDir, state = open(path, logr.Discard())
	replicas = state.replicaList()
	if dataDir == nil || len(replicas) != 0 {
		t.Fatalf("after damage: %v, %+v", dataDir, replicas)
	}
	dataDir.Close()
	if aside, _ := filepath.Glob(filepath.Join(path, "lost-*")); len(aside) != 1 {
		t.Fatalf("the damaged data directory is not set aside: %v", aside)
	}
}

func TestFailingDirectoryIsAbandoned(t *testing.T) {
	dataDir, _ := open(t.TempDir(), logr.Discard())
	s := &process{storage: storage{dataDir: dataDir}, log: logr.Discard()}
	dataDir.Close()
	s.store([]registry.ReplicaEntry{entry("a", false)}, nil)
	if s.dataDir != nil {
		t.Fatal("a data directory that failed is still used")
	}
	s.store([]registry.ReplicaEntry{entry("b", false)}, nil)
}

// TestPeersAreStored also reads a record of a former version, the list of replicas alone.
func TestPeersAreStored(t *testing.T) {
	path := t.TempDir()
	dataDir, state := open(path, logr.Discard())
	if state.peers != nil {
		t.Fatalf("a new data directory holds peers: %+v", state.peers)
	}
	if err := dataDir.Append(message.Marshal([]registry.ReplicaEntry{entry("a", false)})); err != nil {
		t.Fatal(err)
	}
	s := &process{storage: storage{dataDir: dataDir}, log: logr.Discard()}
	s.store(nil, &registry.Peers{Fleet: "f", Registries: []string{"d1:1"}})
	s.store([]registry.ReplicaEntry{entry("b", false)}, &registry.Peers{Fleet: "f", Registries: []string{"d1:1", "d2:1"}, Cores: map[string]core.Core{"c": {ID: "c", Peer: "c:1"}}})
	dataDir.Close()
	dataDir, state = open(path, logr.Discard())
	replicas, peers := state.replicaList(), state.peers
	if len(replicas) != 2 || peers == nil || len(peers.Registries) != 2 || peers.Cores["c"].Peer != "c:1" {
		t.Fatalf("%+v %+v", replicas, peers)
	}
	dataDir.Close()
}

// TestUnreadableTableIsLogged guards against a registry that drops a table silently.
func TestUnreadableTableIsLogged(t *testing.T) {
	var lines []string
	s := &process{log: funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})}
	for range 3 {
		s.apply(registry.Output{UnreadableTable: &registry.Refusal{Number: 9}})
	}
	if len(lines) != 1 || !strings.Contains(lines[0], `"number"=9`) {
		t.Fatalf("logged %q", lines)
	}
}
