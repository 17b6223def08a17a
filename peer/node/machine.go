package node

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/breaker"
	"saffronfall/rule/configuration"
	"saffronfall/rule/message"
	"saffronfall/rule/ordered"
	"saffronfall/rule/part"
	"saffronfall/rule/program"
	"saffronfall/rule/rehearsal"
	"saffronfall/rule/slab"
	"saffronfall/rule/verdict"
)

// Options make a machine.
type Options struct {
	Params      Params
	ID          string
	Incarnation string
	Zone        string
	Address     string
	HTTP        string
	// Host names what only one process at a time can hold, such as an address
	// bound on a running machine; empty: nothing.
	Host   string
	Seeds  []string
	Now    time.Duration
	Random func() float64
}

type identity struct {
	Params
	ID, Zone, Address, HTTP, Host string
	Seeds                         []string
}

// Machine is one node.
type Machine struct {
	Counters Counters

	params      identity
	now         time.Duration
	out         *Output
	random      func() float64
	incarnation string
	births      int
	former      []string
	buried      map[string]bool
	caller      *core.Caller

	topology core.Topology
	versions map[int]part.Stamp
	freshAt  time.Duration
	bornAt   time.Duration
	entries  map[int]map[string]part.Entry
	pullAt   time.Duration
	pulls    int

	description  *configuration.Description
	version      uint64
	tenants      []string
	members      map[string]core.Member
	replicas     map[string]map[string]announced
	cores        map[string]core.Core
	conditions   map[string]*condition
	breakerState breaker.State
	openUntil    time.Duration

	termUntil time.Duration
	joined    bool
	joinedAt  time.Duration
	renewAt   time.Duration
	renewing  bool
	leaving   bool
	left      bool

	handed, handing int
	givingBack      bool

	programs map[string]*held
	mirrors  map[string]*mirrored
	owners   map[string]core.Member
	paces    map[string]*pace
	days     map[string]*share
	money    *share
	rooms    map[string]*room
	buffered int
	running  int

	ways     slab.Slab[*way]
	waiting  map[uint64]slab.Ticket
	shots    slab.Slab[*shot]
	live     map[slab.Ticket]*shot
	asked    slab.Slab[*asked]
	open     map[slab.Ticket]*asked
	served   map[string]*servedWay
	passed   slab.Slab[*passed]
	passing  []slab.Ticket
	later    core.Later
	nextID   uint64
	samples  []rehearsal.Sample
	nextSamp int
}

type condition struct {
	outstanding int64
	failures    int
	until       time.Duration
	usedAt      time.Duration
}

type held struct {
	record  program.Record
	turns   map[string][]program.Turn
	offset  time.Duration
	saved   uint64
	unsaved []program.Turn
	saving  bool
	// unsavedAt is since when the cores lack something; named and covered are
	// what the record that they have says; copied is the version that all
	// mirrors hold.
	unsavedAt time.Duration
	named     []program.Mirror
	covered   int64
	// dayCovered is up to where the user's day is charged beforehand.
	dayCovered int64
	copied     uint64
	acked      map[string]uint64
	copyAt     time.Duration
	consulting *consulting
	waiters    []saver
	lost       bool
	usedAt     time.Duration
}

type saver struct {
	version uint64
	until   time.Duration
	next    func(now time.Duration, ok bool)
}

// New makes a node.
func New(o Options) *Machine {
	m := &Machine{params: identity{Params: o.Params, ID: o.ID, Zone: o.Zone, Address: o.Address, HTTP: o.HTTP, Host: o.Host, Seeds: o.Seeds},
		random: o.Random, incarnation: o.Incarnation, buried: map[string]bool{}, now: o.Now,
		versions: map[int]part.Stamp{}, freshAt: -1, bornAt: o.Now, entries: map[int]map[string]part.Entry{},
		members: map[string]core.Member{}, replicas: map[string]map[string]announced{}, cores: map[string]core.Core{},
		conditions: map[string]*condition{}, waiting: map[uint64]slab.Ticket{}, live: map[slab.Ticket]*shot{},
		open: map[slab.Ticket]*asked{}, served: map[string]*servedWay{}, mirrors: map[string]*mirrored{}, rooms: map[string]*room{}, breakerState: breaker.Closed}
	m.Counters.Refusals = map[string]int64{}
	m.caller = &core.Caller{Retry: o.Params.Core.Retry, Random: o.Random,
		Send:   func(to string, body any) { m.send(to, body) },
		Parts:  func() int { return len(m.topology.Owners) },
		Anyone: func() []string { return m.coreAddresses() },
		Others: func() []string { return m.others() }}
	m.clear()
	return m
}

