package member

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"mossproxy.example/mossproxy/decide"
)

// The bounds of an asked discovery. A change counts as announced so long after discovery had it and could be reached; one
// that a silent poll has missed, so long after it fell silent or after its wait, whichever is later. No request may begin at
// a server that drains behind the grace.
const (
	announcedWithin    = 6 * time.Second
	announcedAfterWait = 2 * time.Second
	drainGrace         = 500 * time.Millisecond
)

// drainingID is the server that drains in these tests.
const drainingID = "s-0000000b"

// queuedService is a discovery service that works through the calls of all routers in turn. Its connections are pipes, so
// that the time of a test may be virtual.
type queuedService struct {
	workTime time.Duration // for each call
	maxWait  time.Duration // a call that would wait longer for its turn fails with 503
	delay    time.Duration // of each answer on its way

	mu          sync.Mutex
	freeAt      time.Time     // when its queue will be empty
	version     int64         // of the list
	drains      bool          // the server drains
	changed     chan struct{} // closed at each change of the list
	broken      chan struct{} // closed when open calls fall silent or are reset
	fault       serviceFault  // of calls that are open when broken is closed, and of later ones while lasting is set
	lasting     bool
	calls       []serviceCall
	brokenPolls map[string]serviceCall // by router, the open poll that was broken; the last one of each
}

// serviceCall is a call of a router.
type serviceCall struct {
	router string
	at     time.Time
	wait   time.Duration // for which it may be held open
	knows  bool          // its router knows of the drain
}

type serviceFault int

const (
	noFault serviceFault = iota
	silent               // nothing more comes
	reset                // the connection ends
	refused              // no new connection comes up, open ones end
)

func newQueuedService(workTime time.Duration) *queuedService {
	return &queuedService{workTime: workTime, maxWait: 2 * time.Second, version: 1, changed: make(chan struct{}), broken: make(chan struct{}),
		brokenPolls: make(map[string]serviceCall)}
}

// dial implements http.Transport.DialContext.
func (q *queuedService) dial(context.Context, string, string) (net.Conn, error) {
	q.mu.Lock()
	away := q.lasting && q.fault == refused
	q.mu.Unlock()
	if away {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	return dialHandler(q), nil
}

// dialHandler returns the router's end of a connection to a service.
func dialHandler(service http.Handler) net.Conn {
	ours, theirs := net.Pipe()
	go serveConn(service, theirs)
	return ours
}

// serveConn answers the calls on a connection, which is closed once the router has closed its end or a fault has ended it.
func serveConn(service http.Handler, c net.Conn) {
	srv := &http.Server{Handler: service} //nolint:gosec // no network
	l := &oneConn{conn: c, closed: make(chan struct{})}
	srv.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateClosed {
			l.Close()
		}
	}
	srv.Serve(l) //nolint:errcheck // ends with its connection
}

// oneConn is a listener with one connection.
type oneConn struct {
	conn   net.Conn
	taken  bool
	once   sync.Once
	closed chan struct{}
}

func (l *oneConn) Accept() (net.Conn, error) {
	if !l.taken {
		l.taken = true
		return l.conn, nil
	}
	<-l.closed
	return nil, errors.New("closed")
}
func (l *oneConn) Close() error   { l.once.Do(func() { close(l.closed) }); return nil }
func (l *oneConn) Addr() net.Addr { return &net.UnixAddr{} }

// change changes the list, which answers all open calls.
func (q *queuedService) change(drains bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.version, q.drains = q.version+1, drains
	close(q.changed)
	q.changed = make(chan struct{})
}

// fail breaks all open calls, and with lasting also those that come until heal.
func (q *queuedService) fail(f serviceFault, lasting bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.fault, q.lasting = f, lasting
	close(q.broken)
	q.broken = make(chan struct{})
}

// heal ends a lasting fault for calls that come from now on.
func (q *queuedService) heal() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lasting = false
}

// takeTurn records a call. It returns how long it has to wait for its turn, and whether that is too long.
func (q *queuedService) takeTurn(c serviceCall) (wait time.Duration, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := c.at
	q.calls = append(q.calls, c)
	if q.freeAt.Before(now) {
		q.freeAt = now
	}
	if q.freeAt.Sub(now) > q.maxWait {
		return 0, false
	}
	q.freeAt = q.freeAt.Add(q.workTime)
	return q.freeAt.Sub(now), true
}

