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

// kind names the message type in actions and traces. Stored traces fix the names.
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

// inFlight is a packet with its digests under each renaming.
type inFlight struct {
	packet  packet
	digests []digest
}

// usage counts how much of a scenario's bounds is used.
type usage struct {
	Advances, Reboots, Crashes, Losses, Duplicates, Skews, Leaves, Changes, Delays int
	// Attempts counts the proposals of each order.
	Attempts [4]int
}

// World is one state: processes, messages in flight, and what callers observed. It shares unchanged
// parts with its successors.
type World struct {
	scenario  *Scenario
	now       time.Duration
	processes []*process
	network   []inFlight
	usage     usage
	history   *history
	reading   reading
	// violated is the first property that the step to this state violated.
	violated *Violation

	// copied marks the processes cloned in the current step.
	copied map[int]bool
}

// reading is a read whose process was frozen after it sampled its clock.
type reading struct {
	Member  string
	Sampled time.Duration
	// Latest is the highest number acknowledged at that time.
	Latest uint64
	// Executed reports that the read was executed and that the process runs again.
	Executed bool
}

func (w *World) frozen(member string) bool { return w.reading.Member == member && !w.reading.Executed }

func newWorld(scenario *Scenario) *World {
	w := &World{scenario: scenario, history: &history{values: map[uint64]string{}, refused: map[string]bool{}}, copied: map[int]bool{}}
	founding := partition.Group{Epoch: 1, Members: scenario.Members}
	for _, member := range scenario.Members {
		p := &process{member: member, disk: partition.State{Group: founding}}
		p.start(0)
		w.processes = append(w.processes, p)
	}
	for _, member := range scenario.Spares {
		p := &process{member: member}
		p.start(0)
		w.processes = append(w.processes, p)
	}
	return w
}

func (w *World) successor() *World {
	fresh := *w
	fresh.processes = append([]*process(nil), w.processes...)
	fresh.network = append([]inFlight(nil), w.network...)
	fresh.copied = map[int]bool{}
	return &fresh
}

func (w *World) indexOf(member string) int {
	for i, p := range w.processes {
		if p.member == member {
			return i
		}
	}
	panic("modelcheck: no process " + member)
}

// mutableProcess returns the current step's own copy of a process.
func (w *World) mutableProcess(member string) *process {
	i := w.indexOf(member)
	if !w.copied[i] {
		w.copied[i] = true
		w.processes[i] = w.processes[i].clone()
	}
	return w.processes[i]
}

func (w *World) recordViolation(v *Violation) {
	if w.violated == nil && v != nil {
		w.violated = v
	}
}

// perform carries out output as the shipped process does: records, then messages, then results. A
// machine's messages to itself are delivered at once.
func (w *World) perform(p *process, out partition.Output) {
	if len(out.Records) > 0 && p.slow {
		p.pending = append(p.pending, out.Records...)
	} else if len(out.Records) > 0 {
		p.writeDisk(out.Records)
	}
	for _, send := range out.Sends {
		msg := packet{From: p.member, To: send.To, Body: send.Body}
		if send.AfterSync && len(p.pending) > 0 {
			p.awaitingSync = append(p.awaitingSync, msg)
			continue
		}
		w.send(p, msg)
	}
	for _, r := range out.Results {
		w.handleResult(p, r)
	}
	w.checkCommittedGroup(p)
}

func (w *World) send(p *process, msg packet) {
	if msg.To == p.member {
		w.perform(p, p.machine.Receive(w.now+p.skew, p.member, msg.Body))
		return
	}
	for _, other := range w.processes {
		if other.member == msg.To && !other.lost {
			w.network = append(w.network, w.newInFlight(msg))
		}
	}
}

func (w *World) newInFlight(msg packet) inFlight {
	f := inFlight{packet: msg}
	for _, renaming := range w.scenario.renamings {
		f.digests = append(f.digests, digestOf(renaming, msg))
	}
	return f
}

