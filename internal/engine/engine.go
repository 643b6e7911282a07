// Package engine executes the decisions of package decide. A single goroutine owns a decide.Balancer with its
// requests and timers. The engine knows no protocol: fronts submit requests and receive the final answer of
// each, and backends make the attempts.
package engine

import (
	"container/heap"
	"context"
	"log/slog"
	"math"
	"sync/atomic"
	"time"

	"mossproxy.example/mossproxy/decide"
	"mossproxy.example/mossproxy/internal/guard"
)

// clock is a monotonic clock in ms since 1970, on which start times of servers are expressed too. It does not
// follow steps of the wall clock. Every real start time is above 0; values of 0 or less mean "long ago".
type clock struct {
	unixStart float64   // wall clock at the start of the process, Unix time in ms
	start     time.Time // with its monotonic reading
}

func newClock() clock {
	start := time.Now()
	return clock{float64(start.UnixMicro()) / 1000, start}
}

func (c clock) now() float64 { return c.unixStart + float64(time.Since(c.start).Microseconds())/1000 }

// Engine owns the Balancer, the requests and the timers, and implements decide.Host through host. Its methods
// run on its own goroutine unless their doc says otherwise, and none of them blocks except Post and Run.
type Engine struct {
	clock
	balancer    *decide.Balancer
	backend     Backend
	watchList   func() // asks the source of server lists to report changes
	hedging     bool
	maxAttempts int
	events      events
	batchEnd    []func() // functions to run at the end of the current batch of events
	ctx         context.Context
	timers      timerHeap
	// Free list of the Balancer's timers that have fired; its length is at most the number that were set at
	// once.
	freeTimers    *timer
	deferred      []func() // work caused by Host methods, which must not call the Balancer back
	requests      map[uint32]*request
	lastID        uint32
	openByID      map[string]*request                     // unanswered requests by the client's ID
	classes       atomic.Pointer[map[string]decide.Class] // also read by clients' goroutines
	HeldBytes     Budget                                  // bytes of the values of requests in progress
	QueuedBytes   Budget                                  // bytes of answers that no client has taken yet
	targets       map[uint32]*server
	serversByAddr map[string][]uint32 // IDs of the servers at an address
	starts        startTimes
	ready         atomic.Bool               // a server list is held
	inferStarts   bool                      // starts are inferred from refused connections, as nobody reports them
	store         Store                     // nil = the router does not store fetched values
	tenants       TenantLimiter             // nil = tenants are not tracked
	ids           *RequestIDs               // nil = this engine shares request IDs with no other
	unsafe        *UnsafeIDs                // of requests that must not run again
	originKind    string                    // kind of the origin in server lists
	counter       *counter                  // nil = no counts are published
	traceRequests bool                      // every request is logged
	admission     atomic.Pointer[Admission] // decides on requests that arrive while the router drains or ends
	streaming     int                       // streamed values on their way to clients
	Guard         *guard.Guard              // counts checks and violations of invariants; not nil after New
	reportRules   bool                      // the guard's counts are part of this engine's counts
	waits         WaitCounts                // of events for their turn
	waitLoggedAt  float64                   // when a long wait was last logged
}

// server is the engine's record of a listed server.
type server struct {
	Endpoint
	addr          string
	started       float64      // start time of its process
	inferredStart float64      // start time inferred from refused connections; 0 = none
	refusedAt     float64      // time of the last refused connection, 0 if the server has answered since
	entry         decide.Entry // as passed to the Balancer
	// Float64 bits of the time since which the server is known to drain or be gone; 0 = neither.
	closingBits atomic.Uint64
}

// request is the record of a request, kept until it is answered and all of its attempts have ended.
type request struct {
	*Request
	id               uint32
	readAt           float64 // time of arrival; never changes
	deadline         float64 // time when the client stops waiting; never changes
	class            decide.Class
	client           Client // nil = no client that could disconnect
	handle           *RequestHandle
	timer            timer // fires if the Balancer has not answered in time
	firstAttempt     attempt
	attemptsBuf      [1]*attempt // backing array of attempts, enough for most requests
	finished         bool        // has its final answer, or its client has disconnected
	countedByTenants bool        // the TenantLimiter counts it
	attempts         []*attempt
	inFlight         int
	askingServers    []uint32 // servers at which the next attempt is sent with ASKING
}

