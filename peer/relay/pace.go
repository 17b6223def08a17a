package relay

import (
	"strconv"
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/invariant"
	"saffronfall/rule/ordered"
	"saffronfall/rule/rate"
	"saffronfall/rule/route"
)

// pace is what this node holds of a tenant's rate.
type pace struct {
	tenant   string
	births   int
	granted  int64
	spent    int64
	returned int64
	until    time.Duration
	// demand is how many requests a second come here, by a sliding mean.
	demand  float64
	arrived int64
	countAt time.Duration
	usedAt  time.Duration
	drawing bool
	wanted  bool
	drawAt  time.Duration
	retryAt time.Duration
	waiting []*way
	// reserved are units that requests hold which were not sent yet.
	reserved int64
	// tight: the tenant's window is nearly full, so nothing is held beforehand.
	tight bool
	report
}

// report is what the part knows of what was spent.
type report struct {
	// recent tells when what the part has not acknowledged yet was spent, told
	// how much of it was in a draw, acknowledged how much was in an answered one.
	recent       []spend
	told         int64
	acknowledged int64
}

// payment is what a request has taken of its tenant's rate: a unit that it holds until it
// is sent, and that is spent then. What is refused before it was sent takes nothing.
type payment struct {
	pace      *pace
	hold      time.Duration
	holds     bool
	paid      bool
	paidBirth int
	paidAt    time.Duration
	// covered: what was taken has not been used by a sending that may have run.
	covered bool
}

type spend struct {
	at    time.Duration
	count int64
}

// spendingTime is how finely the times of spendings are told.
const spendingTime = 100 * time.Millisecond

func (p *pace) spend(now time.Duration) {
	p.spent++
	if n := len(p.recent); n > 0 && now < p.recent[n-1].at {
		p.recent[n-1].count++
		return
	}
	// The end of the time that they are counted in is told: never too early.
	p.recent = append(p.recent, spend{at: now + spendingTime, count: 1})
}

// acknowledge forgets the times of what the part has booked.
func (p *pace) acknowledge(told int64) {
	p.acknowledged = max(p.acknowledged, told)
	open := p.spent - p.acknowledged
	var sum int64
	for i := len(p.recent) - 1; i >= 0; i-- {
		if sum >= open {
			p.recent = append([]spend(nil), p.recent[i+1:]...)
			return
		}
		sum += p.recent[i].count
	}
}

// rename begins a holding anew: what was granted before counts as spent.
func (m *Machine) rename(p *pace) {
	m.births++
	p.births = m.births
	p.granted, p.spent, p.returned, p.reserved, p.told, p.acknowledged, p.recent = 0, 0, 0, 0, 0, 0, nil
}

func (p *pace) free(now time.Duration) int64 {
	if now >= p.until {
		return 0
	}
	return p.granted - p.spent - p.returned - p.reserved
}

// used is which part of the allowed overshoot nodes use. The ledger is strict; the
// rest is for the way from here to a replica.
const used = 0.85

// terms is which part of a window a drawn request may be used for.
const terms = 2

func (m *Machine) drawTerm() time.Duration { return m.params.Window / terms }

func (m *Machine) paceOf(now time.Duration, tenant string) *pace {
	p := m.paces[tenant]
	if p == nil {
		m.births++
		p = &pace{tenant: tenant, countAt: now, births: m.births}
		m.paces[tenant] = p
	}
	return p
}

// rateOf takes one request of a tenant's rate, or lets it wait for a draw.
func (m *Machine) rateOf(now time.Duration, w *way) {
	if w.tenant == nil || w.tenant.Rate <= 0 && w.tenant.Burst <= 0 {
		m.admitted(now, w)
		return
	}
	p := m.paceOf(now, w.tenant.Name)
	p.arrived++
	p.usedAt = now
	w.pace = p
	if len(p.waiting) == 0 && p.free(now) > 0 {
		w.reserve()
		m.admitted(now, w)
		return
	}
	w.hold = now + min((w.until-now)/4, m.params.Window/5)
	if now < p.retryAt && !p.drawing && p.retryAt >= w.hold {
		m.refuseRate(now, w, p.retryAt-now)
		return
	}
	p.waiting = append(p.waiting, w)
	p.wanted = true
	m.draw(now)
}

