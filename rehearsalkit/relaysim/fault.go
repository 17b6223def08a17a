package relaysim

import (
	"time"

	"saffronfall/peer/desk"
	"saffronfall/rule/ordered"
)

// fault brings one fault about, and ends it later.
func (w *World) fault() {
	if w.now > w.faultsUntil {
		return
	}
	w.after(w.between(400*time.Millisecond, 2200*time.Millisecond), w.fault)
	length := w.between(50*time.Millisecond, 3*time.Second)
	n := w.nodes[w.random.IntN(len(w.nodes))]
	switch w.random.IntN(10) {
	case 0:
		w.outage(n, n.id, "killed", length, n.kill, n.boot)
	case 1:
		w.outage(n, n.id, "frozen", length, func() { n.frozen = true }, n.wake)
	case 2:
		w.logf("%s cut off for %v", n.id, length)
		w.cutAll([]*process{n}, length, n.id)
	case 3:
		s := w.anyStore()
		w.logf("%s and %s cut for %v", n.id, s.core.id, length)
		w.cutPairs([]*process{n}, s.processes(), length, n.id)
	default:
		w.storeFault(length)
	}
}

// outage harms a process, and mends it after a time.
func (w *World) outage(p *process, who, what string, length time.Duration, harm, mend func()) {
	if !p.alive || p.frozen {
		return
	}
	w.logf("%s %s for %v", p.id, what, length)
	w.Counts["fault: "+what]++
	harm()
	end := w.trouble(who)
	w.after(length, func() {
		if !w.closing {
			mend()
		}
		end()
	})
}

func (w *World) present() (list []*store) {
	for _, s := range w.stores {
		if !s.gone {
			list = append(list, s)
		}
	}
	return list
}

func (w *World) anyStore() *store {
	list := w.present()
	return list[w.random.IntN(len(list))]
}

// storeFault harms one machine with a disk. There is never more than one such
// loss at a time, and time to catch up between two.
func (w *World) storeFault(length time.Duration) {
	if w.now < w.busyUntil {
		return
	}
	s := w.anyStore()
	p := s.core
	if s.desk != nil && w.chance(0.4) {
		p = s.desk
	}
	w.busyUntil = w.now + length + catchUp
	switch w.random.IntN(12) {
	case 0, 1:
		w.outage(p, Stores, "process of a store killed", length, p.kill, p.boot)
	case 2:
		w.power(s, false, length)
	case 3, 4:
		w.power(s, true, length)
	case 5, 6:
		for _, p := range s.processes() {
			w.outage(p, Stores, "store frozen", length, func() { p.frozen = true }, p.wake)
		}
	case 7, 8:
		w.logf("%s cut from the other stores for %v", s.core.id, length)
		w.Counts["fault: store cut from the others"]++
		var others []*process
		for _, other := range w.present() {
			if other != s {
				others = append(others, other.processes()...)
			}
		}
		w.cutPairs(s.processes(), others, length, Stores)
	case 9:
		w.logf("%s cut off for %v", s.core.id, length)
		w.Counts["fault: store cut off"]++
		w.cutAll(s.processes(), length, Stores)
	case 10:
		if !w.changed {
			w.changed = true
			w.replace(s)
		}
	case 11:
		if !w.changed {
			w.changed = true
			w.addAndRetire(s)
		}
	}
}

// power takes the power from a store, and maybe its disk.
func (w *World) power(s *store, wipe bool, length time.Duration) {
	if !s.core.alive || s.core.frozen {
		return
	}
	w.logf("%s loses power for %v, wiped %v", s.core.id, length, wipe)
	if wipe {
		w.Counts["fault: store wiped"]++
	} else {
		w.Counts["fault: store without power"]++
	}
	end := w.trouble(Stores)
	for _, p := range s.processes() {
		p.powerOff()
		if wipe {
			p.wipe()
		}
	}
	w.after(length, func() {
		if !w.closing {
			for _, p := range s.processes() {
				p.boot()
			}
		}
		end()
	})
}

// afterAck may take the power from the store that has just acknowledged a table.
func (w *World) afterAck() {
	if !w.Params.Faults || w.now < w.busyUntil || w.now > w.faultsUntil || !w.chance(0.3) {
		return
	}
	if s := w.coreOf(0); s != nil && !s.gone {
		w.Counts["fault: power lost after an acknowledgement"]++
		length := w.between(200*time.Millisecond, 3*time.Second)
		w.busyUntil = w.now + length + catchUp
		w.power(s, w.chance(0.5), length)
	}
}

// replace ends a store for good and puts an empty one at another address in its
// place.
func (w *World) replace(s *store) {
	w.logf("%s is replaced", s.core.id)
	w.Counts["fault: store replaced"]++
	end := w.trouble(Stores)
	for _, p := range s.processes() {
		p.powerOff()
	}
	s.gone = true
	w.busyUntil = w.now + 2*catchUp
	w.after(w.between(200*time.Millisecond, 1500*time.Millisecond), func() {
		fresh := w.addStore(s.desk != nil)
		for _, p := range fresh.processes() {
			p.founds = false
			if !w.closing {
				p.boot()
			}
		}
		end()
	})
}

