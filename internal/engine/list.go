package engine

import (
	"math"
	"slices"

	"mossproxy.example/mossproxy/decide"
)

// UpdateServers takes a list of servers, or the changes to one.
func (e *Engine) UpdateServers(kind decide.ListKind, servers []Server) {
	entries := make([]decide.Entry, 0, len(servers))
	named := map[uint32]bool{}
	for _, d := range servers {
		t := e.targets[d.ID]
		d.Started = e.starts.onEngineClock(d.ID, d.Started, e.now())
		if t != nil && t.addr == d.Addr {
			d.Started = max(d.Started, t.inferredStart)
		}
		entries, named[d.ID] = append(entries, d.Entry), true
		if t == nil && d.State == decide.Ready {
			entries = append(entries, e.dropReplaced(d)...)
		}
		switch {
		case d.State == decide.Removed:
			e.dropServer(d.ID)
		case t == nil || t.addr != d.Addr:
			e.dropServer(d.ID)
			e.targets[d.ID] = &server{Endpoint: e.backend.Endpoint(d), addr: d.Addr, started: d.Started}
			e.serversByAddr[d.Addr] = append(e.serversByAddr[d.Addr], d.ID)
		case t.started != d.Started: // connections to the process before it are dead, perhaps without a word
			t.started = d.Started
			t.CloseIdle()
		}
		if t := e.targets[d.ID]; t != nil {
			t.entry = d.Entry
			t.setClosing(d.State == decide.Draining, e.now())
		}
	}
	if kind == decide.Full || kind == decide.Restored {
		for id := range e.targets {
			if !named[id] {
				e.dropServer(id)
			}
		}
	}
	if kind == decide.Full || kind == decide.Changes {
		e.starts.listReceived(e.now(), e.targets)
	}
	e.balancer.Servers(e.now(), kind, entries)
	e.publishCounts() // who finds the router ready finds its list too
	if len(e.targets) > 0 {
		e.ready.Store(true)
	}
}

// dropReplaced is the end of the servers that were at the address of a new one: it has come in their place, though the news
// of their end may be late, and what is meant for them would reach it, cold as it is.
func (e *Engine) dropReplaced(by Server) (gone []decide.Entry) {
	for _, old := range slices.Clone(e.serversByAddr[by.Addr]) {
		if by.Started > e.targets[old].started {
			e.dropServer(old)
			gone = append(gone, decide.Entry{ID: old, State: decide.Removed})
		}
	}
	return gone
}

// SetListSource asks another source of lists to be watched from now on, by watch. The list that is held stays until that one
// gives a whole one. Where one was followed before, the Balancer has asked that one already, and this one is asked now.
func (e *Engine) SetListSource(watch func(), before bool) {
	if before {
		watch()
	}
	e.starts.lastListAt = 0 // another source may name servers that have run for long
	e.watchList = watch
}

// dropServer lets a server go.
func (e *Engine) dropServer(id uint32) {
	t := e.targets[id]
	if t == nil {
		return
	}
	delete(e.targets, id)
	if e.serversByAddr[t.addr] = slices.DeleteFunc(e.serversByAddr[t.addr], func(at uint32) bool { return at == id }); len(e.serversByAddr[t.addr]) == 0 {
		delete(e.serversByAddr, t.addr)
	}
	t.setClosing(true, e.now())
	t.Remove()
}

// setClosing books whether a server is known to drain or to be gone. What is being connected to it looks at that.
func (t *server) setClosing(yes bool, now float64) {
	switch {
	case !yes:
		t.closingBits.Store(0)
	case t.closingBits.Load() == 0:
		t.closingBits.Store(math.Float64bits(now))
	}
}
