package resp

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"mossproxy.example/mossproxy/decide"
	"mossproxy.example/mossproxy/internal/engine"
	"mossproxy.example/mossproxy/internal/member"
	"mossproxy.example/mossproxy/internal/proto/resp"
	"mossproxy.example/mossproxy/internal/pure/slots"
)

// fakeTopology records the calls of a Protocol. With reject it rejects all redirections.
type fakeTopology struct {
	calls  []string
	reject bool
}

func (h *fakeTopology) HandleMoved(slot int, addr string) ([]uint32, bool) {
	h.calls = append(h.calls, fmt.Sprintf("moved %d %s", slot, addr))
	return []uint32{1}, !h.reject
}

func (h *fakeTopology) HandleAsk(addr string) ([]uint32, bool) {
	h.calls = append(h.calls, "asked "+addr)
	return []uint32{2}, !h.reject
}

func (h *fakeTopology) RequestRefresh() { h.calls = append(h.calls, "doubt") }

func newInput(text string) *bufio.Reader {
	return bufio.NewReaderSize(strings.NewReader(text), resp.MaxLine)
}

func command(words ...string) *engine.Request {
	q := &engine.Request{}
	for _, w := range words {
		q.Args = append(q.Args, []byte(w))
	}
	return q
}

// With an origin, a GET of a key that the server does not hold is a miss, which counts as not run. All other
// replies are results of the command.
func TestMisses(t *testing.T) {
	longKey := command("GET", "k")
	longKey.Key = strings.Repeat("k", MaxOriginKey+1)
	for _, row := range []struct {
		q      *engine.Request
		answer string
		origin bool
		want   decide.Status
	}{
		{command("GET", "k"), "$-1", true, decide.Miss}, {command("get", "k"), "_", true, decide.Miss}, {command("GET", "k"), "$-1", false, decide.OK},
		{command("GET", "k"), "$0\r\n", true, decide.OK}, {command("GETDEL", "k"), "$-1", true, decide.OK}, {command("MGET", "k", "l"), "*2\r\n$-1\r\n$-1", true, decide.OK},
		{longKey, "$-1", true, decide.OK}, {&engine.Request{Key: "k"}, "$-1", true, decide.Miss}, {&engine.Request{Key: "k", Write: true}, "$-1", true, decide.OK},
		{command("GET", "k"), "-LOADING x", true, decide.QueueFull},
	} {
		a, _, err := Protocol{Cluster: &fakeTopology{}, Origin: row.origin}.ReadAnswer(newInput(row.answer+"\r\n"), "10.0.0.1:7000", row.q, engine.Try{}, func() {})
		if err != nil || a.Status != row.want || a.Status == decide.Miss && (a.Content != nil || a.CacheResult != 2) {
			t.Errorf("%q %q: %+v, %v", row.q.Args, row.answer, a, err)
		}
	}
}

// Requests of front ends of other protocols are sent as GET and SET, and the replies are converted for them.
func TestRequestsOfOtherFronts(t *testing.T) {
	read, write := &engine.Request{Key: "k"}, &engine.Request{Key: "k", Value: []byte("v\r\n"), Write: true}
	p := Protocol{Cluster: &fakeTopology{}}
	for _, row := range []struct {
		q    *engine.Request
		try  engine.Try
		want string
	}{
		{read, engine.Try{}, "*2\r\n$3\r\nGET\r\n$1\r\nk\r\n"}, {write, engine.Try{}, "*3\r\n$3\r\nSET\r\n$1\r\nk\r\n$3\r\nv\r\n\r\n"},
		{read, engine.Try{Asking: true}, "*1\r\n$6\r\nASKING\r\n*2\r\n$3\r\nGET\r\n$1\r\nk\r\n"},
	} {
		if got, err := p.Command("", row.q, row.try); err != nil || string(got) != row.want {
			t.Errorf("%q, %v, want %q", got, err, row.want)
		}
	}
	if _, err := p.Command("", &engine.Request{}, engine.Try{}); err == nil {
		t.Error("no error for a request without a key")
	}
	for _, row := range []struct {
		q              *engine.Request
		answer, body   string
		absent, failed bool
	}{
		{read, "$1\r\nx", "x", false, false}, {read, "$0\r\n", "", false, false}, {read, "$-1", "", true, false}, {write, "+OK", "OK", false, false},
		{read, "-WRONGTYPE x", "", false, true}, {write, "-ERR x", "", false, true}, {read, ":7", "", false, true}, {write, "$-1", "", false, true},
	} {
		a, _, err := p.ReadAnswer(newInput(row.answer+"\r\n"), "10.0.0.1:7000", row.q, engine.Try{}, func() {})
		if err != nil || a.Status != decide.OK || string(a.Body) != row.body || a.Absent != row.absent || (a.Content != nil) != row.failed {
			t.Errorf("%q: %+v, %v", row.answer, a, err)
		}
	}
}

