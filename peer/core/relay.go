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
		Tenant  string        `msgpack:"t"`
		Program string        `msgpack:"p"`
		Attempt string        `msgpack:"a"`
		Most    int64         `msgpack:"m"`
		Budget  int64         `msgpack:"b"`
		Keep    time.Duration `msgpack:"k"`
	}
	// TurnReserved answers it: OK means that the turn may run.
	TurnReserved struct {
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
	KeepTurn struct {
		Tenant  string        `msgpack:"t"`
		Attempt string        `msgpack:"a"`
		Before  []string      `msgpack:"b"`
		Input   []byte        `msgpack:"i"`
		Output  []byte        `msgpack:"o"`
		Keep    time.Duration `msgpack:"k"`
	}
	// ReadTurn reads a kept turn.
	ReadTurn struct {
		Tenant  string `msgpack:"t"`
		Attempt string `msgpack:"a"`
	}
	// KeptTurn answers it. A turn that is not Found surely is not kept: the part
	// that answers holds what a majority has agreed.
	KeptTurn struct {
		Found bool `msgpack:"f"`
		// Absence says why it is not found.
		Absence Absence  `msgpack:"w,omitempty"`
		Before  []string `msgpack:"b"`
		Input   []byte   `msgpack:"i"`
		Output  []byte   `msgpack:"o"`
		// Left is how long it is still kept.
		Left time.Duration `msgpack:"l"`
	}
	// ProlongTurn keeps a kept turn for longer, as one that goes on from it was
	// kept.
	ProlongTurn struct {
		Tenant  string        `msgpack:"t"`
		Attempt string        `msgpack:"a"`
		Keep    time.Duration `msgpack:"k"`
	}
	// DrawRates books draws of several tenants whose ledgers are in one part.
	DrawRates struct {
		Part  int          `msgpack:"p"`
		Draws []TenantDraw `msgpack:"d"`
	}
	// TenantDraw is a draw of one tenant's rate.
	TenantDraw struct {
		Tenant string           `msgpack:"n"`
		Draw   rate.DrawRequest `msgpack:"d"`
	}
	// RatesDrawn answers, in the same order.
	RatesDrawn struct {
		Drawn []rate.DrawResponse `msgpack:"d"`
	}
	// AgreeTable makes a checked routing table the one in force.
	AgreeTable struct {
		Base   uint64 `msgpack:"b"`
		Number uint64 `msgpack:"n"`
		Text   []byte `msgpack:"t"`
		Digest string `msgpack:"d"`
	}
	// TableAgreed answers it. Number is the one in force.
	TableAgreed struct {
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
	AgreedTable struct {
		Number uint64         `msgpack:"n"`
		Text   []byte         `msgpack:"t"`
		Digest string         `msgpack:"d"`
		Past   []HandedNumber `msgpack:"p"`
	}
	// HandedNumber is a table that was agreed, and on what it was based.
	HandedNumber struct {
		Base   uint64 `msgpack:"b"`
		Number uint64 `msgpack:"n"`
		Digest string `msgpack:"d"`
	}

	keptTurn struct {
		Tenant string        `msgpack:"t"`
		Before []string      `msgpack:"b"`
		Input  []byte        `msgpack:"i"`
		Output []byte        `msgpack:"o"`
		Until  time.Duration `msgpack:"u"`
	}
	keptBook struct {
		Book  book.Book     `msgpack:"b"`
		Until time.Duration `msgpack:"u"`
	}
)

// TableKey is the entry of the routing table in force.
const TableKey = "table"

const (
	bookPrefix = "book/"
	keptPrefix = "kept/"
	ratePrefix = "rate/"
)

// IsCoreKey reports whether an entry is a core's.
func IsCoreKey(key string) bool { return strings.HasPrefix(key, corePrefix) }

// SeatID is the name of the core whose incarnation a seat is.
func SeatID(seat string) string {
	if i := strings.LastIndexByte(seat, '.'); i >= 0 {
		return seat[:i]
	}
	return seat
}

// RatePart is the part that keeps the ledger of a tenant's rate.
func RatePart(parts int, tenant string) int { return PartOf(parts, "rate", tenant) }

func relayTarget(parts int, command any) (int, bool) {
	switch c := command.(type) {
	case ReserveTurn:
		return PartOf(parts, "book", c.Tenant, c.Program), true
	case SettleTurn:
		return PartOf(parts, "book", c.Tenant, c.Program), true
	case KeepTurn:
		return PartOf(parts, "kept", c.Attempt), true
	case ReadTurn:
		return PartOf(parts, "kept", c.Attempt), true
	case ProlongTurn:
		return PartOf(parts, "kept", c.Attempt), true
	case DrawRates:
		return c.Part, true
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
type expiries map[time.Duration][]expiry

const expiryBucket = 15 * time.Second

func (e expiries) add(key string, until time.Duration) {
	at := until/expiryBucket + 1
	e[at] = append(e[at], expiry{key: key, until: until})
}

func (e expiries) due(clock time.Duration) []expiry {
	var list []expiry
	for at := range e {
		if clock >= at*expiryBucket {
			list = append(list, e[at]...)
			delete(e, at)
		}
	}
	return list
}

func (r *rules) seatedRelay(tx *partition.Tx) {
	r.ends, r.ledgers, r.expired = expiries{}, map[string]*rate.Ledger{}, newRecentKeys()
	for _, key := range tx.Keys(keptPrefix) {
		if t, ok := read[keptTurn](tx, key); ok {
			r.ends.add(key, t.Until)
		}
	}
	for _, key := range tx.Keys(bookPrefix) {
		if b, ok := read[keptBook](tx, key); ok {
			r.ends.add(key, b.Until)
		}
	}
	for _, key := range tx.Keys(acceptedPrefix) {
		if o, ok := read[acceptedOrder](tx, key); ok {
			r.ends.add(key, o.Until)
		}
	}
}

func (r *rules) sweepRelay(tx *partition.Tx) {
	clock := tx.Clock()
	for _, e := range r.ends.due(clock) {
		var until time.Duration
		if b, ok := readKind[keptBook](tx, e.key, bookPrefix); ok {
			until = b.Until
		} else if t, ok := readKind[keptTurn](tx, e.key, keptPrefix); ok {
			until = t.Until
		} else if o, ok := readKind[acceptedOrder](tx, e.key, acceptedPrefix); ok {
			until = o.Until
		} else {
			continue
		}
		if clock < until {
			r.ends.add(e.key, until)
			continue
		}
		tx.Delete(e.key)
		r.expired.add(e.key)
	}
}

func readKind[T any](tx *partition.Tx, key, prefix string) (T, bool) {
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
		b, ok := read[keptBook](tx, key)
		if !ok {
			// A reservation may still be under way; it must find this one ended.
			b.Until = tx.Clock() + time.Minute
			r.ends.add(key, b.Until)
		}
		if b.Book.Settle(c.Attempt, c.Tokens) {
			write(tx, key, b)
		}
		return Done{OK: true}
	case KeepTurn:
		return r.keepTurn(tx, c)
	case ReadTurn:
		return r.readTurn(tx, c)
	case ProlongTurn:
		key, t, ok := findTurn(tx, c.Tenant, c.Attempt)
		if !ok {
			return Done{}
		}
		if until := tx.Clock() + c.Keep; until > t.Until {
			t.Until = until
			write(tx, key, t)
		}
		return Done{OK: true}
	case DrawRates:
		return r.drawRates(tx, c)
	case AgreeTable:
		return r.agreeTable(tx, c)
	case FindOrder:
		return findOrder(tx, c)
	case ReadTable:
		t, _ := read[AgreedTable](tx, TableKey)
		return t
	}
	return Done{OK: true}
}

func (r *rules) drawRates(tx *partition.Tx, c DrawRates) any {
	var answer RatesDrawn
	for _, d := range c.Draws {
		key := ratePrefix + d.Tenant
		l := r.ledgers[key]
		if l == nil {
			reserve, _ := read[rate.DurableState](tx, key)
			l = rate.Restore(tx.Clock(), reserve, d.Draw.LeaseDuration)
			r.ledgers[key] = l
		}
		drawn, changed := l.Draw(tx.Clock(), d.Draw)
		if l.Exceeded {
			r.violated.Violated(invariant.GrantedWithinLimit, "tenant %s: more than %d in %v is out or spent", d.Tenant, l.Limit.Max, l.Limit.Window)
		}
		answer.Drawn = append(answer.Drawn, drawn)
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
	b, ok := read[keptBook](tx, key)
	if !b.Book.Reserve(c.Attempt, c.Most, c.Budget) {
		return TurnReserved{Charged: b.Book.Charged + b.Book.Outstanding()}
	}
	until := tx.Clock() + c.Keep
	if !ok {
		r.ends.add(key, until)
	}
	b.Until = max(b.Until, until)
	b.Book.LastUsed = tx.Clock()
	write(tx, key, b)
	return TurnReserved{OK: true, Charged: b.Book.Charged}
}
