// Package desk is where replicas announce themselves and operators hand over
// tables: it keeps the list of replicas, passes news on to nodes, and brings
// cores together. It holds nothing that must last; the cores do.
package desk

import (
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/message"
	"saffronfall/rule/route"
)

// Replica is one replica as it announced itself.
type Replica struct {
	ID      string `msgpack:"i" json:"id"`
	Service string `msgpack:"s" json:"service"`
	Address string `msgpack:"a" json:"address"`
	Zone    string `msgpack:"z" json:"zone"`
	Slots   int64  `msgpack:"l" json:"slots"`
	Leaving bool   `msgpack:"g" json:"leaving"`
	// Cold is how much longer it stays slow.
	WarmupRemaining time.Duration `msgpack:"c" json:"cold"`
	// Call numbers its announcements.
	Sequence int64 `msgpack:"q" json:"call"`
}

// Listed is a replica in a desk's list. One that is Gone stays listed for a
// while, so that all nodes learn it.
type ReplicaEntry struct {
	Replica Replica `msgpack:"r"`
	Gone    bool    `msgpack:"x"`
	// Final: it said so itself, and never comes back under this name.
	Final   bool   `msgpack:"f"`
	Version uint64 `msgpack:"v"`
}

// Messages between nodes and desks.
type (
	// Follow asks a desk for what changed since a version. A node says so again
	// and again, and hears of every change at once while it does.
	Subscribe struct {
		Node string `msgpack:"n"`
		// Life is the desk's life that Version is of.
		Incarnation string `msgpack:"l"`
		Version     uint64 `msgpack:"v"`
		// Table is the number of the newest table that the node has; zero: it wants
		// it whole. Differs says that it can do with differences.
		Table              uint64 `msgpack:"t"`
		AcceptsDifferences bool   `msgpack:"p"`
		// Desk is set when the follower is a desk itself.
		IsDesk bool `msgpack:"d"`
	}
	// Bulletin tells it.
	Update struct {
		Incarnation string         `msgpack:"l"`
		Since       uint64         `msgpack:"s"`
		Version     uint64         `msgpack:"v"`
		Replicas    []ReplicaEntry `msgpack:"r"`
		// Number and Digest tell the newest agreed table. A subscriber that lacks it
		// gets the differences from the one that it has, each building on the one
		// before, or the Table whole.
		TableNumber uint64             `msgpack:"n"`
		TableDigest string             `msgpack:"h"`
		Differences []route.Difference `msgpack:"p"`
		Table       []byte             `msgpack:"t"`
		// Confirmed is how long ago the cores said that none is newer; negative:
		// never.
		ConfirmationAge time.Duration `msgpack:"c"`
		// Nodes is how many nodes follow this desk, Desks where all desks are.
		NodeCount int            `msgpack:"o"`
		Desks     []string       `msgpack:"d"`
		Topology  *core.Topology `msgpack:"y"`
		// Confirm asks a node to follow again at once, as a replica that leaves waits
		// until it is known beyond this desk.
		RenewNow bool `msgpack:"k,omitempty"`
	}
)

func init() {
	message.Register(map[string]any{
		"desk.Follow":   Subscribe{},
		"desk.Bulletin": Update{},
	})
}

// Params bound a desk's timing; what else it needs are ratios to these.
type Params struct {
	Core core.Params
	// Beat is how often replicas announce themselves.
	HeartbeatInterval time.Duration
	// Seats is the size of a group, Parts how many parts a fleet is founded with.
	GroupSize int
	// PartsPerCore is how many parts a fleet gets for each core that it is
	// founded with, besides the configuration's.
	PartitionsPerCore int
	// LoadPeriod is how often nodes are told of replicas' load; zero: never.
	LoadInterval time.Duration
	// Within is how long an operator's call may take.
	OperationTimeout time.Duration
}

// Send is a message for the process at an address.
type Send struct {
	To   string
	Body any
}

// Answer goes to a waiting call.
type Answer struct {
	Ticket uint64
	Body   any
}

// Output is what a step wants done: changes of the list, and of the addresses
// where they are set, go to disk first, where there is one, then sends, then
// answers.
type Output struct {
	ChangedReplicas []ReplicaEntry
	Peers           *Peers
	Sends           []Send
	Answers         []Answer
}

// Counters are what a desk counts.
type Counters struct {
	Messages, Heartbeats, Updates, Changes, TablesApplied, TablesRefused, BadMessages int64
}
