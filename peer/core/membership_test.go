package core

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"saffronfall/rule/message"
	"saffronfall/rule/partition"
)

const (
	testPartitions = 13
	settleTime     = 4400 * time.Millisecond
	testStep       = 5 * time.Millisecond
)

type testCore struct {
	id, zone, address string
	m                 *Machine
	stored            Stored
	pending           []delayedWrite
	frozen, lost      bool
	cold              bool
	tickAt            time.Duration
	inbox             []delivery
}

type delayedWrite struct {
	due     time.Duration
	changes []Change
	sends   []Send
}

type delivery struct {
	due      time.Duration
	from, to string
	raw      []byte
}

type fleet struct {
	t            *testing.T
	now          time.Duration
	size         int
	params       Params
	random       *rand.Rand
	cores        []*testCore
	inFlight     []delivery
	drop         func(from, to string, body any) bool
	answers      map[uint64]any
	lastTicket   uint64
	incarnations int
	claims       map[string]string
	sentByType   map[string]int
	// lostMembers are incarnations whose replicas are permanently lost.
	lostMembers map[string]bool
	// retired is the ID of a core that must not rejoin the fleet.
	retired string
}

func newFleet(t *testing.T, size, cores int) *fleet {
	testFleet := &fleet{t: t, size: size, random: rand.New(rand.NewPCG(7, uint64(cores))), answers: map[uint64]any{}, claims: map[string]string{}, sentByType: map[string]int{}, lostMembers: map[string]bool{},
		params: Params{Partition: partition.Params{LeaseDuration: 500 * time.Millisecond, Drift: 0.1, RenewalsPerLease: 5, LeasesPerSweep: 40, LeasesBeforeTransfer: 20}, MemberLease: 2 * time.Second,
			AttemptTimeout: 150 * time.Millisecond, PullInterval: 150 * time.Millisecond, SilenceTimeout: 2 * time.Second}}
	var founders []Core
	for i := 0; i < cores; i++ {
		added := testFleet.addCore(fmt.Sprintf("c%d", i+1))
		testFleet.start(added)
		founders = append(founders, added.m.Self())
	}
	first := testFleet.cores[0]
	testFleet.handle(first, first.m.Receive(testFleet.now, "desk", FoundFleet{Founding: FailureDomains{}.PlanFleet("f", testPartitions, size, founders)}))
	testFleet.advance(2 * time.Second)
	for i := 0; i < 150; i++ {
		testFleet.claim(i)
	}
	testFleet.awaitSettled("after the founding", settleTime)
	return testFleet
}

func (f *fleet) tolerateSilence() {
	f.params.SilenceTimeout = time.Minute
	for _, core := range f.cores {
		core.m.params.SilenceTimeout = time.Minute
	}
}

// addCore adds a core with an empty disk, not started.
func (f *fleet) addCore(id string) *testCore {
	n := len(f.cores)
	core := &testCore{id: id, zone: fmt.Sprintf("z%d", n%3), address: fmt.Sprintf("a%d", n), cold: true}
	f.cores = append(f.cores, core)
	f.wipe(core)
	return core
}

// wipe empties a core's disk, which begins a new incarnation.
func (f *fleet) wipe(core *testCore) {
	if core.stored.Incarnation != "" {
		f.lostMembers[core.id+"."+core.stored.Incarnation] = true
	}
	f.incarnations++
	core.stored = Stored{Incarnation: fmt.Sprint(f.incarnations)}
}

func (f *fleet) start(core *testCore) {
	var image Stored
	core.stored.MayFound = core.cold
	image.CopyFrom(core.stored)
	core.pending, core.inbox, core.frozen, core.lost, core.tickAt = nil, nil, false, false, 0
	core.m = New(Options{Params: f.params, ID: core.id, Zone: core.zone, Address: core.address, Seeds: []string{"a0", "a1", "a2", "a3", "a4"}, Stored: image, Now: f.now, Random: f.random.Float64})
}

// kill stops a core; changes that were not synced are lost.
func (f *fleet) kill(core *testCore) { core.m, core.pending = nil, nil }

func (f *fleet) losePermanently(core *testCore) {
	f.kill(core)
	core.lost = true
	f.lostMembers[core.id+"."+core.stored.Incarnation] = true
}

func (f *fleet) handle(core *testCore, output Output) {
	var unsynced []Send
	for _, s := range output.Sends {
		if s.Synced && (len(output.Changes) > 0 || len(core.pending) > 0) {
			unsynced = append(unsynced, s)
			continue
		}
		f.send(core, s)
	}
	if len(output.Changes) > 0 || len(unsynced) > 0 {
		core.pending = append(core.pending, delayedWrite{due: f.now + testStep, changes: output.Changes, sends: unsynced})
	}
	for _, a := range output.Answers {
		f.answers[a.Ticket] = a.Body
	}
}

