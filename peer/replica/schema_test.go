package replica

import (
	"testing"

	"saffronfall/peer/node"
	"saffronfall/rule/message/schematest"
)

func TestJSONSchema(t *testing.T) {
	schematest.Check(t, "json_schema", []schematest.Entry{
		schematest.JSON[node.Payload]("turn sent to a model"),
		schematest.JSON[streamLine]("line of a streamed turn"),
		schematest.JSON[Announcement]("announcement"),
		schematest.JSON[AnnouncementReply]("answer to an announcement"),
	})
}
