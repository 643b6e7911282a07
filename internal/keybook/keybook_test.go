package keybook

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"mossproxy.example/mossproxy/internal/identity"
	"mossproxy.example/mossproxy/internal/identity/identitytest"
	"mossproxy.example/mossproxy/internal/pure/caller"
	"mossproxy.example/mossproxy/internal/pure/tenant"
	"mossproxy.example/mossproxy/internal/standin/disk"
	"mossproxy.example/mossproxy/internal/standin/standintest"
	"mossproxy.example/mossproxy/internal/store"
)

const bookText = `version = 4
issued = 2026-12-01T12:00:00Z
[[tenant]]
name = "acme"
generation = 2
[[caller]]
name = "acme-d"
tenant = "acme"
roles = ["all"]
subjects = ["iss sub"]
certificates = ["uri:spiffe://x/y"]
[[key]]
id = "s"
caller = "acme-d"
secret_hash = "HASH"
active = 2026-12-01T12:00:00.5Z
[end]
`

var validFile = strings.Replace(bookText, "HASH", strings.Repeat("ab", 32), 1)

func TestFileThereAndBack(t *testing.T) {
	b, err := Parse("b", []byte(validFile))
	if err != nil {
		t.Fatal(err)
	}
	s := identitytest.NewSigner(t, "k", "iss", caller.ES256)
	b.Keys = append(b.Keys, s.KeyWithLifecycle(caller.Lifecycle{Active: 1000, Revoked: 5e11}))
	text, err := b.Encode()
	if err != nil {
		t.Fatal(err)
	}
	again, err := Parse("b", text)
	if err != nil || !reflect.DeepEqual(b, again) {
		t.Errorf("%v:\n%s\n%+v\n%+v", err, text, b, again)
	}
	if b.Keys[0].Lifecycle.Active != 1796126400500 || b.Tenants[0].Generation != 2 {
		t.Errorf("%+v", b)
	}
}

func TestFaultsOfAFile(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`secret_hash = "ab`, `secret_hash = "zz`, "b:15: key[0].secret_hash: not the 64 hex digits"},
		{"iss sub", "iss", `caller[0].subjects: "iss" is not a valid subject`},
		{"generation", "generatoin", "b:5: tenant.generatoin: no such key"},
		{`id = "s"`, "id = \"s\"\njwk = '{\"kty\":\"oct\",\"k\":\"AA\",\"kid\":\"s\"}'", "excludes secret_hash"},
		{"[end]", "", "the last line is missing"},
	} {
		if _, err := Parse("b", []byte(strings.Replace(validFile, c.old, c.new, 1))); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", c.new, err, c.want)
		}
	}
	if _, err := Parse("b", make([]byte, MaxFileBytes+1)); err == nil || !strings.Contains(err.Error(), "over") {
		t.Error(err)
	}
}

// A JWKS with any unusable key is rejected as a whole.
func TestJWKS(t *testing.T) {
	a, b := identitytest.NewSigner(t, "a", "i", caller.EdDSA), identitytest.NewSigner(t, "b", "i", caller.ES256)
	ja, err := identity.WriteJWK(&a.Key)
	if err != nil {
		t.Fatal(err)
	}
	jb, err := identity.WriteJWK(&b.Key)
	if err != nil {
		t.Fatal(err)
	}
	set := func(keys ...string) []byte { return []byte(`{"keys":[` + strings.Join(keys, ",") + `]}`) }
	got, err := identity.ReadJWKS(set(ja, jb), "i")
	if err != nil || len(got) != 2 || !reflect.DeepEqual(got[1], b.Key) {
		t.Fatal(err, got)
	}
	for name, c := range map[string]struct {
		text []byte
		want string
	}{
		"two of one id":     {set(ja, strings.Replace(jb, `"b"`, `"a"`, 1)), `keys[1]: id "a" is there twice`},
		"unknown algorithm": {set(ja, strings.Replace(jb, "ES256", "ES999", 1)), `keys[1]: alg "ES999"`},
		"another's":         {set(strings.Replace(ja, "EdDSA", "ES256", 1)), "and the key is one of EdDSA"},
		"a shared secret":   {set(`{"kty":"oct","k":"c2VjcmV0","kid":"x","alg":"HS256"}`), "keys[0]"},
		"RSA":               {set(`{"kty":"RSA","n":"u1SU1LfVLPHCozMxH2Mo4lgOEePzNm0tRgeLezV6ffAt0gunVTLw7onLRnrq0_IzW7yWR7QkrmBL7jTKEn5u-qKhbwKfBstIs-bMY2Zkp18gnTxKLxoS2tFczGkPLPgizskuemMghRniWaoLcyehkd3qqGElvW_VDL5AaWTg0nLVkjRo9z-40RQzuVaE8AkAFmxZzow3x-VJYKdjykkJ0iT9wCS0DRTXu269V264Vf_3jvredZiKRkgwlL9xNAwxXFg0x_XFw005UWVRIkdgcKWTjpBP2dPwVZ4WWC-9aGVd-Gyn1o0CLelf4rEjGoXbAAEgAqeGUxrcIlbjXfbcmw","e":"AQAB","kid":"x"}`), "Ed25519 and ECDSA"},
		"no kid":            {set(strings.Replace(ja, `"kid":"a",`, "", 1)), "no kid"},
		"10 MB":             {bytes.Repeat([]byte(" "), 10<<20), "over 262144 bytes"},
		"none":              {set(), "0 keys"},
	} {
		if _, err := identity.ReadJWKS(c.text, "i"); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", name, err, c.want)
		}
	}
}

