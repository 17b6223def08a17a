package core

import (
	"maps"
	"sort"
	"strconv"
	"time"

	"saffronfall/rule/configuration"
	"saffronfall/rule/message"
	"saffronfall/rule/ordered"
	"saffronfall/rule/part"
	"saffronfall/rule/rehearsal"
	"saffronfall/rule/slab"
)

// Founding is what a fleet is founded with. It is kept on the core's disk.
type Founding struct {
	Fleet string          `msgpack:"f" json:"fleet"`
	Parts int             `msgpack:"p" json:"parts"`
	Cores map[string]Core `msgpack:"c" json:"cores"`
	// Groups has the first group of each part.
	Groups []part.Group `msgpack:"g" json:"groups"`
	// Size is how many seats a group is to have.
	Size int `msgpack:"s" json:"size"`
}

// Plan divides parts over cores: groups of a size, in different zones where it
// can be done, first seats spread evenly.
func Plan(fleet string, parts, size int, cores []Core) Founding {
	f := Founding{Fleet: fleet, Parts: parts, Cores: map[string]Core{}, Size: size}
	for _, c := range cores {
		f.Cores[c.ID] = c
	}
	for _, seats := range Place(parts, size, cores, nil) {
		f.Groups = append(f.Groups, part.Group{Epoch: 1, Seats: seats})
	}
	return f
}

// Stored is what a core's disk holds.
type Stored struct {
	Incarnation string            `msgpack:"i"`
	Founding    Founding          `msgpack:"f"`
	Copies      map[int]part.Copy `msgpack:"c"`
}

// Change is one thing to write to disk.
type Change struct {
	Founding *Founding    `msgpack:"f"`
	Record   *part.Record `msgpack:"r"`
}

// Apply brings what is stored up to a change.
func (s *Stored) Apply(c Change) {
	if s.Copies == nil {
		s.Copies = map[int]part.Copy{}
	}
	if c.Founding != nil {
		s.Founding = *c.Founding
		for n, g := range c.Founding.Groups {
			p := s.Copies[n]
			if p.Group.Epoch == 0 {
				p.Group = g
			}
			s.Copies[n] = p
		}
	}
	if c.Record != nil {
		p := s.Copies[c.Record.Part]
		p.Apply(*c.Record)
		s.Copies[c.Record.Part] = p
	}
}

// Send is a message for the process at an address. A synced one goes out when
// all changes so far are on disk.
type Send struct {
	To     string
	Body   any
	Synced bool
}

// Answer goes to an operator's waiting call.
type Answer struct {
	Ticket uint64
	Body   any
}

// Output is what a step wants done: changes, then sends, then answers.
type Output struct {
	Changes []Change
	Sends   []Send
	Answers []Answer
}

// Counters are what a core counts.
type Counters struct {
	Messages, Commands, Moved, Unsure, Pulls, BadMessages, Returns int64
}

// Options make a machine.
type Options struct {
	Params   Params
	ID, Zone string
	Address  string
	Operator string
	Seeds    []string
	Stored   Stored
	Now      time.Duration
	Random   func() float64
}

// Machine is one core.
type Machine struct {
	Counters Counters

	params   Params
	self     Core
	founding Founding
	parts    map[int]*part.Machine
	cores    map[string]Core
	owners   []part.Term
	groups   []part.Group
	caller   *Caller
	tickets  slab.Slab[origin]
	out      *Output
	random   func() float64
	gossipAt time.Duration
	sweepAt  time.Duration
	leaving  bool
	stalled  bool
	later    Later
	seeds    []string
	lookAt   time.Duration
	mending  bool
	unknown  bool
	gathered uint64
	samples  map[string][]rehearsal.Sample
	bornAt   time.Duration
	tickedAt time.Duration
	placed   [][]string
	// placedFor and placedSilent are what the placement was made for.
	placedFor    []Core
	placedSilent map[string]bool
	heard        map[string]heard
	changed      bool
	// outlived says that the fleet knows a later incarnation of this core; refused
	// is how many claims to its entry lost a race.
	outlived bool
	refused  uint64
	tellAt   time.Duration
	beatAt   time.Duration
	movedAt  map[int]time.Duration
	moveAt   time.Duration
}

