// Package core is the control plane: the commands that it understands, the way
// to call it, and the machine that keeps the parts.
package core

import (
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"saffronfall/rule/configuration"
	"saffronfall/rule/partition"
	"saffronfall/rule/program"
)

// Commands and their answers. Each may be repeated without harm.
type (
	// JoinMember asks for a member's first term.
	JoinMember struct {
		Member Member `msgpack:"Member"`
	}
	// RenewMember prolongs a member's term.
	RenewMember struct {
		ID          string `msgpack:"ID"`
		Incarnation string `msgpack:"Incarnation"`
		Version     uint64 `msgpack:"Version"`
		Load        int    `msgpack:"Load"`
	}
	// LeaveMember ends a member's term.
	LeaveMember struct {
		ID          string `msgpack:"ID"`
		Incarnation string `msgpack:"Incarnation"`
	}
	// Termed answers all three.
	MembershipResult struct {
		Granted bool          `msgpack:"Granted"`
		Ended   bool          `msgpack:"Ended"`
		Floor   uint64        `msgpack:"Floor"`
		Wait    time.Duration `msgpack:"Wait"`
	}

	// OpenUser checks and counts a session start.
	OpenUser struct {
		Tenant    string             `msgpack:"Tenant"`
		User      string             `msgpack:"User"`
		Program   string             `msgpack:"Program"`
		Role      configuration.Role `msgpack:"Role"`
		WarnRatio float64            `msgpack:"WarnRatio"`
	}
	// ChargeUser raises what a program has spent of a user's day.
	ChargeUser struct {
		Tenant  string `msgpack:"Tenant"`
		User    string `msgpack:"User"`
		Program string `msgpack:"Program"`
		// Charged is spent or running, Covered what may be spent beforehand.
		Charged int64 `msgpack:"Charged"`
		Covered int64 `msgpack:"Covered"`
		Closed  bool  `msgpack:"Closed"`
	}
	// UserDay answers it.
	ChargeUserResult struct {
		Tokens int64 `msgpack:"Tokens"`
	}

	// OpenProgram makes a program's record.
	OpenProgram struct {
		Record program.Record `msgpack:"Record"`
	}
	// ClaimProgram moves a program to a node. Without a proof that the former
	// owner's term ended, or a handover, it only tells who the owner is.
	ClaimProgram struct {
		Tenant           string `msgpack:"Tenant"`
		ID               string `msgpack:"ID"`
		Node             string `msgpack:"Node"`
		Incarnation      string `msgpack:"Incarnation"`
		Address          string `msgpack:"Address"`
		EndedNode        string `msgpack:"EndedNode"`
		EndedIncarnation string `msgpack:"EndedFormer"`
	}
	// SaveProgram writes the owner's newest record and turns.
	SaveProgram struct {
		Record program.Record `msgpack:"Record"`
		Turns  []program.Turn `msgpack:"Turns"`
	}
	// HandProgram names the successor of an owner that leaves.
	HandOverProgram struct {
		Tenant      string `msgpack:"Tenant"`
		ID          string `msgpack:"ID"`
		Fence       uint64 `msgpack:"Fence"`
		Node        string `msgpack:"Node"`
		Incarnation string `msgpack:"Incarnation"`
		Address     string `msgpack:"Address"`
	}
	// Programmed answers all four.
	ProgramResult struct {
		Found   bool           `msgpack:"Found"`
		Owned   bool           `msgpack:"Owned"`
		Expired bool           `msgpack:"Gone"`
		Record  program.Record `msgpack:"Record"`
		Turns   []program.Turn `msgpack:"Turns"`
		Clock   time.Duration  `msgpack:"Clock"`
		Fenced  bool           `msgpack:"Fenced"`
		Version uint64         `msgpack:"Version"`
	}

	// ShareTenant reports and draws a holder's share of a tenant's allowance.
	DrawAllowance struct {
		Tenant          string   `msgpack:"Tenant"`
		Kind            string   `msgpack:"Kind"`
		Holder          string   `msgpack:"Holder"`
		Spent           int64    `msgpack:"Spent"`
		Returned        int64    `msgpack:"Returned"`
		Target          int64    `msgpack:"Target"`
		Limit           int64    `msgpack:"Whole"`
		UnitsPerRequest int64    `msgpack:"Chunk"`
		Members         int64    `msgpack:"Members"`
		Ended           []string `msgpack:"Ended"`
	}
	// ShareRates does so for both rates of a tenant at once.
	DrawAllowances struct {
		Draws []DrawAllowance `msgpack:"Rates"`
	}
	// SharedRates answers it, in the same order.
	DrawResults struct {
		Results []DrawResult `msgpack:"Rates"`
	}
	// DrawBreaker does the same for money.
	DrawBreaker struct {
		Holder   string `msgpack:"Holder"`
		Spent    int64  `msgpack:"Spent"`
		Returned int64  `msgpack:"Returned"`
		Target   int64  `msgpack:"Target"`
		// Need is what running inquiries need; the rest is held in advance.
		Need   int64         `msgpack:"Need"`
		Ended  []string      `msgpack:"Ended"`
		Limits BreakerLimits `msgpack:"Description"`
	}
	// Shared answers both.
	DrawResult struct {
		Granted int64         `msgpack:"Granted"`
		Target  int64         `msgpack:"Target"`
		Left    time.Duration `msgpack:"Left"`
		Open    bool          `msgpack:"Open"`
		Holders []string      `msgpack:"Others"`
	}
	// BreakerLimits are the thresholds in force at the caller.
	BreakerLimits struct {
		Minute   int64         `msgpack:"Minute"`
		Hour     int64         `msgpack:"Hour"`
		Day      int64         `msgpack:"Day"`
		Recovery time.Duration `msgpack:"Recovery"`
		Probes   int           `msgpack:"Tests"`
	}
	// AdmitTest asks for a test number of a half-open breaker.
	AdmitProbe struct {
		Program string        `msgpack:"Program"`
		Limits  BreakerLimits `msgpack:"Limits"`
	}
	// ResultTest reports a test's outcome.
	ReportProbe struct {
		Program string        `msgpack:"Program"`
		Good    bool          `msgpack:"Good"`
		Limits  BreakerLimits `msgpack:"Limits"`
	}
	// Tested answers both.
	ProbeResult struct {
		Number int           `msgpack:"Number"`
		State  string        `msgpack:"State"`
		Left   time.Duration `msgpack:"Left"`
	}

	// ClaimOnce makes the intent of a once-only action durable.
	ClaimOnce struct {
		Tenant    string        `msgpack:"Tenant"`
		Service   string        `msgpack:"Service"`
		Key       string        `msgpack:"Key"`
		Claim     string        `msgpack:"Claim"`
		Digest    string        `msgpack:"Digest"`
		Retention time.Duration `msgpack:"Keep"`
	}
	// EndOnce stores an outcome, or releases a claim that surely did not run.
	EndOnce struct {
		Tenant  string `msgpack:"Tenant"`
		Service string `msgpack:"Service"`
		Key     string `msgpack:"Key"`
		Claim   string `msgpack:"Claim"`
		State   string `msgpack:"State"`
		Status  int    `msgpack:"Status"`
		Body    []byte `msgpack:"Body"`
	}
	// Once answers both, and is the durable state.
	OnceRecord struct {
		Claim  string        `msgpack:"c"`
		Digest string        `msgpack:"d"`
		State  string        `msgpack:"s"`
		Status int           `msgpack:"t"`
		Body   []byte        `msgpack:"b"`
		Until  time.Duration `msgpack:"u"`
		Mine   bool          `msgpack:"-"`
	}

	// ReadLocked lists the users of a part that are locked out, soonest free
	// first, and no more than operators can read.
	ReadLockedUsers struct {
		Partition int `msgpack:"Part"`
	}
	// LockedUsers answers it.
	LockedUsers struct {
		Users []LockedUser `msgpack:"Users"`
	}
	// LockedUser is a user that is locked out, and for how long.
	LockedUser struct {
		Name string        `json:"user" msgpack:"Name"`
		Left time.Duration `json:"left" msgpack:"Left"`
	}
	// ReadEntries lists entries of a part by prefix.
	ReadEntries struct {
		Partition int    `msgpack:"Part"`
		Prefix    string `msgpack:"Prefix"`
	}
	// Entries answers it.
	Entries struct {
		Entries []partition.Entry `msgpack:"Entries"`
	}

	// AgreeConfiguration makes a checked and rehearsed description agreed.
	AcceptConfiguration struct {
		BasedOn uint64 `msgpack:"BasedOn"`
		Text    []byte `msgpack:"Text"`
		Digest  string `msgpack:"Digest"`
	}
	// Agreed answers it.
	AcceptConfigurationResult struct {
		Accepted bool   `msgpack:"Agreed"`
		Version  uint64 `msgpack:"Version"`
	}
	// SetFloor makes a part's members be at a version of the configuration.
	SetVersionFloor struct {
		Partition int    `msgpack:"Part"`
		Version   uint64 `msgpack:"Version"`
	}
	// Floored answers it: Done when every member of the part is there or ended.
	VersionFloorResult struct {
		Done    bool     `msgpack:"Done"`
		Lagging []string `msgpack:"Lagging"`
	}
	// Sweep lets a part's rules end what has run out.
	Sweep struct{}
	// Done is an answer with nothing to say.
	Done struct {
		OK bool `msgpack:"OK"`
	}
)