// rotation returns the steps of a key rotation and of tenant changes; each step is one change.
func rotation(k *Store, s, next *identitytest.Signer, now func() time.Time) []func() error {
	nowMillis := func() float64 { return float64(now().UnixMilli()) }
	setLifecycle := func(id string, set func(*caller.Lifecycle)) func() error {
		return func() error { _, err := k.SetLifecycle(0, id, "step", set); return err }
	}
	return []func() error{
		func() error { _, err := k.CreateTenant(0, "t"); return err },
		func() error {
			_, err := k.SetCaller(0, caller.Principal{Name: "c", Tenant: "t", Subjects: []caller.Subject{{Issuer: "i", Name: "s"}}})
			return err
		},
		func() error { _, err := k.AddKeys(0, s.KeyWithLifecycle(caller.Lifecycle{Active: 1})); return err },
		func() error { _, err := k.AddKeys(0, next.KeyWithLifecycle(caller.Lifecycle{})); return err },
		setLifecycle("next", func(l *caller.Lifecycle) { l.Active = nowMillis() }),
		setLifecycle("old", func(l *caller.Lifecycle) { l.Retiring = nowMillis(); l.Retired = nowMillis() + 1000 }),
		setLifecycle("old", func(l *caller.Lifecycle) { l.Revoked = nowMillis() }),
		func() error { _, err := k.DeleteTenant(0, "t"); return err },
		func() error {
			_, _, err := k.PutTenant(Tenant{Name: "u", Terms: Terms{Limits: tenant.Limits{Floor: 5}}}, 0)
			return err
		},
		func() error {
			u, err := k.Tenant("u")
			if err == nil {
				u.Limits.Floor, u.Suspended = 7, true
				_, _, err = k.PutTenant(u, u.Version)
			}
			return err
		},
		func() error {
			u, err := k.Tenant("u")
			if err == nil {
				_, err = k.RemoveTenant("u", u.Version)
			}
			return err
		},
	}
}

