package soak

import (
	"fmt"
	"syscall"
	"testing"
	"time"
)

// Guards against sound answers that are cut off, and requests that are rejected, as servers write the body some time after the head.
func TestSlowAnswersAreNotCutOff(t *testing.T) {
	for _, p := range []pace{evenly(45000, 200*time.Millisecond), evenly(45000, 900*time.Millisecond), evenly(45000, 1800*time.Millisecond), evenly(64<<10, 2200*time.Millisecond),
		after(25000, 935*time.Millisecond), after(176018, 935*time.Millisecond), after(45000, 1800*time.Millisecond),
		{[]time.Duration{200 * time.Millisecond, 200 * time.Millisecond, 0}, 45000}} {
		t.Run(fmt.Sprintf("%d bytes, %d parts over %v", p.length, len(p.pauses), p.total()), func(t *testing.T) {
			w := scriptedWith(t, 8, time.Second, canceling)
			for _, s := range w.caches {
				s.hits, s.pace, s.share = 1, &p, 0.3
				s.set(SlowBody)
			}
			w.readSteadily(w.plan.settings.class("status"), 60, 2*time.Second)
			w.logReport(t, CutOff)
			w.none(t, CutOff, Answer, Overlap, SelfCheck)
			w.allServed(t)
		})
	}
}

// allServed fails the test for requests that were not served.
func (w *world) allServed(t *testing.T) {
	t.Helper()
	r := w.ledger.Check(w.plan.settings)
	if r.Served != r.Requests {
		t.Errorf("%d of %d requests served, %d refused, %d failed", r.Served, r.Requests, r.Refused, r.Failed)
	}
}

// Guards against answers of the origin that are cut off, in each form, as it writes the body some time after the head.
func TestSlowAnswersOfTheOriginAreNotCutOff(t *testing.T) {
	for _, form := range originForms {
		for _, p := range []pace{evenly(45000, 900*time.Millisecond), after(25000, 935*time.Millisecond)} {
			t.Run(fmt.Sprintf("%s, %d parts", form, len(p.pauses)), func(t *testing.T) {
				w := scriptedWith(t, 2, time.Second, canceling)
				for _, s := range w.caches {
					s.hits = 0
				}
				w.origin.pace, w.origin.form = &p, form
				w.origin.set(SlowBody)
				w.readSteadily(w.plan.settings.class("status"), 5, 2*time.Second)
				w.logReport(t, CutOff)
				w.none(t, CutOff, Answer, Overlap, SelfCheck)
			})
		}
	}
}

// slowWorld starts one router in front of servers whose answers all come at a pace.
func slowWorld(t *testing.T, servers int, p pace) *world {
	t.Helper()
	w := scriptedWith(t, servers, time.Second, canceling)
	for _, s := range w.caches {
		s.hits, s.pace = 1, &p
		s.set(SlowBody)
	}
	return w
}

// read returns a read of a class whose client waits for a time.
func (w *world) read(class string, wait time.Duration) *Request {
	r := w.groups[0].request()
	r.Class, r.Wait = w.plan.settings.class(class), wait
	return r
}

// sendRead sends a read on a new connection.
func (w *world) sendRead(t *testing.T, r *Request) *clientConn {
	t.Helper()
	c := w.groups[0].send(true, r)
	if c == nil {
		t.Fatal("no connection to the router")
	}
	return c
}

// Guards against a request without a final answer, and one that takes the next of its client with it, as its answer
// stalls for good: behind its head, in its middle, or ahead of its last bytes.
func TestAnswerThatStallsForGoodGetsAFinalAnswerInTime(t *testing.T) {
	const never = time.Minute
	for name, pauses := range map[string][]time.Duration{"head": {never}, "middle": {0, never}, "end": {0, 0, 0, 0, 0, 0, 0, 0, 0, never},
		"trickle": {400 * time.Millisecond, 400 * time.Millisecond, 400 * time.Millisecond, 400 * time.Millisecond, 400 * time.Millisecond, 400 * time.Millisecond}} {
		t.Run(name, func(t *testing.T) {
			w := slowWorld(t, 2, pace{pauses, 45000})
			r := w.read("status", time.Second)
			c := w.sendRead(t, r)
			w.awaitAnswers(r.Wait + answerTime)
			for _, s := range w.caches {
				s.set(Normal)
			}
			next := w.read("status", 2*time.Second)
			w.ledger.addRequest(next)
			c.write(next)
			w.awaitAnswers(next.Wait + answerTime)
			w.none(t, Answer, CutOff, Overlap, SelfCheck)
			w.ledger.update(func() {
				if r.Outcome != Refused || next.Outcome != Served {
					t.Errorf("outcomes %d and %d, want %d and %d", r.Outcome, next.Outcome, Refused, Served)
				}
			})
		})
	}
}

