package core

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"saffronfall/rule/allowance"
	"saffronfall/rule/breaker"
	"saffronfall/rule/message"
	"saffronfall/rule/ordered"
	"saffronfall/rule/part"
	"saffronfall/rule/program"
	"saffronfall/rule/rate"
)

// Chunk is how many units of a tenant's rate let a bucket hold one inquiry.
const Chunk = 16

// IdleWeight is what a node wants of a rate that nobody asks it for, so that
// it holds a share in advance.
const IdleWeight = 32

// Params bound the control plane's timing; what else it needs are ratios to
// these.
type Params struct {
	Part       part.Params
	MemberTerm time.Duration
	// Retry is how long an attempt at a command may take.
	Retry time.Duration
	// Pull is how often news is pulled.
	Pull time.Duration
	// Gone is after how long a silent core's seats may go to others; zero: three
	// terms of a member.
	Gone time.Duration
	// ColdStart allows a core with an empty folder to found a fleet.
	ColdStart bool
	// OrderKeep is how long an accepted order of an operator is known again; zero:
	// defaultOrderKeep.
	OrderKeep time.Duration
}

type rules struct {
	params Params
	// fleet tells the known cores, in a map of its own, and how many must stay.
	fleet    func() (map[string]Core, int)
	members  map[string]time.Duration
	versions map[string]uint64
	seatedAt time.Duration
	ends     expiries
	ledgers  map[string]*rate.Ledger
}

func (r *rules) Seated(now time.Duration, tx *part.Tx) {
	r.members, r.versions = map[string]time.Duration{}, map[string]uint64{}
	r.seatedAt = now
	for _, key := range tx.Keys(memberPrefix) {
		r.members[key] = now
	}
	r.seatedRelay(tx)
}

func read[T any](tx *part.Tx, key string) (T, bool) {
	var value T
	raw, ok := tx.Get(key)
	if !ok {
		return value, false
	}
	if err := message.Unmarshal(raw, &value); err != nil {
		panic(fmt.Sprintf("entry %s: %v", key, err))
	}
	return value, true
}

func write(tx *part.Tx, key string, value any) { tx.Put(key, message.Marshal(value)) }

func (r *rules) memberTerm() time.Duration {
	return time.Duration(float64(r.params.MemberTerm) * (1 + r.params.Part.Drift))
}

// Apply runs one command.
func (r *rules) Apply(now time.Duration, tx *part.Tx, command any) any {
	switch c := command.(type) {
	case JoinMember:
		return r.join(now, tx, c)
	case RenewMember:
		return r.renew(now, tx, c)
	case LeaveMember:
		key := memberPrefix + c.ID
		m, ok := read[Member](tx, key)
		if ok && m.Incarnation == c.Incarnation && !m.Ended {
			m.Ended = true
			write(tx, key, m)
		}
		return Termed{Ended: true}
	case OpenUser:
		key := "user/" + c.Tenant + "/" + c.User
		u, ok := read[program.User](tx, key)
		if !ok {
			u = program.NewUser()
		}
		v := u.Open(tx.Clock(), c.Program, c.Role, c.WarnRatio)
		write(tx, key, u)
		return v
	case ChargeUser:
		key := "user/" + c.Tenant + "/" + c.User
		u, ok := read[program.User](tx, key)
		if !ok {
			u = program.NewUser()
		}
		tokens := u.Charge(tx.Clock(), c.Program, c.Charged, c.Covered)
		if c.Closed {
			u.Close(c.Program)
		}
		write(tx, key, u)
		return UserDay{Tokens: tokens}
	case OpenProgram:
		return r.openProgram(tx, c)
	case ClaimProgram:
		return r.claimProgram(tx, c)
	case SaveProgram:
		return r.saveProgram(tx, c)
	case HandProgram:
		key := programPrefix + c.Tenant + "/" + c.ID
		p, ok := read[program.Record](tx, key)
		if !ok || p.Fence != c.Fence {
			return Programmed{Found: ok, Fenced: true}
		}
		p.Fence++
		p.Node, p.Incarnation, p.Address = c.Node, c.Incarnation, c.Address
		p.Settle()
		// The owner wrote everything through before it handed the program over.
		p.Covered, p.Mirrors, p.MirrorsFence = 0, nil, 0
		write(tx, key, p)
		return Programmed{Found: true}
	case ShareTenant:
		return r.shareTenant(tx, c)
	case ShareRates:
		var all SharedRates
		for _, one := range c.Rates {
			all.Rates = append(all.Rates, r.shareTenant(tx, one).(Shared))
		}
		return all
	case DrawBreaker:
		return r.drawBreaker(tx, c)
	case AdmitTest:
		b, before := r.breaker(tx)
		number := b.Admit(tx.Clock(), c.Program, c.Limits.params())
		r.keepBreaker(tx, b, before)
		return Tested{Number: number, State: string(b.State), Left: b.Left(tx.Clock(), c.Limits.params())}
	case ResultTest:
		b, before := r.breaker(tx)
		b.Result(tx.Clock(), c.Program, c.Good, c.Limits.params())
		r.keepBreaker(tx, b, before)
		return Tested{State: string(b.State)}
	case ClaimOnce:
		return r.claimOnce(tx, c)
	case EndOnce:
		return r.endOnce(tx, c)
	case ReadEntries:
		var list Entries
		for _, key := range tx.Keys(c.Prefix) {
			raw, _ := tx.Get(key)
			list.Entries = append(list.Entries, part.Entry{Key: key, Value: raw})
		}
		return list
	case ReadLocked:
		return readLocked(tx)
	case AgreeConfiguration:
		return r.agreeDescription(tx, c)
	case SetFloor:
		return r.setFloor(now, tx, c)
	case PutCore:
		return putCore(tx, c)
	case RetireCore:
		return r.retireCore(tx, c)
	case Sweep:
		r.sweep(now, tx)
		r.sweepRelay(tx)
	default:
		return r.applyRelay(tx, command)
	}
	return Done{OK: true}
}

