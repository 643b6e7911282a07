package member

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
)

// startScriptedDiscovery is a discovery that answers calls by a script and tells each call's query. Once the script is over it is silent.
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

// runDiscovery runs a discovery that asks again whenever it has failed, until the test ends.
func runDiscovery(t *testing.T, addr string, onAsk bool, known int64) {
	ctx, stop := context.WithCancel(t.Context())
	var d *Discovery
	d = NewDiscovery(addr, onAsk, known, func(List) {}, func() { d.RequestWatch() })
	ended := make(chan struct{})
	d.RequestWatch()
	go func() { defer close(ended); d.Run(ctx) }()
	t.Cleanup(func() { stop(); <-ended })
}

// A discovery that all share works for each line that it tells: eighty routers that asked for the whole of a list that they had
// kept it busy for as long as all were willing to wait. Who knows a version asks for what has changed since, after a failure
// too; the whole comes where the versions have begun anew.
func TestSharedDiscoveryIsAskedForChangesAlone(t *testing.T) {
	whole := `{"version":1,"full":true,"servers":[]}`
	one := `{"version":%d,"full":false,"servers":[{"id":"s-1","addr":"127.0.0.1:1","state":"active"}]}`
	for name, c := range map[string]struct {
		onAsk bool
		known int64
		said  []string
		want  []string
	}{
		"a list is known":              {true, 0, nil, []string{"after=0&wait_ms=10000"}},
		"none is":                      {true, -1, []string{whole}, []string{"", "after=1&wait_ms=10000"}},
		"a call has failed":            {true, 4, []string{fmt.Sprintf(one, 5), ""}, []string{"after=4&wait_ms=10000", "after=5&wait_ms=10000", "after=5&wait_ms=10000"}},
		"versions have begun anew":     {true, 7, []string{fmt.Sprintf(one, 2), whole}, []string{"after=7&wait_ms=10000", "", "after=1&wait_ms=10000"}},
		"the machine's own agent":      {false, 7, []string{whole}, []string{"", "after=1&wait_ms=2000"}},
		"the agent's call has failed":  {false, -1, []string{whole, ""}, []string{"", "after=1&wait_ms=2000", ""}},
		"an answer that is no list is": {true, 4, []string{"{"}, []string{"after=4&wait_ms=10000", "after=4&wait_ms=10000"}},
	} {
		t.Run(name, func(t *testing.T) {
			addr, calls := startScriptedDiscovery(t, c.said...)
			runDiscovery(t, addr, c.onAsk, c.known)
			for i, want := range c.want {
				if got := <-calls; got != want {
					t.Errorf("call %d asks %q, want %q", i, got, want)
				}
			}
		})
	}
}
