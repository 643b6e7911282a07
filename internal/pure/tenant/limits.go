// Package tenant classifies each request of a tenant by the tenant's limits: within the guaranteed rate
// (its floor), on capacity leased from idle tenants, above both, above a hard limit, or of a suspended
// tenant. It rejects nothing itself: the module that decides takes the status as an input. It has no clock,
// goroutine or I/O: each method takes the time in ms, which must not decrease. docs/design/tenants.md
// compares the alternatives.
package tenant

import (
	"errors"
	"fmt"
	"math"
)

// QuotaStatus classifies a request by its tenant's limits.
type QuotaStatus int

// The statuses, best first.
const (
	Guaranteed  QuotaStatus = iota // within the tenant's floor: served before all others
	Leased                         // above the floor, on capacity that others leave unused
	Exceeded                       // above the floor with no capacity to lease: the first to be shed
	HardLimited                    // above a hard limit: must not be accepted
	Suspended                      // of a suspended tenant: must not be accepted
)

// String returns the name of the status in metrics and logs.
func (s QuotaStatus) String() string {
	return [...]string{"within", "borrowed", "over", "beyond", "suspended"}[s]
}

// LimitKind names the limit that kept a request from a better status.
type LimitKind int

// The kinds of limits.
const (
	NoLimit LimitKind = iota
	RateLimit
	OpenLimit
	BytesLimit
	ClassRateLimit
	ClassOpenLimit
)

// String returns the name of the limit in error replies.
func (l LimitKind) String() string {
	return [...]string{"", "rate", "open requests", "bytes in hand", "rate of the class", "open requests of the class"}[l]
}

// Limits bound a tenant's use of the whole service; each router enforces its share of them. 0 = no such
// limit, except for Floor, where it means no guaranteed rate.
type Limits struct {
	Floor   float64 // guaranteed cost per second
	Weight  float64 // relative share of leased capacity among the lessees; 0 = 1
	Burst   float64 // bucket depth of the floor and the hard rates, in seconds; 0 = 1, 60 at most
	Most    float64 // hard limit on the cost per second
	Open    int     // requests in flight
	Bytes   int64   // bytes of requests and responses in memory
	Conns   int     // connections, enforced by the protocol front ends
	Classes []ClassLimits
}

// ClassLimits bound the requests of one class. Limits.Classes is indexed by class number.
type ClassLimits struct {
	Most float64 // hard limit on the cost per second
	Open int     // requests in flight
}

const (
	maxBurstSeconds = 60
	maxClasses      = 64
)

// Check returns an error that names the first invalid field, or nil.
func (l *Limits) Check() error {
	for _, f := range []struct {
		name  string
		value float64
	}{{"floor", l.Floor}, {"weight", l.Weight}, {"burst", l.Burst}, {"most", l.Most}, {"open", float64(l.Open)}, {"bytes", float64(l.Bytes)}, {"connections", float64(l.Conns)}} {
		if !(f.value >= 0) || math.IsInf(f.value, 0) {
			return fmt.Errorf("%s: %v: 0 or more is right", f.name, f.value)
		}
	}
	switch {
	case l.Burst > maxBurstSeconds:
		return fmt.Errorf("burst: %v: %d seconds at most", l.Burst, maxBurstSeconds)
	case len(l.Classes) > maxClasses:
		return fmt.Errorf("classes: %d: %d at most", len(l.Classes), maxClasses)
	case l.Most > 0 && l.Most < l.Floor:
		return fmt.Errorf("most: %v: not below the floor of %v", l.Most, l.Floor)
	}
	for i, c := range l.Classes {
		if !(c.Most >= 0) || math.IsInf(c.Most, 0) || c.Open < 0 {
			return fmt.Errorf("classes[%d]: %v, %d: 0 or more is right", i, c.Most, c.Open)
		}
	}
	return nil
}

// Handle identifies a tenant from its creation to its deletion. A tenant that is created later under the
// same name gets a different handle, so it is not affected by the earlier one.
type Handle struct{ index, generation uint32 }

