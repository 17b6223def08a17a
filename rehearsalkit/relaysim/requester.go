package relaysim

import (
	"fmt"
	"time"
)

const host = "tools.example"

// tenantOf is who holds a key, in whichever tables have it at all.
func tenantOf(key string) string {
	for _, t := range []string{"t1", "t2", "t3"} {
		if len(key) > 3 && key[:3] == "k-"+t[1:] {
			return t
		}
	}
	return ""
}

// talk is a requester that holds conversations, one program after the other.
type talk struct {
	world   *World
	key     string
	runaway bool
}

// program is one row of turns with its helpers.
type program struct {
	*talk
	name   string
	budget int64
	over   bool
	// after402 counts the tries after the budget was said to be spent.
	after402 int
}

func (t *talk) begin(previous string) {
	w := t.world
	if w.over() {
		return
	}
	p := &program{talk: t, name: w.mark("p"), budget: int64(w.between(150, 700))}
	if t.runaway {
		p.budget = int64(w.between(100, 300))
	}
	turns := 3 + w.random.IntN(6)
	if t.runaway {
		turns = 1000
	}
	p.line(previous, turns, func() { w.after(w.between(50*time.Millisecond, 500*time.Millisecond), func() { t.begin("") }) })
}

// over reports whether requesters begin nothing any more.
func (w *World) over() bool { return w.Record.End > 0 && w.now > w.Record.End-3*time.Second }

// line takes turns one after the other.
func (p *program) line(previous string, turns int, done func()) {
	w := p.world
	if turns == 0 || p.over || w.over() {
		done()
		return
	}
	p.turn(previous, 0, 0, func(attempt string) {
		if attempt == "" {
			done()
			return
		}
		next := func() {
			pause := w.between(20*time.Millisecond, 300*time.Millisecond)
			if w.chance(0.06) {
				pause = w.between(3*time.Second, keepFor-time.Second)
			}
			w.after(pause, func() { p.line(attempt, turns-1, done) })
		}
		if w.chance(0.3) {
			w.call("tool", "/tool/x", p.key, p.name, 0)
		}
		if p.runaway || w.chance(0.25) {
			helpers := 2
			for i := 0; i < 2; i++ {
				p.line(attempt, 1+w.random.IntN(2), func() {
					if helpers--; helpers == 0 {
						next()
					}
				})
			}
			return
		}
		next()
	})
}

// turn takes one turn, with the tries that requesters have. The name of the
// attempt that came whole is told; none: it failed.
func (p *program) turn(previous string, broken, refused int, done func(attempt string)) {
	w := p.world
	q := Request{Kind: "chat", Path: "/chat/x", Attempt: w.mark("a"), Key: p.key, Tenant: tenantOf(p.key), Program: p.name, Previous: previous, Input: w.mark("say") + "\n",
		Budget: p.budget, Most: int64(w.between(20, 60)), Deadline: 4 * time.Second}
	w.ask(w.readyNode(), q, func(r *Request) {
		again := func(after time.Duration, b, f int) {
			if b > 2 || f > 8 || w.over() {
				done("")
				return
			}
			w.after(after, func() { p.turn(previous, b, f, done) })
		}
		switch {
		case r.Outcome == Whole:
			w.kept = append(w.kept, keptAttempt{attempt: r.Attempt, key: p.key, at: w.now})
			done(r.Attempt)
		case r.Outcome == Refused && (r.Status == 503 || r.Status == 429):
			again(max(r.RetryAfter, 50*time.Millisecond)+w.between(0, 50*time.Millisecond), broken, refused+1)
		case r.Outcome == Refused && r.Status == 402:
			if p.over = true; p.runaway && p.after402 < 2 {
				p.after402++
				again(w.between(100*time.Millisecond, 400*time.Millisecond), broken, refused)
				return
			}
			done("")
		case r.Outcome == Refused && (r.Status == 401 || r.Status == 404):
			p.over = true
			done("")
		case r.Outcome == Unreached:
			again(50*time.Millisecond, broken, refused+1)
		default:
			again(w.between(100*time.Millisecond, 400*time.Millisecond), broken+1, refused)
		}
	})
}

