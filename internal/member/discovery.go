package member

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
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
	unreachable  bool          // the last call failed
}

// discoveryTiming holds the timeouts of discovery calls. A long poll without an answer looks like a list that
// does not change: only its timeout shows that the connection is dead and that updates were lost.
type discoveryTiming struct {
	listTimeout   time.Duration // for the answer to a call for the full list to begin
	stallTimeout  time.Duration // for the next bytes of a list
	pollWait      time.Duration // how long discovery may hold a long poll open
	pollSlack     time.Duration // added to pollWait for the timeout of a long poll
	maxRetryPause time.Duration // upper limit of the pause after a failure that follows a successful call
}

var (
	// agentTiming is for an agent on the router's own machine, whose answers are immediate and cheap. Its
	// updates must take effect within 500 ms, even one that is lost because the connection ends.
	agentTiming = discoveryTiming{listTimeout: 250 * time.Millisecond, stallTimeout: 250 * time.Millisecond, pollWait: 2 * time.Second, pollSlack: 250 * time.Millisecond, maxRetryPause: 50 * time.Millisecond}
	// sharedTiming is for a discovery service that all routers share and that handles calls one after the
	// other. Calls are therefore few and long, and are spread out after an outage. The service itself drops
	// calls that have queued for too long: a client with a shorter timeout would retry at the end of the
	// queue and make the service compute answers that nobody reads.
	sharedTiming = discoveryTiming{listTimeout: 6 * time.Second, stallTimeout: 4 * time.Second, pollWait: 10 * time.Second, pollSlack: 4 * time.Second, maxRetryPause: 500 * time.Millisecond}
)

const (
	dialTimeout     = time.Second
	minPollInterval = 50 * time.Millisecond // pause after an immediate empty answer
	maxListBytes    = 1 << 20               // a few thousand servers
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
	return &Discovery{timing: timing, url: "http://" + addr + "/v1/servers", onDemand: onDemand, requested: make(chan struct{}, 1),
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
	for ctx.Err() == nil {
		if d.onDemand {
			select {
			case <-d.requested:
			case <-ctx.Done():
				return
			}
		}
		// Random, so that routers do not all call at once after an outage.
		pause := 100*time.Millisecond + rand.N(400*time.Millisecond)
		if d.pollUntilError(ctx) {
			pause = min(pause, d.timing.maxRetryPause)
		}
		if ctx.Err() != nil {
			return
		}
		select { // drop a request made while polling: its caller learns of the failure and may request again
		case <-d.requested:
		default:
		}
		d.onFailure()
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// pollUntilError requests the list and then its changes until a call fails. It reports whether any call
// succeeded.
func (d *Discovery) pollUntilError(ctx context.Context) (succeeded bool) {
	for {
		start := time.Now()
		url, timeout := d.url, d.timing.listTimeout
		if d.knownVersion >= 0 {
			url = fmt.Sprintf("%s?after=%d&wait_ms=%d", d.url, d.knownVersion, d.timing.pollWait.Milliseconds())
			timeout = d.timing.pollWait + d.timing.pollSlack
		}
		l, err := d.fetchList(ctx, url, timeout)
		slog.Debug("discovery: call ended", "url", url, "took", time.Since(start), "version", l.Version, "changes", len(l.Servers), "err", err)
		if err != nil {
			if ctx.Err() == nil && !d.unreachable {
				d.unreachable = true
				slog.Warn("discovery: call failed, calling again", "url", url, "took", time.Since(start), "err", err)
			}
			if !d.onDemand {
				d.knownVersion = -1
			}
			return succeeded
		}
		succeeded = true
		if d.unreachable {
			d.unreachable = false
			slog.Info("discovery: reached again", "version", l.Version)
		}
		if l.Version < d.knownVersion {
			d.distrust(l)
			continue
		}
		d.knownVersion = l.Version
		d.onList(l)
		if !l.Full && len(l.Servers) == 0 && time.Since(start) < minPollInterval {
			// Avoid a busy loop with an agent that does not hold calls open. A delay of up to 200 ms does no
			// harm.
			select {
			case <-time.After(minPollInterval):
			case <-ctx.Done():
			}
		}
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

// fetchList requests url and decodes the list in the answer, which has to begin within timeout.
func (d *Discovery) fetchList(ctx context.Context, url string, timeout time.Duration) (List, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stall := time.AfterFunc(timeout, cancel)
	defer stall.Stop()
	var l List
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return l, fmt.Errorf("discovery: %w", err)
	}
	resp, err := d.client.Do(r)
	if err != nil {
		return l, fmt.Errorf("discovery: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return l, fmt.Errorf("discovery: status %d", resp.StatusCode)
	}
	defer time.AfterFunc(maxListTime, cancel).Stop()
	body, err := io.ReadAll(io.LimitReader(stallReader{resp.Body, stall, d.timing.stallTimeout}, maxListBytes))
	if err == nil {
		err = json.Unmarshal(body, &l)
	}
	if err != nil {
		return l, fmt.Errorf("discovery: %w", err)
	}
	return l, nil
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
