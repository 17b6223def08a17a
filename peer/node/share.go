package node

import (
	"sort"
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/allowance"
	"saffronfall/rule/breaker"
	"saffronfall/rule/configuration"
)

// share is this node's part of an allowance that is spent: tokens of a
// tenant's day, or money.
type share struct {
	books    allowance.Books
	reserved int64
	pending  int64
	reportAt time.Duration
	changed  bool
	others   []string
	asking   bool
}

func (s *share) free() int64 { return s.books.Held() - s.reserved }

func (s *share) reserve(amount int64) { s.reserved += amount }

func (s *share) settle(reserved, spent int64) {
	s.reserved -= reserved
	s.books.Spent += spent
	s.changed = true
}

// pace is this node's part of a tenant's rate: units, and a bucket that fills
// by them. Units that are newly held come with nothing in the bucket.
type pace struct {
	books    allowance.Books
	filled   float64
	at       time.Duration
	demand   int64
	recent   int64
	rolledAt time.Duration
	target   int64
	reportAt time.Duration
	asking   bool
	others   []string
	waiting  []waiter
	whole    int64
	want     int64
}

// What a node wants of a rate weighs by its recent demand, over a base that
// keeps a share in advance at nodes where nobody asks.
const demandWeight = 64

type waiter struct {
	until time.Duration
	next  func(now time.Duration, ok bool, wait time.Duration)
}

func (p *pace) fill(now time.Duration, rate float64, burst int64) {
	whole := wholeOf(burst)
	if whole < p.whole {
		// The allowance was cut: every holder gives back its part of the cut,
		// so that what is held never comes to more than the new whole.
		p.books.Returned += p.books.Held() - p.books.Held()*whole/p.whole
	}
	p.whole = whole
	held := float64(p.books.Held()) / float64(whole)
	p.filled = min(held*float64(burst), p.filled+held*rate*(now-p.at).Seconds())
	p.at = now
}

// gain takes newly granted units; what they would have filled before they
// were held is not theirs.
func (p *pace) gain(now time.Duration, granted int64, rate float64, burst int64) {
	p.fill(now, rate, burst)
	if granted > p.books.Granted {
		p.books.Granted = granted
	}
}

func (p *pace) give(now time.Duration, units int64, rate float64, burst int64) {
	p.fill(now, rate, burst)
	p.books.Returned += units
	p.fill(now, rate, burst)
}

// wholeOf is how many units a rate is divided into. A chunk of them is the
// least that lets a bucket hold one inquiry.
func wholeOf(burst int64) int64 { return burst * core.UnitsPerRequest }

func (m *Machine) paceOf(tenant string, urgent bool) (*pace, float64, int64) {
	t := m.description.Tenants[tenant]
	key, ratio := tenant+"/rate", 1-t.UrgentRatio
	if urgent {
		key, ratio = tenant+"/urgent", t.UrgentRatio
	}
	p := m.paces[key]
	if p == nil {
		p = &pace{at: m.now}
		m.paces[key] = p
	}
	return p, t.RequestsPerSecond * ratio, max(1, int64(float64(t.Burst)*ratio))
}

func (m *Machine) dayOf(tenant string) *share {
	s := m.days[tenant]
	if s == nil {
		s = &share{}
		m.days[tenant] = s
	}
	return s
}

