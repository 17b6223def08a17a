package simulator

import (
	"time"

	"saffronfall/peer/core"
	"saffronfall/peer/node"
)

func (w *World) injectFault() {
	if w.now > w.Params.LoadTime {
		return
	}
	w.after(w.between(300*time.Millisecond, 2500*time.Millisecond), w.injectFault)
	down := 0
	for _, p := range w.cores {
		if !p.alive || p.frozen {
			down++
		}
	}
	c := w.cores[w.random.IntN(len(w.cores))]
	n := w.nodes[w.random.IntN(len(w.nodes))]
	length := w.between(100*time.Millisecond, 4*time.Second)
	kind := w.random.IntN(24)
	switch kind {
	case 2, 3, 5, 6, 7, 10, 11, 12, 14, 19, 20, 22, 23:
		w.cutUntil = max(w.cutUntil, w.now+length)
	}
	switch kind {
	case 0:
		if n.alive {
			w.logf("kill %s", n.id)
			if w.chance(0.5) {
				n.powerOff()
			}
			n.kill()
			w.after(length, n.boot)
		}
	case 1:
		w.logf("freeze %s for %v", n.id, length)
		n.freeze()
		w.after(length, n.resume)
	case 2:
		if c.alive && down < 2 {
			w.logf("kill %s", c.id)
			c.kill()
			w.after(length, c.boot)
		}
	case 3:
		if down < 2 {
			w.logf("freeze %s for %v", c.id, length)
			c.freeze()
			w.after(length, c.resume)
		}
	case 4:
		w.logf("cut off %s for %v", n.id, length)
		w.isolate(n, length)
	case 5:
		w.logf("cut off %s for %v", c.id, length)
		w.isolate(c, length)
	case 6:
		w.logf("cut %s from %s for %v", n.id, c.id, length)
		w.cutLink(n, c, length)
	case 7:
		w.logf("the disk of %s stalls for %v", c.id, length)
		c.disk.stalledUntil = w.now + length
	case 8:
		b := w.backends[w.random.IntN(len(w.backends))]
		if b.service != "search" {
			b.replace()
		}
	case 9:
		b := w.backends[w.random.IntN(len(w.backends))]
		w.logf("replica %s loses answers", b.name())
		b.lossRate = 0.5
		w.after(length, func() { b.lossRate = 0 })
	case 17:
		b := w.backends[w.random.IntN(len(w.backends))]
		b.failureMode = failureModes[w.random.IntN(len(failureModes))]
		w.logf("replica %s: %s", b.name(), b.failureMode)
		w.Counts["replica "+b.failureMode]++
		w.after(length, func() { b.failureMode = "" })
	case 18:
		w.logf("burst of session starts and alerts")
		for i := 0; i < 40; i++ {
			w.after(w.between(0, 500*time.Millisecond), func() {
				id := w.newID("burst")
				w.submit(w.anyNode(), node.Request{Kind: node.KindAction, Key: "key-t1", User: "crowd", Service: "alert", OnceKey: id, Arguments: []byte(`{"mark":"` + id + `"}`), Timeout: 2 * time.Second}, ignoreResponse)
			})
			w.after(w.between(0, 500*time.Millisecond), func() {
				w.submit(w.anyNode(), node.Request{Kind: node.KindOpen, Key: "key-t1", User: w.newID("crowd"), Timeout: 2 * time.Second}, ignoreResponse)
			})
		}
	case 19:
		if c.alive && down < 2 && !w.readdressed && c != w.cores[0] {
			w.readdressed = true
			w.Counts["cores re-addressed"]++
			w.logf("%s restarts at another address", c.id)
			c.kill()
			w.after(length, func() {
				c.address = "10.0.3.1:7000"
				w.processes[c.address] = c
				c.boot()
			})
		}
	case 20:
		if down == 0 && w.spare != nil && w.membersCurrent() {
			w.replaceCore(c)
		}
	case 21:
		// State that only an owner and its mirrors hold is lost with them while the cores are
		// unreachable, so this fault waits for the links.
		if !w.allKilled && len(w.cutLinks) == 0 && w.now > w.cutUntil+2*time.Second {
			w.allKilled = true
			w.logf("all processes are killed")
			w.Counts["closing faults"]++
			for _, p := range append(append([]*process(nil), w.cores...), w.nodes...) {
				p.kill()
				w.after(w.between(100*time.Millisecond, time.Second), p.boot)
			}
		}
	case 22:
		if c.alive && down < 2 {
			w.logf("power lost at %s", c.id)
			w.Counts["power lost"]++
			c.powerOff()
			w.after(length, c.boot)
		}
	case 23:
		most := w.cores[0]
		for _, one := range w.cores {
			if one.syncs > most.syncs {
				most = one
			}
		}
		w.failDisk(most, down, length)
	case 13:
		if n.alive && !n.frozen {
			w.logf("%s drains", n.id)
			n.handleNodeOutput(n.nodeMachine.Drain(n.now()))
			w.after(100*time.Millisecond, func() { n.awaitDrain(n.incarnation, w.now+5*time.Second) })
		}
	case 14:
		if c.alive && !c.frozen && down < 2 {
			w.logf("%s transfers its partitions", c.id)
			c.coreMachine.Drain()
			incarnation := c.incarnation
			w.after(time.Second, func() {
				if c.incarnation == incarnation {
					c.kill()
					w.after(length, c.boot)
				}
			})
		}
	case 15, 16:
		w.logf("all cores cut from all nodes for %v", length)
		w.Counts["cores cut off"]++
		w.cutCoresFromNodes(length)
	case 11, 12:
		w.failDisk(c, down, length)
	case 10:
		w.logf("split core zone %s", c.zone)
		for _, other := range w.cores {
			if other.zone != c.zone {
				w.cutLink(c, other, length)
			}
		}
	}
}

