package caller

import (
	"fmt"
	"math"
	"slices"
	"sort"
	"strings"

	"mossproxy.example/mossproxy/internal/pure/tenant"
)

// Bounds of a book.
const (
	MaxKeys              = 10_000
	MaxTenants           = 10_000
	MaxPrincipals        = 100_000
	MaxNamesPerPrincipal = 64  // subjects, certificates or roles of one principal
	MaxTextBytes         = 256 // bytes of an id, an issuer, a subject or a certificate's name
)

// Contents are what a book is made of.
type Contents struct {
	Version      uint64  // grows with each change
	Issued       float64 // when it was known to be in force, ms; 0 = whoever reads it says so by Confirm
	Policy       Policy
	Keys         []Key
	Tenants      []Tenant
	Principals   []Principal
	TrustAnchors [][32]byte         // SHA-256 of the certificates of the client bundle; nil = nobody asks
	Roles        map[string]*Rights // compiled, by name; see Compile
}

// CredentialStore is what is known of callers at one version. It does not change.
type CredentialStore struct {
	contents     Contents
	keys         map[string]*Key
	tenants      map[string]*Tenant
	principals   map[string]*resolvedPrincipal
	subjects     map[Subject]*resolvedPrincipal
	certificates map[string]*resolvedPrincipal
	anchors      map[[32]byte]bool
}

type resolvedPrincipal struct {
	*Principal
	tenant *Tenant
	space  tenant.Keyspace
	rights *Rights
}

// ValidationError is one thing that is wrong with a book's contents: where, as a path like key[2].id, and what.
type ValidationError struct{ Path, Message string }

func (f ValidationError) Error() string { return f.Path + ": " + f.Message }

// maxValidationErrors bounds what is said of one book.
const maxValidationErrors = 100

type storeBuilder struct {
	store *CredentialStore
	errs  []ValidationError
}

func (u *storeBuilder) errorf(at, format string, args ...any) {
	if len(u.errs) < maxValidationErrors {
		u.errs = append(u.errs, ValidationError{at, fmt.Sprintf(format, args...)})
	}
}

// NewCredentialStore checks contents whole. With faults there is no book.
func NewCredentialStore(c Contents) (*CredentialStore, []ValidationError) {
	u := storeBuilder{store: &CredentialStore{contents: c, keys: map[string]*Key{}, tenants: map[string]*Tenant{}, principals: map[string]*resolvedPrincipal{},
		subjects: map[Subject]*resolvedPrincipal{}, certificates: map[string]*resolvedPrincipal{}, anchors: map[[32]byte]bool{}}}
	for _, n := range []struct {
		what      string
		has, most int
	}{{"key", len(c.Keys), MaxKeys}, {"tenant", len(c.Tenants), MaxTenants}, {"caller", len(c.Principals), MaxPrincipals}} {
		if n.has > n.most {
			u.errorf(n.what, "%d of them; %d at most", n.has, n.most)
			return nil, u.errs
		}
	}
	u.checkPolicy()
	u.addTenants()
	u.addPrincipals()
	u.addKeys()
	for _, a := range c.TrustAnchors {
		u.store.anchors[a] = true
	}
	if u.errs != nil {
		return nil, u.errs
	}
	return u.store, nil
}

func (u *storeBuilder) checkPolicy() {
	p := &u.store.contents.Policy
	for _, f := range []struct {
		name  string
		value float64
		most  float64
	}{{"skew_ms", p.Skew, 600e3}, {"longest_token_s", p.Longest / 1000, 86400 * 30}, {"stale_new_s", p.StaleNew / 1000, 86400 * 365}, {"stale_all_s", p.StaleAll / 1000, 86400 * 365}} {
		if !(f.value >= 0 && f.value <= f.most) {
			u.errorf(f.name, "%v is out of range; from 0 to %v is right", f.value, f.most)
		}
	}
	if p.StaleNew > 0 && p.StaleAll > 0 && p.StaleAll < p.StaleNew {
		u.errorf("stale_all_s", "%v s is sooner than stale_new_s; who is known is kept for as long as who is new, or longer", p.StaleAll/1000)
	}
}

