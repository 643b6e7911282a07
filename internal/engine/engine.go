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
	base  float64   // Unix time in ms at the start, by the wall clock of then
	start time.Time // with its monotonic part
}

func newClock() clock {
	start := time.Now()
	return clock{float64(start.UnixMicro()) / 1000, start}
}

func (c clock) now() float64 { return c.base + float64(time.Since(c.start).Microseconds())/1000 }

// Engine owns the Balancer, the requests and the timers: everything here runs on its one goroutine but post. It is the
// Balancer's Host, and no method of it blocks.
type Engine struct {
	clock
	b          *decide.Balancer
	backend    Backend
	watch      func() // asks the source of lists to be watched
	copies     bool
	maxTry     int
	events     events
	ends       []func() // what is done at the end of this batch of events
	ctx        context.Context
	timers     timerHeap
	spare      *timer   // timers of the module that have gone off, as many as were set at once at most
	later      []func() // what a Host method has caused: the Balancer must not be called from within its call
	reqs       map[uint32]*request
	lastID     uint32
	open       map[string]*request                     // those that are not answered, by their client's id
	classes    atomic.Pointer[map[string]decide.Class] // read by clients too
	Held       Budget                                  // bytes of the values of requests in hand
	Queued     Budget                                  // bytes of answers that no client has taken yet
	targets    map[uint32]*server
	addrs      map[string][]uint32 // servers at an address
	starts     starts
	ready      atomic.Bool  // a list is held
	infers     bool         // nobody tells of starts
	store      Store        // nil = values are stored by others
	tenants    Tenants      // nil = nobody counts
	ids        *IDs         // nil = this engine is alone
	origin     string       // kind of the origin
	counter    *counter     // nil = nobody reads figures
	traces     bool         // each request is logged
	endBy      float64      // no answer is given later: the process ends; +Inf = it does not
	passing    int          // long values that are on their way to clients
	Guard      *guard.Guard // checks the rules; never nil
	tellsRules bool         // its counts are among the engine's
}

// server is a listed server as the engine knows it.
type server struct {
	Link
	addr     string
	started  float64       // of its process,
	inferred float64       // as it was taken from refused connections,
	refused  float64       // when one was refused last, and nothing has been answered since
	entry    decide.Entry  // as the Balancer has it
	closing  atomic.Uint64 // bits of the time since when it is known to drain or to be gone; 0 = it is not
}

// request is a request from its arrival until it is answered and its attempts are back.
type request struct {
	*Request
	id      uint32
	read    float64 // when it came,
	until   float64 // and when its client stops waiting; both never change
	class   decide.Class
	client  Client // nil = nobody who could leave
	ticket  *Ticket
	due     timer // the last moment for an answer
	first   attempt
	few     [1]*attempt // the memory of tries for most
	over    bool        // has its final answer, or its client has gone
	counted bool        // by Tenants
	tries   []*attempt
	out     int
	asking  []uint32 // at whom its next attempt is by leave
}

// attempt is one attempt of a request.
type attempt struct {
	e      *Engine
	r      *request
	n      int
	server uint32
	t      *server // nil = it was not listed
	at     float64
	over   bool    // has its outcome; what comes later is nobody's
	counts bool    // among those that are counted
	told   float64 // ms: the deadline that the server was passed; of who writes it
	asking bool    // by leave of another server
	ran    bool    // valid once over: it may have run
	by     float64 // it must not begin later: a server that drops repeats of it forgets the attempt before; 0 = no bound
	stop   Stop
	due    timer
	phase  atomic.Int32
}

// The phases of an attempt. It leaves phaseOpening once, either way.
const (
	phaseOpening = iota // nothing is written
	phaseWriting        // may have run from here on
	phaseOff            // and will never be written
)

// Done is Caller's.
func (a *attempt) Done(got Reply) { a.e.Post(func() { a.e.outcome(a, got) }) }

