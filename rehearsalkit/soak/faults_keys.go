package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"
)

// operationFaults are faults of relaying nodes that are at work on operations with keys.
var operationFaults = []faultKind{
	{"freeze with operations", 3, onOperations(func(ctx context.Context, random *rand.Rand, p *process, repeat func()) {
		p.signal(syscall.SIGSTOP)
		repeat()
		pause(ctx, between(random, 0, 4*time.Second))
		repeat()
		p.signal(syscall.SIGCONT)
	})},
	{"kill with operations", 2, onOperations(func(ctx context.Context, random *rand.Rand, p *process, repeat func()) {
		p.kill()
		repeat()
		pause(ctx, between(random, 0, 500*time.Millisecond))
		p.start()
	})},
	{"end with operations", 1, onOperations(func(ctx context.Context, random *rand.Rand, p *process, repeat func()) {
		p.signal(syscall.SIGTERM)
		repeat()
		p.waitExit()
		p.start()
	})},
}

// operationsAtOnce is how many operations of each kind a node gets before its fault.
const operationsAtOnce = 4

// onOperations makes a fault of a relaying node that has just been sent operations. The action
// calls repeat to send all of them to other nodes, which ends when these have answered.
func onOperations(
	action func(ctx context.Context, random *rand.Rand, p *process, repeat func()),
) func(f *Fleet, ctx context.Context, random *rand.Rand) string {
	return func(f *Fleet, ctx context.Context, random *rand.Rand) string {
		nodes := f.withRole(roleNode)
		p := nodes[random.IntN(len(nodes))]
		if !f.acquire(p) {
			return ""
		}
		defer f.release(p)
		p.checkExit()
		batch := f.newOperationBatch(p)
		batch.sendToNode()
		pause(ctx, between(random, 0, 25*time.Millisecond))
		action(ctx, random, p, func() { batch.eachOperation((*operationRequester).repeatElsewhere) })
		batch.eachOperation((*operationRequester).repeatElsewhere)
		batch.wait()
		return p.name
	}
}

// operationBatch is a set of operations that are sent to one node at once. Each has a requester of
// its own.
type operationBatch struct {
	node       *process
	requesters []*operationRequester
	done       chan struct{}
}

func (f *Fleet) newOperationBatch(node *process) *operationBatch {
	b := &operationBatch{node: node, done: make(chan struct{})}
	began := f.now()
	for i := range operationsAtOnce {
		for _, kind := range keyedKinds {
			for _, tenant := range []string{tenantFirst, tenantSecond} {
				name := fmt.Sprintf("batch-%s-%d-%s-%d", node.name, began.Milliseconds(), kind, i)
				o := newOperationRequester(f, kind, tenant, name)
				o.newOperation()
				b.requesters = append(b.requesters, o)
			}
		}
	}
	return b
}

// sendToNode starts the first attempts and returns once all are sent or failed.
func (b *operationBatch) sendToNode() {
	sent := make(chan struct{})
	for _, o := range b.requesters {
		req := o.attempt(o.past[0])
		go func() {
			c := dialUntilGone(b.node)
			sent <- struct{}{}
			if c != nil {
				o.fleet.ask(c, req)
				c.Close()
			}
			b.done <- struct{}{}
		}()
	}
	for range b.requesters {
		<-sent
	}
}

func (b *operationBatch) wait() {
	for range b.requesters {
		<-b.done
	}
	for _, o := range b.requesters {
		o.close()
	}
}

// eachOperation calls action for all operations at once and returns when all calls have.
func (b *operationBatch) eachOperation(action func(o *operationRequester, node *process)) {
	done := make(chan struct{})
	for _, o := range b.requesters {
		go func() {
			action(o, b.node)
			done <- struct{}{}
		}()
	}
	for range b.requesters {
		<-done
	}
}

// repeatElsewhere repeats an operation at another node, unless one of its repeats is answered.
func (o *operationRequester) repeatElsewhere(node *process) {
	op := o.past[0]
	if op.last.Repeat && op.last.Whole && op.last.Status == http.StatusOK && rand.IntN(2) == 0 {
		return
	}
	o.send(o.attempt(op), o.fleet.anyNodeBut(node))
}
