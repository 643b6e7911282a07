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
	signal.Notify(hup, syscall.SIGHUP) // registered first, as an unhandled SIGHUP ends the process
	var err error
	if len(os.Args) == 1 { // platform mode: the environment supplies the configuration
		err = runPlatform(hup)
	} else {
		err = runCommand(os.Args[1:], hup)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "cottonyoke:", err)
		os.Exit(1)
	}
}

// runPlatform serves as the platform starts the program: GW_CONFIG names the JSON configuration file.
func runPlatform(hup <-chan os.Signal) error {
	path := os.Getenv("GW_CONFIG")
	if path == "" {
		return fmt.Errorf("GW_CONFIG: not set")
	}
	cfg, err := config.Load(path, os.Getenv)
	if err != nil {
		return err
	}
	if os.Getenv("COTTONYOKE_LOG") == "debug" { // logs each request, attempt and close
		slog.SetLogLoggerLevel(slog.LevelDebug)
	}
	limitResources(1, cfg.Limits.MemoryMB) // the platform gives a router one core, possibly shared
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	updates := make(chan router.Setup)
	go reload(ctx, path, hup, updates)
	return service.Platform(ctx, cfg, updates)
}

// limitResources limits the process to the given number of cores, and the Go runtime to 60% of memoryMB (in
// MiB).
func limitResources(cores int, memoryMB int64) {
	runtime.GOMAXPROCS(cores)
	debug.SetMemoryLimit(memoryMB << 20 * 6 / 10)
}

// reload reads the configuration at path after each SIGHUP and sends it to updates, until ctx ends. An
// invalid configuration is logged and the current one stays in use.
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
