package relaysim

import (
	"fmt"
	"slices"
	"time"

	"saffronfall/peer/core"
	"saffronfall/peer/registry"
	"saffronfall/rule/ordered"
	"saffronfall/rule/partition"
)

// health judges the fleet's health by the updates from registries to nodes.
type health struct {
	world       *World
	history     *orderHistory
	lastUpdates map[string]lastUpdate
	// pendingPulls holds unanswered pulls by registry and node address.
	pendingPulls map[[2]string]*registryCall
}

type lastUpdate struct {
	at     time.Duration
	update registry.Update
}

// clockSlack allows for clock drift in a registry's confirmation age.
const clockSlack = 50 * time.Millisecond

func (w *World) watchHealth(history *orderHistory) *health {
	h := &health{world: w, history: history, lastUpdates: map[string]lastUpdate{}, pendingPulls: map[[2]string]*registryCall{}}
	w.observers.sent, w.observers.delivered = h.sent, h.delivered
	return h
}

func (h *health) delivered(from string, to *process, body any) {
	subscribe, ok := body.(registry.Subscribe)
	if !ok || !to.isRegistry || subscribe.IsRegistry {
		return
	}
	kind := callPull
	if subscribe.Incarnation == "" {
		kind = callFirstPull
	}
	h.pendingPulls[[2]string{to.address, from}] = h.history.beginCall(kind, to)
}

// sent records a registry's update and checks its confirmation age against acknowledged tables.
func (h *health) sent(from *process, to string, body any) {
	update, ok := body.(registry.Update)
	if !ok || !from.isRegistry {
		return
	}
	fresh := update.ConfirmationAge >= 0 && update.ConfirmationAge < contactTimeout
	pair := [2]string{from.address, to}
	if c := h.pendingPulls[pair]; c != nil {
		h.history.endCall(c, fresh)
		delete(h.pendingPulls, pair)
	}
	w := h.world
	h.lastUpdates[from.id] = lastUpdate{at: w.now, update: update}
	if update.ConfirmationAge < 0 {
		return
	}
	for i := len(h.history.acked) - 1; i >= 0; i-- {
		o := h.history.acked[i]
		if o.Number > update.TableNumber && o.AckedAt < w.now-update.ConfirmationAge-clockSlack {
			h.history.findings.breach(RuleNewestTable,
				"%s said at %v that table %d was the newest %v ago, and %d had been acknowledged at %v",
				from.id, w.now, update.TableNumber, update.ConfirmationAge, o.Number, o.AckedAt)
		}
		if o.AckedAt < w.now-10*catchUpTime {
			return
		}
	}
}

// problem describes why the fleet is not healthy; empty if it is.
func (h *health) problem() string {
	w := h.world
	if missing := w.partitionProblem(); missing != "" {
		return missing
	}
	for _, s := range w.presentStores() {
		if s.registry == nil {
			continue
		}
		if reported := h.lastUpdates[s.registry.id]; !s.registry.alive ||
			w.now-reported.at > heartbeatInterval ||
			reported.update.ConfirmationAge < 0 || reported.update.ConfirmationAge > heartbeatInterval {
			return s.registry.id + " has no confirmed table"
		}
	}
	for _, n := range w.nodes {
		if !n.alive || !n.node.Ready(n.now()) {
			return n.id + " is not ready"
		}
	}
	return ""
}

// partitionProblem describes a partition without a leader or full group, or with a member that
// lacks committed data; empty if there is none.
func (w *World) partitionProblem() string {
	for n := 0; n < w.partitions(); n++ {
		s := w.leaderOf(n)
		if s == nil {
			return fmt.Sprintf("part %d has no owner", n)
		}
		leader := s.core.core.Partition(n)
		group, _ := leader.CommittedGroup()
		if len(group.Members) != w.registryParams().GroupSize || len(group.Former) > 0 {
			return fmt.Sprintf("part %d has the group %v, formerly %v", n, group.Members, group.Former)
		}
		for _, member := range group.Members {
			if missing := w.memberProblem(leader, n, member); missing != "" {
				return missing
			}
		}
	}
	return ""
}

// maxInFlight is how many writes an up-to-date member may be behind.
const maxInFlight = 4

func (w *World) memberProblem(leader *partition.Machine, n int, member string) string {
	i := slices.IndexFunc(w.stores, func(s *store) bool {
		return s.core.alive && s.core.core.Founded() && s.core.core.Self().MemberID() == member
	})
	if i < 0 {
		return fmt.Sprintf("part %d: nobody is %s", n, member)
	}
	machine := w.stores[i].core.core.Partition(n)
	if machine == nil {
		return fmt.Sprintf("part %d: %s has no copy", n, member)
	}
	committed, _ := leader.CommittedVersion()
	copied := machine.State().Entries
	for key, e := range leader.State().Entries {
		settled := e.Version.Term == committed.Term && e.Version.Seq+maxInFlight <= committed.Seq
		if settled && !e.Deleted && copied[key].Version != e.Version {
			return fmt.Sprintf("part %d: %s lacks %s", n, member, key)
		}
	}
	return ""
}

// placementProblem describes a partition whose group differs from the placement over the present
// cores; empty if there is none.
func (w *World) placementProblem() string {
	leader := w.leaderOf(core.ConfigurationPartition)
	if leader == nil {
		return "the configuration's part has no owner"
	}
	known := leader.core.core.Topology().Cores
	var cores []core.Core
	silent := map[string]bool{}
	for _, id := range ordered.Keys(known) {
		cores = append(cores, known[id])
		silent[id] = true
	}
	for _, s := range w.presentStores() {
		if silent[s.core.id] = !s.core.alive; known[s.core.id].ID == "" {
			return "the fleet does not know " + s.core.id
		}
	}
	for n, wanted := range core.Place(w.partitions(), w.registryParams().GroupSize, cores, silent) {
		s := w.leaderOf(n)
		if s == nil {
			return fmt.Sprintf("part %d has no owner", n)
		}
		group, _ := s.core.core.Partition(n).CommittedGroup()
		members := slices.Clone(group.Members)
		slices.Sort(members)
		slices.Sort(wanted)
		if !slices.Equal(members, wanted) {
			return fmt.Sprintf("part %d has the group %v and should have %v", n, members, wanted)
		}
	}
	return ""
}

// partitions is zero before the fleet is founded.
func (w *World) partitions() int {
	for _, s := range w.presentStores() {
		if s.core.alive && s.core.core.Founded() {
			return s.core.core.Founding().Partitions
		}
	}
	return 0
}

// awaitHealthy calls done with the time since from once the fleet is healthy.
func (h *health) awaitHealthy(from time.Duration, done func(took time.Duration)) {
	w := h.world
	if h.problem() == "" {
		done(w.now - from)
		return
	}
	w.after(50*time.Millisecond, func() { h.awaitHealthy(from, done) })
}

// judgeClosingFault injects the closing fault and requires a healthy fleet within the recovery time.
func (h *health) judgeClosingFault(findings *Findings) {
	w := h.world
	w.injectClosingFault()
	w.Advance(maxRestart)
	restored := w.now
	problem := h.problem()
	for problem != "" && w.now < restored+recoveryTime {
		w.Advance(100 * time.Millisecond)
		problem = h.problem()
	}
	if problem != "" {
		findings.breach(RuleRecovery, "%v after all machines were back: %s", w.now-restored, problem)
		return
	}
	findings.recordDuration("whole after the closing fault, "+w.Params.Closing, w.now-restored)
}
