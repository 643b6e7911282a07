package operator

import (
	"bytes"
	"errors"
	"strings"
	"testing"
)

// Checks the report for: all requests served, an admission threshold, routers that disagree, a router
// that does not answer, servers that have reported no capacity, and no pools.
func TestLoad(t *testing.T) {
	unloaded := Admission{Pool: "one", AdmittedShare: 1, Arrivals: 40, Capacity: 47, LocalArrivals: 39}
	overloaded := Admission{Pool: "one", AdmittedShare: 0.66, Worth: 0.088, ThresholdShare: 0.9, Arrivals: 72, Capacity: 47, LocalArrivals: 70, Rejected: 2, ByWorth: []WorthStats{{1, 14, 0}, {0.088, 36, 3.5}, {0.0078, 20, 20}}}
	disagreeing := overloaded
	disagreeing.AdmittedShare = 0.4
	router := func(name string, ls ...Admission) ViewResult {
		return ViewResult{Addr: "127.0.0.1:1", View: FleetView{Name: name, ResourceShare: ResourceShare{Effective: 0.04, LeasedIn: 0.01}, Admissions: ls}}
	}
	for _, c := range []struct {
		name  string
		asked []ViewResult
		agree bool
		says  []string
	}{
		{"calm", []ViewResult{router("a", unloaded), router("b", unloaded)}, true, []string{"pool one: all is served; 40 a second asked of each router, room for 47", "a ", "b "}},
		{"a line", []ViewResult{router("a", overloaded)}, true, []string{"66% is served: all that is worth over 0.088 of the highest, and 90% of what is worth about that",
			"share 0.0400 (borrowed 0.0100, lent 0.0000)", "under the line 23.5/s, no room 2.0/s", "worth 0.0078"}},
		{"apart", []ViewResult{router("a", overloaded), router("b", disagreeing)}, false, []string{"the routers differ: 40% to 66%"}},
		{"silent", []ViewResult{router("a", unloaded), {Addr: "127.0.0.1:2", Err: errors.New("refused")}}, false, []string{"127.0.0.1:2: no answer: refused", "all is served"}},
		{"no reports", []ViewResult{router("a", Admission{Pool: "one", AdmittedShare: 1})}, true, []string{"no server has said what it can do"}},
		{"no pools", []ViewResult{router("a")}, false, []string{"no router tells of a pool"}},
	} {
		if short := SummarizeServed(c.asked); strings.Contains(short, "one serves ") != (c.name != "no pools") {
			t.Errorf("%s: %q", c.name, short)
		}
		var out bytes.Buffer
		if agree := WriteLoad(&out, c.asked); agree != c.agree {
			t.Errorf("%s: agree is %v\n%s", c.name, agree, &out)
		}
		for _, s := range c.says {
			if !strings.Contains(out.String(), s) {
				t.Errorf("%s: %q is not in\n%s", c.name, s, &out)
			}
		}
	}
}