// A MOVED redirection changes the published owner of its slot and of no other slot.
func TestMovedChangesOneSlot(t *testing.T) {
	now := 1000.0
	c := NewCluster(Config{Now: func() float64 { return now }, Log: t.Logf})
	if err := c.applyMap(slots.Map{Epoch: 1, Ranges: []slots.Range{{From: 0, To: slots.Count - 1, Owner: slots.Owner{Primary: "10.0.0.1:1"}}}}); err != nil {
		t.Fatal(err)
	}
	if _, ok := c.HandleMoved(7, "10.0.0.2:1"); !ok {
		t.Fatal("redirection rejected")
	}
	for s := range slots.Count {
		want := "10.0.0.1:1"
		if s == 7 {
			want = "10.0.0.2:1"
		}
		if o := c.Owners(s, true); len(o) != 1 || o[0] != member.ServerID(want) {
			t.Fatalf("slot %d: %v", s, o)
		}
	}
}

// fragmentedSlots returns a reply to CLUSTER SLOTS with n ranges of one slot each.
func fragmentedSlots(n int) []byte {
	b := resp.AppendArrayHeader(nil, n)
	for s := range n {
		b = resp.AppendInt(resp.AppendInt(resp.AppendArrayHeader(b, 6), int64(s)), int64(s))
		for i := range 4 {
			b = resp.AppendInt(resp.AppendBulk(resp.AppendArrayHeader(b, 3), fmt.Appendf(nil, "10.0.%d.%d", s%200, i)), 7000)
			b = resp.AppendBulk(b, bytes.Repeat([]byte("a"), 40))
		}
	}
	return b
}

