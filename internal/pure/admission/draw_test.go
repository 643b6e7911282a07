package admission_test

import (
	"flag"
	"testing"

	"mossproxy.example/mossproxy/internal/model/fleetnet"
)

var schedules = flag.Int("schedules", 24, "drawn schedules of faults that are played")

// After drawn schedules of partitions, one-way cuts, loss, doubling, crashes, pauses, restarts, renames, replacements and joins, with twice as
// much and more asked for than servers can do, all routers have one line again, which lets pass what servers can do.
// go test -run Drawn ./internal/pure/admission -args -schedules 10000 plays more.
func TestDrawnSchedulesUnderOverload(t *testing.T) {
	t.Parallel()
	if err := fleetnet.PlayDrawn(*schedules, true, true); err != nil {
		t.Error(err)
	}
}

// A drawn schedule of before: after all but one had been killed and cut off, two that are joining had a line each.
func TestJoiningRoutersHaveOneThreshold(t *testing.T) {
	t.Parallel()
	s := fleetnet.Draw(8580)
	s.Lends, s.Lines = true, true
	if err := s.Play(); err != nil {
		t.Error(err)
	}
}
