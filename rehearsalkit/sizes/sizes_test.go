package sizes

import (
	"os"
	"path/filepath"
	"testing"
)

var bounds = map[Kind]int{File: 500, Function: 60, Struct: 15}

// The exceptions may not grow, and must leave the list once they are within the bounds.
func TestSizes(t *testing.T) {
	sizes, err := Measure(filepath.Join("..", ".."))
	if err != nil {
		t.Fatal(err)
	}
	if len(sizes) < 1000 {
		t.Fatalf("only %d files, functions and structs were found", len(sizes))
	}
	found := map[string]bool{}
	for _, s := range sizes {
		name := string(s.Kind) + " " + s.Place
		allowed, listed := exceptions[name]
		found[name] = true
		switch {
		case !listed && s.Size > bounds[s.Kind]:
			t.Errorf("%s: %d, allowed %d", name, s.Size, bounds[s.Kind])
		case listed && s.Size > allowed:
			t.Errorf("%s has grown from %d to %d", name, allowed, s.Size)
		case listed && s.Size <= bounds[s.Kind]:
			t.Errorf("%s is within the bounds now: remove it from the list", name)
		}
	}
	for name := range exceptions {
		if !found[name] {
			t.Errorf("%s is listed but does not exist", name)
		}
	}
}

func TestMeasure(t *testing.T) {
	root := t.TempDir()
	text := "package p\n\ntype s struct {\n\ta, b int\n\tc string\n}\n\nfunc (x s) f() {\n\tx.a++\n}\n"
	for name, body := range map[string]string{"a.go": text, "a_test.go": text} {
		if err := os.WriteFile(filepath.Join(root, name), []byte(body), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	sizes, err := Measure(root)
	if err != nil {
		t.Fatal(err)
	}
	want := []Size{{File, "a.go", 10}, {Struct, "a.go s", 3}, {Function, "a.go s.f", 3}}
	if len(sizes) != len(want) {
		t.Fatalf("%+v", sizes)
	}
	for i := range want {
		if sizes[i] != want[i] {
			t.Errorf("%+v, want %+v", sizes[i], want[i])
		}
	}
}
