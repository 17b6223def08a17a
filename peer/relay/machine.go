package relay

import (
	"fmt"
	"slices"
	"time"

	"saffronfall/peer/core"
	"saffronfall/peer/desk"
	"saffronfall/rule/invariant"
	"saffronfall/rule/ordered"
	"saffronfall/rule/placement"
	"saffronfall/rule/route"
)

// Options make a machine.
type Options struct {
	Params  Params
	ID      string
	Life    string
	Zone    string
	Address string
	Seeds   []string
	Now     time.Duration
	Random  func() float64
	// Violated takes violated invariants; without it they panic.
	Violated invariant.Reporter
}

// Machine is one relaying node.
type Machine struct {
	Counters Counters

	params   Params
	id, life string
	zone     string
	address  string
	seeds    []string
	random   func() float64
	out      *Output
	caller   *core.Caller
	topology core.Topology
	started  time.Duration

	following
	routing
	audit

	choosing
	sharing
	spending
	cache *cache
	// keptHere are the turns that came whole at this node.
	keptHere keptTurns
	live     map[uint64]*way
	leaving  bool
	// early are requests that wait for a first table, parked those that wait for
	// a first replica.
	early   []*way
	probeAt time.Duration
	parked  []*way
}

// spending is what a node holds and has counted of tenants' rates and programs'
// budgets.
type spending struct {
	paces  map[string]*pace
	births int
	drawAt time.Duration
	// reservations counts those that this life of the node has made.
	reservations uint64
}

// following is what a node knows of the desks, and by them of other nodes.
type following struct {
	desks    []string
	boards   map[string]*board
	nodes    int
	followAt time.Duration
	// left are the replicas that said that they leave, whichever desk told of it.
	left departed
}

// New makes a node.
func New(o Options) *Machine {
	m := &Machine{params: o.Params, id: o.ID, life: o.Life, zone: o.Zone, address: o.Address, seeds: o.Seeds, random: o.Random, started: o.Now,
		following: following{boards: map[string]*board{}, left: departed{}}, routing: routing{tenants: map[string]*route.Tenant{}},
		audit:    audit{violated: o.Violated, byCause: map[Cause]int64{}, tickedAt: o.Now},
		choosing: choosing{services: map[string]*service{}, replicas: map[string]*replicaRecord{}, policy: &placement.Policy{Settings: o.Params.Placement, Zone: o.Zone, Random: o.Random}},
		spending: spending{paces: map[string]*pace{}}, cache: newCache(o.Params.Cache), live: map[uint64]*way{}}
	m.caller = &core.Caller{Retry: o.Params.Core.Retry, Random: o.Random,
		Send:   func(to string, body any) { m.send(to, body) },
		Parts:  func() int { return len(m.topology.Owners) },
		Anyone: func() []string { return desk.CoreAddresses(m.topology) }}
	return m
}

func (m *Machine) send(to string, body any) {
	if to != "" {
		m.out.Sends = append(m.out.Sends, Send{To: to, Body: body})
	}
}

// Receive takes a message from the process at an address.
func (m *Machine) Receive(now time.Duration, from string, body any) Output {
	m.out = &Output{}
	switch b := body.(type) {
	case core.CommandReturn:
		m.caller.Receive(now, from, b)
		if now >= m.drawAt {
			m.drawAt = now + m.params.Window/50
			m.draw(now)
		}
	case desk.Update:
		m.Counters.Bulletins++
		m.onBulletin(now, from, b)
	case desk.Loads:
		m.onLoads(now, from, b)
	default:
		m.Counters.BadMessages++
	}
	return *m.out
}

func (m *Machine) onBulletin(now time.Duration, from string, b desk.Update) {
	at := m.boards[from]
	if at == nil {
		at = &board{list: map[string]posted{}}
		m.boards[from] = at
	}
	if !slices.Contains(m.desks, from) {
		m.desks = append(m.desks, from)
	}
	at.heard = now
	if at.life != b.Incarnation {
		// What an earlier life of the desk told holds until replicas had time to
		// announce themselves again.
		for id, p := range at.list {
			p.until = now + lostBeats*m.params.Beat
			at.list[id] = p
		}
		at.life, at.version, at.placesOf = b.Incarnation, 0, nil
	}
	if b.Since <= at.version {
		for _, l := range b.Replicas {
			if l.Replica.Leaving || l.Final {
				m.left.add(now, l.Replica.ID)
			}
			at.list[l.Replica.ID] = posted{ReplicaEntry: l}
		}
		at.version = max(at.version, b.Version)
	}
	if b.RenewNow {
		m.follow(from)
	}
	m.nodes = max(b.NodeCount, 1)
	if len(b.Replicas) > 0 {
		// They are joined when the next one is chosen.
		m.gatherAt = now
		m.unpark(now)
	}
	if b.Topology != nil {
		m.adopt(*b.Topology)
		for _, address := range b.Desks {
			if !slices.Contains(m.desks, address) {
				m.desks = append(m.desks, address)
				m.followAt = now
			}
		}
	}
	m.learnTable(now, b)
	fresh := b.ConfirmationAge >= 0 && b.ConfirmationAge < m.params.Beat
	if fresh && b.TableNumber == 0 {
		m.none = true
	}
	if m.pending != nil && (m.table == nil || m.table.Number < m.pending.Number) && (m.table != nil || fresh && b.TableNumber <= m.pending.Number || now > m.started+2*m.params.Beat) {
		m.install(now)
	}
	if m.table != nil && b.TableNumber == m.table.Number && b.ConfirmationAge >= 0 {
		m.confirmed = max(m.confirmed, now-b.ConfirmationAge)
	}
}

