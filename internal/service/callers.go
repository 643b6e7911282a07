package service

import (
	"fmt"
	"log/slog"
	"slices"

	"mossproxy.example/mossproxy/internal/config"
	"mossproxy.example/mossproxy/internal/identity"
	"mossproxy.example/mossproxy/internal/keybook"
	"mossproxy.example/mossproxy/internal/router"
)

// known is who may call: one gate for all pools, and the files that its book is made of.
type known struct {
	gate   *identity.Gate
	source *keybook.Source
	usage  *router.Usage
	costs  []float64 // of the classes
}

// openKnown opens the book of callers; nil where the configuration asks nobody.
func openKnown(f *config.File) (*known, error) {
	c := f.Callers
	if c == nil {
		return nil, nil
	}
	o := identity.Options{Policy: c.Policy, Remember: c.Remember, Share: c.Share, Log: slog.Default()}
	if c.Pepper != "" {
		p, err := identity.ReadPepper(c.Pepper)
		if err != nil {
			return nil, fmt.Errorf("callers: %w", err)
		}
		o.Pepper = &p
	}
	if n := f.Pools[0].Checked.Config.Routers; n > 0 {
		o.Portion = 1 / float64(n)
	}
	k := &known{gate: identity.NewGate(o), usage: router.NewUsage(), costs: f.Costs}
	var err error
	k.source, err = keybook.Open(SourceConfig(f), k.gate, slog.Default())
	return k, err
}

// limits are those of the book's tenants, as the router takes them; nil where none has any.
func (k *known) limits() (epoch uint64, t *config.Tenants) {
	epoch, names, limits := k.source.Tenants()
	if len(limits) == 0 {
		return epoch, nil
	}
	t = &config.Tenants{Costs: k.costs}
	for _, n := range names {
		t.Tenants = append(t.Tenants, config.TenantLimits{Name: n.Name, Suspended: n.Suspended, Limits: limits[n.Name]})
	}
	return epoch, t
}

// SourceConfig is where the book of a configuration comes from.
func SourceConfig(f *config.File) keybook.SourceConfig {
	c := f.Callers
	return keybook.SourceConfig{Name: f.Name, Book: c.Book, Rights: c.Rights, Bundle: c.Bundle, Classes: f.Classes(), Policy: c.Policy}
}

// openLink opens the material of a TLS listener.
func openLink(t *config.TLS) (*identity.Link, error) {
	f := identity.LinkFiles{Certificate: t.Certificate, Key: t.Key, Bundle: t.Bundle, Tickets: t.Tickets,
		Clients: identity.ClientAuth(slices.Index(config.ClientChoices, t.Clients))}
	if err := f.Check(); err != nil {
		return nil, err
	}
	return identity.OpenLink(f, slog.Default())
}

// openServerLink opens the material of the links to servers; nil where they are plain.
func openServerLink(t *config.ServerTLS) (*identity.Link, error) {
	if t == nil {
		return nil, nil
	}
	return identity.OpenLink(identity.LinkFiles{Bundle: t.Bundle, Certificate: t.Certificate, Key: t.Key, ServerName: t.Name}, slog.Default())
}
