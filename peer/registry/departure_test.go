package registry

import (
	"testing"
	"time"
)

func acknowledgments(o Output, ticket uint64) (list []Acknowledgment) {
	for _, a := range o.Answers {
		if h, ok := a.Body.(Acknowledgment); ok && a.Ticket == ticket {
			list = append(list, h)
		}
	}
	return list
}

// TestDepartureIsAcknowledgedOnceReplicated also checks that other departures are rejected in time
// to report them to another registry.
func TestDepartureIsAcknowledgedOnceReplicated(t *testing.T) {
	const ticket = 7
	registry := func(version uint64) Subscribe {
		return Subscribe{Node: "d2", Incarnation: "l1", Version: version, IsRegistry: true}
	}
	node := func(version uint64) Subscribe { return Subscribe{Node: "n1", Incarnation: "l1", Version: version} }
	for _, c := range []struct {
		name string
		// before and after are received before and after the replica departs.
		before, after map[string]Subscribe
		groupSize     int
		leaving       bool
		atOnce, then  bool
	}{
		{name: "a heartbeat without a departure", before: map[string]Subscribe{"d2:1": registry(0)}, atOnce: true},
		{name: "no other process", leaving: true, atOnce: true},
		{name: "another desk has it", leaving: true, before: map[string]Subscribe{"d2:1": registry(1), "n1:1": node(1)}, after: map[string]Subscribe{"d2:1": registry(2)}, then: true},
		{name: "only nodes have it while another desk is active", leaving: true, before: map[string]Subscribe{"d2:1": registry(1), "n1:1": node(1)}, after: map[string]Subscribe{"n1:1": node(2)}},
		{name: "the other desk has an earlier version", leaving: true, before: map[string]Subscribe{"d2:1": registry(1)}, after: map[string]Subscribe{"d2:1": registry(1)}},
		{name: "the other desk has another incarnation's version", leaving: true, before: map[string]Subscribe{"d2:1": registry(1)}, after: map[string]Subscribe{"d2:1": {Node: "d2", Incarnation: "l0", Version: 99, IsRegistry: true}}},
		{name: "all nodes have it and no other desk is active", leaving: true, before: map[string]Subscribe{"n1:1": node(1), "n2:1": node(1)}, after: map[string]Subscribe{"n1:1": node(2), "n2:1": node(2)}, then: true},
		{name: "one node lacks it and no other desk is active", leaving: true, before: map[string]Subscribe{"n1:1": node(1), "n2:1": node(1)}, after: map[string]Subscribe{"n1:1": node(2)}},
		{name: "two losses are tolerated and one other desk has it", groupSize: 5, leaving: true, before: map[string]Subscribe{"d2:1": registry(1), "d3:1": registry(1)}, after: map[string]Subscribe{"d2:1": registry(2)}},
		{name: "two losses are tolerated and two other desks have it", groupSize: 5, leaving: true, before: map[string]Subscribe{"d2:1": registry(1), "d3:1": registry(1)}, after: map[string]Subscribe{"d2:1": registry(2), "d3:1": registry(2)}, then: true},
	} {
		m := connectedRegistry(t, 0)
		m.params.GroupSize = max(c.groupSize, 3)
		m.Heartbeat(0, 0, replica(1, false))
		for from, f := range c.before {
			m.Receive(0, from, f)
		}
		if got := acknowledgments(m.Heartbeat(time.Millisecond, ticket, replica(2, c.leaving)), ticket); (len(got) == 1 && got[0].Accepted) != c.atOnce {
			t.Errorf("%s: %+v at once", c.name, got)
		}
		var got []Acknowledgment
		for from, f := range c.after {
			got = append(got, acknowledgments(m.Receive(2*time.Millisecond, from, f), ticket)...)
		}
		if (len(got) == 1 && got[0].Accepted) != c.then {
			t.Errorf("%s: %+v then", c.name, got)
		}
		late := acknowledgments(m.Tick(heartbeat*3/4), ticket)
		if wantRejected := !c.atOnce && !c.then; wantRejected != (len(late) == 1 && !late[0].Accepted) {
			t.Errorf("%s: %+v in the end", c.name, late)
		}
	}
}

// TestRegistryConfirmsDepartureAtOnce guards against a delay while the replica waits.
func TestRegistryConfirmsDepartureAtOnce(t *testing.T) {
	first, second := newRegistry(nil), newRegistry(func(o *Options) { o.ID, o.Address, o.Incarnation = "d2", "d2:1", "l2" })
	first.Receive(0, "d2:1", Subscribe{Node: "d2", IsRegistry: true})
	for _, b := range sentTo[Update](first.Heartbeat(time.Millisecond, 1, replica(1, true)), "d2:1") {
		for _, f := range sentTo[Subscribe](second.Receive(2*time.Millisecond, "d1:1", b), "d1:1") {
			if got := acknowledgments(first.Receive(3*time.Millisecond, "d2:1", f), 1); len(got) == 1 && got[0].Accepted {
				return
			}
		}
	}
	t.Error("not acknowledged by the immediate messages of the registries")
}

