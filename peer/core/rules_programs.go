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

func (r *rules) openProgram(tx *partition.Tx, command OpenProgram) any {
	key := programPrefix + command.Record.Tenant + "/" + command.Record.ID
	if p, ok := read[program.Record](tx, key); ok {
		return ProgramResult{
			Found:  true,
			Owned:  p.Node == command.Record.Node && p.Incarnation == command.Record.Incarnation,
			Record: p,
			Clock:  tx.Clock(),
		}
	}
	p := command.Record
	p.Fence, p.OpenedAt, p.LastActive = 1, tx.Clock(), tx.Clock()
	write(tx, key, p)
	return ProgramResult{Found: true, Owned: true, Record: p, Clock: tx.Clock()}
}

// claimProgram raises the fence, so that late writes of the former owner are rejected.
func (r *rules) claimProgram(tx *partition.Tx, command ClaimProgram) any {
	key := programPrefix + command.Tenant + "/" + command.ID
	record, ok := read[program.Record](tx, key)
	if !ok {
		_, expired := tx.Get(tombstonePrefix + key)
		return ProgramResult{Expired: expired}
	}
	answer := ProgramResult{Found: true, Clock: tx.Clock()}
	switch {
	case record.Node == command.Node && record.Incarnation == command.Incarnation:
		answer.Owned = true
	case record.Node == command.EndedNode && record.Incarnation == command.EndedIncarnation:
		record.Fence++
		record.Node, record.Incarnation, record.Address = command.Node, command.Incarnation, command.Address
		record.ChargeRunning()
		write(tx, key, record)
		answer.Owned = true
	}
	answer.Record = record
	if answer.Owned {
		for _, turn := range tx.Keys(key + "/") {
			t, _ := read[program.Turn](tx, turn)
			answer.Turns = append(answer.Turns, t)
		}
	}
	return answer
}

// saveProgram stores the owner's record, unless a later version is stored.
func (r *rules) saveProgram(tx *partition.Tx, command SaveProgram) any {
	key := programPrefix + command.Record.Tenant + "/" + command.Record.ID
	record, ok := read[program.Record](tx, key)
	if !ok || record.Fence != command.Record.Fence || record.Incarnation != command.Record.Incarnation {
		return ProgramResult{Found: ok, Fenced: true}
	}
	if command.Record.Version <= record.Version {
		return ProgramResult{Found: true, Version: command.Record.Version}
	}
	record = command.Record
	record.LastActive = tx.Clock()
	write(tx, key, record)
	for _, t := range command.Turns {
		write(tx, fmt.Sprintf("%s/turn/%s/%06d", key, t.Conversation, t.Number), t)
	}
	return ProgramResult{Found: true, Version: record.Version}
}

const (
	dailyAllowance = "day"
	dailyWindow    = 24 * time.Hour
)

func (r *rules) drawAllowance(tx *partition.Tx, command DrawAllowance) any {
	key := allowancePrefix + command.Tenant + "/" + command.Kind
	ledger, ok := read[allowance.Ledger](tx, key)
	if !ok && command.Kind == dailyAllowance {
		ledger = allowance.Ledger{Windows: []allowance.Window{{Width: dailyWindow}}}
	}
	before, _ := read[allowance.Ledger](tx, key)
	clock := tx.Clock()
	for _, holder := range command.Ended {
		ledger.CloseAccount(clock, holder)
	}
	if !ledger.Report(clock, command.Holder, command.Spent, command.Returned) {
		return DrawResult{}
	}
	target := command.Target
	if command.Kind != dailyAllowance {
		d := allowance.Division{Total: command.Limit / command.UnitsPerRequest, Holders: command.Members, IdleDemand: IdleWeight}
		target = ledger.SetDemand(command.Holder, command.Target, d) * command.UnitsPerRequest
	}
	granted := ledger.Grant(clock, command.Holder, target, []int64{command.Limit})
	if !reflect.DeepEqual(ledger, before) {
		write(tx, key, ledger)
	}
	return DrawResult{Granted: granted, Target: target, Holders: ordered.Keys(ledger.Holders)}
}
