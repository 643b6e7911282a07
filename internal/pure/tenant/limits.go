// Package tenant says where a tenant's request stands with its limits: within its floor, borrowed from what others leave, over,
// beyond a hard limit, or suspended. It refuses nothing; the module that decides gets the standing as a fact. It has no clock,
// goroutine or input: each method gets the time, in ms, which must not go back. docs/design/tenants.md compares the ways.
package tenant

import (
	"errors"
	"fmt"
	"math"
)

// QuotaStatus is where a request stands.
type QuotaStatus int

// The standings, the best first.
const (
	Guaranteed  QuotaStatus = iota // its tenant's floor has room: it is served before all others
	Leased                         // the tenant is over its floor, and others leave that much
	Exceeded                       // nobody leaves it any more: the first to be refused
	HardLimited                    // a hard limit is reached: it is not to be taken at all
	Suspended                      // nor is this
)

// String is the standing as figures and logs name it.
func (s QuotaStatus) String() string {
	return [...]string{"within", "borrowed", "over", "beyond", "suspended"}[s]
}

// LimitKind is what kept a request from standing better.
type LimitKind int

// The limits.
const (
	NoLimit LimitKind = iota
	RateLimit
	OpenLimit
	BytesLimit
	ClassRateLimit
	ClassOpenLimit
)

// String is the limit as refusals name it.
func (l LimitKind) String() string {
	return [...]string{"", "rate", "open requests", "bytes in hand", "rate of the class", "open requests of the class"}[l]
}

// Limits are what a tenant may use of the whole service; a router holds it to its part. 0 = no such limit, but for the floor.
type Limits struct {
	Floor   float64 // cost a second that it always gets while it asks
	Weight  float64 // its part of what others leave, beside other borrowers; 0 = 1
	Burst   float64 // seconds of floor and of hard rates that may be saved up; 0 = 1, 60 at most
	Most    float64 // cost a second
	Open    int     // requests at once
	Bytes   int64   // bytes of requests and answers in hand
	Conns   int     // connections; the fronts count them
	Classes []ClassLimits
}

// ClassLimits are those of requests of one class, by its number.
type ClassLimits struct {
	Most float64 // cost a second
	Open int     // requests at once
}

const (
	maxBurstSeconds = 60 // seconds that are saved up
	maxClasses      = 64
)

// Check says what is wrong with limits, by the name of the field.
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

// Handle names a tenant from its creation to its end. A tenant of the same name that is created later has another: nothing of
// the old one reaches it.
type Handle struct{ index, generation uint32 }

// Assessment is where a request stands, and why it does not stand better.
type Assessment struct {
	QuotaStatus
	Limit      LimitKind
	RetryAfter float64 // ms after which it would stand better, if all else stays; 0 = not known
}

// tokenBucket is a token bucket: what has been saved up at a time.
type tokenBucket struct{ level, updatedAt float64 }

// refill brings the level up to now; what is over the depth is lost.
func (b *tokenBucket) refill(now, rate, depth float64) {
	b.level = min(depth, b.level+rate*(now-b.updatedAt)/1000)
	b.updatedAt = now
}

// lookup is a tenant's.
type tenantState struct {
	limits         Limits
	generation     uint32
	exists         bool
	suspended      bool
	floorBucket    tokenBucket
	rateBucket     tokenBucket
	fullAt         float64 // when the floor's bucket will be full, if nothing is taken from it
	heapPos        int32   // place among those whose bucket is not full, from 1 on; 0 = it is full
	virtualTime    float64 // virtual time up to which it has borrowed, see Book.virtual
	leaseAttemptAt float64 // when it last wanted to borrow
	lesseePos      int32   // place among those that want to borrow, from 1 on; 0 = it does not
	open           int
	bytes          int64
	classes        []classState
}

type classState struct {
	rateBucket tokenBucket
	open       int
}

