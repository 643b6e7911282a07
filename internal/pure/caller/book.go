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
	MaxKeys       = 10_000
	MaxTenants    = 10_000
	MaxPrincipals = 100_000
	MaxNames      = 64  // subjects, certificates or roles of one principal
	MaxText       = 256 // bytes of an id, an issuer, a subject or a certificate's name
)

// Contents are what a book is made of.
type Contents struct {
	Version    uint64  // grows with each change
	Issued     float64 // when it was known to be in force, ms; 0 = whoever reads it says so by Confirm
	Policy     Policy
	Keys       []Key
	Tenants    []Tenant
	Principals []Principal
	Anchors    [][32]byte         // SHA-256 of the certificates of the client bundle; nil = nobody asks
	Roles      map[string]*Rights // compiled, by name; see Compile
}

// Book is what is known of callers at one version. It does not change.
type Book struct {
	c          Contents
	keys       map[string]*Key
	tenants    map[string]*Tenant
	principals map[string]*principal
	subjects   map[Subject]*principal
	certs      map[string]*principal
	anchors    map[[32]byte]bool
}

type principal struct {
	*Principal
	tenant *Tenant
	space  tenant.Keyspace
	rights *Rights
}

// Fault is one thing that is wrong with a book's contents: where, as a path like key[2].id, and what.
type Fault struct{ At, What string }

func (f Fault) Error() string { return f.At + ": " + f.What }

// maxFaults bounds what is said of one book.
const maxFaults = 100

type builder struct {
	b      *Book
	faults []Fault
}

func (u *builder) bad(at, format string, args ...any) {
	if len(u.faults) < maxFaults {
		u.faults = append(u.faults, Fault{at, fmt.Sprintf(format, args...)})
	}
}

// NewBook checks contents whole. With faults there is no book.
func NewBook(c Contents) (*Book, []Fault) {
	u := builder{b: &Book{c: c, keys: map[string]*Key{}, tenants: map[string]*Tenant{}, principals: map[string]*principal{},
		subjects: map[Subject]*principal{}, certs: map[string]*principal{}, anchors: map[[32]byte]bool{}}}
	for _, n := range []struct {
		what      string
		has, most int
	}{{"key", len(c.Keys), MaxKeys}, {"tenant", len(c.Tenants), MaxTenants}, {"caller", len(c.Principals), MaxPrincipals}} {
		if n.has > n.most {
			u.bad(n.what, "%d of them; %d at most", n.has, n.most)
			return nil, u.faults
		}
	}
	u.policy()
	u.tenants()
	u.principals()
	u.keys()
	for _, a := range c.Anchors {
		u.b.anchors[a] = true
	}
	if u.faults != nil {
		return nil, u.faults
	}
	return u.b, nil
}

func (u *builder) policy() {
	p := &u.b.c.Policy
	for _, f := range []struct {
		name  string
		value float64
		most  float64
	}{{"skew_ms", p.Skew, 600e3}, {"longest_token_s", p.Longest / 1000, 86400 * 30}, {"stale_new_s", p.StaleNew / 1000, 86400 * 365}, {"stale_all_s", p.StaleAll / 1000, 86400 * 365}} {
		if !(f.value >= 0 && f.value <= f.most) {
			u.bad(f.name, "%v is out of range; from 0 to %v is right", f.value, f.most)
		}
	}
	if p.StaleNew > 0 && p.StaleAll > 0 && p.StaleAll < p.StaleNew {
		u.bad("stale_all_s", "%v s is sooner than stale_new_s; who is known is kept for as long as who is new, or longer", p.StaleAll/1000)
	}
}

// text checks a name that goes into logs and answers: printable, without blanks, and bounded.
func (u *builder) text(at, v string) bool {
	if v == "" || len(v) > MaxText || strings.ContainsFunc(v, func(r rune) bool { return r <= ' ' || r > '~' }) {
		u.bad(at, "%.40q is no name; 1 to %d printable characters without blanks are right", v, MaxText)
		return false
	}
	return true
}

func (u *builder) tenants() {
	for i := range u.b.c.Tenants {
		t, at := &u.b.c.Tenants[i], fmt.Sprintf("tenant[%d]", i)
		if err := tenant.CheckName(t.Name); err != nil {
			u.bad(at+".name", "%s", strings.TrimPrefix(err.Error(), "name: "))
		} else if u.b.tenants[t.Name] != nil {
			u.bad(at+".name", "%q is there twice", t.Name)
		}
		u.b.tenants[t.Name] = t
	}
}

