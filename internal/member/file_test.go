package member

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

var testRules = Rules{Sites: []string{"rades", "sfax"}, Kinds: []string{"cache"}, Origin: true, GoneShare: 0.5}

// serverFileText is a server file: each server a line of its own, as people write it.
func serverFileText(head string, rows ...string) string {
	return fmt.Sprintf("%sservers = [\n  %s,\n]\nend = %d\n", head, strings.Join(rows, ",\n  "), len(rows))
}

func rowText(id string, port int, site, more string) string {
	return fmt.Sprintf(`{id = %q, addr = "127.0.0.1:%d", site = %q%s}`, id, port, site, more)
}

const originRow = `{id = "db", addr = "127.0.0.1:1", site = "rades", kind = "origin"}`

// fourServers is a list of two servers in each site.
func fourServers() []string {
	return []string{rowText("a", 11, "rades", ""), rowText("b", 12, "rades", ""), rowText("c", 13, "sfax", ""), rowText("d", 14, "sfax", ""), originRow}
}

func mustParse(t testing.TB, s string) File {
	t.Helper()
	f, faults := ParseFile("s.toml", []byte(s), testRules)
	if faults != nil {
		t.Fatalf("%v\n%s", faults, s)
	}
	return f
}

func TestServerFile(t *testing.T) {
	rows := append(fourServers(), rowText("e", 15, "sfax", `, weight = 0.25, state = "leaving", cell = 3, started = 2026-12-01T03:00:00Z`),
		rowText("f", 16, "sfax", ", weight = 0, warm = true"))
	f := mustParse(t, serverFileText("# by hand\nallow = [\"gone 3\"]\n", rows...)+"# done\n\n")
	if e := f.Servers[5]; e != (Entry{ID: "e", Addr: "127.0.0.1:15", Zone: "sfax", Kind: "cache", Cell: 3, State: "leaving", Weight: 0.25, Started: 1796094000000}) {
		t.Errorf("got %+v", e)
	}
	l := f.List(7)
	if !l.Full || l.Version != 7 || l.Servers[6].State != "leaving" || l.Servers[0].State != "active" || f.Servers[6].State != "active" {
		t.Errorf("a weight of 0 takes nothing new: %+v", l)
	}
	if f.Servers[0].Started != unknownStart || f.Servers[6].Started != 0 || f.Servers[0].Weight != 1 {
		t.Errorf("defaults: %+v", f.Servers)
	}
	example, err := os.ReadFile(filepath.Join("..", "..", "deploy", "servers.toml"))
	if err != nil {
		t.Fatal(err)
	}
	if f := mustParse(t, string(example)); len(f.Servers) != 5 {
		t.Errorf("the example has %d servers", len(f.Servers))
	}
}

