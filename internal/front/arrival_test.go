package front

import "testing"

// Guards against deadlines that count from when input was read instead of when it arrived, and against
// treating requests on idle connections as old.
func TestInputCountsFromWhenItCame(t *testing.T) {
	type read struct {
		began, ended float64
		n, size      int
		at           float64
	}
	for name, reads := range map[string][]read{
		"first command already there":             {{105, 105, 50, 4096, 100}},
		"first command waited for":                {{105, 300, 50, 4096, 300}},
		"commands on an idle connection":          {{100, 300, 50, 4096, 300}, {310, 3000, 50, 4096, 3000}, {3900, 5000, 50, 4096, 5000}},
		"after the reader was busy":               {{100, 300, 50, 4096, 300}, {1300, 1300, 50, 4096, 300}, {1301, 1301, 50, 4096, 1300}},
		"several reads after the reader was busy": {{100, 300, 50, 4096, 300}, {1300, 1300, 4096, 4096, 300}, {1301, 1301, 4096, 4096, 300}, {1302, 1302, 9, 4096, 300}, {1303, 1400, 9, 4096, 1400}},
		"long value arriving while it is read":    {{100, 300, 4096, 4096, 300}, {300, 304, 8000, 60000, 304}, {304, 309, 8000, 52000, 309}},
	} {
		a := arrivalTracker{lastEmpty: 100}
		for i, r := range reads {
			a.readStarted(r.began)
			a.readFinished(r.ended, r.n, r.size)
			if a.earliest != r.at {
				t.Errorf("%s: read %d counts from %v, want %v", name, i, a.earliest, r.at)
			}
		}
	}
}
