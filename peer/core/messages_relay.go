package core

import (
	"strings"
	"time"

	"saffronfall/rule/account"
	"saffronfall/rule/rate"
)

// Commands of relays and registries, with their results. Every command may be retried safely.
type (
	// ReserveTurn reserves the most tokens that a turn may produce from its program's budget.
	// Attempt is the node's unique ID of this reservation, not the requester's ID of the attempt: a
	// repeated command must find its reservation, and two turns must not share one.
	ReserveTurn struct {
		Tenant    string        `msgpack:"t"`
		Program   string        `msgpack:"p"`
		Attempt   string        `msgpack:"a"`
		MaxTokens int64         `msgpack:"m"`
		Budget    int64         `msgpack:"b"`
		Retention time.Duration `msgpack:"k"`
	}
	// ReserveTurnResult answers ReserveTurn. OK means that the turn may run.
	ReserveTurnResult struct {
		OK      bool  `msgpack:"o"`
		Charged int64 `msgpack:"c"`
	}
	// SettleTurn replaces a reservation by the tokens that the turn produced.
	SettleTurn struct {
		Tenant  string `msgpack:"t"`
		Program string `msgpack:"p"`
		Attempt string `msgpack:"a"`
		Tokens  int64  `msgpack:"n"`
	}
	// StoreTurn stores a turn. Previous are the IDs of the turns before it, oldest first.
	StoreTurn struct {
		Tenant    string        `msgpack:"t"`
		Attempt   string        `msgpack:"a"`
		Previous  []string      `msgpack:"b"`
		Input     []byte        `msgpack:"i"`
		Output    []byte        `msgpack:"o"`
		Retention time.Duration `msgpack:"k"`
	}
	// ClaimTurnRoom claims memory for a turn before it runs, at the partition that will store it. The
	// claim ends when the turn is stored, and after Working. A core of a former release doesn't answer.
	ClaimTurnRoom struct {
		Tenant  string        `msgpack:"t"`
		Attempt string        `msgpack:"a"`
		Bytes   int64         `msgpack:"b"`
		Working time.Duration `msgpack:"w"`
	}
	// TurnRoom answers ClaimTurnRoom. Without OK there is no room, and the turn must not run. Crowded
	// asks the tenant's next turns to claim theirs.
	TurnRoom struct {
		OK      bool `msgpack:"o"`
		Crowded bool `msgpack:"c"`
	}
	// ReadTurn reads a stored turn.
	ReadTurn struct {
		Tenant  string `msgpack:"t"`
		Attempt string `msgpack:"a"`
	}
	// ReadTurnResult answers ReadTurn. A turn that is not Found is certainly not stored: the answer
	// reflects what a majority has committed.
	ReadTurnResult struct {
		Found    bool     `msgpack:"f"`
		Absence  Absence  `msgpack:"w,omitempty"`
		Previous []string `msgpack:"b"`
		Input    []byte   `msgpack:"i"`
		Output   []byte   `msgpack:"o"`
		// Remaining is how much longer the turn is stored.
		Remaining time.Duration `msgpack:"l"`
	}
	// ExtendTurn extends the retention of a turn when one that continues it was stored.
	ExtendTurn struct {
		Tenant    string        `msgpack:"t"`
		Attempt   string        `msgpack:"a"`
		Retention time.Duration `msgpack:"k"`
	}
	// DrawRates draws from the rates of tenants whose ledgers are in one partition.
	DrawRates struct {
		Partition int          `msgpack:"p"`
		Draws     []TenantDraw `msgpack:"d"`
	}
	// TenantDraw is a draw from one tenant's rate.
	TenantDraw struct {
		Tenant  string           `msgpack:"n"`
		Request rate.DrawRequest `msgpack:"d"`
	}
	// DrawRatesResult answers DrawRates, in the same order.
	DrawRatesResult struct {
		Responses []rate.DrawResponse `msgpack:"d"`
	}
	// AcceptTable puts a checked routing table in force if it builds on the current one.
	AcceptTable struct {
		Base   uint64 `msgpack:"b"`
		Number uint64 `msgpack:"n"`
		Text   []byte `msgpack:"t"`
		Digest string `msgpack:"d"`
	}
	// AcceptTableResult answers AcceptTable. Number is the accepted table's, or else that of the
	// table in force.
	AcceptTableResult struct {
		OK     bool   `msgpack:"o"`
		Number uint64 `msgpack:"n"`
	}
	// FindOrder reads whether an order for a table was accepted. Its result is an
	// AcceptTableResult.
	FindOrder struct {
		Base   uint64 `msgpack:"b"`
		Number uint64 `msgpack:"n"`
		Digest string `msgpack:"d"`
	}
	// ReadTable reads the routing table in force.
	ReadTable struct{}
	// CurrentTable answers ReadTable, and is the stored entry. Past is read from entries of earlier
	// releases but no longer written.
	CurrentTable struct {
		Number uint64      `msgpack:"n"`
		Text   []byte      `msgpack:"t"`
		Digest string      `msgpack:"d"`
		Past   []PastTable `msgpack:"p"`
	}
	// PastTable is an accepted table. Base is the one that it was based on.
	PastTable struct {
		Base   uint64 `msgpack:"b"`
		Number uint64 `msgpack:"n"`
		Digest string `msgpack:"d"`
	}

	storedTurn struct {
		Tenant   string        `msgpack:"t"`
		Previous []string      `msgpack:"b"`
		Input    []byte        `msgpack:"i"`
		Output   []byte        `msgpack:"o"`
		Until    time.Duration `msgpack:"u"`
	}
	// storedAccount has a program's budget and reservations.
	storedAccount struct {
		Account account.Account `msgpack:"b"`
		Until   time.Duration   `msgpack:"u"`
	}
)

// TableKey is the key of the routing table in force.
const TableKey = "table"

const (
	accountPrefix = "book/"
	turnPrefix    = "kept/"
	ratePrefix    = "rate/"
)

// IsCoreKey reports whether an entry is a core's.
func IsCoreKey(key string) bool { return strings.HasPrefix(key, corePrefix) }

// CoreID returns the ID of a group member's core.
func CoreID(memberID string) string {
	if i := strings.LastIndexByte(memberID, '.'); i >= 0 {
		return memberID[:i]
	}
	return memberID
}

// RatePartition returns the partition that holds the ledger of a tenant's rate.
func RatePartition(partitions int, tenant string) int { return PartitionOf(partitions, "rate", tenant) }

// TurnPartition returns the partition that stores a turn.
func TurnPartition(partitions int, attempt string) int {
	return PartitionOf(partitions, "kept", attempt)
}

func relayTargetPartition(partitions int, command any) (int, bool) {
	switch c := command.(type) {
	case ReserveTurn:
		return PartitionOf(partitions, "book", c.Tenant, c.Program), true
	case SettleTurn:
		return PartitionOf(partitions, "book", c.Tenant, c.Program), true
	case StoreTurn:
		return TurnPartition(partitions, c.Attempt), true
	case ClaimTurnRoom:
		return TurnPartition(partitions, c.Attempt), true
	case ReadTurn:
		return TurnPartition(partitions, c.Attempt), true
	case ExtendTurn:
		return TurnPartition(partitions, c.Attempt), true
	case DrawRates:
		return c.Partition, true
	}
	if n, ok := keyTargetPartition(partitions, command); ok {
		return n, true
	}
	return inspectTargetPartition(partitions, command)
}
