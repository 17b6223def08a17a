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
	testParts = 13
	catchUp   = 4400 * time.Millisecond
	testStep  = 5 * time.Millisecond
)

// box is one process of the fleet: its machine, and what its disk holds.
type box struct {
	id, zone, address string
	m                 *Machine
	stored            Stored
	pending           []pending
	frozen, lost      bool
	cold              bool
	tickAt            time.Duration
	backlog           []parcel
}

type pending struct {
	at      time.Duration
	changes []Change
	sends   []Send
}

type parcel struct {
	at       time.Duration
	from, to string
	raw      []byte
}

// fleet carries the messages of cores by hand, under a clock of its own.
type fleet struct {
	t       *testing.T
	now     time.Duration
	size    int
	params  Params
	random  *rand.Rand
	boxes   []*box
	flying  []parcel
	drop    func(from, to string, body any) bool
	answers map[uint64]any
	next    uint64
	lives   int
	keys    map[string]string
	kinds   map[string]int
	// gone are seats whose copies are lost for good.
	gone map[string]bool
	// retired is a core that may stay without a fleet.
	retired string
}

func newFleet(t *testing.T, size, cores int) *fleet {
	f := &fleet{t: t, size: size, random: rand.New(rand.NewPCG(7, uint64(cores))), answers: map[uint64]any{}, keys: map[string]string{}, kinds: map[string]int{}, gone: map[string]bool{},
		params: Params{Partition: partition.Params{LeaseDuration: 500 * time.Millisecond, Drift: 0.1, RenewalsPerLease: 5, LeasesPerSweep: 40, LeasesBeforeHome: 20}, MemberLease: 2 * time.Second,
			AttemptTimeout: 150 * time.Millisecond, PullInterval: 150 * time.Millisecond, GoneAfter: 2 * time.Second, ColdStart: true}}
	var list []Core
	for i := 0; i < cores; i++ {
		b := f.add(fmt.Sprintf("c%d", i+1))
		f.boot(b)
		list = append(list, b.m.Self())
	}
	b := f.boxes[0]
	f.take(b, b.m.Receive(f.now, "desk", FoundFleet{Founding: Plan("f", testParts, size, list)}))
	f.pass(2 * time.Second)
	for i := 0; i < 150; i++ {
		f.put(i)
	}
	f.settled("after the founding", catchUp)
	return f
}

// slow makes cores that are only silent keep their seats for long.
func (f *fleet) slow() {
	f.params.GoneAfter = time.Minute
	for _, b := range f.boxes {
		b.m.params.GoneAfter = time.Minute
	}
}

func (f *fleet) add(id string) *box {
	n := len(f.boxes)
	b := &box{id: id, zone: fmt.Sprintf("z%d", n%3), address: fmt.Sprintf("a%d", n), cold: true}
	f.boxes = append(f.boxes, b)
	f.empty(b)
	return b
}

func (f *fleet) empty(b *box) {
	if b.stored.Incarnation != "" {
		f.gone[b.id+"."+b.stored.Incarnation] = true
	}
	f.lives++
	b.stored = Stored{Incarnation: fmt.Sprint(f.lives)}
}

func (f *fleet) boot(b *box) {
	var image Stored
	image.CopyFrom(b.stored)
	params := f.params
	params.ColdStart = b.cold
	b.pending, b.backlog, b.frozen, b.lost, b.tickAt = nil, nil, false, false, 0
	b.m = New(Options{Params: params, ID: b.id, Zone: b.zone, Address: b.address, Seeds: []string{"a0", "a1", "a2", "a3", "a4"}, Stored: image, Now: f.now, Random: f.random.Float64})
}

// kill loses what was not synced.
func (f *fleet) kill(b *box) { b.m, b.pending = nil, nil }

// lose kills a core whose machine never comes back.
func (f *fleet) lose(b *box) {
	f.kill(b)
	b.lost = true
	f.gone[b.id+"."+b.stored.Incarnation] = true
}

func (f *fleet) take(b *box, o Output) {
	var held []Send
	for _, s := range o.Sends {
		if s.Synced && (len(o.Changes) > 0 || len(b.pending) > 0) {
			held = append(held, s)
			continue
		}
		f.send(b, s)
	}
	if len(o.Changes) > 0 || len(held) > 0 {
		b.pending = append(b.pending, pending{at: f.now + testStep, changes: o.Changes, sends: held})
	}
	for _, a := range o.Answers {
		f.answers[a.Ticket] = a.Body
	}
}

