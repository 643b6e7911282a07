package quota_test

import (
	"flag"
	"testing"

	"mossproxy.example/mossproxy/internal/model/fleetnet"
)

var schedules = flag.Int("schedules", 30, "number of random fault schedules to run")

// Under random schedules of partitions, one-way cuts, loss, duplication, crashes, pauses, restarts,
// renames, replacements, joins and load changes, routers that lease shares to each other never use more
// than the whole together, and their views converge.
//
// More schedules: go test -run Drawn ./internal/pure/quota -args -schedules 10000
func TestDrawnSchedulesWithLeases(t *testing.T) {
	t.Parallel()
	if err := fleetnet.PlayDrawn(*schedules, true, false); err != nil {
		t.Error(err)
	}
}
