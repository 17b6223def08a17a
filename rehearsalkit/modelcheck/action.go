// Package modelcheck explores the reachable states of a group of partition machines
// (rule/partition) and checks safety properties in each. The state machine is the shipped one; the
// network, the disks, the clocks and the callers are modelled. Applying an action never changes its
// World, so that traces and workers can share states. Start reading at World, Action, Scenario and
// Explore.
package modelcheck

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Kinds of actions.
const (
	// Advance advances true time by one quantum.
	Advance = "advance"
	// Tick calls a machine's periodic step.
	Tick = "tick"
	// Deliver leaves the answer to a message in flight, Exchange delivers it too.
	Deliver  = "deliver"
	Exchange = "exchange"
	// Duplicate keeps the delivered message in flight. A message that is never delivered is lost.
	Duplicate = "duplicate"
	// Sync completes a sync of a disk.
	Sync = "sync"
	// Reboot is Crash followed by Restart. Count unsynced records survive on the disk.
	Reboot  = "reboot"
	Crash   = "crash"
	Restart = "restart"
	// Lose removes a process and its disk permanently.
	Lose = "lose"
	// Skew advances one clock by one quantum, the whole drift allowed for a lease.
	Skew = "skew"
	// Propose proposes an order, ChangeMembers a change of members; both go to a leader. Leave
	// makes it transfer its leadership.
	Propose       = "propose"
	ChangeMembers = "regroup"
	Leave         = "leave"
	// BeginRead samples the clock and freezes the process. AnswerRead executes the read.
	BeginRead  = "begin read"
	AnswerRead = "answer read"
)

// Action is one step. A message is identified by sender, receiver, kind, and its index among the
// messages in flight with the same three.
type Action struct {
	Kind    string `json:"kind"`
	Member  string `json:"seat,omitempty"`
	From    string `json:"from,omitempty"`
	Message string `json:"message,omitempty"`
	// Count is the index of a message, order or change, or how many unsynced records survive.
	Count int `json:"count,omitempty"`
}

func (a Action) String() string {
	switch a.Kind {
	case Advance:
		return a.Kind
	case Deliver, Exchange, Duplicate:
		return fmt.Sprintf("%s %s %s>%s #%d", a.Kind, a.Message, a.From, a.Member, a.Count)
	case Propose, ChangeMembers, Reboot, Crash:
		return fmt.Sprintf("%s %s #%d", a.Kind, a.Member, a.Count)
	}
	return a.Kind + " " + a.Member
}

// ErrImpossible reports that an action is not possible in a state.
var ErrImpossible = errors.New("not possible in this state")

// Apply returns the state after an action, or ErrImpossible. It leaves w unchanged.
func (w *World) Apply(a Action) (*World, error) {
	next := w.successor()
	if a.Kind == Advance {
		next.now += quantum
		next.usage.Advances++
		next.checkState()
		return next, nil
	}
	i := w.indexOf(a.Member)
	if w.processes[i].lost || (w.frozen(a.Member) && a.Kind != AnswerRead) {
		return nil, errors.Wrap(ErrImpossible, a.String())
	}
	down := w.processes[i].machine == nil
	if down != (a.Kind == Restart) && a.Kind != Lose {
		return nil, errors.Wrap(ErrImpossible, a.String())
	}
	p := next.mutableProcess(a.Member)
	if err := next.act(p, a); err != nil {
		return nil, err
	}
	next.checkState()
	return next, nil
}

func (w *World) act(p *process, a Action) error {
	now := w.now + p.skew
	switch a.Kind {
	case Tick:
		w.perform(p, p.machine.Tick(now))
	case Deliver, Exchange, Duplicate:
		return w.deliver(p, a)
	case Sync:
		w.sync(p)
	case Reboot, Crash, Restart, Lose:
		return w.fail(p, a)
	case Skew:
		p.skew += quantum
		w.usage.Skews++
	case Propose:
		w.perform(p, p.machine.Propose(now, w.orderRequestID(a.Count), w.scenario.Orders[a.Count]))
	case ChangeMembers:
		change := w.scenario.Changes[a.Count]
		w.usage.Changes++
		w.perform(p, p.machine.ChangeMembers(now, uint64(changeRequestID+a.Count), change.Add, change.Remove))
	case Leave:
		w.usage.Leaves++
		w.perform(p, p.machine.ReleaseLeadership(now))
	case BeginRead:
		w.reading = reading{Member: p.member, Sampled: now, Latest: w.history.latest}
	case AnswerRead:
		if !w.frozen(p.member) {
			return errors.Wrap(ErrImpossible, a.String())
		}
		w.answerRead(p)
	default:
		return errors.Newf("unknown kind of action %q", a.Kind)
	}
	return nil
}

