// Package soak runs cores, registries and relaying nodes as processes with strict invariants,
// and injects random, overlapping faults of processes, links, disks, replicas and requesters.
// The rules in judge.go check the record of what requesters, replicas and operators saw. The
// seed determines the faults and the pauses between them; requesters and replicas draw from
// the global random source. Start reading at Run.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"saffronfall/rehearsalkit/links"
)

// Used for the fleet's settings and for the checks.
const (
	heartbeatInterval = 300 * time.Millisecond
	heartbeatTimeout  = time.Second
	gracePeriod       = 1800 * time.Millisecond
	applyTimeout      = 2 * time.Second
	drainTimeout      = 2 * time.Second
	contactTimeout    = 3 * time.Second
	rateWindow        = 5 * time.Second
	rateSlack         = 2
	rateOvershoot     = 0.1
	historyRetention  = time.Minute
	routeTimeout      = 3 * time.Second
)

// storesFaultSeeds is the distance of the seeds that end with storesFault.
const storesFaultSeeds = 3

// Options configures a run.
type Options struct {
	Binary, Folder string
	// DiskBinary runs cores on fault-injecting disks, or is empty for no disk faults.
	DiskBinary string
	Seed       uint64
	// Requesters run for Calm before the first fault, faults are injected for Length, and
	// requesters run for Settle after the last fault.
	Calm, Length, Settle time.Duration
	// FaultRate is the mean number of faults a second.
	FaultRate float64
	// Nodes is the number of relaying nodes.
	Nodes int
	// Logf prints each fault when it ends; it may be nil.
	Logf func(format string, args ...any)
}

// Fleet is a running fleet with its requesters, replicas and operators.
type Fleet struct {
	Options
	*recorder
	random    *rand.Rand
	links     *links.Links
	processes []*process
	replicas  *replicas
	operator  *tableOperator
	client    *http.Client
	// busy holds a lock for each process, which has one fault of its own at a time.
	busy map[*process]chan struct{}
	// diskLost is a lock: one disk may be lost at a time.
	diskLost chan struct{}
}

// Breach is one observed violation of a rule.
type Breach struct{ Rule, Text string }

func (b Breach) String() string { return b.Rule + ": " + b.Text }

// keyWindow returns the window of operation keys. With every other seed keys expire.
func (o Options) keyWindow() time.Duration {
	if o.Seed%2 == 1 {
		return 8 * time.Second
	}
	return time.Minute
}

// host returns a loopback address. Seeds that run in parallel use different networks.
func (o Options) host(kind, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+o.Seed%128, kind, number)
}

const (
	hostFleet   = 1
	hostReplica = 9
)

