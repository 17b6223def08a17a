package desk

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/configuration"
	"saffronfall/rule/message"
	"saffronfall/rule/ordered"
	"saffronfall/rule/part"
	"saffronfall/rule/route"
)

// Options make a machine.
type Options struct {
	Params  Params
	ID      string
	Life    string
	Address string
	Seeds   []string
	// Founds is set at the one desk that founds a fleet which was never founded.
	Founds bool
	// Known is the list that an earlier life of this desk kept. It saves nodes
	// the wait for the next beats, and is believed only that long.
	Known  []Listed
	Now    time.Duration
	Random func() float64
}

// Machine is one desk.
type Machine struct {
	Counters Counters

	params    Params
	id, life  string
	address   string
	seeds     []string
	founds    bool
	random    func() float64
	out       *Output
	caller    *core.Caller
	version   uint64
	list      map[string]*listed
	followers map[string]*follower
	desks     map[string]time.Duration
	// lives are the desks' lives that this one has heard of.
	lives     map[string]string
	topology  core.Topology
	mark      uint64
	present   map[string]core.Core
	presentAt time.Duration
	startedAt time.Duration
	table     core.AgreedTable
	stamp     part.Stamp
	confirmed time.Duration
	fresh     core.Fresh
	pullAt    time.Duration
	followAt  time.Duration
	sweepAt   time.Duration
	foundAt   time.Duration
	founding  *core.Founding
}

type listed struct {
	Listed
	heard time.Duration
}

type follower struct {
	life    string
	version uint64
	table   uint64
	mark    uint64
	heard   time.Duration
	desk    bool
}

// New makes a desk.
func New(o Options) *Machine {
	m := &Machine{params: o.Params, id: o.ID, life: o.Life, address: o.Address, seeds: o.Seeds, founds: o.Founds, random: o.Random,
		lives: map[string]string{}, list: map[string]*listed{}, followers: map[string]*follower{}, desks: map[string]time.Duration{o.Address: o.Now},
		present: map[string]core.Core{}, startedAt: o.Now, confirmed: -1}
	m.topology.Cores = map[string]core.Core{}
	for _, l := range o.Known {
		m.version++
		l.Version = m.version
		m.list[l.Replica.ID] = &listed{Listed: l, heard: o.Now - (lost-2)*o.Params.Beat}
	}
	m.caller = &core.Caller{Retry: o.Params.Core.Retry, Random: o.Random,
		Send:   func(to string, body any) { m.send(to, body) },
		Parts:  func() int { return len(m.topology.Owners) },
		Anyone: m.coreAddresses,
		Others: m.others}
	return m
}

func (m *Machine) send(to string, body any) {
	if to != "" && to != m.address {
		m.out.Sends = append(m.out.Sends, Send{To: to, Body: body})
	}
}

func (m *Machine) answer(ticket uint64, body any) {
	m.out.Answers = append(m.out.Answers, Answer{Ticket: ticket, Body: body})
}

func (m *Machine) coreAddresses() []string { return CoreAddresses(m.topology) }

// CoreAddresses lists where the cores of a topology are.
func CoreAddresses(t core.Topology) []string {
	var list []string
	for _, c := range t.Cores {
		if !c.Retired && c.Peer != "" && !slices.Contains(list, c.Peer) {
			list = append(list, c.Peer)
		}
	}
	sort.Strings(list)
	return list
}

// others are nodes and desks that may pass a command on when cores stay silent.
func (m *Machine) others() []string {
	var list []string
	for _, address := range ordered.Keys(m.followers) {
		list = append(list, address)
	}
	return list
}

// Beat takes what a replica says of itself. What is new is told at once.
func (m *Machine) Beat(now time.Duration, r Replica) Output {
	m.out = &Output{}
	m.Counters.Beats++
	old, ok := m.list[r.ID]
	if ok && r.Call < old.Replica.Call {
		return *m.out
	}
	if ok && (old.Final || old.Gone && r.Call <= old.Replica.Call) {
		return *m.out
	}
	if !ok {
		old = &listed{}
		m.list[r.ID] = old
	}
	old.heard = now
	before := old.Replica
	if before.Leaving {
		r.Leaving = true
	}
	changed := !ok || old.Gone || before.Leaving != r.Leaving || before.Address != r.Address || before.Service != r.Service || before.Slots != r.Slots
	old.Replica, old.Gone = r, false
	if changed {
		m.change(now, old)
	}
	return *m.out
}

