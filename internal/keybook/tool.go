package keybook

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"mossproxy.example/mossproxy/internal/identity"
	"mossproxy.example/mossproxy/internal/pure/caller"
	"mossproxy.example/mossproxy/internal/store"
	"mossproxy.example/mossproxy/internal/store/fsys"
)

// Tool implements the commands that manage credentials.
type Tool struct {
	State     string // directory of the store
	Export    string // credentials file that routers watch, written after each change; "" = none
	Pepper    string // path of the pepper file; required for secrets
	Who       string // recorded in the audit
	IfVersion uint64 // version of the credentials that changes are based on; 0 = any
	JSON      bool
	Out       io.Writer
}

// WithStore opens the store, calls do, and exports the credentials if they changed or the exported file is
// outdated. If the export fails, the change remains and the error says so; the next export includes it.
func (t Tool) WithStore(do func(k *Store) error) error {
	if t.State == "" {
		return errors.New("--state: missing; it names the folder of the store that has the book")
	}
	if err := fsys.Dir(t.State).MkdirAll(); err != nil {
		return fmt.Errorf("--state: %w", err)
	}
	s, err := store.Open(fsys.Dir(t.State), store.Options{Owner: "cottonyoke key"})
	if err != nil {
		return err
	}
	defer s.Close()
	k := NewStore(s, t.Who, nil)
	k.ContinueAbove(func() uint64 { return exportedVersion(t.Export) })
	before := s.Version()
	if err := do(k); err != nil {
		return err
	}
	if t.Export == "" || s.Version() == before && exportIsCurrent(t.Export, k) {
		return nil
	}
	version, _, err := k.Export(t.Export)
	if err != nil {
		return fmt.Errorf("the change is committed but not exported to routers; run cottonyoke key publish to export it: %w", err)
	}
	fmt.Fprintf(t.Out, "%s: version %d; routers that follow it have it within half a second\n", t.Export, version)
	return nil
}

// exportIsCurrent reports whether a credentials file has the store's version. A crash between a change and
// its export leaves an older file.
func exportIsCurrent(path string, k *Store) bool {
	version, _, err := readHead(k.store)
	return err == nil && version > 0 && exportedVersion(path) == version
}

// exportedVersion returns the version of a credentials file; 0 if there is none, or it can't be read.
func exportedVersion(path string) uint64 {
	text, err := os.ReadFile(path)
	if err != nil {
		return 0
	}
	b, err := Parse(path, text)
	if err != nil {
		return 0
	}
	return b.Version
}

// CreateSecret creates a secret for a caller and prints it. Only its hash is stored.
func (t Tool) CreateSecret(id, callerName string, lifecycle caller.Lifecycle) error {
	if t.Pepper == "" {
		return errors.New("--pepper: needed for secrets")
	}
	p, err := identity.ReadPepper(t.Pepper)
	if err != nil {
		return err
	}
	secret := identity.NewSecret()
	key := caller.Key{ID: id, Algorithm: caller.Secret, Caller: callerName, Digest: p.Hash(id, []byte(secret)), Lifecycle: lifecycle}
	return t.WithStore(func(k *Store) error {
		if err := t.addKeys(k, key); err != nil {
			return err
		}
		fmt.Fprintf(t.Out, "id %s\nsecret %s\nThe secret is kept nowhere: hand it on now.\n", id, secret)
		return nil
	})
}

// addKeys adds keys after checking that they are consistent with the other credentials.
func (t Tool) addKeys(k *Store, keys ...caller.Key) error {
	b, err := k.Load()
	if err != nil {
		return err
	}
	b.Keys = append(b.Keys, keys...)
	if err := b.Check(); err != nil {
		return err
	}
	_, err = k.AddKeys(t.IfVersion, keys...)
	return err
}

// ImportKeys adds all public keys of a JWKS file, or none.
func (t Tool) ImportKeys(path, issuer string, lifecycle caller.Lifecycle) error {
	text, err := readBounded(path, identity.MaxJWKSBytes)
	if err != nil {
		return err
	}
	keys, err := identity.ReadJWKS(text, issuer)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	for i := range keys {
		keys[i].Lifecycle = lifecycle
	}
	return t.WithStore(func(k *Store) error { return t.addKeys(k, keys...) })
}

// readBounded reads up to limit+1 bytes of a file; the extra byte lets the parser reject oversized files.
func readBounded(path string, limit int64) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, limit+1))
}

// SetState schedules a key's transition to announced, active or revoked. The state
// announced clears the planned times.
func (t Tool) SetState(id, state string, at time.Time) error {
	atMS := float64(at.UnixMicro()) / 1000
	return t.WithStore(func(k *Store) error {
		_, err := k.SetLifecycle(t.IfVersion, id, state, func(l *caller.Lifecycle) {
			switch state {
			case "announced":
				l.Active, l.Retiring, l.Retired = 0, 0, 0
			case "active":
				l.Active = atMS
			case "revoked":
				l.Revoked = atMS
			}
		})
		return err
	})
}

