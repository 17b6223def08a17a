package relaysim

import (
	"fmt"
	"time"
)

const host = "tools.example"

// tenantOf is the tenant of a key, the same in all tables that contain it.
func tenantOf(key string) string {
	for _, t := range []string{"t1", "t2", "t3"} {
		if len(key) > 3 && key[:3] == "k-"+t[1:] {
			return t
		}
	}
	return ""
}

// conversation is a requester that runs one program of turns after the other.
type conversation struct {
	world   *World
	key     string
	runaway bool
}

// program is a chain of turns that may branch.
type program struct {
	*conversation
	name          string
	budget        int64
	stopped       bool
	triesAfter402 int
}

func (c *conversation) startProgram(previous string) {
	w := c.world
	if w.requestersDone() {
		return
	}
	p := &program{conversation: c, name: w.uniqueID("p"), budget: int64(w.between(150, 700))}
	if c.runaway {
		p.budget = int64(w.between(100, 300))
	}
	turns := 3 + w.random.IntN(6)
	if c.runaway {
		turns = 1000
	}
	p.takeTurns(previous, turns, func() { w.after(w.between(50*time.Millisecond, 500*time.Millisecond), func() { c.startProgram("") }) })
}

// windDownTime is the time before the end of a run in which requesters start nothing new.
const windDownTime = 3 * time.Second

func (w *World) requestersDone() bool { return w.Record.End > 0 && w.now > w.Record.End-windDownTime }

func (p *program) takeTurns(previous string, turns int, done func()) {
	w := p.world
	if turns == 0 || p.stopped || w.requestersDone() {
		done()
		return
	}
	p.takeTurn(previous, 0, 0, func(attempt string) {
		if attempt == "" {
			done()
			return
		}
		next := func() {
			pause := w.between(20*time.Millisecond, 300*time.Millisecond)
			if w.chance(0.06) {
				pause = w.between(3*time.Second, keepDuration-time.Second)
			}
			w.after(pause, func() { p.takeTurns(attempt, turns-1, done) })
		}
		if w.chance(0.3) {
			w.callService("tool", "/tool/x", p.key, p.name, 0)
		}
		if p.runaway || w.chance(0.25) {
			const branches = 2
			openBranches := branches
			for i := 0; i < branches; i++ {
				p.takeTurns(attempt, 1+w.random.IntN(2), func() {
					if openBranches--; openBranches == 0 {
						next()
					}
				})
			}
			return
		}
		next()
	})
}

// takeTurn takes one turn with retries; broken and refused count the earlier tries. done receives
// the completed attempt, or "" on failure.
func (p *program) takeTurn(previous string, broken, refused int, done func(attempt string)) {
	w := p.world
	q := Request{
		Kind:      "chat",
		Path:      "/chat/x",
		Attempt:   w.uniqueID("a"),
		Key:       p.key,
		Tenant:    tenantOf(p.key),
		Program:   p.name,
		Previous:  previous,
		Input:     w.uniqueID("say") + "\n",
		Budget:    p.budget,
		MaxTokens: int64(w.between(20, 60)),
		Deadline:  4 * time.Second,
	}
	w.sendRequest(w.readyNode(), q, func(r *Request) {
		retry := func(after time.Duration, brokenNow, refusedNow int) {
			if brokenNow > 2 || refusedNow > 8 || w.requestersDone() {
				done("")
				return
			}
			w.after(after, func() { p.takeTurn(previous, brokenNow, refusedNow, done) })
		}
		switch {
		case r.Outcome == Complete:
			w.keptTurns = append(w.keptTurns, keptTurn{attempt: r.Attempt, key: p.key, at: w.now})
			done(r.Attempt)
		case r.Outcome == Refused && (r.Status == 503 || r.Status == 429):
			retry(max(r.RetryAfter, 50*time.Millisecond)+w.between(0, 50*time.Millisecond), broken, refused+1)
		case r.Outcome == Refused && r.Status == 402:
			if p.stopped = true; p.runaway && p.triesAfter402 < 2 {
				p.triesAfter402++
				retry(w.between(100*time.Millisecond, 400*time.Millisecond), broken, refused)
				return
			}
			done("")
		case r.Outcome == Refused && (r.Status == 401 || r.Status == 404):
			p.stopped = true
			done("")
		case r.Outcome == Unreachable:
			retry(50*time.Millisecond, broken, refused+1)
		default:
			retry(w.between(100*time.Millisecond, 400*time.Millisecond), broken+1, refused)
		}
	})
}

type keptTurn struct {
	attempt, key string
	at           time.Duration
}

