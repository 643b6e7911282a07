package drain

import (
	"math"
	"testing"
)

// Guards against answers that are promised in time to a client that takes them slowly.
func TestDeliveryFollowsTheRateOfTheSlowestPart(t *testing.T) {
	var d Delivery
	const perMS = 1000
	for at := 0.0; at <= 500; at += 10 {
		d.Observe(at, uint64(at*perMS), 400_000)
		if at < minObservation && d.Delay(0) != 0 {
			t.Fatalf("at %v ms: a delay of %v ms, though no rate is known", at, d.Delay(0))
		}
	}
	if got := d.Delay(0); math.Abs(got-400) > 1 {
		t.Errorf("400 kB at 1 MB/s: %v ms", got)
	}
	if got := d.Delay(100_000); math.Abs(got-500) > 1 {
		t.Errorf("with 100 kB more: %v ms", got)
	}
}

// Guards against clients that take all at once and are said to be slow, as they ask for little.
func TestDeliveryOfAQuickClientTakesNoTime(t *testing.T) {
	var d Delivery
	for at := 0.0; at < 1000; at += 100 {
		d.Observe(at, uint64(at), 50) // just written
		d.Observe(at+1, uint64(at)+50, 0)
	}
	d.Observe(1000, 1000, 50)
	if got := d.Delay(60_000); got != 0 {
		t.Errorf("%v ms", got)
	}
}

// Guards against a client that has stopped reading and is taken for one of unknown rate.
func TestDeliveryToAClientThatTakesNothingHasNoEnd(t *testing.T) {
	var d Delivery
	d.Observe(0, 5000, 1000)
	d.Observe(minStandstill, 5000, 1000)
	if got := d.Delay(0); !math.IsInf(got, 1) {
		t.Errorf("%v ms", got)
	}
}
