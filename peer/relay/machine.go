package relay

import (
	"fmt"
	"slices"
	"time"

	"saffronfall/peer/core"
	"saffronfall/peer/registry"
	"saffronfall/rule/invariant"
	"saffronfall/rule/ordered"
	"saffronfall/rule/placement"
	"saffronfall/rule/route"
)

// Options are the arguments of New.
type Options struct {
	Params Params
	ID     string
	// Incarnation identifies this run of the node's process uniquely.
	Incarnation string
	Zone        string
	Address     string
	// Seeds are the addresses of registries that are always asked for updates.
	Seeds []string
	// Now is the current time on the clock of all later calls.
	Now time.Duration
	// Random returns numbers in [0, 1).
	Random func() float64
	// Violated receives violated invariants; if nil, they panic.
	Violated invariant.Reporter
}

// Machine is the state of one relay node. It is not safe for concurrent use.
type Machine struct {
	Counters Counters

	params          Params
	id, incarnation string
	zone            string
	address         string
	seeds           []string
	random          func() float64
	out             *Output
	caller          *core.Caller
	started         time.Duration

	topologyState
	registryState
	tableState
	auditState

	selection
	loadSharing
	rateState
	turnStore
	active   map[uint64]*activeRequest
	draining bool
	// awaitingTable waits for the first routing table, awaitingReplicas for the first replica of
	// the requests' service.
	awaitingTable, awaitingReplicas []*activeRequest
	probeAt                         time.Duration
}

type rateState struct {
	rates           map[string]*tenantRate
	lastLeaseID     int
	drawAt          time.Duration
	lastReservation uint64
	// lastClaim numbers the claims on operation keys.
	lastClaim uint64
}

type registryState struct {
	registryAddresses []string
	registries        map[string]*registryView
	nodeCount         int
	nextUpdateRequest time.Duration
	departed          departedReplicas
}

// New returns the machine of a node that knows no table and no replicas yet.
func New(o Options) *Machine {
	m := &Machine{
		params:        o.Params,
		id:            o.ID,
		incarnation:   o.Incarnation,
		zone:          o.Zone,
		address:       o.Address,
		seeds:         o.Seeds,
		random:        o.Random,
		started:       o.Now,
		registryState: registryState{registries: map[string]*registryView{}, departed: departedReplicas{}},
		tableState:    tableState{tenants: map[string]*route.Tenant{}},
		auditState:    auditState{violated: o.Violated, byCause: map[Cause]int64{}, lastTick: o.Now},
		selection: selection{
			services: map[string]*service{},
			replicas: map[string]*replicaRecord{},
			policy: &placement.Policy{
				Settings: o.Params.Placement,
				Zone:     o.Zone,
				Random:   o.Random,
			},
		},
		rateState: rateState{rates: map[string]*tenantRate{}},
		turnStore: turnStore{
			cache:   newTurnCache(o.Params.CacheBytes, o.Params.HistoryBytes),
			reads:   map[turnName]*turnRead{},
			crowded: map[crowdedPartition]time.Duration{},
		},
		active: map[uint64]*activeRequest{},
	}
	m.caller = &core.Caller{Retry: o.Params.Core.AttemptTimeout, Random: o.Random,
		Send:       func(to string, body any) { m.send(to, body) },
		Partitions: func() int { return len(m.topology.Leaders) },
		Cores:      func() []string { return m.topology.CoreAddresses() }}
	return m
}

func (m *Machine) send(to string, body any) {
	if to != "" {
		m.out.Sends = append(m.out.Sends, Send{To: to, Body: body})
	}
}

// Receive handles a message from the process at an address.
func (m *Machine) Receive(now time.Duration, from string, body any) Output {
	m.out = &Output{}
	switch message := body.(type) {
	case core.CommandResult:
		m.caller.Receive(now, from, message)
		if now >= m.drawAt {
			m.drawAt = now + m.params.RateWindow/drawChecksPerWindow
			m.drawRates(now)
		}
	case registry.Update:
		m.Counters.Updates++
		m.handleUpdate(now, from, message)
	case registry.Loads:
		m.handleLoads(now, from, message)
	default:
		m.Counters.BadMessages++
	}
	return *m.out
}