// Budget bounds the bytes that are kept for one purpose. It may be used from any goroutine.
type Budget struct {
	used  atomic.Int64
	limit atomic.Int64
}

// Take takes n bytes if there is room.
func (b *Budget) Take(n int) bool {
	if b.used.Add(int64(n)) <= b.limit.Load() {
		return true
	}
	b.Give(n)
	return false
}

// Add takes n bytes, room or not.
func (b *Budget) Add(n int) { b.used.Add(int64(n)) }

// Give gives n bytes back.
func (b *Budget) Give(n int) { b.used.Add(-int64(n)) }

// Full says whether the bound is reached.
func (b *Budget) Full() bool { return b.used.Load() >= b.limit.Load() }

// Limit is the bound.
func (b *Budget) Limit() int64 { return b.limit.Load() }

// SetLimit changes the bound. What is taken stays taken.
func (b *Budget) SetLimit(n int64) { b.limit.Store(n) }

// Used is how many bytes are taken.
func (b *Budget) Used() int64 { return b.used.Load() }

// grace after a client's deadline within which the answer to a time-out at the deadline comes.
const grace = 15

// Options are what an engine is made by.
type Options struct {
	Module  decide.Config
	Seed    uint64
	Held    int64        // bound on the bytes of the values of requests in hand
	Queued  int64        // bound on the bytes of answers that no client has taken yet
	Infers  bool         // nobody tells of starts: they are inferred from refused connections
	Store   Store        // nil = values that the origin gives are stored by others
	Tenants Tenants      // nil = tenants have no limits but the module's quotas
	IDs     *IDs         // of requests that are open at any engine of the pool; nil = there is this one alone
	Counts  bool         // somebody reads figures
	Guard   *guard.Guard // nil = one of its own
	Rules   bool         // the guard's counts are among this engine's: one of those that share it
}

// New is an engine that makes its attempts by a backend. An error names the setting that the module can't take.
func New(o Options, backend Backend) (*Engine, error) {
	s := o.Module
	e := &Engine{traces: tracing(), endBy: math.Inf(1), clock: newClock(), backend: backend, watch: func() {}, copies: s.Copies,
		maxTry: s.MaxAttempts, events: newEvents(), reqs: map[uint32]*request{},
		targets: map[uint32]*server{}, open: map[string]*request{}, addrs: map[string][]uint32{}, infers: o.Infers,
		store: o.Store, tenants: o.Tenants, ids: o.IDs, origin: s.OriginKind}
	if e.Guard = o.Guard; e.Guard == nil {
		e.Guard = &guard.Guard{}
	}
	e.tellsRules = o.Rules
	if o.Counts {
		e.counter = &counter{classes: map[string]*ClassCounts{}, due: timer{kind: countsDue}}
	}
	e.setClasses(s.Classes)
	e.Held.SetLimit(o.Held)
	e.Queued.SetLimit(o.Queued)
	var err error
	if e.b, err = decide.New(s, o.Seed, host{e}); err == nil && o.Counts {
		e.publish()
	}
	return e, err
}

// Now is the engine's time: Unix time in ms that never steps. It may be called from any goroutine.
func (e *Engine) Now() float64 { return e.now() }

// Configure takes other classes and tenants while requests are served.
func (e *Engine) Configure(classes []decide.Class, tenants []decide.Tenant, overWorth float64) error {
	if err := e.b.Configure(e.now(), classes, tenants, overWorth); err != nil {
		return err
	}
	e.setClasses(classes)
	return nil
}

// Share tells the module that so many processes of this router serve at once.
func (e *Engine) Share(processes int) { e.b.Share(e.now(), processes) }

// Tier tells what is known of the routers that share what all have, as decide.Tier; its end is a time of the clock.
func (e *Engine) Tier(routers int, parts float64, until time.Time, then float64) error {
	t := decide.Tier{Routers: routers, Parts: parts, Until: math.Inf(1), Then: then}
	if !until.IsZero() {
		t.Until = e.now() + float64(time.Until(until))/float64(time.Millisecond)
	}
	return e.b.Tier(e.now(), t)
}