func (f *fleet) send(b *box, s Send) {
	kind := fmt.Sprintf("%T", s.Body)
	if p, ok := s.Body.(ReplicaMessage); ok {
		inner, _ := message.Open(p.Raw)
		kind = fmt.Sprintf("%T", inner)
	}
	f.kinds[kind]++
	if f.drop != nil && f.drop(b.address, s.To, s.Body) {
		return
	}
	f.flying = append(f.flying, parcel{at: f.now + testStep, from: b.address, to: s.To, raw: message.Pack(s.Body)})
}

func (f *fleet) at(address string) *box {
	for i := len(f.boxes) - 1; i >= 0; i-- {
		if b := f.boxes[i]; b.address == address && b.m != nil {
			return b
		}
	}
	return nil
}

func (f *fleet) deliver(p parcel) {
	b := f.at(p.to)
	switch {
	case b == nil:
	case b.frozen:
		b.backlog = append(b.backlog, p)
	default:
		body, err := message.Open(p.raw)
		if err != nil {
			f.t.Fatal(err)
		}
		f.take(b, b.m.Receive(f.now, p.from, body))
	}
}

func (f *fleet) step() {
	f.now += testStep
	var due, rest []parcel
	for _, p := range f.flying {
		if p.at <= f.now {
			due = append(due, p)
		} else {
			rest = append(rest, p)
		}
	}
	f.flying = rest
	for _, b := range f.boxes {
		if b.frozen {
			continue
		}
		ready := b.pending
		b.pending = nil
		for i, p := range ready {
			if p.at > f.now {
				b.pending = ready[i:]
				break
			}
			for _, c := range p.changes {
				var again Change
				if err := message.Unmarshal(message.Marshal(c), &again); err != nil {
					f.t.Fatal(err)
				}
				b.stored.Apply(again)
			}
			for _, s := range p.sends {
				f.send(b, s)
			}
		}
	}
	for _, p := range due {
		f.deliver(p)
	}
	for _, b := range f.boxes {
		if b.m != nil && !b.frozen && f.now >= b.tickAt {
			b.tickAt = f.now + f.params.Partition.LeaseDuration/20
			f.take(b, b.m.Tick(f.now))
		}
	}
	f.guard()
}

func (f *fleet) wake(b *box) {
	b.frozen = false
	backlog := b.backlog
	b.backlog = nil
	for _, p := range backlog {
		f.deliver(p)
	}
}

// guard checks that no group has more seats whose copies are lost than it bears.
func (f *fleet) guard() {
	for n := 0; n < testParts; n++ {
		_, g, ok := f.owner(n)
		if !ok {
			continue
		}
		for _, seats := range [][]string{g.Members, g.Former} {
			lost := 0
			for _, s := range seats {
				if f.gone[s] {
					lost++
				}
			}
			if lost > f.size/2 {
				f.t.Fatalf("%v: part %d has lost %d of %v", f.now, n, lost, seats)
			}
		}
	}
}

func (f *fleet) pass(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.step()
	}
}

func (f *fleet) owner(n int) (*box, partition.Group, bool) {
	for _, b := range f.boxes {
		if b.m == nil || b.frozen || b.m.Part(n) == nil {
			continue
		}
		if _, ok := b.m.Part(n).LeadingTerm(f.now); ok {
			g, _ := b.m.Part(n).CommittedGroup()
			return b, g, true
		}
	}
	return nil, partition.Group{}, false
}

func (f *fleet) ask(command any) any {
	f.t.Helper()
	f.next++
	ticket := f.next
	for _, b := range f.boxes {
		if b.m != nil && !b.frozen && b.m.Founded() {
			f.take(b, b.m.RunCommand(f.now, ticket, command, 4*time.Second))
			break
		}
	}
	for end := f.now + 5*time.Second; f.now < end; {
		if a, ok := f.answers[ticket]; ok {
			return a.(Outcome).Answer
		}
		f.step()
	}
	f.t.Fatalf("%v: no answer to %T", f.now, command)
	return nil
}

func (f *fleet) put(i int) {
	f.t.Helper()
	key, claim := fmt.Sprint("k", i), fmt.Sprint("first ", i)
	if o, ok := f.ask(ClaimOnce{Tenant: "t", Service: "s", Key: key, Claim: claim, Retention: time.Hour}).(OnceRecord); !ok || o.Claim != claim {
		f.t.Fatalf("%v: %s is not kept: %+v", f.now, key, o)
	}
	f.keys[key] = claim
}

