// Package relaysim runs the relaying tier's own machines in simulated time, with
// seeded faults, and judges each run by what requesters, replicas and operators
// saw.
package relaysim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"saffronfall/peer/core"
	"saffronfall/peer/desk"
	"saffronfall/peer/relay"
	"saffronfall/rehearsalkit/agenda"
	"saffronfall/rule/message"
	"saffronfall/rule/ordered"
	"saffronfall/rule/part"
)

// Node is the relaying node's machine as the simulator drives it.
type Node interface {
	Arrive(now time.Duration, ticket uint64, a relay.Ask) relay.Output
	Came(now time.Duration, ticket uint64, o relay.Outcome) relay.Output
	Gone(now time.Duration, ticket uint64) relay.Output
	Receive(now time.Duration, from string, body any) relay.Output
	Tick(now time.Duration) relay.Output
	Ready(now time.Duration) bool
}

// Desk is the desk's machine as the simulator drives it.
type Desk interface {
	Beat(now time.Duration, r desk.Replica) desk.Output
	Leave(now time.Duration, id string) desk.Output
	Receive(now time.Duration, from string, body any) desk.Output
	Tick(now time.Duration) desk.Output
	Apply(now time.Duration, ticket uint64, base uint64, text []byte, digest string) desk.Output
	Read(now time.Duration, ticket uint64) desk.Output
	Retire(now time.Duration, ticket uint64, id string) desk.Output
	Retired(now time.Duration, ticket uint64, id string) desk.Output
}

// Params size a run.
type Params struct {
	Seed  uint64
	Cores int
	Desks int
	Nodes int
	Zones int
	// Length is how long faults are brought about, after the start.
	Length time.Duration
	Faults bool
	// Closing is which closing fault ends the run.
	Closing string
	// Loss is the part of messages at which a connection is lost.
	Loss float64
	// Overshoot and Slack are by how much a window may pass a tenant's limit.
	Overshoot float64
	Slack     int64
	// Talkers hold conversations, Runaways go on until their budget is spent,
	// Callers call tools, Pressers go beyond their tenant's rate.
	Talkers, Runaways, Callers, Pressers int
	Operators                            int
	// WrapNode, WrapDesk and Alter break the system on purpose.
	WrapNode func(n Node) Node
	WrapDesk func(d Desk) Desk
	Alter    func(from, to string, body any) (any, bool)
	Logf     func(format string, args ...any)
}

// Closing faults.
const (
	ClosingKill  = "kill"
	ClosingPower = "power"
	ClosingWipe  = "wipe"
)

// Defaults are a small fleet under all faults. Some seeds lose more messages, in
// some rates are counted more narrowly.
func Defaults(seed uint64) Params {
	p := Params{Seed: seed, Cores: 3 + int(seed%2), Desks: 2 + int(seed/2%2), Nodes: 4 + int(seed/4%3), Zones: 3, Length: 20 * time.Second, Faults: true, Loss: 0.002, Overshoot: 0.1, Slack: 4,
		Talkers: 8, Runaways: 2, Callers: 3, Pressers: 3, Operators: 2}
	if seed%5 == 4 {
		p.Loss = 0.02
	}
	if seed%7 == 3 {
		p.Overshoot, p.Slack = 0.04, 2
	}
	p.Closing = []string{ClosingKill, ClosingPower, ClosingWipe}[seed/3%3]
	return p
}

// Bounds of the deployment that is simulated.
const (
	contact    = 3 * time.Second
	catchUp    = 4400 * time.Millisecond
	window     = 5 * time.Second
	keepFor    = 20 * time.Second
	beatPeriod = time.Second
	recovery   = 12 * time.Second
	tokensOf   = 5
)

func coreParams() core.Params {
	return core.Params{Part: part.Params{OwnerTerm: contact / 6, Drift: 0.1, Renewals: 5, Sweeps: 8, Home: 20}, MemberTerm: contact / 2,
		Retry: contact / 24, Pull: contact / 20, Gone: catchUp / 2, ColdStart: true}
}

