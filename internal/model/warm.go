package model

import (
	"fmt"

	"mossproxy.example/mossproxy/decide"
)

// warmer is the host of a module that is asked once for each key, and stores keys where it sends them.
type warmer struct {
	w    *World
	b    *decide.Balancer
	key  uint64
	sent []uint32
}

// warm fills the servers' memory as a long calm time would: each key is where a module of the same list sends it first, and where there is
// no room for all, the most popular ones are there.
func (w *World) warm() error {
	h := &warmer{w: w}
	var err error
	if h.b, err = decide.New(w.cfg.module(0), w.cfg.Seed, h); err != nil {
		return fmt.Errorf("warming: %w", err)
	}
	h.b.Servers(1, decide.Restored, w.routers[0].list)
	room := 0
	for _, s := range w.servers {
		room += len(s.ring)
	}
	for rank := min(w.cfg.Keys, room) - 1; rank >= 0; rank-- { // the most popular last: the oldest gives way
		h.key, h.sent = mix(uint64(rank)+1), h.sent[:0]
		at := float64(room - rank + 1)
		id := uint32(rank + 1)
		h.b.Request(at, decide.Request{ID: id, Class: w.safe(), Key: h.key, HasKey: true, Left: 1e3})
		for n, s := range h.sent {
			w.byID(s).store(h.key)
			h.b.Outcome(at, decide.Outcome{ID: id, Attempt: n, Server: s, Status: decide.OK, Latency: 1, Final: true, CacheResult: 1, Load: decide.NoLoad})
		}
	}
	return nil
}

// safe is the class by which memory is filled.
func (w *World) safe() string {
	for _, k := range w.cfg.Classes {
		if k.Effect == decide.Repeatable {
			return k.Name
		}
	}
	return w.cfg.Classes[0].Name
}

// Send is decide.Host's, as are the others.
func (h *warmer) Send(_, to uint32, _ float64) { h.sent = append(h.sent, to) }

// Cancel does nothing, nor do the others: nothing is out.
func (h *warmer) Cancel(uint32, int) {}

// Refuse is Cancel's brother.
func (h *warmer) Refuse(uint32, float64) {}

// Fail is Cancel's brother.
func (h *warmer) Fail(uint32) {}

// Probe is Cancel's brother.
func (h *warmer) Probe(uint32) {}

// Close is Cancel's brother.
func (h *warmer) Close(uint32) {}

// Timer is Cancel's brother.
func (h *warmer) Timer(float64, uint64) {}

// Watch is Cancel's brother.
func (h *warmer) WatchList() {}

// Tell is Cancel's brother.
func (h *warmer) Broadcast([]byte) {}

// Log is Cancel's brother.
func (h *warmer) Log(string) {}
