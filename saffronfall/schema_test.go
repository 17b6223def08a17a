package main

import (
	"testing"

	"saffronfall/peer/core"
	"saffronfall/peer/operator"
	"saffronfall/peer/registry"
	"saffronfall/peer/replica"
	"saffronfall/rule/configuration"
	"saffronfall/rule/message/schematest"
	"saffronfall/rule/replay"
	"saffronfall/rule/route"
	"saffronfall/saffronfall/params"
)

// TestRegisteredSchema checks the encoding of all messages between processes. This program
// links every role, and therefore has all of them.
func TestRegisteredSchema(t *testing.T) {
	schematest.Check(t, "registered_schema", schematest.Registered())
}

// TestJSONSchema checks the encoding of HTTP bodies, settings, configurations and tables.
func TestJSONSchema(t *testing.T) {
	schematest.Check(t, "json_schema", []schematest.Entry{
		schematest.JSON[core.ChangeResult]("answer to a change of cores"),
		schematest.JSON[core.Founding]("founding"),
		schematest.JSON[core.ApplyResult]("answer to a description handed over"),
		schematest.JSON[core.Topology]("topology"),
		schematest.JSON[registry.RetirementStatus]("state of retiring a core"),
		schematest.JSON[registry.OrderResult]("answer to a table handed over"),
		schematest.JSON[registry.Replica]("replica as a desk hears it"),
		schematest.JSON[operator.ErrorResponse]("refusal of an operator's call"),
		schematest.JSON[operator.ResponseError]("refusal as the caller reads it"),
		schematest.JSON[operator.ConfigurationRequest]("description handed over"),
		schematest.JSON[operator.Identity]("identity of a core"),
		schematest.JSON[operator.CoreChange]("change of cores"),
		schematest.JSON[operator.Status]("status of the fleet"),
		schematest.JSON[operator.SharesReport]("shares of rates"),
		schematest.JSON[operator.KeysReport]("counts of operation keys"),
		schematest.JSON[core.KeyRecord]("record of an operation key"),
		schematest.JSON[replica.Announcement]("announcement of a replica to a node"),
		schematest.JSON[replica.AnnouncementReply]("answer to an announcement"),
		schematest.JSON[configuration.Description]("description"),
		schematest.JSON[configuration.Faults]("faults of a text"),
		schematest.JSON[replay.Result]("effect of a description"),
		schematest.JSON[route.Table]("routing table"),
		schematest.JSON[route.Amendment]("amendment of a routing table"),
		schematest.JSON[route.Preview]("preview of an amendment"),
		schematest.JSON[params.Params]("settings of a process"),
	})
}