// failDisk makes a core lose its disk if the fleet must tolerate that.
func (w *World) failDisk(c *process, down int, length time.Duration) {
	if c.alive && down == 0 && w.membersCurrent() {
		w.logf("%s loses its disk", c.id)
		w.Counts["disks lost"]++
		c.kill()
		c.loseDisk()
		w.after(length, c.boot)
	}
}

// cutLink disconnects two processes, mostly in both directions.
func (w *World) cutLink(a, b *process, length time.Duration) {
	pairs := [][2]string{{a.address, b.address}}
	if w.chance(0.8) {
		pairs = append(pairs, [2]string{b.address, a.address})
	}
	for _, pair := range pairs {
		w.cutLinks[pair] = true
	}
	w.after(length, func() {
		for _, pair := range pairs {
			delete(w.cutLinks, pair)
		}
	})
}

// replaceCore replaces a core permanently. The spare joins by itself.
func (w *World) replaceCore(old *process) {
	spare, by := w.spare, w.cores[0]
	if by == old {
		by = w.cores[1]
	}
	w.spare = nil
	w.logf("%s is replaced by %s", old.id, spare.id)
	w.Counts["cores replaced"]++
	spare.loseDisk()
	spare.boot()
	w.cores = append(w.cores, spare)
	w.after(500*time.Millisecond, func() { w.retire(old, by, spare, w.now+20*time.Second) })
}

// retire retries the replacement of a core until the deadline.
func (w *World) retire(old, by, spare *process, until time.Duration) {
	retry := func() {
		if w.now < until {
			w.retire(old, by, spare, until)
		}
	}
	finished := false
	w.Operate(by, func(m *core.Machine, now time.Duration, ticket uint64) core.Output {
		return m.ChangeCore(now, ticket, core.KindReplace, old.id, spare.id, 4*time.Second)
	}, func(body any) {
		if finished {
			return
		}
		finished = true
		if changed, ok := body.(core.ChangeResult); !ok || !changed.Done {
			w.after(500*time.Millisecond, retry)
			return
		}
		w.Counts["cores retired"]++
		old.kill()
		for i, c := range w.cores {
			if c == old {
				w.cores = append(w.cores[:i:i], w.cores[i+1:]...)
				break
			}
		}
	})
	w.after(5*time.Second, func() {
		if !finished {
			finished = true
			retry()
		}
	})
}

func (w *World) cutCoresFromNodes(length time.Duration) {
	w.cutUntil = max(w.cutUntil, w.now+length)
	for _, c := range w.cores {
		for _, n := range w.nodes {
			w.cutLink(c, n, length)
		}
	}
}

func (w *World) isolate(p *process, length time.Duration) {
	for _, other := range w.processes {
		if other != p {
			w.cutLinks[[2]string{p.address, other.address}] = true
			w.cutLinks[[2]string{other.address, p.address}] = true
		}
	}
	w.after(length, func() {
		for _, other := range w.processes {
			delete(w.cutLinks, [2]string{p.address, other.address})
			delete(w.cutLinks, [2]string{other.address, p.address})
		}
	})
}
