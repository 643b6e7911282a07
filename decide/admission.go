package decide

import (
	"fmt"
	"math"
)

// NumBands is the number of bands of worth in which routers report demand, in descending order of worth.
// Each band ends at 0.71 times the end of the one before it, and the last one holds all smaller worths.
const NumBands = 24

// BandOf returns the band of a worth, given as a share of the highest worth. A share that is not positive,
// or NaN, is in the last band.
func BandOf(share float64) int {
	if !(share > 0) {
		return NumBands - 1
	}
	return int(min(NumBands-1, max(0, -2*math.Log2(share))))
}

// Demand holds a router's cumulative counts of work since its start, in requests of mean work, and the
// capacity that is available for it.
type Demand struct {
	Arrived  [NumBands]float64 // work that clients requested for the first time, by band of worth
	Shed     [NumBands]float64 // part of Arrived that was refused because of the admission threshold
	Admitted float64           // work that passed the threshold, retries by clients included
	Rejected float64           // part of Admitted refused later: no server or fetch was available in time
	Sent     float64           // work of the attempts that were sent to cache servers for Admitted
	Capacity float64           // work a second that all routers together may send to all servers; 0 = unknown
}

// Add adds the demand of another process of the same router. Both know the same servers, so Capacity
// becomes the higher of the two.
func (d *Demand) Add(o Demand) {
	for i := range d.Arrived {
		d.Arrived[i], d.Shed[i] = d.Arrived[i]+o.Arrived[i], d.Shed[i]+o.Shed[i]
	}
	d.Admitted, d.Rejected, d.Sent, d.Capacity = d.Admitted+o.Admitted, d.Rejected+o.Rejected, d.Sent+o.Sent, max(d.Capacity, o.Capacity)
}

// AdmissionThreshold says which requests all routers of a tier admit while the servers can't serve all of
// them. The routers agree on it among themselves. Requests in bands before Band are admitted and those in
// later bands are shed. In Band itself, a rotating hash of tenant and key, which is the same at all
// routers, selects them.
type AdmissionThreshold struct {
	Band           int     // band of worth that is admitted in part; NumBands = everything is admitted
	Share          float64 // share of the requests of Band that is admitted, 0 to 1
	Rotation       float64 // offset of the hash when the threshold is set, 0 to 1
	RotationPeriod float64 // time of a full rotation of the hash, ms
	Until          float64 // time at which the threshold expires unless it is renewed, ms
}

// AdmitAll is the threshold that admits every request.
var AdmitAll = AdmissionThreshold{Band: NumBands}

// Validate returns an error if a field is out of its range.
func (l AdmissionThreshold) Validate() error {
	share := func(x float64) bool { return x >= 0 && x <= 1 }
	if l.Band < 0 || l.Band > NumBands || l.Band < NumBands && (!share(l.Share) || !share(l.Rotation) || !(l.RotationPeriod > 0) || math.IsInf(l.RotationPeriod, 1) || math.IsNaN(l.Until)) {
		return fmt.Errorf("decide: invalid admission threshold %+v", l)
	}
	return nil
}

// SetAdmissionThreshold applies a threshold from now on. It returns an error, and changes nothing, if the
// threshold is invalid.
func (b *Balancer) SetAdmissionThreshold(now float64, l AdmissionThreshold) error {
	if err := l.Validate(); err != nil {
		return err
	}
	b.advance(now)
	b.admission, b.admissionAt = l, now
	return nil
}

// Demand returns the demand counted so far. It is zero unless the routers of the tier coordinate.
func (b *Balancer) Demand() Demand {
	if !b.tierKnown {
		return Demand{}
	}
	d := b.demand
	d.Capacity = b.totalCapacity
	return d
}

// usableCapacity returns the work a second that all routers together may send to the usable servers, or 0
// while no server has reported its capacity.
func (b *Balancer) usableCapacity() (sum float64) {
	if !b.tierKnown || b.medianCapacity == 0 {
		return 0
	}
	for _, s := range b.serverList {
		switch limit := b.sendLimit(s); {
		case s.State != Ready || s.ejected:
		case limit > 0:
			sum += min(limit, warmCapacityShare*b.capacityOf(s))
		default:
			sum += warmCapacityShare * b.capacityOf(s)
		}
	}
	return sum
}

// bandPosition returns the current position of a request in the threshold's band, from 0 to 1. The request
// is admitted while its position is below Share.
func (b *Balancer) bandPosition(r *request) float64 {
	h := mix64(r.key.id)
	for _, c := range []byte(r.Tenant) {
		h = mix64(h ^ uint64(c))
	}
	u := float64(h>>11)/(1<<53) + b.admission.Rotation + (b.now-b.admissionAt)/b.admission.RotationPeriod
	return u - math.Floor(u)
}
