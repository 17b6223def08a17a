package coreprocess

import (
	"testing"

	"saffronfall/peer/core"
	"saffronfall/rule/message/schematest"
)

// TestDiskSchema: the slot and the frames of the log of a core's folder.
func TestDiskSchema(t *testing.T) {
	schematest.Check(t, "disk_schema", []schematest.Entry{
		schematest.Msgpack[core.Stored]("slot"),
		schematest.Msgpack[[]core.Change]("frame of the log"),
	})
}
