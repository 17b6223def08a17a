package shares

import (
	"fmt"
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/message"
	"saffronfall/rule/rate"
)

// The parameters of peer/relay/rate.go.
const (
	leasesPerWindow        = 2
	drawChecksPerWindow    = 50
	drawsPerLease          = 12
	waitWindowDivisor      = 5
	retryWindowDivisor     = 10
	reportLeaseDivisor     = 4
	renewLeaseDivisor      = 3
	maxSpareUnits          = 2
	limitPerSpareUnit      = 10
	demandInterval         = 200 * time.Millisecond
	demandAveragingSeconds = 0.6
	prefetchLeaseFraction  = 0.6
	spendResolution        = 100 * time.Millisecond
)

const (
	leaseDuration = window / leasesPerWindow
	drawCheck     = window / drawChecksPerWindow
	// rateWait is how long a request waits for a unit that is expected.
	rateWait = min(maxWait/2, window/waitWindowDivisor)
)

// leased holds rates as the product does: nodes draw units of a tenant's rate from its ledger.
type leased struct {
	*world
	ledgers []*rate.Ledger
	shares  [][]*share
}

// share is what one node holds of a tenant's rate.
type share struct {
	node, tenant      int
	leaseID           int
	granted, spent    int64
	returned          int64
	expiresAt         time.Duration
	demand            demand
	drawing, wanted   bool
	nextDraw, retryAt time.Duration
	waiting           []*request
	scarce            bool
	reports
}

// reports are the spends that the ledger does not know yet.
type reports struct {
	recent       []rate.RecentSpend
	acknowledged int64
}

// demand is a moving average of a node's requests per second.
type demand struct {
	average   float64
	arrived   int64
	countedAt time.Duration
}

func (d *demand) update(now time.Duration) {
	if passed := now - d.countedAt; passed >= demandInterval {
		weight := min(1, passed.Seconds()/demandAveragingSeconds)
		d.average += (float64(d.arrived)/passed.Seconds() - d.average) * weight
		d.arrived, d.countedAt = 0, now
	}
}

func (l *leased) name() string { return "leased shares" }

func (l *leased) start(w *world) {
	l.world, l.shares = w, make([][]*share, w.nodes)
	for range w.tenants {
		l.ledgers = append(l.ledgers, rate.Restore(0, rate.DurableState{}, leaseDuration))
	}
	for node := range w.nodes {
		for t := range w.tenants {
			l.shares[node] = append(l.shares[node], &share{node: node, tenant: t})
		}
		w.every(drawCheck, node, func() { l.draw(node) })
	}
}

func (l *leased) leaderMoved(partition int) { l.leaderLost(partition) }

func (l *leased) leaderLost(partition int) {
	for t := range l.tenants {
		if l.partitionOf(t) == partition {
			l.ledgers[t] = rate.Restore(l.now, l.ledgers[t].DurableState, leaseDuration)
		}
	}
}

func (s *share) available(now time.Duration) int64 {
	if now >= s.expiresAt {
		return 0
	}
	return s.granted - s.spent - s.returned
}

func (s *share) spend(now time.Duration) {
	s.spent++
	if n := len(s.recent); n > 0 && now < s.recent[n-1].Age {
		s.recent[n-1].Count++
		return
	}
	// Until it is reported, Age holds the time at which the interval of the spends ends.
	s.recent = append(s.recent, rate.RecentSpend{Age: now + spendResolution, Count: 1})
}

func (s *share) acknowledge(reported int64) {
	s.acknowledged = max(s.acknowledged, reported)
	var sum int64
	for i := len(s.recent) - 1; i >= 0; i-- {
		if sum >= s.spent-s.acknowledged {
			s.recent = append([]rate.RecentSpend(nil), s.recent[i+1:]...)
			return
		}
		sum += s.recent[i].Count
	}
}

func (s *share) startLease() {
	s.leaseID++
	s.granted, s.spent, s.returned, s.reports = 0, 0, 0, reports{}
}

func (l *leased) admit(req *request) {
	s := l.shares[req.node][req.tenant]
	s.demand.arrived++
	if len(s.waiting) == 0 && s.available(l.now) > 0 {
		s.spend(l.now)
		l.decide(req, true)
		return
	}
	if l.now < s.retryAt && !s.drawing && s.retryAt >= l.now+rateWait {
		l.decide(req, false)
		return
	}
	s.waiting = append(s.waiting, req)
	s.wanted = true
	l.draw(req.node)
}

func (l *leased) target(s *share) int64 {
	waiting := int64(len(s.waiting))
	if s.scarce {
		return waiting
	}
	spare := min(maxSpareUnits, l.tenants[s.tenant].limit.Max/int64(limitPerSpareUnit*l.nodes))
	return waiting + int64(s.demand.average*leaseDuration.Seconds()*prefetchLeaseFraction+0.5) + spare
}

func (l *leased) due(s *share, want, excess int64) bool {
	if s.wanted && l.now >= s.retryAt {
		return true
	}
	if l.now < s.nextDraw {
		return false
	}
	available := s.available(l.now)
	return available*2 < want || excess > 0 ||
		s.spent > s.acknowledged && l.now > s.recent[0].Age+leaseDuration/reportLeaseDivisor ||
		available > 0 && l.now > s.expiresAt-leaseDuration/renewLeaseDivisor
}