// Leave takes a replica off the list.
func (m *Machine) Leave(now time.Duration, id string) Output {
	m.out = &Output{}
	old, ok := m.list[id]
	if !ok {
		old = &listed{Listed: Listed{Replica: Replica{ID: id}}}
		m.list[id] = old
	}
	old.heard = now
	if !old.Final {
		old.Gone, old.Final = true, true
		m.change(now, old)
	}
	return *m.out
}

func (m *Machine) change(now time.Duration, l *listed) {
	m.Counters.Changes++
	m.version++
	l.Version = m.version
	m.out.Changes = append(m.out.Changes, l.Listed)
	m.tellAll(now)
}

func (m *Machine) tellAll(now time.Duration) {
	for _, address := range ordered.Keys(m.followers) {
		m.tell(now, address, m.followers[address], false)
	}
}

// tell sends a follower what it lacks. What was sent counts as had until the
// follower says otherwise in its next word.
func (m *Machine) tell(now time.Duration, to string, f *follower, always bool) {
	b := Bulletin{Life: m.life, Since: f.version, Version: m.version, Number: m.table.Number, Confirmed: -1, Nodes: m.nodes()}
	if m.confirmed >= 0 {
		b.Confirmed = now - m.confirmed
	}
	if f.life != m.life {
		b.Since = 0
	}
	if !f.desk {
		for _, id := range ordered.Keys(m.list) {
			if l := m.list[id]; l.Version > b.Since {
				b.List = append(b.List, l.Listed)
			}
		}
	}
	if f.table < m.table.Number {
		b.Table = m.table.Text
	}
	if f.mark != m.mark {
		t := m.topology
		b.Topology = &t
		b.Desks = ordered.Keys(m.desks)
	}
	if !always && len(b.List) == 0 && b.Table == nil && b.Topology == nil {
		return
	}
	f.life, f.version, f.table, f.mark = m.life, m.version, max(f.table, m.table.Number), m.mark
	m.Counters.Bulletins++
	m.send(to, b)
}

func (m *Machine) nodes() int {
	n := 0
	for _, f := range m.followers {
		if !f.desk {
			n++
		}
	}
	return n
}

// Receive takes a message from the process at an address.
func (m *Machine) Receive(now time.Duration, from string, body any) Output {
	m.out = &Output{}
	m.Counters.Messages++
	switch b := body.(type) {
	case Follow:
		m.onFollow(now, from, b)
	case Bulletin:
		m.onBulletin(now, from, b)
	case core.Present:
		m.onPresent(now, from, b)
	case core.Topology:
		m.adopt(now, b)
	case core.News:
		m.onNews(now, b)
	case core.Fresh:
		m.fresh = b
		m.confirm(now)
	case core.CommandReturn:
		m.caller.Receive(now, from, b)
	default:
		m.Counters.BadMessages++
	}
	return *m.out
}

func (m *Machine) onFollow(now time.Duration, from string, b Follow) {
	f := m.followers[from]
	if f == nil {
		f = &follower{}
		m.followers[from] = f
	}
	f.heard, f.desk = now, b.Desk
	f.life, f.version, f.table = b.Life, b.Version, b.Table
	if b.Life != m.life {
		f.mark = 0
	}
	if b.Desk {
		m.learnDesk(now, from)
	}
	if b.Table > m.table.Number {
		// The follower knows a newer one: the cores are asked at once.
		m.pullAt = now
	}
	m.tell(now, from, f, true)
}

func (m *Machine) learnDesk(now time.Duration, address string) {
	if _, ok := m.desks[address]; !ok {
		m.mark++
	}
	m.desks[address] = now
}

func (m *Machine) onBulletin(now time.Duration, from string, b Bulletin) {
	m.learnDesk(now, from)
	m.lives[from] = b.Life
	if b.Topology != nil {
		m.adopt(now, *b.Topology)
	}
	for _, address := range b.Desks {
		if _, ok := m.desks[address]; !ok {
			m.learnDesk(now, address)
			m.followAt = now
		}
	}
	if b.Table != nil {
		m.install(now, core.AgreedTable{Number: b.Number, Text: b.Table})
	}
}

