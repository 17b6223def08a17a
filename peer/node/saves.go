package node

import (
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/message"
	"saffronfall/rule/ordered"
	"saffronfall/rule/program"
)

type saver struct {
	version uint64
	until   time.Duration
	next    func(now time.Duration, ok bool)
}

// save makes a program's record durable, then goes on. One save of a program
// is under way at a time; each carries the newest record.
func (m *Machine) save(now time.Duration, h *held, until time.Duration, next func(now time.Duration, ok bool)) {
	m.change(now, h)
	h.waiters = append(h.waiters, saver{version: h.record.Version, until: until, next: next})
	m.pushSave(now, h)
}

// resave makes a changed record durable, with nobody waiting for it.
func (m *Machine) resave(now time.Duration, h *held) {
	m.change(now, h)
	m.pushSave(now, h)
}

func (m *Machine) change(now time.Duration, h *held) {
	if h.saved >= h.record.Version {
		h.unsavedAt = now
	}
	h.record.Version++
}

func (m *Machine) pushSave(now time.Duration, h *held) {
	if h.lost {
		m.failSaves(now, h)
		return
	}
	m.copyOut(now, h)
	if h.saving || h.consulting != nil || h.saved >= h.record.Version || m.description == nil {
		return
	}
	h.saving = true
	m.cover(h)
	m.Counters.Saves++
	record := copyRecord(h.record)
	turns := append([]program.Turn(nil), h.unsaved...)
	m.caller.Call(now, core.SaveProgram{Record: record, Turns: turns}, now+m.patience(), func(now time.Duration, o core.Outcome) {
		h.saving = false
		p, ok := o.Answer.(core.ProgramResult)
		switch {
		case h.lost:
			m.failSaves(now, h)
			return
		case ok && (p.Fenced || !p.Found):
			m.Counters.Fenced++
			h.lost = true
			if m.programs[h.record.Tenant+"/"+h.record.ID] == h {
				delete(m.programs, h.record.Tenant+"/"+h.record.ID)
			}
			m.failSaves(now, h)
			return
		case ok:
			h.saved = max(h.saved, p.Version)
			h.named, h.covered = record.Mirrors, record.Covered
			h.unsaved = h.unsaved[len(turns):]
			h.unsavedAt = now
		}
		m.wakeSaves(now, h)
		m.pushSave(now, h)
	})
}

// wakeSaves goes on with what waited for a version that is now held, by the
// cores or by all mirrors.
func (m *Machine) wakeSaves(now time.Duration, h *held) {
	ready := h.waiters
	h.waiters = nil
	for _, w := range ready {
		if w.version <= max(h.saved, h.copied) {
			w.next(now, true)
		} else {
			h.waiters = append(h.waiters, w)
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

func (m *Machine) failSaves(now time.Duration, h *held) {
	waiters := h.waiters
	h.waiters = nil
	for _, w := range waiters {
		w.next(now, false)
	}
}

func (m *Machine) tickPrograms(now time.Duration) {
	for _, k := range ordered.Keys(m.programs) {
		h := m.programs[k]
		var late, kept []saver
		for _, w := range h.waiters {
			if now >= w.until {
				late = append(late, w)
			} else {
				kept = append(kept, w)
			}
		}
		h.waiters = kept
		for _, w := range late {
			w.next(now, false)
		}
		m.askMirrors(now, h)
		m.pushSave(now, h)
		if now > h.usedAt+h.record.Keep && len(h.record.Running) == 0 && h.saved >= h.record.Version {
			delete(m.programs, k)
		}
	}
}
