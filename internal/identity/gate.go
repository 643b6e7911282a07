package identity

import (
	"context"
	"crypto"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"fmt"
	"log/slog"
	"math"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"mossproxy.example/mossproxy/internal/pure/caller"
)

// Options are what a gate works by.
type Options struct {
	Policy      caller.Policy
	Pepper      *Pepper // nil = secrets are not taken
	CacheSize   int     // tokens whose check is remembered; 0 = DefaultCacheSize
	CPUShare    float64 // of one core that checking may take, 0 to 1; 0 = DefaultCPUShare
	RouterShare float64 // this router's part of the service, for rates of rules; 0 = all
	Log         *slog.Logger
	Now         func() float64 // Unix ms; nil = the system's clock
}

// The usual values of Options.
const (
	DefaultCacheSize = 16 << 10
	DefaultCPUShare  = 0.2
)

// What a check costs, in ms of one core (BenchmarkVerify on 2 cores of this project's machine, 2026-12-01, rounded up). The budget
// needs no better: it bounds a flood.
const (
	costEdDSA  = 0.10
	costES256  = 0.15
	costSecret = 0.005
)

// state is the book in force with its keys made ready. It does not change.
type state struct {
	credentials *caller.CredentialStore
	keys        map[string]crypto.PublicKey
}

// Authenticator settles for connections who calls. Its methods may be called from any goroutine; none blocks.
type Authenticator struct {
	opts      Options
	now       func() float64
	state     atomic.Pointer[state]
	confirmed atomic.Uint64 // when the book was last known to be in force: bits of a float64
	hasher    *tokenHasher  // by which tokens are remembered
	audit     *Audit
	counts    [64]atomic.Int64 // verdicts on who logs in or asks, by reason
	checks    atomic.Int64     // signatures and secrets checked

	mu      sync.Mutex // of what follows
	cache   *caller.IdentityCache
	limiter *caller.AuthLimiter

	ratesMu sync.Mutex
	rates   *caller.RateLimiter
}

// NewAuthenticator is a gate that takes nobody until Use has given it a book.
func NewAuthenticator(o Options) *Authenticator {
	if o.CacheSize == 0 {
		o.CacheSize = DefaultCacheSize
	}
	if o.CPUShare == 0 {
		o.CPUShare = DefaultCPUShare
	}
	if o.RouterShare == 0 {
		o.RouterShare = 1
	}
	if o.Now == nil {
		o.Now = func() float64 { return float64(time.Now().UnixMicro()) / 1000 }
	}
	if o.Log == nil {
		o.Log = slog.Default()
	}
	g := &Authenticator{opts: o, now: o.Now, audit: NewAudit(o.Log, o.Now), cache: caller.NewIdentityCache(o.CacheSize), limiter: caller.NewAuthLimiter(o.CPUShare),
		rates: caller.NewRateLimiter(o.RouterShare), hasher: newTokenHasher()}
	return g
}

// SetCredentials brings a book into force: for new callers at once, and for those that are known at their next request. An error names a key
// that can't be used; the old book stays then.
func (g *Authenticator) SetCredentials(b *caller.CredentialStore) error {
	s := &state{credentials: b, keys: map[string]crypto.PublicKey{}}
	for _, k := range b.Keys() {
		if k.Algorithm == caller.Secret {
			continue
		}
		p, err := publicKey(k)
		if err != nil {
			return err
		}
		s.keys[k.ID] = p
	}
	g.state.Store(s)
	if at := b.Issued(); at > 0 {
		g.Confirm(at)
	} else {
		g.Confirm(g.now())
	}
	return nil
}

// Confirm tells that the book was known to be in force at a time, ms. An older time changes nothing.
func (g *Authenticator) Confirm(at float64) {
	for {
		old := g.confirmed.Load()
		if math.Float64frombits(old) >= at || g.confirmed.CompareAndSwap(old, math.Float64bits(at)) {
			return
		}
	}
}

