// Package eventqueue runs the events of a simulator in the order of their simulated times, and
// events of one time in the order in which they were added.
package eventqueue

import (
	"container/heap"
	"time"
)

// Queue is an event queue, empty as its zero value. It is not safe for concurrent use.
type Queue struct {
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

// Add schedules run for a simulated time.
func (q *Queue) Add(at time.Duration, run func()) {
	q.seq++
	heap.Push(&q.events, event{at: at, seq: q.seq, run: run})
}

// Run runs the events due by until, including those added meanwhile. It sets now to the time of
// each, and to until at the end.
func (q *Queue) Run(until time.Duration, now *time.Duration) {
	for len(q.events) > 0 && q.events[0].at <= until {
		e := heap.Pop(&q.events).(event)
		*now = e.at
		e.run()
	}
	*now = until
}