// Assessment is the status of a request and the limit that kept it from a better one.
type Assessment struct {
	QuotaStatus
	Limit      LimitKind
	RetryAfter float64 // ms after which the status would improve if nothing else changes; 0 = unknown
}

// tokenBucket holds the level of a token bucket at the time updatedAt (ms).
type tokenBucket struct{ level, updatedAt float64 }

// refill adds the tokens accumulated until now, at rate per second; tokens above depth are discarded.
func (b *tokenBucket) refill(now, rate, depth float64) {
	b.level = min(depth, b.level+rate*(now-b.updatedAt)/1000)
	b.updatedAt = now
}

// tenantState is the state of one tenant.
type tenantState struct {
	limits         Limits
	generation     uint32
	exists         bool
	suspended      bool
	floorBucket    tokenBucket
	rateBucket     tokenBucket
	fullAt         float64 // when the floor bucket will be full if nothing more is taken from it
	heapPos        int32   // 1-based index in Limiter.refillHeap; 0 = the floor bucket is full
	virtualTime    float64 // virtual time up to which it has leased, see Limiter.virtualTime
	leaseAttemptAt float64 // time of its last attempt to lease
	lesseePos      int32   // 1-based index in Limiter.lessees; 0 = not a lessee
	open           int
	bytes          int64
	classes        []classState
}

// classState is the state of one class of a tenant's requests.
type classState struct {
	rateBucket tokenBucket
	open       int
}

// Limiter tracks what all tenants of a router use. Its memory is bounded by the number of tenants.
type Limiter struct {
	capacity        float64 // cost per second of the service; 0 = the sum of floors
	share           float64 // this router's share of the service, 0 to 1
	tenants         []tenantState
	freeIndexes     []uint32
	floorSum        float64     // sum of all floors
	idleFloorSum    float64     // sum of the floors whose buckets are full, which can be leased
	refillHeap      []uint32    // min-heap of tenants whose floor buckets are not full, by fullAt
	leasePool       tokenBucket // capacity that can be leased
	virtualTime     float64     // cost leased so far per unit of weight, as in fair queueing
	lessees         []uint32    // tenants with a recent attempt to lease
	lesseeWeightSum float64     // sum of the weights of lessees
	lesseesSweptAt  float64
}

const (
	leasePoolSeconds    = 0.1  // depth of the lease pool; a deeper one lets large bursts through at once
	maxLeaseLeadSeconds = 0.05 // how far a lessee may be ahead of its fair share
	lesseeTimeoutMS     = 250  // how long a lessee keeps its share after its last attempt to lease
	minBucketDepth      = 1    // minimum depth; below it an expensive request would never be Guaranteed
)

// NewLimiter returns a Limiter for a router that is the whole service; SetShare sets a smaller share.
// capacity is the cost per second that the service can handle; 0 = the sum of the floors.
func NewLimiter(capacity float64) *Limiter { return &Limiter{capacity: capacity, share: 1} }

// SetCapacity sets the cost per second that the service can handle; 0 = the sum of the floors.
func (b *Limiter) SetCapacity(now, capacity float64) {
	b.advance(now)
	b.capacity = capacity
}

// SetShare sets this router's share of the service, 0 to 1, from now on.
func (b *Limiter) SetShare(now, share float64) {
	b.advance(now)
	for _, i := range b.refillHeap {
		b.refillBuckets(now, &b.tenants[i])
	}
	b.share = min(1, max(0, share))
	for n, i := range b.refillHeap {
		r := &b.tenants[i]
		r.fullAt = b.floorFullAt(now, r)
		b.siftUp(n)
	}
}

// ErrDeleted is returned for a handle whose tenant has been deleted.
var ErrDeleted = errors.New("the tenant has been deleted")

