package shares

import "time"

// reportInterval is how often a node reports its counts.
const reportInterval = 200 * time.Millisecond

// countBytes is the size of a tenant's count in a report.
const countBytes = 16

// approximate lets each node admit by the last sum that it knows and its own count, and reconciles
// the counts periodically.
type approximate struct {
	*world
	nodes [][]*localCount
	// reports are the counts of nodes at the leaders, by tenant and node.
	reports [][]report
}

// localCount is a node's view of a tenant: its own admissions, and those of all others as of the
// last report.
type localCount struct {
	own    []time.Duration
	others int64
}

type report struct {
	count int64
	at    time.Duration
}

func (a *approximate) name() string { return "approximate counts" }

func (a *approximate) start(w *world) {
	a.world, a.nodes = w, make([][]*localCount, w.scenario.nodes)
	for range w.tenants {
		a.reports = append(a.reports, make([]report, w.scenario.nodes))
	}
	for node := range a.nodes {
		for range w.tenants {
			a.nodes[node] = append(a.nodes[node], &localCount{})
		}
		w.every(reportInterval, node, func() { a.reportAll(node) })
	}
}

func (a *approximate) leaderMoved(partition int) { a.leaderLost(partition) }

// leaderLost forgets the counts; nodes report them again.
func (a *approximate) leaderLost(partition int) {
	for t := range a.reports {
		if a.partitionOf(t) == partition {
			clear(a.reports[t])
		}
	}
}

func (a *approximate) admit(req *request) {
	c := a.nodes[req.node][req.tenant]
	ok := c.others+int64(inWindow(c.own, a.now)) < a.tenants[req.tenant].limit.Max
	if ok {
		c.own = append(c.own, a.now)
	}
	a.decide(req, ok)
}

// reportAll reports the node's counts of tenants that it served in the last window.
func (a *approximate) reportAll(node int) {
	var active [partitions][]int
	for t, c := range a.nodes[node] {
		if len(c.own) > 0 && a.now < c.own[len(c.own)-1]+window+reportInterval {
			p := a.partitionOf(t)
			active[p] = append(active[p], t)
		}
	}
	for partition, tenants := range active {
		if len(tenants) > 0 {
			a.report(node, partition, tenants)
		}
	}
}

func (a *approximate) report(node, partition int, tenants []int) {
	counts := make([]int64, len(tenants))
	for i, t := range tenants {
		counts[i] = int64(inWindow(a.nodes[node][t].own, a.now))
	}
	reportedAt := a.now
	a.call(&call{
		node:      node,
		partition: partition,
		zone:      func() int { return a.leaderZone(a.now, partition) },
		size:      frameBytes + countBytes*len(tenants),
		until:     a.now + reportInterval,
		serve: func() reply {
			others := make([]int64, len(tenants))
			for i, t := range tenants {
				if reportedAt >= a.reports[t][node].at {
					a.reports[t][node] = report{count: counts[i], at: reportedAt}
				}
				others[i] = a.othersOf(t, node)
			}
			return reply{size: frameBytes + countBytes*len(tenants), apply: func() {
				for i, t := range tenants {
					a.nodes[node][t].others = others[i]
				}
			}}
		},
		failed: func() {},
	})
}

// othersOf sums the counts of the other nodes that reported in the last window.
func (a *approximate) othersOf(tenant, node int) int64 {
	var sum int64
	for other, r := range a.reports[tenant] {
		if other != node && a.now < r.at+window {
			sum += r.count
		}
	}
	return sum
}
