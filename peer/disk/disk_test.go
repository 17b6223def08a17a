package disk

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"
)

func filled(t *testing.T) string {
	t.Helper()
	path := t.TempDir()
	f, held, err := Open(path)
	if err != nil || !held.Empty {
		t.Fatalf("%+v %v", held, err)
	}
	must(t, f.Replace([]byte("first")))
	for i := 0; i < 3; i++ {
		must(t, f.Append([]byte(fmt.Sprint("frame", i))))
	}
	must(t, f.Close())
	return path
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func change(t *testing.T, path, name string, how func(raw []byte) []byte) {
	t.Helper()
	full := filepath.Join(path, name)
	raw, err := os.ReadFile(full)
	must(t, err)
	must(t, os.WriteFile(full, how(raw), 0o600))
}

func TestKeeps(t *testing.T) {
	path := filled(t)
	f, held, err := Open(path)
	must(t, err)
	if string(held.Slot) != "first" || len(held.Frames) != 3 || string(held.Frames[2]) != "frame2" {
		t.Fatalf("%+v", held)
	}
	must(t, f.Replace([]byte("second")))
	must(t, f.Append([]byte("after")))
	f.Close()
	_, held, err = Open(path)
	must(t, err)
	if string(held.Slot) != "second" || len(held.Frames) != 1 {
		t.Fatalf("%+v", held)
	}
}

// TestDamage tells a write that was cut off, which only loses what was never
// acknowledged, from damage, after which the copy counts as lost.
func TestDamage(t *testing.T) {
	for _, c := range []struct {
		name   string
		harm   func(t *testing.T, path string)
		lost   bool
		empty  bool
		frames int
	}{
		{"torn tail", func(t *testing.T, path string) {
			change(t, path, "log-1", func(raw []byte) []byte { return raw[:len(raw)-3] })
		}, false, false, 2},
		{"torn head of the last frame", func(t *testing.T, path string) {
			change(t, path, "log-1", func(raw []byte) []byte { return raw[:len(raw)-14] })
		}, false, false, 2},
		{"zeros at the end", func(t *testing.T, path string) {
			change(t, path, "log-1", func(raw []byte) []byte { return append(raw, make([]byte, 100)...) })
		}, false, false, 3},
		{"damage in the middle of the log", func(t *testing.T, path string) {
			change(t, path, "log-1", func(raw []byte) []byte { raw[30] ^= 1; return raw })
		}, true, false, 0},
		{"damage in a frame's length", func(t *testing.T, path string) {
			change(t, path, "log-1", func(raw []byte) []byte { raw[17] ^= 0x40; return raw })
		}, true, false, 0},
		{"damaged slot", func(t *testing.T, path string) {
			change(t, path, "slot-1", func(raw []byte) []byte { raw[len(raw)-1] ^= 1; return raw })
		}, true, false, 0},
		{"slot gone", func(t *testing.T, path string) { must(t, os.Remove(filepath.Join(path, "slot-1"))) }, true, false, 0},
		{"damaged log head", func(t *testing.T, path string) {
			change(t, path, "log-1", func(raw []byte) []byte { raw[2] ^= 1; return raw })
		}, true, false, 0},
		{"torn slot of the next generation", func(t *testing.T, path string) {
			must(t, os.WriteFile(filepath.Join(path, "slot-0"), []byte("SFSLOT01 half"), 0o600))
		}, false, false, 3},
		{"everything gone", func(t *testing.T, path string) { must(t, os.RemoveAll(path)) }, false, true, 0},
	} {
		path := filled(t)
		c.harm(t, path)
		_, held, err := Open(path)
		if errors.Is(err, ErrLost) != c.lost || (err != nil && !c.lost) {
			t.Errorf("%s: %v", c.name, err)
			continue
		}
		if !c.lost && (held.Empty != c.empty || len(held.Frames) != c.frames) {
			t.Errorf("%s: %d frames, empty %v", c.name, len(held.Frames), held.Empty)
		}
		if c.lost {
			must(t, SetAside(path))
			if _, held, err := Open(path); err != nil || !held.Empty {
				t.Errorf("%s: set aside: %+v %v", c.name, held, err)
			}
		}
	}
}

// TestCrashBetweenSlotAndLog: the newer slot is whole and its log not begun.
func TestCrashBetweenSlotAndLog(t *testing.T) {
	path := filled(t)
	log, err := os.ReadFile(filepath.Join(path, "log-1"))
	must(t, err)
	f, _, err := Open(path)
	must(t, err)
	must(t, f.Replace([]byte("second")))
	f.Close()
	must(t, os.Remove(filepath.Join(path, "log-0")))
	must(t, os.WriteFile(filepath.Join(path, "log-1"), log, 0o600))
	_, held, err := Open(path)
	must(t, err)
	if string(held.Slot) != "second" || len(held.Frames) != 0 {
		t.Fatalf("%+v", held)
	}
}
