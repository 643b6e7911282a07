package router

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"mossproxy.example/mossproxy/decide"
)

// list is a list of servers, or the changes to one, in discovery's form.
type list struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []entry `json:"servers"`
}

type entry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started float64 `json:"started_ms"`
}

var listStates = map[string]decide.State{"active": decide.Ready, "leaving": decide.Draining, "left": decide.Gone}

// decided is the entry as the module takes it.
func (e entry) decided() (decide.Entry, error) {
	st, ok := listStates[e.State]
	if !ok {
		return decide.Entry{}, fmt.Errorf("server %q: unknown state %q", e.ID, e.State)
	}
	if e.ID == "" {
		return decide.Entry{}, fmt.Errorf("server at %q without an id", e.Addr)
	}
	if _, _, err := net.SplitHostPort(e.Addr); err != nil && st != decide.Gone {
		return decide.Entry{}, fmt.Errorf("server %q: %q is no host:port", e.ID, e.Addr)
	}
	return decide.Entry{ID: serverID(e.ID), State: st, Started: e.Started, Size: e.Weight, Zone: e.Zone, Cell: e.Cell,
		Kind: e.Kind}, nil
}

// serverID maps a server's id to the module's. All routers must map alike, as the module hashes it: the digits are
// the number that the simulator's wire gives.
func serverID(id string) uint32 {
	if v, err := strconv.ParseUint(id[strings.LastIndexByte(id, '-')+1:], 16, 32); err == nil {
		return uint32(v)
	}
	h := fnv.New32a()
	io.WriteString(h, id)
	return h.Sum32()
}

// keyID maps a key likewise.
func keyID(key string) uint64 {
	if v, err := strconv.ParseUint(key, 16, 64); err == nil && len(key) == 16 {
		return v
	}
	h := fnv.New64a()
	io.WriteString(h, key)
	return h.Sum64()
}

// discovery asks for the list and then watches it.
type discovery struct {
	url    string
	client *http.Client
	onAsk  bool // watches only once asked, and tells of failures
	pace   pace
	asked  chan struct{} // of capacity 1
	tell   func(l list)  // takes a list
	broke  func()        // takes a failure
}

// pace is how long discovery is waited for. A watch that says nothing looks like a list that does not change, until
// its wait is over: only then is it found to be dead, with all the news that it has swallowed.
type pace struct {
	list  time.Duration // for the whole list
	wait  time.Duration // of one call of a watch
	slack time.Duration // after it
	again time.Duration // at most between a failure and the next call, where the one before went well
}

var (
	// The agent on the router's own machine answers at once and at no cost. What it has told, even into a connection
	// that ends, must be acted on within 500 ms.
	agentPace = pace{list: 250 * time.Millisecond, wait: 2 * time.Second, slack: 250 * time.Millisecond, again: 50 * time.Millisecond}
	// One discovery for all works through calls in turn: they are few, wait long, and come spread when it is back.
	sharedPace = pace{list: 2 * time.Second, wait: 10 * time.Second, slack: time.Second, again: 500 * time.Millisecond}
)

const (
	dialTimeout = time.Second
	quickAnswer = 50 * time.Millisecond
	maxList     = 1 << 20 // some thousands of servers
	maxHeaders  = 64 << 10
)

func newDiscovery(addr string, onAsk bool, tell func(list), broke func()) *discovery {
	p := agentPace
	if onAsk {
		p = sharedPace
	}
	return &discovery{pace: p, url: "http://" + addr + "/v1/servers", onAsk: onAsk, asked: make(chan struct{}, 1),
		tell: tell, broke: broke,
		client: &http.Client{Transport: &http.Transport{MaxConnsPerHost: 2, MaxResponseHeaderBytes: maxHeaders,
			DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}}}
}

// watch asks discovery to be watched from now on.
func (d *discovery) watch() {
	select {
	case d.asked <- struct{}{}:
	default:
	}
}

// run follows the list until ctx ends. After a failure it begins anew with the whole list: what was missed comes
// with it.
func (d *discovery) run(ctx context.Context) {
	defer d.client.CloseIdleConnections()
	for ctx.Err() == nil {
		if d.onAsk {
			select {
			case <-d.asked:
			case <-ctx.Done():
				return
			}
		}
		pause := 100*time.Millisecond + rand.N(400*time.Millisecond) // spread, or all would ask at once when it is back
		if d.follow(ctx) {
			pause = min(pause, d.pace.again)
		}
		if ctx.Err() != nil {
			return
		}
		d.broke()
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// follow gets the whole list and the changes after it, until a call fails, and tells whether any went well.
func (d *discovery) follow(ctx context.Context) (heard bool) {
	asked := time.Now()
	l, err := d.call(ctx, d.url, d.pace.list)
	for err == nil {
		heard = true
		d.tell(l)
		if !l.Full && len(l.Servers) == 0 && time.Since(asked) < quickAnswer {
			select { // an agent that does not wait would be asked without end; a watch bears a pause of 200 ms
			case <-time.After(quickAnswer):
			case <-ctx.Done():
			}
		}
		asked = time.Now()
		url := fmt.Sprintf("%s?after=%d&wait_ms=%d", d.url, l.Version, d.pace.wait.Milliseconds())
		l, err = d.call(ctx, url, d.pace.wait+d.pace.slack)
	}
	return heard
}

func (d *discovery) call(ctx context.Context, url string, within time.Duration) (list, error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	var l list
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxList))
	if err == nil {
		err = json.Unmarshal(body, &l)
	}
	if err != nil {
		return l, fmt.Errorf("discovery: %w", err)
	}
	return l, nil
}
