package service

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"mossproxy.example/mossproxy/internal/admin"
	"mossproxy.example/mossproxy/internal/standin/standintest"
	"mossproxy.example/mossproxy/internal/store"
	"mossproxy.example/mossproxy/internal/store/fsys"
)

// office is a router with its administration API.
type office struct {
	*gated
	s      *Service
	tokens map[string]string // by right
}

// startOffice starts one whose store has the book of startGated.
func startOffice(t testing.TB) *office {
	t.Helper()
	return newOffice(t, func(g *gated) *Service { return g.start("r0") })
}

// newOffice is startOffice with a way to start the router.
func newOffice(t testing.TB, start func(*gated) *Service) *office {
	t.Helper()
	return officeOf(t, startGated(t, 0), start)
}

// officeOf is an office over the book of g.
func officeOf(t testing.TB, g *gated, start func(*gated) *Service) *office {
	t.Helper()
	tool := g.tool()
	if err := tool.ImportBook(filepath.Join(g.dir, "callers.toml")); err != nil {
		t.Fatal(err)
	}
	o := &office{gated: g, tokens: map[string]string{}}
	st, err := store.Open(fsys.Dir(tool.State), store.Options{})
	if err != nil {
		t.Fatal(err)
	}
	for i, right := range []string{admin.RightAll, admin.RightRead, "tenant:a"} {
		if o.tokens[right], err = admin.NewTokens(st).Create(fmt.Sprint("t", i), right, time.Now()); err != nil {
			t.Fatal(err)
		}
	}
	st.Close()
	g.more = "[admin]\nlisten = \"127.0.0.1:0\"\nstate = \"state\"\n"
	o.s = start(g)
	g.routers = append(g.routers, o.s)
	return o
}

// call makes a call and gives status, ETag and body.
func (o *office) call(method, path, right, condition string, body any) (int, string, map[string]any) {
	o.t.Helper()
	text, err := json.Marshal(body)
	if err != nil {
		o.t.Fatal(err)
	}
	q, err := http.NewRequestWithContext(o.t.Context(), method, "http://"+o.s.admin.ln.Addr().String()+path, bytes.NewReader(text))
	if err != nil {
		o.t.Fatal(err)
	}
	q.Header.Set("Content-Type", "application/json")
	if right != "" {
		q.Header.Set("Authorization", "Bearer "+o.tokens[right])
	}
	switch {
	case condition == "*":
		q.Header.Set("If-None-Match", "*")
	case condition != "":
		q.Header.Set("If-Match", condition)
	}
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		o.t.Fatal(err)
	}
	defer r.Body.Close()
	text, err = io.ReadAll(r.Body)
	if err != nil {
		o.t.Fatal(err)
	}
	var out map[string]any
	if strings.Contains(r.Header.Get("Content-Type"), "json") && !strings.Contains(r.Header.Get("Content-Type"), "ndjson") {
		if err := json.Unmarshal(text, &out); err != nil {
			o.t.Fatalf("%s: %v", text, err)
		}
	} else {
		out = map[string]any{"text": string(text)}
	}
	return r.StatusCode, r.Header.Get("ETag"), out
}

type spec = map[string]any

