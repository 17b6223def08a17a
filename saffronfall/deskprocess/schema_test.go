package deskprocess

import (
	"testing"

	"saffronfall/peer/desk"
	"saffronfall/rule/message/schematest"
)

// TestDiskSchema checks the encoding of the slot and the log records of a desk's data
// directory. A bare list is a record of a former version.
func TestDiskSchema(t *testing.T) {
	schematest.Check(t, "disk_schema", []schematest.Entry{
		schematest.Msgpack[record]("slot or frame"),
		schematest.Msgpack[[]desk.ReplicaEntry]("former frame"),
	})
}
