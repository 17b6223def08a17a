package core

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"saffronfall/rule/allowance"
	"saffronfall/rule/ordered"
	"saffronfall/rule/partition"
	"saffronfall/rule/program"
)

// maxLockedUsers is per partition.
const maxLockedUsers = 100

func readLockedUsers(tx *partition.Tx) LockedUsers {
	var list LockedUsers
	for _, key := range tx.Keys(userPrefix) {
		if u, _ := read[program.User](tx, key); u.LockedUntil > tx.Clock() {
			list.Users = append(list.Users, LockedUser{Name: strings.TrimPrefix(key, userPrefix), Remaining: u.LockedUntil - tx.Clock()})
		}
	}
	slices.SortFunc(list.Users, func(a, b LockedUser) int { return int(a.Remaining - b.Remaining) })
	list.Users = list.Users[:min(len(list.Users), maxLockedUsers)]
	return list
}

func (r *rules) openProgram(tx *partition.Tx, c OpenProgram) any {
	key := programPrefix + c.Record.Tenant + "/" + c.Record.ID
	if p, ok := read[program.Record](tx, key); ok {
		return ProgramResult{Found: true, Owned: p.Node == c.Record.Node && p.Incarnation == c.Record.Incarnation, Record: p, Clock: tx.Clock()}
	}
	p := c.Record
	p.Fence, p.OpenedAt, p.LastActive = 1, tx.Clock(), tx.Clock()
	write(tx, key, p)
	return ProgramResult{Found: true, Owned: true, Record: p, Clock: tx.Clock()}
}

// claimProgram makes a node the owner of a program if the former owner has ended. It raises the
// fence, so that late writes of the former owner are rejected.
func (r *rules) claimProgram(tx *partition.Tx, c ClaimProgram) any {
	key := programPrefix + c.Tenant + "/" + c.ID
	p, ok := read[program.Record](tx, key)
	if !ok {
		_, expired := tx.Get(tombstonePrefix + key)
		return ProgramResult{Expired: expired}
	}
	answer := ProgramResult{Found: true, Clock: tx.Clock()}
	switch {
	case p.Node == c.Node && p.Incarnation == c.Incarnation:
		answer.Owned = true
	case p.Node == c.EndedNode && p.Incarnation == c.EndedIncarnation:
		p.Fence++
		p.Node, p.Incarnation, p.Address = c.Node, c.Incarnation, c.Address
		p.ChargeRunning()
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

// saveProgram stores the owner's record, unless a later version is stored.
func (r *rules) saveProgram(tx *partition.Tx, c SaveProgram) any {
	key := programPrefix + c.Record.Tenant + "/" + c.Record.ID
	p, ok := read[program.Record](tx, key)
	if !ok || p.Fence != c.Record.Fence || p.Incarnation != c.Record.Incarnation {
		return ProgramResult{Found: ok, Fenced: true}
	}
	if c.Record.Version <= p.Version {
		return ProgramResult{Found: true, Version: c.Record.Version}
	}
	p = c.Record
	p.LastActive = tx.Clock()
	write(tx, key, p)
	for _, t := range c.Turns {
		write(tx, fmt.Sprintf("%s/turn/%s/%06d", key, t.Conversation, t.Number), t)
	}
	return ProgramResult{Found: true, Version: p.Version}
}

func (r *rules) drawAllowance(tx *partition.Tx, c DrawAllowance) any {
	key := allowancePrefix + c.Tenant + "/" + c.Kind
	l, ok := read[allowance.Ledger](tx, key)
	if !ok && c.Kind == "day" {
		l = allowance.Ledger{Windows: []allowance.Window{{Width: 24 * time.Hour}}}
	}
	before, _ := read[allowance.Ledger](tx, key)
	clock := tx.Clock()
	for _, holder := range c.Ended {
		l.CloseAccount(clock, holder)
	}
	if !l.Report(clock, c.Holder, c.Spent, c.Returned) {
		return DrawResult{}
	}
	target := c.Target
	if c.Kind != "day" {
		d := allowance.Division{Total: c.Limit / c.UnitsPerRequest, Holders: c.Members, IdleDemand: IdleWeight}
		target = l.SetDemand(c.Holder, c.Target, d) * c.UnitsPerRequest
	}
	granted := l.Grant(clock, c.Holder, target, []int64{c.Limit})
	if !reflect.DeepEqual(l, before) {
		write(tx, key, l)
	}
	return DrawResult{Granted: granted, Target: target, Holders: ordered.Keys(l.Holders)}
}
