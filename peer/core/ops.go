// Package core is the control plane: the commands that it understands, the way
// to call it, and the machine that keeps the parts.
package core

import (
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"saffronfall/rule/configuration"
	"saffronfall/rule/part"
	"saffronfall/rule/program"
)

// Commands and their answers. Each may be repeated without harm.
type (
	// JoinMember asks for a member's first term.
	JoinMember struct{ Member Member }
	// RenewMember prolongs a member's term.
	RenewMember struct {
		ID, Incarnation string
		Version         uint64
		Load            int
	}
	// LeaveMember ends a member's term.
	LeaveMember struct{ ID, Incarnation string }
	// Termed answers all three.
	Termed struct {
		Granted bool
		Ended   bool
		Floor   uint64
		Wait    time.Duration
	}

	// OpenUser checks and counts a session start.
	OpenUser struct {
		Tenant, User, Program string
		Role                  configuration.Role
		WarnRatio             float64
	}
	// ChargeUser raises what a program has spent of a user's day.
	ChargeUser struct {
		Tenant, User, Program string
		// Charged is spent or running, Covered what may be spent beforehand.
		Charged, Covered int64
		Closed           bool
	}
	// UserDay answers it.
	UserDay struct{ Tokens int64 }

	// OpenProgram makes a program's record.
	OpenProgram struct{ Record program.Record }
	// ClaimProgram moves a program to a node. Without a proof that the former
	// owner's term ended, or a handover, it only tells who the owner is.
	ClaimProgram struct {
		Tenant, ID                 string
		Node, Incarnation, Address string
		EndedNode, EndedFormer     string
	}
	// SaveProgram writes the owner's newest record and turns.
	SaveProgram struct {
		Record program.Record
		Turns  []program.Turn
	}
	// HandProgram names the successor of an owner that leaves.
	HandProgram struct {
		Tenant, ID                 string
		Fence                      uint64
		Node, Incarnation, Address string
	}
	// Programmed answers all four.
	Programmed struct {
		Found, Owned, Gone bool
		Record             program.Record
		Turns              []program.Turn
		Clock              time.Duration
		Fenced             bool
		Version            uint64
	}

	// ShareTenant reports and draws a holder's share of a tenant's allowance.
	ShareTenant struct {
		Tenant, Kind, Holder    string
		Spent, Returned, Target int64
		Whole                   int64
		Chunk                   int64
		Members                 int64
		Ended                   []string
	}
	// ShareRates does so for both rates of a tenant at once.
	ShareRates struct{ Rates []ShareTenant }
	// SharedRates answers it, in the same order.
	SharedRates struct{ Rates []Shared }
	// DrawBreaker does the same for money.
	DrawBreaker struct {
		Holder                  string
		Spent, Returned, Target int64
		// Need is what running inquiries need; the rest is held in advance.
		Need        int64
		Ended       []string
		Description BreakerLimits
	}
	// Shared answers both.
	Shared struct {
		Granted int64
		Target  int64
		Left    time.Duration
		Open    bool
		Others  []string
	}
	// BreakerLimits are the thresholds in force at the caller.
	BreakerLimits struct {
		Minute, Hour, Day int64
		Recovery          time.Duration
		Tests             int
	}
	// AdmitTest asks for a test number of a half-open breaker.
	AdmitTest struct {
		Program string
		Limits  BreakerLimits
	}
	// ResultTest reports a test's outcome.
	ResultTest struct {
		Program string
		Good    bool
		Limits  BreakerLimits
	}
	// Tested answers both.
	Tested struct {
		Number int
		State  string
		Left   time.Duration
	}

	// ClaimOnce makes the intent of a once-only action durable.
	ClaimOnce struct {
		Tenant, Service, Key, Claim, Digest string
		Keep                                time.Duration
	}
	// EndOnce stores an outcome, or releases a claim that surely did not run.
	EndOnce struct {
		Tenant, Service, Key, Claim string
		State                       string
		Status                      int
		Body                        []byte
	}
	// Once answers both, and is the durable state.
	Once struct {
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
	ReadLocked struct{ Part int }
	// LockedUsers answers it.
	LockedUsers struct{ Users []LockedUser }
	// LockedUser is a user that is locked out, and for how long.
	LockedUser struct {
		Name string        `json:"user"`
		Left time.Duration `json:"left"`
	}
	// ReadEntries lists entries of a part by prefix.
	ReadEntries struct {
		Part   int
		Prefix string
	}
	// Entries answers it.
	Entries struct{ Entries []part.Entry }

	// AgreeConfiguration makes a checked and rehearsed description agreed.
	AgreeConfiguration struct {
		BasedOn uint64
		Text    []byte
		Digest  string
	}
	// Agreed answers it.
	Agreed struct {
		Agreed  bool
		Version uint64
	}
	// SetFloor makes a part's members be at a version of the configuration.
	SetFloor struct {
		Part    int
		Version uint64
	}
	// Floored answers it: Done when every member of the part is there or ended.
	Floored struct {
		Done    bool
		Lagging []string
	}
	// Sweep lets a part's rules end what has run out.
	Sweep struct{}
	// Done is an answer with nothing to say.
	Done struct{ OK bool }
)

// States of a once-only action.
const (
	OnceIntent = "intent"
	OnceDone   = "done"
	OnceMaybe  = "maybe"
	OnceFree   = "free"
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
	Past []string `msgpack:"a" json:"-"`
}

// HasEnded reports whether a life of the member is known to have ended.
func (m Member) HasEnded(incarnation string) bool {
	if m.Incarnation == incarnation {
		return m.Ended
	}
	return slices.Contains(m.Past, incarnation)
}

// Holder names a member's incarnation as a holder of shares.
func (m Member) Holder() string { return m.ID + "/" + m.Incarnation }

// Configured is the agreed configuration.
type Configured struct {
	Version uint64 `msgpack:"v"`
	Text    []byte `msgpack:"t"`
	Digest  string `msgpack:"d"`
	// Past is what a former version kept of accepted orders. It is read and no
	// longer written.
	Past []Handed `msgpack:"p"`
}

// Handed is one description that was agreed.
type Handed struct {
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
func (c Core) Seat() string { return c.ID + "." + c.Incarnation }

// Messages between processes.
type (
	// PartMessage goes from seat to seat of a part.
	PartMessage struct {
		Part     int
		From, To string
		Raw      []byte
	}
	// Command asks a part's owner to run a command.
	Command struct {
		ID   uint64
		Part int
		Raw  []byte
	}
	// CommandReturn answers it.
	CommandReturn struct {
		ID     uint64
		Part   int
		Raw    []byte
		Unsure bool
		Moved  bool
		Hint   string
	}
	// Pull asks for all news after a vector of versions.
	Pull struct {
		Versions map[int]part.Stamp
		Member   string
		Want     bool
		// Fresh asks the configuration's owner to say how new the news is.
		Fresh bool
		Sent  time.Duration
	}
	// Fresh says up to where the configuration goes, and how old that knowledge
	// is. It lets a new life of a node know that it has missed nothing.
	Fresh struct {
		Sent, Age time.Duration
		Upto      part.Stamp
	}
	// News answers it, a part at a time.
	News struct {
		Part    int
		After   part.Stamp
		Upto    part.Stamp
		Whole   bool
		Entries []part.Entry
	}
	// Topology is who the cores are and who owns which part.
	Topology struct {
		Fleet  string
		Cores  map[string]Core
		Groups []part.Group
		Owners []part.Term
		// Size is how many seats a group is to have.
		Size int
	}
)

// Keys of entries.
const (
	ConfigurationPart = 0
	configurationKey  = "configuration"
	floorKey          = "floor"
	breakerKey        = "breaker"
	breakerBooks      = "books/breaker"
	corePrefix        = "core/"
	outlivedPrefix    = "outlived/"
	memberPrefix      = "member/"
	programPrefix     = "program/"
	oncePrefix        = "once/"
)

// NewsPrefixes are the kinds of entries that nodes pull.
var NewsPrefixes = []string{configurationKey, breakerKey, memberPrefix, corePrefix, TableKey}

// PartOf is the part that a name belongs to: configuration and cores have one
// of their own, all else goes by hash of the name's first segments.
func PartOf(parts int, segments ...string) int {
	if segments[0] == configurationKey || parts < 2 {
		return ConfigurationPart
	}
	h := fnv.New64a()
	h.Write([]byte(strings.Join(segments, "/")))
	return 1 + int(h.Sum64()%uint64(parts-1))
}

// Target is the part that a command is for.
func Target(parts int, command any) int {
	switch c := command.(type) {
	case JoinMember:
		return PartOf(parts, "member", c.Member.ID)
	case RenewMember:
		return PartOf(parts, "member", c.ID)
	case LeaveMember:
		return PartOf(parts, "member", c.ID)
	case OpenUser:
		return PartOf(parts, "user", c.Tenant, c.User)
	case ChargeUser:
		return PartOf(parts, "user", c.Tenant, c.User)
	case OpenProgram:
		return PartOf(parts, "program", c.Record.Tenant, c.Record.ID)
	case ClaimProgram:
		return PartOf(parts, "program", c.Tenant, c.ID)
	case SaveProgram:
		return PartOf(parts, "program", c.Record.Tenant, c.Record.ID)
	case HandProgram:
		return PartOf(parts, "program", c.Tenant, c.ID)
	case ShareTenant:
		return PartOf(parts, "tenant", c.Tenant)
	case ShareRates:
		return PartOf(parts, "tenant", c.Rates[0].Tenant)
	case DrawBreaker, AdmitTest, ResultTest:
		return PartOf(parts, "breaker")
	case ClaimOnce:
		return PartOf(parts, "once", c.Tenant, c.Service, c.Key)
	case EndOnce:
		return PartOf(parts, "once", c.Tenant, c.Service, c.Key)
	case ReadEntries:
		return c.Part
	case ReadLocked:
		return c.Part
	case ChangeSeat:
		return c.Part
	case ReadSeats:
		return c.Part
	case SetFloor:
		return c.Part
	}
	if n, ok := relayTarget(parts, command); ok {
		return n
	}
	return ConfigurationPart
}

// Commands that change who the cores are.
type (
	// PutCore makes a core, or what changed of it, known to the fleet.
	PutCore struct{ Core Core }
	// ChangeSeat moves a part's group: one seat comes, one goes, either may be
	// empty. It is asked again until the answer is OK.
	ChangeSeat struct {
		Part        int
		Add, Remove string
	}
)

// Messages and commands by which cores come, are founded and go with nobody
// operating.
type (
	// Present says who a core is and where. It is answered with a Topology by
	// whoever knows the fleet.
	Present struct {
		Core Core
		// Cold says that the core may found a fleet.
		Cold bool
		// Fleet is empty as long as the core belongs to none.
		Fleet string
		// Known is the digest of the topology that the core knows, so that it need
		// not be told what it has; zero: it does not say.
		Known uint64
	}
	// FoundFleet makes cores that belong to no fleet, and are allowed to, a new
	// one. Those that are founded pass it on.
	FoundFleet struct{ Founding Founding }
	// RetireCore marks a core as one that gets no seats any more, for good. The
	// owners of parts then move its seats to others.
	RetireCore struct{ ID string }
	// Retiring answers it: whether there is such a core, whether enough others
	// remain, and whether it is marked now.
	Retiring struct{ Known, Enough, Done bool }
	// CoreEnded answers a PutCore of a retired core, or of an incarnation that has
	// a successor, with what is known.
	CoreEnded struct{ Core Core }
	// ReadSeats asks a part's owner for its agreed group.
	ReadSeats struct{ Part int }
	// Seated answers it.
	Seats struct{ Seats, Former []string }
)