// resumeTurn continues from an earlier turn in a new program, retrying until the given time.
func (w *World) resumeTurn(attempt, key string, until time.Duration) {
	if w.now > until {
		return
	}
	q := Request{
		Kind:      "chat",
		Path:      "/chat/x",
		Attempt:   w.uniqueID("a"),
		Key:       key,
		Tenant:    tenantOf(key),
		Program:   w.uniqueID("p"),
		Previous:  attempt,
		Input:     w.uniqueID("say") + "\n",
		Budget:    500,
		MaxTokens: 30,
		Deadline:  4 * time.Second,
	}
	w.sendRequest(w.readyNode(), q, func(r *Request) {
		if r.Outcome != Complete && r.Status != 404 && r.Status != 401 {
			w.after(w.between(100*time.Millisecond, 400*time.Millisecond), func() { w.resumeTurn(attempt, key, until) })
		}
	})
}

// callService makes a request outside of any conversation and retries refusals a few times.
func (w *World) callService(kind, path, key, program string, try int) {
	q := Request{
		Kind:     kind,
		Path:     path,
		Attempt:  w.uniqueID("a"),
		Key:      key,
		Tenant:   tenantOf(key),
		Program:  program,
		Input:    "do\n",
		Deadline: 1500 * time.Millisecond,
	}
	if kind == "gen" || kind == "raw" {
		q.MaxTokens = int64(w.between(20, 60))
	}
	w.sendRequest(w.readyNode(), q, func(r *Request) {
		if r.Outcome == Refused && (r.Status == 503 || r.Status == 429) && try < 3 && !w.requestersDone() {
			w.after(max(r.RetryAfter, 20*time.Millisecond), func() { w.callService(kind, path, key, program, try+1) })
		}
	})
}

func (w *World) runCaller(key string) {
	if w.requestersDone() {
		return
	}
	kinds := [][2]string{{"tool", "/tool/x"}, {"look", "/look/x"}, {"gen", "/gen/x"}, {"raw", "/raw/x"}}
	kind := kinds[w.random.IntN(len(kinds))]
	w.callService(kind[0], kind[1], key, "", 0)
	if w.chance(0.03) && len(w.keptTurns) > 0 {
		// One previous turn belongs to another tenant, and one never existed.
		k := w.keptTurns[w.random.IntN(len(w.keptTurns))]
		other := "k-2a"
		if tenantOf(k.key) == "t2" {
			other = "k-1a"
		}
		for _, previous := range []string{k.attempt, "none"} {
			w.sendRequest(w.readyNode(), Request{
				Kind:      "chat",
				Path:      "/chat/x",
				Attempt:   w.uniqueID("a"),
				Key:       other,
				Tenant:    tenantOf(other),
				Previous:  previous,
				Input:     "x\n",
				Program:   w.uniqueID("p"),
				Budget:    100,
				MaxTokens: 20,
				Deadline:  2 * time.Second,
			}, nil)
		}
	}
	w.after(w.between(30*time.Millisecond, 250*time.Millisecond), func() { w.runCaller(key) })
}

func (w *World) flood(key string, number int) {
	if w.requestersDone() {
		return
	}
	pause := w.between(10*time.Millisecond, 60*time.Millisecond)
	if w.now/(4*time.Second)%3 == 2 {
		pause *= 8
	}
	kind, path := "look", "/look/x"
	if number%2 == 1 {
		kind, path = "tool", "/tool/x"
	}
	w.sendRequest(w.readyNode(), Request{
		Kind:     kind,
		Path:     path,
		Attempt:  w.uniqueID("a"),
		Key:      key,
		Tenant:   tenantOf(key),
		Input:    "do\n",
		Deadline: time.Second,
	}, nil)
	w.after(pause, func() { w.flood(key, number) })
}

// runProbe requests routes that exist only in single tables.
func (w *World) runProbe() {
	if w.requestersDone() {
		return
	}
	n := w.nodes[w.random.IntN(len(w.nodes))]
	for i := len(w.Record.Tables) - 1; i >= 0 && i >= len(w.Record.Tables)-3; i-- {
		t := w.Record.Tables[i]
		w.sendRequest(n, Request{
			Kind:     "probe",
			Path:     probePath(t.ID) + "x",
			Attempt:  w.uniqueID("a"),
			Input:    "?\n",
			Deadline: time.Second,
		}, nil)
	}
	w.after(w.between(60*time.Millisecond, 200*time.Millisecond), w.runProbe)
}

func probePath(mark string) string { return fmt.Sprintf("/probe-%s/", mark) }
