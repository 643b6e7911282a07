package soak

import (
	"context"
	"slices"
	"time"
)

// Lateness measures how late this process itself is scheduled, so that a machine without a free core is not taken for a router
// that is late. The ledger guards it.
type Lateness struct{ spells []spell }

// spell is a time within which the process was late.
type spell struct {
	from, to time.Time
	late     time.Duration
}

const (
	latenessStep  = 5 * time.Millisecond  // between two looks
	latenessLeast = 15 * time.Millisecond // a look that comes later than this is recorded
)

// watch measures until ctx ends.
func (l *Ledger) watchLateness(ctx context.Context) {
	tick := time.NewTicker(latenessStep)
	defer tick.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := time.Now()
		if late := now.Sub(last) - latenessStep; late > latenessLeast {
			l.update(func() { l.lateness.spells = append(l.lateness.spells, spell{last, now, late}) })
		}
		last = now
	}
}

// around is how late the process was around a time, zero where it was in time.
func (l *Lateness) around(at time.Time) time.Duration {
	for _, s := range slices.Backward(l.spells) {
		if s.to.Before(at.Add(-latenessStep)) {
			return 0
		}
		if !s.from.After(at) {
			return s.late
		}
	}
	return 0
}
