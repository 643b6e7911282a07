package engine

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Each event must be taken once, those of one poster in order, and the queue must not exceed its limit.
func TestEvents(t *testing.T) {
	e := newEvents()
	const posters, each = 8, 5000
	var last [posters]int
	var wg sync.WaitGroup
	for p := range posters {
		wg.Go(func() {
			for i := 1; i <= each; i++ {
				e.post(func() {
					if last[p] != i-1 {
						t.Errorf("poster %d: event %d after %d", p, i, last[p])
					}
					last[p] = i
				})
			}
		})
	}
	for done := 0; done < posters*each; {
		<-e.wake
		batch := e.take()
		if len(batch) > maxEvents {
			t.Fatalf("%d events were queued", len(batch))
		}
		for _, event := range batch {
			event()
		}
		done += len(batch)
	}
	wg.Wait()
	if len(e.take()) != 0 {
		t.Error("more events were taken than posted")
	}
}

// Posters blocked by a full queue must continue when the queue is closed, and their events must be dropped.
func TestEventsEnd(t *testing.T) {
	e := newEvents()
	for range maxEvents {
		e.post(func() {})
	}
	var unblocked atomic.Int32
	var wg sync.WaitGroup
	for range 3 {
		wg.Go(func() {
			e.post(func() { t.Error("an event was run after the queue was closed") })
			unblocked.Add(1)
		})
	}
	time.Sleep(10 * time.Millisecond) // gives the posters time to block; the result does not depend on it
	if unblocked.Load() != 0 {
		t.Error("more events than the limit were accepted")
	}
	e.close()
	wg.Wait()
	e.post(func() { t.Error("an event was run after the queue was closed") })
	if len(e.take()) != 0 {
		t.Error("events remain in the queue")
	}
}

// The memory of a batch must be reused and must not keep events alive.
func TestTakenEventsAreReleased(t *testing.T) {
	e := newEvents()
	for range 3 {
		for range 100 {
			e.post(func() {})
		}
		e.take()
	}
	e.take()
	e.take()
	for _, f := range append(e.queue[:cap(e.queue)], e.lastBatch[:cap(e.lastBatch)]...) {
		if f != nil {
			t.Fatal("an event is still referenced")
		}
	}
	if n := testing.AllocsPerRun(100, func() {
		e.post(func() {})
		e.take()
	}); n > 0 {
		t.Errorf("%v allocations per event", n)
	}
}

func BenchmarkPost(b *testing.B) {
	e := newEvents()
	f := func() {}
	b.ReportAllocs()
	for b.Loop() {
		e.post(f)
		e.take()
	}
}
