package service

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"

	"mossproxy.example/mossproxy/internal/admin"
	"mossproxy.example/mossproxy/internal/keybook"
	"mossproxy.example/mossproxy/internal/pure/caller"
	"mossproxy.example/mossproxy/internal/pure/tenant"
	"mossproxy.example/mossproxy/internal/standin/disk"
	"mossproxy.example/mossproxy/internal/standin/standintest"
	"mossproxy.example/mossproxy/internal/store/fsys"
)

// startOfficeOn starts an office whose store lies on a disk that can fail, with what a first one has left in its folder.
func startOfficeOn(t *testing.T, d *disk.Disk) *office {
	t.Helper()
	o := newOffice(t, func(g *gated) *Service {
		state := filepath.Join(g.dir, "state")
		files, err := os.ReadDir(state)
		if err != nil {
			t.Fatal(err)
		}
		for _, f := range files {
			text, err := os.ReadFile(filepath.Join(state, f.Name()))
			if err != nil {
				t.Fatal(err)
			}
			d.Put(f.Name(), text)
		}
		return g.startOn("r0", func(string) fsys.FS { return d })
	})
	return o
}

// A disk that is full, and one that fails, under the API: it says so, nothing is changed, and traffic goes on by the tenants as they were.
// What was asked for goes through once there is room; a store that is read-only stays so.
func TestStoreFullOrReadOnly(t *testing.T) {
	d := disk.New()
	o := startOfficeOn(t, d)
	c := dialGuest(t, o.s.Addrs()[1])
	if got := c.ask("AUTH a-key a-secret"); got != "+OK" {
		t.Fatal(got)
	}
	_, tag, _ := o.call("GET", "/v1/tenants/a", "all", "", nil)
	_, _, before := o.call("GET", "/v1/audit", "all", "", nil)
	serves := func(when string) {
		t.Helper()
		if got := c.ask("SET k v"); got != "+OK" {
			t.Errorf("%s: traffic: %q", when, got)
		}
		if status, now, _ := o.call("GET", "/v1/tenants/a", "all", "", nil); status != 200 || now != tag {
			t.Errorf("%s: reading: %d %s", when, status, now)
		}
	}
	d.Limit(d.Used() + 64)
	for _, x := range []struct{ method, path, condition string }{{"PUT", "/v1/tenants/a", tag}, {"PUT", "/v1/tenants/new", "*"}, {"DELETE", "/v1/tenants/a", tag}} {
		if status, _, body := o.call(x.method, x.path, "all", x.condition, spec{"suspended": true}); status != 507 || !strings.Contains(fmt.Sprint(body), "nothing was changed") {
			t.Errorf("%s %s on a full disk: %d %v", x.method, x.path, status, body)
		}
	}
	serves("full")
	if _, _, now := o.call("GET", "/v1/audit", "all", "", nil); now["text"] != before["text"] {
		t.Errorf("the audit has what was not done: %v", now["text"])
	}
	d.Limit(1 << 40)
	status, tag2, body := o.call("PUT", "/v1/tenants/a", "all", tag, spec{"limits": spec{"floor_per_s": 100}})
	if status != 200 {
		t.Fatalf("with room again: %d %v", status, body)
	}
	tag = tag2
	d.Fault(func(_ int, c disk.Call) error {
		if c.Op == "sync" {
			return errors.New("an input/output error")
		}
		return nil
	})
	for range 2 {
		if status, _, body := o.call("PUT", "/v1/tenants/new", "all", "*", spec{}); status != 507 && status != 500 {
			t.Errorf("a disk that fails: %d %v", status, body)
		}
	}
	d.Fault(nil)
	if status, _, body := o.call("PUT", "/v1/tenants/new", "all", "*", spec{}); status != 507 || !strings.Contains(fmt.Sprint(body), "read-only") {
		t.Errorf("a store that is read-only: %d %v", status, body)
	}
	serves("read-only")
}

// A token that is revoked while a call waits: the call ends and says so, and gives no news that came after.
func TestTokenRevokedDuringACall(t *testing.T) {
	o := startOffice(t)
	_, _, body := o.call("GET", "/v1/tenants", "all", "", nil)
	from := uint64(body["version"].(float64))
	type answer struct {
		status int
		body   map[string]any
	}
	came := make(chan answer, 1)
	go func() {
		status, _, news := o.call("GET", fmt.Sprintf("/v1/watch?from=%d&wait_s=20", from), "read", "", nil)
		came <- answer{status, news}
	}()
	if err := admin.NewTokens(o.s.admin.store).Revoke("t1"); err != nil {
		t.Fatal(err)
	}
	at := time.Now()
	got := standintest.Next(t, came, "the end of the call")
	if got.status != 401 || time.Since(at) > 5*time.Second {
		t.Errorf("after %v: %d %v", time.Since(at), got.status, got.body)
	}
}

