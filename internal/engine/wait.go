package engine

import (
	"log/slog"
	"time"
)

// WaitBounds are the upper bounds of the buckets of WaitCounts.
var WaitBounds = [...]time.Duration{time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond}

// WaitCounts count how long batches of events have waited for the engine's turn: a router whose processor is busy
// is late by itself, whatever its servers do.
type WaitCounts struct {
	Batches [len(WaitBounds) + 1]uint64 // by the bucket of their oldest event; the last has no bound
	Total   time.Duration
}

// Add adds the counts of another engine.
func (w *WaitCounts) Add(o WaitCounts) {
	for i, n := range o.Batches {
		w.Batches[i] += n
	}
	w.Total += o.Total
}

// note counts one batch.
func (w *WaitCounts) note(waited time.Duration) {
	w.Total += waited
	for i, bound := range WaitBounds {
		if waited <= bound {
			w.Batches[i]++
			return
		}
	}
	w.Batches[len(WaitBounds)]++
}

const (
	// lateAfter is the wait from which on the router is late by itself.
	lateAfter = 50 * time.Millisecond
	// waitLogInterval is the time in ms between two log records of that.
	waitLogInterval = 1000
)

// noteWait counts how long a batch of events has waited, and tells the Balancer and the log if that was long.
func (e *Engine) noteWait(waited time.Duration) {
	e.waits.note(waited)
	if waited < lateAfter {
		return
	}
	now := e.now()
	e.balancer.Late(now, float64(waited)/float64(time.Millisecond))
	if now-e.waitLoggedAt >= waitLogInterval {
		e.waitLoggedAt = now
		slog.Warn("the router is late by itself: events waited for their turn", "waited", waited, "open", len(e.openByID))
	}
}