// firstTableHeartbeats is after how many heartbeat intervals a first table needs no confirmation.
const firstTableHeartbeats = 2

// handleUpdate puts a first table in force once a registry has confirmed it as the newest, or
// firstTableHeartbeats after the start.
func (m *Machine) handleUpdate(now time.Duration, from string, update registry.Update) {
	view := m.registries[from]
	if view == nil {
		view = &registryView{replicas: map[string]listing{}}
		m.registries[from] = view
	}
	if !slices.Contains(m.registryAddresses, from) {
		m.registryAddresses = append(m.registryAddresses, from)
	}
	view.lastUpdateAt = now
	if view.incarnation != update.Incarnation {
		// The registry has restarted. Its earlier listings stay valid until replicas had time to
		// announce themselves again.
		for id, entry := range view.replicas {
			entry.expiresAt = now + lostHeartbeats*m.params.HeartbeatInterval
			view.replicas[id] = entry
		}
		view.incarnation, view.version, view.indexedIDs = update.Incarnation, 0, nil
		view.topologyVersion, view.behindSince = 0, 0
	}
	if update.Since <= view.version {
		for _, listed := range update.Replicas {
			if listed.Replica.Leaving || listed.Final {
				m.departed.add(now, listed.Replica.ID)
			}
			view.replicas[listed.Replica.ID] = listing{ReplicaEntry: listed}
		}
		view.version = max(view.version, update.Version)
	}
	if update.RenewNow {
		m.requestUpdate(from)
	}
	m.nodeCount = max(update.NodeCount, 1)
	if len(update.Replicas) > 0 {
		// The listings are merged when the next replica is chosen.
		m.mergeAt = now
		m.resumeAwaitingReplicas(now)
	}
	m.updateTopology(view, update)
	for _, address := range update.Registries {
		if !slices.Contains(m.registryAddresses, address) {
			m.registryAddresses = append(m.registryAddresses, address)
			m.nextUpdateRequest = now
		}
	}
	m.updateTable(now, update)
	m.updateFetch(now, from, view, update)
	fresh := update.ConfirmationAge >= 0 && update.ConfirmationAge < m.params.HeartbeatInterval
	if fresh && update.TableNumber == 0 {
		m.noTableConfirmed = true
	}
	if m.pending != nil && (m.table == nil || m.table.Number < m.pending.Number) &&
		(m.table != nil || fresh && update.TableNumber <= m.pending.Number || now > m.started+firstTableHeartbeats*m.params.HeartbeatInterval) {
		m.installTable(now)
	}
	if m.table != nil && update.TableNumber == m.table.Number && update.ConfirmationAge >= 0 {
		m.confirmedAt = max(m.confirmedAt, now-update.ConfirmationAge)
	}
}

func (m *Machine) resumeAwaitingReplicas(now time.Duration) {
	waiting := m.awaitingReplicas
	m.awaitingReplicas = nil
	for _, req := range waiting {
		if !req.completed {
			m.sendWhenReady(now, req)
		}
	}
}

// dropSilentRegistries forgets registries that were silent for long while another is alive, as they
// may have been replaced at new addresses. If one returns, other registries name it.
func (m *Machine) dropSilentRegistries(now time.Duration) {
	anyAlive := false
	for _, view := range m.registries {
		anyAlive = anyAlive || view.alive(now, m.params.HeartbeatInterval)
	}
	if !anyAlive {
		return
	}
	m.registryAddresses = slices.DeleteFunc(m.registryAddresses, func(address string) bool {
		view := m.registries[address]
		if view == nil {
			// Named by another registry; it has sent no update yet.
			view = &registryView{replicas: map[string]listing{}, lastUpdateAt: now}
			m.registries[address] = view
		}
		if now <= view.lastUpdateAt+departedHeartbeats*m.params.HeartbeatInterval {
			return false
		}
		delete(m.registries, address)
		return true
	})
}

