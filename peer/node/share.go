package node

import (
	"sort"
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/allowance"
	"saffronfall/rule/breaker"
	"saffronfall/rule/configuration"
)

// share is this node's share of a tenant's tokens of the day or of the spend budget, in
// micro-dollars. Running attempts hold reserved; pending is the need of draws in flight.
type share struct {
	account      allowance.Account
	reserved     int64
	pending      int64
	reportAt     time.Duration
	changed      bool
	otherHolders []string
	reporting    bool
}

func (s *share) free() int64 { return s.account.Held() - s.reserved }

func (s *share) reserve(amount int64) { s.reserved += amount }

func (s *share) settle(reserved, spent int64) {
	s.reserved -= reserved
	s.account.Spent += spent
	s.changed = true
}

// rateShare is this node's share of a tenant's rate: a number of units, and a token bucket whose
// size and rate are proportional to them. target is the number of units that the cores assign.
type rateShare struct {
	account        allowance.Account
	tokens         float64
	filledAt       time.Duration
	demand         int64
	recentDemand   int64
	demandAt       time.Duration
	target         int64
	reportAt       time.Duration
	reporting      bool
	otherHolders   []string
	waiting        []rateWaiter
	totalUnits     int64
	reportedDemand int64
}

// demandWeight weighs recent demand against core.IdleWeight, which keeps a share at idle nodes.
const demandWeight = 64

type rateWaiter struct {
	until time.Duration
	next  func(now time.Duration, ok bool, wait time.Duration)
}

func (rs *rateShare) fill(now time.Duration, rate float64, burst int64) {
	total := rateUnits(burst)
	if total < rs.totalUnits {
		// Every holder returns its part of a reduction, so that the shares held never exceed the
		// new total.
		rs.account.Returned += rs.account.Held() - rs.account.Held()*total/rs.totalUnits
	}
	rs.totalUnits = total
	held := float64(rs.account.Held()) / float64(total)
	rs.tokens = min(held*float64(burst), rs.tokens+held*rate*(now-rs.filledAt).Seconds())
	rs.filledAt = now
}

// applyGrant records newly granted units, which fill the bucket only from now on.
func (rs *rateShare) applyGrant(now time.Duration, granted int64, rate float64, burst int64) {
	rs.fill(now, rate, burst)
	if granted > rs.account.Granted {
		rs.account.Granted = granted
	}
}

// returnUnits gives units back, with the part of the bucket beyond the remaining ones.
func (rs *rateShare) returnUnits(now time.Duration, units int64, rate float64, burst int64) {
	rs.fill(now, rate, burst)
	rs.account.Returned += units
	rs.fill(now, rate, burst)
}

// rateUnits is the number of units of a rate. A bucket needs core.UnitsPerRequest of them to hold
// one request.
func rateUnits(burst int64) int64 { return burst * core.UnitsPerRequest }

// rateShareOf also returns the whole rate in requests per second, and its burst.
func (m *Machine) rateShareOf(tenant string, urgent bool) (*rateShare, float64, int64) {
	limits := m.description.Tenants[tenant]
	key, ratio := tenant+"/rate", 1-limits.UrgentRatio
	if urgent {
		key, ratio = tenant+"/urgent", limits.UrgentRatio
	}
	rs := m.rateShares[key]
	if rs == nil {
		rs = &rateShare{filledAt: m.now}
		m.rateShares[key] = rs
	}
	return rs, limits.RequestsPerSecond * ratio, max(1, int64(float64(limits.Burst)*ratio))
}

func (m *Machine) dayShareOf(tenant string) *share {
	s := m.dayShares[tenant]
	if s == nil {
		s = &share{}
		m.dayShares[tenant] = s
	}
	return s
}

func (m *Machine) endedHolders(holders []string) []string {
	var list []string
	for _, h := range holders {
		for i := len(h) - 1; i >= 0; i-- {
			if h[i] == '/' {
				if m.hasEnded(h[:i], h[i+1:]) {
					list = append(list, h)
				}
				break
			}
		}
	}
	sort.Strings(list)
	return list
}

func (m *Machine) holderID() string { return m.params.ID + "/" + m.incarnation }

// drawShare enlarges a share until need is free, then calls next. answered is false if the cores
// did not answer in time.
func (m *Machine) drawShare(
	now time.Duration, s *share, need, chunk int64, until time.Duration,
	command func(target int64) any, next func(now time.Duration, ok, answered bool),
) {
	if s.free() >= need {
		next(now, true, true)
		return
	}
	s.pending += need
	target := s.reserved + s.pending + chunk
	incarnation := m.incarnation
	m.caller.Call(now, command(target), until, func(now time.Duration, o core.Outcome) {
		if incarnation != m.incarnation {
			next(now, false, false)
			return
		}
		s.pending -= need
		m.applyShare(now, s, o)
		next(now, s.free() >= need, !o.Uncertain)
	})
}

