package registry

import (
	"fmt"
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/ordered"
)

// FoundingDuty is the stored duty of the one registry that may found a fleet. It outlives a restart,
// and a plan once stored is the only one that this registry ever sends.
type FoundingDuty struct {
	MayFound bool
	// Plan is the founding that was decided on; nil before.
	Plan *core.Founding
}

// founding is the state of a fleet's founding as this registry sees it.
type founding struct {
	duty FoundingDuty
	// unfounded are the cores that announced that they belong to no fleet, by ID.
	unfounded          map[string]unfoundedCore
	unfoundedChangedAt time.Duration
	sendAt             time.Duration
}

// unfoundedCore is a core without a fleet. Unless its disk may found one, it may have lost the disk
// of a fleet's core.
type unfoundedCore struct {
	core     core.Core
	mayFound bool
}

// foundingRetriesPerSettleTime is how often a founding is sent per settle time.
const foundingRetriesPerSettleTime = 4

// recordUnfounded records the announcement of a core before this registry knows a fleet.
func (f *founding) recordUnfounded(now time.Duration, announced core.AnnounceCore) {
	if announced.Fleet != "" {
		if f.duty.Plan == nil {
			f.duty.MayFound = false // another fleet exists
		}
		return
	}
	before, known := f.unfounded[announced.Core.ID]
	if !known || before.core.Incarnation != announced.Core.Incarnation {
		f.unfoundedChangedAt = now
	}
	f.unfounded[announced.Core.ID] = unfoundedCore{core: announced.Core, mayFound: announced.MayFound}
}

// founders returns the cores whose disks may found a fleet.
func (f *founding) founders() []core.Core {
	var cores []core.Core
	for _, id := range ordered.Keys(f.unfounded) {
		if unfounded := f.unfounded[id]; unfounded.mayFound {
			cores = append(cores, unfounded.core)
		}
	}
	return cores
}

// sendFounding founds the fleet once enough cores have announced themselves and no new one has
// appeared for a heartbeat interval. It goes on until the fleet has leaders.
func (m *Machine) sendFounding(now time.Duration) {
	settleTime := m.params.HeartbeatInterval
	if !m.founding.duty.MayFound || len(m.topology.Leaders) > 0 || now < m.founding.sendAt {
		return
	}
	if m.founding.duty.Plan == nil {
		if now < m.founding.unfoundedChangedAt+settleTime || !m.planFounding() {
			return
		}
		duty := m.founding.duty
		m.out.FoundingDuty = &duty
	}
	m.founding.sendAt = now + settleTime/foundingRetriesPerSettleTime
	plan := *m.founding.duty.Plan
	for _, id := range ordered.Keys(plan.Cores) {
		m.addSend(plan.Cores[id].Peer, core.FoundFleet{Founding: plan})
	}
}

// planFounding plans the founding if there are cores for a whole group, and a majority of one may
// found. The others join the fleet without a vote and then fill the groups.
func (m *Machine) planFounding() bool {
	founders := m.founding.founders()
	if len(m.founding.unfounded) < m.params.GroupSize || len(founders) < m.params.GroupSize/2+1 {
		return false
	}
	plan := m.params.Core.Domains.PlanFleet(
		fmt.Sprintf("%s-%s", m.registryID, m.incarnation),
		1+m.params.PartitionsPerCore*len(m.founding.unfounded),
		m.params.GroupSize,
		founders,
	)
	m.founding.duty.Plan = &plan
	return true
}

// AbandonFounding ends the founding, because its plan could not be stored.
func (m *Machine) AbandonFounding() { m.founding.duty = FoundingDuty{} }
