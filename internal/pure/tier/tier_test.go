package tier

import (
	"math/rand/v2"
	"slices"
	"testing"
)

func TestPartitionsMoveToNextRouter(t *testing.T) {
	tb := New(4, 0)
	same := func(what string, want ...int) {
		t.Helper()
		if got := tb.ServedBy(); !slices.Equal(got, want) {
			t.Errorf("%s: %v, want %v", what, got, want)
		}
	}
	same("nothing heard", 0, 1, 2, 3)
	if !tb.RecordState(1, Draining) || tb.RecordState(1, Draining) {
		t.Error("news is told once")
	}
	same("1 drains", 0, 2, 2, 3)
	tb.RecordState(2, Loading)
	same("2 loads", 0, 3, 3, 3)
	tb.RecordMissedReply(3)
	tb.RecordMissedReply(3)
	same("3 was missed twice", 0, 3, 3, 3)
	if !tb.RecordMissedReply(3) || tb.RecordMissedReply(3) {
		t.Error("silence is told once")
	}
	same("3 is silent", 0, 0, 0, 0)
	if !tb.OwnPartition(2) {
		t.Error("all are its own")
	}
	tb.RecordState(0, Draining)
	same("nobody serves", 0, 1, 2, 3)
	if !tb.OwnPartition(1) {
		t.Error("what it hands on is its own until then")
	}
	tb.RecordState(3, Serving)
	same("3 is back", 3, 3, 3, 3)
	if tb.OwnPartition(1) || !tb.OwnPartition(0) {
		t.Error("1 is 3's by now, 0 is handed on")
	}
	tb.RecordState(2, Serving)
	tb.RecordState(1, Serving)
	same("all but 0", 1, 1, 2, 3)
	if got := PartitionsOf(tb.ServedBy(), 1); !slices.Equal(got, []int{0, 1}) {
		t.Errorf("parts of 1: %v", got)
	}
	if got := PartitionsOf(tb.ServedBy(), 0); len(got) != 0 {
		t.Errorf("parts of 0: %v", got)
	}
}

// An answer between missing ones keeps a router: a lost packet must not move slots.
func TestUnresponsiveAfterConsecutiveMisses(t *testing.T) {
	tb := New(2, 0)
	for range 10 {
		tb.RecordMissedReply(1)
		tb.RecordMissedReply(1)
		if tb.RecordState(1, Serving) || tb.State(1) != Serving {
			t.Fatal("taken for silent")
		}
	}
	for range 5 {
		tb.RecordMissedReply(0)
	}
	if tb.State(0) != Serving {
		t.Error("silent to itself")
	}
	if tb.RecordState(7, Draining) || tb.RecordMissedReply(-1) || tb.RecordState(-1, Draining) {
		t.Error("a router that is none")
	}
}

// Whatever is heard: each part is served by one that serves, if any does, and routers that have heard the same agree.
func TestAnyHistory(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 3))
		n := 1 + rng.IntN(9)
		a, b := New(n, 0), New(n, n-1)
		for range 50 {
			r, s, was := rng.IntN(n), State(rng.IntN(4)), a.Version()
			if s == Unresponsive {
				s = Loading
			}
			if news := a.RecordState(r, s); news != (a.Version() > was) {
				t.Fatal("a version without news, or news without")
			}
			b.RecordState(r, s)
			serves := a.ServedBy()
			if !slices.Equal(serves, b.ServedBy()) {
				t.Fatalf("seed %d: %v and %v", seed, serves, b.ServedBy())
			}
			some := false
			for i := range n {
				some = some || a.State(i) == Serving
			}
			total := 0
			for i := range n {
				total += len(PartitionsOf(serves, i))
			}
			if total != n {
				t.Fatalf("seed %d: %d parts of %d", seed, total, n)
			}
			for partition, server := range serves {
				if some && a.State(server) != Serving || a.State(partition) == Serving && server != partition {
					t.Fatalf("seed %d: part %d is served by %d: %v", seed, partition, server, a.peers)
				}
			}
		}
	}
}
