package simulator

import (
	"fmt"
	"strings"
	"time"

	"saffronfall/peer/node"
	"saffronfall/rehearsalkit/judge"
)

type backend struct {
	world       *World
	service     string
	id          string
	zone        string
	alive       bool
	leaving     bool
	running     int64
	serial      int
	lossRate    float64
	failureMode string
	// mute replicas say nothing of themselves any more.
	mute bool
}

func (b *backend) name() string    { return fmt.Sprintf("%s.%d", b.id, b.serial) }
func (b *backend) address() string { return "replica:" + b.service + ":" + b.name() }

// announce keeps a replica known: at two nodes, each again and again with the
// stamp that it gave. A node that does not answer is left for another.
func (b *backend) announce() {
	for i := 0; i < 2; i++ {
		b.announceToAnyNode(b.serial)
	}
}

func (b *backend) announceToAnyNode(serial int) {
	b.announceTo(b.world.anyNode(), serial, "")
}

func (b *backend) announceTo(p *process, serial int, token string) {
	w := b.world
	if b.serial != serial || !b.alive || b.mute {
		return
	}
	r := node.Replica{Service: b.service, ID: b.name(), Address: b.address(), Zone: b.zone, Load: b.running, Leaving: b.leaving}
	over := false
	w.after(w.between(200*time.Microsecond, 3*time.Millisecond), func() {
		p.do(func() {
			if r.Leaving && !w.leavingRecorded(r.ID) {
				// The first node has it, whatever becomes of that node.
				w.Record.Leaving = append(w.Record.Leaving, judge.Leaving{At: w.now, Replica: r.ID})
			}
			accepted := p.nodeM.Announce(p.now(), r, token)
			w.after(w.between(200*time.Microsecond, 3*time.Millisecond), func() {
				if !over && p.alive {
					over = true
					w.after(accepted.NextIn, func() { b.announceTo(p, serial, accepted.Token) })
				}
			})
		})
	})
	w.after(300*time.Millisecond, func() {
		if !over {
			over = true
			b.announceToAnyNode(serial)
		}
	})
}

func (w *World) leavingRecorded(replica string) bool {
	for _, l := range w.Record.Leaving {
		if l.Replica == replica {
			return true
		}
	}
	return false
}

// replace lets a replica say that it leaves, and puts another in its place
// once that has been heard for long enough.
func (b *backend) replace() {
	if !b.alive || b.leaving {
		return
	}
	w := b.world
	b.leaving = true
	w.logf("replica %s leaves", b.name())
	b.announce()
	w.after(4*time.Second, func() {
		b.alive = false
		w.after(300*time.Millisecond, func() {
			b.serial++
			b.alive, b.leaving, b.running = true, false, 0
			b.announce()
		})
	})
}

type simAttempt struct {
	cancelled bool
}

// shoot carries a shot to a replica and its events back.
func (w *World) startAttempt(p *process, s node.StartAttempt) {
	attempt := &simAttempt{}
	p.attempts[s.Attempt] = attempt
	incarnation := p.incarnation
	w.Counts["shots"]++
	back := func(delay time.Duration, e node.AttemptEvent) {
		e.Attempt = s.Attempt
		w.after(delay, func() {
			if p.incarnation != incarnation || attempt.cancelled {
				return
			}
			p.do(func() {
				if attempt.cancelled {
					return
				}
				if e.Kind != node.EventChunk {
					delete(p.attempts, s.Attempt)
				}
				p.handleNodeOutput(p.nodeM.HandleAttemptEvent(p.now(), e))
			})
		})
	}
	w.after(w.between(200*time.Microsecond, 3*time.Millisecond), func() {
		var target *backend
		for _, b := range w.backends {
			if b.alive && b.address() == s.Address {
				target = b
			}
		}
		if target == nil {
			back(time.Millisecond, node.AttemptEvent{Kind: node.EventNotRun})
			return
		}
		target.serve(s, back)
	})
}

// Manners in which a replica may fail beside losing an answer.
const (
	answersLate  = "answers late"
	answersTwice = "answers twice"
	exceedsLimit = "gives more than asked for"
	holdsStreams = "holds streams open"
)

