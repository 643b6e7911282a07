package engine

import (
	"errors"
	"fmt"
	"log/slog"
	"math"

	"mossproxy.example/mossproxy/decide"
)

// maxHandoverServers bounds the servers that are taken over from another process.
const maxHandoverServers = 8192

// HandoverState is what an engine hands to that of the next process: the servers that it knows, and what was learned.
type HandoverState struct {
	Servers []Server        `json:"servers"` // with their starts as lists have them
	Learned decide.Learned  `json:"learned"`
	Now     float64         `json:"now"`    // on the clock of who hands over; 0 = not told
	Starts  []HandoverStart `json:"starts"` // on that clock
}

// HandoverStart is when a listed server started.
type HandoverStart struct {
	ID uint32  `json:"id"`
	At float64 `json:"at"`
}

// ExportState is what the engine has to hand over.
func (e *Engine) ExportState() HandoverState {
	h := HandoverState{Learned: e.balancer.ExportLearned(e.now()), Now: e.now()}
	for id, t := range e.targets {
		s := Server{t.entry, t.addr}
		if known, ok := e.starts.known[id]; ok && s.Started == known.at {
			s.Started = known.listed
			h.Starts = append(h.Starts, HandoverStart{id, known.at})
		}
		h.Servers = append(h.Servers, s)
	}
	return h
}

// ImportState takes what the engine of the process before has handed over, ahead of any list and request: the servers, whole or not at all, and what
// was learned of them, whole or not at all. An error means that there is no list.
func (e *Engine) ImportState(h HandoverState) error {
	if len(h.Servers) == 0 || len(h.Servers) > maxHandoverServers {
		return fmt.Errorf("handed over: %d servers, 1 to %d are possible", len(h.Servers), maxHandoverServers)
	}
	for _, s := range h.Servers {
		if s.Addr == "" || s.State < decide.Ready || s.State >= decide.Removed || !(s.Size >= 0) || !(s.Started >= 0) {
			return fmt.Errorf("handed over: server %08x makes no sense", s.ID)
		}
	}
	if len(e.targets) > 0 {
		return errors.New("handed over: too late, a list is there")
	}
	e.convertClock(&h)
	e.UpdateServers(decide.Restored, h.Servers)
	if err := e.balancer.ImportLearned(e.now(), h.Learned); err != nil {
		slog.Warn("handover: what was learned is not taken", "why", err)
	}
	e.publishCounts()
	return nil
}

// clockTolerance is by how many ms the clocks of two processes of one machine differ at most where the wall clock was not stepped between their
// starts, with the time for handing over.
const clockTolerance = 1000

// convertClock puts what was handed over on this engine's clock: each process counts from the wall clock of its own start, which may have been
// stepped since.
func (e *Engine) convertClock(h *HandoverState) {
	by := e.now() - h.Now
	if h.Now <= 0 || math.Abs(by) < clockTolerance {
		by = 0
	}
	h.Learned.ShiftTimes(by)
	at := map[uint32]float64{}
	for _, s := range h.Starts {
		at[s.ID] = s.At + by
	}
	for _, s := range h.Servers {
		if t, ok := at[s.ID]; ok && s.Started > 0 && t <= e.now() {
			e.starts.record(s.ID, startTime{s.Started, t})
		}
	}
}
