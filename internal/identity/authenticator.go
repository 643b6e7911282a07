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

// Options configures an Authenticator.
type Options struct {
	Policy      caller.Policy
	Pepper      *Pepper // nil = secrets are rejected
	CacheSize   int     // number of cached verified tokens; 0 = DefaultCacheSize
	CPUShare    float64 // share of one core for verification, 0 to 1; 0 = DefaultCPUShare
	RouterShare float64 // this router's share of the service-wide rate limits; 0 = all
	Log         *slog.Logger
	Now         func() float64 // Unix ms; nil = system clock
}

// Defaults of Options.
const (
	DefaultCacheSize = 16 << 10
	DefaultCPUShare  = 0.2
)

// Cost of a verification in ms of one core, rounded up from BenchmarkVerify. Rough values suffice, because
// the CPU budget only has to limit floods.
const (
	costEdDSA  = 0.10
	costES256  = 0.15
	costSecret = 0.005
)

// state is an immutable snapshot of the credentials store with its parsed public keys.
type state struct {
	credentials *caller.CredentialStore
	keys        map[string]crypto.PublicKey
}

// Authenticator authenticates and authorizes the clients of connections. Its methods are safe for concurrent
// use and do not block on I/O.
type Authenticator struct {
	opts      Options
	now       func() float64
	state     atomic.Pointer[state]
	confirmed atomic.Uint64 // when the credentials were last known to be current, in Unix ms: bits of a float64
	hasher    *tokenHasher  // hashes the cache keys of tokens
	audit     *Audit
	counts    [64]atomic.Int64 // verdicts of authentication and authorization, by reason
	checks    atomic.Int64     // signatures and secrets verified

	mu      sync.Mutex // guards cache and limiter
	cache   *caller.IdentityCache
	limiter *caller.AuthLimiter

	ratesMu sync.Mutex
	rates   *caller.RateLimiter
}

// NewAuthenticator returns an Authenticator that rejects every client until SetCredentials is called.
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
	a := &Authenticator{opts: o, now: o.Now, audit: NewAudit(o.Log, o.Now), cache: caller.NewIdentityCache(o.CacheSize), limiter: caller.NewAuthLimiter(o.CPUShare),
		rates: caller.NewRateLimiter(o.RouterShare), hasher: newTokenHasher()}
	return a
}

// SetCredentials replaces the credentials store. It applies to new clients at once and to authenticated ones
// at their next request. It returns an error and keeps the old store if a key is unusable.
func (a *Authenticator) SetCredentials(b *caller.CredentialStore) error {
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
	a.state.Store(s)
	if at := b.Issued(); at > 0 {
		a.Confirm(at)
	} else {
		a.Confirm(a.now())
	}
	return nil
}

// Confirm records that the credentials were known to be current at the given time in Unix ms. Times before
// the last confirmed one are ignored.
func (a *Authenticator) Confirm(at float64) {
	for {
		old := a.confirmed.Load()
		if math.Float64frombits(old) >= at || a.confirmed.CompareAndSwap(old, math.Float64bits(at)) {
			return
		}
	}
}

// Credentials returns the credentials store in use, nil before the first SetCredentials.
func (a *Authenticator) Credentials() *caller.CredentialStore {
	if s := a.state.Load(); s != nil {
		return s.credentials
	}
	return nil
}

// current returns the current snapshot, or StaleKeys if it is too old: for new clients if isNew, otherwise
// for all.
func (a *Authenticator) current(now float64, isNew bool) (*state, caller.Reason) {
	s := a.state.Load()
	if s == nil {
		return nil, caller.StaleKeys
	}
	forNew, forAll := s.credentials.Stale(math.Float64frombits(a.confirmed.Load()), now)
	if forAll || isNew && forNew {
		return nil, caller.StaleKeys
	}
	return s, caller.None
}

// AuthenticateToken authenticates a client by a token and logs the login or refusal.
func (a *Authenticator) AuthenticateToken(remoteAddr, text string) (*caller.Identity, caller.Reason) {
	p, reason := a.authenticateToken(remoteAddr, text)
	a.recordVerdict("login", reason, p, Event{From: remoteAddr})
	return p, reason
}

// AuthenticateRequest is AuthenticateToken for a single request: it logs refusals only.
func (a *Authenticator) AuthenticateRequest(remoteAddr, text string) (*caller.Identity, caller.Reason) {
	p, reason := a.authenticateToken(remoteAddr, text)
	if reason != caller.None {
		a.recordVerdict("login", reason, nil, Event{From: remoteAddr})
	} else {
		a.counts[caller.None].Add(1)
	}
	return p, reason
}

