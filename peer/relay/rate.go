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

// tenantRate holds the units of a tenant's rate that this node drew from the tenant's ledger at the
// cores. A unit is one request; units expire together.
type tenantRate struct {
	tenant string
	// leaseID numbers the current lease; a new lease starts when units expire.
	leaseID   int
	granted   int64
	spent     int64
	returned  int64
	expiresAt time.Duration
	// demand is the moving average of requests per second at this node.
	demand     float64
	arrived    int64
	countedAt  time.Duration
	lastUsed   time.Duration
	drawing    bool
	drawWanted bool
	nextDraw   time.Duration
	retryAt    time.Duration
	waiting    []*activeRequest
	// reserved counts units held by requests that have not been sent.
	reserved int64
	// scarce: the tenant's window is nearly full, so no units are drawn ahead of demand.
	scarce bool
	spendReport
}

// spendReport is what the ledger knows of the units spent.
type spendReport struct {
	// recent holds spends that are not acknowledged. reported is the value of spent in the last
	// draw, acknowledged that in the last answered one.
	recent       []spendRecord
	reported     int64
	acknowledged int64
}

// rateCharge is a request's use of its tenant's rate: a unit is reserved on admission and spent
// when the request is sent. A request refused before that spends nothing.
type rateCharge struct {
	rate *tenantRate
	// waitUntil: the request is refused if no unit is expected before.
	waitUntil   time.Duration
	holdsUnit   bool
	charged     bool
	unitLeaseID int
	chargedAt   time.Duration
	// covered: no attempt that may have run has used the unit.
	covered bool
}

// spendRecord counts units spent up to a time.
type spendRecord struct {
	at    time.Duration
	count int64
}

const spendResolution = 100 * time.Millisecond

func (tr *tenantRate) spend(now time.Duration) {
	tr.spent++
	if n := len(tr.recent); n > 0 && now < tr.recent[n-1].at {
		tr.recent[n-1].count++
		return
	}
	// The end of the interval is recorded, so a spend is never reported as earlier
	// than it was.
	tr.recent = append(tr.recent, spendRecord{at: now + spendResolution, count: 1})
}

func (tr *tenantRate) acknowledge(reported int64) {
	tr.acknowledged = max(tr.acknowledged, reported)
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

// startLease starts an empty lease. The ledger counts the unreturned units of the old one as spent.
func (m *Machine) startLease(tr *tenantRate) {
	m.lastLeaseID++
	tr.leaseID = m.lastLeaseID
	tr.granted, tr.spent, tr.returned, tr.reserved, tr.reported, tr.acknowledged, tr.recent = 0, 0, 0, 0, 0, 0, nil
}

func (tr *tenantRate) available(now time.Duration) int64 {
	if now >= tr.expiresAt {
		return 0
	}
	return tr.granted - tr.spent - tr.returned - tr.reserved
}

// overshootFraction is the fraction of the allowed overshoot that the ledger's limit includes. The
// rest covers the delay between a spend and the arrival at the replica.
const overshootFraction = 0.85

const (
	leasesPerWindow     = 2
	drawChecksPerWindow = 50
	drawsPerLease       = 12
	// A request waits for a unit at most these parts of its time and of the window.
	waitDeadlineDivisor = 4
	waitWindowDivisor   = 5
	retryWindowDivisor  = 10
	// Spends are reported when they are older than this part of a lease.
	reportLeaseDivisor = 4
	// Units are renewed in this last part of their lease.
	renewLeaseDivisor = 3
)

const (
	maxSpareUnits = 2
	// A node holds one spare unit for each limitPerSpareUnit units of its share of the limit.
	limitPerSpareUnit = 10
)

const (
	demandInterval         = 200 * time.Millisecond
	demandAveragingSeconds = 0.6
	// prefetchLeaseFraction is the fraction of a lease whose demand is drawn in advance.
	prefetchLeaseFraction = 0.6
)

func (m *Machine) leaseDuration() time.Duration { return m.params.RateWindow / leasesPerWindow }

func (m *Machine) rateFor(now time.Duration, tenant string) *tenantRate {
	tr := m.rates[tenant]
	if tr == nil {
		m.lastLeaseID++
		tr = &tenantRate{tenant: tenant, countedAt: now, leaseID: m.lastLeaseID}
		m.rates[tenant] = tr
	}
	return tr
}

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
	req.waitUntil = m.rateWaitUntil(now, req)
	if now < tr.retryAt && !tr.drawing && tr.retryAt >= req.waitUntil {
		m.refuseRate(now, req, tr.retryAt-now)
		return
	}
	tr.waiting = append(tr.waiting, req)
	tr.drawWanted = true
	m.drawRates(now)
}

