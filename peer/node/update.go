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

// pull asks the cores, and two random members, for updates of state and announcements.
func (m *Machine) pull(now time.Duration) {
	if now < m.pullAt {
		return
	}
	m.pullAt = now + m.params.Core.Pull
	versions := map[int]partition.Version{}
	for n, v := range m.versions {
		versions[n] = v
	}
	m.pulls++
	ask := core.Pull{Sent: now, Versions: versions, Member: m.params.ID, Fresh: m.freshAt < m.startedAt, Want: m.pulls%8 == 1 || len(m.topology.Owners) == 0}
	targets := m.coreAddresses()
	if len(targets) == 0 {
		targets = m.params.Seeds
	}
	for _, to := range targets {
		m.send(to, ask)
	}
	// Pulling from two random members each time spreads an announcement to all
	// nodes well before it expires.
	others := m.others()
	for i := 0; i < 2 && len(others) > 0; i++ {
		chosen := int(m.random()*float64(len(others))) % len(others)
		m.send(others[chosen], ask)
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
	if m.topology.Fleet != "" && m.topology.Fleet != t.Fleet || len(t.Owners) == 0 {
		return
	}
	if m.topology.Fleet == "" {
		m.topology = t
	}
	for n := range t.Owners {
		if n < len(m.topology.Owners) && m.topology.Owners[n].Less(t.Owners[n]) {
			m.topology.Owners[n] = t.Owners[n]
		}
	}
	for id, c := range t.Cores {
		if _, agreed := m.cores[id]; !agreed {
			m.topology.Cores[id] = c
		}
	}
	for n, owner := range m.topology.Owners {
		for _, c := range m.topology.Cores {
			if c.Seat() == owner.Leader {
				m.caller.Hint(n, c.Peer)
			}
		}
	}
}

// onFresh records the time as of which this node has the current configuration.
func (m *Machine) onFresh(b core.Fresh) {
	if !m.versions[core.ConfigurationPart].Less(b.Upto) {
		m.freshAt = max(m.freshAt, b.Sent-b.Age)
	}
}

// onPull answers another member's pull with what this node knows and the other lacks.
func (m *Machine) onPull(now time.Duration, from string, b core.Pull) {
	if b.Want && m.topology.Fleet != "" {
		m.send(from, m.topology)
	}
	for _, n := range ordered.Keys(m.versions) {
		after, upto := b.Versions[n], m.versions[n]
		if !after.Less(upto) {
			continue
		}
		news := core.News{Part: n, Upto: upto, Whole: true}
		for _, k := range ordered.Keys(m.entries[n]) {
			news.Entries = append(news.Entries, m.entries[n][k])
		}
		m.send(from, news)
	}
	m.sendAnnouncements(now, from, b.Sent)
}

// onUpdate applies an update of a partition's published entries, unless it is old or leaves a gap.
func (m *Machine) onUpdate(now time.Duration, b core.News) {
	if !m.versions[b.Part].Less(b.Upto) || (!b.Whole && m.versions[b.Part].Less(b.After)) {
		m.Counters.StaleUpdates++
		return
	}
	if b.Whole || m.entries[b.Part] == nil {
		m.entries[b.Part] = map[string]partition.Entry{}
	}
	for _, e := range b.Entries {
		if e.Deleted {
			delete(m.entries[b.Part], e.Key)
		} else {
			m.entries[b.Part][e.Key] = e
		}
	}
	m.versions[b.Part] = b.Upto
	m.applyPartition(now, b.Part)
}

func (m *Machine) applyPartition(now time.Duration, n int) {
	for _, k := range ordered.Keys(m.entries[n]) {
		m.applyEntry(now, m.entries[n][k])
	}
}

// applyEntry applies one published entry: configuration, member, core or breaker.
func (m *Machine) applyEntry(now time.Duration, e partition.Entry) {
	kind, _, _ := strings.Cut(e.Key, "/")
	switch kind {
	case "configuration":
		var c core.Configured
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
		var b core.BreakerNews
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
