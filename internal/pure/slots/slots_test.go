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
		t.Error("an empty tag is no tag")
	}
}

func parseRanges(list string) (out []Range) { // "0-99=a/b,100-200=c"
	for item := range strings.SplitSeq(list, ",") {
		var r Range
		span, who, _ := strings.Cut(item, "=")
		fmt.Sscanf(span, "%d-%d", &r.From, &r.To)
		names := strings.Split(who, "/")
		r.Primary, r.Replicas = names[0], names[1:]
		out = append(out, r)
	}
	return out
}

// TestTable drives the table through histories of maps and redirections.
func TestTable(t *testing.T) {
	type step struct {
		at    float64
		event string // "map EPOCH LIST", "moved SLOT ADDR", "gone ADDR"
		said  string // a part of what it did, as below
		owns  string // "SLOT=ADDR ..." afterwards
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
		"epochs going back": {
			{0, "map 5 0-16383=a", "slots 16384", "7=a"},
			{10, "map 4 0-16383=b", "refused: epoch 4 is older than 5", "7=a"},
			{9000, "map 5 0-16383=a", "slots 0", "7=a"},
			{18000, "map 4 0-16383=b", "refused", "7=a"},
			{19500, "map 1 0-16383=b", "slots 16384", "7=b"}, // made anew: nobody has confirmed 5 for 10 s
		},
		"two owners claim": {
			{0, "map 1 0-100=b,50-16383=a", "clashes 51", "0=b 49=b 50=a 101=a"}, // the first by address
			{10, "map 1 0-60=b,50-16383=a", "clashes 11", "50=a 60=a 61=a"},
			{20, "map 2 0-16383=b", "clashes 0", "50=b"},
			{30, "map 2 0-100=a,0-16383=b", "clashes 101", "50=b"}, // who has had it
		},
		"a failover": {
			{0, "map 1 0-16383=a/b", "slots", "3=a"},
			{10, "moved 3 b", "believed", "3=b 4=a"},
			{20, "map 1 0-16383=a/b", "slots 0", "3=b 4=a"}, // the old primary goes on telling its map
			{30, "map 2 0-16383=b/a", "slots 16383", "3=b 4=b"},
			{40, "map 1 0-16383=a/b", "refused", "3=b"},
			{50, "moved 3 a", "believed", "3=a"}, // the old primary still answers: a redirection stands for a while
			{60, "map 2 0-16383=b/a", "slots 0", "3=a"},
			{70, "map 3 0-16383=b/a", "slots 1", "3=b"},
		},
		"to and fro": {
			{0, "map 1 0-16383=a", "slots", "3=a"},
			{1, "moved 3 b", "believed", "3=b"}, {2, "moved 3 a", "believed", "3=a"}, {3, "moved 3 b", "believed", "3=b"},
			{4, "moved 3 a", "believed", "3=a"}, {5, "moved 3 b", "doubted", "3=a"}, {6, "moved 3 b", "doubted", "3=a"},
			{7, "map 1 0-16383=b", "slots 16384", "3=b"},
		},
		"to oneself":   {{0, "map 1 0-16383=a", "slots", "3=a"}, {1, "moved 3 a", "believed", "3=a"}},
		"nonsense":     {{0, "map 1 0-16383=a", "slots", "3=a"}, {1, "moved -1 b", "doubted", "3=a"}, {1, "moved 16384 b", "doubted", "3=a"}},
		"a node goes":  {{0, "map 1 0-99=a,100-16383=b", "slots", "3=a"}, {1, "gone a", "slots 100", "3= 100=b"}},
		"a bad map":    {{0, "map 1 0-16384=a", "refused: slots 0 to 16384", "3="}, {0, "map 1 9-3=a", "refused", "3="}},
		"no addresses": {{0, "map 1 0-16383=", "refused: slots 0 to 16383 have no address", "3="}},
	} {
		tab := New()
		for i, s := range steps {
			f := strings.SplitN(s.event, " ", 3)
			said := ""
			switch f[0] {
			case "map":
				m := Map{Ranges: parseRanges(f[2])}
				fmt.Sscan(f[1], &m.Epoch)
				c := tab.ApplyMap(s.at, m)
				if said = fmt.Sprintf("slots %d gaps %d clashes %d", c.ChangedSlots, c.Gaps, c.Conflicts); c.RejectReason != "" {
					said = "refused: " + c.RejectReason
				}
			case "moved":
				slot := 0
				fmt.Sscan(f[1], &slot)
				said = map[bool]string{true: "believed", false: "doubted"}[tab.ApplyRedirect(s.at, slot, f[2])]
				if !tab.NeedsMap() && slot >= 0 && slot < Count {
					t.Errorf("%s, step %d: no map is wanted after a redirection", name, i)
				}
			case "gone":
				said = fmt.Sprintf("slots %d", tab.RemoveServer(f[1]))
			}
			if !strings.Contains(said, s.said) {
				t.Errorf("%s, step %d (%s): %q, want %q", name, i, s.event, said, s.said)
			}
			for o := range strings.FieldsSeq(s.owns) {
				slot, who := 0, ""
				fmt.Sscanf(strings.Replace(o, "=", " ", 1), "%d %s", &slot, &who)
				if got, ok := tab.Owner(slot); got.Primary != who || ok != (who != "") {
					t.Errorf("%s, step %d (%s): slot %d is %q's, want %q", name, i, s.event, slot, got.Primary, who)
				}
			}
		}
	}
}

func FuzzTable(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4, 5, 6, 7, 8})
	f.Fuzz(func(t *testing.T, in []byte) {
		tab, now := New(), 0.0
		for len(in) >= 4 {
			now += float64(in[3]) * 20
			from, to := int(in[1])*64, int(in[2])*64+63
			switch in[0] % 3 {
			case 0:
				tab.ApplyMap(now, Map{Epoch: uint64(in[3] % 4), Ranges: []Range{{from, to, Owner{Primary: string('a' + rune(in[0]%5))}}, {0, int(in[3]), Owner{Primary: "x"}}}})
			case 1:
				tab.ApplyRedirect(now, from-64, string('a'+rune(in[2]%5)))
			case 2:
				tab.RemoveServer(string('a' + rune(in[1]%5)))
			}
			in = in[4:]
		}
		if len(tab.redirects) > Count {
			t.Error("redirections pile up")
		}
	})
}

// BenchmarkApplyMap gives the time to take a map in which every slot has another owner than the next.
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