// kept asks for everything that was agreed.
func (f *fleet) kept() {
	f.t.Helper()
	for key, claim := range f.keys {
		if o, ok := f.ask(ClaimOnce{Tenant: "t", Service: "s", Key: key, Claim: "other", Retention: time.Hour}).(OnceRecord); !ok || o.Claim != claim {
			f.t.Errorf("%v: %s was agreed as %q and is %+v", f.now, key, claim, o)
		}
	}
}

// lack says why the fleet is not as it should be yet.
func (f *fleet) lack() string {
	seats := map[string]int{}
	var able []Core
	for _, b := range f.boxes {
		if b.m != nil && !b.frozen && !b.m.Founded() && b.id != f.retired {
			return b.id + " belongs to no fleet"
		}
		if b.m != nil && !b.frozen && b.m.Founded() && !b.m.Self().Retired {
			able = append(able, b.m.Self())
			seats[b.m.Self().MemberID()] = 0
		}
	}
	for n := 0; n < testParts; n++ {
		owner, g, ok := f.owner(n)
		if !ok {
			return fmt.Sprintf("part %d has no owner", n)
		}
		if len(g.Former) > 0 || len(g.Members) != min(f.size, len(able)) {
			return fmt.Sprintf("part %d: %+v", n, g)
		}
		for _, s := range g.Members {
			if _, ok := seats[s]; !ok {
				return fmt.Sprintf("part %d: seat %s in %v", n, s, g.Members)
			}
			seats[s]++
			for _, b := range f.boxes {
				if b.m == nil || b.m.Self().MemberID() != s {
					continue
				}
				p := b.m.Part(n)
				if p == nil {
					return fmt.Sprintf("part %d: %s has no copy", n, s)
				}
				for key, e := range owner.m.Part(n).State().Entries {
					if mine, ok := b.stored.Replicas[n].Entries[key]; !e.Deleted && (!ok || mine.Version != e.Version) {
						return fmt.Sprintf("part %d: %s lacks %s", n, s, key)
					}
				}
			}
		}
	}
	if len(able) < f.size {
		return ""
	}
	for n, wanted := range Place(testParts, f.size, able, nil) {
		if _, g, ok := f.owner(n); ok && len(difference(n, g.Members, wanted)) > 0 {
			return fmt.Sprintf("part %d: %v should be %v", n, g.Members, wanted)
		}
	}
	return ""
}

// settled waits until every group is full and every core has its share.
func (f *fleet) settled(when string, within time.Duration) time.Duration {
	f.t.Helper()
	began, lack := f.now, ""
	for f.now < began+within {
		if lack = f.lack(); lack == "" {
			f.t.Logf("%s: full after %v", when, f.now-began)
			return f.now - began
		}
		f.step()
	}
	f.t.Fatalf("%s: not full within %v: %s", when, within, lack)
	return 0
}

func (f *fleet) changes() (n int) {
	for i := 0; i < testParts; i++ {
		if _, g, ok := f.owner(i); ok {
			n += int(g.Epoch)
		}
	}
	return n
}

func TestEmptiedCoreComesBack(t *testing.T) {
	for _, size := range []int{3, 5} {
		f := newFleet(t, size, size+2)
		f.slow()
		for _, b := range f.boxes[1 : 1+size/2] {
			f.kill(b)
			f.empty(b)
		}
		f.pass(300 * time.Millisecond)
		for _, b := range f.boxes[1 : 1+size/2] {
			f.boot(b)
		}
		f.settled(fmt.Sprintf("groups of %d", size), catchUp)
		f.kept()
		// The next loss may come right after.
		again := f.boxes[4]
		f.kill(again)
		f.empty(again)
		f.boot(again)
		f.settled("the next loss", catchUp)
		f.kept()
	}
}

func TestCoreIsReplacedAtAnotherAddress(t *testing.T) {
	for _, name := range []string{"another name", "the same name"} {
		f := newFleet(t, 3, 5)
		old := f.boxes[1]
		f.lose(old)
		f.pass(300 * time.Millisecond)
		id := "fresh"
		if name == "the same name" {
			id = old.id
		}
		b := f.add(id)
		b.cold = false
		f.boot(b)
		f.settled(name, catchUp)
		f.kept()
		f.lose(f.boxes[2])
		f.boot(f.add("next"))
		f.settled("the next loss", catchUp)
		f.kept()
	}
}

