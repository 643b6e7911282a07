// Package keybook manages credentials: tenants, callers and keys. Commands change them in a store, and
// routers read them from a file that they watch. The store is authoritative; it versions every change and
// writes an audit record for it. The file is a complete export of the store, or is written by an operator
// where there is no store.
package keybook

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"math"
	"regexp"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"mossproxy.example/mossproxy/internal/identity"
	"mossproxy.example/mossproxy/internal/pure/caller"
	"mossproxy.example/mossproxy/internal/tomlfile"
)

// MaxFileBytes is the maximum size of a credentials file; 10,000 keys and 10,000 callers take half of it.
const MaxFileBytes = 16 << 20

// Credentials is the content of a credentials file.
type Credentials struct {
	Version uint64
	Issued  time.Time // when the content was last confirmed; zero = not stated
	Keys    []caller.Key
	Tenants []caller.Tenant
	Terms   map[string]Terms // by tenant name; only tenants with terms have an entry
	Callers []caller.Principal
}

// document is the TOML structure of the file. docs/operate/callers.md documents each key.
type document struct {
	Version uint64      `toml:"version"`
	Issued  time.Time   `toml:"issued,omitzero"`
	Tenants []tenantRow `toml:"tenant,omitempty"`
	Callers []callerRow `toml:"caller,omitempty"`
	Keys    []keyRow    `toml:"key,omitempty"`
	End     *struct{}   `toml:"end"`
}

type tenantRow struct {
	Name       string `toml:"name" json:"name"`
	Generation uint32 `toml:"generation,omitempty" json:"generation"`
	Suspended  bool   `toml:"suspended,omitempty" json:"suspended,omitempty"`
	limitRow
}

// limitRow holds a tenant's limits over the whole service; 0 = no limit. A burst or weight of 0 counts as 1.
type limitRow struct {
	Floor  float64 `toml:"floor_per_s,omitempty" json:"floor_per_s,omitempty"`
	Weight float64 `toml:"weight,omitempty" json:"weight,omitempty"`
	Burst  float64 `toml:"burst_s,omitempty" json:"burst_s,omitempty"`
	Most   float64 `toml:"most_per_s,omitempty" json:"most_per_s,omitempty"`
	Open   int     `toml:"open,omitempty" json:"open,omitempty"`
	Bytes  int64   `toml:"bytes,omitempty" json:"bytes,omitempty"`
	Conns  int     `toml:"connections,omitempty" json:"connections,omitempty"`

	Pools   []string   `toml:"pools,omitempty" json:"pools,omitempty"`
	Classes []classRow `toml:"limit,omitempty" json:"limit,omitempty"`
}

// classRow holds a tenant's limits on one class.
type classRow struct {
	Class string  `toml:"class" json:"class"`
	Most  float64 `toml:"most_per_s,omitempty" json:"most_per_s,omitempty"`
	Open  int     `toml:"open,omitempty" json:"open,omitempty"`
}

type callerRow struct {
	Name         string   `toml:"name" json:"name"`
	Tenant       string   `toml:"tenant" json:"tenant"`
	Roles        []string `toml:"roles" json:"roles"`
	Subjects     []string `toml:"subjects,omitempty" json:"subjects,omitempty"` // each "ISSUER SUBJECT"
	Certificates []string `toml:"certificates,omitempty" json:"certificates,omitempty"`
}

type keyRow struct {
	ID        string    `toml:"id" json:"id"`
	Algorithm string    `toml:"algorithm,omitempty" json:"algorithm"`
	Issuer    string    `toml:"issuer,omitempty" json:"issuer,omitempty"`
	JWK       string    `toml:"jwk,omitempty" json:"jwk,omitempty"`
	Caller    string    `toml:"caller,omitempty" json:"caller,omitempty"`
	Hash      string    `toml:"secret_hash,omitempty" json:"secret_hash,omitempty"`
	Active    time.Time `toml:"active,omitzero" json:"active,omitzero"`
	Retiring  time.Time `toml:"retiring,omitzero" json:"retiring,omitzero"`
	Retired   time.Time `toml:"retired,omitzero" json:"retired,omitzero"`
	Revoked   time.Time `toml:"revoked,omitzero" json:"revoked,omitzero"`
}

