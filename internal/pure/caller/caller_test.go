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
	b, faults := NewCredentialStore(c)
	if faults != nil {
		t.Fatal(faults)
	}
	return b
}

func testClaims(at float64) Claims {
	return Claims{KeyID: "k", KeyDigest: [32]byte{1}, Issuer: "i", Subject: "sub", Audience: []string{"x", "r"}, IssuedAt: at, ExpiresAt: at + 10*minuteMS}
}

// Every reason has its cause, and a token that is taken holds no longer than it, its key's state and the book's version do.
func TestAuthenticationResults(t *testing.T) {
	b := newTestStore(t, nil)
	for name, c := range map[string]struct {
		now    float64
		change func(*Claims)
		want   Reason
	}{
		"taken":                            {150 * minuteMS, func(*Claims) {}, None},
		"announced key":                    {50 * minuteMS, func(*Claims) {}, NotYetValid},
		"the signer's clock is ahead":      {100*minuteMS - 900, func(c *Claims) { c.IssuedAt = 100 * minuteMS }, None},
		"ahead by more than clocks differ": {100*minuteMS - 1100, func(c *Claims) { c.IssuedAt = 100 * minuteMS }, NotYetValid},
		"retiring: signed before":          {205 * minuteMS, func(c *Claims) { c.IssuedAt = 199 * minuteMS; c.ExpiresAt = 209 * minuteMS }, None},
		"retiring: signed since":           {205 * minuteMS, func(c *Claims) { c.IssuedAt = 201 * minuteMS }, KeyRetired},
		"retired":                          {300 * minuteMS, func(c *Claims) { c.IssuedAt = 199 * minuteMS; c.ExpiresAt = 250 * minuteMS }, KeyRetired},
		"expired":                          {150 * minuteMS, func(c *Claims) { c.IssuedAt, c.ExpiresAt = 130*minuteMS, 149*minuteMS }, Expired},
		"expired within the skew":          {150 * minuteMS, func(c *Claims) { c.IssuedAt, c.ExpiresAt = 130*minuteMS, 150*minuteMS-500 }, None},
		"not yet":                          {150 * minuteMS, func(c *Claims) { c.NotBefore = 151 * minuteMS }, NotYetValid},
		"from the future":                  {150 * minuteMS, func(c *Claims) { c.IssuedAt, c.ExpiresAt = 155*minuteMS, 160*minuteMS }, NotYetValid},
		"another audience":                 {150 * minuteMS, func(c *Claims) { c.Audience = []string{"x"} }, WrongAudience},
		"none":                             {150 * minuteMS, func(c *Claims) { c.Audience = nil }, WrongAudience},
		"another issuer":                   {150 * minuteMS, func(c *Claims) { c.Issuer = "j" }, WrongIssuer},
		"unknown key":                      {150 * minuteMS, func(c *Claims) { c.KeyID = "x" }, UnknownKey},
		"a secret's id":                    {150 * minuteMS, func(c *Claims) { c.KeyID = "s" }, UnknownKey},
		"another key of its id":            {150 * minuteMS, func(c *Claims) { c.KeyDigest = [32]byte{9} }, UnknownKey},
		"lives too long":                   {150 * minuteMS, func(c *Claims) { c.ExpiresAt = c.IssuedAt + 61*minuteMS }, TooLong},
		"lives for ever":                   {150 * minuteMS, func(c *Claims) { c.ExpiresAt = 0 }, TooLong},
		"does not say since when":          {150 * minuteMS, func(c *Claims) { c.IssuedAt = 0 }, TooLong},
		"ends before it begins":            {150 * minuteMS, func(c *Claims) { c.ExpiresAt = c.IssuedAt - 1 }, Expired},
		"nobody's subject":                 {150 * minuteMS, func(c *Claims) { c.Subject = "other" }, NoTenant},
	} {
		c2 := testClaims(c.now)
		c.change(&c2)
		p, why := b.AuthenticateToken(c.now, c2)
		if why != c.want || (p != nil) != (why == None) {
			t.Errorf("%s: %v, want %v", name, why, c.want)
		}
		if p != nil && (p.ValidUntil > c2.ExpiresAt+1000 || p.Version != 1 || p.Tenant.Generation != 3 || p.Valid(2, c.now) || !p.Valid(1, c.now) || p.Valid(1, p.ValidUntil)) {
			t.Errorf("%s: %+v", name, p)
		}
	}
	if p, why := b.AuthenticateToken(195*minuteMS, testClaims(195*minuteMS)); why != None || p.ValidUntil != 200*minuteMS {
		t.Errorf("a key that changes soon: %v, %+v", why, p)
	}
	if _, why := b.AuthenticateSecret(2*minuteMS, "s", [32]byte{3}); why != BadSignature {
		t.Error(why)
	}
	if p, why := b.AuthenticateSecret(2*minuteMS, "s", [32]byte{2}); why != None || p.ValidUntil != 400*minuteMS {
		t.Error(why, p)
	}
	if _, why := b.AuthenticateSecret(400*minuteMS, "s", [32]byte{2}); why != KeyRevoked {
		t.Error(why)
	}
	if _, why := b.AuthenticateCertificate(1, Certificate{Names: []string{"dns:p", "dns:q"}, NotAfter: minuteMS}); why != TwoTenants {
		t.Error(why)
	}
	for _, r := range Reasons() {
		if r.String() == "" || strings.ContainsAny(r.String(), " ,") {
			t.Errorf("reason %d has no stable name: %q", r, r)
		}
	}
}