func newFleet(ctx context.Context, options Options) (*Fleet, error) {
	f := &Fleet{
		Options:  options,
		recorder: newRecorder(ctx),
		random:   rand.New(rand.NewPCG(options.Seed, 21)),
		links:    links.New(ctx),
		busy:     map[*process]chan struct{}{},
		diskLost: make(chan struct{}, 1),
		client:   &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	f.replicas, f.operator = newReplicas(f), &tableOperator{fleet: f}
	names := []string{"core1", "core2", "core3", "desk1", "desk2"}
	for i := range options.Nodes {
		names = append(names, fmt.Sprint("node", i+1))
	}
	for i, name := range names {
		p := &process{
			fleet:  f,
			name:   name,
			role:   map[string]string{"core": roleCore, "desk": roleRegistry, "node": roleNode}[name[:4]],
			ip:     options.host(hostFleet, i+1),
			folder: filepath.Join(options.Folder, name),
		}
		f.processes = append(f.processes, p)
		f.busy[p] = make(chan struct{}, 1)
	}
	for i, p := range f.processes {
		p.settings = f.settingsOf(p, fmt.Sprintf("zone%d", i%3+1))
		if err := f.links.Relay(ctx, p.address(relayedPort), p.address(peerPort)); err != nil {
			return nil, err
		}
	}
	for _, p := range f.withRole(roleNode) {
		if err := f.links.Relay(ctx, p.address(relayedRequesterPort), p.address(requesterPort)); err != nil {
			return nil, err
		}
	}
	return f, f.replicas.relay(ctx)
}

func (f *Fleet) settingsOf(p *process, zone string) map[string]any {
	var seeds []string
	for _, registry := range f.withRole(roleRegistry) {
		seeds = append(seeds, registry.address(relayedPort))
	}
	settings := map[string]any{
		"id":                p.name,
		"zone":              zone,
		"seeds":             seeds,
		"fleet_secret":      fleetSecret,
		"operator_key":      operatorKey,
		"replica_key":       replicaKey,
		"peer_listen":       p.address(peerPort),
		"peer_advertise":    p.address(relayedPort),
		"operator_listen":   p.address(operatorPort),
		"metrics_listen":    p.address(metricsPort),
		"owner_term_ms":     contactTimeout.Milliseconds() / 6,
		"member_term_ms":    contactTimeout.Milliseconds() / 2,
		"pull_ms":           150,
		"retry_ms":          125,
		"core_gone_ms":      2200,
		"grace_ms":          gracePeriod.Milliseconds(),
		"beat_ms":           heartbeatInterval.Milliseconds(),
		"follow_ms":         heartbeatInterval.Milliseconds() / 2,
		"order_ms":          3000,
		"rate_window_ms":    rateWindow.Milliseconds(),
		"rate_overshoot":    rateOvershoot,
		"rate_slack":        rateSlack,
		"dial_ms":           300,
		"not_ready_ms":      700,
		"cold_start":        true,
		"strict_invariants": true,
		"key_window_ms":     f.keyWindow().Milliseconds(),
	}
	switch p.role {
	case roleCore:
		settings["folder"] = p.dataFolder()
	case roleRegistry:
		settings["folder"], settings["founds"] = p.dataFolder(), p.name == "desk1"
	default:
		settings["requester_listen"], settings["ready_listen"] = p.address(requesterPort), p.address(readyPort)
	}
	return settings
}

func (f *Fleet) withRole(role string) (list []*process) {
	for _, p := range f.processes {
		if p.role == role {
			list = append(list, p)
		}
	}
	return list
}

// start starts the fleet with a first table and waits until all nodes are ready.
func (f *Fleet) start(ctx context.Context) error {
	for _, p := range f.processes {
		if err := p.writeSettings(nil); err != nil {
			return err
		}
		if err := p.start(); err != nil {
			return err
		}
	}
	if err := f.disturbFounding(ctx); err != nil {
		return err
	}
	f.replicas.fill(ctx)
	const startTimeout = 20 * time.Second
	if !f.waitUntil(ctx, startTimeout, func() bool { return f.operator.apply(ctx, f.withRole(roleRegistry)[0], 0, 1) == http.StatusOK }) {
		return errors.Newf("no first table within %v", startTimeout)
	}
	for _, p := range f.withRole(roleNode) {
		if !f.waitUntil(ctx, startTimeout, func() bool { return f.ready(p) }) {
			return errors.Newf("%s is not ready within %v", p.name, startTimeout)
		}
	}
	return nil
}

// waitUntil polls met. It returns false after timeout or when the context ends.
func (f *Fleet) waitUntil(ctx context.Context, timeout time.Duration, met func() bool) bool {
	for end := f.now() + timeout; f.now() < end && ctx.Err() == nil; pause(ctx, 50*time.Millisecond) {
		if met() {
			return true
		}
	}
	return false
}

func (f *Fleet) ready(p *process) bool {
	answer, err := f.client.Get("http://" + p.address(readyPort) + "/")
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

func (f *Fleet) stop() {
	for _, p := range f.processes {
		p.signal(syscall.SIGCONT)
		p.kill()
	}
}

// Report is the result of a run.
type Report struct {
	Seed     uint64
	Breaches []Breach
	Faults   []fault
	// Served and Asked count the requests of well-behaved requesters by kind.
	Served, Asked map[string]int
	// Runs counts the requests that replicas ran.
	Runs int
}

// startFailure reports the cause and the faults found in the logs.
func (f *Fleet) startFailure(cause error) Report {
	for _, p := range f.processes {
		p.checkExit()
		p.readLog()
	}
	all := f.snapshot()
	return Report{Seed: f.Seed, Breaches: append(all.Breaches, breach(RuleServed, "the fleet did not come up: %v", cause))}
}

// Run runs one seed. A fleet that does not start is reported as a breach, not as an error.
func Run(parent context.Context, options Options) (Report, error) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	f, err := newFleet(ctx, options)
	if err != nil {
		return Report{}, err
	}
	defer f.stop()
	if err := f.start(ctx); err != nil {
		return f.startFailure(err), nil
	}
	base := f.allResources(ctx)
	stopRequesters, ended := f.startRequesters(ctx)
	pause(ctx, options.Calm)
	f.injectFaults(ctx)
	if options.Seed%storesFaultSeeds == 1 {
		f.injectFault(ctx, storesFault, rand.New(rand.NewPCG(options.Seed, 45)))
	}
	f.settle(ctx)
	f.readFinalTables(ctx)
	stopRequesters()
	<-ended
	f.checkReleased(ctx, base)
	all := f.snapshot()
	all.KeyWindow = options.keyWindow()
	report := Report{
		Seed:     options.Seed,
		Breaches: all.judge(),
		Faults:   all.Faults,
		Served:   map[string]int{},
		Asked:    map[string]int{},
		Runs:     len(all.Runs),
	}
	for _, req := range all.Requests {
		if !req.Misbehaving {
			report.Asked[req.Kind]++
			if req.Whole && req.Status < 300 {
				report.Served[req.Kind]++
			}
		}
	}
	return report, nil
}