func (m *Machine) rateWaitUntil(now time.Duration, req *activeRequest) time.Duration {
	return now + min((req.deadline-now)/waitDeadlineDivisor, m.params.RateWindow/waitWindowDivisor)
}

func (m *Machine) refuseRate(now time.Duration, req *activeRequest, retry time.Duration) {
	m.refuseWithRetry(now, req, CauseRate, retry)
}

// chargeAgeDivisor divides the rate window into the maximum age of a charge. A request that waited
// longer would run in a later window, so it is charged again.
const chargeAgeDivisor = 20

func (req *activeRequest) reserveUnit() {
	req.rate.reserved++
	req.holdsUnit, req.unitLeaseID = true, req.rate.leaseID
}

func (req *activeRequest) releaseUnit() {
	if req.holdsUnit && req.unitLeaseID == req.rate.leaseID {
		req.rate.reserved--
	}
	req.holdsUnit = false
}

func (m *Machine) charge(now time.Duration, req *activeRequest) {
	if req.rate.available(now) <= 0 {
		m.violated.Violated(invariant.SpentWithinGrant, "tenant %s: a unit is spent without one available: granted %d, spent %d, returned %d",
			req.rate.tenant, req.rate.granted, req.rate.spent, req.rate.returned)
	}
	req.rate.spend(now)
	req.charged, req.unitLeaseID, req.chargedAt, req.covered = true, req.rate.leaseID, now, true
}

// chargeBeforeSend reports whether a request may be sent. It charges the request unless it has a
// recent charge, and queues it for a draw if no unit is available.
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
	req.readyToSend, req.waitUntil = true, m.rateWaitUntil(now, req)
	req.state, req.admissionDeadline = stateAdmitting, now+(req.deadline-now)/admissionTimeDivisor
	tr.lastUsed = now
	tr.waiting = append(tr.waiting, req)
	tr.drawWanted = true
	m.drawRates(now)
	return false
}

// refund returns the unit of a request that certainly did not run.
func (m *Machine) refund(req *activeRequest) {
	if req.rate != nil {
		req.releaseUnit()
	}
	// A reported spend can't be taken back.
	if tr := req.rate; req.charged && tr != nil && tr.leaseID == req.unitLeaseID && tr.spent > tr.reported {
		tr.spent--
		tr.recent[len(tr.recent)-1].count--
		if tr.recent[len(tr.recent)-1].count == 0 {
			tr.recent = tr.recent[:len(tr.recent)-1]
		}
	}
	req.charged = false
}

func (m *Machine) updateDemand(now time.Duration, tr *tenantRate) {
	if passed := now - tr.countedAt; passed >= demandInterval {
		rate := float64(tr.arrived) / passed.Seconds()
		weight := min(1, passed.Seconds()/demandAveragingSeconds)
		tr.demand += (rate - tr.demand) * weight
		tr.arrived, tr.countedAt = 0, now
	}
}

// targetUnits returns how many unspent units to hold: for waiting requests, for the demand of part
// of a lease, and spare ones if the limit suffices for all nodes. Idle units are unavailable to
// other nodes.
func (m *Machine) targetUnits(tr *tenantRate, limit rate.Limit) int64 {
	if tr.scarce {
		return int64(len(tr.waiting))
	}
	spare := min(maxSpareUnits, limit.Max/(limitPerSpareUnit*int64(max(m.nodeCount, 1))))
	return int64(len(tr.waiting)) + int64(tr.demand*m.leaseDuration().Seconds()*prefetchLeaseFraction+0.5) + spare
}

// limitOf returns the limit of a tenant's window, including overshoot.
func (m *Machine) limitOf(t *route.Tenant) rate.Limit {
	allowed := (t.Rate*m.params.RateWindow.Seconds()+t.Burst)*(1+m.params.RateOvershoot*overshootFraction) +
		float64(m.params.RateSlack)*overshootFraction
	return rate.Limit{Window: m.params.RateWindow, Max: int64(allowed)}
}

