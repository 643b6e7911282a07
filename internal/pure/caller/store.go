package caller

import (
	"fmt"
	"math"
	"slices"
	"sort"
	"strings"

	"mossproxy.example/mossproxy/internal/pure/tenant"
)

// Limits on the size of a credentials store.
const (
	MaxKeys              = 10_000
	MaxTenants           = 10_000
	MaxPrincipals        = 100_000
	MaxNamesPerPrincipal = 64  // subjects, certificates or roles of a principal, each
	MaxTextBytes         = 256 // length of an id, an issuer, a subject or a certificate name
)

// Contents is the input from which a credentials store is built.
type Contents struct {
	Version      uint64  // increases with each change
	Issued       float64 // when the contents were last known to be current, ms; 0 = time of loading
	Policy       Policy
	Keys         []Key
	Tenants      []Tenant
	Principals   []Principal
	TrustAnchors [][32]byte         // SHA-256 of the certificates in the client bundle; empty = not checked
	Roles        map[string]*Rights // compiled rules by role name; see Compile
}

// CredentialStore holds the keys, tenants and callers of one version. It is immutable.
type CredentialStore struct {
	contents     Contents
	keys         map[string]*Key
	tenants      map[string]*Tenant
	principals   map[string]*resolvedPrincipal
	subjects     map[Subject]*resolvedPrincipal
	certificates map[string]*resolvedPrincipal
	anchors      map[[32]byte]bool
}

// resolvedPrincipal is a principal with its tenant, key space and combined rights.
type resolvedPrincipal struct {
	*Principal
	tenant *Tenant
	space  tenant.Keyspace
	rights *Rights
}

// ValidationError describes one error in the contents of a credentials store. Path locates it, as in
// key[2].id.
type ValidationError struct{ Path, Message string }

// Error returns the path and the message.
func (e ValidationError) Error() string { return e.Path + ": " + e.Message }

// maxValidationErrors limits the errors reported for one store.
const maxValidationErrors = 100

// storeBuilder validates contents, fills a store and collects the errors.
type storeBuilder struct {
	store *CredentialStore
	errs  []ValidationError
}

func (b *storeBuilder) errorf(path, format string, args ...any) {
	if len(b.errs) < maxValidationErrors {
		b.errs = append(b.errs, ValidationError{path, fmt.Sprintf(format, args...)})
	}
}

// NewCredentialStore validates all of the contents and builds a store. If there are errors, the store is nil.
func NewCredentialStore(c Contents) (*CredentialStore, []ValidationError) {
	b := storeBuilder{store: &CredentialStore{contents: c, keys: map[string]*Key{}, tenants: map[string]*Tenant{}, principals: map[string]*resolvedPrincipal{},
		subjects: map[Subject]*resolvedPrincipal{}, certificates: map[string]*resolvedPrincipal{}, anchors: map[[32]byte]bool{}}}
	for _, n := range []struct {
		what         string
		count, limit int
	}{{"key", len(c.Keys), MaxKeys}, {"tenant", len(c.Tenants), MaxTenants}, {"caller", len(c.Principals), MaxPrincipals}} {
		if n.count > n.limit {
			b.errorf(n.what, "%d of them; %d at most", n.count, n.limit)
			return nil, b.errs
		}
	}
	b.checkPolicy()
	b.addTenants()
	b.addPrincipals()
	b.addKeys()
	for _, a := range c.TrustAnchors {
		b.store.anchors[a] = true
	}
	if b.errs != nil {
		return nil, b.errs
	}
	return b.store, nil
}

func (b *storeBuilder) checkPolicy() {
	p := &b.store.contents.Policy
	for _, f := range []struct {
		name  string
		value float64
		limit float64
	}{{"skew_ms", p.Skew, 600e3}, {"longest_token_s", p.Longest / 1000, 86400 * 30}, {"stale_new_s", p.StaleNew / 1000, 86400 * 365}, {"stale_all_s", p.StaleAll / 1000, 86400 * 365}} {
		if !(f.value >= 0 && f.value <= f.limit) {
			b.errorf(f.name, "%v is out of range; from 0 to %v is right", f.value, f.limit)
		}
	}
	if p.StaleNew > 0 && p.StaleAll > 0 && p.StaleAll < p.StaleNew {
		b.errorf("stale_all_s", "%v s is sooner than stale_new_s; who is known is kept for as long as who is new, or longer", p.StaleAll/1000)
	}
}

