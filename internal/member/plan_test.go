package member

import (
	"reflect"
	"slices"
	"strings"
	"testing"
)

// TestPlan drives the plan through histories: each step is a file as a person would save it, and what it does.
func TestPlan(t *testing.T) {
	list := func(rows ...string) string { return text("", rows...) }
	allow := func(what string, rows ...string) string { return text("allow = [\""+what+"\"]\n", rows...) }
	edition := func(n string, rows ...string) string {
		s := text("edition = "+n+"\n", rows...)
		i := strings.LastIndex(s, "end = ")
		return s[:i] + "end = {servers = " + strings.TrimSpace(s[i+6:]) + ", edition = " + n + "}\n"
	}
	a, b, c, d := row1("a", 11, "rades", ""), row1("b", 12, "rades", ""), row1("c", 13, "sfax", ""), row1("d", 14, "sfax", "")
	for name, steps := range map[string][][2]string{
		"added, drained, reweighted, moved": {
			{list(a, b, c, d, origin), "added: a, b, c, d, db\n"},
			{list(a, b, c, d, origin), "nothing changes\n"},
			{list(a, b, c, d, origin, row1("e", 15, "sfax", "")), "added: e\n"},
			{list(a, b, c, d, origin), "drained: e\n"},
			{list(a, row1("b", 12, "rades", ", weight = 0.5"), c, d, origin), "reweighted: b 1 -> 0.5\n"},
			{list(a, row1("b", 12, "rades", ", weight = 0"), c, d, origin), "drained: b\n"},
			{list(a, row1("b", 12, "rades", ", weight = 2"), c, d, origin), "added: b\n"},
			{list(a, row1("b", 22, "rades", ", weight = 2"), c, d, origin), "moved: b 127.0.0.1:12 -> 127.0.0.1:22\n"},
			{list(a, row1("b", 22, "rades", `, weight = 2, state = "leaving"`), c, d, origin), "drained: b\n"},
			{list(a, row1("b", 22, "rades", ", weight = 2, cell = 4"), c, d, origin), "added: b\naltered: b\n"},
		},
		"a site loses all": {
			{list(a, b, c, d, origin), "added: a, b, c, d, db\n"},
			{list(a, b, origin), `refused: site sfax would lose all of its 2 servers; if that is meant, add to the head of the file: allow = ["site-gone sfax"]` + "\n"},
			{list(a, b, row1("c", 13, "sfax", ", weight = 0"), row1("d", 14, "sfax", `, state = "leaving"`), origin), "refused: site sfax"},
			{allow("site-gone rades", a, b, origin), "refused: site sfax"},
			{allow("site-gone sfax", a, b, origin), "drained: c, d\n"},
			{list(a, b, c, d, origin), "added: c, d\n"},
		},
		"an allowance is for one list": {
			{list(a, b, c, d, origin), "added: a"},
			{allow("site-gone sfax", a, b, origin), "drained: c, d\n"},
			{allow("site-gone sfax", a, b, c, d, origin), "added: c, d\nnote: allow: \"site-gone sfax\" stood in the list before and is spent"},
			{allow("site-gone sfax", a, b, origin), "refused: site sfax would lose all"},
			{list(a, b, c, d, origin), "nothing changes\n"},
			{allow("site-gone sfax", a, b, origin), "drained: c, d\n"},
		},
		"more than the stated share goes": {
			{list(a, b, c, d, origin), "added: a"},
			{list(a, c, origin), "drained: b, d\n"},
			{list(a, b, c, d, origin), "added: b, d\n"},
			{list(row1("a", 31, "rades", ""), row1("b", 32, "rades", ""), row1("c", 33, "sfax", ""), d, origin),
				`refused: 3 of 4 servers would go, or move to another address, at once: more than 50%; if that is meant, add to the head of the file: allow = ["gone 3"]`},
			{allow("gone 2", row1("a", 31, "rades", ""), row1("b", 32, "rades", ""), row1("c", 33, "sfax", ""), d, origin), "refused: 3 of 4"},
			{allow("gone 3", row1("a", 31, "rades", ""), row1("b", 32, "rades", ""), row1("c", 33, "sfax", ""), d, origin), "moved: a"},
		},
		"editions": {
			{edition("1", a, b, c, d, origin), "added: a"},
			{edition("1", a, b, c, d, origin), "nothing changes\n"},
			{edition("1", a, b, c, origin), "refused: edition 1 is in use and this list is another; raise it to 2"},
			{edition("2", a, b, c, origin), "drained: d\n"},
			{edition("1", a, b, c, d, origin), "refused: edition 1 is older than 2"},
			{list(a, b, c, d, origin), "refused: edition 0 is older than 2"},
		},
	} {
		var use *File
		for i, s := range steps {
			f := parsed(t, s[0])
			c := Plan(use, f, pool, 1e12+float64(i))
			if got := c.String(); !strings.HasPrefix(got, s[1]) && !(strings.HasPrefix(s[1], "refused") && strings.Contains(got, "\n"+s[1])) {
				t.Errorf("%s, step %d: got\n%swant\n%s", name, i, got, s[1])
			}
			if len(c.Refused) == 0 {
				use = &c.Next
			}
			if again := Plan(use, f, pool, 5e12); len(c.Refused) == 0 && !again.Empty() {
				t.Errorf("%s, step %d: the list in use, saved once more, changes %s", name, i, again.String())
			}
		}
	}
}

// A server that nobody calls warm is cold when it comes; one that was there keeps its start.
func TestStartsOfServers(t *testing.T) {
	first := Plan(nil, parsed(t, text("", four()...)), pool, 1000)
	rows := four()
	rows[1] = row1("b", 99, "rades", "")
	rows = append(rows, row1("new", 15, "sfax", ""), row1("warm", 16, "sfax", ", warm = true"), row1("told", 17, "sfax", ", started = 1970-01-01T00:00:01.5Z"))
	second := Plan(&first.Next, parsed(t, text("", rows...)), pool, 2000)
	third := Plan(&second.Next, parsed(t, text("", rows...)), pool, 3000)
	var starts []float64
	for _, s := range third.Next.Servers {
		starts = append(starts, s.Started)
	}
	if want := []float64{0, 2000, 0, 0, 0, 2000, 0, 1500}; !slices.Equal(starts, want) {
		t.Errorf("starts %v, want %v", starts, want)
	}
	if !reflect.DeepEqual(second.Next, third.Next) {
		t.Error("the same file again gives another list")
	}
}
