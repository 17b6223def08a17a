// Package setup checks what a rehearsal needs before it begins, so that something that is
// missing is told as a fault of the set-up and never as a broken promise.
package setup

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// ExitCode is what commands end with at a fault of the set-up.
const FaultExitCode = 2

// Fault is something that a rehearsal needs and that is not there.
type Fault struct {
	Resource, Path string
	Reason         string
}

func (f *Fault) Error() string {
	return fmt.Sprintf("set-up: %s %s: %s", f.Resource, f.Path, f.Reason)
}

// IsFault reports whether an error is a fault of the set-up.
func IsFault(err error) bool {
	var fault *Fault
	return errors.As(err, &fault)
}

// Program checks that a file can be run.
func CheckProgram(path string) error {
	info, err := os.Stat(path)
	switch {
	case err != nil:
		return &Fault{Resource: "program", Path: path, Reason: "is not there; build it first: go build -o bin/ ./saffronfall ./rehearsalkit"}
	case info.IsDir() || info.Mode()&0o111 == 0:
		return &Fault{Resource: "program", Path: path, Reason: "can't be run"}
	}
	return nil
}

// Folder makes a folder that files can be written to.
func EnsureFolder(path string) error {
	if err := os.MkdirAll(path, 0o755); err != nil {
		return &Fault{Resource: "folder", Path: path, Reason: err.Error()}
	}
	probe, err := os.CreateTemp(path, ".probe")
	if err != nil {
		return &Fault{Resource: "folder", Path: path, Reason: err.Error()}
	}
	probe.Close()
	return errors.Wrap(os.Remove(probe.Name()), "probe")
}

// Sources checks that the current folder holds this repository's sources and that they
// can be built.
func CheckSources() error {
	if _, err := exec.LookPath("go"); err != nil {
		return &Fault{Resource: "program", Path: "go", Reason: "is not on the search path"}
	}
	if _, err := os.Stat(filepath.Join("rehearsalkit", "go.mod")); err != nil {
		return &Fault{Resource: "folder", Path: ".", Reason: "is not the root of the repository"}
	}
	return nil
}
