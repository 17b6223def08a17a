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
type tenantRate struct {
	tenant    string
	holding   int
	granted   int64
	spent     int64
	returned  int64
	expiresAt time.Duration
	// demand is how many requests a second come here, by a sliding mean.
	demand     float64
	arrived    int64
	countedAt  time.Duration
	lastUsed   time.Duration
	drawing    bool
	drawWanted bool
	nextDraw   time.Duration
	retryAt    time.Duration
	waiting    []*activeRequest
	// reserved are units that requests hold which were not sent yet.
	reserved int64
	// tight: the tenant's window is nearly full, so nothing is held beforehand.
	scarce bool
	spendReport
}

// report is what the part knows of what was spent.
type spendReport struct {
	// recent tells when what the part has not acknowledged yet was spent, told
	// how much of it was in a draw, acknowledged how much was in an answered one.
	recent       []spendRecord
	reported     int64
	acknowledged int64
}

// payment is what a request has taken of its tenant's rate: a unit that it holds until it
// is sent, and that is spent then. What is refused before it was sent takes nothing.
type rateCharge struct {
	rate           *tenantRate
	waitUntil      time.Duration
	holdsUnit      bool
	charged        bool
	chargedHolding int
	chargedAt      time.Duration
	// covered: what was taken has not been used by a sending that may have run.
	covered bool
}

type spendRecord struct {
	at    time.Duration
	count int64
}

// spendingTime is how finely the times of spendings are told.
const spendResolution = 100 * time.Millisecond

func (tr *tenantRate) spend(now time.Duration) {
	tr.spent++
	if n := len(tr.recent); n > 0 && now < tr.recent[n-1].at {
		tr.recent[n-1].count++
		return
	}
	// The end of the time that they are counted in is told: never too early.
	tr.recent = append(tr.recent, spendRecord{at: now + spendResolution, count: 1})
}

// acknowledge forgets the times of what the part has booked.
func (tr *tenantRate) acknowledge(told int64) {
	tr.acknowledged = max(tr.acknowledged, told)
	open := tr.spent - tr.acknowledged
	var sum int64
	for i := len(tr.recent) - 1; i >= 0; i-- {
		if sum >= open {
			tr.recent = append([]spendRecord(nil), tr.recent[i+1:]...)
			return
		}
		sum += tr.recent[i].count
	}
}

// rename begins a holding anew: what was granted before counts as spent.
func (m *Machine) startHolding(tr *tenantRate) {
	m.holdings++
	tr.holding = m.holdings
	tr.granted, tr.spent, tr.returned, tr.reserved, tr.reported, tr.acknowledged, tr.recent = 0, 0, 0, 0, 0, 0, nil
}

func (tr *tenantRate) available(now time.Duration) int64 {
	if now >= tr.expiresAt {
		return 0
	}
	return tr.granted - tr.spent - tr.returned - tr.reserved
}

// used is which part of the allowed overshoot nodes use. The ledger is strict; the
// rest is for the way from here to a replica.
const overshootShare = 0.85

// terms is which part of a window a drawn request may be used for.
const leasesPerWindow = 2

func (m *Machine) leaseDuration() time.Duration { return m.params.RateWindow / leasesPerWindow }

func (m *Machine) rateFor(now time.Duration, tenant string) *tenantRate {
	tr := m.rates[tenant]
	if tr == nil {
		m.holdings++
		tr = &tenantRate{tenant: tenant, countedAt: now, holding: m.holdings}
		m.rates[tenant] = tr
	}
	return tr
}

// rateOf takes one request of a tenant's rate, or lets it wait for a draw.
func (m *Machine) admitRate(now time.Duration, req *activeRequest) {
	if req.tenant == nil || req.tenant.Rate <= 0 && req.tenant.Burst <= 0 {
		m.rateGranted(now, req)
		return
	}
	tr := m.rateFor(now, req.tenant.Name)
	tr.arrived++
	tr.lastUsed = now
	req.rate = tr
	if len(tr.waiting) == 0 && tr.available(now) > 0 {
		req.reserveUnit()
		m.rateGranted(now, req)
		return
	}
	req.waitUntil = now + min((req.deadline-now)/4, m.params.RateWindow/5)
	if now < tr.retryAt && !tr.drawing && tr.retryAt >= req.waitUntil {
		m.refuseRate(now, req, tr.retryAt-now)
		return
	}
	tr.waiting = append(tr.waiting, req)
	tr.drawWanted = true
	m.drawRates(now)
}

func (m *Machine) refuseRate(now time.Duration, req *activeRequest, retry time.Duration) {
	m.refuseWithRetry(now, req, CauseRate, retry)
}

