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
	Policy   caller.Policy
	Pepper   *Pepper // nil = secrets are not taken
	Remember int     // tokens whose check is remembered; 0 = DefaultRemember
	Share    float64 // of one core that checking may take, 0 to 1; 0 = DefaultShare
	Portion  float64 // this router's part of the service, for rates of rules; 0 = all
	Log      *slog.Logger
	Now      func() float64 // Unix ms; nil = the system's clock
}

// The usual values of Options.
const (
	DefaultRemember = 16 << 10
	DefaultShare    = 0.2
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
	book *caller.CredentialStore
	keys map[string]crypto.PublicKey
}

// Gate settles for connections who calls. Its methods may be called from any goroutine; none blocks.
type Gate struct {
	o         Options
	now       func() float64
	state     atomic.Pointer[state]
	confirmed atomic.Uint64 // when the book was last known to be in force: bits of a float64
	hash      *tokenHash    // by which tokens are remembered
	audit     *Audit
	counts    [64]atomic.Int64 // verdicts on who logs in or asks, by reason
	checks    atomic.Int64     // signatures and secrets checked

	mu     sync.Mutex // of what follows
	memory *caller.IdentityCache
	limits *caller.AuthLimiter

	ratesMu sync.Mutex
	rates   *caller.RateLimiter
}

// NewGate is a gate that takes nobody until Use has given it a book.
func NewGate(o Options) *Gate {
	if o.Remember == 0 {
		o.Remember = DefaultRemember
	}
	if o.Share == 0 {
		o.Share = DefaultShare
	}
	if o.Portion == 0 {
		o.Portion = 1
	}
	if o.Now == nil {
		o.Now = func() float64 { return float64(time.Now().UnixMicro()) / 1000 }
	}
	if o.Log == nil {
		o.Log = slog.Default()
	}
	g := &Gate{o: o, now: o.Now, audit: NewAudit(o.Log, o.Now), memory: caller.NewIdentityCache(o.Remember), limits: caller.NewAuthLimiter(o.Share),
		rates: caller.NewRateLimiter(o.Portion), hash: newTokenHash()}
	return g
}