// States of a once-only action.
const (
	OnceIntent    = "intent"
	OnceDone      = "done"
	OnceUncertain = "maybe"
	OnceReleased  = "free"
)

// Member is a node that holds, or held, a term.
type Member struct {
	ID          string `msgpack:"i" json:"id"`
	Incarnation string `msgpack:"n" json:"incarnation"`
	Zone        string `msgpack:"z" json:"zone"`
	Peer        string `msgpack:"p" json:"peer_address"`
	HTTP        string `msgpack:"h" json:"requester_address"`
	Version     uint64 `msgpack:"v" json:"version"`
	Ended       bool   `msgpack:"e" json:"ended"`
	Leaving     bool   `msgpack:"l" json:"leaving"`
	// Host is what only one process at a time can hold. Another life with the
	// same one proves that this one has ended.
	Host string `msgpack:"o" json:"-"`
	// Past has the earlier lives, all of which have surely ended. A life that is
	// neither here nor the present one is not known to have ended: the news may
	// be older than that life.
	PastIncarnations []string `msgpack:"a" json:"-"`
}

// HasEnded reports whether a life of the member is known to have ended.
func (m Member) HasEnded(incarnation string) bool {
	if m.Incarnation == incarnation {
		return m.Ended
	}
	return slices.Contains(m.PastIncarnations, incarnation)
}

