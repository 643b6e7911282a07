package quota_test

import (
	"flag"
	"testing"

	"mossproxy.example/mossproxy/internal/model/fleetnet"
)

var schedules = flag.Int("schedules", 30, "drawn schedules of faults that are played")

// Over drawn schedules of partitions, one-way cuts, loss, doubling, crashes, pauses, restarts, renames, replacements, joins and changes of
// work, routers that lend each other their parts never use more than the whole together, and their views settle.
// go test -run Drawn ./internal/pure/quota -args -schedules 10000 plays more.
func TestDrawnSchedulesWithLeases(t *testing.T) {
	t.Parallel()
	if err := fleetnet.PlayDrawn(*schedules, true, false); err != nil {
		t.Error(err)
	}
}
