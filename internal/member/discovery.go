package member

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"
)

// Discovery polls a discovery service for the list of servers and its changes.
type Discovery struct {
	url          string
	client       *http.Client
	onDemand     bool // polls only after RequestWatch
	timing       discoveryTiming
	requested    chan struct{} // buffered, capacity 1
	onList       func(l List)  // called with each list
	onFailure    func()        // called after each failure
	knownVersion int64         // version of the list in use, may be 0; -1 = request the full list
	listHeld     bool          // a list is in use
	overdue      *pendingCall  // an earlier call that may still be answered, nil = none
	confirmed    bool          // discovery has answered since the last failure: a long poll may follow
	unreachable  bool          // the last call failed
	calls        sync.WaitGroup
}

const (
	dialTimeout     = time.Second
	minPollInterval = 50 * time.Millisecond // pause after an immediate empty answer
	maxListTime     = 5 * time.Second       // for a list to come whole once it has begun
	maxHeaderBytes  = 64 << 10
)

// NewDiscovery returns a client of the discovery service at addr, given as HOST:PORT.
//
// With onDemand, the service is shared by all routers: it is polled only after RequestWatch, and only for the
// changes since knownVersion unless that is -1. Without it, the service is an agent on the same machine, it
// is polled continuously, and knownVersion is ignored.
//
// Run calls onList with each list, full or changes, and onFailure after each failure.
func NewDiscovery(addr string, onDemand bool, knownVersion int64, onList func(List), onFailure func()) *Discovery {
	timing := agentTiming
	if onDemand {
		timing = sharedTiming
	} else {
		knownVersion = -1
	}
	return &Discovery{timing: timing, listHeld: knownVersion >= 0, url: "http://" + addr + "/v1/servers", onDemand: onDemand, requested: make(chan struct{}, 1),
		knownVersion: knownVersion, onList: onList, onFailure: onFailure,
		client: &http.Client{Transport: &http.Transport{MaxConnsPerHost: 2, MaxResponseHeaderBytes: maxHeaderBytes,
			DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}}}
}

// RequestWatch starts polling, which goes on until the next failure. It has an effect only with onDemand.
func (d *Discovery) RequestWatch() {
	select {
	case d.requested <- struct{}{}:
	default:
	}
}

// Run polls the service until ctx ends. After a failure, an agent is asked for the full list, which contains
// any missed changes. A shared service spends work on each line that it sends, so it is asked only for the
// changes since the known version.
func (d *Discovery) Run(ctx context.Context) {
	defer d.client.CloseIdleConnections()
	defer d.calls.Wait()
	for ctx.Err() == nil {
		if d.onDemand {
			select {
			case <-d.requested:
			case <-ctx.Done():
				return
			}
		}
		d.pollUntilError(ctx)
		if ctx.Err() != nil {
			return
		}
		select { // drop a request made while polling: its caller learns of the failure and may request again
		case <-d.requested:
		default:
		}
		d.onFailure()
		sleep(ctx, d.timing.retryPause.draw())
	}
}

// pollUntilError requests the list and then its changes until a call fails.
//
// A call to a shared service that gets no answer is no failure: nothing has refused it, and what it missed must be known
// soon. It is repeated over a new connection.
func (d *Discovery) pollUntilError(ctx context.Context) {
	defer d.dropOverdue()
	for {
		c := d.nextCall()
		start := time.Now()
		l, err := d.fetch(ctx, c)
		took := time.Since(start)
		d.logEnd(ctx, c, took, l, err)
		switch {
		case err == nil:
			d.accept(l)
			if !l.Full && len(l.Servers) == 0 && took < minPollInterval {
				// Avoid a busy loop with an agent that does not hold calls open. A delay of up to 200 ms does no
				// harm.
				sleep(ctx, minPollInterval)
			}
		case d.onDemand && errors.Is(err, errSilent) && ctx.Err() == nil:
			if !d.confirmed { // it was not a poll that fell silent: nobody answers
				sleep(ctx, d.timing.silentRetryPause.draw())
			}
			d.confirmed = false
		default:
			d.confirmed = false
			if !d.onDemand {
				d.knownVersion = -1
			}
			return
		}
	}
}

// nextCall returns the call that comes next: for the full list, or a poll. A poll is long once discovery has answered: the
// first one behind a failure is short, or it would take long to see that it gets no answer either.
func (d *Discovery) nextCall() call {
	switch {
	case d.knownVersion < 0 && !d.listHeld:
		return call{url: d.url, timeout: d.timing.longestCall, overdueAfter: d.timing.firstListTimeout}
	case d.knownVersion < 0:
		return call{url: d.url, timeout: d.timing.longestCall, overdueAfter: d.timing.listTimeout}
	case d.onDemand && !d.confirmed:
		return call{url: d.pollURL(d.timing.firstPollWait.draw()), timeout: d.timing.longestCall, overdueAfter: d.timing.listTimeout}
	}
	wait := d.timing.pollWait.draw()
	return call{url: d.pollURL(wait), timeout: wait + d.timing.pollSlack}
}

// pollURL returns the URL of a call for the changes of the known version, which discovery may hold open for so long.
func (d *Discovery) pollURL(wait time.Duration) string {
	return fmt.Sprintf("%s?after=%d&wait_ms=%d", d.url, d.knownVersion, wait.Milliseconds())
}

// accept takes the list of an answer.
func (d *Discovery) accept(l List) {
	d.confirmed = true
	if l.Version < d.knownVersion {
		d.distrust(l)
		return
	}
	d.knownVersion, d.listHeld = l.Version, true
	d.onList(l)
}

// logEnd logs the end of a call, and of a row of failed calls its begin and its end.
func (d *Discovery) logEnd(ctx context.Context, c call, took time.Duration, l List, err error) {
	slog.Debug("discovery: call ended", "url", c.url, "took", took, "version", l.Version, "changes", len(l.Servers), "err", err)
	switch {
	case err != nil && !d.unreachable && ctx.Err() == nil:
		d.unreachable = true
		slog.Warn("discovery: call failed, calling again", "url", c.url, "took", took, "err", err)
	case err == nil && d.unreachable:
		d.unreachable = false
		slog.Info("discovery: reached again", "version", l.Version)
	}
}

// distrust drops a list that is older than the known one. It is either a late copy of an earlier answer, which
// nothing in HTTP tells from the answer to this call, or the service has restarted. The full list over a new
// connection, on which no copy can come, shows which.
func (d *Discovery) distrust(l List) {
	slog.Warn("discovery: list is older than the known one, requesting the full list over a new connection", "version", l.Version, "known", d.knownVersion)
	d.knownVersion = -1
	d.client.CloseIdleConnections()
}

// sleep waits for a time, or until ctx ends.
func sleep(ctx context.Context, pause time.Duration) {
	select {
	case <-time.After(pause):
	case <-ctx.Done():
	}
}
