package disk

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"
)

// newStore returns a directory with a state and three records.
func newStore(t *testing.T) string {
	t.Helper()
	path := t.TempDir()
	s, contents, err := Open(path)
	if err != nil || !contents.Empty {
		t.Fatalf("%+v %v", contents, err)
	}
	must(t, s.Replace([]byte("first")))
	for i := 0; i < 3; i++ {
		must(t, s.Append([]byte(fmt.Sprint("frame", i))))
	}
	must(t, s.Close())
	return path
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// rewriteFile replaces a file's contents by the result of modify.
func rewriteFile(t *testing.T, path, name string, modify func(raw []byte) []byte) {
	t.Helper()
	full := filepath.Join(path, name)
	raw, err := os.ReadFile(full)
	must(t, err)
	must(t, os.WriteFile(full, modify(raw), 0o600))
}

func TestReopen(t *testing.T) {
	path := newStore(t)
	s, contents, err := Open(path)
	must(t, err)
	if string(contents.State) != "first" || len(contents.Records) != 3 || string(contents.Records[2]) != "frame2" {
		t.Fatalf("first state: %+v", contents)
	}
	must(t, s.Replace([]byte("second")))
	must(t, s.Append([]byte("after")))
	s.Close()
	_, contents, err = Open(path)
	must(t, err)
	if string(contents.State) != "second" || len(contents.Records) != 1 {
		t.Fatalf("second state: %+v", contents)
	}
}

// TestDamage guards against confusing damage with an interrupted write, which loses only
// unacknowledged records.
func TestDamage(t *testing.T) {
	for _, c := range []struct {
		name    string
		damage  func(t *testing.T, path string)
		damaged bool
		empty   bool
		records int
	}{
		{"torn tail", func(t *testing.T, path string) {
			rewriteFile(t, path, "log-1", func(raw []byte) []byte { return raw[:len(raw)-3] })
		}, false, false, 2},
		{"torn header of the last record", func(t *testing.T, path string) {
			rewriteFile(t, path, "log-1", func(raw []byte) []byte { return raw[:len(raw)-14] })
		}, false, false, 2},
		{"zeros at the end", func(t *testing.T, path string) {
			rewriteFile(t, path, "log-1", func(raw []byte) []byte { return append(raw, make([]byte, 100)...) })
		}, false, false, 3},
		{"damage in the middle of the log", func(t *testing.T, path string) {
			rewriteFile(t, path, "log-1", func(raw []byte) []byte { raw[30] ^= 1; return raw })
		}, true, false, 0},
		{"damage in a record's length", func(t *testing.T, path string) {
			rewriteFile(t, path, "log-1", func(raw []byte) []byte { raw[17] ^= 0x40; return raw })
		}, true, false, 0},
		{"damaged slot", func(t *testing.T, path string) {
			rewriteFile(t, path, "slot-1", func(raw []byte) []byte { raw[len(raw)-1] ^= 1; return raw })
		}, true, false, 0},
		{"missing slot", func(t *testing.T, path string) { must(t, os.Remove(filepath.Join(path, "slot-1"))) }, true, false, 0},
		{"damaged log header", func(t *testing.T, path string) {
			rewriteFile(t, path, "log-1", func(raw []byte) []byte { raw[2] ^= 1; return raw })
		}, true, false, 0},
		{"torn slot of the next generation", func(t *testing.T, path string) {
			must(t, os.WriteFile(filepath.Join(path, "slot-0"), []byte("SFSLOT01 half"), 0o600))
		}, false, false, 3},
		{"missing directory", func(t *testing.T, path string) { must(t, os.RemoveAll(path)) }, false, true, 0},
	} {
		path := newStore(t)
		c.damage(t, path)
		_, contents, err := Open(path)
		if errors.Is(err, ErrDamaged) != c.damaged || (err != nil && !c.damaged) {
			t.Errorf("%s: %v", c.name, err)
			continue
		}
		if !c.damaged && (contents.Empty != c.empty || len(contents.Records) != c.records) {
			t.Errorf("%s: %d records, empty %v", c.name, len(contents.Records), contents.Empty)
		}
		if c.damaged {
			must(t, SetAside(path))
			if _, contents, err := Open(path); err != nil || !contents.Empty {
				t.Errorf("%s: after SetAside: %+v %v", c.name, contents, err)
			}
		}
	}
}

func TestCrashBetweenSlotAndLog(t *testing.T) {
	path := newStore(t)
	log, err := os.ReadFile(filepath.Join(path, "log-1"))
	must(t, err)
	s, _, err := Open(path)
	must(t, err)
	must(t, s.Replace([]byte("second")))
	s.Close()
	must(t, os.Remove(filepath.Join(path, "log-0")))
	must(t, os.WriteFile(filepath.Join(path, "log-1"), log, 0o600))
	_, contents, err := Open(path)
	must(t, err)
	if string(contents.State) != "second" || len(contents.Records) != 0 {
		t.Fatalf("after the crash: %+v", contents)
	}
}
