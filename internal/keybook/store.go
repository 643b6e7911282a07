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

// Keys of the store.
const (
	headKey          = "callers/head"        // the book's version; every change expects it
	tenantPrefix     = "callers/tenant/"     // rows, in JSON
	generationPrefix = "callers/generation/" // the last generation of a name, kept when its tenant goes
	callerPrefix     = "callers/caller/"
	keyPrefix        = "callers/key/"
	auditPrefix      = "callers/audit/" // records by version
)

// Errors of changes.
var (
	ErrNotFound  = errors.New("there is none of that name")
	ErrExists    = errors.New("is there already")
	ErrConflict  = errors.New("changed by another meanwhile; nothing was changed")
	ErrLifecycle = errors.New("the key's life does not go there")
)

// Store changes a book in a store. One program has the store at a time, so one keeper.
type Store struct {
	store *store.Store
	actor string
	now   func() time.Time
}

// NewStore changes the book in a store in the name of who.
func NewStore(s *store.Store, who string, now func() time.Time) *Store {
	if now == nil {
		now = time.Now
	}
	return &Store{s, who, now}
}

// Record is what the audit keeps of a change: who changed what, from what to what. Public keys and hashes are left out.
type Record struct {
	Version uint64    `json:"version"`
	At      time.Time `json:"at"`
	Who     string    `json:"who"`
	What    string    `json:"what"`
	Name    string    `json:"name"`
	From    any       `json:"from,omitempty"`
	To      any       `json:"to,omitempty"`
}

// Load gives the book as it stands.
func (k *Store) Load() (*Credentials, error) {
	sn, err := k.store.Snapshot()
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
		key, at, err := r.key()
		if err != nil {
			return fmt.Errorf("%s: %w", at, err)
		}
		b.Keys = append(b.Keys, key)
		return nil
	})
}

// reader is a store or a snapshot of one.
type reader interface {
	Get(key string) (store.Item, error)
}

// readHead is the book's version and that of its entry in the store.
func readHead(s reader) (book, entry uint64, err error) {
	item, err := s.Get(headKey)
	if errors.Is(err, store.ErrNotFound) {
		return 0, 0, nil
	}
	if err != nil {
		return 0, 0, err
	}
	book, err = strconv.ParseUint(string(item.Value), 10, 64)
	return book, item.Version, err
}

// scanRows reads the rows below a prefix.
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

// getRow reads one row.
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

// getRequiredRow is get for a row that must be there.
func getRequiredRow[R any](s reader, prefix, kind, name string) (R, error) {
	r, ok, err := getRow[R](s, prefix+name)
	if err == nil && !ok {
		err = fmt.Errorf("%s %.60q: %w", kind, name, ErrNotFound)
	}
	return r, err
}

// change is one atomic change of a book.
type change struct {
	action, name string
	from, to     any
	puts         map[string]any
	deletes      []string
}

// commit makes a change: rows, the book's version and the audit's record in one batch, whole or not at all. expected is the version
// of the book that the change was made on; 0 = whichever there is.
func (k *Store) commit(expected uint64, make func(s reader) (change, error)) (version uint64, err error) {
	book, entry, err := readHead(k.store)
	if err != nil {
		return 0, err
	}
	if expected != 0 && expected != book {
		return 0, fmt.Errorf("the book is of version %d, not %d: %w", book, expected, ErrConflict)
	}
	c, err := make(k.store)
	if err != nil {
		return 0, err
	}
	version = book + 1
	var b store.Batch
	b.Expect(headKey, entry)
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
	text, err := json.Marshal(Record{version, k.now().UTC(), k.actor, c.action, c.name, c.from, c.to})
	if err != nil {
		return 0, fmt.Errorf("audit: %w", err)
	}
	b.Put(fmt.Sprintf("%s%016x", auditPrefix, version), text)
	if _, err := k.store.Apply(&b); errors.Is(err, store.ErrConflict) {
		return 0, ErrConflict
	} else if err != nil {
		return 0, err
	}
	return version, nil
}

// redacted is a key's row as the audit shows it.
func (r keyRow) redacted() keyRow {
	r.JWK, r.Hash = "", ""
	return r
}

