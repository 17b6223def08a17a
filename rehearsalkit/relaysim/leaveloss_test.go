package relaysim

import (
	"testing"
	"time"

	"saffronfall/peer/registry"
)

// earlyAckRegistry acknowledges heartbeats and leaves that no other process knows yet.
type earlyAckRegistry struct{ Registry }

func (d earlyAckRegistry) Heartbeat(now time.Duration, ticket uint64, r registry.Replica) registry.Output {
	o := d.Registry.Heartbeat(now, 0, r)
	o.Answers = append(o.Answers, registry.Answer{Ticket: ticket, Body: registry.Acknowledgment{Accepted: true}})
	return o
}

// loseAckingRegistry has a registry fail, with all that it had sent, right after it acknowledged a
// leave, and counts the requests that reach the replica too late. The bound holds although the
// acknowledging machine is disrupted.
func loseAckingRegistry(seed uint64, wrap func(reg Registry) Registry) (acknowledged, late int) {
	p := Defaults(seed)
	p.Faults, p.Operators, p.Closing = false, 0, ""
	p.Callers = 30
	p.WrapRegistry = wrap
	w := New(p)
	w.startFleet(w.applyFirstTable)
	w.runUntil(startupTime)
	w.Record.End = startupTime + 10*time.Second
	w.startWorkload()
	w.runUntil(w.now + 2*time.Second)
	offset := w.now % 4
	leaving := w.replicas[[]string{"10.0.3.6:8080", "10.0.3.7:8080", "10.0.3.8:8080", "10.0.3.9:8080"}[(seed+uint64(offset))%4]]
	ackingRegistry := w.anyRegistry()
	leaving.currentRegistry = ackingRegistry
	w.blocked = func(from, to string) bool { return from == ackingRegistry.address && w.processes[to] != nil }
	leaving.leave(func() {})
	w.after(w.between(3*time.Millisecond, 40*time.Millisecond), func() {
		for _, s := range w.stores {
			if s.registry == ackingRegistry {
				w.losePower(s, true, time.Minute)
			}
		}
	})
	w.runUntil(w.Record.End)
	for _, ack := range w.Record.LeaveAcks {
		if ack.Replica != leaving.id {
			continue
		}
		acknowledged++
		for _, a := range w.Record.Arrivals {
			if a.Replica == leaving.id && !a.Misdirected && a.At > ack.At+w.Record.Limits.Drain {
				late++
			}
		}
		break
	}
	return acknowledged, late
}

func TestAcknowledgedLeaveSurvivesRegistryLoss(t *testing.T) {
	const seeds = 12
	acknowledged := 0
	for seed := uint64(1); seed <= seeds; seed++ {
		n, late := loseAckingRegistry(seed, nil)
		acknowledged += n
		if late > 0 {
			t.Errorf("seed %d: %d requests reached a replica too long after its leave was acknowledged", seed, late)
		}
	}
	if acknowledged < seeds/2 {
		t.Errorf("only %d of %d leaves were acknowledged", acknowledged, seeds)
	}
	found := 0
	for seed := uint64(1); seed <= seeds && found == 0; seed++ {
		_, late := loseAckingRegistry(seed, func(reg Registry) Registry { return earlyAckRegistry{reg} })
		found += late
	}
	if found == 0 {
		t.Error("a registry that acknowledges too early was not detected")
	}
}
