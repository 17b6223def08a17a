package main

import (
	"syscall"
	"time"
)

func init() { cases["restart"] = playRestart }

const (
	// restartInput is a fortieth of bodyMaxBytes.
	restartInput   = 100_000
	restartSeconds = 30
	restartRounds  = 3
	// restartGap is more than the stop, the start and catchUpS.
	restartGap = 5200 * time.Millisecond
	// restartTrouble is the stop, the start and a second more.
	restartTrouble = 2 * time.Second
)

// playRestart lets programs take turns on a route that keeps them, waits, and then stops and starts the
// core's machines in turn, one at a time. Nothing is sent meanwhile.
func playRestart(b *bench) int {
	if _, ok := b.found(8, 2); !ok {
		return notRun
	}
	b.note("%d turns a second for %d s, each with an input of %d bytes", turnsPerSecond, restartSeconds, restartInput)
	statuses := b.takeTurns(restartInput, restartSeconds)
	b.note("answers by status: %v", statuses)
	if statuses[200] == 0 {
		return notRun
	}
	time.Sleep(3 * time.Second)
	if b.fleet.peaks("core", 1) > 0 {
		b.note("a process of the core ended before any restart")
		return notRun
	}
	for range restartRounds {
		for _, p := range b.fleet.processes {
			if p.role != "core" {
				continue
			}
			if b.trouble {
				b.fleet.restart(p)
			}
			time.Sleep(restartGap)
		}
	}
	time.Sleep(8 * time.Second)
	status, text := b.order("GET", "/v1/configuration/read", "", nil, 12*time.Second)
	b.note("the operator reads the configuration back: %d, %d bytes", status, len(text))
	if machines := b.fleet.peaks("core", 3); machines >= 2 {
		b.note("BROKEN: on %d of 3 machines of the core, processes ended three times", machines)
		return broken
	}
	if status != 200 {
		b.note("BROKEN: the acknowledged configuration doesn't come")
		return broken
	}
	return held
}

// restart sends a process SIGTERM. The platform starts it again.
func (f *fleet) restart(p *process) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.b.note("%s on %s gets SIGTERM", p.role, p.machine.name)
	p.asked, p.troubledUntil = true, time.Now().Add(restartTrouble)
	p.command.Process.Signal(syscall.SIGTERM)
}
