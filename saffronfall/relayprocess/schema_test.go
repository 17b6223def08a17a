package relayprocess

import (
	"testing"

	"saffronfall/rule/message/schematest"
)

func TestFailureSchema(t *testing.T) {
	schematest.Check(t, "failure_schema", []schematest.Entry{schematest.JSON[[]failure]("last failed requests")})
}
