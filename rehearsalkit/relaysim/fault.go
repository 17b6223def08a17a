package relaysim

import (
	"time"

	"saffronfall/peer/registry"
	"saffronfall/rule/ordered"
)

// injectFault injects one random fault and schedules the next.
func (w *World) injectFault() {
	if w.now > w.faultsUntil {
		return
	}
	w.after(w.between(400*time.Millisecond, 2200*time.Millisecond), w.injectFault)
	length := w.between(50*time.Millisecond, 3*time.Second)
	n := w.nodes[w.random.IntN(len(w.nodes))]
	switch w.random.IntN(10) {
	case 0:
		w.outage(n, n.id, "killed", length, n.kill, n.boot)
	case 1:
		w.outage(n, n.id, "frozen", length, func() { n.frozen = true }, n.wake)
	case 2:
		w.logf("%s cut off for %v", n.id, length)
		w.isolate([]*process{n}, length, n.id)
	case 3:
		s := w.anyStore()
		w.logf("%s and %s cut for %v", n.id, s.core.id, length)
		w.cutBetween([]*process{n}, s.processes(), length, n.id)
	default:
		w.injectStoreFault(length)
	}
}

func (w *World) outage(p *process, machine, what string, length time.Duration, inject, repair func()) {
	if !p.alive || p.frozen {
		return
	}
	w.logf("%s %s for %v", p.id, what, length)
	w.Counts["fault: "+what]++
	inject()
	end := w.beginDisruption(machine)
	w.after(length, func() {
		if !w.closing {
			repair()
		}
		end()
	})
}

func (w *World) presentStores() (list []*store) {
	for _, s := range w.stores {
		if !s.removed {
			list = append(list, s)
		}
	}
	return list
}

func (w *World) anyStore() *store {
	list := w.presentStores()
	return list[w.random.IntN(len(list))]
}

// injectStoreFault disturbs one store. Store faults never overlap, and each is followed by time
// to catch up.
func (w *World) injectStoreFault(length time.Duration) {
	if w.now < w.noLossUntil {
		return
	}
	s := w.anyStore()
	p := s.core
	if s.registry != nil && w.chance(0.4) {
		p = s.registry
	}
	w.noLossUntil = w.now + length + catchUpTime
	switch w.random.IntN(12) {
	case 0, 1:
		w.outage(p, AnyStore, "process of a store killed", length, p.kill, p.boot)
	case 2:
		w.losePower(s, false, length)
	case 3, 4:
		w.losePower(s, true, length)
	case 5, 6:
		for _, p := range s.processes() {
			w.outage(p, AnyStore, "store frozen", length, func() { p.frozen = true }, p.wake)
		}
	case 7, 8:
		w.logf("%s cut from the other stores for %v", s.core.id, length)
		w.Counts["fault: store cut from the others"]++
		var others []*process
		for _, other := range w.presentStores() {
			if other != s {
				others = append(others, other.processes()...)
			}
		}
		w.cutBetween(s.processes(), others, length, AnyStore)
	case 9:
		w.logf("%s cut off for %v", s.core.id, length)
		w.Counts["fault: store cut off"]++
		w.isolate(s.processes(), length, AnyStore)
	case 10:
		if !w.storeChanged {
			w.storeChanged = true
			w.replaceStore(s)
		}
	case 11:
		if !w.storeChanged {
			w.storeChanged = true
			w.addAndRetire(s)
		}
	}
}

