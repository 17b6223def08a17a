package node

import (
	"time"

	"saffronfall/rule/ordered"
	"saffronfall/rule/verdict"
)

// room is what waits for a place at a service's replicas, in order, and how long
// their shots took lately.
type room struct {
	waiting []roomWaiter
	took    time.Duration
}

type roomWaiter struct {
	shot  *shot
	until time.Duration
}

func (m *Machine) roomOf(service string) *room {
	r := m.rooms[service]
	if r == nil {
		r = &room{took: m.params.Core.AttemptTimeout}
		m.rooms[service] = r
	}
	return r
}

// roomFor is how many inquiries may be buffered; some places are kept for what
// is urgent.
func (m *Machine) roomFor(urgent bool) int {
	if urgent {
		return m.params.Buffer
	}
	return int(float64(m.params.Buffer) * (1 - m.params.UrgentRatio))
}

// roomWait is how long it should take until a service's replicas have a place
// for one more than wait already.
func (m *Machine) roomWait(now time.Duration, service string) time.Duration {
	r := m.roomOf(service)
	places := m.description.Services[service].AttemptsPerReplica * int64(len(m.present(now, service)))
	if places == 0 {
		return m.params.Newest
	}
	return max(m.params.Core.PullInterval, r.took*time.Duration(len(r.waiting)+1)/time.Duration(places))
}

// awaitRoom buffers a shot until a replica has a place, if there is hope within
// its budget.
func (m *Machine) awaitRoom(now time.Duration, s *shot) bool {
	service := s.way.inquiry.Service
	until := min(s.way.until, now+m.params.Patience)
	if m.buffered >= m.roomFor(m.description.Services[service].Urgent) || now+m.roomWait(now, service) > until || len(m.present(now, service)) == 0 {
		return false
	}
	m.buffered++
	r := m.roomOf(service)
	r.waiting = append(r.waiting, roomWaiter{shot: s, until: until})
	return true
}

// freeRoom lets waiting shots go as places become free, and ends those whose
// time is over.
func (m *Machine) freeRoom(now time.Duration) {
	for _, service := range ordered.Keys(m.rooms) {
		r := m.rooms[service]
		for len(r.waiting) > 0 {
			w := r.waiting[0]
			over := w.shot.way.over || now >= w.until || !m.termed(now)
			if _, ok := m.choose(now, service, w.shot.untried); !ok && !over {
				break
			}
			r.waiting = r.waiting[1:]
			m.buffered--
			if over {
				m.undo(now, w.shot, m.noReplica(now, service))
			} else {
				m.fire(now, w.shot)
			}
		}
	}
}

func (s *shot) untried(id string) bool { return !s.tried[id] }

func (m *Machine) noReplica(now time.Duration, service string) verdict.Verdict {
	return verdict.Refused(verdict.Refusal{Check: "replica", Code: "no_replica", Reason: "no replica of the service is present and has room", Status: 503, RetryAfter: m.roomWait(now, service)})
}
