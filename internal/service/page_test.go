package service

import (
	"bytes"
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"
)

// words splits a line of a page as a shell would: quotes of both kinds, and a comment behind a blank and #.
func words(line string) (out []string) {
	var b strings.Builder
	quote, begun := rune(0), false
	end := func() {
		if begun {
			out = append(out, b.String())
		}
		b.Reset()
		begun = false
	}
	for _, r := range line {
		switch {
		case quote != 0 && r == quote:
			quote = 0
		case quote != 0:
			b.WriteRune(r)
		case r == '\'' || r == '"':
			quote, begun = r, true
		case r == ' ':
			end()
		case r == '#' && !begun:
			return out
		default:
			b.WriteRune(r)
			begun = true
		}
	}
	end()
	return out
}

// The examples of the administration API's page do what they say, in the order of the page, against a router: each call is made as it stands
// there, but for the address, the token and the ETags, which are those of the answers before.
func TestExamplesOfTheAdminPage(t *testing.T) {
	text, err := os.ReadFile("../../docs/operate/admin-api.md")
	if err != nil {
		t.Fatal(err)
	}
	o := startOffice(t)
	if status, _, body := o.call("PUT", "/v1/tenants/acme", "all", "*", spec{}); status != 200 {
		t.Fatal(status, body)
	}
	base := "http://" + o.s.admin.ln.Addr().String() + "/v1"
	tag, made := "", 0
	version := regexp.MustCompile(`^If-Match: "\d+"$`)
	for line := range strings.Lines(string(text)) {
		line = strings.TrimSpace(line)
		if !strings.HasPrefix(line, "curl ") {
			continue
		}
		method, at, headers, body := "GET", "", http.Header{}, ""
		for args := words(line)[1:]; len(args) > 0; args = args[1:] {
			switch a := args[0]; {
			case a == "-i":
			case a == "-X":
				method, args = args[1], args[1:]
			case a == "-d":
				body, args = args[1], args[1:]
			case a == "-H":
				h := strings.ReplaceAll(args[1], "$A", "Authorization: Bearer "+o.tokens["all"])
				if version.MatchString(h) {
					h = "If-Match: " + tag
				}
				name, value, ok := strings.Cut(h, ": ")
				if !ok {
					t.Fatalf("%s: header %q", line, h)
				}
				headers.Set(name, value)
				args = args[1:]
			default:
				at = strings.ReplaceAll(strings.Replace(a, "$U", base, 1), "wait_s=20", "wait_s=0")
			}
		}
		q, err := http.NewRequestWithContext(t.Context(), method, at, bytes.NewReader([]byte(body)))
		if err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		q.Header = headers
		r, err := http.DefaultClient.Do(q)
		if err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		r.Body.Close()
		if r.StatusCode != 200 {
			t.Errorf("%s: %s", line, r.Status)
		}
		if e := r.Header.Get("ETag"); e != "" && method == "PUT" {
			tag = e
		}
		made++
	}
	if made < 8 {
		t.Errorf("%d examples", made)
	}
}
