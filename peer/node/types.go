// Package node is the state machine of a data-plane node. A node owns programs while it has a
// membership lease, spends shares of allowances, and runs requests as attempts at replicas.
//
// An attempt starts only under a valid lease, and only after its reservation or intent is durable
// at the cores or at all mirrors of its program. Machine does no input or output; each step returns
// an Output. Start reading at Machine.Submit for requests and Machine.Receive for messages.
package node

import (
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/message"
	"saffronfall/rule/program"
	"saffronfall/rule/verdict"
)

// Kinds of requests.
const (
	KindOpen   = "open"
	KindTurn   = "turn"
	KindTool   = "tool"
	KindAction = "action"
	KindClose  = "close"
	KindStatus = "look"
)

// Request is what a requester sends. OnceKey is its idempotency key, PreviousHead the head that its
// turn follows.
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

// Kinds of response frames. FrameAccepted is sent between nodes only.
const (
	FrameAccepted = "taken"
	FrameVerdict  = "verdict"
	FrameBody     = "body"
	FrameOpen     = "open"
	FrameChunk    = "chunk"
	FrameClose    = "close"
	FrameAbort    = "break"
)

// Frame is one part of a response. A stream is complete only with FrameClose. Text is a part of a
// stream, or the id of an opened program.
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

// Last reports whether the frame is the last one of its response.
func (f Frame) Last() bool {
	return f.Kind == FrameVerdict || f.Kind == FrameBody || f.Kind == FrameClose || f.Kind == FrameAbort
}

// Messages between nodes.
type (
	// ForwardRequest forwards a request to the owner of its program.
	ForwardRequest struct {
		ID      uint64  `msgpack:"i"`
		Request Request `msgpack:"q"`
	}
	// CancelForward cancels a forwarded request.
	CancelForward struct {
		ID uint64 `msgpack:"i"`
	}
	// ForwardedFrame carries one response frame back, numbered without gaps.
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

// Response is a frame for the request with a ticket.
type Response struct {
	Ticket uint64
	Frame  Frame
}

// StartAttempt tells the caller to make one attempt at a replica. Payload.Attempt is the id that
// the replica sees.
type StartAttempt struct {
	Attempt uint64
	Service string
	Kind    string
	Replica string
	Address string
	Payload Payload
	Timeout time.Duration
}

// Payload is what is sent to a replica.
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

// Kinds of attempt events. After EventInterrupted the attempt may have run.
const (
	EventChunk       = "chunk"
	EventDone        = "done"
	EventNotRun      = "not run"
	EventInterrupted = "broken"
)

// AttemptEvent reports progress or the outcome of an attempt. Text is the finish reason in an
// EventDone.
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

// Output lists the effects of a step, which the caller must carry out.
type Output struct {
	Sends     []Send
	Responses []Response
	Attempts  []StartAttempt
	Cancels   []uint64 // StartAttempt.Attempt
}

// Params bounds a node's timing and queues.
type Params struct {
	Core core.Params
	// QueueLimit is the maximum number of requests that wait for an attempt.
	QueueLimit int
	// MaxQueueWait bounds the wait of an attempt for its tenant's rate or a replica.
	MaxQueueWait time.Duration
	// ReportInterval is the interval of share reports while shares change.
	ReportInterval time.Duration
	// AnnouncementMaxAge is the maximum age of a replica's announcement when an attempt starts.
	AnnouncementMaxAge time.Duration
	// UrgentRatio is the fraction of the queue reserved for urgent services.
	UrgentRatio float64
	// DefaultTimeout applies to requests without a timeout.
	DefaultTimeout time.Duration
}

// Counters are a node's cumulative counts. Completed counts turns, Refusals is keyed by code.
type Counters struct {
	Requests, Forwarded, Admitted, Warned, Refused, Attempts, NotRun, Interrupted, Completed            int64
	Takeovers, Joins, LeasesLost, StaleUpdates, Resets, Fenced, BadMessages, Saves, HandedOver, Relayed int64
	Mirrored, MirrorsUsed, MirrorsLost                                                                  int64
	Refusals                                                                                            map[string]int64
}