func (f *fleet) send(core *testCore, s Send) {
	kind := fmt.Sprintf("%T", s.Body)
	if p, ok := s.Body.(ReplicaMessage); ok {
		inner, _ := message.Open(p.Raw)
		kind = fmt.Sprintf("%T", inner)
	}
	f.sentByType[kind]++
	if f.drop != nil && f.drop(core.address, s.To, s.Body) {
		return
	}
	f.inFlight = append(f.inFlight, delivery{due: f.now + testStep, from: core.address, to: s.To, raw: message.Pack(s.Body)})
}

func (f *fleet) coreAt(address string) *testCore {
	for i := len(f.cores) - 1; i >= 0; i-- {
		if core := f.cores[i]; core.address == address && core.m != nil {
			return core
		}
	}
	return nil
}

func (f *fleet) deliver(p delivery) {
	core := f.coreAt(p.to)
	switch {
	case core == nil:
	case core.frozen:
		core.inbox = append(core.inbox, p)
	default:
		body, err := message.Open(p.raw)
		if err != nil {
			f.t.Fatal(err)
		}
		f.handle(core, core.m.Receive(f.now, p.from, body))
	}
}

func (f *fleet) step() {
	f.now += testStep
	var due, rest []delivery
	for _, p := range f.inFlight {
		if p.due <= f.now {
			due = append(due, p)
		} else {
			rest = append(rest, p)
		}
	}
	f.inFlight = rest
	for _, core := range f.cores {
		if core.frozen {
			continue
		}
		ready := core.pending
		core.pending = nil
		for i, p := range ready {
			if p.due > f.now {
				core.pending = ready[i:]
				break
			}
			for _, c := range p.changes {
				var again Change
				if err := message.Unmarshal(message.Marshal(c), &again); err != nil {
					f.t.Fatal(err)
				}
				core.stored.Apply(again)
			}
			for _, s := range p.sends {
				f.send(core, s)
			}
		}
	}
	for _, p := range due {
		f.deliver(p)
	}
	for _, core := range f.cores {
		if core.m != nil && !core.frozen && f.now >= core.tickAt {
			core.tickAt = f.now + f.params.Partition.LeaseDuration/20
			f.handle(core, core.m.Tick(f.now))
		}
	}
	f.checkLosses()
}

// resume also delivers the messages that arrived meanwhile.
func (f *fleet) resume(core *testCore) {
	core.frozen = false
	backlog := core.inbox
	core.inbox = nil
	for _, p := range backlog {
		f.deliver(p)
	}
}

// checkLosses checks that no group has lost more replicas than it tolerates.
func (f *fleet) checkLosses() {
	for n := 0; n < testPartitions; n++ {
		_, g, ok := f.leader(n)
		if !ok {
			continue
		}
		for _, members := range [][]string{g.Members, g.Former} {
			lost := 0
			for _, member := range members {
				if f.lostMembers[member] {
					lost++
				}
			}
			if lost > f.size/2 {
				f.t.Fatalf("%v: partition %d has lost %d replicas of %v", f.now, n, lost, members)
			}
		}
	}
}

func (f *fleet) advance(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.step()
	}
}

func (f *fleet) leader(n int) (*testCore, partition.Group, bool) {
	for _, core := range f.cores {
		if core.m == nil || core.frozen || core.m.Partition(n) == nil {
			continue
		}
		if _, ok := core.m.Partition(n).LeadingTerm(f.now); ok {
			g, _ := core.m.Partition(n).CommittedGroup()
			return core, g, true
		}
	}
	return nil, partition.Group{}, false
}

func (f *fleet) call(command any) any {
	f.t.Helper()
	f.lastTicket++
	ticket := f.lastTicket
	for _, core := range f.cores {
		if core.m != nil && !core.frozen && core.m.Founded() {
			f.handle(core, core.m.RunCommand(f.now, ticket, command, 4*time.Second))
			break
		}
	}
	for end := f.now + 5*time.Second; f.now < end; {
		if a, ok := f.answers[ticket]; ok {
			return a.(Outcome).Answer
		}
		f.step()
	}
	f.t.Fatalf("%v: no answer to %T arrived", f.now, command)
	return nil
}

func (f *fleet) claim(i int) {
	f.t.Helper()
	key, claim := fmt.Sprint("k", i), fmt.Sprint("first ", i)
	if o, ok := f.call(ClaimOnce{Tenant: "t", Service: "s", Key: key, Claim: claim, Retention: time.Hour}).(OnceRecord); !ok || o.Claim != claim {
		f.t.Fatalf("%v: the claim of %s was not stored: %+v", f.now, key, o)
	}
	f.claims[key] = claim
}

func (f *fleet) checkClaims() {
	f.t.Helper()
	for key, claim := range f.claims {
		if o, ok := f.call(ClaimOnce{Tenant: "t", Service: "s", Key: key, Claim: "other", Retention: time.Hour}).(OnceRecord); !ok || o.Claim != claim {
			f.t.Errorf("%v: %s was acknowledged as %q but is %+v", f.now, key, claim, o)
		}
	}
}