// unpark goes on with what waited for a first replica.
func (m *Machine) unpark(now time.Duration) {
	parked := m.parked
	m.parked = nil
	for _, w := range parked {
		if !w.ended {
			m.proceed(now, w)
		}
	}
}

// forgetDesks forgets desks that have been silent for long while another one speaks.
// They are replaced at new addresses; one that comes back is told of by the others,
// and seeds are asked in any case.
func (m *Machine) forgetDesks(now time.Duration) {
	speaks := false
	for _, b := range m.boards {
		speaks = speaks || b.speaks(now, m.params.Beat)
	}
	if !speaks {
		return
	}
	m.desks = slices.DeleteFunc(m.desks, func(address string) bool {
		b := m.boards[address]
		if b == nil {
			// Told of by another desk, and not heard of yet.
			b = &board{list: map[string]posted{}, heard: now}
			m.boards[address] = b
		}
		if now <= b.heard+departedBeats*m.params.Beat {
			return false
		}
		delete(m.boards, address)
		return true
	})
}

func (m *Machine) adopt(t core.Topology) {
	if len(m.topology.Owners) == 0 || m.topology.Fleet == "" {
		m.topology = core.Topology{Fleet: t.Fleet, Cores: map[string]core.Core{}, Owners: slices.Clone(t.Owners), Groups: slices.Clone(t.Groups)}
	}
	if t.Fleet != m.topology.Fleet {
		return
	}
	for n := range t.Owners {
		if n < len(m.topology.Owners) && m.topology.Owners[n].Less(t.Owners[n]) {
			m.topology.Owners[n] = t.Owners[n]
		}
	}
	for id, c := range t.Cores {
		if old, ok := m.topology.Cores[id]; !ok || old.Version <= c.Version {
			m.topology.Cores[id] = c
		}
	}
	desk.HintLeaders(m.caller, m.topology)
}

// follow asks a desk for what is new, and tells up to where it was heard.
func (m *Machine) follow(to string) {
	f := desk.Subscribe{Node: m.id, AcceptsDifferences: true}
	if m.pending != nil && !m.wantWhole {
		f.Table = m.pending.Number
	}
	if b := m.boards[to]; b != nil {
		f.Incarnation, f.Version = b.life, b.version
	}
	m.send(to, f)
}

// Tick lets time pass.
func (m *Machine) Tick(now time.Duration) Output {
	m.out = &Output{}
	m.audited(now)
	m.left.forget(now - departedBeats*m.params.Beat)
	m.caller.Tick(now)
	m.tickTouch(now)
	m.tellLoads(now)
	m.observeLoad(now)
	if now >= m.followAt {
		m.followAt = now + m.params.Follow
		m.forgetDesks(now)
		targets := append([]string(nil), m.desks...)
		for _, seed := range m.seeds {
			if !slices.Contains(targets, seed) {
				targets = append(targets, seed)
			}
		}
		for _, to := range targets {
			m.follow(to)
		}
	}
	if now >= m.drawAt {
		m.drawAt = now + m.params.Window/50
		m.draw(now)
	}
	for _, ticket := range ordered.Keys(m.live) {
		if w := m.live[ticket]; now >= w.patience && w.state == stateAdmitting {
			m.refuse(now, w, CauseWaitedTooLong)
		}
	}
	return *m.out
}

// Ready reports whether requesters should be sent here.
func (m *Machine) Ready(now time.Duration) bool {
	return !m.leaving && (m.table != nil || m.none) && m.reachesCores(now)
}

// Leave makes the node no longer ready; what runs goes on.
func (m *Machine) Leave() { m.leaving = true }

// Status is what this node counts and holds.
func (m *Machine) Status(now time.Duration) map[string]int64 {
	c := m.Counters
	replicas := 0
	for _, s := range m.services {
		replicas += len(s.estimates)
	}
	status := map[string]int64{"requests": c.Requests, "sent": c.Sent, "whole": c.Whole, "broken": c.Broken, "not_run": c.NotRun, "resent": c.Resent, "resumed": c.Resumed,
		"turns": c.Turns, "cache_hits": c.CacheHits, "cache_misses": c.CacheMisses, "draws": c.Draws, "drawn": c.Drawn, "bulletins": c.Bulletins, "bad_messages": c.BadMessages, "bad_differences": c.BadDifferences,
		"new_connections": c.NewConnections, "settles": c.Settles, "loads_heard": m.loadsHeard,
		"live": int64(len(m.live)), "replicas": int64(replicas), "table": int64(m.Number()), "tenants_held": int64(len(m.paces)), "cache_bytes": m.cache.bytes, "commands_waiting": int64(m.caller.Waiting()), "command_tries": m.caller.Tries}
	for cause, count := range m.byCause {
		status["ended_"+string(cause)] = count
	}
	return status
}

// Describe names what a node lacks to be ready, for logs.
func (m *Machine) Describe(now time.Duration) string {
	return fmt.Sprintf("table %d, %d desks, %d cores", m.Number(), len(m.boards), len(m.topology.Cores))
}