// Line tells what the routers of the tier serve while they can't serve all; its end is a time of the clock.
func (e *Engine) Line(l decide.Line, until time.Time) error {
	l.Until = e.now() + float64(time.Until(until))/float64(time.Millisecond)
	return e.b.Line(e.now(), l)
}

// Tenants is who counts what tenants use, nil where nobody does.
func (e *Engine) Tenants() Tenants { return e.tenants }

// Class is a class that requests may name. It may be called from any goroutine.
func (e *Engine) Class(name string) (decide.Class, bool) {
	c, ok := (*e.classes.Load())[name]
	return c, ok
}

// Longest is the longest that a client waits, by the classes. It may be called from any goroutine.
func (e *Engine) Longest() time.Duration {
	longest := 0.0
	for _, c := range *e.classes.Load() {
		longest = max(longest, c.Deadline)
	}
	return milliseconds(longest)
}

// EndBy has every request that is taken from now on get its answer by a time, as the process ends then.
func (e *Engine) EndBy(at time.Time) {
	e.endBy = e.now() + float64(time.Until(at))/float64(time.Millisecond)
}

// Size is what an engine holds.
type Size struct {
	Requests, Open int // requests of which something is out, and those that are not answered
	Timers, Far    int // timers, and those due in over 2.5 s
	Servers        int
	Taken          uint32 // requests taken so far, modulo 2^32
}

// Size counts what the engine holds.
func (e *Engine) Size() Size {
	s := Size{Requests: len(e.reqs), Open: len(e.open), Timers: len(e.timers), Servers: len(e.targets), Taken: e.lastID}
	for _, t := range e.timers {
		if t.at > e.now()+2500 {
			s.Far++
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
			e.counter.name(c.Name)
		}
	}
	e.classes.Store(&m)
}

// Post hands an event to the engine's goroutine. It may be called from any other, and waits while very many are there. When
// the engine has ended, events no longer count.
func (e *Engine) Post(event func()) { e.events.post(event) }

// AtEnd has something done once the events that are there have been carried out: what many of them ask for, such as writing
// to a connection, is then done once.
func (e *Engine) AtEnd(do func()) { e.ends = append(e.ends, do) }

// Run carries out events and timers until ctx ends. All else that is not said to be callable from any goroutine runs
// within its events.
func (e *Engine) Run(ctx context.Context) {
	defer e.abandon()
	defer e.events.end()
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
			if event(); len(e.later) > 0 {
				e.settle()
			}
			if i%timersAfter == timersAfter-1 {
				e.tick()
			}
		}
		e.tick()
		e.end()
	}
}

// abandon gives up what is out when the engine ends.
func (e *Engine) abandon() {
	for _, r := range e.reqs {
		for _, a := range r.tries {
			a.stop.Now()
		}
	}
}

// timersAfter is the number of events after which timers are looked at: a batch of them takes milliseconds.
const timersAfter = 32

// timersAtOnce bounds the timers that are carried out before events are looked at again: thousands that are due together, as
// where a server hangs, would hold up all others for as long. An event sets two timers at most, and they keep up.
const timersAtOnce = 2 * timersAfter

// tick carries out timers that are due.
func (e *Engine) tick() {
	for range timersAtOnce {
		if len(e.timers) == 0 || e.timers[0].at > e.now() {
			return
		}
		e.fire(heap.Pop(&e.timers).(*timer))
		e.settle()
	}
}

// end does what was put off to the end of a batch.
func (e *Engine) end() {
	for i, do := range e.ends {
		do()
		e.ends[i] = nil
	}
	e.ends = e.ends[:0]
}

// settle carries out what Host methods have caused.
func (e *Engine) settle() {
	for len(e.later) > 0 {
		do := e.later[0]
		e.later = e.later[1:]
		do()
	}
}

