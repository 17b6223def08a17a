package relaysim

import (
	"fmt"
	"slices"
	"time"

	"saffronfall/peer/core"
	"saffronfall/peer/desk"
	"saffronfall/rule/ordered"
	"saffronfall/rule/partition"
)

// health watches what desks tell nodes, and whether the fleet is whole.
type health struct {
	world *World
	book  *orderBook
	// told is what each desk told a node last.
	told map[string]toldNews
	// asked has the pulls of nodes that wait for a desk's answer.
	asked map[[2]string]*deskCall
}

type toldNews struct {
	at       time.Duration
	bulletin desk.Update
}

// clockSlack is what clocks that run apart may make of a desk's age of its news.
const clockSlack = 50 * time.Millisecond

func (w *World) watchHealth(b *orderBook) *health {
	h := &health{world: w, book: b, told: map[string]toldNews{}, asked: map[[2]string]*deskCall{}}
	w.watch.sent, w.watch.delivered = h.sent, h.delivered
	return h
}

func (h *health) delivered(from string, to *process, body any) {
	ask, ok := body.(desk.Subscribe)
	if !ok || !to.isDesk || ask.IsDesk {
		return
	}
	kind := callPull
	if ask.Incarnation == "" {
		kind = callFirst
	}
	h.asked[[2]string{to.address, from}] = h.book.begin(kind, to)
}

// sent judges what desks tell: what they say of the age of their news must be
// true of the tables that were acknowledged before.
func (h *health) sent(from *process, to string, body any) {
	news, ok := body.(desk.Update)
	if !ok || !from.isDesk {
		return
	}
	fresh := news.ConfirmationAge >= 0 && news.ConfirmationAge < contact
	pair := [2]string{from.address, to}
	if c := h.asked[pair]; c != nil {
		h.book.end(c, fresh)
		delete(h.asked, pair)
	}
	w := h.world
	h.told[from.id] = toldNews{at: w.now, bulletin: news}
	if news.ConfirmationAge < 0 {
		return
	}
	for i := len(h.book.acked) - 1; i >= 0; i-- {
		o := h.book.acked[i]
		if o.Number > news.TableNumber && o.Acked < w.now-news.ConfirmationAge-clockSlack {
			h.book.findings.breach(RuleNewest, "%s said at %v that table %d was the newest %v ago, and %d had been acknowledged at %v", from.id, w.now, news.TableNumber, news.ConfirmationAge, o.Number, o.Acked)
		}
		if o.Acked < w.now-10*catchUp {
			return
		}
	}
}

// lacks tells what the fleet lacks of being whole; empty: nothing.
func (h *health) lacks() string {
	w := h.world
	if missing := w.partsLack(); missing != "" {
		return missing
	}
	for _, s := range w.present() {
		if s.desk == nil {
			continue
		}
		if told := h.told[s.desk.id]; !s.desk.alive || w.now-told.at > beatPeriod || told.bulletin.ConfirmationAge < 0 || told.bulletin.ConfirmationAge > beatPeriod {
			return s.desk.id + " has no confirmed table"
		}
	}
	for _, n := range w.nodes {
		if !n.alive || !n.node.Ready(n.now()) {
			return n.id + " is not ready"
		}
	}
	return ""
}

// partsLack tells which part has no owner, or no group of the full size whose
// seats all have what was agreed.
func (w *World) partsLack() string {
	for n := 0; n < w.parts(); n++ {
		s := w.coreOf(n)
		if s == nil {
			return fmt.Sprintf("part %d has no owner", n)
		}
		owner := s.core.core.Partition(n)
		group, _ := owner.CommittedGroup()
		if len(group.Members) != w.deskParams().GroupSize || len(group.Former) > 0 {
			return fmt.Sprintf("part %d has the group %v, formerly %v", n, group.Members, group.Former)
		}
		for _, seat := range group.Members {
			if missing := w.seatLacks(owner, n, seat); missing != "" {
				return missing
			}
		}
	}
	return ""
}

// inFlight is by how many writes a seat that is whole may be behind.
const inFlight = 4

func (w *World) seatLacks(owner *partition.Machine, n int, seat string) string {
	i := slices.IndexFunc(w.stores, func(s *store) bool {
		return s.core.alive && s.core.core.Founded() && s.core.core.Self().MemberID() == seat
	})
	if i < 0 {
		return fmt.Sprintf("part %d: nobody is %s", n, seat)
	}
	machine := w.stores[i].core.core.Partition(n)
	if machine == nil {
		return fmt.Sprintf("part %d: %s has no copy", n, seat)
	}
	committed, _ := owner.CommittedVersion()
	copied := machine.State().Entries
	for key, e := range owner.State().Entries {
		settled := e.Version.Term == committed.Term && e.Version.Seq+inFlight <= committed.Seq
		if settled && !e.Deleted && copied[key].Version != e.Version {
			return fmt.Sprintf("part %d: %s lacks %s", n, seat, key)
		}
	}
	return ""
}

// placementLacks tells which part's group is not the one that the cores that
// there are should have.
func (w *World) placementLacks() string {
	owner := w.coreOf(core.ConfigurationPartition)
	if owner == nil {
		return "the configuration's part has no owner"
	}
	known := owner.core.core.Topology().Cores
	var cores []core.Core
	silent := map[string]bool{}
	for _, id := range ordered.Keys(known) {
		cores = append(cores, known[id])
		silent[id] = true
	}
	for _, s := range w.present() {
		if silent[s.core.id] = !s.core.alive; known[s.core.id].ID == "" {
			return "the fleet does not know " + s.core.id
		}
	}
	for n, wanted := range core.Place(w.parts(), w.deskParams().GroupSize, cores, silent) {
		s := w.coreOf(n)
		if s == nil {
			return fmt.Sprintf("part %d has no owner", n)
		}
		group, _ := s.core.core.Partition(n).CommittedGroup()
		seats := slices.Clone(group.Members)
		slices.Sort(seats)
		slices.Sort(wanted)
		if !slices.Equal(seats, wanted) {
			return fmt.Sprintf("part %d has the group %v and should have %v", n, seats, wanted)
		}
	}
	return ""
}

// parts is how many parts the fleet has; zero: it is not founded.
func (w *World) parts() int {
	for _, s := range w.present() {
		if s.core.alive && s.core.core.Founded() {
			return s.core.core.Founding().Partitions
		}
	}
	return 0
}

// untilWhole asks again and again until the fleet is whole, and then tells how
// long that took.
func (h *health) untilWhole(from time.Duration, done func(took time.Duration)) {
	w := h.world
	if h.lacks() == "" {
		done(w.now - from)
		return
	}
	w.after(50*time.Millisecond, func() { h.untilWhole(from, done) })
}
