package engine

import (
	"testing"
	"time"
)

// Starts of servers lie on the router's clock, and no real start is 0 there.
func TestStartsLieOnTheClock(t *testing.T) {
	c := clock{time.Now()}
	if d := c.now() - float64(time.Now().UnixMilli()); d < -1000 || d > 1000 {
		t.Errorf("the clock is %v ms off Unix time", d)
	}
}

func TestIdsMapAsOnTheSimulatorsWire(t *testing.T) {
	if got := keyID("7f3a9c21e0b4d655"); got != 0x7f3a9c21e0b4d655 {
		t.Errorf("key %#x", got)
	}
	if keyID("a") == keyID("b") {
		t.Error("other forms clash")
	}
}
