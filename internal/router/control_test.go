package router

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"mossproxy.example/mossproxy/internal/engine"
	"mossproxy.example/mossproxy/internal/member"
)

// operated starts a router that operators reach, over a list that discovery gives, and waits until it is ready.
func operated(t *testing.T, entries ...member.Entry) (*running, *Control) {
	t.Helper()
	d := startDirectory(t, full(entries...))
	c := NewControl(1)
	r := startSetup(t, Setup{Config: testConfig(t, d.Listener.Addr().String(), member.List{}), Control: c})
	until(t, "the router to be ready", c.Ready)
	return r, c
}

func (c *client) closed() bool { return c.line() == "EOF" }

// After the call mn says no at once; who still comes is served, on old and new connections; then each connection ends between two
// requests, and none that is open loses its answer. Back, mn says yes at once.
func TestOutOfService(t *testing.T) {
	release := make(chan struct{})
	s := startFake(t, hit)
	o := startFake(t, func(line string) string { <-release; return originOK(line) })
	let := sync.OnceFunc(func() { close(release) })
	t.Cleanup(let)
	r, control := operated(t, box("s-0000000b", s.Addr), originAt(o.Addr))
	idle, busy, silent := dial(t, r.addr), dial(t, r.addr), dial(t, r.addr)
	if got := idle.ask(read("a1", 2000)); got != "VA 5 Oa1 hello" {
		t.Fatal(got)
	}
	busy.send(bill("slow", 8000) + "\r\n")
	next(t, o.Seen, "write")
	if err := control.OutOfService(t.Context()); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	if got := idle.ask("mn"); !strings.HasPrefix(got, "SERVER_ERROR") {
		t.Errorf("mn right after the call: %q", got)
	}
	if control.Ready() {
		t.Error("ready while out of service")
	}
	if got := dial(t, r.addr).ask(read("a2", 2000)); got != "VA 5 Oa2 hello" {
		t.Errorf("a client that comes after the call: %q", got)
	}
	if !idle.closed() || !silent.closed() {
		t.Error("an idle connection got an answer")
	}
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("idle connections ended after %v", took)
	}
	late := dial(t, r.addr) // who still comes is served once
	if got := late.ask(read("a3", 2000)); got != "VA 5 Oa3 hello" || !late.closed() {
		t.Errorf("a client that comes late: %q", got)
	}
	if got := dial(t, r.addr).ask("mn"); !strings.HasPrefix(got, "SERVER_ERROR") {
		t.Errorf("mn while it is empty: %q", got)
	}
	let()
	if got := busy.line(); got != "HD Oslow c5c0f" || !busy.closed() {
		t.Errorf("the request that was open: %q", got)
	}
	if err := control.InService(t.Context()); err != nil {
		t.Fatal(err)
	}
	back := dial(t, r.addr)
	if got := back.ask("mn"); got != "MN" || !control.Ready() {
		t.Errorf("mn after the end of the drain: %q", got)
	}
	time.Sleep(2 * newcomerTime) // a connection of a router in service is not closed so soon: time itself is what is tested
	if got := back.ask(read("a4", 2000)); got != "VA 5 Oa4 hello" {
		t.Errorf("back in service: %q", got)
	}
}

// newcomerTime is longer than who comes late has for a first byte.
const newcomerTime = 350 * time.Millisecond

// A drain that is begun, ended and begun within a second, by two people: the last call counts, and no connection is left open.
func TestOutOfServiceBegunEndedAndBegun(t *testing.T) {
	r, control := operated(t, box("s-0000000b", startFake(t, hit).Addr), originAt(startFake(t, originOK).Addr))
	c := dial(t, r.addr)
	if got := c.ask(read("a1", 2000)); got != "VA 5 Oa1 hello" {
		t.Fatal(got)
	}
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() {
			for _, do := range []func() error{
				func() error { return control.OutOfService(t.Context()) }, func() error { return control.InService(t.Context()) },
				func() error { return control.OutOfService(t.Context()) }} {
				if err := do(); err != nil {
					t.Error(err)
				}
			}
		})
	}
	wg.Wait()
	if got := c.ask("mn"); !strings.HasPrefix(got, "SERVER_ERROR") {
		t.Errorf("mn: %q", got)
	}
	if !c.closed() {
		t.Error("an answer on an idle connection")
	}
}

