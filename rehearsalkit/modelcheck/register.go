package modelcheck

import (
	"time"

	"saffronfall/rule/message"
	"saffronfall/rule/partition"
)

// Keys of entries: the current value, and one per accepted order.
const (
	registerKey = "register"
	orderPrefix = "order/"
)

// Order sets a value under a number if the current number is Base, as a routing table does.
type Order struct {
	Base, Number uint64
	Value        string
}

// Register is the current value together with all accepted orders.
type Register struct {
	Number uint64
	Value  string
	Past   []Order
}

type readRegister struct{}

// OrderResult tells whether an order was accepted, and the current number.
type OrderResult struct {
	OK     bool
	Number uint64
}

// registerRules accept orders as the control state accepts routing tables. Each order has its own
// entry, so that a later one does not hide one left over in a replica.
type registerRules struct{}

func (registerRules) Elected(time.Duration, *partition.Tx) {}

func (registerRules) Apply(_ time.Duration, tx *partition.Tx, command any) any {
	old := currentRegister(tx)
	order, ok := command.(Order)
	if !ok {
		return old
	}
	if raw, ok := tx.Get(orderPrefix + order.Value); ok && decode[Order](raw) == order {
		return OrderResult{OK: true, Number: order.Number}
	}
	if old.Number != order.Base || order.Number <= old.Number {
		return OrderResult{Number: old.Number}
	}
	tx.Put(registerKey, message.Marshal(Register{Number: order.Number, Value: order.Value}))
	tx.Put(orderPrefix+order.Value, message.Marshal(order))
	return OrderResult{OK: true, Number: order.Number}
}

func currentRegister(tx *partition.Tx) Register {
	var current Register
	if raw, ok := tx.Get(registerKey); ok {
		current = decode[Register](raw)
	}
	for _, key := range tx.Keys(orderPrefix) {
		raw, _ := tx.Get(key)
		current.Past = append(current.Past, decode[Order](raw))
	}
	return current
}

func decode[T any](raw []byte) T {
	var value T
	if err := message.Unmarshal(raw, &value); err != nil {
		panic("modelcheck: cannot decode an entry: " + err.Error())
	}
	return value
}
