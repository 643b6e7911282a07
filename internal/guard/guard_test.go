package guard

import "testing"

// Guards against a rule whose violations nobody counts.
func TestCountsByRule(t *testing.T) {
	var g Guard
	g.CountCheck(Deadline)
	g.CountCheck(Deadline)
	g.CountPrevented(Draining, "a1", "late")
	g.RecordViolation(Repeat, "a2", "attempt %d", 1)
	want := map[Rule]Count{Deadline: {Checked: 2}, Draining: {Prevented: 1}, Repeat: {Broken: 1}}
	for _, c := range g.Counts() {
		w := want[c.Rule]
		w.Rule = c.Rule
		if c != w {
			t.Errorf("got %+v, want %+v", c, w)
		}
		if c.Rule.String() == "" {
			t.Errorf("rule %d has no name", c.Rule)
		}
	}
	(*Guard)(nil).CountCheck(Deadline)
	(*Guard)(nil).RecordViolation(Deadline, "a1", "nobody counts")
}