// Guards against partial changes after a crash. The store loses power at each disk call of a rotation;
// afterwards the credentials must be those before or after a step, with the audit records of exactly the
// completed steps, and the next step must succeed.
func TestCrashInEveryStepOfARotation(t *testing.T) {
	old, next := identitytest.NewSigner(t, "old", "i", caller.EdDSA), identitytest.NewSigner(t, "next", "i", caller.ES256)
	at := time.UnixMilli(1e12)
	now := func() time.Time { return at }
	open := func(d *disk.Disk) (*store.Store, *Store) {
		s, err := store.Open(d, store.Options{SegmentBytes: 64 << 10, NoCompact: true})
		if err != nil {
			t.Fatal(err)
		}
		return s, NewStore(s, "me", now)
	}
	// The credentials after each step.
	var want []*Credentials
	d := disk.New()
	s, k := open(d)
	load := func(k *Store) *Credentials {
		b, err := k.Load()
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	want = append(want, load(k))
	for i, step := range rotation(k, old, next, now) {
		if err := step(); err != nil {
			t.Fatalf("step %d: %v", i, err)
		}
		want = append(want, load(k))
	}
	s.Close()
	calls := len(d.Calls())
	for n := range calls {
		for name, kept := range map[string]disk.Keep{"none": disk.KeepNone, "half": disk.KeepHalf, "some": disk.KeepSome(uint64(n))} {
			d := disk.New()
			d.LosePower(n)
			acked := 0
			if s, err := store.Open(d, store.Options{SegmentBytes: 64 << 10, NoCompact: true}); err == nil {
				for _, step := range rotation(NewStore(s, "me", now), old, next, now) {
					if step() != nil {
						break
					}
					acked++
				}
				s.Close()
			}
			s, k := open(d.Restart(kept))
			b := load(k)
			at := int(b.Version)
			if at < acked || at > acked+1 || !reflect.DeepEqual(b, want[at]) {
				t.Fatalf("call %d, %s kept: after %d steps the book is %+v", n, name, acked, b)
			}
			var audit bytes.Buffer
			if err := k.Audit(&audit, 0); err != nil || bytes.Count(audit.Bytes(), []byte("\n")) != at {
				t.Fatalf("call %d, %s kept: %v, records:\n%s", n, name, err, &audit)
			}
			if at < len(want)-1 {
				if err := rotation(k, old, next, now)[at](); err != nil {
					t.Fatalf("call %d, %s kept: step %d after it: %v", n, name, at, err)
				}
			}
			s.Close()
		}
	}
	t.Logf("%d calls, %d steps", calls, len(want)-1)
}

// Rejects changes based on an old version, lifecycle transitions to an earlier state, and ids that are in
// use.
func TestChangesThatAreRefused(t *testing.T) {
	s, err := store.Open(disk.New(), store.Options{NoCompact: true})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	now := time.UnixMilli(1e12)
	k := NewStore(s, "me", func() time.Time { return now })
	signer := identitytest.NewSigner(t, "old", "i", caller.EdDSA)
	for i, step := range rotation(k, signer, identitytest.NewSigner(t, "next", "i", caller.EdDSA), k.now)[:7] {
		if err := step(); err != nil {
			t.Fatal(i, err)
		}
	}
	for name, c := range map[string]struct {
		do   func() (uint64, error)
		want error
	}{
		"an old version": {func() (uint64, error) { return k.CreateTenant(3, "x") }, ErrConflict},
		"revoked, back": {func() (uint64, error) {
			return k.SetLifecycle(0, "old", "x", func(l *caller.Lifecycle) { l.Revoked = 0 })
		}, ErrLifecycle},
		"revoked, anew": {func() (uint64, error) {
			return k.SetLifecycle(0, "old", "x", func(l *caller.Lifecycle) { l.Active = 1e13 })
		}, ErrLifecycle},
		"out of order": {func() (uint64, error) {
			return k.SetLifecycle(0, "next", "x", func(l *caller.Lifecycle) { l.Retired = 1 })
		}, ErrLifecycle},
		"no key":       {func() (uint64, error) { return k.SetLifecycle(0, "x", "x", func(l *caller.Lifecycle) {}) }, ErrNotFound},
		"its id again": {func() (uint64, error) { return k.AddKeys(0, signer.Key) }, ErrExists},
		"tenant again": {func() (uint64, error) { return k.CreateTenant(0, "t") }, ErrExists},
		"import":       {func() (uint64, error) { return k.Import(&Credentials{}) }, ErrExists},
	} {
		if _, err := c.do(); !errors.Is(err, c.want) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := k.SetCaller(0, caller.Principal{Name: "d", Tenant: "t", Subjects: []caller.Subject{{Issuer: "i", Name: "s"}}}); err == nil || !strings.Contains(err.Error(), "stands for caller") {
		t.Error(err)
	}
	if _, err := k.DeleteTenant(0, "t"); err != nil {
		t.Fatal(err)
	}
	if _, err := k.CreateTenant(0, "t"); err != nil {
		t.Fatal(err)
	}
	if b, err := k.Load(); err != nil || b.Tenants[0].Generation != 2 || len(b.Callers) != 0 {
		t.Errorf("created again: %v, %+v", err, b)
	}
}

// openSource writes files and returns a source that reads them, with its gate.
func openSource(t *testing.T, files map[string]string) (dir string, g *identity.Authenticator, s *Source) {
	t.Helper()
	dir = t.TempDir()
	for n, text := range files {
		if err := os.WriteFile(filepath.Join(dir, n), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	g = identity.NewAuthenticator(identity.Options{Log: slog.New(slog.DiscardHandler)})
	s, err := Open(SourceConfig{CredentialsPath: filepath.Join(dir, "book"), RightsPath: filepath.Join(dir, "rights"), Policy: caller.Policy{Audiences: []string{"r"}}}, g, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	return dir, g, s
}

// Guards against applying a truncated file: cut at any byte, it is rejected and the previous credentials stay
// in use. A file with a lower version, or with the same version and other content, is rejected too.
func TestBookCutAtEveryByte(t *testing.T) {
	_, g, s := openSource(t, map[string]string{"book": validFile, "rights": "role all { allow any }"})
	previous := g.Credentials()
	next := strings.Replace(strings.Replace(validFile, "version = 4", "version = 5", 1), `"acme-d"`, `"acme-e"`, 2)
	next += "# the end\n"
	completeLen := strings.Index(next, "[end]") + len("[end]")
	consumer := &fileConsumer{s, credentialsFile}
	for n := range next[:completeLen] {
		if err := consumer.Apply([]byte(next[:n])); err == nil || g.Credentials() != previous {
			t.Fatalf("file truncated at byte %d was applied: %q", n, next[max(0, n-20):n])
		}
	}
	if err := consumer.Apply([]byte(next)); err != nil || g.Credentials() == previous {
		t.Errorf("complete file: %v", err)
	}
	if err := consumer.Apply([]byte(validFile)); !errors.Is(err, errOlderVersion) {
		t.Errorf("lower version: %v", err)
	}
	if err := consumer.Apply([]byte(strings.Replace(next, "acme-e", "acme-f", 2))); err == nil || !strings.Contains(err.Error(), "raise it") {
		t.Errorf("other content of the same version: %v", err)
	}
	if err := consumer.Apply([]byte(strings.Replace(next, "12:00:00Z", "13:00:00Z", 1))); err != nil {
		t.Errorf("new issue time: %v", err)
	}
}

// Files that depend on each other are applied together, in whichever order they change. An unknown role is
// reported at the caller's line.
func TestFilesThatGoTogether(t *testing.T) {
	for _, first := range []int{credentialsFile, rightsFile} {
		_, g, s := openSource(t, map[string]string{"book": validFile, "rights": "role all { allow any }"})
		previous := g.Credentials()
		texts := map[int]string{credentialsFile: strings.Replace(strings.Replace(validFile, "version = 4", "version = 5", 1), `["all"]`, `["other"]`, 1), rightsFile: "role other { allow any read }"}
		err := (&fileConsumer{s, first}).Apply([]byte(texts[first]))
		if err == nil || g.Credentials() != previous {
			t.Fatalf("alone: %v", err)
		}
		if first == credentialsFile && !strings.Contains(err.Error(), `:9: caller[0].roles[0]: "other" is no role`) {
			t.Error(err)
		}
		if err := (&fileConsumer{s, 1 - first}).Apply([]byte(texts[1-first])); err != nil || g.Credentials() == previous {
			t.Errorf("together: %v", err)
		}
	}
}

// Credentials without an issue time are as old as their last confirmation; others are as old as their issue
// time.
func TestAgeOfABook(t *testing.T) {
	now := 1e12
	for _, c := range []struct {
		policy   caller.Policy
		age      float64
		isNew    caller.Reason
		wasKnown caller.Reason
	}{
		{caller.Policy{}, 1e9, caller.None, caller.None}, // fail open
		{caller.Policy{StaleNew: 10e3}, 11e3, caller.StaleKeys, caller.None},
		{caller.Policy{StaleNew: 10e3, StaleAll: 20e3}, 21e3, caller.StaleKeys, caller.StaleKeys}, // fail closed
	} {
		at := now
		p := identity.Pepper{1}
		g := identity.NewAuthenticator(identity.Options{Log: slog.New(slog.DiscardHandler), Pepper: &p, Now: func() float64 { return at }})
		b, faults := caller.NewCredentialStore(caller.Contents{Version: 1, Issued: now, Policy: c.policy, Tenants: []caller.Tenant{{Name: "t"}},
			Principals: []caller.Principal{{Name: "c", Tenant: "t"}}, Keys: []caller.Key{{ID: "s", Algorithm: caller.Secret, Caller: "c", Digest: p.Hash("s", []byte("x")), Lifecycle: caller.Lifecycle{Active: 1}}}})
		if faults != nil {
			t.Fatal(faults)
		}
		if err := g.SetCredentials(b); err != nil {
			t.Fatal(err)
		}
		pass, why := g.AuthenticateSecret("127.0.0.1:1", "s", []byte("x"))
		if why != caller.None {
			t.Fatal(why)
		}
		at = now + c.age
		if _, why := g.AuthenticateSecret("127.0.0.1:1", "s", []byte("x")); why != c.isNew {
			t.Errorf("%+v: new: %v", c, why)
		}
		if _, why := g.Revalidate(pass); why != c.wasKnown {
			t.Errorf("%+v: known: %v", c, why)
		}
		g.Confirm(at)
		if _, why := g.Revalidate(pass); why != caller.None {
			t.Errorf("%+v: confirmed: %v", c, why)
		}
	}
}

// A change made by a command reaches a router that watches the exported file.
func TestCommandsReachARouter(t *testing.T) {
	dir, g, s := openSource(t, map[string]string{"book": "version = 0\n[end]\n", "rights": "role all { allow any }"})
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); s.Run(ctx) }()
	defer func() { stop(); <-done }()
	var out bytes.Buffer
	pepper := filepath.Join(dir, "pepper")
	if err := identity.NewPepper(pepper); err != nil {
		t.Fatal(err)
	}
	if err := identity.NewPepper(pepper); err == nil {
		t.Error("an existing pepper file was overwritten")
	}
	tool := Tool{State: filepath.Join(dir, "state"), Export: filepath.Join(dir, "book"), Pepper: pepper, Who: "me", Out: &out}
	for i, err := range []error{
		tool.WithStore(func(k *Store) error { _, err := k.CreateTenant(0, "t"); return err }),
		tool.SetCaller("c", "t", []string{"all"}, []string{"i s"}, nil),
		tool.CreateSecret("s", "c", caller.Lifecycle{Active: 1}),
		tool.ListKeys(), tool.ListCallers(), tool.ShowAudit(0),
	} {
		if err != nil {
			t.Fatal(i, err)
		}
	}
	standintest.Until(t, "the secret's key", func() bool { return g.Credentials().Key("s") != nil })
	text := out.String()
	_, secret, _ := strings.Cut(text, "secret ")
	secret = strings.Fields(secret)[0]
	book, err := os.ReadFile(filepath.Join(dir, "book"))
	if err != nil {
		t.Fatal(err)
	}
	if len(secret) != 43 || bytes.Contains(book, []byte(secret)) || strings.Count(text, secret) != 1 {
		t.Errorf("the secret appears where it must not:\n%s", text)
	}
	if err := tool.SetState("s", "revoked", time.Now()); err != nil {
		t.Fatal(err)
	}
	standintest.Until(t, "revoked", func() bool {
		k := g.Credentials().Key("s")
		return k != nil && k.Lifecycle.StateAt(nowMS()) == caller.Revoked
	})
	if err := tool.SetState("s", "active", time.Now()); !errors.Is(err, ErrLifecycle) {
		t.Error(err)
	}
	// After a crash between a change and its export, the next command of any kind exports it.
	noExport := tool
	noExport.Export = ""
	if err := noExport.WithStore(func(k *Store) error { _, err := k.CreateTenant(0, "u"); return err }); err != nil {
		t.Fatal(err)
	}
	if err := tool.ListKeys(); err != nil {
		t.Fatal(err)
	}
	standintest.Until(t, "exported", func() bool { v, _ := s.Version(); return v == 5 })
}

func FuzzBook(f *testing.F) {
	f.Add([]byte(validFile))
	f.Fuzz(func(t *testing.T, text []byte) {
		b, err := Parse("b", text)
		if err != nil || b.Check() != nil {
			return
		}
		out, err := b.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if again, err := Parse("b", out); err != nil || fmt.Sprint(again.Callers) != fmt.Sprint(b.Callers) {
			t.Fatalf("%v\n%s", err, out)
		}
	})
}
