package modelcheck

import (
	"fmt"
	"strings"
	"time"

	"saffronfall/rule/partition"
)

// packet is a message between processes.
type packet struct {
	From, To string
	Body     any
}

// kind names the message of a packet in actions and traces.
func (p packet) kind() string {
	switch p.Body.(type) {
	case partition.Prepare:
		return "Stand"
	case partition.Promise:
		return "Promise"
	case partition.Reject:
		return "Refuse"
	case partition.Write:
		return "Write"
	case partition.WriteAck:
		return "Taken"
	case partition.RenewLease:
		return "Renew"
	case partition.LeaseAck:
		return "Renewed"
	case partition.TermDurable:
		return "TermDurable"
	case partition.TransferLeadership:
		return "Handover"
	}
	panic(fmt.Sprintf("modelcheck: message of unknown type %T", p.Body))
}

// flying is a packet in flight with its digests, which never change.
type flying struct {
	packet  packet
	digests []digest
}

// spent is how much of a scenario's bounds a world has used.
type spent struct {
	Advances, Reboots, Crashes, Losses, Duplicates, Skews, Leaves, Changes, Delays int
	// Attempts has how often each order was proposed.
	Attempts [4]int
}

// World is one state: all processes, the messages in flight, and what was seen
// from outside. Successors share with it what did not change.
type World struct {
	scenario  *Scenario
	now       time.Duration
	processes []*process
	network   []flying
	spent     spent
	book      *book
	// reading is the read that was begun and is not answered yet.
	reading reading
	// broken is the first property that the step to this state broke.
	broken *Violation

	// touched are the processes that the running step has copied already.
	touched map[int]bool
}

// reading is a read whose process froze after it looked at its clock.
type reading struct {
	Seat    string
	Sampled time.Duration
	Latest  uint64
	// Asked: the process runs again, and the read waits for what it rests on.
	Asked bool
}

// frozen reports whether a process stands still after a look at its clock.
func (w *World) frozen(seat string) bool { return w.reading.Seat == seat && !w.reading.Asked }

func newWorld(scenario *Scenario) *World {
	w := &World{scenario: scenario, book: &book{values: map[uint64]string{}, refused: map[string]bool{}}, touched: map[int]bool{}}
	founding := partition.Group{Epoch: 1, Members: scenario.Members}
	for _, seat := range scenario.Members {
		p := &process{seat: seat, disk: partition.State{Group: founding}}
		p.start(0)
		w.processes = append(w.processes, p)
	}
	for _, seat := range scenario.Spares {
		p := &process{seat: seat}
		p.start(0)
		w.processes = append(w.processes, p)
	}
	return w
}

// next is a copy of the world for one more step.
func (w *World) next() *World {
	fresh := *w
	fresh.processes = append([]*process(nil), w.processes...)
	fresh.network = append([]flying(nil), w.network...)
	fresh.touched = map[int]bool{}
	return &fresh
}

func (w *World) find(seat string) int {
	for i, p := range w.processes {
		if p.seat == seat {
			return i
		}
	}
	panic("modelcheck: no process " + seat)
}

// touch gives the running step its own copy of a process.
func (w *World) touch(seat string) *process {
	i := w.find(seat)
	if !w.touched[i] {
		w.touched[i] = true
		w.processes[i] = w.processes[i].clone()
	}
	return w.processes[i]
}

func (w *World) breaks(v *Violation) {
	if w.broken == nil && v != nil {
		w.broken = v
	}
}

// take does what a machine's step wants done, in the order of the shipped
// process: records, sends, returns. What a machine sends to itself it gets at
// once.
func (w *World) take(p *process, out partition.Output) {
	if len(out.Records) > 0 && p.slow {
		p.pending = append(p.pending, out.Records...)
	} else if len(out.Records) > 0 {
		p.store(out.Records)
	}
	for _, send := range out.Sends {
		one := packet{From: p.seat, To: send.To, Body: send.Body}
		if send.AfterSync && len(p.pending) > 0 {
			p.held = append(p.held, one)
			continue
		}
		w.send(p, one)
	}
	for _, r := range out.Results {
		w.answer(p, r)
	}
	w.observe(p)
}

func (w *World) send(p *process, one packet) {
	if one.To == p.seat {
		w.take(p, p.machine.Receive(w.now+p.skew, p.seat, one.Body))
		return
	}
	for _, other := range w.processes {
		if other.seat == one.To && !other.lost {
			w.network = append(w.network, w.launch(one))
		}
	}
}

