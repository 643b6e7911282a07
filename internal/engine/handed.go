package engine

import (
	"errors"
	"fmt"
	"log/slog"
	"math"

	"mossproxy.example/mossproxy/decide"
)

// maxHanded bounds the servers that are taken over from another process.
const maxHanded = 8192

// Handed is what an engine hands to that of the next process: the servers that it knows, and what was learned.
type Handed struct {
	Servers []Server       `json:"servers"` // with their starts as lists have them
	Learned decide.Learned `json:"learned"`
	Now     float64        `json:"now"`    // on the clock of who hands over; 0 = not told
	Starts  []HandedStart  `json:"starts"` // on that clock
}

// HandedStart is when a listed server started.
type HandedStart struct {
	ID uint32  `json:"id"`
	At float64 `json:"at"`
}

// Hand is what the engine has to hand over.
func (e *Engine) Hand() Handed {
	h := Handed{Learned: e.b.ExportLearned(e.now()), Now: e.now()}
	for id, t := range e.targets {
		s := Server{t.entry, t.addr}
		if known, ok := e.starts.known[id]; ok && s.Started == known.at {
			s.Started = known.listed
			h.Starts = append(h.Starts, HandedStart{id, known.at})
		}
		h.Servers = append(h.Servers, s)
	}
	return h
}

// Adopt takes what the engine of the process before has handed over, ahead of any list and request: the servers, whole or not at all, and what
// was learned of them, whole or not at all. An error means that there is no list.
func (e *Engine) Adopt(h Handed) error {
	if len(h.Servers) == 0 || len(h.Servers) > maxHanded {
		return fmt.Errorf("handed over: %d servers, 1 to %d are possible", len(h.Servers), maxHanded)
	}
	for _, s := range h.Servers {
		if s.Addr == "" || s.State < decide.Ready || s.State >= decide.Removed || !(s.Size >= 0) || !(s.Started >= 0) {
			return fmt.Errorf("handed over: server %08x makes no sense", s.ID)
		}
	}
	if len(e.targets) > 0 {
		return errors.New("handed over: too late, a list is there")
	}
	e.settleClock(&h)
	e.List(decide.Restored, h.Servers)
	if err := e.b.ImportLearned(e.now(), h.Learned); err != nil {
		slog.Warn("handover: what was learned is not taken", "why", err)
	}
	e.show()
	return nil
}

// sameClock is by how many ms the clocks of two processes of one machine differ at most where the wall clock was not stepped between their
// starts, with the time for handing over.
const sameClock = 1000

// settleClock puts what was handed over on this engine's clock: each process counts from the wall clock of its own start, which may have been
// stepped since.
func (e *Engine) settleClock(h *Handed) {
	by := e.now() - h.Now
	if h.Now <= 0 || math.Abs(by) < sameClock {
		by = 0
	}
	h.Learned.ShiftTimes(by)
	at := map[uint32]float64{}
	for _, s := range h.Starts {
		at[s.ID] = s.At + by
	}
	for _, s := range h.Servers {
		if t, ok := at[s.ID]; ok && s.Started > 0 && t <= e.now() {
			e.starts.learn(s.ID, start{s.Started, t})
		}
	}
}
