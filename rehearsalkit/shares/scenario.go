// Package shares compares ways to hold a tenant's rate over many nodes: leased shares, as the
// product has them, counting at the leader, escrow split by zone, and approximate counts. Each way
// meets the same arrivals and the same losses of machines in simulated time. Start reading at
// Compare.
package shares

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"saffronfall/rule/rate"
)

const (
	window = 5 * time.Second
	// The allowed overshoot of a window's limit, and the part of it that limits include.
	overshoot         = 0.1
	overshootSlack    = 20
	overshootFraction = 0.85

	partitions       = 16
	requestsPerSec   = 300
	tenantSkew       = 0.8
	limitPerUsual    = 1.6
	minRate          = 2.0
	burstSeconds     = 1.0
	minHotFactor     = 8
	hotFactorSpread  = 13
	lostNodes        = 2
	warmUp           = 3 * time.Second
	hotFrom          = 8 * time.Second
	nodesLostAt      = 20 * time.Second
	leaderLostAt     = 30 * time.Second
	leaderBackAt     = leaderLostAt + 700*time.Millisecond
	frozenFrom       = 40 * time.Second
	frozenUntil      = frozenFrom + 3*time.Second
	cutFrom          = 48 * time.Second
	cutUntil         = cutFrom + 4*time.Second
	leadersMovedAt   = cutFrom + 700*time.Millisecond
	scenarioDuration = 60 * time.Second
)

// tenant is one tenant with its limit. Plain is the limit of a window without any overshoot.
type tenant struct {
	usual float64
	plain float64
	limit rate.Limit
}

func (t tenant) allowed() float64 { return t.plain*(1+overshoot) + overshootSlack }

func newTenant(usual float64) tenant {
	perSecond := max(usual*limitPerUsual, minRate)
	plain := perSecond * (window.Seconds() + burstSeconds)
	granted := plain*(1+overshoot*overshootFraction) + overshootSlack*overshootFraction
	return tenant{usual: usual, plain: plain, limit: rate.Limit{Window: window, Max: int64(granted)}}
}

type arrival struct {
	at     time.Duration
	tenant int
	node   int
}

// scenario is what happens in a run, whichever way is taken. The hot tenant sends many times its
// usual from hotFrom; nodes and the leader of its partition are lost, one node is suspended, and
// one zone is disconnected from the others, one after the other.
type scenario struct {
	seed    uint64
	zones   int
	nodes   int
	tenants []tenant
	// homes are the nodes at which requests of a tenant arrive.
	homes      [][]int
	arrivals   []arrival
	hot        int
	lost       [lostNodes]int
	frozen     int
	cutZone    int
	crossDelay time.Duration
}

// newScenario draws a scenario. Requests of a tenant arrive at the given number of nodes, or at all
// if it is zero.
func newScenario(seed uint64, spread int) *scenario {
	r := rand.New(rand.NewPCG(seed, 1))
	s := &scenario{
		seed:       seed,
		zones:      3 + r.IntN(3),
		nodes:      55 + r.IntN(15),
		crossDelay: time.Duration(500+r.IntN(401)) * time.Microsecond,
	}
	weights, sum := make([]float64, 71+r.IntN(9)), 0.0
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -tenantSkew)
		sum += weights[i]
	}
	for _, weight := range weights {
		s.tenants = append(s.tenants, newTenant(requestsPerSec*weight/sum))
	}
	s.hot = r.IntN(len(s.tenants))
	order := r.Perm(s.nodes)
	copy(s.lost[:], order)
	s.frozen = order[lostNodes]
	s.cutZone = r.IntN(s.zones)
	s.homes = make([][]int, len(s.tenants))
	for i := range s.homes {
		s.homes[i] = r.Perm(s.nodes)
		if spread > 0 {
			s.homes[i] = s.homes[i][:min(spread, s.nodes)]
		}
	}
	hotFactor := float64(minHotFactor + r.IntN(hotFactorSpread))
	for i, t := range s.tenants {
		s.addArrivals(r, i, 0, scenarioDuration, t.usual)
		if i == s.hot {
			s.addArrivals(r, i, hotFrom, scenarioDuration, t.usual*(hotFactor-1))
		}
	}
	sort.SliceStable(s.arrivals, func(i, j int) bool { return s.arrivals[i].at < s.arrivals[j].at })
	return s
}

// addArrivals adds a Poisson process.
func (s *scenario) addArrivals(r *rand.Rand, tenant int, from, until time.Duration, perSecond float64) {
	for at := from; ; {
		at += time.Duration(r.ExpFloat64() / perSecond * float64(time.Second))
		if at >= until {
			return
		}
		s.arrivals = append(s.arrivals, arrival{at: at, tenant: tenant, node: s.homes[tenant][r.IntN(len(s.homes[tenant]))]})
	}
}

func (s *scenario) zoneOf(node int) int { return node % s.zones }

func (s *scenario) partitionOf(tenant int) int { return tenant % partitions }

func (s *scenario) firstLeaderZone(partition int) int { return partition % s.zones }

// leaderZone is the zone of a partition's leader, which moves out of the zone that is cut off.
func (s *scenario) leaderZone(now time.Duration, partition int) int {
	zone := s.firstLeaderZone(partition)
	if zone == s.cutZone && now >= leadersMovedAt {
		return (zone + 1) % s.zones
	}
	return zone
}

// canWrite reports whether a process in a zone reaches a majority of its group.
func (s *scenario) canWrite(now time.Duration, zone int) bool {
	return zone != s.cutZone || now < cutFrom || now >= cutUntil
}

// up reports whether a node runs.
func (s *scenario) up(now time.Duration, node int) bool {
	for _, lost := range s.lost {
		if node == lost && now >= nodesLostAt {
			return false
		}
	}
	return node != s.frozen || now < frozenFrom || now >= frozenUntil
}

// gone reports whether a node is lost for good.
func (s *scenario) gone(now time.Duration, node int) bool {
	return node != s.frozen && !s.up(now, node)
}

// holderUp reports whether the process in a zone runs that counts for a partition.
func (s *scenario) holderUp(now time.Duration, partition, zone int) bool {
	return partition != s.partitionOf(s.hot) || zone != s.firstLeaderZone(partition) || now < leaderLostAt || now >= leaderBackAt
}

func (s *scenario) connected(now time.Duration, a, b int) bool {
	return a == b || a != s.cutZone && b != s.cutZone || now < cutFrom || now >= cutUntil
}
