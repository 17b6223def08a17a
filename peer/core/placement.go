package core

import (
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
	"time"

	"saffronfall/rule/ordered"
	"saffronfall/rule/partition"
)

// Place returns the members that each partition's group should have, spread evenly over zones and
// cores, as are homes (first members). The result depends only on the set of cores, and changes
// little when one is added or removed (rendezvous hashing, then balancing). Retired cores get no
// replicas, and silent ones only if there are too few others, or too few in other failure domains: a
// group that lacks members of a lost zone for a while survives the next loss, while one that fills up
// within the remaining zones may not. Where no placement survives the tolerated losses, as with two
// zones, the groups are spread as evenly as can be.
func (d FailureDomains) Place(partitions, size int, cores []Core, silent map[string]bool) [][]string {
	a := newAssignment(d, partitions, size, cores)
	var present, absent []int
	for i, c := range a.cores {
		switch {
		case c.Retired:
		case silent[c.ID]:
			absent = append(absent, i)
		default:
			present = append(present, i)
		}
	}
	a.fill(present, true)
	a.fill(absent, true)
	a.fill(present, false)
	a.fill(absent, false)
	return assignHomes(a.members())
}

// Place is FailureDomains.Place where single machines are lost.
func Place(partitions, size int, cores []Core, silent map[string]bool) [][]string {
	return FailureDomains{}.Place(partitions, size, cores, silent)
}

// weight is a core's rendezvous weight for partition n.
func weight(kind string, n int, id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(kind + "/" + strconv.Itoa(n) + "/" + id))
	x := h.Sum64()
	// The finalizer of SplitMix64: FNV-1a alone mixes the last bytes too little.
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// assignHomes puts each partition's home, the member that should lead it, first in its group.
func assignHomes(groups [][]string) [][]string {
	homeCounts := map[string]int{}
	home := make([]string, len(groups))
	for n, members := range groups {
		for _, member := range members {
			if home[n] == "" || weight("home", n, CoreID(member)) > weight("home", n, CoreID(home[n])) {
				home[n] = member
			}
		}
		homeCounts[home[n]]++
	}
	for {
		best, newHome := -1, ""
		for n, members := range groups {
			for _, member := range members {
				gap := homeCounts[home[n]] - homeCounts[member]
				if gap >= 2 && (best < 0 || gap > homeCounts[home[best]]-homeCounts[newHome]) {
					best, newHome = n, member
				}
			}
		}
		if best < 0 {
			break
		}
		homeCounts[home[best]]--
		homeCounts[newHome]++
		home[best] = newHome
	}
	for n, members := range groups {
		if i := slices.Index(members, home[n]); i > 0 {
			groups[n] = slices.Insert(slices.Delete(members, i, i+1), 0, home[n])
		}
	}
	return groups
}

const (
	// defaultSilenceLeases is the default silence timeout in member leases.
	defaultSilenceLeases = 3
	// A core sends at least this many heartbeats.
	heartbeatsPerLease          = 4
	heartbeatsPerSilenceTimeout = 8
	// recentHeartbeats is in heartbeat intervals.
	recentHeartbeats = 3
	// recoveryDivisor divides the silence timeout, or the member lease if shorter.
	recoveryDivisor = 4
	// pauseDivisor divides the silence timeout; longer pauses are detected.
	pauseDivisor = 4
)

func (m *Machine) silenceTimeout() time.Duration {
	if m.params.SilenceTimeout > 0 {
		return m.params.SilenceTimeout
	}
	return defaultSilenceLeases * m.params.MemberLease
}

func (m *Machine) heartbeatInterval() time.Duration {
	return min(m.params.MemberLease/heartbeatsPerLease, m.silenceTimeout()/heartbeatsPerSilenceTimeout)
}

// recoveryTime is how long a silent core must be heard again before it no longer counts as silent.
func (m *Machine) recoveryTime() time.Duration {
	return min(m.params.MemberLease, m.silenceTimeout()) / recoveryDivisor
}

// contact has the times of a core's last message, and of the first one after its last silence.
type contact struct{ last, recoveredAt time.Duration }

func (m *Machine) recordContact(now time.Duration, member string) {
	c, ok := m.contacts[member]
	if ok && now-max(c.last, m.observedSince) >= m.silenceTimeout() {
		c.recoveredAt = now
	}
	c.last = now
	m.contacts[member] = c
}

// detectPause restarts the observation of silence after a pause of this core, which received no
// messages in that time.
func (m *Machine) detectPause(now time.Duration) {
	if now-m.activeAt > m.silenceTimeout()/pauseDivisor {
		m.observedSince = now
	}
	m.activeAt = now
}

// silent also reports a member that has not yet recovered from a silence.
func (m *Machine) silent(now time.Duration, member string) bool {
	if member == m.self.MemberID() {
		return false
	}
	c := m.contacts[member]
	return now-max(c.last, m.observedSince) >= m.silenceTimeout() || (c.recoveredAt > 0 && c.last-c.recoveredAt < m.recoveryTime())
}

func (m *Machine) silentCores(now time.Duration) map[string]bool {
	silent := map[string]bool{}
	for id, c := range m.cores {
		if m.silent(now, c.MemberID()) {
			silent[id] = true
		}
	}
	return silent
}

func (m *Machine) hasRecentContact(now time.Duration, member string) bool {
	c, ok := m.contacts[member]
	return member == m.self.MemberID() || (ok && now-c.last < recentHeartbeats*m.heartbeatInterval())
}

// Reasons for removing a member from a group, the most urgent first. Members whose disks may be lost
// go before those that still hold what was agreed.
const (
	memberSuperseded = iota
	memberSilent
	memberRetired
	memberUnplaced
	memberStays
)