func (w *World) losePower(s *store, wipe bool, length time.Duration) {
	if !s.core.alive || s.core.frozen {
		return
	}
	w.logf("%s loses power for %v, wiped %v", s.core.id, length, wipe)
	if wipe {
		w.Counts["fault: store wiped"]++
	} else {
		w.Counts["fault: store without power"]++
	}
	end := w.beginDisruption(AnyStore)
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

// losePowerAfterAck may cut the power of the store that has just acknowledged a table.
func (w *World) losePowerAfterAck() {
	if !w.Params.Faults || w.now < w.noLossUntil || w.now > w.faultsUntil || !w.chance(0.3) {
		return
	}
	if s := w.leaderOf(0); s != nil && !s.removed {
		w.Counts["fault: power lost after an acknowledgement"]++
		length := w.between(200*time.Millisecond, 3*time.Second)
		w.noLossUntil = w.now + length + catchUpTime
		w.losePower(s, w.chance(0.5), length)
	}
}

// replaceStore removes a store for good and adds an empty one at another address.
func (w *World) replaceStore(s *store) {
	w.logf("%s is replaced", s.core.id)
	w.Counts["fault: store replaced"]++
	end := w.beginDisruption(AnyStore)
	for _, p := range s.processes() {
		p.powerOff()
	}
	s.removed = true
	w.noLossUntil = w.now + 2*catchUpTime
	w.after(w.between(200*time.Millisecond, 1500*time.Millisecond), func() {
		added := w.addStore(s.registry != nil)
		for _, p := range added.processes() {
			p.foundsFleet = false
			if !w.closing {
				p.boot()
			}
		}
		end()
	})
}

// addAndRetire adds a store and later retires another.
func (w *World) addAndRetire(s *store) {
	w.logf("a store is added; %s will be retired", s.core.id)
	w.Counts["stores added"]++
	added := w.addStore(false)
	end := w.beginDisruption(AnyStore)
	added.core.boot()
	end()
	until := w.now + 12*time.Second
	w.noLossUntil = until
	w.after(2*time.Second, func() { w.retireStore(s, until) })
}

func (w *World) retireStore(s *store, until time.Duration) {
	if w.now > until || w.closing || s.removed {
		return
	}
	retry := func() { w.after(300*time.Millisecond, func() { w.retireStore(s, until) }) }
	finished := false
	w.callRegistry(w.anyRegistry(), func(d Registry, now time.Duration, ticket uint64) registry.Output {
		return d.Retire(now, ticket, s.core.id)
	}, func(body any) {
		e, ok := body.(registry.RetirementStatus)
		if finished {
			return
		}
		finished = true
		if !ok || e.Uncertain || !e.Known || !e.EnoughCores {
			retry()
			return
		}
		w.awaitRetired(s, until)
	})
	w.after(1500*time.Millisecond, func() {
		if !finished {
			finished = true
			retry()
		}
	})
}

// awaitRetired polls until a retired store holds nothing more, and removes it.
func (w *World) awaitRetired(s *store, until time.Duration) {
	if w.now > until || w.closing || s.removed {
		w.Counts["retirements not done in time"]++
		return
	}
	finished := false
	retry := func() {
		if !finished {
			finished = true
			w.after(300*time.Millisecond, func() { w.awaitRetired(s, until) })
		}
	}
	w.callRegistry(w.anyRegistry(), func(d Registry, now time.Duration, ticket uint64) registry.Output {
		return d.RetirementStatus(now, ticket, s.core.id)
	}, func(body any) {
		e, _ := body.(registry.RetirementStatus)
		if finished {
			return
		}
		if !e.Done || w.closing {
			retry()
			return
		}
		finished = true
		w.logf("%s is empty and is removed", s.core.id)
		w.Counts["stores retired"]++
		end := w.beginDisruption(AnyStore)
		for _, p := range s.processes() {
			p.powerOff()
			p.wipe()
		}
		s.removed = true
		w.noLossUntil = w.now + time.Second
		end()
	})
	w.after(1500*time.Millisecond, retry)
}

// cutBetween cuts the links between two groups in one or both directions.
func (w *World) cutBetween(from, to []*process, length time.Duration, machine string) {
	direction := w.random.IntN(4)
	var pairs [][2]string
	for _, a := range from {
		for _, b := range to {
			if direction != 0 {
				pairs = append(pairs, [2]string{a.address, b.address})
			}
			if direction != 1 {
				pairs = append(pairs, [2]string{b.address, a.address})
			}
		}
	}
	w.cutLinks(pairs, length, machine)
}

// isolate cuts processes off from all others and from replicas.
func (w *World) isolate(from []*process, length time.Duration, machine string) {
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
	w.cutLinks(pairs, length, machine)
}

func (w *World) cutLinks(pairs [][2]string, length time.Duration, machine string) {
	w.Counts["fault: links cut"]++
	end := w.beginDisruption(machine)
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

// injectClosingFault stops all machines at once and restarts them after a short time.
func (w *World) injectClosingFault() {
	w.closing = true
	w.Record.ClosingAt = w.now
	end := w.beginDisruption(AllMachines)
	w.logf("closing fault: %s", w.Params.Closing)
	w.Counts["closing fault: "+w.Params.Closing]++
	wiped := w.anyStore()
	var all []*process
	for _, s := range w.presentStores() {
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
	w.after(longest, func() { w.Record.RestoredAt = w.now })
	w.after(longest+w.Record.Limits.Contact, end)
	for i := len(w.keptTurns) - 1; i >= 0 && i >= len(w.keptTurns)-30; i -= 3 {
		k := w.keptTurns[i]
		if k.at < w.now-4*time.Second {
			break
		}
		w.after(longest+w.between(0, 2*time.Second), func() { w.resumeTurn(k.attempt, k.key, back+recoveryTime) })
	}
}