func (m *Machine) clear() {
	m.programs, m.owners = map[string]*held{}, map[string]core.Member{}
	m.paces, m.days, m.money = map[string]*pace{}, map[string]*share{}, &share{}
}

func (m *Machine) send(to string, body any) {
	if to != "" {
		m.out.Sends = append(m.out.Sends, Send{To: to, Body: body})
	}
}

func (m *Machine) coreAddresses() []string {
	var list []string
	for _, c := range m.topology.Cores {
		if !c.Retired {
			list = append(list, c.Peer)
		}
	}
	sort.Strings(list)
	return list
}

func (m *Machine) step(now time.Duration) {
	m.now, m.out = now, &Output{}
}

// termed reports whether this node's term is in force. It is asked again just
// before each shot, so that a node woken from a freeze shoots nothing.
func (m *Machine) termed(now time.Duration) bool {
	return m.joined && now < m.termUntil && m.description != nil
}

// Ready reports whether requesters should be sent here.
func (m *Machine) Ready(now time.Duration) bool {
	if !m.termed(now) || m.leaving {
		return false
	}
	for _, tenant := range m.tenants {
		p := m.paces[tenant+"/rate"]
		if (p == nil || p.filled < 1) && now < m.joinedAt+m.params.Core.MemberTerm/2 {
			return false
		}
	}
	return true
}

// Version is the configuration that is in force here.
func (m *Machine) Version() uint64 { return m.version }

// Breaker is the breaker's position as this node knows it.
func (m *Machine) Breaker() string { return string(m.breakerState) }

// Incarnation tells this life of the node from its earlier ones.
func (m *Machine) Incarnation() string { return m.incarnation }

// Tick lets time pass.
func (m *Machine) Tick(now time.Duration) Output {
	m.step(now)
	m.pull(now)
	m.forget(now)
	m.forgetMirrored(now)
	m.renew(now)
	m.caller.Tick(now)
	m.report(now)
	m.tickWays(now)
	m.freeRoom(now)
	m.tickPrograms(now)
	m.later.Tick(now)
	m.tickPassed(now)
	m.drain(now)
	return *m.out
}