func deskParams() desk.Params {
	return desk.Params{Core: coreParams(), Beat: beatPeriod, Seats: 3, PartsPerCore: 2, Within: 3 * time.Second}
}

func (w *World) nodeParams() relay.Params {
	return relay.Params{Core: coreParams(), Beat: beatPeriod, Follow: beatPeriod / 2, Window: window, Overshoot: w.Params.Overshoot, Slack: w.Params.Slack, PromptRate: 80,
		Buffer: 2000, Cache: 1 << 20, BookKeep: 10 * time.Minute}
}

// World is one run.
type World struct {
	Params Params
	Record Record
	Counts map[string]int64

	now       time.Duration
	agenda    agenda.Agenda
	random    *rand.Rand
	processes map[string]*process
	stores    []*store
	nodes     []*process
	replicas  map[string]*replica
	cut       map[[2]string]int
	last      map[[2]string]time.Duration
	marks     int
	acked     uint64
	// busyUntil is until when no other loss of a store may come about.
	busyUntil time.Duration

	closing bool
	// faultsUntil is until when faults are brought about and tables handed over.
	faultsUntil time.Duration
	kept        []keptAttempt
	changed     bool
}

// store is a machine with a disk: a core, and mostly a desk.
type store struct {
	core, desk *process
	gone       bool
}

type process struct {
	world   *World
	id      string
	zone    string
	address string
	life    int
	alive   bool
	frozen  bool
	backlog []func()
	rate    float64
	started time.Duration

	core   *core.Machine
	disk   *disk
	isDesk bool
	desk   Desk
	known  map[string]desk.Listed
	calls  map[uint64]func(body any)
	next   uint64
	founds bool

	node Node
	ways map[uint64]*way
}

type disk struct {
	stored  core.Stored
	pending [][]core.Change
	issued  uint64
	synced  uint64
	held    []held
	busy    bool
}

type held struct {
	after uint64
	send  core.Send
}

// New lays out a world.
func New(p Params) *World {
	w := &World{Params: p, random: rand.New(rand.NewPCG(p.Seed, 0x5affe1)), processes: map[string]*process{}, replicas: map[string]*replica{}, cut: map[[2]string]int{},
		last: map[[2]string]time.Duration{}, Counts: map[string]int64{}}
	for i := 0; i < p.Cores; i++ {
		w.addStore(i < p.Desks)
	}
	for i := 0; i < p.Nodes; i++ {
		n := w.add(fmt.Sprintf("node%d", i+1), i, fmt.Sprintf("10.0.1.%d:1", i+1))
		n.ways = map[uint64]*way{}
		w.nodes = append(w.nodes, n)
		w.Record.Nodes = append(w.Record.Nodes, n.id)
	}
	w.Record.Limits = Limits{Apply: 2 * time.Second, Contact: contact, Outer: 5 * time.Second, Revert: 250 * time.Millisecond, Drain: 2 * time.Second, Settling: time.Second,
		Window: window, Overshoot: p.Overshoot, Slack: float64(p.Slack), Keep: keepFor, Recovery: recovery, Longest: 10 * time.Second}
	return w
}

func (w *World) addStore(withDesk bool) *store {
	n := len(w.stores) + 1
	s := &store{core: w.add(fmt.Sprintf("core%d", n), n, fmt.Sprintf("10.0.0.%d:2", n))}
	s.core.disk = w.emptyDisk(s.core.id)
	if withDesk {
		s.desk = w.add(fmt.Sprintf("desk%d", n), n, fmt.Sprintf("10.0.0.%d:0", n))
		s.desk.isDesk, s.desk.known, s.desk.founds = true, map[string]desk.Listed{}, n == 1
	}
	w.stores = append(w.stores, s)
	return s
}

func (w *World) emptyDisk(id string) *disk {
	return &disk{stored: core.Stored{Incarnation: fmt.Sprintf("%s-%d", id, w.random.Uint32())}}
}