func (m *Machine) removalReason(now time.Duration, member string, wanted []string) int {
	c, ok := m.cores[CoreID(member)]
	switch {
	case ok && c.MemberID() != member:
		return memberSuperseded
	case m.silent(now, member):
		return memberSilent
	case c.Retired:
		return memberRetired
	case !slices.Contains(wanted, member):
		return memberUnplaced
	}
	return memberStays
}

// mayBeAdded reports whether a member that is being added to a group still may join it.
func (m *Machine) mayBeAdded(now time.Duration, member string) bool {
	c, known := m.cores[CoreID(member)]
	superseded := known && c.MemberID() != member
	return m.hasRecentContact(now, member) && !superseded && !c.Retired
}

// desiredGroups returns the groups that the partitions should have.
func (m *Machine) desiredGroups(now time.Duration) [][]string {
	var cores []Core
	silent := m.silentCores(now)
	for _, id := range ordered.Keys(m.cores) {
		cores = append(cores, m.cores[id])
	}
	if m.placement == nil || !slices.Equal(cores, m.placementCores) || !maps.Equal(silent, m.placementSilent) {
		m.placement, m.placementCores, m.placementSilent = m.params.Domains.Place(m.founding.Partitions, m.groupSize(), cores, silent), cores, silent
	}
	return m.placement
}

// rebalance moves the groups that this core leads towards the desired ones, one change at a time.
func (m *Machine) rebalance(now time.Duration) {
	for n := 0; n < m.founding.Partitions; n++ {
		replica := m.partitions[n]
		if replica == nil {
			continue
		}
		if _, ok := replica.LeadingTerm(now); !ok {
			continue
		}
		if adding, changing := replica.ChangeInProgress(); changing {
			if adding != "" && !m.mayBeAdded(now, adding) {
				m.handleOutput(now, n, replica.AbortChange(now))
			}
			continue
		}
		if now < m.nextChangeAt[n] || m.draining || m.stalled {
			continue
		}
		committed, _ := replica.CommittedGroup()
		group, wanted := committed.Members, m.desiredGroups(now)[n]
		add, remove := m.nextChange(now, group, wanted)
		switch {
		case add != "" || remove != "":
			ticket := m.tickets.Put(commandOrigin{onResult: func(now time.Duration, r partition.Result) {
				if r.Body != true {
					m.nextChangeAt[n] = now + m.params.Partition.LeaseDuration
				}
			}})
			m.handleOutput(now, n, replica.ChangeMembers(now, uint64(ticket), add, remove))
		case len(wanted) > 0 && wanted[0] != group[0] && slices.Contains(group, wanted[0]) && m.hasRecentContact(now, wanted[0]):
			i := slices.Index(group, wanted[0])
			m.handleOutput(now, n, replica.ReorderMembers(now, append([]string{wanted[0]}, slices.Delete(slices.Clone(group), i, i+1)...)))
		}
	}
}

// nextChange returns the next member to add and the one to remove; "" means none.
func (m *Machine) nextChange(now time.Duration, group, wanted []string) (add, remove string) {
	reason := memberStays
	healthy := true
	for _, s := range group {
		if u := m.removalReason(now, s, wanted); u < reason {
			reason, remove = u, s
		}
		healthy = healthy && m.hasRecentContact(now, s)
	}
	add = m.memberToAdd(now, group, wanted, remove)
	switch size := m.groupSize(); {
	case len(group) > size && reason < memberStays:
		return "", remove
	case add == "" || len(group) > size:
		return "", ""
	case len(group) < size && reason > memberSuperseded:
		return add, ""
	case reason == memberStays:
		return "", ""
	case reason == memberUnplaced && !(healthy && m.survivable(group, add, remove)):
		return "", ""
	case reason == memberRetired && !m.spareRemains(now, group):
		return "", ""
	}
	return add, remove
}

// memberToAdd returns the wanted member to add when another one is removed: the same core with another
// disk, else one with which the group survives the tolerated losses, else any; "" if none is heard.
func (m *Machine) memberToAdd(now time.Duration, group, wanted []string, remove string) string {
	add := ""
	for _, member := range wanted {
		if slices.Contains(group, member) || !m.hasRecentContact(now, member) {
			continue
		}
		if CoreID(member) == CoreID(remove) {
			return member
		}
		if add == "" || !m.survivable(group, add, remove) && m.survivable(group, member, remove) {
			add = member
		}
	}
	return add
}

// survivable reports whether the tolerated losses leave a majority of a group after a change, or could
// take one before it already.
func (m *Machine) survivable(group []string, add, remove string) bool {
	spread := m.params.Domains.occupancy(m.groupSize())
	for _, member := range group {
		spread.add(m.cores[CoreID(member)].Zone, 1)
	}
	before := spread.overloaded()
	spread.add(m.cores[CoreID(remove)].Zone, -1)
	spread.add(m.cores[CoreID(add)].Zone, 1)
	return before || !spread.overloaded()
}

// spareRemains reports whether a core outside the group is left for each member that is not heard,
// after one has replaced a retired member. Otherwise that one must first replace a member that is lost.
func (m *Machine) spareRemains(now time.Duration, group []string) bool {
	unheard, spares := 0, 0
	for _, member := range group {
		if !m.hasRecentContact(now, member) {
			unheard++
		}
	}
	for _, c := range m.cores {
		if member := c.MemberID(); !c.Retired && !slices.Contains(group, member) && m.hasRecentContact(now, member) {
			spares++
		}
	}
	return spares > unheard
}