type origin struct {
	from    string
	id      uint64
	part    int
	handled func(now time.Duration, r part.Return)
}

// New makes a core from what its disk holds.
func New(o Options) *Machine {
	m := &Machine{params: o.Params, random: o.Random, seeds: o.Seeds, parts: map[int]*part.Machine{}, cores: map[string]Core{},
		self: Core{ID: o.ID, Incarnation: o.Stored.Incarnation, Zone: o.Zone, Peer: o.Address, Operator: o.Operator}}
	m.caller = &Caller{Retry: o.Params.Retry, Random: o.Random,
		Send:  func(to string, body any) { m.send(to, body, false) },
		Parts: func() int { return m.founding.Parts },
		Anyone: func() []string {
			var all []string
			for _, c := range m.cores {
				if !c.Retired {
					all = append(all, c.Peer)
				}
			}
			sort.Strings(all)
			return all
		}}
	if o.Stored.Founding.Parts > 0 {
		m.begin(o.Now, o.Stored)
	}
	return m
}

func (m *Machine) begin(now time.Duration, s Stored) {
	m.founding = s.Founding
	m.owners, m.groups = make([]part.Term, s.Founding.Parts), make([]part.Group, s.Founding.Parts)
	for id, c := range s.Founding.Cores {
		m.cores[id] = c
	}
	m.learnCoresOf(s.Copies[ConfigurationPart])
	m.assert()
	m.unknown = true
	m.heard, m.movedAt, m.bornAt, m.tickedAt = map[string]heard{}, map[int]time.Duration{}, now, now
	for _, n := range ordered.Keys(s.Copies) {
		m.seat(now, n, s.Copies[n])
	}
}

func (m *Machine) seat(now time.Duration, n int, c part.Copy) *part.Machine {
	m.parts[n] = part.New(part.Options{Params: m.params.Part, Seat: m.self.Seat(), Number: n, Rules: &rules{params: m.params, fleet: m.fleet}, Copy: c, Now: now, Random: m.random})
	return m.parts[n]
}

// assert makes the fleet's entry of this core what it is now: its address or
// its incarnation may have changed while it was away.
func (m *Machine) assert() {
	known, ok := m.cores[m.self.ID]
	if named := m.founding.Cores[m.self.ID]; ok && known.Incarnation != m.self.Incarnation && named.Incarnation == m.self.Incarnation {
		m.self.Version = named.Version
		m.unknown = true
		return
	}
	fresh := m.self
	fresh.Retired, fresh.Version = known.Retired, known.Version
	if ok && fresh == known {
		m.self = known
		return
	}
	fresh.Version++
	m.self, m.cores[m.self.ID] = fresh, fresh
	m.unknown = true
}

func (m *Machine) learnCores() {
	if p := m.parts[ConfigurationPart]; p != nil {
		m.learnCoresOf(p.Copied())
	}
}

func (m *Machine) learnCoresOf(c part.Copy) {
	for key, e := range c.Entries {
		if len(key) > len(corePrefix) && key[:len(corePrefix)] == corePrefix && !e.Gone {
			var one Core
			if message.Unmarshal(e.Value, &one) == nil {
				m.learnCore(one)
			}
		}
	}
}

// learnCore takes the newest that is told of a core. What is retired once stays
// so, whatever is told later.
func (m *Machine) learnCore(c Core) {
	old, ok := m.cores[c.ID]
	c.Retired = c.Retired || old.Retired
	switch {
	case !ok || old.Version < c.Version:
		m.cores[c.ID] = c
		m.changed = true
	case c.Retired && !old.Retired:
		old.Retired = true
		m.cores[c.ID] = old
		m.changed = true
	}
	switch {
	case c.ID != m.self.ID:
		return
	case c.Incarnation != m.self.Incarnation:
		// The configuration's part knows which of the two came later.
		m.unknown = m.unknown || c.Version >= m.self.Version
		return
	}
	m.self.Retired = c.Retired
	if c.Version < m.self.Version {
		m.cores[m.self.ID] = m.self
		return
	}
	if same := m.self; same.Version != c.Version {
		if same.Version = c.Version; same == c {
			m.self = c
			return
		}
		m.self.Version = c.Version + 1
		m.cores[m.self.ID] = m.self
		m.unknown = true
	}
}

