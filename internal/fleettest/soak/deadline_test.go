package soak

import (
	"testing"
	"time"
)

// scripted starts one router in front of cache servers that miss unless hits are asked for, and ends it with the test.
func scripted(t *testing.T, servers int, connectTimeout time.Duration) *world {
	t.Helper()
	return scriptedWith(t, servers, connectTimeout, func(*settings) {})
}

// canceling has routers cancel attempts, as the platform's settings usually do.
func canceling(s *settings) { s.Cancel = true }

// scriptedWith is scripted with changed settings.
func scriptedWith(t testing.TB, servers int, connectTimeout time.Duration, change func(*settings)) *world {
	t.Helper()
	class := func(name string, effect Effect) Class {
		return Class{Name: name, Effect: effect, Target: 2 * time.Second, Deadline: 3 * time.Second, Window: time.Second}
	}
	poll := class("poll", Once)
	poll.Read = true
	status := Class{Name: "status", Effect: Repeatable, Target: 600 * time.Millisecond, Deadline: 2500 * time.Millisecond, Read: true}
	plan := Plan{Seed: 1, Routers: 1, Servers: servers, settings: settings{Routers: 1, ConnectTimeout: connectTimeout, ColdPhase: time.Second, ColdFrom: 0.3, FallFactor: 3, FallFor: 2 * time.Second,
		Classes: []Class{class("read", Repeatable), class("put", Keyed), class("bill", Once), poll, status}}}
	change(&plan.settings)
	w := newWorld(plan, *program, t.TempDir(), t.Logf)
	t.Cleanup(w.close)
	if err := w.start(); err != nil {
		t.Fatal(err)
	}
	return w
}

// ask sends reads together on one connection and waits for their answers.
func (w *world) ask(t *testing.T, n int, wait time.Duration) []*Request {
	t.Helper()
	var requests []*Request
	for range n {
		r := w.groups[0].request()
		r.Class, r.Wait = w.plan.settings.Classes[0], wait
		requests = append(requests, r)
	}
	if w.groups[0].send(true, requests...) == nil {
		t.Fatal("no connection to the router")
	}
	for end := time.Now().Add(wait + answerTime); ; time.Sleep(5 * time.Millisecond) {
		open := 0
		w.ledger.update(func() {
			for _, r := range requests {
				if r.Outcome == None {
					open++
				}
			}
		})
		if open == 0 {
			return requests
		}
		if time.Now().After(end) {
			t.Fatalf("%d of %d requests have no answer", open, n)
		}
	}
}

// checkDeadlines fails the test where a server was passed more than was left, and tells what it saw otherwise.
func (w *world) checkDeadlines(t *testing.T, server string) {
	t.Helper()
	seen := 0
	w.ledger.update(func() {
		for _, r := range w.ledger.order {
			for i, a := range r.Attempts {
				left := r.Sent.Add(r.Wait).Sub(a.Read)
				if server == "" || a.Server == server {
					seen++
				}
				if a.PassedDeadline > left+deadlineSlack {
					t.Errorf("attempt %d at %s was passed %v, %v were left of %v", i, a.Server, a.PassedDeadline, left, r.Wait)
				}
			}
		}
	})
	if seen == 0 {
		t.Errorf("no attempt at %q", server)
	}
}

// Guards against an origin that is passed the client's deadline as it came, whatever time the attempts before have taken.
func TestOriginIsPassedWhatIsLeftAfterASlowMiss(t *testing.T) {
	w := scripted(t, 1, time.Second)
	w.caches[0].hits = 0
	w.caches[0].set(Slow)
	w.ask(t, 1, 2500*time.Millisecond)
	w.checkDeadlines(t, originID)
}

// Guards against a deadline that was computed before the connection came up.
func TestServerIsPassedWhatIsLeftOverAConnectionThatCameUpLate(t *testing.T) {
	w := scripted(t, 1, 1500*time.Millisecond)
	w.caches[0].hits = 1
	w.caches[0].set(Stall)
	time.AfterFunc(300*time.Millisecond, func() { w.caches[0].set(Normal) })
	w.ask(t, 1, 2500*time.Millisecond)
	w.checkDeadlines(t, w.caches[0].id)
}

// Guards against deadlines that count from when a command was read where it had to wait behind others of its connection.
func TestServersArePassedWhatIsLeftOfPipelinedCommands(t *testing.T) {
	w := scripted(t, 2, time.Second)
	for _, s := range w.caches {
		s.hits = 1
		s.set(Slow)
	}
	w.ask(t, 30, 2500*time.Millisecond)
	w.checkDeadlines(t, "")
}
