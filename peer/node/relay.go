package node

import (
	"time"

	"saffronfall/peer/core"
)

// passOn carries a command to a core for a node whose own way there is cut.
func (m *Machine) relayCommand(now time.Duration, from string, b core.Command) {
	to := m.caller.HintOf(b.Part)
	if all := m.coreAddresses(); to == "" && len(all) > 0 {
		to = all[int(m.random()*float64(len(all)))%len(all)]
	}
	if to == "" || m.relayed.Used() >= m.params.QueueLimit || !m.inTerm(now) {
		m.send(from, core.CommandReturn{ID: b.ID, Part: b.Part, Moved: true})
		return
	}
	m.Counters.Relayed++
	p := &relayedCommand{from: from, command: b, until: now + m.params.Core.MemberTerm}
	t := m.relayed.Keep(p)
	m.relayOrder = append(m.relayOrder, t)
	b.ID = m.caller.Mark(t) | relayedBit
	m.send(to, b)
}

func (m *Machine) relayReturn(now time.Duration, b core.CommandReturn) {
	t := m.caller.Unmark(b.ID &^ relayedBit)
	p, ok := m.relayed.Look(t)
	if !ok {
		return
	}
	if b.Moved && b.Hint != "" && p.moved < 3 {
		p.moved++
		m.caller.Hint(b.Part, b.Hint)
		m.send(b.Hint, core.Command{ID: b.ID, Part: b.Part, Raw: p.command.Raw})
		return
	}
	m.relayed.Take(t)
	b.ID, b.Hint = p.command.ID, ""
	m.send(p.from, b)
}

// passedOn marks the ids of commands that are carried for others.
const relayedBit = 1 << 63

type relayedCommand struct {
	from    string
	command core.Command
	moved   int
	until   time.Duration
}

func (m *Machine) expireRelayed(now time.Duration) {
	for len(m.relayOrder) > 0 {
		p, ok := m.relayed.Look(m.relayOrder[0])
		if ok && now < p.until {
			return
		}
		m.relayed.Take(m.relayOrder[0])
		m.relayOrder = m.relayOrder[1:]
	}
}
