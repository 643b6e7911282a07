package front

import "testing"

// Guards against deadlines that count from when input was looked at, and against requests taken for old ones on connections that were idle.
func TestInputCountsFromWhenItCame(t *testing.T) {
	type read struct {
		began, ended float64
		n, room      int
		at           float64
	}
	for name, reads := range map[string][]read{
		"a first command that was there":         {{105, 105, 50, 4096, 100}},
		"a first command that was waited for":    {{105, 300, 50, 4096, 300}},
		"commands of an idle connection":         {{100, 300, 50, 4096, 300}, {310, 3000, 50, 4096, 3000}, {3900, 5000, 50, 4096, 5000}},
		"behind a reader that was away":          {{100, 300, 50, 4096, 300}, {1300, 1300, 50, 4096, 300}, {1301, 1301, 50, 4096, 1300}},
		"more than one read behind such a one":   {{100, 300, 50, 4096, 300}, {1300, 1300, 4096, 4096, 300}, {1301, 1301, 4096, 4096, 300}, {1302, 1302, 9, 4096, 300}, {1303, 1400, 9, 4096, 1400}},
		"a long value that comes while it reads": {{100, 300, 4096, 4096, 300}, {300, 304, 8000, 60000, 304}, {304, 309, 8000, 52000, 309}},
	} {
		a := arrivalTracker{lastEmpty: 100}
		for i, r := range reads {
			a.readStarted(r.began)
			a.readFinished(r.ended, r.n, r.room)
			if a.earliest != r.at {
				t.Errorf("%s: read %d counts from %v, want %v", name, i, a.earliest, r.at)
			}
		}
	}
}
