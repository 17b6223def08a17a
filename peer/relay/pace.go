package relay

import (
	"fmt"
	"time"

	"saffronfall/peer/core"
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
	demand   float64
	arrived  int64
	countAt  time.Duration
	usedAt   time.Duration
	drawing  bool
	wanted   bool
	drawAt   time.Duration
	retryAt  time.Duration
	waiting  []*way
	reported int64
}

func (p *pace) free(now time.Duration) int64 {
	if now >= p.until {
		return 0
	}
	return p.granted - p.spent - p.returned
}

// terms is which part of a window a drawn request may be used for.
const terms = 2

func (m *Machine) drawTerm() time.Duration { return m.params.Window / terms }

func (m *Machine) paceOf(now time.Duration, tenant string) *pace {
	p := m.paces[tenant]
	if p == nil {
		p = &pace{tenant: tenant, countAt: now}
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
		p.spent++
		w.paid, w.paidBirth = true, p.births
		m.admitted(now, w)
		return
	}
	if now < p.retryAt && !p.drawing {
		m.refuseRate(now, w, p.retryAt-now)
		return
	}
	p.waiting = append(p.waiting, w)
	p.wanted = true
	m.draw(now)
}

func (m *Machine) refuseRate(now time.Duration, w *way, retry time.Duration) {
	m.Counters.RefusedRate++
	m.refuse(now, w, Step{Status: 429, Check: "tenant rate", Reason: "the tenant's rate is used up", RetryAfter: retry})
}

// unpay gives a request back to its tenant's rate that surely did not run.
func (m *Machine) unpay(w *way) {
	if w.paid && w.pace != nil && w.pace.births == w.paidBirth {
		w.pace.spent--
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

// want is how many requests this node wants to hold for a tenant: what comes in
// as long as a draw may be used for, and those that wait.
func (m *Machine) want(p *pace) int64 {
	return int64(p.demand*m.drawTerm().Seconds()*0.6+0.5) + int64(len(p.waiting)) + 2
}

func (m *Machine) limitOf(t *route.Tenant) rate.Limit {
	allowed := (t.Rate*m.params.Window.Seconds()+t.Burst)*(1+m.params.Overshoot/2) + float64(m.params.Slack)/2
	return rate.Limit{Window: m.params.Window, Most: int64(allowed)}
}

// draw asks for what is needed, in one command for each part.
func (m *Machine) draw(now time.Duration) {
	if len(m.topology.Owners) == 0 || m.table == nil {
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
			p.births++
			p.granted, p.spent, p.returned, p.reported = 0, 0, 0, 0
		}
		if now > p.usedAt+m.drawTerm() && len(p.waiting) == 0 {
			if now >= p.until {
				delete(m.paces, name)
			}
			continue
		}
		want := m.want(p)
		due := p.wanted && now >= p.retryAt || p.free(now)*2 < want && now >= p.drawAt || p.granted > 0 && now > p.until-m.drawTerm()/3 && now >= p.drawAt
		if !due {
			continue
		}
		if back := p.free(now) - 2*want; back > 0 {
			p.returned += back
		}
		p.drawing, p.wanted = true, false
		p.drawAt = now + m.drawTerm()/12
		d := rate.Draw{Holder: fmt.Sprintf("%s/%s+%d", m.id, m.life, p.births), Spent: p.spent, Returned: p.returned, Want: want,
			Version: m.table.Number, Limit: m.limitOf(tenant), Term: m.drawTerm()}
		n := core.RatePart(len(m.topology.Owners), name)
		if batches[n] == nil {
			batches[n] = &core.DrawRates{Part: n}
		}
		batches[n].Draws = append(batches[n].Draws, core.TenantDraw{Tenant: name, Draw: d})
		asked[n] = append(asked[n], p)
	}
	for _, n := range ordered.Keys(batches) {
		m.Counters.Draws++
		paces, births := asked[n], make([]int, len(asked[n]))
		for i, p := range paces {
			births[i] = p.births
		}
		m.caller.Call(now, *batches[n], now+m.drawTerm(), func(at time.Duration, o core.Outcome) {
			answer, ok := o.Answer.(core.RatesDrawn)
			for i, p := range paces {
				p.drawing = false
				if !ok || len(answer.Drawn) != len(paces) || p.births != births[i] {
					m.drawFailed(at, p)
					continue
				}
				m.drawn(at, p, answer.Drawn[i], now+m.drawTerm())
			}
		})
	}
}

func (m *Machine) drawFailed(now time.Duration, p *pace) {
	m.Counters.RefusedUnsure += int64(len(p.waiting))
	waiting := p.waiting
	p.waiting = nil
	for _, w := range waiting {
		m.refuse(now, w, Step{Status: 503, Check: "tenant rate", Reason: "the cores did not answer", RetryAfter: m.params.Core.Retry})
	}
}

func (m *Machine) drawn(now time.Duration, p *pace, d rate.Drawn, until time.Duration) {
	m.Counters.Drawn++
	p.granted = max(p.granted, d.Granted)
	p.until = max(p.until, until)
	for len(p.waiting) > 0 && p.free(now) > 0 {
		w := p.waiting[0]
		p.waiting = p.waiting[1:]
		if w.ended {
			continue
		}
		p.spent++
		w.paid, w.paidBirth = true, p.births
		m.admitted(now, w)
	}
	if d.Retry <= 0 {
		p.wanted = len(p.waiting) > 0
		return
	}
	if p.free(now) == 0 {
		// Soon enough to take part in what leaves the window next.
		p.retryAt = now + min(d.Retry, m.params.Window/10)
	}
	waiting := p.waiting
	p.waiting = nil
	for _, w := range waiting {
		m.refuseRate(now, w, d.Retry)
	}
}