// Use brings a book into force: for new callers at once, and for those that are known at their next request. An error names a key
// that can't be used; the old book stays then.
func (g *Gate) Use(b *caller.CredentialStore) error {
	s := &state{book: b, keys: map[string]crypto.PublicKey{}}
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
func (g *Gate) Confirm(at float64) {
	for {
		old := g.confirmed.Load()
		if math.Float64frombits(old) >= at || g.confirmed.CompareAndSwap(old, math.Float64bits(at)) {
			return
		}
	}
}

// Book is the one in force, nil before the first.
func (g *Gate) Book() *caller.CredentialStore {
	if s := g.state.Load(); s != nil {
		return s.book
	}
	return nil
}

// current is the book in force, if it is to be believed by callers that are new, or by all.
func (g *Gate) current(now float64, isNew bool) (*state, caller.Reason) {
	s := g.state.Load()
	if s == nil {
		return nil, caller.StaleKeys
	}
	forNew, forAll := s.book.Stale(math.Float64frombits(g.confirmed.Load()), now)
	if forAll || isNew && forNew {
		return nil, caller.StaleKeys
	}
	return s, caller.None
}

// Token settles who shows a token, from an address.
func (g *Gate) Token(from, text string) (*caller.Identity, caller.Reason) {
	p, why := g.token(from, text)
	g.seen("login", why, p, Event{From: from})
	return p, why
}

// Once is Token for a single request: there is no login for the audit, but a refusal is one.
func (g *Gate) Once(from, text string) (*caller.Identity, caller.Reason) {
	p, why := g.token(from, text)
	if why != caller.None {
		g.seen("login", why, nil, Event{From: from})
	} else {
		g.counts[caller.None].Add(1)
	}
	return p, why
}

func (g *Gate) token(from, text string) (*caller.Identity, caller.Reason) {
	now := g.now()
	if len(text) > MaxToken {
		return nil, caller.TooLong
	}
	hash := g.hash.sum(text)
	g.mu.Lock()
	p := g.memory.Get(hash)
	g.mu.Unlock()
	if p != nil { // the signature was checked; all else is judged again if anything has changed
		s, why := g.current(now, false)
		if why != caller.None {
			return nil, why
		}
		if p.Valid(s.book.Version(), now) {
			return p, caller.None
		}
		if p, why = s.book.Reauthenticate(now, p); why == caller.None {
			g.remember(hash, p)
			return p, caller.None
		}
		g.mu.Lock()
		g.memory.Remove(hash)
		g.mu.Unlock()
		if why != caller.NoTenant { // the tenant may be another one of its name: then the token is a new caller's
			return nil, why
		}
	}
	p, why := g.fresh(now, from, text)
	if why == caller.None {
		g.remember(hash, p)
	}
	return p, why
}

func (g *Gate) remember(hash [32]byte, p *caller.Identity) {
	g.mu.Lock()
	g.memory.Put(hash, p)
	g.mu.Unlock()
}

// fresh checks a token that is not remembered, if the budget of such checks has room.
func (g *Gate) fresh(now float64, from, text string) (*caller.Identity, caller.Reason) {
	s, why := g.current(now, true)
	if why != caller.None {
		return nil, why
	}
	origin := originOf(from)
	if !g.may(now, origin, "", costSecret) { // reading it is work too
		return nil, caller.Throttled
	}
	t, why := readToken(text)
	if why != caller.None {
		g.was(now, origin, "", true)
		return nil, why
	}
	k := s.book.Key(t.kid)
	if k == nil || s.keys[t.kid] == nil {
		g.was(now, origin, "", true)
		return nil, caller.UnknownKey
	}
	if why := s.book.CheckKeyState(k, now); why != caller.None { // before the work
		return nil, why
	}
	cost := costEdDSA
	if k.Algorithm == caller.ES256 {
		cost = costES256
	}
	if !g.may(now, origin, k.ID, cost) {
		return nil, caller.Throttled
	}
	g.checks.Add(1)
	c, why := t.check(k, s.keys[t.kid])
	g.was(now, origin, k.ID, why != caller.None)
	if why != caller.None {
		return nil, why
	}
	return s.book.AuthenticateToken(now, c)
}

func (g *Gate) may(now float64, origin, key string, cost float64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limits.Allow(now, origin, key, cost)
}

func (g *Gate) was(now float64, origin, key string, wrong bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits.RecordResult(now, origin, key, wrong)
}

// originOf is the address by which floods are told apart: without the port, and of IPv6 the network of 64 bits that one caller has.
func originOf(from string) string {
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

// Secret settles who shows a key's secret.
func (g *Gate) Secret(from, id string, secret []byte) (*caller.Identity, caller.Reason) {
	p, why := g.secret(from, id, secret)
	g.seen("login", why, p, Event{From: from, Key: id})
	return p, why
}

func (g *Gate) secret(from, id string, secret []byte) (*caller.Identity, caller.Reason) {
	now := g.now()
	s, why := g.current(now, true)
	switch {
	case why != caller.None:
		return nil, why
	case len(secret) > maxSecret || len(id) > caller.MaxTextBytes:
		return nil, caller.TooLong
	case g.o.Pepper == nil:
		return nil, caller.UnknownKey
	}
	origin := originOf(from)
	if !g.may(now, origin, id, costSecret) {
		return nil, caller.Throttled
	}
	g.checks.Add(1)
	// The book compares hashes under a key that nobody outside knows, so how far they agree tells nobody anything of the secret.
	p, why := s.book.AuthenticateSecret(now, id, g.o.Pepper.Hash(id, secret))
	g.was(now, origin, id, why == caller.BadSignature || why == caller.UnknownKey)
	return p, why
}

// Certificate settles who has shown a client certificate on a link whose handshake is over. Without one there is no caller.
func (g *Gate) Certificate(from string, link *tls.ConnectionState) (*caller.Identity, caller.Reason) {
	if link == nil || len(link.PeerCertificates) == 0 || len(link.VerifiedChains) == 0 {
		return nil, caller.NoCaller
	}
	now := g.now()
	s, why := g.current(now, true)
	var p *caller.Identity
	if why == caller.None {
		for _, chain := range link.VerifiedChains { // one whose end is still in the bundle will do
			if p, why = s.book.AuthenticateCertificate(now, describe(chain)); why != caller.KeyRevoked {
				break
			}
		}
	}
	g.seen("login", why, p, Event{From: from, Key: "sha256:" + fingerprint(link.PeerCertificates[0])})
	return p, why
}

// describe gives what the book needs of a chain. It holds no longer than any certificate of it.
func describe(chain []*x509.Certificate) caller.Certificate {
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

// Check gives the pass by which a caller goes on: the same while it holds, another where the book or the time has changed and it is
// still good, or why not.
func (g *Gate) Check(p *caller.Identity) (*caller.Identity, caller.Reason) {
	now := g.now()
	s, why := g.current(now, false)
	if why != caller.None {
		return nil, why
	}
	if p.Valid(s.book.Version(), now) {
		return p, caller.None
	}
	return s.book.Reauthenticate(now, p)
}

// Withdrawn tells the audit that a caller's connection ends.
func (g *Gate) Withdrawn(from string, p *caller.Identity, why caller.Reason) {
	g.seen("withdrawn", why, p, Event{From: from})
}

// Allow says whether a caller may make a request of a class on a key of its own, now. Of one that is over a rate it says after how
// many ms there is room.
func (g *Gate) Allow(from string, p *caller.Identity, class, key string, access caller.Access) (again float64, why caller.Reason) {
	now := g.now()
	rule, ok := p.Rights.Allows(now, class, key, access)
	e := Event{From: from, Class: class}
	if rule >= 0 {
		e.Rule = p.Rights.Rules()[rule].Line
	}
	if !ok {
		g.seen("refused", caller.NoRight, p, e)
		return 0, caller.NoRight
	}
	if p.Rights.Rules()[rule].Rate > 0 {
		g.ratesMu.Lock()
		again, ok = g.rates.Take(now, p.Caller, p.Rights, rule)
		g.ratesMu.Unlock()
		if !ok {
			g.seen("refused", caller.OverRate, p, e)
			return again, caller.OverRate
		}
	}
	return 0, caller.None
}

// Refused tells the audit of a request that was not taken for another reason.
func (g *Gate) Refused(from string, p *caller.Identity, why caller.Reason) {
	g.seen("refused", why, p, Event{From: from})
}

// seen books a verdict.
func (g *Gate) seen(what string, why caller.Reason, p *caller.Identity, e Event) {
	g.counts[why].Add(1)
	if e.What, e.Reason = what, why; p != nil {
		e.Caller, e.Tenant = p.Caller, p.Tenant.Name
		if e.Key == "" {
			e.Key = p.CredentialName
		}
	}
	g.audit.Add(e)
}

// Figures are a gate's.
type Figures struct {
	Verdicts   map[string]int64 // by reason; none = taken
	Checks     int64            // of signatures and secrets
	Remembered int              // tokens
	Addresses  int              // of callers, remembered
}

// Figures gives them.
func (g *Gate) Figures() Figures {
	f := Figures{Verdicts: map[string]int64{}, Checks: g.checks.Load()}
	for _, r := range caller.Reasons() {
		if n := g.counts[r].Load(); n > 0 {
			f.Verdicts[r.String()] = n
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	f.Remembered = g.memory.Size()
	f.Addresses, _ = g.limits.Size()
	return f
}

// Run keeps the audit's counts flowing until ctx ends.
func (g *Gate) Run(ctx context.Context) { g.audit.flush(ctx) }

// From is the text of a connection's far end.
func From(c net.Conn) string {
	if a := c.RemoteAddr(); a != nil {
		return a.String()
	}
	return ""
}

// BookError joins what is wrong with a book's contents.
func BookError(name string, faults []caller.ValidationError) error {
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
