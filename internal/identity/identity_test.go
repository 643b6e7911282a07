package identity_test

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-jose/go-jose/v4/jwt"

	"mossproxy.example/mossproxy/internal/identity"
	"mossproxy.example/mossproxy/internal/identity/identitytest"
	"mossproxy.example/mossproxy/internal/pure/caller"
)

// house is a gate with a key of each algorithm and one caller.
type house struct {
	gate   *identity.Authenticator
	log    *bytes.Buffer
	ed, es *identitytest.Signer
	pepper identity.Pepper
	epoch  uint64
}

func newHouse(t testing.TB, now func() float64) *house {
	t.Helper()
	h := &house{log: &bytes.Buffer{}, ed: identitytest.NewSigner(t, "ed", "i", caller.EdDSA), es: identitytest.NewSigner(t, "es", "i", caller.ES256), pepper: identity.Pepper{1}}
	h.gate = identity.NewAuthenticator(identity.Options{Pepper: &h.pepper, Log: slog.New(slog.NewTextHandler(h.log, nil)), Now: now})
	h.use(t, caller.Lifecycle{Active: 1})
	return h
}

// use brings a book into force in which the keys have a life.
func (h *house) use(t testing.TB, l caller.Lifecycle) {
	t.Helper()
	h.epoch++
	b, faults := caller.NewCredentialStore(caller.Contents{Version: h.epoch, Policy: caller.Policy{Audiences: []string{"r"}, Longest: 4000e3}, Tenants: []caller.Tenant{{Name: "t"}},
		Principals: []caller.Principal{{Name: "c", Tenant: "t", Subjects: []caller.Subject{{Issuer: "i", Name: "s"}}}},
		Keys:       []caller.Key{h.ed.KeyWithLifecycle(l), h.es.KeyWithLifecycle(l), {ID: "x", Algorithm: caller.Secret, Caller: "c", Digest: h.pepper.Hash("x", []byte("geheim")), Lifecycle: l}}})
	if faults != nil {
		t.Fatal(faults)
	}
	if err := h.gate.SetCredentials(b); err != nil {
		t.Fatal(err)
	}
}

func enc(s string) string { return base64.RawURLEncoding.EncodeToString([]byte(s)) }

// Tokens that are forged, confused or broken are refused, each for its reason, and the audit has the reason but neither token nor secret.
func TestForgedTokens(t *testing.T) {
	h := newHouse(t, nil)
	good := h.ed.Token(t, "s", "r")
	parts := strings.Split(good, ".")
	claims, err := base64.RawURLEncoding.DecodeString(parts[1])
	if err != nil {
		t.Fatal(err)
	}
	// Signed with HMAC by the bytes of the public key, which everybody has.
	confused := enc(`{"alg":"HS256","kid":"ed"}`) + "." + enc(string(claims))
	mac := hmac.New(sha256.New, h.ed.Key.PublicDER)
	mac.Write([]byte(confused))
	confused += "." + base64.RawURLEncoding.EncodeToString(mac.Sum(nil))
	other := identitytest.NewSigner(t, "ed", "i", caller.EdDSA)
	asES := identitytest.NewSigner(t, "ed", "i", caller.ES256)
	nobody := identitytest.NewSigner(t, "zz", "i", caller.EdDSA)
	for name, c := range map[string]struct {
		token string
		want  caller.Reason
	}{
		"good":                     {good, caller.None},
		"good, ES256":              {h.es.Token(t, "s", "r"), caller.None},
		"alg none":                 {enc(`{"alg":"none","kid":"ed"}`) + "." + parts[1] + ".", caller.BadAlgorithm},
		"HMAC by the public key":   {confused, caller.BadAlgorithm},
		"the algorithm of another": {asES.Token(t, "s", "r"), caller.BadAlgorithm},
		"another key of its id":    {other.Token(t, "s", "r"), caller.BadSignature},
		"claims of another":        {parts[0] + "." + enc(strings.Replace(string(claims), `"s"`, `"z"`, 1)) + "." + parts[2], caller.BadSignature},
		"cut":                      {good[:len(good)-10], caller.BadSignature},
		"no signature":             {parts[0] + "." + parts[1] + ".", caller.BadSignature},
		"unknown key":              {nobody.Token(t, "s", "r"), caller.UnknownKey},
		"a secret's id":            {enc(`{"alg":"EdDSA","kid":"x"}`) + "." + parts[1] + "." + parts[2], caller.UnknownKey},
		"no kid":                   {enc(`{"alg":"EdDSA"}`) + "." + parts[1] + "." + parts[2], caller.UnknownKey},
		"critical header":          {enc(`{"alg":"EdDSA","kid":"ed","crit":["b64"],"b64":false}`) + "." + parts[1] + "." + parts[2], caller.BadSignature},
		"too long":                 {good + strings.Repeat("A", identity.MaxTokenBytes), caller.TooLong},
		"no token":                 {"x", caller.Malformed},
		"empty":                    {"", caller.Malformed},
		"lives too long":           {h.ed.Sign(t, h.ed.Claims("s", "r", time.Now(), 4001*time.Second)), caller.TooLong},
		"another audience":         {h.ed.Token(t, "s", "x"), caller.WrongAudience},
		"another issuer":           {h.ed.Sign(t, jwt.Claims{Issuer: "j", Subject: "s", Audience: jwt.Audience{"r"}, IssuedAt: jwt.NewNumericDate(time.Now()), Expiry: jwt.NewNumericDate(time.Now().Add(time.Hour))}), caller.WrongIssuer},
		"nobody's subject":         {h.ed.Token(t, "z", "r"), caller.NoTenant},
		"expired":                  {h.ed.Sign(t, h.ed.Claims("s", "r", time.Now().Add(-time.Hour), time.Minute)), caller.Expired},
	} {
		for range 2 { // the second time may be remembered
			if p, why := h.gate.AuthenticateToken("10.0.0."+fmt.Sprint(len(name))+":1", c.token); why != c.want || (p == nil) != (why != caller.None) {
				t.Errorf("%s: %v, want %v", name, why, c.want)
			}
		}
	}
	if _, why := h.gate.AuthenticateSecret("10.0.1.1:1", "x", []byte("geheim")); why != caller.None {
		t.Error(why)
	}
	if _, why := h.gate.AuthenticateSecret("10.0.1.1:1", "x", []byte("geheimer")); why != caller.BadSignature {
		t.Error(why)
	}
	if _, why := h.gate.AuthenticateSecret("10.0.1.1:1", "ed", []byte("geheim")); why != caller.UnknownKey {
		t.Errorf("a public key's id with a secret: %v", why)
	}
	log := h.log.String()
	for _, secret := range []string{good, parts[2], parts[1], "geheim", confused[:40]} {
		if strings.Contains(log, secret) {
			t.Errorf("the audit has %q:\n%s", secret, log)
		}
	}
	if !strings.Contains(log, "reason=bad_signature") || !strings.Contains(log, "caller=c tenant=t") {
		t.Error(log)
	}
}

