// Package tenant says where a tenant's request stands with its limits: within its floor, borrowed from what others leave, over,
// beyond a hard limit, or suspended. It refuses nothing; the module that decides gets the standing as a fact. It has no clock,
// goroutine or input: each method gets the time, in ms, which must not go back. docs/design/tenants.md compares the ways.
package tenant

import (
	"errors"
	"fmt"
	"math"
)

// Standing is where a request stands.
type Standing int

// The standings, the best first.
const (
	Within    Standing = iota // its tenant's floor has room: it is served before all others
	Borrowed                  // the tenant is over its floor, and others leave that much
	Over                      // nobody leaves it any more: the first to be refused
	Beyond                    // a hard limit is reached: it is not to be taken at all
	Suspended                 // nor is this
)

// String is the standing as figures and logs name it.
func (s Standing) String() string {
	return [...]string{"within", "borrowed", "over", "beyond", "suspended"}[s]
}

// Limit is what kept a request from standing better.
type Limit int

// The limits.
const (
	None Limit = iota
	Rate
	Open
	Bytes
	ClassRate
	ClassOpen
)

// String is the limit as refusals name it.
func (l Limit) String() string {
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
	maxBurst   = 60 // seconds that are saved up
	maxClasses = 64
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
	case l.Burst > maxBurst:
		return fmt.Errorf("burst: %v: %d seconds at most", l.Burst, maxBurst)
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

// Verdict is where a request stands, and why it does not stand better.
type Verdict struct {
	Standing
	Limit Limit
	Again float64 // ms after which it would stand better, if all else stays; 0 = not known
}

// bucket is a token bucket: what has been saved up at a time.
type bucket struct{ level, at float64 }

// fill brings the level up to now; what is over the depth is lost.
func (b *bucket) fill(now, rate, depth float64) {
	b.level = min(depth, b.level+rate*(now-b.at)/1000)
	b.at = now
}

// record is a tenant's.
type record struct {
	limits     Limits
	generation uint32
	used       bool
	suspended  bool
	floor      bucket
	hard       bucket
	fullAt     float64 // when the floor's bucket will be full, if nothing is taken from it
	heap       int32   // place among those whose bucket is not full, from 1 on; 0 = it is full
	virtual    float64 // virtual time up to which it has borrowed, see Book.virtual
	asked      float64 // when it last wanted to borrow
	borrows    int32   // place among those that want to borrow, from 1 on; 0 = it does not
	open       int
	bytes      int64
	classes    []classRecord
}

type classRecord struct {
	hard bucket
	open int
}

// Book keeps what all tenants of a router use. What it holds is bounded by the tenants.
type Book struct {
	capacity  float64 // cost a second of the service; 0 = the sum of floors
	portion   float64 // this router's part of the service, 0 to 1
	tenants   []record
	free      []uint32
	floors    float64  // sum of all,
	idle      float64  // and of those whose buckets are full: what they leave
	filling   []uint32 // the others, the first to be full on top
	pool      bucket   // what may be borrowed
	virtual   float64  // of the pool: cost handed out for each unit of weight
	borrowers []uint32 // who wants to borrow
	weights   float64  // sum of theirs
	swept     float64
}

const (
	poolDepth   = 0.1  // seconds of what is left that may be saved up: more would let a herd through at once
	ahead       = 0.05 // seconds of its part that a borrower may be ahead of the others
	borrowerFor = 250  // ms for which who wanted to borrow has its part kept
	leastDepth  = 1    // cost that every bucket can hold, or a dear request would never be within
)

// NewBook is one for a router that is the whole service; Portion tells otherwise. capacity is the cost a second that the service
// can do; 0 = the sum of the floors.
func NewBook(capacity float64) *Book { return &Book{capacity: capacity, portion: 1} }

// SetCapacity sets the cost a second that the service can do; 0 = the sum of the floors.
func (b *Book) SetCapacity(now, capacity float64) {
	b.advance(now)
	b.capacity = capacity
}

// Portion sets this router's part of the service from now on.
func (b *Book) Portion(now, portion float64) {
	b.advance(now)
	for _, i := range b.filling {
		b.settle(now, &b.tenants[i])
	}
	b.portion = min(1, max(0, portion))
	for n, i := range b.filling {
		r := &b.tenants[i]
		r.fullAt = b.full(now, r)
		b.up(n)
	}
}

// ErrGone tells of a handle whose tenant is no more.
var ErrGone = errors.New("the tenant is no more")

// Create makes a tenant.
func (b *Book) Create(now float64, l Limits) (Handle, error) {
	if err := l.Check(); err != nil {
		return Handle{}, err
	}
	b.advance(now)
	var i uint32
	if n := len(b.free); n > 0 {
		i, b.free = b.free[n-1], b.free[:n-1]
	} else {
		i = uint32(len(b.tenants))
		b.tenants = append(b.tenants, record{})
	}
	r := &b.tenants[i]
	*r = record{generation: r.generation + 1, used: true, virtual: b.virtual}
	b.set(now, r, l)
	r.floor = bucket{b.depth(l.Floor, r.limits.Burst), now}
	r.hard = bucket{b.depth(l.Most, r.limits.Burst), now}
	b.idle += l.Floor
	return Handle{i, r.generation}, nil
}

// set books limits, of which nothing is booked.
func (b *Book) set(now float64, r *record, l Limits) {
	if l.Weight == 0 {
		l.Weight = 1
	}
	if l.Burst == 0 {
		l.Burst = 1
	}
	r.limits = l
	for i := len(r.classes); i < len(l.Classes); i++ { // what is in hand of a class is counted on when its limits go
		r.classes = append(r.classes, classRecord{hard: bucket{b.depth(l.Classes[i].Most, l.Burst), now}})
	}
	b.floors += l.Floor
}

// Set changes a tenant's limits. What is in hand stays, though it may be over them.
func (b *Book) Set(now float64, h Handle, l Limits) error {
	r := b.record(h)
	if r == nil {
		return ErrGone
	}
	if err := l.Check(); err != nil {
		return err
	}
	b.advance(now)
	b.settle(now, r)
	full := r.heap == 0
	b.floors -= r.limits.Floor
	if full {
		b.idle -= r.limits.Floor
	} else {
		b.unfill(r)
	}
	if r.borrows > 0 {
		b.unborrow(r)
	}
	b.set(now, r, l)
	r.floor.level = min(r.floor.level, b.depth(l.Floor, r.limits.Burst))
	b.idle += l.Floor
	b.taken(now, h.index, r)
	return nil
}

// Suspend has all requests of a tenant stand as suspended from now on, or no longer.
func (b *Book) Suspend(h Handle, on bool) error {
	r := b.record(h)
	if r == nil {
		return ErrGone
	}
	r.suspended = on
	return nil
}

// Delete ends a tenant. What it has in hand is nobody's from now on: Done for it does nothing.
func (b *Book) Delete(now float64, h Handle) error {
	r := b.record(h)
	if r == nil {
		return ErrGone
	}
	b.advance(now)
	b.floors -= r.limits.Floor
	if r.heap > 0 {
		b.unfill(r)
	} else {
		b.idle -= r.limits.Floor
	}
	if r.borrows > 0 {
		b.unborrow(r)
	}
	*r = record{generation: r.generation}
	b.free = append(b.free, h.index)
	return nil
}

// record is a handle's, nil where its tenant is no more.
func (b *Book) record(h Handle) *record {
	if int(h.index) >= len(b.tenants) {
		return nil
	}
	if r := &b.tenants[h.index]; r.used && r.generation == h.generation {
		return r
	}
	return nil
}

// depth is how much a bucket holds.
func (b *Book) depth(rate, burst float64) float64 { return max(leastDepth, rate*b.portion*burst) }

// left is the cost a second that may be borrowed at this router.
func (b *Book) left() float64 {
	return max(0, b.idle+max(0, b.capacity-b.floors)) * b.portion
}

// advance brings the pool up to now: floors that nobody uses flow into it, from the moment at which their buckets are full.
func (b *Book) advance(now float64) {
	for len(b.filling) > 0 && b.tenants[b.filling[0]].fullAt <= now {
		r := &b.tenants[b.filling[0]]
		b.flow(max(b.pool.at, r.fullAt))
		b.unfill(r)
		b.idle += r.limits.Floor
		r.floor.fill(now, r.limits.Floor*b.portion, b.depth(r.limits.Floor, r.limits.Burst))
	}
	b.flow(now)
	if now-b.swept >= borrowerFor {
		b.swept = now
		for i := len(b.borrowers) - 1; i >= 0; i-- {
			if r := &b.tenants[b.borrowers[i]]; now-r.asked >= borrowerFor {
				b.unborrow(r)
			}
		}
	}
}

// flow lets what is left flow into the pool until a time.
func (b *Book) flow(until float64) {
	if until <= b.pool.at {
		return
	}
	rate := b.left()
	if b.weights > 0 {
		b.virtual += rate * (until - b.pool.at) / 1000 / b.weights
	}
	b.pool.fill(until, rate, max(leastDepth, rate*poolDepth))
}

// settle brings a tenant's own buckets up to now.
func (b *Book) settle(now float64, r *record) {
	l := &r.limits
	r.floor.fill(now, l.Floor*b.portion, b.depth(l.Floor, l.Burst))
	if l.Most > 0 {
		r.hard.fill(now, l.Most*b.portion, b.depth(l.Most, l.Burst))
	}
}

// Arrive says where a request stands, and books it unless that is Beyond or Suspended: Done must be told of it then. class is its
// number, cost what it uses of rates, above 0, and bytes what it has in hand.
func (b *Book) Arrive(now float64, h Handle, class int, cost float64, bytes int64) (Verdict, error) {
	r := b.record(h)
	if r == nil {
		return Verdict{Standing: Suspended}, ErrGone
	}
	if r.suspended {
		return Verdict{Standing: Suspended}, nil
	}
	b.advance(now)
	b.settle(now, r)
	v := b.beyond(now, r, class, cost, bytes)
	if v.Standing == Beyond {
		return v, nil
	}
	b.book(r, class, cost, bytes)
	if r.floor.level >= cost {
		r.floor.level -= cost
		b.taken(now, h.index, r)
		return Verdict{Standing: Within}, nil
	}
	if b.borrow(now, h.index, r, cost) {
		return Verdict{Standing: Borrowed, Limit: Rate}, nil
	}
	return Verdict{Over, Rate, wait(cost-r.floor.level, r.limits.Floor*b.portion)}, nil
}

// wait is how long a bucket takes to get so much, in ms; 0 = for ever.
func wait(missing, rate float64) float64 {
	if rate <= 0 {
		return 0
	}
	return max(1, missing/rate*1000)
}

// part is this router's part of a count, 1 at least.
func (b *Book) part(n float64) float64 { return max(1, n*b.portion) }

// beyond says whether a hard limit is reached.
func (b *Book) beyond(now float64, r *record, class int, cost float64, bytes int64) Verdict {
	l := &r.limits
	switch {
	case l.Open > 0 && float64(r.open+1) > b.part(float64(l.Open)):
		return Verdict{Beyond, Open, 0}
	case l.Bytes > 0 && float64(r.bytes+bytes) > b.part(float64(l.Bytes)):
		return Verdict{Beyond, Bytes, 0}
	case l.Most > 0 && r.hard.level < min(cost, b.depth(l.Most, l.Burst)):
		return Verdict{Beyond, Rate, wait(cost-r.hard.level, l.Most*b.portion)}
	}
	if class < 0 || class >= len(l.Classes) {
		return Verdict{}
	}
	c, cl := &r.classes[class], &l.Classes[class]
	if cl.Open > 0 && float64(c.open+1) > b.part(float64(cl.Open)) {
		return Verdict{Beyond, ClassOpen, 0}
	}
	if cl.Most > 0 {
		depth := b.depth(cl.Most, l.Burst)
		if c.hard.fill(now, cl.Most*b.portion, depth); c.hard.level < min(cost, depth) {
			return Verdict{Beyond, ClassRate, wait(cost-c.hard.level, cl.Most*b.portion)}
		}
	}
	return Verdict{}
}

// book books a request that is taken.
func (b *Book) book(r *record, class int, cost float64, bytes int64) {
	r.open++
	r.bytes += bytes
	if r.limits.Most > 0 {
		r.hard.level -= cost
	}
	if class >= 0 && class < len(r.classes) {
		c := &r.classes[class]
		c.open++
		if class < len(r.limits.Classes) && r.limits.Classes[class].Most > 0 {
			c.hard.level -= cost
		}
	}
}

// Grow books more bytes that a request has in hand, such as of its answer, or with less than 0 fewer. It says whether they are
// within the limit; they are booked either way.
func (b *Book) Grow(h Handle, bytes int64) bool {
	r := b.record(h)
	if r == nil {
		return true
	}
	r.bytes += bytes
	return r.limits.Bytes == 0 || float64(r.bytes) <= b.part(float64(r.limits.Bytes))
}

// Charge books what a request that was taken turns out to cost beyond what it was booked as, such as a fetch of what it did not find: to the
// floor, where it stands within that, or to what it has borrowed. So a floor may be in debt, by as much as it holds, and is repaid before
// anything stands within it again. What stands over has nobody's to spend.
func (b *Book) Charge(now float64, h Handle, s Standing, cost float64) {
	r := b.record(h)
	if r == nil || !(cost > 0) {
		return
	}
	b.advance(now)
	b.settle(now, r)
	switch s {
	case Within:
		r.floor.level = max(r.floor.level-cost, -b.depth(r.limits.Floor, r.limits.Burst))
		b.taken(now, h.index, r)
	case Borrowed:
		b.pool.level -= min(cost, max(0, b.pool.level))
		r.virtual += cost / r.limits.Weight
	}
}

// Done ends a request that Arrive has booked, with all its bytes.
func (b *Book) Done(h Handle, class int, bytes int64) {
	r := b.record(h)
	if r == nil {
		return
	}
	r.open--
	r.bytes -= bytes
	if class >= 0 && class < len(r.classes) {
		r.classes[class].open--
	}
}

// borrow takes from what others leave, if there is enough and the tenant has had no more than its part beside others. What nobody
// else wants is anybody's: then the pool is full.
func (b *Book) borrow(now float64, i uint32, r *record, cost float64) bool {
	w := r.limits.Weight
	if r.asked = now; r.borrows == 0 {
		b.borrowers = append(b.borrowers, i)
		r.borrows = int32(len(b.borrowers))
		b.weights += w
	}
	rate := b.left()
	r.virtual = max(r.virtual, b.virtual)
	if b.pool.level < cost {
		return false
	}
	inTurn := r.virtual <= b.virtual+max(ahead*rate/b.weights, cost/w)
	if !inTurn && b.pool.level < max(leastDepth, rate*poolDepth)-1e-9 {
		return false
	}
	b.pool.level -= cost
	r.virtual += cost / w
	return true
}

// unborrow takes a tenant from those that want to borrow.
func (b *Book) unborrow(r *record) {
	last := len(b.borrowers) - 1
	moved := b.borrowers[last]
	b.borrowers[r.borrows-1] = moved
	b.tenants[moved].borrows = r.borrows
	b.borrowers = b.borrowers[:last]
	r.borrows = 0
	if b.weights -= r.limits.Weight; last == 0 {
		b.weights = 0 // no rest of rounding
	}
}

// taken books that something was taken from a floor's bucket: while that fills up again its tenant leaves nothing to others.
func (b *Book) taken(now float64, i uint32, r *record) {
	if r.limits.Floor <= 0 || r.floor.level >= b.depth(r.limits.Floor, r.limits.Burst) {
		return
	}
	r.fullAt = b.full(now, r)
	if r.heap == 0 {
		b.idle -= r.limits.Floor
		b.filling = append(b.filling, i)
		r.heap = int32(len(b.filling))
		b.up(len(b.filling) - 1)
		return
	}
	b.down(int(r.heap) - 1) // it will be full later than it would have been
}

// full is when a floor's bucket will be full, if nothing is taken from it.
func (b *Book) full(now float64, r *record) float64 {
	rate := r.limits.Floor * b.portion
	if rate <= 0 {
		return math.Inf(1)
	}
	return now + max(0, b.depth(r.limits.Floor, r.limits.Burst)-r.floor.level)/rate*1000
}

// unfill takes a tenant out of the heap of those whose buckets are not full.
func (b *Book) unfill(r *record) {
	at, last := int(r.heap)-1, len(b.filling)-1
	b.swap(at, last)
	b.filling = b.filling[:last]
	r.heap = 0
	if at < last {
		b.down(at)
		b.up(at)
	}
}

func (b *Book) swap(i, j int) {
	f := b.filling
	f[i], f[j] = f[j], f[i]
	b.tenants[f[i]].heap, b.tenants[f[j]].heap = int32(i+1), int32(j+1)
}

func (b *Book) before(i, j int) bool {
	return b.tenants[b.filling[i]].fullAt < b.tenants[b.filling[j]].fullAt
}

func (b *Book) up(i int) {
	for i > 0 && b.before(i, (i-1)/2) {
		b.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

func (b *Book) down(i int) {
	for {
		c := 2*i + 1
		if c >= len(b.filling) {
			return
		}
		if c+1 < len(b.filling) && b.before(c+1, c) {
			c++
		}
		if !b.before(c, i) {
			return
		}
		b.swap(i, c)
		i = c
	}
}

// Use is what a tenant has in hand.
type Use struct {
	Open  int
	Bytes int64
}

// Use gives it.
func (b *Book) Use(h Handle) (Use, error) {
	r := b.record(h)
	if r == nil {
		return Use{}, ErrGone
	}
	return Use{r.open, r.bytes}, nil
}
