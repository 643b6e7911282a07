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

// fixture is an Authenticator with a key of each algorithm and one client.
type fixture struct {
	auth   *identity.Authenticator
	log    *bytes.Buffer
	ed, es *identitytest.Signer
	pepper identity.Pepper
	epoch  uint64
}

func newFixture(t testing.TB, now func() float64) *fixture {
	t.Helper()
	h := &fixture{log: &bytes.Buffer{}, ed: identitytest.NewSigner(t, "ed", "i", caller.EdDSA), es: identitytest.NewSigner(t, "es", "i", caller.ES256), pepper: identity.Pepper{1}}
	h.auth = identity.NewAuthenticator(identity.Options{Pepper: &h.pepper, Log: slog.New(slog.NewTextHandler(h.log, nil)), Now: now})
	h.setLifecycle(t, caller.Lifecycle{Active: 1})
	return h
}

// setLifecycle installs a new credentials store whose keys have the given lifecycle.
func (h *fixture) setLifecycle(t testing.TB, l caller.Lifecycle) {
	t.Helper()
	h.epoch++
	b, faults := caller.NewCredentialStore(caller.Contents{Version: h.epoch, Policy: caller.Policy{Audiences: []string{"r"}, Longest: 4000e3}, Tenants: []caller.Tenant{{Name: "t"}},
		Principals: []caller.Principal{{Name: "c", Tenant: "t", Subjects: []caller.Subject{{Issuer: "i", Name: "s"}}}},
		Keys:       []caller.Key{h.ed.KeyWithLifecycle(l), h.es.KeyWithLifecycle(l), {ID: "x", Algorithm: caller.Secret, Caller: "c", Digest: h.pepper.Hash("x", []byte("geheim")), Lifecycle: l}}})
	if faults != nil {
		t.Fatal(faults)
	}
	if err := h.auth.SetCredentials(b); err != nil {
		t.Fatal(err)
	}
}

func enc(s string) string { return base64.RawURLEncoding.EncodeToString([]byte(s)) }

// Forged, confused or malformed tokens are refused with the right reason. The audit log contains the reason,
// but neither token nor secret.
func TestForgedTokens(t *testing.T) {
	h := newFixture(t, nil)
	good := h.ed.Token(t, "s", "r")
	parts := strings.Split(good, ".")
	claims, err := base64.RawURLEncoding.DecodeString(parts[1])
	if err != nil {
		t.Fatal(err)
	}
	// Algorithm confusion: signed by HMAC with the public key as its secret.
	confused := enc(`{"alg":"HS256","kid":"ed"}`) + "." + enc(string(claims))
	mac := hmac.New(sha256.New, h.ed.Key.PublicDER)
	mac.Write([]byte(confused))
	confused += "." + base64.RawURLEncoding.EncodeToString(mac.Sum(nil))
	other := identitytest.NewSigner(t, "ed", "i", caller.EdDSA)
	asES := identitytest.NewSigner(t, "ed", "i", caller.ES256)
	unknown := identitytest.NewSigner(t, "zz", "i", caller.EdDSA)
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
		"unknown key":              {unknown.Token(t, "s", "r"), caller.UnknownKey},
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
		for range 2 { // the second attempt may use the cache
			if p, reason := h.auth.AuthenticateToken("10.0.0."+fmt.Sprint(len(name))+":1", c.token); reason != c.want || (p == nil) != (reason != caller.None) {
				t.Errorf("%s: %v, want %v", name, reason, c.want)
			}
		}
	}
	if _, reason := h.auth.AuthenticateSecret("10.0.1.1:1", "x", []byte("geheim")); reason != caller.None {
		t.Error(reason)
	}
	if _, reason := h.auth.AuthenticateSecret("10.0.1.1:1", "x", []byte("geheimer")); reason != caller.BadSignature {
		t.Error(reason)
	}
	if _, reason := h.auth.AuthenticateSecret("10.0.1.1:1", "ed", []byte("geheim")); reason != caller.UnknownKey {
		t.Errorf("ID of a public key with a secret: %v", reason)
	}
	log := h.log.String()
	for _, secret := range []string{good, parts[2], parts[1], "geheim", confused[:40]} {
		if strings.Contains(log, secret) {
			t.Errorf("the audit log contains %q:\n%s", secret, log)
		}
	}
	if !strings.Contains(log, "reason=bad_signature") || !strings.Contains(log, "caller=c tenant=t") {
		t.Error(log)
	}
}

