package router

import (
	"container/heap"
	"context"
	"log"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"mossproxy.example/mossproxy/decide"
	"mossproxy.example/mossproxy/internal/config"
	"mossproxy.example/mossproxy/internal/member"
)

// clock is one monotonic clock in milliseconds on which the starts of servers lie too: it counts from 1970 but steps
// with no one. So no real start is 0, which means long ago, or below it.
type clock struct{ start time.Time }

func (c clock) now() float64 {
	return float64(c.start.UnixMicro())/1000 + float64(time.Since(c.start).Microseconds())/1000
}

// loop owns the Balancer, the requests and the timers: everything here runs on its one goroutine but post. It is the
// Balancer's Host, and no method of it blocks.
type loop struct {
	clock
	b          *decide.Balancer
	up         *upstreams
	source     *source // the one that is heard
	copies     bool
	originKind string
	maxTry     int
	events     chan func()
	done       chan struct{} // closed when the loop has ended: events no longer count
	ctx        context.Context
	timers     timerHeap
	later      []func() // what a Host method has caused: the Balancer must not be called from within its call
	reqs       map[uint32]*request
	lastID     uint32
	open       map[string]*request                     // those that are not answered, by their client's id
	classes    atomic.Pointer[map[string]decide.Class] // read by clients too
	held       budget                                  // bytes of the values of requests in hand
	queued     budget                                  // bytes of answers that no client has taken yet
	targets    map[uint32]*target
	addrs      map[string][]uint32 // servers at an address
	ready      atomic.Bool         // a list is held
	infers     bool                // nobody tells of starts
}

// request is a request from its arrival until it is answered and its attempts are back.
type request struct {
	id    uint32
	cmd   command
	until float64
	slot  *slot
	due   *timer // the last moment for an answer
	over  bool   // has its final answer, or its client has gone
	tries []*attempt
	out   int
}

// attempt is one attempt of a request.
type attempt struct {
	r      *request
	n      int
	server uint32
	t      *target // nil = there was none
	at     float64
	over   bool // has its outcome; what comes later is nobody's
	stop   context.CancelFunc
	due    *timer
	phase  atomic.Int32
}

// The phases of an attempt. It leaves phaseOpening once, either way.
const (
	phaseOpening = iota // nothing is written
	phaseWriting        // may have run from here on
	phaseOff            // and will never be written
)

// budget bounds the bytes that are kept for one purpose.
type budget struct {
	used  atomic.Int64
	limit int64
}

// take takes n bytes if there is room.
func (b *budget) take(n int) bool {
	if b.used.Add(int64(n)) <= b.limit {
		return true
	}
	b.give(n)
	return false
}

func (b *budget) add(n int)  { b.used.Add(int64(n)) }
func (b *budget) give(n int) { b.used.Add(-int64(n)) }

// grace after a client's deadline within which the answer to a time-out at the deadline comes.
const grace = 15

func newLoop(cfg *config.Config, up *upstreams) (*loop, error) {
	s := cfg.Checked.Config
	l := &loop{clock: clock{time.Now()}, up: up, copies: s.Copies, originKind: s.OriginKind, maxTry: s.MaxAttempts, events: make(chan func(), 1024),
		done: make(chan struct{}), reqs: map[uint32]*request{}, targets: map[uint32]*target{}, open: map[string]*request{},
		addrs: map[string][]uint32{}, infers: cfg.Source.Path != ""}
	l.setClasses(s.Classes)
	// A value is in memory up to three times, as it came and as it goes out.
	l.held.limit, l.queued.limit = cfg.Limits.MemoryMB<<20/16, cfg.Limits.MemoryMB<<20/8
	var err error
	l.b, err = decide.New(s, cfg.SeedNumber, l)
	return l, err
}

// setClasses brings the classes that clients may name up to date.
func (l *loop) setClasses(classes []decide.Class) {
	m := make(map[string]decide.Class, len(classes))
	for _, c := range classes {
		m[c.Name] = c
	}
	l.classes.Store(&m)
}

// post hands an event to the loop.
func (l *loop) post(event func()) {
	select {
	case l.events <- event:
	case <-l.done:
	}
}

