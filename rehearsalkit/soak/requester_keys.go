package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// operation is what all attempts with one operation key ask for.
type operation struct {
	key, body string
	// last is the latest attempt.
	last *request
}

// operationRequester sends operations with keys and repeats them. It goes on using its connections
// until they break.
type operationRequester struct {
	fleet              *Fleet
	kind, tenant, name string
	count              int
	idle               map[*process]*connection
	past               []*operation
}

func newOperationRequester(f *Fleet, kind, tenant, name string) *operationRequester {
	return &operationRequester{fleet: f, kind: kind, tenant: tenant, name: name, idle: map[*process]*connection{}}
}

func (o *operationRequester) run(ctx context.Context) {
	const maxPause = 60 * time.Millisecond
	for ctx.Err() == nil {
		switch rand.IntN(6) {
		case 0, 1:
			if len(o.past) > 0 {
				o.repeat(o.past[rand.IntN(len(o.past))])
			}
		case 2:
			o.sendAtOnce(o.newOperation())
		default:
			o.sendUntilAnswered(ctx, o.newOperation())
		}
		pause(ctx, time.Duration(rand.Int64N(int64(maxPause))))
	}
	o.close()
}

func (o *operationRequester) close() {
	for _, c := range o.idle {
		c.Close()
	}
	clear(o.idle)
}

func (o *operationRequester) newOperation() *operation {
	op := &operation{
		key:  fmt.Sprintf("%s-operation-%d", o.name, len(o.past)+1),
		body: "operation of " + o.name + strings.Repeat("-", rand.IntN(500)),
	}
	o.past = append(o.past, op)
	return op
}

// attempt returns the next attempt at an operation.
func (o *operationRequester) attempt(op *operation) *request {
	o.count++
	req := &request{
		Attempt: fmt.Sprintf("%s-%d", o.name, o.count),
		Kind:    o.kind,
		Tenant:  o.tenant,
		Method:  http.MethodPost,
		Path:    "/" + o.kind + "/x",
		Body:    op.body,
	}
	req.OperationKey, req.Repeat = op.key, op.last != nil
	op.last = req
	return req
}

// send uses an idle connection to the node, or else a new one.
func (o *operationRequester) send(req *request, node *process) {
	c := o.idle[node]
	delete(o.idle, node)
	if c == nil {
		if c = dialUntilGone(node); c == nil {
			return
		}
	}
	if o.fleet.ask(c, req) && rand.IntN(3) > 0 {
		o.idle[node] = c
		return
	}
	c.Close()
}

func dialUntilGone(node *process) *connection {
	c, err := dialNode(node)
	if err != nil {
		return nil
	}
	c.untilGone = true
	return c
}

func (o *operationRequester) repeat(op *operation) {
	o.send(o.attempt(op), o.fleet.anyNode())
}

// sendUntilAnswered repeats an operation after any failure, at another node, for a number of times.
func (o *operationRequester) sendUntilAnswered(ctx context.Context, op *operation) {
	node := o.fleet.anyNode()
	for range 2 + rand.IntN(6) {
		req := o.attempt(op)
		o.send(req, node)
		if ctx.Err() != nil || req.Whole && req.Status == http.StatusOK {
			return
		}
		node = o.fleet.anyNodeBut(node)
		if rand.IntN(2) == 0 {
			pause(ctx, time.Duration(rand.IntN(400))*time.Millisecond)
		}
	}
}

// sendAtOnce sends two attempts at two nodes at the same time.
func (o *operationRequester) sendAtOnce(op *operation) {
	first, second, done := o.attempt(op), o.attempt(op), make(chan struct{})
	node := o.fleet.anyNode()
	other := o.fleet.anyNodeBut(node)
	go func() {
		defer close(done)
		if c := dialUntilGone(other); c != nil {
			o.fleet.ask(c, second)
			c.Close()
		}
	}()
	o.send(first, node)
	<-done
}

// anyNodeBut returns another node than the given one if there is one.
func (f *Fleet) anyNodeBut(node *process) *process {
	nodes := f.withRole(roleNode)
	for range 100 {
		if other := nodes[rand.IntN(len(nodes))]; other != node {
			return other
		}
	}
	return node
}
