package core

import (
	"slices"
	"strconv"
	"time"

	"saffronfall/rule/partition"
)

// An order is an operator's request to put a routing table or a configuration in force. An operator
// that got no answer repeats it, to any core or registry, possibly after hundreds of others. Each
// accepted order has a record by which a repetition is acknowledged. Records are separate entries,
// so that an order rewrites no earlier ones.

const (
	acceptedPrefix = "accepted/"
	// Kinds of orders, which are numbered independently.
	tableOrder         = "table/"
	configurationOrder = "description/"
)

// defaultOrderRetention is by the clock of the configuration partition.
const defaultOrderRetention = 24 * time.Hour

type orderID struct {
	kind   string
	base   uint64
	number uint64
	digest string
}

func (o orderID) key() string {
	return acceptedPrefix + o.kind + strconv.FormatUint(o.number, 10)
}

// acceptedOrder is the record of an accepted order. Numbers only rise, so each has at most one.
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

// wasAccepted reports whether an order has a record, or is in the list of an earlier release.
func wasAccepted(tx *partition.Tx, order orderID, past []orderID) bool {
	record, ok := read[acceptedOrder](tx, order.key())
	return ok && record.Base == order.base && record.Digest == order.digest || slices.Contains(past, order)
}

func (r *rules) recordAccepted(tx *partition.Tx, orders ...orderID) {
	until := tx.Clock() + r.params.orderRetention()
	for _, order := range orders {
		write(tx, order.key(), acceptedOrder{Base: order.base, Digest: order.digest, Until: until})
		r.expiries.add(order.key(), until)
	}
}

func (r *rules) acceptTable(tx *partition.Tx, command AcceptTable) any {
	order := orderID{kind: tableOrder, base: command.Base, number: command.Number, digest: command.Digest}
	current, _ := read[CurrentTable](tx, TableKey)
	past := current.past()
	if wasAccepted(tx, order, past) {
		return AcceptTableResult{OK: true, Number: command.Number}
	}
	if current.Number != command.Base || command.Number <= current.Number {
		return AcceptTableResult{Number: current.Number}
	}
	r.recordAccepted(tx, append(past, order)...)
	write(tx, TableKey, CurrentTable{Number: command.Number, Text: command.Text, Digest: command.Digest})
	return AcceptTableResult{OK: true, Number: command.Number}
}

func findOrder(tx *partition.Tx, c FindOrder) AcceptTableResult {
	current, _ := read[CurrentTable](tx, TableKey)
	order := orderID{kind: tableOrder, base: c.Base, number: c.Number, digest: c.Digest}
	if wasAccepted(tx, order, current.past()) {
		return AcceptTableResult{OK: true, Number: c.Number}
	}
	return AcceptTableResult{Number: current.Number}
}

// past returns the orders in the list that an earlier release stored.
func (t CurrentTable) past() (orders []orderID) {
	for _, table := range t.Past {
		orders = append(orders, orderID{kind: tableOrder, base: table.Base, number: table.Number, digest: table.Digest})
	}
	return orders
}

// acceptConfiguration puts a configuration in force if it builds on the current one.
func (r *rules) acceptConfiguration(tx *partition.Tx, command AcceptConfiguration) any {
	order := orderID{kind: configurationOrder, base: command.BasedOn, number: command.BasedOn + 1, digest: command.Digest}
	current, _ := read[CurrentConfiguration](tx, configurationKey)
	past := current.past()
	if wasAccepted(tx, order, past) {
		return AcceptConfigurationResult{Accepted: true, Version: order.number}
	}
	if current.Version != command.BasedOn {
		return AcceptConfigurationResult{Version: current.Version}
	}
	r.recordAccepted(tx, append(past, order)...)
	write(tx, configurationKey, CurrentConfiguration{Version: order.number, Text: command.Text, Digest: command.Digest})
	return AcceptConfigurationResult{Accepted: true, Version: order.number}
}

// past returns the orders in the list that an earlier release stored.
func (c CurrentConfiguration) past() (orders []orderID) {
	for _, accepted := range c.Past {
		orders = append(orders, orderID{kind: configurationOrder, base: accepted.Version - 1, number: accepted.Version, digest: accepted.Digest})
	}
	return orders
}
