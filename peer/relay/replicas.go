package relay

import (
	"time"

	"saffronfall/peer/desk"
	"saffronfall/rule/admission"
	"saffronfall/rule/ordered"
	"saffronfall/rule/placement"
)

// board is what one desk has told of replicas.
type deskView struct {
	incarnation string
	version     uint64
	// heard is when the desk was last heard of, or first told of by another one.
	heardAt  time.Duration
	replicas map[string]listing
	// placesOf are the list's replicas as loads name them, as of a version.
	indexedIDs     []string
	indexedVersion uint64
	// toldLoad: this node's last word of load there was that it has something.
	reportedLoad bool
}

// speaks reports whether a desk was heard of lately.
func (view *deskView) alive(now, beat time.Duration) bool {
	return view.incarnation != "" && now < view.heardAt+lostHeartbeats*beat
}

type listing struct {
	desk.Listed
	// until is when it is dropped; zero: when the desk says so.
	expiresAt time.Duration
}

// replicaRecord is one replica: as it announced itself, and as it is known by sendings.
type replicaRecord struct {
	listed   desk.Replica
	estimate *placement.Replica
}

// choosing is what a node knows of services and replicas, and how it chooses.
type selection struct {
	services map[string]*service
	replicas map[string]*replicaRecord
	policy   *placement.Policy
	// gatherAt is when desks' lists are joined next.
	mergeAt time.Duration
}

// service is what a node knows of the replicas of a service.
type service struct {
	replicas    []*placement.Replica
	serviceTime placement.ServiceTime
	admission   admission.Controller
	// reference is the pace of its fast replicas.
	referenceUnitTime time.Duration
}

// departed are replicas that said that they leave, and when that was last heard of.
// A replica never comes back under its id, so no other word of it counts any more.
type departedReplicas map[string]time.Duration

func (d departedReplicas) add(now time.Duration, id string) { d[id] = now }

func (d departedReplicas) has(id string) bool {
	_, ok := d[id]
	return ok
}

// departedBeats is for how many heartbeats a node remembers that a replica left:
// longer than desks tell of it.
const departedHeartbeats = 100

// forget drops those that nobody has told of for a time.
func (d departedReplicas) expire(before time.Duration) {
	for id, heard := range d {
		if heard < before {
			delete(d, id)
		}
	}
}

// gather joins the boards into one list of replicas. The newest word of a
// replica counts; that it leaves or has left counts whoever said it, and for good:
// it is no word of the desk that told of it, which may fall silent or be forgotten.
func (m *Machine) mergeListings(now time.Duration) {
	best := map[string]desk.Listed{}
	live := false
	for _, view := range m.desks {
		live = live || view.alive(now, m.params.HeartbeatInterval)
	}
	for _, address := range ordered.Keys(m.desks) {
		view := m.desks[address]
		if live && now > view.heardAt+lostHeartbeats*m.params.HeartbeatInterval {
			continue
		}
		m.recordDepartures(now, view)
		for id, p := range view.replicas {
			if p.expiresAt > 0 && now >= p.expiresAt {
				delete(view.replicas, id)
				continue
			}
			old, ok := best[id]
			// That one desk has not heard of it for long is no word against another
			// that has.
			if !ok || old.Gone && !p.Gone || old.Gone == p.Gone && old.Replica.Call < p.Replica.Call {
				best[id] = p.Listed
			}
		}
	}
	m.updateReplicas(best)
	m.mergeAt = now + m.params.HeartbeatInterval/2
}

// rememberDeparted notes who has left, for as long as a desk that speaks tells so.
func (m *Machine) recordDepartures(now time.Duration, view *deskView) {
	for id, p := range view.replicas {
		if p.Replica.Leaving || p.Final {
			m.departed.add(now, id)
		}
	}
}

// lostBeats is after how many beats a silent desk's word is old.
const lostHeartbeats = 4

