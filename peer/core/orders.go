package core

import (
	"strconv"
	"time"

	"saffronfall/rule/part"
)

// An operator whose answer was lost sends the same order again, to any control
// machine, maybe hundreds of changes later. Each accepted order therefore leaves
// a record of its own, by which it is known again and acknowledged again. The
// records are entries beside the configuration, so a change rewrites none of the
// earlier ones.

const (
	acceptedPrefix = "accepted/"
	// Kinds of orders. Their numbers are independent of each other.
	tableOrder       = "table/"
	descriptionOrder = "description/"
)

// defaultOrderKeep is how long an accepted order is known again, on the clock of
// the configuration's partition.
const defaultOrderKeep = 24 * time.Hour

// orderID tells one order from all others.
type orderID struct {
	kind   string
	base   uint64
	number uint64
	digest string
}

func (o orderID) key() string {
	return acceptedPrefix + o.kind + strconv.FormatUint(o.number, 10)
}

// acceptedOrder is the record of an order that was accepted. Numbers only rise,
// so there is at most one record under a number.
type acceptedOrder struct {
	Base   uint64        `msgpack:"b"`
	Digest string        `msgpack:"d"`
	Until  time.Duration `msgpack:"u"`
}

func (p Params) orderKeep() time.Duration {
	if p.OrderKeep > 0 {
		return p.OrderKeep
	}
	return defaultOrderKeep
}

// wasAccepted reports whether this very order was accepted before.
func wasAccepted(tx *part.Tx, order orderID) bool {
	record, ok := read[acceptedOrder](tx, order.key())
	return ok && record.Base == order.base && record.Digest == order.digest
}

// recordAccepted makes an order known again.
func (r *rules) recordAccepted(tx *part.Tx, order orderID) {
	until := tx.Clock() + r.params.orderKeep()
	write(tx, order.key(), acceptedOrder{Base: order.base, Digest: order.digest, Until: until})
	r.ends.add(order.key(), until)
}

// agreeTable puts a routing table in force if it builds on the one that is.
func (r *rules) agreeTable(tx *part.Tx, c AgreeTable) any {
	order := orderID{kind: tableOrder, base: c.Base, number: c.Number, digest: c.Digest}
	if wasAccepted(tx, order) {
		return TableAgreed{OK: true, Number: c.Number}
	}
	current, _ := read[AgreedTable](tx, TableKey)
	if current.lists(order) {
		return TableAgreed{OK: true, Number: c.Number}
	}
	if current.Number != c.Base || c.Number <= current.Number {
		return TableAgreed{Number: current.Number}
	}
	for _, past := range current.Past {
		r.recordAccepted(tx, orderID{kind: tableOrder, base: past.Base, number: past.Number, digest: past.Digest})
	}
	r.recordAccepted(tx, order)
	write(tx, TableKey, AgreedTable{Number: c.Number, Text: c.Text, Digest: c.Digest})
	return TableAgreed{OK: true, Number: c.Number}
}

// lists reports whether the former version's list names an order.
func (t AgreedTable) lists(order orderID) bool {
	for _, past := range t.Past {
		if past == (HandedNumber{Base: order.base, Number: order.number, Digest: order.digest}) {
			return true
		}
	}
	return false
}

// agreeDescription puts a description in force if it builds on the one that is.
func (r *rules) agreeDescription(tx *part.Tx, c AgreeConfiguration) any {
	order := orderID{kind: descriptionOrder, base: c.BasedOn, number: c.BasedOn + 1, digest: c.Digest}
	if wasAccepted(tx, order) {
		return Agreed{Agreed: true, Version: order.number}
	}
	current, _ := read[Configured](tx, configurationKey)
	if current.lists(order) {
		return Agreed{Agreed: true, Version: order.number}
	}
	if current.Version != c.BasedOn {
		return Agreed{Version: current.Version}
	}
	for _, past := range current.Past {
		r.recordAccepted(tx, orderID{kind: descriptionOrder, base: past.Version - 1, number: past.Version, digest: past.Digest})
	}
	r.recordAccepted(tx, order)
	write(tx, configurationKey, Configured{Version: order.number, Text: c.Text, Digest: c.Digest})
	return Agreed{Agreed: true, Version: order.number}
}

// lists reports whether the former version's list names an order.
func (c Configured) lists(order orderID) bool {
	for _, past := range c.Past {
		if past == (Handed{Version: order.number, Digest: order.digest}) {
			return true
		}
	}
	return false
}
