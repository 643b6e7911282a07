package keybook

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"mossproxy.example/mossproxy/internal/pure/caller"
	"mossproxy.example/mossproxy/internal/pure/tenant"
	"mossproxy.example/mossproxy/internal/store"
)

// Keys and key prefixes in the store.
const (
	headKey          = "callers/head"        // the credentials' version; every change is conditional on it
	tenantPrefix     = "callers/tenant/"     // rows in JSON, as below the next prefixes
	generationPrefix = "callers/generation/" // the last generation of a name, kept after its tenant is deleted
	callerPrefix     = "callers/caller/"
	keyPrefix        = "callers/key/"
	auditPrefix      = "callers/audit/" // records by version, in hexadecimal
)

// Errors that changes wrap. ErrConflict means that the credentials changed concurrently.
var (
	ErrNotFound  = errors.New("there is none of that name")
	ErrExists    = errors.New("is there already")
	ErrConflict  = errors.New("changed by another meanwhile; nothing was changed")
	ErrLifecycle = errors.New("the key's lifecycle does not allow the change")
)

// Store reads and changes the credentials in an underlying store. Only one process opens that at a time.
type Store struct {
	store   *store.Store
	actor   string
	now     func() time.Time
	inForce func() uint64 // version of the credentials in force elsewhere; nil = none
}

// NewStore returns a Store that records actor as the author of its changes. If now is nil, time.Now is used.
func NewStore(s *store.Store, actor string, now func() time.Time) *Store {
	if now == nil {
		now = time.Now
	}
	return &Store{store: s, actor: actor, now: now}
}

// ContinueAbove gives each change a higher version than the credentials in force have: a store that was restored or
// imported may be behind them, and a lower version is rejected. It must be called before the first change.
func (st *Store) ContinueAbove(inForce func() uint64) { st.inForce = inForce }

// nextVersion returns the version of the change that follows the given one.
func (st *Store) nextVersion(current uint64) uint64 {
	if st.inForce != nil {
		current = max(current, st.inForce())
	}
	return current + 1
}

// Record is the audit record of a change. It omits public keys and hashes.
type Record struct {
	Version uint64    `json:"version"`
	At      time.Time `json:"at"`
	Who     string    `json:"who"`
	What    string    `json:"what"`
	Name    string    `json:"name"`
	From    any       `json:"from,omitempty"`
	To      any       `json:"to,omitempty"`
}

// Load returns a consistent snapshot of the credentials.
func (st *Store) Load() (*Credentials, error) {
	sn, err := st.store.Snapshot()
	if err != nil {
		return nil, err
	}
	defer sn.Release()
	b := &Credentials{}
	if b.Version, _, err = readHead(sn); err != nil {
		return nil, err
	}
	if err := scanRows(sn, tenantPrefix, func(r tenantRow) error {
		b.addTenant(r)
		return nil
	}); err != nil {
		return nil, err
	}
	if err := scanRows(sn, callerPrefix, func(r callerRow) error {
		p, err := r.principal()
		b.Callers = append(b.Callers, p)
		return err
	}); err != nil {
		return nil, err
	}
	return b, scanRows(sn, keyPrefix, func(r keyRow) error {
		key, field, err := r.key()
		if err != nil {
			return fmt.Errorf("%s: %w", field, err)
		}
		b.Keys = append(b.Keys, key)
		return nil
	})
}

// reader is implemented by a store and by its snapshots.
type reader interface {
	Get(key string) (store.Item, error)
}

// readHead returns the version of the credentials and the version of its entry in the store; 0 and 0 if there
// is none.
func readHead(s reader) (version, entryVersion uint64, err error) {
	item, err := s.Get(headKey)
	if errors.Is(err, store.ErrNotFound) {
		return 0, 0, nil
	}
	if err != nil {
		return 0, 0, err
	}
	version, err = strconv.ParseUint(string(item.Value), 10, 64)
	return version, item.Version, err
}

// scanRows calls do for each row with the given prefix, until an error.
func scanRows[R any](sn *store.Snapshot, prefix string, do func(R) error) error {
	for item, err := range sn.Scan(prefix, "") {
		if err != nil {
			return err
		}
		var r R
		if err := json.Unmarshal(item.Value, &r); err != nil {
			return fmt.Errorf("%s: %w", item.Key, err)
		}
		if err := do(r); err != nil {
			return fmt.Errorf("%s: %w", item.Key, err)
		}
	}
	return nil
}

