package engine

import (
	"math"
	"slices"

	"mossproxy.example/mossproxy/decide"
)

// UpdateServers applies a complete server list or the changes to one.
func (e *Engine) UpdateServers(kind decide.ListKind, servers []Server) {
	entries := make([]decide.Entry, 0, len(servers))
	listed := map[uint32]bool{}
	for _, listing := range servers {
		t := e.targets[listing.ID]
		listing.Started = e.starts.onEngineClock(listing.ID, listing.Started, e.now())
		if t != nil && t.addr == listing.Addr {
			listing.Started = max(listing.Started, t.inferredStart)
		}
		entries, listed[listing.ID] = append(entries, listing.Entry), true
		if t == nil && listing.State == decide.Ready {
			entries = append(entries, e.dropReplaced(listing)...)
		}
		switch {
		case listing.State == decide.Removed:
			e.dropServer(listing.ID)
		case t == nil || t.addr != listing.Addr:
			e.dropServer(listing.ID)
			e.targets[listing.ID] = &server{Endpoint: e.backend.Endpoint(listing), addr: listing.Addr, started: listing.Started}
			e.serversByAddr[listing.Addr] = append(e.serversByAddr[listing.Addr], listing.ID)
		case t.started != listing.Started:
			// Connections to the earlier process are dead, possibly without a FIN or RST.
			t.started = listing.Started
			t.CloseIdle()
		}
		if t := e.targets[listing.ID]; t != nil {
			t.entry = listing.Entry
			t.setClosing(listing.State == decide.Draining, e.now())
		}
	}
	if kind == decide.Full || kind == decide.Restored {
		for id := range e.targets {
			if !listed[id] {
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
func (e *Engine) dropReplaced(successor Server) (gone []decide.Entry) {
	for _, id := range slices.Clone(e.serversByAddr[successor.Addr]) {
		if successor.Started > e.targets[id].started {
			e.dropServer(id)
			gone = append(gone, decide.Entry{ID: id, State: decide.Removed})
		}
	}
	return gone
}

// SetListSource switches to another source of server lists, which watch asks to report changes. The current
// list stays until the new source delivers a complete one. If there was a source before, the Balancer has
// already asked that one, so the new source is asked now.
func (e *Engine) SetListSource(watch func(), hadSource bool) {
	if hadSource {
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
	if e.serversByAddr[t.addr] = slices.DeleteFunc(e.serversByAddr[t.addr], func(other uint32) bool { return other == id }); len(e.serversByAddr[t.addr]) == 0 {
		delete(e.serversByAddr, t.addr)
	}
	t.setClosing(true, e.now())
	t.Remove()
}

// setClosing records whether a server is known to drain or be gone. Attempts that are still connecting to it
// check this.
func (t *server) setClosing(closing bool, now float64) {
	switch {
	case !closing:
		t.closingBits.Store(0)
	case t.closingBits.Load() == 0:
		t.closingBits.Store(math.Float64bits(now))
	}
}