// run carries out events and timers until ctx ends.
func (l *loop) run(ctx context.Context) {
	defer close(l.done)
	l.ctx = ctx
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	for {
		if len(l.timers) > 0 {
			alarm.Reset(time.Duration(max(0, l.timers[0].at-l.now()) * float64(time.Millisecond)))
		}
		select {
		case <-ctx.Done():
			return
		case event := <-l.events:
			event()
		case <-alarm.C:
		}
		l.settle()
		for len(l.timers) > 0 && l.timers[0].at <= l.now() {
			heap.Pop(&l.timers).(*timer).do()
			l.settle()
		}
	}
}

// settle carries out what Host methods have caused.
func (l *loop) settle() {
	for len(l.later) > 0 {
		do := l.later[0]
		l.later = l.later[1:]
		do()
	}
}

// check tells what is wrong with a command for this deployment. It may be called from any goroutine.
func (l *loop) check(cmd *command) error {
	if cmd.verb != "mg" && cmd.verb != "ms" {
		return nil
	}
	c, ok := (*l.classes.Load())[cmd.class]
	switch {
	case !ok:
		return malformed("class %.40q", cmd.class)
	case c.Effect == decide.Keyed && cmd.idem == "":
		return malformed("class %s takes k", cmd.class)
	}
	return nil
}

// room takes the bytes that a request's value needs, and tells whether there are any. It may be called from any
// goroutine.
func (l *loop) room(cmd *command) bool {
	return l.queued.used.Load() < l.queued.limit && l.held.take(cmd.length)
}

// arrive takes a request of a client that was read at the given time.
func (l *loop) arrive(cmd command, read float64, s *slot) {
	if l.open[cmd.id] != nil { // cache servers would take the one for the other
		l.held.give(cmd.length)
		s.answer([]byte("CLIENT_ERROR the id of an open request\r\n"))
		return
	}
	for l.lastID++; l.reqs[l.lastID] != nil; l.lastID++ { // ids are reused after 2^32 requests
	}
	now := l.now()
	// No client waits longer than its class allows: nor does the record of one that says so.
	left := max(0, min(cmd.wait, (*l.classes.Load())[cmd.class].Deadline)-(now-read))
	r := &request{id: l.lastID, cmd: cmd, until: now + left, slot: s}
	l.reqs[r.id], l.open[cmd.id], s.req = r, r, r
	r.due = l.after(left+grace, func() { // should the Balancer owe an answer even then, the client still gets one in time
		log.Printf("request %s: no answer by its deadline", r.cmd.id)
		l.Fail(r.id)
		l.b.Gone(l.now(), r.id)
	})
	l.b.Request(now, decide.Request{ID: r.id, Class: cmd.class, Tenant: cmd.tenant, Key: keyID(cmd.key), HasKey: true,
		Left: left, Hint: cmd.hint, Size: cmd.size, Retry: cmd.retry, Write: cmd.verb == "ms"})
}

// gone tells that the client of a request has left.
func (l *loop) gone(s *slot) {
	r := s.req
	if r == nil || r.over {
		return
	}
	l.finish(r, nil)
	l.b.Gone(l.now(), r.id)
	for _, a := range r.tries { // where the Balancer cancels nothing, nobody waits all the same
		a.cancel(l)
	}
}

// finish ends a request: the only place where one is answered, so none is answered twice.
func (l *loop) finish(r *request, answer []byte) {
	if r.over {
		return
	}
	r.over = true
	r.slot.answer(answer)
	r.slot.req, r.slot = nil, nil
	l.timers.stop(r.due)
	delete(l.open, r.cmd.id)
	l.forget(r)
}

// forget drops the record of a request that is over and has no attempt out.
func (l *loop) forget(r *request) {
	if r.over && r.out == 0 && l.reqs[r.id] == r {
		delete(l.reqs, r.id)
		l.held.give(r.cmd.length)
	}
}

// outcome ends an attempt, once: what comes after that is a late result, which reaches neither client nor Balancer.
func (l *loop) outcome(a *attempt, got reply) {
	if a.over {
		return
	}
	a.over = true
	a.stop()
	l.timers.stop(a.due)
	r := a.r
	r.out--
	if got.status == decide.OK {
		l.finish(r, served(&r.cmd, got.body))
	}
	l.forget(r)
	now := l.now()
	l.infer(a, got)
	l.b.Outcome(now, decide.Outcome{ID: r.id, Attempt: a.n, Server: a.server, Status: got.status, Latency: now - a.at,
		Final: r.over, Note: got.note, Load: got.load})
}

