package node

import (
	"time"

	"saffronfall/rule/ordered"
	"saffronfall/rule/verdict"
)

// replicaQueue holds a service's attempts that wait for a replica, in order of arrival, and the
// moving average of attempt durations.
type replicaQueue struct {
	waiting         []queuedAttempt
	averageDuration time.Duration
}

// averageWeight makes a new duration one part in averageWeight of the average.
const averageWeight = 8

type queuedAttempt struct {
	attempt *attempt
	until   time.Duration
}

func (m *Machine) queueOf(service string) *replicaQueue {
	queue := m.queues[service]
	if queue == nil {
		queue = &replicaQueue{averageDuration: m.params.Core.AttemptTimeout}
		m.queues[service] = queue
	}
	return queue
}

// queueLimitFor reserves part of the queue for urgent services.
func (m *Machine) queueLimitFor(urgent bool) int {
	if urgent {
		return m.params.QueueLimit
	}
	return int(float64(m.params.QueueLimit) * (1 - m.params.UrgentRatio))
}

// queueWait estimates how long one more queued attempt would wait for a replica.
func (m *Machine) queueWait(now time.Duration, service string) time.Duration {
	queue := m.queueOf(service)
	capacity := m.description.Services[service].AttemptsPerReplica * int64(len(m.currentReplicas(now, service)))
	if capacity == 0 {
		return m.params.AnnouncementMaxAge
	}
	return max(m.params.Core.PullInterval, queue.averageDuration*time.Duration(len(queue.waiting)+1)/time.Duration(capacity))
}

// enqueue returns false if the queue is full or the expected wait is too long.
func (m *Machine) enqueue(now time.Duration, a *attempt) bool {
	service := a.req.request.Service
	until := min(a.req.deadline, now+m.params.MaxQueueWait)
	if m.queued >= m.queueLimitFor(m.description.Services[service].Urgent) ||
		now+m.queueWait(now, service) > until || len(m.currentReplicas(now, service)) == 0 {
		return false
	}
	m.queued++
	queue := m.queueOf(service)
	queue.waiting = append(queue.waiting, queuedAttempt{attempt: a, until: until})
	return true
}

func (m *Machine) drainQueues(now time.Duration) {
	for _, service := range ordered.Keys(m.queues) {
		queue := m.queues[service]
		for len(queue.waiting) > 0 {
			w := queue.waiting[0]
			expired := w.attempt.req.done || now >= w.until || !m.hasLease(now)
			if _, ok := m.chooseReplica(now, service, w.attempt.untriedReplica); !ok && !expired {
				break
			}
			queue.waiting = queue.waiting[1:]
			m.queued--
			if expired {
				m.cancelAttempt(now, w.attempt, m.noReplicaVerdict(now, service))
			} else {
				m.startAttempt(now, w.attempt)
			}
		}
	}
}

func (a *attempt) untriedReplica(id string) bool { return !a.triedReplicas[id] }

func (m *Machine) noReplicaVerdict(now time.Duration, service string) verdict.Verdict {
	return verdict.Refused(verdict.Refusal{
		Check: "replica", Code: "no_replica",
		Reason: "no replica of the service is present and has room",
		Status: 503, RetryAfter: m.queueWait(now, service),
	})
}