// In the smallest fleet the newcomer is the only place for the dead one's seats.
func TestSmallestFleetIsReplaced(t *testing.T) {
	f := newFleet(t, 3, 3)
	for i := 0; i < 3; i++ {
		f.lose(f.boxes[i])
		f.boot(f.add(fmt.Sprint("fresh", i)))
		f.settled("a newcomer", catchUp)
		f.kept()
	}
}

func TestAddedCoreGetsItsShare(t *testing.T) {
	f := newFleet(t, 3, 4)
	f.boot(f.add("fresh"))
	f.settled("a fifth core", catchUp)
	f.kept()
	before := f.changes()
	f.pass(10 * time.Second)
	if after := f.changes(); after != before {
		t.Errorf("%d changes of groups in a fleet at rest", after-before)
	}
}

func TestRetiredWhileAnotherIsEmptied(t *testing.T) {
	f := newFleet(t, 3, 5)
	if r := f.ask(RetireCore{ID: "nobody"}); r != (RetireCoreResult{}) {
		t.Errorf("an unknown core: %+v", r)
	}
	if r := f.ask(RetireCore{ID: "c1"}); r != (RetireCoreResult{Found: true, EnoughRemain: true, Done: true}) {
		t.Errorf("retiring: %+v", r)
	}
	b := f.boxes[2]
	f.kill(b)
	f.empty(b)
	f.boot(b)
	f.settled("one retired, one emptied", catchUp)
	f.kept()
	for n := 0; n < testParts; n++ {
		s, ok := f.ask(ReadGroup{Partition: n}).(GroupMembers)
		if !ok || len(s.Members) != 3 || len(s.Former) != 0 || slices.ContainsFunc(s.Members, func(seat string) bool { return CoreID(seat) == "c1" }) {
			t.Errorf("part %d: %+v", n, s)
		}
	}
	if r := f.ask(RetireCore{ID: "c2"}); r != (RetireCoreResult{Found: true, EnoughRemain: true, Done: true}) {
		t.Errorf("a second one: %+v", r)
	}
	if r := f.ask(RetireCore{ID: "c4"}); r != (RetireCoreResult{Found: true}) {
		t.Errorf("one too many: %+v", r)
	}
	f.retired = "c1"
	// A retired one gets no seat again, not even with an empty folder.
	f.kill(f.boxes[0])
	f.empty(f.boxes[0])
	f.boot(f.boxes[0])
	f.pass(3 * time.Second)
	f.settled("after the retired one came back", catchUp)
	f.kept()
	if f.boxes[0].m.Founded() {
		t.Error("a retired name is back")
	}
}

// One that is retired while it is off, and knows nothing of it, stays retired.
func TestRetiredWhileOff(t *testing.T) {
	f := newFleet(t, 3, 5)
	f.slow()
	b := f.boxes[1]
	f.kill(b)
	f.pass(300 * time.Millisecond)
	if r := f.ask(RetireCore{ID: b.id}).(RetireCoreResult); !r.Done {
		t.Errorf("%+v", r)
	}
	f.settled("retired while off", catchUp)
	b.address = "elsewhere"
	f.boot(b)
	f.pass(8 * time.Second)
	if !b.m.Self().Retired {
		t.Error("it does not know")
	}
	for _, other := range f.boxes {
		if !other.m.Topology().Cores[b.id].Retired {
			t.Errorf("%s thinks that it is not retired", other.id)
		}
	}
	f.settled("back", catchUp)
	f.kept()
}

// A retired core's seats move on although another core is out of reach, which
// keeps its own.
func TestRetiredWhileAnotherIsSilent(t *testing.T) {
	f := newFleet(t, 3, 6)
	f.slow()
	f.kill(f.boxes[1])
	f.pass(2 * time.Second)
	silent := f.boxes[1].id + "." + f.boxes[1].stored.Incarnation
	before := map[int]bool{}
	for n := 0; n < testParts; n++ {
		_, g, _ := f.owner(n)
		before[n] = g.Has(silent)
	}
	if r := f.ask(RetireCore{ID: "c1"}).(RetireCoreResult); !r.Done {
		t.Errorf("%+v", r)
	}
	f.pass(catchUp)
	for n := 0; n < testParts; n++ {
		_, g, _ := f.owner(n)
		if g.Has(f.boxes[0].m.Self().MemberID()) || (before[n] && !g.Has(silent)) {
			t.Errorf("part %d: %+v", n, g)
		}
	}
	f.kept()
}

