package soak

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"
)

// Guards against a client that is cut off while it writes a large request slowly.
func TestClientThatWritesSlowlyIsServed(t *testing.T) {
	w := scriptedWith(t, 2, time.Second, canceling)
	g := w.groups[0]
	r := g.request()
	r.Class, r.Wait, r.Length = w.plan.settings.class("put"), 2*time.Second, 60000
	c, err := g.conn(true)
	if err != nil {
		t.Fatal(err)
	}
	g.ledger.addRequest(r)
	g.ledger.update(func() { r.Sent, r.NewConn = time.Now(), true })
	text := r.text()
	const parts = 30
	for i := range parts {
		if i == parts-1 {
			c.mu.Lock()
			c.pending = append(c.pending, r)
			c.mu.Unlock()
			g.ledger.update(func() { r.Sent = time.Now() })
		}
		if _, err := io.WriteString(c.Conn, text[len(text)*i/parts:len(text)*(i+1)/parts]); err != nil {
			t.Fatalf("part %d: %v", i, err)
		}
		time.Sleep(4 * time.Second / parts)
	}
	w.awaitAnswers(r.Wait + answerTime)
	w.none(t, Answer, Deadline, SelfCheck)
	w.allServed(t)
}

// Guards against a client that stops in the middle of a value, after it has written slowly, and is not told.
func TestClientThatStopsInAValueIsToldInTime(t *testing.T) {
	w := scriptedWith(t, 1, time.Second, canceling)
	c, err := w.groups[0].conn(true)
	if err != nil {
		t.Fatal(err)
	}
	text := fmt.Sprintf("ms k 60000 Ostops Pc=put,t=t,d=2500,k=1\r\n%s", strings.Repeat("x", 50000))
	for i := range 10 {
		if _, err := io.WriteString(c.Conn, text[len(text)*i/10:len(text)*(i+1)/10]); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	stopped := time.Now()
	for !c.isClosed() && time.Since(stopped) < badClientWithin {
		time.Sleep(10 * time.Millisecond)
	}
	if !c.isClosed() {
		t.Errorf("the connection is open %v after the client has stopped", time.Since(stopped))
	}
}