// label checks a name that goes into logs and answers: printable, without blanks, and bounded.
func (u *storeBuilder) checkText(at, v string) bool {
	if v == "" || len(v) > MaxTextBytes || strings.ContainsFunc(v, func(r rune) bool { return r <= ' ' || r > '~' }) {
		u.errorf(at, "%.40q is no name; 1 to %d printable characters without blanks are right", v, MaxTextBytes)
		return false
	}
	return true
}

func (u *storeBuilder) addTenants() {
	for i := range u.store.contents.Tenants {
		t, at := &u.store.contents.Tenants[i], fmt.Sprintf("tenant[%d]", i)
		if err := tenant.CheckName(t.Name); err != nil {
			u.errorf(at+".name", "%s", strings.TrimPrefix(err.Error(), "name: "))
		} else if u.store.tenants[t.Name] != nil {
			u.errorf(at+".name", "%q is there twice", t.Name)
		}
		u.store.tenants[t.Name] = t
	}
}

func (u *storeBuilder) addPrincipals() {
	for i := range u.store.contents.Principals {
		p, at := &u.store.contents.Principals[i], fmt.Sprintf("caller[%d]", i)
		if !u.checkText(at+".name", p.Name) {
			continue
		}
		if u.store.principals[p.Name] != nil {
			u.errorf(at+".name", "%q is there twice", p.Name)
		}
		if len(p.Subjects) > MaxNamesPerPrincipal || len(p.Certificates) > MaxNamesPerPrincipal || len(p.Roles) > MaxNamesPerPrincipal {
			u.errorf(at, "%d subjects, %d certificates and %d roles; %d at most of each", len(p.Subjects), len(p.Certificates), len(p.Roles), MaxNamesPerPrincipal)
			continue
		}
		q := &resolvedPrincipal{Principal: p, tenant: u.store.tenants[p.Tenant]}
		if q.tenant == nil {
			u.errorf(at+".tenant", "%.40q is no tenant", p.Tenant)
			continue
		}
		var err error
		if q.space, err = tenant.NewKeyspace(q.tenant.Name, q.tenant.Generation); err != nil {
			continue // told at the tenant
		}
		q.rights = u.joinRoles(at, p)
		u.store.principals[p.Name] = q
		u.indexNames(at, q)
	}
}

// joinRoles joins those of a caller's roles, in their order.
func (u *storeBuilder) joinRoles(at string, p *Principal) *Rights {
	var of []*Rights
	for j, name := range p.Roles {
		r := u.store.contents.Roles[name]
		if r == nil {
			u.errorf(fmt.Sprintf("%s.roles[%d]", at, j), "%.40q is no role", name)
			continue
		}
		of = append(of, r)
	}
	return Join(of...)
}

// indexNames books what stands for a caller. One name for two callers is a fault: nobody could say whose keys it may read.
func (u *storeBuilder) indexNames(at string, q *resolvedPrincipal) {
	for j, s := range q.Subjects {
		here := fmt.Sprintf("%s.subjects[%d]", at, j)
		if !u.checkText(here, s.Issuer) || !u.checkText(here, s.Name) {
			continue
		}
		if other := u.store.subjects[s]; other != nil {
			u.errorf(here, "%q of %q stands for caller %q already: %s", s.Name, s.Issuer, other.Name, describeConflict(other, q))
			continue
		}
		u.store.subjects[s] = q
	}
	for j, c := range q.Certificates {
		here := fmt.Sprintf("%s.certificates[%d]", at, j)
		if kind, rest, _ := strings.Cut(c, ":"); !u.checkText(here, c) || kind != "uri" && kind != "dns" && kind != "sha256" || rest == "" {
			u.errorf(here, "%.60q is no certificate's name; uri:…, dns:… and sha256:… are", c)
			continue
		}
		if other := u.store.certificates[c]; other != nil {
			u.errorf(here, "%q stands for caller %q already: %s", c, other.Name, describeConflict(other, q))
			continue
		}
		u.store.certificates[c] = q
	}
}

func describeConflict(a, b *resolvedPrincipal) string {
	if a.Tenant != b.Tenant {
		return fmt.Sprintf("one would be two tenants, %q and %q", a.Tenant, b.Tenant)
	}
	return "one would be two callers"
}