// checkText validates a name that appears in logs and responses: 1 to MaxTextBytes printable ASCII characters
// without blanks.
func (b *storeBuilder) checkText(path, value string) bool {
	if value == "" || len(value) > MaxTextBytes || strings.ContainsFunc(value, func(r rune) bool { return r <= ' ' || r > '~' }) {
		b.errorf(path, "%.40q is no name; 1 to %d printable characters without blanks are right", value, MaxTextBytes)
		return false
	}
	return true
}

func (b *storeBuilder) addTenants() {
	for i := range b.store.contents.Tenants {
		t, path := &b.store.contents.Tenants[i], fmt.Sprintf("tenant[%d]", i)
		if err := tenant.CheckName(t.Name); err != nil {
			b.errorf(path+".name", "%s", strings.TrimPrefix(err.Error(), "name: "))
		} else if b.store.tenants[t.Name] != nil {
			b.errorf(path+".name", "%q is there twice", t.Name)
		}
		b.store.tenants[t.Name] = t
	}
}

func (b *storeBuilder) addPrincipals() {
	for i := range b.store.contents.Principals {
		p, path := &b.store.contents.Principals[i], fmt.Sprintf("caller[%d]", i)
		if !b.checkText(path+".name", p.Name) {
			continue
		}
		if b.store.principals[p.Name] != nil {
			b.errorf(path+".name", "%q is there twice", p.Name)
		}
		if len(p.Subjects) > MaxNamesPerPrincipal || len(p.Certificates) > MaxNamesPerPrincipal || len(p.Roles) > MaxNamesPerPrincipal {
			b.errorf(path, "%d subjects, %d certificates and %d roles; %d at most of each", len(p.Subjects), len(p.Certificates), len(p.Roles), MaxNamesPerPrincipal)
			continue
		}
		resolved := &resolvedPrincipal{Principal: p, tenant: b.store.tenants[p.Tenant]}
		if resolved.tenant == nil {
			b.errorf(path+".tenant", "%.40q is no tenant", p.Tenant)
			continue
		}
		var err error
		if resolved.space, err = tenant.NewKeyspace(resolved.tenant.Name, resolved.tenant.Generation); err != nil {
			continue // already reported for the tenant
		}
		resolved.rights = b.joinRoles(path, p)
		b.store.principals[p.Name] = resolved
		b.indexNames(path, resolved)
	}
}

// joinRoles returns the combined rights of a caller's roles, in the order of the roles.
func (b *storeBuilder) joinRoles(path string, p *Principal) *Rights {
	var roles []*Rights
	for j, name := range p.Roles {
		r := b.store.contents.Roles[name]
		if r == nil {
			b.errorf(fmt.Sprintf("%s.roles[%d]", path, j), "%.40q is no role", name)
			continue
		}
		roles = append(roles, r)
	}
	return Join(roles...)
}

// indexNames registers the subjects and certificate names that identify a caller. A name that identifies two
// callers is an error, because it would be ambiguous whose keys it may access.
func (b *storeBuilder) indexNames(path string, resolved *resolvedPrincipal) {
	for j, s := range resolved.Subjects {
		itemPath := fmt.Sprintf("%s.subjects[%d]", path, j)
		if !b.checkText(itemPath, s.Issuer) || !b.checkText(itemPath, s.Name) {
			continue
		}
		if other := b.store.subjects[s]; other != nil {
			b.errorf(itemPath, "%q of %q stands for caller %q already: %s", s.Name, s.Issuer, other.Name, describeConflict(other, resolved))
			continue
		}
		b.store.subjects[s] = resolved
	}
	for j, c := range resolved.Certificates {
		itemPath := fmt.Sprintf("%s.certificates[%d]", path, j)
		if kind, rest, _ := strings.Cut(c, ":"); !b.checkText(itemPath, c) || kind != "uri" && kind != "dns" && kind != "sha256" || rest == "" {
			b.errorf(itemPath, "%.60q is no certificate's name; uri:…, dns:… and sha256:… are", c)
			continue
		}
		if other := b.store.certificates[c]; other != nil {
			b.errorf(itemPath, "%q stands for caller %q already: %s", c, other.Name, describeConflict(other, resolved))
			continue
		}
		b.store.certificates[c] = resolved
	}
}

// describeConflict explains why two callers cannot share a name.
func describeConflict(a, b *resolvedPrincipal) string {
	if a.Tenant != b.Tenant {
		return fmt.Sprintf("one would be two tenants, %q and %q", a.Tenant, b.Tenant)
	}
	return "one would be two callers"
}