// ServeHTTP answers a call for the list, or a watch.
func (q *queuedService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q.mu.Lock()
	broken, fault, changed, version, drains := q.broken, noFault, q.changed, q.version, q.drains
	if q.lasting {
		fault = q.fault
	}
	q.mu.Unlock()
	if fault != noFault {
		q.breakCall(r, fault)
		return
	}
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		after = -1
	}
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("wait_ms")) //nolint:errcheck // no wait
	c := serviceCall{router: r.Host, at: time.Now(), wait: time.Duration(waitMS) * time.Millisecond, knows: drains && after == version}
	turn, ok := q.takeTurn(c)
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	// Not time.After: a channel timer that expires before it is received from crashes the race detector in a bubble of
	// synctest, as its receiver runs it beside the timers of the bubble, on their race context.
	open, done := context.WithTimeout(r.Context(), max(turn, c.wait))
	defer done()
	time.Sleep(turn)
	if after == version {
		select {
		case <-changed:
		case <-open.Done():
		case <-broken:
			q.breakCall(r, q.breakPoll(c))
			return
		}
	}
	time.Sleep(q.delay)
	json.NewEncoder(w).Encode(q.list(after)) //nolint:errcheck // the router may have left
}

// list returns what has changed since a version.
func (q *queuedService) list(after int64) List {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := List{Version: q.version, Full: after < 0, Servers: []Entry{}}
	state := "active"
	if q.drains {
		state = "leaving"
	}
	if after < q.version {
		l.Servers = append(l.Servers, Entry{ID: drainingID, Addr: "127.0.0.1:1", State: state})
	}
	return l
}

// breakPoll records that an open poll is broken, and returns by which fault.
func (q *queuedService) breakPoll(c serviceCall) serviceFault {
	q.mu.Lock()
	defer q.mu.Unlock()
	if c.at.After(q.brokenPolls[c.router].at) {
		q.brokenPolls[c.router] = c
	}
	return q.fault
}

// breakCall ends a call by a fault.
func (q *queuedService) breakCall(r *http.Request, f serviceFault) {
	if f == silent {
		<-r.Context().Done()
		return
	}
	panic(http.ErrAbortHandler)
}

// countCalls counts the calls in a time of routers that know of the drain or do not, and the most of them in any second.
func (q *queuedService) countCalls(from, to time.Time, knows bool) (n, peak int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	var recent []time.Time
	for _, c := range q.calls {
		if c.at.Before(from) || !c.at.Before(to) || c.knows != knows {
			continue
		}
		n++
		recent = append(recent, c.at)
		for c.at.Sub(recent[0]) >= time.Second {
			recent = recent[1:]
		}
		peak = max(peak, len(recent))
	}
	return n, peak
}

// brokenPoll returns the open poll of a router that was broken last, if there is one.
func (q *queuedService) brokenPoll(router string) (c serviceCall, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	c, ok = q.brokenPolls[router]
	return c, ok
}

// tierRouter is the part of a router that asks for lists: a client of discovery and the decision when to ask.
type tierRouter struct {
	decide.Host // without the methods of requests

	host         string // by which the service knows it
	began        time.Time
	discovery    *Discovery
	mu           sync.Mutex
	balancer     *decide.Balancer
	housekeeping *time.Timer
	drainedAt    time.Time // when it learned that the server drains
}

func (r *tierRouter) now() float64 {
	return 1e5 + float64(time.Since(r.began))/float64(time.Millisecond)
}
func (r *tierRouter) WatchList()             { r.discovery.RequestWatch() }
func (r *tierRouter) Log(string)             {}
func (r *tierRouter) Close(uint32)           {}
func (r *tierRouter) Probe(uint32)           {}
func (r *tierRouter) Broadcast([]byte)       {}
func (r *tierRouter) Refuse(uint32, float64) {}

// Timer implements decide.Host.
func (r *tierRouter) Timer(after float64, token uint64) {
	r.housekeeping = time.AfterFunc(time.Duration(after*float64(time.Millisecond)), func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.balancer.Timer(r.now(), token)
	})
}

// list takes what discovery has answered.
func (r *tierRouter) list(kind decide.ListKind, l List) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var entries []decide.Entry
	for _, e := range l.Servers {
		if e.State == "leaving" && r.drainedAt.IsZero() {
			r.drainedAt = time.Now()
		}
		entry, err := e.BalancerEntry()
		if err != nil {
			panic(err)
		}
		entries = append(entries, entry)
	}
	r.balancer.Servers(r.now(), kind, entries)
}

