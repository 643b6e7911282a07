package quota

import (
	"encoding/binary"
	"fmt"
	"math"
)

// MaxMessage is the length of the longest message in bytes.
const MaxMessage = 14

// Message kinds and their lengths in bytes.
const (
	kindRequest = 1
	kindGrant   = 2
	requestLen  = 1 + 1 + 4 + 4 + 4
	grantLen    = 1 + 1 + 4 + 4
)

// leaseRequest asks for a lease. It carries the sender's rate of work per second and the share available to
// it without a lease from the recipient.
type leaseRequest struct {
	resource  uint8
	id        uint32
	rate      float32
	available float32
}

// leaseGrant grants a lease, whose term counts from when the request was sent.
type leaseGrant struct {
	resource uint8
	id       uint32
	amount   float32 // fraction of the whole resource
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

// decode parses a message. Values that are not numbers or out of range are errors.
func decode(b []byte) (*leaseRequest, *leaseGrant, error) {
	if len(b) < 2 {
		return nil, nil, fmt.Errorf("quota: message of %d bytes is too short", len(b))
	}
	number := func(at int) float32 { return math.Float32frombits(binary.BigEndian.Uint32(b[at:])) }
	share := func(v float32) bool { return v >= 0 && v <= 1 }
	switch {
	case b[0] == kindRequest && len(b) == requestLen:
		q := &leaseRequest{resource: b[1], id: binary.BigEndian.Uint32(b[2:]), rate: number(6), available: number(10)}
		if !(q.rate >= 0 && q.rate <= maxRate) || !share(q.available) {
			return nil, nil, fmt.Errorf("quota: invalid lease request: rate %v per second, available share %v", q.rate, q.available)
		}
		return q, nil, nil
	case b[0] == kindGrant && len(b) == grantLen:
		a := &leaseGrant{resource: b[1], id: binary.BigEndian.Uint32(b[2:]), amount: number(6)}
		if !share(a.amount) {
			return nil, nil, fmt.Errorf("quota: invalid lease amount %v", a.amount)
		}
		return nil, a, nil
	}
	return nil, nil, fmt.Errorf("quota: unknown message: kind %d, %d bytes", b[0], len(b))
}

// maxRate bounds the rate that a router can report. A router that reports too much gets at most three
// quarters of the others' shares, as each keeps unleasableFraction of its own.
const maxRate = 1e6