func (w *World) launch(one packet) flying {
	f := flying{packet: one}
	for _, renaming := range w.scenario.renamings {
		f.digests = append(f.digests, digestOf(renaming, one))
	}
	return f
}

// sync brings all that was issued to the disk and sends what waited for it.
func (w *World) sync(p *process) {
	held := p.held
	p.store(p.pending)
	p.pending, p.held = nil, nil
	for _, one := range held {
		if len(p.pending) > 0 {
			p.held = append(p.held, one)
			continue
		}
		w.send(p, one)
	}
}

// Tickets of returns: an order's number and attempt, or a change of members.
const (
	ticketsPerOrder = 16
	changeTicket    = 1000
	readTicket      = 2000
)

// orderTicket is the ticket of one more attempt at an order.
func (w *World) orderTicket(n int) uint64 {
	attempt := w.spent.Attempts[n]
	w.spent.Attempts[n]++
	return uint64(n*ticketsPerOrder + attempt)
}

// answer notes a return as the one who asked sees it.
func (w *World) answer(p *process, r partition.Result) {
	switch {
	case r.RequestID >= readTicket:
		w.readAnswered(p, r)
	case r.NotLeader || r.Uncertain:
	case r.RequestID >= changeTicket:
		if r.Body == true {
			w.changeDone(p, w.scenario.Changes[r.RequestID-changeTicket])
		}
	default:
		order := w.scenario.Orders[r.RequestID/ticketsPerOrder]
		var broken *Violation
		if r.Body.(Ordered).OK {
			w.book, broken = w.book.see(order.Number, order.Value, "acknowledged by "+p.seat)
		} else {
			w.book, broken = w.book.refuse(order)
		}
		w.breaks(broken)
	}
}

// changeDone judges a change of members that was reported as done.
func (w *World) changeDone(p *process, change Change) {
	fresh := *w.book
	fresh.changed++
	w.book = &fresh
	group := p.machine.Group()
	if agreed, ok := p.machine.CommittedGroup(); ok {
		group = agreed
	}
	final := len(group.Former) == 0
	for _, seat := range group.Members {
		final = final && seat != change.Remove
	}
	if !final || !isMajority(group.Members, w.knowing(group)) {
		w.breaks(violation(ChangeDone, "%s has reported %v done with the group %v, %v", p.seat, change, group.Members, group.Former))
	}
}

// knowing are the seats whose disks have a group or a later one.
func (w *World) knowing(group partition.Group) map[string]bool {
	set := map[string]bool{}
	for _, p := range w.processes {
		set[p.seat] = p.disk.Group.Epoch > 0 && !p.disk.Group.Before(group)
	}
	return set
}

// observe looks at a machine after its step: which group it has as agreed.
func (w *World) observe(p *process) {
	group, ok := p.machine.CommittedGroup()
	if !ok || !p.agreed.Before(group) {
		return
	}
	p.agreed = group
	if !isQuorum(group, w.knowing(group)) {
		w.breaks(violation(Intersect, "%s has the group %v, %v as agreed without a quorum of it", p.seat, group.Members, group.Former))
	}
	var broken *Violation
	w.book, broken = w.book.commit(group)
	w.breaks(broken)
}

// fingerprint is the least digest of the state under all renamings.
func (w *World) fingerprint() digest {
	var least digest
	for n, renaming := range w.scenario.renamings {
		sum := digestOf(renaming, w.now, w.spent, w.reading, *w.book)
		for _, p := range w.processes {
			sum = sum.plus(p.digestUnder(w.scenario.renamings, n))
		}
		for _, f := range w.network {
			sum = sum.plus(f.digests[n])
		}
		if n == 0 || sum.less(least) {
			least = sum
		}
	}
	return least
}

// String tells a state in a few lines.
func (w *World) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "at %v:", w.now)
	for _, p := range w.processes {
		state := "up"
		switch {
		case p.lost:
			state = "lost"
		case p.machine == nil:
			state = "down"
		case p.owns(w.now):
			state = "owner"
		}
		stored := Register{}
		if e, ok := p.disk.Entries[registerKey]; ok {
			stored = decode[Register](e.Value)
		}
		fmt.Fprintf(&text, " %s %s promised %d.%s stored %d %q;", p.seat, state, p.disk.Promised.Round, p.disk.Promised.Leader, stored.Number, stored.Value)
	}
	fmt.Fprintf(&text, " %d in flight", len(w.network))
	return text.String()
}
