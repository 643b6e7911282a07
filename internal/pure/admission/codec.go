package admission

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"mossproxy.example/mossproxy/decide"
)

// Message kinds. Other protocols on the same transport use other values.
const (
	kindRequest = 3
	kindReply   = 4
)

// MaxMessage is the length in bytes of every message.
const MaxMessage = 1 + 4 + 2 + 4 + 2 + 2*(decide.NumBands+1)

// message carries the sender's estimate of the mean in an exchange between two routers.
type message struct {
	kind        byte
	pool        uint32
	seq         uint16
	rotationTag uint32
	rotation    float64
	values      loadVector
}

var errWrongPool = errors.New("admission: message of another pool")

// MessagePool returns the pool that a message is for; ok is false if b is not a message of this package.
func MessagePool(b []byte) (pool uint32, ok bool) {
	if len(b) != MaxMessage || b[0] != kindRequest && b[0] != kindReply {
		return 0, false
	}
	return binary.BigEndian.Uint32(b[1:]), true
}

// Values are encoded as logarithms, with 2,048 steps per doubling, over 32 doublings from 1/1024 up.
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

func (m message) encode() []byte {
	b := append(make([]byte, 0, MaxMessage), m.kind)
	b = binary.BigEndian.AppendUint32(b, m.pool)
	b = binary.BigEndian.AppendUint16(b, m.seq)
	b = binary.BigEndian.AppendUint32(b, m.rotationTag)
	b = binary.BigEndian.AppendUint16(b, uint16(m.rotation*(1<<16)))
	for _, x := range m.values {
		b = binary.BigEndian.AppendUint16(b, encodeValue(x))
	}
	return b
}

// decode parses a message. Every encoded value is valid.
func decode(b []byte) (*message, error) {
	if len(b) != MaxMessage || b[0] != kindRequest && b[0] != kindReply {
		return nil, fmt.Errorf("admission: message of %d bytes, want %d and kind %d or %d", len(b), MaxMessage, kindRequest, kindReply)
	}
	msg := &message{kind: b[0], pool: binary.BigEndian.Uint32(b[1:]), seq: binary.BigEndian.Uint16(b[5:]), rotationTag: binary.BigEndian.Uint32(b[7:]),
		rotation: float64(binary.BigEndian.Uint16(b[11:])) / (1 << 16)}
	for i := range msg.values {
		msg.values[i] = decodeValue(binary.BigEndian.Uint16(b[13+2*i:]))
	}
	return msg, nil
}