// listReplicas takes the replicas that can be chosen from now on, and forgets those that
// nobody tells of any more and that have nothing of this node's.
func (m *Machine) updateReplicas(told map[string]desk.Listed) {
	for _, s := range m.services {
		s.replicas = s.replicas[:0]
	}
	known := map[string]bool{}
	for _, id := range ordered.Keys(told) {
		l := told[id]
		if l.Gone || m.departed.has(id) {
			continue
		}
		known[id] = true
		r := m.replicas[id]
		if r == nil {
			r = &replicaRecord{estimate: placement.NewReplica()}
			m.replicas[id] = r
		}
		r.listed = l.Replica
		r.estimate.ID, r.estimate.Zone, r.estimate.Slots, r.estimate.Warming = id, l.Replica.Zone, l.Replica.Slots, l.Replica.Cold > 0
		s := m.serviceOf(l.Replica.Service)
		s.replicas = append(s.replicas, r.estimate)
	}
	for id, r := range m.replicas {
		if !known[id] && r.estimate.Outstanding == 0 {
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
	// resendsAnyway is how many replicas may turn a request away before it goes only to
	// those that have room as far as is known.
	unrestrictedResends = 3
	// mostResends bounds how many replicas one request is offered to.
	maxResends = 16
)

// choose picks the replica that a request is sent to next.
func (m *Machine) choose(now time.Duration, req *activeRequest) *replicaRecord {
	if now >= m.mergeAt {
		m.mergeListings(now)
	}
	s := m.serviceOf(req.service)
	connections := int64(1 << 30)
	if described, ok := req.table.Service(req.service); ok {
		connections = max(2, described.Connections/int64(max(m.nodes, 1)+1))
	}
	allowed := func(r *placement.Replica) bool {
		return !req.tried[r.ID] && r.Outstanding < connections
	}
	request := placement.Request{Prompt: req.spec.Prompt, Repeatable: req.route.Retryable(), Remaining: req.deadline - now, ServiceTime: s.serviceTime.Mean(), ReferenceUnitTime: s.referenceUnitTime, Rejected: req.notRun > 0}
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

// sent notes that a request goes to a replica, and what that will keep of it.
func (m *Machine) recordSent(now time.Duration, req *activeRequest, r *replicaRecord) {
	room := int64(1 << 40)
	if described, ok := req.table.Service(req.service); ok && described.CacheTokens > 0 {
		room = described.CacheTokens * 3 / 4
	}
	req.sentAt, req.sentWithRoom = now, m.policy.HasRoom(now, r.estimate)
	r.estimate.RecordSent(now, req.spec.Prompt, room)
}

// came notes what became of a sending.
func (m *Machine) recordOutcome(now time.Duration, req *activeRequest, o Outcome) {
	s := m.serviceOf(req.service)
	result := resultOf(o)
	if result == placement.Served {
		m.recordServiceTime(now, req, s, o)
	}
	req.replica.estimate.RecordResult(now, result, o.Load, m.params.HeartbeatInterval, s.serviceTime.Mean())
}

// learnPace notes how fast a replica served a request. Only streams tell how fast a replica
// is: how much work another request makes is not known.
func (m *Machine) recordServiceTime(now time.Duration, req *activeRequest, s *service, o Outcome) {
	took, r := now-req.sentAt, req.replica.estimate
	if o.Events > 1 {
		r.RecordWork(o.StreamDuration, o.Events-1)
	}
	if req.sentWithRoom {
		s.serviceTime.Add(time.Duration(float64(took) / r.Slowness(s.referenceUnitTime)))
	}
}

// statusServerFault is the first status by which a replica says that the fault is its
// own.
const statusServerFault = 500

// resultOf is what an outcome says of the replica.
func resultOf(o Outcome) placement.Result {
	switch {
	case o.AddressReused:
		return placement.Moved
	case o.Unreachable:
		return placement.Failed
	case o.Kind == OutcomeNotRun:
		return placement.Rejected
	case o.Kind == OutcomeInterrupted && o.RequesterGone:
		return placement.Canceled
	case o.Kind == OutcomeInterrupted, o.Failed && o.Status >= statusServerFault:
		return placement.Failed
	}
	return placement.Served
}
