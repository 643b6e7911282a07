package keybook

import (
	"context"
	"errors"
	"fmt"

	"mossproxy.example/mossproxy/internal/pure/caller"
	"mossproxy.example/mossproxy/internal/pure/tenant"
	"mossproxy.example/mossproxy/internal/store"
)

// Tenant is a tenant in the store. Version is that of its entry; changes are conditional on it.
type Tenant struct {
	Name       string
	Generation uint32
	Suspended  bool
	Terms
	Version uint64
}

// StaleError is returned for a change that is based on a version other than the current one.
type StaleError struct{ Current uint64 } // 0 = the tenant does not exist

// Error says that the tenant does not exist, or which version is the current one.
func (e *StaleError) Error() string {
	if e.Current == 0 {
		return "it is not there, or no more"
	}
	return fmt.Sprintf("it is of version %d by now", e.Current)
}

// WithActor returns a Store that names actor in its audit records.
func (st *Store) WithActor(actor string) *Store {
	other := *st
	other.actor = actor
	return &other
}

// Version returns the version of the credentials; 0 = there are none.
func (st *Store) Version() (uint64, error) {
	v, _, err := readHead(st.store)
	return v, err
}

// WaitForVersion waits until the credentials' version is greater than above, or ctx is done.
func (st *Store) WaitForVersion(ctx context.Context, above uint64) error {
	for {
		w := st.store.Watch(st.store.Version()) // before reading the version, so that no change is missed
		v, err := st.Version()
		if err != nil || v > above {
			return err
		}
		if _, err := w.Next(ctx); err != nil && !errors.Is(err, store.ErrTooOld) {
			return err
		}
	}
}

// Tenant returns a tenant; its Version is 0 if it does not exist.
func (st *Store) Tenant(name string) (Tenant, error) {
	row, version, err := readTenant(st.store, name)
	return row.withVersion(version), err
}

func (r tenantRow) withVersion(version uint64) Tenant {
	return Tenant{r.Name, r.Generation, r.Suspended, r.terms(), version}
}

// readTenant returns a tenant's row and the version of its entry, which is 0 if there is none.
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

// Tenants returns up to limit tenants with names after the given one, ordered by name, and the credentials'
// version.
func (st *Store) Tenants(after string, limit int) (out []Tenant, version uint64, err error) {
	sn, err := st.store.Snapshot()
	if err != nil {
		return nil, 0, err
	}
	defer sn.Release()
	if version, _, err = readHead(sn); err != nil {
		return nil, 0, err
	}
	for name, entry := range sn.Keys(tenantPrefix, tenantPrefix+after+"\x00") {
		if len(out) == limit {
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

// PutTenant creates a tenant if expected is 0, and otherwise changes the tenant of that version. If the
// version differs it returns a StaleError and changes nothing. It returns the current tenant and the
// credentials' version.
func (st *Store) PutTenant(t Tenant, expected uint64) (Tenant, uint64, error) {
	if err := tenant.CheckName(t.Name); err != nil {
		return Tenant{}, 0, err
	}
	if err := t.Terms.Check(); err != nil {
		return Tenant{}, 0, err
	}
	next := tenantRow{t.Name, 0, t.Suspended, t.Terms.row()}
	version, err := st.changeTenant(t.Name, expected, func(s reader, previous tenantRow) (change, error) {
		c := change{action: "tenant set", name: t.Name, puts: map[string]any{}}
		if next.Generation = previous.Generation; expected == 0 {
			gen, _, err := getRow[uint32](s, generationPrefix+t.Name)
			if err != nil {
				return c, err
			}
			if err := st.checkTenantCount(); err != nil {
				return c, err
			}
			next.Generation = gen + 1
			c.action, c.puts[generationPrefix+t.Name] = "tenant create", next.Generation
		} else {
			c.from = previous
		}
		c.to, c.puts[tenantPrefix+t.Name] = next, next
		return c, nil
	})
	if err != nil {
		return Tenant{}, 0, err
	}
	current, err := st.Tenant(t.Name)
	return current, version, err
}

// ErrTooManyTenants is returned for a new tenant that routers would not accept.
var ErrTooManyTenants = fmt.Errorf("%d tenants are the most: delete one first", caller.MaxTenants)

// checkTenantCount returns an error if no further tenant may be created. A concurrent creation makes the
// change conflict, so that the count is still right when the change is applied.
func (st *Store) checkTenantCount() error {
	sn, err := st.store.Snapshot()
	if err != nil {
		return err
	}
	defer sn.Release()
	n := 0
	for range sn.Keys(tenantPrefix, "") {
		n++
	}
	if n >= caller.MaxTenants {
		return ErrTooManyTenants
	}
	return nil
}

// RemoveTenant deletes the tenant of the expected version with its callers and their secrets. It returns a
// StaleError if the version differs.
func (st *Store) RemoveTenant(name string, expected uint64) (uint64, error) {
	return st.changeTenant(name, expected, func(_ reader, previous tenantRow) (change, error) {
		credentials, err := st.Load()
		if err != nil {
			return change{}, err
		}
		if previous.Name == "" {
			return change{}, &StaleError{}
		}
		return tenantDeletion(credentials, previous), nil
	})
}

// maxTenantChangeAttempts limits the attempts at a change that conflicts with concurrent changes.
const maxTenantChangeAttempts = 100

// changeTenant changes one tenant's entry of the expected version. When other entries change concurrently, it
// retries the change on the new state.
func (st *Store) changeTenant(name string, expected uint64, build func(s reader, previous tenantRow) (change, error)) (version uint64, err error) {
	for range maxTenantChangeAttempts {
		version, err = st.commit(0, func(s reader) (change, error) {
			previous, entryVersion, err := readTenant(s, name)
			if err != nil {
				return change{}, err
			}
			if entryVersion != expected {
				return change{}, &StaleError{entryVersion}
			}
			return build(s, previous)
		})
		if !errors.Is(err, ErrConflict) {
			break
		}
	}
	return version, err
}
