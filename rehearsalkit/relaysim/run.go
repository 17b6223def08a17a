package relaysim

import (
	"fmt"
	"runtime"
	"time"
)

// startupTime is the time for a fleet to be founded and to get its first table.
const startupTime = 6 * time.Second

func (w *World) startFleet(firstTable func()) {
	end := w.beginDisruption(AnyStore)
	w.bootAll()
	w.after(time.Second, func() {
		number := 0
		for _, service := range []string{modelA, modelA, modelA, modelB, modelB, plainA, plainA, plainA, plainB, plainB, ledgerA, ledgerA, ledgerA, ledgerB, ledgerB} {
			number++
			w.startReplica(service, fmt.Sprintf("10.0.3.%d:8080", number), number)
		}
	})
	w.after(time.Second, firstTable)
	w.after(startupTime-w.Record.Limits.Contact, end)
}

func (w *World) bootAll() {
	for _, s := range w.stores {
		for _, p := range s.processes() {
			w.after(w.between(0, 200*time.Millisecond), p.boot)
		}
	}
	for _, n := range w.nodes {
		w.after(w.between(0, 200*time.Millisecond), n.boot)
	}
}

func (w *World) startWorkload() {
	p := w.Params
	keys := []string{"k-1a", "k-2a", "k-2a", "k-1b"}
	for i := 0; i < p.Conversations+p.Runaways; i++ {
		t := &conversation{world: w, key: keys[i%len(keys)], runaway: i >= p.Conversations}
		w.after(w.between(0, time.Second), func() { t.startProgram("") })
	}
	for i := 0; i < p.Callers; i++ {
		key := keys[i%len(keys)]
		w.after(w.between(0, time.Second), func() { w.runCaller(key) })
	}
	for i := 0; i < p.Flooders; i++ {
		key := []string{"k-3a", "k-3a", "k-1a"}[i%3]
		w.after(w.between(0, time.Second), func() { w.flood(key, i) })
	}
	for i := 0; i < p.KeyedRequesters; i++ {
		// Three tenants give their operations the same names.
		key := []string{"k-1a", "k-2a", "k-3a", "k-2a"}[i%4]
		w.after(w.between(0, time.Second), func() { w.runKeyedRequester(key, 1+i/3*firstKeyOffset) })
	}
	for i := 0; i < p.Operators; i++ {
		w.after(w.between(0, 2*time.Second), w.runOperator)
	}
	w.runProbe()
}

const (
	quietBeforeClosing = 5 * time.Second
	// judgedRecovery is the time judged after the recovery time.
	judgedRecovery = 6 * time.Second
)

// Run simulates one run and returns the world and the breaches.
func Run(p Params) (*World, []Breach) {
	w := New(p)
	return w, runWorld(w)
}

func runWorld(w *World) []Breach {
	p := w.Params
	w.startFleet(w.applyFirstTable)
	w.runUntil(startupTime)
	w.faultsUntil = startupTime + p.FaultPeriod
	closingAt := w.faultsUntil + quietBeforeClosing
	w.Record.End = closingAt
	if p.Closing != "" {
		w.Record.End += maxRestart + recoveryTime + judgedRecovery
		w.after(closingAt-w.now, w.injectClosingFault)
	}
	w.startWorkload()
	if p.Faults {
		w.after(time.Second, w.injectFault)
		w.churn()
	}
	w.after(w.Record.End-windDownTime-w.now, w.readFinalTable)
	w.runUntil(w.Record.End)
	return w.judge()
}

// judge judges a finished run and counts what came about with keys.
func (w *World) judge() []Breach {
	index := w.Record.index()
	for _, o := range index.keyedOperations() {
		if len(o.runs) > 1 && o.runs[len(o.runs)-1].At >= o.runs[0].Sent+w.Record.Limits.KeyWindow {
			w.Counts["keyed: ran again after the window"]++
		}
	}
	return w.Record.Judge()
}

// Outcome is the result of one seed.
type Outcome struct {
	Seed     uint64
	Breaches []Breach
	Counts   map[string]int64
}

// RunSeeds runs seeds in parallel and reports each outcome as it completes.
func RunSeeds(first uint64, count int, logf func(format string, args ...any), report func(o Outcome)) {
	work, done := make(chan uint64), make(chan Outcome)
	for i := 0; i < min(count, runtime.NumCPU()); i++ {
		go func() {
			for seed := range work {
				p := Defaults(seed)
				p.Logf = logf
				w, breaches := Run(p)
				done <- Outcome{Seed: seed, Breaches: breaches, Counts: w.Counts}
			}
		}()
	}
	go func() {
		for i := 0; i < count; i++ {
			work <- first + uint64(i)
		}
		close(work)
	}()
	for i := 0; i < count; i++ {
		report(<-done)
	}
}