// Credentials is the one in force, nil before the first.
func (g *Authenticator) Credentials() *caller.CredentialStore {
	if s := g.state.Load(); s != nil {
		return s.credentials
	}
	return nil
}

// current is the book in force, if it is to be believed by callers that are new, or by all.
func (g *Authenticator) current(now float64, isNew bool) (*state, caller.Reason) {
	s := g.state.Load()
	if s == nil {
		return nil, caller.StaleKeys
	}
	forNew, forAll := s.credentials.Stale(math.Float64frombits(g.confirmed.Load()), now)
	if forAll || isNew && forNew {
		return nil, caller.StaleKeys
	}
	return s, caller.None
}

// AuthenticateToken settles who shows a token, from an address.
func (g *Authenticator) AuthenticateToken(from, text string) (*caller.Identity, caller.Reason) {
	p, why := g.authenticateToken(from, text)
	g.recordVerdict("login", why, p, Event{From: from})
	return p, why
}

// AuthenticateRequest is Token for a single request: there is no login for the audit, but a refusal is one.
func (g *Authenticator) AuthenticateRequest(from, text string) (*caller.Identity, caller.Reason) {
	p, why := g.authenticateToken(from, text)
	if why != caller.None {
		g.recordVerdict("login", why, nil, Event{From: from})
	} else {
		g.counts[caller.None].Add(1)
	}
	return p, why
}

func (g *Authenticator) authenticateToken(from, text string) (*caller.Identity, caller.Reason) {
	now := g.now()
	if len(text) > MaxTokenBytes {
		return nil, caller.TooLong
	}
	hash := g.hasher.sum(text)
	g.mu.Lock()
	p := g.cache.Get(hash)
	g.mu.Unlock()
	if p != nil { // the signature was checked; all else is judged again if anything has changed
		s, why := g.current(now, false)
		if why != caller.None {
			return nil, why
		}
		if p.Valid(s.credentials.Version(), now) {
			return p, caller.None
		}
		if p, why = s.credentials.Reauthenticate(now, p); why == caller.None {
			g.cacheIdentity(hash, p)
			return p, caller.None
		}
		g.mu.Lock()
		g.cache.Remove(hash)
		g.mu.Unlock()
		if why != caller.NoTenant { // the tenant may be another one of its name: then the token is a new caller's
			return nil, why
		}
	}
	p, why := g.verifyToken(now, from, text)
	if why == caller.None {
		g.cacheIdentity(hash, p)
	}
	return p, why
}

func (g *Authenticator) cacheIdentity(hash [32]byte, p *caller.Identity) {
	g.mu.Lock()
	g.cache.Put(hash, p)
	g.mu.Unlock()
}

// verifyToken checks a token that is not remembered, if the budget of such checks has room.
func (g *Authenticator) verifyToken(now float64, from, text string) (*caller.Identity, caller.Reason) {
	s, why := g.current(now, true)
	if why != caller.None {
		return nil, why
	}
	origin := addressPrefix(from)
	if !g.allowCheck(now, origin, "", costSecret) { // reading it is work too
		return nil, caller.Throttled
	}
	t, why := readToken(text)
	if why != caller.None {
		g.recordResult(now, origin, "", true)
		return nil, why
	}
	k := s.credentials.Key(t.kid)
	if k == nil || s.keys[t.kid] == nil {
		g.recordResult(now, origin, "", true)
		return nil, caller.UnknownKey
	}
	if why := s.credentials.CheckKeyState(k, now); why != caller.None { // before the work
		return nil, why
	}
	cost := costEdDSA
	if k.Algorithm == caller.ES256 {
		cost = costES256
	}
	if !g.allowCheck(now, origin, k.ID, cost) {
		return nil, caller.Throttled
	}
	g.checks.Add(1)
	c, why := t.verify(k, s.keys[t.kid])
	g.recordResult(now, origin, k.ID, why != caller.None)
	if why != caller.None {
		return nil, why
	}
	return s.credentials.AuthenticateToken(now, c)
}

