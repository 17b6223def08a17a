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

// failure is the record of a request that was not served, for operators.
type failure struct {
	Time    time.Time   `json:"time"`
	Cause   relay.Cause `json:"cause"`
	Status  int         `json:"status"`
	Attempt string      `json:"attempt"`
	Program string      `json:"program,omitempty"`
	// Previous is the turn that the request continues.
	Previous string `json:"previous,omitempty"`
	Route    string `json:"route,omitempty"`
	// Tenant is a digest, so that logs do not disclose names of tenants.
	Tenant string `json:"tenant_digest,omitempty"`
	delivery
	Table    uint64 `json:"table"`
	WaitedMS int64  `json:"waited_ms"`
	TookMS   int64  `json:"took_ms"`
	// CoresSilentMS is how long the cores had not answered commands.
	CoresSilentMS int64 `json:"cores_silent_ms"`
	// Incarnation is that of the node.
	Incarnation string `json:"life"`
}

type delivery struct {
	// Replica is the one of the last attempt.
	Replica    string `json:"replica,omitempty"`
	Attempts   int64  `json:"sendings"`
	MayHaveRun bool   `json:"may_have_run"`
}

const (
	// logInterval is the least time between two log lines of the same cause.
	logInterval = time.Second
	// maxRoutes bounds the routes with metrics of their own, because new tables keep adding routes.
	// Others are counted under otherRoute.
	maxRoutes  = 500
	otherRoute = "other"

	tenantDigestBytes = 8
)

// observer records completed requests in metrics, and failures also in the log and in a ring. Only
// the goroutine of process.run may call it; its set of metrics may be read concurrently.
type observer struct {
	set         *metrics.Set
	log         logr.Logger
	secret      []byte
	incarnation string
	durations   map[string]*metrics.PrometheusHistogram
	counts      map[routeCause]*metrics.Counter
	// recent is a ring of at most maxRecent failures; next is the index to overwrite.
	recent    []failure
	next      int
	maxRecent int
	// loggedAt is when a failure of a cause was last logged; unlogged counts those since then.
	loggedAt map[relay.Cause]time.Duration
	unlogged map[relay.Cause]int64
}

type routeCause struct {
	route string
	cause relay.Cause
}

func newObserver(secret, incarnation string, maxRecent int, log logr.Logger) *observer {
	return &observer{
		set:         metrics.NewSet(),
		log:         log,
		secret:      []byte(secret),
		incarnation: incarnation,
		maxRecent:   maxRecent,
		durations:   map[string]*metrics.PrometheusHistogram{},
		counts:      map[routeCause]*metrics.Counter{},
		loggedAt:    map[relay.Cause]time.Duration{},
		unlogged:    map[relay.Cause]int64{},
	}
}

func (o *observer) completed(now time.Duration, c relay.Completion) {
	route := o.count(c)
	o.durations[route].Update(c.Duration.Seconds())
	if !c.Failed() {
		return
	}
	f := failure{
		Time:          clock.TimeOfDay(),
		Cause:         c.Cause,
		Status:        c.Status,
		Attempt:       c.Attempt,
		Program:       c.Program,
		Previous:      c.Previous,
		Route:         c.Route,
		Tenant:        o.digest(c.Tenant),
		delivery:      delivery{Replica: c.Replica, Attempts: c.ReplicasTried, MayHaveRun: c.MayHaveRun},
		Table:         c.Table,
		WaitedMS:      c.QueueTime.Milliseconds(),
		TookMS:        c.Duration.Milliseconds(),
		CoresSilentMS: c.CoresSilent.Milliseconds(),
		Incarnation:   o.incarnation,
	}
	o.remember(f)
	o.logFailure(now, f)
}

// count returns the route that a request is counted under.
func (o *observer) count(c relay.Completion) string {
	route := c.Route
	if o.durations[route] == nil && len(o.durations) >= maxRoutes {
		route = otherRoute
	}
	if o.durations[route] == nil {
		o.durations[route] = o.set.NewPrometheusHistogram(fmt.Sprintf("saffronfall_request_seconds{route=%q}", route))
	}
	key := routeCause{route: route, cause: c.Cause}
	if o.counts[key] == nil {
		o.counts[key] = o.set.NewCounter(fmt.Sprintf("saffronfall_requests_total{route=%q,cause=%q}", route, c.Cause))
	}
	o.counts[key].Inc()
	return route
}

func (o *observer) remember(f failure) {
	switch {
	case o.maxRecent == 0:
	case len(o.recent) < o.maxRecent:
		o.recent = append(o.recent, f)
	default:
		o.recent[o.next] = f
		o.next = (o.next + 1) % o.maxRecent
	}
}

// failures returns the recent failures, oldest first.
func (o *observer) failures() []failure {
	list := make([]failure, 0, len(o.recent))
	list = append(list, o.recent[o.next:]...)
	return append(list, o.recent[:o.next]...)
}

func (o *observer) logFailure(now time.Duration, f failure) {
	if at, ok := o.loggedAt[f.Cause]; ok && now < at+logInterval {
		o.unlogged[f.Cause]++
		return
	}
	o.log.Info(
		"request not served",
		"cause", f.Cause,
		"status", f.Status,
		"attempt", f.Attempt,
		"program", f.Program,
		"previous", f.Previous,
		"route", f.Route,
		"tenant_digest", f.Tenant,
		"replica", f.Replica,
		"sendings", f.Attempts,
		"may_have_run", f.MayHaveRun,
		"table", f.Table,
		"waited_ms", f.WaitedMS,
		"took_ms", f.TookMS,
		"cores_silent_ms", f.CoresSilentMS,
		"life", f.Incarnation,
		"more_of_this_cause", o.unlogged[f.Cause],
	)
	o.loggedAt[f.Cause], o.unlogged[f.Cause] = now, 0
}

// digest is keyed: without the fleet's secret a name cannot be found by hashing candidates.
func (o *observer) digest(tenant string) string {
	if tenant == "" {
		return ""
	}
	mac := hmac.New(sha256.New, o.secret)
	mac.Write([]byte(tenant))
	return hex.EncodeToString(mac.Sum(nil)[:tenantDigestBytes])
}

// hashKey returns the key for hashing values that requesters choose. All nodes compute the same
// hashes, and requesters cannot predict them without the fleet's secret.
func hashKey(secret string) [2]uint64 {
	mac := hmac.New(sha256.New, []byte(secret))
	mac.Write([]byte("placement"))
	sum := mac.Sum(nil)
	return [2]uint64{binary.LittleEndian.Uint64(sum), binary.LittleEndian.Uint64(sum[8:])}
}
