package modelcheck

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Kinds of actions.
const (
	// Advance lets a quantum of true time pass for all.
	Advance = "advance"
	// Tick lets a process look at its clock.
	Tick = "tick"
	// Deliver brings a message, whose answer stays in flight; Exchange also brings
	// the answer.
	Deliver  = "deliver"
	Exchange = "exchange"
	// Duplicate brings a message that stays in flight. No action drops one: a
	// message that is never delivered is lost.
	Duplicate = "duplicate"
	// Sync ends a sync of a process's disk.
	Sync = "sync"
	// Reboot ends a process and begins its next life, Crash only ends it, Restart
	// begins a life; Count unsynced records are kept.
	Reboot  = "reboot"
	Crash   = "crash"
	Restart = "restart"
	// Lose takes a process away for good, with its disk.
	Lose = "lose"
	// Skew makes a clock run fast by the whole drift of a lease.
	Skew = "skew"
	// Propose hands an order to an owner, Regroup a change of members; Leave makes
	// an owner hand over.
	Propose = "propose"
	Regroup = "regroup"
	Leave   = "leave"
	// BeginRead lets a read arrive and the clock be looked at; AnswerRead runs it.
	BeginRead  = "begin read"
	AnswerRead = "answer read"
)

// Action is one step of a world. A message is named by its sender, receiver and
// kind, and by its place among those of the same in flight.
type Action struct {
	Kind    string `json:"kind"`
	Seat    string `json:"seat,omitempty"`
	From    string `json:"from,omitempty"`
	Message string `json:"message,omitempty"`
	// Count is a message's place, an order's or change's number, or how many
	// unsynced records are kept.
	Count int `json:"count,omitempty"`
}

func (a Action) String() string {
	switch a.Kind {
	case Advance:
		return a.Kind
	case Deliver, Exchange, Duplicate:
		return fmt.Sprintf("%s %s %s>%s #%d", a.Kind, a.Message, a.From, a.Seat, a.Count)
	case Propose, Regroup, Reboot, Crash:
		return fmt.Sprintf("%s %s #%d", a.Kind, a.Seat, a.Count)
	}
	return a.Kind + " " + a.Seat
}

// ErrImpossible says that an action can't be taken in a state.
var ErrImpossible = errors.New("not possible in this state")

// Apply is the state after an action.
func (w *World) Apply(a Action) (*World, error) {
	next := w.next()
	if a.Kind == Advance {
		next.now += quantum
		next.spent.Advances++
		next.judge()
		return next, nil
	}
	i := w.find(a.Seat)
	if w.processes[i].lost || (w.frozen(a.Seat) && a.Kind != AnswerRead) {
		return nil, errors.Wrap(ErrImpossible, a.String())
	}
	down := w.processes[i].machine == nil
	if down != (a.Kind == Restart) && a.Kind != Lose {
		return nil, errors.Wrap(ErrImpossible, a.String())
	}
	p := next.touch(a.Seat)
	if err := next.act(p, a); err != nil {
		return nil, err
	}
	next.judge()
	return next, nil
}

func (w *World) act(p *process, a Action) error {
	now := w.now + p.skew
	switch a.Kind {
	case Tick:
		w.take(p, p.machine.Tick(now))
	case Deliver, Exchange, Duplicate:
		return w.carry(p, a)
	case Sync:
		w.sync(p)
	case Reboot, Crash, Restart, Lose:
		return w.fail(p, a)
	case Skew:
		p.skew += quantum
		w.spent.Skews++
	case Propose:
		w.take(p, p.machine.Propose(now, w.orderTicket(a.Count), w.scenario.Orders[a.Count]))
	case Regroup:
		change := w.scenario.Changes[a.Count]
		w.spent.Changes++
		w.take(p, p.machine.ChangeMembers(now, uint64(changeTicket+a.Count), change.Add, change.Remove))
	case Leave:
		w.spent.Leaves++
		w.take(p, p.machine.ReleaseLeadership(now))
	case BeginRead:
		w.reading = reading{Seat: p.seat, Sampled: now, Latest: w.book.latest}
	case AnswerRead:
		if !w.frozen(p.seat) {
			return errors.Wrap(ErrImpossible, a.String())
		}
		w.answerRead(p)
	default:
		return errors.Newf("no action is called %q", a.Kind)
	}
	return nil
}

