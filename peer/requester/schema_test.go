package requester

import (
	"testing"

	"saffronfall/rule/message/schematest"
	"saffronfall/rule/verdict"
)

func TestJSONSchema(t *testing.T) {
	schematest.Check(t, "json_schema", []schematest.Entry{
		schematest.JSON[body]("body of a request"),
		schematest.JSON[Answer]("verdict"),
		schematest.JSON[[]verdict.Warning]("header of warnings"),
	})
}