// The cache covers the signature check only: credentials, expiry and tenant are checked on each use.
func TestRememberedTokens(t *testing.T) {
	at := float64(time.Now().UnixMilli())
	h := newFixture(t, func() float64 { return at })
	token := h.ed.Token(t, "s", "r")
	authenticate := func() caller.Reason { _, reason := h.auth.AuthenticateToken("127.0.0.1:1", token); return reason }
	for range 10 {
		if reason := authenticate(); reason != caller.None {
			t.Fatal(reason)
		}
	}
	if f := h.auth.Stats(); f.Checks != 1 || f.Remembered != 1 || f.Verdicts["none"] != 10 {
		t.Errorf("%+v", f)
	}
	h.setLifecycle(t, caller.Lifecycle{Active: 1}) // another store with the same key: no new signature check
	if reason := authenticate(); reason != caller.None || h.auth.Stats().Checks != 1 {
		t.Error(reason, h.auth.Stats())
	}
	h.setLifecycle(t, caller.Lifecycle{Active: 1, Revoked: at})
	if reason := authenticate(); reason != caller.KeyRevoked || h.auth.Stats().Remembered != 0 {
		t.Error(reason)
	}
	h.setLifecycle(t, caller.Lifecycle{Active: 1})
	if reason := authenticate(); reason != caller.None {
		t.Error(reason)
	}
	at += 3601e3
	if reason := authenticate(); reason != caller.Expired {
		t.Error(reason)
	}
}

// A flood of invalid tokens from the same address range and with the ID of a key in use does not lock out
// cached tokens, nor new tokens from an address that authenticated before; the work on invalid tokens is
// limited.
func TestFloodOfWrongTokens(t *testing.T) {
	at := 1e12
	var mu sync.Mutex
	h := newFixture(t, func() float64 { mu.Lock(); defer mu.Unlock(); return at })
	advance := func(ms float64) { mu.Lock(); defer mu.Unlock(); at += ms }
	sign := func(id string) string {
		c := h.ed.Claims("s", "r", time.UnixMilli(int64(at)), time.Hour)
		c.ID = id
		return h.ed.Sign(t, c)
	}
	cachedToken := sign("kept")
	if _, reason := h.auth.AuthenticateToken("10.0.0.1:1", cachedToken); reason != caller.None {
		t.Fatal(reason)
	}
	wrong := identitytest.NewSigner(t, "ed", "i", caller.EdDSA).Token(t, "s", "r")
	before := h.auth.Stats().Checks
	newTokens := 0
	for i := range 5000 { // 5000 ms
		for j := range 4 {
			if _, reason := h.auth.AuthenticateToken(fmt.Sprintf("10.9.%d.%d:1", i%200, j), fmt.Sprint(wrong[:len(wrong)-3], i%900+100)); reason == caller.None {
				t.Fatal("an invalid token was accepted")
			}
		}
		if _, reason := h.auth.AuthenticateRequest("10.0.0.1:2", cachedToken); reason != caller.None {
			t.Fatalf("at %d ms: cached token: %v", i, reason)
		}
		if i%250 == 0 {
			if _, reason := h.auth.AuthenticateToken("10.0.0.1:3", sign(fmt.Sprint(i))); reason != caller.None {
				t.Fatalf("at %d ms: new token from a known address: %v", i, reason)
			}
			newTokens++
		}
		advance(1)
	}
	if n := h.auth.Stats().Checks - before - int64(newTokens); n > 700 {
		t.Errorf("%d of 20,000 invalid tokens were verified", n)
	}
	if lines := strings.Count(h.log.String(), "\n"); lines > 600 {
		t.Errorf("%d audit records", lines)
	}
	if !strings.Contains(h.log.String(), "left_out=") {
		t.Error("no record counts the suppressed records")
	}
}