// getRow reads one row and reports whether it exists.
func getRow[R any](s reader, key string) (r R, ok bool, err error) {
	item, err := s.Get(key)
	if errors.Is(err, store.ErrNotFound) {
		return r, false, nil
	}
	if err != nil {
		return r, false, err
	}
	return r, true, json.Unmarshal(item.Value, &r)
}

// getRequiredRow reads one row and returns ErrNotFound if it does not exist.
func getRequiredRow[R any](s reader, prefix, kind, name string) (R, error) {
	r, ok, err := getRow[R](s, prefix+name)
	if err == nil && !ok {
		err = fmt.Errorf("%s %.60q: %w", kind, name, ErrNotFound)
	}
	return r, err
}

// change is one atomic change of the credentials, with the fields of its audit record.
type change struct {
	action, name string
	from, to     any
	puts         map[string]any
	deletes      []string
}

// commit applies a change atomically: rows, the new version and the audit record go into one batch. expected
// is the version of the credentials that the change is based on; 0 = any. It returns the new version.
func (st *Store) commit(expected uint64, build func(s reader) (change, error)) (version uint64, err error) {
	current, entryVersion, err := readHead(st.store)
	if err != nil {
		return 0, err
	}
	if expected != 0 && expected != current {
		return 0, fmt.Errorf("the credentials have version %d, not %d: %w", current, expected, ErrConflict)
	}
	c, err := build(st.store)
	if err != nil {
		return 0, err
	}
	version = st.nextVersion(current)
	var b store.Batch
	b.Expect(headKey, entryVersion)
	b.Put(headKey, strconv.AppendUint(nil, version, 10))
	for name, row := range c.puts {
		text, err := json.Marshal(row)
		if err != nil {
			return 0, fmt.Errorf("%s: %w", name, err)
		}
		b.Put(name, text)
	}
	for _, name := range c.deletes {
		b.Delete(name)
	}
	text, err := json.Marshal(Record{version, st.now().UTC(), st.actor, c.action, c.name, c.from, c.to})
	if err != nil {
		return 0, fmt.Errorf("audit: %w", err)
	}
	b.Put(fmt.Sprintf("%s%016x", auditPrefix, version), text)
	if _, err := st.store.Apply(&b); errors.Is(err, store.ErrConflict) {
		return 0, ErrConflict
	} else if err != nil {
		return 0, err
	}
	return version, nil
}

// redacted returns the row without the public key and the hash, for the audit.
func (r keyRow) redacted() keyRow {
	r.JWK, r.Hash = "", ""
	return r
}

// AddKeys adds all keys or none. It returns ErrExists if an id is in use.
func (st *Store) AddKeys(expected uint64, keys ...caller.Key) (uint64, error) {
	return st.commit(expected, func(s reader) (change, error) {
		c := change{action: "key create", puts: map[string]any{}}
		var names []string
		var rows []keyRow
		for i := range keys {
			name := keyPrefix + keys[i].ID
			if _, there, err := getRow[keyRow](s, name); err != nil {
				return c, err
			} else if there || c.puts[name] != nil {
				return c, fmt.Errorf("key %s: %w; an id is never used for another key", keys[i].ID, ErrExists)
			}
			row, err := keyRowOf(&keys[i])
			if err != nil {
				return c, err
			}
			c.puts[name] = row
			names, rows = append(names, row.ID), append(rows, row.redacted())
		}
		c.name, c.to = strings.Join(names, " "), rows
		return c, nil
	})
}

// SetLifecycle changes the times of a key's state transitions. Planned times may change, but a key never
// returns to an earlier state: a revoked or retired key stays so, as the reason may be that it was disclosed.
func (st *Store) SetLifecycle(expected uint64, id, what string, set func(l *caller.Lifecycle)) (uint64, error) {
	return st.commit(expected, func(s reader) (change, error) {
		row, err := getRequiredRow[keyRow](s, keyPrefix, "key", id)
		if err != nil {
			return change{}, err
		}
		now := float64(st.now().UnixMicro()) / 1000
		previous := caller.Lifecycle{Active: unixMS(row.Active), Retiring: unixMS(row.Retiring), Retired: unixMS(row.Retired), Revoked: unixMS(row.Revoked)}
		updated := previous
		set(&updated)
		if err := checkTransition(previous, updated, now); err != nil {
			return change{}, fmt.Errorf("key %s: %w", id, err)
		}
		next := row
		next.Active, next.Retiring, next.Retired, next.Revoked = timeFromMS(updated.Active), timeFromMS(updated.Retiring), timeFromMS(updated.Retired), timeFromMS(updated.Revoked)
		return change{action: "key " + what, name: id, from: row.redacted(), to: next.redacted(), puts: map[string]any{keyPrefix + id: next}}, nil
	})
}

