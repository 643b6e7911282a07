package engine

import (
	"math"
	"slices"

	"mossproxy.example/mossproxy/decide"
)

// UpdateServers applies a complete server list or the changes to one.
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
		case d.State == decide.Gone:
			e.dropServer(d.ID)
		case t == nil || t.addr != d.Addr:
			e.dropServer(d.ID)
			e.targets[d.ID] = &server{Endpoint: e.backend.Endpoint(d), addr: d.Addr, started: d.Started}
			e.serversByAddr[d.Addr] = append(e.serversByAddr[d.Addr], d.ID)
		// Connections to the earlier process are dead, possibly without a FIN or RST.
		case t.started != d.Started:
			t.started = d.Started
			t.CloseIdle()
		}
		if t := e.targets[d.ID]; t != nil {
			t.entry = d.Entry
			t.setClosing(d.State == decide.Draining, e.now())
		}
	}
	if kind == decide.Full || kind == decide.Remembered {
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
	e.publishCounts() // a client that finds the router ready finds its list published too
	if len(e.targets) > 0 {
		e.ready.Store(true)
	}
}

// dropReplaced removes the servers that were at the address of a new one, and returns their entries as gone.
// The new server has replaced them, though the report of their end may be late; requests meant for them would
// reach the new server while it is cold.
func (e *Engine) dropReplaced(by Server) (gone []decide.Entry) {
	for _, old := range slices.Clone(e.serversByAddr[by.Addr]) {
		if by.Started > e.targets[old].started {
			e.dropServer(old)
			gone = append(gone, decide.Entry{ID: old, State: decide.Gone})
		}
	}
	return gone
}

// SetListSource switches to another source of server lists, which watch asks to report changes. The current
// list stays until the new source delivers a complete one. If there was a source before, the Balancer has
// already asked that one, so the new source is asked now.
func (e *Engine) SetListSource(watch func(), before bool) {
	if before {
		watch()
	}
	e.starts.lastListAt = 0 // the new source may list servers that have run for long
	e.watchList = watch
}

// dropServer removes a server.
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

// setClosing records whether a server is known to drain or be gone. Attempts that are still connecting to it
// check this.
func (t *server) setClosing(yes bool, now float64) {
	switch {
	case !yes:
		t.closingBits.Store(0)
	case t.closingBits.Load() == 0:
		t.closingBits.Store(math.Float64bits(now))
	}
}
