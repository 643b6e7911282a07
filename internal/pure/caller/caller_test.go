package caller

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

const minuteMS = 60e3

func testContents() Contents {
	return Contents{Version: 1, Policy: Policy{Audiences: []string{"r"}, Skew: 1000, Longest: 60 * minuteMS},
		Keys: []Key{{ID: "k", Algorithm: EdDSA, Issuer: "i", Digest: [32]byte{1}, PublicDER: []byte{1}, Lifecycle: Lifecycle{Active: 100 * minuteMS, Retiring: 200 * minuteMS, Retired: 300 * minuteMS}},
			{ID: "s", Algorithm: Secret, Caller: "p", Digest: [32]byte{2}, Lifecycle: Lifecycle{Active: minuteMS, Revoked: 400 * minuteMS}}},
		Tenants: []Tenant{{Name: "t", Generation: 3}, {Name: "u", Generation: 1}},
		Principals: []Principal{{Name: "p", Tenant: "t", Roles: []string{"all"}, Subjects: []Subject{{"i", "sub"}}, Certificates: []string{"dns:p"}},
			{Name: "q", Tenant: "u", Certificates: []string{"dns:q"}}},
		Roles: map[string]*Rights{"all": Compile([]Rule{{Access: ReadWrite}})}}
}

func newTestStore(t testing.TB, change func(*Contents)) *CredentialStore {
	t.Helper()
	c := testContents()
	if change != nil {
		change(&c)
	}
	store, errs := NewCredentialStore(c)
	if errs != nil {
		t.Fatal(errs)
	}
	return store
}

func testClaims(at float64) Claims {
	return Claims{KeyID: "k", KeyDigest: [32]byte{1}, Issuer: "i", Subject: "sub", Audience: []string{"x", "r"}, IssuedAt: at, ExpiresAt: at + 10*minuteMS}
}

// Checks the cause of each rejection, and that an identity is valid no longer than its token, the state of
// its key and the version of the store.
func TestAuthenticationResults(t *testing.T) {
	store := newTestStore(t, nil)
	for name, c := range map[string]struct {
		now    float64
		change func(*Claims)
		want   Reason
	}{
		"accepted":                       {150 * minuteMS, func(*Claims) {}, None},
		"announced key":                  {50 * minuteMS, func(*Claims) {}, NotYetValid},
		"the signer's clock is ahead":    {100*minuteMS - 900, func(c *Claims) { c.IssuedAt = 100 * minuteMS }, None},
		"ahead by more than the skew":    {100*minuteMS - 1100, func(c *Claims) { c.IssuedAt = 100 * minuteMS }, NotYetValid},
		"retiring: signed before":        {205 * minuteMS, func(c *Claims) { c.IssuedAt = 199 * minuteMS; c.ExpiresAt = 209 * minuteMS }, None},
		"retiring: signed after":         {205 * minuteMS, func(c *Claims) { c.IssuedAt = 201 * minuteMS }, KeyRetired},
		"retired":                        {300 * minuteMS, func(c *Claims) { c.IssuedAt = 199 * minuteMS; c.ExpiresAt = 250 * minuteMS }, KeyRetired},
		"expired":                        {150 * minuteMS, func(c *Claims) { c.IssuedAt, c.ExpiresAt = 130*minuteMS, 149*minuteMS }, Expired},
		"expired within the skew":        {150 * minuteMS, func(c *Claims) { c.IssuedAt, c.ExpiresAt = 130*minuteMS, 150*minuteMS-500 }, None},
		"not valid yet":                  {150 * minuteMS, func(c *Claims) { c.NotBefore = 151 * minuteMS }, NotYetValid},
		"issued in the future":           {150 * minuteMS, func(c *Claims) { c.IssuedAt, c.ExpiresAt = 155*minuteMS, 160*minuteMS }, NotYetValid},
		"another audience":               {150 * minuteMS, func(c *Claims) { c.Audience = []string{"x"} }, WrongAudience},
		"no audience":                    {150 * minuteMS, func(c *Claims) { c.Audience = nil }, WrongAudience},
		"another issuer":                 {150 * minuteMS, func(c *Claims) { c.Issuer = "j" }, WrongIssuer},
		"unknown key":                    {150 * minuteMS, func(c *Claims) { c.KeyID = "x" }, UnknownKey},
		"id of a secret":                 {150 * minuteMS, func(c *Claims) { c.KeyID = "s" }, UnknownKey},
		"key replaced under the same id": {150 * minuteMS, func(c *Claims) { c.KeyDigest = [32]byte{9} }, UnknownKey},
		"lifetime too long":              {150 * minuteMS, func(c *Claims) { c.ExpiresAt = c.IssuedAt + 61*minuteMS }, TooLong},
		"no expiry":                      {150 * minuteMS, func(c *Claims) { c.ExpiresAt = 0 }, TooLong},
		"no issue time":                  {150 * minuteMS, func(c *Claims) { c.IssuedAt = 0 }, TooLong},
		"expires before it is issued":    {150 * minuteMS, func(c *Claims) { c.ExpiresAt = c.IssuedAt - 1 }, Expired},
		"unknown subject":                {150 * minuteMS, func(c *Claims) { c.Subject = "other" }, NoTenant},
	} {
		tokenClaims := testClaims(c.now)
		c.change(&tokenClaims)
		id, reason := store.AuthenticateToken(c.now, tokenClaims)
		if reason != c.want || (id != nil) != (reason == None) {
			t.Errorf("%s: %v, want %v", name, reason, c.want)
		}
		if id != nil && (id.ValidUntil > tokenClaims.ExpiresAt+1000 || id.Version != 1 || id.Tenant.Generation != 3 || id.Valid(2, c.now) || !id.Valid(1, c.now) || id.Valid(1, id.ValidUntil)) {
			t.Errorf("%s: %+v", name, id)
		}
	}
	if id, reason := store.AuthenticateToken(195*minuteMS, testClaims(195*minuteMS)); reason != None || id.ValidUntil != 200*minuteMS {
		t.Errorf("a key that retires before the token expires: %v, %+v", reason, id)
	}
	if _, reason := store.AuthenticateSecret(2*minuteMS, "s", [32]byte{3}); reason != BadSignature {
		t.Error(reason)
	}
	if id, reason := store.AuthenticateSecret(2*minuteMS, "s", [32]byte{2}); reason != None || id.ValidUntil != 400*minuteMS {
		t.Error(reason, id)
	}
	if _, reason := store.AuthenticateSecret(400*minuteMS, "s", [32]byte{2}); reason != KeyRevoked {
		t.Error(reason)
	}
	if _, reason := store.AuthenticateCertificate(1, Certificate{Names: []string{"dns:p", "dns:q"}, NotAfter: minuteMS}); reason != TwoTenants {
		t.Error(reason)
	}
	for _, r := range Reasons() {
		if r.String() == "" || strings.ContainsAny(r.String(), " ,") {
			t.Errorf("reason %d has no stable name: %q", r, r)
		}
	}
}

