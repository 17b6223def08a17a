package simulator

import (
	"time"

	"saffronfall/peer/core"
	"saffronfall/peer/node"
)

// fault brings one fault about, and ends it later.
func (w *World) fault() {
	if w.now > w.Params.Length {
		return
	}
	w.after(w.between(300*time.Millisecond, 2500*time.Millisecond), w.fault)
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
		w.after(length, n.wake)
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
			w.after(length, c.wake)
		}
	case 4:
		w.logf("cut off %s for %v", n.id, length)
		w.cutOff(n, length)
	case 5:
		w.logf("cut off %s for %v", c.id, length)
		w.cutOff(c, length)
	case 6:
		w.logf("cut %s from %s for %v", n.id, c.id, length)
		w.link(n, c, length)
	case 7:
		w.logf("%s stalls for %v", c.id, length)
		c.disk.stall = w.now + length
	case 8:
		b := w.models[w.random.IntN(len(w.models))]
		if b.service != "search" {
			b.replace()
		}
	case 9:
		b := w.models[w.random.IntN(len(w.models))]
		w.logf("replica %s loses answers", b.name())
		b.loses = 0.5
		w.after(length, func() { b.loses = 0 })
	case 17:
		b := w.models[w.random.IntN(len(w.models))]
		b.manner = manners[w.random.IntN(len(manners))]
		w.logf("replica %s: %s", b.name(), b.manner)
		w.Counts["replica "+b.manner]++
		w.after(length, func() { b.manner = "" })
	case 18:
		w.logf("a crowd and a burst of alerts")
		for i := 0; i < 40; i++ {
			w.after(w.between(0, 500*time.Millisecond), func() {
				mark := w.mark("burst")
				w.ask(w.anyNode(), node.Request{Kind: node.KindAction, Key: "key-t1", User: "crowd", Service: "alert", OnceKey: mark, Arguments: []byte(`{"mark":"` + mark + `"}`), Timeout: 2 * time.Second}, drop)
			})
			w.after(w.between(0, 500*time.Millisecond), func() {
				w.ask(w.anyNode(), node.Request{Kind: node.KindOpen, Key: "key-t1", User: w.mark("crowd"), Timeout: 2 * time.Second}, drop)
			})
		}
	case 19:
		if c.alive && down < 2 && !w.moved && c != w.cores[0] {
			w.moved = true
			w.Counts["cores re-addressed"]++
			w.logf("%s goes to another address", c.id)
			c.kill()
			w.after(length, func() {
				c.address = "10.0.3.1:7000"
				w.procs[c.address] = c
				c.boot()
			})
		}
	case 20:
		if down == 0 && w.spare != nil && w.seated() {
			w.replaceCore(c)
		}
	case 21:
		// With the cores out of reach, what only an owner and its mirrors hold is
		// lost with them.
		if !w.closed && len(w.cut) == 0 && w.now > w.cutUntil+2*time.Second {
			w.closed = true
			w.logf("everything is killed")
			w.Counts["closing faults"]++
			for _, p := range append(append([]*proc(nil), w.cores...), w.nodes...) {
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
		w.takeDisk(most, down, length)
	case 13:
		if n.alive && !n.frozen {
			w.logf("%s drains", n.id)
			n.takeNode(n.nodeM.Drain(n.now()))
			w.after(100*time.Millisecond, func() { n.drained(n.life, w.now+5*time.Second) })
		}
	case 14:
		if c.alive && !c.frozen && down < 2 {
			w.logf("%s hands its parts over", c.id)
			c.coreM.Drain()
			life := c.life
			w.after(time.Second, func() {
				if c.life == life {
					c.kill()
					w.after(length, c.boot)
				}
			})
		}
	case 15, 16:
		w.logf("all cores cut from all nodes for %v", length)
		w.Counts["cores cut off"]++
		w.coreCut(length)
	case 11, 12:
		w.takeDisk(c, down, length)
	case 10:
		w.logf("split core zone %s", c.zone)
		for _, other := range w.cores {
			if other.zone != c.zone {
				w.link(c, other, length)
			}
		}
	}
}

// takeDisk lets a core lose its disk, if that is a loss which must be borne.
func (w *World) takeDisk(c *proc, down int, length time.Duration) {
	if c.alive && down == 0 && w.seated() {
		w.logf("%s loses its disk", c.id)
		w.Counts["disks lost"]++
		c.kill()
		c.loseDisk()
		w.after(length, c.boot)
	}
}

func (w *World) link(a, b *proc, length time.Duration) {
	pairs := [][2]string{{a.address, b.address}}
	if w.chance(0.8) {
		pairs = append(pairs, [2]string{b.address, a.address})
	}
	for _, pair := range pairs {
		w.cut[pair] = true
	}
	w.after(length, func() {
		for _, pair := range pairs {
			delete(w.cut, pair)
		}
	})
}

// replaceCore puts the spare core in the place of another one, for good. It
// joins by itself.
func (w *World) replaceCore(old *proc) {
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

// retire asks for a core's retirement until it is done, or for so long.
func (w *World) retire(old, by, spare *proc, until time.Duration) {
	again := func() {
		if w.now < until {
			w.retire(old, by, spare, until)
		}
	}
	over := false
	w.Operate(by, func(m *core.Machine, now time.Duration, ticket uint64) core.Output {
		return m.ChangeCore(now, ticket, core.KindReplace, old.id, spare.id, 4*time.Second)
	}, func(body any) {
		if over {
			return
		}
		over = true
		if changed, ok := body.(core.ChangeResult); !ok || !changed.Done {
			w.after(500*time.Millisecond, again)
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
		if !over {
			over = true
			again()
		}
	})
}

// coreCut cuts all cores from all nodes.
func (w *World) coreCut(length time.Duration) {
	w.cutUntil = max(w.cutUntil, w.now+length)
	for _, c := range w.cores {
		for _, n := range w.nodes {
			w.link(c, n, length)
		}
	}
}

func (w *World) cutOff(p *proc, length time.Duration) {
	for _, other := range w.procs {
		if other != p {
			w.cut[[2]string{p.address, other.address}] = true
			w.cut[[2]string{other.address, p.address}] = true
		}
	}
	w.after(length, func() {
		for _, other := range w.procs {
			delete(w.cut, [2]string{p.address, other.address})
			delete(w.cut, [2]string{other.address, p.address})
		}
	})
}
