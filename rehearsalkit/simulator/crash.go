package simulator

import (
	"fmt"
	"reflect"
	"strings"
	"time"

	"saffronfall/peer/core"
	"saffronfall/peer/node"
	"saffronfall/rehearsalkit/judge"
	"saffronfall/rule/message"
	"saffronfall/rule/program"
)

// operation is an action during which processes are crashed.
type operation struct {
	name  string
	begin func(w *World, s *scenario)
	// retry repeats the request at a node; nil means that the operation is not retried.
	retry func(w *World, s *scenario, at int)
	// shares tells whether messages about grants of shares are crash points.
	shares bool
}

type scenario struct {
	programID, head string
	requestID       string
}

func (s *scenario) turnRequest(conversation, before string) node.Request {
	return node.Request{
		Kind:         node.KindTurn,
		Key:          "key-t1",
		Program:      s.programID,
		Conversation: conversation,
		Service:      "model",
		PreviousHead: before,
		Prompt:       s.requestID,
		MaxTokens:    300,
		Timeout:      4 * time.Second,
	}
}

func (s *scenario) onceRequest() node.Request {
	return node.Request{
		Kind:      node.KindAction,
		Key:       "key-t1",
		User:      "u",
		Service:   "alert",
		OnceKey:   "crash",
		Arguments: []byte(`{"mark":"crash"}`),
		Timeout:   3 * time.Second,
	}
}

// ignoreResponse is for requests whose outcome only the record needs.
func ignoreResponse(judge.Request, node.Frame) {}

func retryRequest(request func(s *scenario) node.Request) func(w *World, s *scenario, at int) {
	return func(w *World, s *scenario, at int) { w.Do(at, request(s)) }
}

var operations = []operation{
	{name: "turn", begin: func(w *World, s *scenario) { w.submit(w.nodes[1], s.turnRequest("", s.head), ignoreResponse) }},
	{name: "turn of a helper", begin: func(w *World, s *scenario) {
		w.submit(w.nodes[1], s.turnRequest("helper", program.EmptyHead), ignoreResponse)
	}},
	{name: "tool call", begin: func(w *World, s *scenario) {
		w.submit(w.nodes[1], node.Request{
			Kind:      node.KindTool,
			Key:       "key-t1",
			Program:   s.programID,
			Service:   "search",
			Arguments: []byte(`{"mark":"crash-tool"}`),
			Timeout:   3 * time.Second,
		}, ignoreResponse)
	}},
	{
		name:  "once-only action",
		begin: func(w *World, s *scenario) { w.submit(w.nodes[1], s.onceRequest(), ignoreResponse) },
		retry: retryRequest((*scenario).onceRequest),
	},
	{name: "session start", begin: func(w *World, s *scenario) {
		w.submit(w.nodes[1], node.Request{Kind: node.KindOpen, Key: "key-t1", User: "v", Timeout: 3 * time.Second}, ignoreResponse)
	}},
	{name: "grant of shares", shares: true, begin: func(w *World, s *scenario) {
		w.nodes[2].kill()
		w.nodes[2].boot()
	}},
	{name: "handover", begin: func(w *World, s *scenario) {
		n := w.nodes[0]
		n.handleNodeOutput(n.nodeMachine.Drain(n.now()))
		w.after(100*time.Millisecond, func() { n.awaitDrain(n.incarnation, w.now+3*time.Second) })
	}},
	{name: "configuration", begin: func(w *World, s *scenario) { w.applyConfiguration(w.cores[0], w.version, "probe-crash", func(bool) {}) }},
	{name: "change of a group", begin: func(w *World, s *scenario) {
		w.Operate(w.cores[0], func(m *core.Machine, now time.Duration, ticket uint64) core.Output {
			return m.ChangeCore(now, ticket, core.KindRetire, "core4", "", 6*time.Second)
		}, func(any) {})
	}},
}

var crashFaults = []struct {
	name   string
	inject func(w *World, p *process)
}{
	{"killed", func(w *World, p *process) { p.kill(); w.after(1500*time.Millisecond, p.boot) }},
	{"frozen past its term", func(w *World, p *process) { p.freeze(); w.after(2*w.Params.MemberLease+time.Second, p.resume) }},
	{"cut off", func(w *World, p *process) { w.isolate(p, 2*w.Params.MemberLease) }},
	{"powered off", func(w *World, p *process) {
		p.powerOff()
		w.after(1500*time.Millisecond, p.boot)
	}},
}

// messageKind returns the registered name, or "" for background traffic without crash points.
func messageKind(body any, shares bool) string {
	raw := []byte(nil)
	switch b := body.(type) {
	case core.Command:
		raw = b.Raw
	case core.CommandResult:
		raw = b.Raw
	case core.ReplicaMessage:
		raw = b.Raw
	case core.PullUpdates, core.Update, core.Topology, core.Freshness, node.Announcements, core.Samples, core.ReadSamples, core.AnnounceCore:
		return ""
	default:
		return reflect.TypeOf(body).Name()
	}
	inner, err := message.Open(raw)
	if err != nil {
		return reflect.TypeOf(body).Name()
	}
	name := registeredNames[reflect.TypeOf(inner)]
	switch name {
	case "Renew", "Renewed", "Stand", "RenewMember":
		return ""
	case "ShareTenant", "ShareRates", "DrawBreaker", "Shared", "SharedRates", "Termed", "JoinMember", "LeaveMember":
		if !shares {
			return ""
		}
	}
	return name
}

