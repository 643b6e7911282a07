package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"mossproxy.example/mossproxy/internal/member"
)

// Directory is a discovery service: a whole list, and changes to it.
type Directory struct {
	Listener net.Listener
	Calls    chan string // the queries of calls, as they come

	srv     *http.Server
	stop    context.CancelFunc
	wg      sync.WaitGroup
	mu      sync.Mutex
	lists   []member.List // the whole list first, then changes
	changed chan struct{}
	silence chan struct{} // closed when the open calls fall silent
	open    map[*OpenCall]struct{}
	down    bool
}

// OpenCall is a call that waits for a change.
type OpenCall struct {
	At   time.Time
	Wait time.Duration // for which it may be held open
}

// Silence has the calls that are open fall silent, which it returns: nothing more comes on their connections.
func (d *Directory) Silence() (calls []OpenCall) {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.silence)
	d.silence = make(chan struct{})
	for c := range d.open {
		calls = append(calls, *c)
	}
	return calls
}

// enter records an open call. It returns what is closed when the call falls silent, and what is to be called at its end.
func (d *Directory) enter(c *OpenCall) (silence <-chan struct{}, leave func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open[c] = struct{}{}
	return d.silence, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.open, c)
	}
}

// Down has calls fail from now on, watches too, or no longer.
func (d *Directory) Down(yes bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = yes
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *Directory) isDown() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.down
}

// maxCalls bounds the calls that wait to be looked at; later ones are not told of.
const maxCalls = 1000

// StartDirectory starts a discovery service with its first list, which is whole.
func StartDirectory(first member.List) (*Directory, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("stand-in discovery: %w", err)
	}
	life, stop := context.WithCancel(context.Background())
	d := &Directory{Listener: ln, Calls: make(chan string, maxCalls), stop: stop, lists: []member.List{first}, changed: make(chan struct{}), silence: make(chan struct{}), open: map[*OpenCall]struct{}{}}
	d.srv = &http.Server{Handler: d, ReadHeaderTimeout: 10 * time.Second, BaseContext: func(net.Listener) context.Context { return life }}
	d.wg.Go(func() { d.srv.Serve(ln) }) //nolint:errcheck // ends when it is closed
	return d, nil
}

// Close ends the service and all watches.
func (d *Directory) Close() {
	d.stop()
	d.srv.Close()
	d.wg.Wait()
}

// Change tells of changed entries.
func (d *Directory) Change(entries ...member.Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	last := d.lists[len(d.lists)-1]
	d.lists = append(d.lists, member.List{Version: last.Version + 1, Servers: entries})
	close(d.changed)
	d.changed = make(chan struct{})
}

// ServeHTTP answers a call for the list, or a watch.
func (d *Directory) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case d.Calls <- r.URL.RawQuery:
	default:
	}
	after := r.URL.Query().Get("after")
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	wait := time.Duration(ms) * time.Millisecond
	end := time.After(wait)
	silence, leave := d.enter(&OpenCall{At: time.Now(), Wait: wait})
	defer leave()
	for {
		if d.isDown() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		l, changed, ok := d.newer(after)
		if ok {
			json.NewEncoder(w).Encode(l) //nolint:errcheck // the router may have left
			return
		}
		select {
		case <-silence:
			leave()
			<-r.Context().Done() // the router has given the call up
			return
		case <-changed:
		case <-end:
			v, _ := strconv.ParseInt(after, 10, 64)
			json.NewEncoder(w).Encode(member.List{Version: v}) //nolint:errcheck // as above
			return
		case <-r.Context().Done():
			return
		}
	}
}

// newer is the list that follows a version, the whole one after "", and what is closed when there is a further one.
func (d *Directory) newer(after string) (member.List, <-chan struct{}, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if after == "" {
		return d.whole(), d.changed, true
	}
	for _, l := range d.lists {
		if fmt.Sprint(l.Version-1) == after {
			return l, d.changed, true
		}
	}
	return member.List{}, d.changed, false
}

// whole is the whole list as it is now. The caller holds mu.
func (d *Directory) whole() member.List {
	out := d.lists[0]
	out.Servers = slices.Clone(out.Servers)
	for _, l := range d.lists[1:] {
		out.Version = l.Version
		for _, changed := range l.Servers {
			out.Servers = slices.DeleteFunc(out.Servers, func(e member.Entry) bool { return e.ID == changed.ID })
			if changed.State != "left" {
				out.Servers = append(out.Servers, changed)
			}
		}
	}
	return out
}