// Room takes the bytes that a request's value needs, and tells whether there are any. Where tenants are counted, who may have more answers
// that wait is said by that: others are refused only at twice the bound. It may be called from any goroutine.
func (e *Engine) Room(n int) bool {
	if full := e.Queued.Full(); full && (e.tenants == nil || e.Queued.Used() >= 2*e.Queued.Limit()) {
		return false
	}
	return e.Held.Take(n)
}

// Owe books the bytes of an answer that its client has not taken yet, and says to whom they are booked; Paid gives them back. Paid may be
// called from any goroutine, and so may Owe for an answer that no request was made for (nil).
func (e *Engine) Owe(q *Request, bytes int) (party string) {
	e.Queued.Add(bytes)
	if e.tenants == nil || q == nil { // what makes no request is a line or two
		return ""
	}
	return e.tenants.Owes(q, bytes)
}

// Paid is Owe's brother.
func (e *Engine) Paid(party string, bytes int) {
	e.Queued.Give(bytes)
	if party != "" {
		e.tenants.Paid(party, bytes)
	}
}

// Arrive takes a request of a client that was read at the given time.
func (e *Engine) Arrive(q *Request, read float64, t *Ticket) {
	if e.open[q.ID] != nil || !e.ids.take(q.ID) { // cache servers would take the one for the other
		e.Held.Give(q.Held)
		t.Answer(q, Answer{Result: Doubled})
		return
	}
	for e.lastID++; e.reqs[e.lastID] != nil; e.lastID++ { // ids are reused after 2^32 requests
	}
	now := e.now()
	// No client waits longer than its class allows: nor does the record of one that says so.
	c, _ := e.Class(q.Class)
	left := max(0, min(q.Wait, c.Deadline)-(now-read))
	left = max(0, min(left, e.endBy-now))
	r := &request{Request: q, id: e.lastID, read: read, until: now + left, class: c, client: t.Client, ticket: t}
	e.reqs[r.id], e.open[q.ID], t.req = r, r, r
	if e.store != nil {
		e.store.Arrived(q)
	}
	e.traceTaken(r, left)
	r.due = timer{kind: requestDue, r: r}
	e.set(&r.due, left+grace)
	d := decide.Request{ID: r.id, Class: q.Class, Tenant: q.Tenant, Key: keyID(q.Key), HasKey: true,
		Left: left, Hint: q.Hint, Size: q.Size, Retry: q.Retry, Write: q.Write, Owners: q.Owners, Stores: q.Stores}
	if e.tenants != nil && !q.Stores {
		d.Standing, d.Again = e.tenants.Arrived(now, e.b.TrafficShare(), q)
		r.counted = d.Standing != decide.QuotaDenied
	}
	e.b.Request(now, d)
}

// Leave tells that the client of a request has left.
func (e *Engine) Leave(t *Ticket) {
	if t.req != nil {
		e.leave(t.req)
	}
}

// leave ends a request whose client has gone.
func (e *Engine) leave(r *request) {
	if r.over {
		return
	}
	e.finish(r, Answer{Result: Gone})
	e.b.ClientGone(e.now(), r.id)
	for _, a := range r.tries { // where the Balancer cancels nothing, nobody waits all the same
		a.cancel(e)
	}
}

// finish ends a request: the only place where one is answered, so none is answered twice.
func (e *Engine) finish(r *request, answer Answer) {
	if r.over {
		return
	}
	r.over = true
	if answer.Result != Gone {
		e.answeredInTime(r)
	}
	e.traceAnswered(r, answer)
	switch {
	case answer.Long != nil:
		e.passing++
	case !r.Stores: // the router's own are nobody's
		e.settled(r.Class, answer.Result)
	}
	if e.store != nil {
		e.store.Over(r.Request)
	}
	if r.counted {
		e.tenants.Over(e.now(), r.Request)
	}
	r.ticket.Answer(r.Request, answer)
	r.ticket.req, r.ticket = nil, nil
	e.timers.stop(&r.due)
	delete(e.open, r.ID)
	e.ids.give(r.ID)
	e.forget(r)
}

