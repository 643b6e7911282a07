package resp

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"mossproxy.example/mossproxy/internal/front"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"mossproxy.example/mossproxy/internal/proto/resp"
	"mossproxy.example/mossproxy/internal/pure/slots"
	"mossproxy.example/mossproxy/internal/pure/tier"
	"mossproxy.example/mossproxy/internal/standin/standintest"
)

// fakePeer imitates another router of the tier: it answers each poll with a preset reply.
type fakePeer struct {
	addr  string
	ln    net.Listener
	mu    sync.Mutex
	reply string // "" = does not reply, "close" = closes the connection
	wg    sync.WaitGroup
}

func startFakePeer(t *testing.T, reply string) *fakePeer {
	t.Helper()
	o := &fakePeer{ln: standintest.Listen(t), reply: reply}
	o.addr = o.ln.Addr().String()
	o.wg.Go(func() {
		for {
			c, err := o.ln.Accept()
			if err != nil {
				return
			}
			o.wg.Go(func() { o.serve(c) })
		}
	})
	t.Cleanup(func() { o.ln.Close(); o.wg.Wait() })
	return o
}

func (o *fakePeer) setReply(reply string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reply = reply
}

func (o *fakePeer) serve(c net.Conn) {
	defer c.Close()
	r, cmd := resp.NewReader(bufio.NewReaderSize(c, resp.MaxLine)), new(resp.Command)
	for r.ReadCommand(cmd) == nil {
		o.mu.Lock()
		reply := o.reply
		o.mu.Unlock()
		switch reply {
		case "":
			io.Copy(io.Discard, c) //nolint:errcheck // until the other side closes
			return
		case "close":
			return
		}
		if _, err := io.WriteString(c, reply+"\r\n"); err != nil {
			return
		}
	}
}

// startPolling returns router 0 of a tier with the given peers, which it polls until the test ends.
func startPolling(t *testing.T, others ...*fakePeer) *Protocol {
	t.Helper()
	peers := []string{"127.0.0.1:1"}
	for _, o := range others {
		peers = append(peers, o.addr)
	}
	p := New(Config{ReadClass: "r", WriteClass: "w", Owners: testOwners, Peers: peers}, "")
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.PollPeers(ctx, t.Logf)
	}()
	t.Cleanup(func() { stop(); <-done })
	return p
}

// slotInPartition returns a slot in the partition that belongs to a router by default.
func slotInPartition(p *Protocol, router int) int {
	for s := range slots.Count {
		if s*len(p.peers.assignment.Load().ServedBy)/slots.Count == router {
			return s
		}
	}
	return -1
}

// A peer that drains, loads, does not reply or sends invalid RESP loses its slots to the next router. It gets
// them back when it serves again. An error reply, as from a router of another version, counts as serving.
func TestSlotsFollowPeerStates(t *testing.T) {
	one, two := startFakePeer(t, "+serving"), startFakePeer(t, "+serving")
	p := startPolling(t, one, two)
	slot := slotInPartition(p, 1)
	for _, step := range []struct{ reply, want string }{
		{"+serving", one.addr}, {"+draining", two.addr}, {"+serving", one.addr}, {"+loading", two.addr}, {"-ERR what?", one.addr},
		{"close", two.addr}, {"+serving", one.addr}, {"", two.addr}, {"+serving", one.addr}, {"no RESP", two.addr}, {"+draining\r\n+serving", two.addr},
	} {
		one.setReply(step.reply)
		standintest.Until(t, step.reply, func() bool { return p.redirect(slot, false) == fmt.Sprintf("MOVED %d %s", slot, step.want) })
	}
	two.setReply("+draining")
	standintest.Until(t, "neither peer serves", func() bool { return p.redirect(slot, false) == "" })
	if got := string(p.clusterSlots()); strings.Contains(got, two.addr[strings.LastIndex(two.addr, ":")+1:]) {
		t.Errorf("the slot map names a draining router: %q", got)
	}
	if p.redirect(slotInPartition(p, 2), true) != "" || p.redirect(slotInPartition(p, 0), false) != "" {
		t.Error("a slot that no other router serves is redirected")
	}
}