// A change by the API is in force on all engines when its answer comes; who loses against another admin is told the current version; what
// is wrong is told by its field; tokens do what their rights say, and no more once revoked.
func TestAdministration(t *testing.T) {
	o := startOffice(t)
	status, tag, body := o.call("GET", "/v1/tenants/a", "read", "", nil)
	if status != 200 || tag == "" || body["generation"] != 1.0 {
		t.Fatal(status, tag, body)
	}
	c := dialGuest(t, o.s.Addrs()[0])
	if got := c.ask("auth key a-key a-secret"); got != "HD" {
		t.Fatal(got)
	}
	status, next, body := o.call("PUT", "/v1/tenants/a", "all", tag, spec{"suspended": true})
	if status != 200 || next == tag {
		t.Fatal(status, body)
	}
	if got := c.ask(mg("k", "")); got != "CLIENT_ERROR no_tenant" && got != "EOF" {
		t.Errorf("suspended, by the time of the answer: %q", got)
	}
	if status, _, body := o.call("PUT", "/v1/tenants/a", "all", tag, spec{}); status != 412 || !strings.Contains(fmt.Sprint(body), strings.Trim(next, `"`)) {
		t.Errorf("an old version: %d %v", status, body)
	}
	if status, _, body := o.call("PUT", "/v1/tenants/a", "all", next, spec{"limits": spec{"most_per_s": 1, "burst_s": 5}}); status != 200 {
		t.Fatal(status, body)
	}
	c = dialGuest(t, o.s.Addrs()[0])
	if got := c.ask("auth key a-key a-secret"); got != "HD" {
		t.Fatal(got)
	}
	taken := 0
	for range 30 {
		if strings.HasPrefix(c.ask(mg("k", "")), "a.1:k for") {
			taken++
		}
	}
	if taken < 1 || taken > 12 { // each of two engines holds it to its part
		t.Errorf("%d of 30 with a limit that is in force", taken)
	}
	for name, x := range map[string]struct {
		method, path, right, condition string
		body                           any
		want                           int
		says                           string
	}{
		"no token":             {"GET", "/v1/tenants", "", "", nil, 401, "Bearer"},
		"reading":              {"GET", "/v1/tenants", "read", "", nil, 200, "tenants"},
		"changing by reading":  {"PUT", "/v1/tenants/b", "read", "*", spec{}, 403, "no right"},
		"another tenant":       {"PUT", "/v1/tenants/b", "tenant:a", `"1"`, spec{}, 403, "no right"},
		"no condition":         {"PUT", "/v1/tenants/b", "all", "", spec{}, 428, "If-Match"},
		"no ETag":              {"PUT", "/v1/tenants/b", "all", "7", spec{}, 400, "If-Match"},
		"there already":        {"PUT", "/v1/tenants/b", "all", "*", spec{}, 412, "current ETag"},
		"not there":            {"GET", "/v1/tenants/zz", "all", "", nil, 404, "no tenant"},
		"a wrong name":         {"PUT", "/v1/tenants/A_B", "all", "*", spec{}, 422, "name"},
		"below the floor":      {"PUT", "/v1/tenants/new", "all", "*", spec{"limits": spec{"floor_per_s": 5, "most_per_s": 1}}, 422, "limits.most"},
		"negative":             {"PUT", "/v1/tenants/new", "all", "*", spec{"limits": spec{"open": -1}}, 422, "body.limits.open"},
		"an unknown field":     {"PUT", "/v1/tenants/new", "all", "*", spec{"what": 1}, 422, "what"},
		"deleted by its own":   {"DELETE", "/v1/tenants/a", "tenant:a", `"1"`, nil, 403, "no right"},
		"deleted, no such":     {"DELETE", "/v1/tenants/zz", "all", `"1"`, nil, 412, "not there"},
		"the audit of changes": {"GET", "/v1/audit?above=1", "all", "", nil, 200, `"who":"token t0"`},
	} {
		if status, _, body := o.call(x.method, x.path, x.right, x.condition, x.body); status != x.want || !strings.Contains(fmt.Sprint(body), x.says) {
			t.Errorf("%s: %d %v", name, status, body)
		}
	}
	// What the tenant asked is counted, by where it stood; a watch waits for the next change and gives its record.
	_, _, use := o.call("GET", "/v1/tenants/a/usage", "read", "", nil)
	beyond := 0.0
	for _, m := range use["minutes"].([]any) {
		beyond += m.(map[string]any)["beyond"].(float64)
	}
	if int(beyond) != 30-taken {
		t.Errorf("%v beyond, %d of 30 were taken: %v", beyond, taken, use)
	}
	_, _, body = o.call("GET", "/v1/tenants", "read", "", nil)
	from := uint64(body["version"].(float64))
	if status, _, none := o.call("GET", fmt.Sprintf("/v1/watch?wait_s=0&from=%d", from), "read", "", nil); status != 200 || none["text"] != "" {
		t.Errorf("nothing has changed: %d %q", status, none)
	}
	came := make(chan string, 1)
	go func() {
		_, _, news := o.call("GET", fmt.Sprintf("/v1/watch?from=%d", from), "read", "", nil)
		came <- fmt.Sprint(news["text"])
	}()
	if status, _, body := o.call("PUT", "/v1/tenants/watched", "all", "*", spec{}); status != 200 {
		t.Fatal(status, body)
	}
	if got := standintest.Next(t, came, "news"); !strings.Contains(got, `"name":"watched"`) || strings.Count(got, "\n") != 1 {
		t.Errorf("the watch: %q", got)
	}
	if err := admin.NewTokens(o.s.admin.store).Revoke("t1"); err != nil {
		t.Fatal(err)
	}
	if status, _, _ := o.call("GET", "/v1/tenants", "read", "", nil); status != 401 {
		t.Errorf("a revoked token: %d", status)
	}
}

