package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"mossproxy.example/mossproxy/internal/member"
	"mossproxy.example/mossproxy/internal/standin"
)

// Build builds the router program into a folder.
func Build(ctx context.Context, dir string) (program string, err error) {
	program = filepath.Join(dir, "cottonyoke")
	out, err := exec.CommandContext(ctx, "go", "build", "-o", program, "mossproxy.example/mossproxy/cmd/cottonyoke").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("soak: building the router: %w: %s", err, out)
	}
	return program, nil
}

// world is a play that runs.
type world struct {
	plan      Plan
	program   string
	dir       string
	log       func(string, ...any)
	began     time.Time
	ledger    *Ledger
	caches    []*cacheServer
	origin    *origin
	directory *standin.Directory
	ids       atomic.Int64
	started   atomic.Int64 // processes so far

	mu        sync.Mutex
	groups    []*clientGroup
	replacing map[int]bool // routers whose process is being replaced
	draining  map[int]bool
	processes []*process

	discoveryBack time.Time // when discovery last came back
	silentUntil   time.Time // when routers count as notified of what their silent watches have missed
	problems      []Violation
	wg            sync.WaitGroup // faults
}

// newWorld returns a play that has not started. Its ids are those of no play of another process on this machine, whose
// routers may reach a server here, at a port that was theirs.
func newWorld(plan Plan, program, dir string, log func(string, ...any)) *world {
	w := &world{plan: plan, program: program, dir: dir, log: log, ledger: NewLedger(), replacing: map[int]bool{}, draining: map[int]bool{}}
	w.ids.Store(int64(os.Getpid()) << idBits)
	return w
}

// idBits is how many bits of an id count the requests of a play.
const idBits = 20

// Play plays a plan with a router program and gives what was found. dir is for configurations; log may be nil.
func Play(ctx context.Context, program, dir string, plan Plan, log func(string, ...any)) (Report, error) {
	if log == nil {
		log = func(string, ...any) {}
	}
	w := newWorld(plan, program, dir, log)
	defer w.close()
	if err := w.start(); err != nil {
		return Report{}, err
	}
	w.run(ctx)
	r := w.ledger.Check(w.plan.settings)
	r.Violations = append(r.Violations, w.problems...)
	r.Checked[Empty] = w.ledger.emptyChecks
	r.Traces = w.traces(r.Violations)
	for _, p := range w.processes {
		r.Checked[Process]++
		r.Checked[SelfCheck]++
		if err := p.crash(); err != nil {
			r.Violations = append(r.Violations, Violation{Process, p.name, err.Error()})
		}
		for _, line := range p.guardReports() {
			r.Violations = append(r.Violations, Violation{SelfCheck, p.name, line})
		}
	}
	return r, nil
}

// maxTraces bounds the log lines of a report.
const maxTraces = 200

// traces are the log lines of the requests of violations.
func (w *world) traces(of []Violation) (out []string) {
	for _, v := range of {
		for _, p := range w.processes {
			for _, line := range p.log() {
				if strings.Contains(line, "request="+v.Request+" ") && len(out) < maxTraces {
					out = append(out, p.name+": "+line)
				}
			}
		}
	}
	return out
}

// start starts servers, discovery and routers.
func (w *world) start() (err error) {
	for i := range w.plan.Servers {
		s, err := startCacheServer(w.ledger, fmt.Sprintf("s-%08x", 0x5be2a000+i), w.plan.Seed+uint64(i))
		if err != nil {
			return err
		}
		s.slow = w.plan.settings.slow()
		w.caches = append(w.caches, s)
	}
	if w.origin, err = startOrigin(w.ledger, w.plan.Seed); err != nil {
		return err
	}
	first := member.List{Version: 1, Full: true}
	for i := range w.caches {
		first.Servers = append(first.Servers, w.entry(i, "active"))
	}
	first.Servers = append(first.Servers, member.Entry{ID: "s-000000ff", Addr: w.origin.addr, Zone: "a", Kind: "origin", State: "active", Weight: 1})
	if w.directory, err = standin.StartDirectory(first); err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	for i := range w.plan.Routers {
		p, err := w.launch(i)
		if err != nil {
			return err
		}
		g := &clientGroup{ledger: w.ledger, router: i, classes: w.plan.settings.Classes, ids: &w.ids, keys: 60, process: p, all: map[*clientConn]struct{}{},
			rng: rand.New(rand.NewPCG(w.plan.Seed, uint64(1000+i)))}
		w.groups = append(w.groups, g)
	}
	return nil
}

func (w *world) entry(i int, state string) member.Entry {
	s := w.caches[i]
	s.mu.Lock()
	defer s.mu.Unlock()
	e := member.Entry{ID: s.id, Addr: s.addr, Zone: "a", Kind: "box", State: state, Weight: 1}
	if !s.started.IsZero() {
		e.Started = float64(s.started.UnixMilli())
	}
	return e
}

