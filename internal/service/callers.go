package service

import (
	"fmt"
	"log/slog"
	"slices"
	"sync"

	"mossproxy.example/mossproxy/internal/config"
	"mossproxy.example/mossproxy/internal/identity"
	"mossproxy.example/mossproxy/internal/keybook"
	"mossproxy.example/mossproxy/internal/router"
)

// known is who may call: one gate for all pools, and the files that its book is made of.
type known struct {
	gate    *identity.Authenticator
	source  *keybook.Source
	usage   *router.Usage
	costs   []float64 // of the classes,
	fetch   float64   // and of each way to the origin
	classes []string  // and their names, by number
}

// openKnown opens the book of callers; nil where the configuration asks nobody.
func openKnown(f *config.File) (*known, error) {
	c := f.Callers
	if c == nil {
		return nil, nil
	}
	o := identity.Options{Policy: c.Policy, CacheSize: c.Remember, CPUShare: c.Share, Log: slog.Default()}
	if c.Pepper != "" {
		p, err := identity.ReadPepper(c.Pepper)
		if err != nil {
			return nil, fmt.Errorf("callers: %w", err)
		}
		o.Pepper = &p
	}
	if n := f.Pools[0].Checked.Config.Routers; n > 0 {
		o.RouterShare = 1 / float64(n)
	}
	k := &known{gate: identity.NewAuthenticator(o), usage: router.NewUsage(), costs: f.Costs, fetch: f.FetchCost, classes: f.Classes()}
	var err error
	k.source, err = keybook.Open(SourceConfig(f), k.gate, slog.Default())
	return k, err
}

// limits are those of the book's tenants at a pool, as the router takes them. Nothing is taken of one that may not come to it. It is asked
// often, and made anew only when the book has changed.
func (k *known) limits(pool string) func() (epoch uint64, t *config.Tenants) {
	var mu sync.Mutex
	var of uint64
	var last *config.Tenants
	return func() (uint64, *config.Tenants) {
		epoch, names, terms := k.source.Tenants()
		mu.Lock()
		defer mu.Unlock()
		if last != nil && of == epoch {
			return epoch, last
		}
		t := &config.Tenants{Costs: k.costs, Fetch: k.fetch, Off: !keybook.AnyLimited(terms), Tenants: make([]config.TenantLimits, 0, len(names))}
		for _, n := range names {
			x := terms[n.Name]
			t.Tenants = append(t.Tenants, config.TenantLimits{Name: n.Name, Generation: n.Generation, Suspended: n.Suspended || !x.AllowsPool(pool), Limits: x.LimitsByClass(k.classes)})
		}
		of, last = epoch, t
		return epoch, t
	}
}

// SourceConfig is where the book of a configuration comes from.
func SourceConfig(f *config.File) keybook.SourceConfig {
	c := f.Callers
	return keybook.SourceConfig{Name: f.Name, CredentialsPath: c.Book, RightsPath: c.Rights, BundlePath: c.Bundle, Classes: f.Classes(), Pools: f.PoolNames(), Policy: c.Policy}
}

// openLink opens the material of a TLS listener.
func openLink(t *config.TLS) (*identity.TLSReloader, error) {
	f := identity.TLSFiles{Certificate: t.Certificate, Key: t.Key, Bundle: t.Bundle, Tickets: t.Tickets,
		Clients: identity.ClientAuth(slices.Index(config.ClientCertModes, t.Clients))}
	if err := f.Validate(); err != nil {
		return nil, err
	}
	return identity.OpenTLS(f, slog.Default())
}

// openServerLink opens the material of the links to servers; nil where they are plain.
func openServerLink(t *config.ServerTLS) (*identity.TLSReloader, error) {
	if t == nil {
		return nil, nil
	}
	return identity.OpenTLS(identity.TLSFiles{Bundle: t.Bundle, Certificate: t.Certificate, Key: t.Key, ServerName: t.Name}, slog.Default())
}