// Each fault of a file names its line, its key and what would be right.
func TestFaultsOfAServerFile(t *testing.T) {
	rows := fourServers()
	with := func(more string) string {
		return serverFileText("", append(fourServers(), rowText("e", 15, "sfax", more))...)
	}
	for _, c := range []struct{ name, text, want string }{
		{"empty", "", "s.toml:1: the file is empty"},
		{"blank", " \n\n", "the file is empty"},
		{"no end", strings.Replace(serverFileText("", rows...), "end = 5", "", 1), "s.toml:7: end: the last line is missing, so the file may be cut short; if it is whole, add as its last line: end = 5"},
		{"wrong count", strings.Replace(serverFileText("", rows...), "end = 5", "end = 6", 1), "s.toml:8: end: says 6 servers, and the file lists 5; if the file is whole, write: end = 5"},
		{"behind the end", serverFileText("", rows...) + "allow = [\"gone 1\"]\n", "something stands behind the end line"},
		{"end of text", strings.Replace(serverFileText("", rows...), "end = 5", `end = "5"`, 1), "not an end line; write: end = 5"},
		{"edition without end", "edition = 3\n" + serverFileText("", rows...), "says edition 0, and the head says 3"},
		{"below 1", "edition = -3\n" + strings.Replace(serverFileText("", rows...), "end = 5", "end = {servers = 5, edition = -3}", 1), "edition: -3 is below 1"},
		{"doubled id", serverFileText("", append(rows, rowText("a", 99, "sfax", ""))...), `s.toml:7: servers[5].id: "a" stands at servers[0] too, in line 2`},
		{"doubled address", serverFileText("", append(rows, rowText("z", 11, "sfax", ""))...), `servers[5].addr: "127.0.0.1:11" stands at servers[0] too`},
		{"same number", serverFileText("", append(rows, rowText("x-0000001f", 21, "sfax", ""), rowText("y-0000001f", 22, "sfax", ""))...), `servers[6].id: "y-0000001f" has the same number as servers[5]`},
		{"negative weight", with(", weight = -1.0"), "servers[5].weight: -1 is no weight; from 0"},
		{"weight nan", with(", weight = nan"), "servers[5].weight: NaN is no weight"},
		{"weight inf", with(", weight = inf"), "servers[5].weight: +Inf is no weight"},
		{"weight of text", with(`, weight = "much"`), "s.toml:7: "},
		{"all weights 0", serverFileText("", rowText("a", 11, "rades", ", weight = 0"), rowText("b", 12, "rades", ", weight = 0"), originRow), "servers: every weight is 0"},
		{"all leaving", serverFileText("", rowText("a", 11, "rades", `, state = "leaving"`), originRow), "servers: every cache server is leaving"},
		{"no cache server", serverFileText("", originRow), "servers: no cache server is listed"},
		{"unknown kind", with(`, kind = "m9"`), `servers[5].kind: "m9" is no kind of this pool; it has cache and origin`},
		{"unknown site", serverFileText("", append(rows, rowText("e", 15, "tunis", ""))...), `servers[5].site: "tunis" is no site of this pool; it has rades, sfax`},
		{"no site", serverFileText("", append(rows, `{id = "e", addr = "127.0.0.1:15"}`)...), "servers[5].site: missing"},
		{"no origin", serverFileText("", rows[:4]...), "servers: no origin is listed, and this pool needs one"},
		{"two origins", serverFileText("", append(rows, strings.Replace(originRow, `"db", addr = "127.0.0.1:1"`, `"db2", addr = "127.0.0.1:2"`, 1))...), "servers: 2 origins are listed"},
		{"no port", strings.Replace(serverFileText("", rows...), ":11\"", "\"", 1), `servers[0].addr: "127.0.0.1" is no address`},
		{"port 0", strings.Replace(serverFileText("", rows...), ":11\"", ":0\"", 1), `servers[0].addr: "127.0.0.1:0" is no address`},
		{"unknown key", with(", wieght = 2"), "s.toml:7: wieght: no such key"},
		{"unknown state", with(`, state = "gone"`), `servers[5].state: "gone" is no state; active and leaving are`},
		{"warm and started", with(", warm = true, started = 2026-01-01T00:00:00Z"), "servers[5].warm: stands beside started"},
		{"allow", "allow = [\"all\"]\n" + serverFileText("", rows...), `s.toml:1: allow[0]: "all" allows nothing known`},
		{"too long", serverFileText("", rows...) + strings.Repeat("#", MaxFileBytes), "over 1048576 bytes"},
		{"binary", "\x00\xff\xfe", "s.toml:1: "},
	} {
		f, faults := ParseFile("s.toml", []byte(c.text), testRules)
		if got := faults.Error(); !strings.Contains(got, c.want) || f.Servers != nil {
			t.Errorf("%s: got %q, want %q in it", c.name, got, c.want)
		}
	}
	_, faults := ParseFile("s.toml", []byte(with(`, weight = -1.0, state = "x", kind = "y"`)), testRules)
	if len(faults) != 3 {
		t.Errorf("three faults: got %v", faults)
	}
}