// A newcomer takes no seat of living ones from groups that lack another.
func TestGroupsThatLackOneStayForAWhile(t *testing.T) {
	f := newFleet(t, 3, 4)
	f.slow()
	f.kill(f.boxes[1])
	f.pass(2 * time.Second)
	silent := f.boxes[1].id + "." + f.boxes[1].stored.Incarnation
	before := map[int][]string{}
	for n := 0; n < testParts; n++ {
		if _, g, _ := f.owner(n); g.Has(silent) {
			before[n] = g.Members
		}
	}
	f.boot(f.add("fresh"))
	f.pass(catchUp)
	for n, seats := range before {
		if _, g, _ := f.owner(n); len(difference(n, g.All(), seats)) > 0 {
			t.Errorf("part %d: %+v, was %v", n, g, seats)
		}
	}
	f.kept()
	f.boot(f.boxes[1])
	f.settled("all there", catchUp)
	f.kept()
}

// A core that comes and goes gets no seats as long as it does.
func TestCoreThatComesAndGoes(t *testing.T) {
	f := newFleet(t, 3, 5)
	b := f.boxes[1]
	b.frozen = true
	f.pass(f.params.GoneAfter + 3*time.Second)
	f.settled("without it", catchUp)
	before := f.changes()
	for i := 0; i < 4; i++ {
		f.wake(b)
		f.pass(300 * time.Millisecond)
		b.frozen = true
		f.pass(f.params.GoneAfter + 500*time.Millisecond)
	}
	if after := f.changes(); after != before {
		t.Errorf("%d changes of groups", after-before)
	}
	f.wake(b)
	f.settled("back for good", catchUp)
	f.kept()
}

// When all cores stood still together, none of them thinks the others gone.
func TestAllFrozenTogether(t *testing.T) {
	f := newFleet(t, 3, 6)
	f.pass(12 * time.Second)
	before := f.changes()
	f.drop = func(from, to string, body any) bool { return true }
	for _, b := range f.boxes {
		b.frozen = true
	}
	f.pass(3 * f.params.GoneAfter)
	f.drop = nil
	for _, b := range f.boxes {
		f.wake(b)
	}
	f.pass(8 * time.Second)
	if after := f.changes(); after != before {
		t.Errorf("%d changes of groups", after-before)
	}
	f.kept()
}

// Homes are spread: when all is at rest, each part's home is the one planned.
func TestHomesAreSpread(t *testing.T) {
	f := newFleet(t, 3, 5)
	f.lose(f.boxes[1])
	f.boot(f.add("fresh"))
	f.settled("replaced", catchUp)
	f.pass(2 * time.Second)
	var able []Core
	for _, b := range f.boxes {
		if b.m != nil {
			able = append(able, b.m.Self())
		}
	}
	for n, wanted := range Place(testParts, 3, able, nil) {
		if _, g, _ := f.owner(n); g.Members[0] != wanted[0] {
			t.Errorf("part %d: %v, planned %v", n, g.Members, wanted)
		}
	}
}

// The operator's own retirement is told as done only when no seat is left.
func TestOperatorRetires(t *testing.T) {
	f := newFleet(t, 3, 5)
	f.next++
	ticket := f.next
	f.take(f.boxes[0], f.boxes[0].m.Change(f.now, ticket, Retire, "c1", "", 8*time.Second))
	for f.answers[ticket] == nil {
		f.step()
	}
	if c := f.answers[ticket].(Changed); !c.Done || len(c.Moves) == 0 {
		t.Errorf("%+v", c)
	}
	for n := 0; n < testParts; n++ {
		if _, g, ok := f.owner(n); ok && g.Has(f.boxes[0].m.Self().MemberID()) {
			t.Errorf("part %d: %+v", n, g)
		}
	}
	f.settled("retired", catchUp)
	f.kept()
}

func TestAllPowerOffOneDiskEmpty(t *testing.T) {
	for _, cores := range []int{3, 5} {
		f := newFleet(t, 3, cores)
		f.slow()
		for _, b := range f.boxes {
			f.kill(b)
		}
		f.empty(f.boxes[0])
		f.pass(300 * time.Millisecond)
		for _, b := range f.boxes {
			f.boot(b)
		}
		f.settled("powered on", catchUp)
		f.kept()
	}
}

