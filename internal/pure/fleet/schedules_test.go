package fleet_test

import (
	"flag"
	"testing"

	"mossproxy.example/mossproxy/internal/model/fleetnet"
)

var schedules = flag.Int("schedules", 80, "number of random fault schedules to play")

// Plays random schedules of partitions, one-way cuts, loss, crashes, pauses, restarts and joins: the shares
// in use never exceed the whole, and views settle after the last fault. More schedules: go test -run Drawn
// ./internal/pure/fleet -args -schedules 10000.
func TestDrawnSchedules(t *testing.T) {
	t.Parallel()
	if err := fleetnet.PlayDrawn(*schedules, false, false); err != nil {
		t.Error(err)
	}
	for _, seed := range []uint64{3736} { // two fleets first meet through a router that has no share
		if s := fleetnet.Draw(seed); s.Play() != nil {
			t.Errorf("%v: %v", s, s.Play())
		}
	}
}
