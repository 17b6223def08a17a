package relay

import (
	"time"

	"saffronfall/peer/registry"
	"saffronfall/rule/admission"
	"saffronfall/rule/ordered"
	"saffronfall/rule/placement"
)

type registryView struct {
	incarnation string
	version     uint64
	// topologyVersion is the registry's up to which this node lacks nothing; zero if not known.
	topologyVersion uint64
	// behindSince is when the registry first had something that this node lacks; zero if it has not.
	behindSince time.Duration
	// lastUpdateAt is when the registry sent the last update, or another registry first named it.
	lastUpdateAt time.Duration
	replicas     map[string]listing
	// indexedIDs caches loadIndex as of indexedVersion.
	indexedIDs     []string
	indexedVersion uint64
	// reportedLoad: the last load report to the registry was not empty.
	reportedLoad bool
}

func (view *registryView) alive(now, interval time.Duration) bool {
	return view.incarnation != "" && now < view.lastUpdateAt+lostHeartbeats*interval
}

type listing struct {
	registry.ReplicaEntry
	// expiresAt is when the listing is dropped; zero means when the registry withdraws it.
	expiresAt time.Duration
}

type replicaRecord struct {
	listed   registry.Replica
	estimate *placement.Replica
}

type selection struct {
	services map[string]*service
	replicas map[string]*replicaRecord
	policy   *placement.Policy
	mergeAt  time.Duration
}

type service struct {
	replicas    []*placement.Replica
	serviceTime placement.ServiceTime
	admission   admission.Controller
	// referenceUnitTime is the time per unit of work of the service's fast replicas.
	referenceUnitTime time.Duration
}

// departedReplicas are leaving replicas, with the time at which that was last reported. A replica
// never returns under its ID, so later listings of it are ignored.
type departedReplicas map[string]time.Duration

func (d departedReplicas) add(now time.Duration, id string) { d[id] = now }

func (d departedReplicas) has(id string) bool {
	_, ok := d[id]
	return ok
}

// departedHeartbeats is how many heartbeat intervals a departed replica is remembered. It exceeds
// the time for which registries list the replica.
const departedHeartbeats = 100

func (d departedReplicas) expire(before time.Duration) {
	for id, reportedAt := range d {
		if reportedAt < before {
			delete(d, id)
		}
	}
}

// mergeListings uses the most recent heartbeat of each replica. A departure counts from any
// registry and permanently, even if that registry falls silent or is forgotten.
func (m *Machine) mergeListings(now time.Duration) {
	best := map[string]registry.ReplicaEntry{}
	anyAlive := false
	for _, view := range m.registries {
		anyAlive = anyAlive || view.alive(now, m.params.HeartbeatInterval)
	}
	for _, address := range ordered.Keys(m.registries) {
		view := m.registries[address]
		if anyAlive && now > view.lastUpdateAt+lostHeartbeats*m.params.HeartbeatInterval {
			continue
		}
		m.recordDepartures(now, view)
		for id, entry := range view.replicas {
			if entry.expiresAt > 0 && now >= entry.expiresAt {
				delete(view.replicas, id)
				continue
			}
			known, ok := best[id]
			// A registry that has not heard from the replica for long doesn't overrule one
			// that has.
			if !ok || known.Removed && !entry.Removed || known.Removed == entry.Removed && known.Replica.Sequence < entry.Replica.Sequence {
				best[id] = entry.ReplicaEntry
			}
		}
	}
	m.updateReplicas(best)
	m.mergeAt = now + m.params.HeartbeatInterval/mergesPerHeartbeat
}

// recordDepartures also renews departures for as long as the registry lists them.
func (m *Machine) recordDepartures(now time.Duration, view *registryView) {
	for id, entry := range view.replicas {
		if entry.Replica.Leaving || entry.Final {
			m.departed.add(now, id)
		}
	}
}

// lostHeartbeats is the number of silent heartbeat intervals that outdate a registry's listings.
const lostHeartbeats = 4

// updateReplicas sets the replicas that can be chosen, and forgets unlisted ones that have none of
// this node's requests.
func (m *Machine) updateReplicas(listed map[string]registry.ReplicaEntry) {
	for _, s := range m.services {
		s.replicas = s.replicas[:0]
	}
	listedIDs := map[string]bool{}
	for _, id := range ordered.Keys(listed) {
		entry := listed[id]
		if entry.Removed || m.departed.has(id) {
			continue
		}
		listedIDs[id] = true
		r := m.replicas[id]
		if r == nil {
			r = &replicaRecord{estimate: placement.NewReplica()}
			m.replicas[id] = r
		}
		r.listed = entry.Replica
		r.estimate.ID, r.estimate.Zone = id, entry.Replica.Zone
		r.estimate.Slots, r.estimate.Warming = entry.Replica.Slots, entry.Replica.WarmupRemaining > 0
		s := m.serviceOf(entry.Replica.Service)
		s.replicas = append(s.replicas, r.estimate)
	}
	for id, r := range m.replicas {
		if !listedIDs[id] && r.estimate.Outstanding == 0 {
			delete(m.replicas, id)
		}
	}
}