// endMarker matches the last line of a complete file. It detects truncated files, even those that still
// parse.
var endMarker = regexp.MustCompile(`(?m)^\s*\[end\]\s*(#.*)?\s*\z`)

// Parse decodes a complete credentials file. It checks each entry by itself; caller.NewCredentialStore checks
// their consistency. The error lists all faults with their lines.
func Parse(path string, text []byte) (*Credentials, error) {
	if len(text) > MaxFileBytes {
		return nil, tomlfile.Faults{{File: path, What: fmt.Sprintf("over %d bytes", MaxFileBytes)}}
	}
	var doc document
	d, faults := tomlfile.Decode(path, text, &doc)
	if faults != nil {
		return nil, faults
	}
	if !endMarker.Match(text) {
		return nil, tomlfile.Faults{d.Fault("", "the last line is missing, so the file may be cut short; if it is whole, add as its last line: [end]")}
	}
	b := &Credentials{Version: doc.Version, Issued: doc.Issued}
	for i, t := range doc.Tenants {
		terms := t.terms()
		if err := terms.Check(); err != nil {
			faults = append(faults, d.Fault(fmt.Sprintf("tenant[%d]", i), "%v", err))
		}
		b.addTenant(t)
	}
	for i, c := range doc.Callers {
		p, err := c.principal()
		if err != nil {
			faults = append(faults, d.Fault(fmt.Sprintf("caller[%d].subjects", i), "%v", err))
		}
		b.Callers = append(b.Callers, p)
	}
	for i, k := range doc.Keys {
		key, field, err := k.key()
		if err != nil {
			faults = append(faults, d.Fault(fmt.Sprintf("key[%d].%s", i, field), "%v", err))
		}
		b.Keys = append(b.Keys, key)
	}
	return b, faults.Err()
}

// LocateFaults converts validation errors of a file's contents to faults with the file's line numbers.
// It returns nil if there are none.
func LocateFaults(path string, text []byte, errs []caller.ValidationError) error {
	if len(errs) == 0 {
		return nil
	}
	var doc document
	d, faults := tomlfile.Decode(path, text, &doc)
	if faults != nil {
		return faults
	}
	var out tomlfile.Faults
	for _, f := range errs {
		out = append(out, d.Fault(f.Path, "%s", f.Message))
	}
	return out
}

// Encode returns the credentials in the file format, including the end marker.
func (b *Credentials) Encode() ([]byte, error) {
	doc := document{Version: b.Version, Issued: b.Issued.UTC()}
	for _, t := range b.Tenants {
		doc.Tenants = append(doc.Tenants, b.tenantRow(t))
	}
	for _, c := range b.Callers {
		doc.Callers = append(doc.Callers, callerRowOf(c))
	}
	for i := range b.Keys {
		row, err := keyRowOf(&b.Keys[i])
		if err != nil {
			return nil, err
		}
		doc.Keys = append(doc.Keys, row)
	}
	var out bytes.Buffer
	out.WriteString("# The book of callers. Written whole by cottonyoke; routers take it whole or not at all.\n")
	if err := toml.NewEncoder(&out).Encode(doc); err != nil {
		return nil, fmt.Errorf("book: %w", err)
	}
	out.WriteString("\n[end]\n")
	return out.Bytes(), nil
}

// addTenant adds the tenant of a row and its terms.
func (b *Credentials) addTenant(r tenantRow) {
	b.Tenants = append(b.Tenants, caller.Tenant{Name: r.Name, Generation: r.Generation, Suspended: r.Suspended})
	if terms := r.terms(); terms.isSet() {
		if b.Terms == nil {
			b.Terms = map[string]Terms{}
		}
		b.Terms[r.Name] = terms
	}
}