func (m *Machine) applyShare(now time.Duration, s *share, o core.Outcome) {
	result, ok := o.Answer.(core.DrawResult)
	if !ok {
		return
	}
	s.account.Granted = max(s.account.Granted, result.Granted)
	s.otherHolders = result.Holders
	if s == m.spendShare && result.Open {
		m.breakerOpenUntil = now + result.Remaining
	}
}

func (m *Machine) dayShareCommand(tenant string, s *share) func(target int64) any {
	return func(target int64) any {
		return core.DrawAllowance{Tenant: tenant, Kind: "day", Holder: m.holderID(), Spent: s.account.Spent, Returned: s.account.Returned,
			Target: target, Limit: m.description.Tenants[tenant].DayTokens, UnitsPerRequest: 1, Ended: m.endedHolders(s.otherHolders)}
	}
}

func (m *Machine) spendShareCommand(target int64) any {
	return m.breakerDraw(target, m.spendShare.reserved+m.spendShare.pending)
}

// spendPrefetchCommand draws on the spend budget without an immediate need.
func (m *Machine) spendPrefetchCommand(target int64) any { return m.breakerDraw(target, 0) }

func (m *Machine) breakerDraw(target, need int64) any {
	return core.DrawBreaker{
		Holder:   m.holderID(),
		Spent:    m.spendShare.account.Spent,
		Returned: m.spendShare.account.Returned,
		Target:   target,
		Need:     need,
		Ended:    m.endedHolders(m.spendShare.otherHolders),
		Limits:   m.breakerLimits(),
	}
}

func (m *Machine) breakerLimits() core.BreakerLimits {
	p := m.description.BreakerParams()
	return core.BreakerLimits{Minute: p.Minute, Hour: p.Hour, Day: p.Day, Recovery: p.Recovery, Probes: p.Probes}
}

func (m *Machine) reportShares(now time.Duration) {
	if m.description == nil || !m.hasLease(now) || m.returningShares || now < m.joinedAt+2*m.params.Core.PullInterval {
		return
	}
	for _, tenant := range m.tenants {
		m.reportRates(now, tenant)
		s := m.dayShareOf(tenant)
		m.reportShare(now, s, m.dayShareCommand(tenant, s), m.dayChunk(tenant))
	}
	m.reportShare(now, m.spendShare, m.spendPrefetchCommand, m.spendChunk())
}

// Parts of an allowance, of which a node holds one in advance.
const (
	dayChunks   = 4096 // of a day
	spendChunks = 512  // of a minute
)

// dayChunk is the number of tokens that a node holds in advance.
func (m *Machine) dayChunk(tenant string) int64 {
	return max(1, m.description.Tenants[tenant].DayTokens/dayChunks)
}

// spendChunk is the number of micro-dollars that a node holds in advance.
func (m *Machine) spendChunk() int64 {
	return max(1, configuration.MicroDollars(m.description.Breaker.MinuteDollars)/spendChunks)
}

// reportShare reports what was spent, returns what is unused, and draws a chunk in advance.
func (m *Machine) reportShare(now time.Duration, s *share, command func(target int64) any, chunk int64) {
	open := s == m.spendShare && (now < m.breakerOpenUntil || m.breakerState != breaker.Closed)
	idle := s.free() < chunk && !s.changed && !open
	if s.reporting || now < s.reportAt || (idle && s.free() > 0) {
		if now < s.reportAt+m.params.Core.MemberLease || s.reporting {
			return
		}
	}
	s.reportAt = now + m.params.ReportInterval
	if spare := s.free() - chunk; spare > chunk {
		s.account.Returned += spare
	}
	target := s.reserved + s.pending + chunk
	if open {
		s.account.Returned += max(0, s.free())
		target = 0
	}
	s.changed, s.reporting = false, true
	incarnation := m.incarnation
	m.caller.Call(now, command(target), now+m.params.Core.MemberLease, func(now time.Duration, o core.Outcome) {
		if incarnation == m.incarnation {
			s.reporting = false
			m.applyShare(now, s, o)
		}
	})
}

func (m *Machine) rateReport(tenant string, urgent bool, want int64) core.DrawAllowance {
	rs, _, burst := m.rateShareOf(tenant, urgent)
	kind := "rate"
	if urgent {
		kind = "urgent"
	}
	return core.DrawAllowance{
		Tenant:          tenant,
		Kind:            kind,
		Holder:          m.holderID(),
		Returned:        rs.account.Returned,
		Target:          want,
		Limit:           rateUnits(burst),
		UnitsPerRequest: core.UnitsPerRequest,
		Members:         int64(len(m.otherAddresses()) + 1),
		Ended:           m.endedHolders(rs.otherHolders),
	}
}

