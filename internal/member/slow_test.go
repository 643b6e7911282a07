package member

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// startSlowDiscovery starts a discovery service that writes its list in parts with pauses, and counts the calls.
func startSlowDiscovery(t *testing.T, servers int, parts int, pause time.Duration) (addr string, calls chan struct{}) {
	t.Helper()
	calls = make(chan struct{}, 100)
	text := `{"version":1,"full":true,"servers":[`
	for i := range servers {
		if i > 0 {
			text += ","
		}
		text += fmt.Sprintf(`{"id":"s-%08x","addr":"127.0.0.1:%d","zone":"a","kind":"box","state":"active","weight":1.0}`, i, 1000+i)
	}
	text += "]}"
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- struct{}{}
		if r.URL.RawQuery != "" { // a watch
			<-r.Context().Done()
			return
		}
		for i := range parts {
			if _, err := io.WriteString(w, text[len(text)*i/parts:len(text)*(i+1)/parts]); err != nil {
				return
			}
			w.(http.Flusher).Flush()
			select {
			case <-time.After(pause):
			case <-r.Context().Done():
				return
			}
		}
	}))
	t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
	return srv.Listener.Addr().String(), calls
}

// Guards against a router that never gets its list of servers, as discovery writes it slowly.
func TestListThatComesSlowlyIsTaken(t *testing.T) {
	addr, calls := startSlowDiscovery(t, 200, 8, 100*time.Millisecond)
	lists := make(chan List, 10)
	ctx, stop := context.WithCancel(t.Context())
	d := NewDiscovery(addr, false, -1, func(l List) { lists <- l }, func() {})
	done := make(chan struct{})
	go func() { defer close(done); d.Run(ctx) }()
	defer func() { stop(); <-done }()
	select {
	case l := <-lists:
		if len(l.Servers) != 200 {
			t.Errorf("%d servers", len(l.Servers))
		}
	case <-time.After(5 * time.Second):
		t.Fatalf("no list after %d calls", len(calls))
	}
	if n := len(calls); n > 2 { // the second one is the watch
		t.Errorf("%d calls for one list", n)
	}
}

// Guards against a router that waits for ever for the rest of a list.
func TestListThatStallsIsAskedForAgain(t *testing.T) {
	addr, calls := startSlowDiscovery(t, 200, 2, time.Minute)
	runDiscovery(t, addr, false, -1)
	for range 2 {
		select {
		case <-calls:
		case <-time.After(5 * time.Second):
			t.Fatal("the list is not asked for again")
		}
	}
}
