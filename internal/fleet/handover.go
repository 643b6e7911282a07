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

// Handed is what a process hands on to the next of the same router.
type Handed struct {
	fleet.Snapshot
	AtMS  float64             `json:"at_ms"` // on the clock of the machine that runs since its start
	Loans quota.HandoverState `json:"loans"`
}

// errElder is said where another process of this router still keeps the view.
var errElder = errors.New("fleet: the process before this one keeps the view until it has ended")

// bootMS is a clock that all processes of the machine share and that nobody sets.
func bootMS() (float64, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, fmt.Errorf("the clock of the machine: %w", err)
	}
	return float64(t.Nano()) / float64(time.Millisecond), nil
}

// HandOn has the view go on in another process of this router, to which Handed goes once Run has ended; or not any more.
func (f *Fleet) HandOn(yes bool) { f.handing.Store(yes) }

// Handed is what there is to hand on after Run, nil where that is nothing.
func (f *Fleet) Handed() *Handed { return f.handed }

// depart ends this process's part: the router leaves, or goes on in another process.
func (f *Fleet) depart() {
	if f.handing.Load() {
		s, err := f.m.Snapshot(f.now())
		at, clock := bootMS()
		if err = errors.Join(err, clock); err == nil {
			f.handed = &Handed{Snapshot: s, AtMS: at}
			if f.loans != nil {
				f.handed.Loans = f.loans.q.Handover(f.now())
			}
			return
		}
		slog.Error("fleet: the view is not handed on", "why", err)
	}
	f.m.Leave(f.now())
}

// enter takes the place of the process before, if there was one. It returns false where ctx ends sooner.
func (f *Fleet) enter(ctx context.Context) bool {
	if f.cfg.Before == nil {
		return true
	}
	h, err := f.cfg.Before(ctx)
	if err != nil {
		return false
	}
	if h == nil {
		slog.Warn("fleet: the process before has handed nothing on: the router joins anew")
	} else if err := f.resume(h); err != nil {
		slog.Warn("fleet: the view is not taken over: the router joins anew", "why", err)
	}
	f.entered.Store(true)
	return true
}

// resume goes on with what the process before knew.
func (f *Fleet) resume(h *Handed) error {
	at, err := bootMS()
	if err != nil {
		return err
	}
	m, err := fleet.Resume(f.pure, host{f}, f.now(), max(0, at-h.AtMS), h.Snapshot)
	if err != nil {
		return err
	}
	if f.m = m; f.loans != nil {
		f.loans.q.Resume(f.now(), h.Loans)
	}
	slog.Info("fleet: the view is taken over", "members", m.Present(), "after_ms", int(at-h.AtMS))
	return nil
}
