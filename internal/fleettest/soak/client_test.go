package soak

import (
	"bufio"
	"net"
	"strings"
	"testing"
	"time"
)

// Guards against a violation that is the harness's own: a router had closed a connection before the first request on it was
// written, and the request, which it never got, was counted as lost.
func TestRequestThatWasNeverWrittenIsSentOnAnotherConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	got := make(chan string, 1)
	go func() {
		first, err := ln.Accept()
		if err != nil {
			return
		}
		first.Close()
		second, err := ln.Accept()
		if err != nil {
			return
		}
		defer second.Close()
		line, _ := bufio.NewReader(second).ReadString('\n') //nolint:errcheck // the test sees what came
		got <- line
	}()
	g := &clientGroup{ledger: NewLedger(), process: &process{addr: ln.Addr().String()}, all: map[*clientConn]struct{}{}}
	c, err := g.conn(true)
	if err != nil {
		t.Fatal(err)
	}
	for !c.isClosed() {
		time.Sleep(time.Millisecond)
	}
	r := &Request{ID: "1", Key: "k", Class: Class{Name: "bill", Effect: Once}, Wait: time.Second}
	g.ledger.addRequest(r)
	c.write(r)
	select {
	case line := <-got:
		if !strings.Contains(line, " O1 ") {
			t.Errorf("got %q", line)
		}
	case <-time.After(10 * time.Second):
		t.Error("the request was not sent")
	}
	g.wg.Wait()
}