// sync syncs all pending records, then sends the messages that waited for them.
func (w *World) sync(p *process) {
	awaitingSync := p.awaitingSync
	p.writeDisk(p.pending)
	p.pending, p.awaitingSync = nil, nil
	for _, msg := range awaitingSync {
		if len(p.pending) > 0 {
			p.awaitingSync = append(p.awaitingSync, msg)
			continue
		}
		w.send(p, msg)
	}
}

// Request ids encode an order and its attempt, a change of members, or a read.
const (
	requestIDsPerOrder = 16
	changeRequestID    = 1000
	readRequestID      = 2000
)

// orderRequestID counts an attempt at an order and returns its request id.
func (w *World) orderRequestID(n int) uint64 {
	attempt := w.usage.Attempts[n]
	w.usage.Attempts[n]++
	return uint64(n*requestIDsPerOrder + attempt)
}

// handleResult records a result as its caller observes it.
func (w *World) handleResult(p *process, r partition.Result) {
	switch {
	case r.RequestID >= readRequestID:
		w.checkAnsweredRead(p, r)
	case r.NotLeader || r.Uncertain:
	case r.RequestID >= changeRequestID:
		if r.Body == true {
			w.checkChangeDone(p, w.scenario.Changes[r.RequestID-changeRequestID])
		}
	default:
		order := w.scenario.Orders[r.RequestID/requestIDsPerOrder]
		var violated *Violation
		if r.Body.(OrderResult).OK {
			w.history, violated = w.history.recordValue(order.Number, order.Value, "acknowledged by "+p.member)
		} else {
			w.history, violated = w.history.recordRefusal(order)
		}
		w.recordViolation(violated)
	}
}

func (w *World) checkChangeDone(p *process, change Change) {
	fresh := *w.history
	fresh.changed++
	w.history = &fresh
	group := p.machine.Group()
	if committed, ok := p.machine.CommittedGroup(); ok {
		group = committed
	}
	final := len(group.Former) == 0
	for _, member := range group.Members {
		final = final && member != change.Remove
	}
	if !final || !isMajority(group.Members, w.membersWithGroup(group)) {
		w.recordViolation(violation(ChangeDone, "%s reported %v done with members %v, former members %v",
			p.member, change, group.Members, group.Former))
	}
}

// membersWithGroup returns the members whose disks hold the group or a later one.
func (w *World) membersWithGroup(group partition.Group) map[string]bool {
	set := map[string]bool{}
	for _, p := range w.processes {
		set[p.member] = p.disk.Group.Epoch > 0 && !p.disk.Group.Before(group)
	}
	return set
}

// checkCommittedGroup checks the group that a machine considers committed.
func (w *World) checkCommittedGroup(p *process) {
	group, ok := p.machine.CommittedGroup()
	if !ok || !p.committed.Before(group) {
		return
	}
	p.committed = group
	if !isQuorum(group, w.membersWithGroup(group)) {
		w.recordViolation(violation(QuorumsIntersect, "%s considers members %v, former members %v committed without a quorum",
			p.member, group.Members, group.Former))
	}
	var violated *Violation
	w.history, violated = w.history.recordGroup(group)
	w.recordViolation(violated)
}

// fingerprint returns the smallest digest under all renamings, so that states which differ only by
// a renaming count as one.
func (w *World) fingerprint() digest {
	var smallest digest
	for n, renaming := range w.scenario.renamings {
		sum := digestOf(renaming, w.now, w.usage, w.reading, *w.history)
		for _, p := range w.processes {
			sum = sum.plus(p.digestFor(w.scenario.renamings, n))
		}
		for _, f := range w.network {
			sum = sum.plus(f.digests[n])
		}
		if n == 0 || sum.less(smallest) {
			smallest = sum
		}
	}
	return smallest
}

// String describes the state in one line.
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
		case p.leads(w.now):
			state = "owner" // the printed label of a leader
		}
		stored := Register{}
		if e, ok := p.disk.Entries[registerKey]; ok {
			stored = decode[Register](e.Value)
		}
		fmt.Fprintf(&text, " %s %s promised %d.%s stored %d %q;",
			p.member, state, p.disk.Promised.Round, p.disk.Promised.Leader, stored.Number, stored.Value)
	}
	fmt.Fprintf(&text, " %d in flight", len(w.network))
	return text.String()
}
