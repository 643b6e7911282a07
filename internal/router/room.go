package router

import (
	"context"
	"errors"
	"log/slog"
	"runtime/debug"
	"time"

	"mossproxy.example/mossproxy/decide"
	"mossproxy.example/mossproxy/internal/backend"
	"mossproxy.example/mossproxy/internal/engine"
)

// half is the part of its room that a process keeps while another one takes over from it.
const half = 0.5

// leastPart is what the new one of two has at least: the old one's connections with requests open end within a deadline.
const leastPart = 0.05

// room is what a pool may use of descriptors and memory.
type room struct {
	pools []*backend.Pool
	links int     // connections to servers that each may have
	part  float64 // in use; the drainer's goroutine's
}

// share has the pool use a part of its room, with so many processes of the router alive. It returns when that holds, or ctx ends; what is
// over the part then goes as requests end.
func (d *drainer) share(ctx context.Context, part float64, processes int) error {
	for _, p := range d.room.pools {
		p.SetLimit(int(float64(d.room.links) * part))
	}
	for _, r := range d.rs {
		r.Post(func() { r.SetProcesses(processes) })
		for _, b := range []*engine.Budget{&r.HeldBytes, &r.QueuedBytes} {
			b.SetLimit(int64(float64(b.Limit()) * part / d.room.part))
		}
	}
	d.room.part = part
	var err error
	for _, f := range d.fronts {
		err = errors.Join(err, f.SetUsableShare(ctx, part))
	}
	return err
}

// company are the other processes of the router that live, as this one knows.
type company struct {
	elder float64 // the part that this process began with beside the one before it; 0 = that is gone, or there was none
	heir  bool    // one that takes over from this one
}

// part is what this process may use of the limits, and processes how many share them.
func (c company) part() (part float64, processes int) {
	part, processes = 1, 1
	if c.elder > 0 {
		part, processes = c.elder, 2
	}
	if c.heir {
		part, processes = part*half, processes+1
	}
	return part, processes
}

// Yield has the process keep half of its room, and returns the part that a new one may use: less than the other half where requests
// still hold more than that.
func (c *Control) Yield(ctx context.Context) (part float64, err error) {
	if _, complete := c.all(); !complete {
		return 0, errors.New("this process has not begun to take clients")
	}
	part, err = c.with(ctx, func(o *company) { o.heir = true })
	switch {
	case errors.Is(err, ErrEnding):
		return 0, err
	case err != nil:
		slog.Warn("handover: room is still taken", "why", err)
		part = min(part, leastPart)
	}
	return max(part, leastPart), nil
}

// Beside tells that the process begins with a part of the limits, beside the one that it takes over from.
func (c *Control) Beside(part float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.company.elder = part
}

// ElderGone tells that the process which this one took over from is gone.
func (c *Control) ElderGone() { c.regain(func(o *company) { o.elder = 0 }) }

// Regain tells that the process which was to take over from this one is gone: nobody takes clients in its place.
func (c *Control) Regain() {
	c.regain(func(o *company) { o.heir = false })
	c.each(context.Background(), func(d *drainer, _ float64) error { d.m.SetSuccessor(false); return nil }) //nolint:errcheck // one that ends needs not know
}

func (c *Control) regain(change func(*company)) {
	if _, err := c.with(context.Background(), change); err != nil && !errors.Is(err, ErrEnding) {
		slog.Warn("handover: room is not back", "why", err)
	}
}

// with has the process use what it may once its company has changed.
func (c *Control) with(ctx context.Context, change func(*company)) (part float64, err error) {
	c.sharing.Lock() // one change after the other
	defer c.sharing.Unlock()
	c.mu.Lock()
	change(&c.company)
	part, processes := c.company.part()
	c.mu.Unlock()
	c.memory(part)
	return part, c.each(ctx, func(d *drainer, _ float64) error { return d.share(ctx, part, processes) })
}

// Followed tells that another process takes the clients.
func (c *Control) Followed() {
	c.each(context.Background(), func(d *drainer, _ float64) error { d.m.SetSuccessor(true); return nil }) //nolint:errcheck // one that ends needs not know
}

// memory has the collector keep the process within a part of what it had at its start.
func (c *Control) memory(part float64) {
	limit := c.limit
	if part < 1 { // where there is none, all of it is more than a number of bytes can be
		limit = int64(float64(limit) * part)
	}
	debug.SetMemoryLimit(limit)
}

// ServesWithin waits until clients may be sent here, or ctx ends.
func (c *Control) ServesWithin(ctx context.Context) error {
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for !c.Ready() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// begin gives the engines what the process before has handed over, or the list that the configuration remembers.
func (rs engines) begin(cfg Setup) {
	for i, r := range rs {
		r.Post(func() {
			if len(cfg.Handed) == len(rs) {
				err := r.ImportState(cfg.Handed[i])
				if err == nil {
					return
				}
				slog.Warn("handover: the list is not taken", "why", err)
			}
			r.list(decide.Restored, cfg.Known)
		})
	}
}

// Hand is what the engines of all pools have to hand over, by pool. It returns when ctx ends at the latest, with nothing.
func (c *Control) Hand(ctx context.Context) (out [][]engine.HandoverState) {
	pools, _ := c.all()
	for _, d := range pools {
		var of []engine.HandoverState
		for _, r := range d.rs {
			got := make(chan engine.HandoverState, 1)
			r.Post(func() { got <- r.ExportState() })
			select {
			case h := <-got:
				of = append(of, h)
			case <-ctx.Done():
				return nil
			}
		}
		out = append(out, of)
	}
	return out
}
