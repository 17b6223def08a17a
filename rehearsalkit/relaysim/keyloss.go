package relaysim

import (
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/message"
)

// Moments in an operation's course at which the scenario keyloss injects a loss.
const (
	momentClaim   = "the claim is sent"
	momentClaimed = "the claim is answered"
	momentRun     = "the operation runs"
	momentAnswer  = "the operation has run"
	momentStore   = "the outcome is sent to the store"
)

// Losses of the scenario keyloss, of the operation's node or of the leader that stores its key.
const (
	lossNodeKilled   = "node killed"
	lossNodeFrozen   = "node frozen"
	lossLeaderKilled = "leader killed"
	lossLeaderFrozen = "leader frozen"
	lossLeaderPower  = "leader without power"
	lossAllPower     = "all without power"
)

func keyLossMoments() []string {
	return []string{momentClaim, momentClaimed, momentRun, momentAnswer, momentStore}
}

func keyLosses() []string {
	return []string{lossNodeKilled, lossNodeFrozen, lossLeaderKilled, lossLeaderFrozen, lossLeaderPower, lossAllPower}
}

const (
	keyLossDuration = 60 * time.Second
	longestKeyLoss  = 2 * time.Second
	// keyLossRecovery is the time between a loss and the next.
	keyLossRecovery = 1500 * time.Millisecond
	// repeatsAtWindowEnd is how often an operation is repeated at the end of its key's window.
	repeatsAtWindowEnd = 5
)

// keyLoss injects one loss after the other, each at a moment of some operation.
type keyLoss struct {
	world *World
	// moment and loss are the next to inject; armed while the moment is awaited.
	armed        bool
	moment, loss string
	injected     int
}

func keyLossParams(seed uint64) Params {
	p := Defaults(seed)
	p.Faults, p.Closing = false, ""
	p.Nodes, p.Cores = 3, 3
	p.Workload = Workload{KeyedRequesters: 6, Operators: 1}
	return p
}

// playKeyLoss loses nodes and leaders between the steps of operations with keys.
func playKeyLoss(w *World) *Findings {
	findings := newFindings(w)
	w.startFleet(w.applyFirstTable)
	w.runUntil(startupTime)
	w.faultsUntil = startupTime + keyLossDuration
	w.Record.End = w.faultsUntil + recoveryTime
	k := &keyLoss{world: w}
	w.observers.sent, w.observers.delivered, w.observers.operation = k.sent, k.delivered, k.reached
	w.startWorkload()
	k.plan()
	w.after(w.Record.End-windDownTime-w.now, w.readFinalTable)
	w.runUntil(w.Record.End)
	findings.Breaches = append(findings.Breaches, w.judge()...)
	return findings
}

// plan arms the next loss. Successive losses combine all moments with all losses.
func (k *keyLoss) plan() {
	w := k.world
	if w.now > w.faultsUntil {
		return
	}
	moments, losses := keyLossMoments(), keyLosses()
	at := k.injected + int(w.Params.Seed)
	k.moment, k.loss = moments[at%len(moments)], losses[at%len(losses)]
	k.armed = true
}

// sent finds claims and outcomes on their way from nodes to the cores.
func (k *keyLoss) sent(from *process, _ string, body any) {
	command, ok := body.(core.Command)
	if !ok || from.node == nil || !k.armed {
		return
	}
	opened, err := message.Open(command.Raw)
	if err != nil {
		return
	}
	switch claim := opened.(type) {
	case core.ClaimKey:
		k.inject(momentClaim, from, command.Partition, k.world.operationNamed(claim.Tenant, claim.Key))
	case core.EndKey:
		k.inject(momentStore, from, command.Partition, k.world.operationNamed(claim.Tenant, claim.Key))
	}
}

// delivered finds won claims at the moment before their operation is sent.
func (k *keyLoss) delivered(_ string, to *process, body any) {
	result, ok := body.(core.CommandResult)
	if !ok || to.node == nil || result.Raw == nil || !k.armed {
		return
	}
	opened, err := message.Open(result.Raw)
	if err != nil {
		return
	}
	if key, ok := opened.(core.KeyResult); ok && key.State == core.KeyClaimed {
		// The partition is not in the result; any leader's loss does.
		k.inject(momentClaimed, to, k.world.random.IntN(max(k.world.partitions(), 1)), nil)
	}
}

func (k *keyLoss) reached(moment string, request *activeRequest) {
	r := request.request
	claim := core.ClaimKey{Tenant: r.Tenant, Key: r.Operation}
	if partitions := k.world.partitions(); k.armed && partitions > 0 {
		k.inject(moment, request.node, core.TargetPartition(partitions, claim), k.world.operationNamed(r.Tenant, r.Operation))
	}
}

// inject injects the armed loss if this is its moment, at once or within a message's delay. The
// operation is repeated around the end of its window, if it is known.
func (k *keyLoss) inject(moment string, node *process, partition int, o *operation) {
	w := k.world
	if moment != k.moment {
		return
	}
	k.armed = false
	delay := time.Duration(0)
	if w.chance(0.5) {
		delay = w.between(0, maxMessageDelay)
	}
	length := w.between(50*time.Millisecond, longestKeyLoss)
	lose := func() { k.lose(node, w.leaderOf(partition), length) }
	if delay == 0 {
		lose()
	} else {
		w.after(delay, lose)
	}
	for range repeatsAtWindowEnd {
		if o != nil {
			w.after(keyWindow+w.between(-length, length), o.attempt)
		}
	}
	w.after(delay+length+keyLossRecovery, func() {
		k.injected++
		k.plan()
	})
}

func (k *keyLoss) lose(node *process, leader *store, length time.Duration) {
	w := k.world
	switch k.loss {
	case lossNodeKilled:
		w.outage(node, node.id, "killed", length, node.kill, node.boot)
	case lossNodeFrozen:
		w.outage(node, node.id, "frozen", length, func() { node.frozen = true }, node.wake)
	case lossAllPower:
		k.loseAllPower(length)
	default:
		if leader == nil {
			return
		}
		p := leader.core
		switch k.loss {
		case lossLeaderKilled:
			w.outage(p, AnyStore, "process of a store killed", length, p.kill, p.boot)
		case lossLeaderFrozen:
			w.outage(p, AnyStore, "store frozen", length, func() { p.frozen = true }, p.wake)
		case lossLeaderPower:
			w.losePower(leader, false, length)
		}
	}
	w.Counts["loss when "+k.moment+": "+k.loss]++
}

func (k *keyLoss) loseAllPower(length time.Duration) {
	w := k.world
	for _, s := range w.presentStores() {
		w.losePower(s, false, w.between(minRestart, maxRestart))
	}
	for _, n := range w.nodes {
		w.outage(n, n.id, "killed", length, n.kill, n.boot)
	}
}
