package coreprocess

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/go-logr/logr"

	"saffronfall/peer/disk"
)

// Guards against a core that may no longer take part in a founding once it has restarted, and against
// one that may with a disk that was lost or is damaged.
func TestMayFoundIsStored(t *testing.T) {
	path := t.TempDir()
	mayFound := func(coldStart bool) bool {
		store, stored, err := load(disk.System, path, coldStart, logr.Discard())
		if err != nil {
			t.Fatal(err)
		}
		defer store.Close()
		return stored.MayFound
	}
	if !mayFound(true) || !mayFound(false) {
		t.Error("a restarted core forgot that it may found")
	}
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
	if mayFound(true) {
		t.Error("a core with a damaged disk may found")
	}
	path = t.TempDir()
	if mayFound(false) {
		t.Error("a core whose disk is empty after the first start may found")
	}
}