// forget drops the record of a request that is over and has no attempt out.
func (e *Engine) forget(r *request) {
	if r.over && r.out == 0 && e.reqs[r.id] == r {
		delete(e.reqs, r.id)
		e.Held.Give(r.Held)
	}
}

// outcome ends an attempt, once: what comes after that is a late result, which reaches neither client nor Balancer.
func (e *Engine) outcome(a *attempt, got Reply) {
	if got.Long != nil && (a.over || a.r.over) { // nobody takes it
		defer got.Long.Drop()
	}
	if a.over {
		return
	}
	a.over, a.ran = true, !got.Status.NeverRan() && a.phase.Load() == phaseWriting
	a.stop.Now()
	a.traceEnded(got)
	e.timers.stop(&a.due)
	r := a.r
	r.out--
	if got.Status == decide.OK {
		keep := e.fetched(a, got)
		e.finish(r, Answer{Result: Served, Body: got.Body, Content: got.Content, Absent: got.Absent, Long: got.Long})
		e.keep(keep)
	}
	e.forget(r)
	now := e.now()
	e.infer(a, got)
	if r.asking = nil; got.Asking {
		r.asking = got.Owners
	}
	e.b.Outcome(now, decide.Outcome{ID: r.id, Attempt: a.n, Server: a.server, Status: got.Status, Latency: now - a.at,
		Final: r.over, CacheResult: got.Note, Load: got.Load, Owners: got.Owners})
}

// fetched makes the request that stores what an attempt at the origin has brought, nil where there is nothing to store.
func (e *Engine) fetched(a *attempt, got Reply) *Request {
	if e.store == nil || a.r.over || a.r.Write || got.Absent || a.t == nil || a.t.entry.Kind != e.origin {
		return nil
	}
	return e.store.Fetched(a.r.Request, got.Body)
}

// keep stores a value. The client that it was fetched for has its answer by now, and the module hears of this request
// before it hears that the fetch is over: whoever waits for the key finds it stored.
func (e *Engine) keep(q *Request) {
	if q == nil || !e.Room(q.Held) {
		return
	}
	e.Arrive(q, e.now(), &Ticket{Answer: func(*Request, Answer) {}})
}

// infer takes a server that refused connections and answers again for one that has started anew, cold, where nobody tells
// of starts. A wrong guess only holds its load back for as long as a cold one's.
func (e *Engine) infer(a *attempt, got Reply) {
	t := a.t
	if !e.infers || t == nil || e.targets[a.server] != t {
		return
	}
	switch {
	case got.Refused:
		t.refused = e.now()
	case t.refused > 0 && a.at > t.refused && got.ran():
		t.started, t.inferred, t.refused = t.refused, t.refused, 0
		t.entry.Started = t.inferred
		again := t.entry
		e.later = append(e.later, func() {
			if e.targets[a.server] == t {
				slog.Info("server answers after it refused connections: taken as started anew, cold", "server", a.server, "addr", t.addr)
				e.b.Servers(e.now(), decide.Changes, []decide.Entry{again})
			}
		})
	}
}

// ends returns an attempt's outcome without a reply.
func ends(st decide.Status) Reply { return Reply{Status: st, Load: decide.NoLoad} }

// timeOut ends an attempt that is waited for no longer.
func (e *Engine) timeOut(a *attempt) {
	if a.over {
		return
	}
	st := decide.TimedOut
	if a.phase.CompareAndSwap(phaseOpening, phaseOff) {
		st = decide.ConnectError // the connection never came up, and now nothing will be written
	}
	e.outcome(a, ends(st))
}

// cancel gives an attempt up by closing its connection.
func (a *attempt) cancel(e *Engine) {
	if a.over {
		return
	}
	a.phase.CompareAndSwap(phaseOpening, phaseOff)
	a.stop.Now()
	e.later = append(e.later, func() { e.outcome(a, ends(decide.Canceled)) })
}