func (a *Authenticator) authenticateToken(remoteAddr, text string) (*caller.Identity, caller.Reason) {
	now := a.now()
	if len(text) > MaxTokenBytes {
		return nil, caller.TooLong
	}
	hash := a.hasher.sum(text)
	a.mu.Lock()
	p := a.cache.Get(hash)
	a.mu.Unlock()
	if p != nil { // the signature is verified; the rest is checked again if the credentials or the time changed
		s, reason := a.current(now, false)
		if reason != caller.None {
			return nil, reason
		}
		if p.Valid(s.credentials.Version(), now) {
			return p, caller.None
		}
		if p, reason = s.credentials.Reauthenticate(now, p); reason == caller.None {
			a.cacheIdentity(hash, p)
			return p, caller.None
		}
		a.mu.Lock()
		a.cache.Remove(hash)
		a.mu.Unlock()
		if reason != caller.NoTenant { // a recreated tenant of the same name: verify the token as new
			return nil, reason
		}
	}
	p, reason := a.verifyToken(now, remoteAddr, text)
	if reason == caller.None {
		a.cacheIdentity(hash, p)
	}
	return p, reason
}

func (a *Authenticator) cacheIdentity(hash [32]byte, p *caller.Identity) {
	a.mu.Lock()
	a.cache.Put(hash, p)
	a.mu.Unlock()
}

// verifyToken verifies a token that is not cached, within the CPU budget for verification.
func (a *Authenticator) verifyToken(now float64, remoteAddr, text string) (*caller.Identity, caller.Reason) {
	s, reason := a.current(now, true)
	if reason != caller.None {
		return nil, reason
	}
	origin := addressPrefix(remoteAddr)
	if !a.allowCheck(now, origin, "", costSecret) { // parsing costs CPU time too
		return nil, caller.Throttled
	}
	t, reason := readToken(text)
	if reason != caller.None {
		a.recordResult(now, origin, "", true)
		return nil, reason
	}
	k := s.credentials.Key(t.kid)
	if k == nil || s.keys[t.kid] == nil {
		a.recordResult(now, origin, "", true)
		return nil, caller.UnknownKey
	}
	if reason := s.credentials.CheckKeyState(k, now); reason != caller.None { // before the expensive verification
		return nil, reason
	}
	cost := costEdDSA
	if k.Algorithm == caller.ES256 {
		cost = costES256
	}
	if !a.allowCheck(now, origin, k.ID, cost) {
		return nil, caller.Throttled
	}
	a.checks.Add(1)
	c, reason := t.verify(k, s.keys[t.kid])
	a.recordResult(now, origin, k.ID, reason != caller.None)
	if reason != caller.None {
		return nil, reason
	}
	return s.credentials.AuthenticateToken(now, c)
}

func (a *Authenticator) allowCheck(now float64, origin, key string, cost float64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limiter.Allow(now, origin, key, cost)
}

func (a *Authenticator) recordResult(now float64, origin, key string, wrong bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limiter.RecordResult(now, origin, key, wrong)
}

