package node

import (
	"fmt"
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/ordered"
	"saffronfall/rule/slab"
	"saffronfall/rule/verdict"
)

// asked is an inquiry that was passed to its owner.
type asked struct {
	way    *way
	to     string
	member core.Member
	next   int
	until  time.Duration
	again  time.Duration
	taken  bool
}

// servedWay is one that came from another node.
type servedWay struct {
	ticket slab.Ticket
	until  time.Duration
}

func (m *Machine) forward(now time.Duration, w *way, owner core.Member) {
	if w.passed {
		m.refuse(w, denied(notOwner, "this node does not own the program", 503))
		return
	}
	if owner.ID == m.params.ID {
		delete(m.owners, w.tenant+"/"+w.inquiry.Program)
		m.refuse(w, unsure("the program is changing hands"))
		return
	}
	a := &asked{way: w, to: owner.Peer, member: owner, until: w.until, next: 1}
	w.asked = m.asked.Put(a)
	m.open[w.asked] = a
	m.Counters.Forwarded++
	m.sendForward(now, w.asked, a)
}

func (m *Machine) sendForward(now time.Duration, t slab.Ticket, a *asked) {
	a.again = now + m.params.Core.AttemptTimeout
	q := a.way.inquiry
	q.Budget = a.until - now
	m.send(a.to, Forward{ID: m.caller.MessageID(t), Inquiry: q})
}

func (m *Machine) onForward(now time.Duration, from string, b Forward) {
	key := fmt.Sprintf("%s#%d", from, b.ID)
	if _, ok := m.served[key]; ok {
		return
	}
	number := 0
	m.served[key] = &servedWay{until: now + b.Inquiry.Budget + m.params.Core.MemberLease}
	m.send(from, Pieced{ID: b.ID, Number: number, Piece: Piece{Kind: PieceTaken}})
	t := m.begin(now, b.Inquiry, true, func(p Piece) {
		number++
		m.send(from, Pieced{ID: b.ID, Number: number, Piece: p})
	})
	m.served[key].ticket = t
}

func (m *Machine) onWithdraw(now time.Duration, from string, b Withdraw) {
	key := fmt.Sprintf("%s#%d", from, b.ID)
	s, ok := m.served[key]
	if !ok {
		m.served[key] = &servedWay{until: now + m.params.Budget + m.params.Core.MemberLease}
		return
	}
	m.abandon(now, s.ticket)
}

func (m *Machine) onPieced(now time.Duration, from string, b Pieced) {
	t := m.caller.Ticket(b.ID)
	a, ok := m.asked.Get(t)
	if !ok || a.to != from {
		return
	}
	a.taken = true
	if b.Piece.Kind == PieceTaken {
		return
	}
	if b.Number != a.next {
		m.loseAsked(now, t, a)
		return
	}
	a.next++
	w := a.way
	if !b.Piece.Last() {
		w.opened = w.opened || b.Piece.Kind == PieceOpen
		if !w.over {
			w.give(b.Piece)
		}
		return
	}
	m.asked.Take(t)
	delete(m.open, t)
	key := w.tenant + "/" + w.inquiry.Program
	if b.Piece.Kind == PieceVerdict && b.Piece.Verdict.Code == notOwner {
		// It surely did not run there. Find out who owns it now, and go on.
		delete(m.owners, key)
		if w.hops++; w.hops > mostHops || w.over {
			m.refuse(w, unsure("the program is changing hands"))
			return
		}
		m.later.Add(now+m.params.Core.PullInterval/4, func(now time.Duration) { m.locate(now, w) })
		return
	}
	m.end(w, b.Piece)
}

// notOwner is said between nodes only.
const notOwner = "not_owner"

const mostHops = 12

// loseAsked ends an inquiry whose owner fell silent or whose pieces have a
// gap: a stream is broken, and anything else may have run.
func (m *Machine) loseAsked(now time.Duration, t slab.Ticket, a *asked) {
	m.asked.Take(t)
	delete(m.open, t)
	m.send(a.to, Withdraw{ID: m.caller.MessageID(t)})
	delete(m.owners, a.way.tenant+"/"+a.way.inquiry.Program)
	ran := verdict.MaybeExecuted
	if a.way.inquiry.Kind == Look || a.way.inquiry.Kind == Close {
		ran = verdict.NotExecuted
	}
	wait := m.params.Core.MemberLease
	if m.hasEnded(a.member.ID, a.member.Incarnation) {
		wait = m.params.Core.PullInterval
	}
	v := verdict.Refused(verdict.Refusal{Check: "owner", Code: "owner_silent", Reason: "the program's owner gave no whole return", Status: 503, Ran: ran, RetryAfter: wait})
	if now >= a.way.until {
		v = late(ran)
	}
	m.refuse(a.way, v)
}

func (m *Machine) breakFrom(now time.Duration, o core.Member) {
	for _, t := range m.openAsked() {
		a := m.open[t]
		switch {
		case a.member.ID != o.ID || !o.HasEnded(a.member.Incarnation):
		case a.taken:
			m.loseAsked(now, t, a)
		default:
			// One that left in good order still says that it is not the owner.
			m.later.Add(now+2*m.params.Core.AttemptTimeout, func(now time.Duration) {
				if still, ok := m.asked.Get(t); ok && still == a {
					m.loseAsked(now, t, a)
				}
			})
		}
	}
}

func (m *Machine) openAsked() []slab.Ticket {
	return ordered.Keys(m.open)
}