// checkTransition returns an error if the updated lifecycle may not replace the previous one at time now.
func checkTransition(previous, updated caller.Lifecycle, now float64) error {
	planned := updated
	if planned.Revoked = previous.Revoked; previous.StateAt(now) == caller.Revoked && updated != previous || previous.StateAt(now) == caller.Retired && planned != previous {
		return fmt.Errorf("it is %s: %w", previous.StateAt(now), ErrLifecycle)
	}
	if updated.StateAt(now) < previous.StateAt(now) && previous.StateAt(now) > caller.Active {
		return fmt.Errorf("it is %s already: %w", previous.StateAt(now), ErrLifecycle)
	}
	order := []float64{updated.Active, updated.Retiring, updated.Retired}
	last := 0.0
	for _, t := range order {
		if t > 0 && t < last {
			return fmt.Errorf("its states would be out of order: %w", ErrLifecycle)
		}
		last = max(last, t)
	}
	return nil
}

// CreateTenant creates a tenant. If the name was used before, the tenant gets the next generation, so that
// nothing of the deleted tenant applies to it.
func (st *Store) CreateTenant(expected uint64, name string) (uint64, error) {
	return st.commit(expected, func(s reader) (change, error) {
		if _, there, err := getRow[tenantRow](s, tenantPrefix+name); err != nil {
			return change{}, err
		} else if there {
			return change{}, fmt.Errorf("tenant %.60q: %w", name, ErrExists)
		}
		gen, _, err := getRow[uint32](s, generationPrefix+name)
		if err != nil {
			return change{}, err
		}
		row := tenantRow{Name: name, Generation: gen + 1}
		if err := tenant.CheckName(name); err != nil {
			return change{}, err
		}
		return change{action: "tenant create", name: name, to: row, puts: map[string]any{tenantPrefix + name: row, generationPrefix + name: row.Generation}}, nil
	})
}

// SuspendTenant sets whether the tenant's callers are rejected.
func (st *Store) SuspendTenant(expected uint64, name string, on bool) (uint64, error) {
	return st.commit(expected, func(s reader) (change, error) {
		row, err := getRequiredRow[tenantRow](s, tenantPrefix, "tenant", name)
		if err != nil {
			return change{}, err
		}
		next := row
		next.Suspended = on
		return change{action: "tenant suspend", name: name, from: row, to: next, puts: map[string]any{tenantPrefix + name: next}}, nil
	})
}

// DeleteTenant deletes a tenant with its callers and their secrets.
func (st *Store) DeleteTenant(expected uint64, name string) (uint64, error) {
	b, err := st.Load()
	if err != nil {
		return 0, err
	}
	if expected == 0 {
		expected = b.Version // the callers and secrets to delete were read at this version
	}
	return st.commit(expected, func(s reader) (change, error) {
		row, err := getRequiredRow[tenantRow](s, tenantPrefix, "tenant", name)
		if err != nil {
			return change{}, err
		}
		return tenantDeletion(b, row), nil
	})
}

// tenantDeletion returns the change that deletes a tenant with its callers and their secrets.
func tenantDeletion(b *Credentials, row tenantRow) change {
	c := change{action: "tenant delete", name: row.Name, from: row, deletes: []string{tenantPrefix + row.Name}}
	for _, p := range b.Callers {
		if p.Tenant == row.Name {
			c.deletes = append(append(c.deletes, callerPrefix+p.Name), secretKeysOf(b, p.Name)...)
		}
	}
	return c
}

// secretKeysOf returns the store keys of a caller's secrets.
func secretKeysOf(b *Credentials, name string) (out []string) {
	for _, key := range b.Keys {
		if key.Caller == name {
			out = append(out, keyPrefix+key.ID)
		}
	}
	return out
}

// SetCaller creates or changes a caller. The result must be consistent with the other credentials.
func (st *Store) SetCaller(expected uint64, p caller.Principal) (uint64, error) {
	b, err := st.Load()
	if err != nil {
		return 0, err
	}
	if expected == 0 {
		expected = b.Version
	}
	index := -1
	for i := range b.Callers {
		if b.Callers[i].Name == p.Name {
			index = i
		}
	}
	c := change{action: "caller set", name: p.Name, to: callerRowOf(p), puts: map[string]any{callerPrefix + p.Name: callerRowOf(p)}}
	if index >= 0 {
		c.from = callerRowOf(b.Callers[index])
		b.Callers[index] = p
	} else {
		b.Callers = append(b.Callers, p)
	}
	if err := b.Check(); err != nil {
		return 0, err
	}
	return st.commit(expected, func(reader) (change, error) { return c, nil })
}