func (m *Machine) send(to string, body any, synced bool) {
	m.out.Sends = append(m.out.Sends, Send{To: to, Body: body, Synced: synced})
}

// Founded reports whether this core belongs to a fleet.
func (m *Machine) Founded() bool { return m.founding.Parts > 0 }

// Self is this core's own entry.
func (m *Machine) Self() Core { return m.self }

// Founding is what the fleet was founded with.
func (m *Machine) Founding() Founding { return m.founding }

// Found makes this core part of a new fleet. A core that is in one stays.
func (m *Machine) Found(now time.Duration, f Founding) (Output, bool) {
	m.out = &Output{}
	if m.Founded() {
		return *m.out, m.founding.Fleet == f.Fleet
	}
	return *m.out, m.found(now, f)
}

func (m *Machine) found(now time.Duration, f Founding) bool {
	if mine, ok := f.Cores[m.self.ID]; !ok || mine.Incarnation != m.self.Incarnation || f.Parts < 1 || len(f.Groups) != f.Parts {
		return false
	}
	m.Join(now, f)
	for _, id := range ordered.Keys(f.Cores) {
		if id != m.self.ID {
			m.send(f.Cores[id].Peer, FoundFleet{Founding: f}, false)
		}
	}
	return true
}

// size is how many seats a group is to have.
func (m *Machine) size() int {
	size := m.founding.Size
	if size == 0 {
		for _, g := range m.groups {
			size = max(size, len(g.Seats))
		}
	}
	return size
}

func (m *Machine) fleet() (map[string]Core, int) {
	return maps.Clone(m.cores), m.size()
}

func (m *Machine) present() Present {
	return Present{Core: m.self, Cold: m.params.ColdStart, Fleet: m.founding.Fleet}
}

func (m *Machine) greet() {
	if m.outlived {
		return
	}
	for _, seed := range m.seeds {
		if seed != m.self.Peer {
			m.send(seed, m.present(), false)
		}
	}
}

func (m *Machine) onPresent(now time.Duration, from string, b Present) {
	switch b.Fleet {
	case m.founding.Fleet:
		m.learnCore(b.Core)
		m.hear(now, b.Core.Seat())
	case "":
		m.learn()
		m.send(from, m.Topology(), false)
		if named, ok := m.founding.Cores[b.Core.ID]; ok && b.Cold && named.Incarnation == b.Core.Incarnation && m.founding.Groups[0].Epoch > 0 {
			m.send(from, FoundFleet{Founding: m.founding}, false)
		}
	}
}

// Tick lets time pass.
func (m *Machine) Tick(now time.Duration) Output {
	m.out = &Output{}
	if !m.Founded() {
		if now >= m.lookAt {
			m.lookAt = now + max(50*time.Millisecond, m.params.MemberTerm/20)
			m.greet()
		}
		return *m.out
	}
	m.notice(now)
	for n := 0; n < m.founding.Parts; n++ {
		p := m.parts[n]
		if p == nil {
			continue
		}
		if m.leaving || m.stalled {
			m.take(now, n, p.Leave(now))
			if _, owns := p.Owns(now); !owns {
				continue
			}
		}
		m.take(now, n, p.Tick(now))
	}
	if now >= m.gossipAt {
		m.gossipAt = now + m.params.Pull
		m.learn()
		m.gossip(now)
	}
	if now >= m.moveAt {
		m.moveAt = now + m.params.Part.OwnerTerm/4
		m.place(now)
	}
	if now >= m.sweepAt {
		m.sweepAt = now + m.params.MemberTerm/4
		for n := 0; n < m.founding.Parts; n++ {
			if p := m.parts[n]; p != nil {
				if _, ok := p.Owns(now); ok {
					m.propose(now, n, Sweep{}, origin{})
				}
			}
		}
	}
	if now >= m.lookAt {
		m.lookAt = now + m.params.MemberTerm/4
		m.greet()
		m.mend(now)
	}
	m.caller.Tick(now)
	m.later.Tick(now)
	return *m.out
}