// joins reports whether some owner is changing its group to add a core.
func (f *fleet) joins(id string) (owner *box, n int) {
	for n := 0; n < testParts; n++ {
		if b, _, ok := f.owner(n); ok {
			if adding, _ := b.m.Part(n).ChangeInProgress(); adding != "" && CoreID(adding) == id {
				return b, n
			}
		}
	}
	return nil, 0
}

// joint reports whether some owner is between its old and its new group.
func (f *fleet) joint() (owner *box, n int) {
	for n := 0; n < testParts; n++ {
		if b, g, ok := f.owner(n); ok && len(g.Former) > 0 {
			return b, n
		}
	}
	return nil, 0
}

func (f *fleet) until(what string, seen func() bool) {
	f.t.Helper()
	for end := f.now + 5*time.Second; !seen(); f.step() {
		if f.now > end {
			f.t.Fatalf("%s did not come about", what)
		}
	}
}

func TestJoiningCoreDiesHalfWay(t *testing.T) {
	stages := map[string]func(f *fleet) bool{
		"while it is filled": func(f *fleet) bool { b, _ := f.joins("fresh"); return b != nil },
		"in a joint group":   func(f *fleet) bool { b, _ := f.joint(); return b != nil },
	}
	for _, name := range []string{"while it is filled", "in a joint group"} {
		f := newFleet(t, 3, 5)
		b := f.add("fresh")
		f.boot(b)
		f.until(name, func() bool { return stages[name](f) })
		f.lose(b)
		// All others move its seats on once it counts as silent.
		f.settled(name+", dead", f.params.GoneAfter+catchUp)
		f.kept()
		f.boot(f.add("next"))
		f.settled(name+", another", catchUp)
		f.kept()

		f = newFleet(t, 3, 5)
		b = f.add("fresh")
		f.boot(b)
		f.until(name, func() bool { return stages[name](f) })
		f.kill(b)
		f.empty(b)
		f.pass(100 * time.Millisecond)
		f.boot(b)
		f.settled(name+", emptied again", catchUp)
		f.kept()
	}
}

// A seat that never hears its owner must not hold the part's group for ever.
func TestUnreachableJoiningCoreIsGivenUp(t *testing.T) {
	f := newFleet(t, 3, 4)
	b := f.add("fresh")
	f.drop = func(from, to string, body any) bool {
		_, p := body.(ReplicaMessage)
		return p && (from == b.address || to == b.address)
	}
	f.boot(b)
	f.pass(8 * time.Second)
	f.kept()
	f.drop = nil
	f.settled("reachable at last", 2*catchUp)
	f.kept()
}

func TestOwnerDiesHalfWay(t *testing.T) {
	for _, stage := range []string{"while the newcomer is filled", "in a joint group"} {
		f := newFleet(t, 3, 5)
		b := f.add("fresh")
		f.boot(b)
		var owner *box
		f.until(stage, func() bool {
			if owner, _ = f.joint(); stage != "in a joint group" {
				owner, _ = f.joins("fresh")
			}
			return owner != nil && owner != b
		})
		f.kill(owner)
		f.pass(time.Second)
		f.boot(owner)
		f.settled(stage+", owner back", catchUp)
		f.kept()

		f = newFleet(t, 3, 5)
		b = f.add("fresh")
		f.boot(b)
		f.until(stage, func() bool {
			if owner, _ = f.joint(); stage != "in a joint group" {
				owner, _ = f.joins("fresh")
			}
			return owner != nil && owner != b
		})
		f.kill(owner)
		f.empty(owner)
		f.boot(owner)
		f.settled(stage+", owner emptied", catchUp)
		f.kept()
	}
}

func TestFrozenCoreWakes(t *testing.T) {
	f := newFleet(t, 3, 5)
	b := f.boxes[1]
	b.frozen = true
	f.pass(f.params.GoneAfter + f.params.GoneAfter/2)
	f.settled("without the frozen one", catchUp)
	f.kept()
	f.wake(b)
	f.settled("with the woken one", catchUp)
	f.kept()
	f.pass(time.Second)
	before := f.changes()
	f.pass(8 * time.Second)
	if after := f.changes(); after != before {
		t.Errorf("%d changes of groups after all is at rest", after-before)
	}
	// A short freeze moves nothing.
	b.frozen = true
	f.pass(f.params.GoneAfter / 2)
	f.wake(b)
	f.pass(3 * time.Second)
	if after := f.changes(); after != before {
		t.Errorf("%d changes of groups for a short freeze", after-before)
	}
	f.kept()
}

