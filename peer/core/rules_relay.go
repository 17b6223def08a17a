package core

import (
	"net/url"
	"time"

	"saffronfall/rule/invariant"
	"saffronfall/rule/partition"
	"saffronfall/rule/rate"
)

// settledAccountRetention is how long an account with only a settlement is stored.
const settledAccountRetention = time.Minute

func (r *rules) applyRelay(tx *partition.Tx, command any) any {
	switch c := command.(type) {
	case ReserveTurn:
		return r.reserveTurn(tx, c)
	case SettleTurn:
		key := accountKey(c.Tenant, c.Program)
		stored, ok := read[storedAccount](tx, key)
		if !ok {
			// A delayed reservation may arrive after its settlement and must then reserve nothing.
			stored.Until = tx.Clock() + settledAccountRetention
			r.expiries.add(key, stored.Until)
		}
		if stored.Account.Settle(c.Attempt, c.Tokens) {
			write(tx, key, stored)
		}
		return Done{OK: true}
	case StoreTurn:
		return r.storeTurn(tx, c)
	case ClaimTurnRoom:
		return r.claimTurnRoom(tx, c)
	case ReadTurn:
		return r.readTurn(tx, c)
	case ExtendTurn:
		key, turn, ok := findTurn(tx, c.Tenant, c.Attempt)
		if !ok {
			return Done{}
		}
		if until := tx.Clock() + c.Retention; until > turn.Until {
			turn.Until = until
			write(tx, key, turn)
		}
		return Done{OK: true}
	case ClaimKey:
		return r.claimKey(tx, c)
	case EndKey:
		return r.endKey(tx, c)
	case DrawRates:
		return r.drawRates(tx, c)
	case AcceptTable:
		return r.acceptTable(tx, c)
	case FindOrder:
		return findOrder(tx, c)
	case ReadTable:
		t, _ := read[CurrentTable](tx, TableKey)
		return t
	}
	if answer, ok := r.applyInspect(tx, command); ok {
		return answer
	}
	return Done{OK: true}
}

// drawRates draws from the ledgers in memory; only what the next leader needs is stored.
func (r *rules) drawRates(tx *partition.Tx, c DrawRates) any {
	var answer DrawRatesResult
	for _, draw := range c.Draws {
		key := ratePrefix + draw.Tenant
		ledger := r.ledgers[key]
		if ledger == nil {
			stored, _ := read[rate.DurableState](tx, key)
			ledger = rate.Restore(tx.Clock(), stored, draw.Request.LeaseDuration)
			r.ledgers[key] = ledger
		}
		drawn, changed := ledger.Draw(tx.Clock(), draw.Request)
		if ledger.Exceeded {
			r.violated.Violated(invariant.GrantedWithinLimit,
				"tenant %s: more than %d in %v is granted or spent", draw.Tenant, ledger.Limit.Max, ledger.Limit.Window)
		}
		answer.Responses = append(answer.Responses, drawn)
		if changed {
			write(tx, key, ledger.DurableState)
		}
	}
	return answer
}

// accountKey escapes the tenant's name, so that no two pairs of tenant and program share a key.
func accountKey(tenant, program string) string {
	return accountPrefix + url.PathEscape(tenant) + "/" + program
}

func (r *rules) reserveTurn(tx *partition.Tx, command ReserveTurn) any {
	key := accountKey(command.Tenant, command.Program)
	stored, ok := read[storedAccount](tx, key)
	if !stored.Account.Reserve(command.Attempt, command.MaxTokens, command.Budget) {
		return ReserveTurnResult{Charged: stored.Account.Charged + stored.Account.Outstanding()}
	}
	until := tx.Clock() + command.Retention
	if !ok {
		r.expiries.add(key, until)
	}
	stored.Until = max(stored.Until, until)
	stored.Account.LastUsed = tx.Clock()
	write(tx, key, stored)
	return ReserveTurnResult{OK: true, Charged: stored.Account.Charged}
}