// unsettled returns why the fleet has not reached its desired state, or "".
func (f *fleet) unsettled() string {
	replicas := map[string]int{}
	var active []Core
	for _, core := range f.cores {
		if core.m != nil && !core.frozen && !core.m.Founded() && core.id != f.retired {
			return core.id + " belongs to no fleet"
		}
		if core.m != nil && !core.frozen && core.m.Founded() && !core.m.Self().Retired {
			active = append(active, core.m.Self())
			replicas[core.m.Self().MemberID()] = 0
		}
	}
	for n := 0; n < testPartitions; n++ {
		leader, g, ok := f.leader(n)
		if !ok {
			return fmt.Sprintf("partition %d has no leader", n)
		}
		if len(g.Former) > 0 || len(g.Members) != min(f.size, len(active)) {
			return fmt.Sprintf("partition %d: %+v", n, g)
		}
		for _, member := range g.Members {
			if _, ok := replicas[member]; !ok {
				return fmt.Sprintf("partition %d: unexpected member %s in %v", n, member, g.Members)
			}
			replicas[member]++
			for _, core := range f.cores {
				if core.m == nil || core.m.Self().MemberID() != member {
					continue
				}
				p := core.m.Partition(n)
				if p == nil {
					return fmt.Sprintf("partition %d: %s has no replica", n, member)
				}
				for key, e := range leader.m.Partition(n).State().Entries {
					if stored, ok := core.stored.Replicas[n].Entries[key]; !e.Deleted && (!ok || stored.Version != e.Version) {
						return fmt.Sprintf("partition %d: the replica of %s lacks the entry %s", n, member, key)
					}
				}
			}
		}
	}
	if len(active) < f.size {
		return ""
	}
	for n, wanted := range f.params.Domains.Place(testPartitions, f.size, active, nil) {
		if _, g, ok := f.leader(n); ok && len(membershipMoves(n, g.Members, wanted)) > 0 {
			return fmt.Sprintf("partition %d: the group is %v and should be %v", n, g.Members, wanted)
		}
	}
	return ""
}

func (f *fleet) awaitSettled(when string, within time.Duration) time.Duration {
	f.t.Helper()
	began, reason := f.now, ""
	for f.now < began+within {
		if reason = f.unsettled(); reason == "" {
			f.t.Logf("%s: settled after %v", when, f.now-began)
			return f.now - began
		}
		f.step()
	}
	f.t.Fatalf("%s: not settled within %v: %s", when, within, reason)
	return 0
}

// epochSum grows with each group change.
func (f *fleet) epochSum() (n int) {
	for i := 0; i < testPartitions; i++ {
		if _, g, ok := f.leader(i); ok {
			n += int(g.Epoch)
		}
	}
	return n
}

func TestEmptiedCoreRejoins(t *testing.T) {
	for _, size := range []int{3, 5, 9, 11, 13} {
		testFleet := newFleet(t, size, size+2)
		testFleet.tolerateSilence()
		for _, core := range testFleet.cores[1 : 1+size/2] {
			testFleet.kill(core)
			testFleet.wipe(core)
		}
		testFleet.advance(300 * time.Millisecond)
		for _, core := range testFleet.cores[1 : 1+size/2] {
			testFleet.start(core)
		}
		testFleet.awaitSettled(fmt.Sprintf("groups of %d", size), settleTime)
		testFleet.checkClaims()
		next := testFleet.cores[4]
		testFleet.kill(next)
		testFleet.wipe(next)
		testFleet.start(next)
		testFleet.awaitSettled("the next loss", settleTime)
		testFleet.checkClaims()
	}
}

func TestCoreIsReplacedAtAnotherAddress(t *testing.T) {
	for _, name := range []string{"another name", "the same name"} {
		testFleet := newFleet(t, 3, 5)
		old := testFleet.cores[1]
		testFleet.losePermanently(old)
		testFleet.advance(300 * time.Millisecond)
		id := "fresh"
		if name == "the same name" {
			id = old.id
		}
		core := testFleet.addCore(id)
		core.cold = false
		testFleet.start(core)
		testFleet.awaitSettled(name, settleTime)
		testFleet.checkClaims()
		testFleet.losePermanently(testFleet.cores[2])
		testFleet.start(testFleet.addCore("next"))
		testFleet.awaitSettled("the next loss", settleTime)
		testFleet.checkClaims()
	}
}

// In the smallest fleet only a new core can take over the replicas of a lost one.
func TestSmallestFleetReplacesCores(t *testing.T) {
	testFleet := newFleet(t, 3, 3)
	for i := 0; i < 3; i++ {
		testFleet.losePermanently(testFleet.cores[i])
		testFleet.start(testFleet.addCore(fmt.Sprint("fresh", i)))
		testFleet.awaitSettled("a new core", settleTime)
		testFleet.checkClaims()
	}
}

func TestAddedCoreGetsItsShare(t *testing.T) {
	testFleet := newFleet(t, 3, 4)
	testFleet.start(testFleet.addCore("fresh"))
	testFleet.awaitSettled("a fifth core", settleTime)
	testFleet.checkClaims()
	before := testFleet.epochSum()
	testFleet.advance(10 * time.Second)
	if after := testFleet.epochSum(); after != before {
		t.Errorf("%d group changes in a settled fleet", after-before)
	}
}

