package partition

import (
	"fmt"
	"testing"
	"time"
)

// link delivers in order, one message after the other, each in a time that grows with its entries.
type link struct{ busyUntil time.Duration }

type delayedPacket struct {
	packet
	due time.Duration
}

// slowCluster is a cluster whose links take a time for each byte of entries.
type slowCluster struct {
	*cluster
	bytesPerSecond float64
	links          map[string]*link
	inFlight       []delayedPacket
	sentBytes      int
}

func entriesOf(body any) []Entry {
	switch b := body.(type) {
	case Promise:
		return b.Entries
	case Write:
		return b.Entries
	}
	return nil
}

func (c *slowCluster) send() {
	for _, p := range c.network {
		size := 0
		for _, e := range entriesOf(p.body) {
			size += len(e.Value)
		}
		due := c.now
		if p.from != p.to {
			c.sentBytes += size
			l := c.links[p.from+p.to]
			if l == nil {
				l = &link{}
				c.links[p.from+p.to] = l
			}
			l.busyUntil = max(l.busyUntil, c.now) + time.Millisecond + time.Duration(float64(size)/c.bytesPerSecond*float64(time.Second))
			due = l.busyUntil
		}
		c.inFlight = append(c.inFlight, delayedPacket{packet: p, due: due})
	}
	c.network = nil
}

func (c *slowCluster) step() {
	c.now += 5 * time.Millisecond
	for _, s := range c.order {
		if m := c.replicas[s]; m != nil {
			c.collect(s, m.Tick(c.now))
		}
	}
	c.send()
	for delivered := true; delivered; {
		delivered = false
		waiting := c.inFlight
		c.inFlight = nil
		for _, p := range waiting {
			if p.due > c.now {
				c.inFlight = append(c.inFlight, p)
				continue
			}
			delivered = true
			if m := c.replicas[p.to]; m != nil {
				c.collect(p.to, m.Receive(c.now, p.from, p.body))
			}
			c.send()
		}
	}
}

// TestLargePartitionGetsALeader guards against a partition that never gets a leader, because a phase of an
// election ends before its entries are transferred, and the repetitions of these fill the links.
func TestLargePartitionGetsALeader(t *testing.T) {
	const entryBytes, entries = 64 << 10, 64
	for _, members := range [][]string{{"a", "b", "c"}, {"a", "b", "c", "d", "e"}} {
		inner := newCluster(t, members, members...)
		lease := inner.replicas["a"].params.LeaseDuration
		c := &slowCluster{cluster: inner, links: map[string]*link{}, bytesPerSecond: 1.3 * bytesPerLease / lease.Seconds()}
		for i, name := range members {
			state := State{Group: Group{Epoch: 1, Members: members}, Entries: map[string]Entry{}}
			for n := range entries + i { // each lacks what the next one has
				key := fmt.Sprint("key-", n)
				state.Entries[key] = Entry{Key: key, Value: make([]byte, entryBytes), Version: Version{Term: Term{Round: 1, Leader: "a"}, Seq: uint64(n + 1)}}
			}
			state.Promised = Term{Round: 1, Leader: "a"}
			c.replicas[name] = New(Options{Params: inner.replicas[name].params, Member: name, Rules: registers{}, State: state,
				Random: func() float64 { return float64(i) / float64(len(members)) }})
		}
		within := 60 * lease
		for c.leader() == "" && c.now < within {
			c.step()
		}
		if c.leader() == "" {
			t.Errorf("%d members have no leader after %v, with %d MB sent", len(members), c.now, c.sentBytes>>20)
			continue
		}
		leader := c.leader()
		for end := c.now + 20*lease; c.now < end; {
			c.step()
			if c.leader() != leader {
				t.Fatalf("%d members: %s leads no longer at %v", len(members), leader, c.now)
			}
		}
		t.Logf("%d members: a leader after %v, %d MB sent", len(members), c.now-20*lease, c.sentBytes>>20)
	}
}
