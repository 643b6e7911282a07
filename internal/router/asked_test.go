package router

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"mossproxy.example/mossproxy/internal/standin"
)

// The bounds of a drain where lists are asked for: what a silent call that may wait has missed counts as announced so long
// after that wait, or after the call fell silent, whichever is later.
const (
	announcedAfterWait    = 2 * time.Second
	announcedAfterSilence = 6 * time.Second
	drainGrace            = 500 * time.Millisecond
)

// askedSettings are settings of a tier that asks for its lists.
func askedSettings(routers int) string {
	return strings.NewReplacer(`"discovery":"push"`, `"discovery":"ask"`, `"balancers":1`, fmt.Sprintf(`"balancers":%d`, routers),
		`"rules":{`, `"rules":{"mustAskIn":10000,"drainGrace":500,`).Replace(testSettings)
}

// arrivals records when requests arrive at a server.
type arrivals struct {
	mu sync.Mutex
	at []time.Time
}

// record is an answer of a stand-in server that records the request.
func (a *arrivals) record(line string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at = append(a.at, time.Now())
	return hit(line)
}

// after counts the requests that arrived after a time, and returns the last one's.
func (a *arrivals) after(limit time.Time) (n int, last time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, at := range a.at {
		if at.After(limit) {
			n, last = n+1, at
		}
	}
	return n, last
}

// openPoll waits until a router's call may wait for long, and returns when it came and for how long it may wait.
func openPoll(t *testing.T, d *standin.Directory) (at time.Time, wait time.Duration) {
	t.Helper()
	for {
		query, err := url.ParseQuery(next(t, d.Calls, "long poll"))
		if err != nil {
			t.Fatal(err)
		}
		ms, _ := strconv.Atoi(query.Get("wait_ms")) //nolint:errcheck // a call for the full list has none
		if wait = time.Duration(ms) * time.Millisecond; wait > announcedAfterWait {
			return time.Now(), wait
		}
	}
}

// Guards against requests at a server that drains: where lists are asked for, a silent watch was given up 4 s after its wait,
// and the next call came after 0.5 to 45 s more, by the size of the tier.
func TestDrainThatASilentWatchMissesIsKept(t *testing.T) {
	for _, routers := range []int{1, 24, 30, 300} {
		t.Run(fmt.Sprintf("%d routers", routers), func(t *testing.T) {
			t.Parallel()
			var drained arrivals
			s1, s2, o := startFake(t, drained.record), startFake(t, hit), startFake(t, originOK)
			servers := full(box("s-0000000b", s1.Addr), box("s-0000000c", s2.Addr), originAt(o.Addr))
			d := startDirectory(t, servers)
			r := start(t, configOf(t, d.Listener.Addr().String(), servers, askedSettings(routers)))
			polledAt, wait := openPoll(t, d)
			c := dial(t, r.addr)
			c.SetDeadline(time.Now().Add(time.Minute)) //nolint:errcheck // the test takes longer without
			for c.ask("mn") != "MN" {
			}
			silentAt := time.Now()
			d.Silence()
			leaving := servers.Servers[0]
			leaving.State = "leaving"
			d.Change(leaving)
			announced := polledAt.Add(wait + announcedAfterWait)
			if other := silentAt.Add(announcedAfterSilence); other.After(announced) {
				announced = other
			}
			limit := announced.Add(drainGrace + socketSlack)
			for i := 0; time.Now().Before(limit.Add(announcedAfterWait)); i++ {
				c.ask(fmt.Sprintf("mg %016x v O%x Pc=read,t=t,d=2000,h=52000,size=5", 7919*(i+1), i))
				time.Sleep(5 * time.Millisecond) // a client's pace, not a wait
			}
			if n, _ := drained.after(silentAt); n == 0 {
				t.Error("no request came to the server, which tests nothing")
			}
			if n, last := drained.after(limit); n > 0 {
				t.Errorf("%d requests began at the server that drains up to %v after the grace", n, last.Sub(limit))
			}
		})
	}
}