// infer takes a server that refused connections and answers again for one that has started anew, cold, where nobody tells
// of starts. A wrong guess only holds its load back for as long as a cold one's.
func (l *loop) infer(a *attempt, got reply) {
	t := a.t
	if !l.infers || t == nil || l.targets[a.server] != t {
		return
	}
	switch {
	case got.refused:
		t.refused = l.now()
	case t.refused > 0 && a.at > t.refused && got.ran():
		t.started, t.inferred, t.refused = t.refused, t.refused, 0
		t.entry.Started = t.inferred
		again := t.entry
		l.later = append(l.later, func() {
			if l.targets[a.server] == t {
				log.Printf("server %d at %s answers after it refused connections: taken as started anew, cold", a.server, t.addr)
				l.b.Servers(l.now(), decide.Changes, []decide.Entry{again})
			}
		})
	}
}

// ends returns an attempt's outcome without a reply.
func ends(st decide.Status) reply { return reply{status: st, load: decide.NoLoad} }

// timeOut ends an attempt that is waited for no longer.
func (l *loop) timeOut(a *attempt) {
	if a.over {
		return
	}
	st := decide.TimedOut
	if a.phase.CompareAndSwap(phaseOpening, phaseOff) {
		st = decide.ConnectError // the connection never came up, and now nothing will be written
	}
	l.outcome(a, ends(st))
}

// cancel gives an attempt up by closing its connection.
func (a *attempt) cancel(l *loop) {
	if a.over {
		return
	}
	a.phase.CompareAndSwap(phaseOpening, phaseOff)
	a.stop()
	l.later = append(l.later, func() { l.outcome(a, ends(decide.Canceled)) })
}

// list takes a list of servers.
func (l *loop) list(kind decide.ListKind, got member.List) {
	entries := make([]decide.Entry, 0, len(got.Servers))
	named := map[uint32]bool{}
	for _, e := range got.Servers {
		d, err := e.Decided()
		if err != nil {
			log.Printf("discovery: member.Entry passed over: %v", err)
			continue
		}
		entries, named[d.ID] = append(entries, d), true
		t := l.targets[d.ID]
		if t == nil && d.State == decide.Ready {
			entries = append(entries, l.replaced(d, e.Addr)...)
		}
		switch {
		case d.State == decide.Gone:
			l.drop(d.ID)
		case t == nil || t.addr != e.Addr:
			l.drop(d.ID)
			l.targets[d.ID] = l.up.add(e.Addr, e.Kind == l.originKind)
			l.addrs[e.Addr] = append(l.addrs[e.Addr], d.ID)
			l.targets[d.ID].started = d.Started
		case t.started != d.Started: // connections to the process before it are dead, perhaps without a word
			t.started = d.Started
			l.up.closeIdle(t)
		}
		if t := l.targets[d.ID]; t != nil {
			t.entry = d
		}
	}
	if kind == decide.Full || kind == decide.Remembered {
		for id := range l.targets {
			if !named[id] {
				l.drop(id)
			}
		}
	}
	l.b.Servers(l.now(), kind, entries)
	if len(l.targets) > 0 {
		l.ready.Store(true)
	}
}

// replaced is the end of the servers that were at the address of a new one: it has come in their place, though the news
// of their end may be late, and what is meant for them would reach it, cold as it is.
func (l *loop) replaced(by decide.Entry, addr string) (gone []decide.Entry) {
	for _, old := range slices.Clone(l.addrs[addr]) {
		if by.Started > l.targets[old].started {
			l.drop(old)
			gone = append(gone, decide.Entry{ID: old, State: decide.Gone})
		}
	}
	return gone
}

// follow hears s from now on, and no source before it. The list that is held stays until s gives a whole one.
func (l *loop) follow(s *source) {
	if l.source != nil {
		s.watch() // the Balancer has asked already, of the one before
	}
	l.source = s
}

// drop lets a server go.
func (l *loop) drop(id uint32) {
	t := l.targets[id]
	if t == nil {
		return
	}
	delete(l.targets, id)
	if l.addrs[t.addr] = slices.DeleteFunc(l.addrs[t.addr], func(at uint32) bool { return at == id }); len(l.addrs[t.addr]) == 0 {
		delete(l.addrs, t.addr)
	}
	l.up.remove(t)
}

