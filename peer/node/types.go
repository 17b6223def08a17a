// Package node is the data plane: the machine that owns programs, holds shares
// and carries inquiries to back ends.
package node

import (
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/message"
	"saffronfall/rule/program"
	"saffronfall/rule/verdict"
)

// Kinds of inquiries.
const (
	Open   = "open"
	Turn   = "turn"
	Tool   = "tool"
	Action = "action"
	Close  = "close"
	Look   = "look"
)

// Inquiry is what a requester asks for.
type Inquiry struct {
	Kind      string         `msgpack:"k"`
	Key       string         `msgpack:"y"`
	User      string         `msgpack:"u"`
	Program   string         `msgpack:"p"`
	Line      string         `msgpack:"l"`
	Service   string         `msgpack:"s"`
	Before    string         `msgpack:"b"`
	Say       string         `msgpack:"t"`
	History   []program.Turn `msgpack:"h"`
	MaxTokens int64          `msgpack:"m"`
	Arguments []byte         `msgpack:"a"`
	OnceKey   string         `msgpack:"o"`
	Budget    time.Duration  `msgpack:"d"`
}

// Kinds of pieces of a return.
const (
	PieceTaken   = "taken"
	PieceVerdict = "verdict"
	PieceBody    = "body"
	PieceOpen    = "open"
	PieceChunk   = "chunk"
	PieceClose   = "close"
	PieceBreak   = "break"
)

// Piece is one part of what a requester gets back. The last one is a verdict,
// a body, a close or a break, and only a close makes a stream whole.
type Piece struct {
	Kind    string          `msgpack:"k"`
	Verdict verdict.Verdict `msgpack:"v"`
	Status  int             `msgpack:"s"`
	Body    []byte          `msgpack:"b"`
	Text    string          `msgpack:"t"`
	Tokens  int64           `msgpack:"n"`
	Head    string          `msgpack:"h"`
	End     string          `msgpack:"e"`
}

// Last reports whether nothing follows a piece.
func (p Piece) Last() bool {
	return p.Kind == PieceVerdict || p.Kind == PieceBody || p.Kind == PieceClose || p.Kind == PieceBreak
}

// Messages between nodes.
type (
	// Forward passes an inquiry to the owner of its program.
	Forward struct {
		ID      uint64  `msgpack:"i"`
		Inquiry Inquiry `msgpack:"q"`
	}
	// Withdraw says that nobody waits for a forwarded inquiry any more.
	Withdraw struct {
		ID uint64 `msgpack:"i"`
	}
	// Pieced carries one piece back, numbered without gaps.
	Pieced struct {
		ID     uint64 `msgpack:"i"`
		Number int    `msgpack:"n"`
		Piece  Piece  `msgpack:"p"`
	}
)

func init() {
	message.Register(map[string]any{
		"node.Forward":  Forward{},
		"node.Withdraw": Withdraw{},
		"node.Pieced":   Pieced{},
	})
}

// Return is a piece for the requester that waits under a ticket.
type Return struct {
	Ticket uint64
	Piece  Piece
}

// Shoot asks for one shot at a replica.
type Shoot struct {
	Shot    uint64
	Service string
	Kind    string
	Replica string
	Address string
	Payload Payload
	Budget  time.Duration
}

// Payload is what a replica is sent.
type Payload struct {
	Shot      string         `json:"shot"`
	Tenant    string         `json:"tenant"`
	Program   string         `json:"program,omitempty"`
	Line      string         `json:"line,omitempty"`
	Head      string         `json:"head,omitempty"`
	History   []program.Turn `json:"history"`
	Say       string         `json:"say,omitempty"`
	MaxTokens int64          `json:"max_tokens,omitempty"`
	OnceKey   string         `json:"once_key,omitempty"`
	Body      []byte         `json:"-"`
}

// Kinds of events of a shot.
const (
	EventChunk  = "chunk"
	EventDone   = "done"
	EventNotRun = "not run"
	EventBroken = "broken"
)

// Event is something that became of a shot.
type Event struct {
	Shot   uint64
	Kind   string
	Text   string
	Tokens int64
	Status int
	Body   []byte
}

// Send is a message for the process at an address.
type Send struct {
	To   string
	Body any
}

// Output is what a step wants done.
type Output struct {
	Sends   []Send
	Returns []Return
	Shots   []Shoot
	Cancels []uint64
}

// Params bound a node's timing and room; all else are ratios to these.
type Params struct {
	Core core.Params
	// Buffer is how many inquiries may wait for a shot.
	Buffer int
	// Patience is the longest that a shot waits for its tenant's rate.
	Patience time.Duration
	// Report is how often shares are reported while they change.
	Report time.Duration
	// Newest is how old a replica's announcement may be when a shot is made.
	Newest time.Duration
	// UrgentRatio is the part of the buffer kept for urgent services.
	UrgentRatio float64
	// Budget is that of inquiries which name none.
	Budget time.Duration
}

// Counters are what a node counts.
type Counters struct {
	Inquiries, Forwarded, Gated, Warned, Refused, Shots, NotRun, Broken, Whole                   int64
	Takeovers, Joins, TermsLost, StaleNews, Resets, Fenced, BadMessages, Saves, Handed, PassedOn int64
	Mirrored, MirrorsUsed, MirrorsLost                                                           int64
	Refusals                                                                                     map[string]int64
}
