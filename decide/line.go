package decide

import (
	"fmt"
	"math"
)

// NumBands are those of worth by which routers tell each other what has come to them, the best first: each ends at 0.71 of the
// one before, and the last holds all that is left.
const NumBands = 24

// BandOf is the band of a worth, as a share of the highest.
func BandOf(share float64) int {
	if !(share > 0) {
		return NumBands - 1
	}
	return int(min(NumBands-1, max(0, -2*math.Log2(share))))
}

// Demand is what has come to a router, counted since its start, and what there is for it.
type Demand struct {
	Arrived  [NumBands]float64 // that clients asked for the first time, by worth, in requests of mean work
	Shed     [NumBands]float64 // and of that what was refused as it was under the line
	Admitted float64           // work of requests that were not, asked again or not,
	Rejected float64           // of that what was refused all the same, as no server or no fetch was to be had in time,
	Sent     float64           // and of attempts at cache servers that it took
	Capacity float64           // work a second that all servers together may be given by all routers; 0 = not known
}

// Add adds what came to another process of the router, which knows the same servers.
func (d *Demand) Add(o Demand) {
	for i := range d.Arrived {
		d.Arrived[i], d.Shed[i] = d.Arrived[i]+o.Arrived[i], d.Shed[i]+o.Shed[i]
	}
	d.Admitted, d.Rejected, d.Sent, d.Capacity = d.Admitted+o.Admitted, d.Rejected+o.Rejected, d.Sent+o.Sent, max(d.Capacity, o.Capacity)
}

// SetAdmissionThreshold is what all routers of a tier serve while they can't serve all: a fact that they settle among themselves. Requests of
// bands before Band are over it, those after are under it, and of Band itself so much is over it, by a hash of tenant and key that
// turns: the same at all routers.
type AdmissionThreshold struct {
	Band           int     // Bands = there is no line
	Share          float64 // of the requests of that band
	Rotation       float64 // of the hash, 0 to 1
	RotationPeriod float64 // ms that a whole turn takes
	Until          float64 // it counts until then, unless told anew
}

// AdmitAll is the line of who may serve all.
var AdmitAll = AdmissionThreshold{Band: NumBands}

// Validate reports what is impossible in what is told of the line.
func (l AdmissionThreshold) Validate() error {
	share := func(x float64) bool { return x >= 0 && x <= 1 }
	if l.Band < 0 || l.Band > NumBands || l.Band < NumBands && (!share(l.Share) || !share(l.Rotation) || !(l.RotationPeriod > 0) || math.IsInf(l.RotationPeriod, 1) || math.IsNaN(l.Until)) {
		return fmt.Errorf("decide: impossible line %+v", l)
	}
	return nil
}

// SetAdmissionThreshold takes the line that holds from now on. An error means that it makes no sense, and nothing has changed.
func (b *Balancer) SetAdmissionThreshold(now float64, l AdmissionThreshold) error {
	if err := l.Validate(); err != nil {
		return err
	}
	b.advance(now)
	b.admission, b.admissionAt = l, now
	return nil
}

// Demand is what has come so far; nothing where the routers tell each other nothing.
func (b *Balancer) Demand() Demand {
	if !b.tierKnown {
		return Demand{}
	}
	d := b.demand
	d.Capacity = b.totalCapacity
	return d
}

// usableCapacity is what all usable servers may be given a second by all routers together; 0 where none has said what it can do.
func (b *Balancer) usableCapacity() (sum float64) {
	if !b.tierKnown || b.medianCapacity == 0 {
		return 0
	}
	for _, s := range b.serverList {
		switch may := b.sendLimit(s); {
		case s.State != Ready || s.ejected:
		case may > 0:
			sum += min(may, warmCapacityShare*b.capacityOf(s))
		default:
			sum += warmCapacityShare * b.capacityOf(s)
		}
	}
	return sum
}

// bandPosition is where a request stands in the line's band, from 0 to 1, now.
func (b *Balancer) bandPosition(r *request) float64 {
	h := mix64(r.key.id)
	for _, c := range []byte(r.Tenant) {
		h = mix64(h ^ uint64(c))
	}
	u := float64(h>>11)/(1<<53) + b.admission.Rotation + (b.now-b.admissionAt)/b.admission.RotationPeriod
	return u - math.Floor(u)
}