// Create adds a tenant with full buckets. It fails if the limits are invalid.
func (b *Limiter) Create(now float64, l Limits) (Handle, error) {
	if err := l.Check(); err != nil {
		return Handle{}, err
	}
	b.advance(now)
	var i uint32
	if n := len(b.freeIndexes); n > 0 {
		i, b.freeIndexes = b.freeIndexes[n-1], b.freeIndexes[:n-1]
	} else {
		i = uint32(len(b.tenants))
		b.tenants = append(b.tenants, tenantState{})
	}
	r := &b.tenants[i]
	*r = tenantState{generation: r.generation + 1, exists: true, virtualTime: b.virtualTime}
	b.applyLimits(now, r, l)
	r.floorBucket = tokenBucket{b.bucketDepth(l.Floor, r.limits.Burst), now}
	r.rateBucket = tokenBucket{b.bucketDepth(l.Most, r.limits.Burst), now}
	b.idleFloorSum += l.Floor
	return Handle{i, r.generation}, nil
}

// applyLimits stores a tenant's limits and adds its floor to the sum. The caller has subtracted the floor
// of the previous limits. Classes keep their counts of requests in flight when their limits are removed, so
// r.classes never shrinks.
func (b *Limiter) applyLimits(now float64, r *tenantState, l Limits) {
	if l.Weight == 0 {
		l.Weight = 1
	}
	if l.Burst == 0 {
		l.Burst = 1
	}
	r.limits = l
	for i := len(r.classes); i < len(l.Classes); i++ { // counts stay when limits go
		r.classes = append(r.classes, classState{rateBucket: tokenBucket{b.bucketDepth(l.Classes[i].Most, l.Burst), now}})
	}
	b.floorSum += l.Floor
}

// SetLimits changes a tenant's limits. Requests in flight continue even if they exceed the new limits.
func (b *Limiter) SetLimits(now float64, h Handle, l Limits) error {
	r := b.lookup(h)
	if r == nil {
		return ErrDeleted
	}
	if err := l.Check(); err != nil {
		return err
	}
	b.advance(now)
	b.refillBuckets(now, r)
	full := r.heapPos == 0
	b.floorSum -= r.limits.Floor
	if full {
		b.idleFloorSum -= r.limits.Floor
	} else {
		b.removeFromRefillHeap(r)
	}
	if r.lesseePos > 0 {
		b.removeLessee(r)
	}
	b.applyLimits(now, r, l)
	r.floorBucket.level = min(r.floorBucket.level, b.bucketDepth(l.Floor, r.limits.Burst))
	b.idleFloorSum += l.Floor
	b.updateRefillHeap(now, h.index, r)
	return nil
}

// SetSuspended suspends a tenant, so that all its new requests have status Suspended, or resumes it.
func (b *Limiter) SetSuspended(h Handle, suspended bool) error {
	r := b.lookup(h)
	if r == nil {
		return ErrDeleted
	}
	r.suspended = suspended
	return nil
}

// Delete removes a tenant. Its requests in flight are no longer counted: Release does nothing for them.
func (b *Limiter) Delete(now float64, h Handle) error {
	r := b.lookup(h)
	if r == nil {
		return ErrDeleted
	}
	b.advance(now)
	b.floorSum -= r.limits.Floor
	if r.heapPos > 0 {
		b.removeFromRefillHeap(r)
	} else {
		b.idleFloorSum -= r.limits.Floor
	}
	if r.lesseePos > 0 {
		b.removeLessee(r)
	}
	*r = tenantState{generation: r.generation}
	b.freeIndexes = append(b.freeIndexes, h.index)
	return nil
}

// lookup returns the tenant of a handle, or nil if it has been deleted.
func (b *Limiter) lookup(h Handle) *tenantState {
	if int(h.index) >= len(b.tenants) {
		return nil
	}
	if r := &b.tenants[h.index]; r.exists && r.generation == h.generation {
		return r
	}
	return nil
}

// bucketDepth returns the depth of a bucket with this rate per second and burst in seconds.
func (b *Limiter) bucketDepth(rate, burst float64) float64 {
	return max(minBucketDepth, rate*b.share*burst)
}

// leasableRate returns the cost per second that can be leased at this router.
func (b *Limiter) leasableRate() float64 {
	return max(0, b.idleFloorSum+max(0, b.capacity-b.floorSum)) * b.share
}

