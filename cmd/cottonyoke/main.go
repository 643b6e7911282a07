// Command cottonyoke is a router in front of cache servers.
package main

import (
	"context"
	"fmt"
	"log"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"mossproxy.example/mossproxy/internal/router"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "cottonyoke:", err)
		os.Exit(1)
	}
}

func run() error {
	path := os.Getenv("GW_CONFIG")
	if path == "" {
		return fmt.Errorf("GW_CONFIG: not set")
	}
	cfg, err := router.LoadConfig(path, os.Getenv)
	if err != nil {
		return err
	}
	log.SetFlags(log.Lmicroseconds)
	runtime.GOMAXPROCS(1) // the router has one core, which it may share
	debug.SetMemoryLimit(cfg.Limits.MemoryMB << 20 * 6 / 10)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return router.Serve(ctx, cfg, ln)
}
