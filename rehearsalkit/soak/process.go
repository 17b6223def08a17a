package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Roles of processes.
const (
	roleCore = "core"
	roleDesk = "desk"
	roleNode = "relay"
)

// Ports of every machine. Peers are advertised at the relayed port; some requesters come
// by the relayed one of theirs.
const (
	relayedPort       = 7000
	operatorPort      = 7001
	clientPort        = 7002
	readyPort         = 7003
	metricsPort       = 7004
	diskPort          = 7005
	relayedClientPort = 7006
	peerPort          = 7100
)

const (
	fleetSecret = "rehearsal-secret-of-no-worth"
	operatorKey = "rehearsal-operator"
	replicaKey  = "rehearsal-replica"
)

// process is one process of the fleet, through all its lives.
type process struct {
	fleet      *Fleet
	name, role string
	ip, folder string
	settings   map[string]any
	command    *exec.Cmd
	ended      chan error
	// startedAt is when its present life began.
	startedAt time.Duration
	frozen    bool
	// lives counts those of a core on a disk that can fail.
	incarnations uint64
}

func (p *process) address(port int) string { return fmt.Sprintf("%s:%d", p.ip, port) }

func (p *process) settingsPath() string { return filepath.Join(p.folder, "settings.json") }

func (p *process) dataFolder() string { return filepath.Join(p.folder, "data") }

func (p *process) logPath() string { return filepath.Join(p.folder, "log") }

// writeSettings writes the settings file whole, or a text in its place.
func (p *process) writeSettings(text []byte) error {
	if text == nil {
		var err error
		if text, err = json.MarshalIndent(p.settings, "", "  "); err != nil {
			return errors.Wrap(err, "settings")
		}
	}
	if err := os.MkdirAll(p.folder, 0o755); err != nil {
		return errors.Wrap(err, "folder")
	}
	fresh := p.settingsPath() + ".new"
	if err := os.WriteFile(fresh, text, 0o600); err != nil {
		return errors.Wrap(err, "settings")
	}
	return errors.Wrap(os.Rename(fresh, p.settingsPath()), "settings")
}

// start begins a new life.
func (p *process) start() error {
	if p.command != nil {
		return nil
	}
	if err := os.MkdirAll(p.dataFolder(), 0o755); err != nil {
		return errors.Wrap(err, "folder")
	}
	out, err := os.OpenFile(p.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrap(err, "log")
	}
	defer out.Close()
	fmt.Fprintf(out, "== a life begins at %.3fs\n", p.fleet.now().Seconds())
	command := p.newCommand()
	command.Stdout, command.Stderr = out, out
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return errors.Wrap(err, p.name)
	}
	ended := make(chan error, 1)
	go func() { ended <- command.Wait() }()
	p.command, p.ended, p.startedAt, p.frozen = command, ended, p.fleet.now(), false
	return nil
}

// program is what a life runs: the shipped program, or, for a core, the shipped role on a
// disk that can fail.
func (p *process) newCommand() *exec.Cmd {
	o := p.fleet.Options
	if p.role == roleCore && o.DiskBinary != "" {
		p.incarnations++
		return exec.Command(o.DiskBinary, "faulty-core", p.settingsPath(), "--control", p.address(diskPort), "--seed", fmt.Sprint(o.Seed*1000+p.incarnations))
	}
	return exec.Command(o.Binary, p.role, p.settingsPath())
}

func (p *process) signal(s syscall.Signal) {
	if p.command == nil {
		return
	}
	p.command.Process.Signal(s)
	switch s {
	case syscall.SIGSTOP:
		p.frozen = true
	case syscall.SIGCONT:
		p.frozen = false
	}
}

// endsWithin is how long a process may take to end after SIGTERM, besides its grace.
const exitTimeout = 6 * time.Second

// wait waits for the end of a life that was asked to end.
func (p *process) waitExit() {
	if p.command == nil {
		return
	}
	timer := time.NewTimer(exitTimeout + gracePeriod)
	defer timer.Stop()
	select {
	case err := <-p.ended:
		if err != nil && !exitedBySIGTERM(err) {
			p.fleet.recordBreach(RuleExit, "%s ended by SIGTERM with %v", p.name, err)
		}
	case <-timer.C:
		p.fleet.recordBreach(RuleExit, "%s was asked to end and still runs after %v", p.name, exitTimeout+gracePeriod)
		p.command.Process.Kill()
		<-p.ended
	}
	p.command = nil
}

// signalled reports whether a process was ended by the signal itself, as one is that
// has not begun to take signals.
func exitedBySIGTERM(err error) bool {
	var exit *exec.ExitError
	if !errors.As(err, &exit) {
		return false
	}
	status, ok := exit.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == syscall.SIGTERM
}

func (p *process) kill() {
	if p.command == nil {
		return
	}
	p.command.Process.Kill()
	<-p.ended
	p.command = nil
}

// check looks whether a life has ended that nobody ended, and begins another.
func (p *process) checkExit() {
	if p.command == nil {
		return
	}
	select {
	case err := <-p.ended:
		p.command = nil
		p.fleet.recordBreach(RuleExit, "%s ended by itself at %.2fs: %v\n%s", p.name, p.fleet.now().Seconds(), err, tail(p.logPath()))
		p.start()
	default:
	}
}

// tail is the end of a log.
func tail(path string) string {
	text, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	const most = 1500
	return string(text[max(0, len(text)-most):])
}

// signs are what no log may hold.
var faultSigns = []string{"DATA RACE", "panic:", "fatal error:", "an invariant was violated"}

// readLog looks for signs of faults in a log.
func (p *process) readLog() {
	text, err := os.ReadFile(p.logPath())
	if err != nil {
		p.fleet.recordBreach(RuleExit, "%s has no log: %v", p.name, err)
		return
	}
	for _, sign := range faultSigns {
		if i := strings.Index(string(text), sign); i >= 0 {
			p.fleet.recordBreach(RuleInvariants, "%s logged: %.1500s", p.name, text[max(0, i-100):])
		}
	}
}

// pause waits, or until the context ends.
func pause(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
