package admission_test

import (
	"flag"
	"testing"

	"mossproxy.example/mossproxy/internal/model/fleetnet"
)

var schedules = flag.Int("schedules", 24, "number of random fault schedules to run")

// After random schedules of partitions, one-way cuts, loss, duplication, crashes, pauses, restarts,
// renames, replacements and joins, at twice the servers' capacity and more, all routers agree on one
// threshold that admits what the servers can do.
//
// More schedules: go test -run Drawn ./internal/pure/admission -args -schedules 10000
func TestDrawnSchedulesUnderOverload(t *testing.T) {
	t.Parallel()
	if err := fleetnet.PlayDrawn(*schedules, true, true); err != nil {
		t.Error(err)
	}
}

// Regression: all routers but one had been killed and cut off, and two that were joining each had a
// threshold of their own.
func TestJoiningRoutersHaveOneThreshold(t *testing.T) {
	t.Parallel()
	s := fleetnet.Draw(8580)
	s.Lends, s.Lines = true, true
	if err := s.Play(); err != nil {
		t.Error(err)
	}
}
