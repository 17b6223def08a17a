// Package rate enforces a tenant's rate limit over all nodes.
//
// A Ledger grants nodes leases on requests, so that nodes admit requests locally. Its main
// invariant is that no window ever contains more requests than the limit allows, despite
// crashes, new leaders, and lost, delayed or repeated messages. Requests that a node may have
// spent without a report count as spent at the latest possible time. Start reading at
// Ledger.Draw.
package rate

import "time"

// Limit is the maximum number of requests in any window of the given length.
type Limit struct {
	Window time.Duration `json:"window" msgpack:"w"`
	Max    int64         `json:"max" msgpack:"m"`
}

// DurableState is the part of a ledger in stable storage. Outstanding includes requests that may
// be granted before the next write. A restored ledger can't tell which of them were granted or
// spent, so it counts all of them as outstanding.
type DurableState struct {
	Version     uint64   `msgpack:"v"`
	Limit       Limit    `msgpack:"l"`
	Outstanding int64    `msgpack:"o"`
	Spent       []Bucket `msgpack:"s"`
}

// Lease is what one incarnation of a node has drawn. Its counts never decrease, so a repeated
// draw has no effect.
type Lease struct {
	Granted, Spent, Returned int64
	ExpiresAt                time.Duration
}

func (l Lease) outstanding() int64 { return l.Granted - l.Spent - l.Returned }

// Bucket is the number of requests spent in a short interval that ends at End.
type Bucket struct {
	//lint:ignore U1000 read by the encoder, which encodes a bucket as an array
	_msgpack struct{}      `msgpack:",as_array"`
	End      time.Duration `msgpack:"End"`
	Count    int64         `msgpack:"Count"`
}

// Ledger accounts for the requests of one tenant. Outstanding requests count as spent now, those
// of an expired lease as spent when it expired.
type Ledger struct {
	DurableState
	// Leases has the holders as keys. Buckets are ordered by End.
	Leases  map[string]Lease
	Buckets []Bucket
	// Exceeded means that the last grant exceeded the limit, which violates an invariant.
	Exceeded bool
	// reserved is the number of requests that may be granted before the next write.
	reserved int64
	// pool is the number of requests that may be outstanding under leases from before the
	// restore whose holders have not reported since. These leases expire by poolExpiresAt.
	pool          int64
	poolExpiresAt time.Duration
}

// Restore returns a ledger with the given durable state. Outstanding requests may have been
// granted just now, so they may be spent for one lease duration.
func Restore(now time.Duration, state DurableState, leaseDuration time.Duration) *Ledger {
	return &Ledger{
		DurableState:  state,
		Leases:        map[string]Lease{},
		Buckets:       append([]Bucket(nil), state.Spent...),
		pool:          state.Outstanding,
		poolExpiresAt: now + leaseDuration,
	}
}

// DrawRequest is a holder's report of its lease and its request for more.
type DrawRequest struct {
	Holder string `msgpack:"h"`
	// Granted, Spent and Returned are totals known to the holder; Returned were not used.
	Granted  int64 `msgpack:"g"`
	Spent    int64 `msgpack:"s"`
	Returned int64 `msgpack:"r"`
	// Recent lists the latest spent requests, oldest first.
	Recent []RecentSpend `msgpack:"e"`
	// Want is the wanted number of outstanding requests. Prefetch of them are for requests that
	// have not arrived yet.
	Want     int64 `msgpack:"w"`
	Prefetch int64 `msgpack:"b"`
	// Version is the version of the configuration that contains Limit.
	Version uint64 `msgpack:"v"`
	Limit   Limit  `msgpack:"l"`
	// LeaseDuration is how long the lease may be used after this request was sent.
	LeaseDuration time.Duration `msgpack:"t"`
}

// need returns the number of requests waiting at the holder.
func (d DrawRequest) need() int64 { return d.Want - d.Prefetch }

// RecentSpend is a number of spent requests and their minimum age.
type RecentSpend struct {
	Age   time.Duration `msgpack:"a"`
	Count int64         `msgpack:"c"`
}

// DrawResponse is the answer to a DrawRequest.
type DrawResponse struct {
	// Granted is the total ever granted to the holder.
	Granted int64 `msgpack:"g"`
	// RetryAfter is the delay after which more may be granted, or zero if the need is met.
	RetryAfter time.Duration `msgpack:"r"`
	// Expired means that the lease has expired and its outstanding requests count as spent. The
	// holder must continue under a new name.
	Expired bool `msgpack:"x"`
	// Scarce means that the holder should not prefetch, as others need the requests.
	Scarce bool `msgpack:"t"`
}

const (
	// blocksPerWindow divides a limit into blocks. One write covers the grants of a block.
	blocksPerWindow = 8
	// Prefetching may use prefetchFraction of the limit; the rest is kept for waiting requests.
	prefetchFraction = 0.6
	bucketsPerWindow = 20
)

