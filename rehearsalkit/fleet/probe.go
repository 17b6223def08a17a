package fleet

import (
	"context"
	"time"

	"saffronfall/peer/core"
	"saffronfall/rehearsalkit/judge"
	"saffronfall/rule/ordered"
)

// refusedBase is the lowest number of refused descriptions, which have no version.
const refusedBase = 1 << 40

func (f *Fleet) recordApplied(probeKey string, base uint64, result core.ApplyResult) {
	f.update(func(r *judge.Record) {
		f.probeVersions[probeKey] = base + 1
		switch {
		case result.InForce:
			r.Decisions = append(r.Decisions, judge.Decision{At: f.now(), Version: result.Version, ID: probeKey})
		case result.Code == "race_lost" || result.Code == "not_approved" || result.Code == "faulty":
			f.probeVersions[probeKey] = refusedBase + uint64(len(f.probeVersions))
			r.Decisions = append(r.Decisions, judge.Decision{At: f.now(), Version: f.probeVersions[probeKey], ID: probeKey, Refused: true})
		}
	})
}

// probeNode records the versions whose probe keys a node accepts, and returns the newest.
func (f *Fleet) probeNode(ctx context.Context, process *Process, last bool) (newest uint64) {
	probeVersions := map[string]uint64{}
	f.update(func(*judge.Record) {
		for probeKey, version := range f.probeVersions {
			probeVersions[probeKey] = version
		}
	})
	for _, probeKey := range ordered.Keys(probeVersions) {
		sent, _ := f.send(ctx, process, requestSpec{
			method:  "GET",
			path:    "/v1/programs/none",
			key:     probeKey,
			kind:    "look",
			body:    map[string]any{},
			timeout: time.Second,
		})
		if sent.Code == "unknown_program" {
			newest = max(newest, probeVersions[probeKey])
			f.update(func(r *judge.Record) {
				r.Probes = append(r.Probes, judge.Probe{
					At:      sent.At,
					Ended:   sent.Ended,
					Node:    process.Name,
					Version: probeVersions[probeKey],
					Final:   last,
				})
			})
		}
	}
	return newest
}

func (f *Fleet) probe(ctx context.Context) {
	for ctx.Err() == nil {
		f.probeNode(ctx, f.anyNode(), false)
		pause(ctx, 50*time.Millisecond, 150*time.Millisecond)
	}
}

// probeFinal waits until every node has the last accepted version, or until the timeout, and
// records the versions in force then.
func (f *Fleet) probeFinal(ctx context.Context) {
	const timeout = 12 * time.Second
	accepted := uint64(0)
	f.update(func(r *judge.Record) {
		for _, t := range r.Decisions {
			if !t.Refused {
				accepted = max(accepted, t.Version)
			}
		}
		for _, process := range f.nodes {
			r.Nodes = append(r.Nodes, process.Name)
		}
	})
	until := f.now() + timeout
	for _, process := range f.nodes {
		for f.probeNode(ctx, process, f.now() >= until) < accepted && f.now() < until {
			pause(ctx, 100*time.Millisecond, 100*time.Millisecond)
		}
		f.probeNode(ctx, process, true)
	}
}