// Retirement must succeed while another core restores its replicas, but not below the group size.
func TestRetiredWhileAnotherIsEmptied(t *testing.T) {
	testFleet := newFleet(t, 3, 5)
	if r := testFleet.call(RetireCore{ID: "nobody"}); r != (RetireCoreResult{}) {
		t.Errorf("retiring an unknown core: %+v", r)
	}
	if r := testFleet.call(RetireCore{ID: "c1"}); r != (RetireCoreResult{Found: true, EnoughRemain: true, Done: true}) {
		t.Errorf("retiring: %+v", r)
	}
	core := testFleet.cores[2]
	testFleet.kill(core)
	testFleet.wipe(core)
	testFleet.start(core)
	testFleet.awaitSettled("one core retired, one wiped", settleTime)
	testFleet.checkClaims()
	for n := 0; n < testPartitions; n++ {
		group, ok := testFleet.call(ReadGroup{Partition: n}).(GroupMembers)
		if !ok || len(group.Members) != 3 || len(group.Former) != 0 || slices.ContainsFunc(group.Members, func(member string) bool { return CoreID(member) == "c1" }) {
			t.Errorf("partition %d: %+v", n, group)
		}
	}
	if r := testFleet.call(RetireCore{ID: "c2"}); r != (RetireCoreResult{Found: true, EnoughRemain: true, Done: true}) {
		t.Errorf("retiring a second core: %+v", r)
	}
	if r := testFleet.call(RetireCore{ID: "c4"}); r != (RetireCoreResult{Found: true}) {
		t.Errorf("retiring one core too many: %+v", r)
	}
	testFleet.retired = "c1"
	testFleet.kill(testFleet.cores[0])
	testFleet.wipe(testFleet.cores[0])
	testFleet.start(testFleet.cores[0])
	testFleet.advance(3 * time.Second)
	testFleet.awaitSettled("after the retired core restarted", settleTime)
	testFleet.checkClaims()
	if testFleet.cores[0].m.Founded() {
		t.Error("a retired core rejoined the fleet")
	}
}

func TestRetiredWhileDown(t *testing.T) {
	testFleet := newFleet(t, 3, 5)
	testFleet.tolerateSilence()
	core := testFleet.cores[1]
	testFleet.kill(core)
	testFleet.advance(300 * time.Millisecond)
	if r := testFleet.call(RetireCore{ID: core.id}).(RetireCoreResult); !r.Done {
		t.Errorf("retiring a core that is down: %+v", r)
	}
	testFleet.awaitSettled("retired while down", settleTime)
	core.address = "elsewhere"
	testFleet.start(core)
	testFleet.advance(8 * time.Second)
	if !core.m.Self().Retired {
		t.Error("the core does not know that it is retired")
	}
	for _, other := range testFleet.cores {
		if !other.m.Topology().Cores[core.id].Retired {
			t.Errorf("%s does not know that the core is retired", other.id)
		}
	}
	testFleet.awaitSettled("back", settleTime)
	testFleet.checkClaims()
}

// The silent core must keep its replicas.
func TestRetiredWhileAnotherIsSilent(t *testing.T) {
	testFleet := newFleet(t, 3, 6)
	testFleet.tolerateSilence()
	testFleet.kill(testFleet.cores[1])
	testFleet.advance(2 * time.Second)
	silent := testFleet.cores[1].id + "." + testFleet.cores[1].stored.Incarnation
	before := map[int]bool{}
	for n := 0; n < testPartitions; n++ {
		_, g, _ := testFleet.leader(n)
		before[n] = g.Has(silent)
	}
	if r := testFleet.call(RetireCore{ID: "c1"}).(RetireCoreResult); !r.Done {
		t.Errorf("retiring while another core is silent: %+v", r)
	}
	testFleet.advance(settleTime)
	for n := 0; n < testPartitions; n++ {
		_, g, _ := testFleet.leader(n)
		if g.Has(testFleet.cores[0].m.Self().MemberID()) || (before[n] && !g.Has(silent)) {
			t.Errorf("partition %d: %+v", n, g)
		}
	}
	testFleet.checkClaims()
}

// A new core must not replace a healthy member of a group while another member is unreachable.
func TestDegradedGroupsAreNotRebalanced(t *testing.T) {
	testFleet := newFleet(t, 3, 4)
	testFleet.tolerateSilence()
	testFleet.kill(testFleet.cores[1])
	testFleet.advance(2 * time.Second)
	silent := testFleet.cores[1].id + "." + testFleet.cores[1].stored.Incarnation
	before := map[int][]string{}
	for n := 0; n < testPartitions; n++ {
		if _, g, _ := testFleet.leader(n); g.Has(silent) {
			before[n] = g.Members
		}
	}
	testFleet.start(testFleet.addCore("fresh"))
	testFleet.advance(settleTime)
	for n, members := range before {
		if _, g, _ := testFleet.leader(n); len(membershipMoves(n, g.All(), members)) > 0 {
			t.Errorf("partition %d: %+v, was %v", n, g, members)
		}
	}
	testFleet.checkClaims()
	testFleet.start(testFleet.cores[1])
	testFleet.awaitSettled("all cores running", settleTime)
	testFleet.checkClaims()
}

