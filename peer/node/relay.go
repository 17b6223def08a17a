package node

import (
	"time"

	"saffronfall/peer/core"
)

// relayCommand forwards a command to a core for a process that can't reach the cores.
func (m *Machine) relayCommand(now time.Duration, from string, command core.Command) {
	to := m.caller.Leader(command.Partition)
	if all := m.topology.CoreAddresses(); to == "" && len(all) > 0 {
		to = all[int(m.random()*float64(len(all)))%len(all)]
	}
	if to == "" || m.relayed.Len() >= m.params.QueueLimit || !m.hasLease(now) {
		m.send(from, core.CommandResult{ID: command.ID, Partition: command.Partition, NotLeader: true})
		return
	}
	m.Counters.Relayed++
	relayed := &relayedCommand{from: from, command: command, until: now + m.params.Core.MemberLease}
	t := m.relayed.Put(relayed)
	m.relayOrder = append(m.relayOrder, t)
	command.ID = m.caller.MessageID(t) | relayedBit
	m.send(to, command)
}

func (m *Machine) relayResult(now time.Duration, result core.CommandResult) {
	t := m.caller.Ticket(result.ID &^ relayedBit)
	relayed, ok := m.relayed.Get(t)
	if !ok {
		return
	}
	if result.NotLeader && result.LeaderHint != "" && relayed.redirects < maxRelayRedirects {
		relayed.redirects++
		m.caller.SetLeader(result.Partition, result.LeaderHint)
		m.send(result.LeaderHint, core.Command{ID: result.ID, Partition: result.Partition, Raw: relayed.command.Raw})
		return
	}
	m.relayed.Take(t)
	result.ID, result.LeaderHint = relayed.command.ID, ""
	m.send(relayed.from, result)
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