// advance brings the lease pool up to now. The floor of an idle tenant flows into the pool from the moment
// at which the tenant's floor bucket is full.
func (b *Limiter) advance(now float64) {
	for len(b.refillHeap) > 0 && b.tenants[b.refillHeap[0]].fullAt <= now {
		r := &b.tenants[b.refillHeap[0]]
		b.refillLeasePool(max(b.leasePool.updatedAt, r.fullAt))
		b.removeFromRefillHeap(r)
		b.idleFloorSum += r.limits.Floor
		r.floorBucket.refill(now, r.limits.Floor*b.share, b.bucketDepth(r.limits.Floor, r.limits.Burst))
	}
	b.refillLeasePool(now)
	if now-b.lesseesSweptAt >= lesseeTimeoutMS {
		b.lesseesSweptAt = now
		for i := len(b.lessees) - 1; i >= 0; i-- {
			if r := &b.tenants[b.lessees[i]]; now-r.leaseAttemptAt >= lesseeTimeoutMS {
				b.removeLessee(r)
			}
		}
	}
}

// refillLeasePool fills the lease pool up to the given time and advances the virtual time.
func (b *Limiter) refillLeasePool(until float64) {
	if until <= b.leasePool.updatedAt {
		return
	}
	rate := b.leasableRate()
	if b.lesseeWeightSum > 0 {
		b.virtualTime += rate * (until - b.leasePool.updatedAt) / 1000 / b.lesseeWeightSum
	}
	b.leasePool.refill(until, rate, max(minBucketDepth, rate*leasePoolSeconds))
}

// refillBuckets fills a tenant's own buckets up to now.
func (b *Limiter) refillBuckets(now float64, r *tenantState) {
	l := &r.limits
	r.floorBucket.refill(now, l.Floor*b.share, b.bucketDepth(l.Floor, l.Burst))
	if l.Most > 0 {
		r.rateBucket.refill(now, l.Most*b.share, b.bucketDepth(l.Most, l.Burst))
	}
}

// Acquire returns the status of a request and counts the request, unless the status is HardLimited or
// Suspended; the caller must call Release for each counted request. class is the number of the request's
// class, cost (above 0) what it uses of rate limits, and bytes what it holds in memory.
func (b *Limiter) Acquire(now float64, h Handle, class int, cost float64, bytes int64) (Assessment, error) {
	r := b.lookup(h)
	if r == nil {
		return Assessment{QuotaStatus: Suspended}, ErrDeleted
	}
	if r.suspended {
		return Assessment{QuotaStatus: Suspended}, nil
	}
	b.advance(now)
	b.refillBuckets(now, r)
	v := b.checkHardLimits(now, r, class, cost, bytes)
	if v.QuotaStatus == HardLimited {
		return v, nil
	}
	b.recordRequest(r, class, cost, bytes)
	if r.floorBucket.level >= cost {
		r.floorBucket.level -= cost
		b.updateRefillHeap(now, h.index, r)
		return Assessment{QuotaStatus: Guaranteed}, nil
	}
	if b.tryLease(now, h.index, r, cost) {
		return Assessment{QuotaStatus: Leased, Limit: RateLimit}, nil
	}
	return Assessment{Exceeded, RateLimit, refillDelay(cost-r.floorBucket.level, r.limits.Floor*b.share)}, nil
}

// refillDelay returns the time in ms that a bucket takes to accumulate missing tokens; 0 = never.
func refillDelay(missing, rate float64) float64 {
	if rate <= 0 {
		return 0
	}
	return max(1, missing/rate*1000)
}

// shareOf returns this router's share of a service-wide count, at least 1.
func (b *Limiter) shareOf(n float64) float64 { return max(1, n*b.share) }

