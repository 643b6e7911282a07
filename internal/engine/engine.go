// Package engine carries out what the module decides: one goroutine owns a Balancer, its requests and timers. It knows no
// protocol. Fronts hand it requests and get each one's final answer; backends make its attempts.
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

// clock is one monotonic clock in milliseconds on which the starts of servers lie too: it counts from 1970 but steps
// with no one. So no real start is 0, which means long ago, or below it.
type clock struct {
	unixStart float64   // Unix time in ms at the start, by the wall clock of then
	start     time.Time // with its monotonic part
}

func newClock() clock {
	start := time.Now()
	return clock{float64(start.UnixMicro()) / 1000, start}
}

func (c clock) now() float64 { return c.unixStart + float64(time.Since(c.start).Microseconds())/1000 }

// Engine owns the Balancer, the requests and the timers: everything here runs on its one goroutine but post. It is the
// Balancer's Host, and no method of it blocks.
type Engine struct {
	clock
	balancer      *decide.Balancer
	backend       Backend
	watchList     func() // asks the source of lists to be watched
	hedging       bool
	maxAttempts   int
	events        events
	batchEnd      []func() // what is done at the end of this batch of events
	ctx           context.Context
	timers        timerHeap
	freeTimers    *timer   // timers of the module that have gone off, as many as were set at once at most
	deferred      []func() // what a Host method has caused: the Balancer must not be called from within its call
	requests      map[uint32]*request
	lastID        uint32
	openByID      map[string]*request                     // those that are not answered, by their client's id
	classes       atomic.Pointer[map[string]decide.Class] // read by clients too
	HeldBytes     Budget                                  // bytes of the values of requests in hand
	QueuedBytes   Budget                                  // bytes of answers that no client has taken yet
	targets       map[uint32]*server
	serversByAddr map[string][]uint32 // servers at an address
	starts        startTimes
	ready         atomic.Bool   // a list is held
	inferStarts   bool          // nobody tells of starts
	store         Store         // nil = values are stored by others
	tenants       TenantLimiter // nil = nobody counts
	ids           *RequestIDs   // nil = this engine is alone
	originKind    string        // kind of the origin
	counter       *counter      // nil = nobody reads figures
	traceRequests bool          // each request is logged
	shutdownAt    float64       // no answer is given later: the process ends; +Inf = it does not
	streaming     int           // long values that are on their way to clients
	Guard         *guard.Guard  // checks the rules; never nil
	reportRules   bool          // its counts are among the engine's
}

// serverID is a listed server as the engine knows it.
type server struct {
	Endpoint
	addr          string
	started       float64       // of its process,
	inferredStart float64       // as it was taken from refused connections,
	refusedAt     float64       // when one was refused last, and nothing has been answered since
	entry         decide.Entry  // as the Balancer has it
	closingBits   atomic.Uint64 // bits of the time since when it is known to drain or to be gone; 0 = it is not
}

// request is a request from its arrival until it is answered and its attempts are back.
type request struct {
	*Request
	id               uint32
	readAt           float64 // when it came,
	deadline         float64 // and when its client stops waiting; both never change
	class            decide.Class
	client           Client // nil = nobody who could leave
	handle           *RequestHandle
	timer            timer // the last moment for an answer
	firstAttempt     attempt
	attemptsBuf      [1]*attempt // the memory of tries for most
	finished         bool        // has its final answer, or its client has gone
	countedByTenants bool        // by Tenants
	attempts         []*attempt
	inFlight         int
	askingServers    []uint32 // at whom its next attempt is by leave
}

// attempt is one attempt of a request.
type attempt struct {
	engine         *Engine
	request        *request
	index          int
	serverID       uint32
	target         *server // nil = it was not listed
	startedAt      float64
	finished       bool    // has its outcome; what comes later is nobody's
	counted        bool    // among those that are counted
	passedDeadline float64 // ms: the deadline that the server was passed; of who writes it
	asking         bool    // by leave of another server
	maybeRan       bool    // valid once over: it may have run
	beginBy        float64 // it must not begin later: a server that drops repeats of it forgets the attempt before; 0 = no bound
	canceler       Canceler
	timer          timer
	phase          atomic.Int32
}

// The phases of an attempt. It leaves phaseOpening once, either way.
const (
	phaseOpening  = iota // nothing is written
	phaseWriting         // may have run from here on
	phaseCanceled        // and will never be written
)

