package shares

import (
	"sort"
	"time"
)

const (
	// fullUse is the part of the limit, or of its use before a loss, at which a tenant has full use.
	fullUse     = 0.95
	measureStep = 50 * time.Millisecond
	// Effects of a loss are measured for this long.
	lossPeriod = 9500 * time.Millisecond
)

// record is what happened in a run.
type record struct {
	// admitted has the times of decisions, sent those of arrivals at replicas, by tenant.
	admitted [][]time.Duration
	arrived  [][]time.Duration
	counts   measures
}

// measures are the results of one run.
type measures struct {
	admitted, refused int
	// refusedWithRoom were refused while the last window's admissions were below the plain limit.
	// Of these, calmWithRoom were refused before the first loss.
	refusedWithRoom, calmWithRoom int
	calm                          int
	messages, bytes               int
	nodes                         int
	// quiet counts the decisions before the hot tenant begins, quietAtOnce those without a wait.
	quiet, quietAtOnce int
	// excess is the greatest overshoot beyond the plain limit as a part of the allowed one.
	excess float64
	hotUse
}

// hotUse is the use of the hot tenant's limit.
type hotUse struct {
	// filled and the others are times to full use of the hot tenant's limit.
	filled, afterNodes, afterLeader time.Duration
	// steady is the mean use of the hot tenant's limit before the first loss, and lowest the least
	// use after either loss.
	steady, lowest float64
}

func newRecord(tenants int) record {
	return record{admitted: make([][]time.Duration, tenants), arrived: make([][]time.Duration, tenants)}
}

func (r *record) sent(size int) {
	r.counts.messages++
	r.counts.bytes += size
}

func (r *record) decided(now time.Duration, req *request, admitted bool, sent time.Duration, plain float64) {
	c := &r.counts
	if now > warmUp && now < hotFrom {
		c.quiet++
		if now == req.at {
			c.quietAtOnce++
		}
	}
	if now < nodesLostAt {
		c.calm++
	}
	if admitted {
		c.admitted++
		r.admitted[req.tenant] = append(r.admitted[req.tenant], now)
		r.arrived[req.tenant] = append(r.arrived[req.tenant], sent)
		return
	}
	c.refused++
	if float64(inWindow(r.admitted[req.tenant], now)) < plain {
		c.refusedWithRoom++
		if now < nodesLostAt {
			c.calmWithRoom++
		}
	}
}

// inWindow counts the times of the window that ends at now, inclusive.
func inWindow(times []time.Duration, now time.Duration) int {
	after := func(t time.Duration) int {
		return sort.Search(len(times), func(i int) bool { return times[i] > t })
	}
	return after(now) - after(now-window)
}

func (r *record) measure(s *scenario) *measures {
	m := &r.counts
	m.nodes = s.nodes
	for i, times := range r.arrived {
		sort.Slice(times, func(a, b int) bool { return times[a] < times[b] })
		t := s.tenants[i]
		for _, at := range times {
			over := float64(inWindow(times, at)) - t.plain
			m.excess = max(m.excess, over/(t.allowed()-t.plain))
		}
	}
	admitted, plain := r.admitted[s.hot], s.tenants[s.hot].plain
	use := func(at time.Duration) float64 { return float64(inWindow(admitted, at)) / plain }
	for m.filled = 0; hotFrom+m.filled < nodesLostAt && use(hotFrom+m.filled) < fullUse; {
		m.filled += measureStep
	}
	for passed := time.Duration(0); passed < window; passed += measureStep {
		m.steady += use(nodesLostAt-passed) * float64(measureStep) / float64(window)
	}
	m.lowest = m.steady
	afterLoss := func(lost time.Duration) (recovered time.Duration) {
		for passed := time.Duration(0); passed < lossPeriod; passed += measureStep {
			part := use(lost + passed)
			m.lowest = min(m.lowest, part)
			if part < fullUse*min(m.steady, 1) {
				recovered = passed + measureStep
			}
		}
		return recovered
	}
	m.afterNodes, m.afterLeader = afterLoss(nodesLostAt), afterLoss(leaderLostAt)
	return m
}
