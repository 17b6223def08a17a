package modelcheck

import (
	"slices"
	"sync"
	"time"
)

// Limits bound an exploration in addition to the scenario's own bounds.
type Limits struct {
	// Depth bounds the length of a trace; 0: the scenario's depth. States is the number of distinct
	// states after which no further depth starts. 0 in States or Timeout means no limit.
	Depth   int
	States  int
	Timeout time.Duration
	Workers int
	// Progress is called before each depth; it may be nil.
	Progress func(Progress)
}

// Progress counts an exploration's work so far.
type Progress struct {
	Depth, Distinct, Frontier int
	Transitions               int64
	Elapsed                   time.Duration
}

// Report is the result of an exploration.
type Report struct {
	Scenario string
	Progress
	// StoppedBy names the limit reached with a frontier left. It is empty if all states were
	// visited or a violation ended the exploration.
	StoppedBy string
	Found     *Trace
}

// node is a visited state in the tree of shortest traces.
type node struct {
	parent *node
	action Action
	world  *World
}

func (n *node) trace() []Action {
	var list []Action
	for ; n.parent != nil; n = n.parent {
		list = append(list, n.action)
	}
	slices.Reverse(list)
	return list
}

// shardCount is the number of locks of the visited set.
const shardCount = 64

type visited struct {
	shards [shardCount]struct {
		lock sync.Mutex
		set  map[digest]struct{}
	}
}

// add reports whether the state is new.
func (v *visited) add(d digest) bool {
	shard := &v.shards[d[0]%shardCount]
	shard.lock.Lock()
	defer shard.lock.Unlock()
	if _, ok := shard.set[d]; ok {
		return false
	}
	if shard.set == nil {
		shard.set = map[digest]struct{}{}
	}
	shard.set[d] = struct{}{}
	return true
}

type expansion struct {
	next        []*node
	transitions int64
	found       []*node
}

// Explore visits the states of a scenario breadth first, and stops at the depth of the first
// violation.
func Explore(scenario *Scenario, limits Limits) Report {
	began := time.Now()
	if limits.Depth == 0 {
		limits.Depth = scenario.Depth
	}
	report := Report{Scenario: scenario.Name}
	start := scenario.Start()
	seen := &visited{}
	seen.add(start.fingerprint())
	frontier := []*node{{world: start}}
	report.Distinct = 1
	if start.violated != nil {
		report.Found = newTrace(scenario, frontier[0])
		return report
	}
	for {
		report.Frontier, report.Elapsed = len(frontier), time.Since(began)
		report.StoppedBy = limits.reached(&report)
		if limits.Progress != nil {
			limits.Progress(report.Progress)
		}
		if report.Frontier == 0 || report.StoppedBy != "" {
			return report
		}
		merged := expandAll(frontier, seen, limits, began)
		report.Depth++
		report.Transitions += merged.transitions
		report.Distinct += len(merged.next) + len(merged.found)
		if len(merged.found) > 0 {
			report.Found = newTrace(scenario, firstByTrace(merged.found))
			report.Elapsed = time.Since(began)
			return report
		}
		frontier = merged.next
	}
}

// Values of Report.StoppedBy. After a timeout the last depth is incomplete.
const (
	depthLimit   = "depth"
	statesLimit  = "states"
	timeoutLimit = "timeout"
)

// reached names the limit that was reached, or returns "".
func (l *Limits) reached(report *Report) string {
	switch {
	case report.Frontier == 0:
		return ""
	case report.Depth >= l.Depth:
		return depthLimit
	case l.States > 0 && report.Distinct >= l.States:
		return statesLimit
	case l.Timeout > 0 && report.Elapsed >= l.Timeout:
		return timeoutLimit
	}
	return ""
}

// expandAll expands a frontier in parallel. After the timeout the rest is returned unexpanded.
func expandAll(frontier []*node, seen *visited, limits Limits, began time.Time) expansion {
	workers := max(1, limits.Workers)
	expansions := make([]expansion, workers)
	var group sync.WaitGroup
	var lock sync.Mutex
	taken := 0
	take := func() *node {
		lock.Lock()
		defer lock.Unlock()
		if taken == len(frontier) {
			return nil
		}
		taken++
		return frontier[taken-1]
	}
	for i := range expansions {
		group.Go(func() {
			for n := take(); n != nil; n = take() {
				if limits.Timeout > 0 && time.Since(began) >= limits.Timeout {
					expansions[i].next = append(expansions[i].next, n)
					continue
				}
				expansions[i].expand(n, seen)
			}
		})
	}
	group.Wait()
	var merged expansion
	for _, e := range expansions {
		merged.next = append(merged.next, e.next...)
		merged.found = append(merged.found, e.found...)
		merged.transitions += e.transitions
	}
	return merged
}

func (e *expansion) expand(n *node, seen *visited) {
	for _, action := range n.world.Actions() {
		next, err := n.world.Apply(action)
		if err != nil {
			continue
		}
		e.transitions++
		if next.hasNoEffect(n.world, action) {
			continue
		}
		if next.violated == nil && !seen.add(next.fingerprint()) {
			continue
		}
		next.checkDisks()
		fresh := &node{parent: n, action: action, world: next}
		if next.violated != nil {
			e.found = append(e.found, fresh)
		} else {
			e.next = append(e.next, fresh)
		}
	}
	n.world = nil
}

// firstByTrace returns the violation with the least trace, whatever the scheduling.
func firstByTrace(found []*node) *node {
	return slices.MinFunc(found, func(a, b *node) int {
		return slices.CompareFunc(a.trace(), b.trace(), func(x, y Action) int {
			switch xs, ys := x.String(), y.String(); {
			case xs < ys:
				return -1
			case xs > ys:
				return 1
			}
			return 0
		})
	})
}
