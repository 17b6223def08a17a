// Package account tracks the output tokens of one program across all nodes: those that ended
// turns used and those that running turns have reserved. Both together stay within the budget.
// Start reading at Account.Reserve and Account.Settle.
package account

import (
	"hash/fnv"
	"math"
	"time"
)

// Account is the stored state of one program, in tokens. Charged is the usage of settled
// turns. Running holds reservations by attempt; a lost turn keeps its reservation.
type Account struct {
	Charged int64            `msgpack:"c"`
	Running map[string]int64 `msgpack:"r,omitempty"`
	// Ended holds hashes of recently settled attempts, so that a delayed duplicate of a
	// reservation reserves nothing.
	Ended []uint32 `msgpack:"e,omitempty"`
	// LastUsed is the caller's time of the last reservation.
	LastUsed time.Duration `msgpack:"t"`
}

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
		sum = saturatingSum(sum, reserved)
	}
	return sum
}

// saturatingSum returns the sum of numbers that are not negative, or the greatest int64 if it is
// larger: clients declare any number.
func saturatingSum(numbers ...int64) int64 {
	var sum int64
	for _, n := range numbers {
		if n > math.MaxInt64-sum {
			return math.MaxInt64
		}
		sum += n
	}
	return sum
}

// Reserve reserves the greatest output of a turn, and returns false if that would exceed the
// budget. It is idempotent for an attempt.
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
	used := saturatingSum(a.Charged, a.Outstanding())
	if maxTokens < 0 || used > budget || maxTokens > budget-used {
		return false
	}
	if a.Running == nil {
		a.Running = map[string]int64{}
	}
	a.Running[attempt] = maxTokens
	return true
}

// Settle replaces the reservation of an attempt by its actual usage, and reports whether
// anything changed. A later reservation of the attempt reserves nothing.
func (a *Account) Settle(attempt string, tokens int64) bool {
	for _, e := range a.Ended {
		if e == attemptHash(attempt) {
			return false
		}
	}
	if _, ok := a.Running[attempt]; ok {
		delete(a.Running, attempt)
		a.Charged = saturatingSum(a.Charged, tokens)
	}
	a.Ended = append(a.Ended, attemptHash(attempt))
	if n := len(a.Ended); n > maxEnded {
		a.Ended = append([]uint32(nil), a.Ended[n-maxEnded:]...)
	}
	return true
}