// The methods of decide.Host.

// Send starts an attempt. A time-out of 0, and any later than the client's, ends with the client's wait.
func (l *loop) Send(id, server uint32, timeout float64) {
	r := l.reqs[id]
	if r == nil { // over, and nothing is out: the Balancer has no record of it either
		return
	}
	now := l.now()
	left := r.until - now
	if timeout != 0 {
		left = min(left, timeout)
	}
	a := &attempt{r: r, n: len(r.tries), server: server, at: now}
	ctx, stop := context.WithCancel(l.ctx)
	a.stop = stop
	r.tries, r.out = append(r.tries, a), r.out+1
	t := l.targets[server]
	a.t = t
	if r.over || t == nil || left <= 0 || a.n >= l.maxTry || !l.copies && r.out > 1 {
		l.later = append(l.later, func() { l.outcome(a, ends(decide.Ignored)) })
		return
	}
	a.due = l.after(left, func() { l.timeOut(a) })
	go func() {
		defer stop()
		got := l.up.attempt(ctx, t, &r.cmd, left, func() bool { return a.phase.CompareAndSwap(phaseOpening, phaseWriting) })
		l.post(func() { l.outcome(a, got) })
	}()
}

// Cancel gives an attempt up.
func (l *loop) Cancel(id uint32, n int) {
	if r := l.reqs[id]; r != nil && n >= 0 && n < len(r.tries) {
		r.tries[n].cancel(l)
	}
}

// Refuse answers that trying again is harmless.
func (l *loop) Refuse(id uint32, wait float64) {
	if r := l.reqs[id]; r != nil {
		l.finish(r, refused(wait))
	}
}

// Fail answers with no promise.
func (l *loop) Fail(id uint32) {
	if r := l.reqs[id]; r != nil {
		l.finish(r, failed())
	}
}

// probeTimeout is how long a probe is waited for, in milliseconds.
const probeTimeout = 500

// Probe asks a server for its load.
func (l *loop) Probe(server uint32) {
	t := l.targets[server]
	if t == nil {
		l.later = append(l.later, func() { l.b.Probed(l.now(), server, decide.ConnectError, decide.NoLoad) })
		return
	}
	go func() {
		ctx, stop := context.WithTimeout(l.ctx, probeTimeout*time.Millisecond)
		defer stop()
		st, load := l.up.probe(ctx, t)
		l.post(func() { l.b.Probed(l.now(), server, st, load) })
	}()
}

// Close closes the idle connections to a server.
func (l *loop) Close(server uint32) {
	if t := l.targets[server]; t != nil {
		l.up.closeIdle(t)
	}
}

// Timer calls the Balancer's Timer after that many milliseconds.
func (l *loop) Timer(after float64, token uint64) {
	l.after(after, func() { l.b.Timer(l.now(), token) })
}

// Watch asks discovery for changes from now on.
func (l *loop) Watch() {
	if l.source != nil {
		l.source.watch()
	}
}

// Tell sends nothing: the module has nothing to tell other routers.
func (l *loop) Tell([]byte) {}

// Log writes a line of the module's.
func (l *loop) Log(text string) { log.Print(text) }

// timer is something to do at a time.
type timer struct {
	at float64
	do func()
	i  int // its place in the heap; -1 = it is not there
}

func (l *loop) after(ms float64, do func()) *timer {
	if !(ms > 0) {
		ms = 0
	}
	t := &timer{at: l.now() + min(ms, math.MaxInt32), do: do}
	heap.Push(&l.timers, t)
	return t
}

// timerHeap holds timers, the next one first.
type timerHeap []*timer

// stop takes a timer out, with all that it holds: waiting until it is due would keep each request for seconds.
func (h *timerHeap) stop(t *timer) {
	if t != nil && t.i >= 0 {
		heap.Remove(h, t.i)
	}
}

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].i, h[j].i = i, j
}
func (h *timerHeap) Push(x any) {
	t := x.(*timer)
	t.i = len(*h)
	*h = append(*h, t)
}
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1], last.i = nil, -1
	*h = old[:len(old)-1]
	return last
}