func (m *Machine) pull(now time.Duration) {
	if now < m.pullAt {
		return
	}
	m.pullAt = now + m.params.Core.Pull
	versions := map[int]part.Stamp{}
	for n, v := range m.versions {
		versions[n] = v
	}
	m.pulls++
	ask := core.Pull{Sent: now, Versions: versions, Member: m.params.ID, Fresh: m.freshAt < m.bornAt, Want: m.pulls%8 == 1 || len(m.topology.Owners) == 0}
	targets := m.coreAddresses()
	if len(targets) == 0 {
		targets = m.params.Seeds
	}
	for _, to := range targets {
		m.send(to, ask)
	}
	// Two others a pull carry a replica's word to every node of a fleet well
	// before it is too old.
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

func (m *Machine) renew(now time.Duration) {
	if m.joined && now >= m.termUntil {
		m.Counters.TermsLost++
		m.reset(now)
	}
	if m.renewing || now < m.renewAt || len(m.topology.Owners) == 0 || m.version == 0 || (m.leaving && !m.joined) {
		return
	}
	if m.freshAt < m.bornAt {
		// A life that has not heard from the configuration's owner may be behind
		// what an earlier life of this node had in force.
		return
	}
	if !m.joined && len(m.former) > 0 {
		m.bury(now)
		return
	}
	m.renewing = true
	m.renewAt = now + m.params.Core.MemberTerm/6
	sent, incarnation := now, m.incarnation
	var command any = core.RenewMember{ID: m.params.ID, Incarnation: incarnation, Version: m.version}
	if !m.joined {
		command = core.JoinMember{Member: core.Member{ID: m.params.ID, Incarnation: incarnation, Zone: m.params.Zone,
			Peer: m.params.Address, HTTP: m.params.HTTP, Host: m.params.Host, Version: m.version}}
	}
	m.caller.Call(now, command, now+m.params.Core.MemberTerm, func(now time.Duration, o core.Outcome) {
		m.renewing = false
		t, ok := o.Answer.(core.Termed)
		if !ok || incarnation != m.incarnation {
			return
		}
		switch {
		case t.Granted:
			if !m.joined {
				m.Counters.Joins++
				m.joinedAt = now
			}
			if until := sent + m.params.Core.MemberTerm; until > now {
				m.joined, m.termUntil = true, max(m.termUntil, until)
			}
		case t.Ended:
			m.reset(now)
		case t.Wait > 0:
			m.renewAt = now + min(t.Wait, m.params.Core.MemberTerm)
		}
	})
}

// passOn carries a command to a core for a node whose own way there is cut.
func (m *Machine) passOn(now time.Duration, from string, b core.Command) {
	to := m.caller.HintOf(b.Part)
	if all := m.coreAddresses(); to == "" && len(all) > 0 {
		to = all[int(m.random()*float64(len(all)))%len(all)]
	}
	if to == "" || m.passed.Used() >= m.params.Buffer || !m.termed(now) {
		m.send(from, core.CommandReturn{ID: b.ID, Part: b.Part, Moved: true})
		return
	}
	m.Counters.PassedOn++
	p := &passed{from: from, command: b, until: now + m.params.Core.MemberTerm}
	t := m.passed.Keep(p)
	m.passing = append(m.passing, t)
	b.ID = m.caller.Mark(t) | passedOn
	m.send(to, b)
}

func (m *Machine) passBack(now time.Duration, b core.CommandReturn) {
	t := m.caller.Unmark(b.ID &^ passedOn)
	p, ok := m.passed.Look(t)
	if !ok {
		return
	}
	if b.Moved && b.Hint != "" && p.moved < 3 {
		p.moved++
		m.caller.Hint(b.Part, b.Hint)
		m.send(b.Hint, core.Command{ID: b.ID, Part: b.Part, Raw: p.command.Raw})
		return
	}
	m.passed.Take(t)
	b.ID, b.Hint = p.command.ID, ""
	m.send(p.from, b)
}

// passedOn marks the ids of commands that are carried for others.
const passedOn = 1 << 63

type passed struct {
	from    string
	command core.Command
	moved   int
	until   time.Duration
}

func (m *Machine) tickPassed(now time.Duration) {
	for len(m.passing) > 0 {
		p, ok := m.passed.Look(m.passing[0])
		if ok && now < p.until {
			return
		}
		m.passed.Take(m.passing[0])
		m.passing = m.passing[1:]
	}
}

// bury tells the core that this node's former life is over, which this node
// alone can know before its term has run out there. What that life owned may
// then be taken over at once, by this node too.
func (m *Machine) bury(now time.Duration) {
	m.renewing = true
	former := m.former[0]
	m.caller.Call(now, core.LeaveMember{ID: m.params.ID, Incarnation: former}, now+m.params.Core.MemberTerm, func(now time.Duration, o core.Outcome) {
		m.renewing = false
		if t, ok := o.Answer.(core.Termed); ok && t.Ended {
			m.buried[former] = true
			m.former = slices.DeleteFunc(m.former, func(life string) bool { return life == former })
		}
	})
}

// reset begins a new incarnation: what the old one owned, held and ran is no
// longer this node's.
func (m *Machine) reset(now time.Duration) {
	m.Counters.Resets++
	m.births++
	m.former = append(m.former, m.incarnation)
	m.incarnation = fmt.Sprintf("%s+%d", core.LifeOf(m.incarnation), m.births)
	m.joined, m.termUntil, m.renewing, m.renewAt = false, 0, false, now
	var lost []*held
	for _, key := range ordered.Keys(m.programs) {
		m.programs[key].lost = true
		m.keepOwn(now, m.programs[key])
		lost = append(lost, m.programs[key])
	}
	var waiters []waiter
	for _, name := range ordered.Keys(m.paces) {
		waiters = append(waiters, m.paces[name].waiting...)
		m.paces[name].waiting = nil
	}
	for range waiters {
		m.buffered--
	}
	m.clear()
	for _, t := range m.liveShots() {
		if s, ok := m.shots.Look(t); ok && s.fenced {
			m.out.Cancels = append(m.out.Cancels, uint64(t))
			m.endShot(now, t, Event{Kind: EventBroken})
		}
	}
	for _, h := range lost {
		m.failSaves(now, h)
	}
	for _, w := range waiters {
		w.next(now, false, m.params.Core.Retry)
	}
}

func (m *Machine) liveShots() []slab.Ticket {
	return ordered.Keys(m.live)
}

func (m *Machine) hasEnded(id, incarnation string) bool {
	if id == m.params.ID && m.buried[incarnation] {
		return true
	}
	o, ok := m.members[id]
	return ok && o.HasEnded(incarnation)
}

// Receive takes a message from the process at an address.
func (m *Machine) Receive(now time.Duration, from string, body any) Output {
	m.step(now)
	switch b := body.(type) {
	case core.CommandReturn:
		if b.ID&passedOn == 0 {
			m.caller.Receive(now, from, b)
		} else {
			m.passBack(now, b)
		}
	case core.Command:
		m.passOn(now, from, b)
	case core.Topology:
		m.onTopology(b)
	case core.News:
		m.onNews(now, b)
	case core.Pull:
		m.onPull(now, from, b)
	case core.Fresh:
		m.onFresh(b)
	case Announced:
		m.onAnnounced(now, b)
	case Forward:
		m.onForward(now, from, b)
	case Withdraw:
		m.onWithdraw(now, from, b)
	case Pieced:
		m.onPieced(now, from, b)
	case Copy:
		m.onCopy(now, from, b)
	case Copied:
		m.onCopied(now, from, b)
	case AskCopy:
		m.onAskCopy(now, from, b)
	case CopyHeld:
		m.onCopyHeld(now, b)
	case core.AskSamples:
		list := append([]rehearsal.Sample(nil), m.samples...)
		for i := range list {
			list[i].Age = now - list[i].Age
		}
		m.send(from, core.Samples{ID: b.ID, List: list})
	default:
		m.Counters.BadMessages++
	}
	return *m.out
}

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
			if c.Seat() == owner.Owner {
				m.caller.Hint(n, c.Peer)
			}
		}
	}
}

