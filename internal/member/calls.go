package member

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// call is a call of discovery.
type call struct {
	url          string
	timeout      time.Duration // for the answer to begin; then the call is given up
	overdueAfter time.Duration // for the answer to begin; then the call may be repeated beside it; 0 = only once it is given up
}

// callResult is the end of a call.
type callResult struct {
	list List
	err  error
}

// pendingCall is a call without an end so far.
type pendingCall struct {
	begun  atomic.Bool     // its answer has begun
	end    chan callResult // buffered, capacity 1
	cancel context.CancelFunc
}

// errSilent is the error of a call that was given up because nothing came from discovery for too long.
var errSilent = errors.New("discovery: no answer")

// errConnectionEnded is the error of a call whose connection ended before the answer.
var errConnectionEnded = errors.New("discovery: connection ended")

// staleConnectionTime is how long after its begin a call may be repeated by the transport: the service had closed the
// connection after the call before.
const staleConnectionTime = 100 * time.Millisecond

// oneConnection returns a trace that calls cancel where the transport is about to repeat a call whose connection has ended.
// All routers of a tier would do that in the moment in which a service ends their polls.
func oneConnection(cancel func()) *httptrace.ClientTrace {
	start, connections := time.Now(), 0
	return &httptrace.ClientTrace{GetConn: func(string) {
		if connections++; connections > 1 && time.Since(start) > staleConnectionTime {
			cancel()
		}
	}}
}

// fetch makes a call and returns the list in its answer, or in that of an earlier call that is overdue, whichever comes
// first. The error wraps errSilent if the call got no answer in time; it is kept as overdue unless there is one already, so
// that a service that takes long is heard in the end.
func (d *Discovery) fetch(ctx context.Context, c call) (List, error) {
	p := d.start(ctx, c)
	var repeatAt <-chan time.Time
	if c.overdueAfter > 0 {
		repeatAt = time.After(c.overdueAfter)
	}
	for {
		select {
		case r := <-p.end:
			p.cancel()
			if r.err == nil {
				d.dropOverdue() // its answer would be older
			}
			return r.list, r.err
		case r := <-d.overdueEnd():
			d.dropOverdue()
			if r.err == nil {
				p.cancel()
				return r.list, nil
			}
		case <-repeatAt:
			if p.begun.Load() {
				repeatAt = nil // what comes is bounded by its progress
				continue
			}
			if d.overdue != nil {
				p.cancel()
			} else {
				d.overdue = p
			}
			return List{}, errSilent
		}
	}
}

// overdueEnd returns the channel on which the end of the overdue call comes, nil if there is none.
func (d *Discovery) overdueEnd() <-chan callResult {
	if d.overdue == nil {
		return nil
	}
	return d.overdue.end
}

// dropOverdue gives up the overdue call, if there is one.
func (d *Discovery) dropOverdue() {
	if d.overdue != nil {
		d.overdue.cancel()
		d.overdue = nil
	}
}

// start begins a call. Its goroutine ends with the call, at the latest when ctx ends or the call is canceled.
func (d *Discovery) start(ctx context.Context, c call) *pendingCall {
	ctx, cancel := context.WithCancel(ctx)
	p := &pendingCall{end: make(chan callResult, 1), cancel: cancel}
	d.calls.Go(func() {
		l, err := d.fetchList(ctx, c, &p.begun)
		p.end <- callResult{l, err}
	})
	return p
}

// fetchList makes a call and decodes the list in the answer, which has to begin within the call's timeout. It sets begun
// when it does. The error wraps errSilent if nothing came for too long.
func (d *Discovery) fetchList(ctx context.Context, c call, begun *atomic.Bool) (List, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	giveUp := func() { cancel(errSilent) }
	if d.onDemand {
		ctx = httptrace.WithClientTrace(ctx, oneConnection(func() { cancel(errConnectionEnded) }))
	}
	stall := time.AfterFunc(c.timeout, giveUp)
	defer stall.Stop()
	l, err := d.readList(ctx, c.url, begun, stall, giveUp)
	var timeout interface{ Timeout() bool }
	switch {
	case err == nil:
		return l, nil
	case errors.Is(context.Cause(ctx), errConnectionEnded):
		return List{}, errConnectionEnded
	case errors.Is(context.Cause(ctx), errSilent), errors.As(err, &timeout) && timeout.Timeout():
		return List{}, fmt.Errorf("%w: %w", errSilent, err)
	}
	return List{}, fmt.Errorf("discovery: %w", err)
}

// readList requests url and decodes the list in the answer. Each read of the answer restarts stall, and giveUp is called
// if it is not whole in time; both end ctx.
func (d *Discovery) readList(ctx context.Context, url string, begun *atomic.Bool, stall *time.Timer, giveUp func()) (l List, err error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return l, err //nolint:wrapcheck // the caller wraps it
	}
	resp, err := d.client.Do(r)
	if err != nil {
		return l, err //nolint:wrapcheck // as above
	}
	defer resp.Body.Close()
	begun.Store(true)
	if resp.StatusCode != http.StatusOK {
		return l, fmt.Errorf("status %d", resp.StatusCode)
	}
	defer time.AfterFunc(maxListTime, giveUp).Stop()
	return decodeList(stallReader{resp.Body, stall, d.timing.stallTimeout})
}

// stallReader reads a body of which more has to come within a time after each read.
type stallReader struct {
	io.Reader
	timer *time.Timer // ends the call
	limit time.Duration
}

// Read implements io.Reader.
func (r stallReader) Read(b []byte) (int, error) {
	r.timer.Reset(r.limit)
	return r.Reader.Read(b) //nolint:wrapcheck // callers wrap it
}
