package service

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Keys that are hard to keep apart: of other tenants' spaces, with hash tags of all sorts, with the separators, and empty where the
// dialect has a word for that.
var hardKeys = []string{"k", "a.1:k", "b.1:k", "a.1{0000}:k", "{a.1}k", "{k}", "{}k", "k{", "}k{", "{{k}}", "k}", ":", ".", "a.1", "a.1:", "a", "k:k", "{b.1:k}", "../k", "x/../../b.1:k", "./k", "..k/..", "%2e%2e/k"}

// climbs says whether a key would lead out of its space in a path whose dots are resolved.
func climbs(key string) bool {
	return strings.HasPrefix(key, "../") || strings.HasPrefix(key, "./") || strings.Contains(key, "/../")
}

// Callers of three tenants use colliding keys through every command of both dialects, on the same servers: what each reads is what it
// wrote itself, as a cluster of its own would have it.
func TestTenantsNeverMeet(t *testing.T) {
	g := startGated(t, 1)
	s := g.routers[0]
	names := []string{"a", "b", "c"}
	type way struct{ resp, meta, aside *guest }
	ways := map[string]way{}
	for _, n := range names {
		w := way{dialGuest(t, s.Addrs()[1]), dialGuest(t, s.metaAddr(1)), dialGuest(t, s.Addrs()[0])}
		for _, c := range []*guest{w.meta, w.aside} {
			if got := c.ask("auth key " + n + "-key " + n + "-secret"); got != "HD" {
				t.Fatal(got)
			}
		}
		if got := w.resp.ask("AUTH " + n + "-key " + n + "-secret"); got != "+OK" {
			t.Fatal(got)
		}
		ways[n] = w
	}
	round := 0
	rapid.Check(t, func(rt *rapid.T) {
		round++
		have := map[string]string{} // by tenant and key; keys are new in each round
		for i := range rapid.IntRange(5, 25).Draw(rt, "steps") {
			n, key := rapid.SampledFrom(names).Draw(rt, "tenant"), rapid.SampledFrom(hardKeys).Draw(rt, "key")+fmt.Sprint("-", round)
			w, at := ways[n], n+" "+key
			value := fmt.Sprintf("%s%d-%d", n, round, i)
			was, is := have[at]
			expect := func(got, want string) {
				if got != want {
					rt.Fatalf("step %d: tenant %s, key %q: %q, want %q", i, n, key, got, want)
				}
			}
			bulk := "$-1"
			if is {
				bulk = was
			}
			words := func(args ...string) string { // a command as an array: keys hold any byte
				b := fmt.Sprintf("*%d\r\n", len(args))
				for _, a := range args {
					b += fmt.Sprintf("$%d\r\n%s\r\n", len(a), a)
				}
				return strings.TrimSuffix(b, "\r\n")
			}
			switch rapid.IntRange(0, 9).Draw(rt, "what") {
			case 0:
				expect(w.resp.ask(words("SET", key, value)), "+OK")
				have[at] = value
			case 1:
				expect(w.resp.ask(words("GET", key)), bulk)
			case 2:
				expect(w.resp.ask(words("MGET", key)), "*1")
				expect(w.resp.line(), bulk)
			case 3:
				expect(w.resp.ask(words("EXISTS", key)), fmt.Sprintf(":%d", map[bool]int{true: 1}[is]))
			case 4:
				expect(w.resp.ask(words("DEL", key)), fmt.Sprintf(":%d", map[bool]int{true: 1}[is]))
				delete(have, at)
			case 5:
				expect(w.resp.ask(words("GETSET", key, value)), bulk)
				have[at] = value
			case 6:
				expect(w.resp.ask(words("APPEND", key, "x")), fmt.Sprintf(":%d", len(was)+1))
				have[at] = was + "x"
			case 7: // the meta dialect on the same servers
				want := "EN"
				if is {
					want = was
				}
				got := w.meta.ask(mg(key, ""))
				if strings.HasPrefix(got, "EN ") {
					got = "EN"
				}
				expect(got, want)
			case 8: // and before servers and an origin of the meta dialect: values say for which key and request they were made
				if got := w.aside.ask(mg(key, "")); climbs(key) != strings.HasPrefix(got, "CLIENT_ERROR key: no part") || !climbs(key) && !strings.HasPrefix(got, n+".1:"+key+" for "+n+".1:id") {
					rt.Fatalf("tenant %s, key %q: %q", n, key, got)
				}
			case 9:
				if got := w.aside.ask(ms(key, "log", value, ",k="+key)); climbs(key) == strings.HasPrefix(got, "HD Oid") {
					rt.Fatalf("tenant %s, key %q: %q", n, key, got)
				}
			}
		}
	})
	ran, whole := g.cluster.Record().All()
	if !whole || len(ran) == 0 {
		t.Fatalf("%d commands, all recorded: %v", len(ran), whole)
	}
	for _, r := range ran { // no server has seen a key outside of a space
		for _, a := range r.Args[1:min(2, len(r.Args))] {
			if !strings.HasPrefix(a, "a.1{") && !strings.HasPrefix(a, "b.1{") && !strings.HasPrefix(a, "c.1{") && r.Args[0] != "CLUSTER" {
				t.Fatalf("%q", r.Args)
			}
		}
	}
	for name, c := range map[string]struct{ line, want string }{
		"an empty key":    {"*2\r\n$3\r\nGET\r\n$0\r\n", "$-1"},
		"too long a key":  {"*2\r\n$3\r\nGET\r\n$241\r\n" + strings.Repeat("k", 241), "-ERR key: 241 bytes: 0 to 240 are right"},
		"of two slots":    {"MGET a b", "-CROSSSLOT Keys in request don't hash to the same slot"},
		"of one by a tag": {"MGET {t}a {t}b", "*2"},
	} {
		if got := ways["a"].resp.ask(c.line); got != c.want {
			t.Errorf("%s: %q", name, got)
		}
		if c.want == "*2" {
			ways["a"].resp.line()
			ways["a"].resp.line()
		}
	}
	if got := ways["a"].meta.ask(mg(strings.Repeat("k", 241), "")); !strings.HasPrefix(got, "CLIENT_ERROR key: 241 bytes") {
		t.Error(got)
	}
}
