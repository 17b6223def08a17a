package deskprocess

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/go-logr/logr"

	"saffronfall/peer/core"
	"saffronfall/peer/desk"
	"saffronfall/rule/message"
)

func listed(id string, leaving bool) desk.ReplicaEntry {
	return desk.ReplicaEntry{Replica: desk.Replica{ID: id, Service: "app", Address: id + ":1", Leaving: leaving}}
}

// TestListIsKept over lives of the process, the newest word of each replica, also
// after the slot was written anew; a damaged folder is set aside and begun again.
func TestListIsKept(t *testing.T) {
	path := t.TempDir()
	folder, known, _ := open(path, logr.Discard())
	if folder == nil || len(known) != 0 {
		t.Fatalf("%v, %+v", folder, known)
	}
	s := &process{folder: folder, log: logr.Discard()}
	s.keep([]desk.ReplicaEntry{listed("a", false), listed("b", false)}, nil)
	s.keep([]desk.ReplicaEntry{listed("b", true)}, nil)
	s.keep(nil, nil)
	folder.Close()
	folder, known, _ = open(path, logr.Discard())
	if len(known) != 2 || known[0].Replica.Leaving || !known[1].Replica.Leaving {
		t.Fatalf("%+v", known)
	}
	if err := folder.Replace(message.Marshal(known)); err != nil {
		t.Fatal(err)
	}
	s.folder = folder
	s.keep([]desk.ReplicaEntry{listed("c", false)}, nil)
	folder.Close()
	folder, known, _ = open(path, logr.Discard())
	if len(known) != 3 {
		t.Fatalf("%+v", known)
	}
	folder.Close()
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
	folder, known, _ = open(path, logr.Discard())
	if folder == nil || len(known) != 0 {
		t.Fatalf("after damage: %v, %+v", folder, known)
	}
	folder.Close()
	if aside, _ := filepath.Glob(filepath.Join(path, "lost-*")); len(aside) != 1 {
		t.Fatalf("the damaged list is not set aside: %v", aside)
	}
}

// TestFailingFolderIsGivenUp: a desk goes on without a list on disk.
func TestFailingFolderIsGivenUp(t *testing.T) {
	folder, _, _ := open(t.TempDir(), logr.Discard())
	s := &process{folder: folder, log: logr.Discard()}
	folder.Close()
	s.keep([]desk.ReplicaEntry{listed("a", false)}, nil)
	if s.folder != nil {
		t.Fatal("a folder that failed is used on")
	}
	s.keep([]desk.ReplicaEntry{listed("b", false)}, nil)
}

// TestAddressesAreKept: a desk that is started again knows where its fleet was,
// also from a folder that a former version wrote, which has the list alone.
func TestAddressesAreKept(t *testing.T) {
	path := t.TempDir()
	folder, _, peers := open(path, logr.Discard())
	if peers != nil {
		t.Fatalf("a new folder holds %+v", peers)
	}
	if err := folder.Append(message.Marshal([]desk.ReplicaEntry{listed("a", false)})); err != nil {
		t.Fatal(err)
	}
	s := &process{folder: folder, log: logr.Discard()}
	s.keep(nil, &desk.Peers{Fleet: "f", Desks: []string{"d1:1"}})
	s.keep([]desk.ReplicaEntry{listed("b", false)}, &desk.Peers{Fleet: "f", Desks: []string{"d1:1", "d2:1"}, Cores: map[string]core.Core{"c": {ID: "c", Peer: "c:1"}}})
	folder.Close()
	folder, known, peers := open(path, logr.Discard())
	if len(known) != 2 || peers == nil || len(peers.Desks) != 2 || peers.Cores["c"].Peer != "c:1" {
		t.Fatalf("%+v %+v", known, peers)
	}
	folder.Close()
}