// requestUpdate also acknowledges the versions last received from the registry.
func (m *Machine) requestUpdate(to string) {
	subscription := registry.Subscribe{
		Node:                   m.id,
		AcceptsDifferences:     true,
		AcceptsTopologyChanges: true,
		WholeOnRequest:         true,
		Whole:                  m.fetch.from == to,
	}
	if m.pending != nil && !m.needsFullTable {
		subscription.Table = m.pending.Number
	}
	if view := m.registries[to]; view != nil {
		subscription.Incarnation, subscription.Version = view.incarnation, view.version
		subscription.TopologyVersion = view.topologyVersion
	}
	if subscription.TopologyVersion == 0 {
		subscription.TopologyDigest = m.topologyDigest()
	}
	m.send(to, subscription)
}

// Tick advances the machine to the given time.
func (m *Machine) Tick(now time.Duration) Output {
	m.out = &Output{}
	m.checkInvariants(now)
	m.departed.expire(now - departedHeartbeats*m.params.HeartbeatInterval)
	m.caller.Tick(now)
	m.checkCores(now)
	m.reportLoads(now)
	m.observeLoad(now)
	if now >= m.nextUpdateRequest {
		m.nextUpdateRequest = now + m.params.UpdateInterval
		m.dropSilentRegistries(now)
		m.forgetCrowded(now)
		targets := append([]string(nil), m.registryAddresses...)
		for _, seed := range m.seeds {
			if !slices.Contains(targets, seed) {
				targets = append(targets, seed)
			}
		}
		m.chooseFetch(now, targets)
		for _, to := range targets {
			m.requestUpdate(to)
		}
	}
	if now >= m.drawAt {
		m.drawAt = now + m.params.RateWindow/drawChecksPerWindow
		m.drawRates(now)
	}
	for _, ticket := range ordered.Keys(m.active) {
		if req := m.active[ticket]; now >= req.admissionDeadline && req.state == stateAdmitting {
			m.refuse(now, req, CauseAdmissionTimeout)
		}
	}
	return *m.out
}

// Ready reports whether a load balancer should send requests to this node.
func (m *Machine) Ready(now time.Duration) bool {
	return !m.draining && (m.table != nil || m.noTableConfirmed) && m.coresResponsive(now)
}

// Drain makes the node report that it is not ready. Requests in progress continue.
func (m *Machine) Drain() { m.draining = true }

// Status returns counters and gauges by metric name.
func (m *Machine) Status(now time.Duration) map[string]int64 {
	counters := m.Counters
	replicas := 0
	for _, s := range m.services {
		replicas += len(s.replicas)
	}
	status := map[string]int64{
		"requests":          counters.Requests,
		"sent":              counters.Sent,
		"whole":             counters.Completed,
		"broken":            counters.Interrupted,
		"not_run":           counters.NotRun,
		"resent":            counters.Resent,
		"resumed":           counters.Resumed,
		"turns":             counters.Turns,
		"cache_hits":        counters.CacheHits,
		"cache_misses":      counters.CacheMisses,
		"draws":             counters.Draws,
		"drawn":             counters.DrawsAnswered,
		"bulletins":         counters.Updates,
		"bad_messages":      counters.BadMessages,
		"bad_differences":   counters.BadDifferences,
		"tables_unreadable": m.unreadable,
		"new_connections":   counters.NewConnections,
		"settles":           counters.Settlements,
		"loads_heard":       m.loadUpdates,
		"live":              int64(len(m.active)),
		"replicas":          int64(replicas),
		"table":             int64(m.TableNumber()),
		"tenants_held":      int64(len(m.rates)),
		"cache_bytes":       m.cache.bytes,
		"history_bytes":     m.cache.usedBytes,
		"turn_reads":        m.turnReads,
		"commands_waiting":  int64(m.caller.Pending()),
		"command_tries":     m.caller.Attempts,
	}
	for cause, count := range m.byCause {
		status["ended_"+string(cause)] = count
	}
	return status
}

// Describe summarizes for logs the state on which readiness depends.
func (m *Machine) Describe(now time.Duration) string {
	return fmt.Sprintf("table %d, %d registries, %d cores", m.TableNumber(), len(m.registries), len(m.topology.Cores))
}
