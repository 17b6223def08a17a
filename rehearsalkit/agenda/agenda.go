// Package agenda is the simulated clock of rehearsals: what is to be done, in the
// order of its time, and what is for one time in the order that it was noted.
package agenda

import (
	"container/heap"
	"time"
)

// Agenda is empty and ready as it is.
type Agenda struct {
	events events
	seq    uint64
}

type event struct {
	at  time.Duration
	seq uint64
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return last
}

// Add notes something for a time.
func (a *Agenda) Add(at time.Duration, what func()) {
	a.seq++
	heap.Push(&a.events, event{at: at, seq: a.seq, run: what})
}

// Run does what is due up to a time, with the clock at each one's time.
func (a *Agenda) Run(until time.Duration, now *time.Duration) {
	for len(a.events) > 0 && a.events[0].at <= until {
		e := heap.Pop(&a.events).(event)
		*now = e.at
		e.run()
	}
	*now = until
}
