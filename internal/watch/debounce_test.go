package watch

import (
	"math"
	"testing"
)

func newDebouncer() *debouncer {
	return &debouncer{settleMS: 25, badReportDelayMS: 400, maxSettleMS: 150, unsettledSince: math.Inf(1)}
}

// TestDebouncer feeds sequences of polls to the debouncer and checks the action after each.
func TestDebouncer(t *testing.T) {
	const good, bad = actionNone, actionEvaluate // values of the quality column
	type step struct {
		at        float64
		found     byte
		want      action
		recheckAt float64
		quality   action // of the content, if the action is actionEvaluate
	}
	for name, steps := range map[string][]step{
		"quiet":                       {{0, 1, actionNone, 0, 0}, {1000, 1, actionNone, 0, 0}},
		"one edit":                    {{0, 1, actionNone, 0, 0}, {10, 2, actionRecheck, 35, 0}, {35, 2, actionEvaluate, 0, good}, {60, 2, actionNone, 0, 0}},
		"two edits within 10 ms":      {{0, 1, actionNone, 0, 0}, {10, 2, actionRecheck, 35, 0}, {18, 3, actionRecheck, 43, 0}, {43, 3, actionEvaluate, 0, good}, {50, 3, actionNone, 0, 0}},
		"back to the current content": {{0, 1, actionNone, 0, 0}, {10, 2, actionRecheck, 35, 0}, {20, 1, actionNone, 0, 0}, {30, 2, actionRecheck, 55, 0}},
		"a writer that never stops":   {{10, 2, actionRecheck, 35, 0}, {30, 3, actionRecheck, 55, 0}, {50, 4, actionRecheck, 75, 0}, {140, 5, actionRecheck, 160, 0}, {160, 6, actionEvaluate, 0, good}},
		"partial file, then complete": {{10, 2, actionRecheck, 35, 0}, {35, 2, actionEvaluate, 410, bad}, {40, 3, actionRecheck, 65, 0}, {65, 3, actionEvaluate, 0, good}},
		"partial file that stays":     {{10, 2, actionRecheck, 35, 0}, {35, 2, actionEvaluate, 410, bad}, {410, 2, actionEvaluate, -1, bad}, {999, 2, actionEvaluate, math.Inf(1), bad}},
	} {
		d := newDebouncer()
		d.current = digest{1}
		for i, st := range steps {
			act, recheckAt := d.observe(st.at, digest{st.found})
			if act != st.want || act == actionRecheck && recheckAt != st.recheckAt {
				t.Errorf("%s, step %d: action %v, recheck at %v, want %v at %v", name, i, act, recheckAt, st.want, st.recheckAt)
			}
			if act != actionEvaluate {
				continue
			}
			if st.quality == good {
				d.markCurrent()
				continue
			}
			report, recheckAt := d.markBad(st.at)
			if report != (st.recheckAt == -1) || !report && recheckAt != st.recheckAt {
				t.Errorf("%s, step %d: report %v, recheck at %v, want %v", name, i, report, recheckAt, st.recheckAt)
			}
		}
	}
}

// Checks that each bad content is reported once even if others come in between, and that the number of
// remembered contents is bounded.
func TestBadContentIsReportedOnce(t *testing.T) {
	d := newDebouncer()
	reports := 0
	for round := range 3 {
		for c := byte(1); c <= 10; c++ {
			at := float64(round*100000 + int(c)*1000)
			d.observe(at, digest{c})
			d.observe(at+500, digest{c})
			if report, _ := d.markBad(at + 500); report {
				reports++
			}
		}
	}
	if reports != 10 {
		t.Errorf("%d reports of 10 bad contents", reports)
	}
	for i := range 1000 {
		d.observe(1e9+float64(i)*1000, digest{byte(i), byte(i >> 8), 1})
		d.markBad(1e9 + float64(i)*1000 + 500)
	}
	if len(d.reported) > maxReported {
		t.Errorf("%d contents remembered, want at most maxReported", len(d.reported))
	}
}
