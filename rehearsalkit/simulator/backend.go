package simulator

import (
	"fmt"
	"strings"
	"time"

	"saffronfall/peer/node"
	"saffronfall/rehearsalkit/judge"
)

// backend is one simulated replica of a service.
type backend struct {
	world           *World
	service         string
	id              string
	zone            string
	alive           bool
	leaving         bool
	runningAttempts int64
	// serial counts the replacements.
	serial int
	// lossRate is the probability of a lost answer.
	lossRate    float64
	failureMode string
	// mute stops all announcements.
	mute bool
}

func (b *backend) name() string    { return fmt.Sprintf("%s.%d", b.id, b.serial) }
func (b *backend) address() string { return "replica:" + b.service + ":" + b.name() }

// announce registers the replica at two nodes. Each registration is repeated with the token that
// the node returned; another node replaces one that does not respond.
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
	r := node.Replica{Service: b.service, ID: b.name(), Address: b.address(), Zone: b.zone, Load: b.runningAttempts, Leaving: b.leaving}
	finished := false
	w.after(w.between(minDelay, maxDelay), func() {
		p.do(func() {
			if r.Leaving && !w.leavingRecorded(r.ID) {
				// The departure counts from its first receipt by a node.
				w.Record.Leaving = append(w.Record.Leaving, judge.Leaving{At: w.now, Replica: r.ID})
			}
			accepted := p.nodeMachine.Announce(p.now(), r, token)
			w.after(w.between(minDelay, maxDelay), func() {
				if !finished && p.alive {
					finished = true
					w.after(accepted.NextIn, func() { b.announceTo(p, serial, accepted.Token) })
				}
			})
		})
	})
	w.after(300*time.Millisecond, func() {
		if !finished {
			finished = true
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

// replace lets the replica leave and later starts a replacement with a new serial.
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
			b.alive, b.leaving, b.runningAttempts = true, false, 0
			b.announce()
		})
	})
}

type simAttempt struct {
	cancelled bool
}

// startAttempt delivers an attempt to its replica and the events back to the node.
func (w *World) startAttempt(p *process, s node.StartAttempt) {
	attempt := &simAttempt{}
	p.attempts[s.Attempt] = attempt
	incarnation := p.incarnation
	w.Counts["shots"]++
	deliver := func(delay time.Duration, e node.AttemptEvent) {
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
				p.handleNodeOutput(p.nodeMachine.HandleAttemptEvent(p.now(), e))
			})
		})
	}
	w.after(w.between(minDelay, maxDelay), func() {
		var target *backend
		for _, b := range w.backends {
			if b.alive && b.address() == s.Address {
				target = b
			}
		}
		if target == nil {
			deliver(time.Millisecond, node.AttemptEvent{Kind: node.EventNotRun})
			return
		}
		target.serve(s, deliver)
	})
}

// Failure modes besides lost answers. The texts are labels of counts.
const (
	answersLate  = "answers late"
	answersTwice = "answers twice"
	exceedsLimit = "gives more than asked for"
	holdsStreams = "holds streams open"
)

var failureModes = []string{answersLate, answersTwice, exceedsLimit, holdsStreams}

func (b *backend) serve(s node.StartAttempt, deliver func(delay time.Duration, e node.AttemptEvent)) {
	w := b.world
	record := judge.Attempt{
		At:           w.now,
		Service:      b.service,
		Replica:      b.name(),
		Tenant:       s.Payload.Tenant,
		Program:      s.Payload.Program,
		Conversation: s.Payload.Conversation,
	}
	lost := w.chance(b.lossRate)
	serial := b.serial
	b.runningAttempts++
	done := func(after time.Duration) {
		w.after(after, func() {
			if b.serial == serial {
				b.runningAttempts--
			}
		})
	}
	if s.Kind != "model" {
		record.RequestID, record.OnceKey, record.Tool = requestIDOf(s.Payload.Body), s.Payload.OnceKey, s.Kind == "tool"
		w.Record.Attempts = append(w.Record.Attempts, record)
		delay := w.between(2*time.Millisecond, 40*time.Millisecond)
		done(delay)
		if lost {
			deliver(delay, node.AttemptEvent{Kind: node.EventInterrupted})
			return
		}
		deliver(delay, node.AttemptEvent{Kind: node.EventDone, Status: 200, Body: []byte(fmt.Sprintf(`{"done":%q}`, record.RequestID))})
		return
	}
	record.RequestID, record.MaxTokens = s.Payload.Prompt, s.Payload.MaxTokens
	for _, t := range s.Payload.History {
		record.History = append(record.History, judge.Turn{Prompt: t.Prompt, Answer: t.Response})
	}
	if b.failureMode == answersLate {
		w.after(w.between(500*time.Millisecond, 3*time.Second), func() {
			if b.serial == serial {
				b.answer(s, record, lost, done, deliver)
			}
		})
		return
	}
	b.answer(s, record, lost, done, deliver)
}

func (b *backend) answer(
	s node.StartAttempt, record judge.Attempt, lost bool,
	done func(time.Duration), deliver func(delay time.Duration, e node.AttemptEvent),
) {
	w := b.world
	chunks := 2 + w.random.IntN(4)
	fail := -1
	if lost {
		fail = w.random.IntN(chunks + 1)
	}
	delay := w.between(2*time.Millisecond, 10*time.Millisecond)
	var text strings.Builder
	for i := 0; i < chunks && i != fail; i++ {
		tokens := s.Payload.MaxTokens / int64(chunks)
		if w.chance(0.5) {
			tokens = tokens/2 + 1
		}
		tokens = min(tokens, s.Payload.MaxTokens-record.Tokens)
		if b.failureMode == exceedsLimit {
			tokens, record.OverLimit = s.Payload.MaxTokens, true
		}
		chunk := fmt.Sprintf("[%s %s %d]", b.name(), s.Payload.Prompt, i)
		text.WriteString(chunk)
		record.Tokens += tokens
		deliver(delay, node.AttemptEvent{Kind: node.EventChunk, Text: chunk, Tokens: tokens})
		delay += w.between(5*time.Millisecond, 80*time.Millisecond)
	}
	record.Text = text.String()
	w.Record.Attempts = append(w.Record.Attempts, record)
	done(delay)
	if lost {
		deliver(delay, node.AttemptEvent{Kind: node.EventInterrupted})
		return
	}
	if b.failureMode == holdsStreams {
		return
	}
	deliver(delay, node.AttemptEvent{Kind: node.EventDone, Status: 200})
	if b.failureMode == answersTwice {
		deliver(delay+time.Millisecond, node.AttemptEvent{Kind: node.EventChunk, Text: "again", Tokens: 1})
		deliver(delay+2*time.Millisecond, node.AttemptEvent{Kind: node.EventDone, Status: 200})
	}
}

// requestIDOf extracts the request ID, which a body holds under the key "mark".
func requestIDOf(body []byte) string {
	text := string(body)
	a := strings.Index(text, `"mark":"`)
	if a < 0 {
		return ""
	}
	rest := text[a+8:]
	return rest[:strings.IndexByte(rest, '"')]
}
