package relaysim

import (
	"fmt"
	"runtime"
	"time"
)

// starting is how long a fleet has to be founded and to have a first table.
const starting = 6 * time.Second

// lay founds the fleet, its replicas and its first table, with no requesters.
func (w *World) lay(firstTable func()) {
	end := w.trouble(Stores)
	w.boot()
	w.after(time.Second, func() {
		number := 0
		for _, service := range []string{modelA, modelA, modelA, modelB, modelB, plainA, plainA, plainA, plainB, plainB} {
			number++
			w.startReplica(service, fmt.Sprintf("10.0.3.%d:8080", number), number)
		}
	})
	w.after(time.Second, firstTable)
	w.after(starting-w.Record.Limits.Contact, end)
}

// boot starts all machines.
func (w *World) boot() {
	for _, s := range w.stores {
		for _, p := range s.processes() {
			w.after(w.between(0, 200*time.Millisecond), p.boot)
		}
	}
	for _, n := range w.nodes {
		w.after(w.between(0, 200*time.Millisecond), n.boot)
	}
}

// populate starts requesters and operators.
func (w *World) populate() {
	p := w.Params
	keys := []string{"k-1a", "k-2a", "k-2a", "k-1b"}
	for i := 0; i < p.Talkers+p.Runaways; i++ {
		t := &talk{world: w, key: keys[i%len(keys)], runaway: i >= p.Talkers}
		w.after(w.between(0, time.Second), func() { t.begin("") })
	}
	for i := 0; i < p.Callers; i++ {
		key := keys[i%len(keys)]
		w.after(w.between(0, time.Second), func() { w.caller(key) })
	}
	for i := 0; i < p.Pressers; i++ {
		key := []string{"k-3a", "k-3a", "k-1a"}[i%3]
		w.after(w.between(0, time.Second), func() { w.press(key, i) })
	}
	for i := 0; i < p.Operators; i++ {
		w.after(w.between(0, 2*time.Second), w.operator)
	}
	w.probe()
}

// Run runs a whole world and returns the breaches.
func Run(p Params) (*World, []Breach) {
	w := New(p)
	w.lay(w.firstTable)
	w.run(starting)
	w.faultsUntil = starting + p.Length
	closingAt := w.faultsUntil + 5*time.Second
	w.Record.End = closingAt
	if p.Closing != "" {
		w.Record.End += 1500*time.Millisecond + recovery + 6*time.Second
		w.after(closingAt-w.now, w.close)
	}
	w.populate()
	if p.Faults {
		w.after(time.Second, w.fault)
		w.churn()
	}
	w.after(w.Record.End-3*time.Second-w.now, w.readBack)
	w.run(w.Record.End)
	return w, w.Record.Judge()
}

// Outcome is what became of one seed.
type Outcome struct {
	Seed     uint64
	Breaches []Breach
	Counts   map[string]int64
}

// RunSeeds runs seeds side by side and tells their outcomes as they come.
func RunSeeds(first uint64, count int, logf func(format string, args ...any), tell func(o Outcome)) {
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
		tell(<-done)
	}
}