// SIGTERM in the middle of a drain: what is open is answered, the process ends, and nobody brings it back.
func TestEndWhileOutOfService(t *testing.T) {
	release := make(chan struct{})
	o := startFake(t, func(line string) string { <-release; return originOK(line) })
	let := sync.OnceFunc(func() { close(release) })
	t.Cleanup(let)
	r, control := operated(t, box("s-0000000b", startFake(t, hit).Addr), originAt(o.Addr))
	busy := dial(t, r.addr)
	busy.send(bill("slow", 8000) + "\r\n")
	next(t, o.Seen, "write")
	if err := control.OutOfService(t.Context()); err != nil {
		t.Fatal(err)
	}
	r.stop()
	until(t, "the listener to close", func() bool {
		c, err := net.Dial("tcp", r.addr)
		if err == nil {
			c.Close()
		}
		return err != nil
	})
	if err := control.InService(t.Context()); err == nil || !strings.Contains(err.Error(), "ending") {
		t.Errorf("in service: %v", err)
	}
	let()
	if got := busy.line(); got != "HD Oslow c5c0f" {
		t.Errorf("the request that was open: %q", got)
	}
	if err := next(t, r.done, "end"); err != nil {
		t.Error(err)
	}
}

// Every figure against the test's own count on both sides, with outcomes of each kind and clients that leave.
func TestFiguresAgainstOwnCount(t *testing.T) {
	s := startFake(t, func(line string) string {
		switch {
		case strings.Contains(line, " Omiss"):
			return miss(line)
		case strings.Contains(line, " Ogone"), strings.Contains(line, " Oopen"):
			return "" // says nothing
		}
		return hit(line)
	})
	o := startFake(t, func(line string) string {
		if strings.Contains(line, "Ofail") || strings.Contains(line, "X-Correlation-Id: fail") {
			return httpAnswer("500 Internal Server Error", "")
		}
		if strings.Contains(line, "X-Correlation-Id: busy") {
			return httpAnswer("503 Service Unavailable", "", "X-Unprocessed: 1")
		}
		return originOK(line)
	})
	r, control := operated(t, box("s-0000000b", s.Addr), originAt(o.Addr))
	var tries uint64 // at cache servers and the origin
	ask := func(line, want string) {
		t.Helper()
		if got := dial(t, r.addr).ask(line); !strings.HasPrefix(got, want) {
			t.Fatalf("%q got %q, want %q", line, got, want)
		}
	}
	for i := range 20 {
		ask(read(fmt.Sprint("hit", i), 2000), "VA")
		tries++
	}
	for i := range 5 {
		ask(bill(fmt.Sprint("fail", i), 2000), "SERVER_ERROR failed")
		tries++
	}
	for i := range 3 {
		ask(bill(fmt.Sprint("busy", i), 2000), "SERVER_ERROR busy")
		ask(bill(fmt.Sprint("ok", i), 2000), "HD")
		tries += 2
	}
	ask(read("miss", 2000), "VA")
	tries += 2
	gone := dial(t, r.addr)
	gone.send(read("gone", 60000) + "\r\n")
	open := dial(t, r.addr)
	for range 22 {
		next(t, s.Seen, "attempt")
	}
	open.send(strings.Replace(read("open", 60000), "7f3a9c21e0b4d655", "0000000000000001", 1) + "\r\n")
	tries += 2
	gone.Close()
	want := []engine.ClassCounts{{Class: "bill", Served: 3, Refused: 3, Failed: 5}, {Class: "put"}, {Class: "read", Served: 21}}
	var got engine.Counts
	until(t, "the figures to be those of the test", func() bool {
		got = control.Counts()
		return fmt.Sprint(got.Classes) == fmt.Sprint(want) && got.Attempts == tries && got.Open == 1 && got.KnownServers == 1 && got.AvoidedServers == 0
	})
	if t.Failed() {
		t.Errorf("got %+v, want %+v and %d tries", got, want, tries)
	}
}

// An engine that is busy for long holds up neither figures nor a drain: operators' calls wait for no engine.
func TestCallsWaitForNoEngine(t *testing.T) {
	r, control := operated(t, box("s-0000000b", startFake(t, hit).Addr), originAt(startFake(t, originOK).Addr))
	busy, let := make(chan struct{}), make(chan struct{})
	t.Cleanup(sync.OnceFunc(func() { close(let) }))
	control.pools[0].rs[0].Post(func() { close(busy); <-let })
	next(t, busy, "busy engine")
	done := make(chan error, 1)
	go func() {
		control.Counts()
		done <- control.OutOfService(t.Context())
	}()
	if err := next(t, done, "answers"); err != nil {
		t.Error(err)
	}
	if got := dial(t, r.addr).ask("mn"); !strings.HasPrefix(got, "SERVER_ERROR") {
		t.Errorf("mn: %q", got)
	}
}