// What is remembered is the check of the signature alone: the book, the time and the tenant are looked at each time.
func TestRememberedTokens(t *testing.T) {
	at := float64(time.Now().UnixMilli())
	h := newHouse(t, func() float64 { return at })
	token := h.ed.Token(t, "s", "r")
	ask := func() caller.Reason { _, why := h.gate.AuthenticateToken("127.0.0.1:1", token); return why }
	for range 10 {
		if why := ask(); why != caller.None {
			t.Fatal(why)
		}
	}
	if f := h.gate.Stats(); f.Checks != 1 || f.Remembered != 1 || f.Verdicts["none"] != 10 {
		t.Errorf("%+v", f)
	}
	h.use(t, caller.Lifecycle{Active: 1}) // another book with the same key: nothing is checked anew
	if why := ask(); why != caller.None || h.gate.Stats().Checks != 1 {
		t.Error(why, h.gate.Stats())
	}
	h.use(t, caller.Lifecycle{Active: 1, Revoked: at})
	if why := ask(); why != caller.KeyRevoked || h.gate.Stats().Remembered != 0 {
		t.Error(why)
	}
	h.use(t, caller.Lifecycle{Active: 1})
	if why := ask(); why != caller.None {
		t.Error(why)
	}
	at += 3601e3
	if why := ask(); why != caller.Expired {
		t.Error(why)
	}
}

// Under a flood of wrong tokens from the same address range and with the id of the key in use, known callers and new ones of an address
// that was right before are taken, all of them; the work on wrong ones is bounded.
func TestFloodOfWrongTokens(t *testing.T) {
	at := 1e12
	var mu sync.Mutex
	h := newHouse(t, func() float64 { mu.Lock(); defer mu.Unlock(); return at })
	tick := func(ms float64) { mu.Lock(); defer mu.Unlock(); at += ms }
	sign := func(id string) string {
		c := h.ed.Claims("s", "r", time.UnixMilli(int64(at)), time.Hour)
		c.ID = id
		return h.ed.Sign(t, c)
	}
	kept := sign("kept")
	if _, why := h.gate.AuthenticateToken("10.0.0.1:1", kept); why != caller.None {
		t.Fatal(why)
	}
	wrong := identitytest.NewSigner(t, "ed", "i", caller.EdDSA).Token(t, "s", "r")
	before := h.gate.Stats().Checks
	fresh := 0
	for i := range 5000 { // five seconds
		for j := range 4 {
			if _, why := h.gate.AuthenticateToken(fmt.Sprintf("10.9.%d.%d:1", i%200, j), fmt.Sprint(wrong[:len(wrong)-3], i%900+100)); why == caller.None {
				t.Fatal("a wrong one is taken")
			}
		}
		if _, why := h.gate.AuthenticateRequest("10.0.0.1:2", kept); why != caller.None {
			t.Fatalf("at %d ms: the known one: %v", i, why)
		}
		if i%250 == 0 {
			if _, why := h.gate.AuthenticateToken("10.0.0.1:3", sign(fmt.Sprint(i))); why != caller.None {
				t.Fatalf("at %d ms: a new one of a known address: %v", i, why)
			}
			fresh++
		}
		tick(1)
	}
	if n := h.gate.Stats().Checks - before - int64(fresh); n > 700 {
		t.Errorf("%d of 20,000 wrong ones were checked", n)
	}
	if lines := strings.Count(h.log.String(), "\n"); lines > 600 {
		t.Errorf("%d records", lines)
	}
	if !strings.Contains(h.log.String(), "left_out=") {
		t.Error("nothing says how many were left out")
	}
}