// Where no other core is present, a silent one keeps its seats.
func TestSilentCoreKeepsSeatsThatNobodyCanTake(t *testing.T) {
	f := newFleet(t, 3, 3)
	before := f.changes()
	f.kill(f.boxes[2])
	f.pass(3 * f.params.GoneAfter)
	if after := f.changes(); after != before {
		t.Errorf("%d changes of groups", after-before)
	}
	f.boot(f.boxes[2])
	f.settled("back with its disk", catchUp)
	f.kept()
}

func TestCoreAtAnotherAddressIsFoundAgain(t *testing.T) {
	f := newFleet(t, 3, 3)
	f.kill(f.boxes[2])
	f.boxes[2].address = "elsewhere"
	f.pass(300 * time.Millisecond)
	f.boot(f.boxes[2])
	f.settled("elsewhere", catchUp)
	f.lose(f.boxes[0])
	f.pass(2 * time.Second)
	f.kept()
}

// An earlier incarnation that still runs has no say.
func TestSupersededCoreHasNoSay(t *testing.T) {
	f := newFleet(t, 3, 4)
	old := f.boxes[3]
	old.frozen = true
	b := f.add(old.id)
	f.boot(b)
	f.settled("superseded", catchUp)
	f.wake(old)
	f.pass(4 * time.Second)
	old.frozen = true
	f.settled("the former one awake", catchUp)
	f.kill(old)
	old.address = "elsewhere"
	f.boot(old)
	for end := f.now + 6*time.Second; f.now < end; f.step() {
		for _, other := range f.boxes {
			if got := other.m.Topology().Cores[old.id]; other != old && got.Incarnation != b.stored.Incarnation {
				t.Fatalf("%v: %s takes %v for the living one", f.now, other.id, got)
			}
		}
	}
	old.frozen = true
	f.settled("the former one started again", catchUp)
	for n := 0; n < testParts; n++ {
		if _, g, ok := f.owner(n); ok && g.Has(old.m.Self().MemberID()) {
			t.Errorf("part %d: %+v", n, g)
		}
	}
	f.kept()
}

// What has ended stays so, whoever says otherwise.
func TestEndedCoresStayEnded(t *testing.T) {
	a := newSingleCore(t)
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
		if got := a.run(step.command); got != step.want {
			t.Errorf("%+v: %+v", step.command, got)
		}
	}
	a.m.learnCore(Core{ID: "z", Incarnation: "1", Version: 2, Retired: true})
	a.m.learnCore(Core{ID: "z", Incarnation: "1", Version: 3})
	if !a.m.Topology().Cores["z"].Retired {
		t.Error("a retired core is told to be none")
	}
	a.m.learnCore(Core{ID: "w", Incarnation: "1", Version: 3})
	a.m.learnCore(Core{ID: "w", Incarnation: "1", Version: 2, Retired: true})
	if !a.m.Topology().Cores["w"].Retired {
		t.Error("a retirement that came late is lost")
	}
}

func TestColdStart(t *testing.T) {
	f := &fleet{t: t, size: 3, random: rand.New(rand.NewPCG(1, 1)), answers: map[uint64]any{}, keys: map[string]string{}, kinds: map[string]int{}, gone: map[string]bool{},
		params: Params{Partition: partition.Params{LeaseDuration: 500 * time.Millisecond, Drift: 0.1, RenewalsPerLease: 5, LeasesPerSweep: 40}, MemberLease: 2 * time.Second, AttemptTimeout: 150 * time.Millisecond, PullInterval: 150 * time.Millisecond}}
	var list []Core
	for i := 0; i < 4; i++ {
		b := f.add(fmt.Sprintf("c%d", i+1))
		b.cold = i != 3
		f.boot(b)
		list = append(list, b.m.Self())
	}
	f.pass(time.Second)
	if f.kinds["core.AnnounceCore"] < 20 {
		t.Errorf("cores that belong to no fleet say so %d times in a second", f.kinds["core.AnnounceCore"])
	}
	plan := Plan("f", testParts, 3, list[:3])
	for _, b := range []*box{f.boxes[3], f.boxes[0]} {
		other := plan
		other.Cores = map[string]Core{"c1": {ID: "c1", Incarnation: "of old"}, "c4": list[3]}
		f.take(b, b.m.Receive(f.now, "desk", FoundFleet{Founding: other}))
		if b.m.Founded() {
			t.Errorf("%s was founded", b.id)
		}
	}
	// One of three misses the founding, and hears of it by saying that it is there.
	f.drop = func(from, to string, body any) bool { _, ok := body.(FoundFleet); return ok && to == "a2" }
	f.take(f.boxes[0], f.boxes[0].m.Receive(f.now, "desk", FoundFleet{Founding: plan}))
	f.pass(500 * time.Millisecond)
	f.drop = nil
	f.settled("founded, and one joined", catchUp)
	for _, b := range f.boxes {
		if got := b.m.Topology().GroupSize; got != 3 {
			t.Errorf("%s: groups of %d", b.id, got)
		}
	}
}

