// Package fleet runs cores and nodes as processes on one machine, with simulated requesters
// and back ends and with links that can be cut. It records every request and attempt, and
// Finish checks them against the rules of package judge. Start reading at New, StartAll and
// RunRequesters; scenarios.go holds the failures.
package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"saffronfall/peer/core"
	"saffronfall/peer/operator"
	"saffronfall/rehearsalkit/judge"
	"saffronfall/rehearsalkit/links"
	"saffronfall/rule/configuration"
)

const (
	fleetSecret = "rehearsal-secret-of-no-worth"
	operatorKey = "rehearsal-operator"
	replicaKey  = "rehearsal-replica"
)

// Layout is the size and the configuration of a fleet.
type Layout struct {
	Name         string
	Cores        int
	Nodes        int
	Zones        int
	Models       int
	OnceReplicas int
	// OnceServices are the once-only services, each with OnceReplicas replicas.
	OnceServices []string
	Tenants      int
	Users        int
	// LongSessions counts the sessions that last for the whole run.
	LongSessions int
	Partitions   int
	// Rate, in requests a second, and Burst are the limits of each tenant.
	Rate   float64
	Burst  int64
	Binary string
	// Next is the binary that the rollout scenario upgrades to.
	Next     string
	Folder   string
	Settings map[string]any
}

// Layouts are the predefined fleets by name. Every host runs a node and the first ones also a
// core, which fails together with the node.
var Layouts = map[string]Layout{
	"small": {
		Name: "small", Cores: 3, Nodes: 3, Zones: 3, Models: 3, OnceReplicas: 1,
		OnceServices: []string{"alert"}, Tenants: 3, Users: 12, LongSessions: 1, Partitions: 8, Rate: 40,
		Burst: 64,
	},
	"aire": {
		Name: "aire", Cores: 6, Nodes: 13, Zones: 3, Models: 11, OnceReplicas: 5,
		OnceServices: []string{"alert"}, Tenants: 8, Users: 60, LongSessions: 10, Partitions: 16, Rate: 60,
		Burst: 96,
	},
	"mahoe": {
		Name: "mahoe", Cores: 8, Nodes: 15, Zones: 4, Models: 9, OnceReplicas: 4,
		OnceServices: []string{"alert", "renewal", "receipt", "notice"}, Tenants: 8, Users: 50,
		LongSessions: 5, Partitions: 16, Rate: 60, Burst: 96,
	},
}

// Process is one process of the fleet.
type Process struct {
	Name, Zone, Role string
	// host numbers a simulated machine, whose processes fail together.
	host         int
	ip, settings string
	requester    string
	operator     string
	folder       string
	command      *exec.Cmd
	ended        chan struct{}
}

// Fleet is a running fleet.
type Fleet struct {
	Layout   Layout
	cores    []*Process
	nodes    []*Process
	backends []*backend
	links    *links.Links
	client   *http.Client
	start    time.Time
	updates  chan func(r *judge.Record)
	record   *judge.Record
	ctx      context.Context
	seeds    []string
	// probeVersions maps probe keys of applied descriptions to their versions. Like record,
	// it is accessed by update functions only.
	probeVersions map[string]uint64
}

func (f *Fleet) now() time.Duration { return time.Since(f.start) }

// update runs change on the goroutine that owns the record, and returns when it is done.
func (f *Fleet) update(change func(r *judge.Record)) {
	done := make(chan struct{})
	select {
	case f.updates <- func(r *judge.Record) { change(r); close(done) }:
		<-done
	case <-f.ctx.Done():
	}
}

func (f *Fleet) anyNode() *Process { return f.nodes[rand.IntN(len(f.nodes))] }

