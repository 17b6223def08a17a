package modelcheck

import (
	"slices"
	"sync"
	"time"
)

// Limits bound an exploration, whatever a scenario's bounds are.
type Limits struct {
	// Depth is how many actions a trace may have, States how many distinct states
	// are visited, Timeout how long it may take. Zero: the scenario's depth, and
	// no other limit.
	Depth   int
	States  int
	Timeout time.Duration
	Workers int
	// Progress is told of each depth; it may be nil.
	Progress func(Progress)
}

// Progress is how far an exploration has come.
type Progress struct {
	Depth, Distinct, Frontier int
	Transitions               int64
	Elapsed                   time.Duration
}

// Report is what an exploration has come to.
type Report struct {
	Scenario string
	Progress
	// Cut says which limit ended it while states were left in the frontier; it is
	// empty where all states within the bounds were visited.
	StoppedBy string
	Found     *Trace
}

// node is a visited state's place in the tree of shortest traces.
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

// shards is over how many locks the set of visited states is spread.
const shardCount = 64

type visited struct {
	shards [shardCount]struct {
		lock sync.Mutex
		set  map[digest]struct{}
	}
}

// add reports whether a state is new.
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

// layer is what one worker makes of its share of a frontier.
type expansion struct {
	next        []*node
	transitions int64
	found       []*node
}

// Explore visits all states of a scenario within its bounds, nearest first, and
// ends at the depth of the first violation.
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
	if start.broken != nil {
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

// Limits that may cut an exploration off. At the timeout the last depth is not
// complete.
const (
	depthLimit   = "depth"
	statesLimit  = "states"
	timeoutLimit = "timeout"
)

// cut names the limit that an exploration has come to.
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

// expandAll takes every action in every state of a frontier. After the timeout
// the rest of the frontier is left.
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
	for _, l := range expansions {
		merged.next = append(merged.next, l.next...)
		merged.found = append(merged.found, l.found...)
		merged.transitions += l.transitions
	}
	return merged
}

func (l *expansion) expand(n *node, seen *visited) {
	for _, action := range n.world.Actions() {
		next, err := n.world.Apply(action)
		if err != nil {
			continue
		}
		l.transitions++
		if next.hasNoEffect(n.world, action) {
			continue
		}
		if next.broken == nil && !seen.add(next.fingerprint()) {
			continue
		}
		next.checkDisks()
		fresh := &node{parent: n, action: action, world: next}
		if next.broken != nil {
			l.found = append(l.found, fresh)
		} else {
			l.next = append(l.next, fresh)
		}
	}
	n.world = nil
}

// least is the violation whose trace comes first, so that the same run names
// the same one.
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