// Budget limits the bytes held for one purpose. It may be used from any goroutine.
type Budget struct {
	used  atomic.Int64
	limit atomic.Int64
}

// TryReserve reserves n bytes if they are available and reports whether it did.
func (b *Budget) TryReserve(n int) bool {
	if b.used.Add(int64(n)) <= b.limit.Load() {
		return true
	}
	b.Release(n)
	return false
}

// Reserve reserves n bytes even if that exceeds the limit.
func (b *Budget) Reserve(n int) { b.used.Add(int64(n)) }

// Release returns n bytes.
func (b *Budget) Release(n int) { b.used.Add(-int64(n)) }

// Full reports whether the limit is reached.
func (b *Budget) Full() bool { return b.used.Load() >= b.limit.Load() }

// Limit returns the limit in bytes.
func (b *Budget) Limit() int64 { return b.limit.Load() }

// SetLimit changes the limit. Reserved bytes stay reserved.
func (b *Budget) SetLimit(n int64) { b.limit.Store(n) }

// Used returns the number of reserved bytes.
func (b *Budget) Used() int64 { return b.used.Load() }

// answerGrace is the time in ms after a client's deadline within which the answer to a timeout at the
// deadline arrives.
const answerGrace = 15

// Options configure an engine.
type Options struct {
	Config         decide.Config
	Seed           uint64
	MaxHeldBytes   int64         // limit for the bytes of the values of requests in progress
	MaxQueuedBytes int64         // limit for the bytes of answers that no client has taken yet
	InferStarts    bool          // infer server starts from refused connections, as nobody reports them
	Store          Store         // nil = the router does not store fetched values
	Tenants        TenantLimiter // nil = tenants have no limits except the quotas of Config
	// Request IDs shared by all engines of the pool; nil = this engine is the only one.
	IDs           *RequestIDs
	Unsafe        *UnsafeIDs   // shared by all engines of the pool; nil = the engine creates its own
	CollectCounts bool         // publish counts
	Guard         *guard.Guard // nil = the engine creates its own
	// Include the guard's counts in this engine's counts: set for one of the engines that share a guard.
	ReportRules bool
}

// New returns an engine that makes its attempts through a backend. An error names the setting that package
// decide rejects.
func New(o Options, backend Backend) (*Engine, error) {
	s := o.Config
	e := &Engine{traceRequests: tracingEnabled(), clock: newClock(), backend: backend, watchList: func() {}, hedging: s.Copies,
		maxAttempts: s.MaxAttempts, events: newEvents(), requests: map[uint32]*request{},
		targets: map[uint32]*server{}, openByID: map[string]*request{}, serversByAddr: map[string][]uint32{}, inferStarts: o.InferStarts,
		store: o.Store, tenants: o.Tenants, ids: o.IDs, originKind: s.OriginKind}
	if e.Guard = o.Guard; e.Guard == nil {
		e.Guard = &guard.Guard{}
	}
	e.reportRules = o.ReportRules
	if e.unsafe = o.Unsafe; e.unsafe == nil {
		e.unsafe = NewUnsafeIDs()
	}
	e.SetAdmission(admitAll{})
	if o.CollectCounts {
		e.counter = &counter{classes: map[string]*ClassCounts{}, timer: timer{kind: countsPublication}}
	}
	e.setClasses(s.Classes)
	e.HeldBytes.SetLimit(o.MaxHeldBytes)
	e.QueuedBytes.SetLimit(o.MaxQueuedBytes)
	var err error
	if e.balancer, err = decide.New(s, o.Seed, host{e}); err == nil && o.CollectCounts {
		e.publishPeriodically()
	}
	return e, err
}

// Now returns the engine's time: Unix time in ms that never steps. It may be called from any goroutine.
func (e *Engine) Now() float64 { return e.now() }

// Configure replaces the classes and tenants while requests are served.
func (e *Engine) Configure(classes []decide.Class, tenants []decide.Tenant, overWorth float64) error {
	if err := e.balancer.Configure(e.now(), classes, tenants, overWorth); err != nil {
		return err
	}
	e.setClasses(classes)
	return nil
}