// New creates a fleet with its settings files and the relays of its links. It starts no
// process.
func New(ctx context.Context, layout Layout) (*Fleet, error) {
	f := &Fleet{Layout: layout, links: links.New(ctx), start: time.Now(), updates: make(chan func(*judge.Record), 64), ctx: ctx,
		record: &judge.Record{}, probeVersions: map[string]uint64{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}}
	f.record.Limits = judge.Limits{ProgramTokens: 50_000, TurnTokens: 1000, Retention: time.Hour, PropagationLimit: 2 * time.Second,
		Rate: map[string]float64{}, Burst: map[string]float64{},
		MinuteDollars: 50, Price: map[string]float64{"model": 10}, ClockDrift: 0.03, Users: map[string]judge.UserLimits{}}
	go func() {
		for {
			select {
			case change := <-f.updates:
				change(f.record)
			case <-ctx.Done():
				return
			}
		}
	}()
	for i := 0; i < min(3, layout.Cores+layout.Nodes); i++ {
		f.seeds = append(f.seeds, ipOf(i)+":7000")
	}
	for i := 0; i < layout.Cores+layout.Nodes; i++ {
		role, name, host := "core", fmt.Sprintf("core%d", i+1), i
		if i >= layout.Cores {
			host = i - layout.Cores
			role, name = "node", fmt.Sprintf("node%d", host+1)
		}
		process, err := f.newProcess(name, role, fmt.Sprintf("zone-%d", host%layout.Zones+1), i)
		if err == nil {
			process.host = host
		}
		if err != nil {
			return nil, err
		}
		if role == "core" {
			f.cores = append(f.cores, process)
		} else {
			f.nodes = append(f.nodes, process)
		}
	}
	for i := 0; i < layout.Models; i++ {
		f.backends = append(f.backends, &backend{fleet: f, key: replicaKey, service: "model", id: fmt.Sprintf("model%d", i+1),
			zone: fmt.Sprintf("zone-%d", i%layout.Zones+1), address: fmt.Sprintf("127.0.9.%d:7900", i+1)})
	}
	for n, service := range layout.OnceServices {
		for i := 0; i < layout.OnceReplicas; i++ {
			f.backends = append(f.backends, &backend{fleet: f, key: replicaKey, service: service, id: fmt.Sprintf("%s%d", service, i+1),
				zone: fmt.Sprintf("zone-%d", i%layout.Zones+1), address: fmt.Sprintf("127.0.9.%d:7900", 100+20*n+i)})
		}
	}
	f.backends = append(f.backends, &backend{fleet: f, key: replicaKey, service: "search", id: "search1",
		zone: "zone-1", address: "127.0.9.200:7900"})
	for i := 1; i <= layout.Tenants; i++ {
		name := fmt.Sprintf("t%d", i)
		f.record.Limits.Rate[name], f.record.Limits.Burst[name] = layout.Rate, float64(layout.Burst)
		f.record.Limits.Users[name] = judge.UserLimits{PerMinute: 600, Lockout: 300 * time.Second,
			Concurrent: 20, Session: 600 * time.Second, DayTokens: 500_000}
	}
	return f, nil
}

func ipOf(i int) string { return fmt.Sprintf("127.0.%d.%d", 1+i/200, 1+i%200) }

func (f *Fleet) newProcess(name, role, zone string, number int) (*Process, error) {
	process := &Process{Name: name, Role: role, Zone: zone, ip: ipOf(number)}
	process.requester, process.operator, process.folder = process.ip+":7002", process.ip+":7001",
		filepath.Join(f.Layout.Folder, process.Name, "data")
	settings := map[string]any{
		"id":               process.Name,
		"zone":             process.Zone,
		"folder":           process.folder,
		"seeds":            f.seeds,
		"fleet_secret":     fleetSecret,
		"operator_key":     operatorKey,
		"replica_key":      replicaKey,
		"peer_listen":      process.ip + ":7100",
		"peer_advertise":   process.ip + ":7000",
		"operator_listen":  process.operator,
		"requester_listen": process.requester,
	}
	for k, v := range f.Layout.Settings {
		settings[k] = v
	}
	if err := os.MkdirAll(process.folder, 0o755); err != nil {
		return nil, errors.Wrap(err, "folder")
	}
	text, _ := json.MarshalIndent(settings, "", "  ")
	process.settings = filepath.Join(f.Layout.Folder, process.Name, "settings.json")
	if err := os.WriteFile(process.settings, text, 0o600); err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return process, errors.Wrap(f.links.Relay(f.ctx, process.ip+":7000", process.ip+":7100"), "relay")
}

