package registry

import "time"

// Acknowledgment answers a replica's heartbeat or Leave call. A report that is not Accepted may
// be lost with this registry, and the replica should send it to another one.
type Acknowledgment struct{ Accepted bool }

// departureHeartbeats is DepartureTimeout in heartbeat intervals.
const departureHeartbeats = 0.6

// DepartureTimeout bounds the time to acknowledge a replica's departure.
func (p Params) DepartureTimeout() time.Duration {
	return time.Duration(departureHeartbeats * float64(p.HeartbeatInterval))
}

// departure is not acknowledged yet, because it could be lost with this registry.
type departure struct {
	ticket uint64
	// version is the first version of the list that includes the departure.
	version   uint64
	startedAt time.Duration
}

// acknowledge answers a replica's report. Only a departure must be replicated first: the next
// heartbeat repeats all other state.
func (m *Machine) acknowledge(now time.Duration, ticket uint64, entry *trackedReplica) {
	if ticket == 0 {
		return
	}
	if !entry.isDeparting() {
		m.addAnswer(ticket, Acknowledgment{Accepted: !m.Isolated(now)})
		return
	}
	m.departures = append(m.departures, departure{ticket: ticket, version: entry.Version, startedAt: now})
	m.answerDepartures(now)
}

// answerDepartures acknowledges replicated departures, and rejects those that time out.
func (m *Machine) answerDepartures(now time.Duration) {
	timeout := m.params.DepartureTimeout()
	if !m.coresReachable(now) {
		timeout = disconnectedCallPulls * m.params.Core.PullInterval
	}
	remaining := m.departures[:0]
	for _, d := range m.departures {
		switch {
		case m.isReplicated(now, d.version):
			m.addAnswer(d.ticket, Acknowledgment{Accepted: !m.Isolated(now)})
		case now >= d.startedAt+timeout:
			m.addAnswer(d.ticket, Acknowledgment{})
		default:
			remaining = append(remaining, d)
		}
	}
	m.departures = remaining
}

// isReplicated reports whether a version of the list survives the loss of this registry. As many
// other registries must have it as may be lost at once, and registries of as many other zones and
// regions; if none is active, all active nodes.
func (m *Machine) isReplicated(now time.Duration, version uint64) bool {
	active, confirmed := map[string]string{}, map[string]string{}
	nodeMissing := false
	for address, s := range m.subscribers {
		switch {
		case !s.isActive(now, m.params.HeartbeatInterval):
		case s.isRegistry:
			active[address] = s.zone
			if s.confirmedVersion >= version {
				confirmed[address] = s.zone
			}
		default:
			nodeMissing = nodeMissing || s.confirmedVersion < version
		}
	}
	if len(active) == 0 {
		return !nodeMissing
	}
	domains := m.params.Core.Domains
	zoneOf := func(zone string) string { return zone }
	return len(confirmed) >= min(len(active), m.toleratedLosses()) &&
		m.otherDomains(confirmed, zoneOf) >= min(m.otherDomains(active, zoneOf), domains.Zones) &&
		m.otherDomains(confirmed, domains.Region) >= min(m.otherDomains(active, domains.Region), domains.Regions)
}

// otherDomains counts the zones or regions, other than this registry's, of registries. A zone that is
// not known, as with a registry of a former release, counts as this registry's.
func (m *Machine) otherDomains(zones map[string]string, domainOf func(zone string) string) int {
	others := map[string]bool{}
	for _, zone := range zones {
		if domain := domainOf(zone); zone != "" && domain != domainOf(m.zone) {
			others[domain] = true
		}
	}
	return len(others)
}

// toleratedLosses returns how many machines f may be lost at once: groups have 2f+1 members.
func (m *Machine) toleratedLosses() int { return max((m.params.GroupSize-1)/2, 1) }