// confirm notes as of when this desk has missed no table.
func (m *Machine) confirm(now time.Duration) {
	if m.fresh.Upto == (part.Stamp{}) || m.stamp.Less(m.fresh.Upto) {
		return
	}
	first := m.confirmed < 0
	m.confirmed = max(m.confirmed, m.fresh.Sent-m.fresh.Age)
	if first {
		for _, address := range ordered.Keys(m.followers) {
			m.tell(now, address, m.followers[address], true)
		}
	}
}

// onPresent notes a core that says it is there.
func (m *Machine) onPresent(now time.Duration, from string, b core.Present) {
	if len(m.topology.Owners) == 0 {
		if _, ok := m.present[b.Core.ID]; !ok || m.present[b.Core.ID].Incarnation != b.Core.Incarnation {
			m.presentAt = now
		}
		if b.Cold {
			m.present[b.Core.ID] = b.Core
		}
	}
	if known, ok := m.topology.Cores[b.Core.ID]; !ok || known.Version < b.Core.Version || (known.Version == b.Core.Version && known.Incarnation != b.Core.Incarnation && len(m.topology.Owners) == 0) {
		m.topology.Cores[b.Core.ID] = b.Core
		m.mark++
	}
	m.send(from, m.topology)
	if len(m.topology.Owners) == 0 {
		m.send(from, core.Pull{Want: true})
	}
}

// adopt takes over what is newer in another's topology.
func (m *Machine) adopt(now time.Duration, t core.Topology) {
	changed := false
	if len(m.topology.Owners) == 0 && len(t.Owners) > 0 {
		cores := m.topology.Cores
		m.topology = core.Topology{Fleet: t.Fleet, Size: t.Size, Cores: cores, Owners: slices.Clone(t.Owners), Groups: slices.Clone(t.Groups)}
		changed = true
	}
	if m.topology.Fleet != t.Fleet && t.Fleet != "" {
		return
	}
	for n := range t.Owners {
		if n < len(m.topology.Owners) && m.topology.Owners[n].Less(t.Owners[n]) {
			m.topology.Owners[n] = t.Owners[n]
			changed = true
		}
	}
	for n := range t.Groups {
		if n < len(m.topology.Groups) && m.topology.Groups[n].Before(t.Groups[n]) {
			m.topology.Groups[n] = t.Groups[n]
			changed = true
		}
	}
	for id, c := range t.Cores {
		if known, ok := m.topology.Cores[id]; !ok || known.Version < c.Version {
			m.topology.Cores[id] = c
			changed = true
		}
	}
	if changed {
		m.mark++
		HintOwners(m.caller, m.topology)
		m.tellAll(now)
	}
}

// HintOwners tells a caller who owns which part.
func HintOwners(caller *core.Caller, t core.Topology) {
	for n, owner := range t.Owners {
		for _, c := range t.Cores {
			if c.Seat() == owner.Owner {
				caller.Hint(n, c.Peer)
			}
		}
	}
}

func (m *Machine) onNews(now time.Duration, b core.News) {
	if b.Part != core.ConfigurationPart || !m.stamp.Less(b.Upto) || (!b.Whole && m.stamp.Less(b.After)) {
		return
	}
	m.stamp = b.Upto
	t := core.Topology{Fleet: m.topology.Fleet, Cores: map[string]core.Core{}}
	for _, e := range b.Entries {
		switch {
		case e.Key == core.TableKey:
			var agreed core.AgreedTable
			if message.Unmarshal(e.Value, &agreed) == nil {
				m.install(now, agreed)
			}
		case core.IsCoreKey(e.Key) && !e.Gone:
			var one core.Core
			if message.Unmarshal(e.Value, &one) == nil {
				t.Cores[one.ID] = one
			}
		}
	}
	m.adopt(now, t)
	m.confirm(now)
}

