package simulator

import (
	"time"

	"saffronfall/peer/node"
	"saffronfall/rehearsalkit/judge"
	"saffronfall/rule/program"
)

// LeaseResult is the effect of one duration of member leases.
type LeaseResult struct {
	MemberLease time.Duration
	// Served is the fraction of turns that completed, by the duration of a cut of all cores.
	Served map[time.Duration]float64
	// Turns counts the turns submitted during the cuts.
	Turns int
	// MaxFailover is the longest time until a killed owner's program was served again,
	// MaxConfigurationDelay the longest to apply a configuration with a node dead.
	MaxFailover, MaxConfigurationDelay time.Duration
	Breaches                           []judge.Breach
}

// MeasureMemberLease runs cuts of all cores, a killed owner and a configuration with a dead node,
// for the given number of seeds each.
func MeasureMemberLease(lease time.Duration, cuts []time.Duration, seeds uint64) LeaseResult {
	t := LeaseResult{MemberLease: lease, Served: map[time.Duration]float64{}}
	world := func(seed uint64) *World {
		p := defaults(seed)
		p.Nodes, p.Users, p.MemberLease, p.Rate, p.Burst = 6, 18, lease, 60, 96
		p.Faults, p.Operators, p.MessageLoss = false, 0, 0
		w := NewWithoutFaults(p)
		w.setJudgeLimits()
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
			w.runUntil(from)
			w.cutCoresFromNodes(cut)
			w.runUntil(from + cut + lease + 6*time.Second)
			t.Breaches = append(t.Breaches, w.Record.Judge()...)
		}
		t.Turns += asked
		t.Served[cut] = float64(whole) / float64(max(1, asked))
	}
	for seed := uint64(1); seed <= seeds; seed++ {
		w := world(seed)
		_, opened := w.Do(0, node.Request{Kind: node.KindOpen, Key: "key-t1", User: "u"})
		w.Advance(lease)
		w.nodes[0].kill()
		died := w.now
		submitted := w.now
		w.applyConfiguration(w.cores[0], w.version, "probe-dead", func(inForce bool) {
			if inForce {
				t.MaxConfigurationDelay = max(t.MaxConfigurationDelay, w.now-submitted)
			}
		})
		for w.now < died+3*lease+10*time.Second {
			result, _ := w.Do(1, node.Request{Kind: node.KindTurn, Key: "key-t1", Program: opened.Text, Service: "model", PreviousHead: program.EmptyHead, Prompt: w.newID("say"), MaxTokens: 10})
			if result.Outcome == judge.Whole {
				t.MaxFailover = max(t.MaxFailover, w.now-died)
				break
			}
			w.Advance(50 * time.Millisecond)
		}
		w.runUntil(died + 3*lease + 10*time.Second)
	}
	return t
}

// chat takes turns of one program after another at random nodes until a time, and reports each.
func (w *World) chat(number int, until time.Duration, done func(asked time.Duration, whole bool)) {
	key := "key-t1"
	var talk func(id, head string)
	open := func() {}
	open = func() {
		if w.now >= until {
			return
		}
		w.submit(w.anyNode(), node.Request{
			Kind:    node.KindOpen,
			Key:     key,
			User:    w.newID("u"),
			Timeout: 2 * time.Second,
		}, func(result judge.Request, p node.Frame) {
			if result.Outcome != judge.Whole {
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
		w.submit(w.anyNode(), node.Request{
			Kind:         node.KindTurn,
			Key:          key,
			Program:      id,
			Service:      "model",
			PreviousHead: head,
			Prompt:       w.newID("say"),
			MaxTokens:    100,
			Timeout:      2 * time.Second,
		}, func(result judge.Request, p node.Frame) {
			done(result.At, result.Outcome == judge.Whole)
			pause := w.between(500*time.Millisecond, 1500*time.Millisecond)
			switch {
			case result.Outcome == judge.Whole:
				head = p.Head
			case result.Code == "wrong_history":
				head = p.Verdict.Head
			case result.Code == "steps_reached" || result.Code == "duration_reached" || result.Code == "program_tokens_spent":
				w.after(pause, open)
				return
			}
			w.after(pause, func() { talk(id, head) })
		})
	}
	w.after(time.Duration(number)*70*time.Millisecond, open)
}
