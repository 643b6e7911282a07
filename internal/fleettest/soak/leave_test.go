package soak

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// Guards against requests that are sent on after their client has closed, as much of what it sent was still unread.
func TestNothingIsSentOnOfWhatAClientLeftUnread(t *testing.T) {
	w := scriptedWith(t, 4, time.Second, canceling)
	for _, s := range w.caches {
		s.hits = 1
		s.set(Slow)
	}
	status := w.plan.settings.class("status")
	for range 8 {
		var requests []*Request
		for range 400 {
			r := w.groups[0].request()
			r.Class, r.Wait = status, status.Deadline
			requests = append(requests, r)
		}
		c := w.groups[0].send(true, requests...)
		if c == nil {
			t.Fatal("no connection to the router")
		}
		time.Sleep(150 * time.Millisecond)
		c.leave()
	}
	time.Sleep(3 * time.Second)
	w.logReport(t)
	w.none(t, Abandoned, Overlap, SelfCheck)
}

// runs counts the attempts of a request that had an effect.
func (w *world) runs(r *Request) (n int) {
	w.ledger.update(func() {
		for _, a := range r.Attempts {
			if a.Ran {
				n++
			}
		}
	})
	return n
}

// Guards against an unsafe request that runs twice, as it comes again with its id after its client has left.
func TestUnsafeRequestThatComesAgainAfterItsClientLeftRunsOnce(t *testing.T) {
	for _, pause := range []time.Duration{50 * time.Millisecond, time.Second} {
		t.Run(fmt.Sprint(pause), func(t *testing.T) {
			w := scriptedWith(t, 2, time.Second, canceling)
			bill := w.plan.settings.class("bill")
			for range 4 {
				r := w.groups[0].request()
				r.Class, r.Wait = bill, 2*time.Second
				c := w.groups[0].send(true, r)
				if c == nil {
					t.Fatal("no connection to the router")
				}
				w.awaitRun(t, r)
				c.leave()
				time.Sleep(pause)
				again, err := w.groups[0].conn(true)
				if err != nil {
					t.Fatal(err)
				}
				again.write(r)
				time.Sleep(200 * time.Millisecond)
				if n := w.runs(r); n != 1 {
					t.Errorf("%s ran %d times", r.ID, n)
				}
			}
		})
	}
}

// awaitRun waits until a request has run.
func (w *world) awaitRun(t *testing.T, r *Request) {
	t.Helper()
	for end := time.Now().Add(2 * time.Second); w.runs(r) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s does not run", r.ID)
		}
	}
}

// upgrade starts a process that takes over from another one on the same machine, and waits until it serves.
func (w *world) upgrade(t *testing.T, old *process) *process {
	t.Helper()
	name := fmt.Sprintf("%s-next", old.name)
	p, err := startProcessIn(old.private, "127.0.0.1:0", w.program, w.dir, name, w.directory.Listener.Addr().String(), w.plan.settings, 0)
	if err != nil {
		t.Fatal(err)
	}
	w.update(func() { w.processes = append(w.processes, p) })
	if err := w.ready(p); err != nil {
		t.Fatal(err)
	}
	return p
}

// acceptsNoMore is how long after SIGTERM a process may still take a connection at a listener that it shares.
const acceptsNoMore = 100 * time.Millisecond

// Guards against an unsafe request that runs twice, as it comes again with its id at the process that takes over.
func TestUnsafeRequestThatComesAgainAtTheSuccessorRunsOnce(t *testing.T) {
	w := scriptedWith(t, 2, time.Second, canceling)
	w.origin.set(Hang)
	r := w.groups[0].request()
	r.Class, r.Wait = w.plan.settings.class("bill"), w.longest()
	old := w.process(0)
	c := w.groups[0].send(true, r)
	if c == nil {
		t.Fatal("no connection to the router")
	}
	w.awaitRun(t, r)
	successor := w.upgrade(t, old)
	c.leave()
	old.term()
	time.Sleep(acceptsNoMore)
	w.origin.set(Normal)
	again, err := w.groups[0].conn(true)
	if err != nil {
		t.Fatal(err)
	}
	again.write(r)
	time.Sleep(500 * time.Millisecond)
	if n := w.runs(r); n != 1 {
		t.Errorf("ran %d times", n)
	}
	if text := strings.Join(successor.log(), "\n"); !strings.Contains(text, "the listener is taken over") {
		t.Errorf("the process took nothing over:\n%s", text)
	}
	if r.Outcome != Failed {
		t.Errorf("the second one was answered as %d, want failed", r.Outcome)
	}
}

// Guards against an unsafe request that runs twice, as its client left while its answer was on the way.
func TestUnsafeRequestWhoseAnswerWasNotReadRunsOnce(t *testing.T) {
	w := scriptedWith(t, 2, time.Second, canceling)
	r := w.groups[0].request()
	r.Class, r.Wait = w.plan.settings.class("bill"), 2*time.Second
	w.sendRead(t, r)
	w.awaitAnswers(r.Wait)
	again, err := w.groups[0].conn(true)
	if err != nil {
		t.Fatal(err)
	}
	again.write(r)
	time.Sleep(300 * time.Millisecond)
	if n := w.runs(r); n != 1 {
		t.Errorf("ran %d times", n)
	}
}
