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
		b, ok := read[storedAccount](tx, key)
		if !ok {
			// A delayed reservation may arrive after its settlement and must then reserve nothing.
			b.Until = tx.Clock() + settledAccountRetention
			r.expiries.add(key, b.Until)
		}
		if b.Account.Settle(c.Attempt, c.Tokens) {
			write(tx, key, b)
		}
		return Done{OK: true}
	case StoreTurn:
		return r.storeTurn(tx, c)
	case ReadTurn:
		return r.readTurn(tx, c)
	case ExtendTurn:
		key, t, ok := findTurn(tx, c.Tenant, c.Attempt)
		if !ok {
			return Done{}
		}
		if until := tx.Clock() + c.Retention; until > t.Until {
			t.Until = until
			write(tx, key, t)
		}
		return Done{OK: true}
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
	return Done{OK: true}
}

// drawRates draws from the ledgers in memory; only what the next leader needs is stored.
func (r *rules) drawRates(tx *partition.Tx, c DrawRates) any {
	var answer DrawRatesResult
	for _, d := range c.Draws {
		key := ratePrefix + d.Tenant
		l := r.ledgers[key]
		if l == nil {
			stored, _ := read[rate.DurableState](tx, key)
			l = rate.Restore(tx.Clock(), stored, d.Request.LeaseDuration)
			r.ledgers[key] = l
		}
		drawn, changed := l.Draw(tx.Clock(), d.Request)
		if l.Exceeded {
			r.violated.Violated(invariant.GrantedWithinLimit,
				"tenant %s: more than %d in %v is granted or spent", d.Tenant, l.Limit.Max, l.Limit.Window)
		}
		answer.Responses = append(answer.Responses, drawn)
		if changed {
			write(tx, key, l.DurableState)
		}
	}
	return answer
}

// accountKey escapes the tenant's name, so that no two pairs of tenant and program share a key.
func accountKey(tenant, program string) string {
	return accountPrefix + url.PathEscape(tenant) + "/" + program
}

func (r *rules) reserveTurn(tx *partition.Tx, c ReserveTurn) any {
	key := accountKey(c.Tenant, c.Program)
	b, ok := read[storedAccount](tx, key)
	if !b.Account.Reserve(c.Attempt, c.MaxTokens, c.Budget) {
		return ReserveTurnResult{Charged: b.Account.Charged + b.Account.Outstanding()}
	}
	until := tx.Clock() + c.Retention
	if !ok {
		r.expiries.add(key, until)
	}
	b.Until = max(b.Until, until)
	b.Account.LastUsed = tx.Clock()
	write(tx, key, b)
	return ReserveTurnResult{OK: true, Charged: b.Account.Charged}
}
