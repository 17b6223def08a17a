package node

import (
	"time"
)

// Status is what this node counts and holds.
func (m *Machine) Status(now time.Duration) map[string]any {
	c := m.Counters
	refusals := map[string]int64{}
	for code, n := range c.Refusals {
		refusals[code] = n
	}
	shares := map[string]any{}
	for name, p := range m.paces {
		shares[name] = map[string]int64{"units": p.books.Held(), "of": p.whole, "waiting": int64(len(p.waiting))}
	}
	for name, s := range m.days {
		shares[name+"/day"] = map[string]int64{"held": s.books.Held(), "reserved": s.reserved, "spent": s.books.Spent}
	}
	replicas := map[string]any{}
	for service := range m.replicas {
		for id, a := range m.replicas[service] {
			replicas[service+"/"+id] = map[string]any{"address": a.replica.Address, "zone": a.replica.Zone, "load": a.replica.Load, "leaving": a.replica.Leaving, "age_ms": (now - a.since).Milliseconds()}
		}
	}
	shares["money"] = map[string]int64{"held": m.money.books.Held(), "reserved": m.money.reserved, "spent": m.money.books.Spent}
	return map[string]any{"id": m.params.ID, "incarnation": m.incarnation, "version": m.version, "ready": m.Ready(now), "breaker": m.breakerState,
		"programs": len(m.programs), "running": m.running, "waiting": m.ways.Len(), "shares": shares, "replicas": replicas, "term_left_ms": max(0, m.termUntil-now).Milliseconds(), "refusals": refusals,
		"inquiries": c.Inquiries, "forwarded": c.Forwarded, "gated": c.Gated, "warned": c.Warned, "refused": c.Refused, "shots": c.Shots,
		"not_run": c.NotRun, "broken": c.Broken, "whole": c.Whole, "takeovers": c.Takeovers, "joins": c.Joins, "terms_lost": c.TermsLost,
		"stale_news": c.StaleNews, "resets": c.Resets, "fenced": c.Fenced, "bad_messages": c.BadMessages, "saves": c.Saves, "handed": c.Handed, "passed_on": c.PassedOn, "mirrored": c.Mirrored, "mirrors_used": c.MirrorsUsed, "mirrors_lost": c.MirrorsLost, "command_tries": m.caller.Attempts}
}
