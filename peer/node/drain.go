package node

import (
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/ordered"
)

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
		if !m.givingBack && m.running == 0 && m.ways.Len() == 0 {
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
	if m.running > 0 || m.ways.Len() > 0 || m.handing > 0 || (len(m.programs) > 0 && len(successors) > 0) {
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
	c := core.HandOverProgram{Tenant: h.record.Tenant, ID: h.record.ID, Fence: h.record.Fence, Node: to.ID, Incarnation: to.Incarnation, Address: to.Peer}
	m.caller.Call(now, c, now+m.params.Core.MemberLease, func(time.Duration, core.Outcome) { m.handing-- })
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
		m.caller.Call(now, command, now+m.params.Core.MemberLease/2, done)
	}
	for _, tenant := range m.tenants {
		var back core.DrawAllowances
		for _, urgent := range []bool{false, true} {
			p, rate, burst := m.paceOf(tenant, urgent)
			p.give(now, p.books.Held(), rate, burst)
			back.Draws = append(back.Draws, m.askPace(tenant, urgent, 0))
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
	m.caller.Call(now, core.LeaveMember{ID: m.params.ID, Incarnation: m.incarnation}, now+m.params.Core.MemberLease, func(now time.Duration, o core.Outcome) {
		// Until every other node has learned it, some may still pass inquiries
		// here, and are told to ask elsewhere.
		m.later.Add(now+3*m.params.Core.PullInterval, func(time.Duration) { m.left = true })
	})
}
