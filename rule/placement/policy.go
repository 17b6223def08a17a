package placement

import "time"

// Settings switch the mechanisms of a Policy on and off and hold its parameters.
type Settings struct {
	// SampleSize is the number of replicas in the node's zone that are sampled and
	// compared for a request, besides half as many in other zones. Zero compares all.
	SampleSize int
	// HomeReplicas prefers the home replica of a conversation, which rendezvous hashing
	// selects from all replicas.
	HomeReplicas bool
	// UnitTimes takes the speed of replicas into account.
	UnitTimes bool
	// PromptCache takes into account which prompt segments a replica has cached, LocalZone
	// whether it is in the node's zone, and FailureRates how often it fails.
	PromptCache, LocalZone, FailureRates bool
	// PromptTokensPerMillisecond is the number of prompt tokens that a replica processes in a
	// millisecond.
	PromptTokensPerMillisecond float64
	// HeartbeatInterval is the interval of the replicas' heartbeats.
	HeartbeatInterval time.Duration
}

// Request describes a request to a Policy.
type Request struct {
	Prompt []PromptSegment
	// Affinity is the affinity key of the request, or zero: a replica that recently served
	// a request with the same key serves it faster.
	Affinity uint64
	// Repeatable means that the request may run more than once.
	Repeatable bool
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// ServiceTime is the mean time that requests of the service take at a replica.
	ServiceTime time.Duration
	// ReferenceUnitTime is the unit time to which those of replicas are compared.
	ReferenceUnitTime time.Duration
	// Rejected means that a replica has rejected the request; all others are compared.
	Rejected bool
}

// Policy chooses replicas for the requests of one node. It is not safe for concurrent use.
type Policy struct {
	Settings Settings
	// Zone is the node's zone.
	Zone string
	// Random returns uniformly distributed numbers in [0, 1).
	Random func() float64
}

// Costs in the comparison of replicas, as times or as fractions of the service time.
const (
	// contentionFraction is the slowdown of a request on a replica whose slots are all in
	// use.
	contentionFraction = 0.15
	// remoteZoneCost covers the latency and the traffic cost of a hop to another zone.
	remoteZoneCost = 5 * time.Millisecond
	// warmingCost applies to a replica that has just started.
	warmingCost = 5 * time.Millisecond
	// connectionCost covers the latency and the price of a new connection. One is assumed
	// to be needed after idleHeartbeats heartbeat intervals without a request.
	connectionCost = 2 * time.Millisecond
	idleHeartbeats = 4
	// affinityGain is the expected saving at the home of an affinity key. It is less than
	// what a recent request with the key saves, as there may have been none.
	affinityGain = 0.2
	// tieBreak is the range of the random cost that spreads requests over equal replicas.
	tieBreak = 3 * time.Millisecond
	// reportValidityDivisor divides the heartbeat interval into the time for which a
	// replica's load report is used.
	reportValidityDivisor = 4
)

// Choose returns the allowed replica with the lowest estimated cost, or nil if none is
// allowed.
//
// A node learns the load of other nodes with a delay. If all nodes chose the best of all
// replicas, they would choose the same one at the same time. Each node therefore compares a
// random sample, and the replicas that may have cached the prompt. A sample of two already
// bounds the imbalance (Mitzenmacher 2000).
func (p *Policy) Choose(now time.Duration, request Request, replicas []*Replica, allowed func(*Replica) bool) *Replica {
	var chosen *Replica
	var best time.Duration
	consider := func(r *Replica, isHome bool) {
		cost := p.cost(now, request, r, isHome) + time.Duration(p.Random()*float64(tieBreak))
		if chosen == nil || cost < best {
			chosen, best = r, cost
		}
	}
	wanted := p.Settings.SampleSize
	if request.Rejected || wanted == 0 {
		wanted = 2 * len(replicas)
	}
	homes := p.homesOf(request, replicas, allowed)
	sample := newSampler(p, wanted, replicas, allowed)
	for _, r := range replicas {
		if !allowed(r) {
			continue
		}
		sampled := sample.sampled(r)
		if sampled || r == homes.first || r == homes.second || p.hasCached(request, r) {
			consider(r, r == homes.first)
		}
	}
	return chosen
}

// HasRoom reports whether a replica is estimated to have a free slot.
func (p *Policy) HasRoom(now time.Duration, r *Replica) bool {
	return now >= r.fullUntil && r.Running(now, p.reportValidity()) < r.slots()
}

// reportValidity returns how long a replica's load report is used.
func (p *Policy) reportValidity() time.Duration {
	return p.Settings.HeartbeatInterval / reportValidityDivisor
}

// hasCached reports whether a replica is expected to have cached the segment that
// identifies the request's conversation.
func (p *Policy) hasCached(request Request, r *Replica) bool {
	key, ok := conversationKey(request.Prompt)
	if !ok || !p.Settings.PromptCache {
		return false
	}
	_, cached := r.cache.segments[key]
	return cached
}

// cost estimates the additional time that a request takes at a replica compared to an idle,
// fast one, with other costs expressed as times.
func (p *Policy) cost(now time.Duration, request Request, r *Replica, isHome bool) time.Duration {
	running, slots := r.Running(now, p.reportValidity()), r.slots()
	slowness := p.slowness(request, r)
	service := time.Duration(float64(request.ServiceTime) * slowness)
	cost := service - request.ServiceTime
	cost += time.Duration(float64(service) * contentionFraction * float64(min(running, slots)) / float64(slots))
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
		cost += request.Remaining
	}
	if r.Warming {
		cost += warmingCost
	}
	if !r.lastUse.known || now > r.lastUse.at+idleHeartbeats*p.Settings.HeartbeatInterval {
		cost += connectionCost
	}
	if p.Settings.LocalZone && r.Zone != p.Zone {
		cost += remoteZoneCost
	}
	if p.Settings.PromptCache {
		cost += time.Duration(float64(p.promptCost(request, r, isHome, min(running, slots))) * slowness)
	}
	if p.Settings.FailureRates {
		cost += p.failureCost(now, request, r)
	}
	return cost
}

// slowness returns the slowness of a replica, or 1 if unit times are switched off.
func (p *Policy) slowness(request Request, r *Replica) float64 {
	if !p.Settings.UnitTimes {
		return 1
	}
	return r.Slowness(request.ReferenceUnitTime)
}

// promptCost returns the time in which a replica processes the tokens of a prompt that it has
// not cached. This delays the requests that run beside it too, so it counts once for each.
func (p *Policy) promptCost(request Request, r *Replica, isHome bool, running int64) time.Duration {
	missing := r.cache.missing(request.Prompt)
	if isHome && continuesConversation(request.Prompt) {
		// Other nodes send the earlier turns to the home too; assume that they are cached.
		missing = min(missing, request.Prompt[len(request.Prompt)-1].Tokens)
	}
	return time.Duration(float64(missing) / p.Settings.PromptTokensPerMillisecond * float64(time.Millisecond) * float64(1+running))
}

// failureCost returns the expected cost of a failure. A repeatable request loses about its
// service time. Any other request is lost; half of its remaining time is taken as the cost
// of that.
func (p *Policy) failureCost(now time.Duration, request Request, r *Replica) time.Duration {
	loss := request.ServiceTime
	if !request.Repeatable {
		loss = max(loss, request.Remaining/2)
	}
	return time.Duration(r.FailureRate(now, p.Settings.HeartbeatInterval) * float64(loss))
}
