package node

import (
	"sort"
	"strings"
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/breaker"
	"saffronfall/rule/configuration"
	"saffronfall/rule/message"
	"saffronfall/rule/ordered"
	"saffronfall/rule/partition"
)

const (
	pullFanout       = 2 // members
	pullsPerTopology = 8
)

func (m *Machine) pull(now time.Duration) {
	if now < m.pullAt {
		return
	}
	m.pullAt = now + m.params.Core.PullInterval
	versions := map[int]partition.Version{}
	for n, v := range m.versions {
		versions[n] = v
	}
	m.pullCount++
	request := core.PullUpdates{
		SentAt:        now,
		Versions:      versions,
		Member:        m.params.ID,
		WantFreshness: m.freshAt < m.startedAt,
		WantTopology:  m.pullCount%pullsPerTopology == 1 || len(m.topology.Leaders) == 0,
	}
	targets := m.topology.CoreAddresses()
	if len(targets) == 0 {
		targets = m.params.Seeds
	}
	for _, to := range targets {
		m.send(to, request)
	}
	// Two random members each time spread an announcement to all nodes well before it expires.
	others := m.otherAddresses()
	for i := 0; i < pullFanout && len(others) > 0; i++ {
		chosen := int(m.random()*float64(len(others))) % len(others)
		m.send(others[chosen], request)
		others = append(others[:chosen], others[chosen+1:]...)
	}
}

func (m *Machine) otherAddresses() []string {
	var list []string
	for id, member := range m.members {
		if id != m.params.ID && !member.Ended {
			list = append(list, member.Peer)
		}
	}
	sort.Strings(list)
	return list
}

// onTopology merges a topology of this node's fleet; the newest term of each partition wins.
func (m *Machine) onTopology(topology core.Topology) {
	if m.topology.Fleet != "" && m.topology.Fleet != topology.Fleet || len(topology.Leaders) == 0 {
		return
	}
	if m.topology.Fleet == "" {
		m.topology = topology
	}
	for n := range topology.Leaders {
		if n < len(m.topology.Leaders) && m.topology.Leaders[n].Less(topology.Leaders[n]) {
			m.topology.Leaders[n] = topology.Leaders[n]
		}
	}
	for id, c := range topology.Cores {
		if _, agreed := m.cores[id]; !agreed {
			m.topology.Cores[id] = c
		}
	}
	for n, term := range m.topology.Leaders {
		for _, c := range m.topology.Cores {
			if c.MemberID() == term.Leader {
				m.caller.SetLeader(n, c.Peer)
			}
		}
	}
}

// onFreshness records the time as of which this node has the current configuration.
func (m *Machine) onFreshness(freshness core.Freshness) {
	if !m.versions[core.ConfigurationPartition].Less(freshness.UpTo) {
		m.freshAt = max(m.freshAt, freshness.SentAt-freshness.Age)
	}
}

func (m *Machine) onPullUpdates(now time.Duration, from string, request core.PullUpdates) {
	if request.WantTopology && m.topology.Fleet != "" {
		m.send(from, m.topology)
	}
	for _, n := range ordered.Keys(m.versions) {
		after, upto := request.Versions[n], m.versions[n]
		if !after.Less(upto) {
			continue
		}
		update := core.Update{Partition: n, UpTo: upto, Snapshot: true}
		for _, k := range ordered.Keys(m.entries[n]) {
			update.Entries = append(update.Entries, m.entries[n][k])
		}
		m.send(from, update)
	}
	m.sendAnnouncements(now, from, request.SentAt)
}

// onUpdate applies an update of a partition's published entries, unless it is old or leaves a gap.
func (m *Machine) onUpdate(now time.Duration, update core.Update) {
	if !m.versions[update.Partition].Less(update.UpTo) || (!update.Snapshot && m.versions[update.Partition].Less(update.After)) {
		m.Counters.StaleUpdates++
		return
	}
	if update.Snapshot || m.entries[update.Partition] == nil {
		m.entries[update.Partition] = map[string]partition.Entry{}
	}
	for _, e := range update.Entries {
		if e.Deleted {
			delete(m.entries[update.Partition], e.Key)
		} else {
			m.entries[update.Partition][e.Key] = e
		}
	}
	m.versions[update.Partition] = update.UpTo
	m.applyPartition(now, update.Partition)
}

func (m *Machine) applyPartition(now time.Duration, n int) {
	for _, k := range ordered.Keys(m.entries[n]) {
		m.applyEntry(now, m.entries[n][k])
	}
}

func (m *Machine) applyEntry(now time.Duration, entry partition.Entry) {
	kind, _, _ := strings.Cut(entry.Key, "/")
	switch kind {
	case "configuration":
		var c core.CurrentConfiguration
		if message.Unmarshal(entry.Value, &c) != nil || c.Version <= m.configurationVersion {
			return
		}
		d, faults := configuration.Parse(c.Text)
		if len(faults) > 0 {
			return
		}
		m.description, m.configurationVersion, m.tenants = d, c.Version, d.TenantNames()
		m.renewAt = now
	case "member":
		var member core.Member
		if message.Unmarshal(entry.Value, &member) == nil {
			m.members[member.ID] = member
			m.failForwardsTo(now, member)
		}
	case "core":
		var c core.Core
		if message.Unmarshal(entry.Value, &c) == nil {
			m.cores[c.ID] = c
			if m.topology.Cores != nil {
				m.topology.Cores[c.ID] = c
			}
		}
	case "breaker":
		var b core.BreakerSummary
		if message.Unmarshal(entry.Value, &b) == nil {
			state := breaker.State(b.State)
			if state == breaker.Open && m.breakerState != breaker.Open && m.description != nil {
				m.breakerOpenUntil = max(m.breakerOpenUntil, now+m.description.BreakerParams().Recovery)
			}
			if state != breaker.Open {
				m.breakerOpenUntil = 0
			}
			m.breakerState = state
		}
	}
}