// keptAttempt is a turn that came whole.
type keptAttempt struct {
	attempt, key string
	at           time.Duration
}

// resume begins programs that go on from earlier turns, and asks until the time
// to recover is over.
func (w *World) resume(attempt, key string, until time.Duration) {
	if w.now > until {
		return
	}
	q := Request{Kind: "chat", Path: "/chat/x", Attempt: w.mark("a"), Key: key, Tenant: tenantOf(key), Program: w.mark("p"), Previous: attempt, Input: w.mark("say") + "\n",
		Budget: 500, Most: 30, Deadline: 4 * time.Second}
	w.ask(w.readyNode(), q, func(r *Request) {
		if r.Outcome != Whole && r.Status != 404 && r.Status != 401 {
			w.after(w.between(100*time.Millisecond, 400*time.Millisecond), func() { w.resume(attempt, key, until) })
		}
	})
}

// call makes a request that holds no conversation, with a few tries where they
// are allowed.
func (w *World) call(kind, path, key, program string, try int) {
	q := Request{Kind: kind, Path: path, Attempt: w.mark("a"), Key: key, Tenant: tenantOf(key), Program: program, Input: "do\n", Deadline: 1500 * time.Millisecond}
	if kind == "gen" || kind == "raw" {
		q.Most = int64(w.between(20, 60))
	}
	w.ask(w.readyNode(), q, func(r *Request) {
		if r.Outcome == Refused && (r.Status == 503 || r.Status == 429) && try < 3 && !w.over() {
			w.after(max(r.RetryAfter, 20*time.Millisecond), func() { w.call(kind, path, key, program, try+1) })
		}
	})
}

// caller calls tools and streams of all kinds, from time to time.
func (w *World) caller(key string) {
	if w.over() {
		return
	}
	kinds := [][2]string{{"tool", "/tool/x"}, {"look", "/look/x"}, {"gen", "/gen/x"}, {"raw", "/raw/x"}}
	kind := kinds[w.random.IntN(len(kinds))]
	w.call(kind[0], kind[1], key, "", 0)
	if w.chance(0.03) && len(w.kept) > 0 {
		// A turn that is another tenant's, and one that never was.
		k := w.kept[w.random.IntN(len(w.kept))]
		other := "k-2a"
		if tenantOf(k.key) == "t2" {
			other = "k-1a"
		}
		for _, previous := range []string{k.attempt, "none"} {
			w.ask(w.readyNode(), Request{Kind: "chat", Path: "/chat/x", Attempt: w.mark("a"), Key: other, Tenant: tenantOf(other), Previous: previous, Input: "x\n", Program: w.mark("p"), Budget: 100, Most: 20, Deadline: 2 * time.Second}, nil)
		}
	}
	w.after(w.between(30*time.Millisecond, 250*time.Millisecond), func() { w.caller(key) })
}

// press goes on beyond what a tenant may ask for, in bursts.
func (w *World) press(key string, number int) {
	if w.over() {
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
	w.ask(w.readyNode(), Request{Kind: kind, Path: path, Attempt: w.mark("a"), Key: key, Tenant: tenantOf(key), Input: "do\n", Deadline: time.Second}, nil)
	w.after(pause, func() { w.press(key, number) })
}

// probe asks nodes for the routes that only single tables have.
func (w *World) probe() {
	if w.over() {
		return
	}
	n := w.nodes[w.random.IntN(len(w.nodes))]
	for i := len(w.Record.Tables) - 1; i >= 0 && i >= len(w.Record.Tables)-3; i-- {
		t := w.Record.Tables[i]
		w.ask(n, Request{Kind: "probe", Path: probePath(t.Mark) + "x", Attempt: w.mark("a"), Input: "?\n", Deadline: time.Second}, nil)
	}
	w.after(w.between(60*time.Millisecond, 200*time.Millisecond), w.probe)
}

func probePath(mark string) string { return fmt.Sprintf("/probe-%s/", mark) }
