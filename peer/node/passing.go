package node

import (
	"time"

	"saffronfall/peer/core"
)

// passOn carries a command to a core for a node whose own way there is cut.
func (m *Machine) passOn(now time.Duration, from string, b core.Command) {
	to := m.caller.Leader(b.Partition)
	if all := m.coreAddresses(); to == "" && len(all) > 0 {
		to = all[int(m.random()*float64(len(all)))%len(all)]
	}
	if to == "" || m.passed.Len() >= m.params.Buffer || !m.termed(now) {
		m.send(from, core.CommandResult{ID: b.ID, Partition: b.Partition, NotLeader: true})
		return
	}
	m.Counters.PassedOn++
	p := &passed{from: from, command: b, until: now + m.params.Core.MemberLease}
	t := m.passed.Put(p)
	m.passing = append(m.passing, t)
	b.ID = m.caller.MessageID(t) | passedOn
	m.send(to, b)
}

func (m *Machine) passBack(now time.Duration, b core.CommandResult) {
	t := m.caller.Ticket(b.ID &^ passedOn)
	p, ok := m.passed.Get(t)
	if !ok {
		return
	}
	if b.NotLeader && b.LeaderHint != "" && p.moved < 3 {
		p.moved++
		m.caller.SetLeader(b.Partition, b.LeaderHint)
		m.send(b.LeaderHint, core.Command{ID: b.ID, Partition: b.Partition, Raw: p.command.Raw})
		return
	}
	m.passed.Take(t)
	b.ID, b.LeaderHint = p.command.ID, ""
	m.send(p.from, b)
}

// passedOn marks the ids of commands that are carried for others.
const passedOn = 1 << 63

type passed struct {
	from    string
	command core.Command
	moved   int
	until   time.Duration
}

func (m *Machine) tickPassed(now time.Duration) {
	for len(m.passing) > 0 {
		p, ok := m.passed.Get(m.passing[0])
		if ok && now < p.until {
			return
		}
		m.passed.Take(m.passing[0])
		m.passing = m.passing[1:]
	}
}
