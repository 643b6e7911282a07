package soak

import (
	"context"
	"time"
)

const (
	comeAgainNumber   = 5                      // requests that come again in one fault
	comeAgainInterval = 200 * time.Millisecond // between them
	leaveAfter        = 60 * time.Millisecond  // when their clients leave
)

// comeAgain has unsafe requests come again with their ids, after their clients have left without an answer.
func (w *world) comeAgain(ctx context.Context, f Fault) {
	g := w.groups[f.Target]
	for range comeAgainNumber {
		r := g.write()
		if c := g.send(true, r); c != nil {
			waited(ctx, leaveAfter)
			c.leave()
			w.sendAgain(ctx, g, c.process, r)
		}
		if !waited(ctx, comeAgainInterval) {
			return
		}
	}
}

// sendAgain sends a request once more to the process that had it, unless it was answered before its client left.
// Another process of no upgrade does not know what this one has sent.
func (w *world) sendAgain(ctx context.Context, g *clientGroup, p *process, r *Request) {
	if !waited(ctx, leaveAfter) {
		return
	}
	c, err := g.conn(true)
	if err != nil {
		return
	}
	again := false
	w.ledger.update(func() {
		if again = !r.Left.IsZero() && c.process == p; again {
			r.Left = time.Time{} // another client has come
			w.ledger.cameAgain++
		}
	})
	if again {
		c.write(r)
	}
}
