package relaysim

import (
	"time"

	"saffronfall/peer/registry"
	"saffronfall/rule/ordered"
)

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

// losePowerAfterAck may cut the power of the configuration leader's store after a table is
// acknowledged.
func (w *World) losePowerAfterAck() {
	if !w.Params.Faults || w.now < w.noLossUntil || w.now > w.faultsUntil || !w.chance(0.3) {
		return
	}
	if leader := w.leaderOf(0); leader != nil && !leader.removed {
		w.Counts["fault: power lost after an acknowledgement"]++
		length := w.between(200*time.Millisecond, 3*time.Second)
		w.noLossUntil = w.now + length + catchUpTime
		w.losePower(leader, w.chance(0.5), length)
	}
}

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
		newStore := w.addStore(s.registry != nil)
		for _, p := range newStore.processes() {
			if !w.closing {
				p.boot()
			}
		}
		end()
	})
}

func (w *World) addAndRetire(s *store) {
	w.logf("a store is added; %s will be retired", s.core.id)
	w.Counts["stores added"]++
	newStore := w.addStore(false)
	end := w.beginDisruption(AnyStore)
	newStore.core.boot()
	end()
	until := w.now + retirementLimit
	w.noLossUntil = until
	w.after(2*time.Second, func() { w.retireStore(s, until) })
}

const (
	retirementLimit        = 12 * time.Second
	retirementCallTimeout  = 1500 * time.Millisecond
	retirementPollInterval = 300 * time.Millisecond
)

func (w *World) retireStore(s *store, until time.Duration) {
	if w.now > until || w.closing || s.removed {
		return
	}
	retry := func() { w.after(retirementPollInterval, func() { w.retireStore(s, until) }) }
	finished := false
	w.callRegistry(w.anyRegistry(), func(reg Registry, now time.Duration, ticket uint64) registry.Output {
		return reg.Retire(now, ticket, s.core.id)
	}, func(body any) {
		status, ok := body.(registry.RetirementStatus)
		if finished {
			return
		}
		finished = true
		if !ok || status.Uncertain || !status.Known || !status.EnoughCores {
			retry()
			return
		}
		w.awaitRetired(s, until)
	})
	w.after(retirementCallTimeout, func() {
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
			w.after(retirementPollInterval, func() { w.awaitRetired(s, until) })
		}
	}
	w.callRegistry(w.anyRegistry(), func(reg Registry, now time.Duration, ticket uint64) registry.Output {
		return reg.RetirementStatus(now, ticket, s.core.id)
	}, func(body any) {
		status, _ := body.(registry.RetirementStatus)
		if finished {
			return
		}
		if !status.Done || w.closing {
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
	w.after(retirementCallTimeout, retry)
}

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

func (w *World) isolate(from []*process, length time.Duration, machine string) {
	isolated := map[string]bool{}
	for _, p := range from {
		isolated[p.address] = true
	}
	var pairs [][2]string
	both := func(a, b string) {
		pairs = append(pairs, [2]string{a, b}, [2]string{b, a})
	}
	for _, p := range from {
		for _, address := range ordered.Keys(w.processes) {
			if !isolated[address] {
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

// Range of the downtime when all machines stop at once.
const (
	minRestart = 500 * time.Millisecond
	maxRestart = 1500 * time.Millisecond
)

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
		after := w.between(minRestart, maxRestart)
		longest = max(longest, after)
		w.after(after, p.boot)
	}
	back := w.now + longest
	w.after(longest, func() { w.Record.RestoredAt = w.now })
	w.after(longest+w.Record.Limits.Contact, end)
	w.repeatRecentOperations(longest, longest+recoveryTime+judgedRecovery/2)
	for i := len(w.keptTurns) - 1; i >= 0 && i >= len(w.keptTurns)-30; i -= 3 {
		k := w.keptTurns[i]
		if k.at < w.now-4*time.Second {
			break
		}
		w.after(longest+w.between(0, 2*time.Second), func() { w.resumeTurn(k.attempt, k.key, back+recoveryTime) })
	}
}
