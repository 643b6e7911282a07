package service

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"mossproxy.example/mossproxy/internal/config"
	"mossproxy.example/mossproxy/internal/engine"
	"mossproxy.example/mossproxy/internal/handover"
	"mossproxy.example/mossproxy/internal/operator"
	"mossproxy.example/mossproxy/internal/router"
)

// Platform is a router as the platform starts it: it serves until ctx ends, and then answers what was taken. Where operators have an
// address, another process of the router may take over from it, and it takes over from the one that is there.
func Platform(ctx context.Context, cfg *config.Config, updates <-chan router.Setup) error {
	setup := router.Setup{Config: cfg}
	if cfg.Operator == "" {
		ln, err := net.Listen("tcp", cfg.Listen)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		return router.Serve(ctx, setup, ln, updates)
	}
	calls, err := net.Listen("tcp", cfg.Operator)
	if err != nil {
		return fmt.Errorf("operator: %w", err)
	}
	slog.Info("operators' calls", "addr", calls.Addr().String())
	setup.Control, setup.Unsafe = router.NewControl(1), engine.NewUnsafeIDs()
	cfg.Limits.Sockets -= config.OperatorReserve
	defer operate(calls, setup.Control, nil)()
	path := handover.SocketPath(os.TempDir(), cfg.Listen)
	ln, taken, err := takeOver(ctx, path, cfg.Listen)
	if err != nil {
		return err
	}
	if taken != nil {
		setup.Part, setup.Elder, setup.Handed = taken.Share, taken.Gone(), learned(taken.LearnedState)
	}
	life, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	if taken != nil {
		wg.Go(func() { importUnsafe(taken.Updates(), setup.Unsafe) }) // ends with the old process, or as taken is closed
	}
	wg.Go(func() { succeed(life, path, cfg.Listen, ln, elder{setup.Control, setup.Unsafe}, taken) })
	return router.Serve(ctx, setup, ln, updates)
}

// takeOver gets the clients' listener from the process that is there, or listens itself.
func takeOver(ctx context.Context, path, listen string) (net.Listener, *handover.Takeover, error) {
	taken, err := handover.TakeOver(path, listen, 1, handover.ExchangeTimeout)
	if err == nil {
		slog.Info("handover: the listener is taken over", "part", taken.Share)
		return taken.Listeners[0], taken, nil
	}
	if !errors.Is(err, os.ErrNotExist) {
		slog.Warn("handover: this process listens by itself", "why", err)
	}
	ln, err := listenShared(ctx, listen)
	if err != nil {
		return nil, nil, fmt.Errorf("listen: %w", err)
	}
	return ln, nil, nil
}

// learned reads what the process before has learned: of one pool. What can't be read is as good as nothing.
func learned(text []byte) []engine.HandoverState {
	var pools [][]engine.HandoverState
	if err := json.Unmarshal(text, &pools); err != nil {
		slog.Warn("handover: what was learned is not taken", "why", err)
		return nil
	}
	if len(pools) != 1 {
		return nil
	}
	return pools[0]
}

// listenShared listens at an address beside another process that does so by this too.
func listenShared(ctx context.Context, addr string) (net.Listener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		ctl := c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
		return errors.Join(ctl, err)
	}}
	return lc.Listen(ctx, "tcp", addr)
}

// succeed tells the old process, if there is one, that this one takes clients as soon as it does, has all room once that one is gone, and
// gives way to the next one that comes, until ctx ends.
func succeed(ctx context.Context, path, listen string, ln net.Listener, c elder, taken *handover.Takeover) {
	if c.ServesWithin(ctx) != nil {
		if taken != nil {
			taken.Close()
		}
		return
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	if taken != nil {
		wg.Go(func() {
			defer taken.Close()
			outlive(ctx, c.Control, taken)
		})
	}
	sc, ok := ln.(syscall.Conn)
	if !ok {
		return
	}
	if err := handover.Serve(ctx, path, listen, []syscall.Conn{sc}, c); err != nil {
		slog.Warn("handover: nobody can take over from this process", "why", err)
	}
}

// outlive tells the old process that this one takes clients, and waits until that is gone and all room is this one's. It returns false where
// ctx ends sooner.
func outlive(ctx context.Context, c *router.Control, taken *handover.Takeover) bool {
	if err := taken.ConfirmServing(); err != nil {
		slog.Warn("handover", "why", err)
	}
	select {
	case <-taken.Gone():
		slog.Info("handover: the old process is gone")
		c.ElderGone()
		return true
	case <-ctx.Done():
		return false
	}
}

// elder is this process as one that may be taken over from.
type elder struct {
	*router.Control
	unsafe *engine.UnsafeIDs
}

// unsafeUpdate tells another process which requests must not run again.
type unsafeUpdate struct {
	IDs []string `json:"unsafe"`
}

// exportUnsafe sends the requests that must not run again, now and after each change, until ctx ends.
func exportUnsafe(ctx context.Context, ids *engine.UnsafeIDs, send func([]byte) error) {
	for {
		body, err := json.Marshal(unsafeUpdate{ids.All()})
		if err == nil {
			err = send(body)
		}
		if err != nil {
			slog.Warn("handover: the ids of unsafe requests are not sent any more", "why", err)
			return
		}
		select {
		case <-time.After(unsafeInterval): // those of a moment together
		case <-ctx.Done():
			return
		}
		select {
		case <-ids.Changed():
		case <-ctx.Done():
			return
		}
	}
}

// unsafeInterval is the least time between two updates of the ids of unsafe requests.
const unsafeInterval = 5 * time.Millisecond

// importUnsafe takes the requests of the old process that must not run again, until that ends.
func importUnsafe(updates <-chan []byte, ids *engine.UnsafeIDs) {
	for body := range updates {
		var update unsafeUpdate
		if err := json.Unmarshal(body, &update); err != nil {
			slog.Warn("handover: the ids of unsafe requests are not taken", "why", err)
			continue
		}
		ids.Add(update.IDs...)
	}
}

// Yield is handover.Predecessor's.
func (e elder) Yield(ctx context.Context) (g handover.Grant, err error) {
	if g.Share, err = e.Control.Yield(ctx); err != nil {
		return g, err
	}
	if g.LearnedState, err = json.Marshal(e.Control.Hand(ctx)); err != nil { // the new process does without
		slog.Warn("handover: what was learned can't be said", "err", err)
		g.LearnedState = nil
	}
	g.StreamUpdates = func(ctx context.Context, send func([]byte) error) { exportUnsafe(ctx, e.unsafe, send) }
	return g, nil
}

// operate serves operators' calls until stop is called, which waits for the end of it: a process that ends answers them to the last.
func operate(ln net.Listener, c *router.Control, view func(context.Context) (operator.FleetView, error)) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() {
		if err := operator.Serve(ctx, ln, c, view, config.OperatorReserve-2); err != nil { // its listener, and a call ahead of the one that gives way
			slog.Error("operators can't call any more", "err", err)
		}
	})
	return func() {
		cancel()
		wg.Wait()
	}
}
