package engine

import (
	"context"
	"strconv"
	"testing"
	"time"

	"mossproxy.example/mossproxy/decide"
)

// instantBackend is a backend whose servers answer at once.
type instantBackend struct{}

var instantReply = Reply{Status: decide.OK, Load: decide.NoLoad, CacheResult: 1, Body: []byte("v")}

func (instantBackend) Endpoint(Server) Endpoint { return instantBackend{} }
func (instantBackend) Attempt(_ *Canceler, _ *Request, caller AttemptHandler) (Reply, bool) {
	caller.Begin()
	return instantReply, true
}
func (instantBackend) Probe(context.Context) (decide.Status, decide.Load) {
	return decide.OK, decide.NoLoad
}
func (instantBackend) CloseIdle() {}
func (instantBackend) Remove()    {}

// startInstantEngine runs an engine of three servers that answer at once, and gives what asks it for one read and waits for the
// answer.
func startInstantEngine(tb testing.TB) (ask func()) { return startInstantEngineWith(tb, false) }

// startInstantEngineWith counts or does not.
func startInstantEngineWith(tb testing.TB, counts bool) (ask func()) {
	tb.Helper()
	e, err := New(Options{CollectCounts: counts, Seed: 5, MaxHeldBytes: 1 << 20, MaxQueuedBytes: 1 << 20, Config: decide.Config{Routers: 1, Alone: true, MaxAttempts: 4, ColdFrom: 1, FallMult: 3, FallFor: 1000,
		ConnIdle: 1000, Classes: []decide.Class{{Name: "read", Aim: 150, Deadline: 200, Worth: 1}}}}, instantBackend{})
	if err != nil {
		tb.Fatal(err)
	}
	runEngine(tb, e)
	var list []Server
	for i := range 3 {
		list = append(list, Server{decide.Entry{ID: uint32(i + 1), Size: 1, Zone: "a"}, strconv.Itoa(i)})
	}
	e.Post(func() { e.UpdateServers(decide.Full, list) })
	answered := make(chan Result, 1)
	n := 0
	return func() {
		n++
		q := &Request{ID: strconv.Itoa(n), Class: "read", Key: "7f3a9c21e0b4d655", Wait: 200, Hint: 1}
		t := &RequestHandle{OnAnswer: func(_ *Request, a Answer) { answered <- a.Result }}
		e.Post(func() { e.Submit(q, e.Now(), t) })
		if got := <-answered; got != Served {
			tb.Errorf("request %d: result %d", n, got)
		}
	}
}

// runEngine runs an engine until the test ends.
func runEngine(tb testing.TB, e *Engine) {
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		e.Run(ctx)
	}()
	tb.Cleanup(func() { stop(); <-ended })
}

// maxAllocs bounds the allocations of a read that hits, from its arrival at the engine to its answer, with those of the
// module. What a front and a backend allocate is bounded in their own tests.
const maxAllocs = 16

func TestAllocationsForEachRequest(t *testing.T) {
	ask := startInstantEngine(t)
	for range 2000 { // maps and slices have their size, the key is known
		ask()
	}
	if n := testing.AllocsPerRun(2000, ask); n > maxAllocs {
		t.Errorf("%v allocations for each request, %d at most", n, maxAllocs)
	} else {
		t.Logf("%v allocations for each request", n)
	}
}

func BenchmarkRequest(b *testing.B) {
	ask := startInstantEngine(b)
	b.ReportAllocs()
	for b.Loop() {
		ask()
	}
}

// BenchmarkFiguresRatio compares requests to an engine that counts with those to one that does not, in turn.
func BenchmarkFiguresRatio(b *testing.B) {
	with, without := startInstantEngineWith(b, true), startInstantEngineWith(b, false)
	var took [2]time.Duration
	const part = 200
	for b.Loop() {
		for i, ask := range []func(){without, with} {
			began := time.Now()
			for range part {
				ask()
			}
			took[i] += time.Since(began)
		}
	}
	b.ReportMetric(float64(took[1])/float64(took[0]), "with/without")
	b.ReportMetric(float64(took[1])/float64(part*b.N), "ns/request")
}
