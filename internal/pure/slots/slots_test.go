package slots

import (
	"fmt"
	"strings"
	"testing"
)

func TestForKey(t *testing.T) {
	for key, want := range map[string]int{"123456789": 12739, "foo": 12182, "": 0, "{user1000}.following": 3443, "{user1000}.followers": 3443,
		"foo{}{bar}": ForKey([]byte("foo{}{bar}")), "foo{{bar}}zap": ForKey([]byte("{bar")), "foo{bar}{zap}": ForKey([]byte("bar"))} {
		if got := ForKey([]byte(key)); got != want {
			t.Errorf("%q: slot %d, want %d", key, got, want)
		}
	}
	if ForKey([]byte("foo{}{bar}")) == ForKey([]byte("bar")) {
		t.Error("an empty hash tag was used")
	}
}

func parseRanges(list string) (out []Range) { // format: "0-99=a/b,100-200=c"
	for item := range strings.SplitSeq(list, ",") {
		var r Range
		span, owner, _ := strings.Cut(item, "=")
		fmt.Sscanf(span, "%d-%d", &r.From, &r.To)
		names := strings.Split(owner, "/")
		r.Primary, r.Replicas = names[0], names[1:]
		out = append(out, r)
	}
	return out
}

// TestTable applies sequences of maps, redirects and removals to a table.
func TestTable(t *testing.T) {
	type step struct {
		at         float64
		event      string // "map EPOCH LIST", "moved SLOT ADDR", "gone ADDR"
		wantResult string // substring of the description of the result
		wantOwners string // expected owners afterwards: "SLOT=ADDR ..."
	}
	for name, steps := range map[string][]step{
		"full maps": {
			{0, "map 1 0-8191=a/b,8192-16383=c", "slots 16384 gaps 0", "0=a 8191=a 8192=c"},
			{10, "map 1 0-8191=a/b,8192-16383=c", "slots 0 gaps 0", "0=a"},
			{20, "map 2 0-4095=a,4096-16383=c", "slots 4096 gaps 0", "4095=a 4096=c"},
		},
		"a gap": {
			{0, "map 1 0-99=a,200-16383=c", "gaps 100", "99=a 150= 200=c"},
			{10, "moved 150 c", "believed", "150=c"},
			{20, "map 1 0-99=a,200-16383=c", "gaps 99", "150=c 151="},
			{5000, "map 1 0-99=a,200-16383=c", "gaps 100", "150="},
		},
		"epochs going backwards": {
			{0, "map 5 0-16383=a", "slots 16384", "7=a"},
			{10, "map 4 0-16383=b", "refused: epoch 4 is older than 5", "7=a"},
			{9000, "map 5 0-16383=a", "slots 0", "7=a"},
			{18000, "map 4 0-16383=b", "refused", "7=a"},
			{19500, "map 1 0-16383=b", "slots 16384", "7=b"}, // recreated cluster: no map of epoch 5 for 10 s
		},
		"conflicting claims": {
			{0, "map 1 0-100=b,50-16383=a", "conflicts 51", "0=b 49=b 50=a 101=a"}, // the lower address wins
			{10, "map 1 0-60=b,50-16383=a", "conflicts 11", "50=a 60=a 61=a"},
			{20, "map 2 0-16383=b", "conflicts 0", "50=b"},
			{30, "map 2 0-100=a,0-16383=b", "conflicts 101", "50=b"}, // the current owner wins
		},
		"a failover": {
			{0, "map 1 0-16383=a/b", "slots", "3=a"},
			{10, "moved 3 b", "believed", "3=b 4=a"},
			{20, "map 1 0-16383=a/b", "slots 0", "3=b 4=a"}, // the old primary still reports its old map
			{30, "map 2 0-16383=b/a", "slots 16383", "3=b 4=b"},
			{40, "map 1 0-16383=a/b", "refused", "3=b"},
			{50, "moved 3 a", "believed", "3=a"}, // the old primary still answers; redirects win for 2 s
			{60, "map 2 0-16383=b/a", "slots 0", "3=a"},
			{70, "map 3 0-16383=b/a", "slots 1", "3=b"},
		},
		"flapping redirects": {
			{0, "map 1 0-16383=a", "slots", "3=a"},
			{1, "moved 3 b", "believed", "3=b"}, {2, "moved 3 a", "believed", "3=a"}, {3, "moved 3 b", "believed", "3=b"},
			{4, "moved 3 a", "believed", "3=a"}, {5, "moved 3 b", "doubted", "3=a"}, {6, "moved 3 b", "doubted", "3=a"},
			{7, "map 1 0-16383=b", "slots 16384", "3=b"},
		},
		"redirect to the owner": {{0, "map 1 0-16383=a", "slots", "3=a"}, {1, "moved 3 a", "believed", "3=a"}},
		"nonsense":              {{0, "map 1 0-16383=a", "slots", "3=a"}, {1, "moved -1 b", "doubted", "3=a"}, {1, "moved 16384 b", "doubted", "3=a"}},
		"removed server":        {{0, "map 1 0-99=a,100-16383=b", "slots", "3=a"}, {1, "gone a", "slots 100", "3= 100=b"}},
		"a bad map":             {{0, "map 1 0-16384=a", "refused: slots 0 to 16384", "3="}, {0, "map 1 9-3=a", "refused", "3="}},
		"no addresses":          {{0, "map 1 0-16383=", "refused: slots 0 to 16383 have no address", "3="}},
	} {
		table := New()
		for i, s := range steps {
			f := strings.SplitN(s.event, " ", 3)
			result := ""
			switch f[0] {
			case "map":
				m := Map{Ranges: parseRanges(f[2])}
				fmt.Sscan(f[1], &m.Epoch)
				c := table.ApplyMap(s.at, m)
				if result = fmt.Sprintf("slots %d gaps %d conflicts %d", c.ChangedSlots, c.Gaps, c.Conflicts); c.RejectReason != "" {
					result = "refused: " + c.RejectReason
				}
			case "moved":
				slot := 0
				fmt.Sscan(f[1], &slot)
				result = map[bool]string{true: "believed", false: "doubted"}[table.ApplyRedirect(s.at, slot, f[2])]
				if !table.NeedsMap() && slot >= 0 && slot < Count {
					t.Errorf("%s, step %d: no map is needed after a redirect", name, i)
				}
			case "gone":
				result = fmt.Sprintf("slots %d", table.RemoveServer(f[1]))
			}
			if !strings.Contains(result, s.wantResult) {
				t.Errorf("%s, step %d (%s): %q, want %q", name, i, s.event, result, s.wantResult)
			}
			for o := range strings.FieldsSeq(s.wantOwners) {
				slot, want := 0, ""
				fmt.Sscanf(strings.Replace(o, "=", " ", 1), "%d %s", &slot, &want)
				if got, ok := table.Owner(slot); got.Primary != want || ok != (want != "") {
					t.Errorf("%s, step %d (%s): slot %d is owned by %q, want %q", name, i, s.event, slot, got.Primary, want)
				}
			}
		}
	}
}

