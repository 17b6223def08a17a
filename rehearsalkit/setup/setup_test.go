package setup

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"
)

// Only missing or unusable prerequisites count as faults of the set-up.
func TestFaults(t *testing.T) {
	dir := t.TempDir()
	file, program := filepath.Join(dir, "file"), filepath.Join(dir, "program")
	if err := errors.CombineErrors(os.WriteFile(file, nil, 0o644), os.WriteFile(program, nil, 0o755)); err != nil {
		t.Fatal(err)
	}
	for what, err := range map[string]error{
		"missing program": CheckProgram(filepath.Join(dir, "none")),
		"not executable":  CheckProgram(file),
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
	if IsFault(errors.New("a violated rule")) {
		t.Error("an unrelated error counts as a fault of the set-up")
	}
}

func runIn(t *testing.T, dir string, check func() error) error {
	t.Helper()
	t.Chdir(dir)
	return check()
}