func (u *builder) principals() {
	for i := range u.b.c.Principals {
		p, at := &u.b.c.Principals[i], fmt.Sprintf("caller[%d]", i)
		if !u.text(at+".name", p.Name) {
			continue
		}
		if u.b.principals[p.Name] != nil {
			u.bad(at+".name", "%q is there twice", p.Name)
		}
		if len(p.Subjects) > MaxNames || len(p.Certificates) > MaxNames || len(p.Roles) > MaxNames {
			u.bad(at, "%d subjects, %d certificates and %d roles; %d at most of each", len(p.Subjects), len(p.Certificates), len(p.Roles), MaxNames)
			continue
		}
		q := &principal{Principal: p, tenant: u.b.tenants[p.Tenant]}
		if q.tenant == nil {
			u.bad(at+".tenant", "%.40q is no tenant", p.Tenant)
			continue
		}
		var err error
		if q.space, err = tenant.NewKeyspace(q.tenant.Name, q.tenant.Generation); err != nil {
			continue // told at the tenant
		}
		q.rights = u.rights(at, p)
		u.b.principals[p.Name] = q
		u.named(at, q)
	}
}

// rights joins those of a caller's roles, in their order.
func (u *builder) rights(at string, p *Principal) *Rights {
	var of []*Rights
	for j, name := range p.Roles {
		r := u.b.c.Roles[name]
		if r == nil {
			u.bad(fmt.Sprintf("%s.roles[%d]", at, j), "%.40q is no role", name)
			continue
		}
		of = append(of, r)
	}
	return Join(of...)
}

// named books what stands for a caller. One name for two callers is a fault: nobody could say whose keys it may read.
func (u *builder) named(at string, q *principal) {
	for j, s := range q.Subjects {
		here := fmt.Sprintf("%s.subjects[%d]", at, j)
		if !u.text(here, s.Issuer) || !u.text(here, s.Name) {
			continue
		}
		if other := u.b.subjects[s]; other != nil {
			u.bad(here, "%q of %q stands for caller %q already: %s", s.Name, s.Issuer, other.Name, twice(other, q))
			continue
		}
		u.b.subjects[s] = q
	}
	for j, c := range q.Certificates {
		here := fmt.Sprintf("%s.certificates[%d]", at, j)
		if kind, rest, _ := strings.Cut(c, ":"); !u.text(here, c) || kind != "uri" && kind != "dns" && kind != "sha256" || rest == "" {
			u.bad(here, "%.60q is no certificate's name; uri:…, dns:… and sha256:… are", c)
			continue
		}
		if other := u.b.certs[c]; other != nil {
			u.bad(here, "%q stands for caller %q already: %s", c, other.Name, twice(other, q))
			continue
		}
		u.b.certs[c] = q
	}
}

func twice(a, b *principal) string {
	if a.Tenant != b.Tenant {
		return fmt.Sprintf("one would be two tenants, %q and %q", a.Tenant, b.Tenant)
	}
	return "one would be two callers"
}

func (u *builder) keys() {
	for i := range u.b.c.Keys {
		k, at := &u.b.c.Keys[i], fmt.Sprintf("key[%d]", i)
		if !u.text(at+".id", k.ID) {
			continue
		}
		if u.b.keys[k.ID] != nil {
			u.bad(at+".id", "%q is there twice", k.ID)
		}
		switch k.Algorithm {
		case EdDSA, ES256:
			u.text(at+".issuer", k.Issuer)
			if len(k.Public) == 0 {
				u.bad(at+".jwk", "missing; %s keys need their public key", k.Algorithm)
			}
		case Secret:
			if u.b.principals[k.Caller] == nil {
				u.bad(at+".caller", "%.40q is no caller; a secret is one caller's", k.Caller)
			}
			if k.Material == ([32]byte{}) {
				u.bad(at+".secret_hash", "missing; cottonyoke key create makes one")
			}
		default:
			u.bad(at+".algorithm", "%.40q is no algorithm; EdDSA, ES256 and secret are", k.Algorithm)
		}
		u.life(at, k.Life)
		u.b.keys[k.ID] = k
	}
}

// life checks that the states follow one another.
func (u *builder) life(at string, l Life) {
	last, name := 0.0, ""
	for _, s := range []struct {
		name string
		at   float64
	}{{"active", l.Active}, {"retiring", l.Retiring}, {"retired", l.Retired}} {
		if !(s.at >= 0) || math.IsInf(s.at, 1) {
			u.bad(at+"."+s.name, "%v is no time", s.at)
		}
		if s.at > 0 {
			if s.at < last {
				u.bad(at+"."+s.name, "lies before %s", name)
			}
			last, name = s.at, s.name
		}
	}
}

// Version is the book's.
func (b *Book) Version() uint64 { return b.c.Version }

// Issued is when the book was known to be in force, ms.
func (b *Book) Issued() float64 { return b.c.Issued }

// Key is the key of an id, nil where there is none. It must not be changed.
func (b *Book) Key(id string) *Key { return b.keys[id] }

