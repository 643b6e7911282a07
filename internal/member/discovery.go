package member

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// Discovery asks for the list and then watches it.
type Discovery struct {
	url          string
	client       *http.Client
	onDemand     bool // watches only once asked, and tells of failures
	timing       discoveryTiming
	requested    chan struct{} // of capacity 1
	onList       func(l List)  // takes a list
	onFailure    func()        // takes a failure
	knownVersion int64         // version of the list that is held, which may be 0; -1 = none, or one that a whole list has to replace
}

// discoveryTiming is how long discovery is waited for. A watch that says nothing looks like a list that does not change, until
// its wait is over: only then is it found to be dead, with all the news that it has swallowed.
type discoveryTiming struct {
	listTimeout   time.Duration // for the whole list
	pollWait      time.Duration // of one call of a watch
	pollSlack     time.Duration // after it
	maxRetryPause time.Duration // at most between a failure and the next call, where the one before went well
}

var (
	// The agent on the router's own machine answers at once and at no cost. What it has told, even into a connection
	// that ends, must be acted on within 500 ms.
	agentTiming = discoveryTiming{listTimeout: 250 * time.Millisecond, pollWait: 2 * time.Second, pollSlack: 250 * time.Millisecond, maxRetryPause: 50 * time.Millisecond}
	// One discovery for all works through calls in turn: they are few, wait long, and come spread when it is back. It gives calls
	// up itself that have waited for too long. Who gave up sooner than it does would ask again at the end of its queue, and
	// have it work for nobody.
	sharedTiming = discoveryTiming{listTimeout: 6 * time.Second, pollWait: 10 * time.Second, pollSlack: 4 * time.Second, maxRetryPause: 500 * time.Millisecond}
)

const (
	dialTimeout     = time.Second
	minPollInterval = 50 * time.Millisecond
	maxListBytes    = 1 << 20 // some thousands of servers
	maxHeaderBytes  = 64 << 10
)

// NewDiscovery is the discovery at addr. With onDemand it calls only once Watch has asked it to, tells broke of each
// failure, and asks for changes alone where the version of a list is known, not -1; tell takes each list, whole or in changes. Both are
// called from the goroutine of Run.
func NewDiscovery(addr string, onAsk bool, known int64, tell func(List), broke func()) *Discovery {
	p := agentTiming
	if onAsk {
		p = sharedTiming
	} else {
		known = -1
	}
	return &Discovery{timing: p, url: "http://" + addr + "/v1/servers", onDemand: onAsk, requested: make(chan struct{}, 1),
		knownVersion: known, onList: tell, onFailure: broke,
		client: &http.Client{Transport: &http.Transport{MaxConnsPerHost: 2, MaxResponseHeaderBytes: maxHeaderBytes,
			DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}}}
}

// RequestWatch asks discovery to be watched from now on.
func (d *Discovery) RequestWatch() {
	select {
	case d.requested <- struct{}{}:
	default:
	}
}

// Run follows the list until ctx ends. After a failure it begins anew with the whole list: what was missed comes
// with it. A discovery that all share works for each line that it tells: it is asked for what has changed since.
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
		pause := 100*time.Millisecond + rand.N(400*time.Millisecond) // spread, or all would ask at once when it is back
		if d.pollUntilError(ctx) {
			pause = min(pause, d.timing.maxRetryPause)
		}
		if ctx.Err() != nil {
			return
		}
		select { // asked while it was being followed: who asked hears of the failure, and decides anew
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

// pollUntilError gets the list and the changes after it, until a call fails, and tells whether any went well.
func (d *Discovery) pollUntilError(ctx context.Context) (heard bool) {
	for {
		asked := time.Now()
		url, within := d.url, d.timing.listTimeout
		if d.knownVersion >= 0 {
			url = fmt.Sprintf("%s?after=%d&wait_ms=%d", d.url, d.knownVersion, d.timing.pollWait.Milliseconds())
			within = d.timing.pollWait + d.timing.pollSlack
		}
		l, err := d.fetchList(ctx, url, within)
		if err != nil {
			if !d.onDemand {
				d.knownVersion = -1
			}
			return heard
		}
		heard = true
		if !l.Full && l.Version < d.knownVersion { // it has begun anew, and its changes belong to another list
			l.Version = -1
		}
		d.knownVersion = l.Version
		d.onList(l)
		if !l.Full && len(l.Servers) == 0 && time.Since(asked) < minPollInterval {
			select { // an agent that does not wait would be asked without end; a watch bears a pause of 200 ms
			case <-time.After(minPollInterval):
			case <-ctx.Done():
			}
		}
	}
}

func (d *Discovery) fetchList(ctx context.Context, url string, within time.Duration) (List, error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
	if err == nil {
		err = json.Unmarshal(body, &l)
	}
	if err != nil {
		return l, fmt.Errorf("discovery: %w", err)
	}
	return l, nil
}
