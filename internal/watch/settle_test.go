package watch

import (
	"math"
	"testing"
)

func newSettler() *settler {
	return &settler{settle: 25, patience: 400, hurry: 150, unrest: math.Inf(1)}
}

// TestSettler drives whole histories: at each time a content is found, and what is to be done follows.
func TestSettler(t *testing.T) {
	const good, bad = rest, judge // what judging would say, in the last column
	type step struct {
		at      float64
		found   byte
		want    verdict
		again   float64
		quality verdict // of the content, where it is judged
	}
	for name, steps := range map[string][]step{
		"quiet":                       {{0, 1, rest, 0, 0}, {1000, 1, rest, 0, 0}},
		"an edit that stands still":   {{0, 1, rest, 0, 0}, {10, 2, later, 35, 0}, {35, 2, judge, 0, good}, {60, 2, rest, 0, 0}},
		"two edits within 10 ms":      {{0, 1, rest, 0, 0}, {10, 2, later, 35, 0}, {18, 3, later, 43, 0}, {43, 3, judge, 0, good}, {50, 3, rest, 0, 0}},
		"back to what is in use":      {{0, 1, rest, 0, 0}, {10, 2, later, 35, 0}, {20, 1, rest, 0, 0}, {30, 2, later, 55, 0}},
		"a writer that never rests":   {{10, 2, later, 35, 0}, {30, 3, later, 55, 0}, {50, 4, later, 75, 0}, {140, 5, later, 160, 0}, {160, 6, judge, 0, good}},
		"half a file, then whole":     {{10, 2, later, 35, 0}, {35, 2, judge, 410, bad}, {40, 3, later, 65, 0}, {65, 3, judge, 0, good}},
		"half a file stands for good": {{10, 2, later, 35, 0}, {35, 2, judge, 410, bad}, {410, 2, judge, -1, bad}, {999, 2, judge, math.Inf(1), bad}},
	} {
		s := newSettler()
		s.inUse = sum{1}
		for i, st := range steps {
			v, again := s.see(st.at, sum{st.found})
			if v != st.want || v == later && again != st.again {
				t.Errorf("%s, step %d: %v again at %v, want %v at %v", name, i, v, again, st.want, st.again)
			}
			if v != judge {
				continue
			}
			if st.quality == good {
				s.taken()
				continue
			}
			tell, again := s.bad(st.at)
			if tell != (st.again == -1) || !tell && again != st.again {
				t.Errorf("%s, step %d: told %v, again at %v, want %v", name, i, tell, again, st.again)
			}
		}
	}
}

// Each bad content is told of once, also when others come in between, and the memory of them is bounded.
func TestBadContentsAreToldOfOnce(t *testing.T) {
	s := newSettler()
	told := 0
	for round := range 3 {
		for c := byte(1); c <= 10; c++ {
			at := float64(round*100000 + int(c)*1000)
			s.see(at, sum{c})
			s.see(at+500, sum{c})
			if tell, _ := s.bad(at + 500); tell {
				told++
			}
		}
	}
	if told != 10 {
		t.Errorf("told %d times of 10 contents", told)
	}
	for i := range 1000 {
		s.see(1e9+float64(i)*1000, sum{byte(i), byte(i >> 8), 1})
		s.bad(1e9 + float64(i)*1000 + 500)
	}
	if len(s.told) > maxTold {
		t.Errorf("%d contents are remembered", len(s.told))
	}
}