func (m *Machine) refuseRate(now time.Duration, w *way, retry time.Duration) {
	m.refuseFor(now, w, CauseRate, retry)
}

// stale is after which part of a window a request that waited, for its books or
// at a replica that did not run it, counts as another one of its tenant's: it
// would run in another window than it was booked in.
const stale = 20

// reserve takes a unit of the rate for a request that is to be sent.
func (w *way) reserve() {
	w.pace.reserved++
	w.holds, w.paidBirth = true, w.pace.births
}

// letGo gives the unit back that a request holds.
func (w *way) letGo() {
	if w.holds && w.paidBirth == w.pace.births {
		w.pace.reserved--
	}
	w.holds = false
}

// pay spends a unit of the rate for a request that is sent now.
func (m *Machine) pay(now time.Duration, w *way) {
	if w.pace.free(now) <= 0 {
		m.violated.Violated(invariant.SpentWithinGrant, "tenant %s: granted %d, spent %d, returned %d", w.pace.tenant, w.pace.granted, w.pace.spent, w.pace.returned)
	}
	w.pace.spend(now)
	w.paid, w.paidBirth, w.paidAt, w.covered = true, w.pace.births, now, true
}

// paysToSend pays for a request that is about to be sent, also for one that has waited
// for long since it was paid for, or lets it wait for that. It reports whether the request
// may go on.
func (m *Machine) paysToSend(now time.Duration, w *way) bool {
	if w.pace == nil || w.paid && now < w.paidAt+m.params.Window/stale {
		return true
	}
	p := w.pace
	w.letGo()
	if p.free(now) > 0 {
		m.pay(now, w)
		return true
	}
	w.admitted, w.hold = true, now+min((w.until-now)/4, m.params.Window/5)
	w.state, w.patience = stateAdmitting, now+(w.until-now)/2
	p.usedAt = now
	p.waiting = append(p.waiting, w)
	p.wanted = true
	m.draw(now)
	return false
}

// unpay gives a request back to its tenant's rate that surely did not run.
func (m *Machine) unpay(w *way) {
	if w.pace != nil {
		w.letGo()
	}
	// What a draw has told as spent stays spent.
	if p := w.pace; w.paid && p != nil && p.births == w.paidBirth && p.spent > p.told {
		p.spent--
		p.recent[len(p.recent)-1].count--
		if p.recent[len(p.recent)-1].count == 0 {
			p.recent = p.recent[:len(p.recent)-1]
		}
	}
	w.paid = false
}

func (m *Machine) count(now time.Duration, p *pace) {
	const every = 200 * time.Millisecond
	if passed := now - p.countAt; passed >= every {
		seen := float64(p.arrived) / passed.Seconds()
		weight := min(1, passed.Seconds()/0.6)
		p.demand += (seen - p.demand) * weight
		p.arrived, p.countAt = 0, now
	}
}

// want is how many requests this node wants to hold for a tenant: those that
// wait, what comes in a part of a draw's term, and a spare one or two where the
// tenant's limit has plenty for each node. What nodes hold idle, others lack.
func (m *Machine) want(p *pace, limit rate.Limit) int64 {
	if p.tight {
		return int64(len(p.waiting))
	}
	spare := min(2, limit.Max/(10*int64(max(m.nodes, 1))))
	return int64(len(p.waiting)) + int64(p.demand*m.drawTerm().Seconds()*0.6+0.5) + spare
}

func (m *Machine) limitOf(t *route.Tenant) rate.Limit {
	allowed := (t.Rate*m.params.Window.Seconds()+t.Burst)*(1+m.params.Overshoot*used) + float64(m.params.Slack)*used
	return rate.Limit{Window: m.params.Window, Max: int64(allowed)}
}

