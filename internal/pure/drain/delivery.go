package drain

import "math"

// Delivery estimates how long output that a system has taken for a peer needs to reach it. It is told from time to
// time how much the peer has acknowledged; while output is outstanding, that gives a rate. The zero value is ready
// to use.
type Delivery struct {
	backlogged bool    // output was outstanding at each observation since the given time
	since      float64 // ms
	ackedAt    uint64  // bytes acknowledged then
	now        float64 // time of the latest observation; ms
	acked      uint64  // bytes acknowledged then
	unacked    int     // bytes outstanding then
}

// Peers acknowledge in steps of up to half of their receive buffer, and up to 40 ms late.
const (
	// minObservation is how long output has to be outstanding, in ms, until a rate is known.
	minObservation = 50
	// minStandstill is how long nothing has to be acknowledged, in ms, until a peer is said to take nothing.
	minStandstill = 250
)

// Observe records that a peer has acknowledged the given number of bytes in all, and that unacked more are
// outstanding.
func (d *Delivery) Observe(now float64, acked uint64, unacked int) {
	if unacked > 0 && !d.backlogged {
		d.since, d.ackedAt = now, acked
	}
	d.backlogged = unacked > 0
	d.now, d.acked, d.unacked = now, acked, unacked
}

// Delay returns the estimated time in ms from the latest observation until the peer has all that was outstanding
// then and more bytes. It returns 0 if no rate is known, and +Inf if the peer takes nothing.
func (d *Delivery) Delay(more int) float64 {
	span := d.now - d.since
	if !d.backlogged || span < minObservation {
		return 0
	}
	taken := float64(d.acked - d.ackedAt)
	switch {
	case taken > 0:
	case span < minStandstill:
		return 0
	default:
		return math.Inf(1)
	}
	return float64(d.unacked+more) * span / taken
}