func TestFlappingCoreGetsNoReplicas(t *testing.T) {
	testFleet := newFleet(t, 3, 5)
	core := testFleet.cores[1]
	core.frozen = true
	testFleet.advance(testFleet.params.SilenceTimeout + 3*time.Second)
	testFleet.awaitSettled("without it", settleTime)
	before := testFleet.epochSum()
	for i := 0; i < 4; i++ {
		testFleet.resume(core)
		testFleet.advance(300 * time.Millisecond)
		core.frozen = true
		testFleet.advance(testFleet.params.SilenceTimeout + 500*time.Millisecond)
	}
	if after := testFleet.epochSum(); after != before {
		t.Errorf("%d group changes", after-before)
	}
	testFleet.resume(core)
	testFleet.awaitSettled("running steadily", settleTime)
	testFleet.checkClaims()
}

// After a pause of all cores none may count the others as silent.
func TestAllCoresFrozenTogether(t *testing.T) {
	testFleet := newFleet(t, 3, 6)
	testFleet.advance(12 * time.Second)
	before := testFleet.epochSum()
	testFleet.drop = func(from, to string, body any) bool { return true }
	for _, core := range testFleet.cores {
		core.frozen = true
	}
	testFleet.advance(3 * testFleet.params.SilenceTimeout)
	testFleet.drop = nil
	for _, core := range testFleet.cores {
		testFleet.resume(core)
	}
	testFleet.advance(8 * time.Second)
	if after := testFleet.epochSum(); after != before {
		t.Errorf("%d group changes", after-before)
	}
	testFleet.checkClaims()
}

func TestHomesAreBalanced(t *testing.T) {
	testFleet := newFleet(t, 3, 5)
	testFleet.losePermanently(testFleet.cores[1])
	testFleet.start(testFleet.addCore("fresh"))
	testFleet.awaitSettled("replaced", settleTime)
	testFleet.advance(2 * time.Second)
	var running []Core
	for _, core := range testFleet.cores {
		if core.m != nil {
			running = append(running, core.m.Self())
		}
	}
	for n, wanted := range Place(testPartitions, 3, running, nil) {
		if _, g, _ := testFleet.leader(n); g.Members[0] != wanted[0] {
			t.Errorf("partition %d: %v, planned %v", n, g.Members, wanted)
		}
	}
}

// A retirement is done only when the core has no replicas left.
func TestOperatorRetires(t *testing.T) {
	testFleet := newFleet(t, 3, 5)
	testFleet.lastTicket++
	ticket := testFleet.lastTicket
	testFleet.handle(testFleet.cores[0], testFleet.cores[0].m.ChangeCore(testFleet.now, ticket, KindRetire, "c1", "", 8*time.Second))
	for testFleet.answers[ticket] == nil {
		testFleet.step()
	}
	if c := testFleet.answers[ticket].(ChangeResult); !c.Done || len(c.Moves) == 0 {
		t.Errorf("result of the retirement: %+v", c)
	}
	for n := 0; n < testPartitions; n++ {
		if _, g, ok := testFleet.leader(n); ok && g.Has(testFleet.cores[0].m.Self().MemberID()) {
			t.Errorf("partition %d: %+v", n, g)
		}
	}
	testFleet.awaitSettled("retired", settleTime)
	testFleet.checkClaims()
}

// No entry may be lost.
func TestFullRestartWithOneEmptyDisk(t *testing.T) {
	for _, cores := range []int{3, 5} {
		testFleet := newFleet(t, 3, cores)
		testFleet.tolerateSilence()
		for _, core := range testFleet.cores {
			testFleet.kill(core)
		}
		testFleet.wipe(testFleet.cores[0])
		testFleet.advance(300 * time.Millisecond)
		for _, core := range testFleet.cores {
			testFleet.start(core)
		}
		testFleet.awaitSettled("restarted", settleTime)
		testFleet.checkClaims()
	}
}

// adding returns a leader that is adding the core to a group, and the partition, or nil.
func (f *fleet) adding(id string) (leader *testCore, n int) {
	for n := 0; n < testPartitions; n++ {
		if core, _, ok := f.leader(n); ok {
			if adding, _ := core.m.Partition(n).ChangeInProgress(); adding != "" && CoreID(adding) == id {
				return core, n
			}
		}
	}
	return nil, 0
}

func (f *fleet) inJointGroup() (leader *testCore, n int) {
	for n := 0; n < testPartitions; n++ {
		if core, g, ok := f.leader(n); ok && len(g.Former) > 0 {
			return core, n
		}
	}
	return nil, 0
}

func (f *fleet) waitUntil(what string, seen func() bool) {
	f.t.Helper()
	for end := f.now + 5*time.Second; !seen(); f.step() {
		if f.now > end {
			f.t.Fatalf("not reached: %s", what)
		}
	}
}

