package core

import (
	"net/url"
	"strings"
	"time"

	"saffronfall/rule/book"
	"saffronfall/rule/invariant"
	"saffronfall/rule/partition"
	"saffronfall/rule/rate"
)

// Commands of nodes that relay requests, and of desks. Each may be repeated
// without harm.
type (
	// ReserveTurn books the most that a turn may put out. Attempt is the node's own
	// name of this one reservation, never what its requester calls the attempt: the
	// same command may be repeated, and two turns must not share a booking.
	ReserveTurn struct {
		Tenant    string        `msgpack:"t"`
		Program   string        `msgpack:"p"`
		Attempt   string        `msgpack:"a"`
		MaxTokens int64         `msgpack:"m"`
		Budget    int64         `msgpack:"b"`
		Retention time.Duration `msgpack:"k"`
	}
	// TurnReserved answers it: OK means that the turn may run.
	ReserveTurnResult struct {
		OK      bool  `msgpack:"o"`
		Charged int64 `msgpack:"c"`
	}
	// SettleTurn replaces a reservation by what the turn put out.
	SettleTurn struct {
		Tenant  string `msgpack:"t"`
		Program string `msgpack:"p"`
		Attempt string `msgpack:"a"`
		Tokens  int64  `msgpack:"n"`
	}
	// KeepTurn keeps a whole turn, with the names of those before it, oldest
	// first.
	StoreTurn struct {
		Tenant    string        `msgpack:"t"`
		Attempt   string        `msgpack:"a"`
		Previous  []string      `msgpack:"b"`
		Input     []byte        `msgpack:"i"`
		Output    []byte        `msgpack:"o"`
		Retention time.Duration `msgpack:"k"`
	}
	// ReadTurn reads a kept turn.
	ReadTurn struct {
		Tenant  string `msgpack:"t"`
		Attempt string `msgpack:"a"`
	}
	// KeptTurn answers it. A turn that is not Found surely is not kept: the part
	// that answers holds what a majority has agreed.
	ReadTurnResult struct {
		Found bool `msgpack:"f"`
		// Absence says why it is not found.
		Absence  Absence  `msgpack:"w,omitempty"`
		Previous []string `msgpack:"b"`
		Input    []byte   `msgpack:"i"`
		Output   []byte   `msgpack:"o"`
		// Left is how long it is still kept.
		Left time.Duration `msgpack:"l"`
	}
	// ProlongTurn keeps a kept turn for longer, as one that goes on from it was
	// kept.
	ExtendTurn struct {
		Tenant    string        `msgpack:"t"`
		Attempt   string        `msgpack:"a"`
		Retention time.Duration `msgpack:"k"`
	}
	// DrawRates books draws of several tenants whose ledgers are in one part.
	DrawRates struct {
		Partition int          `msgpack:"p"`
		Draws     []TenantDraw `msgpack:"d"`
	}
	// TenantDraw is a draw of one tenant's rate.
	TenantDraw struct {
		Tenant  string           `msgpack:"n"`
		Request rate.DrawRequest `msgpack:"d"`
	}
	// RatesDrawn answers, in the same order.
	DrawRatesResult struct {
		Responses []rate.DrawResponse `msgpack:"d"`
	}
	// AgreeTable makes a checked routing table the one in force.
	AcceptTable struct {
		Base   uint64 `msgpack:"b"`
		Number uint64 `msgpack:"n"`
		Text   []byte `msgpack:"t"`
		Digest string `msgpack:"d"`
	}
	// TableAgreed answers it. Number is the one in force.
	AcceptTableResult struct {
		OK     bool   `msgpack:"o"`
		Number uint64 `msgpack:"n"`
	}
	// FindOrder asks whether an order that made a routing table was accepted. The
	// answer is as to AgreeTable, and nothing changes.
	FindOrder struct {
		Base   uint64 `msgpack:"b"`
		Number uint64 `msgpack:"n"`
		Digest string `msgpack:"d"`
	}
	// ReadTable reads the routing table in force.
	ReadTable struct{}
	// AgreedTable answers it, and is the durable state. Past is what a former
	// version kept of accepted orders; it is read and no longer written.
	CurrentTable struct {
		Number uint64      `msgpack:"n"`
		Text   []byte      `msgpack:"t"`
		Digest string      `msgpack:"d"`
		Past   []PastTable `msgpack:"p"`
	}
	// HandedNumber is a table that was agreed, and on what it was based.
	PastTable struct {
		Base   uint64 `msgpack:"b"`
		Number uint64 `msgpack:"n"`
		Digest string `msgpack:"d"`
	}

	storedTurn struct {
		Tenant   string        `msgpack:"t"`
		Previous []string      `msgpack:"b"`
		Input    []byte        `msgpack:"i"`
		Output   []byte        `msgpack:"o"`
		Until    time.Duration `msgpack:"u"`
	}
	storedBook struct {
		Book  book.Book     `msgpack:"b"`
		Until time.Duration `msgpack:"u"`
	}
)

// TableKey is the entry of the routing table in force.
const TableKey = "table"

const (
	bookPrefix = "book/"
	turnPrefix = "kept/"
	ratePrefix = "rate/"
)

// IsCoreKey reports whether an entry is a core's.
func IsCoreKey(key string) bool { return strings.HasPrefix(key, corePrefix) }

// SeatID is the name of the core whose incarnation a seat is.
func CoreID(seat string) string {
	if i := strings.LastIndexByte(seat, '.'); i >= 0 {
		return seat[:i]
	}
	return seat
}

