package router

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"mossproxy.example/mossproxy/decide"
	"mossproxy.example/mossproxy/internal/engine"
	"mossproxy.example/mossproxy/internal/front"
	"mossproxy.example/mossproxy/internal/pure/drain"
)

// ErrEnding is the answer to who would change a router that has been told to end.
var ErrEnding = errors.New("this process is ending")

// Control is how operators reach the pools of a process. Its methods may be called from any goroutine.
type Control struct {
	mu      sync.Mutex
	want    int // pools that are to come
	pools   []*drainer
	limit   int64      // of memory, as the process began
	company company    // guarded by mu
	sharing sync.Mutex // held while room is given and taken
}

// NewControl is for a process of as many pools, whose memory limit is set.
func NewControl(pools int) *Control { return &Control{want: pools, limit: debug.SetMemoryLimit(-1)} }

// add makes a pool known that has begun to take clients.
func (c *Control) add(d *drainer) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pools = append(c.pools, d)
}

// all are the pools that take clients, and whether those are all there are.
func (c *Control) all() (pools []*drainer, complete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.pools), len(c.pools) == c.want
}

// Ready says whether clients may be sent to every pool.
func (c *Control) Ready() bool {
	pools, complete := c.all()
	return complete && !slices.ContainsFunc(pools, func(d *drainer) bool { return !d.ready() })
}

// Counts are the figures of all pools.
func (c *Control) Counts() (sum engine.Counts) {
	pools, _ := c.all()
	for _, d := range pools {
		sum.Add(d.counts())
	}
	return sum
}

// Demands is what has come to each pool, by worth, in the order in which they began to take clients.
func (c *Control) Demands() (out []Demand) {
	pools, _ := c.all()
	for _, d := range pools {
		out = append(out, Demand{Pool: d.pool, Demand: d.counts().Arrivals})
	}
	return out
}

// Demand is what has come to a pool.
type Demand struct {
	Pool string
	decide.Demand
}

// Line tells a pool what the fleet serves while it can't serve all, until a time.
func (c *Control) Line(pool string, l decide.AdmissionThreshold, until time.Time) {
	pools, _ := c.all()
	for _, d := range pools {
		if d.pool == pool {
			d.rs.each(func(r *router) {
				if err := r.SetAdmissionThreshold(l, until); err != nil {
					slog.Error("what is told of the line of worth is not taken", "pool", pool, "err", err)
				}
			})
		}
	}
}

// OutOfService has every pool send its clients away, and returns when that is in force.
func (c *Control) OutOfService(ctx context.Context) error {
	return c.each(ctx, func(d *drainer, now float64) error { d.m.TakeOutOfService(now); return nil })
}

// InService ends that, and returns when it is in force.
func (c *Control) InService(ctx context.Context) error {
	return c.each(ctx, func(d *drainer, _ float64) error {
		if !d.m.PutInService() {
			return ErrEnding
		}
		return nil
	})
}

// each has something done by every pool.
func (c *Control) each(ctx context.Context, do func(*drainer, float64) error) error {
	pools, complete := c.all()
	if !complete {
		return errors.New("this process has not begun to take clients")
	}
	var err error
	for _, d := range pools {
		err = errors.Join(err, d.ask(ctx, do))
	}
	return err
}

// drainer carries out for the fronts of a pool what the machine settles. Its goroutine alone uses the machine.
type drainer struct {
	pool   string
	m      drain.Machine
	bounds drain.Bounds // as the engines have them
	rs     engines
	fronts []*front.ConnManager
	room   room
	now    func() float64 // one clock for all that the machine hears
	calls  chan func()
	over   chan struct{} // closed when nobody is taken any more
}

func newDrainer(pool string, grace time.Duration, rs engines, fronts []*front.ConnManager, room room) *drainer {
	return &drainer{pool: pool, m: drain.Machine{Grace: float64(grace) / float64(time.Millisecond)}, bounds: drain.Unbounded(), rs: rs, fronts: fronts, room: room,
		now: unixMS(), calls: make(chan func()), over: make(chan struct{})}
}

// run acts on the machine until it closes. ctx tells the process to end.
func (d *drainer) run(ctx context.Context) {
	defer close(d.over)
	end := ctx.Done()
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	for {
		at := d.now()
		d.apply(at)
		if d.m.Phase(at) == drain.Closing {
			return
		}
		alarm.Reset(time.Duration(min(d.m.NextChange(at)-at, 3.6e6) * float64(time.Millisecond)))
		select {
		case <-end:
			end = nil
			d.m.BeginShutdown(d.now(), float64(d.rs.longest())/float64(time.Millisecond))
		case call := <-d.calls:
			call()
		case <-alarm.C:
		}
	}
}

// apply has the fronts do what holds at a time.
func (d *drainer) apply(now float64) {
	phase, invites := d.m.Phase(now), d.m.ShouldAdvertise(now)
	d.limitRequests(now)
	for _, f := range d.fronts {
		f.SetAdvertised(invites, phase == drain.Serving)
		if phase >= drain.Draining {
			f.StartDraining(d.drainLimits(now))
		} else {
			f.StopDraining()
		}
	}
}

// limitRequests has the engines apply the bounds that hold at a time.
func (d *drainer) limitRequests(now float64) {
	bounds := d.m.Bounds(now)
	if bounds == d.bounds {
		return
	}
	d.bounds = bounds
	for _, r := range d.rs {
		r.SetAdmission(bounds.Shift(r.Now() - d.now()))
	}
}

// drainLimits returns the limits of a pool that drains or ends.
func (d *drainer) drainLimits(now float64) front.DrainLimits {
	bounds := d.m.Bounds(now)
	return front.DrainLimits{CloseBy: d.wallTime(bounds.CloseBy), DeliverBy: d.wallTime(bounds.DeliverBy)}
}

// wallTime converts a time of the machine; zero = never.
func (d *drainer) wallTime(at float64) time.Time {
	if math.IsInf(at, 1) {
		return time.Time{}
	}
	return time.Now().Add(time.Duration((at - d.now()) * float64(time.Millisecond)))
}

// ask has something done by the drainer's goroutine, and returns when it is in force.
func (d *drainer) ask(ctx context.Context, do func(*drainer, float64) error) error {
	done := make(chan error, 1)
	call := func() {
		now := d.now()
		err := do(d, now)
		d.apply(now)
		done <- err
	}
	select {
	case d.calls <- call:
		return <-done
	case <-d.over:
		return ErrEnding
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ready says whether clients may be sent to the pool.
func (d *drainer) ready() bool {
	return !slices.ContainsFunc(d.fronts, func(f *front.ConnManager) bool { return !f.Ready() })
}

// counts are the figures of the pool, whose engines have one list. The router's own requests have a class that is none of the clients'.
func (d *drainer) counts() (sum engine.Counts) {
	known, avoided := 0, 0
	for _, r := range d.rs {
		c := r.Counts()
		known, avoided = max(known, c.KnownServers), max(avoided, c.AvoidedServers)
		c.Classes = slices.DeleteFunc(slices.Clone(c.Classes), func(k engine.ClassCounts) bool { return r.own(k.Class) })
		sum.Add(c)
	}
	sum.KnownServers, sum.AvoidedServers = known, avoided
	return sum
}