// SetProcesses sets the number of processes of this router that serve at the same time.
func (e *Engine) SetProcesses(processes int) { e.balancer.SetProcesses(e.now(), processes) }

// SetTier passes on what is known about the routers that share the common capacity, see decide.Tier. until is
// a wall clock time; zero means no end.
func (e *Engine) SetTier(routers int, shares float64, until time.Time, then float64) error {
	t := decide.Tier{Routers: routers, Shares: shares, Until: math.Inf(1), SharesAfter: then}
	if !until.IsZero() {
		t.Until = e.now() + float64(time.Until(until))/float64(time.Millisecond)
	}
	return e.balancer.SetTier(e.now(), t)
}

// SetAdmissionThreshold passes on what the routers of the tier admit while they can't serve all requests.
// until is a wall clock time.
func (e *Engine) SetAdmissionThreshold(l decide.AdmissionThreshold, until time.Time) error {
	l.Until = e.now() + float64(time.Until(until))/float64(time.Millisecond)
	return e.balancer.SetAdmissionThreshold(e.now(), l)
}

// Tenants returns the TenantLimiter, nil if there is none.
func (e *Engine) Tenants() TenantLimiter { return e.tenants }

// Class returns the class of a name that requests may use. It may be called from any goroutine.
func (e *Engine) Class(name string) (decide.Class, bool) {
	c, ok := (*e.classes.Load())[name]
	return c, ok
}

// MaxDeadline returns the longest time that a client of any class waits. It may be called from any goroutine.
func (e *Engine) MaxDeadline() time.Duration {
	longest := 0.0
	for _, c := range *e.classes.Load() {
		longest = max(longest, c.Deadline)
	}
	return milliseconds(longest)
}

// Size is the number of objects that an engine holds.
type Size struct {
	Requests, Open    int // requests with anything in flight, and unanswered ones
	Timers, FarTimers int // timers, and those that fire in more than 2.5 s
	Servers           int
	Accepted          uint32 // number of requests accepted so far, modulo 2^32
}

// Size counts the objects that the engine holds.
func (e *Engine) Size() Size {
	s := Size{Requests: len(e.requests), Open: len(e.openByID), Timers: len(e.timers), Servers: len(e.targets), Accepted: e.lastID}
	for _, t := range e.timers {
		if t.at > e.now()+2500 {
			s.FarTimers++
		}
	}
	return s
}

// Ready reports whether a server list is held. It may be called from any goroutine.
func (e *Engine) Ready() bool { return e.ready.Load() }

// setClasses replaces the classes that clients may name.
func (e *Engine) setClasses(classes []decide.Class) {
	m := make(map[string]decide.Class, len(classes))
	for _, c := range classes {
		if m[c.Name] = c; e.counter != nil {
			e.counter.addClass(c.Name)
		}
	}
	e.classes.Store(&m)
}

// Post queues an event for the engine's goroutine. It may be called from any other goroutine and blocks while
// the queue is full. After the engine has ended, events are dropped.
func (e *Engine) Post(event func()) { e.events.post(event) }

// AtBatchEnd schedules a function for the end of the current batch of events, so that work requested by
// several events, such as writing to a connection, is done once.
func (e *Engine) AtBatchEnd(action func()) { e.batchEnd = append(e.batchEnd, action) }

// Run processes events and timers until ctx ends. Everything that is not documented as callable from any
// goroutine has to run within its events.
func (e *Engine) Run(ctx context.Context) {
	defer e.cancelAll()
	defer e.events.close()
	e.ctx = ctx
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	armed := math.Inf(1) // time for which the alarm is set: resetting it costs more than most events
	for {
		if len(e.timers) > 0 && e.timers[0].at != armed {
			armed = e.timers[0].at
			alarm.Reset(time.Duration(max(0, armed-e.now()) * float64(time.Millisecond)))
		}
		select {
		case <-ctx.Done():
			return
		case <-e.events.wake:
		case <-alarm.C:
			armed = math.Inf(1)
		}
		batch := e.events.take()
		if len(batch) > 0 {
			e.noteWait(e.events.lastWait)
		}
		for i, event := range batch {
			if event(); len(e.deferred) > 0 {
				e.runDeferred()
			}
			if i%eventsPerTimerCheck == eventsPerTimerCheck-1 {
				e.runTimers()
			}
		}
		e.runTimers()
		e.runBatchEnd()
	}
}

