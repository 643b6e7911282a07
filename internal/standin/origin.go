package standin

import (
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// OriginConfig says what an origin can do.
type OriginConfig struct {
	Capacity
	Ceiling int     // requests at once beyond which it stops
	StopFor float64 // and for how long, ms
}

// Origin is the central database behind HTTP/1.1. It is slow, and stops altogether when it is pushed.
type Origin struct {
	fleet *Fleet
	cfg   OriginConfig
	srv   *http.Server
	ln    net.Listener
	wg    sync.WaitGroup

	mu      sync.Mutex
	model   *model
	out     int
	most    int // that were out at once
	asked   int64
	stops   int
	stopped float64       // until when
	change  chan struct{} // closed when stopped changes
}

// maxBody bounds what a write may bring, in bytes.
const maxBody = 64 << 10

func startOrigin(f *Fleet, cfg OriginConfig, seed uint64) (*Origin, error) {
	ln, err := listen("127.0.0.1:0", f.tls)
	if err != nil {
		return nil, fmt.Errorf("stand-in origin: %w", err)
	}
	o := &Origin{fleet: f, cfg: cfg, ln: ln, model: newModel(cfg.Capacity, seed^0x5ca1ab1e, math.Inf(-1)), change: make(chan struct{})}
	o.srv = &http.Server{Handler: o, ReadHeaderTimeout: 10 * time.Second, MaxHeaderBytes: 16 << 10}
	o.wg.Go(func() { o.srv.Serve(ln) }) //nolint:errcheck // ends when it is closed
	return o, nil
}

// Addr is the address on loopback.
func (o *Origin) Addr() string { return o.ln.Addr().String() }

// Stop stops the origin for a while, as overload does: what it has taken waits, and so does what comes.
func (o *Origin) Stop(d time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stop(float64(d.Milliseconds()))
}

// stop is Stop for a caller that holds mu.
func (o *Origin) stop(ms float64) {
	o.stops++
	o.stopped = max(o.stopped, o.fleet.now()+ms)
	close(o.change)
	o.change = make(chan struct{})
}

// OriginState is what the origin shows of itself.
type OriginState struct {
	Asked     int64
	Out, Most int // requests at once, now and at most
	Stops     int
	Stopped   bool
}

// State is what the origin shows of itself now.
func (o *Origin) State() OriginState {
	o.mu.Lock()
	defer o.mu.Unlock()
	return OriginState{Asked: o.asked, Out: o.out, Most: o.most, Stops: o.stops, Stopped: o.fleet.now() < o.stopped}
}

func (o *Origin) close() {
	o.srv.Close()
	o.wg.Wait()
}

// ServeHTTP answers GET /KEY, PUT /KEY and the two probes.
func (o *Origin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key := strings.TrimPrefix(r.URL.Path, "/")
	switch {
	case key == "healthz" || key == "load":
		w.Header().Set("X-Backend-Load", o.load())
		return
	case r.Method != http.MethodGet && r.Method != http.MethodPut:
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxBody)); err != nil {
		return
	}
	due, ok := o.take()
	defer o.done()
	if !ok {
		w.Header().Set("X-Unprocessed", "1")
		w.Header().Set("X-Backend-Load", o.load())
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	id := r.Header.Get("X-Correlation-Id")
	if r.Method == http.MethodPut {
		o.fleet.ran("db", id, "ms", key) // it has its effect, whoever still waits for the answer
		o.fleet.written(key)
	} else {
		o.fleet.ran("db", id, "mg", key)
	}
	if !o.wait(r.Context(), due) {
		return
	}
	body := receipt(id)
	if r.Method == http.MethodGet {
		body = Value(key, id, "db")
		o.fleet.fetched(id, key)
	}
	w.Header().Set("X-Backend-Load", o.load())
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	io.WriteString(w, body) //nolint:errcheck // the router may have left
}

// take takes a request, and stops the origin when it is one too many.
func (o *Origin) take() (due float64, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.out++
	o.asked++
	o.most = max(o.most, o.out)
	now := o.fleet.now()
	if o.cfg.Ceiling > 0 && o.out > o.cfg.Ceiling && now >= o.stopped {
		o.stop(o.cfg.StopFor)
	}
	return o.model.arrive(now)
}

func (o *Origin) done() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.out--
}

// wait waits until an answer is due and the origin runs; false = the router has left.
func (o *Origin) wait(ctx context.Context, due float64) bool {
	for {
		o.mu.Lock()
		until, change := max(due, o.stopped), o.change
		o.mu.Unlock()
		left := until - o.fleet.now()
		if left <= 0 {
			return true
		}
		t := time.NewTimer(time.Duration(left * float64(time.Millisecond)))
		select {
		case <-t.C:
		case <-change:
			t.Stop()
		case <-ctx.Done():
			t.Stop()
			return false
		}
	}
}

func (o *Origin) load() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.model.measure(o.fleet.now())
	return fmt.Sprintf("qps=%.1f,util=%.3f", o.model.rate, o.model.busy)
}
