package router

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"mossproxy.example/mossproxy/internal/member"
)

// A configuration that names another discovery: the list that is held serves until the new one tells the whole, the
// old watch ends, and what the old one says from then on counts for nothing.
func TestNewDiscoveryTakesOver(t *testing.T) {
	a, b, o := startFake(t, hit), startFake(t, hit), startFake(t, originOK)
	r, old := serving(t, box("s-0000000b", a.Addr), originAt(o.Addr))
	c := dial(t, r.addr)

	tell, ended := make(chan struct{}), make(chan struct{}, 10)
	second := startDirectory(t, full(box("s-0000000c", b.Addr), originAt(o.Addr)))
	slow := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-tell:
			second.ServeHTTP(w, r)
		case <-r.Context().Done():
			ended <- struct{}{}
		}
	}))
	t.Cleanup(func() { slow.CloseClientConnections(); slow.Close() })
	r.updates <- Setup{Config: testConfig(t, slow.Listener.Addr().String(), member.List{})}
	next(t, ended, "end of a first call, which was not answered") // so the new one is asked again and again
	if got := c.ask(read("a1", 5000)); got != "VA 5 Oa1 hello" {
		t.Errorf("while the new one is silent: got %q", got)
	}
	next(t, a.Seen, "request at the server of the list that is held")
	gone := originAt(o.Addr)
	gone.State = "left"
	old.Change(gone) // the watch is over: nobody hears it
	close(tell)
	next(t, second.Calls, "call for the whole list")
	next(t, second.Calls, "watch")
	next(t, a.Ended, "end of the connection to the server that the new list lacks")
	for i := range 3 {
		if got := c.ask(read(fmt.Sprint("b", i), 5000)); !strings.HasSuffix(got, "hello") {
			t.Errorf("after the change: got %q", got)
		}
		next(t, b.Seen, "request at the server of the new list")
	}
	if got := c.ask(bill("w", 5000)); got != "HD Ow c5c0f" {
		t.Errorf("the origin that the old discovery took away: got %q", got)
	}
}

// An answer of the old discovery that is on its way when the new one is named is not heard.
func TestLateAnswerOfTheOldDiscoveryIsPassedOver(t *testing.T) {
	cfg := testConfig(t, "127.0.0.1:1", member.List{})
	e, err := newEngine(Setup{Config: cfg}, newLinks(Setup{Config: cfg}, 10), Setup{Config: cfg}.alone())
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		e.Run(ctx)
	}()
	defer func() { stop(); <-ended }()
	l := &router{Engine: e}
	held := func() (n int) {
		look(e, func() { n = e.Size().Servers })
		return n
	}
	old, fresh := engines{l}.newSource(Setup{Config: cfg}), engines{l}.newSource(Setup{Config: cfg})
	look(e, func() { l.follow(old) })
	old.tell(full(box("s-0000000b", "127.0.0.1:1")))
	if held() != 1 {
		t.Error("the old discovery is not heard while it is the one")
	}
	look(e, func() { l.follow(fresh) })
	old.tell(full(box("s-0000000b", "127.0.0.1:1"), box("s-0000000c", "127.0.0.1:2")))
	if held() != 1 {
		t.Error("the old discovery is still heard")
	}
	fresh.tell(full(box("s-0000000b", "127.0.0.1:1"), box("s-0000000c", "127.0.0.1:2"), box("s-0000000d", "127.0.0.1:3")))
	if held() != 3 {
		t.Error("the new discovery is not heard")
	}
}