// Limiter keeps what all tenants of a router use. What it holds is bounded by the tenants.
type Limiter struct {
	capacity        float64 // cost a second of the service; 0 = the sum of floors
	share           float64 // this router's part of the service, 0 to 1
	tenants         []tenantState
	freeIndexes     []uint32
	floorSum        float64     // sum of all,
	idleFloorSum    float64     // and of those whose buckets are full: what they leave
	refillHeap      []uint32    // the others, the first to be full on top
	leasePool       tokenBucket // what may be borrowed
	virtualTime     float64     // of the pool: cost handed out for each unit of weight
	lessees         []uint32    // who wants to borrow
	lesseeWeightSum float64     // sum of theirs
	lesseesSweptAt  float64
}

const (
	leasePoolSeconds    = 0.1  // seconds of what is left that may be saved up: more would let a herd through at once
	maxLeaseLeadSeconds = 0.05 // seconds of its part that a borrower may be ahead of the others
	lesseeTimeoutMS     = 250  // ms for which who wanted to borrow has its part kept
	minBucketDepth      = 1    // cost that every bucket can hold, or a dear request would never be within
)

// NewLimiter is one for a router that is the whole service; Portion tells otherwise. capacity is the cost a second that the service
// can do; 0 = the sum of the floors.
func NewLimiter(capacity float64) *Limiter { return &Limiter{capacity: capacity, share: 1} }

// SetCapacity sets the cost a second that the service can do; 0 = the sum of the floors.
func (b *Limiter) SetCapacity(now, capacity float64) {
	b.advance(now)
	b.capacity = capacity
}

// SetShare sets this router's part of the service from now on.
func (b *Limiter) SetShare(now, portion float64) {
	b.advance(now)
	for _, i := range b.refillHeap {
		b.refillBuckets(now, &b.tenants[i])
	}
	b.share = min(1, max(0, portion))
	for n, i := range b.refillHeap {
		r := &b.tenants[i]
		r.fullAt = b.floorFullAt(now, r)
		b.siftUp(n)
	}
}

// ErrDeleted tells of a handle whose tenant is no more.
var ErrDeleted = errors.New("the tenant is no more")

// Create makes a tenant.
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

// applyLimits books limits, of which nothing is booked.
func (b *Limiter) applyLimits(now float64, r *tenantState, l Limits) {
	if l.Weight == 0 {
		l.Weight = 1
	}
	if l.Burst == 0 {
		l.Burst = 1
	}
	r.limits = l
	for i := len(r.classes); i < len(l.Classes); i++ { // what is in hand of a class is counted on when its limits go
		r.classes = append(r.classes, classState{rateBucket: tokenBucket{b.bucketDepth(l.Classes[i].Most, l.Burst), now}})
	}
	b.floorSum += l.Floor
}

// SetLimits changes a tenant's limits. What is in hand stays, though it may be over them.
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

// SetSuspended has all requests of a tenant stand as suspended from now on, or no longer.
func (b *Limiter) SetSuspended(h Handle, on bool) error {
	r := b.lookup(h)
	if r == nil {
		return ErrDeleted
	}
	r.suspended = on
	return nil
}

// Delete ends a tenant. What it has in hand is nobody's from now on: Done for it does nothing.
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

// lookup is a handle's, nil where its tenant is no more.
func (b *Limiter) lookup(h Handle) *tenantState {
	if int(h.index) >= len(b.tenants) {
		return nil
	}
	if r := &b.tenants[h.index]; r.exists && r.generation == h.generation {
		return r
	}
	return nil
}

// bucketDepth is how much a bucket holds.
func (b *Limiter) bucketDepth(rate, burst float64) float64 {
	return max(minBucketDepth, rate*b.share*burst)
}

// leasableRate is the cost a second that may be borrowed at this router.
func (b *Limiter) leasableRate() float64 {
	return max(0, b.idleFloorSum+max(0, b.capacity-b.floorSum)) * b.share
}

// advance brings the pool up to now: floors that nobody uses flow into it, from the moment at which their buckets are full.
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

// refillLeasePool lets what is left flow into the pool until a time.
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

// refillBuckets brings a tenant's own buckets up to now.
func (b *Limiter) refillBuckets(now float64, r *tenantState) {
	l := &r.limits
	r.floorBucket.refill(now, l.Floor*b.share, b.bucketDepth(l.Floor, l.Burst))
	if l.Most > 0 {
		r.rateBucket.refill(now, l.Most*b.share, b.bucketDepth(l.Most, l.Burst))
	}
}