func (m *Machine) learn() {
	m.learnCores()
	for n, p := range m.parts {
		if owner := p.Owner(); m.owners[n].Less(owner) {
			m.owners[n] = owner
			m.changed = true
		}
		if m.groups[n].Before(p.Group()) || m.groups[n].Epoch == 0 {
			m.changed = m.changed || p.Group().Epoch > 0
			m.groups[n] = p.Group()
		}
	}
}

// gossip tells the other cores that this one lives, and what it knows of the
// fleet when that has changed, or was not told for long.
func (m *Machine) gossip(now time.Duration) {
	whole := m.changed || now >= m.tellAt
	if m.outlived || (!whole && now < m.beatAt) {
		return
	}
	m.beatAt = now + m.beat()
	topology := m.Topology()
	for _, id := range ordered.Keys(m.cores) {
		c := m.cores[id]
		if id == m.self.ID {
			continue
		}
		m.send(c.Peer, m.present(), false)
		if whole {
			m.send(c.Peer, topology, false)
		}
	}
	if whole {
		m.changed, m.tellAt = false, now+m.params.MemberTerm/4
	}
}

// Topology is what this core knows of cores, groups and owners.
func (m *Machine) Topology() Topology {
	t := Topology{Fleet: m.founding.Fleet, Size: m.size(), Cores: map[string]Core{}, Owners: append([]part.Term(nil), m.owners...), Groups: append([]part.Group(nil), m.groups...)}
	for id, c := range m.cores {
		t.Cores[id] = c
	}
	return t
}

// Leave begins to hand all parts over; Owned says how many are left.
func (m *Machine) Leave() { m.leaving = true }

// Owned lists the parts that this core owns now.
func (m *Machine) Owned(now time.Duration) []int {
	var list []int
	for n, p := range m.parts {
		if _, ok := p.Owns(now); ok {
			list = append(list, n)
		}
	}
	sort.Ints(list)
	return list
}

// PartCounters sums the counters of all parts.
func (m *Machine) PartCounters() part.Counters {
	var sum part.Counters
	for _, p := range m.parts {
		c := p.Counters
		sum.Stands += c.Stands
		sum.Seated += c.Seated
		sum.Writes += c.Writes
		sum.Entries += c.Entries
		sum.Mended += c.Mended
		sum.Swept += c.Swept
		sum.Dropped += c.Dropped
	}
	return sum
}

// Part is one part's machine, for tests and status.
func (m *Machine) Part(n int) *part.Machine { return m.parts[n] }

func (m *Machine) take(now time.Duration, n int, o part.Output) {
	for i := range o.Records {
		m.out.Changes = append(m.out.Changes, Change{Record: &o.Records[i]})
	}
	for _, s := range o.Sends {
		body := PartMessage{Part: n, From: m.self.Seat(), To: s.To, Raw: message.Pack(s.Body)}
		if address := m.addressOf(s.To); address != "" {
			m.send(address, body, s.Synced)
		}
	}
	for _, r := range o.Returns {
		at, ok := m.tickets.Take(slab.Ticket(r.Ticket))
		if !ok {
			continue
		}
		if at.handled != nil {
			at.handled(now, r)
			continue
		}
		m.reply(n, at, r)
	}
}

func (m *Machine) reply(n int, at origin, r part.Return) {
	if at.from == "" {
		return
	}
	answer := CommandReturn{ID: at.id, Part: at.part, Unsure: r.Unsure, Moved: r.Moved}
	switch {
	case r.Moved:
		m.Counters.Moved++
		answer.Hint = m.hint(n)
	case r.Unsure:
		m.Counters.Unsure++
	default:
		answer.Raw = message.Pack(r.Body)
	}
	m.send(at.from, answer, false)
}

func (m *Machine) addressOf(seat string) string {
	if seat == m.self.Seat() {
		return m.self.Peer
	}
	for _, c := range m.cores {
		if c.Seat() == seat {
			return c.Peer
		}
	}
	return ""
}

