package setup

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"
)

// TestFaults: what is missing or can't be used is a fault of the set-up, and what is
// there is not.
func TestFaults(t *testing.T) {
	dir := t.TempDir()
	file, program := filepath.Join(dir, "file"), filepath.Join(dir, "program")
	if err := errors.CombineErrors(os.WriteFile(file, nil, 0o644), os.WriteFile(program, nil, 0o755)); err != nil {
		t.Fatal(err)
	}
	for what, err := range map[string]error{
		"missing program": CheckProgram(filepath.Join(dir, "none")),
		"no program":      CheckProgram(file),
		"folder":          CheckProgram(dir),
		"folder in file":  EnsureFolder(filepath.Join(file, "below")),
		"other sources":   runIn(t, dir, CheckSources),
	} {
		if !IsFault(err) || !IsFault(errors.Wrap(err, "soak")) {
			t.Errorf("%s: %v", what, err)
		}
	}
	if err := errors.CombineErrors(CheckProgram(program), EnsureFolder(filepath.Join(dir, "new"))); err != nil {
		t.Error(err)
	}
	if IsFault(errors.New("a broken promise")) {
		t.Error("any error is a fault of the set-up")
	}
}

func runIn(t *testing.T, dir string, check func() error) error {
	t.Helper()
	t.Chdir(dir)
	return check()
}