func (w *World) fail(p *process, a Action) error {
	if a.Count > len(p.pending) {
		return errors.Wrap(ErrImpossible, a.String())
	}
	switch a.Kind {
	case Reboot:
		w.usage.Reboots++
		p.crash(a.Count)
		p.start(w.now)
	case Crash:
		w.usage.Crashes++
		p.crash(a.Count)
	case Restart:
		p.start(w.now)
	case Lose:
		w.usage.Losses++
		p.machine, p.pending, p.awaitingSync, p.lost = nil, nil, nil, true
		w.dropMessagesTo(p.member)
	}
	return nil
}

func (w *World) dropMessagesTo(member string) {
	kept := w.network[:0]
	for _, f := range w.network {
		if f.packet.To != member {
			kept = append(kept, f)
		}
	}
	w.network = kept
}

func (w *World) deliver(p *process, a Action) error {
	at := w.findMessage(a)
	if at < 0 {
		return errors.Wrap(ErrImpossible, a.String())
	}
	msg := w.network[at].packet
	if a.Kind == Duplicate {
		w.usage.Duplicates++
	} else {
		w.network = append(w.network[:at:at], w.network[at+1:]...)
	}
	before := len(w.network)
	w.perform(p, p.machine.Receive(w.now+p.skew, msg.From, msg.Body))
	if a.Kind == Exchange {
		return w.deliverAnswers(p.member, msg.From, before)
	}
	for _, f := range w.network[before:] {
		if f.packet.To == msg.From {
			w.usage.Delays++
			return w.checkPossible(a, w.usage.Delays <= w.scenario.Bounds.Delays)
		}
	}
	return nil
}

func (w *World) checkPossible(a Action, possible bool) error {
	if !possible {
		return errors.Wrap(ErrImpossible, a.String())
	}
	return nil
}

// deliverAnswers delivers the messages between two processes, from index before on.
func (w *World) deliverAnswers(from, to string, before int) error {
	if other := w.processes[w.indexOf(to)]; other.machine == nil || w.frozen(to) {
		return errors.Wrap(ErrImpossible, "the sender cannot receive the answer")
	}
	sent := append([]inFlight(nil), w.network[before:]...)
	w.network = w.network[:before:before]
	var answers []packet
	for _, f := range sent {
		if f.packet.From == from && f.packet.To == to {
			answers = append(answers, f.packet)
		} else {
			w.network = append(w.network, f)
		}
	}
	if len(answers) == 0 {
		return errors.Wrap(ErrImpossible, "the message was not answered")
	}
	other := w.mutableProcess(to)
	for _, answer := range answers {
		w.perform(other, other.machine.Receive(w.now+other.skew, from, answer.Body))
	}
	return nil
}

// findMessage returns -1 if the message is not in flight.
func (w *World) findMessage(a Action) int {
	count := 0
	for i, f := range w.network {
		if f.packet.From == a.From && f.packet.To == a.Member && f.packet.kind() == a.Message {
			if count == a.Count {
				return i
			}
			count++
		}
	}
	return -1
}

// hasNoEffect reports whether a delivery changed only the network. Such a state need not be
// explored: losing the message instead leads to the same successors.
func (w *World) hasNoEffect(before *World, a Action) bool {
	if a.Message == "" || len(w.network) > len(before.network) || w.history != before.history || w.violated != nil {
		return false
	}
	inFlightBefore := map[digest]int{}
	for _, f := range before.network {
		inFlightBefore[f.digests[0]]++
	}
	for _, f := range w.network {
		if inFlightBefore[f.digests[0]]--; inFlightBefore[f.digests[0]] < 0 {
			return false
		}
	}
	for i, p := range w.processes {
		former := before.processes[i]
		if p != former && p.digestFor(w.scenario.renamings, 0) != former.digestFor(w.scenario.renamings, 0) {
			return false
		}
	}
	return true
}

