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

// Commands to partitions and their results. Every command may be retried safely.
type (
	// JoinMember requests the first lease of a member's incarnation.
	JoinMember struct {
		Member Member `msgpack:"Member"`
	}
	// RenewMember renews a member's lease. Version is the configuration that the member follows.
	RenewMember struct {
		ID          string `msgpack:"ID"`
		Incarnation string `msgpack:"Incarnation"`
		Version     uint64 `msgpack:"Version"`
		Load        int    `msgpack:"Load"`
	}
	// LeaveMember ends an incarnation's membership.
	LeaveMember struct {
		ID          string `msgpack:"ID"`
		Incarnation string `msgpack:"Incarnation"`
	}
	// MembershipResult answers JoinMember, RenewMember and LeaveMember. Floor is the lowest
	// configuration version that gets a lease. Wait, if positive, is how long the previous
	// incarnation's lease may still last.
	MembershipResult struct {
		Granted bool          `msgpack:"Granted"`
		Ended   bool          `msgpack:"Ended"`
		Floor   uint64        `msgpack:"Floor"`
		Wait    time.Duration `msgpack:"Wait"`
	}

	// OpenUser checks a user's session limits and counts a session start.
	OpenUser struct {
		Tenant    string             `msgpack:"Tenant"`
		User      string             `msgpack:"User"`
		Program   string             `msgpack:"Program"`
		Role      configuration.Role `msgpack:"Role"`
		WarnRatio float64            `msgpack:"WarnRatio"`
	}
	// ChargeUser raises what a program has charged to a user's daily tokens.
	ChargeUser struct {
		Tenant  string `msgpack:"Tenant"`
		User    string `msgpack:"User"`
		Program string `msgpack:"Program"`
		// Charged is spent or reserved by running turns; Covered may be spent without a further
		// command.
		Charged int64 `msgpack:"Charged"`
		Covered int64 `msgpack:"Covered"`
		Closed  bool  `msgpack:"Closed"`
	}
	// ChargeUserResult answers ChargeUser with the user's tokens of the day.
	ChargeUserResult struct {
		Tokens int64 `msgpack:"Tokens"`
	}

	// OpenProgram creates a program's record, unless it exists.
	OpenProgram struct {
		Record program.Record `msgpack:"Record"`
	}
	// ClaimProgram makes a node the owner of a program, given proof that the former owner's
	// incarnation has ended (EndedNode, EndedIncarnation). Without proof it only reads the record.
	ClaimProgram struct {
		Tenant           string `msgpack:"Tenant"`
		ID               string `msgpack:"ID"`
		Node             string `msgpack:"Node"`
		Incarnation      string `msgpack:"Incarnation"`
		Address          string `msgpack:"Address"`
		EndedNode        string `msgpack:"EndedNode"`
		EndedIncarnation string `msgpack:"EndedFormer"`
	}
	// SaveProgram writes the owner's latest record and turns.
	SaveProgram struct {
		Record program.Record `msgpack:"Record"`
		Turns  []program.Turn `msgpack:"Turns"`
	}
	// HandOverProgram makes another node the owner, on behalf of an owner that leaves.
	HandOverProgram struct {
		Tenant      string `msgpack:"Tenant"`
		ID          string `msgpack:"ID"`
		Fence       uint64 `msgpack:"Fence"`
		Node        string `msgpack:"Node"`
		Incarnation string `msgpack:"Incarnation"`
		Address     string `msgpack:"Address"`
	}
	// ProgramResult answers the commands on programs. Fenced means that the program has another
	// owner by now, Expired that the record was deleted after its retention. Clock is the
	// partition's clock.
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

	// DrawAllowance reports what a holder spent and returned of a tenant's allowance and draws up
	// to Target. Kind is "day" for the daily tokens or names a rate, drawn in multiples of
	// UnitsPerRequest and divided among Members. Ended lists holders that have ended.
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
	// DrawAllowances runs several draws of one tenant.
	DrawAllowances struct {
		Draws []DrawAllowance `msgpack:"Rates"`
	}
	// DrawResults answers DrawAllowances, in the same order.
	DrawResults struct {
		Results []DrawResult `msgpack:"Rates"`
	}
	// DrawBreaker reports and draws a holder's share of the breaker's budget.
	DrawBreaker struct {
		Holder   string `msgpack:"Holder"`
		Spent    int64  `msgpack:"Spent"`
		Returned int64  `msgpack:"Returned"`
		Target   int64  `msgpack:"Target"`
		// Need is what running requests need; the rest of Target is held in advance.
		Need   int64         `msgpack:"Need"`
		Ended  []string      `msgpack:"Ended"`
		Limits BreakerLimits `msgpack:"Description"`
	}
	// DrawResult answers DrawAllowance and DrawBreaker. Granted is the holder's total, zero if the
	// holder has ended. Remaining is how long the breaker stays open, if Open.
	DrawResult struct {
		Granted   int64         `msgpack:"Granted"`
		Target    int64         `msgpack:"Target"`
		Remaining time.Duration `msgpack:"Left"`
		Open      bool          `msgpack:"Open"`
		Holders   []string      `msgpack:"Others"`
	}
	// BreakerLimits are the caller's configured spend limits, in millionths of a dollar.
	BreakerLimits struct {
		Minute   int64         `msgpack:"Minute"`
		Hour     int64         `msgpack:"Hour"`
		Day      int64         `msgpack:"Day"`
		Recovery time.Duration `msgpack:"Recovery"`
		Probes   int           `msgpack:"Tests"`
	}
	// AdmitProbe asks a half-open breaker to admit a probe.
	AdmitProbe struct {
		Program string        `msgpack:"Program"`
		Limits  BreakerLimits `msgpack:"Limits"`
	}
	// ReportProbe reports a probe's result.
	ReportProbe struct {
		Program   string        `msgpack:"Program"`
		Succeeded bool          `msgpack:"Good"`
		Limits    BreakerLimits `msgpack:"Limits"`
	}
	// ProbeResult answers AdmitProbe and ReportProbe.
	ProbeResult struct {
		Number    int           `msgpack:"Number"`
		State     string        `msgpack:"State"`
		Remaining time.Duration `msgpack:"Left"`
	}

	// ClaimOnce stores the intent to run a once-only action, before it runs. An earlier claim wins.
	ClaimOnce struct {
		Tenant    string        `msgpack:"Tenant"`
		Service   string        `msgpack:"Service"`
		Key       string        `msgpack:"Key"`
		Claim     string        `msgpack:"Claim"`
		Digest    string        `msgpack:"Digest"`
		Retention time.Duration `msgpack:"Keep"`
	}
	// EndOnce stores the outcome of a claim, or releases one that certainly did not run.
	EndOnce struct {
		Tenant  string `msgpack:"Tenant"`
		Service string `msgpack:"Service"`
		Key     string `msgpack:"Key"`
		Claim   string `msgpack:"Claim"`
		State   string `msgpack:"State"`
		Status  int    `msgpack:"Status"`
		Body    []byte `msgpack:"Body"`
	}
	// OnceRecord answers ClaimOnce and EndOnce, and is the stored entry.
	OnceRecord struct {
		Claim  string        `msgpack:"c"`
		Digest string        `msgpack:"d"`
		State  string        `msgpack:"s"`
		Status int           `msgpack:"t"`
		Body   []byte        `msgpack:"b"`
		Until  time.Duration `msgpack:"u"`
	}

	// ReadLockedUsers lists the users that are locked out, earliest end first, at most
	// maxLockedUsers.
	ReadLockedUsers struct {
		Partition int `msgpack:"Part"`
	}
	// LockedUsers answers ReadLockedUsers.
	LockedUsers struct {
		Users []LockedUser `msgpack:"Users"`
	}
	// LockedUser is a user that is locked out for the Remaining time.
	LockedUser struct {
		Name      string        `json:"user" msgpack:"Name"`
		Remaining time.Duration `json:"left" msgpack:"Left"`
	}
	// ReadEntries lists the entries of a partition whose keys have a prefix.
	ReadEntries struct {
		Partition int    `msgpack:"Part"`
		Prefix    string `msgpack:"Prefix"`
	}
	// Entries answers ReadEntries.
	Entries struct {
		Entries []partition.Entry `msgpack:"Entries"`
	}

	// AcceptConfiguration puts a checked and replayed configuration in force.
	AcceptConfiguration struct {
		BasedOn uint64 `msgpack:"BasedOn"`
		Text    []byte `msgpack:"Text"`
		Digest  string `msgpack:"Digest"`
	}
	// AcceptConfigurationResult answers AcceptConfiguration. If refused, Version is the one in
	// force.
	AcceptConfigurationResult struct {
		Accepted bool   `msgpack:"Agreed"`
		Version  uint64 `msgpack:"Version"`
	}
	// SetVersionFloor raises the configuration version that members must follow to get a lease.
	SetVersionFloor struct {
		Partition int    `msgpack:"Part"`
		Version   uint64 `msgpack:"Version"`
	}
	// VersionFloorResult answers SetVersionFloor. Done means that no member with a lease lags
	// behind.
	VersionFloorResult struct {
		Done    bool     `msgpack:"Done"`
		Lagging []string `msgpack:"Lagging"`
	}
	// Sweep deletes expired entries and ends expired memberships.
	Sweep struct{}
	// Done answers commands that have no other result.
	Done struct {
		OK bool `msgpack:"OK"`
		// Crowded, in the answer to StoreTurn, asks the tenant's next turns to claim room.
		Crowded bool `msgpack:"w,omitempty"`
	}
)

