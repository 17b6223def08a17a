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

func (m *Machine) pull(now time.Duration) {
	if now < m.pullAt {
		return
	}
	m.pullAt = now + m.params.Core.PullInterval
	versions := map[int]partition.Version{}
	for n, v := range m.versions {
		versions[n] = v
	}
	m.pulls++
	request := core.PullUpdates{
		SentAt:        now,
		Versions:      versions,
		Member:        m.params.ID,
		WantFreshness: m.freshAt < m.startedAt,
		WantTopology:  m.pulls%8 == 1 || len(m.topology.Leaders) == 0,
	}
	targets := m.coreAddresses()
	if len(targets) == 0 {
		targets = m.params.Seeds
	}
	for _, to := range targets {
		m.send(to, request)
	}
	// Two random members each time spread an announcement to all nodes well before it expires.
	others := m.others()
	for i := 0; i < 2 && len(others) > 0; i++ {
		chosen := int(m.random()*float64(len(others))) % len(others)
		m.send(others[chosen], request)
		others = append(others[:chosen], others[chosen+1:]...)
	}
}

func (m *Machine) others() []string {
	var list []string
	for id, o := range m.members {
		if id != m.params.ID && !o.Ended {
			list = append(list, o.Peer)
		}
	}
	sort.Strings(list)
	return list
}

// onTopology merges a topology of this node's fleet; the newest term of each partition wins.
func (m *Machine) onTopology(t core.Topology) {
	if m.topology.Fleet != "" && m.topology.Fleet != t.Fleet || len(t.Leaders) == 0 {
		return
	}
	if m.topology.Fleet == "" {
		m.topology = t
	}
	for n := range t.Leaders {
		if n < len(m.topology.Leaders) && m.topology.Leaders[n].Less(t.Leaders[n]) {
			m.topology.Leaders[n] = t.Leaders[n]
		}
	}
	for id, c := range t.Cores {
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
func (m *Machine) onFreshness(b core.Freshness) {
	if !m.versions[core.ConfigurationPartition].Less(b.UpTo) {
		m.freshAt = max(m.freshAt, b.SentAt-b.Age)
	}
}

func (m *Machine) onPullUpdates(now time.Duration, from string, b core.PullUpdates) {
	if b.WantTopology && m.topology.Fleet != "" {
		m.send(from, m.topology)
	}
	for _, n := range ordered.Keys(m.versions) {
		after, upto := b.Versions[n], m.versions[n]
		if !after.Less(upto) {
			continue
		}
		update := core.Update{Partition: n, UpTo: upto, Snapshot: true}
		for _, k := range ordered.Keys(m.entries[n]) {
			update.Entries = append(update.Entries, m.entries[n][k])
		}
		m.send(from, update)
	}
	m.sendAnnouncements(now, from, b.SentAt)
}

// onUpdate applies an update of a partition's published entries, unless it is old or leaves a gap.
func (m *Machine) onUpdate(now time.Duration, b core.Update) {
	if !m.versions[b.Partition].Less(b.UpTo) || (!b.Snapshot && m.versions[b.Partition].Less(b.After)) {
		m.Counters.StaleUpdates++
		return
	}
	if b.Snapshot || m.entries[b.Partition] == nil {
		m.entries[b.Partition] = map[string]partition.Entry{}
	}
	for _, e := range b.Entries {
		if e.Deleted {
			delete(m.entries[b.Partition], e.Key)
		} else {
			m.entries[b.Partition][e.Key] = e
		}
	}
	m.versions[b.Partition] = b.UpTo
	m.applyPartition(now, b.Partition)
}

func (m *Machine) applyPartition(now time.Duration, n int) {
	for _, k := range ordered.Keys(m.entries[n]) {
		m.applyEntry(now, m.entries[n][k])
	}
}

func (m *Machine) applyEntry(now time.Duration, e partition.Entry) {
	kind, _, _ := strings.Cut(e.Key, "/")
	switch kind {
	case "configuration":
		var c core.CurrentConfiguration
		if message.Unmarshal(e.Value, &c) != nil || c.Version <= m.configurationVersion {
			return
		}
		d, faults := configuration.Parse(c.Text)
		if len(faults) > 0 {
			return
		}
		m.description, m.configurationVersion, m.tenants = d, c.Version, d.TenantNames()
		m.renewAt = now
	case "member":
		var o core.Member
		if message.Unmarshal(e.Value, &o) == nil {
			m.members[o.ID] = o
			m.failForwardsTo(now, o)
		}
	case "core":
		var c core.Core
		if message.Unmarshal(e.Value, &c) == nil {
			m.cores[c.ID] = c
			if m.topology.Cores != nil {
				m.topology.Cores[c.ID] = c
			}
		}
	case "breaker":
		var b core.BreakerSummary
		if message.Unmarshal(e.Value, &b) == nil {
			state := breaker.State(b.State)
			if state == breaker.Open && m.breakerState != breaker.Open && m.description != nil {
				m.openUntil = max(m.openUntil, now+m.description.BreakerParams().Recovery)
			}
			if state != breaker.Open {
				m.openUntil = 0
			}
			m.breakerState = state
		}
	}
}