// fail ends or begins a process.
func (w *World) fail(p *process, a Action) error {
	if a.Count > len(p.pending) {
		return errors.Wrap(ErrImpossible, a.String())
	}
	switch a.Kind {
	case Reboot:
		w.spent.Reboots++
		p.crash(a.Count)
		p.start(w.now)
	case Crash:
		w.spent.Crashes++
		p.crash(a.Count)
	case Restart:
		p.start(w.now)
	case Lose:
		w.spent.Losses++
		p.machine, p.pending, p.held, p.lost = nil, nil, nil, true
		w.forget(p.seat)
	}
	return nil
}

// forget removes the messages for a process that is gone for good.
func (w *World) forget(seat string) {
	kept := w.network[:0]
	for _, f := range w.network {
		if f.packet.To != seat {
			kept = append(kept, f)
		}
	}
	w.network = kept
}

// carry moves one message.
func (w *World) carry(p *process, a Action) error {
	at := w.locate(a)
	if at < 0 {
		return errors.Wrap(ErrImpossible, a.String())
	}
	one := w.network[at].packet
	if a.Kind == Duplicate {
		w.spent.Duplicates++
	} else {
		w.network = append(w.network[:at:at], w.network[at+1:]...)
	}
	before := len(w.network)
	w.take(p, p.machine.Receive(w.now+p.skew, one.From, one.Body))
	if a.Kind == Exchange {
		return w.bringAnswers(p.seat, one.From, before)
	}
	for _, f := range w.network[before:] {
		if f.packet.To == one.From {
			w.spent.Delays++
			return w.allowed(a, w.spent.Delays <= w.scenario.Bounds.Delays)
		}
	}
	return nil
}

func (w *World) allowed(a Action, yes bool) error {
	if !yes {
		return errors.Wrap(ErrImpossible, a.String())
	}
	return nil
}

// bringAnswers delivers what a process has just sent back to another.
func (w *World) bringAnswers(from, to string, before int) error {
	if other := w.processes[w.find(to)]; other.machine == nil || w.frozen(to) {
		return errors.Wrap(ErrImpossible, "nobody takes the answer")
	}
	sent := append([]flying(nil), w.network[before:]...)
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
		return errors.Wrap(ErrImpossible, "there is no answer")
	}
	other := w.touch(to)
	for _, answer := range answers {
		w.take(other, other.machine.Receive(w.now+other.skew, from, answer.Body))
	}
	return nil
}

// locate is the place of an action's message in flight, or below zero.
func (w *World) locate(a Action) int {
	count := 0
	for i, f := range w.network {
		if f.packet.From == a.From && f.packet.To == a.Seat && f.packet.kind() == a.Message {
			if count == a.Count {
				return i
			}
			count++
		}
	}
	return -1
}

// idle reports whether a message's delivery has changed nothing: all that can
// follow then can follow from the state before it, where the message is lost.
func (w *World) idle(before *World, a Action) bool {
	if a.Message == "" || len(w.network) > len(before.network) || w.book != before.book || w.broken != nil {
		return false
	}
	launched := map[digest]int{}
	for _, f := range before.network {
		launched[f.digests[0]]++
	}
	for _, f := range w.network {
		if launched[f.digests[0]]--; launched[f.digests[0]] < 0 {
			return false
		}
	}
	for i, p := range w.processes {
		former := before.processes[i]
		if p != former && p.digestUnder(w.scenario.renamings, 0) != former.digestUnder(w.scenario.renamings, 0) {
			return false
		}
	}
	return true
}

