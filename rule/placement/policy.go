package placement

import "time"

// Settings switch the mechanisms of a Policy on and off and hold its parameters.
type Settings struct {
	// SampleSize is the number of local replicas to compare, besides half as many in other
	// zones. Zero compares all.
	SampleSize int
	// HomeReplicas prefers the home replica of a conversation or an affinity key.
	HomeReplicas bool
	// UnitTimes takes the speed of replicas into account.
	UnitTimes bool
	// PromptCache, LocalZone and FailureRates take cached prompt segments, the zone and failures
	// of a replica into account.
	PromptCache, LocalZone, FailureRates bool
	PromptTokensPerMillisecond           float64
	HeartbeatInterval                    time.Duration
}

// Request describes a request to a Policy.
type Request struct {
	Prompt []PromptSegment
	// Affinity is the affinity key of the request, or zero. A replica that recently served a request
	// with the same key is faster.
	Affinity uint64
	// Repeatable requests may run more than once.
	Repeatable bool
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// ServiceTime is the mean time that the service's requests take at a replica.
	ServiceTime time.Duration
	// ReferenceUnitTime is the unit time to which those of replicas are compared.
	ReferenceUnitTime time.Duration
	// Rejected means that a replica has rejected the request. All others are then compared.
	Rejected bool
}

// Policy chooses replicas for the requests of one node. It is not safe for concurrent use.
type Policy struct {
	Settings Settings
	Zone     string
	// Random returns uniformly distributed numbers in [0, 1).
	Random func() float64
}

// Costs in the comparison of replicas. Fractions are of the service time.
const (
	// contentionFraction is the slowdown of a request at a replica whose slots are all in use; it is
	// in proportion if fewer are.
	contentionFraction = 0.15
	// remoteZoneCost covers the latency and the traffic cost of a hop to another zone.
	remoteZoneCost = 5 * time.Millisecond
	warmingCost    = 5 * time.Millisecond
	// connectionCost covers a new connection. One is assumed to be needed after idleHeartbeats
	// heartbeat intervals without a request.
	connectionCost = 2 * time.Millisecond
	idleHeartbeats = 4
	// affinityGain is the expected saving at the home of an affinity key. It is less than a recent
	// request with the key saves, as there may have been none.
	affinityGain = 0.2
	// tieBreak bounds the random cost that spreads requests over equal replicas.
	tieBreak = 3 * time.Millisecond
	// A load report is used for the heartbeat interval divided by reportValidityDivisor.
	reportValidityDivisor = 4
)

// Choose returns the allowed replica with the lowest estimated cost, or nil if none is allowed.
//
// It compares a random sample and the replicas that may have cached the prompt. Load reports are
// delayed, so nodes that compared all replicas would choose the same one. A sample of two bounds
// the imbalance (Mitzenmacher 2000).
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
		wanted = 2 * len(replicas) // the sampler halves it for remote replicas
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

// HasRoom reports whether a replica probably has a free slot.
func (p *Policy) HasRoom(now time.Duration, r *Replica) bool {
	return now >= r.fullUntil && r.Running(now, p.reportValidity()) < r.slots()
}

func (p *Policy) reportValidity() time.Duration {
	return p.Settings.HeartbeatInterval / reportValidityDivisor
}

func (p *Policy) hasCached(request Request, r *Replica) bool {
	key, ok := conversationKey(request.Prompt)
	if !ok || !p.Settings.PromptCache {
		return false
	}
	_, cached := r.cache.segments[key]
	return cached
}

// cost estimates the additional time compared to an idle, fast replica. Other costs count as times.
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

func (p *Policy) slowness(request Request, r *Replica) float64 {
	if !p.Settings.UnitTimes {
		return 1
	}
	return r.Slowness(request.ReferenceUnitTime)
}

// promptCost counts the processing time of missing tokens once for each concurrent request, as
// all of them are delayed.
func (p *Policy) promptCost(request Request, r *Replica, isHome bool, running int64) time.Duration {
	missing := r.cache.missing(request.Prompt)
	if isHome && continuesConversation(request.Prompt) {
		// Other nodes send the earlier turns to the home too; assume that they are cached.
		missing = min(missing, request.Prompt[len(request.Prompt)-1].Tokens)
	}
	return time.Duration(float64(missing) / p.Settings.PromptTokensPerMillisecond *
		float64(time.Millisecond) * float64(1+running))
}

// failureCost returns the expected cost of a failure. A repeatable request loses about its service
// time. One that is not repeatable is lost, which counts as half of its remaining time when
// compared with the wait at another replica.
func (p *Policy) failureCost(now time.Duration, request Request, r *Replica) time.Duration {
	loss := request.ServiceTime
	if !request.Repeatable {
		loss = max(loss, request.Remaining/2)
	}
	return time.Duration(r.FailureRate(now, p.Settings.HeartbeatInterval) * float64(loss))
}
