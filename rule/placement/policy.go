package placement

import "time"

// Settings name the parts of the policy, so that each can be switched off.
type Settings struct {
	// Compared is how many replicas of the node's zone are drawn and compared, and half as
	// many of others. Zero compares all.
	Compared int
	// Homes prefers the replicas at which all nodes expect a conversation's parts.
	Homes bool
	// Paces weighs how fast replicas are.
	Paces bool
	// Prefixes weighs the parts of a prompt that a replica has kept, Zones the node's
	// zone, Failures how often a replica fails.
	Prefixes, Zones, Failures bool
	// PromptRate is how many tokens of a prompt a replica reads in a millisecond.
	PromptRate float64
	// Beat is how often replicas announce themselves: a replica's own word of its load
	// is fresh for a quarter of it.
	Beat time.Duration
}

// Request is what a decision has to know of a request.
type Request struct {
	Prompt []Part
	// Affinity tells requests that concern the same thing, which a replica that had one of
	// them lately serves faster; zero: not known.
	Affinity uint64
	// Repeats: it may run more than once. Left is how much time it still has.
	Repeats bool
	Left    time.Duration
	// Service is how long requests of its kind take at a replica.
	Service time.Duration
	// Reference is the pace that those of replicas are compared with.
	Reference time.Duration
	// Again: a replica has turned it away, so all others are compared.
	Again bool
}

// Policy compares replicas.
type Policy struct {
	Settings Settings
	// Zone is the node's own.
	Zone string
	// Random draws from 0 up to 1.
	Random func() float64
}

const (
	// sharing is how much longer a request takes where all slots are taken, as a part of
	// its time on an idle replica.
	sharing = 0.15
	// zoneCost is what a way to another zone costs, in time and in traffic.
	zoneCost = 5 * time.Millisecond
	// warmingCost is what a replica that is still slow from its start costs.
	warmingCost = 5 * time.Millisecond
	// connectionCost is what a new connection costs, in time and in prices. One is likely
	// to be needed once nothing was sent for idleBeats.
	connectionCost = 2 * time.Millisecond
	idleBeats      = 4
	// affinityGain is which part of its time a request is expected to save at the home of
	// what it concerns: some of what a replica saves that had a request for it, as it may
	// have had none lately.
	affinityGain = 0.2
	// tieBreak spreads requests over replicas that are alike.
	tieBreak = 3 * time.Millisecond
)

// Choose picks the replica where a request is likely done first, or nil where none is
// allowed.
//
// What nodes know of load is late by the time in which they tell each other, so if all
// picked the best one they would all pick the same. Each therefore compares a few that
// are drawn at random, besides those that have kept the request's prompt: even two bound
// how far replicas drift apart (Mitzenmacher 2000).
func (p *Policy) Choose(now time.Duration, request Request, replicas []*Replica, allowed func(*Replica) bool) *Replica {
	var chosen *Replica
	var best time.Duration
	consider := func(r *Replica, isHome bool) {
		cost := p.cost(now, request, r, isHome) + time.Duration(p.Random()*float64(tieBreak))
		if chosen == nil || cost < best {
			chosen, best = r, cost
		}
	}
	wanted := p.Settings.Compared
	if request.Again || wanted == 0 {
		wanted = 2 * len(replicas)
	}
	homes := p.homesOf(request, replicas, allowed)
	drawn := newDraw(p, wanted, replicas, allowed)
	for _, r := range replicas {
		if !allowed(r) {
			continue
		}
		isDrawn := drawn.takes(r)
		if isDrawn || r == homes.first || r == homes.second || p.keeps(request, r) {
			consider(r, r == homes.first)
		}
	}
	return chosen
}

// HasRoom reports whether a replica would run a request at once, as far as is known.
func (p *Policy) HasRoom(now time.Duration, r *Replica) bool {
	return now >= r.fullUntil && r.Running(now, p.Settings.Beat/4) < r.slots()
}

// keeps reports whether a replica has kept more of a prompt than its first part, which
// many requests share.
func (p *Policy) keeps(request Request, r *Replica) bool {
	key, ok := conversation(request.Prompt)
	if !ok || !p.Settings.Prefixes {
		return false
	}
	_, kept := r.kept.parts[key]
	return kept
}

// cost estimates when a request would be done at a replica, and what it would cost
// besides.
func (p *Policy) cost(now time.Duration, request Request, r *Replica, isHome bool) time.Duration {
	running, slots := r.Running(now, p.Settings.Beat/4), r.slots()
	slowness := p.slowness(request, r)
	service := time.Duration(float64(request.Service) * slowness)
	cost := service - request.Service
	cost += time.Duration(float64(service) * sharing * float64(min(running, slots)) / float64(slots))
	if isHome && request.hasAffinity() {
		cost -= time.Duration(float64(service) * affinityGain)
	}
	if running >= slots {
		cost += service * time.Duration(running-slots+1) / time.Duration(slots)
	}
	if now < r.fullUntil {
		cost += service
	}
	if now < r.movedUntil {
		cost += request.Left
	}
	if r.Warming {
		cost += warmingCost
	}
	if !r.lastUse.known || now > r.lastUse.at+idleBeats*p.Settings.Beat {
		cost += connectionCost
	}
	if p.Settings.Zones && r.Zone != p.Zone {
		cost += zoneCost
	}
	if p.Settings.Prefixes {
		cost += time.Duration(float64(p.readingCost(request, r, isHome, min(running, slots))) * slowness)
	}
	if p.Settings.Failures {
		cost += p.failureCost(now, request, r)
	}
	return cost
}

// slowness is how much longer a replica takes than a fast one.
func (p *Policy) slowness(request Request, r *Replica) float64 {
	if !p.Settings.Paces {
		return 1
	}
	return r.Slowness(request.Reference)
}

// readingCost is the time in which a replica reads what it has not kept of a prompt. The
// requests that run beside it wait for that too, so it counts once for each of them.
func (p *Policy) readingCost(request Request, r *Replica, isHome bool, running int64) time.Duration {
	unread := r.kept.unread(request.Prompt)
	if isHome && goesOn(request.Prompt) {
		// Another node may have sent the earlier turns there.
		unread = min(unread, request.Prompt[len(request.Prompt)-1].Tokens)
	}
	return time.Duration(float64(unread) / p.Settings.PromptRate * float64(time.Millisecond) * float64(1+running))
}

// failureCost is what a failure would cost, as often as it is expected. A request that
// may run again loses about the time that it takes. One that may run once is lost; half of
// the time that it still has weighs that against waiting elsewhere.
func (p *Policy) failureCost(now time.Duration, request Request, r *Replica) time.Duration {
	loss := request.Service
	if !request.Repeats {
		loss = max(loss, request.Left/2)
	}
	return time.Duration(r.Failing(now, p.Settings.Beat) * float64(loss))
}
