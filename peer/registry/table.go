package registry

import (
	"slices"
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/configuration"
	"saffronfall/rule/message"
	"saffronfall/rule/ordered"
	"saffronfall/rule/partition"
	"saffronfall/rule/route"
)

// updateConfirmation records until when this registry's table was certainly the current one.
func (m *Machine) updateConfirmation(now time.Duration) {
	if m.lastFreshness.UpTo == (partition.Version{}) || m.pulledUpTo.Less(m.lastFreshness.UpTo) {
		return
	}
	isFirst := m.lastConfirmed < 0
	m.lastConfirmed = max(m.lastConfirmed, m.lastFreshness.SentAt-m.lastFreshness.Age)
	if isFirst {
		for _, address := range ordered.Keys(m.subscribers) {
			m.sendUpdate(now, address, m.subscribers[address], true)
		}
	}
}

// onConfigurationUpdate installs the table and merges the cores of an update. Unless the update is
// a snapshot, it must continue at the version already pulled.
func (m *Machine) onConfigurationUpdate(now time.Duration, update core.Update) {
	if update.Partition != core.ConfigurationPartition || !m.pulledUpTo.Less(update.UpTo) ||
		(!update.Snapshot && m.pulledUpTo.Less(update.After)) {
		return
	}
	m.pulledUpTo = update.UpTo
	changes := core.TopologyChanges{Fleet: m.topology.Fleet}
	for _, entry := range update.Entries {
		switch {
		case entry.Key == core.TableKey:
			var current core.CurrentTable
			if message.Unmarshal(entry.Value, &current) == nil {
				m.installText(now, current.Number, current.Digest, current.Text)
			}
		case core.IsCoreKey(entry.Key) && !entry.Deleted:
			var c core.Core
			if message.Unmarshal(entry.Value, &c) == nil {
				changes.AddCore(c)
			}
		}
	}
	m.mergeTopology(now, changes)
	m.updateConfirmation(now)
}

const (
	// topologyShare is the fraction of pulls that also compare the topology.
	topologyShare = 0.2
	// disconnectedPullDivisor shortens the pull interval while the cores are not reachable.
	disconnectedPullDivisor = 3
)

func (m *Machine) pullInterval(now time.Duration) time.Duration {
	if m.coresReachable(now) {
		return m.params.Core.PullInterval
	}
	return m.params.Core.PullInterval / disconnectedPullDivisor
}

// pull requests changes of the configuration partition from its leader while that answers,
// otherwise from all cores. The topology is requested from one of them, if it is another one.
func (m *Machine) pull(now time.Duration) {
	request := core.PullUpdates{
		Versions:      map[int]partition.Version{core.ConfigurationPartition: m.pulledUpTo},
		WantFreshness: true,
		SentAt:        now,
		KnownDigest:   m.topologyDigests().whole,
	}
	if to := m.caller.Leader(core.ConfigurationPartition); to != "" && m.coresReachable(now) {
		request.WantTopology = m.random() < topologyShare
		m.addSend(to, request)
		return
	}
	addresses := m.pullTargets()
	topologyFrom := int(m.random() * float64(len(addresses)))
	for i, to := range addresses {
		request.WantTopology = i == topologyFrom
		m.addSend(to, request)
	}
}

// pullTargets returns the addresses of the cores, and of the presumed leader if it is none of them.
func (m *Machine) pullTargets() []string {
	addresses := m.topology.CoreAddresses()
	if leader := m.caller.Leader(core.ConfigurationPartition); leader != "" && !slices.Contains(addresses, leader) {
		addresses = append(addresses, leader)
	}
	return addresses
}

// OrderResult is the result of an operator's table or amendment.
type OrderResult struct {
	// Accepted is set if the table is in force and durable, Uncertain if the outcome is
	// unknown; repeating the same order is safe.
	Accepted  bool `json:"taken"`
	Uncertain bool `json:"unsure"`
	// RaceLost is set if the order's base is not the current table, which has this Number.
	RaceLost bool                 `json:"race_lost"`
	Number   uint64               `json:"number"`
	Faults   configuration.Faults `json:"faults,omitempty"`
	// Preview is set for an amendment with PreviewOnly.
	Preview *route.Preview `json:"preview,omitempty"`
}

// Apply proposes a valid table to the cores as the successor of table base. The ticket is
// answered with an OrderResult.
func (m *Machine) Apply(now time.Duration, ticket uint64, base uint64, text []byte, digest string) Output {
	m.out = &Output{}
	parsed, faults := route.Parse(text)
	if faults != nil {
		m.Counters.TablesRefused++
		m.addAnswer(ticket, OrderResult{Faults: faults})
		return *m.out
	}
	m.addPending(now, ticket, OrderResult{Uncertain: true})
	m.proposeTable(now, ticket, core.AcceptTable{Base: base, Number: parsed.Number, Text: text, Digest: digest},
		parsed, now+m.params.OperationTimeout)
	return *m.out
}

func (m *Machine) proposeTable(now time.Duration, ticket uint64, command core.AcceptTable, parsed *route.Table, deadline time.Duration) {
	m.caller.Call(now, command, deadline, func(now time.Duration, outcome core.Outcome) {
		accepted, ok := outcome.Answer.(core.AcceptTableResult)
		switch {
		case !ok:
			m.resolve(ticket, OrderResult{Uncertain: true})
		case accepted.OK:
			m.Counters.TablesApplied++
			m.install(now, parsed, command.Digest)
			m.resolve(ticket, OrderResult{Accepted: true, Number: accepted.Number})
		case parsed.Number <= accepted.Number && command.Base == accepted.Number:
			m.resolve(ticket, OrderResult{Number: accepted.Number, Faults: configuration.Faults{{
				Path:    "number",
				Value:   parsed.Number,
				Allowed: "a number above that of the current table",
			}}})
		default:
			m.resolve(ticket, OrderResult{RaceLost: true, Number: accepted.Number})
		}
	})
}