func (g *Authenticator) allowCheck(now float64, origin, key string, cost float64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limiter.Allow(now, origin, key, cost)
}

func (g *Authenticator) recordResult(now float64, origin, key string, wrong bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.RecordResult(now, origin, key, wrong)
}

// addressPrefix is the address by which floods are told apart: without the port, and of IPv6 the network of 64 bits that one caller has.
func addressPrefix(from string) string {
	a, err := netip.ParseAddrPort(from)
	if err != nil {
		return from
	}
	ip := a.Addr().Unmap()
	if ip.Is6() {
		p, err := ip.Prefix(64)
		if err != nil {
			return ip.String()
		}
		return p.String()
	}
	return ip.String()
}

// AuthenticateSecret settles who shows a key's secret.
func (g *Authenticator) AuthenticateSecret(from, id string, secret []byte) (*caller.Identity, caller.Reason) {
	p, why := g.authenticateSecret(from, id, secret)
	g.recordVerdict("login", why, p, Event{From: from, Key: id})
	return p, why
}

func (g *Authenticator) authenticateSecret(from, id string, secret []byte) (*caller.Identity, caller.Reason) {
	now := g.now()
	s, why := g.current(now, true)
	switch {
	case why != caller.None:
		return nil, why
	case len(secret) > maxSecretBytes || len(id) > caller.MaxTextBytes:
		return nil, caller.TooLong
	case g.opts.Pepper == nil:
		return nil, caller.UnknownKey
	}
	origin := addressPrefix(from)
	if !g.allowCheck(now, origin, id, costSecret) {
		return nil, caller.Throttled
	}
	g.checks.Add(1)
	// The book compares hashes under a key that nobody outside knows, so how far they agree tells nobody anything of the secret.
	p, why := s.credentials.AuthenticateSecret(now, id, g.opts.Pepper.Hash(id, secret))
	g.recordResult(now, origin, id, why == caller.BadSignature || why == caller.UnknownKey)
	return p, why
}

// AuthenticateCertificate settles who has shown a client certificate on a link whose handshake is over. Without one there is no caller.
func (g *Authenticator) AuthenticateCertificate(from string, link *tls.ConnectionState) (*caller.Identity, caller.Reason) {
	if link == nil || len(link.PeerCertificates) == 0 || len(link.VerifiedChains) == 0 {
		return nil, caller.NoCaller
	}
	now := g.now()
	s, why := g.current(now, true)
	var p *caller.Identity
	if why == caller.None {
		for _, chain := range link.VerifiedChains { // one whose end is still in the bundle will do
			if p, why = s.credentials.AuthenticateCertificate(now, describeChain(chain)); why != caller.KeyRevoked {
				break
			}
		}
	}
	g.recordVerdict("login", why, p, Event{From: from, Key: "sha256:" + fingerprint(link.PeerCertificates[0])})
	return p, why
}

// describeChain gives what the book needs of a chain. It holds no longer than any certificate of it.
func describeChain(chain []*x509.Certificate) caller.Certificate {
	leaf := chain[0]
	c := caller.Certificate{Names: []string{"sha256:" + fingerprint(leaf)}, TrustAnchor: sha256.Sum256(chain[len(chain)-1].Raw), NotAfter: math.Inf(1)}
	for _, u := range leaf.URIs {
		c.Names = append(c.Names, "uri:"+u.String())
	}
	for _, d := range leaf.DNSNames {
		c.Names = append(c.Names, "dns:"+d)
	}
	c.Names = c.Names[:min(len(c.Names), caller.MaxNamesPerPrincipal)]
	for _, x := range chain {
		c.NotBefore, c.NotAfter = max(c.NotBefore, float64(x.NotBefore.UnixMilli())), min(c.NotAfter, float64(x.NotAfter.UnixMilli()))
	}
	return c
}

