// Command cottonyoke is a router in front of cache servers.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"mossproxy.example/mossproxy/internal/config"
	"mossproxy.example/mossproxy/internal/router"
	"mossproxy.example/mossproxy/internal/service"
)

func main() {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP) // first of all: unhandled, it ends the program
	var err error
	if len(os.Args) == 1 { // the platform's mode: all else is told by the environment
		err = runPlatform(hup)
	} else {
		err = runCommand(os.Args[1:], hup)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "cottonyoke:", err)
		os.Exit(1)
	}
}

func runPlatform(hup <-chan os.Signal) error {
	path := os.Getenv("GW_CONFIG")
	if path == "" {
		return fmt.Errorf("GW_CONFIG: not set")
	}
	cfg, err := config.Load(path, os.Getenv)
	if err != nil {
		return err
	}
	if os.Getenv("COTTONYOKE_LOG") == "debug" { // each request, attempt and close
		slog.SetLogLoggerLevel(slog.LevelDebug)
	}
	limitResources(1, cfg.Limits.MemoryMB) // the router has one core, which it may share
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	updates := make(chan router.Setup)
	go reload(ctx, path, hup, updates)
	return service.Platform(ctx, cfg, updates)
}

// limitResources keeps the process within its cores and memory.
func limitResources(cores int, memoryMB int64) {
	runtime.GOMAXPROCS(cores)
	debug.SetMemoryLimit(memoryMB << 20 * 6 / 10)
}

// reload hands on the configuration at path as it is at each SIGHUP, until ctx ends. A bad one is logged and changes
// nothing.
func reload(ctx context.Context, path string, hup <-chan os.Signal, updates chan<- router.Setup) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		}
		cfg, err := config.Load(path, os.Getenv)
		if err != nil {
			slog.Warn("SIGHUP: the configuration is kept", "why", err)
			continue
		}
		select {
		case updates <- router.Setup{Config: cfg}:
		case <-ctx.Done():
			return
		}
	}
}
