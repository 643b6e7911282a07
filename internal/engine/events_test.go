package engine

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Every event is taken once, those of one poster in order, and no more wait than the bound says.
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
						t.Errorf("poster %d: event %d behind %d", p, i, last[p])
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
			t.Fatalf("%d waited", len(batch))
		}
		for _, event := range batch {
			event()
		}
		done += len(batch)
	}
	wg.Wait()
	if len(e.take()) != 0 {
		t.Error("more events than were posted")
	}
}

// Who waits for room goes on when the engine ends, and its event is dropped.
func TestEventsEnd(t *testing.T) {
	e := newEvents()
	for range maxEvents {
		e.post(func() {})
	}
	var through atomic.Int32
	var wg sync.WaitGroup
	for range 3 {
		wg.Go(func() {
			e.post(func() { t.Error("carried out") })
			through.Add(1)
		})
	}
	time.Sleep(10 * time.Millisecond) // they should be waiting; nothing depends on it
	if through.Load() != 0 {
		t.Error("more than the bound are taken")
	}
	e.close()
	wg.Wait()
	e.post(func() { t.Error("carried out") })
	if len(e.take()) != 0 {
		t.Error("events are left")
	}
}

// The memory of a batch is used again and holds nothing of it.
func TestEventsHoldNothing(t *testing.T) {
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
			t.Fatal("an event is held")
		}
	}
	if n := testing.AllocsPerRun(100, func() {
		e.post(func() {})
		e.take()
	}); n > 0 {
		t.Errorf("%v allocations for each event", n)
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