// drawRates sends one command per partition, which also reports spends and returns excess units.
func (m *Machine) drawRates(now time.Duration) {
	if len(m.topology.Leaders) == 0 || m.table == nil {
		return
	}
	batches := map[int]*core.DrawRates{}
	drawing := map[int][]*tenantRate{}
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
			m.startLease(tr)
		}
		if now > tr.lastUsed+m.leaseDuration() && len(tr.waiting) == 0 && tr.available(now) == 0 && tr.reserved == 0 && tr.acknowledged == tr.spent {
			delete(m.rates, name)
			continue
		}
		limit := m.limitOf(tenant)
		want := m.targetUnits(tr, limit)
		excess := tr.available(now) - 2*want
		due := tr.drawWanted && now >= tr.retryAt || now >= tr.nextDraw && (tr.available(now)*2 < want || excess > 0 || tr.spent > tr.acknowledged && now > tr.recent[0].at+m.leaseDuration()/reportLeaseDivisor || tr.available(now) > 0 && now > tr.expiresAt-m.leaseDuration()/renewLeaseDivisor)
		if !due {
			continue
		}
		if excess > 0 {
			tr.returned += excess
		}
		tr.drawing, tr.drawWanted = true, false
		tr.nextDraw = now + m.leaseDuration()/drawsPerLease
		request := rate.DrawRequest{Holder: m.incarnation + "+" + strconv.Itoa(tr.leaseID), Granted: tr.granted, Spent: tr.spent,
			Returned: tr.returned, Want: want + tr.reserved, Prefetch: want - int64(len(tr.waiting)),
			Version: m.table.Number, Limit: limit, LeaseDuration: m.leaseDuration()}
		for _, r := range tr.recent {
			request.Recent = append(request.Recent, rate.RecentSpend{Age: now - r.at, Count: r.count})
		}
		tr.reported = tr.spent
		partition := core.RatePartition(len(m.topology.Leaders), name)
		if batches[partition] == nil {
			batches[partition] = &core.DrawRates{Partition: partition}
		}
		batches[partition].Draws = append(batches[partition].Draws, core.TenantDraw{Tenant: name, Request: request})
		drawing[partition] = append(drawing[partition], tr)
	}
	for _, partition := range ordered.Keys(batches) {
		m.Counters.Draws++
		rates, leaseIDs, reported := drawing[partition], make([]int, len(drawing[partition])), make([]int64, len(drawing[partition]))
		for i, tr := range rates {
			leaseIDs[i], reported[i] = tr.leaseID, tr.reported
		}
		m.caller.Call(now, *batches[partition], now+m.leaseDuration(), func(at time.Duration, o core.Outcome) {
			drawn, ok := o.Answer.(core.DrawRatesResult)
			for i, tr := range rates {
				tr.drawing = false
				if !ok || len(drawn.Responses) != len(rates) || tr.leaseID != leaseIDs[i] {
					m.drawFailed(at, tr)
					continue
				}
				if drawn.Responses[i].Expired || tr.granted > 0 && at >= tr.expiresAt {
					// The lease has expired at the ledger or here.
					m.startLease(tr)
					tr.drawWanted, m.drawAt = true, at
					continue
				}
				tr.acknowledge(reported[i])
				m.applyDraw(at, tr, drawn.Responses[i], now+m.leaseDuration())
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

// applyDraw adds granted units, continues waiting requests, and refuses at once those that would
// wait too long.
func (m *Machine) applyDraw(now time.Duration, tr *tenantRate, response rate.DrawResponse, until time.Duration) {
	m.Counters.DrawsAnswered++
	tr.granted = max(tr.granted, response.Granted)
	tr.expiresAt = max(tr.expiresAt, until)
	tr.scarce = response.Scarce
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
	if response.RetryAfter <= 0 {
		// Further requests may have arrived since the draw was sent.
		m.drawAt = now
		return
	}
	if tr.available(now) == 0 {
		// Retry early enough to get units that leave the window next.
		tr.retryAt = now + min(response.RetryAfter, m.params.RateWindow/retryWindowDivisor)
		m.drawAt = min(m.drawAt, tr.retryAt)
	}
	waiting := tr.waiting
	tr.waiting = nil
	for _, req := range waiting {
		if now+response.RetryAfter < req.waitUntil {
			tr.waiting = append(tr.waiting, req)
		} else if !req.completed {
			m.refuseRate(now, req, response.RetryAfter)
		}
	}
}
