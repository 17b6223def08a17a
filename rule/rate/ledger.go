// Package rate enforces a tenant's rate limit over all nodes.
//
// A Ledger grants nodes leases on requests ahead of their use, so that nodes admit requests
// locally. Its main invariant is that no window ever contains more requests than the limit
// allows, although nodes crash, messages are lost, delayed and repeated, and the ledger is
// restored from its DurableState by a new leader. Requests that a node may have spent without
// reporting them therefore count as spent at the latest possible time. Start reading at
// Ledger.Draw.
package rate

import "time"

// Limit is the maximum number of requests in any window of the given length.
type Limit struct {
	Window time.Duration `msgpack:"w"`
	Max    int64         `msgpack:"m"`
}

// DurableState is the part of a ledger that is written to stable storage. Outstanding
// includes the requests that may be granted before the next write. A restored ledger cannot
// tell which of them were granted or spent, so it counts all of them as outstanding.
type DurableState struct {
	Version     uint64   `msgpack:"v"`
	Limit       Limit    `msgpack:"l"`
	Outstanding int64    `msgpack:"o"`
	Spent       []Bucket `msgpack:"s"`
}

// Lease is what one incarnation of a node has drawn. Its counts never decrease, so
// processing a draw twice has no effect.
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

// Ledger accounts for the requests of one tenant. Outstanding requests count as spent now.
// Those of an expired lease count as spent when it expired.
type Ledger struct {
	DurableState
	// Leases are the leases by holder, Buckets the requests spent, ordered by End.
	Leases  map[string]Lease
	Buckets []Bucket
	// Exceeded reports that the last grant exceeded the limit, which is a violated
	// invariant.
	Exceeded bool
	// reserved is the number of requests that may be granted before the next write.
	reserved int64
	// pool is the number of requests that may be outstanding under leases from before the
	// ledger was restored, less those whose holders have reported since. All of these
	// leases have expired at poolExpiresAt.
	pool          int64
	poolExpiresAt time.Duration
}

// Restore returns a ledger with the given durable state. Outstanding requests may have been
// granted up to now, and so may be spent for one lease duration.
func Restore(now time.Duration, s DurableState, leaseDuration time.Duration) *Ledger {
	return &Ledger{DurableState: s, Leases: map[string]Lease{}, Buckets: append([]Bucket(nil), s.Spent...), pool: s.Outstanding, poolExpiresAt: now + leaseDuration}
}

// DrawRequest is a holder's report of its lease and its request for more.
type DrawRequest struct {
	Holder string `msgpack:"h"`
	// Granted is the total that the holder knows to have been granted, Spent the total
	// that it has spent, and Returned the total that it has returned unused.
	Granted  int64 `msgpack:"g"`
	Spent    int64 `msgpack:"s"`
	Returned int64 `msgpack:"r"`
	// Recent are the ages of the most recently spent requests, oldest first.
	Recent []RecentSpend `msgpack:"e"`
	// Want is the number of requests that the holder wants to have outstanding. Prefetch
	// of them are for requests that have not arrived yet.
	Want     int64 `msgpack:"w"`
	Prefetch int64 `msgpack:"b"`
	// Version is the version of the configuration that contains Limit.
	Version uint64 `msgpack:"v"`
	Limit   Limit  `msgpack:"l"`
	// LeaseDuration is how long the lease may be used after this request was sent.
	LeaseDuration time.Duration `msgpack:"t"`
}

// need returns the number of requests that are waiting at the holder.
func (d DrawRequest) need() int64 { return d.Want - d.Prefetch }

// RecentSpend is a number of spent requests and their minimum age.
type RecentSpend struct {
	Age   time.Duration `msgpack:"a"`
	Count int64         `msgpack:"c"`
}

// DrawResponse is the answer to a DrawRequest.
type DrawResponse struct {
	// Granted is the total that was ever granted to the holder.
	Granted int64 `msgpack:"g"`
	// RetryAfter is the delay after which more may be granted. It is zero if the holder's
	// need is met.
	RetryAfter time.Duration `msgpack:"r"`
	// Expired means that the holder's lease has expired and its outstanding requests count
	// as spent. The holder must continue under a new name.
	Expired bool `msgpack:"x"`
	// Scarce means that the holder should not prefetch, as others need the requests.
	Scarce bool `msgpack:"t"`
}

