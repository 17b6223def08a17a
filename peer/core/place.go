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

// Place gives each part the seats that its group should have: spread over zones
// as evenly as can be, the cores' loads even, the first seats spread too. It is
// the same for whoever knows the same cores, and mostly the same when one comes
// or goes (rendezvous hashing, evened out). Retired cores get none, silent ones
// only where there are too few others.
func Place(parts, size int, cores []Core, silent map[string]bool) [][]string {
	var present, absent []Core
	for _, c := range cores {
		switch {
		case c.Retired:
		case silent[c.ID]:
			absent = append(absent, c)
		default:
			present = append(present, c)
		}
	}
	groups := spread(parts, min(size, len(present)), present, nil)
	if len(present) < size {
		groups = spread(parts, min(size-len(present), len(absent)), absent, groups)
	}
	return homes(groups)
}

// weight is how much a core is a part's by hash.
func weight(kind string, n int, id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(kind + "/" + strconv.Itoa(n) + "/" + id))
	x := h.Sum64()
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// spread adds a number of cores' seats to each group.
func spread(parts, more int, cores []Core, before [][]string) [][]string {
	groups := make([][]string, parts)
	zoneCounts := make([]map[string]int, parts)
	chosen := make([]map[int]bool, parts)
	weights := make([][]uint64, parts)
	loads := make([]int, len(cores))
	cores = slices.Clone(cores)
	slices.SortFunc(cores, func(a, b Core) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	for n := range groups {
		zoneCounts[n], chosen[n] = map[string]int{}, map[int]bool{}
		for _, c := range cores {
			weights[n] = append(weights[n], weight("seat", n, c.ID))
		}
		for len(chosen[n]) < more {
			best := -1
			for i, c := range cores {
				if chosen[n][i] {
					continue
				}
				if best < 0 || zoneCounts[n][c.Zone] < zoneCounts[n][cores[best].Zone] ||
					(zoneCounts[n][c.Zone] == zoneCounts[n][cores[best].Zone] && weights[n][i] > weights[n][best]) {
					best = i
				}
			}
			chosen[n][best] = true
			zoneCounts[n][cores[best].Zone]++
			loads[best]++
		}
	}
	for {
		part, out, in := -1, 0, 0
		for n := range groups {
			for i := range cores {
				if !chosen[n][i] {
					continue
				}
				for j, c := range cores {
					gap := loads[i] - loads[j]
					if chosen[n][j] || gap < 2 || (c.Zone != cores[i].Zone && zoneCounts[n][c.Zone]+1 > zoneCounts[n][cores[i].Zone]) {
						continue
					}
					if best := loads[out] - loads[in]; part < 0 || gap > best || (gap == best && weights[n][j] > weights[part][in]) {
						part, out, in = n, i, j
					}
				}
			}
		}
		if part < 0 {
			break
		}
		delete(chosen[part], out)
		chosen[part][in] = true
		loads[out]--
		loads[in]++
		zoneCounts[part][cores[out].Zone]--
		zoneCounts[part][cores[in].Zone]++
	}
	for n := range groups {
		if before != nil {
			groups[n] = before[n]
		}
		members := ordered.Keys(chosen[n])
		slices.SortFunc(members, func(a, b int) int {
			if weights[n][a] > weights[n][b] {
				return -1
			}
			return 1
		})
		for _, i := range members {
			groups[n] = append(groups[n], cores[i].Seat())
		}
	}
	return groups
}

// homes puts the seat first that is to be the part's home.
func homes(groups [][]string) [][]string {
	firsts := map[string]int{}
	home := make([]string, len(groups))
	for n, seats := range groups {
		for _, s := range seats {
			if home[n] == "" || weight("home", n, SeatID(s)) > weight("home", n, SeatID(home[n])) {
				home[n] = s
			}
		}
		firsts[home[n]]++
	}
	for {
		best, to := -1, ""
		for n, seats := range groups {
			for _, s := range seats {
				gap := firsts[home[n]] - firsts[s]
				if gap >= 2 && (best < 0 || gap > firsts[home[best]]-firsts[to]) {
					best, to = n, s
				}
			}
		}
		if best < 0 {
			break
		}
		firsts[home[best]]--
		firsts[to]++
		home[best] = to
	}
	for n, seats := range groups {
		if i := slices.Index(seats, home[n]); i > 0 {
			groups[n] = slices.Insert(slices.Delete(seats, i, i+1), 0, home[n])
		}
	}
	return groups
}

// gone is after how long a core that was not heard from counts as silent.
func (m *Machine) gone() time.Duration {
	if m.params.Gone > 0 {
		return m.params.Gone
	}
	return 3 * m.params.MemberTerm
}

// beat is how often cores say that they live.
func (m *Machine) beat() time.Duration { return min(m.params.MemberTerm/4, m.gone()/8) }

// steady is how long a core that was silent must be heard before it counts again.
func (m *Machine) steady() time.Duration { return min(m.params.MemberTerm, m.gone()) / 4 }

// heard is when a core was last heard, and since when after a silence.
type heard struct{ last, since time.Duration }

func (m *Machine) hear(now time.Duration, seat string) {
	h, ok := m.heard[seat]
	if ok && now-max(h.last, m.bornAt) >= m.gone() {
		h.since = now
	}
	h.last = now
	m.heard[seat] = h
}

// notice forgets what silences it saw while this core itself did not run.
func (m *Machine) notice(now time.Duration) {
	if now-m.tickedAt > m.gone()/4 {
		m.bornAt = now
	}
	m.tickedAt = now
}

func (m *Machine) silent(now time.Duration, seat string) bool {
	if seat == m.self.Seat() {
		return false
	}
	h := m.heard[seat]
	return now-max(h.last, m.bornAt) >= m.gone() || (h.since > 0 && h.last-h.since < m.steady())
}

func (m *Machine) silentCores(now time.Duration) map[string]bool {
	silent := map[string]bool{}
	for id, c := range m.cores {
		if m.silent(now, c.Seat()) {
			silent[id] = true
		}
	}
	return silent
}

// lively reports whether a seat was heard of just now.
func (m *Machine) lively(now time.Duration, seat string) bool {
	h, ok := m.heard[seat]
	return seat == m.self.Seat() || (ok && now-h.last < 3*m.beat())
}

// Reasons for a seat to leave a group, the strongest first.
const (
	seatDead = iota
	seatRetired
	seatSilent
	seatSurplus
	seatStays
)

// leaves tells whether, and how urgently, a seat should leave a group.
func (m *Machine) leaves(now time.Duration, seat string, wanted []string) int {
	c, ok := m.cores[SeatID(seat)]
	switch {
	case ok && c.Seat() != seat:
		return seatDead
	case c.Retired:
		return seatRetired
	case m.silent(now, seat):
		return seatSilent
	case !slices.Contains(wanted, seat):
		return seatSurplus
	}
	return seatStays
}

// desired is where all parts' seats should be, as far as this core knows.
func (m *Machine) desired(now time.Duration) [][]string {
	var cores []Core
	silent := m.silentCores(now)
	for _, id := range ordered.Keys(m.cores) {
		cores = append(cores, m.cores[id])
	}
	if m.placed == nil || !slices.Equal(cores, m.placedFor) || !maps.Equal(silent, m.placedSilent) {
		m.placed, m.placedFor, m.placedSilent = Place(m.founding.Parts, m.size(), cores, silent), cores, silent
	}
	return m.placed
}

// place moves the groups of the parts that this core owns towards where they
// should be, each by one seat at a time.
func (m *Machine) place(now time.Duration) {
	for n := 0; n < m.founding.Parts; n++ {
		p := m.parts[n]
		if p == nil {
			continue
		}
		if _, ok := p.LeadingTerm(now); !ok {
			continue
		}
		if adding, changing := p.ChangeInProgress(); changing {
			if adding != "" && (!m.lively(now, adding) || m.leaves(now, adding, nil) < seatSilent) {
				m.take(now, n, p.AbortChange(now))
			}
			continue
		}
		if now < m.movedAt[n] || m.leaving || m.stalled {
			continue
		}
		agreed, _ := p.CommittedGroup()
		group, wanted := agreed.Members, m.desired(now)[n]
		add, remove := m.step(now, group, wanted)
		switch {
		case add != "" || remove != "":
			ticket := m.tickets.Put(origin{handled: func(now time.Duration, r partition.Result) {
				if r.Body != true {
					m.movedAt[n] = now + m.params.Part.LeaseDuration
				}
			}})
			m.take(now, n, p.ChangeMembers(now, uint64(ticket), add, remove))
		case len(wanted) > 0 && wanted[0] != group[0] && slices.Contains(group, wanted[0]) && m.lively(now, wanted[0]):
			i := slices.Index(group, wanted[0])
			m.take(now, n, p.ReorderMembers(now, append([]string{wanted[0]}, slices.Delete(slices.Clone(group), i, i+1)...)))
		}
	}
}

// step is the next seat to come into a group and the one to go.
func (m *Machine) step(now time.Duration, group, wanted []string) (add, remove string) {
	urgency := seatStays
	healthy := true
	for _, s := range group {
		if u := m.leaves(now, s, wanted); u < urgency {
			urgency, remove = u, s
		}
		healthy = healthy && m.lively(now, s)
	}
	for _, s := range wanted {
		if !slices.Contains(group, s) && m.lively(now, s) && (add == "" || SeatID(s) == SeatID(remove)) {
			add = s
		}
	}
	switch size := m.size(); {
	case len(group) > size && urgency < seatStays:
		return "", remove
	case add == "" || len(group) > size:
		return "", ""
	case len(group) < size && urgency > seatDead:
		return add, ""
	case urgency == seatStays, urgency == seatSurplus && !healthy:
		return "", ""
	}
	return add, remove
}
