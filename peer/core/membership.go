package core

import (
	"maps"
	"slices"
	"time"

	"saffronfall/rule/ordered"
	"saffronfall/rule/partition"
)

// Move is one change of a partition's group. An empty Add or Remove means none.
type Move struct {
	Partition int    `json:"part"`
	Add       string `json:"add,omitempty"`
	Remove    string `json:"remove,omitempty"`
}

// Kinds of changes to the fleet's cores.
const (
	KindAdd     = "add"
	KindRetire  = "retire"
	KindReplace = "replace"
)

// ChangeResult is the outcome of a change to the fleet's cores. Code and Reason are empty if it
// succeeded.
type ChangeResult struct {
	Done      bool   `json:"done"`
	Moves     []Move `json:"moves"`
	MovesMade int    `json:"moves_made"`
	Code      string `json:"code,omitempty"`
	Reason    string `json:"reason,omitempty"`
}

// rejoin makes a core with an empty directory join the fleet, without a vote until it is added to
// groups. A core that is a member of a group, or may be because the topology lacks a group, announces
// itself to the other cores, which answer with FoundFleet. A retired core does not join.
func (m *Machine) rejoin(now time.Duration, topology Topology) {
	known, ok := topology.Cores[m.self.ID]
	if len(topology.Groups) == 0 || known.Retired {
		return
	}
	for _, g := range topology.Groups {
		if g.Epoch == 0 || g.Has(m.self.MemberID()) {
			m.foundedCores = topology.CoreAddresses()
			return
		}
	}
	founding := Founding{
		Fleet:      topology.Fleet,
		Partitions: len(topology.Groups),
		Cores:      maps.Clone(topology.Cores),
		Groups:     make([]partition.Group, len(topology.Groups)),
		GroupSize:  topology.GroupSize,
	}
	if founding.Cores == nil {
		founding.Cores = map[string]Core{}
	}
	m.self.Version = known.Version + 1
	founding.Cores[m.self.ID] = m.self
	if ok {
		m.Counters.Rejoins++
	}
	m.Join(now, founding)
	m.mergeTopology(topology)
	m.announceToAll()
}

// Join makes this core, which must have no vote in any group yet, belong to a fleet.
func (m *Machine) Join(now time.Duration, f Founding) {
	m.out.Changes = append(m.out.Changes, Change{Founding: &f})
	s := Stored{Incarnation: m.self.Incarnation}
	s.Apply(Change{Founding: &f})
	m.start(now, s)
}

// registerTimeoutLeases is the timeout of a registration in member leases.
const registerTimeoutLeases = 10

// register corrects the fleet's entry of this core. Leaders then replace an earlier incarnation.
func (m *Machine) register(now time.Duration) {
	if m.registering || m.self.Retired || m.draining || m.stalled || !m.unregistered || m.superseded {
		return
	}
	m.registering = true
	before, claim := m.self, m.self
	if known := m.cores[m.self.ID]; known.Incarnation != m.self.Incarnation {
		claim.Version = max(claim.Version, known.Version+1)
	}
	claim.Version += m.claimIncrement
	m.caller.Call(now, PutCore{Core: claim}, now+registerTimeoutLeases*m.params.MemberLease, func(now time.Duration, o Outcome) {
		m.registering = false
		switch answer := o.Answer.(type) {
		case PutCoreRejected:
			m.superseded = answer.Core.Incarnation != m.self.Incarnation
			m.mergeCore(answer.Core)
		case Done:
			switch {
			case !answer.OK:
				m.claimIncrement++
			case m.self == before:
				m.unregistered, m.claimIncrement = false, 0
				if m.self != claim {
					m.self, m.cores[m.self.ID] = claim, claim
					m.changes.AddCore(claim)
				}
			}
		}
	})
}

func (m *Machine) announceToAll() {
	for _, id := range ordered.Keys(m.cores) {
		if c := m.cores[id]; id != m.self.ID {
			m.send(c.Peer, m.announcement(), false)
		}
	}
}

// PlanChange returns the moves that a change to the fleet's cores needs, or the reason why it is
// impossible. Lost cores don't count as remaining. Silent cores are assigned replicas only where too
// few others remain.
func (d FailureDomains) PlanChange(cores map[string]Core, presence Presence, groups []partition.Group, size int, kind, id, substituteID string) ChangeResult {
	changed, ok := cores[id]
	if !ok {
		return ChangeResult{Code: "unknown_core", Reason: "no core of this fleet is called " + id}
	}
	if substitute, ok := cores[substituteID]; kind == KindReplace && (!ok || substitute.Retired) {
		return ChangeResult{Code: "unknown_core", Reason: "no core of this fleet is called " + substituteID}
	}
	var after []Core
	remaining := 0
	for _, otherID := range ordered.Keys(cores) {
		next := cores[otherID]
		next.Retired = next.Retired || (otherID == id && kind != KindAdd)
		after = append(after, next)
		if !next.Retired && !presence.Lost[otherID] {
			remaining++
		}
	}
	if kind != KindAdd && remaining < size && !changed.Retired {
		return ChangeResult{Code: "no_room", Reason: tooFewCores(id)}
	}
	var moves []Move
	for n, wanted := range d.Place(len(groups), size, after, presence.Silent) {
		moves = append(moves, membershipMoves(n, groups[n].Members, wanted)...)
	}
	return ChangeResult{Moves: moves}
}

