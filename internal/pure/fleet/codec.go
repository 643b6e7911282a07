package fleet

import (
	"crypto/subtle"
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/zeebo/blake3"
)

// MaxMessage is the maximum length of a message in bytes, the MAC included.
const MaxMessage = 256

// MaxPayload is the maximum length in bytes of a payload for SendPayload.
const MaxPayload = 64

// macBytes is the length of the MAC at the end of a message.
const macBytes = 16

// protocolVersion is the first byte of every message; messages of other versions are rejected.
const protocolVersion = 1

// messageType is the type of a message.
type messageType uint8

const (
	ping        messageType = iota + 1 // asks whether Target answers
	ack                                // answers a ping; Target is the answering member if not the sender
	pingReq                            // asks the receiver to ping Target, whose record is the first update
	nack                               // Target did not answer the receiver of a pingReq
	gossip                             // updates alone
	viewPage                           // records of a whole view, part of a push-pull exchange
	viewDigests                        // digests of a view, one per bucket
	payload                            // data of another part of the program for Target
	numMessageTypes
)

// message is what members exchange. Its encoding holds as many updates as fit.
type message struct {
	Type          messageType
	Seq           uint32
	ViewDigest    uint64 // of the sender's view
	RosterDigest  uint32 // of the processes that the sender knows as present
	From          Record
	Target        string        // name of the member that is meant
	TargetStart   uint64        // as known to the sender; in an ack, the start of the member that pinged
	BucketDigests bucketDigests // viewDigests: in place of updates
	Payload       []byte        // payload: in place of updates
	Updates       []Record
}

// Maximum encoded lengths, in bytes, of a record and of a message's head.
const (
	maxRecordBytes = 1 + MaxName + 1 + MaxSite + 1 + 16 + 2 + 8 + 4 + 1 + 1 + MaxMeta + 4
	maxHeadBytes   = 2 + 4 + 8 + 4 + maxRecordBytes + 1 + MaxName + 8
)

// Compile-time checks that one record, the bucket digests or a payload fit into any message: otherwise an
// array length would be negative.
var (
	_ [MaxMessage - macBytes - maxHeadBytes - maxRecordBytes]struct{}
	_ [MaxMessage - macBytes - maxHeadBytes - 4*bucketCount]struct{}
	_ [MaxMessage - macBytes - maxHeadBytes - 1 - MaxPayload]struct{}
)

// Layout of a record's state byte: the state in the low bits, metaFlag if metadata follows, and the timeout
// extension from extensionShift on.
const (
	extensionShift = 4
	metaFlag       = 1 << 3
	stateMask      = metaFlag - 1
)

func appendText(b []byte, s string) []byte { return append(append(b, byte(len(s))), s...) }

func appendRecord(b []byte, r Record) []byte {
	b = appendText(appendText(b, r.Name), r.Site)
	if r.Addr.isIPv4() {
		b = append(append(b, 4), r.Addr.IP[12:]...)
	} else {
		b = append(append(b, 16), r.Addr.IP[:]...)
	}
	b = binary.BigEndian.AppendUint16(b, r.Addr.Port)
	b = binary.BigEndian.AppendUint64(b, r.Start)
	b = binary.BigEndian.AppendUint32(b, r.Incarnation)
	if r.Meta == "" {
		b = append(b, byte(r.State)|r.TimeoutExtension<<extensionShift)
	} else {
		b = appendText(append(b, byte(r.State)|metaFlag|r.TimeoutExtension<<extensionShift), r.Meta)
	}
	return binary.BigEndian.AppendUint32(b, r.AccuserID)
}

// head encodes the message without updates.
func (m *message) head() []byte {
	b := append(make([]byte, 0, MaxMessage), protocolVersion, byte(m.Type))
	b = binary.BigEndian.AppendUint32(b, m.Seq)
	b = binary.BigEndian.AppendUint64(b, m.ViewDigest)
	b = binary.BigEndian.AppendUint32(b, m.RosterDigest)
	b = appendRecord(b, m.From)
	b = appendText(b, m.Target)
	return binary.BigEndian.AppendUint64(b, m.TargetStart)
}

// encode encodes the message with the updates that fit into limit bytes, MAC included, and returns their
// number.
func (m *message) encode(limit int) (b []byte, n int) {
	b = m.head()
	if m.Type == viewDigests {
		for _, s := range m.BucketDigests {
			b = binary.BigEndian.AppendUint32(b, s)
		}
		return b, 0
	}
	if m.Type == payload {
		return append(append(b, byte(len(m.Payload))), m.Payload...), 0
	}
	for _, r := range m.Updates {
		next := appendRecord(b, r)
		if len(next) > limit-macBytes {
			break
		}
		b, n = next, n+1
	}
	return b, n
}

// errTruncated reports an input that ends too early.
var errTruncated = errors.New("the message is truncated")

// reader decodes a message; after the first error it returns zeros.
type reader struct {
	b   []byte
	err error
}

func (r *reader) take(n int) []byte {
	if len(r.b) < n {
		if r.err == nil {
			r.err = errTruncated
		}
		r.b = nil
		return make([]byte, n)
	}
	out := r.b[:n]
	r.b = r.b[n:]
	return out
}