// A draining router redirects the slots that it serves to a serving router, not to one that is draining too.
func TestDrainRedirectsToServingRouter(t *testing.T) {
	one, two := startFakePeer(t, "+draining"), startFakePeer(t, "+serving")
	p := startPolling(t, one, two)
	ownSlot, movedSlot, peerSlot := slotInPartition(p, 0), slotInPartition(p, 1), slotInPartition(p, 2)
	standintest.Until(t, "the first peer is known to drain", func() bool { return p.redirect(movedSlot, false) != fmt.Sprintf("MOVED %d %s", movedSlot, one.addr) })
	p.Drain(true)
	for _, s := range []int{ownSlot} {
		if got, want := p.redirect(s, false), fmt.Sprintf("ASK %d %s", s, two.addr); got != want {
			t.Errorf("%q, want %q", got, want)
		}
		if got := p.redirect(s, true); got == "" {
			t.Error("a draining router serves a slot after ASKING, although the next router would redirect it back")
		}
	}
	for _, s := range []int{movedSlot, peerSlot} {
		if got, want := p.redirect(s, false), fmt.Sprintf("MOVED %d %s", s, two.addr); got != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
	two.setReply("+draining")
	standintest.Until(t, "no router serves", func() bool { return p.redirect(ownSlot, false) == "" })
}

func TestState(t *testing.T) {
	e := newEngine(t)
	p := New(Config{ReadClass: "r", WriteClass: "w", Owners: testOwners, Logins: []Login{{User: "a"}}}, "127.0.0.1:1")
	s := p.Session(front.Peer{}).(*session)
	if got, _ := readCommand(t, s, e, "yoke", "state"); got != "+serving" {
		t.Errorf("%q", got)
	}
	if got, _ := readCommand(t, s, e, "GET", "k"); got != "-NOAUTH Authentication required." {
		t.Errorf("%q", got)
	}
	p.Drain(true)
	if got, _ := readCommand(t, s, e, "YOKE", "STATE"); got != "+draining" {
		t.Errorf("%q", got)
	}
	p.Drain(false) // an operator puts it back into service
	if got, _ := readCommand(t, s, e, "YOKE", "STATE"); got != "+serving" {
		t.Errorf("after the drain has ended: %q", got)
	}
}

// The slot map covers all slots without overlap and assigns those of an unresponsive router to the next one.
func TestClusterMapOfTier(t *testing.T) {
	p := New(Config{ReadClass: "r", WriteClass: "w", Owners: testOwners, Peers: []string{"10.0.0.1:1", "10.0.0.2:2", "10.0.0.3:3"}, Self: 1}, "")
	for range 3 {
		p.peers.update(func(t *tier.Table) bool { return t.RecordMissedReply(2) })
	}
	r, err := resp.NewReader(bufio.NewReaderSize(strings.NewReader(string(p.clusterSlots())), resp.MaxLine)).ReadReply()
	if err != nil {
		t.Fatal(err)
	}
	next, ports := 0, ""
	for _, slotRange := range r.Items {
		if got := string(slotRange.Items[0].Text); got != fmt.Sprint(next) {
			t.Errorf("a slot range begins at %s, want %d", got, next)
		}
		fmt.Sscan(string(slotRange.Items[1].Text), &next)
		next++
		ports += string(slotRange.Items[2].Items[1].Text)
	}
	if next != slots.Count || ports != "121" {
		t.Errorf("slots covered up to %d, by the ports %s", next, ports)
	}
	if nodes := string(p.clusterNodes()); strings.Count(nodes, "\n") != 3 || !strings.Contains(nodes, "10.0.0.3:3@10003 master - 0 0 2 connected\n") ||
		!strings.Contains(nodes, "10.0.0.1:1@10001 master - 0 0 2 connected 0-5461 10923-16383\n") {
		t.Errorf("%s", nodes)
	}
	shards, err := resp.NewReader(bufio.NewReaderSize(strings.NewReader(string(p.clusterShards(2))), resp.MaxLine)).ReadReply()
	if err != nil || len(shards.Items) != 2 || len(shards.Items[0].Items[1].Items) != 4 {
		t.Errorf("%+v, %v", shards, err)
	}
}

// Guards against a nil connection in the cancellation callback: the peer closes the connection just as the
// context ends, so the poller drops its connection while the callback that interrupts the read still runs.
func TestPollCancelledAsConnectionCloses(t *testing.T) {
	ln := standintest.Listen(t)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			c.Read(make([]byte, 100)) //nolint:errcheck // the connection is closed whatever arrives
			c.Close()
		}
	}()
	for i := range 300 {
		ctx, stop := context.WithCancel(t.Context())
		poller := &statePoller{addr: ln.Addr().String()}
		cancel := time.AfterFunc(time.Duration(i%100)*3*time.Microsecond, stop)
		if reply, err := poller.poll(ctx); err == nil {
			t.Fatalf("unexpected reply %q", reply)
		}
		poller.close()
		cancel.Stop()
		stop()
	}
}