func FuzzTable(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4, 5, 6, 7, 8})
	f.Fuzz(func(t *testing.T, in []byte) {
		table, now := New(), 0.0
		for len(in) >= 4 {
			now += float64(in[3]) * 20
			from, to := int(in[1])*64, int(in[2])*64+63
			switch in[0] % 3 {
			case 0:
				table.ApplyMap(now, Map{Epoch: uint64(in[3] % 4), Ranges: []Range{{from, to, Owner{Primary: string('a' + rune(in[0]%5))}}, {0, int(in[3]), Owner{Primary: "x"}}}})
			case 1:
				table.ApplyRedirect(now, from-64, string('a'+rune(in[2]%5)))
			case 2:
				table.RemoveServer(string('a' + rune(in[1]%5)))
			}
			in = in[4:]
		}
		if len(table.redirects) > Count {
			t.Error("more redirects are stored than there are slots")
		}
	})
}

// BenchmarkApplyMap measures applying a map in which adjacent slots have different owners.
func BenchmarkApplyMap(b *testing.B) {
	var maps [2]Map
	for i := range maps {
		maps[i].Epoch = 1
		for s := range Count {
			maps[i].Ranges = append(maps[i].Ranges, Range{s, s, Owner{Primary: fmt.Sprint("n", (s+i)%7)}})
		}
	}
	t := New()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		t.ApplyMap(float64(i), maps[i%2])
	}
}