// Two admins who change the same tenant at once: one wins and the other gets 412, each time, and the audit has every change that counted.
// Admins of different tenants don't meet.
func TestTwoAdminsAtOnce(t *testing.T) {
	o := startOffice(t)
	won, lost := 0, 0
	for round := range 5 {
		_, tag, _ := o.call("GET", "/v1/tenants/b", "all", "", nil)
		var wg sync.WaitGroup
		var mu sync.Mutex
		for i := range 2 {
			wg.Go(func() {
				status, _, body := o.call("PUT", "/v1/tenants/b", "all", tag, spec{"limits": spec{"floor_per_s": 10*round + i + 1}})
				mu.Lock()
				defer mu.Unlock()
				switch status {
				case 200:
					won++
				case 412:
					lost++
				default:
					t.Errorf("%d %v", status, body)
				}
			})
			wg.Go(func() {
				if status, _, body := o.call("PUT", fmt.Sprintf("/v1/tenants/new-%d-%d", round, i), "all", "*", spec{}); status != 200 {
					t.Errorf("another tenant: %d %v", status, body)
				}
			})
		}
		wg.Wait()
		time.Sleep(400 * time.Millisecond) // a token's calls are bounded
	}
	_, _, audit := o.call("GET", "/v1/audit", "all", "", nil)
	sets, creates := strings.Count(audit["text"].(string), `"tenant set"`), strings.Count(audit["text"].(string), `"tenant create"`)
	if won != 5 || lost != 5 || sets != 5 || creates != 10 {
		t.Errorf("%d won, %d lost; the audit has %d and %d new ones", won, lost, sets, creates)
	}
	seen, after := 0, ""
	for {
		status, _, page := o.call("GET", "/v1/tenants?limit=4&after="+after, "read", "", nil)
		if status != 200 {
			t.Fatal(status, page)
		}
		seen += len(page["tenants"].([]any))
		next, more := page["next"].(string)
		if !more {
			break
		}
		after = next
	}
	if seen != 13 {
		t.Errorf("%d tenants in all pages", seen)
	}
}

// A tenant that is deleted while its request is in flight, and made again at once: the request has its one answer, and nothing of the old one
// reaches the new.
func TestTenantDeletedInFlight(t *testing.T) {
	o := startOffice(t)
	c := dialGuest(t, o.s.Addrs()[1])
	if a, b := c.ask("AUTH a-key a-secret"), c.ask("SET k old"); a != "+OK" || b != "+OK" {
		t.Fatal(a, b)
	}
	for _, n := range o.cluster.Nodes() {
		n.Late(300 * time.Millisecond)
	}
	before, _ := o.cluster.Record().All()
	if _, err := c.Write([]byte("INCR bill\r\n")); err != nil {
		t.Fatal(err)
	}
	standintest.Until(t, "it is out", func() bool { ran, _ := o.cluster.Record().All(); return len(ran) > len(before) })
	_, tag, _ := o.call("GET", "/v1/tenants/a", "all", "", nil)
	if status, _, body := o.call("DELETE", "/v1/tenants/a", "all", tag, nil); status != 200 {
		t.Fatal(status, body)
	}
	status, _, body := o.call("PUT", "/v1/tenants/a", "all", "*", spec{})
	if status != 200 || body["generation"] != 2.0 {
		t.Fatal(status, body)
	}
	if got := c.line(); got != ":1" {
		t.Errorf("in flight: %q", got)
	}
	if got := c.ask("GET k"); !strings.HasPrefix(got, "-NOAUTH") && got != "EOF" {
		t.Errorf("the old connection: %q", got)
	}
	if got := dialGuest(t, o.s.Addrs()[1]).ask("AUTH a-key a-secret"); !strings.HasPrefix(got, "-WRONGPASS") {
		t.Errorf("the old tenant's secret: %q", got)
	}
}

