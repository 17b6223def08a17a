package shares

import "time"

const (
	// A zone asks another one for units when its room is below this part of its share.
	lowRoomDivisor = 10
	// askInterval is the shortest time between two such questions.
	askInterval = 100 * time.Millisecond
)

// escrow divides a limit between zones, each with a counter of its own. A zone with little room
// asks the others in turn for half of theirs. A zone gives units away before another has them, so
// the sum of all shares never exceeds the limit.
type escrow struct {
	*world
	// zoneCounters are by tenant and zone.
	zoneCounters [][]*zoneCounter
}

type zoneCounter struct {
	counter
	tenant, zone int
	asking       bool
	askedAt      time.Duration
	nextZone     int
}

func (e *escrow) name() string { return "escrow by zone" }

func (e *escrow) start(w *world) {
	e.world = w
	for i, t := range w.tenants {
		var counters []*zoneCounter
		for zone := range w.zones {
			part := t.limit.Max / int64(w.zones)
			if int64(zone) < t.limit.Max%int64(w.zones) {
				part++
			}
			counters = append(counters, &zoneCounter{counter: counter{max: part}, tenant: i, zone: zone, nextZone: zone})
		}
		e.zoneCounters = append(e.zoneCounters, counters)
	}
}

// leaderMoved does nothing: a zone's holder stays in it, and can't write while it is cut off.
func (e *escrow) leaderMoved(int) {}

// leaderLost replaces the holder in the zone of the partition's leader. Shares are durable.
func (e *escrow) leaderLost(partition int) {
	for t, counters := range e.zoneCounters {
		if e.partitionOf(t) == partition {
			counters[e.firstLeaderZone(partition)].restore(e.now)
		}
	}
}

func (e *escrow) admit(req *request) {
	c := e.zoneCounters[req.tenant][e.zoneOf(req.node)]
	e.ask(req, func() int { return c.zone }, &c.counter, func() { e.askForUnits(c) })
}

func (e *escrow) askForUnits(c *zoneCounter) {
	if c.asking || e.now < c.askedAt+askInterval || c.max-c.used(e.now) > c.max/lowRoomDivisor {
		return
	}
	c.nextZone = (c.nextZone + 1) % e.zones
	if c.nextZone == c.zone {
		c.nextZone = (c.nextZone + 1) % e.zones
	}
	c.asking, c.askedAt = true, e.now
	e.transfer(&transfer{from: e.zoneCounters[c.tenant][c.nextZone], to: c})
}

// transfer moves units between two zones. It is repeated until it succeeds, as the units are
// already taken from the first.
type transfer struct {
	from, to *zoneCounter
	units    int64
	given    bool
	done     bool
}

func (e *escrow) transfer(t *transfer) {
	if t.done {
		return
	}
	e.events.Add(e.now+callRetry, func() { e.transfer(t) })
	e.deliver(t.to.zone, t.from.zone, callBytes, func() {
		delay := time.Duration(0)
		if !t.given {
			t.given, t.units = true, max(t.from.max-t.from.used(e.now), 0)/2
			t.from.max -= t.units
		}
		if t.units > 0 {
			// Both sides write the change.
			delay = 2 * (2*e.crossDelay + syncDelay)
			for range 2 * (groupSize - 1) {
				e.record.sent(writtenBytes)
				e.record.sent(frameBytes)
			}
		}
		e.events.Add(e.now+delay, func() {
			e.deliver(t.from.zone, t.to.zone, callBytes, func() {
				if !t.done {
					t.done, t.to.asking = true, false
					t.to.max += t.units
				}
			})
		})
	})
}
