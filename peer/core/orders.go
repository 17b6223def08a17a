package core

import (
	"slices"
	"strconv"
	"time"

	"saffronfall/rule/partition"
)

// An operator whose answer was lost sends the same order again, to any control
// machine, maybe hundreds of changes later. Each accepted order therefore leaves
// a record of its own, by which it is known again and acknowledged again. The
// records are entries beside the configuration, so a change rewrites none of the
// earlier ones.

const (
	acceptedPrefix = "accepted/"
	// Kinds of orders. Their numbers are independent of each other.
	tableOrder         = "table/"
	configurationOrder = "description/"
)

// defaultOrderKeep is how long an accepted order is known again, on the clock of
// the configuration's partition.
const defaultOrderRetention = 24 * time.Hour

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

func (p Params) orderRetention() time.Duration {
	if p.OrderRetention > 0 {
		return p.OrderRetention
	}
	return defaultOrderRetention
}

// wasAccepted reports whether this very order was accepted before: whether it has
// its record, or is in the list that a former version kept.
func wasAccepted(tx *partition.Tx, order orderID, past []orderID) bool {
	record, ok := read[acceptedOrder](tx, order.key())
	return ok && record.Base == order.base && record.Digest == order.digest || slices.Contains(past, order)
}

// recordAccepted makes orders known again.
func (r *rules) recordAccepted(tx *partition.Tx, orders ...orderID) {
	until := tx.Clock() + r.params.orderRetention()
	for _, order := range orders {
		write(tx, order.key(), acceptedOrder{Base: order.base, Digest: order.digest, Until: until})
		r.expiries.add(order.key(), until)
	}
}

// agreeTable puts a routing table in force if it builds on the one that is.
func (r *rules) acceptTable(tx *partition.Tx, c AcceptTable) any {
	order := orderID{kind: tableOrder, base: c.Base, number: c.Number, digest: c.Digest}
	current, _ := read[CurrentTable](tx, TableKey)
	past := current.past()
	if wasAccepted(tx, order, past) {
		return AcceptTableResult{OK: true, Number: c.Number}
	}
	if current.Number != c.Base || c.Number <= current.Number {
		return AcceptTableResult{Number: current.Number}
	}
	r.recordAccepted(tx, append(past, order)...)
	write(tx, TableKey, CurrentTable{Number: c.Number, Text: c.Text, Digest: c.Digest})
	return AcceptTableResult{OK: true, Number: c.Number}
}

// findOrder tells whether an order was accepted, and which table is in force.
func findOrder(tx *partition.Tx, c FindOrder) AcceptTableResult {
	current, _ := read[CurrentTable](tx, TableKey)
	order := orderID{kind: tableOrder, base: c.Base, number: c.Number, digest: c.Digest}
	if wasAccepted(tx, order, current.past()) {
		return AcceptTableResult{OK: true, Number: c.Number}
	}
	return AcceptTableResult{Number: current.Number}
}

// past are the orders in the list that a former version kept.
func (t CurrentTable) past() (orders []orderID) {
	for _, one := range t.Past {
		orders = append(orders, orderID{kind: tableOrder, base: one.Base, number: one.Number, digest: one.Digest})
	}
	return orders
}

// agreeDescription puts a description in force if it builds on the one that is.
func (r *rules) acceptConfiguration(tx *partition.Tx, c AcceptConfiguration) any {
	order := orderID{kind: configurationOrder, base: c.BasedOn, number: c.BasedOn + 1, digest: c.Digest}
	current, _ := read[CurrentConfiguration](tx, configurationKey)
	past := current.past()
	if wasAccepted(tx, order, past) {
		return AcceptConfigurationResult{Accepted: true, Version: order.number}
	}
	if current.Version != c.BasedOn {
		return AcceptConfigurationResult{Version: current.Version}
	}
	r.recordAccepted(tx, append(past, order)...)
	write(tx, configurationKey, CurrentConfiguration{Version: order.number, Text: c.Text, Digest: c.Digest})
	return AcceptConfigurationResult{Accepted: true, Version: order.number}
}

// past are the orders in the list that a former version kept.
func (c CurrentConfiguration) past() (orders []orderID) {
	for _, one := range c.Past {
		orders = append(orders, orderID{kind: configurationOrder, base: one.Version - 1, number: one.Version, digest: one.Digest})
	}
	return orders
}