// A new member that fails in any stage of its addition must not block a group.
func TestJoiningCoreFailsDuringChange(t *testing.T) {
	stages := map[string]func(f *fleet) bool{
		"during the snapshot transfer": func(f *fleet) bool { joining, _ := f.adding("fresh"); return joining != nil },
		"in a joint group":             func(f *fleet) bool { joining, _ := f.inJointGroup(); return joining != nil },
	}
	for _, name := range []string{"during the snapshot transfer", "in a joint group"} {
		testFleet := newFleet(t, 3, 5)
		joining := testFleet.addCore("fresh")
		testFleet.start(joining)
		testFleet.waitUntil(name, func() bool { return stages[name](testFleet) })
		testFleet.losePermanently(joining)
		testFleet.awaitSettled(name+", core lost", testFleet.params.SilenceTimeout+settleTime)
		testFleet.checkClaims()
		testFleet.start(testFleet.addCore("next"))
		testFleet.awaitSettled(name+", another core added", settleTime)
		testFleet.checkClaims()

		testFleet = newFleet(t, 3, 5)
		joining = testFleet.addCore("fresh")
		testFleet.start(joining)
		testFleet.waitUntil(name, func() bool { return stages[name](testFleet) })
		testFleet.kill(joining)
		testFleet.wipe(joining)
		testFleet.advance(100 * time.Millisecond)
		testFleet.start(joining)
		testFleet.awaitSettled(name+", core restarted with an empty disk", settleTime)
		testFleet.checkClaims()
	}
}

// A new member that the leader can't reach must not block other changes of the group.
func TestUnreachableJoiningCoreIsAbandoned(t *testing.T) {
	testFleet := newFleet(t, 3, 4)
	core := testFleet.addCore("fresh")
	testFleet.drop = func(from, to string, body any) bool {
		_, p := body.(ReplicaMessage)
		return p && (from == core.address || to == core.address)
	}
	testFleet.start(core)
	testFleet.advance(8 * time.Second)
	testFleet.checkClaims()
	testFleet.drop = nil
	testFleet.awaitSettled("reachable again", 2*settleTime)
	testFleet.checkClaims()
}

func TestLeaderFailsDuringChange(t *testing.T) {
	for _, stage := range []string{"during the snapshot transfer", "in a joint group"} {
		testFleet := newFleet(t, 3, 5)
		joining := testFleet.addCore("fresh")
		testFleet.start(joining)
		var leader *testCore
		testFleet.waitUntil(stage, func() bool {
			if leader, _ = testFleet.inJointGroup(); stage != "in a joint group" {
				leader, _ = testFleet.adding("fresh")
			}
			return leader != nil && leader != joining
		})
		testFleet.kill(leader)
		testFleet.advance(time.Second)
		testFleet.start(leader)
		testFleet.awaitSettled(stage+", leader restarted", settleTime)
		testFleet.checkClaims()

		testFleet = newFleet(t, 3, 5)
		joining = testFleet.addCore("fresh")
		testFleet.start(joining)
		testFleet.waitUntil(stage, func() bool {
			if leader, _ = testFleet.inJointGroup(); stage != "in a joint group" {
				leader, _ = testFleet.adding("fresh")
			}
			return leader != nil && leader != joining
		})
		testFleet.kill(leader)
		testFleet.wipe(leader)
		testFleet.start(leader)
		testFleet.awaitSettled(stage+", leader restarted with an empty disk", settleTime)
		testFleet.checkClaims()
	}
}

func TestFrozenCoreResumes(t *testing.T) {
	testFleet := newFleet(t, 3, 5)
	core := testFleet.cores[1]
	core.frozen = true
	testFleet.advance(testFleet.params.SilenceTimeout + testFleet.params.SilenceTimeout/2)
	testFleet.awaitSettled("without the frozen core", settleTime)
	testFleet.checkClaims()
	testFleet.resume(core)
	testFleet.awaitSettled("with the resumed core", settleTime)
	testFleet.checkClaims()
	testFleet.advance(time.Second)
	before := testFleet.epochSum()
	testFleet.advance(8 * time.Second)
	if after := testFleet.epochSum(); after != before {
		t.Errorf("%d group changes after the fleet settled", after-before)
	}
	core.frozen = true
	testFleet.advance(testFleet.params.SilenceTimeout / 2)
	testFleet.resume(core)
	testFleet.advance(3 * time.Second)
	if after := testFleet.epochSum(); after != before {
		t.Errorf("%d group changes because of a short freeze", after-before)
	}
	testFleet.checkClaims()
}

func TestSilentCoreKeepsReplicasWithoutSubstitute(t *testing.T) {
	testFleet := newFleet(t, 3, 3)
	before := testFleet.epochSum()
	testFleet.kill(testFleet.cores[2])
	testFleet.advance(3 * testFleet.params.SilenceTimeout)
	if after := testFleet.epochSum(); after != before {
		t.Errorf("%d group changes", after-before)
	}
	testFleet.start(testFleet.cores[2])
	testFleet.awaitSettled("restarted with its disk", settleTime)
	testFleet.checkClaims()
}

