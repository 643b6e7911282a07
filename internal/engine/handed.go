package engine

import (
	"errors"
	"fmt"
	"log/slog"

	"mossproxy.example/mossproxy/decide"
)

// maxHanded bounds the servers that are taken over from another process.
const maxHanded = 8192

// Handed is what an engine hands to that of the next process: the servers that it knows, and what was learned.
type Handed struct {
	Servers []Server       `json:"servers"`
	Learned decide.Learned `json:"learned"`
}

// Hand is what the engine has to hand over.
func (e *Engine) Hand() Handed {
	h := Handed{Learned: e.b.Learned(e.now())}
	for _, t := range e.targets {
		h.Servers = append(h.Servers, Server{t.entry, t.addr})
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
		if s.Addr == "" || s.State < decide.Ready || s.State >= decide.Gone || !(s.Size >= 0) || !(s.Started >= 0 && s.Started <= e.now()+1000) {
			return fmt.Errorf("handed over: server %08x makes no sense", s.ID)
		}
	}
	if len(e.targets) > 0 {
		return errors.New("handed over: too late, a list is there")
	}
	e.List(decide.Remembered, h.Servers)
	if err := e.b.Learn(e.now(), h.Learned); err != nil {
		slog.Warn("handover: what was learned is not taken", "why", err)
	}
	e.show()
	return nil
}