// Start starts a process, and records a restart unless it is the first start.
func (f *Fleet) Start(process *Process) error {
	out, err := os.OpenFile(filepath.Join(f.Layout.Folder, process.Name, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrap(err, "log")
	}
	defer out.Close()
	if process.command != nil {
		f.update(func(r *judge.Record) {
			r.Restarts = append(r.Restarts, judge.Restart{At: f.now(), Process: process.Name})
		})
	}
	process.command = exec.Command(f.Layout.Binary, process.Role, process.settings)
	process.command.Stdout, process.command.Stderr = out, out
	process.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.command.Start(); err != nil {
		return errors.Wrap(err, process.Name)
	}
	process.ended = make(chan struct{})
	go func(c *exec.Cmd, ended chan struct{}) {
		c.Wait()
		close(ended)
	}(process.command, process.ended)
	return nil
}

// Signal sends a signal to a process.
func (f *Fleet) Signal(process *Process, s syscall.Signal) {
	if process.command != nil && process.command.Process != nil {
		process.command.Process.Signal(s)
	}
}

func (f *Fleet) sameHost(process *Process) (list []*Process) {
	for _, other := range f.processes() {
		if other.host == process.host {
			list = append(list, other)
		}
	}
	return list
}

// KillHost kills all processes on the host of a process.
func (f *Fleet) KillHost(process *Process) {
	for _, other := range f.sameHost(process) {
		f.Kill(other)
	}
}

// StartHost starts all processes on the host of a process.
func (f *Fleet) StartHost(process *Process) {
	for _, other := range f.sameHost(process) {
		f.Start(other)
	}
}

// SignalHost sends a signal to all processes on the host of a process.
func (f *Fleet) SignalHost(process *Process, s syscall.Signal) {
	for _, other := range f.sameHost(process) {
		f.Signal(other, s)
	}
}

// Kill kills a process and waits for its end.
func (f *Fleet) Kill(process *Process) {
	f.Signal(process, syscall.SIGKILL)
	<-process.ended
}

// Stop kills all processes.
func (f *Fleet) Stop() {
	for _, process := range f.processes() {
		if process.command != nil {
			f.Signal(process, syscall.SIGCONT)
			f.Kill(process)
		}
	}
}

func (f *Fleet) operatorClient() operator.Client { return operator.Client{Key: operatorKey} }

// Description encodes a configuration for the layout. Only nodes that have applied it accept
// probeKey as a key.
func (f *Fleet) Description(probeKey string) []byte {
	tenants := map[string]any{}
	for i := 1; i <= f.Layout.Tenants; i++ {
		name := fmt.Sprintf("t%d", i)
		tenants[name] = map[string]any{
			"keys": []any{
				map[string]any{"sha256": configuration.KeyDigest("key-" + name), "role": "analyst"},
				map[string]any{"sha256": configuration.KeyDigest("long-" + name), "role": "keeper"},
			},
			"inquiries_per_second": f.Layout.Rate,
			"burst":                f.Layout.Burst,
		}
	}
	tenants["probe"] = map[string]any{"keys": []any{map[string]any{"sha256": configuration.KeyDigest(probeKey), "role": "viewer"}}}
	services := map[string]any{"model": map[string]any{"kind": "model"}, "search": map[string]any{"kind": "tool", "calls_per_minute": 100}}
	for i, name := range f.Layout.OnceServices {
		// Only the first service, alert, is urgent.
		services[name] = map[string]any{"kind": "once", "urgent": i == 0, "past_breaker": i == 0}
	}
	text, _ := json.Marshal(map[string]any{
		"roles": map[string]any{
			"viewer": map[string]any{},
			"keeper": map[string]any{
				"sessions_per_minute":  600,
				"sessions_per_hour":    6000,
				"sessions_per_day":     60000,
				"steps":                10_000,
				"tool_calls":           1000,
				"tool_calls_per_type":  1000,
				"identical_tool_calls": 1000,
				"session_seconds":      7200,
			},
			"analyst": map[string]any{
				"sessions_per_minute":  600,
				"sessions_per_hour":    6000,
				"sessions_per_day":     60000,
				"concurrent_sessions":  20,
				"steps":                25,
				"tool_calls":           50,
				"tool_calls_per_type":  30,
				"identical_tool_calls": 3,
				"session_seconds":      600,
				"lockout_seconds":      300,
			},
		},
		"tenants":  tenants,
		"services": services,
		"approval": map[string]any{"newly_refused_ratio": 0.5},
	})
	return text
}

// StartAll starts all processes and back ends, founds the fleet with a first configuration,
// and waits until all nodes are ready.
func (f *Fleet) StartAll(ctx context.Context) error {
	for _, process := range f.processes() {
		if err := f.Start(process); err != nil {
			return err
		}
	}
	var addresses []string
	for _, process := range f.cores {
		addresses = append(addresses, process.operator)
	}
	var err error
	for attempt := 0; attempt < 50; attempt++ {
		if _, err = f.operatorClient().Found(ctx, f.Layout.Name, addresses, f.Layout.Partitions, 3); err == nil {
			break
		}
		pause(ctx, 100*time.Millisecond, 100*time.Millisecond)
	}
	if err != nil {
		return err
	}
	for attempt := 0; ; attempt++ {
		result, status, err := f.Apply(ctx, f.cores[0], 0, "probe-first")
		if result.InForce {
			break
		}
		if attempt == 20 {
			return errors.Newf("the first configuration was not applied: status %d, %+v, %v", status, result, err)
		}
		pause(ctx, 200*time.Millisecond, 200*time.Millisecond)
	}
	for _, b := range f.backends {
		b.run(ctx)
	}
	for attempt := 0; attempt < 200; attempt++ {
		ready := 0
		for _, process := range f.nodes {
			if reply, err := f.client.Get("http://" + process.requester + "/ready"); err == nil {
				if reply.StatusCode == 200 {
					ready++
				}
				reply.Body.Close()
			}
		}
		if ready == len(f.nodes) {
			return nil
		}
		pause(ctx, 50*time.Millisecond, 50*time.Millisecond)
	}
	return errors.New("not all nodes became ready")
}

// Apply applies a description at a core and records the result.
func (f *Fleet) Apply(ctx context.Context, at *Process, basedOn uint64, probeKey string) (core.ApplyResult, int, error) {
	var result core.ApplyResult
	status, raw, err := f.operatorClient().Do(ctx, "POST", at.operator, "/v1/configuration", operator.ConfigurationRequest{
		BasedOn:     basedOn,
		Description: f.Description(probeKey),
		TimeoutMS:   8000,
	}, nil)
	if err == nil {
		err = json.Unmarshal(raw, &result)
	}
	f.recordApplied(probeKey, basedOn, result)
	return result, status, err
}

// RunRequesters runs the simulated requesters for length and waits until they end.
func (f *Fleet) RunRequesters(ctx context.Context, length time.Duration) {
	runCtx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	ended := make(chan struct{})
	go f.probe(runCtx)
	// Tenants are of unequal size: half of the requesters belong to the first one.
	tenant := func(i int) string {
		if i%2 == 0 {
			return "t1"
		}
		return fmt.Sprintf("t%d", i%f.Layout.Tenants+1)
	}
	for i := 0; i < f.Layout.Users; i++ {
		go func() {
			f.runUser(runCtx, fmt.Sprintf("u%d", i), tenant(i))
			ended <- struct{}{}
		}()
	}
	for i := 0; i < f.Layout.LongSessions; i++ {
		go func() {
			f.runLongSession(runCtx, fmt.Sprintf("long%d", i), tenant(i))
			ended <- struct{}{}
		}()
	}
	for i := 0; i < f.Layout.Users+f.Layout.LongSessions; i++ {
		<-ended
	}
}

// Finish waits, for a bounded time, until the nodes have the last configuration, and returns
// the record and its breaches.
func (f *Fleet) Finish(ctx context.Context) (*judge.Record, []judge.Breach) {
	f.probeFinal(ctx)
	var copied judge.Record
	f.update(func(r *judge.Record) {
		copied = *r
		copied.Attempts, copied.Requests = append([]judge.Attempt(nil), r.Attempts...), append([]judge.Request(nil), r.Requests...)
	})
	return &copied, copied.Judge()
}

// Logs returns the logs of all processes.
func (f *Fleet) Logs() string {
	var all strings.Builder
	for _, process := range f.processes() {
		text, _ := os.ReadFile(filepath.Join(f.Layout.Folder, process.Name, "log"))
		fmt.Fprintf(&all, "== %s\n%s", process.Name, text)
	}
	return all.String()
}