// tenantRow returns the row of a tenant with its limits.
func (b *Credentials) tenantRow(t caller.Tenant) tenantRow {
	return tenantRow{t.Name, t.Generation, t.Suspended, b.Terms[t.Name].row()}
}

func (c callerRow) principal() (caller.Principal, error) {
	p := caller.Principal{Name: c.Name, Tenant: c.Tenant, Roles: c.Roles, Certificates: c.Certificates}
	for _, s := range c.Subjects {
		issuer, name, ok := strings.Cut(s, " ")
		if !ok || issuer == "" || name == "" || strings.Contains(name, " ") {
			return p, fmt.Errorf("%.60q is not a valid subject; it must be ISSUER and SUBJECT separated by a blank", s)
		}
		p.Subjects = append(p.Subjects, caller.Subject{Issuer: issuer, Name: name})
	}
	return p, nil
}

func callerRowOf(p caller.Principal) callerRow {
	c := callerRow{Name: p.Name, Tenant: p.Tenant, Roles: p.Roles, Certificates: p.Certificates}
	for _, s := range p.Subjects {
		c.Subjects = append(c.Subjects, s.Issuer+" "+s.Name)
	}
	return c
}

// key converts the row to a key. With an error it also returns the name of the invalid field.
func (r keyRow) key() (caller.Key, string, error) {
	k := caller.Key{ID: r.ID, Algorithm: caller.Algorithm(r.Algorithm), Issuer: r.Issuer, Caller: r.Caller,
		Lifecycle: caller.Lifecycle{Active: unixMS(r.Active), Retiring: unixMS(r.Retiring), Retired: unixMS(r.Retired), Revoked: unixMS(r.Revoked)}}
	switch {
	case r.JWK != "" && r.Hash != "":
		return k, "jwk", fmt.Errorf("excludes secret_hash; a key has one of the two")
	case r.JWK != "":
		j, err := identity.ReadJWK([]byte(r.JWK), r.Issuer)
		if err != nil {
			return k, "jwk", err
		}
		if j.ID != r.ID {
			return k, "jwk", fmt.Errorf("its kid is %.60q, and the key's id is %.60q", j.ID, r.ID)
		}
		if k.Algorithm == "" {
			k.Algorithm = j.Algorithm
		}
		if k.Algorithm != j.Algorithm {
			return k, "algorithm", fmt.Errorf("%.20q does not match the public key, which is one of %s", r.Algorithm, j.Algorithm)
		}
		k.PublicDER, k.Digest = j.PublicDER, j.Digest
	case r.Hash != "":
		sum, err := hex.DecodeString(r.Hash)
		if err != nil || len(sum) != len(k.Digest) {
			return k, "secret_hash", fmt.Errorf("not the 64 hex digits of a hash")
		}
		if k.Algorithm == "" {
			k.Algorithm = caller.Secret
		}
		k.Digest = [32]byte(sum)
	}
	return k, "", nil
}

func keyRowOf(k *caller.Key) (keyRow, error) {
	r := keyRow{ID: k.ID, Algorithm: string(k.Algorithm), Issuer: k.Issuer, Caller: k.Caller, Active: timeFromMS(k.Lifecycle.Active), Retiring: timeFromMS(k.Lifecycle.Retiring),
		Retired: timeFromMS(k.Lifecycle.Retired), Revoked: timeFromMS(k.Lifecycle.Revoked)}
	if k.Algorithm == caller.Secret {
		r.Hash = hex.EncodeToString(k.Digest[:])
		return r, nil
	}
	var err error
	r.JWK, err = identity.WriteJWK(k)
	return r, err
}

// unixMS returns t in milliseconds since the Unix epoch, and 0 for the zero time.
func unixMS(t time.Time) float64 {
	if t.IsZero() {
		return 0
	}
	return float64(t.UnixMicro()) / 1000
}

// timeFromMS is the inverse of unixMS, rounded to microseconds.
func timeFromMS(ms float64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMicro(int64(math.Round(ms * 1000))).UTC()
}
