package node

import (
	"time"
)

// Status returns the node's counters and shares. Its keys are part of the operator interface, in
// which requests are inquiries, attempts shots, updates news, and leases terms.
func (m *Machine) Status(now time.Duration) map[string]any {
	counters := m.Counters
	refusals := map[string]int64{}
	for code, n := range counters.Refusals {
		refusals[code] = n
	}
	shares := map[string]any{}
	for name, rs := range m.rateShares {
		shares[name] = map[string]int64{"units": rs.account.Held(), "of": rs.totalUnits, "waiting": int64(len(rs.waiting))}
	}
	for name, s := range m.dayShares {
		shares[name+"/day"] = map[string]int64{"held": s.account.Held(), "reserved": s.reserved, "spent": s.account.Spent}
	}
	replicas := map[string]any{}
	for service := range m.replicas {
		for id, a := range m.replicas[service] {
			replicas[service+"/"+id] = map[string]any{
				"address": a.replica.Address,
				"zone":    a.replica.Zone,
				"load":    a.replica.Load,
				"leaving": a.replica.Leaving,
				"age_ms":  (now - a.since).Milliseconds(),
			}
		}
	}
	shares["money"] = map[string]int64{
		"held":     m.spendShare.account.Held(),
		"reserved": m.spendShare.reserved,
		"spent":    m.spendShare.account.Spent,
	}
	return map[string]any{
		"id": m.params.ID, "incarnation": m.incarnation, "version": m.configurationVersion,
		"ready": m.Ready(now), "breaker": m.breakerState, "programs": len(m.programs),
		"running": m.running, "waiting": m.requests.Len(), "shares": shares,
		"replicas": replicas, "term_left_ms": max(0, m.leaseExpiresAt-now).Milliseconds(),
		"refusals": refusals, "inquiries": counters.Requests, "forwarded": counters.Forwarded,
		"gated": counters.Admitted, "warned": counters.Warned, "refused": counters.Refused, "shots": counters.Attempts,
		"not_run": counters.NotRun, "broken": counters.Interrupted, "whole": counters.Completed,
		"takeovers": counters.Takeovers, "joins": counters.Joins, "terms_lost": counters.LeasesLost,
		"stale_news": counters.StaleUpdates, "resets": counters.Resets, "fenced": counters.Fenced,
		"bad_messages": counters.BadMessages, "saves": counters.Saves, "handed": counters.HandedOver,
		"passed_on": counters.Relayed, "mirrored": counters.Mirrored, "mirrors_used": counters.MirrorsUsed,
		"mirrors_lost": counters.MirrorsLost, "command_tries": m.caller.Attempts,
	}
}
