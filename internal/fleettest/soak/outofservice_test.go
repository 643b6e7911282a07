package soak

import (
	"context"
	"testing"
	"time"
)

// Guards against connections that are never idle and that a router out of service still holds after four
// seconds, and against requests that lie unread on them until they are closed.
func TestRouterOutOfServiceIsEmptyThoughItsConnectionsAreNeverIdle(t *testing.T) {
	w := scripted(t, 1, time.Second)
	p := w.process(0)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	for range 3 {
		w.wg.Go(func() { w.groups[0].keepBusy(ctx, p, 200*time.Millisecond) })
	}
	time.Sleep(2 * time.Second) // the router gets to know an origin that answers
	w.takeOutOfService(ctx, Fault{Kind: OutOfService, For: shortDrain, Mode: Hang}, p)
	stop()
	w.wg.Wait()
	time.Sleep(w.longest() + answerTime)
	w.none(t, Answer, Process, SelfCheck)
	for _, v := range w.problems {
		t.Error(v)
	}
	if w.ledger.emptyChecks == 0 {
		t.Error("it was not checked that the router is empty")
	}
}