// Draw processes a request at the ledger's time. If the durable state has changed, it must be
// written before the answer is sent. The lease ends earlier at the holder than here, as the
// holder counts from the sending of the request.
func (l *Ledger) Draw(now time.Duration, request DrawRequest) (answer DrawResponse, changed bool) {
	if l.Leases == nil {
		l.Leases = map[string]Lease{}
	}
	if request.Version > l.Version || l.Limit.Window == 0 {
		changed = l.Limit != request.Limit
		l.Version, l.Limit = request.Version, request.Limit
	}
	l.expire(now)
	lease, known := l.Leases[request.Holder]
	if !known && request.Granted > 0 {
		// The lease may be from before the restore. Its outstanding requests then move from the
		// pool to the lease, so that none is counted twice.
		outstanding := request.Granted - request.Spent - request.Returned
		if outstanding < 0 || outstanding > l.pool || now >= l.poolExpiresAt {
			return DrawResponse{Expired: true}, changed
		}
		l.pool -= outstanding
		lease = Lease{Granted: request.Granted, Spent: request.Spent, Returned: request.Returned}
	}
	if spent := min(request.Spent-lease.Spent, lease.outstanding()); spent > 0 {
		lease.Spent += spent
		l.recordSpent(now, request.Recent, spent)
	}
	if returned := min(request.Returned-lease.Returned, lease.outstanding()); returned > 0 {
		lease.Returned += returned
	}
	lease.ExpiresAt = now + request.LeaseDuration
	l.Leases[request.Holder] = lease
	if granted := l.grantable(request, lease); granted > 0 {
		lease.Granted += granted
		l.Leases[request.Holder] = lease
		l.Exceeded = l.used() > l.Limit.Max
		if l.reserved -= granted; l.reserved < 0 {
			l.reserved = max(l.Limit.Max/blocksPerWindow, 1)
			changed = true
		}
	}
	if changed {
		l.Outstanding, l.Spent = l.reserved, append([]Bucket(nil), l.Buckets...)
		if l.pool > 0 {
			l.Spent = append(l.Spent, Bucket{End: l.poolExpiresAt, Count: l.pool})
		}
		for _, lease := range l.Leases {
			l.Outstanding += lease.outstanding()
		}
	}
	answer.Granted, answer.Scarce = lease.Granted, l.used() >= l.prefetchLimit()
	if lease.outstanding() < request.need() {
		answer.RetryAfter = l.nextRelease(now)
	}
	return answer, changed
}

// grantable applies prefetchLimit to prefetching only.
func (l *Ledger) grantable(request DrawRequest, lease Lease) int64 {
	room := l.Limit.Max - l.used()
	needed := min(max(request.need()-lease.outstanding(), 0), max(room, 0))
	prefetched := min(request.Want-lease.outstanding()-needed, l.prefetchLimit()-l.used()-needed)
	return needed + max(prefetched, 0)
}

func (l *Ledger) prefetchLimit() int64 { return int64(prefetchFraction * float64(l.Limit.Max)) }

// recordSpent starts with the newest, as an earlier report may have contained the older ones.
func (l *Ledger) recordSpent(now time.Duration, recent []RecentSpend, count int64) {
	for i := len(recent) - 1; i >= 0 && count > 0; i-- {
		if n := min(count, recent[i].Count); n > 0 {
			l.addToBucket(now-max(0, recent[i].Age), n)
			count -= n
		}
	}
	if count > 0 {
		l.addToBucket(now, count)
	}
}

func (l *Ledger) addToBucket(at time.Duration, count int64) {
	width := max(1, l.Limit.Window/bucketsPerWindow)
	end := (at/width + 1) * width
	i := len(l.Buckets)
	for i > 0 && l.Buckets[i-1].End > end {
		i--
	}
	if i > 0 && l.Buckets[i-1].End == end {
		l.Buckets[i-1].Count += count
		return
	}
	l.Buckets = append(l.Buckets, Bucket{})
	copy(l.Buckets[i+1:], l.Buckets[i:])
	l.Buckets[i] = Bucket{End: end, Count: count}
}

// expire removes expired leases and the buckets that have left the window. Requests of an
// expired lease may have been spent until its end.
func (l *Ledger) expire(now time.Duration) {
	var expired []Bucket
	for holder, lease := range l.Leases {
		if now < lease.ExpiresAt {
			continue
		}
		if outstanding := lease.outstanding(); outstanding > 0 {
			expired = append(expired, Bucket{End: lease.ExpiresAt, Count: outstanding})
		}
		delete(l.Leases, holder)
	}
	var kept []Bucket
	for _, b := range append(expired, l.Buckets...) {
		if now < b.End+l.Limit.Window {
			kept = append(kept, b)
		}
	}
	// Insertion sort: only the buckets of expired leases can be out of order.
	for i := 1; i < len(kept); i++ {
		for j := i; j > 0 && kept[j].End < kept[j-1].End; j-- {
			kept[j], kept[j-1] = kept[j-1], kept[j]
		}
	}
	l.Buckets = kept
	if now >= l.poolExpiresAt+l.Limit.Window {
		l.pool = 0
	}
}

func (l *Ledger) used() int64 {
	sum := l.pool
	for _, b := range l.Buckets {
		sum += b.Count
	}
	for _, lease := range l.Leases {
		sum += lease.outstanding()
	}
	return sum
}

// nextRelease returns the delay until the oldest bucket leaves the window, at least a bucket's width.
func (l *Ledger) nextRelease(now time.Duration) time.Duration {
	if len(l.Buckets) == 0 {
		return l.Limit.Window / bucketsPerWindow
	}
	return max(l.Buckets[0].End+l.Limit.Window-now, l.Limit.Window/bucketsPerWindow)
}