// The slot map of a cluster with fragmented slots has megabytes and must be accepted. A map with more ranges
// than slots, or a truncated or malformed one, is rejected.
func TestFragmentedSlotMap(t *testing.T) {
	text := fragmentedSlots(slots.Count)
	got, err := readRanges(resp.NewReader(bufio.NewReaderSize(bytes.NewReader(text), resp.MaxLine)), "x:1")
	if err != nil || len(got) != slots.Count || got[9].Primary != "10.0.9.0:7000" || len(got[9].Replicas) != 3 {
		t.Fatalf("%d bytes: %d ranges, %v", len(text), len(got), err)
	}
	for name, bad := range map[string][]byte{"too many": fragmentedSlots(slots.Count + 1), "cut": text[:len(text)/2], "no array": []byte("-ERR no\r\n"),
		"null": []byte("*-1\r\n"), "empty": nil, "a long run": append([]byte("*1\r\n*2000000\r\n"), text...)} {
		if _, err := readRanges(resp.NewReader(bufio.NewReaderSize(bytes.NewReader(bad), resp.MaxLine)), "x:1"); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

// BenchmarkFragmentedSlotMap measures reading and applying the largest slot map.
func BenchmarkFragmentedSlotMap(b *testing.B) {
	text, now := fragmentedSlots(slots.Count), 1000.0
	c, _ := newTestCluster(&now)
	b.ReportAllocs()
	for e := uint64(1); b.Loop(); e++ {
		ranges, err := readRanges(resp.NewReader(bufio.NewReaderSize(bytes.NewReader(text), resp.MaxLine)), "x:1")
		if err == nil {
			err = c.applyMap(slots.Map{Epoch: e, Ranges: ranges})
		}
		if err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkMoved measures HandleMoved during the migration of 10000 slots.
func BenchmarkMoved(b *testing.B) {
	now := 1000.0
	c := NewCluster(Config{Now: func() float64 { now += 0.5; return now }, Log: b.Logf})
	if err := c.applyMap(slots.Map{Epoch: 1, Ranges: []slots.Range{{From: 0, To: slots.Count - 1, Owner: slots.Owner{Primary: "10.0.0.1:1"}}}}); err != nil {
		b.Fatal(err)
	}
	targets := []string{"10.0.0.2:1", "10.0.0.1:1"}
	c.HandleMoved(0, targets[0])
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		c.HandleMoved(i%10000, targets[i/10000%2])
	}
}

// For each reply of a server: the status of the attempt, the calls to the Topology, and the new owners.
func TestErrorTable(t *testing.T) {
	for _, row := range []struct {
		answer    string
		status    decide.Status
		wantCalls string
		owners    int // the returned owner, 0 = none
		asking    bool
	}{
		{"+OK", decide.OK, "", 0, false}, {":7", decide.OK, "", 0, false}, {"$-1", decide.OK, "", 0, false},
		{"-ERR no such thing", decide.OK, "", 0, false}, {"-WRONGTYPE x", decide.OK, "", 0, false}, {"!5\r\nERR x", decide.OK, "", 0, false},
		{"-MOVED 7 10.0.0.2:7000", decide.Ignored, "moved 7 10.0.0.2:7000", 1, false},
		{"-MOVED 7 :7001", decide.Ignored, "moved 7 10.0.0.1:7001", 1, false}, // omitted host: the server's
		{"-MOVED 7 10.0.0.1:7000", decide.Ignored, "doubt", 0, false},         // to itself
		{"-MOVED x 10.0.0.2:7000", decide.Ignored, "doubt", 0, false}, {"-MOVED", decide.Ignored, "doubt", 0, false}, {"-MOVED 7", decide.Ignored, "doubt", 0, false},
		{"-ASK 7 10.0.0.2:7000", decide.Ignored, "asked 10.0.0.2:7000", 2, true}, {"-ASK 7 10.0.0.1:7000", decide.Ignored, "doubt", 0, false},
		{"-TRYAGAIN x", decide.Ignored, "", 0, false}, {"-CLUSTERDOWN x", decide.Ignored, "doubt", 0, false}, {"-READONLY x", decide.Ignored, "doubt", 0, false},
		{"-LOADING x", decide.QueueFull, "", 0, false}, {"-MASTERDOWN x", decide.QueueFull, "doubt", 0, false}, {"-BUSY x", decide.QueueFull, "", 0, false},
		{"-MISCONF x", decide.QueueFull, "", 0, false}, {"-OOM x", decide.QueueFull, "", 0, false}, {"-NOREPLICAS x", decide.QueueFull, "", 0, false},
		{"-NOAUTH x", decide.QueueFull, "", 0, false}, {"-WRONGPASS x", decide.QueueFull, "", 0, false}, {"-NOPERM x", decide.QueueFull, "", 0, false},
	} {
		for _, reject := range []bool{false, true} {
			h := &fakeTopology{reject: reject}
			a, reuse, err := Protocol{Cluster: h}.ReadAnswer(newInput(row.answer+"\r\n"), "10.0.0.1:7000", command("INCR", "k"), engine.Try{}, func() {})
			owners := 0
			if len(a.Owners) > 0 {
				owners = int(a.Owners[0])
			}
			want, asking := row.owners, row.asking
			if reject { // a rejected redirection must not change the owners
				want, asking = 0, false
			}
			if err != nil || reuse != engine.Identified || a.Status != row.status || strings.Join(h.calls, ";") != row.wantCalls || owners != want || a.Asking != asking {
				t.Errorf("%s (rejected %v): %+v, %v; calls %q", row.answer, reject, a, err, h.calls)
			}
			if (a.Content == nil) != (row.status != decide.OK) {
				t.Errorf("%s: content %v", row.answer, a.Content)
			}
			if row.status != decide.OK && !row.status.NeverRan() {
				t.Errorf("%s: status does not prove that the command did not run", row.answer)
			}
		}
	}
}

// A truncated or malformed reply is an error that closes the connection; the attempt counts as run.
func TestMalformedAnswers(t *testing.T) {
	for _, text := range []string{"", "$5\r\nab", "hello\r\n", "*2\r\n+a\r\n", "$99999999\r\n"} {
		if _, reuse, err := (Protocol{Cluster: &fakeTopology{}}).ReadAnswer(newInput(text), "a:1", &engine.Request{}, engine.Try{}, func() {}); err == nil || reuse != engine.NoReuse {
			t.Errorf("%q accepted", text)
		}
	}
}

// ASKING precedes the command in the same write. The replies to ASKING and to the commands of Preamble
// are skipped, and so are push messages.
func TestCommandPreamble(t *testing.T) {
	p := Protocol{Cluster: &fakeTopology{}, User: "u", Password: "p", Replicas: true}
	r := &engine.Request{Args: [][]byte{[]byte("GET"), []byte("k")}}
	wire, err := p.Command("a:1", r, engine.Try{Asking: true})
	if want := "*1\r\n$6\r\nASKING\r\n*2\r\n$3\r\nGET\r\n$1\r\nk\r\n"; err != nil || string(wire) != want {
		t.Errorf("%q, %v", wire, err)
	}
	if got, want := string(p.Preamble()), "*3\r\n$4\r\nAUTH\r\n$1\r\nu\r\n$1\r\np\r\n*1\r\n$8\r\nREADONLY\r\n"; got != want {
		t.Errorf("%q", got)
	}
	b := newInput("+OK\r\n-ERR no\r\n+OK\r\n>1\r\n+news\r\n$1\r\nv\r\n")
	if err := p.ReadPreambleReply(b); err != nil {
		t.Error(err)
	}
	a, _, err := p.ReadAnswer(b, "a:1", r, engine.Try{Asking: true}, func() {})
	if got, ok := a.Content.(*resp.Reply); err != nil || !ok || string(got.Text) != "v" {
		t.Errorf("%+v, %v", a, err)
	}
	if _, err := p.Command("a:1", &engine.Request{}, engine.Try{}); err == nil {
		t.Error("no error for a request without a command")
	}
	if _, err := b.ReadByte(); err != io.EOF {
		t.Error("unread input remains")
	}
}

// newTestCluster returns a cluster with the clock *now, and the lists of servers that it publishes.
func newTestCluster(now *float64) (*Cluster, *[]member.List) {
	c := NewCluster(Config{Seeds: []string{"s:1"}, Site: "a", Now: func() float64 { return *now }, Log: func(string, ...any) {}})
	lists := &[]member.List{}
	c.onUpdate = func(l member.List) { *lists = append(*lists, l) }
	return c, lists
}

func addresses(l member.List) (out []string) {
	for _, e := range l.Servers {
		out = append(out, e.Addr)
	}
	return out
}

// The list of servers follows maps and redirections. A server that only a redirection names is published at
// once, and removed if no map lists it within 10 s.
func TestListFollowsTheMap(t *testing.T) {
	now := 1e12
	c, lists := newTestCluster(&now)
	halves := func(epoch uint64, a, b string) slots.Map {
		return slots.Map{Epoch: epoch, Ranges: []slots.Range{{From: 0, To: 8191, Owner: slots.Owner{Primary: a}}, {From: 8192, To: 16383, Owner: slots.Owner{Primary: b}}}}
	}
	last := func() member.List { return (*lists)[len(*lists)-1] }
	if err := c.applyMap(halves(1, "a:1", "b:1")); err != nil {
		t.Fatal(err)
	}
	if got := addresses(last()); !slices.Equal(got, []string{"a:1", "b:1"}) || last().Servers[0].Started != 0 || !last().Full {
		t.Errorf("first map: %+v", last())
	}
	if got := c.Owners(3, true); !slices.Equal(got, []uint32{serverID("a:1")}) {
		t.Errorf("owners %v", got)
	}
	now += 1000
	owners, ok := c.HandleMoved(3, "c:1")
	if got := addresses(last()); !ok || !slices.Equal(owners, []uint32{serverID("c:1")}) || !slices.Equal(got, []string{"a:1", "b:1", "c:1"}) {
		t.Errorf("redirection to an unlisted server: owners %v, list %v", owners, got)
	}
	if !slices.Equal(c.Owners(3, false), owners) || !slices.Equal(c.Owners(4, false), []uint32{serverID("a:1")}) {
		t.Error("redirection not applied, or applied to other slots")
	}
	n := len(*lists)
	c.HandleAsk("c:1")
	c.HandleMoved(5, "c:1")
	if len(*lists) != n {
		t.Error("list published again for a listed server")
	}
	now += 11000
	if err := c.applyMap(halves(2, "a:1", "b:1")); err != nil || slices.Contains(addresses(last()), "c:1") {
		t.Errorf("server that no map lists was kept: %v, %v", addresses(last()), err)
	}
	if _, ok := c.HandleMoved(3, "nonsense"); ok {
		t.Error("invalid address accepted")
	}
	if err := c.applyMap(halves(1, "x:1", "x:1")); err == nil || !slices.Equal(c.Owners(3, true), []uint32{serverID("a:1")}) {
		t.Errorf("older map accepted: %v", err)
	}
	if got := c.Owners(-1, true); got == nil || len(got) != 0 {
		t.Errorf("owners of an invalid slot: %v", got)
	}
}

// Redirections can't add more than maxNodes servers.
func TestServersAreBounded(t *testing.T) {
	now := 1e12
	c, lists := newTestCluster(&now)
	for i := range 2 * maxNodes {
		c.HandleAsk(fmt.Sprintf("h%d:1", i))
	}
	if got := len((*lists)[len(*lists)-1].Servers); got != maxNodes {
		t.Errorf("%d servers", got)
	}
}

// Replicas serve reads if the pool allows it, and never writes.
func TestReplicas(t *testing.T) {
	now := 1e12
	c, _ := newTestCluster(&now)
	c.cfg.Protocol.Replicas = true
	if err := c.applyMap(slots.Map{Epoch: 1, Ranges: []slots.Range{{From: 0, To: 16383, Owner: slots.Owner{Primary: "a:1", Replicas: []string{"b:1", "c:1"}}}}}); err != nil {
		t.Fatal(err)
	}
	if w, r := c.Owners(1, true), c.Owners(1, false); len(w) != 1 || len(r) != 3 || r[0] != w[0] {
		t.Errorf("writes %v, reads %v", w, r)
	}
}

// Reading any reply to CLUSTER INFO and CLUSTER SLOTS terminates, and an accepted map yields servers.
func FuzzReadMap(f *testing.F) {
	f.Add([]byte("$25\r\ncluster_current_epoch:3\r\n\r\n*1\r\n*3\r\n:0\r\n:16383\r\n*2\r\n$0\r\n\r\n:7000\r\n"))
	f.Add([]byte("-ERR x\r\n*1\r\n*2\r\n:0\r\n:1\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		r := resp.NewReader(bufio.NewReaderSize(bytes.NewReader(text), resp.MaxLine))
		info, err := r.ReadReply()
		if err != nil {
			return
		}
		m := slots.Map{}
		if m.Epoch, err = readEpoch(&info); err != nil {
			return
		}
		if m.Ranges, err = readRanges(r, "10.0.0.1:7000"); err != nil {
			return
		}
		now := 1.0
		c, _ := newTestCluster(&now)
		if c.applyMap(m) == nil && len(c.nodes) == 0 {
			t.Errorf("map without servers accepted: %+v", m)
		}
	})
}

// Guards against a drain that is known too late: a change that one refresh has just missed is known within 500 ms, whether the next one is
// requested or not, as long as two refreshes and the least delay fit in.
func TestChangeMissedByARefreshIsKnownInTime(t *testing.T) {
	const drainKnownWithin = 500 * time.Millisecond
	for took := time.Millisecond; 2*took+minRefreshDelay <= drainKnownWithin; took += time.Millisecond {
		for name, delay := range map[string]time.Duration{"requested": requestedDelay(took), "not requested": pollDelay(took)} {
			if known := took + delay + took; known > drainKnownWithin {
				t.Errorf("%s: refreshes of %v, %v between them: known after %v", name, took, delay, known)
			}
		}
		if delay := requestedDelay(took); delay < minRefreshDelay || delay > epochInterval {
			t.Errorf("delay of %v", delay)
		}
	}
}