// DeleteCaller deletes a caller with its secrets.
func (st *Store) DeleteCaller(expected uint64, name string) (uint64, error) {
	b, err := st.Load()
	if err != nil {
		return 0, err
	}
	if expected == 0 {
		expected = b.Version
	}
	return st.commit(expected, func(s reader) (change, error) {
		row, err := getRequiredRow[callerRow](s, callerPrefix, "caller", name)
		if err != nil {
			return change{}, err
		}
		return change{action: "caller delete", name: name, from: row, deletes: append(secretKeysOf(b, name), callerPrefix+name)}, nil
	})
}

// Check returns an error if the credentials are inconsistent. It accepts any role name; roles are checked
// against the rights file when that is compiled.
func (b *Credentials) Check() error {
	roles := map[string]*caller.Rights{}
	for _, p := range b.Callers {
		for _, r := range p.Roles {
			roles[r] = caller.Compile(nil)
		}
	}
	_, faults := caller.NewCredentialStore(caller.Contents{Keys: b.Keys, Tenants: b.Tenants, Principals: b.Callers, Roles: roles})
	if faults == nil {
		return nil
	}
	errs := make([]error, len(faults))
	for i, f := range faults {
		errs[i] = f
	}
	return errors.Join(errs...)
}

// Import writes credentials into an empty store. It returns ErrExists if the store is not empty.
func (st *Store) Import(b *Credentials) (uint64, error) {
	if err := b.Check(); err != nil {
		return 0, err
	}
	return st.commit(0, func(s reader) (change, error) {
		if n, _, err := readHead(s); err != nil {
			return change{}, err
		} else if n > 0 {
			return change{}, fmt.Errorf("credentials of version %d: %w; import requires an empty store", n, ErrExists)
		}
		c := change{action: "import", name: fmt.Sprintf("version %d", b.Version), puts: map[string]any{}}
		for _, t := range b.Tenants {
			c.puts[tenantPrefix+t.Name], c.puts[generationPrefix+t.Name] = b.tenantRow(t), t.Generation
		}
		for _, p := range b.Callers {
			c.puts[callerPrefix+p.Name] = callerRowOf(p)
		}
		for i := range b.Keys {
			row, err := keyRowOf(&b.Keys[i])
			if err != nil {
				return c, err
			}
			c.puts[keyPrefix+row.ID] = row
		}
		return c, nil
	})
}

// Audit writes the records of versions greater than above, one line of JSON each.
func (st *Store) Audit(w io.Writer, above uint64) error {
	sn, err := st.store.Snapshot()
	if err != nil {
		return err
	}
	defer sn.Release()
	for item, err := range sn.Scan(auditPrefix, fmt.Sprintf("%s%016x", auditPrefix, above+1)) {
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintf(w, "%s\n", item.Value); err != nil {
			return err
		}
	}
	return nil
}

// Export writes the credentials to the file that routers watch and returns their version and the content of the file.
// It replaces the file atomically, so that routers see either the old or the new content.
func (st *Store) Export(path string) (version uint64, text []byte, err error) {
	b, err := st.Load()
	if err != nil {
		return 0, nil, err
	}
	b.Issued = st.now().Truncate(time.Millisecond)
	if text, err = b.Encode(); err != nil {
		return 0, nil, err
	}
	return b.Version, text, replaceFile(path, text)
}

// replaceFile atomically replaces a file by way of a synced temporary file. One that a crash leaves behind is
// overwritten by the next call.
func replaceFile(path string, text []byte) error {
	tempPath := path + ".next"
	f, err := os.OpenFile(tempPath, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return fmt.Errorf("export: %w", err)
	}
	if _, err = f.Write(text); err == nil {
		err = f.Sync()
	}
	if e := f.Close(); err == nil {
		err = e
	}
	if err == nil {
		err = os.Rename(tempPath, path)
	}
	if err != nil {
		os.Remove(tempPath) //nolint:errcheck // the write error is returned
		return fmt.Errorf("export: %w", err)
	}
	d, err := os.Open(filepath.Dir(path))
	if err != nil {
		return fmt.Errorf("export: %w", err)
	}
	defer d.Close()
	if err := d.Sync(); err != nil {
		return fmt.Errorf("export: %w", err)
	}
	return nil
}