// Keys are all keys, in the order of their ids. They must not be changed.
func (b *Book) Keys() []*Key {
	out := make([]*Key, 0, len(b.keys))
	for _, k := range b.keys {
		out = append(out, k)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Contents are what the book is made of. They must not be changed.
func (b *Book) Contents() Contents { return b.c }

// Skew is how far clocks may differ, ms.
func (b *Book) Skew() float64 { return b.c.Policy.Skew }

// Stale says whether a book that was confirmed at a time is too old, for callers that are new and for all.
func (b *Book) Stale(confirmed, now float64) (forNew, forAll bool) {
	age := now - confirmed
	p := b.c.Policy
	return p.StaleNew > 0 && age > p.StaleNew || p.StaleAll > 0 && age > p.StaleAll, p.StaleAll > 0 && age > p.StaleAll
}

// Usable says whether a key may check anything at a time, before the work of doing so. What signed is judged by Token and Secret.
func (b *Book) Usable(k *Key, now float64) Reason {
	switch k.Life.At(now) {
	case Revoked:
		return KeyRevoked
	case Retired:
		return KeyRetired
	case Announced:
		if k.Life.Active == 0 || now+b.c.Policy.Skew < k.Life.Active { // the signer's clock may be ahead
			return NotYetValid
		}
	}
	return None
}

// Token judges a token whose signature the key in it has checked.
func (b *Book) Token(now float64, c Claims) (*Pass, Reason) {
	k := b.keys[c.Key]
	if k == nil || k.Algorithm == Secret || k.Material != c.Material {
		return nil, UnknownKey
	}
	if c.Issuer != k.Issuer {
		return nil, WrongIssuer
	}
	if !slices.ContainsFunc(c.Audience, func(a string) bool { return slices.Contains(b.c.Policy.Audiences, a) }) {
		return nil, WrongAudience
	}
	longest := b.c.Policy.Longest
	begins := max(c.Issued, c.From)
	switch {
	case c.Until <= 0 || c.Issued <= 0 || longest > 0 && c.Until-c.Issued > longest:
		return nil, TooLong // also one that never ends, or does not say when it began
	case c.Until <= c.Issued:
		return nil, Expired
	}
	return b.judge(now, shown{kind: byToken, key: c.Key, material: c.Material, issuer: c.Issuer, subject: c.Subject, issued: c.Issued, from: begins, until: c.Until})
}

// Secret judges a secret whose keyed hash is that of the key of an id.
func (b *Book) Secret(now float64, id string, hash [32]byte) (*Pass, Reason) {
	k := b.keys[id]
	if k == nil || k.Algorithm != Secret {
		return nil, UnknownKey
	}
	return b.judge(now, shown{kind: bySecret, key: id, material: hash, until: math.Inf(1)})
}

// Certificate judges a client certificate whose chain has been checked.
func (b *Book) Certificate(now float64, c Certificate) (*Pass, Reason) {
	return b.judge(now, shown{kind: byCertificate, names: c.Names, material: c.Anchor, from: c.From, until: c.Until})
}

// Renew judges a pass again. A tenant that was made anew since is another: its callers say again who they are.
func (b *Book) Renew(now float64, p *Pass) (*Pass, Reason) {
	next, why := b.judge(now, p.shown)
	if why == None && next.Tenant.Generation != p.Tenant.Generation {
		return nil, NoTenant
	}
	return next, why
}

// judge judges what was shown, whose proof has been checked by the material that it names.
func (b *Book) judge(now float64, s shown) (*Pass, Reason) {
	until := math.Inf(1)
	var who *principal
	var why Reason
	name := s.key
	if s.kind == byCertificate {
		who, name, why = b.ofCertificate(&s)
	} else {
		who, until, why = b.ofKey(now, &s)
	}
	if why != None {
		return nil, why
	}
	skew := b.c.Policy.Skew
	if s.kind == byCertificate {
		skew = 0 // the handshake has none either
	}
	switch {
	case now+skew < s.from:
		return nil, NotYetValid
	case now >= s.until+skew:
		return nil, Expired
	case who.tenant.Suspended:
		return nil, NoTenant
	}
	return &Pass{Caller: who.Name, Tenant: *who.tenant, Space: who.space, Rights: who.rights, Key: name, Until: min(until, s.until+skew),
		Version: b.c.Version, shown: s}, None
}

// ofKey finds the caller of what a key has checked, and until when the key's state stays.
func (b *Book) ofKey(now float64, s *shown) (*principal, float64, Reason) {
	k := b.keys[s.key]
	if k == nil {
		return nil, 0, UnknownKey
	}
	if why := b.Usable(k, now); why != None {
		return nil, 0, why
	}
	if k.Material != s.material { // another key of the same id: it has checked nothing
		if s.kind == bySecret {
			return nil, 0, BadSignature
		}
		return nil, 0, UnknownKey
	}
	if s.kind == bySecret {
		return b.principals[k.Caller], k.Life.Next(now), None
	}
	if r := k.Life.Retiring; r > 0 && s.issued > r+b.c.Policy.Skew { // it signs nothing new
		return nil, 0, KeyRetired
	}
	who := b.subjects[Subject{s.issuer, s.subject}]
	if who == nil {
		return nil, 0, NoTenant
	}
	return who, k.Life.Next(now), None
}

// ofCertificate finds the one caller that a certificate's names stand for.
func (b *Book) ofCertificate(s *shown) (who *principal, name string, why Reason) {
	if len(b.anchors) > 0 && !b.anchors[s.material] {
		return nil, "", KeyRevoked // what vouched for it was withdrawn
	}
	for _, n := range s.names {
		p := b.certs[n]
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
