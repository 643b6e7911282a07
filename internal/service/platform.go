package service

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"

	"mossproxy.example/mossproxy/internal/config"
	"mossproxy.example/mossproxy/internal/operator"
	"mossproxy.example/mossproxy/internal/router"
)

// Platform is a router as the platform starts it: it serves until ctx ends, and then answers what was taken.
func Platform(ctx context.Context, cfg *config.Config, updates <-chan router.Setup) error {
	setup := router.Setup{Config: cfg}
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if cfg.Operator == "" {
		return router.Serve(ctx, setup, ln, updates)
	}
	defer ln.Close()
	calls, err := net.Listen("tcp", cfg.Operator)
	if err != nil {
		return fmt.Errorf("operator: %w", err)
	}
	setup.Control = router.NewControl(1)
	cfg.Limits.Sockets -= operator.Reserve
	stop := operate(calls, setup.Control)
	defer stop()
	return router.Serve(ctx, setup, ln, updates)
}

// operate serves operators' calls until stop is called, which waits for the end of it: a process that ends answers them to the last.
func operate(ln net.Listener, c *router.Control) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() {
		if err := operator.Serve(ctx, ln, c); err != nil {
			slog.Error("operators can't call any more", "err", err)
		}
	})
	return func() {
		cancel()
		wg.Wait()
	}
}
