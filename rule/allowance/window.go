// Package allowance divides an allowance into shares that holders spend without asking again. Its
// sliding windows may count use for longer than their width, but never for less. Start reading at
// Ledger.
package allowance

import "time"

// Slot is one time slice of a window. Its amount counts until Last has left the window.
type Slot struct {
	Last   time.Duration `msgpack:"l"`
	First  time.Duration `msgpack:"f"`
	Amount int64         `msgpack:"a"`
}

// Window is a sliding window over amounts. Its sum is never below that of an exact window.
type Window struct {
	Width time.Duration `msgpack:"w"`
	Slots []Slot        `msgpack:"s"`
}

// SlotsPerWindow is the number of slots per width of a window.
const SlotsPerWindow = 60

// Sum returns the amount in the window at now.
func (w *Window) Sum(now time.Duration) int64 {
	w.expire(now)
	var sum int64
	for _, s := range w.Slots {
		sum += s.Amount
	}
	return sum
}

// Add records an amount at now.
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

// WaitTime returns the time until amount fits under limit if nothing else is added. Zero means that
// it fits now.
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
