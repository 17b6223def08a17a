package modelcheck

import (
	"time"

	"saffronfall/rule/message"
	"saffronfall/rule/partition"
)

// Keys of entries: the number in force, and each order that came into force.
const (
	registerKey = "register"
	orderPrefix = "order/"
)

// Order asks for a value under a number, based on the number in force. It is
// what an operator's routing table is to the control state.
type Order struct {
	Base, Number uint64
	Value        string
}

// Register is the value in force, with all orders that ever were.
type Register struct {
	Number uint64
	Value  string
	Past   []Order
}

// readRegister reads the value in force.
type readRegister struct{}

// Ordered answers an order: it is in force, or another one came first.
type OrderResult struct {
	OK     bool
	Number uint64
}

// registerRules decide orders the way the control state's rules decide which
// routing table is in force. Past orders have entries of their own, so that one
// that is left over in a copy is not hidden by the entry of a later one.
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
		panic("modelcheck: an entry is damaged: " + err.Error())
	}
	return value
}
