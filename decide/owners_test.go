package decide

import (
	"math"
	"slices"
	"testing"
)

// newStandalone returns a Balancer over servers without an origin, where each request names its owners.
func newStandalone(t *testing.T, n int) (*Balancer, *fakeHost, []uint32) {
	t.Helper()
	cfg := testConfig()
	cfg.Alone, cfg.Copies = true, false
	entries := fleet(n)
	b, h := start(t, cfg, entries)
	var ids []uint32
	for _, e := range entries {
		ids = append(ids, e.ID)
	}
	return b, h, ids
}

func askOwners(b *Balancer, now float64, id uint32, class string, write bool, owners ...uint32) {
	b.Request(now, Request{ID: id, Class: class, Key: 42, HasKey: true, Left: 600, Write: write,
		Owners: owners})
}

// A request goes to its owners only: writes to the primary, reads of a loaded key also to its replicas.
func TestOnlyOwnersServe(t *testing.T) {
	b, h, ids := newStandalone(t, 6)
	owners := ids[3:5]
	now := 100000.0
	sends := map[uint32]int{}
	for i := range 400 {
		now++
		write := i%4 == 0
		sendsBefore := len(h.sends)
		if id := uint32(i + 1); write {
			askOwners(b, now, id, "once", true, owners[0])
		} else {
			askOwners(b, now, id, "read", false, owners...)
		}
		if len(h.sends) == sendsBefore {
			continue // refused: the owners are overloaded
		}
		s := h.last().server
		sends[s]++
		if !slices.Contains(owners, s) || write && s != owners[0] {
			t.Fatalf("request %d (write %v) went to %d", i, write, s)
		}
		if i%3 > 0 { // the others stay in flight, so that a queue builds up
			b.Outcome(now+0.5, Outcome{ID: uint32(i + 1), Server: s, Status: OK, Latency: 20, Final: true,
				Load: Load{50, 0, 0.9, 5, 20}})
		}
		b.Timer(now, tickToken)
	}
	if sends[owners[0]] == 0 || sends[owners[1]] == 0 {
		t.Errorf("sends %v: a loaded key does not use its replica", sends)
	}
}

// A redirected request goes to its new owner at once, without the retry budget. The number of attempts ends
// redirect loops, and no request returns to a server that redirected it.
func TestRedirect(t *testing.T) {
	b, h, ids := newStandalone(t, 6)
	b.retryBudget = 0
	askOwners(b, 100001, 1, "once", true, ids[0])
	for i := range 3 {
		if s := h.last(); len(h.sends) != i+1 || s.server != ids[i] {
			t.Fatalf("attempt %d: sends %v", i, h.sends)
		}
		b.Outcome(100002+float64(i), Outcome{ID: 1, Attempt: i, Server: ids[i], Status: Ignored, Load: NoLoad,
			Owners: ids[i+1 : i+2]})
	}
	b.Outcome(100006, Outcome{ID: 1, Attempt: 3, Server: ids[3], Status: Ignored, Load: NoLoad,
		Owners: ids[4:5]})
	if len(h.sends) != 4 || h.refused[1] != 1 || h.failed[1] != 0 {
		t.Errorf("sends %v, refused %v, failed %v", h.sends, h.refused, h.failed)
	}
	askOwners(b, 100010, 2, "once", true, ids[0])
	b.Outcome(100011, Outcome{ID: 2, Attempt: 0, Server: ids[0], Status: Ignored, Load: NoLoad,
		Owners: ids[1:2]})
	// The second server redirects back to the first.
	b.Outcome(100012, Outcome{ID: 2, Attempt: 1, Server: ids[1], Status: Ignored, Load: NoLoad,
		Owners: ids[0:1]})
	if n := len(h.sends); n != 6 || h.refused[2] != 1 {
		t.Errorf("redirected back: sends %v, refused %v", h.sends, h.refused)
	}
}

// An attempt that may have run forbids any other, even if its answer redirects the request.
func TestRedirectAfterAttemptMayHaveRun(t *testing.T) {
	for _, st := range []Status{TimedOut, Reset, Failed, InvalidAnswer, Canceled} {
		b, h, ids := newStandalone(t, 6)
		askOwners(b, 100001, 1, "once", true, ids[0])
		b.Outcome(100100, Outcome{ID: 1, Attempt: 0, Server: ids[0], Status: st, Load: NoLoad,
			Owners: ids[1:2]})
		if len(h.sends) != 1 || h.failed[1] != 1 || h.refused[1] != 0 {
			t.Errorf("%v: sends %v, failed %v, refused %v", st, h.sends, h.failed, h.refused)
		}
	}
}

// A key without an owner, or with an owner that is not listed, is refused at once, which makes a retry
// harmless.
func TestNoOwner(t *testing.T) {
	b, h, _ := newStandalone(t, 3)
	askOwners(b, 100001, 1, "once", true, math.MaxUint32)
	b.Request(100002, Request{ID: 2, Class: "read", Key: 7, HasKey: true, Left: 600, Owners: []uint32{}})
	b.Request(100003, Request{ID: 3, Class: "once", Key: 42, HasKey: true, Left: 600, Write: true,
		Owners: []uint32{}})
	if len(h.sends) != 0 || h.refused[1] != 1 || h.refused[2] != 1 || h.refused[3] != 1 {
		t.Errorf("sends %v, refused %v", h.sends, h.refused)
	}
}

