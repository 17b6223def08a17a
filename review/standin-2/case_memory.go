package main

import (
	"bytes"
	"strconv"
	"sync"
	"time"
)

func init() { cases["memory"] = playMemory }

const (
	// largeInput is a twentieth of bodyMaxBytes; usualInput is the site's mean.
	largeInput = 200_000
	usualInput = 4300
	// turnsPerSecond is half of the site's rate of kept turns.
	turnsPerSecond = 20
	memorySeconds  = 60
	bytesPerToken  = 5
	ownTokens      = 50
)

// playMemory lets programs take first turns on a route that keeps them, with larger inputs than usual.
func playMemory(b *bench) int {
	if _, ok := b.found(8, 2); !ok {
		return notRun
	}
	size := usualInput
	if b.trouble {
		size = largeInput
	}
	b.note("%d turns a second for %d s, each with an input of %d bytes", turnsPerSecond, memorySeconds, size)
	statuses := b.takeTurns(size, memorySeconds)
	b.note("answers by status: %v", statuses)
	if statuses[200] == 0 {
		return notRun
	}
	b.fleet.peaks("core", 1)
	time.Sleep(10 * time.Second)
	status, text := b.order("GET", "/v1/configuration/read", "", nil, 10*time.Second)
	b.note("the operator reads the configuration back: %d, %d bytes", status, len(text))
	if machines := b.fleet.peaks("core", 3); machines >= 2 {
		b.note("BROKEN: on %d of 3 machines of the core, processes ended three times", machines)
		return broken
	}
	if status != 200 {
		b.note("BROKEN: the acknowledged configuration doesn't come")
		return broken
	}
	return held
}

// takeTurns sends first turns of programs for some seconds, and returns how many were answered with
// each status.
func (b *bench) takeTurns(size, seconds int) map[int]int {
	input := bytes.Repeat([]byte("0123456789abcdef"), size/16)
	edges := b.fleet.of("edge")
	statuses := map[int]int{}
	var sent sync.WaitGroup
	var lock sync.Mutex
	tick := time.NewTicker(time.Second / turnsPerSecond)
	defer tick.Stop()
	for i := range turnsPerSecond * seconds {
		<-tick.C
		sent.Add(1)
		go func() {
			defer sent.Done()
			attempt := newAttempt()
			tokens := size / bytesPerToken
			got := b.ask(edges[i%len(edges)], turn{attempt: attempt, program: "p" + strconv.Itoa(i), budget: 2304, most: 63,
				prompt: tokens, shared: tokens - ownTokens, prefix: keptPrefix, body: append([]byte(attempt), input...)})
			b.note("turn %s of %d bytes at %s: %d", attempt, size, edges[i%len(edges)].name, got.status)
			lock.Lock()
			defer lock.Unlock()
			statuses[got.status]++
		}()
	}
	sent.Wait()
	return statuses
}