func (u *storeBuilder) addKeys() {
	for i := range u.store.contents.Keys {
		k, at := &u.store.contents.Keys[i], fmt.Sprintf("key[%d]", i)
		if !u.checkText(at+".id", k.ID) {
			continue
		}
		if u.store.keys[k.ID] != nil {
			u.errorf(at+".id", "%q is there twice", k.ID)
		}
		switch k.Algorithm {
		case EdDSA, ES256:
			u.checkText(at+".issuer", k.Issuer)
			if len(k.PublicDER) == 0 {
				u.errorf(at+".jwk", "missing; %s keys need their public key", k.Algorithm)
			}
		case Secret:
			if u.store.principals[k.Caller] == nil {
				u.errorf(at+".caller", "%.40q is no caller; a secret is one caller's", k.Caller)
			}
			if k.Digest == ([32]byte{}) {
				u.errorf(at+".secret_hash", "missing; cottonyoke key create makes one")
			}
		default:
			u.errorf(at+".algorithm", "%.40q is no algorithm; EdDSA, ES256 and secret are", k.Algorithm)
		}
		u.checkLifecycle(at, k.Lifecycle)
		u.store.keys[k.ID] = k
	}
}

// checkLifecycle checks that the states follow one another.
func (u *storeBuilder) checkLifecycle(at string, l Lifecycle) {
	last, name := 0.0, ""
	for _, s := range []struct {
		name string
		at   float64
	}{{"active", l.Active}, {"retiring", l.Retiring}, {"retired", l.Retired}} {
		if !(s.at >= 0) || math.IsInf(s.at, 1) {
			u.errorf(at+"."+s.name, "%v is no time", s.at)
		}
		if s.at > 0 {
			if s.at < last {
				u.errorf(at+"."+s.name, "lies before %s", name)
			}
			last, name = s.at, s.name
		}
	}
}

// Version is the book's.
func (b *CredentialStore) Version() uint64 { return b.contents.Version }

// IssuedAt is when the book was known to be in force, ms.
func (b *CredentialStore) Issued() float64 { return b.contents.Issued }

// CredentialName is the key of an id, nil where there is none. It must not be changed.
func (b *CredentialStore) Key(id string) *Key { return b.keys[id] }