// onFresh notes as of when this node has missed nothing of the configuration.
func (m *Machine) onFresh(b core.Fresh) {
	if !m.versions[core.ConfigurationPart].Less(b.Upto) {
		m.freshAt = max(m.freshAt, b.Sent-b.Age)
	}
}

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
	m.tellAnnounced(now, from, b.Sent)
}

func (m *Machine) onNews(now time.Duration, b core.News) {
	if !m.versions[b.Part].Less(b.Upto) || (!b.Whole && m.versions[b.Part].Less(b.After)) {
		m.Counters.StaleNews++
		return
	}
	if b.Whole || m.entries[b.Part] == nil {
		m.entries[b.Part] = map[string]part.Entry{}
	}
	for _, e := range b.Entries {
		if e.Gone {
			delete(m.entries[b.Part], e.Key)
		} else {
			m.entries[b.Part][e.Key] = e
		}
	}
	m.versions[b.Part] = b.Upto
	m.learn(now, b.Part)
}

func (m *Machine) learn(now time.Duration, n int) {
	for _, k := range ordered.Keys(m.entries[n]) {
		m.learnEntry(now, m.entries[n][k])
	}
}

func (m *Machine) learnEntry(now time.Duration, e part.Entry) {
	kind, _, _ := strings.Cut(e.Key, "/")
	switch kind {
	case "configuration":
		var c core.Configured
		if message.Unmarshal(e.Value, &c) != nil || c.Version <= m.version {
			return
		}
		d, faults := configuration.Parse(c.Text)
		if len(faults) > 0 {
			return
		}
		m.description, m.version, m.tenants = d, c.Version, d.TenantNames()
		m.renewAt = now
	case "member":
		var o core.Member
		if message.Unmarshal(e.Value, &o) == nil {
			m.members[o.ID] = o
			m.breakFrom(now, o)
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

// choose picks a replica: of two at random the less loaded, near ones first.
func (m *Machine) choose(now time.Duration, service string, may func(id string) bool) (Replica, bool) {
	var near, far []Replica
	limit := m.description.Services[service].ShotsPerReplica
	for _, r := range m.present(now, service) {
		c := m.conditions[service+"/"+r.ID]
		if !may(r.ID) || (c != nil && (now < c.until || c.outstanding >= limit)) {
			continue
		}
		if r.Zone == m.params.Zone {
			near = append(near, r)
		} else {
			far = append(far, r)
		}
	}
	list := near
	if len(near) < 2 {
		list = append(near, far...)
	}
	if len(list) == 0 {
		return Replica{}, false
	}
	a := list[int(m.random()*float64(len(list)))%len(list)]
	b := list[int(m.random()*float64(len(list)))%len(list)]
	if m.load(b) < m.load(a) {
		return b, true
	}
	return a, true
}

func (m *Machine) load(r Replica) int64 {
	load := r.Load
	if c := m.conditions[r.Service+"/"+r.ID]; c != nil {
		load += c.outstanding
	}
	return load
}

func (m *Machine) conditionOf(r Replica) *condition {
	key := r.Service + "/" + r.ID
	c := m.conditions[key]
	if c == nil {
		c = &condition{}
		m.conditions[key] = c
	}
	c.usedAt = m.now
	return c
}

// save makes a program's record durable, then goes on. One save of a program
// is under way at a time; each carries the newest record.
func (m *Machine) save(now time.Duration, h *held, until time.Duration, next func(now time.Duration, ok bool)) {
	m.change(now, h)
	h.waiters = append(h.waiters, saver{version: h.record.Version, until: until, next: next})
	m.pushSave(now, h)
}

// resave makes a changed record durable, with nobody waiting for it.
func (m *Machine) resave(now time.Duration, h *held) {
	m.change(now, h)
	m.pushSave(now, h)
}

func (m *Machine) change(now time.Duration, h *held) {
	if h.saved >= h.record.Version {
		h.unsavedAt = now
	}
	h.record.Version++
}

func (m *Machine) pushSave(now time.Duration, h *held) {
	if h.lost {
		m.failSaves(now, h)
		return
	}
	m.copyOut(now, h)
	if h.saving || h.consulting != nil || h.saved >= h.record.Version || m.description == nil {
		return
	}
	h.saving = true
	m.cover(h)
	m.Counters.Saves++
	record := copyRecord(h.record)
	turns := append([]program.Turn(nil), h.unsaved...)
	m.caller.Call(now, core.SaveProgram{Record: record, Turns: turns}, now+m.patience(), func(now time.Duration, o core.Outcome) {
		h.saving = false
		p, ok := o.Answer.(core.Programmed)
		switch {
		case h.lost:
			m.failSaves(now, h)
			return
		case ok && (p.Fenced || !p.Found):
			m.Counters.Fenced++
			h.lost = true
			if m.programs[h.record.Tenant+"/"+h.record.ID] == h {
				delete(m.programs, h.record.Tenant+"/"+h.record.ID)
			}
			m.failSaves(now, h)
			return
		case ok:
			h.saved = max(h.saved, p.Version)
			h.named, h.covered = record.Mirrors, record.Covered
			h.unsaved = h.unsaved[len(turns):]
			h.unsavedAt = now
		}
		m.wakeSaves(now, h)
		m.pushSave(now, h)
	})
}

// wakeSaves goes on with what waited for a version that is now held, by the
// cores or by all mirrors.
func (m *Machine) wakeSaves(now time.Duration, h *held) {
	ready := h.waiters
	h.waiters = nil
	for _, w := range ready {
		if w.version <= max(h.saved, h.copied) {
			w.next(now, true)
		} else {
			h.waiters = append(h.waiters, w)
		}
	}
}

func copyRecord(r program.Record) program.Record {
	var c program.Record
	if err := message.Unmarshal(message.Marshal(r), &c); err != nil {
		panic(err)
	}
	return c
}

func (m *Machine) failSaves(now time.Duration, h *held) {
	waiters := h.waiters
	h.waiters = nil
	for _, w := range waiters {
		w.next(now, false)
	}
}

func (m *Machine) tickPrograms(now time.Duration) {
	for _, k := range ordered.Keys(m.programs) {
		h := m.programs[k]
		var late, kept []saver
		for _, w := range h.waiters {
			if now >= w.until {
				late = append(late, w)
			} else {
				kept = append(kept, w)
			}
		}
		h.waiters = kept
		for _, w := range late {
			w.next(now, false)
		}
		m.askMirrors(now, h)
		m.pushSave(now, h)
		if now > h.usedAt+h.record.Keep && len(h.record.Running) == 0 && h.saved >= h.record.Version {
			delete(m.programs, k)
		}
	}
}

// Samples are the recent inquiries that rehearsal works on.
func (m *Machine) sample(s rehearsal.Sample) {
	const most = 256
	s.Age = m.now
	if len(m.samples) < most {
		m.samples = append(m.samples, s)
		return
	}
	m.samples[m.nextSamp%most] = s
	m.nextSamp++
}

func unsure(reason string) verdict.Verdict {
	return verdict.Later("unsure", reason, time.Second)
}

// Adopt takes those bounds that may change while the node runs.
func (m *Machine) Adopt(p Params) Output {
	m.step(m.now)
	m.params.Buffer, m.params.Patience, m.params.Newest, m.params.UrgentRatio, m.params.Budget = p.Buffer, p.Patience, p.Newest, p.UrgentRatio, p.Budget
	return *m.out
}

// Leave begins to drain this node: it is not ready, what runs ends, programs
// go to named successors, shares back, and the term ends last.
func (m *Machine) Leave(now time.Duration) Output {
	m.step(now)
	m.leaving = true
	return *m.out
}

// Left reports whether a leaving node has nothing more to do.
func (m *Machine) Left(now time.Duration) bool { return m.leaving && m.left }

// Quit ends what is still running when the grace is over: streams break, and
// the term is given back so that successors need not wait for it.
func (m *Machine) Quit(now time.Duration) Output {
	m.step(now)
	m.leaving = true
	for _, t := range m.liveShots() {
		m.out.Cancels = append(m.out.Cancels, uint64(t))
		m.endShot(now, t, Event{Kind: EventBroken})
	}
	if m.joined {
		m.joined = false
		m.leave(now)
	}
	return *m.out
}

// drain takes the next steps of leaving.
func (m *Machine) drain(now time.Duration) {
	if !m.leaving || m.left {
		return
	}
	if !m.joined {
		if !m.givingBack && m.running == 0 && m.ways.Used() == 0 {
			m.left = true
		}
		return
	}
	successors := m.successors()
	for _, key := range ordered.Keys(m.programs) {
		h := m.programs[key]
		if len(successors) == 0 || h.consulting != nil || len(h.record.Running) > 0 || len(h.waiters) > 0 || h.saved < h.record.Version {
			continue
		}
		to := successors[m.handed%len(successors)]
		m.handed++
		m.hand(now, key, h, to)
	}
	if m.running > 0 || m.ways.Used() > 0 || m.handing > 0 || (len(m.programs) > 0 && len(successors) > 0) {
		return
	}
	m.giveBack(now)
}

func (m *Machine) successors() []core.Member {
	var list []core.Member
	for _, id := range ordered.Keys(m.members) {
		if o := m.members[id]; id != m.params.ID && !o.Ended && !o.Leaving {
			list = append(list, o)
		}
	}
	return list
}

// hand gives one program to a successor. From here on this node does nothing
// for it, whatever becomes of the message.
func (m *Machine) hand(now time.Duration, key string, h *held, to core.Member) {
	h.lost = true
	delete(m.programs, key)
	m.owners[key] = to
	m.handing++
	m.Counters.Handed++
	c := core.HandProgram{Tenant: h.record.Tenant, ID: h.record.ID, Fence: h.record.Fence, Node: to.ID, Incarnation: to.Incarnation, Address: to.Peer}
	m.caller.Call(now, c, now+m.params.Core.MemberTerm, func(time.Duration, core.Outcome) { m.handing-- })
}

// giveBack returns all shares, then the term.
func (m *Machine) giveBack(now time.Duration) {
	if m.givingBack {
		return
	}
	m.givingBack = true
	waiting := 1
	done := func(now time.Duration, o core.Outcome) {
		if waiting--; waiting == 0 {
			m.joined = false
			m.leave(now)
		}
	}
	ask := func(command any) {
		waiting++
		m.caller.Call(now, command, now+m.params.Core.MemberTerm/2, done)
	}
	for _, tenant := range m.tenants {
		var back core.ShareRates
		for _, urgent := range []bool{false, true} {
			p, rate, burst := m.paceOf(tenant, urgent)
			p.give(now, p.books.Held(), rate, burst)
			back.Rates = append(back.Rates, m.askPace(tenant, urgent, 0))
		}
		ask(back)
		s := m.dayOf(tenant)
		s.books.Returned += s.free()
		ask(m.askDay(tenant, s)(0))
	}
	m.money.books.Returned += m.money.free()
	ask(m.prefetchMoney(0))
	done(now, core.Outcome{})
}

func (m *Machine) leave(now time.Duration) {
	m.caller.Call(now, core.LeaveMember{ID: m.params.ID, Incarnation: m.incarnation}, now+m.params.Core.MemberTerm, func(now time.Duration, o core.Outcome) {
		// Until every other node has learned it, some may still pass inquiries
		// here, and are told to ask elsewhere.
		m.later.Add(now+3*m.params.Core.Pull, func(time.Duration) { m.left = true })
	})
}

// Status is what this node counts and holds.
func (m *Machine) Status(now time.Duration) map[string]any {
	c := m.Counters
	refusals := map[string]int64{}
	for code, n := range c.Refusals {
		refusals[code] = n
	}
	shares := map[string]any{}
	for name, p := range m.paces {
		shares[name] = map[string]int64{"units": p.books.Held(), "of": p.whole, "waiting": int64(len(p.waiting))}
	}
	for name, s := range m.days {
		shares[name+"/day"] = map[string]int64{"held": s.books.Held(), "reserved": s.reserved, "spent": s.books.Spent}
	}
	replicas := map[string]any{}
	for service := range m.replicas {
		for id, a := range m.replicas[service] {
			replicas[service+"/"+id] = map[string]any{"address": a.replica.Address, "zone": a.replica.Zone, "load": a.replica.Load, "leaving": a.replica.Leaving, "age_ms": (now - a.since).Milliseconds()}
		}
	}
	shares["money"] = map[string]int64{"held": m.money.books.Held(), "reserved": m.money.reserved, "spent": m.money.books.Spent}
	return map[string]any{"id": m.params.ID, "incarnation": m.incarnation, "version": m.version, "ready": m.Ready(now), "breaker": m.breakerState,
		"programs": len(m.programs), "running": m.running, "waiting": m.ways.Used(), "shares": shares, "replicas": replicas, "term_left_ms": max(0, m.termUntil-now).Milliseconds(), "refusals": refusals,
		"inquiries": c.Inquiries, "forwarded": c.Forwarded, "gated": c.Gated, "warned": c.Warned, "refused": c.Refused, "shots": c.Shots,
		"not_run": c.NotRun, "broken": c.Broken, "whole": c.Whole, "takeovers": c.Takeovers, "joins": c.Joins, "terms_lost": c.TermsLost,
		"stale_news": c.StaleNews, "resets": c.Resets, "fenced": c.Fenced, "bad_messages": c.BadMessages, "saves": c.Saves, "handed": c.Handed, "passed_on": c.PassedOn, "mirrored": c.Mirrored, "mirrors_used": c.MirrorsUsed, "mirrors_lost": c.MirrorsLost, "command_tries": m.caller.Tries}
}
