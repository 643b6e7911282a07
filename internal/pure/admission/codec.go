package admission

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"mossproxy.example/mossproxy/decide"
)

// The kinds of messages. Other parts of the program that have messages carried begin theirs with others.
const (
	kindRequest = 3
	kindReply   = 4
)

// MaxMessage is the length of a message in bytes: all have the same.
const MaxMessage = 1 + 4 + 2 + 4 + 2 + 2*(decide.Bands+1)

// newMessage is what two routers that meet tell each other: what each takes for the mean.
type message struct {
	kind        byte
	pool        uint32
	seq         uint16
	rotationTag uint32
	rotation    float64
	values      loadVector
}

var errWrongPool = errors.New("line: a message of another pool")

// MessagePool says whether a message is one of lines, and of which pool.
func MessagePool(b []byte) (pool uint32, ok bool) {
	if len(b) != MaxMessage || b[0] != kindRequest && b[0] != kindReply {
		return 0, false
	}
	return binary.BigEndian.Uint32(b[1:]), true
}

// Figures are carried by their logarithms, 2,048 steps to a doubling: 30 doublings from a thousandth on.
const (
	minEncodedValue  = 1.0 / 1024
	stepsPerDoubling = 2048
)

func encodeValue(x float64) uint16 {
	if !(x >= minEncodedValue) {
		return 0
	}
	return uint16(min(math.MaxUint16, 1+math.Round(stepsPerDoubling*math.Log2(x/minEncodedValue))))
}

func decodeValue(u uint16) float64 {
	if u == 0 {
		return 0
	}
	return minEncodedValue * math.Exp2(float64(u-1)/stepsPerDoubling)
}

func (q message) encode() []byte {
	b := append(make([]byte, 0, MaxMessage), q.kind)
	b = binary.BigEndian.AppendUint32(b, q.pool)
	b = binary.BigEndian.AppendUint16(b, q.seq)
	b = binary.BigEndian.AppendUint32(b, q.rotationTag)
	b = binary.BigEndian.AppendUint16(b, uint16(q.rotation*(1<<16)))
	for _, x := range q.values {
		b = binary.BigEndian.AppendUint16(b, encodeValue(x))
	}
	return b
}

// decode reads a message. Each figure that it can hold is one that a router may have.
func decode(b []byte) (*message, error) {
	if len(b) != MaxMessage || b[0] != kindRequest && b[0] != kindReply {
		return nil, fmt.Errorf("line: a message of %d bytes; %d and kind %d or %d are right", len(b), MaxMessage, kindRequest, kindReply)
	}
	q := &message{kind: b[0], pool: binary.BigEndian.Uint32(b[1:]), seq: binary.BigEndian.Uint16(b[5:]), rotationTag: binary.BigEndian.Uint32(b[7:]),
		rotation: float64(binary.BigEndian.Uint16(b[11:])) / (1 << 16)}
	for i := range q.values {
		q.values[i] = decodeValue(binary.BigEndian.Uint16(b[13+2*i:]))
	}
	return q, nil
}
