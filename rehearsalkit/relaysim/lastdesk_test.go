package relaysim

import (
	"testing"
	"time"

	"saffronfall/peer/desk"
)

// hastyDesk acknowledges that a replica leaves before anybody else can have heard of it.
type hastyDesk struct{ Desk }

func (d hastyDesk) Heartbeat(now time.Duration, ticket uint64, r desk.Replica) desk.Output {
	o := d.Desk.Heartbeat(now, 0, r)
	o.Answers = append(o.Answers, desk.Answer{Ticket: ticket, Body: desk.Acknowledgment{Accepted: true}})
	return o
}

// lostWords plays a run in which a desk, right after it was told that a replica leaves,
// loses its machine with all that it had sent, and counts what reaches that replica later
// than is allowed after an acknowledgement. The acknowledgement binds also where the
// machine that gave it is in trouble.
func lostWords(seed uint64, wrap func(d Desk) Desk) (acknowledged, late int) {
	p := Defaults(seed)
	p.Faults, p.Operators, p.Closing = false, 0, ""
	p.Callers = 30
	p.WrapDesk = wrap
	w := New(p)
	w.lay(w.firstTable)
	w.run(starting)
	w.Record.End = starting + 10*time.Second
	w.populate()
	w.run(w.now + 2*time.Second)
	address := w.now % 4
	leaver := w.replicas[[]string{"10.0.3.6:8080", "10.0.3.7:8080", "10.0.3.8:8080", "10.0.3.9:8080"}[(seed+uint64(address))%4]]
	told := w.anyDesk()
	leaver.target = told
	w.barrier = func(from, to string) bool { return from == told.address && w.processes[to] != nil }
	leaver.leave(func() {})
	w.after(w.between(3*time.Millisecond, 40*time.Millisecond), func() {
		for _, s := range w.stores {
			if s.desk == told {
				w.power(s, true, time.Minute)
			}
		}
	})
	w.run(w.Record.End)
	for _, word := range w.Record.Words {
		if word.Replica != leaver.id {
			continue
		}
		acknowledged++
		for _, a := range w.Record.Arrivals {
			if a.Replica == leaver.id && !a.Moved && a.At > word.At+w.Record.Limits.Drain {
				late++
			}
		}
		break
	}
	return acknowledged, late
}

// TestLeavingOutlivesADeskThatDies: what a replica was told is heard is heard, though the
// desk that told it dies in that moment with all that it had sent.
func TestLeavingOutlivesADeskThatDies(t *testing.T) {
	const seeds = 12
	acknowledged := 0
	for seed := uint64(1); seed <= seeds; seed++ {
		n, late := lostWords(seed, nil)
		acknowledged += n
		if late > 0 {
			t.Errorf("seed %d: %d requests reach a replica after it was acknowledged that it leaves", seed, late)
		}
	}
	if acknowledged < seeds/2 {
		t.Errorf("%d of %d leavings were acknowledged", acknowledged, seeds)
	}
	found := 0
	for seed := uint64(1); seed <= seeds && found == 0; seed++ {
		_, late := lostWords(seed, func(d Desk) Desk { return hastyDesk{d} })
		found += late
	}
	if found == 0 {
		t.Error("a desk that acknowledges at once is not found")
	}
}