// Done is Caller's.
func (a *attempt) Done(got Reply) { a.engine.Post(func() { a.engine.finishAttempt(a, got) }) }

// Budget bounds the bytes that are kept for one purpose. It may be used from any goroutine.
type Budget struct {
	used  atomic.Int64
	limit atomic.Int64
}

// TryReserve takes n bytes if there is room.
func (b *Budget) TryReserve(n int) bool {
	if b.used.Add(int64(n)) <= b.limit.Load() {
		return true
	}
	b.Release(n)
	return false
}

// Reserve takes n bytes, room or not.
func (b *Budget) Reserve(n int) { b.used.Add(int64(n)) }

// Release gives n bytes back.
func (b *Budget) Release(n int) { b.used.Add(-int64(n)) }

// Full says whether the bound is reached.
func (b *Budget) Full() bool { return b.used.Load() >= b.limit.Load() }

// Limit is the bound.
func (b *Budget) Limit() int64 { return b.limit.Load() }

// SetLimit changes the bound. What is taken stays taken.
func (b *Budget) SetLimit(n int64) { b.limit.Store(n) }

// Used is how many bytes are taken.
func (b *Budget) Used() int64 { return b.used.Load() }

// answerGrace after a client's deadline within which the answer to a time-out at the deadline comes.
const answerGrace = 15

// Options are what an engine is made by.
type Options struct {
	Config         decide.Config
	Seed           uint64
	MaxHeldBytes   int64         // bound on the bytes of the values of requests in hand
	MaxQueuedBytes int64         // bound on the bytes of answers that no client has taken yet
	InferStarts    bool          // nobody tells of starts: they are inferred from refused connections
	Store          Store         // nil = values that the origin gives are stored by others
	Tenants        TenantLimiter // nil = tenants have no limits but the module's quotas
	IDs            *RequestIDs   // of requests that are open at any engine of the pool; nil = there is this one alone
	CollectCounts  bool          // somebody reads figures
	Guard          *guard.Guard  // nil = one of its own
	ReportRules    bool          // the guard's counts are among this engine's: one of those that share it
}