// A certificate without its matching key never comes into use; once both files match, the pair does. A
// certificate file truncated at any byte changes nothing.
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
	current := l.Client()
	cert2, key2 := a.Issue(t, time.Hour, "dns:two")
	mustReject := func(name string) {
		t.Helper()
		if err := l.Reload(); err == nil || l.Client() != current {
			t.Fatalf("%s: %v", name, err)
		}
	}
	write("cert", cert2)
	mustReject("the key of another")
	for n := range cert2 {
		if n >= len(bytes.TrimRight(cert2, "\n")) {
			break
		}
		write("cert", cert2[:n])
		mustReject(fmt.Sprintf("cut at byte %d", n))
	}
	write("cert", cert2)
	write("key", key2[:len(key2)/2])
	mustReject("half a key")
	write("key", key2)
	write("tickets", []byte("AAAA\n"))
	mustReject("a short ticket key")
	write("tickets", []byte(strings.Repeat("A", 43)+"=\n"))
	write("bundle", []byte("none"))
	mustReject("no bundle")
	write("bundle", a.PEM())
	old, oldKey := a.Issue(t, -time.Minute, "dns:old")
	write("cert", old)
	write("key", oldKey)
	mustReject("expired")
	write("cert", cert2)
	write("key", key2)
	if err := l.Reload(); err != nil || l.Client() == current {
		t.Error(err)
	}
}

// BenchmarkVerify measures the verification of uncached and cached credentials.
func BenchmarkVerify(b *testing.B) {
	h := newFixture(b, nil)
	for name, s := range map[string]*identitytest.Signer{"EdDSA": h.ed, "ES256": h.es} {
		b.Run("new/"+name, func(b *testing.B) {
			b.ReportAllocs()
			// A separate Authenticator keeps the cache empty; its credentials are set outside the measured
			// time.
			tokens := make([]string, 256)
			for i := range tokens {
				c := s.Claims("s", "r", time.Now(), time.Hour)
				c.ID = fmt.Sprint(i)
				tokens[i] = s.Sign(b, c)
			}
			a := identity.NewAuthenticator(identity.Options{CacheSize: 1, CPUShare: 1e9, Log: slog.New(slog.DiscardHandler)})
			if err := a.SetCredentials(h.auth.Credentials()); err != nil {
				b.Fatal(err)
			}
			for i := 0; b.Loop(); i++ {
				if _, reason := a.AuthenticateRequest("127.0.0.1:1", tokens[i%256]); reason != caller.None {
					b.Fatal(reason)
				}
			}
		})
	}
	b.Run("remembered", func(b *testing.B) {
		b.ReportAllocs()
		token := h.ed.Token(b, "s", "r")
		for b.Loop() {
			if _, reason := h.auth.AuthenticateRequest("127.0.0.1:1", token); reason != caller.None {
				b.Fatal(reason)
			}
		}
	})
	b.Run("kept", func(b *testing.B) { // an authenticated connection: revalidation and authorization
		b.ReportAllocs()
		p, _ := h.auth.AuthenticateToken("127.0.0.1:1", h.ed.Token(b, "s", "r"))
		p.Rights = caller.Compile([]caller.Rule{{Deny: true, Prefix: "secret/", Access: caller.ReadWrite}, {Classes: []string{"read"}, Access: caller.Read}})
		for b.Loop() {
			if _, reason := h.auth.Revalidate(p); reason != caller.None {
				b.Fatal(reason)
			}
			if _, reason := h.auth.Authorize("127.0.0.1:1", p, "read", "container/123", caller.Read); reason != caller.None {
				b.Fatal(reason)
			}
		}
	})
}