// playTier runs the routers of a tier, which hold the first list, against a discovery service, for as long as play takes,
// and returns them.
func playTier(t *testing.T, routers int, service *queuedService, play func()) []*tierRouter {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	var running sync.WaitGroup
	tier := make([]*tierRouter, routers)
	for i := range tier {
		tier[i] = newTierRouter(t, i, routers, service)
		running.Go(func() { tier[i].discovery.Run(ctx) })
	}
	play()
	stop()
	running.Wait()
	for _, r := range tier {
		r.mu.Lock()
		r.housekeeping.Stop()
		r.mu.Unlock()
	}
	time.Sleep(time.Minute) // the service's ends of the connections
	return tier
}

func newTierRouter(t *testing.T, number, routers int, service *queuedService) *tierRouter {
	t.Helper()
	r := &tierRouter{host: fmt.Sprintf("discovery-of-%d:1", number), began: time.Now()}
	cfg := decide.Config{AskList: true, Routers: routers, MustAsk: 10000, MaxAttempts: 5, Cold: 8000, ColdFrom: 0.3, FallMult: 2.5, FallFor: 3000,
		Classes: []decide.Class{{Name: "read", Aim: 500, Deadline: 2000, Worth: 1}}}
	b, err := decide.New(cfg, uint64(number), r)
	if err != nil {
		t.Fatal(err)
	}
	r.balancer = b
	r.discovery = NewDiscovery(r.host, true, 1, func(l List) {
		kind := decide.Changes
		if l.Full {
			kind = decide.Full
		}
		r.list(kind, l)
	}, func() { r.list(decide.ListFailed, List{}) })
	r.discovery.client.Transport.(*http.Transport).DialContext = service.dial //nolint:forcetypeassert // it is one
	r.list(decide.Restored, List{Version: 1, Full: true, Servers: []Entry{{ID: drainingID, Addr: "127.0.0.1:1", State: "active"}}})
	return r
}

// tierSizes are the numbers of routers that share a discovery service in these tests.
var tierSizes = []int{1, 24, 30, 300}

// workOf returns the time that a service needs for a call that can answer one call of each router in three seconds, or
// 10 ms.
func workOf(routers int) time.Duration {
	return min(10*time.Millisecond, 3*time.Second/time.Duration(routers))
}

const (
	settledAfter = 15 * time.Second // until all routers of a tier have begun to watch
	usualCalls   = 30 * time.Second // for which their calls are counted then
	outage       = 8 * time.Second  // of discovery
)

// discoveryTrouble is what becomes of discovery before a server drains.
type discoveryTrouble struct {
	name    string
	woken   bool // a change has woken all routers just before
	fault   serviceFault
	lasting bool          // until the length is over
	length  time.Duration // from the fault to the drain
}

var discoveryTroubles = []discoveryTrouble{
	{name: "watches fall silent", fault: silent, length: 500 * time.Millisecond},
	{name: "watches fall silent together", woken: true, fault: silent, length: 500 * time.Millisecond},
	{name: "watches are reset", fault: reset, length: 100 * time.Millisecond},
	{name: "away", fault: refused, lasting: true, length: outage},
	{name: "away for long", fault: refused, lasting: true, length: 10 * outage},
	{name: "cut off", fault: silent, lasting: true, length: outage},
}

// Guards against requests at servers that drain, which a router goes on sending as it learns of the drain too late: its
// watch of discovery has fallen silent or was reset, or discovery was away or cut off and is back. In a tier of any size,
// and without all routers calling at once.
func TestDrainIsKnownInTimeWhateverBecomesOfDiscovery(t *testing.T) {
	for _, trouble := range discoveryTroubles {
		for _, routers := range tierSizes {
			t.Run(fmt.Sprintf("%s/%d routers", trouble.name, routers), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { playDrain(t, trouble, routers) })
			})
		}
	}
}