func (m *Machine) hint(n int) string {
	owner := m.owners[n]
	if p := m.parts[n]; p != nil && owner.Less(p.Owner()) {
		owner = p.Owner()
	}
	address := m.addressOf(owner.Owner)
	if address == m.self.Peer {
		return ""
	}
	return address
}

func (m *Machine) propose(now time.Duration, n int, command any, from origin) {
	p := m.parts[n]
	if c, ok := command.(ChangeSeat); ok && p != nil {
		answer := from
		from = origin{handled: func(now time.Duration, r part.Return) {
			r.Body = Done{OK: r.Body == true}
			m.reply(n, answer, r)
		}}
		m.take(now, n, p.Change(now, uint64(m.tickets.Keep(from)), c.Add, c.Remove))
		return
	}
	if _, ok := command.(ReadSeats); ok && p != nil {
		answer := from
		from = origin{handled: func(now time.Duration, r part.Return) {
			g := p.Group()
			if owned, ok := p.Agreed(); ok {
				g = owned
			}
			r.Body = Seats{Seats: g.Seats, Former: g.Former}
			m.reply(n, answer, r)
		}}
	}
	ticket := m.tickets.Keep(from)
	if p == nil {
		m.take(now, n, part.Output{Returns: []part.Return{{Ticket: uint64(ticket), Moved: true}}})
		return
	}
	m.take(now, n, p.Propose(now, uint64(ticket), command))
}

// Receive takes a message from the process at an address.
func (m *Machine) Receive(now time.Duration, from string, body any) Output {
	m.out = &Output{}
	m.Counters.Messages++
	if !m.Founded() {
		switch b := body.(type) {
		case Topology:
			m.returnTo(now, b)
		case FoundFleet:
			if m.params.ColdStart {
				m.found(now, b.Founding)
			}
		}
		return *m.out
	}
	m.notice(now)
	switch b := body.(type) {
	case PartMessage:
		m.onPart(now, b)
	case Command:
		m.Counters.Commands++
		command, err := message.Open(b.Raw)
		if err != nil || b.Part < 0 || b.Part >= m.founding.Parts {
			m.Counters.BadMessages++
			return *m.out
		}
		m.propose(now, b.Part, command, origin{from: from, id: b.ID, part: b.Part})
	case CommandReturn:
		m.caller.Receive(now, from, b)
	case Pull:
		m.Counters.Pulls++
		m.onPull(now, from, b)
	case Topology:
		m.adopt(b)
	case Present:
		m.onPresent(now, from, b)
	case Samples:
		if b.ID == m.gathered && m.samples != nil {
			m.samples[from] = b.List
		}
	}
	return *m.out
}

func (m *Machine) adopt(t Topology) {
	if m.founding.Fleet != t.Fleet || len(t.Owners) != len(m.owners) || len(t.Groups) != len(m.groups) {
		return
	}
	for n := range t.Owners {
		if m.owners[n].Less(t.Owners[n]) {
			m.owners[n] = t.Owners[n]
		}
		if m.groups[n].Before(t.Groups[n]) {
			m.groups[n] = t.Groups[n]
		}
	}
	for _, c := range t.Cores {
		m.learnCore(c)
	}
}

func (m *Machine) onPart(now time.Duration, b PartMessage) {
	m.hear(now, b.From)
	if b.To != m.self.Seat() || b.Part < 0 || b.Part >= m.founding.Parts {
		return
	}
	body, err := message.Open(b.Raw)
	if err != nil {
		m.Counters.BadMessages++
		return
	}
	p := m.parts[b.Part]
	if p == nil {
		if w, ok := body.(part.Write); !ok || !w.Whole {
			return
		}
		p = m.seat(now, b.Part, part.Copy{})
	}
	m.take(now, b.Part, p.Receive(now, b.From, body))
}

