// Package setup checks the prerequisites of a test run, so that a missing one is reported as a
// fault of the set-up and never as a violated rule.
package setup

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// FaultExitCode is the exit code for a fault of the set-up.
const FaultExitCode = 2

// Fault is the error for a missing or unusable prerequisite.
type Fault struct {
	Resource, Path string
	Reason         string
}

func (f *Fault) Error() string {
	return fmt.Sprintf("set-up: %s %s: %s", f.Resource, f.Path, f.Reason)
}

// IsFault reports whether an error is or wraps a Fault.
func IsFault(err error) bool {
	var fault *Fault
	return errors.As(err, &fault)
}

// CheckProgram returns a Fault unless the file exists and is executable.
func CheckProgram(path string) error {
	info, err := os.Stat(path)
	switch {
	case err != nil:
		return &Fault{Resource: "program", Path: path, Reason: "not found; build it first: go build -o bin/ ./saffronfall ./rehearsalkit"}
	case info.IsDir() || info.Mode()&0o111 == 0:
		return &Fault{Resource: "program", Path: path, Reason: "is not executable"}
	}
	return nil
}

// EnsureFolder creates a folder if necessary. It returns a Fault unless the folder is writable.
func EnsureFolder(path string) error {
	if err := os.MkdirAll(path, 0o755); err != nil {
		return &Fault{Resource: "folder", Path: path, Reason: err.Error()}
	}
	probe, err := os.CreateTemp(path, ".probe")
	if err != nil {
		return &Fault{Resource: "folder", Path: path, Reason: err.Error()}
	}
	probe.Close()
	return errors.Wrap(os.Remove(probe.Name()), "remove the probe file")
}

// CheckSources returns a Fault unless the working directory is the repository's root and the Go
// tool is on the search path.
func CheckSources() error {
	if _, err := exec.LookPath("go"); err != nil {
		return &Fault{Resource: "program", Path: "go", Reason: "is not on the search path"}
	}
	if _, err := os.Stat(filepath.Join("rehearsalkit", "go.mod")); err != nil {
		return &Fault{Resource: "folder", Path: ".", Reason: "is not the root of the repository"}
	}
	return nil
}
