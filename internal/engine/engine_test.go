package engine

import (
	"context"
	"slices"
	"testing"
	"time"

	"mossproxy.example/mossproxy/decide"
)

// The engine's clock starts at Unix time, so that start times of servers can be expressed on it and none is
// 0.
func TestClockFollowsUnixTime(t *testing.T) {
	c := newClock()
	if d := c.now() - float64(time.Now().UnixMilli()); d < -1000 || d > 1000 {
		t.Errorf("the clock differs from Unix time by %v ms", d)
	}
}

func TestHexKeysMapToTheirNumber(t *testing.T) {
	if got := keyID("7f3a9c21e0b4d655"); got != 0x7f3a9c21e0b4d655 {
		t.Errorf("key %#x", got)
	}
	if keyID("a") == keyID("b") {
		t.Error("two other keys map to the same number")
	}
}

// missBackend consists of one cache server, which holds a single key, and an origin that holds all keys.
type missBackend struct{}

type missEndpoint struct{ origin bool }

func (missBackend) Endpoint(s Server) Endpoint { return missEndpoint{s.Kind == "origin"} }

func (missEndpoint) Probe(context.Context) (decide.Status, decide.Load) {
	return decide.OK, decide.NoLoad
}
func (missEndpoint) CloseIdle() {}
func (missEndpoint) Remove()    {}

func (l missEndpoint) Attempt(_ *Canceler, r *Request, handler AttemptHandler) (Reply, bool) {
	handler.Begin()
	if l.origin || r.Key == "there" {
		return Reply{Status: decide.OK, Load: decide.NoLoad}, true
	}
	return Reply{Status: decide.Miss, Load: decide.NoLoad}, true
}

// recordingLimiter is a TenantLimiter that records its calls as texts. It runs on the engine's goroutine.
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

// A TenantLimiter must be informed of each attempt at the origin, whether a read that missed or a write,
// between Arrived and Finished. A read that hits causes none, and a request that is decide.QuotaDenied is not
// counted.
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
		t.Errorf("calls %q", c.calls)
	}
}

// Guards against a deadline, sent ahead of a long value, that leaves no time for transmitting the value.
func TestDeadlineAheadOfALongValueAllowsForItsBytes(t *testing.T) {
	for _, size := range []int{0, 64 << 10, 4 << 20} {
		e := &Engine{clock: newClock()}
		began := e.now()
		a := &attempt{engine: e, request: &request{Request: &Request{Value: make([]byte, size)}, deadline: began + 1000}}
		try, ok := a.Begin()
		if !ok {
			t.Fatal("the attempt was canceled")
		}
		last := began + float64(time.Until(try.WriteBy))/float64(time.Millisecond) + (e.now() - began)
		if left := began + 1000 - last; try.DeadlineMS > left+deadlineSlack {
			t.Errorf("%d bytes: passed a deadline of %v ms, but %v ms remain when the last byte may still be written", size, try.DeadlineMS, left)
		}
		if try.DeadlineMS < 400 {
			t.Errorf("%d bytes: passed a deadline of only %v of 1000 ms", size, try.DeadlineMS)
		}
	}
}