// cancelAll cancels the attempts in flight when the engine ends.
func (e *Engine) cancelAll() {
	for _, r := range e.requests {
		for _, a := range r.attempts {
			a.canceler.Cancel()
		}
	}
}

// eventsPerTimerCheck is the number of events after which timers are checked, as a batch of events takes
// milliseconds.
const eventsPerTimerCheck = 32

// maxTimersPerRun limits the timers processed before events are looked at again: thousands that fire
// together, for example because a server hangs, would delay all events. An event sets at most two timers, so
// the limit is high enough to keep up.
const maxTimersPerRun = 2 * eventsPerTimerCheck

// runTimers processes the timers that are due.
func (e *Engine) runTimers() {
	for range maxTimersPerRun {
		if len(e.timers) == 0 || e.timers[0].at > e.now() {
			return
		}
		e.fireTimer(heap.Pop(&e.timers).(*timer))
		e.runDeferred()
	}
}

// runBatchEnd runs the functions scheduled with AtBatchEnd.
func (e *Engine) runBatchEnd() {
	for i, action := range e.batchEnd {
		action()
		e.batchEnd[i] = nil
	}
	e.batchEnd = e.batchEnd[:0]
}

// runDeferred runs the work that Host methods have deferred.
func (e *Engine) runDeferred() {
	for len(e.deferred) > 0 {
		action := e.deferred[0]
		e.deferred = e.deferred[1:]
		action()
	}
}

// ReserveValue reserves the bytes of a request's value and reports whether they were available. It fails
// while the untaken answers reach their limit. With a TenantLimiter, which limits the untaken answers of each
// tenant, it fails for that reason only at twice the limit. It may be called from any goroutine.
func (e *Engine) ReserveValue(n int) bool {
	if full := e.QueuedBytes.Full(); full && (e.tenants == nil || e.QueuedBytes.Used() >= 2*e.QueuedBytes.Limit()) {
		return false
	}
	return e.HeldBytes.TryReserve(n)
}

// ReserveAnswer charges the bytes of an answer that its client has not taken yet, and returns the party that
// they are charged to, for ReleaseAnswer. For an answer without a request (nil) it may be called from any
// goroutine.
func (e *Engine) ReserveAnswer(q *Request, bytes int) (party string) {
	e.QueuedBytes.Reserve(bytes)
	if e.tenants == nil || q == nil { // an answer without a request is a line or two
		return ""
	}
	return e.tenants.ReserveAnswer(q, bytes)
}

// ReleaseAnswer releases bytes charged by ReserveAnswer. It may be called from any goroutine.
func (e *Engine) ReleaseAnswer(party string, bytes int) {
	e.QueuedBytes.Release(bytes)
	if party != "" {
		e.tenants.ReleaseAnswer(party, bytes)
	}
}

// requestSerial is the Serial of the last request of this process.
var requestSerial atomic.Uint64

