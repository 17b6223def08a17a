package deskprocess

import (
	"testing"

	"saffronfall/peer/desk"
	"saffronfall/rule/message/schematest"
)

// TestDiskSchema: the slot and the frames of the log of a desk's folder. A bare list is a
// frame of a former version.
func TestDiskSchema(t *testing.T) {
	schematest.Check(t, "disk_schema", []schematest.Entry{
		schematest.Msgpack[kept]("slot or frame"),
		schematest.Msgpack[[]desk.ReplicaEntry]("former frame"),
	})
}
