package node

import (
	"time"

	"saffronfall/rule/ordered"
	"saffronfall/rule/verdict"
)

// room is what waits for a place at a service's replicas, in order, and how long
// their shots took lately.
type replicaQueue struct {
	waiting         []queuedAttempt
	averageDuration time.Duration
}

type queuedAttempt struct {
	attempt *attempt
	until   time.Duration
}

func (m *Machine) queueOf(service string) *replicaQueue {
	r := m.queues[service]
	if r == nil {
		r = &replicaQueue{averageDuration: m.params.Core.Retry}
		m.queues[service] = r
	}
	return r
}

// roomFor is how many inquiries may be buffered; some places are kept for what
// is urgent.
func (m *Machine) queueLimitFor(urgent bool) int {
	if urgent {
		return m.params.QueueLimit
	}
	return int(float64(m.params.QueueLimit) * (1 - m.params.UrgentRatio))
}

// roomWait is how long it should take until a service's replicas have a place
// for one more than wait already.
func (m *Machine) queueWait(now time.Duration, service string) time.Duration {
	r := m.queueOf(service)
	places := m.description.Services[service].AttemptsPerReplica * int64(len(m.currentReplicas(now, service)))
	if places == 0 {
		return m.params.AnnouncementMaxAge
	}
	return max(m.params.Core.Pull, r.averageDuration*time.Duration(len(r.waiting)+1)/time.Duration(places))
}

// awaitRoom buffers a shot until a replica has a place, if there is hope within
// its budget.
func (m *Machine) enqueue(now time.Duration, a *attempt) bool {
	service := a.req.request.Service
	until := min(a.req.deadline, now+m.params.MaxQueueWait)
	if m.queued >= m.queueLimitFor(m.description.Services[service].Urgent) || now+m.queueWait(now, service) > until || len(m.currentReplicas(now, service)) == 0 {
		return false
	}
	m.queued++
	r := m.queueOf(service)
	r.waiting = append(r.waiting, queuedAttempt{attempt: a, until: until})
	return true
}

// freeRoom lets waiting shots go as places become free, and ends those whose
// time is over.
func (m *Machine) drainQueues(now time.Duration) {
	for _, service := range ordered.Keys(m.queues) {
		r := m.queues[service]
		for len(r.waiting) > 0 {
			w := r.waiting[0]
			over := w.attempt.req.done || now >= w.until || !m.inTerm(now)
			if _, ok := m.chooseReplica(now, service, w.attempt.untriedReplica); !ok && !over {
				break
			}
			r.waiting = r.waiting[1:]
			m.queued--
			if over {
				m.cancelAttempt(now, w.attempt, m.noReplicaVerdict(now, service))
			} else {
				m.startAttempt(now, w.attempt)
			}
		}
	}
}

func (a *attempt) untriedReplica(id string) bool { return !a.triedReplicas[id] }

func (m *Machine) noReplicaVerdict(now time.Duration, service string) verdict.Verdict {
	return verdict.Refused(verdict.Refusal{Check: "replica", Code: "no_replica", Reason: "no replica of the service is present and has room", Status: 503, RetryAfter: m.queueWait(now, service)})
}