func TestCoreRestartsAtAnotherAddress(t *testing.T) {
	testFleet := newFleet(t, 3, 3)
	testFleet.kill(testFleet.cores[2])
	testFleet.cores[2].address = "elsewhere"
	testFleet.advance(300 * time.Millisecond)
	testFleet.start(testFleet.cores[2])
	testFleet.awaitSettled("elsewhere", settleTime)
	testFleet.losePermanently(testFleet.cores[0])
	testFleet.advance(2 * time.Second)
	testFleet.checkClaims()
}

// An earlier incarnation that still runs must not displace its successor.
func TestSupersededCoreIsIgnored(t *testing.T) {
	testFleet := newFleet(t, 3, 4)
	old := testFleet.cores[3]
	old.frozen = true
	core := testFleet.addCore(old.id)
	testFleet.start(core)
	testFleet.awaitSettled("superseded", settleTime)
	testFleet.resume(old)
	testFleet.advance(4 * time.Second)
	old.frozen = true
	testFleet.awaitSettled("the former incarnation resumed", settleTime)
	testFleet.kill(old)
	old.address = "elsewhere"
	testFleet.start(old)
	for end := testFleet.now + 6*time.Second; testFleet.now < end; testFleet.step() {
		for _, other := range testFleet.cores {
			if got := other.m.Topology().Cores[old.id]; other != old && got.Incarnation != core.stored.Incarnation {
				t.Fatalf("%v: %s takes %v for the current incarnation", testFleet.now, other.id, got)
			}
		}
	}
	old.frozen = true
	testFleet.awaitSettled("the former incarnation restarted", settleTime)
	for n := 0; n < testPartitions; n++ {
		if _, g, ok := testFleet.leader(n); ok && g.Has(old.m.Self().MemberID()) {
			t.Errorf("partition %d: %+v", n, g)
		}
	}
	testFleet.checkClaims()
}

// Later entries must not revive retired cores and superseded incarnations.
func TestRetiredCoresStayRetired(t *testing.T) {
	single := newSingleCore(t)
	x := Core{ID: "x", Incarnation: "1", Version: 1}
	for _, step := range []struct {
		command, want any
	}{
		{PutCore{Core: x}, Done{OK: true}},
		{PutCore{Core: x}, Done{OK: true}},
		{PutCore{Core: Core{ID: "x", Incarnation: "1", Peer: "p", Version: 1}}, Done{}},
		{PutCore{Core: Core{ID: "x", Incarnation: "2", Version: 2}}, Done{OK: true}},
		{PutCore{Core: Core{ID: "x", Incarnation: "1", Version: 9}}, PutCoreRejected{Core: Core{ID: "x", Incarnation: "2", Version: 2}}},
		{RetireCore{ID: "x"}, RetireCoreResult{Found: true, EnoughRemain: true, Done: true}},
		{RetireCore{ID: "x"}, RetireCoreResult{Found: true, EnoughRemain: true, Done: true}},
		{RetireCore{ID: "y"}, RetireCoreResult{}},
		{RetireCore{ID: "c"}, RetireCoreResult{Found: true}},
		{PutCore{Core: Core{ID: "x", Incarnation: "2", Version: 9}}, PutCoreRejected{Core: Core{ID: "x", Incarnation: "2", Version: 3, Retired: true}}},
		{PutCore{Core: Core{ID: "x", Incarnation: "3", Version: 9}}, PutCoreRejected{Core: Core{ID: "x", Incarnation: "2", Version: 3, Retired: true}}},
	} {
		if got := single.run(step.command); got != step.want {
			t.Errorf("%+v: %+v", step.command, got)
		}
	}
	single.m.mergeCore(Core{ID: "z", Incarnation: "1", Version: 2, Retired: true})
	single.m.mergeCore(Core{ID: "z", Incarnation: "1", Version: 3})
	if !single.m.Topology().Cores["z"].Retired {
		t.Error("a later entry revived a retired core")
	}
	single.m.mergeCore(Core{ID: "w", Incarnation: "1", Version: 3})
	single.m.mergeCore(Core{ID: "w", Incarnation: "1", Version: 2, Retired: true})
	if !single.m.Topology().Cores["w"].Retired {
		t.Error("a retirement with a lower version was lost")
	}
}

