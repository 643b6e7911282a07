package main

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"mossproxy.example/mossproxy/internal/router"
)

// After a SIGHUP with an invalid file, the program keeps running and reads the file again at the next SIGHUP.
func TestReload(t *testing.T) {
	good, err := os.ReadFile("../../.ci/config.json")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	hup, updates := make(chan os.Signal), make(chan router.Setup)
	go reload(t.Context(), path, hup, updates)
	write("{")
	for range 2 {
		hup <- syscall.SIGHUP // the second is received only after the first has been processed
	}
	write(string(good))
	for end := time.After(10 * time.Second); ; {
		select {
		case hup <- syscall.SIGHUP:
		case cfg := <-updates:
			if cfg.Config == nil || cfg.Discovery != "127.0.0.1:9" {
				t.Errorf("got %+v", cfg)
			}
			return
		case <-end:
			t.Fatal("no configuration")
		}
	}
}