// Checks a router whose clock is a minute fast or slow: valid tokens are accepted if the skew covers the
// difference, and are otherwise rejected as not valid yet or as expired.
func TestClockOffByOneMinute(t *testing.T) {
	for _, skew := range []float64{30e3, 90e3} {
		store := newTestStore(t, func(endingClaims *Contents) { endingClaims.Policy.Skew = skew })
		for _, off := range []float64{-minuteMS, minuteMS} {
			at := 150 * minuteMS
			_, fresh := store.AuthenticateToken(at+off, testClaims(at))
			endingClaims := testClaims(at - 10*minuteMS + 30e3) // expires in half a minute
			_, ending := store.AuthenticateToken(at+off, endingClaims)
			wantFresh, wantEnding := None, None
			if skew < minuteMS {
				if off < 0 {
					wantFresh = NotYetValid
				}
				if off > 0 {
					wantEnding = Expired
				}
			}
			if fresh != wantFresh || ending != wantEnding {
				t.Errorf("skew %v, clock off by %v: fresh %v, ending %v", skew, off, fresh, ending)
			}
		}
	}
}

// Checks that Reauthenticate evaluates an identity against the current store without the credential itself.
func TestRenew(t *testing.T) {
	at := 150 * minuteMS
	tokenID, reason := newTestStore(t, nil).AuthenticateToken(at, testClaims(at))
	if reason != None {
		t.Fatal(reason)
	}
	for name, c := range map[string]struct {
		change func(*Contents)
		want   Reason
	}{
		"another version":                {func(c *Contents) { c.Version = 2 }, None},
		"revoked":                        {func(c *Contents) { c.Keys[0].Lifecycle.Revoked = at }, KeyRevoked},
		"key replaced under the same id": {func(c *Contents) { c.Keys[0].Digest = [32]byte{9} }, UnknownKey},
		"key removed":                    {func(c *Contents) { c.Keys = c.Keys[1:] }, UnknownKey},
		"tenant recreated":               {func(c *Contents) { c.Tenants[0].Generation++ }, NoTenant},
		"suspended":                      {func(c *Contents) { c.Tenants[0].Suspended = true }, NoTenant},
		"caller removed":                 {func(c *Contents) { c.Principals = c.Principals[1:]; c.Keys = c.Keys[:1] }, NoTenant},
	} {
		if _, reason := newTestStore(t, c.change).Reauthenticate(at, tokenID); reason != c.want {
			t.Errorf("%s: %v, want %v", name, reason, c.want)
		}
	}
	anchored := newTestStore(t, func(c *Contents) { c.TrustAnchors = [][32]byte{{5}} })
	certificateID, reason := anchored.AuthenticateCertificate(at, Certificate{Names: []string{"dns:p"}, NotAfter: at + minuteMS, TrustAnchor: [32]byte{5}})
	if reason != None {
		t.Fatal(reason)
	}
	if _, reason := newTestStore(t, func(c *Contents) { c.TrustAnchors = [][32]byte{{6}} }).Reauthenticate(at, certificateID); reason != KeyRevoked {
		t.Errorf("trust anchor removed: %v", reason)
	}
	if _, reason := anchored.Reauthenticate(at+minuteMS, certificateID); reason != Expired {
		t.Error(reason)
	}
}