// Writes that name only the primary must not make a key's owners alternate between them and those of reads.
func TestWritesKeepTheOwners(t *testing.T) {
	b, _, ids := newStandalone(t, 6)
	askOwners(b, 100001, 1, "read", false, ids[:3]...)
	k := b.keys[42]
	list := &k.hashList[0]
	askOwners(b, 100002, 2, "once", true, ids[0])
	askOwners(b, 100003, 3, "read", false, ids[:3]...)
	if &k.hashList[0] != list || len(k.hashList) != 3 {
		t.Error("the key's list was rebuilt")
	}
	askOwners(b, 100004, 4, "once", true, ids[4]) // a failover
	askOwners(b, 100005, 5, "read", false, ids[4], ids[1])
	if len(k.hashList) != 2 || k.hashList[0].ID != ids[4] {
		t.Errorf("after the failover: %v", k.hashList)
	}
}

// Servers that start with their full capacity must not cause a division by zero: requests are sent.
func TestNoColdPhase(t *testing.T) {
	cfg := testConfig()
	cfg.ColdFrom, cfg.Cold = 1, 0
	b, h := start(t, cfg, fleet(3))
	ask(b, 100001, 1, "read", 42)
	if len(h.sends) != 1 {
		t.Errorf("sends %v, refused %v", h.sends, h.refused)
	}
}

// newAside returns a Balancer over cache servers and an origin, where each request may name its owners, and
// the IDs of both.
func newAside(t *testing.T) (*Balancer, *fakeHost, []uint32, uint32) {
	t.Helper()
	cfg := testConfig()
	cfg.Aside, cfg.OriginKind, cfg.Copies = true, "db", false
	entries := append(fleet(3), Entry{ID: 99, Zone: "a", Kind: "db"})
	b, h := start(t, cfg, entries)
	return b, h, []uint32{entries[0].ID, entries[1].ID, entries[2].ID}, 99
}

// A write that names its owners goes to them instead of the origin; one that names none goes to the origin.
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

// Requests that wait for the fetch of their key wait until its answer is stored, and then go to the server
// that has it. If the store fails, the next one fetches.
func TestWaitersWaitForTheStore(t *testing.T) {
	for _, stored := range []Status{OK, TimedOut, ConnectError} {
		b, h, ids, origin := newAside(t)
		askOwners(b, 100001, 1, "read", false, ids[0])
		b.Outcome(100002, Outcome{ID: 1, Server: ids[0], Status: Miss, CacheResult: 2, Latency: 1,
			Load: NoLoad})
		askOwners(b, 100003, 2, "read", false, ids[0])
		askOwners(b, 100003, 3, "read", false, ids[0])
		if n := len(h.sends); n != 2 || h.last().server != origin {
			t.Fatalf("sends %v, want one fetch", h.sends)
		}
		b.Request(100010, Request{ID: 9, Class: "once", Key: 42, HasKey: true, Left: 250, Write: true,
			Owners: ids[:1], Stores: true})
		if s := h.last(); s.server != ids[0] || len(h.sends) != 3 {
			t.Fatalf("sends %v, want the store to go to the owner", h.sends)
		}
		b.Outcome(100010, Outcome{ID: 1, Attempt: 1, Server: origin, Status: OK, Latency: 8, Final: true,
			Load: NoLoad})
		if len(h.sends) != 3 {
			t.Fatalf("sends %v, want none before the store has ended", h.sends)
		}
		b.retryBudget = 0 // the store is never retried here
		b.Outcome(100012, Outcome{ID: 9, Server: ids[0], Status: stored, Latency: 2, Final: stored == OK,
			Load: NoLoad})
		after := h.sends[3:]
		switch {
		case stored == OK && (len(after) != 2 || after[0].server != ids[0] || after[1].server != ids[0]):
			t.Errorf("stored: then %v, want both to go to that server", after)
		case stored != OK && (len(after) != 1 || after[0].server != origin):
			t.Errorf("%v: then %v, want one fetch", stored, after)
		}
	}
}

// A store adds nothing to the retry budget, and doesn't count for its tenant.
func TestStoresAddNoRetryBudget(t *testing.T) {
	b, _, ids, _ := newAside(t)
	b.retryBudget = 0
	for id := range uint32(20) {
		b.Request(100001, Request{ID: id + 1, Class: "once", Tenant: "t", Key: uint64(id), HasKey: true,
			Left: 250, Write: true, Owners: ids[:1], Stores: true})
	}
	if b.retryBudget != 0 || b.arrivals.value != 0 {
		t.Errorf("retry budget %v, arrivals %v, want 0", b.retryBudget, b.arrivals.value)
	}
}

// Reads of a key that the origin doesn't have don't wait for each other for a second after its answer.
func TestKeyAbsentAtOrigin(t *testing.T) {
	b, h, ids, origin := newAside(t)
	miss := func(now float64, id uint32) {
		askOwners(b, now, id, "read", false, ids[0])
		b.Outcome(now, Outcome{ID: id, Server: ids[0], Status: Miss, CacheResult: 2, Latency: 1,
			Load: NoLoad})
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
		t.Fatalf("sends %v, want one fetch", h.sends)
	}
	b.Outcome(100010, Outcome{ID: 1, Attempt: 1, Server: origin, Status: OK, CacheResult: 4, Latency: 8,
		Final: true, Load: NoLoad})
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
		b.Outcome(100030, Outcome{ID: id, Attempt: tries, Server: origin, Status: OK, Latency: 8, Final: true,
			Load: NoLoad})
	}
	miss(102000, 5)
	miss(102001, 6)
	if n := fetches(); n != 5 {
		t.Errorf("a second later: %d fetches, want 5: %v", n, h.sends)
	}
}