func (w *World) add(id string, n int, address string) *process {
	p := &process{world: w, id: id, zone: fmt.Sprintf("zone-%d", n%w.Params.Zones+1), address: address}
	w.processes[address] = p
	return p
}

func (s *store) processes() []*process {
	if s.desk == nil {
		return []*process{s.core}
	}
	return []*process{s.core, s.desk}
}

// Now is the simulated time.
func (w *World) Now() time.Duration { return w.now }

func (w *World) after(d time.Duration, what func()) {
	w.agenda.Add(w.now+d, what)
}

func (w *World) run(until time.Duration) { w.agenda.Run(until, &w.now) }

func (w *World) between(a, b time.Duration) time.Duration {
	return a + time.Duration(w.random.Int64N(int64(b-a)+1))
}

func (w *World) chance(p float64) bool { return w.random.Float64() < p }

func (w *World) delay() time.Duration { return w.between(200*time.Microsecond, 2*time.Millisecond) }

func (w *World) mark(kind string) string {
	w.marks++
	return fmt.Sprintf("%s-%d", kind, w.marks)
}

func (w *World) logf(format string, args ...any) {
	if w.Params.Logf != nil {
		w.Params.Logf("%8.3fs "+format, append([]any{w.now.Seconds()}, args...)...)
	}
}

func (p *process) now() time.Duration {
	return time.Duration(float64(p.world.now-p.started) * p.rate)
}

func (w *World) seeds() []string {
	var list []string
	for _, s := range w.stores {
		if s.desk != nil && !s.gone && len(list) < 3 {
			list = append(list, s.desk.address)
		}
	}
	return list
}

// boot starts a process from what its disk holds.
func (p *process) boot() {
	w := p.world
	if p.alive {
		return
	}
	p.life++
	p.alive, p.frozen, p.backlog, p.started = true, false, nil, w.now
	p.rate = 1 + (w.random.Float64()-0.5)*0.002
	switch {
	case p.disk != nil:
		p.disk.pending, p.disk.held, p.disk.busy, p.disk.issued, p.disk.synced = nil, nil, false, 0, 0
		var image core.Stored
		image.CopyFrom(p.disk.stored)
		p.core = core.New(core.Options{Params: coreParams(), ID: p.id, Zone: p.zone, Address: p.address, Seeds: w.seeds(), Stored: image, Now: p.now(), Random: w.random.Float64})
		p.tick(p.life, coreParams().Part.OwnerTerm/40)
	case p.isDesk:
		var known []desk.Listed
		for _, id := range ordered.Keys(p.known) {
			known = append(known, p.known[id])
		}
		p.calls = map[uint64]func(any){}
		p.desk = desk.New(desk.Options{Params: deskParams(), ID: p.id, Life: fmt.Sprintf("%s.%d", p.id, p.life), Address: p.address, Seeds: w.seeds(), Founds: p.founds, Known: known, Now: p.now(), Random: w.random.Float64})
		if w.Params.WrapDesk != nil {
			p.desk = w.Params.WrapDesk(p.desk)
		}
		p.tick(p.life, coreParams().Pull/3)
	default:
		p.node = relay.New(relay.Options{Params: w.nodeParams(), ID: p.id, Life: fmt.Sprintf("%s.%d", p.id, p.life), Zone: p.zone, Address: p.address, Seeds: w.seeds(), Now: p.now(), Random: w.random.Float64})
		if w.Params.WrapNode != nil {
			p.node = w.Params.WrapNode(p.node)
		}
		p.tick(p.life, coreParams().Pull/3)
	}
}

func (p *process) tick(life int, every time.Duration) {
	if p.life != life || !p.alive {
		return
	}
	if !p.frozen {
		switch {
		case p.disk != nil:
			p.takeCore(p.core.Tick(p.now()))
		case p.isDesk:
			p.takeDesk(p.desk.Tick(p.now()))
		default:
			p.takeNode(p.node.Tick(p.now()))
		}
	}
	p.world.after(every, func() { p.tick(life, every) })
}