func (m *Machine) onPull(now time.Duration, from string, b Pull) {
	if b.Want {
		m.learn()
		m.send(from, m.Topology(), false)
	}
	for n := 0; n < m.founding.Parts; n++ {
		p := m.parts[n]
		if p == nil {
			continue
		}
		if _, ok := p.Owns(now); !ok {
			continue
		}
		upto, _ := p.Committed()
		if n == ConfigurationPart && b.Fresh {
			m.send(from, Fresh{Sent: b.Sent, Upto: upto}, false)
		}
		after := b.Versions[n]
		if !after.Less(upto) {
			continue
		}
		news := News{Part: n, After: after, Upto: upto}
		if after.Term != upto.Term || after.Seq < p.Dropped() {
			after, news.Whole = part.Stamp{}, true
		}
		news.Entries = p.News(after, NewsPrefixes)
		m.send(from, news, false)
	}
}

// Taking follows one description from its hand-over to its being in force.
type Taking struct {
	Version uint64               `json:"version"`
	Taken   bool                 `json:"taken"`
	Code    string               `json:"code,omitempty"`
	Reason  string               `json:"reason,omitempty"`
	Faults  configuration.Faults `json:"faults,omitempty"`
	Figures *rehearsal.Figures   `json:"figures,omitempty"`
}

// Ask runs one command on behalf of an operator.
func (m *Machine) Ask(now time.Duration, ticket uint64, command any, within time.Duration) Output {
	m.out = &Output{}
	m.caller.Call(now, command, now+within, func(now time.Duration, o Outcome) {
		m.out.Answers = append(m.out.Answers, Answer{Ticket: ticket, Body: o})
	})
	return *m.out
}

// Hand is a description that an operator hands over.
type Hand struct {
	BasedOn uint64
	Text    []byte
	// Digest is told by the operator's side, so that a repeated hand-over of
	// the same text is known for one.
	Digest string
	Within time.Duration
	// PlanOnly rehearses and changes nothing.
	PlanOnly bool
}

// Apply checks a description, rehearses it on recent inquiries, measures it
// against its approval limits, agrees it by way of its part, and waits until
// every member follows it or its term has ended.
func (m *Machine) Apply(now time.Duration, ticket uint64, h Hand) Output {
	m.out = &Output{}
	until := now + h.Within
	after, faults := configuration.Parse(h.Text)
	if len(faults) > 0 {
		m.answer(ticket, Taking{Code: "faulty", Reason: "the description has faults", Faults: faults})
		return *m.out
	}
	m.caller.Call(now, ReadEntries{Part: ConfigurationPart, Prefix: configurationKey}, until, func(now time.Duration, o Outcome) {
		list, ok := o.Answer.(Entries)
		if !ok {
			m.answer(ticket, Taking{Code: "unsure", Reason: "the configuration's part gave no answer; nothing was agreed"})
			return
		}
		var old Configured
		var before *configuration.Description
		for _, e := range list.Entries {
			if message.Unmarshal(e.Value, &old) == nil {
				before, _ = configuration.Parse(old.Text)
			}
		}
		if old.Version != h.BasedOn && !(old.Version == h.BasedOn+1 && old.Digest == h.Digest) && !h.PlanOnly {
			m.answer(ticket, raceLost(old.Version))
			return
		}
		m.gather(now, until, func(now time.Duration, samples []rehearsal.Sample) {
			figures := rehearsal.Run(before, after, samples)
			switch {
			case h.PlanOnly:
				m.answer(ticket, Taking{Version: old.Version, Code: "planned", Figures: &figures})
			case !figures.Approved:
				m.answer(ticket, Taking{Version: old.Version, Code: "not_approved", Reason: "rehearsal newly refused more than the description's approval limit", Figures: &figures})
			default:
				m.agree(now, ticket, until, h, &figures)
			}
		})
	})
	return *m.out
}

func raceLost(version uint64) Taking {
	return Taking{Version: version, Code: "race_lost", Reason: "another configuration came first; version " + strconv.FormatUint(version, 10) + " is in force"}
}