// launch starts a process for a router and waits until clients may be sent to it.
func (w *world) launch(i int) (*process, error) {
	name := fmt.Sprintf("r%02d-%d", i, w.started.Add(1))
	p, err := startProcess(w.program, w.dir, name, w.directory.Listener.Addr().String(), w.plan.settings, i)
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.processes = append(w.processes, p)
	w.mu.Unlock()
	return p, w.ready(p)
}

// ready waits until a process answers that it is.
func (w *world) ready(p *process) error {
	end := time.Now().Add(startWithin)
	for time.Now().Before(end) {
		if c, err := net.DialTimeout("tcp", p.addr, time.Second); err == nil {
			c.SetDeadline(time.Now().Add(time.Second))
			c.Write([]byte("mn\r\n")) //nolint:errcheck // the read fails too
			b := make([]byte, 2)
			_, err = c.Read(b)
			c.Close()
			if err == nil && string(b) == "MN" {
				return nil
			}
		}
		select {
		case <-p.ended:
			return errors.New("soak: " + p.name + " ended before it was ready")
		case <-time.After(20 * time.Millisecond):
		}
	}
	return fmt.Errorf("soak: %s is not ready within %v", p.name, startWithin)
}

// run has clients send while faults happen, and waits until all that was sent has had its time.
func (w *world) run(ctx context.Context) {
	w.began = time.Now()
	watched, unwatch := context.WithCancel(ctx)
	defer unwatch()
	var load, late sync.WaitGroup
	late.Go(func() { w.ledger.watchLateness(watched) })
	sending, stop := context.WithTimeout(ctx, w.plan.Length)
	defer stop()
	for _, g := range w.groups {
		load.Go(func() { g.run(sending, w.plan) })
	}
	for _, f := range w.plan.Faults {
		w.wg.Go(func() {
			if waited(ctx, time.Until(w.began.Add(f.At))) {
				w.cause(ctx, f)
			}
		})
	}
	load.Wait()
	w.wg.Wait()
	waited(ctx, w.longest()+answerTime)
	for _, g := range w.groups {
		g.end()
	}
	unwatch()
	late.Wait()
}

// longest is the longest deadline of a request.
func (w *world) longest() (d time.Duration) {
	for _, c := range w.plan.settings.Classes {
		d = max(d, c.Deadline)
	}
	return d
}

func (w *world) problem(rule Invariant, who string, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.problems = append(w.problems, Violation{rule, who, err.Error()})
}

// cause causes a fault and ends it.
func (w *world) cause(ctx context.Context, f Fault) {
	w.log("%v", f)
	switch f.Kind {
	case CacheMode, CacheTwice:
		w.caches[f.Target].set(f.Mode)
		waited(ctx, f.For)
		w.caches[f.Target].set(Normal)
	case OriginMode, OriginTwice:
		w.origin.set(f.Mode)
		waited(ctx, f.For)
		w.origin.set(Normal)
	case CacheDown:
		s := w.caches[f.Target]
		s.die()
		waited(ctx, f.For)
		w.restart(f.Target)
	case CloseIdle:
		w.caches[f.Target].closeAll()
	case DrainServer:
		w.drain(ctx, f)
	case SilentWatches:
		w.silenceWatches()
	case DiscoveryDown:
		w.directory.Down(true)
		waited(ctx, f.For)
		w.directory.Down(false)
		w.update(func() { w.discoveryBack = time.Now() })
	default:
		w.troubleRouter(ctx, f)
	}
}

// restart has a cache server that died come back, cold, which discovery tells.
func (w *world) restart(i int) {
	s := w.caches[i]
	if err := s.listen(s.addr); err != nil {
		if !errors.Is(err, syscall.EADDRINUSE) { // two faults had it die
			w.problem(Process, "harness", err)
		}
		return
	}
	at := time.Now()
	s.mu.Lock()
	s.started = at
	s.mu.Unlock()
	e := w.entry(i, "active")
	w.mu.Lock()
	if w.draining[i] {
		e.State = "leaving"
	}
	w.mu.Unlock()
	w.directory.Change(e)
	w.ledger.start(s.id, at, w.notified().Add(routersSettle))
}

// routersSettle is for how long after the notification of a start what routers had sent before may still count.
const routersSettle = time.Second

// drain has a server drain for a while.
func (w *world) drain(ctx context.Context, f Fault) {
	s := w.caches[f.Target]
	w.mu.Lock()
	busy := w.draining[f.Target] || len(w.draining) > 0 // two of few would leave too little
	w.draining[f.Target] = true
	w.mu.Unlock()
	if busy {
		return
	}
	w.directory.Change(w.entry(f.Target, "leaving"))
	w.ledger.drain(s.id, w.notified())
	waited(ctx, 2*time.Second+f.For)
	w.ledger.undrain(s.id)
	w.directory.Change(w.entry(f.Target, "active"))
	w.mu.Lock()
	delete(w.draining, f.Target)
	w.mu.Unlock()
}

// notifiedWithin is how long after discovery could be reached again a change counts as notified, whether or not it arrived.
const notifiedWithin = 6 * time.Second

