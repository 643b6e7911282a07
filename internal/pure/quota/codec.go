package quota

import (
	"encoding/binary"
	"fmt"
	"math"
)

// MaxMessage is the longest message in bytes.
const MaxMessage = 14

// The kinds of messages, and their lengths.
const (
	kindRequest = 1
	kindGrant   = 2
	requestLen  = 1 + 1 + 4 + 4 + 4
	grantLen    = 1 + 1 + 4 + 4
)

// leaseRequest asks for a loan: how much work there is, and what there is for it without a loan of the one that is asked.
type leaseRequest struct {
	resource  uint8
	id        uint32
	rate      float32
	available float32
}

// leaseGrant gives a loan. Its time counts from the question.
type leaseGrant struct {
	resource uint8
	id       uint32
	amount   float32 // of the whole
}

func (q leaseRequest) encode() []byte {
	b := append(make([]byte, 0, requestLen), kindRequest, q.resource)
	b = binary.BigEndian.AppendUint32(b, q.id)
	b = binary.BigEndian.AppendUint32(b, math.Float32bits(q.rate))
	return binary.BigEndian.AppendUint32(b, math.Float32bits(q.available))
}

func (a leaseGrant) encode() []byte {
	b := append(make([]byte, 0, grantLen), kindGrant, a.resource)
	b = binary.BigEndian.AppendUint32(b, a.id)
	return binary.BigEndian.AppendUint32(b, math.Float32bits(a.amount))
}

// decode reads a message. Numbers that are none, or that no router has, are errors.
func decode(b []byte) (*leaseRequest, *leaseGrant, error) {
	if len(b) < 2 {
		return nil, nil, fmt.Errorf("quota: a message of %d bytes", len(b))
	}
	number := func(at int) float32 { return math.Float32frombits(binary.BigEndian.Uint32(b[at:])) }
	share := func(v float32) bool { return v >= 0 && v <= 1 }
	switch {
	case b[0] == kindRequest && len(b) == requestLen:
		q := &leaseRequest{resource: b[1], id: binary.BigEndian.Uint32(b[2:]), rate: number(6), available: number(10)}
		if !(q.rate >= 0 && q.rate <= maxRate) || !share(q.available) {
			return nil, nil, fmt.Errorf("quota: a question by %v a second that have %v", q.rate, q.available)
		}
		return q, nil, nil
	case b[0] == kindGrant && len(b) == grantLen:
		a := &leaseGrant{resource: b[1], id: binary.BigEndian.Uint32(b[2:]), amount: number(6)}
		if !share(a.amount) {
			return nil, nil, fmt.Errorf("quota: a loan of %v", a.amount)
		}
		return nil, a, nil
	}
	return nil, nil, fmt.Errorf("quota: a message of kind %d and %d bytes", b[0], len(b))
}

// maxRate bounds what a router can say of its work: one that lies takes three quarters of the others' parts at most, as each keeps its floor.
const maxRate = 1e6