// stale is after which part of a window a request that waited, for its books or
// at a replica that did not run it, counts as another one of its tenant's: it
// would run in another window than it was booked in.
const chargeAgeDivisor = 20

// reserve takes a unit of the rate for a request that is to be sent.
func (req *activeRequest) reserveUnit() {
	req.rate.reserved++
	req.holdsUnit, req.chargedHolding = true, req.rate.holding
}

// letGo gives the unit back that a request holds.
func (req *activeRequest) releaseUnit() {
	if req.holdsUnit && req.chargedHolding == req.rate.holding {
		req.rate.reserved--
	}
	req.holdsUnit = false
}

// pay spends a unit of the rate for a request that is sent now.
func (m *Machine) charge(now time.Duration, req *activeRequest) {
	if req.rate.available(now) <= 0 {
		m.violated.Violated(invariant.SpentWithinGrant, "tenant %s: granted %d, spent %d, returned %d", req.rate.tenant, req.rate.granted, req.rate.spent, req.rate.returned)
	}
	req.rate.spend(now)
	req.charged, req.chargedHolding, req.chargedAt, req.covered = true, req.rate.holding, now, true
}

// paysToSend pays for a request that is about to be sent, also for one that has waited
// for long since it was paid for, or lets it wait for that. It reports whether the request
// may go on.
func (m *Machine) chargeBeforeSend(now time.Duration, req *activeRequest) bool {
	if req.rate == nil || req.charged && now < req.chargedAt+m.params.RateWindow/chargeAgeDivisor {
		return true
	}
	tr := req.rate
	req.releaseUnit()
	if tr.available(now) > 0 {
		m.charge(now, req)
		return true
	}
	req.readyToSend, req.waitUntil = true, now+min((req.deadline-now)/4, m.params.RateWindow/5)
	req.state, req.admissionDeadline = stateAdmitting, now+(req.deadline-now)/2
	tr.lastUsed = now
	tr.waiting = append(tr.waiting, req)
	tr.drawWanted = true
	m.drawRates(now)
	return false
}

// unpay gives a request back to its tenant's rate that surely did not run.
func (m *Machine) refund(req *activeRequest) {
	if req.rate != nil {
		req.releaseUnit()
	}
	// What a draw has told as spent stays spent.
	if tr := req.rate; req.charged && tr != nil && tr.holding == req.chargedHolding && tr.spent > tr.reported {
		tr.spent--
		tr.recent[len(tr.recent)-1].count--
		if tr.recent[len(tr.recent)-1].count == 0 {
			tr.recent = tr.recent[:len(tr.recent)-1]
		}
	}
	req.charged = false
}

func (m *Machine) updateDemand(now time.Duration, tr *tenantRate) {
	const every = 200 * time.Millisecond
	if passed := now - tr.countedAt; passed >= every {
		seen := float64(tr.arrived) / passed.Seconds()
		weight := min(1, passed.Seconds()/0.6)
		tr.demand += (seen - tr.demand) * weight
		tr.arrived, tr.countedAt = 0, now
	}
}

// want is how many requests this node wants to hold for a tenant: those that
// wait, what comes in a part of a draw's term, and a spare one or two where the
// tenant's limit has plenty for each node. What nodes hold idle, others lack.
func (m *Machine) targetHolding(tr *tenantRate, limit rate.Limit) int64 {
	if tr.scarce {
		return int64(len(tr.waiting))
	}
	spare := min(2, limit.Max/(10*int64(max(m.nodes, 1))))
	return int64(len(tr.waiting)) + int64(tr.demand*m.leaseDuration().Seconds()*0.6+0.5) + spare
}

func (m *Machine) limitOf(t *route.Tenant) rate.Limit {
	allowed := (t.Rate*m.params.RateWindow.Seconds()+t.Burst)*(1+m.params.RateOvershoot*overshootShare) + float64(m.params.RateSlack)*overshootShare
	return rate.Limit{Window: m.params.RateWindow, Max: int64(allowed)}
}

