package registryprocess

import (
	"testing"

	"saffronfall/peer/registry"
	"saffronfall/rule/message/schematest"
)

// TestDiskSchema checks the encoding of the slot and the log records of a registry's data
// directory. A bare list is a record of a former version.
func TestDiskSchema(t *testing.T) {
	schematest.Check(t, "disk_schema", []schematest.Entry{
		schematest.Msgpack[record]("slot or frame"),
		schematest.Msgpack[[]registry.ReplicaEntry]("former frame"),
	})
}