// A file cut at any byte is never taken for another list than the one it was to become.
func TestFileTruncatedAtEveryByte(t *testing.T) {
	rows := fourServers()
	for _, whole := range []string{serverFileText("", rows...), serverFileText("# head\n", append(rows, rowText("e", 15, "sfax", ", weight = 0.5"))...),
		serverFileText("", append(rows, manyServers(12)...)...), "edition = 12\n" + strings.Replace(serverFileText("", rows...), "end = 5", "end = {servers = 5, edition = 12}", 1)} {
		want := mustParse(t, whole)
		for cut := range whole {
			f, faults := ParseFile("s.toml", []byte(whole[:cut]), testRules)
			if faults == nil && !reflect.DeepEqual(f, want) {
				t.Fatalf("cut at byte %d of %d: taken as\n%+v", cut, len(whole), f)
			}
			if faults == nil && cut < len(whole)-1 {
				t.Errorf("cut at byte %d of %d: taken, though the end line is not whole", cut, len(whole))
			}
		}
	}
}

func manyServers(n int) (rows []string) {
	for i := range n {
		rows = append(rows, rowText(fmt.Sprintf("m-%x", i+100), 1000+i, "sfax", ""))
	}
	return rows
}

// A file that is written over in place, without being cut first, holds the head of the new list and the tail of the old.
// With editions no such mixture passes, whatever the lengths.
func TestFileOverwrittenAtEveryByte(t *testing.T) {
	with := func(edition, n int, weight string) string {
		rows := append(fourServers(), manyServers(n)...)
		rows[0] = rowText("a", 11, "rades", ", weight = "+weight)
		rows[3] = rowText("d", 14, "sfax", ", weight = "+weight)
		return fmt.Sprintf("edition = %d\n", edition) +
			strings.Replace(serverFileText("", rows...), fmt.Sprintf("end = %d", len(rows)), fmt.Sprintf("end = {servers = %d, edition = %d}", len(rows), edition), 1)
	}
	for _, c := range []struct{ old, next string }{
		{with(1, 3, "0.25"), with(2, 3, "0.75")},   // of the same length
		{with(9, 3, "0.25"), with(10, 3, "0.5")},   // shifted by a byte
		{with(19, 3, "0.25"), with(20, 9, "0.75")}, // growing
		{with(7, 9, "0.25"), with(8, 2, "0.75")},   // shrinking
	} {
		old, next := mustParse(t, c.old), mustParse(t, c.next)
		for cut := 0; cut <= len(c.next); cut++ {
			mixed := c.next[:cut]
			if cut < len(c.old) {
				mixed += c.old[cut:]
			}
			f, faults := ParseFile("s.toml", []byte(mixed), testRules)
			if faults == nil && !reflect.DeepEqual(f, old) && !reflect.DeepEqual(f, next) {
				t.Fatalf("written over up to byte %d: taken as a third list\n%s", cut, mixed)
			}
		}
	}
}

func FuzzParseFile(f *testing.F) {
	f.Add([]byte(serverFileText("", fourServers()...)))
	f.Add([]byte("edition = 1\nallow = [\"site-gone sfax\"]\n" + serverFileText("", fourServers()...)))
	f.Fuzz(func(t *testing.T, in []byte) {
		file, faults := ParseFile("s.toml", in, testRules)
		if faults != nil {
			return
		}
		takes := 0
		for _, s := range file.Servers {
			if s.isCache() && s.acceptsRequests() {
				takes++
			}
			if _, err := s.BalancerEntry(); err != nil {
				t.Errorf("passed, but the router says %v", err)
			}
		}
		if takes == 0 {
			t.Error("passed without a server that takes requests")
		}
	})
}

func TestServerIDMapping(t *testing.T) {
	if got := ServerID("s-5be2a07c"); got != 0x5be2a07c {
		t.Errorf("server %#x", got)
	}
	if ServerID("cache-east") == ServerID("cache-west") || ServerID("rades-01") == ServerID("sfax-01") {
		t.Error("other forms clash")
	}
}