func (m *Machine) ended(holders []string) []string {
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

func (m *Machine) holder() string { return m.params.ID + "/" + m.incarnation }

// draw gets a share up to a need, then goes on; told says whether that is the
// word of whoever divides the allowance, and not only its silence.
func (m *Machine) draw(now time.Duration, s *share, need, chunk int64, until time.Duration, ask func(target int64) any, next func(now time.Duration, ok, told bool)) {
	if s.free() >= need {
		next(now, true, true)
		return
	}
	s.pending += need
	target := s.reserved + s.pending + chunk
	incarnation := m.incarnation
	m.caller.Call(now, ask(target), until, func(now time.Duration, o core.Outcome) {
		if incarnation != m.incarnation {
			next(now, false, false)
			return
		}
		s.pending -= need
		m.learnShare(now, s, o)
		next(now, s.free() >= need, !o.Unsure)
	})
}

func (m *Machine) learnShare(now time.Duration, s *share, o core.Outcome) {
	r, ok := o.Answer.(core.DrawResult)
	if !ok {
		return
	}
	s.books.Granted = max(s.books.Granted, r.Granted)
	s.others = r.Holders
	if s == m.money && r.Open {
		m.openUntil = now + r.Left
	}
}

func (m *Machine) askDay(tenant string, s *share) func(target int64) any {
	return func(target int64) any {
		return core.DrawAllowance{Tenant: tenant, Kind: "day", Holder: m.holder(), Spent: s.books.Spent, Returned: s.books.Returned,
			Target: target, Limit: m.description.Tenants[tenant].DayTokens, UnitsPerRequest: 1, Ended: m.ended(s.others)}
	}
}

func (m *Machine) askMoney(target int64) any {
	return m.drawMoney(target, m.money.reserved+m.money.pending)
}

func (m *Machine) prefetchMoney(target int64) any { return m.drawMoney(target, 0) }

func (m *Machine) drawMoney(target, need int64) any {
	return core.DrawBreaker{Holder: m.holder(), Spent: m.money.books.Spent, Returned: m.money.books.Returned, Target: target, Need: need,
		Ended: m.ended(m.money.others), Limits: m.limits()}
}

func (m *Machine) limits() core.BreakerLimits {
	p := m.description.BreakerParams()
	return core.BreakerLimits{Minute: p.Minute, Hour: p.Hour, Day: p.Day, Recovery: p.Recovery, Probes: p.Probes}
}

func (m *Machine) report(now time.Duration) {
	if m.description == nil || !m.termed(now) || m.givingBack || now < m.joinedAt+2*m.params.Core.PullInterval {
		return
	}
	for _, tenant := range m.tenants {
		m.reportPaces(now, tenant)
		s := m.dayOf(tenant)
		m.reportShare(now, s, m.askDay(tenant, s), m.dayChunk(tenant))
	}
	m.reportShare(now, m.money, m.prefetchMoney, m.moneyChunk())
}

func (m *Machine) dayChunk(tenant string) int64 {
	return max(1, m.description.Tenants[tenant].DayTokens/4096)
}

func (m *Machine) moneyChunk() int64 {
	return max(1, configuration.MicroDollars(m.description.Breaker.MinuteDollars)/512)
}

// reportShare tells what was spent, gives idle share back, and tops the share
// up so that the next inquiry finds it here.
func (m *Machine) reportShare(now time.Duration, s *share, ask func(target int64) any, chunk int64) {
	open := s == m.money && (now < m.openUntil || m.breakerState != breaker.Closed)
	idle := s.free() < chunk && !s.changed && !open
	if s.asking || now < s.reportAt || (idle && s.free() > 0) {
		if now < s.reportAt+m.params.Core.MemberLease || s.asking {
			return
		}
	}
	s.reportAt = now + m.params.Report
	if spare := s.free() - chunk; spare > chunk {
		s.books.Returned += spare
	}
	target := s.reserved + s.pending + chunk
	if open {
		s.books.Returned += max(0, s.free())
		target = 0
	}
	s.changed, s.asking = false, true
	incarnation := m.incarnation
	m.caller.Call(now, ask(target), now+m.params.Core.MemberLease, func(now time.Duration, o core.Outcome) {
		if incarnation == m.incarnation {
			s.asking = false
			m.learnShare(now, s, o)
		}
	})
}

// askPace is a report of one of a tenant's rates, and what is wanted of it.
func (m *Machine) askPace(tenant string, urgent bool, want int64) core.DrawAllowance {
	p, _, burst := m.paceOf(tenant, urgent)
	kind := "rate"
	if urgent {
		kind = "urgent"
	}
	return core.DrawAllowance{Tenant: tenant, Kind: kind, Holder: m.holder(), Returned: p.books.Returned, Target: want,
		Limit: wholeOf(burst), UnitsPerRequest: core.UnitsPerRequest, Members: int64(len(m.others()) + 1), Ended: m.ended(p.others)}
}

// paceDue reports whether one of a tenant's rates is to be reported, and notes
// what is wanted of it.
func (m *Machine) paceDue(now time.Duration, tenant string, urgent bool) bool {
	p, rate, burst := m.paceOf(tenant, urgent)
	p.fill(now, rate, burst)
	m.release(now, p, rate, burst)
	held := p.books.Held()
	if p.asking || now < p.reportAt {
		return false
	}
	if now >= p.rolledAt+m.params.Report {
		// A report that follows on the last one says nothing of the demand.
		p.recent, p.demand, p.rolledAt = (p.recent+p.demand*demandWeight)/2, 0, now
	}
	want := core.IdleWeight + p.recent
	steady := want-p.want <= p.want/4 && p.want-want <= p.want/4
	if held > 0 && held == p.target && steady && now < p.reportAt+m.params.Report && p.reportAt > 0 {
		return false
	}
	p.want, p.reportAt, p.asking = want, now+m.params.Report, true
	return true
}

// reportPaces reports a tenant's rates, those that are due in one command.
func (m *Machine) reportPaces(now time.Duration, tenant string) {
	var due []bool
	var ask core.DrawAllowances
	for _, urgent := range []bool{false, true} {
		if m.paceDue(now, tenant, urgent) {
			p, _, _ := m.paceOf(tenant, urgent)
			due = append(due, urgent)
			ask.Draws = append(ask.Draws, m.askPace(tenant, urgent, p.want))
		}
	}
	if len(due) == 0 {
		return
	}
	incarnation := m.incarnation
	m.caller.Call(now, ask, now+m.params.Core.MemberLease, func(now time.Duration, o core.Outcome) {
		if incarnation != m.incarnation {
			return
		}
		r, _ := o.Answer.(core.DrawResults)
		for i, urgent := range due {
			p, rate, burst := m.paceOf(tenant, urgent)
			p.asking = false
			if i >= len(r.Results) {
				continue
			}
			told := r.Results[i]
			p.gain(now, told.Granted, rate, burst)
			p.others, p.target = told.Holders, told.Target
			if over := p.books.Held() - told.Target; over > 0 {
				p.give(now, over, rate, burst)
				p.reportAt = now
			}
		}
	})
}

// release lets waiting shots go as the bucket fills.
func (m *Machine) release(now time.Duration, p *pace, rate float64, burst int64) {
	for len(p.waiting) > 0 {
		w := p.waiting[0]
		if now < w.until && p.filled < 1 {
			return
		}
		p.waiting = p.waiting[1:]
		m.buffered--
		ok := now < w.until && p.filled >= 1
		if ok {
			p.filled--
		}
		w.next(now, ok, m.rateWait(p, rate, burst))
	}
}

// rateWait is how long it takes until the rate's bucket has a place for one
// more.
func (m *Machine) rateWait(p *pace, rate float64, burst int64) time.Duration {
	speed := float64(p.books.Held()) / float64(wholeOf(burst)) * rate
	if speed <= 0 {
		return 2 * m.params.Report
	}
	return max(m.params.Core.PullInterval, time.Duration((float64(len(p.waiting)+1)-p.filled)/speed*float64(time.Second)))
}

// pass takes one inquiry's place in a tenant's rate, now or after a short wait.
func (m *Machine) pass(now time.Duration, tenant string, urgent bool, until time.Duration, next func(now time.Duration, ok bool, wait time.Duration)) {
	p, rate, burst := m.paceOf(tenant, urgent)
	p.demand++
	p.fill(now, rate, burst)
	if len(p.waiting) == 0 && p.filled >= 1 {
		p.filled--
		next(now, true, 0)
		return
	}
	if urgent {
		// What is urgent may also take of the rate that is nobody's reserve.
		common, rate, burst := m.paceOf(tenant, false)
		common.demand++
		if common.fill(now, rate, burst); common.filled >= 1 {
			common.filled--
			next(now, true, 0)
			return
		}
	}
	if !urgent {
		until = min(until, now+m.params.Patience)
	}
	if wait := m.rateWait(p, rate, burst); m.buffered >= m.roomFor(urgent) || now+wait > until {
		next(now, false, wait)
		return
	}
	m.buffered++
	p.waiting = append(p.waiting, waiter{until: until, next: next})
}