// States of a once-only action, in OnceRecord and EndOnce.
const (
	OnceIntent    = "intent" // claimed, outcome not known yet
	OnceDone      = "done"   // ran; status and body are stored
	OnceUncertain = "maybe"  // may have run; never run again under this key
	OnceReleased  = "free"   // did not run; the key may be claimed again
)

// Member is a node that has, or had, a membership lease.
type Member struct {
	ID          string `msgpack:"i" json:"id"`
	Incarnation string `msgpack:"n" json:"incarnation"`
	Zone        string `msgpack:"z" json:"zone"`
	Peer        string `msgpack:"p" json:"peer_address"`
	// HTTP is the address for requesters.
	HTTP    string `msgpack:"h" json:"requester_address"`
	Version uint64 `msgpack:"v" json:"version"`
	Ended   bool   `msgpack:"e" json:"ended"`
	Leaving bool   `msgpack:"l" json:"leaving"`
	// Host is a resource that only one process at a time can hold. A later process with the same
	// Host proves that the earlier one has ended.
	Host string `msgpack:"o" json:"-"`
	// PastIncarnations have all ended. An incarnation that is neither listed nor current is not
	// known to have ended: this copy of the entry may be outdated.
	PastIncarnations []string `msgpack:"a" json:"-"`
}