func putCore(tx *part.Tx, c PutCore) any {
	old, ok := read[Core](tx, corePrefix+c.Core.ID)
	_, outlived := tx.Get(outlivedPrefix + c.Core.Seat())
	switch {
	case outlived, ok && old.Retired && !c.Core.Retired:
		return CoreEnded{Core: old}
	case ok && old == c.Core:
		return Done{OK: true}
	case ok && old.Version >= c.Core.Version:
		return Done{}
	}
	if ok && old.Incarnation != c.Core.Incarnation {
		write(tx, outlivedPrefix+old.Seat(), true)
	}
	write(tx, corePrefix+c.Core.ID, c.Core)
	return Done{OK: true}
}

func (r *rules) retireCore(tx *part.Tx, c RetireCore) any {
	cores, enough := r.fleet()
	for _, key := range tx.Keys(corePrefix) {
		if one, _ := read[Core](tx, key); cores[one.ID].Version <= one.Version {
			cores[one.ID] = one
		}
	}
	one, ok := cores[c.ID]
	staying := 0
	for _, other := range cores {
		if !other.Retired && other.ID != c.ID {
			staying++
		}
	}
	switch {
	case !ok:
		return Retiring{}
	case one.Retired:
	case staying < enough:
		return Retiring{Known: true}
	default:
		one.Retired = true
		one.Version++
		write(tx, corePrefix+c.ID, one)
	}
	return Retiring{Known: true, Enough: true, Done: true}
}

func (r *rules) join(now time.Duration, tx *part.Tx, c JoinMember) any {
	key := memberPrefix + c.Member.ID
	floor, _ := read[uint64](tx, floorKey)
	m, ok := read[Member](tx, key)
	switch {
	case ok && m.HasEnded(c.Member.Incarnation):
		return Termed{Ended: true, Floor: floor}
	case ok && m.Incarnation != c.Member.Incarnation && !m.Ended && (m.Host == "" || m.Host != c.Member.Host || LifeOf(m.Incarnation) == LifeOf(c.Member.Incarnation)):
		if wait := r.members[key] + r.memberTerm() - now; wait > 0 {
			return Termed{Wait: wait, Floor: floor}
		}
	}
	if c.Member.Version < floor {
		return Termed{Floor: floor}
	}
	if !ok || m.Incarnation != c.Member.Incarnation {
		fresh := c.Member
		if ok {
			fresh.Past = append(m.Past, m.Incarnation)
			if n := len(fresh.Past); n > livesKept {
				fresh.Past = fresh.Past[n-livesKept:]
			}
		}
		write(tx, key, fresh)
	}
	r.members[key], r.versions[key] = now, c.Member.Version
	return Termed{Granted: true, Floor: floor}
}

// LifeOf is the process that an incarnation belongs to: its terms have one each.
func LifeOf(incarnation string) string {
	life, _, _ := strings.Cut(incarnation, "+")
	return life
}

func (r *rules) renew(now time.Duration, tx *part.Tx, c RenewMember) any {
	key := memberPrefix + c.ID
	floor, _ := read[uint64](tx, floorKey)
	m, ok := read[Member](tx, key)
	if !ok || m.Incarnation != c.Incarnation || m.Ended {
		return Termed{Ended: true, Floor: floor}
	}
	if c.Version < floor {
		return Termed{Floor: floor}
	}
	r.members[key], r.versions[key] = now, max(c.Version, r.versions[key])
	return Termed{Granted: true, Floor: floor}
}