// checkHardLimits returns status HardLimited with the limit that the request would exceed, or the zero
// Assessment.
func (b *Limiter) checkHardLimits(now float64, r *tenantState, class int, cost float64, bytes int64) Assessment {
	l := &r.limits
	switch {
	case l.Open > 0 && float64(r.open+1) > b.shareOf(float64(l.Open)):
		return Assessment{HardLimited, OpenLimit, 0}
	case l.Bytes > 0 && float64(r.bytes+bytes) > b.shareOf(float64(l.Bytes)):
		return Assessment{HardLimited, BytesLimit, 0}
	case l.Most > 0 && r.rateBucket.level < min(cost, b.bucketDepth(l.Most, l.Burst)):
		return Assessment{HardLimited, RateLimit, refillDelay(cost-r.rateBucket.level, l.Most*b.share)}
	}
	if class < 0 || class >= len(l.Classes) {
		return Assessment{}
	}
	c, cl := &r.classes[class], &l.Classes[class]
	if cl.Open > 0 && float64(c.open+1) > b.shareOf(float64(cl.Open)) {
		return Assessment{HardLimited, ClassOpenLimit, 0}
	}
	if cl.Most > 0 {
		depth := b.bucketDepth(cl.Most, l.Burst)
		if c.rateBucket.refill(now, cl.Most*b.share, depth); c.rateBucket.level < min(cost, depth) {
			return Assessment{HardLimited, ClassRateLimit, refillDelay(cost-c.rateBucket.level, cl.Most*b.share)}
		}
	}
	return Assessment{}
}

// recordRequest counts an accepted request and debits the hard rate limits.
func (b *Limiter) recordRequest(r *tenantState, class int, cost float64, bytes int64) {
	r.open++
	r.bytes += bytes
	if r.limits.Most > 0 {
		r.rateBucket.level -= cost
	}
	if class >= 0 && class < len(r.classes) {
		c := &r.classes[class]
		c.open++
		if class < len(r.limits.Classes) && r.limits.Classes[class].Most > 0 {
			c.rateBucket.level -= cost
		}
	}
}

// AddBytes adds bytes that a request holds, such as those of its response; a negative number subtracts.
// Reports whether the tenant is within its byte limit; the bytes are counted in either case.
func (b *Limiter) AddBytes(h Handle, bytes int64) bool {
	r := b.lookup(h)
	if r == nil {
		return true
	}
	r.bytes += bytes
	return r.limits.Bytes == 0 || float64(r.bytes) <= b.shareOf(float64(r.limits.Bytes))
}

// Charge debits what an accepted request turns out to cost beyond the cost passed to Acquire, such as a
// fetch after a miss: from the floor if its status is Guaranteed, or from the lease pool if it is Leased. A
// floor bucket can go negative by its own depth and must recover before another request is Guaranteed.
// Requests with status Exceeded use no reserved capacity, so nothing is debited for them.
func (b *Limiter) Charge(now float64, h Handle, s QuotaStatus, cost float64) {
	r := b.lookup(h)
	if r == nil || !(cost > 0) {
		return
	}
	b.advance(now)
	b.refillBuckets(now, r)
	switch s {
	case Guaranteed:
		r.floorBucket.level = max(r.floorBucket.level-cost, -b.bucketDepth(r.limits.Floor, r.limits.Burst))
		b.updateRefillHeap(now, h.index, r)
	case Leased:
		b.leasePool.level -= min(cost, max(0, b.leasePool.level))
		r.virtualTime += cost / r.limits.Weight
	}
}

// Release ends a request counted by Acquire; bytes are all the bytes that it holds.
func (b *Limiter) Release(h Handle, class int, bytes int64) {
	r := b.lookup(h)
	if r == nil {
		return
	}
	r.open--
	r.bytes -= bytes
	if class >= 0 && class < len(r.classes) {
		r.classes[class].open--
	}
}

// tryLease takes cost from the lease pool if the pool has enough and the tenant has not exceeded its fair
// share among the lessees. A full pool means that the other lessees leave capacity unused: then the fair
// share does not apply.
func (b *Limiter) tryLease(now float64, i uint32, r *tenantState, cost float64) bool {
	weight := r.limits.Weight
	if r.leaseAttemptAt = now; r.lesseePos == 0 {
		b.lessees = append(b.lessees, i)
		r.lesseePos = int32(len(b.lessees))
		b.lesseeWeightSum += weight
	}
	rate := b.leasableRate()
	r.virtualTime = max(r.virtualTime, b.virtualTime)
	if b.leasePool.level < cost {
		return false
	}
	withinFairShare := r.virtualTime <= b.virtualTime+max(maxLeaseLeadSeconds*rate/b.lesseeWeightSum, cost/weight)
	if !withinFairShare && b.leasePool.level < max(minBucketDepth, rate*leasePoolSeconds)-1e-9 {
		return false
	}
	b.leasePool.level -= cost
	r.virtualTime += cost / weight
	return true
}