func tooFewCores(id string) string {
	return "without " + id + " some group would have fewer seats; add a core first"
}

// membershipMoves pairs members to add with members to remove.
func membershipMoves(n int, group, wanted []string) []Move {
	var moves []Move
	for _, member := range wanted {
		if !slices.Contains(group, member) {
			moves = append(moves, Move{Partition: n, Add: member})
		}
	}
	paired := 0
	for _, member := range group {
		if slices.Contains(wanted, member) {
			continue
		}
		if paired == len(moves) {
			moves = append(moves, Move{Partition: n})
		}
		moves[paired].Remove = member
		paired++
	}
	return moves
}

// ChangeCore carries out one change to the fleet's cores and answers with a ChangeResult. KindAdd
// waits until a new core has its replicas, the other kinds until the retired core has none.
func (m *Machine) ChangeCore(now time.Duration, ticket uint64, kind, id, substituteID string, within time.Duration) Output {
	m.out = &Output{}
	m.refreshTopology()
	until := now + within
	plan := m.params.Domains.PlanChange(m.cores, m.presence(now), m.groups, m.groupSize(), kind, id, substituteID)
	if plan.Code != "" {
		m.answerOperator(ticket, plan)
		return *m.out
	}
	if kind == KindAdd {
		m.awaitGroups(now, ticket, until, plan, func(n int, members []string) bool {
			wanted := m.desiredGroups(m.activeAt)[n]
			member := m.cores[id].MemberID()
			return slices.Contains(members, member) || !slices.Contains(wanted, member)
		})
		return *m.out
	}
	m.caller.Call(now, RetireCore{ID: id}, until, func(now time.Duration, o Outcome) {
		retiring, ok := o.Answer.(RetireCoreResult)
		switch {
		case !ok:
			m.answerOperator(ticket, ChangeResult{Moves: plan.Moves, Code: "not_finished", Reason: "not marked as retired yet; ask again"})
		case !retiring.Found:
			m.answerOperator(ticket, ChangeResult{Code: "unknown_core", Reason: "no core of this fleet is called " + id})
		case !retiring.EnoughRemain:
			m.answerOperator(ticket, ChangeResult{Moves: plan.Moves, Code: "no_room", Reason: tooFewCores(id)})
		default:
			m.awaitGroups(now, ticket, until, plan, func(n int, members []string) bool {
				return !slices.ContainsFunc(members, func(member string) bool { return CoreID(member) == id })
			})
		}
	})
	return *m.out
}

// awaitGroups polls the groups' leaders until all satisfy settled or the deadline passes.
func (m *Machine) awaitGroups(
	now time.Duration, ticket uint64, until time.Duration, plan ChangeResult,
	settled func(n int, members []string) bool,
) {
	waiting, settledCount := m.founding.Partitions, 0
	for n := 0; n < m.founding.Partitions; n++ {
		m.caller.Call(now, ReadGroup{Partition: n}, until, func(now time.Duration, o Outcome) {
			if group, ok := o.Answer.(GroupMembers); ok && settled(n, append(slices.Clone(group.Members), group.Former...)) {
				settledCount++
			}
			if waiting--; waiting > 0 {
				return
			}
			plan.MovesMade = max(0, len(plan.Moves)-(m.founding.Partitions-settledCount))
			switch {
			case settledCount == m.founding.Partitions:
				plan.Done, plan.MovesMade = true, len(plan.Moves)
				m.answerOperator(ticket, plan)
			case now >= until:
				plan.Code, plan.Reason = "not_finished", "not all moves were made in time; ask again to go on"
				m.answerOperator(ticket, plan)
			default:
				m.timers.Add(now+m.params.PullInterval, func(now time.Duration) { m.awaitGroups(now, ticket, until, plan, settled) })
			}
		})
	}
}

// RegisterCore adds a new core's entry before it is given replicas. The answer is a Done.
func (m *Machine) RegisterCore(now time.Duration, ticket uint64, core Core, within time.Duration) Output {
	m.out = &Output{}
	if old, ok := m.cores[core.ID]; ok && old.Incarnation != core.Incarnation && !old.Retired {
		m.answerOperator(ticket, Done{})
		return *m.out
	} else if ok {
		core.Version = old.Version + 1
	}
	m.caller.Call(now, PutCore{Core: core}, now+within, func(now time.Duration, o Outcome) {
		d, _ := o.Answer.(Done)
		if d.OK {
			m.mergeCore(core)
		}
		m.answerOperator(ticket, d)
	})
	return *m.out
}