func (r *rules) setFloor(now time.Duration, tx *part.Tx, c SetFloor) any {
	floor, _ := read[uint64](tx, floorKey)
	if floor < c.Version {
		write(tx, floorKey, c.Version)
	}
	var answer Floored
	for _, key := range tx.Keys(memberPrefix) {
		m, _ := read[Member](tx, key)
		if !m.Ended && r.versions[key] < c.Version {
			answer.Lagging = append(answer.Lagging, m.ID)
		}
	}
	answer.Done = len(answer.Lagging) == 0
	return answer
}

func (r *rules) sweep(now time.Duration, tx *part.Tx) {
	for _, key := range tx.Keys(memberPrefix) {
		m, _ := read[Member](tx, key)
		if !m.Ended && now >= r.members[key]+r.memberTerm() {
			m.Ended = true
			write(tx, key, m)
		}
	}
	clock := tx.Clock()
	for _, key := range tx.Keys(programPrefix) {
		if countSlashes(key) != 2 {
			continue
		}
		p, _ := read[program.Record](tx, key)
		if clock >= p.Touched+p.Keep && len(p.Running) == 0 {
			for _, turn := range tx.Keys(key + "/") {
				tx.Remove(turn)
			}
			tx.Remove(key)
			write(tx, "past/"+key, clock)
		}
	}
	for _, key := range tx.Keys("past/") {
		if at, _ := read[time.Duration](tx, key); clock >= at+24*time.Hour {
			tx.Remove(key)
		}
	}
	for _, key := range tx.Keys(oncePrefix) {
		if o, _ := read[Once](tx, key); clock >= o.Until {
			tx.Remove(key)
		}
	}
}

// lockedTold is how many locked users are told of a part.
const lockedTold = 100

func readLocked(tx *part.Tx) LockedUsers {
	var list LockedUsers
	for _, key := range tx.Keys("user/") {
		if u, _ := read[program.User](tx, key); u.Locked > tx.Clock() {
			list.Users = append(list.Users, LockedUser{Name: strings.TrimPrefix(key, "user/"), Left: u.Locked - tx.Clock()})
		}
	}
	slices.SortFunc(list.Users, func(a, b LockedUser) int { return int(a.Left - b.Left) })
	list.Users = list.Users[:min(len(list.Users), lockedTold)]
	return list
}

func countSlashes(s string) int {
	n := 0
	for i := range s {
		if s[i] == '/' {
			n++
		}
	}
	return n
}

func (r *rules) openProgram(tx *part.Tx, c OpenProgram) any {
	key := programPrefix + c.Record.Tenant + "/" + c.Record.ID
	if p, ok := read[program.Record](tx, key); ok {
		return Programmed{Found: true, Owned: p.Node == c.Record.Node && p.Incarnation == c.Record.Incarnation, Record: p, Clock: tx.Clock()}
	}
	p := c.Record
	p.Fence, p.Opened, p.Touched = 1, tx.Clock(), tx.Clock()
	write(tx, key, p)
	return Programmed{Found: true, Owned: true, Record: p, Clock: tx.Clock()}
}

func (r *rules) claimProgram(tx *part.Tx, c ClaimProgram) any {
	key := programPrefix + c.Tenant + "/" + c.ID
	p, ok := read[program.Record](tx, key)
	if !ok {
		_, past := tx.Get("past/" + key)
		return Programmed{Gone: past}
	}
	answer := Programmed{Found: true, Clock: tx.Clock()}
	switch {
	case p.Node == c.Node && p.Incarnation == c.Incarnation:
		answer.Owned = true
	case p.Node == c.EndedNode && p.Incarnation == c.EndedFormer:
		p.Fence++
		p.Node, p.Incarnation, p.Address = c.Node, c.Incarnation, c.Address
		p.Settle()
		write(tx, key, p)
		answer.Owned = true
	}
	answer.Record = p
	if answer.Owned {
		for _, turn := range tx.Keys(key + "/") {
			t, _ := read[program.Turn](tx, turn)
			answer.Turns = append(answer.Turns, t)
		}
	}
	return answer
}