// Submit accepts a client's request that was read at the given time. The handle receives exactly one answer.
func (e *Engine) Submit(q *Request, readAt float64, handle *RequestHandle) {
	if e.openByID[q.ID] != nil || !e.ids.acquire(q.ID) { // cache servers would take one for the other
		e.HeldBytes.Release(q.HeldBytes)
		handle.OnAnswer(q, Answer{Result: Duplicate, NeverSent: true})
		return
	}
	// A client can't extend the deadline of its class, so that no record is kept for longer.
	class, _ := e.Class(q.Class)
	now := e.now()
	answerBy, admitted := (*e.admission.Load()).Admit(now, readAt+min(q.Wait, class.Deadline))
	if by := handle.AnswerBy; by > 0 {
		answerBy, admitted = min(answerBy, by), admitted && now < by
	}
	if !admitted && !q.CacheFill {
		e.rejectOnArrival(q, handle)
		return
	}
	if !e.mayRun(q, class) {
		e.ids.release(q.ID)
		e.HeldBytes.Release(q.HeldBytes)
		e.countAnswer(q.Class, Failed)
		handle.OnAnswer(q, Answer{Result: Failed, NeverSent: true})
		return
	}
	for e.lastID++; e.requests[e.lastID] != nil; e.lastID++ { // IDs are reused after 2^32 requests
	}
	remaining := max(0, answerBy-now)
	q.Serial, q.Repeatable = requestSerial.Add(1), class.Effect == decide.Repeatable
	r := &request{Request: q, id: e.lastID, readAt: readAt, deadline: now + remaining, class: class, client: handle.Client, handle: handle}
	e.requests[r.id], e.openByID[q.ID], handle.request = r, r, r
	if e.store != nil {
		e.store.Arrived(q)
	}
	e.traceTaken(r, remaining)
	r.timer = timer{kind: requestDeadline, request: r}
	e.startTimer(&r.timer, remaining+answerGrace)
	d := decide.Request{ID: r.id, Class: q.Class, Tenant: q.Tenant, Key: keyID(q.Key), HasKey: true,
		Left: remaining, ArrivalTime: maxProcessPause + q.maxReadTime(), Hint: q.Hint, Size: q.Size, Retry: q.Retry, Write: q.Write, Owners: q.Owners, Stores: q.CacheFill}
	if e.tenants != nil && !q.CacheFill {
		d.Standing, d.Again = e.tenants.Arrived(now, e.balancer.TrafficShare(), q)
		r.countedByTenants = d.Standing != decide.QuotaDenied
	}
	e.balancer.Request(now, d)
}

// rejectOnArrival rejects a request that is not admitted. No attempt of it is made.
func (e *Engine) rejectOnArrival(q *Request, handle *RequestHandle) {
	e.ids.release(q.ID)
	e.HeldBytes.Release(q.HeldBytes)
	e.countAnswer(q.Class, Refused)
	if e.traceRequests {
		slog.Debug("request not admitted", "request", q.ID, "class", q.Class, "wait_ms", q.Wait)
	}
	handle.OnAnswer(q, Answer{Result: Refused, NeverSent: true})
}

// ClientLeft reports that the client of a request has disconnected.
func (e *Engine) ClientLeft(handle *RequestHandle) {
	if handle.request != nil {
		e.abandonRequest(handle.request)
	}
}

// abandonRequest ends a request whose client has disconnected.
func (e *Engine) abandonRequest(r *request) {
	if r.finished {
		return
	}
	e.finish(r, Answer{Result: ClientGone})
	e.balancer.ClientGone(e.now(), r.id)
	for _, a := range r.attempts { // also those that the Balancer does not cancel: nobody waits for them
		a.cancel(e, cancelClientLeft)
	}
}

// finish ends a request. It is the only place where a request is answered, so that none is answered twice.
func (e *Engine) finish(r *request, answer Answer) {
	if r.finished {
		return
	}
	r.finished = true
	if answer.Result != ClientGone {
		e.checkAnswerTime(r)
	}
	e.traceAnswered(r, answer)
	e.forgetAnswered(r, answer.Result)
	switch {
	case answer.Streamed != nil:
		e.streaming++
	case !r.CacheFill: // the router's own requests are not counted
		e.countAnswer(r.Class, answer.Result)
	}
	if e.store != nil {
		e.store.Finished(r.Request)
	}
	if r.countedByTenants {
		e.tenants.Finished(e.now(), r.Request)
	}
	for _, a := range r.attempts {
		a.release()
	}
	r.handle.OnAnswer(r.Request, answer)
	r.handle.request, r.handle = nil, nil
	e.timers.stop(&r.timer)
	delete(e.openByID, r.ID)
	e.ids.release(r.ID)
	e.removeIfDone(r)
}

// removeIfDone removes the record of a request that is finished and has no attempt in flight.
func (e *Engine) removeIfDone(r *request) {
	if r.finished && r.inFlight == 0 && e.requests[r.id] == r {
		delete(e.requests, r.id)
		e.HeldBytes.Release(r.HeldBytes)
	}
}
