// Package agenda is the event queue of the simulators. It runs events in the order of their
// simulated times, and events of one time in the order in which they were added.
package agenda

import (
	"container/heap"
	"time"
)

// Agenda is a queue of events. The zero value is empty and ready to use.
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

// Add schedules a function for a simulated time.
func (a *Agenda) Add(at time.Duration, run func()) {
	a.seq++
	heap.Push(&a.events, event{at: at, seq: a.seq, run: run})
}

// Run runs the events that are due up to a time, with now set to the time of each, and
// leaves now at that time.
func (a *Agenda) Run(until time.Duration, now *time.Duration) {
	for len(a.events) > 0 && a.events[0].at <= until {
		e := heap.Pop(&a.events).(event)
		*now = e.at
		e.run()
	}
	*now = until
}