// Keys are all keys, in the order of their ids. They must not be changed.
func (b *CredentialStore) Keys() []*Key {
	out := make([]*Key, 0, len(b.keys))
	for _, k := range b.keys {
		out = append(out, k)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Contents are what the book is made of. They must not be changed.
func (b *CredentialStore) Contents() Contents { return b.contents }

// Skew is how far clocks may differ, ms.
func (b *CredentialStore) Skew() float64 { return b.contents.Policy.Skew }

// Stale says whether a book that was confirmed at a time is too old, for callers that are new and for all.
func (b *CredentialStore) Stale(confirmed, now float64) (forNew, forAll bool) {
	age := now - confirmed
	p := b.contents.Policy
	return p.StaleNew > 0 && age > p.StaleNew || p.StaleAll > 0 && age > p.StaleAll, p.StaleAll > 0 && age > p.StaleAll
}

// CheckKeyState says whether a key may check anything at a time, before the work of doing so. What signed is judged by Token and Secret.
func (b *CredentialStore) CheckKeyState(k *Key, now float64) Reason {
	switch k.Lifecycle.StateAt(now) {
	case Revoked:
		return KeyRevoked
	case Retired:
		return KeyRetired
	case Announced:
		if k.Lifecycle.Active == 0 || now+b.contents.Policy.Skew < k.Lifecycle.Active { // the signer's clock may be ahead
			return NotYetValid
		}
	}
	return None
}

// AuthenticateToken judges a token whose signature the key in it has checked.
func (b *CredentialStore) AuthenticateToken(now float64, c Claims) (*Identity, Reason) {
	k := b.keys[c.KeyID]
	if k == nil || k.Algorithm == Secret || k.Digest != c.KeyDigest {
		return nil, UnknownKey
	}
	if c.Issuer != k.Issuer {
		return nil, WrongIssuer
	}
	if !slices.ContainsFunc(c.Audience, func(a string) bool { return slices.Contains(b.contents.Policy.Audiences, a) }) {
		return nil, WrongAudience
	}
	longest := b.contents.Policy.Longest
	begins := max(c.IssuedAt, c.NotBefore)
	switch {
	case c.ExpiresAt <= 0 || c.IssuedAt <= 0 || longest > 0 && c.ExpiresAt-c.IssuedAt > longest:
		return nil, TooLong // also one that never ends, or does not say when it began
	case c.ExpiresAt <= c.IssuedAt:
		return nil, Expired
	}
	return b.authenticate(now, credential{kind: tokenCredential, keyID: c.KeyID, digest: c.KeyDigest, issuer: c.Issuer, subject: c.Subject, issuedAt: c.IssuedAt, notBefore: begins, expiresAt: c.ExpiresAt})
}

// AuthenticateSecret judges a secret whose keyed hash is that of the key of an id.
func (b *CredentialStore) AuthenticateSecret(now float64, id string, hash [32]byte) (*Identity, Reason) {
	k := b.keys[id]
	if k == nil || k.Algorithm != Secret {
		return nil, UnknownKey
	}
	return b.authenticate(now, credential{kind: secretCredential, keyID: id, digest: hash, expiresAt: math.Inf(1)})
}

// AuthenticateCertificate judges a client certificate whose chain has been checked.
func (b *CredentialStore) AuthenticateCertificate(now float64, c Certificate) (*Identity, Reason) {
	return b.authenticate(now, credential{kind: certificateCredential, names: c.Names, digest: c.TrustAnchor, notBefore: c.NotBefore, expiresAt: c.NotAfter})
}

// Reauthenticate judges a pass again. A tenant that was made anew since is another: its callers say again who they are.
func (b *CredentialStore) Reauthenticate(now float64, p *Identity) (*Identity, Reason) {
	next, why := b.authenticate(now, p.credential)
	if why == None && next.Tenant.Generation != p.Tenant.Generation {
		return nil, NoTenant
	}
	return next, why
}

// authenticate judges what was shown, whose proof has been checked by the material that it names.
func (b *CredentialStore) authenticate(now float64, s credential) (*Identity, Reason) {
	until := math.Inf(1)
	var who *resolvedPrincipal
	var why Reason
	name := s.keyID
	if s.kind == certificateCredential {
		who, name, why = b.findByCertificate(&s)
	} else {
		who, until, why = b.findByKey(now, &s)
	}
	if why != None {
		return nil, why
	}
	skew := b.contents.Policy.Skew
	if s.kind == certificateCredential {
		skew = 0 // the handshake has none either
	}
	switch {
	case now+skew < s.notBefore:
		return nil, NotYetValid
	case now >= s.expiresAt+skew:
		return nil, Expired
	case who.tenant.Suspended:
		return nil, NoTenant
	}
	return &Identity{Caller: who.Name, Tenant: *who.tenant, Space: who.space, Rights: who.rights, CredentialName: name, ValidUntil: min(until, s.expiresAt+skew),
		Version: b.contents.Version, credential: s}, None
}

// findByKey finds the caller of what a key has checked, and until when the key's state stays.
func (b *CredentialStore) findByKey(now float64, s *credential) (*resolvedPrincipal, float64, Reason) {
	k := b.keys[s.keyID]
	if k == nil {
		return nil, 0, UnknownKey
	}
	if why := b.CheckKeyState(k, now); why != None {
		return nil, 0, why
	}
	if k.Digest != s.digest { // another key of the same id: it has checked nothing
		if s.kind == secretCredential {
			return nil, 0, BadSignature
		}
		return nil, 0, UnknownKey
	}
	if s.kind == secretCredential {
		return b.principals[k.Caller], k.Lifecycle.NextChange(now), None
	}
	if r := k.Lifecycle.Retiring; r > 0 && s.issuedAt > r+b.contents.Policy.Skew { // it signs nothing new
		return nil, 0, KeyRetired
	}
	who := b.subjects[Subject{s.issuer, s.subject}]
	if who == nil {
		return nil, 0, NoTenant
	}
	return who, k.Lifecycle.NextChange(now), None
}

// findByCertificate finds the one caller that a certificate's names stand for.
func (b *CredentialStore) findByCertificate(s *credential) (who *resolvedPrincipal, name string, why Reason) {
	if len(b.anchors) > 0 && !b.anchors[s.digest] {
		return nil, "", KeyRevoked // what vouched for it was withdrawn
	}
	for _, n := range s.names {
		p := b.certificates[n]
		switch {
		case p == nil:
		case who != nil && who != p:
			return nil, "", TwoTenants
		default:
			who, name = p, n
		}
	}
	if who == nil {
		return nil, "", UnknownKey
	}
	return who, name, None
}