// addAndRetire adds a store, and later retires another, which goes once it is
// empty.
func (w *World) addAndRetire(s *store) {
	w.logf("a store comes, %s is to retire", s.core.id)
	w.Counts["stores added"]++
	fresh := w.addStore(false)
	end := w.trouble(Stores)
	fresh.core.boot()
	end()
	until := w.now + 12*time.Second
	w.busyUntil = until
	w.after(2*time.Second, func() { w.retire(s, until) })
}

func (w *World) retire(s *store, until time.Duration) {
	if w.now > until || w.closing || s.gone {
		return
	}
	again := func() { w.after(300*time.Millisecond, func() { w.retire(s, until) }) }
	over := false
	w.operate(w.anyDesk(), func(d Desk, now time.Duration, ticket uint64) desk.Output {
		return d.Retire(now, ticket, s.core.id)
	}, func(body any) {
		e, ok := body.(desk.RetirementStatus)
		if over {
			return
		}
		over = true
		if !ok || e.Uncertain || !e.Known || !e.EnoughCores {
			again()
			return
		}
		w.emptied(s, until)
	})
	w.after(1500*time.Millisecond, func() {
		if !over {
			over = true
			again()
		}
	})
}

// emptied asks until a retired store has nothing left, and takes it away.
func (w *World) emptied(s *store, until time.Duration) {
	if w.now > until || w.closing || s.gone {
		w.Counts["retirements not done in time"]++
		return
	}
	over := false
	again := func() {
		if !over {
			over = true
			w.after(300*time.Millisecond, func() { w.emptied(s, until) })
		}
	}
	w.operate(w.anyDesk(), func(d Desk, now time.Duration, ticket uint64) desk.Output {
		return d.RetirementStatus(now, ticket, s.core.id)
	}, func(body any) {
		e, _ := body.(desk.RetirementStatus)
		if over {
			return
		}
		if !e.Done || w.closing {
			again()
			return
		}
		over = true
		w.logf("%s is empty and goes", s.core.id)
		w.Counts["stores retired"]++
		end := w.trouble(Stores)
		for _, p := range s.processes() {
			p.powerOff()
			p.wipe()
		}
		s.gone = true
		w.busyUntil = w.now + time.Second
		end()
	})
	w.after(1500*time.Millisecond, again)
}

// cutPairs cuts links between two sides: both ways, or one way only.
func (w *World) cutPairs(from, to []*process, length time.Duration, who string) {
	way := w.random.IntN(4)
	var pairs [][2]string
	for _, a := range from {
		for _, b := range to {
			if way != 0 {
				pairs = append(pairs, [2]string{a.address, b.address})
			}
			if way != 1 {
				pairs = append(pairs, [2]string{b.address, a.address})
			}
		}
	}
	w.cutThese(pairs, length, who)
}

// cutAll cuts processes of one machine from all others and from replicas.
func (w *World) cutAll(from []*process, length time.Duration, who string) {
	mine := map[string]bool{}
	for _, p := range from {
		mine[p.address] = true
	}
	var pairs [][2]string
	both := func(a, b string) {
		pairs = append(pairs, [2]string{a, b}, [2]string{b, a})
	}
	for _, p := range from {
		for _, address := range ordered.Keys(w.processes) {
			if !mine[address] {
				both(p.address, address)
			}
		}
		for _, address := range ordered.Keys(w.replicas) {
			both(p.address, address)
		}
	}
	w.cutThese(pairs, length, who)
}

func (w *World) cutThese(pairs [][2]string, length time.Duration, who string) {
	w.Counts["fault: links cut"]++
	end := w.trouble(who)
	for _, pair := range pairs {
		w.cut[pair]++
	}
	w.after(length, func() {
		for _, pair := range pairs {
			w.cut[pair]--
		}
		end()
	})
}

// close is the closing fault: everything ends at once and comes back.
func (w *World) close() {
	w.closing = true
	w.Record.Closing = w.now
	end := w.trouble(Everyone)
	w.logf("closing fault: %s", w.Params.Closing)
	w.Counts["closing fault: "+w.Params.Closing]++
	wiped := w.anyStore()
	var all []*process
	for _, s := range w.present() {
		all = append(all, s.processes()...)
	}
	all = append(all, w.nodes...)
	for _, p := range all {
		if w.Params.Closing == ClosingKill {
			p.kill()
		} else {
			p.powerOff()
		}
	}
	if w.Params.Closing == ClosingWipe {
		for _, p := range wiped.processes() {
			p.wipe()
		}
	}
	longest := time.Duration(0)
	for _, p := range all {
		after := w.between(500*time.Millisecond, 1500*time.Millisecond)
		longest = max(longest, after)
		w.after(after, p.boot)
	}
	back := w.now + longest
	w.after(longest, func() { w.Record.Back = w.now })
	w.after(longest+w.Record.Limits.Contact, end)
	for i := len(w.kept) - 1; i >= 0 && i >= len(w.kept)-30; i -= 3 {
		k := w.kept[i]
		if k.at < w.now-4*time.Second {
			break
		}
		w.after(longest+w.between(0, 2*time.Second), func() { w.resume(k.attempt, k.key, back+recovery) })
	}
}
