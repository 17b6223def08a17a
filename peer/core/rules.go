package core

import (
	"fmt"
	"time"

	"saffronfall/rule/invariant"
	"saffronfall/rule/message"
	"saffronfall/rule/partition"
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
	Part       partition.Params
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
	violated invariant.Reporter
	ends     expiries
	ledgers  map[string]*rate.Ledger
	// expired are the keys of kept turns whose time ended under this leader.
	expired *recentKeys
}

func (r *rules) Elected(now time.Duration, tx *partition.Tx) {
	r.members, r.versions = map[string]time.Duration{}, map[string]uint64{}
	r.seatedAt = now
	for _, key := range tx.Keys(memberPrefix) {
		r.members[key] = now
	}
	r.seatedRelay(tx)
}

func read[T any](tx *partition.Tx, key string) (T, bool) {
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

func write(tx *partition.Tx, key string, value any) { tx.Put(key, message.Marshal(value)) }

// Apply runs one command.
func (r *rules) Apply(now time.Duration, tx *partition.Tx, command any) any {
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
		v := u.OpenSession(tx.Clock(), c.Program, c.Role, c.WarnRatio)
		write(tx, key, u)
		return v
	case ChargeUser:
		key := "user/" + c.Tenant + "/" + c.User
		u, ok := read[program.User](tx, key)
		if !ok {
			u = program.NewUser()
		}
		tokens := u.ChargeSession(tx.Clock(), c.Program, c.Charged, c.Covered)
		if c.Closed {
			u.CloseSession(c.Program)
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
		p.ChargeRunning()
		// The owner wrote everything through before it handed the program over.
		p.Precharged, p.Mirrors, p.MirrorsFence = 0, nil, 0
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
		number := b.IssueProbe(tx.Clock(), c.Program, c.Limits.params())
		r.keepBreaker(tx, b, before)
		return Tested{Number: number, State: string(b.State), Left: b.RecoveryLeft(tx.Clock(), c.Limits.params())}
	case ResultTest:
		b, before := r.breaker(tx)
		b.RecordResult(tx.Clock(), c.Program, c.Good, c.Limits.params())
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
			list.Entries = append(list.Entries, partition.Entry{Key: key, Value: raw})
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
