package member

import (
	"reflect"
	"slices"
	"strings"
	"testing"
)

// TestPlan drives the plan through histories: each step is a file as a person would save it, and what it does.
func TestPlan(t *testing.T) {
	list := func(rows ...string) string { return serverFileText("", rows...) }
	allow := func(what string, rows ...string) string { return serverFileText("allow = [\""+what+"\"]\n", rows...) }
	edition := func(n string, rows ...string) string {
		s := serverFileText("edition = "+n+"\n", rows...)
		i := strings.LastIndex(s, "end = ")
		return s[:i] + "end = {servers = " + strings.TrimSpace(s[i+6:]) + ", edition = " + n + "}\n"
	}
	a, b, c, d := rowText("a", 11, "rades", ""), rowText("b", 12, "rades", ""), rowText("c", 13, "sfax", ""), rowText("d", 14, "sfax", "")
	for name, steps := range map[string][][2]string{
		"added, drained, reweighted, moved": {
			{list(a, b, c, d, originRow), "added: a, b, c, d, db\n"},
			{list(a, b, c, d, originRow), "nothing changes\n"},
			{list(a, b, c, d, originRow, rowText("e", 15, "sfax", "")), "added: e\n"},
			{list(a, b, c, d, originRow), "drained: e\n"},
			{list(a, rowText("b", 12, "rades", ", weight = 0.5"), c, d, originRow), "reweighted: b 1 -> 0.5\n"},
			{list(a, rowText("b", 12, "rades", ", weight = 0"), c, d, originRow), "drained: b\n"},
			{list(a, rowText("b", 12, "rades", ", weight = 2"), c, d, originRow), "added: b\n"},
			{list(a, rowText("b", 22, "rades", ", weight = 2"), c, d, originRow), "moved: b 127.0.0.1:12 -> 127.0.0.1:22\n"},
			{list(a, rowText("b", 22, "rades", `, weight = 2, state = "leaving"`), c, d, originRow), "drained: b\n"},
			{list(a, rowText("b", 22, "rades", ", weight = 2, cell = 4"), c, d, originRow), "added: b\naltered: b\n"},
		},
		"a site loses all": {
			{list(a, b, c, d, originRow), "added: a, b, c, d, db\n"},
			{list(a, b, originRow), `refused: site sfax would lose all of its 2 servers; if that is meant, add to the head of the file: allow = ["site-gone sfax"]` + "\n"},
			{list(a, b, rowText("c", 13, "sfax", ", weight = 0"), rowText("d", 14, "sfax", `, state = "leaving"`), originRow), "refused: site sfax"},
			{allow("site-gone rades", a, b, originRow), "refused: site sfax"},
			{allow("site-gone sfax", a, b, originRow), "drained: c, d\n"},
			{list(a, b, c, d, originRow), "added: c, d\n"},
		},
		"an allowance is for one list": {
			{list(a, b, c, d, originRow), "added: a"},
			{allow("site-gone sfax", a, b, originRow), "drained: c, d\n"},
			{allow("site-gone sfax", a, b, c, d, originRow), "added: c, d\nnote: allow: \"site-gone sfax\" stood in the list before and is spent"},
			{allow("site-gone sfax", a, b, originRow), "refused: site sfax would lose all"},
			{list(a, b, c, d, originRow), "nothing changes\n"},
			{allow("site-gone sfax", a, b, originRow), "drained: c, d\n"},
		},
		"more than the stated share goes": {
			{list(a, b, c, d, originRow), "added: a"},
			{list(a, c, originRow), "drained: b, d\n"},
			{list(a, b, c, d, originRow), "added: b, d\n"},
			{list(rowText("a", 31, "rades", ""), rowText("b", 32, "rades", ""), rowText("c", 33, "sfax", ""), d, originRow),
				`refused: 3 of 4 servers would go, or move to another address, at once: more than 50%; if that is meant, add to the head of the file: allow = ["gone 3"]`},
			{allow("gone 2", rowText("a", 31, "rades", ""), rowText("b", 32, "rades", ""), rowText("c", 33, "sfax", ""), d, originRow), "refused: 3 of 4"},
			{allow("gone 3", rowText("a", 31, "rades", ""), rowText("b", 32, "rades", ""), rowText("c", 33, "sfax", ""), d, originRow), "moved: a"},
		},
		"editions": {
			{edition("1", a, b, c, d, originRow), "added: a"},
			{edition("1", a, b, c, d, originRow), "nothing changes\n"},
			{edition("1", a, b, c, originRow), "refused: edition 1 is in use and this list is another; raise it to 2"},
			{edition("2", a, b, c, originRow), "drained: d\n"},
			{edition("1", a, b, c, d, originRow), "refused: edition 1 is older than 2"},
			{list(a, b, c, d, originRow), "refused: edition 0 is older than 2"},
		},
	} {
		var use *File
		for i, s := range steps {
			f := mustParse(t, s[0])
			c := Plan(use, f, testRules, 1e12+float64(i))
			if got := c.String(); !strings.HasPrefix(got, s[1]) && !(strings.HasPrefix(s[1], "refused") && strings.Contains(got, "\n"+s[1])) {
				t.Errorf("%s, step %d: got\n%swant\n%s", name, i, got, s[1])
			}
			if len(c.Refused) == 0 {
				use = &c.Next
			}
			if again := Plan(use, f, testRules, 5e12); len(c.Refused) == 0 && !again.Empty() {
				t.Errorf("%s, step %d: the list in use, saved once more, changes %s", name, i, again.String())
			}
		}
	}
}

// A server that nobody calls warm is cold when it comes; one that was there keeps its start.
func TestStartsOfServers(t *testing.T) {
	first := Plan(nil, mustParse(t, serverFileText("", fourServers()...)), testRules, 1000)
	rows := fourServers()
	rows[1] = rowText("b", 99, "rades", "")
	rows = append(rows, rowText("new", 15, "sfax", ""), rowText("warm", 16, "sfax", ", warm = true"), rowText("told", 17, "sfax", ", started = 1970-01-01T00:00:01.5Z"))
	second := Plan(&first.Next, mustParse(t, serverFileText("", rows...)), testRules, 2000)
	third := Plan(&second.Next, mustParse(t, serverFileText("", rows...)), testRules, 3000)
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
