package watch

import (
	"math"
	"testing"
)

func newDebouncer() *debouncer {
	return &debouncer{settleMS: 25, badReportDelayMS: 400, maxSettleMS: 150, unsettledSince: math.Inf(1)}
}

// TestDebouncer drives whole histories: at each time a content is found, and what is to be done follows.
func TestDebouncer(t *testing.T) {
	const good, bad = actionNone, actionEvaluate // what judging would say, in the last column
	type step struct {
		at      float64
		found   byte
		want    action
		again   float64
		quality action // of the content, where it is judged
	}
	for name, steps := range map[string][]step{
		"quiet":                       {{0, 1, actionNone, 0, 0}, {1000, 1, actionNone, 0, 0}},
		"an edit that stands still":   {{0, 1, actionNone, 0, 0}, {10, 2, actionRecheck, 35, 0}, {35, 2, actionEvaluate, 0, good}, {60, 2, actionNone, 0, 0}},
		"two edits within 10 ms":      {{0, 1, actionNone, 0, 0}, {10, 2, actionRecheck, 35, 0}, {18, 3, actionRecheck, 43, 0}, {43, 3, actionEvaluate, 0, good}, {50, 3, actionNone, 0, 0}},
		"back to what is in use":      {{0, 1, actionNone, 0, 0}, {10, 2, actionRecheck, 35, 0}, {20, 1, actionNone, 0, 0}, {30, 2, actionRecheck, 55, 0}},
		"a writer that never rests":   {{10, 2, actionRecheck, 35, 0}, {30, 3, actionRecheck, 55, 0}, {50, 4, actionRecheck, 75, 0}, {140, 5, actionRecheck, 160, 0}, {160, 6, actionEvaluate, 0, good}},
		"half a file, then whole":     {{10, 2, actionRecheck, 35, 0}, {35, 2, actionEvaluate, 410, bad}, {40, 3, actionRecheck, 65, 0}, {65, 3, actionEvaluate, 0, good}},
		"half a file stands for good": {{10, 2, actionRecheck, 35, 0}, {35, 2, actionEvaluate, 410, bad}, {410, 2, actionEvaluate, -1, bad}, {999, 2, actionEvaluate, math.Inf(1), bad}},
	} {
		s := newDebouncer()
		s.current = digest{1}
		for i, st := range steps {
			v, again := s.observe(st.at, digest{st.found})
			if v != st.want || v == actionRecheck && again != st.again {
				t.Errorf("%s, step %d: %v again at %v, want %v at %v", name, i, v, again, st.want, st.again)
			}
			if v != actionEvaluate {
				continue
			}
			if st.quality == good {
				s.markCurrent()
				continue
			}
			tell, again := s.markBad(st.at)
			if tell != (st.again == -1) || !tell && again != st.again {
				t.Errorf("%s, step %d: told %v, again at %v, want %v", name, i, tell, again, st.again)
			}
		}
	}
}

// Each bad content is told of once, also when others come in between, and the memory of them is bounded.
func TestBadContentIsReportedOnce(t *testing.T) {
	s := newDebouncer()
	told := 0
	for round := range 3 {
		for c := byte(1); c <= 10; c++ {
			at := float64(round*100000 + int(c)*1000)
			s.observe(at, digest{c})
			s.observe(at+500, digest{c})
			if tell, _ := s.markBad(at + 500); tell {
				told++
			}
		}
	}
	if told != 10 {
		t.Errorf("told %d times of 10 contents", told)
	}
	for i := range 1000 {
		s.observe(1e9+float64(i)*1000, digest{byte(i), byte(i >> 8), 1})
		s.markBad(1e9 + float64(i)*1000 + 500)
	}
	if len(s.reported) > maxReported {
		t.Errorf("%d contents are remembered", len(s.reported))
	}
}
