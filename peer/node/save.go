package node

import (
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/message"
	"saffronfall/rule/ordered"
	"saffronfall/rule/program"
)

type saveWaiter struct {
	version uint64
	until   time.Duration
	next    func(now time.Duration, ok bool)
}

// save makes a program's record durable, then goes on. One save of a program
// is under way at a time; each carries the newest record.
func (m *Machine) save(now time.Duration, prog *ownedProgram, until time.Duration, next func(now time.Duration, ok bool)) {
	m.markChanged(now, prog)
	prog.waiters = append(prog.waiters, saveWaiter{version: prog.record.Version, until: until, next: next})
	m.startSave(now, prog)
}

// resave makes a changed record durable, with nobody waiting for it.
func (m *Machine) resave(now time.Duration, prog *ownedProgram) {
	m.markChanged(now, prog)
	m.startSave(now, prog)
}

func (m *Machine) markChanged(now time.Duration, prog *ownedProgram) {
	if prog.savedVersion >= prog.record.Version {
		prog.unsavedSince = now
	}
	prog.record.Version++
}

func (m *Machine) startSave(now time.Duration, prog *ownedProgram) {
	if prog.lost {
		m.failSaves(now, prog)
		return
	}
	m.copyToMirrors(now, prog)
	if prog.saving || prog.recovery != nil || prog.savedVersion >= prog.record.Version || m.description == nil {
		return
	}
	prog.saving = true
	m.prepareRecord(prog)
	m.Counters.Saves++
	record := copyRecord(prog.record)
	turns := append([]program.Turn(nil), prog.unsavedTurns...)
	m.caller.Call(now, core.SaveProgram{Record: record, Turns: turns}, now+m.stepTimeout(), func(now time.Duration, o core.Outcome) {
		prog.saving = false
		p, ok := o.Answer.(core.Programmed)
		switch {
		case prog.lost:
			m.failSaves(now, prog)
			return
		case ok && (p.Fenced || !p.Found):
			m.Counters.Fenced++
			prog.lost = true
			if m.programs[prog.record.Tenant+"/"+prog.record.ID] == prog {
				delete(m.programs, prog.record.Tenant+"/"+prog.record.ID)
			}
			m.failSaves(now, prog)
			return
		case ok:
			prog.savedVersion = max(prog.savedVersion, p.Version)
			prog.savedMirrors, prog.savedPrecharged = record.Mirrors, record.Precharged
			prog.unsavedTurns = prog.unsavedTurns[len(turns):]
			prog.unsavedSince = now
		}
		m.completeSaves(now, prog)
		m.startSave(now, prog)
	})
}

// wakeSaves goes on with what waited for a version that is now held, by the
// cores or by all mirrors.
func (m *Machine) completeSaves(now time.Duration, prog *ownedProgram) {
	ready := prog.waiters
	prog.waiters = nil
	for _, w := range ready {
		if w.version <= max(prog.savedVersion, prog.mirroredVersion) {
			w.next(now, true)
		} else {
			prog.waiters = append(prog.waiters, w)
		}
	}
}

func copyRecord(r program.Record) program.Record {
	var c program.Record
	if err := message.Unmarshal(message.Marshal(r), &c); err != nil {
		panic(err)
	}
	return c
}

func (m *Machine) failSaves(now time.Duration, prog *ownedProgram) {
	waiters := prog.waiters
	prog.waiters = nil
	for _, w := range waiters {
		w.next(now, false)
	}
}

func (m *Machine) tickPrograms(now time.Duration) {
	for _, k := range ordered.Keys(m.programs) {
		prog := m.programs[k]
		var late, kept []saveWaiter
		for _, w := range prog.waiters {
			if now >= w.until {
				late = append(late, w)
			} else {
				kept = append(kept, w)
			}
		}
		prog.waiters = kept
		for _, w := range late {
			w.next(now, false)
		}
		m.queryMirrors(now, prog)
		m.startSave(now, prog)
		if now > prog.lastUsed+prog.record.Retention && len(prog.record.Running) == 0 && prog.savedVersion >= prog.record.Version {
			delete(m.programs, k)
		}
	}
}