// install takes a newer agreed table and passes it on at once.
func (m *Machine) install(now time.Duration, agreed core.AgreedTable) {
	if agreed.Number <= m.table.Number {
		return
	}
	if _, faults := route.Parse(agreed.Text); faults != nil {
		m.Counters.BadMessages++
		return
	}
	m.table = agreed
	m.tellAll(now)
}

// Tick lets time pass.
func (m *Machine) Tick(now time.Duration) Output {
	m.out = &Output{}
	m.caller.Tick(now)
	if now >= m.followAt {
		m.followAt = now + m.params.Core.Pull*2
		targets := ordered.Keys(m.desks)
		for _, seed := range m.seeds {
			if _, ok := m.desks[seed]; !ok {
				targets = append(targets, seed)
			}
		}
		for _, to := range targets {
			m.send(to, Follow{Node: m.id, Table: m.table.Number, Desk: true, Life: m.lives[to]})
		}
	}
	if now >= m.pullAt {
		m.pullAt = now + m.params.Core.Pull
		m.pull(now)
	}
	if now >= m.sweepAt {
		m.sweepAt = now + m.params.Beat/4
		m.sweep(now)
	}
	m.found(now)
	return *m.out
}

func (m *Machine) pull(now time.Duration) {
	ask := core.Pull{Versions: map[int]part.Stamp{core.ConfigurationPart: m.stamp}, Fresh: true, Sent: now, Want: len(m.topology.Owners) == 0 || m.random() < 0.2}
	if to := m.caller.HintOf(core.ConfigurationPart); to != "" && m.confirmed >= 0 && now-m.confirmed < 3*m.params.Core.Pull {
		m.send(to, ask)
		return
	}
	ask.Want = true
	for _, to := range m.coreAddresses() {
		m.send(to, ask)
	}
}

// lost is after how many beats without a word a replica is taken off the list.
const lost = 4

func (m *Machine) sweep(now time.Duration) {
	for _, id := range ordered.Keys(m.list) {
		l := m.list[id]
		switch {
		case !l.Gone && now > l.heard+lost*m.params.Beat:
			l.Gone = true
			m.change(now, l)
		case l.Gone && now > l.heard+20*lost*m.params.Beat:
			delete(m.list, id)
		}
	}
	for address, f := range m.followers {
		if now > f.heard+lost*m.params.Beat {
			delete(m.followers, address)
		}
	}
	for address, heard := range m.desks {
		if address != m.address && now > heard+10*lost*m.params.Beat {
			delete(m.desks, address)
			delete(m.lives, address)
		}
	}
}

// found founds the fleet, once all cores that came have been there for a while.
func (m *Machine) found(now time.Duration) {
	settle := m.params.Beat
	if !m.founds || len(m.topology.Owners) > 0 || len(m.present) < m.params.Seats || now < m.foundAt || now < m.presentAt+settle {
		return
	}
	m.foundAt = now + settle/4
	if m.founding == nil {
		// It is planned once, so that it is the same whenever it is sent again.
		var cores []core.Core
		for _, id := range ordered.Keys(m.present) {
			cores = append(cores, m.present[id])
		}
		founding := core.Plan(fmt.Sprintf("%s-%s", m.id, m.life), 1+m.params.PartsPerCore*len(cores), m.params.Seats, cores)
		m.founding = &founding
	}
	for _, id := range ordered.Keys(m.founding.Cores) {
		m.send(m.founding.Cores[id].Peer, core.FoundFleet{Founding: *m.founding})
	}
}

// Handed is what became of a table that was handed over.
type Handed struct {
	// OK: agreed, and durable. Unsure: nobody knows yet; the same may be handed
	// over again.
	OK     bool `json:"taken"`
	Unsure bool `json:"unsure"`
	// Race: another is in force than it was based on.
	Race   bool                 `json:"race_lost"`
	Number uint64               `json:"number"`
	Faults configuration.Faults `json:"faults,omitempty"`
}