// Actions returns the actions within the bounds. Apply may still refuse some of them.
func (w *World) Actions() []Action {
	list := w.messageActions()
	bounds := &w.scenario.Bounds
	for _, p := range w.processes {
		switch {
		case p.lost:
		case p.machine == nil:
			list = append(list, Action{Kind: Restart, Member: p.member})
		case w.frozen(p.member):
			list = append(list, Action{Kind: AnswerRead, Member: p.member})
		default:
			list = append(list, Action{Kind: Tick, Member: p.member})
			list = append(list, w.faultActions(p)...)
			list = append(list, w.requestActions(p)...)
		}
	}
	if w.usage.Advances < bounds.Advances {
		list = append(list, Action{Kind: Advance})
	}
	return list
}

func (w *World) messageActions() []Action {
	var list []Action
	counts := map[Action]int{}
	seen := map[digest]bool{}
	for _, f := range w.network {
		name := Action{Member: f.packet.To, From: f.packet.From, Message: f.packet.kind()}
		a := name
		a.Count = counts[name]
		counts[name]++
		if receiver := w.processes[w.indexOf(a.Member)]; seen[f.digests[0]] || receiver.machine == nil || w.frozen(a.Member) {
			continue
		}
		seen[f.digests[0]] = true
		for _, kind := range w.deliveryKinds() {
			a.Kind = kind
			list = append(list, a)
		}
	}
	return list
}

func (w *World) deliveryKinds() []string {
	bounds := &w.scenario.Bounds
	kinds := []string{Exchange, Deliver}
	if w.usage.Duplicates < bounds.Duplicates {
		kinds = append(kinds, Duplicate)
	}
	return kinds
}

func (w *World) faultActions(p *process) []Action {
	var list []Action
	bounds := &w.scenario.Bounds
	if len(p.pending) > 0 {
		list = append(list, Action{Kind: Sync, Member: p.member})
	}
	for kept := 0; kept <= len(p.pending); kept++ {
		if w.usage.Reboots < bounds.Reboots {
			list = append(list, Action{Kind: Reboot, Member: p.member, Count: kept})
		}
		if w.usage.Crashes < bounds.Crashes {
			list = append(list, Action{Kind: Crash, Member: p.member, Count: kept})
		}
	}
	if w.usage.Losses < bounds.Losses && w.canLose(p.member) {
		list = append(list, Action{Kind: Lose, Member: p.member})
	}
	if w.usage.Skews < bounds.Skews && p.skew == 0 && p.machine.Group().Epoch > 0 {
		list = append(list, Action{Kind: Skew, Member: p.member})
	}
	return list
}

func (w *World) requestActions(p *process) []Action {
	if !p.leads(w.now) {
		return nil
	}
	var list []Action
	bounds := &w.scenario.Bounds
	for i := range w.scenario.Orders {
		// Orders differ only in their values, so they are first proposed in one order only.
		if w.usage.Attempts[i] < bounds.Attempts && (i == 0 || w.usage.Attempts[i-1] > 0) {
			list = append(list, Action{Kind: Propose, Member: p.member, Count: i})
		}
	}
	if w.usage.Changes < len(w.scenario.Changes) {
		list = append(list, Action{Kind: ChangeMembers, Member: p.member, Count: w.usage.Changes})
	}
	if w.usage.Leaves < bounds.Leaves {
		list = append(list, Action{Kind: Leave, Member: p.member})
	}
	if bounds.Reads && w.reading.Member == "" {
		list = append(list, Action{Kind: BeginRead, Member: p.member})
	}
	return list
}

// canLose reports whether each group that may still decide keeps a majority.
func (w *World) canLose(member string) bool {
	alive := map[string]bool{}
	for _, p := range w.processes {
		alive[p.member] = !p.lost && p.member != member
	}
	if !isQuorum(w.history.group, alive) {
		return false
	}
	for _, p := range w.processes {
		if g := p.disk.Group; !w.history.group.Before(g) || g.Epoch == 0 {
			continue
		} else if !isQuorum(g, alive) {
			return false
		}
	}
	return true
}