// What a deleted tenant has in hand is told until the last request is over; nothing new of it is taken meanwhile, and the next tenant of
// its name has nothing in hand. A tenant comes to its own pools only, and is held to its limits of a class.
func TestEndingPoolsAndClasses(t *testing.T) {
	o := startOffice(t)
	c := dialGuest(t, o.s.Addrs()[1])
	if got := c.ask("AUTH a-key a-secret"); got != "+OK" {
		t.Fatal(got)
	}
	for _, n := range o.cluster.Nodes() {
		n.Late(700 * time.Millisecond)
	}
	ran, _ := o.cluster.Record().All()
	c.Write([]byte("INCR bill\r\n")) //nolint:errcheck // shows in the answer
	standintest.Until(t, "it is out", func() bool { now, _ := o.cluster.Record().All(); return len(now) > len(ran) })
	_, tag, _ := o.call("GET", "/v1/tenants/a", "all", "", nil)
	status, _, body := o.call("DELETE", "/v1/tenants/a", "all", tag, nil)
	if status != 200 || body["in_hand"] != 1.0 || body["generation"] != 1.0 {
		t.Fatalf("deleted: %d %v", status, body)
	}
	status, _, fresh := o.call("PUT", "/v1/tenants/a", "all", "*", spec{})
	if status != 200 || fresh["generation"] != 2.0 {
		t.Fatal(status, fresh)
	}
	if _, _, e := o.call("GET", "/v1/tenants/a/ending?generation=2", "all", "", nil); e["in_hand"] != 0.0 {
		t.Errorf("the next one: %v", e)
	}
	over := make(chan map[string]any, 1)
	go func() {
		_, _, e := o.call("GET", "/v1/tenants/a/ending?generation=1&wait_s=20", "all", "", nil)
		over <- e
	}()
	if got := c.line(); got != ":1" {
		t.Errorf("in flight: %q", got)
	}
	if e := standintest.Next(t, over, "the end"); e["in_hand"] != 0.0 {
		t.Errorf("over: %v", e)
	}
	for _, n := range o.cluster.Nodes() {
		n.Late(0)
	}
	_, tag, _ = o.call("GET", "/v1/tenants/b", "all", "", nil)
	for name, x := range map[string]struct {
		body any
		says string
	}{
		"a pool that is none":  {spec{"pools": []string{"meta", "x"}}, "body.pools[1]"},
		"a class that is none": {spec{"limits": spec{"classes": []spec{{"class": "x", "open": 1}}}}, "body.limits.classes[0]"},
		"no pool at all":       {spec{"pools": []string{}}, "body.pools"},
		"a class twice":        {spec{"limits": spec{"classes": []spec{{"class": "read"}, {"class": "read"}}}}, "body.limits.classes[1]"},
	} {
		if status, _, body := o.call("PUT", "/v1/tenants/b", "all", tag, x.body); status != 422 || !strings.Contains(fmt.Sprint(body), x.says) {
			t.Errorf("%s: %d %v", name, status, body)
		}
	}
	if status, _, body := o.call("PUT", "/v1/tenants/b", "all", tag, spec{"pools": []string{"resp"}, "limits": spec{"classes": []spec{{"class": "poll", "most_per_s": 1}}}}); status != 200 {
		t.Fatal(status, body)
	}
	m, r := dialGuest(t, o.s.Addrs()[0]), dialGuest(t, o.s.Addrs()[1])
	if a, b := m.ask("auth key b-key b-secret"), r.ask("AUTH b-key b-secret"); a != "HD" || b != "+OK" {
		t.Fatal(a, b)
	}
	if got := m.ask(mg("k", "")); got != "SERVER_ERROR busy" {
		t.Errorf("a pool that is not its own: %q", got)
	}
	polls, reads := 0, 0
	for range 20 {
		if got := r.ask("SET k v"); got == "+OK" {
			polls++
		}
		if got := r.ask("GET k"); !strings.HasPrefix(got, "-") {
			reads++
		}
	}
	if polls < 1 || polls > 6 || reads < 18 {
		t.Errorf("%d of 20 of a class with a limit, %d of one without", polls, reads)
	}
}

// 10,000 tenants, the most that a book takes, of which 50 are active: each of those is served, a change by the API is in force on all engines, and what they take is
// logged.
func TestTenThousandTenants(t *testing.T) {
	const all, active = 9990, 50
	g := startGated(t, 0)
	g.change(func(b *keybook.Credentials) {
		b.Terms = map[string]keybook.Terms{}
		for i := range all {
			name := fmt.Sprintf("m%d", i)
			b.Tenants = append(b.Tenants, caller.Tenant{Name: name, Generation: 1})
			b.Terms[name] = keybook.Terms{Limits: tenant.Limits{Floor: 1, Most: 100}}
			if i < active {
				b.Callers = append(b.Callers, caller.Principal{Name: name + "-all", Tenant: name, Roles: []string{"all"}})
				b.Keys = append(b.Keys, caller.Key{ID: name + "-key", Algorithm: caller.Secret, Caller: name + "-all", Digest: g.pepper.Hash(name+"-key", []byte("s")), Lifecycle: caller.Lifecycle{Active: 1}})
			}
		}
	})
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	o := officeOf(t, g, func(g *gated) *Service { return g.start("r0") })
	cs := make([]*guest, active)
	for i := range cs {
		cs[i] = dialGuest(t, o.s.Addrs()[1])
		if got := cs[i].ask(fmt.Sprintf("AUTH m%d-key s", i)); got != "+OK" {
			t.Fatal(got)
		}
	}
	for round := range 3 {
		for i, c := range cs {
			if got := c.ask(fmt.Sprintf("SET k %d", i)); round > 0 && got != "+OK" {
				t.Errorf("tenant %d: %q", i, got)
			}
			if got := c.ask("GET k"); round > 0 && got != fmt.Sprint(i) {
				t.Errorf("tenant %d: %q", i, got)
			}
		}
	}
	at := time.Now()
	if status, _, body := o.call("PUT", "/v1/tenants/m10001", "all", "*", spec{"limits": spec{"floor_per_s": 2}}); status != 200 {
		t.Errorf("a change: %d %v", status, body)
	}
	t.Logf("%d tenants: %.1f MB of heap, a change in force after %v", all, float64(heap()-before)/(1<<20), time.Since(at))
}

// tool is the commands on the folder of a store.
func (g *gated) tool() keybook.Tool {
	return keybook.Tool{State: filepath.Join(g.dir, "state"), Out: io.Discard, Who: "test"}
}
