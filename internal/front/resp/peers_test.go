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

// fakePeer is another router as far as its peers see it: it says of itself what it is told to.
type fakePeer struct {
	addr  string
	ln    net.Listener
	mu    sync.Mutex
	reply string // "" = nothing, "close" = ends the connection
	wg    sync.WaitGroup
}

func startFakePeer(t *testing.T, say string) *fakePeer {
	t.Helper()
	o := &fakePeer{ln: standintest.Listen(t), reply: say}
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

func (o *fakePeer) setReply(say string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reply = say
}

func (o *fakePeer) serve(c net.Conn) {
	defer c.Close()
	r, cmd := resp.NewReader(bufio.NewReaderSize(c, resp.MaxLine)), new(resp.Command)
	for r.ReadCommand(cmd) == nil {
		o.mu.Lock()
		say := o.reply
		o.mu.Unlock()
		switch say {
		case "":
			io.Copy(io.Discard, c) //nolint:errcheck // until the other side leaves
			return
		case "close":
			return
		}
		if _, err := io.WriteString(c, say+"\r\n"); err != nil {
			return
		}
	}
}

// startPolling is router 0 of a tier with others, which it asks until the test ends.
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

// slotInPartition is a slot of a router's own part.
func slotInPartition(p *Protocol, router int) int {
	for s := range slots.Count {
		if s*len(p.peers.assignment.Load().ServedBy)/slots.Count == router {
			return s
		}
	}
	return -1
}

// What another router says, or fails to say, moves its part to the next and back.
func TestPartsFollowThePeers(t *testing.T) {
	one, two := startFakePeer(t, "+serving"), startFakePeer(t, "+serving")
	p := startPolling(t, one, two)
	slot := slotInPartition(p, 1)
	for _, step := range []struct{ say, want string }{
		{"+serving", one.addr}, {"+draining", two.addr}, {"+serving", one.addr}, {"+loading", two.addr}, {"-ERR what?", one.addr},
		{"close", two.addr}, {"+serving", one.addr}, {"", two.addr}, {"+serving", one.addr}, {"no RESP", two.addr}, {"+draining\r\n+serving", two.addr},
	} {
		one.setReply(step.say)
		standintest.Until(t, step.say, func() bool { return p.redirect(slot, false) == fmt.Sprintf("MOVED %d %s", slot, step.want) })
	}
	two.setReply("+draining")
	standintest.Until(t, "both are out", func() bool { return p.redirect(slot, false) == "" })
	if got := string(p.clusterSlots()); strings.Contains(got, two.addr[strings.LastIndex(two.addr, ":")+1:]) {
		t.Errorf("the map names who drains: %q", got)
	}
	if p.redirect(slotInPartition(p, 2), true) != "" || p.redirect(slotInPartition(p, 0), false) != "" {
		t.Error("what is nobody else's is not served")
	}
}

// A router that drains hands on what it serves by then, to one that serves: not to one that drains too.
func TestDrainHandsOnToWhoServes(t *testing.T) {
	one, two := startFakePeer(t, "+draining"), startFakePeer(t, "+serving")
	p := startPolling(t, one, two)
	own, taken, others := slotInPartition(p, 0), slotInPartition(p, 1), slotInPartition(p, 2)
	standintest.Until(t, "one drains", func() bool { return p.redirect(taken, false) != fmt.Sprintf("MOVED %d %s", taken, one.addr) })
	p.Drain(true)
	for _, s := range []int{own} {
		if got, want := p.redirect(s, false), fmt.Sprintf("ASK %d %s", s, two.addr); got != want {
			t.Errorf("%q, want %q", got, want)
		}
		if got := p.redirect(s, true); got == "" {
			t.Error("who drains serves nothing by leave: the next would send it back")
		}
	}
	for _, s := range []int{taken, others} {
		if got, want := p.redirect(s, false), fmt.Sprintf("MOVED %d %s", s, two.addr); got != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
	two.setReply("+draining")
	standintest.Until(t, "nobody serves", func() bool { return p.redirect(own, false) == "" })
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
	p.Drain(false) // operators have it back in service
	if got, _ := readCommand(t, s, e, "YOKE", "STATE"); got != "+serving" {
		t.Errorf("back: %q", got)
	}
}

// The map that clients read: whole, without overlap, and with the parts of a silent router at the next.
func TestMapOfATier(t *testing.T) {
	p := New(Config{ReadClass: "r", WriteClass: "w", Owners: testOwners, Peers: []string{"10.0.0.1:1", "10.0.0.2:2", "10.0.0.3:3"}, Self: 1}, "")
	for range 3 {
		p.peers.update(func(t *tier.Table) bool { return t.RecordMissedReply(2) })
	}
	r, err := resp.NewReader(bufio.NewReaderSize(strings.NewReader(string(p.clusterSlots())), resp.MaxLine)).ReadReply()
	if err != nil {
		t.Fatal(err)
	}
	next, ports := 0, ""
	for _, run := range r.Items {
		if got := string(run.Items[0].Text); got != fmt.Sprint(next) {
			t.Errorf("a run begins at %s, want %d", got, next)
		}
		fmt.Sscan(string(run.Items[1].Text), &next)
		next++
		ports += string(run.Items[2].Items[1].Text)
	}
	if next != slots.Count || ports != "121" {
		t.Errorf("up to %d, by %s", next, ports)
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

// A router that is asked ends the connection in the moment in which the time for its answer is up: the asker lets go of the connection, which
// what ends its waiting must not look for any more.
func TestAskEndsAsItsTimeIsUp(t *testing.T) {
	ln := standintest.Listen(t)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			c.Read(make([]byte, 100)) //nolint:errcheck // it is closed whatever comes
			c.Close()
		}
	}()
	for i := range 300 {
		ctx, stop := context.WithCancel(t.Context())
		a := &statePoller{addr: ln.Addr().String()}
		cancel := time.AfterFunc(time.Duration(i%100)*3*time.Microsecond, stop)
		if word, err := a.poll(ctx); err == nil {
			t.Fatalf("answered %q", word)
		}
		a.close()
		cancel.Stop()
		stop()
	}
}

// Where a view names the routers, what a pool's client hears follows it and this router's own state.
func TestPartsFollowTheView(t *testing.T) {
	p := New(Config{ReadClass: "r", WriteClass: "w", Owners: testOwners, RouterName: "b"}, "127.0.0.2:2")
	all := func(state tier.State) []tier.Router {
		return []tier.Router{{Name: "a", Addr: "127.0.0.1:1", State: state}, {Name: "b", Addr: "127.0.0.9:9"}}
	}
	count := func(word string) (n int) {
		for slot := range slots.Count {
			if strings.HasPrefix(p.redirect(slot, false), word+" ") {
				n++
			}
		}
		return n
	}
	if n := count("MOVED"); n != 0 {
		t.Errorf("alone it sends clients away from %d slots", n)
	}
	for _, step := range []struct {
		what        string
		do          func() tier.State
		word        tier.State
		moved, asks bool
	}{
		{"it loads", func() tier.State { return p.UpdateRouters(all(tier.Serving), false) }, tier.Loading, true, false},
		{"it serves", func() tier.State { return p.UpdateRouters(all(tier.Serving), true) }, tier.Serving, true, false},
		{"the other drains", func() tier.State { return p.UpdateRouters(all(tier.Draining), true) }, tier.Serving, false, false},
		{"both drain", func() tier.State { p.Drain(true); return p.UpdateRouters(all(tier.Draining), true) }, tier.Draining, true, true},
		{"it drains", func() tier.State { return p.UpdateRouters(all(tier.Serving), true) }, tier.Draining, true, true},
		{"it drains alone", func() tier.State { return p.UpdateRouters(nil, true) }, tier.Draining, false, false},
		{"it serves again", func() tier.State { p.Drain(false); return p.UpdateRouters(all(tier.Serving), true) }, tier.Serving, true, false},
	} {
		if got := step.do(); got != step.word {
			t.Errorf("%s: its word is %v", step.what, got)
		}
		moved, asks := count("MOVED"), count("ASK")
		if step.what == "both drain" { // each keeps its part: what comes there is refused by who knows why
			if asks != 0 || moved == 0 {
				t.Errorf("both drain: %d moved, %d asked elsewhere", moved, asks)
			}
			continue
		}
		if (moved > 0) != step.moved || (asks > 0) != step.asks || moved+asks > slots.Count {
			t.Errorf("%s: %d moved, %d asked elsewhere", step.what, moved, asks)
		}
	}
	if p.redirect(0, true) != "" {
		t.Error("by leave it does not serve")
	}
}