// TestNodesConfirmDepartureToLoneRegistry checks that nodes are asked to confirm at once only if
// no other registry is active.
func TestNodesConfirmDepartureToLoneRegistry(t *testing.T) {
	for _, alone := range []bool{true, false} {
		m := newRegistry(nil)
		m.Receive(0, "n1:1", Subscribe{Node: "n1"})
		if !alone {
			m.Receive(0, "d2:1", Subscribe{Node: "d2", IsRegistry: true})
		}
		if b := sentTo[Update](m.Heartbeat(1, 0, replica(1, false)), "n1:1"); len(b) != 1 || b[0].RenewNow {
			t.Errorf("alone %v: a new replica: %+v", alone, b)
		}
		if b := sentTo[Update](m.Heartbeat(2, 0, replica(2, true)), "n1:1"); len(b) != 1 || b[0].RenewNow != alone {
			t.Errorf("alone %v: a departing replica: %+v", alone, b)
		}
	}
}

// TestDisconnectedRegistryRejectsDepartureEarly checks that only a connected registry gives others
// time to confirm a departure.
func TestDisconnectedRegistryRejectsDepartureEarly(t *testing.T) {
	for _, c := range []struct {
		name      string
		connected bool
		least     time.Duration
		most      time.Duration
	}{
		{"connected", true, heartbeat / 2, heartbeat * 3 / 4},
		{"disconnected", false, 0, heartbeat / 5},
	} {
		m := connectedRegistry(t, 0)
		start := time.Second
		m.Tick(start)
		m.Receive(start, "d2:1", Subscribe{Node: "d2", Incarnation: "l1", Version: 0, IsRegistry: true})
		if c.connected {
			confirm(m, start)
		}
		m.Heartbeat(start, 1, replica(1, true))
		took := time.Duration(0)
		for now := start; took == 0 && now < start+2*heartbeat; now += 10 * time.Millisecond {
			if c.connected {
				confirm(m, now)
			}
			if got := acknowledgments(m.Tick(now), 1); len(got) == 1 && !got[0].Accepted {
				took = now - start
			}
		}
		if took < c.least || took > c.most || took == 0 {
			t.Errorf("%s: rejected after %v", c.name, took)
		}
	}
}

// TestDepartureSurvivesTheLossOfAZone guards against departures that only registries of one zone know
// when they are acknowledged.
func TestDepartureSurvivesTheLossOfAZone(t *testing.T) {
	const ticket = 7
	registry := func(zone string, version uint64) Subscribe {
		return Subscribe{Node: "d2", Zone: zone, Incarnation: "l1", Version: version, IsRegistry: true}
	}
	for _, c := range []struct {
		name         string
		active, then map[string]Subscribe
		accepted     bool
	}{
		{"the registry of its own zone has it", map[string]Subscribe{"d2:1": registry("z0", 1), "d3:1": registry("z1", 1)}, map[string]Subscribe{"d2:1": registry("z0", 2)}, false},
		{"one of another zone has it", map[string]Subscribe{"d2:1": registry("z0", 1), "d3:1": registry("z1", 1)}, map[string]Subscribe{"d3:1": registry("z1", 2)}, true},
		{"a former release's has it", map[string]Subscribe{"d2:1": registry("", 1), "d3:1": registry("z1", 1)}, map[string]Subscribe{"d2:1": registry("", 2)}, false},
		{"no other zone has one", map[string]Subscribe{"d2:1": registry("z0", 1)}, map[string]Subscribe{"d2:1": registry("z0", 2)}, true},
	} {
		m := connectedRegistry(t, 0)
		m.zone, m.params.GroupSize, m.params.Core.Domains.Zones = "z0", 3, 1
		m.Heartbeat(0, 0, replica(1, false))
		for from, subscription := range c.active {
			m.Receive(0, from, subscription)
		}
		m.Heartbeat(time.Millisecond, ticket, replica(2, true))
		accepted := false
		for from, subscription := range c.then {
			for _, got := range acknowledgments(m.Receive(2*time.Millisecond, from, subscription), ticket) {
				accepted = accepted || got.Accepted
			}
		}
		if accepted != c.accepted {
			t.Errorf("%s: accepted %v", c.name, accepted)
		}
	}
}
