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

// UnitsPerRequest is how many units of a tenant's rate one request uses.
const UnitsPerRequest = 16

// IdleWeight is the demand, in requests, of a node without requests of a tenant, so that it holds a
// share of the rate in advance.
const IdleWeight = 32

// Params set the control plane's timing; other durations are ratios of these.
type Params struct {
	Partition partition.Params
	// MemberLease is how long a membership lasts without a renewal.
	MemberLease time.Duration
	// AttemptTimeout is when an unanswered command is retried.
	AttemptTimeout time.Duration
	PullInterval   time.Duration
	// SilenceTimeout is when other cores replace a silent core; zero means three member leases.
	SilenceTimeout time.Duration
	// OrderRetention is how long accepted orders are recorded; zero means defaultOrderRetention.
	OrderRetention time.Duration
	// MaxKeyBytes bounds the memory for the operation keys of a partition; zero means
	// defaultMaxKeyBytes.
	MaxKeyBytes int
	// MaxTurnBytes bounds the memory for the stored turns of a partition; zero means
	// defaultMaxTurnBytes.
	MaxTurnBytes int
	// MinGroupSize is the number of members that groups grow to, also in a fleet that was founded with
	// smaller ones; zero means that they keep the size of the founding.
	MinGroupSize int
	// Domains are the zones and regions that may be lost as a whole.
	Domains FailureDomains
}

// rules runs the commands of one partition on its leader. Fields other than params, fleet and
// violated are volatile state of the leader and start empty when it is elected.
type rules struct {
	params Params
	// fleet returns the known cores, in a map that the caller may change, and the minimum number of
	// cores that are not retired.
	fleet func() (map[string]Core, int)
	// renewedAt is when each member's lease was last renewed, by the leader's clock; memberVersions
	// is the version that it followed then.
	renewedAt      map[string]time.Duration
	memberVersions map[string]uint64
	electedAt      time.Duration
	violated       invariant.Reporter
	expiries       expiryQueue
	ledgers        map[string]*rate.Ledger
	// expired has the keys that this leader deleted on expiry.
	expired *recentKeys
	keys    keyUsage
	turns   turnUsage
}

// Elected resets the volatile state. All leases count from now, because an earlier leader may have
// renewed them until its term ended.
func (r *rules) Elected(now time.Duration, tx *partition.Tx) {
	r.renewedAt, r.memberVersions = map[string]time.Duration{}, map[string]uint64{}
	r.electedAt = now
	for _, key := range tx.Keys(memberPrefix) {
		r.renewedAt[key] = now
	}
	r.loadExpiries(tx)
}

// read panics if the entry is corrupt.
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

// Apply runs one command and returns its result.
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
		return MembershipResult{Ended: true}
	case OpenUser:
		key := userPrefix + c.Tenant + "/" + c.User
		user, ok := read[program.User](tx, key)
		if !ok {
			user = program.NewUser()
		}
		v := user.OpenSession(tx.Clock(), c.Program, c.Role, c.WarnRatio)
		write(tx, key, user)
		return v
	case ChargeUser:
		key := userPrefix + c.Tenant + "/" + c.User
		user, ok := read[program.User](tx, key)
		if !ok {
			user = program.NewUser()
		}
		tokens := user.ChargeSession(tx.Clock(), c.Program, c.Charged, c.Covered)
		if c.Closed {
			user.CloseSession(c.Program)
		}
		write(tx, key, user)
		return ChargeUserResult{Tokens: tokens}
	case OpenProgram:
		return r.openProgram(tx, c)
	case ClaimProgram:
		return r.claimProgram(tx, c)
	case SaveProgram:
		return r.saveProgram(tx, c)
	case HandOverProgram:
		key := programPrefix + c.Tenant + "/" + c.ID
		record, ok := read[program.Record](tx, key)
		if !ok || record.Fence != c.Fence {
			return ProgramResult{Found: ok, Fenced: true}
		}
		record.Fence++
		record.Node, record.Incarnation, record.Address = c.Node, c.Incarnation, c.Address
		record.ChargeRunning()
		// The owner saved all changes before the handover, so no mirror is needed.
		record.Precharged, record.Mirrors, record.MirrorsFence = 0, nil, 0
		write(tx, key, record)
		return ProgramResult{Found: true}
	case DrawAllowance:
		return r.drawAllowance(tx, c)
	case DrawAllowances:
		var all DrawResults
		for _, draw := range c.Draws {
			all.Results = append(all.Results, r.drawAllowance(tx, draw).(DrawResult))
		}
		return all
	case DrawBreaker:
		return r.drawBreaker(tx, c)
	case AdmitProbe:
		b, before := r.loadBreaker(tx)
		number := b.IssueProbe(tx.Clock(), c.Program, c.Limits.params())
		r.saveBreaker(tx, b, before)
		return ProbeResult{Number: number, State: string(b.State), Remaining: b.RecoveryLeft(tx.Clock(), c.Limits.params())}
	case ReportProbe:
		b, before := r.loadBreaker(tx)
		b.RecordResult(tx.Clock(), c.Program, c.Succeeded, c.Limits.params())
		r.saveBreaker(tx, b, before)
		return ProbeResult{State: string(b.State)}
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
	case ReadLockedUsers:
		return readLockedUsers(tx)
	case AcceptConfiguration:
		return r.acceptConfiguration(tx, c)
	case SetVersionFloor:
		return r.setVersionFloor(now, tx, c)
	case PutCore:
		return putCore(tx, c)
	case observedRetirement:
		return r.retireCore(tx, c)
	case Sweep:
		r.sweep(now, tx)
		r.sweepExpired(tx)
	default:
		return r.applyRelay(tx, command)
	}
	return Done{OK: true}
}