// A router whose clock is a minute off takes what lives long enough where the skew allows for it, and else says why not, both ways.
func TestClockOffByOneMinute(t *testing.T) {
	for _, skew := range []float64{30e3, 90e3} {
		b := newTestStore(t, func(c *Contents) { c.Policy.Skew = skew })
		for _, off := range []float64{-minuteMS, minuteMS} {
			at := 150 * minuteMS
			_, fresh := b.AuthenticateToken(at+off, testClaims(at))
			c := testClaims(at - 10*minuteMS + 30e3) // ends in half a minute
			_, ending := b.AuthenticateToken(at+off, c)
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

// A pass is judged again by what the book says now, without its proof being shown again.
func TestRenew(t *testing.T) {
	at := 150 * minuteMS
	p, why := newTestStore(t, nil).AuthenticateToken(at, testClaims(at))
	if why != None {
		t.Fatal(why)
	}
	for name, c := range map[string]struct {
		change func(*Contents)
		want   Reason
	}{
		"another version":          {func(c *Contents) { c.Version = 2 }, None},
		"revoked":                  {func(c *Contents) { c.Keys[0].Lifecycle.Revoked = at }, KeyRevoked},
		"another key of its id":    {func(c *Contents) { c.Keys[0].Digest = [32]byte{9} }, UnknownKey},
		"the key is gone":          {func(c *Contents) { c.Keys = c.Keys[1:] }, UnknownKey},
		"the tenant was made anew": {func(c *Contents) { c.Tenants[0].Generation++ }, NoTenant},
		"suspended":                {func(c *Contents) { c.Tenants[0].Suspended = true }, NoTenant},
		"the caller is gone":       {func(c *Contents) { c.Principals = c.Principals[1:]; c.Keys = c.Keys[:1] }, NoTenant},
	} {
		if _, why := newTestStore(t, c.change).Reauthenticate(at, p); why != c.want {
			t.Errorf("%s: %v, want %v", name, why, c.want)
		}
	}
	anchored := newTestStore(t, func(c *Contents) { c.TrustAnchors = [][32]byte{{5}} })
	q, why := anchored.AuthenticateCertificate(at, Certificate{Names: []string{"dns:p"}, NotAfter: at + minuteMS, TrustAnchor: [32]byte{5}})
	if why != None {
		t.Fatal(why)
	}
	if _, why := newTestStore(t, func(c *Contents) { c.TrustAnchors = [][32]byte{{6}} }).Reauthenticate(at, q); why != KeyRevoked {
		t.Errorf("what vouched for it was withdrawn: %v", why)
	}
	if _, why := anchored.Reauthenticate(at+minuteMS, q); why != Expired {
		t.Error(why)
	}
}

// How old a book may be is a setting: callers that are new go first, those that are known later, or never.
func TestStale(t *testing.T) {
	for _, c := range []struct {
		forNew, forAll, age float64
		wantNew, wantAll    bool
	}{{0, 0, 1e12, false, false}, {10, 0, 11, true, false}, {10, 20, 15, true, false}, {10, 20, 21, true, true}, {0, 20, 15, false, false}, {0, 20, 21, true, true}} {
		b := newTestStore(t, func(x *Contents) { x.Policy.StaleNew, x.Policy.StaleAll = c.forNew, c.forAll })
		if n, a := b.Stale(1000, 1000+c.age); n != c.wantNew || a != c.wantAll {
			t.Errorf("%+v: %v, %v", c, n, a)
		}
	}
}

// What is wrong in a book is told with its place, and there is no book.
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
		if b, faults := NewCredentialStore(c); b != nil || !strings.Contains(fmt.Sprint(faults), want) {
			t.Errorf("want %q: %v", want, faults)
		}
	}
}

// The matcher decides as a plain walk over the rules does, whatever rules, keys and times.
func TestRightsAgreeWithLinearScan(t *testing.T) {
	texts := rapid.SampledFrom([]string{"", "a", "ab", "abc", "b", "a/", "a/b", "ab/c", "{a}b"})
	rapid.Check(t, func(t *rapid.T) {
		var rules []Rule
		for range rapid.IntRange(0, 12).Draw(t, "rules") {
			r := Rule{Deny: rapid.Bool().Draw(t, "deny"), Prefix: texts.Draw(t, "prefix"), Access: Access(rapid.IntRange(1, 3).Draw(t, "access"))}
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
			class, key := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "of"), texts.Draw(t, "key")+texts.Draw(t, "more")
			access, now := Access(rapid.IntRange(1, 3).Draw(t, "does")), rapid.Float64Range(0, 1e13).Draw(t, "now")
			walk := func(a Access) int {
				for i, r := range rules {
					if (r.Classes == nil || r.Classes[0] == class) && strings.HasPrefix(key, r.Prefix) && r.Access&a != 0 && r.activeAt(minuteOfWeek(now)) {
						return i
					}
				}
				return -1
			}
			want := walk(Write)
			if access&Read != 0 {
				if i := walk(Read); access == Read || i < 0 || rules[i].Deny {
					want = i
				}
			}
			if got := rights.DecidingRule(now, class, key, access); got != want {
				t.Fatalf("rules %+v: %s %q %d: rule %d, want %d", rules, class, key, access, got, want)
			}
			for i := range rules {
				if j := ShadowedBy(rules, i); j >= 0 && want == i {
					t.Fatalf("rule %d decides, though %d covers it: %+v", i, j, rules)
				}
			}
		}
	})
}

