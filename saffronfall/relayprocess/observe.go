package relayprocess

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"saffronfall/peer/clock"
	"saffronfall/peer/relay"
)

// failure is one request that was not served, as operators read it.
type failure struct {
	Time    time.Time   `json:"time"`
	Cause   relay.Cause `json:"cause"`
	Status  int         `json:"status"`
	Attempt string      `json:"attempt"`
	Program string      `json:"program,omitempty"`
	// Previous is the turn that it goes on from.
	Previous string `json:"previous,omitempty"`
	Route    string `json:"route,omitempty"`
	// Tenant is a digest: names of tenants stay out of logs.
	Tenant string `json:"tenant_digest,omitempty"`
	sendings
	Table    uint64 `json:"table"`
	WaitedMS int64  `json:"waited_ms"`
	TookMS   int64  `json:"took_ms"`
	// CoresSilentMS is for how long cores had left commands without an answer.
	CoresSilentMS int64 `json:"cores_silent_ms"`
	// Life is the incarnation of the node.
	Life string `json:"life"`
}

// sendings is what is known of a request's sendings to replicas.
type sendings struct {
	// Replica is the last one.
	Replica  string `json:"replica,omitempty"`
	Sendings int64  `json:"sendings"`
	Ran      bool   `json:"may_have_run"`
}

const (
	// logEvery is how often a failure of one cause is logged; all are counted, and
	// the next line tells how many were not.
	logEvery = time.Second
	// mostRoutes bounds how many routes have figures of their own, as tables bring
	// new ones for as long as a process lives.
	mostRoutes = 500
	otherRoute = "other"
)

// observer tells of requests that ended: a histogram for each route, a count for
// each route and cause, a line in the log and a place among the last failures for
// each that was not served. It belongs to the owner's goroutine; only its set of
// metrics is read by others.
type observer struct {
	set    *metrics.Set
	log    logr.Logger
	secret []byte
	life   string
	routes map[string]*metrics.PrometheusHistogram
	counts map[routeCause]*metrics.Counter
	// last is a ring of the last failures; next is where the next one goes.
	last []failure
	next int
	kept int
	// logged is when a failure of a cause was last logged, unlogged how many were
	// not since.
	logged   map[relay.Cause]time.Duration
	unlogged map[relay.Cause]int64
}

type routeCause struct {
	route string
	cause relay.Cause
}

func newObserver(secret, life string, kept int, log logr.Logger) *observer {
	return &observer{set: metrics.NewSet(), log: log, secret: []byte(secret), life: life, kept: kept, routes: map[string]*metrics.PrometheusHistogram{},
		counts: map[routeCause]*metrics.Counter{}, logged: map[relay.Cause]time.Duration{}, unlogged: map[relay.Cause]int64{}}
}

// ended takes a request that has ended.
func (o *observer) ended(now time.Duration, e relay.Completion) {
	route := o.count(e)
	o.routes[route].Update(e.Duration.Seconds())
	if !e.Failed() {
		return
	}
	f := failure{Time: clock.TimeOfDay(), Cause: e.Cause, Status: e.Status, Attempt: e.Attempt, Program: e.Program, Previous: e.Previous, Route: e.Route, Tenant: o.digest(e.Tenant), sendings: sendings{Replica: e.Replica, Sendings: e.ReplicasTried, Ran: e.MayHaveRun}, Table: e.Table, WaitedMS: e.QueueTime.Milliseconds(), TookMS: e.Duration.Milliseconds(), CoresSilentMS: e.CoresSilent.Milliseconds(), Life: o.life}
	o.keep(f)
	o.write(now, f)
}

// count counts a request, and tells which route its figures go to.
func (o *observer) count(e relay.Completion) string {
	route := e.Route
	if o.routes[route] == nil && len(o.routes) >= mostRoutes {
		route = otherRoute
	}
	if o.routes[route] == nil {
		o.routes[route] = o.set.NewPrometheusHistogram(fmt.Sprintf("saffronfall_request_seconds{route=%q}", route))
	}
	key := routeCause{route: route, cause: e.Cause}
	if o.counts[key] == nil {
		o.counts[key] = o.set.NewCounter(fmt.Sprintf("saffronfall_requests_total{route=%q,cause=%q}", route, e.Cause))
	}
	o.counts[key].Inc()
	return route
}

func (o *observer) keep(f failure) {
	switch {
	case o.kept == 0:
	case len(o.last) < o.kept:
		o.last = append(o.last, f)
	default:
		o.last[o.next] = f
		o.next = (o.next + 1) % o.kept
	}
}

// failures lists the last failures, oldest first.
func (o *observer) failures() []failure {
	list := make([]failure, 0, len(o.last))
	list = append(list, o.last[o.next:]...)
	return append(list, o.last[:o.next]...)
}

// write logs a failure, unless one of its cause was logged just before.
func (o *observer) write(now time.Duration, f failure) {
	if at, ok := o.logged[f.Cause]; ok && now < at+logEvery {
		o.unlogged[f.Cause]++
		return
	}
	o.log.Info("request not served", "cause", f.Cause, "status", f.Status, "attempt", f.Attempt, "program", f.Program, "previous", f.Previous, "route", f.Route, "tenant_digest", f.Tenant, "replica", f.Replica,
		"sendings", f.Sendings, "may_have_run", f.Ran, "table", f.Table, "waited_ms", f.WaitedMS, "took_ms", f.TookMS, "cores_silent_ms", f.CoresSilentMS, "life", f.Life,
		"more_of_this_cause", o.unlogged[f.Cause])
	o.logged[f.Cause], o.unlogged[f.Cause] = now, 0
}

// digest stands for a tenant's name; only who knows the fleet's secret can tell
// which name it is.
func (o *observer) digest(tenant string) string {
	if tenant == "" {
		return ""
	}
	mac := hmac.New(sha256.New, o.secret)
	mac.Write([]byte(tenant))
	return hex.EncodeToString(mac.Sum(nil)[:8])
}

// hashKey is the key of hashes of what requesters choose: the same at all nodes, as it is
// made of the fleet's secret.
func hashKey(secret string) [2]uint64 {
	mac := hmac.New(sha256.New, []byte(secret))
	mac.Write([]byte("placement"))
	sum := mac.Sum(nil)
	return [2]uint64{binary.LittleEndian.Uint64(sum), binary.LittleEndian.Uint64(sum[8:])}
}
