package engine

import (
	"context"
	"slices"
	"testing"
	"time"

	"mossproxy.example/mossproxy/decide"
)

// Starts of servers lie on the router's clock, and no real start is 0 there.
func TestStartsLieOnTheClock(t *testing.T) {
	c := newClock()
	if d := c.now() - float64(time.Now().UnixMilli()); d < -1000 || d > 1000 {
		t.Errorf("the clock is %v ms off Unix time", d)
	}
}

func TestIdsMapAsOnTheSimulatorsWire(t *testing.T) {
	if got := keyID("7f3a9c21e0b4d655"); got != 0x7f3a9c21e0b4d655 {
		t.Errorf("key %#x", got)
	}
	if keyID("a") == keyID("b") {
		t.Error("other forms clash")
	}
}

// missing is a fleet of one cache server, which has one key alone, and an origin that has all.
type missing struct{}

type missingLink struct{ origin bool }

func (missing) Link(s Server) Link { return missingLink{s.Kind == "origin"} }

func (missingLink) Probe(context.Context) (decide.Status, decide.Load) {
	return decide.OK, decide.NoLoad
}
func (missingLink) CloseIdle() {}
func (missingLink) Remove()    {}

func (l missingLink) Attempt(_ *Stop, r *Request, caller Caller) (Reply, bool) {
	caller.Begin()
	if l.origin || r.Key == "there" {
		return Reply{Status: decide.OK, Load: decide.NoLoad}, true
	}
	return Reply{Status: decide.Miss, Load: decide.NoLoad}, true
}

// counting tells what a Tenants is told, in words. It runs on the engine's goroutine.
type counting struct{ told []string }

func (c *counting) Arrived(_, _ float64, q *Request) (decide.QuotaStatus, float64) {
	if q.Tenant == "nobody" {
		return decide.QuotaDenied, 0
	}
	c.told = append(c.told, q.ID+" arrives")
	return decide.QuotaGuaranteed, 0
}
func (c *counting) Fetches(_ float64, q *Request) { c.told = append(c.told, q.ID+" fetches") }
func (c *counting) Over(_ float64, q *Request)    { c.told = append(c.told, q.ID+" is over") }
func (c *counting) Owes(*Request, int) string     { return "" }
func (c *counting) Paid(string, int)              {}

// Who counts tenants is told of each way to the origin, of a read that missed and of a write, between its arrival and its end; a read that hits
// has none, and what is not served is not counted.
func TestWaysToTheOriginAreTold(t *testing.T) {
	c := &counting{}
	e, err := New(Options{Held: 1 << 20, Queued: 1 << 20, Tenants: c, Module: decide.Config{Routers: 1, Aside: true, OriginKind: "origin", MaxAttempts: 4, ColdFrom: 1, FallMult: 1,
		FallFor: 1, Classes: []decide.Class{{Name: "read", Aim: 1000, Deadline: 2000, Worth: 1}, {Name: "write", Effect: decide.Once, Aim: 1000, Deadline: 2000, Worth: 1}}}}, missing{})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); e.Run(ctx) }()
	e.Post(func() {
		e.List(decide.Full, []Server{{Entry: decide.Entry{ID: 1, Kind: "cache"}, Addr: "a:1"}, {Entry: decide.Entry{ID: 2, Kind: "origin"}, Addr: "b:1"}})
	})
	answers := make(chan Result, 4)
	for _, q := range []*Request{{ID: "hit", Class: "read", Key: "there"}, {ID: "miss", Class: "read", Key: "k"}, {ID: "write", Class: "write", Key: "w", Write: true},
		{ID: "none", Class: "read", Key: "x", Tenant: "nobody"}} {
		q.Wait = 2000
		e.Post(func() { e.Arrive(q, e.Now(), &Ticket{Answer: func(_ *Request, a Answer) { answers <- a.Result }}) })
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
	if !slices.Equal(c.told, want) {
		t.Errorf("told %q", c.told)
	}
}

// Guards against a deadline ahead of a long value that leaves the value no time on its way.
func TestDeadlineAheadOfALongValueAllowsForItsBytes(t *testing.T) {
	for _, size := range []int{0, 64 << 10, 4 << 20} {
		e := &Engine{clock: newClock()}
		began := e.now()
		a := &attempt{e: e, r: &request{Request: &Request{Value: make([]byte, size)}, until: began + 1000}}
		try, ok := a.Begin()
		if !ok {
			t.Fatal("called off")
		}
		last := began + float64(time.Until(try.By))/float64(time.Millisecond) + (e.now() - began)
		if left := began + 1000 - last; try.Left > left+deadlineSlack {
			t.Errorf("%d bytes: passed %v ms, %v are left when the last byte may still go out", size, try.Left, left)
		}
		if try.Left < 400 {
			t.Errorf("%d bytes: passed only %v ms of 1000", size, try.Left)
		}
	}
}