// Checks the configured age limits of the store: new callers are rejected first, known ones later or never.
func TestStale(t *testing.T) {
	for _, c := range []struct {
		forNew, forAll, age float64
		wantNew, wantAll    bool
	}{{0, 0, 1e12, false, false}, {10, 0, 11, true, false}, {10, 20, 15, true, false}, {10, 20, 21, true, true}, {0, 20, 15, false, false}, {0, 20, 21, true, true}} {
		store := newTestStore(t, func(x *Contents) { x.Policy.StaleNew, x.Policy.StaleAll = c.forNew, c.forAll })
		if staleNew, staleAll := store.Stale(1000, 1000+c.age); staleNew != c.wantNew || staleAll != c.wantAll {
			t.Errorf("%+v: %v, %v", c, staleNew, staleAll)
		}
	}
}

// Checks that errors in the contents are reported with their path and that no store is built.
func TestFaults(t *testing.T) {
	for want, change := range map[string]func(*Contents){
		"key[1].id: \"k\" is there twice":             func(c *Contents) { c.Keys[1].ID = "k" },
		"key[0].algorithm: \"HS256\" is no algorithm": func(c *Contents) { c.Keys[0].Algorithm = "HS256" },
		"key[0].retired: lies before":                 func(c *Contents) { c.Keys[0].Lifecycle.Retired = 1 },
		"key[1].caller: \"x\" is no caller":           func(c *Contents) { c.Keys[1].Caller = "x" },
		"caller[1].certificates[0]: \"dns:p\" stands for caller \"p\" already: one would be two tenants": func(c *Contents) { c.Principals[1].Certificates[0] = "dns:p" },
		"caller[0].tenant: \"x\" is no tenant": func(c *Contents) { c.Principals[0].Tenant = "x" },
		"caller[0].roles[0]: \"x\" is no role": func(c *Contents) { c.Principals[0].Roles[0] = "x" },
		"tenant[1].name: \"t\" is there twice": func(c *Contents) { c.Tenants[1].Name = "t" },
		"tenant[0].name: \"A\" at byte 0":      func(c *Contents) { c.Tenants[0].Name = "A" },
		"stale_all_s: 1 s is sooner":           func(c *Contents) { c.Policy.StaleNew, c.Policy.StaleAll = 2000, 1000 },
		"skew_ms: NaN is out of range":         func(c *Contents) { c.Policy.Skew = math.NaN() },
	} {
		c := testContents()
		change(&c)
		if b, errs := NewCredentialStore(c); b != nil || !strings.Contains(fmt.Sprint(errs), want) {
			t.Errorf("want %q: %v", want, errs)
		}
	}
}