// addressPrefix returns the key for rate limits by address: the IPv4 address without port, or the /64
// network of an IPv6 address, since one client usually controls a whole /64.
func addressPrefix(remoteAddr string) string {
	a, err := netip.ParseAddrPort(remoteAddr)
	if err != nil {
		return remoteAddr
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

// AuthenticateSecret authenticates a client by a key ID and its secret.
func (a *Authenticator) AuthenticateSecret(remoteAddr, id string, secret []byte) (*caller.Identity, caller.Reason) {
	p, reason := a.authenticateSecret(remoteAddr, id, secret)
	a.recordVerdict("login", reason, p, Event{From: remoteAddr, Key: id})
	return p, reason
}

func (a *Authenticator) authenticateSecret(remoteAddr, id string, secret []byte) (*caller.Identity, caller.Reason) {
	now := a.now()
	s, reason := a.current(now, true)
	switch {
	case reason != caller.None:
		return nil, reason
	case len(secret) > maxSecretBytes || len(id) > caller.MaxTextBytes:
		return nil, caller.TooLong
	case a.opts.Pepper == nil:
		return nil, caller.UnknownKey
	}
	origin := addressPrefix(remoteAddr)
	if !a.allowCheck(now, origin, id, costSecret) {
		return nil, caller.Throttled
	}
	a.checks.Add(1)
	// Comparing the hashes need not take constant time: they are keyed by the pepper, so timing reveals
	// nothing about the secret.
	p, reason := s.credentials.AuthenticateSecret(now, id, a.opts.Pepper.Hash(id, secret))
	a.recordResult(now, origin, id, reason == caller.BadSignature || reason == caller.UnknownKey)
	return p, reason
}

// AuthenticateCertificate authenticates a client by the verified certificate of a completed handshake. It
// returns NoCaller if there is none.
func (a *Authenticator) AuthenticateCertificate(remoteAddr string, conn *tls.ConnectionState) (*caller.Identity, caller.Reason) {
	if conn == nil || len(conn.PeerCertificates) == 0 || len(conn.VerifiedChains) == 0 {
		return nil, caller.NoCaller
	}
	now := a.now()
	s, reason := a.current(now, true)
	var p *caller.Identity
	if reason == caller.None {
		for _, chain := range conn.VerifiedChains { // one chain whose root is still in the bundle suffices
			if p, reason = s.credentials.AuthenticateCertificate(now, describeChain(chain)); reason != caller.KeyRevoked {
				break
			}
		}
	}
	a.recordVerdict("login", reason, p, Event{From: remoteAddr, Key: "sha256:" + fingerprint(conn.PeerCertificates[0])})
	return p, reason
}

// describeChain converts a chain for the credentials store. The result is valid only while all certificates
// of the chain are.
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

// Revalidate returns p while it is valid, a renewed identity if the credentials or the time changed and the
// client is still accepted, or the reason why it is not.
func (a *Authenticator) Revalidate(p *caller.Identity) (*caller.Identity, caller.Reason) {
	now := a.now()
	s, reason := a.current(now, false)
	if reason != caller.None {
		return nil, reason
	}
	if p.Valid(s.credentials.Version(), now) {
		return p, caller.None
	}
	return s.credentials.Reauthenticate(now, p)
}

// RecordWithdrawn logs that a client's connection is closed because its access was withdrawn.
func (a *Authenticator) RecordWithdrawn(remoteAddr string, p *caller.Identity, reason caller.Reason) {
	a.recordVerdict("withdrawn", reason, p, Event{From: remoteAddr})
}

// Authorize decides whether a client may make a request of a class for a key. For OverRate,
// retryAfter is the time in ms after which a retry can succeed.
func (a *Authenticator) Authorize(remoteAddr string, p *caller.Identity, class, key string, access caller.Access) (retryAfter float64, reason caller.Reason) {
	now := a.now()
	rule, ok := p.Rights.Allows(now, class, key, access)
	e := Event{From: remoteAddr, Class: class}
	if rule >= 0 {
		e.Rule = p.Rights.Rules()[rule].Line
	}
	if !ok {
		a.recordVerdict("refused", caller.NoRight, p, e)
		return 0, caller.NoRight
	}
	if p.Rights.Rules()[rule].Rate > 0 {
		a.ratesMu.Lock()
		retryAfter, ok = a.rates.Take(now, p.Caller, p.Rights, rule)
		a.ratesMu.Unlock()
		if !ok {
			a.recordVerdict("refused", caller.OverRate, p, e)
			return retryAfter, caller.OverRate
		}
	}
	return 0, caller.None
}

// RecordRefused logs a request that was refused for any other reason.
func (a *Authenticator) RecordRefused(remoteAddr string, p *caller.Identity, reason caller.Reason) {
	a.recordVerdict("refused", reason, p, Event{From: remoteAddr})
}

// recordVerdict counts a verdict and adds it to the audit log.
func (a *Authenticator) recordVerdict(what string, reason caller.Reason, p *caller.Identity, e Event) {
	a.counts[reason].Add(1)
	if e.What, e.Reason = what, reason; p != nil {
		e.Caller, e.Tenant = p.Caller, p.Tenant.Name
		if e.Key == "" {
			e.Key = p.CredentialName
		}
	}
	a.audit.Add(e)
}

// Stats holds the counters of an Authenticator.
type Stats struct {
	Verdicts   map[string]int64 // by reason; none = accepted
	Checks     int64            // signatures and secrets verified
	Remembered int              // cached tokens
	Addresses  int              // client addresses tracked by the limiter
}

// Stats returns the current counters.
func (a *Authenticator) Stats() Stats {
	f := Stats{Verdicts: map[string]int64{}, Checks: a.checks.Load()}
	for _, r := range caller.Reasons() {
		if n := a.counts[r].Load(); n > 0 {
			f.Verdicts[r.String()] = n
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	f.Remembered = a.cache.Size()
	f.Addresses, _ = a.limiter.Size()
	return f
}

// Run logs the counts of suppressed audit records until ctx ends.
func (a *Authenticator) Run(ctx context.Context) { a.audit.reportSuppressed(ctx) }

// RemoteAddr returns the remote address of c, or "" if it has none.
func RemoteAddr(c net.Conn) string {
	if a := c.RemoteAddr(); a != nil {
		return a.String()
	}
	return ""
}

// CredentialsError joins the validation errors of a credentials store, one a line; nil if there are none.
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
