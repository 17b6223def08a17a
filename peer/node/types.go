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
	KindOpen   = "open"
	KindTurn   = "turn"
	KindTool   = "tool"
	KindAction = "action"
	KindClose  = "close"
	KindStatus = "look"
)

// Inquiry is what a requester asks for.
type Request struct {
	Kind         string         `msgpack:"k"`
	Key          string         `msgpack:"y"`
	User         string         `msgpack:"u"`
	Program      string         `msgpack:"p"`
	Conversation string         `msgpack:"l"`
	Service      string         `msgpack:"s"`
	PreviousHead string         `msgpack:"b"`
	Prompt       string         `msgpack:"t"`
	History      []program.Turn `msgpack:"h"`
	MaxTokens    int64          `msgpack:"m"`
	Arguments    []byte         `msgpack:"a"`
	OnceKey      string         `msgpack:"o"`
	Timeout      time.Duration  `msgpack:"d"`
}

// Kinds of pieces of a return.
const (
	FrameAccepted = "taken"
	FrameVerdict  = "verdict"
	FrameBody     = "body"
	FrameOpen     = "open"
	FrameChunk    = "chunk"
	FrameClose    = "close"
	FrameAbort    = "break"
)

// Piece is one part of what a requester gets back. The last one is a verdict,
// a body, a close or a break, and only a close makes a stream whole.
type Frame struct {
	Kind         string          `msgpack:"k"`
	Verdict      verdict.Verdict `msgpack:"v"`
	Status       int             `msgpack:"s"`
	Body         []byte          `msgpack:"b"`
	Text         string          `msgpack:"t"`
	Tokens       int64           `msgpack:"n"`
	Head         string          `msgpack:"h"`
	FinishReason string          `msgpack:"e"`
}

// Last reports whether nothing follows a piece.
func (p Frame) Last() bool {
	return p.Kind == FrameVerdict || p.Kind == FrameBody || p.Kind == FrameClose || p.Kind == FrameAbort
}

// Messages between nodes.
type (
	// Forward passes an inquiry to the owner of its program.
	ForwardRequest struct {
		ID      uint64  `msgpack:"i"`
		Request Request `msgpack:"q"`
	}
	// Withdraw says that nobody waits for a forwarded inquiry any more.
	CancelForward struct {
		ID uint64 `msgpack:"i"`
	}
	// Pieced carries one piece back, numbered without gaps.
	ForwardedFrame struct {
		ID     uint64 `msgpack:"i"`
		Number int    `msgpack:"n"`
		Frame  Frame  `msgpack:"p"`
	}
)

func init() {
	message.Register(map[string]any{
		"node.Forward":  ForwardRequest{},
		"node.Withdraw": CancelForward{},
		"node.Pieced":   ForwardedFrame{},
	})
}

// Return is a piece for the requester that waits under a ticket.
type Response struct {
	Ticket uint64
	Frame  Frame
}

// Shoot asks for one shot at a replica.
type StartAttempt struct {
	Attempt uint64
	Service string
	Kind    string
	Replica string
	Address string
	Payload Payload
	Timeout time.Duration
}

// Payload is what a replica is sent.
type Payload struct {
	Attempt      string         `json:"shot"`
	Tenant       string         `json:"tenant"`
	Program      string         `json:"program,omitempty"`
	Conversation string         `json:"line,omitempty"`
	Head         string         `json:"head,omitempty"`
	History      []program.Turn `json:"history"`
	Prompt       string         `json:"say,omitempty"`
	MaxTokens    int64          `json:"max_tokens,omitempty"`
	OnceKey      string         `json:"once_key,omitempty"`
	Body         []byte         `json:"-"`
}

// Kinds of events of a shot.
const (
	EventChunk       = "chunk"
	EventDone        = "done"
	EventNotRun      = "not run"
	EventInterrupted = "broken"
)

// Event is something that became of a shot.
type AttemptEvent struct {
	Attempt uint64
	Kind    string
	Text    string
	Tokens  int64
	Status  int
	Body    []byte
}

// Send is a message for the process at an address.
type Send struct {
	To   string
	Body any
}

// Output is what a step wants done.
type Output struct {
	Sends     []Send
	Responses []Response
	Attempts  []StartAttempt
	Cancels   []uint64
}

// Params bound a node's timing and room; all else are ratios to these.
type Params struct {
	Core core.Params
	// Buffer is how many inquiries may wait for a shot.
	QueueLimit int
	// Patience is the longest that a shot waits for its tenant's rate.
	MaxQueueWait time.Duration
	// Report is how often shares are reported while they change.
	ReportInterval time.Duration
	// Newest is how old a replica's announcement may be when a shot is made.
	AnnouncementMaxAge time.Duration
	// UrgentRatio is the part of the buffer kept for urgent services.
	UrgentRatio float64
	// Budget is that of inquiries which name none.
	DefaultTimeout time.Duration
}

// Counters are what a node counts.
type Counters struct {
	Requests, Forwarded, Admitted, Warned, Refused, Attempts, NotRun, Interrupted, Completed           int64
	Takeovers, Joins, TermsLost, StaleUpdates, Resets, Fenced, BadMessages, Saves, HandedOver, Relayed int64
	Mirrored, MirrorsUsed, MirrorsLost                                                                 int64
	Refusals                                                                                           map[string]int64
}