func (b *storeBuilder) addKeys() {
	for i := range b.store.contents.Keys {
		k, path := &b.store.contents.Keys[i], fmt.Sprintf("key[%d]", i)
		if !b.checkText(path+".id", k.ID) {
			continue
		}
		if b.store.keys[k.ID] != nil {
			b.errorf(path+".id", "%q is there twice", k.ID)
		}
		switch k.Algorithm {
		case EdDSA, ES256:
			b.checkText(path+".issuer", k.Issuer)
			if len(k.PublicDER) == 0 {
				b.errorf(path+".jwk", "missing; %s keys need their public key", k.Algorithm)
			}
		case Secret:
			if b.store.principals[k.Caller] == nil {
				b.errorf(path+".caller", "%.40q is no caller; a secret is one caller's", k.Caller)
			}
			if k.Digest == ([32]byte{}) {
				b.errorf(path+".secret_hash", "missing; cottonyoke key create makes one")
			}
		default:
			b.errorf(path+".algorithm", "%.40q is no algorithm; EdDSA, ES256 and secret are", k.Algorithm)
		}
		b.checkLifecycle(path, k.Lifecycle)
		b.store.keys[k.ID] = k
	}
}

// checkLifecycle checks that the scheduled states are in order.
func (b *storeBuilder) checkLifecycle(path string, l Lifecycle) {
	lastTime, lastState := 0.0, ""
	for _, s := range []struct {
		name string
		at   float64
	}{{"active", l.Active}, {"retiring", l.Retiring}, {"retired", l.Retired}} {
		if !(s.at >= 0) || math.IsInf(s.at, 1) {
			b.errorf(path+"."+s.name, "%v is no time", s.at)
		}
		if s.at > 0 {
			if s.at < lastTime {
				b.errorf(path+"."+s.name, "lies before %s", lastState)
			}
			lastTime, lastState = s.at, s.name
		}
	}
}

// Version returns the version of the store.
func (b *CredentialStore) Version() uint64 { return b.contents.Version }

// Issued returns the time at which the contents were known to be current, in ms; 0 = not known.
func (b *CredentialStore) Issued() float64 { return b.contents.Issued }

// Key returns the key with the given id, or nil. The caller must not modify it.
func (b *CredentialStore) Key(id string) *Key { return b.keys[id] }