func fingerprint(c *x509.Certificate) string {
	sum := sha256.Sum256(c.Raw)
	return hex.EncodeToString(sum[:])
}

// Validate gives the pass by which a caller goes on: the same while it holds, another where the book or the time has changed and it is
// still good, or why not.
func (g *Authenticator) Revalidate(p *caller.Identity) (*caller.Identity, caller.Reason) {
	now := g.now()
	s, why := g.current(now, false)
	if why != caller.None {
		return nil, why
	}
	if p.Valid(s.credentials.Version(), now) {
		return p, caller.None
	}
	return s.credentials.Reauthenticate(now, p)
}

// RecordWithdrawn tells the audit that a caller's connection ends.
func (g *Authenticator) RecordWithdrawn(from string, p *caller.Identity, why caller.Reason) {
	g.recordVerdict("withdrawn", why, p, Event{From: from})
}

// Authorize says whether a caller may make a request of a class on a key of its own, now. Of one that is over a rate it says after how
// many ms there is room.
func (g *Authenticator) Authorize(from string, p *caller.Identity, class, key string, access caller.Access) (again float64, why caller.Reason) {
	now := g.now()
	rule, ok := p.Rights.Allows(now, class, key, access)
	e := Event{From: from, Class: class}
	if rule >= 0 {
		e.Rule = p.Rights.Rules()[rule].Line
	}
	if !ok {
		g.recordVerdict("refused", caller.NoRight, p, e)
		return 0, caller.NoRight
	}
	if p.Rights.Rules()[rule].Rate > 0 {
		g.ratesMu.Lock()
		again, ok = g.rates.Take(now, p.Caller, p.Rights, rule)
		g.ratesMu.Unlock()
		if !ok {
			g.recordVerdict("refused", caller.OverRate, p, e)
			return again, caller.OverRate
		}
	}
	return 0, caller.None
}

// RecordRefused tells the audit of a request that was not taken for another reason.
func (g *Authenticator) RecordRefused(from string, p *caller.Identity, why caller.Reason) {
	g.recordVerdict("refused", why, p, Event{From: from})
}

// recordVerdict books a verdict.
func (g *Authenticator) recordVerdict(what string, why caller.Reason, p *caller.Identity, e Event) {
	g.counts[why].Add(1)
	if e.What, e.Reason = what, why; p != nil {
		e.Caller, e.Tenant = p.Caller, p.Tenant.Name
		if e.Key == "" {
			e.Key = p.CredentialName
		}
	}
	g.audit.Add(e)
}

// Stats are a gate's.
type Stats struct {
	Verdicts   map[string]int64 // by reason; none = taken
	Checks     int64            // of signatures and secrets
	Remembered int              // tokens
	Addresses  int              // of callers, remembered
}

// Stats gives them.
func (g *Authenticator) Stats() Stats {
	f := Stats{Verdicts: map[string]int64{}, Checks: g.checks.Load()}
	for _, r := range caller.Reasons() {
		if n := g.counts[r].Load(); n > 0 {
			f.Verdicts[r.String()] = n
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	f.Remembered = g.cache.Size()
	f.Addresses, _ = g.limiter.Size()
	return f
}

// Run keeps the audit's counts flowing until ctx ends.
func (g *Authenticator) Run(ctx context.Context) { g.audit.reportSuppressed(ctx) }

// RemoteAddr is the text of a connection's far end.
func RemoteAddr(c net.Conn) string {
	if a := c.RemoteAddr(); a != nil {
		return a.String()
	}
	return ""
}

// CredentialsError joins what is wrong with a book's contents.
func CredentialsError(name string, faults []caller.ValidationError) error {
	if len(faults) == 0 {
		return nil
	}
	text := ""
	for i, f := range faults {
		if i > 0 {
			text += "\n"
		}
		text += name + ": " + f.Error()
	}
	return fmt.Errorf("%s", text)
}
