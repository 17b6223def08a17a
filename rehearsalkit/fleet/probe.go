package fleet

import (
	"context"
	"time"

	"saffronfall/peer/core"
	"saffronfall/rehearsalkit/judge"
	"saffronfall/rule/ordered"
)

// refusedBase numbers descriptions that were refused, which have no version.
const refusedBase = 1 << 40

// noteTaken keeps what an operator was told of a description, for the judge and
// for those who look for it at the nodes.
func (f *Fleet) noteTaken(mark string, base uint64, taking core.ApplyResult) {
	f.note(func(r *judge.Record) {
		f.marks[mark] = base + 1
		switch {
		case taking.InForce:
			r.Decisions = append(r.Decisions, judge.Decision{At: f.now(), Version: taking.Version, ID: mark})
		case taking.Code == "race_lost" || taking.Code == "not_approved" || taking.Code == "faulty":
			f.marks[mark] = refusedBase + uint64(len(f.marks))
			r.Decisions = append(r.Decisions, judge.Decision{At: f.now(), Version: f.marks[mark], ID: mark, Refused: true})
		}
	})
}

// look finds out from outside which description a node has in force, by which
// one's own key it takes, and returns the newest version.
func (f *Fleet) look(ctx context.Context, m *Machine, last bool) (newest uint64) {
	marks := map[string]uint64{}
	f.note(func(*judge.Record) {
		for mark, version := range f.marks {
			marks[mark] = version
		}
	})
	for _, mark := range ordered.Keys(marks) {
		a, _ := f.ask(ctx, m, asking{method: "GET", path: "/v1/programs/none", key: mark, kind: "look", body: map[string]any{}, within: time.Second})
		if a.Code == "unknown_program" {
			newest = max(newest, marks[mark])
			f.note(func(r *judge.Record) {
				r.Probes = append(r.Probes, judge.Probe{At: a.At, Ended: a.Ended, Node: m.Name, Version: marks[mark], Final: last})
			})
		}
	}
	return newest
}

// probe looks at one node after the other for as long as requesters live.
func (f *Fleet) probe(ctx context.Context) {
	for ctx.Err() == nil {
		f.look(ctx, f.anyNode(), false)
		pause(ctx, 50*time.Millisecond, 150*time.Millisecond)
	}
}

// lastLook waits until every node has the version in force that was taken
// last, or for as long as a fleet may need to be back, and notes what is in
// force then.
func (f *Fleet) lastLook(ctx context.Context) {
	const within = 12 * time.Second
	taken := uint64(0)
	f.note(func(r *judge.Record) {
		for _, t := range r.Decisions {
			if !t.Refused {
				taken = max(taken, t.Version)
			}
		}
		for _, m := range f.nodes {
			r.Nodes = append(r.Nodes, m.Name)
		}
	})
	until := f.now() + within
	for _, m := range f.nodes {
		for f.look(ctx, m, f.now() >= until) < taken && f.now() < until {
			pause(ctx, 100*time.Millisecond, 100*time.Millisecond)
		}
		f.look(ctx, m, true)
	}
}