// Keys returns all keys sorted by id. The caller must not modify them.
func (b *CredentialStore) Keys() []*Key {
	out := make([]*Key, 0, len(b.keys))
	for _, k := range b.keys {
		out = append(out, k)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Contents returns the contents of the store. The caller must not modify them.
func (b *CredentialStore) Contents() Contents { return b.contents }

// Skew returns the tolerated clock difference, in ms.
func (b *CredentialStore) Skew() float64 { return b.contents.Policy.Skew }

// Stale reports whether a store that was last confirmed at the given time is too old for new callers and for
// all callers.
func (b *CredentialStore) Stale(confirmed, now float64) (forNew, forAll bool) {
	age := now - confirmed
	p := b.contents.Policy
	return p.StaleNew > 0 && age > p.StaleNew || p.StaleAll > 0 && age > p.StaleAll, p.StaleAll > 0 && age > p.StaleAll
}

// CheckKeyState returns None if a key may be used at the given time, or the reason why not. It runs before
// the verification, so that unusable keys cost no work. AuthenticateToken also checks when a retiring key
// signed.
func (b *CredentialStore) CheckKeyState(k *Key, now float64) Reason {
	switch k.Lifecycle.StateAt(now) {
	case Revoked:
		return KeyRevoked
	case Retired:
		return KeyRetired
	case Announced:
		// The signer's clock may be ahead.
		if k.Lifecycle.Active == 0 || now+b.contents.Policy.Skew < k.Lifecycle.Active {
			return NotYetValid
		}
	}
	return None
}

// AuthenticateToken authenticates a token whose signature has been verified with the key named in its claims.
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
	maxLifetime := b.contents.Policy.Longest
	notBefore := max(c.IssuedAt, c.NotBefore)
	switch {
	case c.ExpiresAt <= 0 || c.IssuedAt <= 0 || maxLifetime > 0 && c.ExpiresAt-c.IssuedAt > maxLifetime:
		return nil, TooLong // also a token without an expiry or an issue time
	case c.ExpiresAt <= c.IssuedAt:
		return nil, Expired
	}
	return b.authenticate(now, credential{kind: tokenCredential, keyID: c.KeyID, digest: c.KeyDigest, issuer: c.Issuer, subject: c.Subject, issuedAt: c.IssuedAt, notBefore: notBefore, expiresAt: c.ExpiresAt})
}

// AuthenticateSecret authenticates a shared secret, given as its keyed hash, against the key with the given
// id.
func (b *CredentialStore) AuthenticateSecret(now float64, id string, hash [32]byte) (*Identity, Reason) {
	k := b.keys[id]
	if k == nil || k.Algorithm != Secret {
		return nil, UnknownKey
	}
	return b.authenticate(now, credential{kind: secretCredential, keyID: id, digest: hash, expiresAt: math.Inf(1)})
}

// AuthenticateCertificate authenticates a client certificate whose chain has been verified.
func (b *CredentialStore) AuthenticateCertificate(now float64, c Certificate) (*Identity, Reason) {
	return b.authenticate(now, credential{kind: certificateCredential, names: c.Names, digest: c.TrustAnchor, notBefore: c.NotBefore, expiresAt: c.NotAfter})
}

// Reauthenticate evaluates an identity again. A tenant that has since been recreated is a different tenant,
// so its callers must present their credentials again.
func (b *CredentialStore) Reauthenticate(now float64, id *Identity) (*Identity, Reason) {
	renewed, reason := b.authenticate(now, id.credential)
	if reason == None && renewed.Tenant.Generation != id.Tenant.Generation {
		return nil, NoTenant
	}
	return renewed, reason
}

// authenticate evaluates a credential that has been verified with the key or trust anchor of its digest.
func (b *CredentialStore) authenticate(now float64, cred credential) (*Identity, Reason) {
	validUntil := math.Inf(1)
	var caller *resolvedPrincipal
	var reason Reason
	credentialName := cred.keyID
	if cred.kind == certificateCredential {
		caller, credentialName, reason = b.findByCertificate(&cred)
	} else {
		caller, validUntil, reason = b.findByKey(now, &cred)
	}
	if reason != None {
		return nil, reason
	}
	skew := b.contents.Policy.Skew
	if cred.kind == certificateCredential {
		skew = 0 // the TLS handshake tolerates no clock difference either
	}
	switch {
	case now+skew < cred.notBefore:
		return nil, NotYetValid
	case now >= cred.expiresAt+skew:
		return nil, Expired
	case caller.tenant.Suspended:
		return nil, NoTenant
	}
	return &Identity{Caller: caller.Name, Tenant: *caller.tenant, Space: caller.space, Rights: caller.rights, CredentialName: credentialName, ValidUntil: min(validUntil, cred.expiresAt+skew),
		Version: b.contents.Version, credential: cred}, None
}

// findByKey returns the caller of a credential that a key verified, and the time of the key's next state
// change.
func (b *CredentialStore) findByKey(now float64, cred *credential) (*resolvedPrincipal, float64, Reason) {
	k := b.keys[cred.keyID]
	if k == nil {
		return nil, 0, UnknownKey
	}
	if reason := b.CheckKeyState(k, now); reason != None {
		return nil, 0, reason
	}
	if k.Digest != cred.digest { // the key was replaced under the same id and did not verify this credential
		if cred.kind == secretCredential {
			return nil, 0, BadSignature
		}
		return nil, 0, UnknownKey
	}
	if cred.kind == secretCredential {
		return b.principals[k.Caller], k.Lifecycle.NextChange(now), None
	}
	// A retiring key must not sign new tokens.
	if retiring := k.Lifecycle.Retiring; retiring > 0 && cred.issuedAt > retiring+b.contents.Policy.Skew {
		return nil, 0, KeyRetired
	}
	caller := b.subjects[Subject{cred.issuer, cred.subject}]
	if caller == nil {
		return nil, 0, NoTenant
	}
	return caller, k.Lifecycle.NextChange(now), None
}

// findByCertificate returns the only caller that a certificate's names identify, and the name that did.
func (b *CredentialStore) findByCertificate(cred *credential) (caller *resolvedPrincipal, name string, reason Reason) {
	if len(b.anchors) > 0 && !b.anchors[cred.digest] {
		return nil, "", KeyRevoked // the trust anchor was removed from the bundle
	}
	for _, n := range cred.names {
		p := b.certificates[n]
		switch {
		case p == nil:
		case caller != nil && caller != p:
			return nil, "", TwoTenants
		default:
			caller, name = p, n
		}
	}
	if caller == nil {
		return nil, "", UnknownKey
	}
	return caller, name, None
}