// AddKeys adds keys, all or none.
func (k *Store) AddKeys(expected uint64, keys ...caller.Key) (uint64, error) {
	return k.commit(expected, func(s reader) (change, error) {
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

// SetLifecycle changes when a key goes from state to state. Its life may be planned anew, but it never goes back: what was revoked or
// retired stays so, as the reason for it may be that somebody else has the key.
func (k *Store) SetLifecycle(expected uint64, id, what string, set func(l *caller.Lifecycle)) (uint64, error) {
	return k.commit(expected, func(s reader) (change, error) {
		row, err := getRequiredRow[keyRow](s, keyPrefix, "key", id)
		if err != nil {
			return change{}, err
		}
		now := float64(k.now().UnixMicro()) / 1000
		was := caller.Lifecycle{Active: unixMS(row.Active), Retiring: unixMS(row.Retiring), Retired: unixMS(row.Retired), Revoked: unixMS(row.Revoked)}
		is := was
		set(&is)
		if err := checkTransition(was, is, now); err != nil {
			return change{}, fmt.Errorf("key %s: %w", id, err)
		}
		next := row
		next.Active, next.Retiring, next.Retired, next.Revoked = timeFromMS(is.Active), timeFromMS(is.Retiring), timeFromMS(is.Retired), timeFromMS(is.Revoked)
		return change{action: "key " + what, name: id, from: row.redacted(), to: next.redacted(), puts: map[string]any{keyPrefix + id: next}}, nil
	})
}

// checkTransition says whether a life may become another at a time.
func checkTransition(was, is caller.Lifecycle, now float64) error {
	planned := is
	if planned.Revoked = was.Revoked; was.StateAt(now) == caller.Revoked && is != was || was.StateAt(now) == caller.Retired && planned != was {
		return fmt.Errorf("it is %s: %w", was.StateAt(now), ErrLifecycle)
	}
	if is.StateAt(now) < was.StateAt(now) && was.StateAt(now) > caller.Active {
		return fmt.Errorf("it is %s already: %w", was.StateAt(now), ErrLifecycle)
	}
	order := []float64{is.Active, is.Retiring, is.Retired}
	last := 0.0
	for _, t := range order {
		if t > 0 && t < last {
			return fmt.Errorf("its states would not follow one another: %w", ErrLifecycle)
		}
		last = max(last, t)
	}
	return nil
}

// CreateTenant makes a tenant. One of a name that was there before gets the next generation: nothing of the old one reaches it.
func (k *Store) CreateTenant(expected uint64, name string) (uint64, error) {
	return k.commit(expected, func(s reader) (change, error) {
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

// SuspendTenant has a tenant's callers not taken, or taken again.
func (k *Store) SuspendTenant(expected uint64, name string, on bool) (uint64, error) {
	return k.commit(expected, func(s reader) (change, error) {
		row, err := getRequiredRow[tenantRow](s, tenantPrefix, "tenant", name)
		if err != nil {
			return change{}, err
		}
		next := row
		next.Suspended = on
		return change{action: "tenant suspend", name: name, from: row, to: next, puts: map[string]any{tenantPrefix + name: next}}, nil
	})
}

// DeleteTenant ends a tenant, with its callers and their secrets.
func (k *Store) DeleteTenant(expected uint64, name string) (uint64, error) {
	b, err := k.Load()
	if err != nil {
		return 0, err
	}
	if expected == 0 {
		expected = b.Version // what goes with it is what is there now
	}
	return k.commit(expected, func(s reader) (change, error) {
		row, err := getRequiredRow[tenantRow](s, tenantPrefix, "tenant", name)
		if err != nil {
			return change{}, err
		}
		return tenantDeletion(b, row), nil
	})
}

// tenantDeletion is the end of a tenant, with all that is its.
func tenantDeletion(b *Credentials, row tenantRow) change {
	c := change{action: "tenant delete", name: row.Name, from: row, deletes: []string{tenantPrefix + row.Name}}
	for _, p := range b.Callers {
		if p.Tenant == row.Name {
			c.deletes = append(append(c.deletes, callerPrefix+p.Name), secretKeysOf(b, p.Name)...)
		}
	}
	return c
}

// secretKeysOf are the store's names of a caller's secrets.
func secretKeysOf(b *Credentials, name string) (out []string) {
	for _, key := range b.Keys {
		if key.Caller == name {
			out = append(out, keyPrefix+key.ID)
		}
	}
	return out
}

// SetCaller makes a caller or changes one. What it says must go with the rest of the book.
func (k *Store) SetCaller(expected uint64, p caller.Principal) (uint64, error) {
	b, err := k.Load()
	if err != nil {
		return 0, err
	}
	if expected == 0 {
		expected = b.Version
	}
	was := -1
	for i := range b.Callers {
		if b.Callers[i].Name == p.Name {
			was = i
		}
	}
	c := change{action: "caller set", name: p.Name, to: callerRowOf(p), puts: map[string]any{callerPrefix + p.Name: callerRowOf(p)}}
	if was >= 0 {
		c.from = callerRowOf(b.Callers[was])
		b.Callers[was] = p
	} else {
		b.Callers = append(b.Callers, p)
	}
	if err := b.Check(); err != nil {
		return 0, err
	}
	return k.commit(expected, func(reader) (change, error) { return c, nil })
}

// DeleteCaller ends a caller, with its secrets.
func (k *Store) DeleteCaller(expected uint64, name string) (uint64, error) {
	b, err := k.Load()
	if err != nil {
		return 0, err
	}
	if expected == 0 {
		expected = b.Version
	}
	return k.commit(expected, func(s reader) (change, error) {
		row, err := getRequiredRow[callerRow](s, callerPrefix, "caller", name)
		if err != nil {
			return change{}, err
		}
		return change{action: "caller delete", name: name, from: row, deletes: append(secretKeysOf(b, name), callerPrefix+name)}, nil
	})
}

// Check says whether a book goes with itself; whether its roles are there, who compiles the rights file says.
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

// Import takes a whole book over into an empty one.
func (k *Store) Import(b *Credentials) (uint64, error) {
	if err := b.Check(); err != nil {
		return 0, err
	}
	return k.commit(0, func(s reader) (change, error) {
		if n, _, err := readHead(s); err != nil {
			return change{}, err
		} else if n > 0 {
			return change{}, fmt.Errorf("a book is there, of version %d: %w; import goes into an empty one", n, ErrExists)
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

// Audit writes the records above a version, one line of JSON each.
func (k *Store) Audit(w io.Writer, above uint64) error {
	sn, err := k.store.Snapshot()
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

// Export writes the book to a file that routers follow: beside it first, synced, and then in its place, so that they find the old
// one or the new one whole.
func (k *Store) Export(path string) (version uint64, err error) {
	b, err := k.Load()
	if err != nil {
		return 0, err
	}
	b.Issued = k.now().Truncate(time.Millisecond)
	text, err := b.Encode()
	if err != nil {
		return 0, err
	}
	return b.Version, replaceFile(path, text)
}

// replaceFile puts a file in another's place. What a crash leaves beside it is overwritten the next time.
func replaceFile(path string, text []byte) error {
	next := path + ".next"
	f, err := os.OpenFile(next, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
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
		err = os.Rename(next, path)
	}
	if err != nil {
		os.Remove(next) //nolint:errcheck // half a file is none
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
