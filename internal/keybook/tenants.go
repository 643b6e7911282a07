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

// As is the keeper in the name of another, for the audit.
func (k *Keeper) As(who string) *Keeper { return &Keeper{k.s, who, k.now} }

// Version is the book's.
func (k *Keeper) Version() (uint64, error) {
	v, _, err := head(k.s)
	return v, err
}

// Await waits until the book's version is above one, or ctx ends.
func (k *Keeper) Await(ctx context.Context, above uint64) error {
	for {
		w := k.s.Watch(k.s.Version()) // ahead of the look, so that no change falls between
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
func (k *Keeper) Tenant(name string) (Tenant, error) {
	row, version, err := tenantAt(k.s, name)
	return row.full(version), err
}

func (r tenantRow) full(version uint64) Tenant {
	return Tenant{r.Name, r.Generation, r.Suspended, r.terms(), version}
}

// tenantAt gives a row and the version of its entry.
func tenantAt(s getter, name string) (tenantRow, uint64, error) {
	item, err := s.Get(tenantPrefix + name)
	if errors.Is(err, store.ErrNotFound) {
		return tenantRow{}, 0, nil
	}
	if err != nil {
		return tenantRow{}, 0, err
	}
	row, _, err := get[tenantRow](s, tenantPrefix+name)
	return row, item.Version, err
}

// Tenants gives up to so many whose names come after one, in their order, and the book's version that they are of.
func (k *Keeper) Tenants(after string, most int) (out []Tenant, version uint64, err error) {
	sn, err := k.s.Snapshot()
	if err != nil {
		return nil, 0, err
	}
	defer sn.Release()
	if version, _, err = head(sn); err != nil {
		return nil, 0, err
	}
	for name, entry := range sn.Keys(tenantPrefix, tenantPrefix+after+"\x00") {
		if len(out) == most {
			break
		}
		row, _, err := get[tenantRow](sn, name)
		if err != nil {
			return nil, 0, err
		}
		out = append(out, row.full(entry))
	}
	return out, version, nil
}

// PutTenant makes a tenant, where expected is 0, or changes the one of that version. Who loses against another gets a StaleError, and
// nothing is changed. It gives the tenant as it is now, and the book's version.
func (k *Keeper) PutTenant(t Tenant, expected uint64) (Tenant, uint64, error) {
	if err := tenant.CheckName(t.Name); err != nil {
		return Tenant{}, 0, err
	}
	if err := t.Terms.Check(); err != nil {
		return Tenant{}, 0, err
	}
	next := tenantRow{t.Name, 0, t.Suspended, t.Terms.row()}
	book, err := k.tenantChange(t.Name, expected, func(s getter, was tenantRow) (change, error) {
		c := change{what: "tenant set", name: t.Name, puts: map[string]any{}}
		if next.Generation = was.Generation; expected == 0 {
			gen, _, err := get[uint32](s, genPrefix+t.Name)
			if err != nil {
				return c, err
			}
			next.Generation = gen + 1
			c.what, c.puts[genPrefix+t.Name] = "tenant create", next.Generation
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
func (k *Keeper) RemoveTenant(name string, expected uint64) (uint64, error) {
	return k.tenantChange(name, expected, func(_ getter, was tenantRow) (change, error) {
		b, err := k.Load()
		if err != nil {
			return change{}, err
		}
		if was.Name == "" {
			return change{}, &StaleError{}
		}
		return ending(b, was), nil
	})
}

// tenantTries bounds how often a change is made anew because another of the book came first.
const tenantTries = 100

// tenantChange makes a change of one tenant's entry of a version. Changes of others meanwhile are no conflict: it is made anew on them.
func (k *Keeper) tenantChange(name string, expected uint64, make func(s getter, was tenantRow) (change, error)) (version uint64, err error) {
	for range tenantTries {
		version, err = k.commit(0, func(s getter) (change, error) {
			was, at, err := tenantAt(s, name)
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