// Acquire says where a request stands, and books it unless that is Beyond or Suspended: Done must be told of it then. class is its
// number, cost what it uses of rates, above 0, and bytes what it has in hand.
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

// refillDelay is how long a bucket takes to get so much, in ms; 0 = for ever.
func refillDelay(missing, rate float64) float64 {
	if rate <= 0 {
		return 0
	}
	return max(1, missing/rate*1000)
}

// shareOf is this router's part of a count, 1 at least.
func (b *Limiter) shareOf(n float64) float64 { return max(1, n*b.share) }

// checkHardLimits says whether a hard limit is reached.
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

// recordRequest books a request that is taken.
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

// AddBytes books more bytes that a request has in hand, such as of its answer, or with less than 0 fewer. It says whether they are
// within the limit; they are booked either way.
func (b *Limiter) AddBytes(h Handle, bytes int64) bool {
	r := b.lookup(h)
	if r == nil {
		return true
	}
	r.bytes += bytes
	return r.limits.Bytes == 0 || float64(r.bytes) <= b.shareOf(float64(r.limits.Bytes))
}

// Charge books what a request that was taken turns out to cost beyond what it was booked as, such as a fetch of what it did not find: to the
// floor, where it stands within that, or to what it has borrowed. So a floor may be in debt, by as much as it holds, and is repaid before
// anything stands within it again. What stands over has nobody's to spend.
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

// Release ends a request that Arrive has booked, with all its bytes.
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

// tryLease takes from what others leave, if there is enough and the tenant has had no more than its part beside others. What nobody
// else wants is anybody's: then the pool is full.
func (b *Limiter) tryLease(now float64, i uint32, r *tenantState, cost float64) bool {
	w := r.limits.Weight
	if r.leaseAttemptAt = now; r.lesseePos == 0 {
		b.lessees = append(b.lessees, i)
		r.lesseePos = int32(len(b.lessees))
		b.lesseeWeightSum += w
	}
	rate := b.leasableRate()
	r.virtualTime = max(r.virtualTime, b.virtualTime)
	if b.leasePool.level < cost {
		return false
	}
	inTurn := r.virtualTime <= b.virtualTime+max(maxLeaseLeadSeconds*rate/b.lesseeWeightSum, cost/w)
	if !inTurn && b.leasePool.level < max(minBucketDepth, rate*leasePoolSeconds)-1e-9 {
		return false
	}
	b.leasePool.level -= cost
	r.virtualTime += cost / w
	return true
}

// removeLessee takes a tenant from those that want to borrow.
func (b *Limiter) removeLessee(r *tenantState) {
	last := len(b.lessees) - 1
	moved := b.lessees[last]
	b.lessees[r.lesseePos-1] = moved
	b.tenants[moved].lesseePos = r.lesseePos
	b.lessees = b.lessees[:last]
	r.lesseePos = 0
	if b.lesseeWeightSum -= r.limits.Weight; last == 0 {
		b.lesseeWeightSum = 0 // no rest of rounding
	}
}

// updateRefillHeap books that something was taken from a floor's bucket: while that fills up again its tenant leaves nothing to others.
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
	b.siftDown(int(r.heapPos) - 1) // it will be full later than it would have been
}

// floorFullAt is when a floor's bucket will be full, if nothing is taken from it.
func (b *Limiter) floorFullAt(now float64, r *tenantState) float64 {
	rate := r.limits.Floor * b.share
	if rate <= 0 {
		return math.Inf(1)
	}
	return now + max(0, b.bucketDepth(r.limits.Floor, r.limits.Burst)-r.floorBucket.level)/rate*1000
}

// removeFromRefillHeap takes a tenant out of the heap of those whose buckets are not full.
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

// InFlight is what a tenant has in hand.
type InFlight struct {
	Open  int
	Bytes int64
}

// InFlight gives it.
func (b *Limiter) InFlight(h Handle) (InFlight, error) {
	r := b.lookup(h)
	if r == nil {
		return InFlight{}, ErrDeleted
	}
	return InFlight{r.open, r.bytes}, nil
}
