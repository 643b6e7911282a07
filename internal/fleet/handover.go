package fleet

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"mossproxy.example/mossproxy/internal/pure/fleet"
	"mossproxy.example/mossproxy/internal/pure/quota"
)

// Sockets are those by which the others reach a router.
type Sockets struct {
	Datagrams *net.UDPConn
	Streams   *net.TCPListener
}

// Sockets are a Fleet's own, for a process that takes over from this one.
func (f *Fleet) Sockets() (streams, datagrams syscall.Conn) { return f.tcp, f.udp }

// HandoverState is what a process hands on to the next of the same router.
type HandoverState struct {
	fleet.Snapshot
	AtMS   float64             `json:"at_ms"` // on the clock of the machine that runs since its start
	Leases quota.HandoverState `json:"loans"`
}

// errPredecessorActive is said where another process of this router still keeps the view.
var errPredecessorActive = errors.New("fleet: the process before this one keeps the view until it has ended")

// bootTimeMS is a clock that all processes of the machine share and that nobody sets.
func bootTimeMS() (float64, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, fmt.Errorf("the clock of the machine: %w", err)
	}
	return float64(t.Nano()) / float64(time.Millisecond), nil
}

// SetHandover has the view go on in another process of this router, to which Handed goes once Run has ended; or not any more.
func (f *Fleet) SetHandover(yes bool) { f.handingOver.Store(yes) }

// HandoverState is what there is to hand on after Run, nil where that is nothing.
func (f *Fleet) HandoverState() *HandoverState { return f.handedOver }

// leaveOrHandOver ends this process's part: the router leaves, or goes on in another process.
func (f *Fleet) leaveOrHandOver() {
	if f.handingOver.Load() {
		s, err := f.machine.Snapshot(f.now())
		at, clock := bootTimeMS()
		if err = errors.Join(err, clock); err == nil {
			f.handedOver = &HandoverState{Snapshot: s, AtMS: at}
			if f.leases != nil {
				f.handedOver.Leases = f.leases.machine.Handover(f.now())
			}
			return
		}
		slog.Error("fleet: the view is not handed on", "why", err)
	}
	f.machine.Leave(f.now())
}

// takeOver takes the place of the process before, if there was one. It returns false where ctx ends sooner.
func (f *Fleet) takeOver(ctx context.Context) bool {
	if f.cfg.AwaitPredecessor == nil {
		return true
	}
	h, err := f.cfg.AwaitPredecessor(ctx)
	if err != nil {
		return false
	}
	if h == nil {
		slog.Warn("fleet: the process before has handed nothing on: the router joins anew")
	} else if err := f.resume(h); err != nil {
		slog.Warn("fleet: the view is not taken over: the router joins anew", "why", err)
	}
	f.started.Store(true)
	return true
}

// resume goes on with what the process before knew.
func (f *Fleet) resume(h *HandoverState) error {
	at, err := bootTimeMS()
	if err != nil {
		return err
	}
	m, err := fleet.Resume(f.machineConfig, host{f}, f.now(), max(0, at-h.AtMS), h.Snapshot)
	if err != nil {
		return err
	}
	if f.machine = m; f.leases != nil {
		f.leases.machine.Resume(f.now(), h.Leases)
	}
	slog.Info("fleet: the view is taken over", "members", m.Present(), "after_ms", int(at-h.AtMS))
	return nil
}