// HasEnded reports whether an incarnation is known to have ended.
func (m Member) HasEnded(incarnation string) bool {
	if m.Incarnation == incarnation {
		return m.Ended
	}
	return slices.Contains(m.PastIncarnations, incarnation)
}

// Holder identifies the incarnation as a holder of allowances.
func (m Member) Holder() string { return m.ID + "/" + m.Incarnation }

// CurrentConfiguration is the stored entry of the configuration in force.
type CurrentConfiguration struct {
	Version uint64 `msgpack:"v"`
	Text    []byte `msgpack:"t"`
	Digest  string `msgpack:"d"`
	// Past is read from entries of earlier releases but no longer written.
	Past []PastConfiguration `msgpack:"p"`
}

// PastConfiguration is an accepted configuration.
type PastConfiguration struct {
	Version uint64 `msgpack:"v"`
	Digest  string `msgpack:"d"`
}

// Core is the stored entry of one core.
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

// MemberID identifies the incarnation as a member of groups.
func (c Core) MemberID() string { return c.ID + "." + c.Incarnation }

// Messages between processes.
type (
	// ReplicaMessage carries a packed message of rule/partition between members of a group.
	ReplicaMessage struct {
		Partition int    `msgpack:"Part"`
		From      string `msgpack:"From"`
		To        string `msgpack:"To"`
		Raw       []byte `msgpack:"Raw"`
	}
	// Command requests a partition's leader to run the packed command Raw.
	Command struct {
		ID        uint64 `msgpack:"ID"`
		Partition int    `msgpack:"Part"`
		Raw       []byte `msgpack:"Raw"`
	}
	// CommandResult answers Command. If Uncertain, the command may or may not take effect. If
	// NotLeader, it has no effect here, and LeaderHint is the leader's address, if known.
	CommandResult struct {
		ID         uint64 `msgpack:"ID"`
		Partition  int    `msgpack:"Part"`
		Raw        []byte `msgpack:"Raw"`
		Uncertain  bool   `msgpack:"Unsure"`
		NotLeader  bool   `msgpack:"Moved"`
		LeaderHint string `msgpack:"Hint"`
	}
	// PullUpdates requests the entries that changed after Versions in the partitions that a core
	// leads.
	PullUpdates struct {
		Versions     map[int]partition.Version `msgpack:"Versions"`
		Member       string                    `msgpack:"Member"`
		WantTopology bool                      `msgpack:"Want"`
		// WantFreshness requests a Freshness from the configuration partition's leader.
		WantFreshness bool          `msgpack:"Fresh"`
		SentAt        time.Duration `msgpack:"Sent"`
		// KnownDigest is that of the sender's topology. WantTopology then requests it only if it
		// differs; zero if not given.
		KnownDigest uint64 `msgpack:"Known,omitempty"`
	}
	// Freshness is the version that the configuration partition has committed, as of SentAt minus
	// Age. SentAt is when the pull was sent, by the puller's clock. A node with this version has
	// missed no configuration.
	Freshness struct {
		SentAt time.Duration     `msgpack:"Sent"`
		Age    time.Duration     `msgpack:"Age"`
		UpTo   partition.Version `msgpack:"Upto"`
	}
	// Update answers PullUpdates for one partition. A Snapshot has all entries and replaces what
	// the node knew.
	Update struct {
		Partition int               `msgpack:"Part"`
		After     partition.Version `msgpack:"After"`
		UpTo      partition.Version `msgpack:"Upto"`
		Snapshot  bool              `msgpack:"Whole"`
		Entries   []partition.Entry `msgpack:"Entries"`
	}
	// Topology describes the cores of a fleet and each partition's group and leader.
	Topology struct {
		Fleet     string            `msgpack:"Fleet" json:"Fleet"`
		Cores     map[string]Core   `msgpack:"Cores" json:"Cores"`
		Groups    []partition.Group `msgpack:"Groups" json:"Groups"`
		Leaders   []partition.Term  `msgpack:"Owners" json:"Owners"`
		GroupSize int               `msgpack:"Size" json:"Size"`
	}
)