// A fleet at rest tells its topology rarely.
func TestGossipAtRest(t *testing.T) {
	f := newFleet(t, 3, 5)
	f.pass(3 * time.Second)
	clear(f.kinds)
	f.pass(10 * time.Second)
	if got, most := f.kinds["core.Topology"], 5*4*(20+2); got > most {
		t.Errorf("%d topologies in ten seconds, at most %d", got, most)
	}
	t.Log(f.kinds)
}

func TestPlace(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 3))
	for round := 0; round < 200; round++ {
		size, count, parts := 3+2*random.IntN(2), 3+random.IntN(7), 7+random.IntN(13)
		zoneCount := 1 + random.IntN(count)
		var cores []Core
		for i := 0; i < count; i++ {
			cores = append(cores, Core{ID: fmt.Sprint("c", i), Incarnation: "1", Zone: fmt.Sprint("z", i%zoneCount)})
		}
		groups := Place(parts, size, cores, nil)
		random.Shuffle(count, func(i, j int) { cores[i], cores[j] = cores[j], cores[i] })
		again := Place(parts, size, cores, nil)
		seats, firsts := map[string]int{}, map[string]int{}
		for n, g := range groups {
			if !slices.Equal(g, again[n]) {
				t.Fatal("the order of the cores counts")
			}
			if len(g) != min(size, count) {
				t.Fatalf("%d seats of %d", len(g), size)
			}
			byZone := map[string]int{}
			for _, s := range g {
				seats[s]++
				for _, c := range cores {
					if c.MemberID() == s {
						byZone[c.Zone]++
					}
				}
			}
			if len(byZone) != min(zoneCount, size, count) {
				t.Errorf("%d zones of %d for %d seats of %d cores", len(byZone), zoneCount, size, count)
			}
			firsts[g[0]]++
		}
		if count%zoneCount == 0 {
			for _, c := range cores {
				if got, even := seats[c.MemberID()], parts*min(size, count)/count; got < even-1 || got > even+2 {
					t.Errorf("%d cores, %d zones, %d parts of %d: %s has %d seats, even is %d", count, zoneCount, parts, size, c.ID, got, even)
				}
				if got := firsts[c.MemberID()]; got > parts/count+2 {
					t.Errorf("%s is the home of %d parts of %d", c.ID, got, parts)
				}
			}
		}
		// One more core, one silent, one retired.
		more := Place(parts, size, append(slices.Clone(cores), Core{ID: "new", Incarnation: "1", Zone: "z0"}), nil)
		moved := 0
		for n := range groups {
			for _, s := range more[n] {
				if !slices.Contains(groups[n], s) {
					moved++
				}
			}
		}
		if even := parts * min(size, count+1) / (count + 1); zoneCount <= 1 && moved > 3*even {
			t.Errorf("%d of %d seats moved for one core more, %d parts, %d cores", moved, parts*size, parts, count)
		}
		for n, g := range Place(parts, size, cores, map[string]bool{"c0": true}) {
			if slices.Contains(g, "c0.1") != (count <= size) {
				t.Errorf("part %d: %v with c0 silent", n, g)
			}
		}
		cores[0].Retired = true
		for n, g := range Place(parts, size, cores, nil) {
			if slices.Contains(g, cores[0].MemberID()) {
				t.Errorf("part %d: %v with %s retired", n, g, cores[0].ID)
			}
		}
	}
}
