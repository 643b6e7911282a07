package service

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"mossproxy.example/mossproxy/internal/admin"
	"mossproxy.example/mossproxy/internal/config"
	"mossproxy.example/mossproxy/internal/keybook"
	"mossproxy.example/mossproxy/internal/pure/tenant"
	"mossproxy.example/mossproxy/internal/router"
	"mossproxy.example/mossproxy/internal/store"
)

// administration is the API with the store that it changes.
type administration struct {
	s      *Service
	store  *store.Store
	keeper *keybook.Store
	api    *admin.API
	ln     net.Listener
	path   string // of the book file

	mu           sync.Mutex
	exported     uint64 // the version in the file
	exportedText []byte // and its content

	exportFailed chan struct{} // signals retryExports; buffered, capacity 1
}

// Pauses between the attempts at an export that fails.
const (
	minExportPause = 50 * time.Millisecond
	maxExportPause = time.Second
)

// openAdmin opens the store and listens. The book file is written anew where a crash left it behind the store.
func (s *Service) openAdmin(cfg *config.Admin) (*administration, error) {
	st, err := store.Open(s.disk(cfg.State), store.Options{Owner: "cottonyoke serve"})
	if err != nil {
		return nil, fmt.Errorf("admin: %w", err)
	}
	a := &administration{s: s, store: st, keeper: keybook.NewStore(st, "serve", nil), path: s.file.Callers.Book, exportFailed: make(chan struct{}, 1)}
	if a.ln, err = net.Listen("tcp", cfg.Listen); err != nil {
		st.Close()
		return nil, fmt.Errorf("admin: %w", err)
	}
	a.api = admin.New(admin.Options{Keeper: a.keeper, Tokens: admin.NewTokens(st), Publish: a.publish, Usage: s.usage,
		InFlight: func(name string, generation uint32) int {
			return s.known.usage.InHand(router.Lifetime{Name: name, Generation: generation})
		},
		Names: s.known.source.Names, Log: slog.Default()})
	a.keeper.ContinueAbove(func() uint64 { has, _ := s.known.source.Version(); return has })
	version, err := a.keeper.Version()
	switch has, _ := s.known.source.Version(); {
	case err != nil:
	case version > has:
		err = a.export(version)
	case version < has:
		slog.Warn("administration: the credentials in force are newer than the store; the next change brings into force what the store has",
			"in_force", has, "store", version)
	}
	if err != nil {
		a.ln.Close()
		st.Close()
		return nil, fmt.Errorf("admin: %w", err)
	}
	return a, nil
}

// usage is what a tenant asked in the last hour here.
func (s *Service) usage(name string, generation uint32) []tenant.Minute {
	now := float64(time.Now().UnixMilli())
	if m := s.known.usage.Of(router.Lifetime{Name: name, Generation: generation}, now); m != nil {
		return m
	}
	return s.known.usage.Of(router.Lifetime{Name: name}, now) // limits of the configuration's file know no generation
}

// run serves the API until ctx ends.
func (a *administration) run(ctx context.Context) {
	defer a.store.Close()
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { a.retryExports(ctx) })
	slog.Info("administration: listening", "addr", a.ln.Addr().String())
	if err := a.api.Serve(ctx, a.ln); err != nil {
		slog.Error("administration: ended", "why", err)
	}
}

// export writes the book file if it is older than a version. If that fails, retryExports goes on with it.
func (a *administration) export(version uint64) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.exported >= version {
		return nil
	}
	v, text, err := a.keeper.Export(a.path)
	if err == nil {
		a.exported, a.exportedText = v, text
		return nil
	}
	a.signalExportFailed()
	return err
}

// retryExports repeats an export that has failed until the file has what is stored, without any further change,
// until ctx ends.
func (a *administration) retryExports(ctx context.Context) {
	pause := minExportPause
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.exportFailed:
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		if err := a.exportCurrent(); err != nil {
			slog.Warn("administration: export failed, retrying", "why", err)
			pause = min(2*pause, maxExportPause)
			continue
		}
		pause = minExportPause
	}
}

// exportCurrent writes the book file if it is older than what is stored.
func (a *administration) exportCurrent() error {
	version, err := a.keeper.Version()
	if err != nil {
		a.signalExportFailed()
		return err
	}
	return a.export(version)
}

// signalExportFailed has retryExports make the export again. It does not block.
func (a *administration) signalExportFailed() {
	select {
	case a.exportFailed <- struct{}{}:
	default: // it is signaled already
	}
}

// forceEvery is how often it is looked at whether a version is in force.
const forceEvery = 5 * time.Millisecond

// publish writes the book file and waits until its version is in force on all engines of all pools.
func (a *administration) publish(ctx context.Context, version uint64) error {
	if err := a.export(version); err != nil {
		return err
	}
	t := time.NewTicker(forceEvery)
	defer t.Stop()
	for !a.inForce(version) {
		select {
		case <-ctx.Done():
			return fmt.Errorf("version %d is not in force: %w", version, ctx.Err())
		case <-t.C:
		}
	}
	return nil
}

// inForce reports whether a version, or a later one, is in force on all engines of all pools. The content tells, as
// credentials from elsewhere may have any version.
func (a *administration) inForce(version uint64) bool {
	has, epoch := a.s.known.source.Version()
	if has < version || !a.exportApplied() {
		return false
	}
	for _, p := range a.s.pools {
		if p.setup.Book != nil && p.inForce.Load() < epoch {
			return false
		}
	}
	return true
}

// exportApplied reports whether the router uses what was exported last.
func (a *administration) exportApplied() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.s.known.source.HasApplied(a.exportedText)
}