// Checks the prefix trees against a linear scan of the rules, for arbitrary rules, keys and times. Also
// checks that a rule reported as shadowed never decides a request.
func TestRightsAgreeWithLinearScan(t *testing.T) {
	prefixes := rapid.SampledFrom([]string{"", "a", "ab", "abc", "b", "a/", "a/b", "ab/c", "{a}b"})
	rapid.Check(t, func(t *rapid.T) {
		var rules []Rule
		for range rapid.IntRange(0, 12).Draw(t, "rules") {
			r := Rule{Deny: rapid.Bool().Draw(t, "deny"), Prefix: prefixes.Draw(t, "prefix"), Access: Access(rapid.IntRange(1, 3).Draw(t, "access"))}
			if rapid.Bool().Draw(t, "named") {
				r.Classes = []string{rapid.SampledFrom([]string{"x", "y"}).Draw(t, "class")}
			}
			if rapid.Bool().Draw(t, "timed") {
				from := rapid.IntRange(0, MinutesPerWeek-1).Draw(t, "from")
				r.Spans = NormalizeSpans([]Span{{from, min(MinutesPerWeek, from+2000)}})
			}
			rules = append(rules, r)
		}
		rights := Compile(rules)
		for range 20 {
			class, key := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "of"), prefixes.Draw(t, "key")+prefixes.Draw(t, "more")
			access, now := Access(rapid.IntRange(1, 3).Draw(t, "does")), rapid.Float64Range(0, 1e13).Draw(t, "now")
			scan := func(a Access) int {
				for i, r := range rules {
					if (r.Classes == nil || r.Classes[0] == class) && strings.HasPrefix(key, r.Prefix) && r.Access&a != 0 && r.activeAt(minuteOfWeek(now)) {
						return i
					}
				}
				return -1
			}
			want := scan(Write)
			if access&Read != 0 {
				if i := scan(Read); access == Read || i < 0 || rules[i].Deny {
					want = i
				}
			}
			if got := rights.DecidingRule(now, class, key, access); got != want {
				t.Fatalf("rules %+v: %s %q %d: rule %d, want %d", rules, class, key, access, got, want)
			}
			for i := range rules {
				if j := ShadowedBy(rules, i); j >= 0 && want == i {
					t.Fatalf("rule %d decides, though rule %d shadows it: %+v", i, j, rules)
				}
			}
		}
	})
}

// Checks that the work spent on a flood of invalid credentials is bounded and that it does not cause
// rejections for a known address, even if the flood names the key that this address uses.
func TestFloodOfWrongCredentials(t *testing.T) {
	limiter := NewAuthLimiter(0.2)
	limiter.RecordResult(0, "good", "k", false)
	checked, legitimate, workMS := 0, 0, 0.0
	for now := 0.0; now < 60e3; now++ {
		for i := range 20 { // 20,000 per second from 1,000 addresses, with the id of a key in use
			address := fmt.Sprint("bad", (int(now)*20+i)%1000)
			if limiter.Allow(now, address, "k", 0.1) {
				checked++
				workMS += 0.1
				limiter.RecordResult(now, address, "k", true)
			}
		}
		if int(now)%100 == 0 {
			if limiter.Allow(now, "good", "k", 0.1) {
				legitimate++
				limiter.RecordResult(now, "good", "k", false)
			}
		}
	}
	if legitimate != 600 {
		t.Errorf("%d of 600 legitimate credentials were allowed", legitimate)
	}
	if workMS > 0.2*60e3 || checked > 60*keyFailuresPerSecond+2*keyFailuresPerSecond || checked < 1000 {
		t.Errorf("%d invalid credentials were allowed, %v ms of work", checked, workMS)
	}
	if addresses, keys := limiter.Size(); addresses > maxAddresses || keys > maxFailedKeys {
		t.Error(addresses, keys)
	}
}

// Checks that a rate limit holds over time, that a rejection gives the time until the next token, and that
// each caller has its own bucket.
func TestRates(t *testing.T) {
	rights := Compile([]Rule{{Access: ReadWrite, Rate: 100, Line: 1}})
	limiter := NewRateLimiter(0.5)
	admitted := 0
	for now := 0.0; now < 10e3; now++ {
		if retryAfterMS, ok := limiter.Take(now, "p", rights, 0); ok {
			admitted++
		} else if retryAfterMS < 1 || retryAfterMS > 20 {
			t.Fatalf("retry after %v ms", retryAfterMS)
		}
	}
	if admitted < 500 || admitted > 551 {
		t.Errorf("%d admitted in 10 s at 50 per second", admitted)
	}
	if _, ok := limiter.Take(10e3, "q", rights, 0); !ok {
		t.Error("the rate of another caller is used up")
	}
}

// Checks that in a burst a limited number of events per second is allowed and that all others are counted,
// even if no event follows the burst.
func TestSampler(t *testing.T) {
	s := NewSampler(5)
	allowed, suppressed := 0, 0
	for i := range 1000 {
		ok, n := s.Allow(float64(i*10), "a") // over 10 s
		if suppressed += n; ok {
			allowed++
		}
	}
	for _, n := range s.TakeSuppressed(20e3) {
		suppressed += n
	}
	if allowed < 50 || allowed > 55 || allowed+suppressed != 1000 || s.TakeSuppressed(30e3) != nil {
		t.Errorf("%d allowed, %d suppressed", allowed, suppressed)
	}
}