func (m *Machine) agree(now time.Duration, ticket uint64, until time.Duration, h Hand, figures *rehearsal.Figures) {
	m.caller.Call(now, AgreeConfiguration{BasedOn: h.BasedOn, Text: h.Text, Digest: h.Digest}, until, func(now time.Duration, o Outcome) {
		agreed, ok := o.Answer.(Agreed)
		switch {
		case !ok:
			m.answer(ticket, Taking{Code: "unsure", Reason: "the configuration's part gave no answer in time; hand the same text over again to find out"})
		case !agreed.Agreed:
			m.answer(ticket, raceLost(agreed.Version))
		default:
			m.floor(now, Taking{Version: agreed.Version, Figures: figures}, ticket, until, map[int]bool{})
		}
	})
}

// gather asks every member for its recent inquiries. Those that give none in a
// short time are left out.
func (m *Machine) gather(now, until time.Duration, next func(now time.Duration, samples []rehearsal.Sample)) {
	waiting := m.founding.Parts
	members := map[string]Member{}
	for n := 0; n < m.founding.Parts; n++ {
		m.caller.Call(now, ReadEntries{Part: n, Prefix: memberPrefix}, min(until, now+m.params.MemberTerm), func(now time.Duration, o Outcome) {
			list, _ := o.Answer.(Entries)
			for _, e := range list.Entries {
				var one Member
				if message.Unmarshal(e.Value, &one) == nil && !one.Ended {
					members[one.ID] = one
				}
			}
			waiting--
			if waiting > 0 {
				return
			}
			m.gathered++
			id := m.gathered
			m.samples = map[string][]rehearsal.Sample{}
			for _, name := range ordered.Keys(members) {
				m.send(members[name].Peer, AskSamples{ID: id}, false)
			}
			m.gathering(now, now+m.params.MemberTerm/4, id, len(members), next)
		})
	}
}

func (m *Machine) gathering(now, until time.Duration, id uint64, want int, next func(now time.Duration, samples []rehearsal.Sample)) {
	if id != m.gathered || len(m.samples) >= want || now >= until {
		var all []rehearsal.Sample
		for _, name := range ordered.Keys(m.samples) {
			all = append(all, m.samples[name]...)
		}
		next(now, all)
		return
	}
	m.later.Add(now+m.params.Pull/4, func(now time.Duration) { m.gathering(now, until, id, want, next) })
}

func (m *Machine) answer(ticket uint64, body any) {
	m.out.Answers = append(m.out.Answers, Answer{Ticket: ticket, Body: body})
}

func (m *Machine) floor(now time.Duration, taking Taking, ticket uint64, until time.Duration, done map[int]bool) {
	version := taking.Version
	waiting := 0
	for n := 0; n < m.founding.Parts; n++ {
		if !done[n] {
			waiting++
		}
	}
	if waiting == 0 {
		taking.Taken = true
		m.answer(ticket, taking)
		return
	}
	if now >= until {
		taking.Code, taking.Reason = "agreed_not_taken", "agreed, and will be in force; not every member has said that it follows"
		m.answer(ticket, taking)
		return
	}
	ended := false
	for n := 0; n < m.founding.Parts; n++ {
		if done[n] {
			continue
		}
		m.caller.Call(now, SetFloor{Part: n, Version: version}, until, func(now time.Duration, o Outcome) {
			if f, ok := o.Answer.(Floored); ok {
				done[n] = f.Done
			}
			waiting--
			if waiting == 0 && !ended {
				ended = true
				m.later.Add(now+m.params.Pull/4, func(now time.Duration) { m.floor(now, taking, ticket, until, done) })
			}
		})
	}
}

// Stall tells the machine whether its disk hangs. A core with a hanging disk
// gives its parts to others and stands for none.
func (m *Machine) Stall(stalled bool) { m.stalled = stalled }

// CopyFrom makes an image that can be changed apart from its source.
func (s *Stored) CopyFrom(o Stored) {
	s.Incarnation, s.Founding, s.Copies = o.Incarnation, o.Founding, map[int]part.Copy{}
	for n, c := range o.Copies {
		entries := make(map[string]part.Entry, len(c.Entries))
		for k, e := range c.Entries {
			entries[k] = e
		}
		c.Entries = entries
		s.Copies[n] = c
	}
}
