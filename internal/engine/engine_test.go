package engine

import (
	"context"
	"slices"
	"testing"
	"time"

	"mossproxy.example/mossproxy/decide"
)

// Starts of servers lie on the router's clock, and no real start is 0 there.
func TestClockFollowsUnixTime(t *testing.T) {
	c := newClock()
	if d := c.now() - float64(time.Now().UnixMilli()); d < -1000 || d > 1000 {
		t.Errorf("the clock is %v ms off Unix time", d)
	}
}

func TestHexKeysMapToTheirNumber(t *testing.T) {
	if got := keyID("7f3a9c21e0b4d655"); got != 0x7f3a9c21e0b4d655 {
		t.Errorf("key %#x", got)
	}
	if keyID("a") == keyID("b") {
		t.Error("other forms clash")
	}
}

// missBackend is a fleet of one cache server, which has one key alone, and an origin that has all.
type missBackend struct{}

type missEndpoint struct{ origin bool }

func (missBackend) Endpoint(s Server) Endpoint { return missEndpoint{s.Kind == "origin"} }

func (missEndpoint) Probe(context.Context) (decide.Status, decide.Load) {
	return decide.OK, decide.NoLoad
}
func (missEndpoint) CloseIdle() {}
func (missEndpoint) Remove()    {}

func (l missEndpoint) Attempt(_ *Canceler, r *Request, caller AttemptHandler) (Reply, bool) {
	caller.Begin()
	if l.origin || r.Key == "there" {
		return Reply{Status: decide.OK, Load: decide.NoLoad}, true
	}
	return Reply{Status: decide.Miss, Load: decide.NoLoad}, true
}

// recordingLimiter tells what a Tenants is told, in words. It runs on the engine's goroutine.
type recordingLimiter struct{ calls []string }

func (c *recordingLimiter) Arrived(_, _ float64, q *Request) (decide.QuotaStatus, float64) {
	if q.Tenant == "nobody" {
		return decide.QuotaDenied, 0
	}
	c.calls = append(c.calls, q.ID+" arrives")
	return decide.QuotaGuaranteed, 0
}
func (c *recordingLimiter) FetchStarted(_ float64, q *Request) {
	c.calls = append(c.calls, q.ID+" fetches")
}
func (c *recordingLimiter) Finished(_ float64, q *Request) {
	c.calls = append(c.calls, q.ID+" is over")
}
func (c *recordingLimiter) ReserveAnswer(*Request, int) string { return "" }
func (c *recordingLimiter) ReleaseAnswer(string, int)          {}

// Who counts tenants is told of each way to the origin, of a read that missed and of a write, between its arrival and its end; a read that hits
// has none, and what is not served is not counted.
func TestOriginFetchesAreReportedToTheTenantLimiter(t *testing.T) {
	c := &recordingLimiter{}
	e, err := New(Options{MaxHeldBytes: 1 << 20, MaxQueuedBytes: 1 << 20, Tenants: c, Config: decide.Config{Routers: 1, Aside: true, OriginKind: "origin", MaxAttempts: 4, ColdFrom: 1, FallMult: 1,
		FallFor: 1, Classes: []decide.Class{{Name: "read", Aim: 1000, Deadline: 2000, Worth: 1}, {Name: "write", Effect: decide.Once, Aim: 1000, Deadline: 2000, Worth: 1}}}}, missBackend{})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); e.Run(ctx) }()
	e.Post(func() {
		e.UpdateServers(decide.Full, []Server{{Entry: decide.Entry{ID: 1, Kind: "cache"}, Addr: "a:1"}, {Entry: decide.Entry{ID: 2, Kind: "origin"}, Addr: "b:1"}})
	})
	answers := make(chan Result, 4)
	for _, q := range []*Request{{ID: "hit", Class: "read", Key: "there"}, {ID: "miss", Class: "read", Key: "k"}, {ID: "write", Class: "write", Key: "w", Write: true},
		{ID: "none", Class: "read", Key: "x", Tenant: "nobody"}} {
		q.Wait = 2000
		e.Post(func() {
			e.Submit(q, e.Now(), &RequestHandle{OnAnswer: func(_ *Request, a Answer) { answers <- a.Result }})
		})
		want := Served
		if q.Tenant != "" {
			want = Refused
		}
		if got := <-answers; got != want {
			t.Errorf("%s: %v", q.ID, got)
		}
	}
	stop()
	<-ended
	want := []string{"hit arrives", "hit is over", "miss arrives", "miss fetches", "miss is over", "write arrives", "write fetches", "write is over"}
	if !slices.Equal(c.calls, want) {
		t.Errorf("told %q", c.calls)
	}
}

// Guards against a deadline ahead of a long value that leaves the value no time on its way.
func TestDeadlineAheadOfALongValueAllowsForItsBytes(t *testing.T) {
	for _, size := range []int{0, 64 << 10, 4 << 20} {
		e := &Engine{clock: newClock()}
		began := e.now()
		a := &attempt{engine: e, request: &request{Request: &Request{Value: make([]byte, size)}, deadline: began + 1000}}
		try, ok := a.Begin()
		if !ok {
			t.Fatal("called off")
		}
		last := began + float64(time.Until(try.WriteBy))/float64(time.Millisecond) + (e.now() - began)
		if left := began + 1000 - last; try.DeadlineMS > left+deadlineSlack {
			t.Errorf("%d bytes: passed %v ms, %v are left when the last byte may still go out", size, try.DeadlineMS, left)
		}
		if try.DeadlineMS < 400 {
			t.Errorf("%d bytes: passed only %v ms of 1000", size, try.DeadlineMS)
		}
	}
}