// ConfigurationPartition holds the configuration, the routing table and the cores.
const ConfigurationPartition = 0

// Keys and key prefixes of stored entries.
const (
	configurationKey  = "configuration"
	versionFloorKey   = "floor" // of configuration versions
	breakerSummaryKey = "breaker"
	breakerStateKey   = "books/breaker"
	corePrefix        = "core/"
	supersededPrefix  = "outlived/" // incarnations of cores
	memberPrefix      = "member/"
	programPrefix     = "program/"
	tombstonePrefix   = "past/" // tombstones of deleted programs
	userPrefix        = "user/"
	allowancePrefix   = "tenant/"
	oncePrefix        = "once/"
)

// UpdatePrefixes are the key prefixes of entries that nodes pull.
var UpdatePrefixes = []string{configurationKey, breakerSummaryKey, memberPrefix, corePrefix, TableKey}

// PartitionOf returns the partition of a key. The configuration has its own; other keys are
// distributed by hash.
func PartitionOf(partitions int, segments ...string) int {
	if segments[0] == configurationKey || partitions < 2 {
		return ConfigurationPartition
	}
	h := fnv.New64a()
	h.Write([]byte(strings.Join(segments, "/")))
	return 1 + int(h.Sum64()%uint64(partitions-1))
}

// TargetPartition returns the partition of a command.
func TargetPartition(partitions int, command any) int {
	switch c := command.(type) {
	case JoinMember:
		return PartitionOf(partitions, "member", c.Member.ID)
	case RenewMember:
		return PartitionOf(partitions, "member", c.ID)
	case LeaveMember:
		return PartitionOf(partitions, "member", c.ID)
	case OpenUser:
		return PartitionOf(partitions, "user", c.Tenant, c.User)
	case ChargeUser:
		return PartitionOf(partitions, "user", c.Tenant, c.User)
	case OpenProgram:
		return PartitionOf(partitions, "program", c.Record.Tenant, c.Record.ID)
	case ClaimProgram:
		return PartitionOf(partitions, "program", c.Tenant, c.ID)
	case SaveProgram:
		return PartitionOf(partitions, "program", c.Record.Tenant, c.Record.ID)
	case HandOverProgram:
		return PartitionOf(partitions, "program", c.Tenant, c.ID)
	case DrawAllowance:
		return PartitionOf(partitions, "tenant", c.Tenant)
	case DrawAllowances:
		return PartitionOf(partitions, "tenant", c.Draws[0].Tenant)
	case DrawBreaker, AdmitProbe, ReportProbe:
		return PartitionOf(partitions, "breaker")
	case ClaimOnce:
		return PartitionOf(partitions, "once", c.Tenant, c.Service, c.Key)
	case EndOnce:
		return PartitionOf(partitions, "once", c.Tenant, c.Service, c.Key)
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
	if n, ok := relayTargetPartition(partitions, command); ok {
		return n
	}
	return ConfigurationPartition
}