// Apply checks a table and has it agreed by the cores.
func (m *Machine) Apply(now time.Duration, ticket uint64, base uint64, text []byte, digest string) Output {
	m.out = &Output{}
	parsed, faults := route.Parse(text)
	if faults != nil {
		m.Counters.Refused++
		m.answer(ticket, Handed{Faults: faults})
		return *m.out
	}
	c := core.AgreeTable{Base: base, Number: parsed.Number, Text: text, Digest: digest}
	m.caller.Call(now, c, now+m.params.Within, func(now time.Duration, o core.Outcome) {
		agreed, ok := o.Answer.(core.TableAgreed)
		switch {
		case !ok:
			m.answer(ticket, Handed{Unsure: true})
		case agreed.OK:
			m.Counters.Applied++
			m.install(now, core.AgreedTable{Number: parsed.Number, Text: text, Digest: digest})
			m.answer(ticket, Handed{OK: true, Number: agreed.Number})
		case parsed.Number <= agreed.Number && base == agreed.Number:
			m.answer(ticket, Handed{Number: agreed.Number, Faults: configuration.Faults{{Path: "number", Value: parsed.Number, Allowed: "above the one in force"}}})
		default:
			m.answer(ticket, Handed{Race: true, Number: agreed.Number})
		}
	})
	return *m.out
}

// Read reads the table in force from the cores: what they answer is the newest.
func (m *Machine) Read(now time.Duration, ticket uint64) Output {
	m.out = &Output{}
	m.caller.Call(now, core.ReadTable{}, now+m.params.Within, func(now time.Duration, o core.Outcome) {
		t, _ := o.Answer.(core.AgreedTable)
		m.answer(ticket, t)
	})
	return *m.out
}

// Emptied tells how far the emptying of a core is.
type Emptied struct {
	// Unsure: the cores gave no answer.
	Unsure bool `json:"unsure"`
	Known  bool `json:"known"`
	Enough bool `json:"enough"`
	Done   bool `json:"done"`
}

// Retire asks for a core to be emptied; it gets no seats any more.
func (m *Machine) Retire(now time.Duration, ticket uint64, id string) Output {
	m.out = &Output{}
	m.caller.Call(now, core.RetireCore{ID: id}, now+m.params.Within, func(now time.Duration, o core.Outcome) {
		r, ok := o.Answer.(core.Retiring)
		m.answer(ticket, Emptied{Unsure: !ok, Known: r.Known, Enough: r.Enough})
	})
	return *m.out
}

// Retired asks every part whether a core still has a seat there.
func (m *Machine) Retired(now time.Duration, ticket uint64, id string) Output {
	m.out = &Output{}
	waiting, unsure, held := len(m.topology.Owners), false, false
	if waiting == 0 {
		m.answer(ticket, Emptied{Unsure: true})
		return *m.out
	}
	for n := range m.topology.Owners {
		m.caller.Call(now, core.ReadSeats{Part: n}, now+m.params.Within, func(now time.Duration, o core.Outcome) {
			seats, ok := o.Answer.(core.Seats)
			unsure = unsure || !ok
			for _, seat := range append(slices.Clone(seats.Seats), seats.Former...) {
				held = held || core.SeatID(seat) == id
			}
			if waiting--; waiting == 0 {
				known, ok := m.topology.Cores[id]
				m.answer(ticket, Emptied{Unsure: unsure, Known: ok, Done: !unsure && !held && known.Retired})
			}
		})
	}
	return *m.out
}

// List is the whole list.
func (m *Machine) List() []Listed {
	var list []Listed
	for _, id := range ordered.Keys(m.list) {
		list = append(list, m.list[id].Listed)
	}
	return list
}

// Number is the newest table that this desk knows to be agreed.
func (m *Machine) Number() uint64 { return m.table.Number }

// Ready reports whether this desk has a table and cores to ask.
func (m *Machine) Ready() bool { return len(m.topology.Owners) > 0 }

// Status is what this desk counts and holds.
func (m *Machine) Status(now time.Duration) map[string]int64 {
	return map[string]int64{"messages": m.Counters.Messages, "beats": m.Counters.Beats, "bulletins": m.Counters.Bulletins, "changes": m.Counters.Changes,
		"tables_applied": m.Counters.Applied, "tables_refused": m.Counters.Refused, "bad_messages": m.Counters.BadMessages,
		"replicas": int64(len(m.list)), "followers": int64(len(m.followers)), "desks": int64(len(m.desks)), "table": int64(m.table.Number), "cores": int64(len(m.topology.Cores))}
}
