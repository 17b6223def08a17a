package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["runaway"] = playRunaway }

// Programs of the site's kept class: the usual ones as its means, and two in a hundred that run away.
const (
	programsBegun = 100
	programGap    = 850 * time.Millisecond
	programPause  = 60 * time.Millisecond
	programAim    = 15 * time.Second
	// fanEvery: helpers follow a quarter of the turns, with helperTurns turns each.
	fanEvery    = 4
	helperTurns = 2
	usualTurns  = 11
	usualWidth  = 5
	// runawayInput is less than a hundredth of bodyMaxBytes. With bytesPerToken, a replica's memory holds
	// a prompt of longTurns such inputs.
	runawayInput = 40_000
	longTurns    = 20
	runawayWidth = 10
	helperInput  = 400
	sharedTokens = 512
	tokenBudget  = 200_000
	mostOut      = 63
	// triesOfTurn: a turn is sent three times at most, and each time the client tries once more.
	triesOfTurn = 6
	// runawaySeconds after the start everything ends.
	runawaySeconds = 95
)

// runsAway tells which of the programs run away.
func runsAway(number int) bool { return number == 4 || number == 6 }

// line is a line of turns of a program.
type line struct {
	program, session, previous, parts string
	prompt, width                     int
	// due is when the program should be done.
	due time.Time
}

// playRunaway lets programs with helpers take turns on a route that keeps them. Their clients are in a zone
// with two front machines, and each turn is sent to one of the two.
func playRunaway(b *bench) int {
	b.fleet.moveEdge("sala-cuenca", "edge-sala-quito-2", "sala-quito")
	if _, ok := b.found(8, 2); !ok {
		return notRun
	}
	usual, runaways := newTally(), newTally()
	var running sync.WaitGroup
	for i := range programsBegun {
		if b.runawayOver() {
			break
		}
		statuses := usual
		if runsAway(i) {
			statuses = runaways
		}
		running.Go(func() { b.runProgram(i, statuses) })
		time.Sleep(programGap)
	}
	running.Wait()
	b.note("answers by status (0: none, or not a whole one): to the programs that run away %v, to the others %v", runaways.counts, usual.counts)
	if usual.counts[200] == 0 {
		return notRun
	}
	b.fleet.peaks("core", 1)
	if machines := b.fleet.peaks("node", 3); machines >= 2 {
		b.note("BROKEN: on %d of 3 front machines, processes ended three times", machines)
		return broken
	}
	return held
}

// runawayOver reports whether the rule is broken already, or the time is over.
func (b *bench) runawayOver() bool {
	return time.Since(b.began) > runawaySeconds*time.Second || b.fleet.endedOften("node", 3) >= 2
}

// moveEdge gives the front machine of a zone another name and zone.
func (f *fleet) moveEdge(from, name, to string) {
	for i, m := range f.machines {
		if m.class == "edge" && m.zone == from {
			f.machines[i].name, f.machines[i].zone = name, to
		}
	}
}

type tally struct {
	lock   sync.Mutex
	counts map[int]int
}

func newTally() *tally { return &tally{counts: map[int]int{}} }

func (t *tally) add(status int) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.counts[status]++
}

// runProgram takes a program's turns one after the other. One that runs away starts helpers after each
// turn, until a turn isn't answered.
func (b *bench) runProgram(number int, statuses *tally) {
	name := fmt.Sprintf("%06x", 0x3fa800+number)
	main := line{program: name, session: name + "0", prompt: sharedTokens, parts: fmt.Sprintf("5c1e07a2:%d", sharedTokens), width: usualWidth,
		due: time.Now().Add(programAim)}
	turns, size := usualTurns, usualInput
	if runsAway(number) {
		turns, size, main.width = longTurns, runawayInput, runawayWidth
	}
	for turn := 1; turn <= turns; turn++ {
		if !b.take(&main, size, statuses) {
			return
		}
		if turn%fanEvery == 0 {
			b.help(main, turn, statuses)
		}
		time.Sleep(programPause)
	}
	if !b.trouble || !runsAway(number) {
		return
	}
	b.note("program %s runs away", name)
	for turn := turns + 1; !b.runawayOver() && b.take(&main, helperInput, statuses); turn++ {
		b.help(main, turn, statuses)
	}
	b.note("program %s has ended", name)
}

// help starts helpers side by side and waits for them. Their turns go on from the last one of the line.
func (b *bench) help(main line, turn int, statuses *tally) {
	var helpers sync.WaitGroup
	for i := range main.width {
		helper := main
		helper.session = fmt.Sprintf("%s%d%d", main.program, turn, i)
		helpers.Go(func() {
			for range helperTurns {
				if !b.take(&helper, helperInput, statuses) {
					return
				}
			}
		})
	}
	helpers.Wait()
}

// take takes a line's next turn. A further try goes to the other machine of the zone.
func (b *bench) take(l *line, size int, statuses *tally) bool {
	edges, tokens := b.fleet.inZone("sala-quito"), size/bytesPerToken
	input := bytes.Repeat([]byte("0123456789abcdef"), size/16)
	first := rand.IntN(len(edges))
	for try := range triesOfTurn {
		attempt := newAttempt()
		parts := fmt.Sprintf("%s,%s:%d", l.parts, attempt, tokens)
		edge := edges[(first+try)%len(edges)]
		got := b.ask(edge, turn{attempt: attempt, program: l.program, previous: l.previous, budget: tokenBudget, most: mostOut,
			prompt: l.prompt + tokens, parts: parts, prefix: keptPrefix, horizon: time.Until(l.due),
			body: append([]byte(attempt), input...)})
		statuses.add(got.status)
		b.note("turn %s of program %s, after %q, at %s: %d %v", attempt, l.program, l.previous, edge.name, got.status, got.err)
		if got.success() {
			l.previous, l.parts, l.prompt = attempt, parts, l.prompt+tokens
			return true
		}
		if got.status/100 == 4 {
			return false
		}
		time.Sleep(time.Duration(100+rand.IntN(300)) * time.Millisecond)
	}
	return false
}

// inZone returns the front machines of a zone.
func (f *fleet) inZone(zone string) (list []machine) {
	for _, m := range f.of("edge") {
		if m.zone == zone {
			list = append(list, m)
		}
	}
	return list
}