// A certificate without its key, or with another's, is never in force; the pair is taken once both are there. A file cut at any byte
// changes nothing.
func TestCertificateAndKeyTogether(t *testing.T) {
	a := identitytest.NewCA(t, "a")
	dir := t.TempDir()
	path := func(n string) string { return filepath.Join(dir, n) }
	write := func(n string, text []byte) {
		if err := os.WriteFile(path(n), text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	cert, key := a.Issue(t, time.Hour, "dns:one")
	write("cert", cert)
	write("key", key)
	write("bundle", a.PEM())
	write("tickets", []byte(strings.Repeat("A", 43)+"=\n"))
	files := identity.TLSFiles{Certificate: path("cert"), Key: path("key"), Bundle: path("bundle"), Tickets: path("tickets"), Clients: identity.ClientAuthOptional}
	l, err := identity.OpenTLS(files, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	was := l.Client()
	cert2, key2 := a.Issue(t, time.Hour, "dns:two")
	bad := func(name string) {
		t.Helper()
		if err := l.Reload(); err == nil || l.Client() != was {
			t.Fatalf("%s: %v", name, err)
		}
	}
	write("cert", cert2)
	bad("the key of another")
	for n := range cert2 {
		if n >= len(bytes.TrimRight(cert2, "\n")) {
			break
		}
		write("cert", cert2[:n])
		bad(fmt.Sprintf("cut at byte %d", n))
	}
	write("cert", cert2)
	write("key", key2[:len(key2)/2])
	bad("half a key")
	write("key", key2)
	write("tickets", []byte("AAAA\n"))
	bad("a short ticket key")
	write("tickets", []byte(strings.Repeat("A", 43)+"=\n"))
	write("bundle", []byte("none"))
	bad("no bundle")
	write("bundle", a.PEM())
	old, oldKey := a.Issue(t, -time.Minute, "dns:old")
	write("cert", old)
	write("key", oldKey)
	bad("expired")
	write("cert", cert2)
	write("key", key2)
	if err := l.Reload(); err != nil || l.Client() == was {
		t.Error(err)
	}
}

// BenchmarkVerify gives what checking a credential costs that is not remembered, and one that is.
func BenchmarkVerify(b *testing.B) {
	h := newHouse(b, nil)
	for name, s := range map[string]*identitytest.Signer{"EdDSA": h.ed, "ES256": h.es} {
		b.Run("new/"+name, func(b *testing.B) {
			b.ReportAllocs()
			// A gate of its own for each so that nothing is remembered: the book is made outside the time.
			tokens := make([]string, 256)
			for i := range tokens {
				c := s.Claims("s", "r", time.Now(), time.Hour)
				c.ID = fmt.Sprint(i)
				tokens[i] = s.Sign(b, c)
			}
			g := identity.NewAuthenticator(identity.Options{CacheSize: 1, CPUShare: 1e9, Log: slog.New(slog.DiscardHandler)})
			if err := g.SetCredentials(h.gate.Credentials()); err != nil {
				b.Fatal(err)
			}
			for i := 0; b.Loop(); i++ {
				if _, why := g.AuthenticateRequest("127.0.0.1:1", tokens[i%256]); why != caller.None {
					b.Fatal(why)
				}
			}
		})
	}
	b.Run("remembered", func(b *testing.B) {
		b.ReportAllocs()
		token := h.ed.Token(b, "s", "r")
		for b.Loop() {
			if _, why := h.gate.AuthenticateRequest("127.0.0.1:1", token); why != caller.None {
				b.Fatal(why)
			}
		}
	})
	b.Run("kept", func(b *testing.B) { // on a connection that is known: still a pass, and a right
		b.ReportAllocs()
		p, _ := h.gate.AuthenticateToken("127.0.0.1:1", h.ed.Token(b, "s", "r"))
		p.Rights = caller.Compile([]caller.Rule{{Deny: true, Prefix: "secret/", Access: caller.ReadWrite}, {Classes: []string{"read"}, Access: caller.Read}})
		for b.Loop() {
			if _, why := h.gate.Revalidate(p); why != caller.None {
				b.Fatal(why)
			}
			if _, why := h.gate.Authorize("127.0.0.1:1", p, "read", "container/123", caller.Read); why != caller.None {
				b.Fatal(why)
			}
		}
	})
}