// notified is when routers count as notified of a change that discovery has had just now.
func (w *world) notified() time.Time {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if back := w.discoveryBack.Add(notifiedWithin); back.After(now) {
		return back
	}
	if w.silentUntil.After(now) {
		return w.silentUntil
	}
	for _, f := range w.plan.Faults {
		from := w.began.Add(f.At)
		if f.Kind == DiscoveryDown && !now.Before(from) && now.Before(from.Add(f.For)) {
			return from.Add(f.For + notifiedWithin)
		}
	}
	return now
}

// update changes what faults share.
func (w *world) update(do func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	do()
}

// process is the process that new clients of a router go to.
func (w *world) process(i int) *process {
	return w.groups[i].current()
}

// troubleRouter causes a fault at a router.
func (w *world) troubleRouter(ctx context.Context, f Fault) {
	p := w.process(f.Target)
	if p == nil { // it was killed, and its successor is not ready
		return
	}
	switch f.Kind {
	case HoldUp:
		p.signal(syscall.SIGSTOP)
		waited(ctx, f.For)
		p.signal(syscall.SIGCONT)
	case Reload:
		p.signal(syscall.SIGHUP)
	case Crowd:
		w.crowd(ctx, f, p)
	case HalfRequests:
		w.halfRequests(ctx, p)
	case OutOfService:
		w.takeOutOfService(ctx, f, p)
	case LoudClients:
		w.loud(ctx, f, p)
	case ComeAgain:
		w.comeAgain(ctx, f)
	default:
		w.replace(ctx, f, p)
	}
}

// reserve has a router replaced or taken out of service by one fault at a time; ok is false where another one
// has it.
func (w *world) reserve(router int) (release func(), ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.replacing[router] {
		return nil, false
	}
	w.replacing[router] = true
	return func() { w.update(func() { w.replacing[router] = false }) }, true
}

// replace ends a process in one of the ways there are, and starts another in its place.
func (w *world) replace(ctx context.Context, f Fault, p *process) {
	release, ok := w.reserve(f.Target)
	if !ok {
		return
	}
	defer release()
	if f.Kind == Crash {
		g := w.groups[f.Target]
		g.use(nil)
		p.crashNow()
		w.succeed(f.Target, g)
		return
	}
	w.terminate(ctx, f, p)
}

// terminate tells a process to end, has another take its place, and kills it at the earliest time.
func (w *world) terminate(ctx context.Context, f Fault, p *process) {
	p.term()
	if f.Kind == SignalSeries {
		waited(ctx, 20*time.Millisecond)
		p.signal(syscall.SIGHUP)
		waited(ctx, 25*time.Millisecond)
		p.signal(syscall.SIGTERM)
	}
	since, _ := p.terminating()
	w.wg.Go(func() {
		time.Sleep(newConnectionsFor / 2)
		w.succeed(f.Target, w.groups[f.Target])
	})
	select {
	case <-p.ended:
	case <-time.After(time.Until(since.Add(w.longest() + killAfter))):
		p.kill()
	}
}

// killAfter is how long after SIGTERM and the longest deadline SIGKILL comes at the earliest.
const killAfter = 700 * time.Millisecond

// succeed has a new process take the clients of a router.
func (w *world) succeed(i int, g *clientGroup) {
	p, err := w.launch(i)
	if err != nil {
		w.problem(Process, fmt.Sprintf("router %d", i), err)
		return
	}
	g.use(p)
}

// crowdSize is how many idle connections come; routers have 512 descriptors.
const crowdSize = 300

// crowd has idle clients fill the descriptors of a router for a while.
func (w *world) crowd(ctx context.Context, f Fault, p *process) {
	g := w.groups[f.Target]
	g.setCrowd(true)
	defer g.setCrowd(false)
	var open []net.Conn
	for range crowdSize {
		c, err := net.DialTimeout("tcp", p.addr, 200*time.Millisecond)
		if err != nil {
			break
		}
		open = append(open, c)
	}
	waited(ctx, f.For)
	for _, c := range open {
		c.Close()
	}
}

// halfRequests has clients stop in the middle of a request and stay. They are deferredCopy an error or a close within three seconds.
func (w *world) halfRequests(ctx context.Context, p *process) {
	for _, text := range []string{"mg 00", "ms 0000000000000001 5 Ozz Pc=put,t=t,d=500,k=1\r\nva"} {
		c, err := net.DialTimeout("tcp", p.addr, time.Second)
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := c.Write([]byte(text)); err != nil {
			return
		}
		began := time.Now()
		c.SetReadDeadline(began.Add(badClientWithin + time.Second))
		_, err = c.Read(make([]byte, 1))
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() && ctx.Err() == nil {
			w.problem(Answer, p.name, fmt.Errorf("half a request got neither error nor close within %v", time.Since(began)))
		}
	}
}

// badClientWithin is for how long a bad client may wait for its error.
const badClientWithin = 3 * time.Second

// close ends all that was started.
func (w *world) close() {
	for _, p := range w.processes {
		p.kill()
	}
	for _, s := range w.caches {
		s.close()
	}
	if w.origin != nil {
		w.origin.close()
	}
	if w.directory != nil {
		w.directory.Close()
	}
}
