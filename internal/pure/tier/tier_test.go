package tier

import (
	"math/rand/v2"
	"slices"
	"testing"
)

func TestPartitionsMoveToNextRouter(t *testing.T) {
	tb := New(4, 0)
	checkServedBy := func(what string, want ...int) {
		t.Helper()
		if got := tb.ServedBy(); !slices.Equal(got, want) {
			t.Errorf("%s: %v, want %v", what, got, want)
		}
	}
	checkServedBy("nothing heard", 0, 1, 2, 3)
	if !tb.RecordState(1, Draining) || tb.RecordState(1, Draining) {
		t.Error("a change is not reported exactly once")
	}
	checkServedBy("1 drains", 0, 2, 2, 3)
	tb.RecordState(2, Loading)
	checkServedBy("2 loads", 0, 3, 3, 3)
	tb.RecordMissedReply(3)
	tb.RecordMissedReply(3)
	checkServedBy("3 missed two replies", 0, 3, 3, 3)
	if !tb.RecordMissedReply(3) || tb.RecordMissedReply(3) {
		t.Error("unresponsiveness is not reported exactly once")
	}
	checkServedBy("3 is unresponsive", 0, 0, 0, 0)
	if !tb.OwnPartition(2) {
		t.Error("partition 2 is not its own")
	}
	tb.RecordState(0, Draining)
	checkServedBy("no router serves", 0, 1, 2, 3)
	if !tb.OwnPartition(1) {
		t.Error("a partition to be handed over is not its own")
	}
	tb.RecordState(3, Serving)
	checkServedBy("3 is back", 3, 3, 3, 3)
	if tb.OwnPartition(1) || !tb.OwnPartition(0) {
		t.Error("partition 1 is its own, or 0 is not")
	}
	tb.RecordState(2, Serving)
	tb.RecordState(1, Serving)
	checkServedBy("all but 0", 1, 1, 2, 3)
	if got := PartitionsOf(tb.ServedBy(), 1); !slices.Equal(got, []int{0, 1}) {
		t.Errorf("partitions of 1: %v", got)
	}
	if got := PartitionsOf(tb.ServedBy(), 0); len(got) != 0 {
		t.Errorf("partitions of 0: %v", got)
	}
}

// A reply between missed ones resets the count, so that a lost packet does not move slots.
func TestUnresponsiveAfterConsecutiveMisses(t *testing.T) {
	tb := New(2, 0)
	for range 10 {
		tb.RecordMissedReply(1)
		tb.RecordMissedReply(1)
		if tb.RecordState(1, Serving) || tb.State(1) != Serving {
			t.Fatal("counted as unresponsive")
		}
	}
	for range 5 {
		tb.RecordMissedReply(0)
	}
	if tb.State(0) != Serving {
		t.Error("unresponsive to itself")
	}
	if tb.RecordState(7, Draining) || tb.RecordMissedReply(-1) || tb.RecordState(-1, Draining) {
		t.Error("an unknown router is accepted")
	}
}

// After any history each partition is served by a serving router, if there is one, and routers with the
// same information agree.
func TestAnyHistory(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 3))
		n := 1 + rng.IntN(9)
		a, b := New(n, 0), New(n, n-1)
		for range 50 {
			r, s, before := rng.IntN(n), State(rng.IntN(4)), a.Version()
			if s == Unresponsive {
				s = Loading
			}
			if changed := a.RecordState(r, s); changed != (a.Version() > before) {
				t.Fatal("version and reported change disagree")
			}
			b.RecordState(r, s)
			serves := a.ServedBy()
			if !slices.Equal(serves, b.ServedBy()) {
				t.Fatalf("seed %d: %v and %v", seed, serves, b.ServedBy())
			}
			anyServing := false
			for i := range n {
				anyServing = anyServing || a.State(i) == Serving
			}
			total := 0
			for i := range n {
				total += len(PartitionsOf(serves, i))
			}
			if total != n {
				t.Fatalf("seed %d: %d partitions, want %d", seed, total, n)
			}
			for partition, server := range serves {
				if anyServing && a.State(server) != Serving || a.State(partition) == Serving && server != partition {
					t.Fatalf("seed %d: partition %d is served by %d: %v", seed, partition, server, a.peers)
				}
			}
		}
	}
}
