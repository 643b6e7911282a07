package engine

import (
	"errors"
	"fmt"
	"log/slog"
	"math"

	"mossproxy.example/mossproxy/decide"
)

// maxHandoverServers limits the number of servers taken over from another process.
const maxHandoverServers = 8192

// HandoverState is what an engine passes to the engine of its successor process: the known servers and the
// learned state.
type HandoverState struct {
	Servers []Server        `json:"servers"` // with their start times as listed
	Learned decide.Learned  `json:"learned"`
	Now     float64         `json:"now"`    // clock of the sender at the export, in ms; 0 = unknown
	Starts  []HandoverStart `json:"starts"` // on the sender's clock
}

// HandoverStart is the start time of a listed server.
type HandoverStart struct {
	ID uint32  `json:"id"`
	At float64 `json:"at"`
}

// ExportState returns the state to hand over to a successor.
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

// ImportState takes over the state of the predecessor's engine, before any list or request. The servers and
// the learned state are each taken completely or not at all. An error means that the engine has no server
// list.
func (e *Engine) ImportState(h HandoverState) error {
	if len(h.Servers) == 0 || len(h.Servers) > maxHandoverServers {
		return fmt.Errorf("handover: %d servers, want 1 to %d", len(h.Servers), maxHandoverServers)
	}
	for _, s := range h.Servers {
		if s.Addr == "" || s.State < decide.Ready || s.State >= decide.Removed || !(s.Size >= 0) || !(s.Started >= 0) {
			return fmt.Errorf("handover: server %08x has an invalid address, state, size or start time", s.ID)
		}
	}
	if len(e.targets) > 0 {
		return errors.New("handover: a server list is already loaded")
	}
	e.convertClock(&h)
	e.UpdateServers(decide.Restored, h.Servers)
	if err := e.balancer.ImportLearned(e.now(), h.Learned); err != nil {
		slog.Warn("handover: learned state rejected", "why", err)
	}
	e.publishCounts()
	return nil
}

// clockTolerance is the largest difference in ms between the clocks of two processes on one machine whose
// wall clock was not stepped between their starts, including the time for the handover.
const clockTolerance = 1000

// convertClock converts the start times of a handover to this engine's clock. Each process counts from the
// wall clock at its own start, which may have been stepped since.
func (e *Engine) convertClock(h *HandoverState) {
	shift := e.now() - h.Now
	if h.Now <= 0 || math.Abs(shift) < clockTolerance {
		shift = 0
	}
	h.Learned.ShiftTimes(shift)
	startedAt := map[uint32]float64{}
	for _, s := range h.Starts {
		startedAt[s.ID] = s.At + shift
	}
	for _, s := range h.Servers {
		if t, ok := startedAt[s.ID]; ok && s.Started > 0 && t <= e.now() {
			e.starts.record(s.ID, startTime{s.Started, t})
		}
	}
}