var failureModes = []string{answersLate, answersTwice, exceedsLimit, holdsStreams}

func (b *backend) serve(s node.StartAttempt, back func(delay time.Duration, e node.AttemptEvent)) {
	w := b.world
	seen := judge.Attempt{At: w.now, Service: b.service, Replica: b.name(), Tenant: s.Payload.Tenant, Program: s.Payload.Program, Conversation: s.Payload.Conversation}
	lose := w.chance(b.lossRate)
	serial := b.serial
	b.running++
	done := func(after time.Duration) {
		w.after(after, func() {
			if b.serial == serial {
				b.running--
			}
		})
	}
	if s.Kind != "model" {
		seen.RequestID, seen.OnceKey, seen.Tool = requestIDOf(s.Payload.Body), s.Payload.OnceKey, s.Kind == "tool"
		w.Record.Attempts = append(w.Record.Attempts, seen)
		delay := w.between(2*time.Millisecond, 40*time.Millisecond)
		done(delay)
		if lose {
			back(delay, node.AttemptEvent{Kind: node.EventInterrupted})
			return
		}
		back(delay, node.AttemptEvent{Kind: node.EventDone, Status: 200, Body: []byte(fmt.Sprintf(`{"done":%q}`, seen.RequestID))})
		return
	}
	seen.RequestID, seen.MaxTokens = s.Payload.Prompt, s.Payload.MaxTokens
	for _, t := range s.Payload.History {
		seen.History = append(seen.History, judge.Turn{Prompt: t.Prompt, Answer: t.Response})
	}
	if b.failureMode == answersLate {
		w.after(w.between(500*time.Millisecond, 3*time.Second), func() {
			if b.serial == serial {
				b.answer(s, seen, lose, done, back)
			}
		})
		return
	}
	b.answer(s, seen, lose, done, back)
}

func (b *backend) answer(s node.StartAttempt, seen judge.Attempt, lose bool, done func(time.Duration), back func(delay time.Duration, e node.AttemptEvent)) {
	w := b.world
	pieces := 2 + w.random.IntN(4)
	fail := -1
	if lose {
		fail = w.random.IntN(pieces + 1)
	}
	delay := w.between(2*time.Millisecond, 10*time.Millisecond)
	var text strings.Builder
	for i := 0; i < pieces && i != fail; i++ {
		tokens := s.Payload.MaxTokens / int64(pieces)
		if w.chance(0.5) {
			tokens = tokens/2 + 1
		}
		tokens = min(tokens, s.Payload.MaxTokens-seen.Tokens)
		if b.failureMode == exceedsLimit {
			tokens, seen.OverLimit = s.Payload.MaxTokens, true
		}
		piece := fmt.Sprintf("[%s %s %d]", b.name(), s.Payload.Prompt, i)
		text.WriteString(piece)
		seen.Tokens += tokens
		back(delay, node.AttemptEvent{Kind: node.EventChunk, Text: piece, Tokens: tokens})
		delay += w.between(5*time.Millisecond, 80*time.Millisecond)
	}
	seen.Text = text.String()
	w.Record.Attempts = append(w.Record.Attempts, seen)
	done(delay)
	if lose {
		back(delay, node.AttemptEvent{Kind: node.EventInterrupted})
		return
	}
	if b.failureMode == holdsStreams {
		return
	}
	back(delay, node.AttemptEvent{Kind: node.EventDone, Status: 200})
	if b.failureMode == answersTwice {
		back(delay+time.Millisecond, node.AttemptEvent{Kind: node.EventChunk, Text: "again", Tokens: 1})
		back(delay+2*time.Millisecond, node.AttemptEvent{Kind: node.EventDone, Status: 200})
	}
}

func requestIDOf(body []byte) string {
	text := string(body)
	a := strings.Index(text, `"mark":"`)
	if a < 0 {
		return ""
	}
	rest := text[a+8:]
	return rest[:strings.IndexByte(rest, '"')]
}
