package fleet

import (
	"crypto/subtle"
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/zeebo/blake3"
)

// MaxMessage is the longest message in bytes, the sum of a key included.
const MaxMessage = 256

// MaxPayload is the longest thing that another part of the program can have carried, in bytes.
const MaxPayload = 64

// macBytes is the room of the keyed sum at the end of a message.
const macBytes = 16

// protocolVersion begins every message; another one is not read.
const protocolVersion = 1

// messageType says what a message is.
type messageType uint8

const (
	ping        messageType = iota + 1 // asks whether target is there
	ack                                // the answer; target names who answers where that is not the sender
	pingReq                            // asks the receiver to ping target, whose record comes first
	nack                               // target did not answer the receiver of pingReq
	gossip                             // records alone
	viewPage                           // records of a whole view, part of an exchange
	viewDigests                        // sums of a view, by buckets
	payload                            // what another part of the program has to say to target
	numMessageTypes
)

// message is what members send. Its bytes hold as many records as fit.
type message struct {
	Type          messageType
	Seq           uint32
	ViewDigest    uint64 // digest of the sender's view
	RosterDigest  uint32 // digest of whom the sender counts
	From          Record
	Target        string        // who is meant
	TargetStart   uint64        // ping: the start that the sender knows of target; ack: that of the asker
	BucketDigests bucketDigests // compare: in place of records
	Payload       []byte        // cargo: in place of records
	Updates       []Record
}

// maxRecordBytes is the longest record in bytes, maxHeadBytes the longest head.
const (
	maxRecordBytes = 1 + MaxName + 1 + MaxSite + 1 + 16 + 2 + 8 + 4 + 1 + 1 + MaxMeta + 4
	maxHeadBytes   = 2 + 4 + 8 + 4 + maxRecordBytes + 1 + MaxName + 8
)

// One record fits every message, and so do the sums: the arrays' lengths would be negative otherwise.
var (
	_ [MaxMessage - macBytes - maxHeadBytes - maxRecordBytes]struct{}
	_ [MaxMessage - macBytes - maxHeadBytes - 4*bucketCount]struct{}
	_ [MaxMessage - macBytes - maxHeadBytes - 1 - MaxPayload]struct{}
)

// In the byte of a record's state stands its ease from extensionShift on, and metaFlag where a card follows.
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

// head is the message without records.
func (m *message) head() []byte {
	b := append(make([]byte, 0, MaxMessage), protocolVersion, byte(m.Type))
	b = binary.BigEndian.AppendUint32(b, m.Seq)
	b = binary.BigEndian.AppendUint64(b, m.ViewDigest)
	b = binary.BigEndian.AppendUint32(b, m.RosterDigest)
	b = appendRecord(b, m.From)
	b = appendText(b, m.Target)
	return binary.BigEndian.AppendUint64(b, m.TargetStart)
}

// encode is the message with the records of News that fit into limit bytes, and how many those are.
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

// errTruncated is an input that ends too early.
var errTruncated = errors.New("the message is cut short")

// reader takes a message apart; after the first error it gives zeros.
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
			r.err = fmt.Errorf("an address of %d bytes", n)
		}
	}
	out.Addr.Port, out.Start, out.Incarnation = r.u16(), r.u64(), r.u32()
	word := r.u8()
	out.State, out.TimeoutExtension = State(word&stateMask), word>>extensionShift
	if word&metaFlag != 0 {
		if out.Meta = r.text(); out.Meta == "" && r.err == nil {
			r.err = fmt.Errorf("member %.40q: an empty card", out.Name)
		}
	}
	out.AccuserID = r.u32()
	if r.err == nil {
		r.err = out.Validate()
	}
	return out
}

// decode reads a message without its sum. What is left behind the records must be zeros: a question is padded, so that its answer
// is no longer than itself.
func decode(b []byte) (m message, err error) {
	if len(b) > MaxMessage-macBytes {
		return m, fmt.Errorf("%d bytes, %d are the most", len(b), MaxMessage-macBytes)
	}
	r := reader{b: b}
	if v := r.u8(); r.err == nil && v != protocolVersion {
		return m, fmt.Errorf("version %d, %d is spoken here", v, protocolVersion)
	}
	if m.Type = messageType(r.u8()); r.err == nil && (m.Type == 0 || m.Type >= numMessageTypes) {
		return m, fmt.Errorf("a message of kind %d", m.Type)
	}
	m.Seq, m.ViewDigest, m.RosterDigest, m.From, m.Target, m.TargetStart = r.u32(), r.u64(), r.u32(), r.record(), r.text(), r.u64()
	if r.err == nil && (len(m.Target) > MaxName || !printable(m.Target)) {
		r.err = fmt.Errorf("target %.40q is no name", m.Target)
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
			r.err = errors.New("bytes behind the records")
		}
	}
	return m, r.err
}

// AppendMAC gives a message its sum, under a key of 32 bytes or, for loopback alone, under none.
func AppendMAC(key, m []byte) []byte {
	h := newHasher(key)
	h.Write(m) //nolint:errcheck // it never fails
	var sum [32]byte
	h.Sum(sum[:0])
	return append(m[:len(m):len(m)], sum[:macBytes]...)
}

// ErrMAC is a message that was not made with the key.
var ErrMAC = errors.New("the sum does not fit the message and this router's key")

// VerifyMAC takes the sum off a message that carries a right one.
func VerifyMAC(key, m []byte) ([]byte, error) {
	if len(m) < macBytes || len(m) > MaxMessage {
		return nil, fmt.Errorf("%d bytes: %d to %d are possible", len(m), macBytes, MaxMessage)
	}
	body := m[:len(m)-macBytes]
	want := AppendMAC(key, body)
	if subtle.ConstantTimeCompare(m, want) != 1 {
		return nil, ErrMAC
	}
	return body, nil
}

func newHasher(key []byte) *blake3.Hasher {
	if len(key) == 32 {
		if h, err := blake3.NewKeyed(key); err == nil {
			return h
		}
	}
	return blake3.New()
}

// digest is a record's part of the digest of a view: what all agree on once they have settled.
func (r Record) digest() uint64 {
	r.AccuserID = 0 // two may have noticed
	sum := blake3.Sum256(appendRecord(make([]byte, 0, maxRecordBytes), r))
	return binary.BigEndian.Uint64(sum[:])
}

// nameID is a name in four bytes, to say whose word something is.
func nameID(name string) uint32 {
	sum := blake3.Sum256([]byte(name))
	return binary.BigEndian.Uint32(sum[:])
}

// startDigest is a member's part of the digest of a roster: the process that is counted.
func (r Record) startDigest() uint32 {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], r.Start)
	sum := blake3.Sum256(append(b[:], r.Name...))
	return binary.BigEndian.Uint32(sum[:])
}
