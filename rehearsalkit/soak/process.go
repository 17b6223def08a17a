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

const (
	roleCore     = "core"
	roleRegistry = "desk"
	roleNode     = "relay"
)

// Ports of every machine. Processes advertise relayedPort to their peers; some requesters
// connect to relayedRequesterPort.
const (
	relayedPort          = 7000
	operatorPort         = 7001
	requesterPort        = 7002
	readyPort            = 7003
	metricsPort          = 7004
	diskPort             = 7005
	relayedRequesterPort = 7006
	peerPort             = 7100
)

const (
	fleetSecret = "rehearsal-secret-of-no-worth"
	operatorKey = "rehearsal-operator"
	replicaKey  = "rehearsal-replica"
)

// process lasts across its incarnations.
type process struct {
	fleet      *Fleet
	name, role string
	ip, folder string
	settings   map[string]any
	command    *exec.Cmd
	ended      chan error
	// startedAt is the start of the current incarnation.
	startedAt time.Duration
	frozen    bool
	// incarnations counts the incarnations of a core on a fault-injecting disk.
	incarnations uint64
}

func (p *process) address(port int) string { return fmt.Sprintf("%s:%d", p.ip, port) }

func (p *process) settingsPath() string { return filepath.Join(p.folder, "settings.json") }

func (p *process) dataFolder() string { return filepath.Join(p.folder, "data") }

func (p *process) logPath() string { return filepath.Join(p.folder, "log") }

// writeSettings atomically replaces the settings file by text or, if nil, by p.settings.
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
	newPath := p.settingsPath() + ".new"
	if err := os.WriteFile(newPath, text, 0o600); err != nil {
		return errors.Wrap(err, "settings")
	}
	return errors.Wrap(os.Rename(newPath, p.settingsPath()), "settings")
}

// start starts a new incarnation, unless one is running.
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
	fmt.Fprintf(out, "== process starts at %.3fs\n", p.fleet.now().Seconds())
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

// newCommand returns the command of the next incarnation. With DiskBinary, cores run on
// fault-injecting disks.
func (p *process) newCommand() *exec.Cmd {
	o := p.fleet.Options
	if p.role == roleCore && o.DiskBinary != "" {
		p.incarnations++
		return exec.Command(o.DiskBinary, "faulty-core", p.settingsPath(),
			"--control", p.address(diskPort), "--seed", fmt.Sprint(o.Seed*1000+p.incarnations))
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

// exitTimeout is how long a process may take to end after SIGTERM and its grace period.
const exitTimeout = 6 * time.Second

// waitExit waits for the end after SIGTERM, and kills the process after the timeout.
func (p *process) waitExit() {
	if p.command == nil {
		return
	}
	timer := time.NewTimer(exitTimeout + gracePeriod)
	defer timer.Stop()
	select {
	case err := <-p.ended:
		if err != nil && !exitedBySIGTERM(err) {
			p.fleet.recordBreach(RuleExit, "%s ended after SIGTERM with %v", p.name, err)
		}
	case <-timer.C:
		p.fleet.recordBreach(RuleExit, "%s still runs %v after SIGTERM", p.name, exitTimeout+gracePeriod)
		p.command.Process.Kill()
		<-p.ended
	}
	p.command = nil
}

// exitedBySIGTERM reports whether the signal itself ended a process, which had not yet
// installed its handler.
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

// checkExit records a breach if the process has ended by itself, and restarts it.
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

func tail(path string) string {
	text, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	const maxBytes = 1500
	return string(text[max(0, len(text)-maxBytes):])
}

// faultSigns must not appear in a log.
var faultSigns = []string{"DATA RACE", "panic:", "fatal error:", "an invariant was violated"}

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

func pause(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
