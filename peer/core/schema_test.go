package core

import (
	"testing"
	"time"

	"saffronfall/rule/allowance"
	"saffronfall/rule/breaker"
	"saffronfall/rule/message/schematest"
	"saffronfall/rule/program"
	"saffronfall/rule/rate"
)

// TestStoredSchema checks the encoding of stored entries.
func TestStoredSchema(t *testing.T) {
	schematest.Check(t, "stored_schema", []schematest.Entry{
		schematest.Msgpack[Member]("member"),
		schematest.Msgpack[Core]("core"),
		schematest.Msgpack[CurrentConfiguration]("configuration"),
		schematest.Msgpack[CurrentTable]("table"),
		schematest.Msgpack[OnceRecord]("once"),
		schematest.Msgpack[BreakerSummary]("breaker"),
		schematest.Msgpack[breaker.Breaker]("books of the breaker"),
		schematest.Msgpack[allowance.Ledger]("allowance"),
		schematest.Msgpack[program.User]("user"),
		schematest.Msgpack[program.Record]("program"),
		schematest.Msgpack[program.Turn]("turn of a program"),
		schematest.Msgpack[rate.DurableState]("rate"),
		schematest.Msgpack[storedTurn]("kept turn"),
		schematest.Msgpack[storedAccount]("kept book"),
		schematest.Msgpack[acceptedOrder]("accepted order"),
		schematest.Msgpack[storedKey]("operation key"),
		schematest.Msgpack[uint64]("floor of versions"),
		schematest.Msgpack[time.Duration]("time of a past member"),
		schematest.Msgpack[bool]("core that was outlived"),
	})
}