const (
	// blocksPerWindow is the number of blocks in which a window's limit is reserved in the
	// durable state. One write covers the grants of a block.
	blocksPerWindow = 8
	// prefetchFraction is the fraction of the limit up to which holders are granted more
	// than they need. Beyond it, prefetched requests would be refused to other holders.
	prefetchFraction = 0.6
	// bucketsPerWindow is the number of buckets that a window is divided into.
	bucketsPerWindow = 20
)

// Draw processes a request at the ledger's time. It reports whether the durable state has
// changed; the answer must then not be sent before the state is written. The lease ends
// earlier at the holder than here, as the holder counts from sending the request.
func (l *Ledger) Draw(now time.Duration, d DrawRequest) (answer DrawResponse, changed bool) {
	if l.Leases == nil {
		l.Leases = map[string]Lease{}
	}
	if d.Version > l.Version || l.Limit.Window == 0 {
		changed = l.Limit != d.Limit
		l.Version, l.Limit = d.Version, d.Limit
	}
	l.expire(now)
	lease, known := l.Leases[d.Holder]
	if !known && d.Granted > 0 {
		// The lease may be from before the ledger was restored. Its outstanding requests
		// move from the pool to the lease, which leaves the sum unchanged.
		outstanding := d.Granted - d.Spent - d.Returned
		if outstanding < 0 || outstanding > l.pool || now >= l.poolExpiresAt {
			return DrawResponse{Expired: true}, changed
		}
		l.pool -= outstanding
		lease = Lease{Granted: d.Granted, Spent: d.Spent, Returned: d.Returned}
	}
	if spent := min(d.Spent-lease.Spent, lease.outstanding()); spent > 0 {
		lease.Spent += spent
		l.recordSpent(now, d.Recent, spent)
	}
	if returned := min(d.Returned-lease.Returned, lease.outstanding()); returned > 0 {
		lease.Returned += returned
	}
	lease.ExpiresAt = now + d.LeaseDuration
	l.Leases[d.Holder] = lease
	if granted := l.grantable(d, lease); granted > 0 {
		lease.Granted += granted
		l.Leases[d.Holder] = lease
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
	if lease.outstanding() < d.need() {
		answer.RetryAfter = l.nextRelease(now)
	}
	return answer, changed
}

// grantable returns the number of requests to grant: what the holder needs while the window
// has room, and what it wants to prefetch while less than prefetchLimit is used.
func (l *Ledger) grantable(d DrawRequest, lease Lease) int64 {
	room := l.Limit.Max - l.used()
	needed := min(max(d.need()-lease.outstanding(), 0), max(room, 0))
	prefetched := min(d.Want-lease.outstanding()-needed, l.prefetchLimit()-l.used()-needed)
	return needed + max(prefetched, 0)
}

// prefetchLimit returns the number of used requests up to which prefetching is granted.
func (l *Ledger) prefetchLimit() int64 { return int64(prefetchFraction * float64(l.Limit.Max)) }

// recordSpent adds count requests at the ages given by recent. It starts with the newest, as
// an earlier report may have contained the older ones.
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

// addToBucket adds count requests to the bucket that contains the given time.
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

// expire removes expired leases and the buckets that have left the window. What was
// outstanding under an expired lease may have been spent until the lease expired.
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

// used returns the number of requests that count towards the limit: spent within the
// window, outstanding, or in the pool.
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

// nextRelease returns the delay until the oldest bucket leaves the window, but at least the
// width of a bucket.
func (l *Ledger) nextRelease(now time.Duration) time.Duration {
	if len(l.Buckets) == 0 {
		return l.Limit.Window / bucketsPerWindow
	}
	return max(l.Buckets[0].End+l.Limit.Window-now, l.Limit.Window/bucketsPerWindow)
}