// Cores without a fleet must accept only a founding that names them.
func TestColdStart(t *testing.T) {
	testFleet := &fleet{t: t, size: 3, random: rand.New(rand.NewPCG(1, 1)), answers: map[uint64]any{}, claims: map[string]string{}, sentByType: map[string]int{}, lostMembers: map[string]bool{},
		params: Params{Partition: partition.Params{LeaseDuration: 500 * time.Millisecond, Drift: 0.1, RenewalsPerLease: 5, LeasesPerSweep: 40}, MemberLease: 2 * time.Second, AttemptTimeout: 150 * time.Millisecond, PullInterval: 150 * time.Millisecond}}
	var founders []Core
	for i := 0; i < 4; i++ {
		core := testFleet.addCore(fmt.Sprintf("c%d", i+1))
		core.cold = i != 3
		testFleet.start(core)
		founders = append(founders, core.m.Self())
	}
	testFleet.advance(time.Second)
	if testFleet.sentByType["core.AnnounceCore"] < 20 {
		t.Errorf("cores without a fleet sent %d announcements in a second", testFleet.sentByType["core.AnnounceCore"])
	}
	plan := FailureDomains{}.PlanFleet("f", testPartitions, 3, founders[:3])
	for _, core := range []*testCore{testFleet.cores[3], testFleet.cores[0]} {
		other := plan
		other.Cores = map[string]Core{"c1": {ID: "c1", Incarnation: "of old"}, "c4": founders[3]}
		testFleet.handle(core, core.m.Receive(testFleet.now, "desk", FoundFleet{Founding: other}))
		if core.m.Founded() {
			t.Errorf("%s joined a fleet whose founding does not name it", core.id)
		}
	}
	// One core misses the founding message and gets it in answer to its announcement.
	testFleet.drop = func(from, to string, body any) bool { _, ok := body.(FoundFleet); return ok && to == "a2" }
	testFleet.handle(testFleet.cores[0], testFleet.cores[0].m.Receive(testFleet.now, "desk", FoundFleet{Founding: plan}))
	testFleet.advance(500 * time.Millisecond)
	testFleet.drop = nil
	testFleet.awaitSettled("founded and joined by a fourth core", settleTime)
	for _, core := range testFleet.cores {
		if got := core.m.Topology().GroupSize; got != 3 {
			t.Errorf("%s: groups of %d", core.id, got)
		}
	}
}

func TestGossipAtRest(t *testing.T) {
	testFleet := newFleet(t, 3, 5)
	testFleet.advance(3 * time.Second)
	clear(testFleet.sentByType)
	testFleet.advance(10 * time.Second)
	if got, most := testFleet.sentByType["core.Topology"], 5*4*(20+2); got > most {
		t.Errorf("%d topologies sent in ten seconds, want at most %d", got, most)
	}
	t.Log(testFleet.sentByType)
}

// Placements must not depend on the order of the cores and must change little when one is added.
func TestPlace(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 3))
	for round := 0; round < 200; round++ {
		size, count, partitions := 3+2*random.IntN(2), 3+random.IntN(7), 7+random.IntN(13)
		zoneCount := 1 + random.IntN(count)
		var cores []Core
		for i := 0; i < count; i++ {
			cores = append(cores, Core{ID: fmt.Sprint("c", i), Incarnation: "1", Zone: fmt.Sprint("z", i%zoneCount)})
		}
		groups := Place(partitions, size, cores, nil)
		random.Shuffle(count, func(i, j int) { cores[i], cores[j] = cores[j], cores[i] })
		again := Place(partitions, size, cores, nil)
		replicas, homes := map[string]int{}, map[string]int{}
		for n, g := range groups {
			if !slices.Equal(g, again[n]) {
				t.Fatal("the result depends on the order of the cores")
			}
			if len(g) != min(size, count) {
				t.Fatalf("%d members, want %d", len(g), size)
			}
			byZone := map[string]int{}
			for _, member := range g {
				replicas[member]++
				for _, c := range cores {
					if c.MemberID() == member {
						byZone[c.Zone]++
					}
				}
			}
			if len(byZone) != min(zoneCount, size, count) {
				t.Errorf("%d zones of %d for groups of %d and %d cores", len(byZone), zoneCount, size, count)
			}
			homes[g[0]]++
		}
		if count%zoneCount == 0 {
			for _, c := range cores {
				if got, even := replicas[c.MemberID()], partitions*min(size, count)/count; got < even-1 || got > even+2 {
					t.Errorf("%d cores, %d zones, %d partitions with groups of %d: %s has %d replicas, balanced is %d", count, zoneCount, partitions, size, c.ID, got, even)
				}
				if got := homes[c.MemberID()]; got > partitions/count+2 {
					t.Errorf("%s is the home of %d partitions of %d", c.ID, got, partitions)
				}
			}
		}
		more := Place(partitions, size, append(slices.Clone(cores), Core{ID: "new", Incarnation: "1", Zone: "z0"}), nil)
		moved := 0
		for n := range groups {
			for _, member := range more[n] {
				if !slices.Contains(groups[n], member) {
					moved++
				}
			}
		}
		if even := partitions * min(size, count+1) / (count + 1); zoneCount <= 1 && moved > 3*even {
			t.Errorf("%d of %d replicas moved for one additional core, %d partitions, %d cores", moved, partitions*size, partitions, count)
		}
		for n, g := range Place(partitions, size, cores, map[string]bool{"c0": true}) {
			if slices.Contains(g, "c0.1") != (count <= size) {
				t.Errorf("partition %d: %v with c0 silent", n, g)
			}
		}
		cores[0].Retired = true
		for n, g := range Place(partitions, size, cores, nil) {
			if slices.Contains(g, cores[0].MemberID()) {
				t.Errorf("partition %d: %v with %s retired", n, g, cores[0].ID)
			}
		}
	}
}