func (r *reader) u8() uint8    { return r.take(1)[0] }
func (r *reader) u16() uint16  { return binary.BigEndian.Uint16(r.take(2)) }
func (r *reader) u32() uint32  { return binary.BigEndian.Uint32(r.take(4)) }
func (r *reader) u64() uint64  { return binary.BigEndian.Uint64(r.take(8)) }
func (r *reader) text() string { return string(r.take(int(r.u8()))) }

func (r *reader) record() (out Record) {
	out.Name, out.Site = r.text(), r.text()
	switch n := r.u8(); n {
	case 4:
		copy(out.Addr.IP[:], ipv4Prefix[:])
		copy(out.Addr.IP[12:], r.take(4))
	case 16:
		copy(out.Addr.IP[:], r.take(16))
	default:
		if r.err == nil {
			r.err = fmt.Errorf("an address has %d bytes; 4 or 16 are valid", n)
		}
	}
	out.Addr.Port, out.Start, out.Incarnation = r.u16(), r.u64(), r.u32()
	stateByte := r.u8()
	out.State, out.TimeoutExtension = State(stateByte&stateMask), stateByte>>extensionShift
	if stateByte&metaFlag != 0 {
		if out.Meta = r.text(); out.Meta == "" && r.err == nil {
			r.err = fmt.Errorf("member %.40q: the metadata is empty", out.Name)
		}
	}
	out.AccuserID = r.u32()
	if r.err == nil {
		r.err = out.Validate()
	}
	return out
}

// decode decodes a message without its MAC. The bytes behind the updates must be zeros: pings are padded, so
// that the answer is no longer than the ping.
func decode(b []byte) (m message, err error) {
	if len(b) > MaxMessage-macBytes {
		return m, fmt.Errorf("the message has %d bytes; the limit is %d", len(b), MaxMessage-macBytes)
	}
	r := reader{b: b}
	if v := r.u8(); r.err == nil && v != protocolVersion {
		return m, fmt.Errorf("protocol version %d is not supported; this router uses %d", v, protocolVersion)
	}
	if m.Type = messageType(r.u8()); r.err == nil && (m.Type == 0 || m.Type >= numMessageTypes) {
		return m, fmt.Errorf("unknown message type %d", m.Type)
	}
	m.Seq, m.ViewDigest, m.RosterDigest, m.From, m.Target, m.TargetStart = r.u32(), r.u64(), r.u32(), r.record(), r.text(), r.u64()
	if r.err == nil && (len(m.Target) > MaxName || !printable(m.Target)) {
		r.err = fmt.Errorf("target %.40q is not a valid name", m.Target)
	}
	for i := range m.BucketDigests {
		if m.Type == viewDigests {
			m.BucketDigests[i] = r.u32()
		}
	}
	if m.Type == payload {
		m.Payload = []byte(r.text())
	}
	for r.err == nil && m.Type < viewDigests && len(r.b) > 0 && r.b[0] != 0 {
		m.Updates = append(m.Updates, r.record())
	}
	for _, c := range r.b {
		if c != 0 && r.err == nil {
			r.err = errors.New("non-zero bytes after the records")
		}
	}
	return m, r.err
}

// AppendMAC returns a copy of m followed by its MAC under a key of 32 bytes, or by an unkeyed hash if there
// is no key, which is meant for loopback alone.
func AppendMAC(key, m []byte) []byte {
	h := newHasher(key)
	h.Write(m) //nolint:errcheck // it never fails
	var sum [32]byte
	h.Sum(sum[:0])
	return append(m[:len(m):len(m)], sum[:macBytes]...)
}

// ErrMAC reports that a message was not made with this router's key.
var ErrMAC = errors.New("the MAC does not match the message and this router's key")

// VerifyMAC checks the MAC at the end of a message and returns the message without it.
func VerifyMAC(key, m []byte) ([]byte, error) {
	if len(m) < macBytes || len(m) > MaxMessage {
		return nil, fmt.Errorf("the message has %d bytes; %d to %d are valid", len(m), macBytes, MaxMessage)
	}
	body := m[:len(m)-macBytes]
	want := AppendMAC(key, body)
	if subtle.ConstantTimeCompare(m, want) != 1 {
		return nil, ErrMAC
	}
	return body, nil
}

// newHasher returns a hash that is keyed if there is a key of 32 bytes.
func newHasher(key []byte) *blake3.Hasher {
	if len(key) == 32 {
		if h, err := blake3.NewKeyed(key); err == nil {
			return h
		}
	}
	return blake3.New()
}

// digest returns the record's contribution to the digest of a view. It covers what all members agree on once
// their views have converged.
func (r Record) digest() uint64 {
	r.AccuserID = 0 // members may have heard from different accusers
	sum := blake3.Sum256(appendRecord(make([]byte, 0, maxRecordBytes), r))
	return binary.BigEndian.Uint64(sum[:])
}

// nameID returns a hash of a member's name, which identifies an accuser in a record.
func nameID(name string) uint32 {
	sum := blake3.Sum256([]byte(name))
	return binary.BigEndian.Uint32(sum[:])
}

// startDigest returns the member's contribution to the digest of a roster: its name and start, without its
// state.
func (r Record) startDigest() uint32 {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], r.Start)
	sum := blake3.Sum256(append(b[:], r.Name...))
	return binary.BigEndian.Uint32(sum[:])
}
