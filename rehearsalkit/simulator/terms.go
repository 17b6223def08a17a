package simulator

import (
	"time"

	"saffronfall/peer/node"
	"saffronfall/rehearsalkit/judge"
	"saffronfall/rule/program"
)

// Term is what one length of a member's term costs and gives.
type TermResult struct {
	Term time.Duration
	// Served has, for each cut of all cores, the part of the turns asked
	// meanwhile that came whole.
	Served map[time.Duration]float64
	// Asked is how many turns were asked in all cuts.
	Turns int
	// Successor is how long a program waited that had lost its owner, Taken how
	// long a configuration took with a node dead: the longest of all seeds.
	MaxFailover, MaxConfigurationDelay time.Duration
	Breaches                           []judge.Breach
}

// MeasureTerm runs cuts of all cores, a killed owner, and a configuration with a
// dead node, for some seeds.
func MeasureTerm(term time.Duration, cuts []time.Duration, seeds uint64) TermResult {
	t := TermResult{Term: term, Served: map[time.Duration]float64{}}
	world := func(seed uint64) *World {
		p := defaults(seed)
		p.Nodes, p.Users, p.MemberTerm, p.Rate, p.Burst = 6, 18, term, 60, 96
		p.Faults, p.Operators, p.MessageLoss = false, 0, 0
		w := NewWithoutFaults(p)
		w.limits()
		w.Record.Limits.Users, w.Record.Nodes = nil, nil
		return w
	}
	chats := func(w *World, until time.Duration, done func(asked time.Duration, whole bool)) {
		for i := 0; i < w.Params.Users; i++ {
			w.chat(i, until, done)
		}
	}
	for _, cut := range cuts {
		whole, asked := 0, 0
		for seed := uint64(1); seed <= seeds; seed++ {
			w := world(seed)
			from := w.now + 4*time.Second
			chats(w, from+cut+time.Second, func(at time.Duration, ok bool) {
				if at >= from && at < from+cut {
					asked++
					if ok {
						whole++
					}
				}
			})
			w.run(from)
			w.cutCoresFromNodes(cut)
			w.run(from + cut + term + 6*time.Second)
			t.Breaches = append(t.Breaches, w.Record.Judge()...)
		}
		t.Turns += asked
		t.Served[cut] = float64(whole) / float64(max(1, asked))
	}
	for seed := uint64(1); seed <= seeds; seed++ {
		w := world(seed)
		_, opened := w.Do(0, node.Request{Kind: node.KindOpen, Key: "key-t1", User: "u"})
		w.Advance(term)
		w.nodes[0].kill()
		died := w.now
		handed := w.now
		w.applyConfiguration(w.cores[0], w.version, "probe-dead", func(taken bool) {
			if taken {
				t.MaxConfigurationDelay = max(t.MaxConfigurationDelay, w.now-handed)
			}
		})
		for w.now < died+3*term+10*time.Second {
			a, _ := w.Do(1, node.Request{Kind: node.KindTurn, Key: "key-t1", Program: opened.Text, Service: "model", PreviousHead: program.EmptyHead, Prompt: w.newID("say"), MaxTokens: 10})
			if a.Outcome == judge.Whole {
				t.MaxFailover = max(t.MaxFailover, w.now-died)
				break
			}
			w.Advance(50 * time.Millisecond)
		}
		w.run(died + 3*term + 10*time.Second)
	}
	return t
}

// chat is a requester who takes turns of one program after the other at any
// node until a time, and tells of each turn.
func (w *World) chat(number int, until time.Duration, done func(asked time.Duration, whole bool)) {
	key := "key-t1"
	var talk func(id, head string)
	open := func() {}
	open = func() {
		if w.now >= until {
			return
		}
		w.submit(w.anyNode(), node.Request{Kind: node.KindOpen, Key: key, User: w.newID("u"), Timeout: 2 * time.Second}, func(a judge.Request, p node.Frame) {
			if a.Outcome != judge.Whole {
				w.after(200*time.Millisecond, open)
				return
			}
			talk(p.Text, program.EmptyHead)
		})
	}
	talk = func(id, head string) {
		if w.now >= until {
			return
		}
		w.submit(w.anyNode(), node.Request{Kind: node.KindTurn, Key: key, Program: id, Service: "model", PreviousHead: head, Prompt: w.newID("say"), MaxTokens: 100, Timeout: 2 * time.Second}, func(a judge.Request, p node.Frame) {
			done(a.At, a.Outcome == judge.Whole)
			pause := w.between(500*time.Millisecond, 1500*time.Millisecond)
			switch {
			case a.Outcome == judge.Whole:
				head = p.Head
			case a.Code == "wrong_history":
				head = p.Verdict.Head
			case a.Code == "steps_reached" || a.Code == "duration_reached" || a.Code == "program_tokens_spent":
				w.after(pause, open)
				return
			}
			w.after(pause, func() { talk(id, head) })
		})
	}
	w.after(time.Duration(number)*70*time.Millisecond, open)
}
