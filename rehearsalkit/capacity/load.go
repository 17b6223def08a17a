package capacity

import (
	"encoding/json"
	"fmt"
	"time"

	"saffronfall/peer/registry"
	"saffronfall/peer/relay"
	"saffronfall/rule/placement"
)

// replica is a simulated replica that answers requests after a delay.
type replica struct {
	id, service, address string
	zone                 int
	sequence, running    int64
}

// heartbeat sends a heartbeat to a live registry, and schedules the next one.
func (w *world) heartbeat(r *replica) {
	r.sequence++
	d := w.registries[r.zone%len(w.registries)]
	if !d.alive {
		for _, other := range w.registries {
			if other.alive {
				d = other
				break
			}
		}
	}
	if d.alive {
		report := registry.Replica{
			ID:       r.id,
			Service:  r.service,
			Address:  r.address,
			Zone:     fmt.Sprintf("zone-%d", r.zone),
			Slots:    replicaSlots,
			Sequence: r.sequence,
		}
		raw, err := json.Marshal(report)
		if err != nil {
			panic(err)
		}
		d.meter.Received++
		d.meter.ReceivedBytes += int64(len(raw))
		d.meter.countKind("received heartbeat", len(raw))
		d.handleRegistryOutput(timed(d, func() registry.Output { return d.registry.Heartbeat(w.now, 0, report) }))
	}
	w.after(w.between(heartbeatInterval*9/10, heartbeatInterval*11/10), func() { w.heartbeat(r) })
}

// program is a simulated requester that sends one turn after the other to random nodes.
type program struct {
	world    *world
	tenant   int
	name     string
	model    int
	depth    int
	previous string
	tries    int
}

// startPrograms spreads the programs over the tenants by their shares.
func (w *world) startPrograms() {
	i := 0
	for tenant, share := range w.shares {
		for n := 0; n < max(1, int(share*float64(w.point.Programs)+0.5)) && i < w.point.Programs; n++ {
			w.addProgram(i, tenant)
			i++
		}
	}
	for ; i < w.point.Programs; i++ {
		w.addProgram(i, i%w.point.Tenants)
	}
}

func (w *world) addProgram(i, tenant int) {
	p := &program{world: w, tenant: tenant, model: i % w.point.Models}
	w.programs = append(w.programs, p)
	p.restart()
	w.after(w.between(0, w.point.thinkTime()), p.turn)
}

func (p *program) restart() {
	p.world.attempts++
	p.name, p.depth, p.previous = fmt.Sprintf("program-%d", p.world.attempts), 0, ""
}

// turn is one request at a node.
type turn struct {
	program     *program
	node        *process
	incarnation int
	ticket      uint64
	attempt     string
	startedAt   time.Duration
	ended       bool
}

func (p *program) turn() {
	w := p.world
	w.attempts++
	w.tickets++
	n := w.nodes[w.random.IntN(len(w.nodes))]
	t := &turn{
		program:     p,
		node:        n,
		incarnation: n.incarnation,
		ticket:      w.tickets,
		attempt:     fmt.Sprintf("attempt-%016d", w.attempts),
		startedAt:   w.now,
	}
	w.counts["asked"]++
	if !n.alive {
		t.end("unreached")
		return
	}
	n.requests[t.ticket] = t
	a := relay.Request{
		Host:        "tier",
		Path:        fmt.Sprintf("/model-%d/turn", p.model),
		Key:         fmt.Sprintf("key-%d", p.tenant),
		HasKey:      true,
		Attempt:     t.attempt,
		Operation:   relay.Operation{Program: p.name},
		Previous:    p.previous,
		TokenBudget: 1 << 30,
		MaxTokens:   1000,
		Remaining:   4 * time.Second,
		Arrival:     relay.Arrival{HeadBytes: 300, BodyBytes: int64(w.point.TurnBytes / 2)},
		Input:       w.bytes(w.point.TurnBytes / 2),
		// A prefix shared by the tenant's programs on this model, then a part of this turn alone.
		PlacementHints: relay.PlacementHints{Prompt: []placement.PromptSegment{
			{ID: uint64(p.tenant*8 + p.model), Tokens: 512},
			{ID: uint64(1<<32 + w.attempts), Tokens: 600},
		}},
	}
	n.handleNodeOutput(timed(n, func() relay.Output { return n.node.HandleRequest(w.now, t.ticket, a) }))
}

func (w *world) bytes(n int) []byte {
	raw := make([]byte, n)
	for i := range raw {
		raw[i] = 'a' + byte(i%26)
	}
	return raw
}

func (t *turn) step(s relay.Step) {
	w, n := t.program.world, t.node
	switch s.Kind {
	case relay.StepSend:
		r := w.services[s.Replica.Address]
		if w.disconnected(n.zone, r.zone) {
			w.after(contactTimeout/10, func() { t.handleOutcome(relay.Outcome{Kind: relay.OutcomeNotRun, Unreachable: true}) })
			return
		}
		r.running++
		w.after(w.between(serviceTime/2, serviceTime*3/2), func() {
			r.running--
			t.handleOutcome(relay.Outcome{
				Kind:    relay.OutcomeComplete,
				Started: true,
				Events:  215,
				Output:  w.bytes(w.point.TurnBytes - w.point.TurnBytes/2),
				Load:    &relay.Load{Running: r.running, Slots: replicaSlots},
			})
		})
	case relay.StepDeliver:
		delete(n.requests, t.ticket)
		t.end("whole")
	case relay.StepAbort:
		delete(n.requests, t.ticket)
		t.end("broken")
	default:
		delete(n.requests, t.ticket)
		t.end(fmt.Sprintf("refused %d %s", s.Status, s.Check))
	}
}

func (t *turn) handleOutcome(o relay.Outcome) {
	n := t.node
	if t.ended || n.incarnation != t.incarnation || !n.alive {
		return
	}
	n.handleNodeOutput(timed(n, func() relay.Output { return n.node.HandleOutcome(n.world.now, t.ticket, o) }))
}

// Delay and number of the tries of a turn that was not served.
const (
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 300 * time.Millisecond
	maxTries      = 20
)

// end schedules the program's next turn. A turn that was not served is retried; after too many
// tries or a lost history, a new program starts.
func (t *turn) end(outcome string) {
	if t.ended {
		return
	}
	t.ended = true
	p, w := t.program, t.program.world
	w.counts[outcome]++
	pause := w.between(w.point.thinkTime()*3/4, w.point.thinkTime()*5/4) - (w.now - t.startedAt)
	if outcome == "whole" {
		p.depth, p.previous, p.tries = p.depth+1, t.attempt, 0
	} else {
		p.tries++
		w.after(w.between(minRetryDelay, maxRetryDelay), func() {
			if p.tries > maxTries || outcome == "refused 404 history" {
				p.tries = 0
				p.restart()
			}
			p.turn()
		})
		return
	}
	if p.depth >= w.point.Turns {
		p.restart()
	}
	w.after(max(pause, time.Millisecond), p.turn)
}