// draw asks for what is needed, in one command for each part.
func (m *Machine) draw(now time.Duration) {
	if len(m.topology.Leaders) == 0 || m.table == nil {
		return
	}
	batches := map[int]*core.DrawRates{}
	asked := map[int][]*pace{}
	for _, name := range ordered.Keys(m.paces) {
		p := m.paces[name]
		m.count(now, p)
		if p.drawing {
			continue
		}
		tenant := m.tenants[name]
		if tenant == nil {
			if len(p.waiting) == 0 && now >= p.until {
				delete(m.paces, name)
			}
			continue
		}
		if now >= p.until && p.granted > 0 {
			// What was out when its time ended counts as spent at the part.
			m.rename(p)
		}
		if now > p.usedAt+m.drawTerm() && len(p.waiting) == 0 && p.free(now) == 0 && p.reserved == 0 && p.acknowledged == p.spent {
			delete(m.paces, name)
			continue
		}
		limit := m.limitOf(tenant)
		want := m.want(p, limit)
		back := p.free(now) - 2*want
		due := p.wanted && now >= p.retryAt || now >= p.drawAt && (p.free(now)*2 < want || back > 0 || p.spent > p.acknowledged && now > p.recent[0].at+m.drawTerm()/4 || p.free(now) > 0 && now > p.until-m.drawTerm()/3)
		if !due {
			continue
		}
		if back > 0 {
			p.returned += back
		}
		p.drawing, p.wanted = true, false
		p.drawAt = now + m.drawTerm()/12
		d := rate.DrawRequest{Holder: m.life + "+" + strconv.Itoa(p.births), Granted: p.granted, Spent: p.spent, Returned: p.returned, Want: want + p.reserved, Prefetch: want - int64(len(p.waiting)),
			Version: m.table.Number, Limit: limit, LeaseDuration: m.drawTerm()}
		for _, r := range p.recent {
			d.Recent = append(d.Recent, rate.RecentSpend{Age: now - r.at, Count: r.count})
		}
		p.told = p.spent
		n := core.RatePartition(len(m.topology.Leaders), name)
		if batches[n] == nil {
			batches[n] = &core.DrawRates{Partition: n}
		}
		batches[n].Draws = append(batches[n].Draws, core.TenantDraw{Tenant: name, Request: d})
		asked[n] = append(asked[n], p)
	}
	for _, n := range ordered.Keys(batches) {
		m.Counters.Draws++
		paces, births, told := asked[n], make([]int, len(asked[n])), make([]int64, len(asked[n]))
		for i, p := range paces {
			births[i], told[i] = p.births, p.told
		}
		m.caller.Call(now, *batches[n], now+m.drawTerm(), func(at time.Duration, o core.Outcome) {
			answer, ok := o.Answer.(core.DrawRatesResult)
			for i, p := range paces {
				p.drawing = false
				if !ok || len(answer.Responses) != len(paces) || p.births != births[i] {
					m.drawFailed(at, p)
					continue
				}
				if answer.Responses[i].Expired || p.granted > 0 && at >= p.until {
					// What this node had has ended, there or here.
					m.rename(p)
					p.wanted, m.drawAt = true, at
					continue
				}
				p.acknowledge(told[i])
				m.drawn(at, p, answer.Responses[i], now+m.drawTerm())
			}
		})
	}
}

func (m *Machine) drawFailed(now time.Duration, p *pace) {
	waiting := p.waiting
	p.waiting = nil
	for _, w := range waiting {
		m.refuse(now, w, CauseRateUnsure)
	}
}

func (m *Machine) drawn(now time.Duration, p *pace, d rate.DrawResponse, until time.Duration) {
	m.Counters.Drawn++
	p.granted = max(p.granted, d.Granted)
	p.until = max(p.until, until)
	p.tight = d.Scarce
	for len(p.waiting) > 0 && p.free(now) > 0 {
		w := p.waiting[0]
		p.waiting = p.waiting[1:]
		if w.ended {
			continue
		}
		w.reserve()
		if w.admitted {
			m.dispatch(now, w)
		} else {
			m.admitted(now, w)
		}
	}
	p.wanted = len(p.waiting) > 0
	if d.RetryAfter <= 0 {
		// Some came while the draw was under way.
		m.drawAt = now
		return
	}
	if p.free(now) == 0 {
		// Soon enough to take part in what leaves the window next.
		p.retryAt = now + min(d.RetryAfter, m.params.Window/10)
		m.drawAt = min(m.drawAt, p.retryAt)
	}
	// A short wait is kinder than a refusal; a long one is told at once.
	waiting := p.waiting
	p.waiting = nil
	for _, w := range waiting {
		if now+d.RetryAfter < w.hold {
			p.waiting = append(p.waiting, w)
		} else if !w.ended {
			m.refuseRate(now, w, d.RetryAfter)
		}
	}
}