// Holder names a member's incarnation as a holder of shares.
func (m Member) Holder() string { return m.ID + "/" + m.Incarnation }

// Configured is the agreed configuration.
type CurrentConfiguration struct {
	Version uint64 `msgpack:"v"`
	Text    []byte `msgpack:"t"`
	Digest  string `msgpack:"d"`
	// Past is what a former version kept of accepted orders. It is read and no
	// longer written.
	Past []PastConfiguration `msgpack:"p"`
}

// Handed is one description that was agreed.
type PastConfiguration struct {
	Version uint64 `msgpack:"v"`
	Digest  string `msgpack:"d"`
}

// Core is one core of the fleet.
type Core struct {
	ID          string `msgpack:"i" json:"id"`
	Incarnation string `msgpack:"n" json:"incarnation"`
	Zone        string `msgpack:"z" json:"zone"`
	Peer        string `msgpack:"p" json:"peer_address"`
	Operator    string `msgpack:"o" json:"operator_address"`
	Retired     bool   `msgpack:"r" json:"retired"`
	// Version grows with each change of the entry.
	Version uint64 `msgpack:"v" json:"version"`
}

// Seat names a core's incarnation as a seat of groups.
func (c Core) MemberID() string { return c.ID + "." + c.Incarnation }

// Messages between processes.
type (
	// PartMessage goes from seat to seat of a part.
	ReplicaMessage struct {
		Partition int    `msgpack:"Part"`
		From      string `msgpack:"From"`
		To        string `msgpack:"To"`
		Raw       []byte `msgpack:"Raw"`
	}
	// Command asks a part's owner to run a command.
	Command struct {
		ID        uint64 `msgpack:"ID"`
		Partition int    `msgpack:"Part"`
		Raw       []byte `msgpack:"Raw"`
	}
	// CommandReturn answers it.
	CommandResult struct {
		ID         uint64 `msgpack:"ID"`
		Partition  int    `msgpack:"Part"`
		Raw        []byte `msgpack:"Raw"`
		Uncertain  bool   `msgpack:"Unsure"`
		NotLeader  bool   `msgpack:"Moved"`
		LeaderHint string `msgpack:"Hint"`
	}
	// Pull asks for all news after a vector of versions.
	PullUpdates struct {
		Versions     map[int]partition.Version `msgpack:"Versions"`
		Member       string                    `msgpack:"Member"`
		WantTopology bool                      `msgpack:"Want"`
		// Fresh asks the configuration's owner to say how new the news is.
		WantFreshness bool          `msgpack:"Fresh"`
		SentAt        time.Duration `msgpack:"Sent"`
	}
	// Fresh says up to where the configuration goes, and how old that knowledge
	// is. It lets a new life of a node know that it has missed nothing.
	Freshness struct {
		SentAt time.Duration     `msgpack:"Sent"`
		Age    time.Duration     `msgpack:"Age"`
		UpTo   partition.Version `msgpack:"Upto"`
	}
	// News answers it, a part at a time.
	Update struct {
		Partition int               `msgpack:"Part"`
		After     partition.Version `msgpack:"After"`
		UpTo      partition.Version `msgpack:"Upto"`
		Snapshot  bool              `msgpack:"Whole"`
		Entries   []partition.Entry `msgpack:"Entries"`
	}
	// Topology is who the cores are and who owns which part.
	Topology struct {
		Fleet   string            `msgpack:"Fleet" json:"Fleet"`
		Cores   map[string]Core   `msgpack:"Cores" json:"Cores"`
		Groups  []partition.Group `msgpack:"Groups" json:"Groups"`
		Leaders []partition.Term  `msgpack:"Owners" json:"Owners"`
		// Size is how many seats a group is to have.
		GroupSize int `msgpack:"Size" json:"Size"`
	}
)

