package core

import (
	"time"

	"saffronfall/rule/ordered"
	"saffronfall/rule/partition"
)

// Presence is what a core knows of the presence of the fleet's cores, by ID. A core that is in none
// of the maps was heard too long ago, or may have been heard by an earlier process only.
type Presence struct {
	// Heard cores sent a message within the silence timeout.
	Heard map[string]bool
	// Silent cores are given no replicas while enough others remain.
	Silent map[string]bool
	// Lost cores have been silent for so long that they are not expected back.
	Lost map[string]bool
}

// lostSilences is how long a core is silent until it counts as lost, in silence timeouts: longer than
// a restart, or than a new core takes to catch up.
const lostSilences = 4

func (m *Machine) presence(now time.Duration) Presence {
	p := Presence{Heard: map[string]bool{}, Silent: m.silentCores(now), Lost: map[string]bool{}}
	for id, c := range m.cores {
		contact, known := m.contacts[c.MemberID()]
		switch {
		case id == m.self.ID, known && now-contact.last < m.silenceTimeout():
			p.Heard[id] = true
		case now-max(contact.last, m.observedSince) >= lostSilences*m.silenceTimeout():
			p.Lost[id] = true
		}
	}
	return p
}

// Silence is a core that is not heard, although members or retirements may depend on it.
type Silence struct {
	Core string `json:"core"`
	// Lost is set if the core is not expected back.
	Lost bool `json:"lost"`
	// Seats is the number of groups that have the core as a member.
	Seats int `json:"seats"`
}

// Silences returns the silent cores that are not retired or still have seats, by ID.
func (m *Machine) Silences(now time.Duration) []Silence {
	seats := map[string]int{}
	for _, group := range m.groups {
		for _, member := range group.All() {
			seats[CoreID(member)]++
		}
	}
	presence := m.presence(now)
	var silences []Silence
	for _, id := range ordered.Keys(presence.Silent) {
		if !m.cores[id].Retired || seats[id] > 0 {
			silences = append(silences, Silence{Core: id, Lost: presence.Lost[id], Seats: seats[id]})
		}
	}
	return silences
}

// observedRetirement is a RetireCore with the presence of the cores as its leader knows it. It is not
// sent.
type observedRetirement struct {
	RetireCore
	presence Presence
}

// undecidedRetirement is the result of an observedRetirement that depends on cores that are neither
// heard nor lost. It is answered as uncertain, and the caller retries it.
type undecidedRetirement struct{}

// proposeRetirement lets the rules decide on a retirement by the cores that this leader hears.
func (m *Machine) proposeRetirement(now time.Duration, n int, command RetireCore, sender commandOrigin) {
	origin := commandOrigin{onResult: func(now time.Duration, r partition.Result) {
		switch result := r.Body.(type) {
		case undecidedRetirement:
			m.Counters.RetirementsUndecided++
			r.Body, r.Uncertain = nil, true
		case RetireCoreResult:
			if result.Found && !result.EnoughRemain {
				m.Counters.RetirementsRefused++
			}
		}
		m.reply(n, sender, r)
	}}
	observed := observedRetirement{RetireCore: command, presence: m.presence(now)}
	m.handleOutput(now, n, m.partitions[n].Propose(now, uint64(m.tickets.Put(origin)), observed))
}

// retireCore marks a core as retired if enough of the others are heard. It refuses if too few would
// remain even if all that are not lost were heard.
func (r *rules) retireCore(tx *partition.Tx, command observedRetirement) any {
	cores, enough := r.fleet()
	for _, key := range tx.Keys(corePrefix) {
		if core, _ := read[Core](tx, key); cores[core.ID].Version <= core.Version {
			cores[core.ID] = core
		}
	}
	core, ok := cores[command.ID]
	heard, unheard := 0, 0
	for _, other := range cores {
		switch {
		case other.Retired, other.ID == command.ID, command.presence.Lost[other.ID]:
		case command.presence.Heard[other.ID]:
			heard++
		default:
			unheard++
		}
	}
	switch {
	case !ok:
		return RetireCoreResult{}
	case core.Retired:
	case heard+unheard < enough:
		return RetireCoreResult{Found: true}
	case heard < enough:
		return undecidedRetirement{}
	default:
		core.Retired = true
		core.Version++
		write(tx, corePrefix+command.ID, core)
	}
	return RetireCoreResult{Found: true, EnoughRemain: true, Done: true}
}