// draw sends one command per partition, as peer/relay does.
func (l *leased) draw(node int) {
	var batches [partitions][]*share
	var commands [partitions]core.DrawRates
	for _, s := range l.shares[node] {
		s.demand.update(l.now)
		if s.drawing {
			continue
		}
		if l.now >= s.expiresAt && s.granted > 0 {
			s.startLease()
		}
		want := l.target(s)
		excess := s.available(l.now) - 2*want
		if !l.due(s, want, excess) {
			continue
		}
		s.returned += max(excess, 0)
		p := l.partitionOf(s.tenant)
		batches[p] = append(batches[p], s)
		commands[p].Draws = append(commands[p].Draws, l.drawOf(s, want))
	}
	for p := range batches {
		if len(batches[p]) > 0 {
			l.send(node, p, batches[p], commands[p])
		}
	}
}

func (l *leased) drawOf(s *share, want int64) core.TenantDraw {
	s.drawing, s.wanted, s.nextDraw = true, false, l.now+leaseDuration/drawsPerLease
	draw := rate.DrawRequest{
		Holder:        fmt.Sprintf("node-%02d-0123456789abcdef+%d", s.node, s.leaseID),
		Granted:       s.granted,
		Spent:         s.spent,
		Returned:      s.returned,
		Want:          want,
		Prefetch:      want - int64(len(s.waiting)),
		Version:       1,
		Limit:         l.tenants[s.tenant].limit,
		LeaseDuration: leaseDuration,
	}
	for _, r := range s.recent {
		draw.Recent = append(draw.Recent, rate.RecentSpend{Age: l.now - r.Age, Count: r.Count})
	}
	return core.TenantDraw{Tenant: fmt.Sprintf("tenant-%02d", s.tenant), Request: draw}
}

func (l *leased) send(node, partition int, batch []*share, command core.DrawRates) {
	sentAt, leaseIDs := l.now, make([]int, len(batch))
	for i, s := range batch {
		leaseIDs[i] = s.leaseID
	}
	l.call(&call{
		node:      node,
		partition: partition,
		zone:      func() int { return l.leaderZone(l.now, partition) },
		size:      frameBytes + len(message.Pack(command)),
		until:     sentAt + leaseDuration,
		serve: func() reply {
			var result core.DrawRatesResult
			writeBytes := 0
			for i, draw := range command.Draws {
				ledger := l.ledgers[batch[i].tenant]
				response, changed := ledger.Draw(l.now, draw.Request)
				result.Responses = append(result.Responses, response)
				if changed {
					writeBytes += frameBytes + len(message.Marshal(ledger.DurableState))
				}
			}
			return reply{size: frameBytes + len(message.Pack(result)), writeBytes: writeBytes, apply: func() {
				for i, s := range batch {
					l.applyDraw(s, leaseIDs[i], sentAt, command.Draws[i].Request, result.Responses[i])
				}
			}}
		},
		failed: func() {
			for _, s := range batch {
				l.drawFailed(s)
			}
		},
	})
}

func (l *leased) drawFailed(s *share) {
	waiting := s.waiting
	s.drawing, s.waiting = false, nil
	for _, req := range waiting {
		l.decide(req, false)
	}
}

func (l *leased) applyDraw(s *share, leaseID int, sentAt time.Duration, sent rate.DrawRequest, response rate.DrawResponse) {
	s.drawing = false
	if s.leaseID != leaseID {
		l.drawFailed(s)
		return
	}
	if response.Expired || s.granted > 0 && l.now >= s.expiresAt {
		s.startLease()
		s.wanted = true
		l.draw(s.node)
		return
	}
	s.acknowledge(sent.Spent)
	s.granted, s.scarce = max(s.granted, response.Granted), response.Scarce
	s.expiresAt = max(s.expiresAt, sentAt+leaseDuration)
	for len(s.waiting) > 0 && s.available(l.now) > 0 {
		req := s.waiting[0]
		s.waiting = s.waiting[1:]
		if !req.decided {
			s.spend(l.now)
			l.decide(req, true)
		}
	}
	s.wanted = len(s.waiting) > 0
	l.retry(s, response.RetryAfter)
}

// retry schedules the next draw for requests that wait, and refuses those that would wait too long.
func (l *leased) retry(s *share, after time.Duration) {
	again := l.now
	if after > 0 && s.available(l.now) == 0 {
		s.retryAt = l.now + min(after, window/retryWindowDivisor)
		again = s.retryAt
	}
	waiting := s.waiting
	s.waiting = nil
	for _, req := range waiting {
		if after <= 0 || l.now+after < req.at+rateWait {
			s.waiting = append(s.waiting, req)
		} else {
			l.decide(req, false)
		}
	}
	if len(s.waiting) > 0 {
		l.events.Add(again, func() {
			if l.up(l.now, s.node) {
				l.draw(s.node)
			}
		})
	}
}
