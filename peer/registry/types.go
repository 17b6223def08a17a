// Package registry is the state machine of a registry, known as "desk" in settings, metrics and
// stored data. Replicas send it heartbeats, operators submit routing tables and amendments, and
// nodes and other registries subscribe to its updates.
//
// A Machine does no I/O and reads no clock; each step returns an Output that the process
// carries out. Durable state belongs to the cores: a registry saves, for its restart, only its
// replica list and peer addresses. It acknowledges a replica's departure once other processes
// know it, so that it survives the loss of this registry. Start reading at Machine.Receive and
// Machine.Tick.
package registry

import (
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/configuration"
	"saffronfall/rule/message"
	"saffronfall/rule/route"
)

// Replica is the state that a replica reports in its heartbeat.
type Replica struct {
	ID      string `msgpack:"i" json:"id"`
	Service string `msgpack:"s" json:"service"`
	Address string `msgpack:"a" json:"address"`
	Zone    string `msgpack:"z" json:"zone"`
	// Slots is how many requests it runs at a time.
	Slots   int64 `msgpack:"l" json:"slots"`
	Leaving bool  `msgpack:"g" json:"leaving"`
	// WarmupRemaining is how much longer the replica is slow after its start.
	WarmupRemaining time.Duration `msgpack:"c" json:"cold"`
	// Sequence numbers the heartbeats; an older one never replaces a newer one.
	Sequence int64 `msgpack:"q" json:"call"`
}

// Valid reports whether a replica can be listed: it has a service and an address, and an ID that can be
// sent to it in a header.
func (r Replica) Valid() bool {
	return r.Service != "" && r.Address != "" && r.ID != "" && configuration.ValidHeaderValue(r.ID)
}

// ReplicaEntry is a replica in a registry's list. A Removed one gets no requests; its entry
// stays listed for a while so that all nodes learn of the removal.
type ReplicaEntry struct {
	Replica Replica `msgpack:"r"`
	Removed bool    `msgpack:"x"`
	// Final is set if the replica reported that it left. It never returns under this id.
	Final   bool   `msgpack:"f"`
	Version uint64 `msgpack:"v"`
}

// Messages between nodes and registries.
type (
	// Subscribe requests the changes since a version, and subscribes the sender to later ones.
	// The subscription expires unless it is renewed.
	Subscribe struct {
		Node string `msgpack:"n"`
		// Incarnation is the registry's incarnation that Version belongs to.
		Incarnation string `msgpack:"l"`
		Version     uint64 `msgpack:"v"`
		// Table is the number of the subscriber's newest table; zero requests a full table.
		// AcceptsDifferences is set if it can apply differences.
		Table              uint64 `msgpack:"t"`
		AcceptsDifferences bool   `msgpack:"p"`
		IsRegistry         bool   `msgpack:"d"`
		// AcceptsTopologyChanges is set if NewTopology can replace Topology in an Update.
		// Subscribers of a former release send neither this nor what follows.
		AcceptsTopologyChanges bool `msgpack:"y,omitempty"`
		// TopologyVersion is the registry's version up to which the subscriber lacks nothing. If that
		// is not known it is zero, and TopologyDigest is that of the topology it has, for nodes
		// without groups.
		TopologyVersion uint64 `msgpack:"g,omitempty"`
		TopologyDigest  uint64 `msgpack:"h,omitempty"`
		// WholeOnRequest is set by a subscriber that requests a whole table or topology from one
		// registry at a time, by Whole.
		WholeOnRequest bool `msgpack:"w,omitempty"`
		Whole          bool `msgpack:"q,omitempty"`
		// Zone is the subscriber's; empty for one of a former release.
		Zone string `msgpack:"o,omitempty"`
	}
	// Update carries the changes after version Since to a subscriber.
	Update struct {
		Incarnation string         `msgpack:"l"`
		Since       uint64         `msgpack:"s"`
		Version     uint64         `msgpack:"v"`
		Replicas    []ReplicaEntry `msgpack:"r"`
		// TableNumber and TableDigest identify the newest accepted table. A subscriber that
		// lacks it gets Differences, each based on the one before, or the full Table.
		TableNumber uint64             `msgpack:"n"`
		TableDigest string             `msgpack:"h"`
		Differences []route.Difference `msgpack:"p"`
		Table       []byte             `msgpack:"t"`
		// CompressedTable takes the place of Table for a subscriber with WholeOnRequest.
		CompressedTable []byte `msgpack:"z,omitempty"`
		// ConfirmationAge is the time since the cores confirmed that no newer table exists;
		// negative if they never did.
		ConfirmationAge time.Duration `msgpack:"c"`
		// NodeCount counts the subscribed nodes.
		NodeCount int `msgpack:"o"`
		// Registries are addresses.
		Registries []string       `msgpack:"d"`
		Topology   *core.Topology `msgpack:"y"`
		// NewTopology takes the place of Topology for a subscriber that accepts it.
		NewTopology *TopologyUpdate `msgpack:"g,omitempty"`
		// RenewNow tells a node to renew its subscription at once, because a departing replica
		// waits until its departure is known outside this registry.
		RenewNow bool `msgpack:"k,omitempty"`
	}
	// TopologyUpdate leads from version Since of the registry's topology to Version. Since a later
	// version than the subscriber's, it is not all that the subscriber lacks.
	TopologyUpdate struct {
		Since   uint64               `msgpack:"s"`
		Version uint64               `msgpack:"v"`
		Changes core.TopologyChanges `msgpack:"c"`
	}
)

// The registered names are part of the wire format.
func init() {
	message.Register(map[string]any{
		"desk.Follow":   Subscribe{},
		"desk.Bulletin": Update{},
	})
}

// Params are a registry's timing and sizes; other timing is derived from them.
type Params struct {
	Core              core.Params
	HeartbeatInterval time.Duration
	// GroupSize is the number of members of a consensus group.
	GroupSize int
	// PartitionsPerCore is for a new fleet, besides its configuration partition.
	PartitionsPerCore int
	// LoadInterval is the time between Loads messages to a node; zero disables them.
	LoadInterval time.Duration
	// OperationTimeout bounds an operator's call.
	OperationTimeout time.Duration
}

// Send is a message to the process at an address.
type Send struct {
	To   string
	Body any
}

// Answer is the result of the call with the given ticket.
type Answer struct {
	Ticket uint64
	Body   any
}

// Output lists the effects of a step, in this order: ChangedReplicas, Peers and FoundingDuty (if not
// nil) are written to the disk, if any; then messages are sent; then calls are answered. If the
// FoundingDuty can't be written, the step's messages must not be sent.
type Output struct {
	ChangedReplicas []ReplicaEntry
	Peers           *Peers
	FoundingDuty    *FoundingDuty
	Sends           []Send
	Answers         []Answer
	// UnreadableTable is an accepted table that was dropped, because this version cannot read it;
	// nil if there is none.
	UnreadableTable *Refusal
}

// Counters are a registry's event counts since it started.
type Counters struct {
	Messages, Heartbeats, Updates, Changes, TablesApplied, TablesRefused, BadMessages int64
	// TablesUnreadable counts accepted tables that were received and dropped.
	TablesUnreadable int64
}
