package member

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"regexp"
	"testing"
)

// startScriptedDiscovery starts a discovery service that answers the calls with script, one entry each, and
// sends the query of each call to calls. An empty entry is an error. After the last entry, calls get no
// answer.
func startScriptedDiscovery(t *testing.T, script ...string) (addr string, calls chan string) {
	calls = make(chan string, len(script)+1)
	next := make(chan string, len(script))
	for _, s := range script {
		next <- s
	}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- r.URL.RawQuery
		select {
		case s := <-next:
			if s == "" {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			fmt.Fprint(w, s)
		default:
			<-r.Context().Done()
		}
	}))
	t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
	return srv.Listener.Addr().String(), calls
}

// runDiscovery runs a Discovery until the test ends. It requests a new watch after each failure.
func runDiscovery(t *testing.T, addr string, onDemand bool, knownVersion int64) {
	ctx, stop := context.WithCancel(t.Context())
	var d *Discovery
	d = NewDiscovery(addr, onDemand, knownVersion, func(List) {}, func() { d.RequestWatch() })
	done := make(chan struct{})
	d.RequestWatch()
	go func() { defer close(done); d.Run(ctx) }()
	t.Cleanup(func() { stop(); <-done })
}

// longWait and shortWait match the random waits of polls of a shared service, of 8 to 12 and 0.5 to 1 s.
var (
	longWait  = regexp.MustCompile(`wait_ms=(8...|9...|1[01]...|12000)$`)
	shortWait = regexp.MustCompile(`wait_ms=([5-9]..|1000)$`)
)

// withoutWait replaces a random wait by its kind.
func withoutWait(query string) string {
	return shortWait.ReplaceAllString(longWait.ReplaceAllString(query, "wait_ms=long"), "wait_ms=short")
}

// Guards against overload of a shared discovery service, which spends work on each line that it sends: eighty
// routers that requested the full list although they had one kept it busy for as long as they were willing to
// wait. A router that knows a version must request only the changes since, after a failure too. It requests
// the full list if the service's versions have restarted.
func TestSharedDiscoveryRequestsOnlyChanges(t *testing.T) {
	whole := `{"version":1,"full":true,"servers":[]}`
	changes := `{"version":%d,"full":false,"servers":[{"id":"s-1","addr":"127.0.0.1:1","state":"active"}]}`
	for name, c := range map[string]struct {
		onDemand     bool
		knownVersion int64
		answers      []string
		wantQueries  []string
	}{
		"list known":                 {true, 0, nil, []string{"after=0&wait_ms=short"}},
		"no list known":              {true, -1, []string{whole}, []string{"", "after=1&wait_ms=long"}},
		"call failed":                {true, 4, []string{fmt.Sprintf(changes, 5), ""}, []string{"after=4&wait_ms=short", "after=5&wait_ms=long", "after=5&wait_ms=short"}},
		"versions restarted":         {true, 7, []string{fmt.Sprintf(changes, 2), whole}, []string{"after=7&wait_ms=short", "", "after=1&wait_ms=long"}},
		"local agent":                {false, 7, []string{whole}, []string{"", "after=1&wait_ms=2000"}},
		"call to local agent failed": {false, -1, []string{whole, ""}, []string{"", "after=1&wait_ms=2000", ""}},
		"answer is not a list":       {true, 4, []string{"{"}, []string{"after=4&wait_ms=short", "after=4&wait_ms=short"}},
	} {
		t.Run(name, func(t *testing.T) {
			addr, calls := startScriptedDiscovery(t, c.answers...)
			runDiscovery(t, addr, c.onDemand, c.knownVersion)
			for i, want := range c.wantQueries {
				if got := withoutWait(<-calls); got != want {
					t.Errorf("call %d: query %q, want %q", i, got, want)
				}
			}
		})
	}
}
