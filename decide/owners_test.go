package decide

import (
	"math"
	"slices"
	"testing"
)

// newStandalone is a Balancer over servers that alone hold what there is, of which each request names its owners.
func newStandalone(t *testing.T, n int) (*Balancer, *fakeHost, []uint32) {
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

func askOwners(b *Balancer, now float64, id uint32, class string, write bool, owners ...uint32) {
	b.Request(now, Request{ID: id, Class: class, Key: 42, HasKey: true, Left: 600, Write: write, Owners: owners})
}

// A request goes to its owners only: writes to the primary, reads of a loaded key to its replicas too, and to no other.
func TestOnlyOwnersServe(t *testing.T) {
	b, h, ids := newStandalone(t, 6)
	owners := ids[3:5]
	now := 100000.0
	at := map[uint32]int{}
	for i := range 400 {
		now++
		write := i%4 == 0
		n := len(h.sends)
		if id := uint32(i + 1); write {
			askOwners(b, now, id, "once", true, owners[0])
		} else {
			askOwners(b, now, id, "read", false, owners...)
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
func TestRedirect(t *testing.T) {
	b, h, ids := newStandalone(t, 6)
	b.retryBudget = 0
	askOwners(b, 100001, 1, "once", true, ids[0])
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
	askOwners(b, 100010, 2, "once", true, ids[0])
	b.Outcome(100011, Outcome{ID: 2, Attempt: 0, Server: ids[0], Status: Ignored, Load: NoLoad, Owners: ids[1:2]})
	b.Outcome(100012, Outcome{ID: 2, Attempt: 1, Server: ids[1], Status: Ignored, Load: NoLoad, Owners: ids[0:1]}) // back
	if n := len(h.sends); n != 6 || h.refused[2] != 1 {
		t.Errorf("to and fro: sends %v, refused %v", h.sends, h.refused)
	}
}

// An attempt that may have run rules out every other, wherever a later answer sends the request on.
func TestRedirectAfterAttemptMayHaveRun(t *testing.T) {
	for _, st := range []Status{TimedOut, Reset, Failed, InvalidAnswer, Canceled} {
		b, h, ids := newStandalone(t, 6)
		askOwners(b, 100001, 1, "once", true, ids[0])
		b.Outcome(100100, Outcome{ID: 1, Attempt: 0, Server: ids[0], Status: st, Load: NoLoad, Owners: ids[1:2]})
		if len(h.sends) != 1 || h.failed[1] != 1 || h.refused[1] != 0 {
			t.Errorf("%v: sends %v, failed %v, refused %v", st, h.sends, h.failed, h.refused)
		}
	}
}

// Nobody owns the key, or the owner is on no list: refused at once, which is harmless.
func TestNoOwner(t *testing.T) {
	b, h, _ := newStandalone(t, 3)
	askOwners(b, 100001, 1, "once", true, math.MaxUint32)
	b.Request(100002, Request{ID: 2, Class: "read", Key: 7, HasKey: true, Left: 600, Owners: []uint32{}})
	b.Request(100003, Request{ID: 3, Class: "once", Key: 42, HasKey: true, Left: 600, Write: true, Owners: []uint32{}})
	if len(h.sends) != 0 || h.refused[1] != 1 || h.refused[2] != 1 || h.refused[3] != 1 {
		t.Errorf("sends %v, refused %v", h.sends, h.refused)
	}
}

// Writes that name the primary alone don't make a key's owners change between them and reads.
func TestWritesKeepTheOwners(t *testing.T) {
	b, _, ids := newStandalone(t, 6)
	askOwners(b, 100001, 1, "read", false, ids[:3]...)
	k := b.keys[42]
	list := &k.hashList[0]
	askOwners(b, 100002, 2, "once", true, ids[0])
	askOwners(b, 100003, 3, "read", false, ids[:3]...)
	if &k.hashList[0] != list || len(k.hashList) != 3 {
		t.Error("the key's list was made anew")
	}
	askOwners(b, 100004, 4, "once", true, ids[4]) // a failover
	askOwners(b, 100005, 5, "read", false, ids[4], ids[1])
	if len(k.hashList) != 2 || k.hashList[0].ID != ids[4] {
		t.Errorf("after the failover: %v", k.hashList)
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

// newAside is a Balancer over servers with an origin behind them, which each request names its owners among.
func newAside(t *testing.T) (*Balancer, *fakeHost, []uint32, uint32) {
	t.Helper()
	cfg := testConfig()
	cfg.Aside, cfg.OriginKind, cfg.Copies = true, "db", false
	es := append(fleet(3), Entry{ID: 99, Zone: "a", Kind: "db"})
	b, h := start(t, cfg, es)
	return b, h, []uint32{es[0].ID, es[1].ID, es[2].ID}, 99
}

// A write whose servers are named is theirs, not the origin's; one that names none is the origin's, as ever.
func TestWritesWithOwnersBypassOrigin(t *testing.T) {
	b, h, ids, origin := newAside(t)
	askOwners(b, 100001, 1, "once", true, ids[1])
	if len(h.sends) != 1 || h.last().server != ids[1] {
		t.Errorf("sends %v", h.sends)
	}
	askOwners(b, 100002, 2, "once", true)
	if len(h.sends) != 2 || h.last().server != origin {
		t.Errorf("without owners: sends %v", h.sends)
	}
}

// Who waits for a key's fetch waits until what it has brought is stored, and then goes to where it is. A store that fails
// lets the next one fetch.
func TestWaitersWaitForTheStore(t *testing.T) {
	for _, stored := range []Status{OK, TimedOut, ConnectError} {
		b, h, ids, origin := newAside(t)
		askOwners(b, 100001, 1, "read", false, ids[0])
		b.Outcome(100002, Outcome{ID: 1, Server: ids[0], Status: Miss, CacheResult: 2, Latency: 1, Load: NoLoad})
		askOwners(b, 100003, 2, "read", false, ids[0])
		askOwners(b, 100003, 3, "read", false, ids[0])
		if n := len(h.sends); n != 2 || h.last().server != origin {
			t.Fatalf("sends %v: one fetch", h.sends)
		}
		b.Request(100010, Request{ID: 9, Class: "once", Key: 42, HasKey: true, Left: 250, Write: true, Owners: ids[:1], Stores: true})
		if s := h.last(); s.server != ids[0] || len(h.sends) != 3 {
			t.Fatalf("sends %v: the store goes to the owner", h.sends)
		}
		b.Outcome(100010, Outcome{ID: 1, Attempt: 1, Server: origin, Status: OK, Latency: 8, Final: true, Load: NoLoad})
		if len(h.sends) != 3 {
			t.Fatalf("sends %v: the store is not back", h.sends)
		}
		b.retryBudget = 0 // a store is never the one that is tried again here
		b.Outcome(100012, Outcome{ID: 9, Server: ids[0], Status: stored, Latency: 2, Final: stored == OK, Load: NoLoad})
		after := h.sends[3:]
		switch {
		case stored == OK && (len(after) != 2 || after[0].server != ids[0] || after[1].server != ids[0]):
			t.Errorf("stored: then %v, want both to go there", after)
		case stored != OK && (len(after) != 1 || after[0].server != origin):
			t.Errorf("%v: then %v, want one fetch", stored, after)
		}
	}
}

// A store pays for no further attempts, and counts for no tenant.
func TestStoresAddNoRetryBudget(t *testing.T) {
	b, _, ids, _ := newAside(t)
	b.retryBudget = 0
	for id := range uint32(20) {
		b.Request(100001, Request{ID: id + 1, Class: "once", Tenant: "t", Key: uint64(id), HasKey: true, Left: 250, Write: true, Owners: ids[:1], Stores: true})
	}
	if b.retryBudget != 0 || b.arrivals.value != 0 {
		t.Errorf("%v spare, %v arrivals", b.retryBudget, b.arrivals.value)
	}
}

// Readers of what the origin has not don't wait for each other, for a second from when it said so.
func TestKeyAbsentAtOrigin(t *testing.T) {
	b, h, ids, origin := newAside(t)
	miss := func(now float64, id uint32) {
		askOwners(b, now, id, "read", false, ids[0])
		b.Outcome(now, Outcome{ID: id, Server: ids[0], Status: Miss, CacheResult: 2, Latency: 1, Load: NoLoad})
	}
	fetches := func() (n int) {
		for _, s := range h.sends {
			if s.server == origin {
				n++
			}
		}
		return n
	}
	miss(100001, 1)
	miss(100002, 2)
	if fetches() != 1 {
		t.Fatalf("sends %v: one fetch", h.sends)
	}
	b.Outcome(100010, Outcome{ID: 1, Attempt: 1, Server: origin, Status: OK, CacheResult: 4, Latency: 8, Final: true, Load: NoLoad})
	miss(100020, 3)
	miss(100021, 4)
	if n := fetches(); n != 4 {
		t.Errorf("%d fetches, want 4: %v", n, h.sends)
	}
	for id := uint32(2); id <= 4; id++ {
		tries := -1
		for _, s := range h.sends {
			if s.id == id {
				tries++
			}
		}
		b.Outcome(100030, Outcome{ID: id, Attempt: tries, Server: origin, Status: OK, Latency: 8, Final: true, Load: NoLoad})
	}
	miss(102000, 5)
	miss(102001, 6)
	if n := fetches(); n != 5 {
		t.Errorf("a second later: %d fetches, want 5: %v", n, h.sends)
	}
}
