package main

import (
	"os"
	"strconv"
	"time"
)

func init() { cases["zone"] = playZone }

// zoneDown is how long a lost zone is down, and zoneCatchUp how long it counts as lost after that:
// catchUpS and some more.
const (
	zoneDown    = 3 * time.Second
	zoneCatchUp = 9 * time.Second
)

// playZone founds a fleet that is told to bear the loss of one zone, has a configuration acknowledged
// and loses one zone after the other, each only once the one before counts as whole again.
func playZone(b *bench) int {
	b.fleet.tolerance = tolerance{machines: 0, zones: 1}
	if os.Getenv("TOLERANCE") == "machines" {
		b.fleet.tolerance = tolerance{machines: 1, zones: 0}
	}
	b.note("tolerance: %+v", b.fleet.tolerance)
	if _, ok := b.found(4, 2); !ok {
		return notRun
	}
	result, revision := held, 1
	for _, edge := range b.fleet.of("edge") {
		if status := b.replace(revision, configuration(revision+1, nil), 8*time.Second); status == 200 {
			revision++
		}
		kept := newAttempt()
		first := b.ask(edge, turn{attempt: kept, program: "p" + kept, budget: 2304, most: 63, prompt: 800, shared: 512,
			prefix: keptPrefix, body: []byte("first input\n")})
		b.note("a turn is answered with %d, seal %q", first.status, first.seal)
		if b.trouble {
			b.fleet.loseZone(edge.zone, zoneDown)
		}
		time.Sleep(zoneCatchUp)
		if first.success() && !b.goesOn(kept) {
			b.note("BROKEN: a turn that was answered whole can't be continued")
			result = broken
		}
		if !b.readsBack(revision) {
			b.note("BROKEN: the acknowledged configuration %d can't be read back", revision)
			return broken
		}
	}
	return result
}

// readsBack reports whether the operator gets the acknowledged configuration, asking for more than
// contactMs and more than recoveryS.
func (b *bench) readsBack(revision int) bool {
	status, text := b.order("GET", "/v1/configuration/read", "", nil, 15*time.Second)
	b.note("the operator reads the configuration back: %d, as sent: %v", status, string(text) == string(configuration(revision, nil)))
	return status == 200 && string(text) == string(configuration(revision, nil))
}

// goesOn reports whether a turn that was answered whole can be continued at some node.
func (b *bench) goesOn(previous string) bool {
	for try := range 5 {
		node := b.fleet.of("edge")[try%3]
		next := newAttempt()
		got := b.ask(node, turn{attempt: next, program: "p" + next, previous: previous, budget: 2304, most: 63, prompt: 900, shared: 800,
			prefix: keptPrefix, body: []byte("second input\n")})
		b.note("the next turn of %s at %s is answered with %s", previous, node.name, strconv.Itoa(got.status))
		if got.success() {
			return true
		}
		if got.status == 404 || got.status == 410 {
			return false
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}