// playDrain has a server drain behind a trouble of discovery.
func playDrain(t *testing.T, trouble discoveryTrouble, routers int) {
	t.Helper()
	service := newQueuedService(workOf(routers))
	var settled, broke, drained time.Time
	tier := playTier(t, routers, service, func() {
		time.Sleep(settledAfter)
		settled = time.Now()
		time.Sleep(usualCalls)
		if trouble.woken {
			service.change(false)
			time.Sleep(workOf(routers) * time.Duration(routers))
		}
		broke = time.Now()
		service.fail(trouble.fault, trouble.lasting)
		time.Sleep(trouble.length)
		service.heal()
		drained = time.Now()
		service.change(true)
		time.Sleep(2 * usualCalls)
	})
	late, latest := 0, time.Duration(math.MinInt64)
	for _, r := range tier {
		announced := drained.Add(announcedWithin)
		if trouble.fault == silent && !trouble.lasting {
			announced = broke.Add(announcedWithin)
			if poll, ok := service.brokenPoll(r.host); ok && poll.at.Add(poll.wait+announcedAfterWait).After(announced) {
				announced = poll.at.Add(poll.wait + announcedAfterWait)
			}
		}
		after := r.drainedAt.Sub(announced)
		if r.drainedAt.IsZero() {
			after = time.Hour
		}
		if latest = max(latest, after); after > drainGrace {
			late++
		}
	}
	usual, usualPeak := service.countCalls(settled, settled.Add(usualCalls), false)
	again, peak := service.countCalls(broke, broke.Add(time.Hour), false)
	t.Logf("calls a second: %.2f usually, at most %d in one; %d calls from the trouble on until all know of the drain, at most %d in a second; known up to %v behind the bound",
		float64(usual)/usualCalls.Seconds(), usualPeak, again, peak, latest)
	if late > 0 {
		t.Errorf("%d of %d routers know of the drain later than the grace allows, up to %v behind the bound", late, routers, latest)
	}
	if routers >= 24 && peak > 3*routers/4 {
		t.Errorf("%d of %d routers call within a second", peak, routers)
	}
}

// Guards against requests at servers that drain, sent by routers that have started anew: they hold a list from before the
// drain, and ask for a new one too late.
func TestDrainIsKnownInTimeAfterAStart(t *testing.T) {
	for _, routers := range tierSizes {
		t.Run(fmt.Sprintf("%d routers", routers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				service := newQueuedService(workOf(routers))
				service.change(true)
				began := time.Now()
				for _, r := range playTier(t, routers, service, func() { time.Sleep(settledAfter) }) {
					if took := r.drainedAt.Sub(began); r.drainedAt.IsZero() || took > announcedWithin+drainGrace {
						t.Errorf("%s knows of the drain after %v", r.host, took)
					}
				}
			})
		})
	}
}

// Guards against a router that never gets a list, as it gives up each call of a discovery service that takes long for its
// answers.
func TestServiceThatTakesLongIsHeard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := newQueuedService(workOf(1))
		service.delay = 8 * time.Second
		service.change(true)
		for _, r := range playTier(t, 1, service, func() { time.Sleep(time.Minute) }) {
			if r.drainedAt.IsZero() {
				t.Error("no list in a minute")
			}
		}
	})
}

// Guards against a full list that is asked for, and a poll that is ended, by the late answer to a call that was repeated
// meanwhile: it is older than the answer to the repetition.
func TestLateAnswerToARepeatedCallIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		var queries []string
		service := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			queries = append(queries, r.URL.RawQuery)
			call := len(queries)
			mu.Unlock()
			switch call {
			case 1:
				time.Sleep(8 * time.Second) // repeated meanwhile
				fmt.Fprint(w, `{"version":2,"servers":[]}`)
			case 2:
				fmt.Fprint(w, `{"version":3,"servers":[]}`)
			default:
				<-r.Context().Done()
			}
		})
		d := NewDiscovery("discovery:1", true, 1, func(List) {}, func() {})
		d.client.Transport.(*http.Transport).DialContext = func(context.Context, string, string) (net.Conn, error) { return dialHandler(service), nil } //nolint:forcetypeassert // it is one
		ctx, stop := context.WithCancel(t.Context())
		var running sync.WaitGroup
		d.RequestWatch()
		running.Go(func() { d.Run(ctx) })
		time.Sleep(10 * time.Second)
		stop()
		running.Wait()
		time.Sleep(time.Minute) // the service's ends of the connections
		mu.Lock()
		defer mu.Unlock()
		if len(queries) != 3 {
			t.Errorf("calls %q, want a short poll, its repetition and a long poll", queries)
		}
	})
}