// removeLessee removes a tenant from the lessees.
func (b *Limiter) removeLessee(r *tenantState) {
	last := len(b.lessees) - 1
	moved := b.lessees[last]
	b.lessees[r.lesseePos-1] = moved
	b.tenants[moved].lesseePos = r.lesseePos
	b.lessees = b.lessees[:last]
	r.lesseePos = 0
	if b.lesseeWeightSum -= r.limits.Weight; last == 0 {
		b.lesseeWeightSum = 0 // discards the rounding error
	}
}

// updateRefillHeap updates the heap after a debit from a tenant's floor bucket. While that bucket refills,
// the tenant's floor cannot be leased to others.
func (b *Limiter) updateRefillHeap(now float64, i uint32, r *tenantState) {
	if r.limits.Floor <= 0 || r.floorBucket.level >= b.bucketDepth(r.limits.Floor, r.limits.Burst) {
		return
	}
	r.fullAt = b.floorFullAt(now, r)
	if r.heapPos == 0 {
		b.idleFloorSum -= r.limits.Floor
		b.refillHeap = append(b.refillHeap, i)
		r.heapPos = int32(len(b.refillHeap))
		b.siftUp(len(b.refillHeap) - 1)
		return
	}
	b.siftDown(int(r.heapPos) - 1) // a debit only delays fullAt
}

// floorFullAt returns the time in ms at which a floor bucket will be full if nothing more is taken from it.
func (b *Limiter) floorFullAt(now float64, r *tenantState) float64 {
	rate := r.limits.Floor * b.share
	if rate <= 0 {
		return math.Inf(1)
	}
	return now + max(0, b.bucketDepth(r.limits.Floor, r.limits.Burst)-r.floorBucket.level)/rate*1000
}

// removeFromRefillHeap removes a tenant from the heap of those whose floor buckets are not full.
func (b *Limiter) removeFromRefillHeap(r *tenantState) {
	at, last := int(r.heapPos)-1, len(b.refillHeap)-1
	b.swapHeapEntries(at, last)
	b.refillHeap = b.refillHeap[:last]
	r.heapPos = 0
	if at < last {
		b.siftDown(at)
		b.siftUp(at)
	}
}

func (b *Limiter) swapHeapEntries(i, j int) {
	f := b.refillHeap
	f[i], f[j] = f[j], f[i]
	b.tenants[f[i]].heapPos, b.tenants[f[j]].heapPos = int32(i+1), int32(j+1)
}

// fullsBefore reports whether the bucket at heap index i will be full before that at index j.
func (b *Limiter) fullsBefore(i, j int) bool {
	return b.tenants[b.refillHeap[i]].fullAt < b.tenants[b.refillHeap[j]].fullAt
}

func (b *Limiter) siftUp(i int) {
	for i > 0 && b.fullsBefore(i, (i-1)/2) {
		b.swapHeapEntries(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

func (b *Limiter) siftDown(i int) {
	for {
		c := 2*i + 1
		if c >= len(b.refillHeap) {
			return
		}
		if c+1 < len(b.refillHeap) && b.fullsBefore(c+1, c) {
			c++
		}
		if !b.fullsBefore(c, i) {
			return
		}
		b.swapHeapEntries(i, c)
		i = c
	}
}

// InFlight is what a tenant's requests in flight use.
type InFlight struct {
	Open  int
	Bytes int64
}

// InFlight returns the number of requests of a tenant that are in flight and the bytes that they hold.
func (b *Limiter) InFlight(h Handle) (InFlight, error) {
	r := b.lookup(h)
	if r == nil {
		return InFlight{}, ErrDeleted
	}
	return InFlight{r.open, r.bytes}, nil
}
