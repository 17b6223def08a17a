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

// Order requests a value under a number, if the current number is Base. It stands
// for an operator's routing table.
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

// readRegister is the command that reads the register.
type readRegister struct{}

// OrderResult answers an order: it is accepted, or refused because of another one.
// Number is the current number.
type OrderResult struct {
	OK     bool
	Number uint64
}

// registerRules accept orders as the rules of the control state accept routing
// tables. Each order has its own entry, so that one left over in a replica is not
// hidden by the entry of a later one.
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