// A flood of wrong credentials has its bounds, and costs neither who was right before nor those who come by another way.
func TestFloodOfWrongCredentials(t *testing.T) {
	l := NewAuthLimiter(0.2)
	l.RecordResult(0, "good", "k", false)
	checked, goodOnes, work := 0, 0, 0.0
	for now := 0.0; now < 60e3; now++ {
		for i := range 20 { // 20,000 a second from 1,000 addresses, with the id of a key in use
			from := fmt.Sprint("bad", (int(now)*20+i)%1000)
			if l.Allow(now, from, "k", 0.1) {
				checked++
				work += 0.1
				l.RecordResult(now, from, "k", true)
			}
		}
		if int(now)%100 == 0 {
			if l.Allow(now, "good", "k", 0.1) {
				goodOnes++
				l.RecordResult(now, "good", "k", false)
			}
		}
	}
	if goodOnes != 600 {
		t.Errorf("%d of 600 good ones were checked", goodOnes)
	}
	if work > 0.2*60e3 || checked > 60*keyFailuresPerSecond+2*keyFailuresPerSecond || checked < 1000 {
		t.Errorf("%d wrong ones were checked, %v ms of work", checked, work)
	}
	if a, k := l.Size(); a > maxAddresses || k > maxFailedKeys {
		t.Error(a, k)
	}
}

// A rate holds over any stretch of time, and says when there is room again.
func TestRates(t *testing.T) {
	r := Compile([]Rule{{Access: ReadWrite, Rate: 100, Line: 1}})
	x := NewRateLimiter(0.5)
	taken := 0
	for now := 0.0; now < 10e3; now++ {
		if again, ok := x.Take(now, "p", r, 0); ok {
			taken++
		} else if again < 1 || again > 20 {
			t.Fatalf("again after %v ms", again)
		}
	}
	if taken < 500 || taken > 551 {
		t.Errorf("%d in 10 s at 50 a second", taken)
	}
	if _, ok := x.Take(10e3, "q", r, 0); !ok {
		t.Error("another caller's rate is used up")
	}
}

// In a storm some records of each kind are written, and all the others are counted, also when none follows.
func TestSampler(t *testing.T) {
	s := NewSampler(5)
	written, left := 0, 0
	for i := range 1000 {
		w, n := s.Allow(float64(i*10), "a") // 10 s
		if left += n; w {
			written++
		}
	}
	for _, n := range s.TakeSuppressed(20e3) {
		left += n
	}
	if written < 50 || written > 55 || written+left != 1000 || s.TakeSuppressed(30e3) != nil {
		t.Errorf("%d written, %d left out", written, left)
	}
}
