package node

import (
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/message"
	"saffronfall/rule/ordered"
	"saffronfall/rule/program"
)

// saveWaiter continues once a version is durable, or at its deadline.
type saveWaiter struct {
	version uint64
	until   time.Duration
	next    func(now time.Duration, ok bool)
}

// save makes a program's record durable, then calls next. At most one save of a program is in
// flight.
func (m *Machine) save(now time.Duration, prog *ownedProgram, until time.Duration, next func(now time.Duration, ok bool)) {
	m.markChanged(now, prog)
	prog.waiters = append(prog.waiters, saveWaiter{version: prog.record.Version, until: until, next: next})
	m.startSave(now, prog)
}

// resave makes a changed record durable without waiting for it.
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

// startSave sends the newest record unless a save is in flight. If the cores fence it off, this
// node has lost the program.
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
		answer, ok := o.Answer.(core.ProgramResult)
		switch {
		case prog.lost:
			m.failSaves(now, prog)
			return
		case ok && (answer.Fenced || !answer.Found):
			m.Counters.Fenced++
			prog.lost = true
			if m.programs[prog.record.Tenant+"/"+prog.record.ID] == prog {
				delete(m.programs, prog.record.Tenant+"/"+prog.record.ID)
			}
			m.failSaves(now, prog)
			return
		case ok:
			prog.savedVersion = max(prog.savedVersion, answer.Version)
			prog.savedMirrors, prog.savedPrecharged = record.Mirrors, record.Precharged
			prog.unsavedTurns = prog.unsavedTurns[len(turns):]
			prog.unsavedSince = now
		}
		m.completeSaves(now, prog)
		m.startSave(now, prog)
	})
}

// completeSaves calls the waiters whose version the cores or all mirrors have.
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

// copyRecord returns a deep copy.
func copyRecord(record program.Record) program.Record {
	var c program.Record
	if err := message.Unmarshal(message.Marshal(record), &c); err != nil {
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
		var late, waiting []saveWaiter
		for _, w := range prog.waiters {
			if now >= w.until {
				late = append(late, w)
			} else {
				waiting = append(waiting, w)
			}
		}
		prog.waiters = waiting
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