// Retire ends signing with a key at the given time and its validity after the overlap.
func (t Tool) Retire(id string, at time.Time, overlap time.Duration) error {
	if overlap < 0 {
		return fmt.Errorf("--overlap: %v: 0 or more is right", overlap)
	}
	return t.WithStore(func(k *Store) error {
		_, err := k.SetLifecycle(t.IfVersion, id, "retire", func(l *caller.Lifecycle) {
			l.Retiring = float64(at.UnixMicro()) / 1000
			l.Retired = float64(at.Add(overlap).UnixMicro()) / 1000
		})
		return err
	})
}

// ImportBook imports a credentials file into an empty store.
func (t Tool) ImportBook(path string) error {
	text, err := readBounded(path, MaxFileBytes)
	if err != nil {
		return err
	}
	b, err := Parse(path, text)
	if err != nil {
		return err
	}
	return t.WithStore(func(k *Store) error {
		_, err := k.Import(b)
		return err
	})
}

// ExportBook writes the credentials file with the current time as its issue time, which confirms its content
// to routers.
func (t Tool) ExportBook() error {
	if t.Export == "" {
		return errors.New("--export: names no file")
	}
	path := t.Export
	t.Export = ""
	return t.WithStore(func(k *Store) error {
		version, _, err := k.Export(path)
		if err == nil {
			fmt.Fprintf(t.Out, "%s: version %d\n", path, version)
		}
		return err
	})
}

// ListKeys prints the keys with their states, as a table or as JSON.
func (t Tool) ListKeys() error {
	return t.WithStore(func(k *Store) error {
		b, err := k.Load()
		if err != nil {
			return err
		}
		now := float64(time.Now().UnixMicro()) / 1000
		if t.JSON {
			return t.writeJSON(b.Version, len(b.Keys), func(i int) any {
				row, err := keyRowOf(&b.Keys[i])
				if err != nil {
					return err.Error()
				}
				return struct {
					keyRow
					State string `json:"state"`
				}{row.redacted(), b.Keys[i].Lifecycle.StateAt(now).String()}
			})
		}
		w := tabwriter.NewWriter(t.Out, 0, 8, 2, ' ', 0)
		fmt.Fprintf(w, "ID\tALGORITHM\tOF\tSTATE\tNEXT\n")
		for i := range b.Keys {
			x := &b.Keys[i]
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", x.ID, x.Algorithm, x.Issuer+x.Caller, x.Lifecycle.StateAt(now), formatNextChange(x.Lifecycle, now))
		}
		return w.Flush()
	})
}

// formatNextChange returns the next state and its time as text; "-" = none.
func formatNextChange(l caller.Lifecycle, now float64) string {
	next := l.NextChange(now)
	if math.IsInf(next, 1) {
		return "-"
	}
	return l.StateAt(next).String() + " at " + timeFromMS(next).Format(time.RFC3339)
}

// writeJSON writes a JSON object with the credentials' version and n rows.
func (t Tool) writeJSON(version uint64, n int, row func(i int) any) error {
	rows := make([]any, n)
	for i := range rows {
		rows[i] = row(i)
	}
	out := json.NewEncoder(t.Out)
	out.SetIndent("", "  ")
	return out.Encode(struct {
		Version uint64 `json:"version"`
		Rows    []any  `json:"rows"`
	}{version, rows})
}

// ListCallers prints callers, and in the table also tenants.
func (t Tool) ListCallers() error {
	return t.WithStore(func(k *Store) error {
		b, err := k.Load()
		if err != nil {
			return err
		}
		if t.JSON {
			return t.writeJSON(b.Version, len(b.Callers), func(i int) any { return callerRowOf(b.Callers[i]) })
		}
		w := tabwriter.NewWriter(t.Out, 0, 8, 2, ' ', 0)
		fmt.Fprintf(w, "CALLER\tTENANT\tROLES\tSTANDS FOR IT\n")
		for _, p := range b.Callers {
			row := callerRowOf(p)
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", p.Name, p.Tenant, strings.Join(p.Roles, ","), strings.Join(append(row.Subjects, p.Certificates...), "; "))
		}
		for _, x := range b.Tenants {
			fmt.Fprintf(w, "(tenant)\t%s\tgeneration %d\tsuspended: %v\n", x.Name, x.Generation, x.Suspended)
		}
		return w.Flush()
	})
}

// SetCaller creates or changes a caller.
func (t Tool) SetCaller(name, tenant string, roles, subjects, certificates []string) error {
	p, err := callerRow{name, tenant, roles, subjects, certificates}.principal()
	if err != nil {
		return fmt.Errorf("--subject: %w", err)
	}
	return t.WithStore(func(k *Store) error {
		_, err := k.SetCaller(t.IfVersion, p)
		return err
	})
}

// ShowAudit prints the audit records of versions greater than above.
func (t Tool) ShowAudit(above uint64) error {
	return t.WithStore(func(k *Store) error { return k.Audit(t.Out, above) })
}
