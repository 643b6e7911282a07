package keybook

import (
	"context"
	"errors"
	"fmt"

	"mossproxy.example/mossproxy/internal/pure/tenant"
	"mossproxy.example/mossproxy/internal/store"
)

// Tenant is one of the store's, with the version by which a change of it is conditioned.
type Tenant struct {
	Name       string
	Generation uint32
	Suspended  bool
	Terms
	Version uint64
}

// StaleError tells of a change that was made on another version than the one in the store.
type StaleError struct{ Current uint64 } // 0 = there is none

func (e *StaleError) Error() string {
	if e.Current == 0 {
		return "it is not there, or no more"
	}
	return fmt.Sprintf("it is of version %d by now", e.Current)
}

// WithActor is the keeper in the name of another, for the audit.
func (k *Store) WithActor(who string) *Store { return &Store{k.store, who, k.now} }

// Version is the book's.
func (k *Store) Version() (uint64, error) {
	v, _, err := readHead(k.store)
	return v, err
}

// WaitForVersion waits until the book's version is above one, or ctx ends.
func (k *Store) WaitForVersion(ctx context.Context, above uint64) error {
	for {
		w := k.store.Watch(k.store.Version()) // ahead of the look, so that no change falls between
		v, err := k.Version()
		if err != nil || v > above {
			return err
		}
		if _, err := w.Next(ctx); err != nil && !errors.Is(err, store.ErrTooOld) {
			return err
		}
	}
}

// Tenant gives one; its Version is 0 where there is none.
func (k *Store) Tenant(name string) (Tenant, error) {
	row, version, err := readTenant(k.store, name)
	return row.withVersion(version), err
}

func (r tenantRow) withVersion(version uint64) Tenant {
	return Tenant{r.Name, r.Generation, r.Suspended, r.terms(), version}
}

// readTenant gives a row and the version of its entry.
func readTenant(s reader, name string) (tenantRow, uint64, error) {
	item, err := s.Get(tenantPrefix + name)
	if errors.Is(err, store.ErrNotFound) {
		return tenantRow{}, 0, nil
	}
	if err != nil {
		return tenantRow{}, 0, err
	}
	row, _, err := getRow[tenantRow](s, tenantPrefix+name)
	return row, item.Version, err
}

// Tenants gives up to so many whose names come after one, in their order, and the book's version that they are of.
func (k *Store) Tenants(after string, most int) (out []Tenant, version uint64, err error) {
	sn, err := k.store.Snapshot()
	if err != nil {
		return nil, 0, err
	}
	defer sn.Release()
	if version, _, err = readHead(sn); err != nil {
		return nil, 0, err
	}
	for name, entry := range sn.Keys(tenantPrefix, tenantPrefix+after+"\x00") {
		if len(out) == most {
			break
		}
		row, _, err := getRow[tenantRow](sn, name)
		if err != nil {
			return nil, 0, err
		}
		out = append(out, row.withVersion(entry))
	}
	return out, version, nil
}

// PutTenant makes a tenant, where expected is 0, or changes the one of that version. Who loses against another gets a StaleError, and
// nothing is changed. It gives the tenant as it is now, and the book's version.
func (k *Store) PutTenant(t Tenant, expected uint64) (Tenant, uint64, error) {
	if err := tenant.CheckName(t.Name); err != nil {
		return Tenant{}, 0, err
	}
	if err := t.Terms.Check(); err != nil {
		return Tenant{}, 0, err
	}
	next := tenantRow{t.Name, 0, t.Suspended, t.Terms.row()}
	book, err := k.changeTenant(t.Name, expected, func(s reader, was tenantRow) (change, error) {
		c := change{action: "tenant set", name: t.Name, puts: map[string]any{}}
		if next.Generation = was.Generation; expected == 0 {
			gen, _, err := getRow[uint32](s, generationPrefix+t.Name)
			if err != nil {
				return c, err
			}
			next.Generation = gen + 1
			c.action, c.puts[generationPrefix+t.Name] = "tenant create", next.Generation
		} else {
			c.from = was
		}
		c.to, c.puts[tenantPrefix+t.Name] = next, next
		return c, nil
	})
	if err != nil {
		return Tenant{}, 0, err
	}
	now, err := k.Tenant(t.Name)
	return now, book, err
}

// RemoveTenant ends the tenant of a version, with its callers and their secrets.
func (k *Store) RemoveTenant(name string, expected uint64) (uint64, error) {
	return k.changeTenant(name, expected, func(_ reader, was tenantRow) (change, error) {
		b, err := k.Load()
		if err != nil {
			return change{}, err
		}
		if was.Name == "" {
			return change{}, &StaleError{}
		}
		return tenantDeletion(b, was), nil
	})
}

// maxTenantChangeAttempts bounds how often a change is made anew because another of the book came first.
const maxTenantChangeAttempts = 100

// changeTenant makes a change of one tenant's entry of a version. Changes of others meanwhile are no conflict: it is made anew on them.
func (k *Store) changeTenant(name string, expected uint64, make func(s reader, was tenantRow) (change, error)) (version uint64, err error) {
	for range maxTenantChangeAttempts {
		version, err = k.commit(0, func(s reader) (change, error) {
			was, at, err := readTenant(s, name)
			if err != nil {
				return change{}, err
			}
			if at != expected {
				return change{}, &StaleError{at}
			}
			return make(s, was)
		})
		if !errors.Is(err, ErrConflict) {
			break
		}
	}
	return version, err
}