// Guards against an answer that is cut off as its server begins to drain, or is removed, or its router is told to end
// or reads its configuration again, while it comes slowly.
func TestSlowAnswerOutlastsChangesOfServerAndRouter(t *testing.T) {
	for name, change := range map[string]func(*world){
		"drain":   func(w *world) { w.directory.Change(w.entry(0, "leaving")) },
		"removal": func(w *world) { w.directory.Change(w.entry(0, "left")) },
		"SIGTERM": func(w *world) { w.process(0).term() },
		"SIGHUP":  func(w *world) { w.process(0).signal(syscall.SIGHUP) },
	} {
		t.Run(name, func(t *testing.T) {
			w := slowWorld(t, 1, evenly(45000, 1200*time.Millisecond))
			r := w.read("status", 2500*time.Millisecond)
			w.sendRead(t, r)
			time.Sleep(300 * time.Millisecond)
			change(w)
			w.awaitAnswers(r.Wait + answerTime)
			w.none(t, Answer, CutOff, SelfCheck)
			w.allServed(t)
		})
	}
}

// Guards against an unsafe read that is repeated as its answer comes slowly.
func TestSlowAnswerOfAnUnsafeReadIsNotRepeated(t *testing.T) {
	w := slowWorld(t, 4, evenly(45000, 900*time.Millisecond))
	w.readSteadily(w.plan.settings.class("poll"), 20, time.Second)
	w.logReport(t, CutOff)
	w.none(t, Answer, CutOff, Repeat, Promise, Overlap, SelfCheck)
	w.allServed(t)
	w.ledger.update(func() {
		for _, r := range w.ledger.order {
			if len(r.Attempts) != 1 {
				t.Errorf("%s: %d attempts", r.ID, len(r.Attempts))
			}
		}
	})
}

// Guards against requests that are lost or late behind a slow answer on the connection of a client.
func TestRequestsBehindASlowAnswerAreAnsweredInTime(t *testing.T) {
	w := slowWorld(t, 4, evenly(45000, 900*time.Millisecond))
	var requests []*Request
	for range 16 {
		requests = append(requests, w.read("status", 2500*time.Millisecond))
	}
	if w.groups[0].send(true, requests...) == nil {
		t.Fatal("no connection to the router")
	}
	w.awaitAnswers(2500*time.Millisecond + answerTime)
	w.none(t, Answer, CutOff, Overlap, SelfCheck)
	w.allServed(t)
}

// Guards against attempts that go on, or begin, after the client has left in the middle of a slow answer.
func TestSlowAnswerEndsWithItsClient(t *testing.T) {
	w := slowWorld(t, 4, evenly(45000, 1500*time.Millisecond))
	r := w.read("status", 2500*time.Millisecond)
	c := w.sendRead(t, r)
	time.Sleep(300 * time.Millisecond)
	left := time.Now()
	c.leave()
	time.Sleep(time.Second)
	w.none(t, Abandoned, Overlap, SelfCheck)
	w.ledger.update(func() {
		if len(r.Attempts) != 1 {
			t.Fatalf("%d attempts", len(r.Attempts))
		}
		if a := r.Attempts[0]; a.CutAt.IsZero() || a.CutAt.Sub(left) > abandonedSlack+timeLimitSlack {
			t.Errorf("the attempt was given up at %v, the client left at %v", a.CutAt, left)
		}
	})
}
