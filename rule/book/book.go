// Package book accounts for the output tokens of one program across all nodes: what its ended
// turns used and what running turns have reserved. A reservation is refused if both together
// would exceed the budget. Start reading at Account.Reserve and Account.Settle.
package book

import (
	"hash/fnv"
	"time"
)

// Account is the durable account of one program, in tokens. Charged is the usage of settled
// turns. Running holds the reservations of turns by attempt; a lost turn keeps its
// reservation.
type Account struct {
	Charged int64            `msgpack:"c"`
	Running map[string]int64 `msgpack:"r,omitempty"`
	// Ended holds hashes of the most recently settled attempts, so that a delayed duplicate
	// of a reservation is recognised and reserves nothing.
	Ended []uint32 `msgpack:"e,omitempty"`
	// LastUsed is when the account was last used; the caller sets it.
	LastUsed time.Duration `msgpack:"t"`
}

// maxEnded is the number of settled attempts that are remembered.
const maxEnded = 32

func attemptHash(attempt string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(attempt))
	return h.Sum32()
}

// Outstanding returns the tokens reserved by running turns.
func (a *Account) Outstanding() int64 {
	var sum int64
	for _, reserved := range a.Running {
		sum += reserved
	}
	return sum
}

// Reserve reserves the greatest output of a turn, and returns false if it exceeds the budget.
// It is idempotent: a repeated call for an attempt reserves nothing more.
func (a *Account) Reserve(attempt string, maxTokens, budget int64) bool {
	if _, ok := a.Running[attempt]; ok {
		return true
	}
	hash := attemptHash(attempt)
	for _, e := range a.Ended {
		if e == hash {
			return true
		}
	}
	if a.Charged+a.Outstanding()+maxTokens > budget {
		return false
	}
	if a.Running == nil {
		a.Running = map[string]int64{}
	}
	a.Running[attempt] = maxTokens
	return true
}

// Settle replaces the reservation of an attempt by its actual usage. An attempt that has no
// reservation yet can no longer get one. It reports whether anything changed.
func (a *Account) Settle(attempt string, tokens int64) bool {
	for _, e := range a.Ended {
		if e == attemptHash(attempt) {
			return false
		}
	}
	if _, ok := a.Running[attempt]; ok {
		delete(a.Running, attempt)
		a.Charged += tokens
	}
	a.Ended = append(a.Ended, attemptHash(attempt))
	if n := len(a.Ended); n > maxEnded {
		a.Ended = append([]uint32(nil), a.Ended[n-maxEnded:]...)
	}
	return true
}
