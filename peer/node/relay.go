package node

import (
	"time"

	"saffronfall/peer/core"
)

// relayCommand forwards a command to a core for a process that can't reach the cores.
func (m *Machine) relayCommand(now time.Duration, from string, b core.Command) {
	to := m.caller.Leader(b.Partition)
	if all := m.coreAddresses(); to == "" && len(all) > 0 {
		to = all[int(m.random()*float64(len(all)))%len(all)]
	}
	if to == "" || m.relayed.Len() >= m.params.QueueLimit || !m.hasLease(now) {
		m.send(from, core.CommandResult{ID: b.ID, Partition: b.Partition, NotLeader: true})
		return
	}
	m.Counters.Relayed++
	relayed := &relayedCommand{from: from, command: b, until: now + m.params.Core.MemberLease}
	t := m.relayed.Put(relayed)
	m.relayOrder = append(m.relayOrder, t)
	b.ID = m.caller.MessageID(t) | relayedBit
	m.send(to, b)
}

func (m *Machine) relayResult(now time.Duration, b core.CommandResult) {
	t := m.caller.Ticket(b.ID &^ relayedBit)
	relayed, ok := m.relayed.Get(t)
	if !ok {
		return
	}
	if b.NotLeader && b.LeaderHint != "" && relayed.redirects < maxRelayRedirects {
		relayed.redirects++
		m.caller.SetLeader(b.Partition, b.LeaderHint)
		m.send(b.LeaderHint, core.Command{ID: b.ID, Partition: b.Partition, Raw: relayed.command.Raw})
		return
	}
	m.relayed.Take(t)
	b.ID, b.LeaderHint = relayed.command.ID, ""
	m.send(relayed.from, b)
}

// relayedBit marks the ids of relayed commands.
const relayedBit = 1 << 63

// maxRelayRedirects bounds the redirections of a command to another leader.
const maxRelayRedirects = 3

type relayedCommand struct {
	from      string
	command   core.Command
	redirects int
	until     time.Duration
}

func (m *Machine) expireRelayed(now time.Duration) {
	for len(m.relayOrder) > 0 {
		relayed, ok := m.relayed.Get(m.relayOrder[0])
		if ok && now < relayed.until {
			return
		}
		m.relayed.Take(m.relayOrder[0])
		m.relayOrder = m.relayOrder[1:]
	}
}