// do runs a step now, or when a frozen process wakes.
func (p *process) do(step func()) {
	switch {
	case !p.alive:
	case p.frozen:
		if len(p.backlog) < 4096 {
			p.backlog = append(p.backlog, step)
		}
	default:
		step()
	}
}

func (p *process) kill() {
	if !p.alive {
		return
	}
	p.alive, p.frozen, p.backlog = false, false, nil
	p.life++
	if p.disk != nil {
		// What was under way to the disk may or may not have got there.
		for _, batch := range p.disk.pending {
			if p.world.chance(0.5) {
				break
			}
			for _, c := range batch {
				p.disk.stored.Apply(reopenChange(c))
			}
		}
	}
	for _, ticket := range ordered.Keys(p.ways) {
		p.ways[ticket].lost()
	}
	if p.ways != nil {
		p.ways = map[uint64]*way{}
	}
}

// powerOff loses all that was not synced.
func (p *process) powerOff() {
	if p.disk != nil {
		p.disk.pending = nil
	}
	p.kill()
}

func (p *process) wake() {
	if !p.alive || !p.frozen {
		return
	}
	p.frozen = false
	backlog := p.backlog
	p.backlog = nil
	for _, step := range backlog {
		p.do(step)
	}
}

// wipe empties the folder of a process that does not run.
func (p *process) wipe() {
	if p.disk != nil {
		p.disk = p.world.emptyDisk(p.id)
	}
	if p.isDesk {
		p.known = map[string]desk.Listed{}
	}
}

func (w *World) isCut(from, to string) bool { return w.cut[[2]string{from, to}] > 0 }

// send carries a message. Streams keep their order for each pair, unless the
// connection is lost: then what follows may be faster.
func (w *World) send(from *process, to string, body any) {
	w.Counts["messages"]++
	if w.Params.Alter != nil {
		var pass bool
		if body, pass = w.Params.Alter(from.id, w.idOf(to), body); !pass {
			return
		}
	}
	raw := message.Pack(body)
	pair := [2]string{from.address, to}
	if w.isCut(from.address, to) {
		return
	}
	if w.chance(w.Params.Loss) {
		delete(w.last, pair)
		return
	}
	delay := w.delay()
	if w.chance(0.005) {
		delay += w.between(0, 60*time.Millisecond)
	}
	at := max(w.now+delay, w.last[pair])
	w.last[pair] = at
	w.after(at-w.now, func() {
		target := w.processes[to]
		if target == nil || !target.alive {
			return
		}
		target.do(func() { target.receive(from.address, raw) })
	})
}

func (w *World) idOf(address string) string {
	if p := w.processes[address]; p != nil {
		return p.id
	}
	return ""
}

func (p *process) receive(from string, raw []byte) {
	value, err := message.Open(raw)
	if err != nil {
		panic(err)
	}
	switch {
	case p.disk != nil:
		p.takeCore(p.core.Receive(p.now(), from, value))
	case p.isDesk:
		p.takeDesk(p.desk.Receive(p.now(), from, value))
	default:
		p.takeNode(p.node.Receive(p.now(), from, value))
	}
}

func (p *process) takeCore(o core.Output) {
	d := p.disk
	if len(o.Changes) > 0 {
		d.pending = append(d.pending, o.Changes)
		d.issued++
	}
	for _, s := range o.Sends {
		if s.Synced && d.issued > d.synced {
			d.held = append(d.held, held{after: d.issued, send: s})
			continue
		}
		p.sendCore(s)
	}
	p.sync()
}

func (p *process) sendCore(s core.Send) {
	if s.To == p.address {
		value, err := message.Open(message.Pack(s.Body))
		if err != nil {
			panic(err)
		}
		p.takeCore(p.core.Receive(p.now(), p.address, value))
		return
	}
	p.world.send(p, s.To, s.Body)
}