func (m *Machine) serviceOf(name string) *service {
	s := m.services[name]
	if s == nil {
		s = &service{}
		m.services[name] = s
	}
	return s
}

const (
	// unrestrictedResends is how many replicas may reject a request before it is sent only to
	// replicas with a known free slot, and maxResends before it is refused.
	unrestrictedResends = 3
	maxResends          = 16

	// Limits of a service for which the table gives none.
	unlimitedConnections = 1 << 30
	unlimitedCacheTokens = 1 << 40

	// usableCacheQuarters is how many quarters of a replica's cache are assumed to hold prompts.
	usableCacheQuarters = 3
	mergesPerHeartbeat  = 2
)

// choose returns nil if no replica can take the next attempt.
func (m *Machine) choose(now time.Duration, req *activeRequest) *replicaRecord {
	if now >= m.mergeAt {
		m.mergeListings(now)
	}
	s := m.serviceOf(req.service)
	connections := int64(unlimitedConnections)
	if config, ok := req.table.Service(req.service); ok {
		connections = max(2, config.Connections/int64(max(m.nodeCount, 1)+1))
	}
	allowed := func(r *placement.Replica) bool {
		return !req.tried[r.ID] && r.Outstanding < connections
	}
	request := placement.Request{
		Prompt:            req.spec.Prompt,
		Repeatable:        req.route.Retryable(),
		Remaining:         req.deadline - now,
		ServiceTime:       s.serviceTime.Mean(),
		ReferenceUnitTime: s.referenceUnitTime,
		Rejected:          req.notRun > 0,
	}
	if req.route.CacheAffinity {
		request.Affinity = req.spec.Affinity
	}
	chosen := m.policy.Choose(now, request, s.replicas, allowed)
	if chosen == nil {
		return nil
	}
	if req.notRun >= unrestrictedResends && (req.notRun >= maxResends || !m.policy.HasRoom(now, chosen)) {
		return nil
	}
	return m.replicas[chosen.ID]
}

// recordSent also records the prompt that the replica will have cached.
func (m *Machine) recordSent(now time.Duration, req *activeRequest, r *replicaRecord) {
	cacheTokens := int64(unlimitedCacheTokens)
	if config, ok := req.table.Service(req.service); ok && config.CacheTokens > 0 {
		cacheTokens = config.CacheTokens * usableCacheQuarters / 4
	}
	req.sentAt, req.sentWithRoom = now, m.policy.HasRoom(now, r.estimate)
	r.estimate.RecordSent(now, req.spec.Prompt, cacheTokens)
}

func (m *Machine) recordOutcome(now time.Duration, req *activeRequest, outcome Outcome) {
	s := m.serviceOf(req.service)
	result := resultOf(outcome)
	if result == placement.Served {
		m.recordServiceTime(now, req, s, outcome)
	}
	req.replica.estimate.RecordResult(now, result, outcome.Load, m.params.HeartbeatInterval, s.serviceTime.Mean())
}

// recordServiceTime records how fast a replica served a request. Its speed shows only in event
// streams, as the amount of work of other requests is unknown.
func (m *Machine) recordServiceTime(now time.Duration, req *activeRequest, s *service, outcome Outcome) {
	took, r := now-req.sentAt, req.replica.estimate
	if outcome.Events > 1 {
		r.RecordWork(outcome.StreamDuration, outcome.Events-1)
	}
	if req.sentWithRoom {
		s.serviceTime.Add(time.Duration(float64(took) / r.Slowness(s.referenceUnitTime)))
	}
}

// statusServerFault is the lowest status code that reports a fault of the replica itself.
const statusServerFault = 500

func resultOf(outcome Outcome) placement.Result {
	switch {
	case outcome.AddressReused:
		return placement.Moved
	case outcome.Unreachable:
		return placement.Failed
	case outcome.InProgress:
		return placement.Canceled
	case outcome.Kind == OutcomeNotRun:
		return placement.Rejected
	case outcome.Kind == OutcomeInterrupted && outcome.RequesterDisconnected:
		return placement.Canceled
	case outcome.Kind == OutcomeInterrupted, outcome.Failed && outcome.Status >= statusServerFault:
		return placement.Failed
	}
	return placement.Served
}
