package coreprocess

import (
	"testing"

	"saffronfall/peer/core"
	"saffronfall/rule/message/schematest"
)

// TestDiskSchema checks the encoding of the slot and the log records of a core's data directory.
func TestDiskSchema(t *testing.T) {
	schematest.Check(t, "disk_schema", []schematest.Entry{
		schematest.Msgpack[core.Stored]("slot"),
		schematest.Msgpack[[]core.Change]("frame of the log"),
	})
}