// RatePart is the part that keeps the ledger of a tenant's rate.
func RatePartition(parts int, tenant string) int { return PartitionOf(parts, "rate", tenant) }

func relayTargetPartition(parts int, command any) (int, bool) {
	switch c := command.(type) {
	case ReserveTurn:
		return PartitionOf(parts, "book", c.Tenant, c.Program), true
	case SettleTurn:
		return PartitionOf(parts, "book", c.Tenant, c.Program), true
	case StoreTurn:
		return PartitionOf(parts, "kept", c.Attempt), true
	case ReadTurn:
		return PartitionOf(parts, "kept", c.Attempt), true
	case ExtendTurn:
		return PartitionOf(parts, "kept", c.Attempt), true
	case DrawRates:
		return c.Partition, true
	}
	return 0, false
}

// expiry is what ends an entry at a time of the part's clock, unless it was
// prolonged meanwhile.
type expiry struct {
	key   string
	until time.Duration
}

// expiries lists ends in buckets of a quarter of a minute, so that a sweep
// looks only at what is due.
type expiryQueue map[time.Duration][]expiry

const expiryBucket = 15 * time.Second

func (e expiryQueue) add(key string, until time.Duration) {
	at := until/expiryBucket + 1
	e[at] = append(e[at], expiry{key: key, until: until})
}

func (e expiryQueue) due(clock time.Duration) []expiry {
	var list []expiry
	for at := range e {
		if clock >= at*expiryBucket {
			list = append(list, e[at]...)
			delete(e, at)
		}
	}
	return list
}

func (r *rules) loadExpiries(tx *partition.Tx) {
	r.expiries, r.ledgers, r.expired = expiryQueue{}, map[string]*rate.Ledger{}, newRecentKeys()
	for _, key := range tx.Keys(turnPrefix) {
		if t, ok := read[storedTurn](tx, key); ok {
			r.expiries.add(key, t.Until)
		}
	}
	for _, key := range tx.Keys(bookPrefix) {
		if b, ok := read[storedBook](tx, key); ok {
			r.expiries.add(key, b.Until)
		}
	}
	for _, key := range tx.Keys(acceptedPrefix) {
		if o, ok := read[acceptedOrder](tx, key); ok {
			r.expiries.add(key, o.Until)
		}
	}
}

func (r *rules) sweepExpired(tx *partition.Tx) {
	clock := tx.Clock()
	for _, e := range r.expiries.due(clock) {
		var until time.Duration
		if b, ok := readWithPrefix[storedBook](tx, e.key, bookPrefix); ok {
			until = b.Until
		} else if t, ok := readWithPrefix[storedTurn](tx, e.key, turnPrefix); ok {
			until = t.Until
		} else if o, ok := readWithPrefix[acceptedOrder](tx, e.key, acceptedPrefix); ok {
			until = o.Until
		} else {
			continue
		}
		if clock < until {
			r.expiries.add(e.key, until)
			continue
		}
		tx.Delete(e.key)
		r.expired.add(e.key)
	}
}

func readWithPrefix[T any](tx *partition.Tx, key, prefix string) (T, bool) {
	var none T
	if len(key) < len(prefix) || key[:len(prefix)] != prefix {
		return none, false
	}
	return read[T](tx, key)
}

func (r *rules) applyRelay(tx *partition.Tx, command any) any {
	switch c := command.(type) {
	case ReserveTurn:
		return r.reserveTurn(tx, c)
	case SettleTurn:
		key := bookKey(c.Tenant, c.Program)
		b, ok := read[storedBook](tx, key)
		if !ok {
			// A reservation may still be under way; it must find this one ended.
			b.Until = tx.Clock() + time.Minute
			r.expiries.add(key, b.Until)
		}
		if b.Book.Settle(c.Attempt, c.Tokens) {
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

func (r *rules) drawRates(tx *partition.Tx, c DrawRates) any {
	var answer DrawRatesResult
	for _, d := range c.Draws {
		key := ratePrefix + d.Tenant
		l := r.ledgers[key]
		if l == nil {
			reserve, _ := read[rate.DurableState](tx, key)
			l = rate.Restore(tx.Clock(), reserve, d.Request.LeaseDuration)
			r.ledgers[key] = l
		}
		drawn, changed := l.Draw(tx.Clock(), d.Request)
		if l.Exceeded {
			r.violated.Violated(invariant.GrantedWithinLimit, "tenant %s: more than %d in %v is out or spent", d.Tenant, l.Limit.Max, l.Limit.Window)
		}
		answer.Responses = append(answer.Responses, drawn)
		if changed {
			write(tx, key, l.DurableState)
		}
	}
	return answer
}

// bookKey is where a program's books are. Names of tenants and programs are free
// texts; a tenant's is escaped, so that no two pairs share a key.
func bookKey(tenant, program string) string {
	return bookPrefix + url.PathEscape(tenant) + "/" + program
}

func (r *rules) reserveTurn(tx *partition.Tx, c ReserveTurn) any {
	key := bookKey(c.Tenant, c.Program)
	b, ok := read[storedBook](tx, key)
	if !b.Book.Reserve(c.Attempt, c.MaxTokens, c.Budget) {
		return ReserveTurnResult{Charged: b.Book.Charged + b.Book.Outstanding()}
	}
	until := tx.Clock() + c.Retention
	if !ok {
		r.expiries.add(key, until)
	}
	b.Until = max(b.Until, until)
	b.Book.LastUsed = tx.Clock()
	write(tx, key, b)
	return ReserveTurnResult{OK: true, Charged: b.Book.Charged}
}