func (r *rules) saveProgram(tx *part.Tx, c SaveProgram) any {
	key := programPrefix + c.Record.Tenant + "/" + c.Record.ID
	p, ok := read[program.Record](tx, key)
	if !ok || p.Fence != c.Record.Fence || p.Incarnation != c.Record.Incarnation {
		return Programmed{Found: ok, Fenced: true}
	}
	if c.Record.Version <= p.Version {
		return Programmed{Found: true, Version: c.Record.Version}
	}
	p = c.Record
	p.Touched = tx.Clock()
	write(tx, key, p)
	for _, t := range c.Turns {
		write(tx, fmt.Sprintf("%s/turn/%s/%06d", key, t.Line, t.Number), t)
	}
	return Programmed{Found: true, Version: p.Version}
}

func (r *rules) shareTenant(tx *part.Tx, c ShareTenant) any {
	key := "tenant/" + c.Tenant + "/" + c.Kind
	l, ok := read[allowance.Ledger](tx, key)
	if !ok && c.Kind == "day" {
		l = allowance.Ledger{Windows: []allowance.Window{{Width: 24 * time.Hour}}}
	}
	before, _ := read[allowance.Ledger](tx, key)
	clock := tx.Clock()
	for _, holder := range c.Ended {
		l.End(clock, holder)
	}
	if !l.Report(clock, c.Holder, c.Spent, c.Returned) {
		return Shared{}
	}
	target := c.Target
	if c.Kind != "day" {
		d := allowance.Division{Whole: c.Whole / c.Chunk, Holders: c.Members, Idle: IdleWeight}
		target = l.Want(c.Holder, c.Target, d) * c.Chunk
	}
	granted := l.Draw(clock, c.Holder, target, []int64{c.Whole})
	if !reflect.DeepEqual(l, before) {
		write(tx, key, l)
	}
	return Shared{Granted: granted, Target: target, Others: ordered.Keys(l.Holders)}
}

func (b BreakerLimits) params() breaker.Params {
	return breaker.Params{Minute: b.Minute, Hour: b.Hour, Day: b.Day, Recovery: b.Recovery, Tests: b.Tests}
}

func (r *rules) breaker(tx *part.Tx) (b, before breaker.Breaker) {
	b, ok := read[breaker.Breaker](tx, breakerBooks)
	if !ok {
		b = breaker.New()
	}
	before, _ = read[breaker.Breaker](tx, breakerBooks)
	return b, before
}

func (r *rules) keepBreaker(tx *part.Tx, b, before breaker.Breaker) {
	if !reflect.DeepEqual(b, before) {
		write(tx, breakerBooks, b)
	}
	old, _ := read[BreakerNews](tx, breakerKey)
	news := BreakerNews{State: string(b.State), Trips: b.Trips, Since: b.Since, Reason: b.Reason, Clock: tx.Clock()}
	if old.State != news.State || old.Trips != news.Trips {
		write(tx, breakerKey, news)
	}
}

// BreakerNews is what nodes learn of the breaker.
type BreakerNews struct {
	State  string        `msgpack:"s"`
	Trips  int64         `msgpack:"t"`
	Since  time.Duration `msgpack:"i"`
	Clock  time.Duration `msgpack:"c"`
	Reason string        `msgpack:"r"`
}

func (r *rules) drawBreaker(tx *part.Tx, c DrawBreaker) any {
	b, before := r.breaker(tx)
	clock := tx.Clock()
	for _, holder := range c.Ended {
		b.Ledger.End(clock, holder)
	}
	if !b.Ledger.Report(clock, c.Holder, c.Spent, c.Returned) {
		return Shared{}
	}
	params := c.Description.params()
	b.Turn(clock, params)
	granted := b.Draw(clock, c.Holder, c.Target, c.Need, params)
	r.keepBreaker(tx, b, before)
	return Shared{Granted: granted, Open: b.State == breaker.Open, Left: b.Left(clock, params), Others: ordered.Keys(b.Ledger.Holders)}
}

func (r *rules) claimOnce(tx *part.Tx, c ClaimOnce) any {
	key := oncePrefix + c.Tenant + "/" + c.Service + "/" + c.Key
	o, ok := read[Once](tx, key)
	if !ok {
		o = Once{Claim: c.Claim, Digest: c.Digest, State: OnceIntent, Until: tx.Clock() + c.Keep}
		write(tx, key, o)
	}
	return o
}

func (r *rules) endOnce(tx *part.Tx, c EndOnce) any {
	key := oncePrefix + c.Tenant + "/" + c.Service + "/" + c.Key
	o, ok := read[Once](tx, key)
	if !ok || o.Claim != c.Claim || o.State != OnceIntent {
		return o
	}
	if c.State == OnceFree {
		tx.Remove(key)
		return Once{State: OnceFree}
	}
	o.State, o.Status, o.Body = c.State, c.Status, c.Body
	write(tx, key, o)
	return o
}

const livesKept = 256
