// Package allowance counts what was used of an allowance: sliding windows that
// run long and never short, and ledgers that divide an allowance into shares.
package allowance

import "time"

// Slot is one slice of a window: an amount, counted until its youngest part has
// left the window.
type Slot struct {
	Last   time.Duration `msgpack:"l"`
	First  time.Duration `msgpack:"f"`
	Amount int64         `msgpack:"a"`
}

// Window is a sliding window. Its slots make it forget late, never early.
type Window struct {
	Width time.Duration `msgpack:"w"`
	Slots []Slot        `msgpack:"s"`
}

// SlotsPerWindow is the number of slices that a window is kept in.
const SlotsPerWindow = 60

// Sum is what the window holds at a time.
func (w *Window) Sum(now time.Duration) int64 {
	w.expire(now)
	var sum int64
	for _, s := range w.Slots {
		sum += s.Amount
	}
	return sum
}

// Add counts an amount at a time.
func (w *Window) Add(now time.Duration, amount int64) {
	if amount == 0 {
		return
	}
	w.expire(now)
	if n := len(w.Slots); n > 0 && now-w.Slots[n-1].First < w.Width/SlotsPerWindow {
		w.Slots[n-1].Amount += amount
		if now > w.Slots[n-1].Last {
			w.Slots[n-1].Last = now
		}
		return
	}
	w.Slots = append(w.Slots, Slot{First: now, Last: now, Amount: amount})
}

// Until is how long it takes until the window has room for an amount under a
// limit, if nothing more is added.
func (w *Window) WaitTime(now time.Duration, amount, limit int64) time.Duration {
	over := w.Sum(now) + amount - limit
	if over <= 0 {
		return 0
	}
	for _, s := range w.Slots {
		over -= s.Amount
		if over <= 0 {
			return s.Last + w.Width - now
		}
	}
	return w.Width
}

func (w *Window) expire(now time.Duration) {
	n := 0
	for n < len(w.Slots) && w.Slots[n].Last+w.Width <= now {
		n++
	}
	w.Slots = append([]Slot(nil), w.Slots[n:]...)
}