// draw asks for what is needed, in one command for each part.
func (m *Machine) drawRates(now time.Duration) {
	if len(m.topology.Owners) == 0 || m.table == nil {
		return
	}
	batches := map[int]*core.DrawRates{}
	asked := map[int][]*tenantRate{}
	for _, name := range ordered.Keys(m.rates) {
		tr := m.rates[name]
		m.updateDemand(now, tr)
		if tr.drawing {
			continue
		}
		tenant := m.tenants[name]
		if tenant == nil {
			if len(tr.waiting) == 0 && now >= tr.expiresAt {
				delete(m.rates, name)
			}
			continue
		}
		if now >= tr.expiresAt && tr.granted > 0 {
			// What was out when its time ended counts as spent at the part.
			m.startHolding(tr)
		}
		if now > tr.lastUsed+m.leaseDuration() && len(tr.waiting) == 0 && tr.available(now) == 0 && tr.reserved == 0 && tr.acknowledged == tr.spent {
			delete(m.rates, name)
			continue
		}
		limit := m.limitOf(tenant)
		want := m.targetHolding(tr, limit)
		back := tr.available(now) - 2*want
		due := tr.drawWanted && now >= tr.retryAt || now >= tr.nextDraw && (tr.available(now)*2 < want || back > 0 || tr.spent > tr.acknowledged && now > tr.recent[0].at+m.leaseDuration()/4 || tr.available(now) > 0 && now > tr.expiresAt-m.leaseDuration()/3)
		if !due {
			continue
		}
		if back > 0 {
			tr.returned += back
		}
		tr.drawing, tr.drawWanted = true, false
		tr.nextDraw = now + m.leaseDuration()/12
		d := rate.DrawRequest{Holder: m.incarnation + "+" + strconv.Itoa(tr.holding), Granted: tr.granted, Spent: tr.spent, Returned: tr.returned, Want: want + tr.reserved, Prefetch: want - int64(len(tr.waiting)),
			Version: m.table.Number, Limit: limit, LeaseDuration: m.leaseDuration()}
		for _, r := range tr.recent {
			d.Recent = append(d.Recent, rate.RecentSpend{Age: now - r.at, Count: r.count})
		}
		tr.reported = tr.spent
		n := core.RatePart(len(m.topology.Owners), name)
		if batches[n] == nil {
			batches[n] = &core.DrawRates{Part: n}
		}
		batches[n].Draws = append(batches[n].Draws, core.TenantDraw{Tenant: name, Draw: d})
		asked[n] = append(asked[n], tr)
	}
	for _, n := range ordered.Keys(batches) {
		m.Counters.Draws++
		rates, births, told := asked[n], make([]int, len(asked[n])), make([]int64, len(asked[n]))
		for i, tr := range rates {
			births[i], told[i] = tr.holding, tr.reported
		}
		m.caller.Call(now, *batches[n], now+m.leaseDuration(), func(at time.Duration, o core.Outcome) {
			answer, ok := o.Answer.(core.RatesDrawn)
			for i, tr := range rates {
				tr.drawing = false
				if !ok || len(answer.Drawn) != len(rates) || tr.holding != births[i] {
					m.drawFailed(at, tr)
					continue
				}
				if answer.Drawn[i].Expired || tr.granted > 0 && at >= tr.expiresAt {
					// What this node had has ended, there or here.
					m.startHolding(tr)
					tr.drawWanted, m.drawAt = true, at
					continue
				}
				tr.acknowledge(told[i])
				m.applyDraw(at, tr, answer.Drawn[i], now+m.leaseDuration())
			}
		})
	}
}

func (m *Machine) drawFailed(now time.Duration, tr *tenantRate) {
	waiting := tr.waiting
	tr.waiting = nil
	for _, req := range waiting {
		m.refuse(now, req, CauseRateUnavailable)
	}
}

func (m *Machine) applyDraw(now time.Duration, tr *tenantRate, d rate.DrawResponse, until time.Duration) {
	m.Counters.DrawsAnswered++
	tr.granted = max(tr.granted, d.Granted)
	tr.expiresAt = max(tr.expiresAt, until)
	tr.scarce = d.Scarce
	for len(tr.waiting) > 0 && tr.available(now) > 0 {
		req := tr.waiting[0]
		tr.waiting = tr.waiting[1:]
		if req.completed {
			continue
		}
		req.reserveUnit()
		if req.readyToSend {
			m.dispatch(now, req)
		} else {
			m.rateGranted(now, req)
		}
	}
	tr.drawWanted = len(tr.waiting) > 0
	if d.RetryAfter <= 0 {
		// Some came while the draw was under way.
		m.drawAt = now
		return
	}
	if tr.available(now) == 0 {
		// Soon enough to take part in what leaves the window next.
		tr.retryAt = now + min(d.RetryAfter, m.params.RateWindow/10)
		m.drawAt = min(m.drawAt, tr.retryAt)
	}
	// A short wait is kinder than a refusal; a long one is told at once.
	waiting := tr.waiting
	tr.waiting = nil
	for _, req := range waiting {
		if now+d.RetryAfter < req.waitUntil {
			tr.waiting = append(tr.waiting, req)
		} else if !req.completed {
			m.refuseRate(now, req, d.RetryAfter)
		}
	}
}
