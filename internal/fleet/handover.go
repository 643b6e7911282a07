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

// Sockets holds the sockets at which other members reach a router.
type Sockets struct {
	Datagrams *net.UDPConn
	Streams   *net.TCPListener
}

// Sockets returns the sockets of the Fleet, for a process that takes over from this one.
func (f *Fleet) Sockets() (streams, datagrams syscall.Conn) { return f.tcp, f.udp }

// HandoverState is the state that a process hands over to the next process of the same router.
type HandoverState struct {
	fleet.Snapshot
	AtMS   float64             `json:"at_ms"` // time of the snapshot, in ms since boot
	Leases quota.HandoverState `json:"loans"`
}

// errPredecessorActive is returned while the previous process of this router still holds the view.
var errPredecessorActive = errors.New("fleet: the process before this one keeps the view until it has ended")

// bootTimeMS returns the time since boot in ms. All processes of the host share this clock and nobody can set
// it.
func bootTimeMS() (float64, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, fmt.Errorf("read CLOCK_BOOTTIME: %w", err)
	}
	return float64(t.Nano()) / float64(time.Millisecond), nil
}

// SetHandover sets whether Run, when it ends, hands the view over to a successor process (see HandoverState)
// instead of leaving the fleet.
func (f *Fleet) SetHandover(yes bool) { f.handingOver.Store(yes) }

// HandoverState returns the state for the successor after Run has ended, or nil if there is none.
func (f *Fleet) HandoverState() *HandoverState { return f.handedOver }

// leaveOrHandOver ends the membership of this process: it saves the state for a successor, or leaves the
// fleet.
func (f *Fleet) leaveOrHandOver() {
	if f.handingOver.Load() {
		s, err := f.machine.Snapshot(f.now())
		bootMS, clockErr := bootTimeMS()
		if err = errors.Join(err, clockErr); err == nil {
			f.handedOver = &HandoverState{Snapshot: s, AtMS: bootMS}
			if f.leases != nil {
				f.handedOver.Leases = f.leases.machine.Handover(f.now())
			}
			return
		}
		slog.Error("fleet: view not handed over; leaving the fleet", "why", err)
	}
	f.machine.Leave(f.now())
}

// takeOver waits for the predecessor, if there is one, and resumes from its state. It returns false if this
// process never takes over, e.g. as ctx has ended.
func (f *Fleet) takeOver(ctx context.Context) bool {
	if f.cfg.AwaitPredecessor == nil {
		return true
	}
	h, err := f.cfg.AwaitPredecessor(ctx)
	if err != nil {
		return false
	}
	if h == nil {
		slog.Warn("fleet: the previous process handed over no state; joining as a new member")
	} else if err := f.resume(h); err != nil {
		slog.Warn("fleet: handed-over state is unusable; joining as a new member", "why", err)
	}
	f.started.Store(true)
	return true
}

// resume restores the state of the predecessor, advanced by the time that has passed since its snapshot.
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