// rateReportDue also updates the reported demand if a report is due.
func (m *Machine) rateReportDue(now time.Duration, tenant string, urgent bool) bool {
	rs, rate, burst := m.rateShareOf(tenant, urgent)
	rs.fill(now, rate, burst)
	m.releaseWaiters(now, rs, rate, burst)
	held := rs.account.Held()
	if rs.reporting || now < rs.reportAt {
		return false
	}
	if now >= rs.demandAt+m.params.ReportInterval {
		// Over a shorter interval the measured demand would vary too much.
		rs.recentDemand, rs.demand, rs.demandAt = (rs.recentDemand+rs.demand*demandWeight)/2, 0, now
	}
	want := core.IdleWeight + rs.recentDemand
	steady := want-rs.reportedDemand <= rs.reportedDemand/4 && rs.reportedDemand-want <= rs.reportedDemand/4
	if held > 0 && held == rs.target && steady && now < rs.reportAt+m.params.ReportInterval && rs.reportAt > 0 {
		return false
	}
	rs.reportedDemand, rs.reportAt, rs.reporting = want, now+m.params.ReportInterval, true
	return true
}

func (m *Machine) reportRates(now time.Duration, tenant string) {
	var due []bool
	var report core.DrawAllowances
	for _, urgent := range []bool{false, true} {
		if m.rateReportDue(now, tenant, urgent) {
			rs, _, _ := m.rateShareOf(tenant, urgent)
			due = append(due, urgent)
			report.Draws = append(report.Draws, m.rateReport(tenant, urgent, rs.reportedDemand))
		}
	}
	if len(due) == 0 {
		return
	}
	incarnation := m.incarnation
	m.caller.Call(now, report, now+m.params.Core.MemberLease, func(now time.Duration, o core.Outcome) {
		if incarnation != m.incarnation {
			return
		}
		r, _ := o.Answer.(core.DrawResults)
		for i, urgent := range due {
			rs, rate, burst := m.rateShareOf(tenant, urgent)
			rs.reporting = false
			if i >= len(r.Results) {
				continue
			}
			answer := r.Results[i]
			rs.applyGrant(now, answer.Granted, rate, burst)
			rs.otherHolders, rs.target = answer.Holders, answer.Target
			if over := rs.account.Held() - answer.Target; over > 0 {
				rs.returnUnits(now, over, rate, burst)
				rs.reportAt = now
			}
		}
	})
}

func (m *Machine) releaseWaiters(now time.Duration, rs *rateShare, rate float64, burst int64) {
	for len(rs.waiting) > 0 {
		w := rs.waiting[0]
		if now < w.until && rs.tokens < 1 {
			return
		}
		rs.waiting = rs.waiting[1:]
		m.queued--
		ok := now < w.until && rs.tokens >= 1
		if ok {
			rs.tokens--
		}
		w.next(now, ok, m.rateWait(rs, rate, burst))
	}
}

// rateWait returns how long it takes until the bucket admits one more request.
func (m *Machine) rateWait(rs *rateShare, rate float64, burst int64) time.Duration {
	speed := float64(rs.account.Held()) / float64(rateUnits(burst)) * rate
	if speed <= 0 {
		return 2 * m.params.ReportInterval
	}
	return max(m.params.Core.PullInterval, time.Duration((float64(len(rs.waiting)+1)-rs.tokens)/speed*float64(time.Second)))
}

// takeRate takes a token for one request, now or after a wait.
func (m *Machine) takeRate(
	now time.Duration, tenant string, urgent bool, until time.Duration,
	next func(now time.Duration, ok bool, wait time.Duration),
) {
	rs, rate, burst := m.rateShareOf(tenant, urgent)
	rs.demand++
	rs.fill(now, rate, burst)
	if len(rs.waiting) == 0 && rs.tokens >= 1 {
		rs.tokens--
		next(now, true, 0)
		return
	}
	if urgent {
		// Urgent requests may also use the ordinary rate.
		ordinary, rate, burst := m.rateShareOf(tenant, false)
		ordinary.demand++
		if ordinary.fill(now, rate, burst); ordinary.tokens >= 1 {
			ordinary.tokens--
			next(now, true, 0)
			return
		}
	}
	if !urgent {
		until = min(until, now+m.params.MaxQueueWait)
	}
	if wait := m.rateWait(rs, rate, burst); m.queued >= m.queueLimitFor(urgent) || now+wait > until {
		next(now, false, wait)
		return
	}
	m.queued++
	rs.waiting = append(rs.waiting, rateWaiter{until: until, next: next})
}