// Actions are all that the bounds allow in a state.
func (w *World) Actions() []Action {
	list := w.messageActions()
	bounds := &w.scenario.Bounds
	for _, p := range w.processes {
		switch {
		case p.lost:
		case p.machine == nil:
			list = append(list, Action{Kind: Restart, Seat: p.seat})
		case w.frozen(p.seat):
			list = append(list, Action{Kind: AnswerRead, Seat: p.seat})
		default:
			list = append(list, Action{Kind: Tick, Seat: p.seat})
			list = append(list, w.faults(p)...)
			list = append(list, w.requests(p)...)
		}
	}
	if w.spent.Advances < bounds.Advances {
		list = append(list, Action{Kind: Advance})
	}
	return list
}

func (w *World) messageActions() []Action {
	var list []Action
	counts := map[Action]int{}
	seen := map[digest]bool{}
	for _, f := range w.network {
		name := Action{Seat: f.packet.To, From: f.packet.From, Message: f.packet.kind()}
		a := name
		a.Count = counts[name]
		counts[name]++
		if receiver := w.processes[w.find(a.Seat)]; seen[f.digests[0]] || receiver.machine == nil || w.frozen(a.Seat) {
			continue
		}
		seen[f.digests[0]] = true
		for _, kind := range w.carrying() {
			a.Kind = kind
			list = append(list, a)
		}
	}
	return list
}

// carrying are the ways in which messages may be moved in a state.
func (w *World) carrying() []string {
	bounds := &w.scenario.Bounds
	kinds := []string{Exchange, Deliver}
	if w.spent.Duplicates < bounds.Duplicates {
		kinds = append(kinds, Duplicate)
	}
	return kinds
}

func (w *World) faults(p *process) []Action {
	var list []Action
	bounds := &w.scenario.Bounds
	if len(p.pending) > 0 {
		list = append(list, Action{Kind: Sync, Seat: p.seat})
	}
	for kept := 0; kept <= len(p.pending); kept++ {
		if w.spent.Reboots < bounds.Reboots {
			list = append(list, Action{Kind: Reboot, Seat: p.seat, Count: kept})
		}
		if w.spent.Crashes < bounds.Crashes {
			list = append(list, Action{Kind: Crash, Seat: p.seat, Count: kept})
		}
	}
	if w.spent.Losses < bounds.Losses && w.tolerated(p.seat) {
		list = append(list, Action{Kind: Lose, Seat: p.seat})
	}
	if w.spent.Skews < bounds.Skews && p.skew == 0 && p.machine.Group().Epoch > 0 {
		list = append(list, Action{Kind: Skew, Seat: p.seat})
	}
	return list
}

func (w *World) requests(p *process) []Action {
	if !p.owns(w.now) {
		return nil
	}
	var list []Action
	bounds := &w.scenario.Bounds
	for i := range w.scenario.Orders {
		// Orders alike but for their values come in one sequence.
		if w.spent.Attempts[i] < bounds.Attempts && (i == 0 || w.spent.Attempts[i-1] > 0) {
			list = append(list, Action{Kind: Propose, Seat: p.seat, Count: i})
		}
	}
	if w.spent.Changes < len(w.scenario.Changes) {
		list = append(list, Action{Kind: Regroup, Seat: p.seat, Count: w.spent.Changes})
	}
	if w.spent.Leaves < bounds.Leaves {
		list = append(list, Action{Kind: Leave, Seat: p.seat})
	}
	if bounds.Reads && w.reading.Seat == "" {
		list = append(list, Action{Kind: BeginRead, Seat: p.seat})
	}
	return list
}

// tolerated reports whether a loss is one that the groups promise to outlive:
// all groups that may still decide keep a majority.
func (w *World) tolerated(seat string) bool {
	alive := map[string]bool{}
	for _, p := range w.processes {
		alive[p.seat] = !p.lost && p.seat != seat
	}
	if !isQuorum(w.book.group, alive) {
		return false
	}
	for _, p := range w.processes {
		if g := p.disk.Group; !w.book.group.Before(g) || g.Epoch == 0 {
			continue
		} else if !isQuorum(g, alive) {
			return false
		}
	}
	return true
}