// registeredNames holds the names without their package.
var registeredNames = func() map[reflect.Type]string {
	names := map[reflect.Type]string{}
	for name, t := range message.Types() {
		names[t] = name[strings.LastIndex(name, ".")+1:]
	}
	return names
}()

func newCrashWorld() (*World, *scenario) {
	p := Defaults(3)
	p.Cores, p.Nodes, p.Users, p.MemberLease = 4, 4, 0, 2*time.Second
	p.MinuteCost, p.DayTokens = 50, 100_000_000
	w := NewWithoutFaults(p)
	w.setJudgeLimits()
	s := &scenario{}
	_, opened := open(w, 0, "u")
	s.programID = opened.Text
	_, first := turn(w, 0, s.programID, program.EmptyHead, 100)
	s.head = first.Head
	w.Advance(700 * time.Millisecond)
	s.requestID = w.newID("crash")
	return w, s
}

// crashPoint is the moment of a message or a sync, with the processes involved.
type crashPoint struct {
	label     string
	processes []*process
}

func (w *World) visitCrashPoints(o operation, s *scenario, visit func(p crashPoint)) {
	w.atMessage = func(from, to *process, body any) {
		if kind := messageKind(body, o.shares); kind != "" {
			visit(crashPoint{label: kind + " " + from.id + ">" + to.id, processes: []*process{from, to}})
		}
	}
	w.atSync = func(p *process, what string) { visit(crashPoint{label: what + " " + p.id, processes: []*process{p}}) }
	o.begin(w, s)
	w.runUntil(w.now + 1200*time.Millisecond)
	w.atMessage, w.atSync = nil, nil
}

// CrashResult is the outcome of all crash runs of one operation. Faults are the problems found.
type CrashResult struct {
	Operation    string
	Points, Runs int
	Faults       []string
}

// CrashPoints runs one in `every` combinations of operation, crash point, process and fault. Each
// run then repairs the fleet, retries at other nodes and judges the record.
func CrashPoints(every int, report func(c CrashResult)) {
	type job struct {
		o              operation
		point, process int
		fault          int
		description    string
	}
	for _, o := range operations {
		c := CrashResult{Operation: o.name}
		var jobs []job
		w, s := newCrashWorld()
		w.visitCrashPoints(o, s, func(p crashPoint) {
			for i, process := range p.processes {
				for f := range crashFaults {
					if process.disk == nil && crashFaults[f].name == "powered off" {
						continue
					}
					jobs = append(jobs, job{
						o:           o,
						point:       c.Points,
						process:     i,
						fault:       f,
						description: p.label + ", " + process.id + " " + crashFaults[f].name,
					})
				}
			}
			c.Points++
		})
		results := make(chan []string)
		work := make(chan job)
		const workers = 8
		for i := 0; i < workers; i++ {
			go func() {
				for j := range work {
					var faults []string
					for _, f := range crash(j.o, j.point, j.process, j.fault) {
						faults = append(faults, fmt.Sprintf("%s, point %d (%s): %s", j.o.name, j.point, j.description, f))
					}
					results <- faults
				}
			}()
		}
		go func() {
			for i, j := range jobs {
				if i%every == 0 {
					work <- j
				}
			}
			close(work)
		}()
		for i := range jobs {
			if i%every == 0 {
				c.Runs++
				c.Faults = append(c.Faults, <-results...)
			}
		}
		report(c)
	}
}

func crash(o operation, at, process, fault int) (faults []string) {
	w, s := newCrashWorld()
	n, injected := 0, false
	w.visitCrashPoints(o, s, func(p crashPoint) {
		if n == at && !injected {
			injected = true
			victim := p.processes[process]
			// The fault must not interrupt the step that the process is executing.
			w.after(0, func() { crashFaults[fault].inject(w, victim) })
		}
		n++
	})
	if !injected {
		return []string{"the crash point was not reached when the run was repeated"}
	}
	w.runUntil(w.now + 2*w.Params.MemberLease + 2*time.Second)
	if o.retry != nil {
		for i := range w.nodes {
			o.retry(w, s, i)
		}
	}
	head := s.head
	for i := range w.nodes {
		served := false
		for end := w.now + 6*time.Second; w.now < end && !served; w.Advance(100 * time.Millisecond) {
			result, p := turn(w, i, s.programID, head, 50)
			switch {
			case result.Outcome == judge.Whole:
				served, head = true, p.Head
			case result.Code == "wrong_history":
				head = p.Verdict.Head
			}
		}
		if !served {
			faults = append(faults, fmt.Sprintf("node%d does not serve the program again", i+1))
		}
	}
	for _, n := range w.nodes {
		w.probeNode(n, true)
	}
	w.runUntil(w.now + 1500*time.Millisecond)
	w.Record.Nodes = nil
	for _, n := range w.nodes {
		w.Record.Nodes = append(w.Record.Nodes, n.id)
	}
	for _, b := range w.Record.Judge() {
		faults = append(faults, b.String())
	}
	return faults
}

// String returns a line of totals, then the faults.
func (c CrashResult) String() string {
	lines := []string{fmt.Sprintf("%-18s %4d points, %5d runs, %d faults", c.Operation, c.Points, c.Runs, len(c.Faults))}
	return strings.Join(append(lines, c.Faults...), "\n  ")
}