func (p *process) sync() {
	d, w := p.disk, p.world
	if d.busy || len(d.pending) == 0 {
		return
	}
	d.busy = true
	count, upto, life := len(d.pending), d.issued, p.life
	w.Counts["syncs"]++
	w.after(w.between(300*time.Microsecond, 3*time.Millisecond), func() {
		if p.life != life {
			return
		}
		p.do(func() {
			for _, batch := range d.pending[:count] {
				for _, c := range batch {
					d.stored.Apply(reopenChange(c))
				}
			}
			d.pending = d.pending[count:]
			d.busy, d.synced = false, upto
			ready := d.held
			d.held = nil
			for _, h := range ready {
				if h.after <= d.synced {
					p.sendCore(h.send)
				} else {
					d.held = append(d.held, h)
				}
			}
			p.sync()
		})
	})
}

func reopenChange(c core.Change) core.Change {
	var fresh core.Change
	if err := message.Unmarshal(message.Marshal(c), &fresh); err != nil {
		panic(err)
	}
	return fresh
}

// takeDesk carries out what a desk wants done. Changes of its list are on its
// disk before anybody hears of them.
func (p *process) takeDesk(o desk.Output) {
	for _, l := range o.Changes {
		p.known[l.Replica.ID] = l
	}
	for _, s := range o.Sends {
		p.world.send(p, s.To, s.Body)
	}
	for _, a := range o.Answers {
		if call, ok := p.calls[a.Ticket]; ok {
			delete(p.calls, a.Ticket)
			call(a.Body)
		}
	}
}

func (p *process) takeNode(o relay.Output) {
	for _, s := range o.Sends {
		p.world.send(p, s.To, s.Body)
	}
	for _, r := range o.Returns {
		if at, ok := p.ways[r.Ticket]; ok {
			at.step(r.Step)
		}
	}
}

// operate runs a call at a desk. Its answer may never come.
func (w *World) operate(at *process, step func(d Desk, now time.Duration, ticket uint64) desk.Output, done func(body any)) {
	w.after(w.delay(), func() {
		at.do(func() {
			at.next++
			at.calls[at.next] = func(body any) { w.after(w.delay(), func() { done(body) }) }
			at.takeDesk(step(at.desk, at.now(), at.next))
		})
	})
}

func (w *World) anyDesk() *process {
	var list []*process
	for _, s := range w.stores {
		if s.desk != nil && !s.gone {
			list = append(list, s.desk)
		}
	}
	return list[w.random.IntN(len(list))]
}

// trouble notes that a machine is harmed; the returned end is called when it no
// longer is. Whoever is in trouble is not judged by bounds in time.
func (w *World) trouble(who string) (end func()) {
	w.Record.Troubles = append(w.Record.Troubles, Trouble{Who: who, From: w.now, Until: -1})
	at, over := len(w.Record.Troubles)-1, false
	return func() {
		if !over {
			over = true
			w.Record.Troubles[at].Until = w.now
		}
	}
}

// Pass lets time pass.
func (w *World) Pass(d time.Duration) { w.run(w.now + d) }

// Summary lists what was counted, in order.
func (w *World) Summary() []string {
	var lines []string
	for _, name := range ordered.Keys(w.Counts) {
		lines = append(lines, fmt.Sprintf("%s: %d", name, w.Counts[name]))
	}
	return lines
}

func (w *World) readyNode() *process {
	var ready []*process
	for _, n := range w.nodes {
		if n.alive && !n.frozen && n.node.Ready(n.now()) {
			ready = append(ready, n)
		}
	}
	if len(ready) == 0 || w.chance(0.05) {
		return w.nodes[w.random.IntN(len(w.nodes))]
	}
	return ready[w.random.IntN(len(ready))]
}

func (w *World) coreOf(owned int) *store {
	for _, s := range w.stores {
		if s.core.alive && !s.core.frozen && s.core.core.Founded() && slices.Contains(s.core.core.Owned(s.core.now()), owned) {
			return s
		}
	}
	return nil
}
