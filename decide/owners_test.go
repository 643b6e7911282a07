package decide

import (
	"math"
	"slices"
	"testing"
)

// alone is a Balancer over servers that alone hold what there is, of which each request names its owners.
func alone(t *testing.T, n int) (*Balancer, *fakeHost, []uint32) {
	t.Helper()
	cfg := testConfig()
	cfg.Alone, cfg.Copies = true, false
	es := fleet(n)
	b, h := start(t, cfg, es)
	var ids []uint32
	for _, e := range es {
		ids = append(ids, e.ID)
	}
	return b, h, ids
}

func askOf(b *Balancer, now float64, id uint32, class string, write bool, owners ...uint32) {
	b.Request(now, Request{ID: id, Class: class, Key: 42, HasKey: true, Left: 600, Write: write, Owners: owners})
}

// A request goes to its owners only: writes to the primary, reads of a loaded key to its replicas too, and to no other.
func TestOnlyOwnersServe(t *testing.T) {
	b, h, ids := alone(t, 6)
	owners := ids[3:5]
	now := 100000.0
	at := map[uint32]int{}
	for i := range 400 {
		now++
		write := i%4 == 0
		n := len(h.sends)
		if id := uint32(i + 1); write {
			askOf(b, now, id, "once", true, owners[0])
		} else {
			askOf(b, now, id, "read", false, owners...)
		}
		if len(h.sends) == n {
			continue // refused: the owners are jammed
		}
		s := h.last().server
		at[s]++
		if !slices.Contains(owners, s) || write && s != owners[0] {
			t.Fatalf("request %d (write %v) went to %d", i, write, s)
		}
		if i%3 > 0 { // the others stay out, so that a queue builds up
			b.Outcome(now+0.5, Outcome{ID: uint32(i + 1), Server: s, Status: OK, Latency: 20, Final: true, Load: Load{50, 0, 0.9, 5, 20}})
		}
		b.Timer(now, tickToken)
	}
	if at[owners[0]] == 0 || at[owners[1]] == 0 {
		t.Errorf("sends %v: a loaded key does not use its replica", at)
	}
}

// A request that is sent on goes to its new owner at once, whatever is in hand for retries; the way ends with the
// attempts, and never comes back to a server that sent it on.
func TestSentOn(t *testing.T) {
	b, h, ids := alone(t, 6)
	b.spare = 0
	askOf(b, 100001, 1, "once", true, ids[0])
	for i := range 3 {
		if s := h.last(); len(h.sends) != i+1 || s.server != ids[i] {
			t.Fatalf("attempt %d: sends %v", i, h.sends)
		}
		b.Outcome(100002+float64(i), Outcome{ID: 1, Attempt: i, Server: ids[i], Status: Ignored, Load: NoLoad, Owners: ids[i+1 : i+2]})
	}
	b.Outcome(100006, Outcome{ID: 1, Attempt: 3, Server: ids[3], Status: Ignored, Load: NoLoad, Owners: ids[4:5]})
	if len(h.sends) != 4 || h.refused[1] != 1 || h.failed[1] != 0 {
		t.Errorf("sends %v, refused %v, failed %v", h.sends, h.refused, h.failed)
	}
	askOf(b, 100010, 2, "once", true, ids[0])
	b.Outcome(100011, Outcome{ID: 2, Attempt: 0, Server: ids[0], Status: Ignored, Load: NoLoad, Owners: ids[1:2]})
	b.Outcome(100012, Outcome{ID: 2, Attempt: 1, Server: ids[1], Status: Ignored, Load: NoLoad, Owners: ids[0:1]}) // back
	if n := len(h.sends); n != 6 || h.refused[2] != 1 {
		t.Errorf("to and fro: sends %v, refused %v", h.sends, h.refused)
	}
}

// An attempt that may have run rules out every other, wherever a later answer sends the request on.
func TestSentOnAfterItMayHaveRun(t *testing.T) {
	for _, st := range []Status{TimedOut, Reset, Failed, Spoilt, Canceled} {
		b, h, ids := alone(t, 6)
		askOf(b, 100001, 1, "once", true, ids[0])
		b.Outcome(100100, Outcome{ID: 1, Attempt: 0, Server: ids[0], Status: st, Load: NoLoad, Owners: ids[1:2]})
		if len(h.sends) != 1 || h.failed[1] != 1 || h.refused[1] != 0 {
			t.Errorf("%v: sends %v, failed %v, refused %v", st, h.sends, h.failed, h.refused)
		}
	}
}

// Nobody owns the key, or the owner is on no list: refused at once, which is harmless.
func TestNoOwner(t *testing.T) {
	b, h, _ := alone(t, 3)
	askOf(b, 100001, 1, "once", true, math.MaxUint32)
	b.Request(100002, Request{ID: 2, Class: "read", Key: 7, HasKey: true, Left: 600, Owners: []uint32{}})
	b.Request(100003, Request{ID: 3, Class: "once", Key: 42, HasKey: true, Left: 600, Write: true, Owners: []uint32{}})
	if len(h.sends) != 0 || h.refused[1] != 1 || h.refused[2] != 1 || h.refused[3] != 1 {
		t.Errorf("sends %v, refused %v", h.sends, h.refused)
	}
}

// Writes that name the primary alone don't make a key's owners change between them and reads.
func TestWritesKeepTheOwners(t *testing.T) {
	b, _, ids := alone(t, 6)
	askOf(b, 100001, 1, "read", false, ids[:3]...)
	k := b.keys[42]
	list := &k.list[0]
	askOf(b, 100002, 2, "once", true, ids[0])
	askOf(b, 100003, 3, "read", false, ids[:3]...)
	if &k.list[0] != list || len(k.list) != 3 {
		t.Error("the key's list was made anew")
	}
	askOf(b, 100004, 4, "once", true, ids[4]) // a failover
	askOf(b, 100005, 5, "read", false, ids[4], ids[1])
	if len(k.list) != 2 || k.list[0].ID != ids[4] {
		t.Errorf("after the failover: %v", k.list)
	}
}

// Servers that start with all of their capacity are no trouble to the arithmetic: what is asked is sent.
func TestNoColdPhase(t *testing.T) {
	cfg := testConfig()
	cfg.ColdFrom, cfg.Cold = 1, 0
	b, h := start(t, cfg, fleet(3))
	ask(b, 100001, 1, "read", 42)
	if len(h.sends) != 1 {
		t.Errorf("sends %v, refused %v", h.sends, h.refused)
	}
}
