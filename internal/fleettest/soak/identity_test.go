package soak

import (
	"sync"
	"testing"
	"time"
)

// replaceServer has a new server with an id of its own come up at the address of one that dies.
func (w *world) replaceServer(t *testing.T, i int, id string) *cacheServer {
	t.Helper()
	old := w.caches[i]
	old.die()
	s, err := startCacheServerAt(w.ledger, id, old.addr, w.plan.Seed)
	if err != nil {
		t.Fatal(err)
	}
	s.slow, s.hits, s.started = w.plan.settings.slow(), 1, time.Now()
	w.update(func() { w.caches = append(w.caches, s) })
	return s
}

// Guards against work that goes to a new server, or runs twice, as it came up at the address of one that has gone and
// is taken for that: with the answers to open requests lost, and ahead of the list that tells of it.
func TestNewServerAtTheAddressOfAnotherIsNotTakenForIt(t *testing.T) {
	w := scriptedWith(t, 3, time.Second, canceling)
	for _, s := range w.caches {
		s.hits = 1
		s.set(Slow)
	}
	var load sync.WaitGroup
	load.Go(func() { w.readSteadily(w.plan.settings.class("poll"), 30, 4*time.Second) })
	load.Go(func() { w.readSteadily(w.plan.settings.class("status"), 60, 4*time.Second) })
	time.Sleep(1500 * time.Millisecond)
	const id = "s-5be2aaaa"
	fresh := w.replaceServer(t, 0, id)
	time.Sleep(300 * time.Millisecond)
	gone, here := w.entry(0, "left"), w.entry(len(w.caches)-1, "active")
	w.directory.Change(here)
	w.directory.Change(gone)
	notified := time.Now()
	w.ledger.drain(w.caches[0].id, notified)
	w.ledger.start(id, fresh.started, notified.Add(routersSettle))
	load.Wait()
	w.logReport(t, Overlap)
	w.none(t, Answer, Repeat, Promise, Overlap, Drain, SlowStart, SelfCheck)
	if fresh.connections() == 0 {
		t.Error("the new server got nothing")
	}
}

// launchAt starts a process of router 0 at an address, and waits until it serves.
func (w *world) launchAt(addr string) (*process, error) {
	p, err := startProcessIn(w.dir, addr, w.program, w.dir, "r00-next", w.directory.Listener.Addr().String(), w.plan.settings, 0)
	if err != nil {
		return nil, err
	}
	w.update(func() { w.processes = append(w.processes, p) })
	return p, w.ready(p)
}

// Guards against a router that is taken for the one that had its address: what comes again to the new process runs
// there by its own rules, and nothing of the old one's open requests is answered by it.
func TestNewRouterAtTheAddressOfAnotherAnswersOnlyItsOwn(t *testing.T) {
	w := scriptedWith(t, 2, time.Second, canceling)
	for _, s := range w.caches {
		s.hits = 1
		s.set(Slow)
	}
	old := w.process(0)
	open := w.read("poll", 2500*time.Millisecond)
	w.sendRead(t, open)
	time.Sleep(100 * time.Millisecond)
	old.crashNow()
	fresh, err := w.launchAt(old.addr)
	if err != nil {
		t.Fatal(err)
	}
	w.groups[0].use(fresh)
	w.readSteadily(w.plan.settings.class("poll"), 30, 2*time.Second)
	w.logReport(t)
	w.none(t, Answer, Repeat, Promise, Overlap, Abandoned, SelfCheck)
}