// The description of the API that is in the repository is that of the handlers.
func TestOpenAPI(t *testing.T) {
	got, err := admin.New(admin.Options{}).OpenAPI()
	if err != nil {
		t.Fatal(err)
	}
	const path = "../../docs/operate/openapi.yaml"
	if os.Getenv("COTTONYOKE_WRITE") != "" {
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil || !bytes.Equal(got, want) {
		t.Errorf("%s differs from the handlers (%v); write it with COTTONYOKE_WRITE=1 go test -run OpenAPI ./internal/service", path, err)
	}
}

// BenchmarkAdmin gives changes a second by one admin, each in force when it is answered.
func BenchmarkAdmin(b *testing.B) {
	o := startOffice(b)
	_, tag, _ := o.call("GET", "/v1/tenants/b", "all", "", nil)
	for i := 0; b.Loop(); i++ {
		status, next, body := o.call("PUT", "/v1/tenants/b", "all", tag, spec{"limits": spec{"floor_per_s": i + 1}})
		if status == 429 {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		if status != 200 {
			b.Fatal(status, body)
		}
		tag = next
	}
}

// The commands do by the API what they say; one that is made on an old version changes nothing and says which there is.
func TestTenantCommands(t *testing.T) {
	o := startOffice(t)
	var out bytes.Buffer
	k := admin.Client{URL: "http://" + o.s.admin.ln.Addr().String(), Token: o.tokens[admin.RightAll], Out: &out}
	ctx := t.Context()
	do := func(err error, want string) {
		t.Helper()
		if err != nil || !strings.Contains(out.String(), want) {
			t.Errorf("%v, %q is not in:\n%s", err, want, &out)
		}
		out.Reset()
	}
	do(k.Create(ctx, "new", admin.Spec{Limits: admin.Limits{Floor: 5}}), "new     1           active  5")
	do(k.Change(ctx, "new", 0, func(s *admin.Spec) error { s.Limits.Most = 9; return nil }), "active  5        9")
	do(k.Change(ctx, "new", 0, func(s *admin.Spec) error { s.Suspended = true; return nil }), "suspended")
	do(k.List(ctx), "c       1           active")
	do(k.Usage(ctx, "new"), "MINUTE")
	if err := k.Change(ctx, "new", 1, func(*admin.Spec) error { return nil }); err == nil || !strings.Contains(err.Error(), "another change came first: it is of version") {
		t.Errorf("an old version: %v", err)
	}
	if err := k.Create(ctx, "bad", admin.Spec{Limits: admin.Limits{Floor: 5, Most: 1}}); err == nil || !strings.Contains(err.Error(), "body.limits.most: 1: not below the floor of 5") {
		t.Errorf("a wrong field: %v", err)
	}
	do(k.Delete(ctx, "new", 0), "its last request is over")
	if err := k.Show(ctx, "new"); err == nil || !strings.Contains(err.Error(), "no tenant") {
		t.Error(err)
	}
	life, stop := context.WithCancel(ctx)
	k.Out = writer(func(b []byte) { out.Write(b); stop() })
	do(k.Watch(life, 1), `"what":"tenant delete","name":"new"`)
	k.Out, k.Token = &out, "wrong"
	if err := k.List(ctx); err == nil || !strings.Contains(err.Error(), "is needed") {
		t.Error(err)
	}
}

// writer is told of each write.
type writer func([]byte)

func (w writer) Write(b []byte) (int, error) {
	w(b)
	return len(b), nil
}
