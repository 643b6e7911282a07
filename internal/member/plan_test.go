package member

import (
	"reflect"
	"slices"
	"strings"
	"testing"
)

// TestPlan plans sequences of edits. Each step is a file as a person would save it, and the expected change.
func TestPlan(t *testing.T) {
	list := func(rows ...string) string { return serverFileText("", rows...) }
	allow := func(what string, rows ...string) string { return serverFileText("allow = [\""+what+"\"]\n", rows...) }
	edition := func(n string, rows ...string) string {
		s := serverFileText("edition = "+n+"\n", rows...)
		i := strings.LastIndex(s, "end = ")
		return s[:i] + "end = {servers = " + strings.TrimSpace(s[i+6:]) + ", edition = " + n + "}\n"
	}
	a, b, change, d := rowText("a", 11, "rades", ""), rowText("b", 12, "rades", ""), rowText("c", 13, "sfax", ""), rowText("d", 14, "sfax", "")
	for name, steps := range map[string][][2]string{
		"added, drained, reweighted, moved": {
			{list(a, b, change, d, originRow), "added: a, b, c, d, db\n"},
			{list(a, b, change, d, originRow), "nothing changes\n"},
			{list(a, b, change, d, originRow, rowText("e", 15, "sfax", "")), "added: e\n"},
			{list(a, b, change, d, originRow), "drained: e\n"},
			{list(a, rowText("b", 12, "rades", ", weight = 0.5"), change, d, originRow), "reweighted: b 1 -> 0.5\n"},
			{list(a, rowText("b", 12, "rades", ", weight = 0"), change, d, originRow), "drained: b\n"},
			{list(a, rowText("b", 12, "rades", ", weight = 2"), change, d, originRow), "added: b\n"},
			{list(a, rowText("b", 22, "rades", ", weight = 2"), change, d, originRow), "moved: b 127.0.0.1:12 -> 127.0.0.1:22\n"},
			{list(a, rowText("b", 22, "rades", `, weight = 2, state = "leaving"`), change, d, originRow), "drained: b\n"},
			{list(a, rowText("b", 22, "rades", ", weight = 2, cell = 4"), change, d, originRow), "added: b\naltered: b\n"},
		},
		"all servers of a site removed": {
			{list(a, b, change, d, originRow), "added: a, b, c, d, db\n"},
			{list(a, b, originRow), `refused: site sfax would lose all of its 2 servers; if that is meant, add to the head of the file: allow = ["site-gone sfax"]` + "\n"},
			{list(a, b, rowText("c", 13, "sfax", ", weight = 0"), rowText("d", 14, "sfax", `, state = "leaving"`), originRow), "refused: site sfax"},
			{allow("site-gone rades", a, b, originRow), "refused: site sfax"},
			{allow("site-gone sfax", a, b, originRow), "drained: c, d\n"},
			{list(a, b, change, d, originRow), "added: c, d\n"},
		},
		"an allowance is valid for one list": {
			{list(a, b, change, d, originRow), "added: a"},
			{allow("site-gone sfax", a, b, originRow), "drained: c, d\n"},
			{allow("site-gone sfax", a, b, change, d, originRow), "added: c, d\nnote: allow: \"site-gone sfax\" stood in the list before and is spent"},
			{allow("site-gone sfax", a, b, originRow), "refused: site sfax would lose all"},
			{list(a, b, change, d, originRow), "nothing changes\n"},
			{allow("site-gone sfax", a, b, originRow), "drained: c, d\n"},
		},
		"more than the allowed share removed": {
			{list(a, b, change, d, originRow), "added: a"},
			{list(a, change, originRow), "drained: b, d\n"},
			{list(a, b, change, d, originRow), "added: b, d\n"},
			{list(rowText("a", 31, "rades", ""), rowText("b", 32, "rades", ""), rowText("c", 33, "sfax", ""), d, originRow),
				`refused: 3 of 4 servers would go, or move to another address, at once: more than 50%; if that is meant, add to the head of the file: allow = ["gone 3"]`},
			{allow("gone 2", rowText("a", 31, "rades", ""), rowText("b", 32, "rades", ""), rowText("c", 33, "sfax", ""), d, originRow), "refused: 3 of 4"},
			{allow("gone 3", rowText("a", 31, "rades", ""), rowText("b", 32, "rades", ""), rowText("c", 33, "sfax", ""), d, originRow), "moved: a"},
		},
		"editions": {
			{edition("1", a, b, change, d, originRow), "added: a"},
			{edition("1", a, b, change, d, originRow), "nothing changes\n"},
			{edition("1", a, b, change, originRow), "refused: edition 1 is in use and this list is another; raise it to 2"},
			{edition("2", a, b, change, originRow), "drained: d\n"},
			{edition("1", a, b, change, d, originRow), "refused: edition 1 is older than 2"},
			{list(a, b, change, d, originRow), "refused: edition 0 is older than 2"},
		},
	} {
		var current *File
		for i, s := range steps {
			f := mustParse(t, s[0])
			change := Plan(current, f, testRules, 1e12+float64(i))
			if got := change.String(); !strings.HasPrefix(got, s[1]) && !(strings.HasPrefix(s[1], "refused") && strings.Contains(got, "\n"+s[1])) {
				t.Errorf("%s, step %d: got\n%swant\n%s", name, i, got, s[1])
			}
			if len(change.Refused) == 0 {
				current = &change.Next
			}
			if again := Plan(current, f, testRules, 5e12); len(change.Refused) == 0 && !again.Empty() {
				t.Errorf("%s, step %d: the list in use, saved again, changes %s", name, i, again.String())
			}
		}
	}
}

// Checks that an added server counts as started now unless the file says otherwise, and that a server that
// was already listed keeps its start.
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
		t.Error("the same file again results in a different list")
	}
}