// If the fleet view names the routers, redirects follow the view and this router's own state.
func TestSlotsFollowFleetView(t *testing.T) {
	p := New(Config{ReadClass: "r", WriteClass: "w", Owners: testOwners, RouterName: "b"}, "127.0.0.2:2")
	view := func(state tier.State) []tier.Router {
		return []tier.Router{{Name: "a", Addr: "127.0.0.1:1", State: state}, {Name: "b", Addr: "127.0.0.9:9"}}
	}
	count := func(errorName string) (n int) {
		for slot := range slots.Count {
			if strings.HasPrefix(p.redirect(slot, false), errorName+" ") {
				n++
			}
		}
		return n
	}
	if n := count("MOVED"); n != 0 {
		t.Errorf("a router without peers redirects clients for %d slots", n)
	}
	for _, step := range []struct {
		what        string
		do          func() tier.State
		wantState   tier.State
		moved, asks bool
	}{
		{"it loads", func() tier.State { return p.UpdateRouters(view(tier.Serving), false) }, tier.Loading, true, false},
		{"it serves", func() tier.State { return p.UpdateRouters(view(tier.Serving), true) }, tier.Serving, true, false},
		{"the other drains", func() tier.State { return p.UpdateRouters(view(tier.Draining), true) }, tier.Serving, false, false},
		{"both drain", func() tier.State { p.Drain(true); return p.UpdateRouters(view(tier.Draining), true) }, tier.Draining, true, true},
		{"it drains", func() tier.State { return p.UpdateRouters(view(tier.Serving), true) }, tier.Draining, true, true},
		{"it drains alone", func() tier.State { return p.UpdateRouters(nil, true) }, tier.Draining, false, false},
		{"it serves again", func() tier.State { p.Drain(false); return p.UpdateRouters(view(tier.Serving), true) }, tier.Serving, true, false},
	} {
		if got := step.do(); got != step.wantState {
			t.Errorf("%s: announced state is %v", step.what, got)
		}
		moved, asks := count("MOVED"), count("ASK")
		if step.what == "both drain" { // each keeps its slots and refuses the requests with the reason
			if asks != 0 || moved == 0 {
				t.Errorf("both drain: %d slots redirected by MOVED, %d by ASK", moved, asks)
			}
			continue
		}
		if (moved > 0) != step.moved || (asks > 0) != step.asks || moved+asks > slots.Count {
			t.Errorf("%s: %d slots redirected by MOVED, %d by ASK", step.what, moved, asks)
		}
	}
	if p.redirect(0, true) != "" {
		t.Error("a slot is redirected although ASKING was sent")
	}
}