// Keys of entries.
const (
	ConfigurationPartition = 0
	configurationKey       = "configuration"
	versionFloorKey        = "floor"
	breakerSummaryKey      = "breaker"
	breakerStateKey        = "books/breaker"
	corePrefix             = "core/"
	supersededPrefix       = "outlived/"
	memberPrefix           = "member/"
	programPrefix          = "program/"
	oncePrefix             = "once/"
)

// NewsPrefixes are the kinds of entries that nodes pull.
var UpdatePrefixes = []string{configurationKey, breakerSummaryKey, memberPrefix, corePrefix, TableKey}

// PartOf is the part that a name belongs to: configuration and cores have one
// of their own, all else goes by hash of the name's first segments.
func PartitionOf(parts int, segments ...string) int {
	if segments[0] == configurationKey || parts < 2 {
		return ConfigurationPartition
	}
	h := fnv.New64a()
	h.Write([]byte(strings.Join(segments, "/")))
	return 1 + int(h.Sum64()%uint64(parts-1))
}

// Target is the part that a command is for.
func TargetPartition(parts int, command any) int {
	switch c := command.(type) {
	case JoinMember:
		return PartitionOf(parts, "member", c.Member.ID)
	case RenewMember:
		return PartitionOf(parts, "member", c.ID)
	case LeaveMember:
		return PartitionOf(parts, "member", c.ID)
	case OpenUser:
		return PartitionOf(parts, "user", c.Tenant, c.User)
	case ChargeUser:
		return PartitionOf(parts, "user", c.Tenant, c.User)
	case OpenProgram:
		return PartitionOf(parts, "program", c.Record.Tenant, c.Record.ID)
	case ClaimProgram:
		return PartitionOf(parts, "program", c.Tenant, c.ID)
	case SaveProgram:
		return PartitionOf(parts, "program", c.Record.Tenant, c.Record.ID)
	case HandOverProgram:
		return PartitionOf(parts, "program", c.Tenant, c.ID)
	case DrawAllowance:
		return PartitionOf(parts, "tenant", c.Tenant)
	case DrawAllowances:
		return PartitionOf(parts, "tenant", c.Draws[0].Tenant)
	case DrawBreaker, AdmitProbe, ReportProbe:
		return PartitionOf(parts, "breaker")
	case ClaimOnce:
		return PartitionOf(parts, "once", c.Tenant, c.Service, c.Key)
	case EndOnce:
		return PartitionOf(parts, "once", c.Tenant, c.Service, c.Key)
	case ReadEntries:
		return c.Partition
	case ReadLockedUsers:
		return c.Partition
	case ChangeGroup:
		return c.Partition
	case ReadGroup:
		return c.Partition
	case SetVersionFloor:
		return c.Partition
	}
	if n, ok := relayTargetPartition(parts, command); ok {
		return n
	}
	return ConfigurationPartition
}
