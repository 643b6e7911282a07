package router

import (
	"context"
	"math"
	"testing"
	"time"
)

// Three processes of a router one after the other, the first of which is slow to end: none ever counts on room that another one has.
func TestRoomOfThreeProcesses(t *testing.T) {
	_, c := operated(t, box("s-0000000b", startFake(t, hit).Addr), originAt(startFake(t, originOK).Addr))
	d := c.pools[0]
	holds := func(step string, part float64, links int) {
		t.Helper()
		if d.room.part != part || d.room.pools[0].Limit() != links {
			t.Errorf("%s: a part of %v and %d connections to servers, want %v and %d", step, d.room.part, d.room.pools[0].Limit(), part, links)
		}
	}
	all := d.room.links
	c.Beside(half) // this process has begun beside an elder
	if part, err := c.Yield(t.Context()); err != nil || part != 0.25 {
		t.Errorf("an heir while the elder lives gets %v, %v", part, err)
	}
	holds("with elder and heir", 0.25, all/4)
	c.ElderGone()
	holds("with an heir", half, all/2)
	c.Followed()
	c.Regain()
	holds("alone", 1, all)
	if part, err := c.Yield(t.Context()); err != nil || part != half {
		t.Errorf("an heir gets %v, %v", part, err)
	}
	holds("with an heir", half, all/2)
}

// Idle connections give way at once when room is given back; one with a request open keeps its place, and the new process gets less.
func TestYieldWithConnections(t *testing.T) {
	release := make(chan struct{})
	o := startFake(t, func(line string) string { <-release; return originOK(line) })
	t.Cleanup(func() { close(release) })
	r, c := operated(t, box("s-0000000b", startFake(t, hit).Addr), originAt(o.Addr))
	places := (256 - 32) * 11 / 20
	for range places - 5 {
		dial(t, r.addr)
	}
	busy := dial(t, r.addr)
	busy.send(bill("b1", 8000) + "\r\n")
	next(t, o.Seen, "write")
	if part, err := c.Yield(t.Context()); err != nil || part != half {
		t.Errorf("with idle connections: %v, %v", part, err)
	}
	c.Regain()
	for i := range places * 3 / 4 {
		dial(t, r.addr).send(bill("c"+string(rune('a'+i%26))+string(rune('a'+i/26)), 8000) + "\r\n")
	}
	until(t, "all to be open", func() bool { return c.Counts().Open == places*3/4+1 })
	ctx, stop := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer stop()
	if part, err := c.Yield(ctx); err != nil || math.Abs(part-leastPart) > 1e-9 {
		t.Errorf("with requests open: %v, %v", part, err)
	}
}