// SIGHUP in the middle of a drain moves discovery, and changes nothing of the drain.
func TestConfigurationWhileOutOfService(t *testing.T) {
	s, o := startFake(t, hit), startFake(t, originOK)
	r, control := operated(t, box("s-0000000b", s.Addr), originAt(o.Addr))
	if err := control.OutOfService(t.Context()); err != nil {
		t.Fatal(err)
	}
	other := startDirectory(t, full(box("s-0000000b", s.Addr), originAt(o.Addr)))
	moved := *r.setup.Config
	moved.Discovery = other.Listener.Addr().String()
	r.updates <- Setup{Config: &moved}
	next(t, other.Calls, "call at the new discovery")
	if got := dial(t, r.addr).ask("mn"); !strings.HasPrefix(got, "SERVER_ERROR") {
		t.Errorf("mn: %q", got)
	}
	if err := control.InService(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got := dial(t, r.addr).ask(read("a1", 2000)); got != "VA 5 Oa1 hello" {
		t.Errorf("back in service: %q", got)
	}
}

// SIGTERM while a request waits for another's fetch of its key: both are answered, and the process ends behind them.
func TestEndWhileARequestWaits(t *testing.T) {
	release := make(chan struct{})
	o := startFake(t, func(line string) string { <-release; return originOK(line) })
	let := sync.OnceFunc(func() { close(release) })
	t.Cleanup(let)
	s := startFake(t, miss)
	r, control := operated(t, box("s-0000000b", s.Addr), originAt(o.Addr))
	first, waits := dial(t, r.addr), dial(t, r.addr)
	first.send(read("a1", 2000) + "\r\n")
	next(t, o.Seen, "fetch")
	waits.send(read("a2", 2000) + "\r\n")
	until(t, "both to be open", func() bool { return control.Counts().Open == 2 })
	r.stop()
	let()
	for id, c := range map[string]*client{"a1": first, "a2": waits} {
		if got := c.line(); !strings.Contains(got, " O"+id+" ") && !strings.HasPrefix(got, "SERVER_ERROR busy") || !c.closed() {
			t.Errorf("%s: %q", id, got)
		}
	}
	if err := next(t, r.done, "end"); err != nil {
		t.Error(err)
	}
}

// Lessons that make no sense cost the new process what was learned, not the list that came with them.
func TestListIsTakenWithoutLessons(t *testing.T) {
	s, o := startFake(t, hit), startFake(t, originOK)
	_, control := operated(t, box("s-0000000b", s.Addr), originAt(o.Addr))
	handed := control.Hand(t.Context())[0]
	handed[0].Learned.Version = 99
	nobody := listenLocal(t)
	nobody.Close() // no discovery that would tell
	next := startSetup(t, Setup{Config: testConfig(t, nobody.Addr().String(), member.List{}), Control: NewControl(1), Part: half, Handed: handed})
	until(t, "the new process to be ready", next.setup.Control.Ready)
	if got := dial(t, next.addr).ask(read("a1", 2000)); got != "VA 5 Oa1 hello" {
		t.Errorf("got %q", got)
	}
}

// Beside a process that still takes clients at the same listener a router leaves them to that one until it can serve; once that is gone it
// takes them all the same.
func TestClientsWaitForTheirTurn(t *testing.T) {
	nobody := listenLocal(t)
	nobody.Close()
	elder := make(chan struct{})
	r := startSetup(t, Setup{Config: testConfig(t, nobody.Addr().String(), member.List{}), Elder: elder})
	c := dial(t, r.addr)
	c.send("mn\r\n")
	c.SetReadDeadline(time.Now().Add(100 * time.Millisecond)) //nolint:errcheck // the read tells
	if l, err := c.r.ReadString('\n'); err == nil {
		t.Errorf("it answers %q beside the other", l)
	}
	close(elder)
	c.SetReadDeadline(time.Now().Add(10 * time.Second)) //nolint:errcheck // the read tells
	if l, err := c.r.ReadString('\n'); err != nil || l != "SERVER_ERROR not ready\r\n" {
		t.Errorf("alone it answers %q, %v", l, err)
	}
}