// New is an engine that makes its attempts by a backend. An error names the setting that the module can't take.
func New(o Options, backend Backend) (*Engine, error) {
	s := o.Config
	e := &Engine{traceRequests: tracingEnabled(), shutdownAt: math.Inf(1), clock: newClock(), backend: backend, watchList: func() {}, hedging: s.Copies,
		maxAttempts: s.MaxAttempts, events: newEvents(), requests: map[uint32]*request{},
		targets: map[uint32]*server{}, openByID: map[string]*request{}, serversByAddr: map[string][]uint32{}, inferStarts: o.InferStarts,
		store: o.Store, tenants: o.Tenants, ids: o.IDs, originKind: s.OriginKind}
	if e.Guard = o.Guard; e.Guard == nil {
		e.Guard = &guard.Guard{}
	}
	e.reportRules = o.ReportRules
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

// Cancel is the engine's time: Unix time in ms that never steps. It may be called from any goroutine.
func (e *Engine) Now() float64 { return e.now() }

// Configure takes other classes and tenants while requests are served.
func (e *Engine) Configure(classes []decide.Class, tenants []decide.Tenant, overWorth float64) error {
	if err := e.balancer.Configure(e.now(), classes, tenants, overWorth); err != nil {
		return err
	}
	e.setClasses(classes)
	return nil
}

// SetProcesses tells the module that so many processes of this router serve at once.
func (e *Engine) SetProcesses(processes int) { e.balancer.SetProcesses(e.now(), processes) }

// SetTier tells what is known of the routers that share what all have, as decide.SetTier; its end is a time of the clock.
func (e *Engine) SetTier(routers int, parts float64, until time.Time, then float64) error {
	t := decide.Tier{Routers: routers, Shares: parts, Until: math.Inf(1), SharesAfter: then}
	if !until.IsZero() {
		t.Until = e.now() + float64(time.Until(until))/float64(time.Millisecond)
	}
	return e.balancer.SetTier(e.now(), t)
}

// SetAdmissionThreshold tells what the routers of the tier serve while they can't serve all; its end is a time of the clock.
func (e *Engine) SetAdmissionThreshold(l decide.AdmissionThreshold, until time.Time) error {
	l.Until = e.now() + float64(time.Until(until))/float64(time.Millisecond)
	return e.balancer.SetAdmissionThreshold(e.now(), l)
}

// TenantLimiter is who counts what tenants use, nil where nobody does.
func (e *Engine) Tenants() TenantLimiter { return e.tenants }

// Class is a class that requests may name. It may be called from any goroutine.
func (e *Engine) Class(name string) (decide.Class, bool) {
	c, ok := (*e.classes.Load())[name]
	return c, ok
}

// MaxDeadline is the longest that a client waits, by the classes. It may be called from any goroutine.
func (e *Engine) MaxDeadline() time.Duration {
	longest := 0.0
	for _, c := range *e.classes.Load() {
		longest = max(longest, c.Deadline)
	}
	return milliseconds(longest)
}

// SetShutdownDeadline has every request that is taken from now on get its answer by a time, as the process ends then.
func (e *Engine) SetShutdownDeadline(at time.Time) {
	e.shutdownAt = e.now() + float64(time.Until(at))/float64(time.Millisecond)
}

// Size is what an engine holds.
type Size struct {
	Requests, Open    int // requests of which something is out, and those that are not answered
	Timers, FarTimers int // timers, and those due in over 2.5 s
	Servers           int
	Accepted          uint32 // requests taken so far, modulo 2^32
}

// Size counts what the engine holds.
func (e *Engine) Size() Size {
	s := Size{Requests: len(e.requests), Open: len(e.openByID), Timers: len(e.timers), Servers: len(e.targets), Accepted: e.lastID}
	for _, t := range e.timers {
		if t.at > e.now()+2500 {
			s.FarTimers++
		}
	}
	return s
}

// Ready says whether a list is held. It may be called from any goroutine.
func (e *Engine) Ready() bool { return e.ready.Load() }

// setClasses brings the classes that clients may name up to date.
func (e *Engine) setClasses(classes []decide.Class) {
	m := make(map[string]decide.Class, len(classes))
	for _, c := range classes {
		if m[c.Name] = c; e.counter != nil {
			e.counter.addClass(c.Name)
		}
	}
	e.classes.Store(&m)
}

// Post hands an event to the engine's goroutine. It may be called from any other, and waits while very many are there. When
// the engine has ended, events no longer count.
func (e *Engine) Post(event func()) { e.events.post(event) }

// AtBatchEnd has something done once the events that are there have been carried out: what many of them ask for, such as writing
// to a connection, is then done once.
func (e *Engine) AtBatchEnd(do func()) { e.batchEnd = append(e.batchEnd, do) }

// Run carries out events and timers until ctx ends. All else that is not said to be callable from any goroutine runs
// within its events.
func (e *Engine) Run(ctx context.Context) {
	defer e.cancelAll()
	defer e.events.close()
	e.ctx = ctx
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	armed := math.Inf(1) // when the alarm goes off: setting it costs more than most events
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
		for i, event := range e.events.take() {
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

// cancelAll gives up what is out when the engine ends.
func (e *Engine) cancelAll() {
	for _, r := range e.requests {
		for _, a := range r.attempts {
			a.canceler.Cancel()
		}
	}
}

// eventsPerTimerCheck is the number of events after which timers are looked at: a batch of them takes milliseconds.
const eventsPerTimerCheck = 32

// maxTimersPerRun bounds the timers that are carried out before events are looked at again: thousands that are due together, as
// where a server hangs, would hold up all others for as long. An event sets two timers at most, and they keep up.
const maxTimersPerRun = 2 * eventsPerTimerCheck

// runTimers carries out timers that are due.
func (e *Engine) runTimers() {
	for range maxTimersPerRun {
		if len(e.timers) == 0 || e.timers[0].at > e.now() {
			return
		}
		e.fireTimer(heap.Pop(&e.timers).(*timer))
		e.runDeferred()
	}
}

// close does what was put off to the end of a batch.
func (e *Engine) runBatchEnd() {
	for i, do := range e.batchEnd {
		do()
		e.batchEnd[i] = nil
	}
	e.batchEnd = e.batchEnd[:0]
}

// runDeferred carries out what Host methods have caused.
func (e *Engine) runDeferred() {
	for len(e.deferred) > 0 {
		do := e.deferred[0]
		e.deferred = e.deferred[1:]
		do()
	}
}

// ReserveValue takes the bytes that a request's value needs, and tells whether there are any. Where tenants are counted, who may have more answers
// that wait is said by that: others are refused only at twice the bound. It may be called from any goroutine.
func (e *Engine) ReserveValue(n int) bool {
	if full := e.QueuedBytes.Full(); full && (e.tenants == nil || e.QueuedBytes.Used() >= 2*e.QueuedBytes.Limit()) {
		return false
	}
	return e.HeldBytes.TryReserve(n)
}

// ReserveAnswer books the bytes of an answer that its client has not taken yet, and says to whom they are booked; Paid gives them back. Paid may be
// called from any goroutine, and so may Owe for an answer that no request was made for (nil).
func (e *Engine) ReserveAnswer(q *Request, bytes int) (party string) {
	e.QueuedBytes.Reserve(bytes)
	if e.tenants == nil || q == nil { // what makes no request is a line or two
		return ""
	}
	return e.tenants.ReserveAnswer(q, bytes)
}

// ReleaseAnswer is Owe's brother.
func (e *Engine) ReleaseAnswer(party string, bytes int) {
	e.QueuedBytes.Release(bytes)
	if party != "" {
		e.tenants.ReleaseAnswer(party, bytes)
	}
}

// Submit takes a request of a client that was read at the given time.
func (e *Engine) Submit(q *Request, read float64, t *RequestHandle) {
	if e.openByID[q.ID] != nil || !e.ids.acquire(q.ID) { // cache servers would take the one for the other
		e.HeldBytes.Release(q.HeldBytes)
		t.OnAnswer(q, Answer{Result: Duplicate})
		return
	}
	for e.lastID++; e.requests[e.lastID] != nil; e.lastID++ { // ids are reused after 2^32 requests
	}
	now := e.now()
	// No client waits longer than its class allows: nor does the record of one that says so.
	c, _ := e.Class(q.Class)
	left := max(0, min(q.Wait, c.Deadline)-(now-read))
	left = max(0, min(left, e.shutdownAt-now))
	r := &request{Request: q, id: e.lastID, readAt: read, deadline: now + left, class: c, client: t.Client, handle: t}
	e.requests[r.id], e.openByID[q.ID], t.request = r, r, r
	if e.store != nil {
		e.store.Arrived(q)
	}
	e.traceTaken(r, left)
	r.timer = timer{kind: requestDeadline, request: r}
	e.startTimer(&r.timer, left+answerGrace)
	d := decide.Request{ID: r.id, Class: q.Class, Tenant: q.Tenant, Key: keyID(q.Key), HasKey: true,
		Left: left, Hint: q.Hint, Size: q.Size, Retry: q.Retry, Write: q.Write, Owners: q.Owners, Stores: q.CacheFill}
	if e.tenants != nil && !q.CacheFill {
		d.Standing, d.Again = e.tenants.Arrived(now, e.balancer.TrafficShare(), q)
		r.countedByTenants = d.Standing != decide.QuotaDenied
	}
	e.balancer.Request(now, d)
}

// ClientLeft tells that the client of a request has left.
func (e *Engine) ClientLeft(t *RequestHandle) {
	if t.request != nil {
		e.abandonRequest(t.request)
	}
}

// abandonRequest ends a request whose client has gone.
func (e *Engine) abandonRequest(r *request) {
	if r.finished {
		return
	}
	e.finish(r, Answer{Result: ClientGone})
	e.balancer.ClientGone(e.now(), r.id)
	for _, a := range r.attempts { // where the Balancer cancels nothing, nobody waits all the same
		a.cancel(e)
	}
}

// finish ends a request: the only place where one is answered, so none is answered twice.
func (e *Engine) finish(r *request, answer Answer) {
	if r.finished {
		return
	}
	r.finished = true
	if answer.Result != ClientGone {
		e.checkAnswerTime(r)
	}
	e.traceAnswered(r, answer)
	switch {
	case answer.Streamed != nil:
		e.streaming++
	case !r.CacheFill: // the router's own are nobody's
		e.countAnswer(r.Class, answer.Result)
	}
	if e.store != nil {
		e.store.Finished(r.Request)
	}
	if r.countedByTenants {
		e.tenants.Finished(e.now(), r.Request)
	}
	r.handle.OnAnswer(r.Request, answer)
	r.handle.request, r.handle = nil, nil
	e.timers.stop(&r.timer)
	delete(e.openByID, r.ID)
	e.ids.release(r.ID)
	e.removeIfDone(r)
}

// removeIfDone drops the record of a request that is over and has no attempt out.
func (e *Engine) removeIfDone(r *request) {
	if r.finished && r.inFlight == 0 && e.requests[r.id] == r {
		delete(e.requests, r.id)
		e.HeldBytes.Release(r.HeldBytes)
	}
}

// finishAttempt ends an attempt, once: what comes after that is a late result, which reaches neither client nor Balancer.
func (e *Engine) finishAttempt(a *attempt, got Reply) {
	if got.Streamed != nil && (a.finished || a.request.finished) { // nobody takes it
		defer got.Streamed.Discard()
	}
	if a.finished {
		return
	}
	a.finished, a.maybeRan = true, !got.Status.NeverRan() && a.phase.Load() == phaseWriting
	a.canceler.Cancel()
	a.traceEnded(got)
	e.timers.stop(&a.timer)
	r := a.request
	r.inFlight--
	if got.Status == decide.OK {
		keep := e.fillRequest(a, got)
		e.finish(r, Answer{Result: Served, Body: got.Body, Content: got.Content, Absent: got.Absent, Streamed: got.Streamed})
		e.submitFill(keep)
	}
	e.removeIfDone(r)
	now := e.now()
	e.inferRestart(a, got)
	if r.askingServers = nil; got.Asking {
		r.askingServers = got.Owners
	}
	e.balancer.Outcome(now, decide.Outcome{ID: r.id, Attempt: a.index, Server: a.serverID, Status: got.Status, Latency: now - a.startedAt,
		Final: r.finished, CacheResult: got.CacheResult, Load: got.Load, Owners: got.Owners})
}

// fillRequest makes the request that stores what an attempt at the origin has brought, nil where there is nothing to store.
func (e *Engine) fillRequest(a *attempt, got Reply) *Request {
	if e.store == nil || a.request.finished || a.request.Write || got.Absent || a.target == nil || a.target.entry.Kind != e.originKind {
		return nil
	}
	return e.store.FillRequest(a.request.Request, got.Body)
}

// submitFill stores a value. The client that it was fetched for has its answer by now, and the module hears of this request
// before it hears that the fetch is over: whoever waits for the key finds it stored.
func (e *Engine) submitFill(q *Request) {
	if q == nil || !e.ReserveValue(q.HeldBytes) {
		return
	}
	e.Submit(q, e.now(), &RequestHandle{OnAnswer: func(*Request, Answer) {}})
}

// inferRestart takes a server that refused connections and answers again for one that has started anew, cold, where nobody tells
// of starts. A wrong guess only holds its load back for as long as a cold one's.
func (e *Engine) inferRestart(a *attempt, got Reply) {
	t := a.target
	if !e.inferStarts || t == nil || e.targets[a.serverID] != t {
		return
	}
	switch {
	case got.ConnRefused:
		t.refusedAt = e.now()
	case t.refusedAt > 0 && a.startedAt > t.refusedAt && got.serverAnswered():
		t.started, t.inferredStart, t.refusedAt = t.refusedAt, t.refusedAt, 0
		t.entry.Started = t.inferredStart
		again := t.entry
		e.deferred = append(e.deferred, func() {
			if e.targets[a.serverID] == t {
				slog.Info("server answers after it refused connections: taken as started anew, cold", "server", a.serverID, "addr", t.addr)
				e.balancer.Servers(e.now(), decide.Changes, []decide.Entry{again})
			}
		})
	}
}

// replyWithStatus returns an attempt's outcome without a reply.
func replyWithStatus(st decide.Status) Reply { return Reply{Status: st, Load: decide.NoLoad} }

// timeOut ends an attempt that is waited for no longer.
func (e *Engine) timeOut(a *attempt) {
	if a.finished {
		return
	}
	st := decide.TimedOut
	if a.phase.CompareAndSwap(phaseOpening, phaseCanceled) {
		st = decide.ConnectError // the connection never came up, and now nothing will be written
	}
	e.finishAttempt(a, replyWithStatus(st))
}

// cancel gives an attempt up by closing its connection.
func (a *attempt) cancel(e *Engine) {
	if a.finished {
		return
	}
	a.phase.CompareAndSwap(phaseOpening, phaseCanceled)
	a.canceler.Cancel()
	e.deferred = append(e.deferred, func() { e.finishAttempt(a, replyWithStatus(decide.Canceled)) })
}
