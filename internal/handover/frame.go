// Package handover lets a process of a router take over from another on the same machine: the listening sockets, the room that is
// shared, and what was learned. Nothing that comes from the other side is believed beyond its bounds.
package handover

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
)

// A frame is magic, version, kind, length and check sum of the body, and the body.
const (
	magic        = "CYHO"
	version      = 1
	headerBytes  = 4 + 2 + 2 + 4 + 4
	maxBodyBytes = 1 << 20 // what was learned of some thousands of servers
)

// frameKind is what a frame says.
type frameKind uint16

// The kinds, in the order in which they come.
const (
	kindHello   frameKind = iota + 1 // new to old: who asks
	kindGrant                        // old to new: what it may use, and what was learned; the sockets come with it
	kindServing                      // new to old: clients are taken
	kindRefusal                      // old to new: no, and why
	kindUpdate                       // old to new, after the grant: what the old one has to tell, the latest counts
)

// errInvalidFrame is the root of all errors about what the other side has sent.
var errInvalidFrame = errors.New("handover: not understood")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendFrame appends a frame.
func appendFrame(b []byte, k frameKind, body []byte) []byte {
	b = append(b, magic...)
	b = binary.BigEndian.AppendUint16(b, version)
	b = binary.BigEndian.AppendUint16(b, uint16(k))
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	b = binary.BigEndian.AppendUint32(b, crc32.Checksum(body, castagnoli))
	return append(b, body...)
}

// readFrame reads a frame whose first bytes, if any, have been read already.
func readFrame(r io.Reader, read []byte) (k frameKind, body []byte, err error) {
	var head [headerBytes]byte
	n := copy(head[:], read)
	if _, err := io.ReadFull(r, head[n:]); err != nil {
		return 0, nil, fmt.Errorf("handover: %w", err)
	}
	if string(head[:4]) != magic {
		return 0, nil, fmt.Errorf("%w: it begins with %q", errInvalidFrame, head[:4])
	}
	if v := binary.BigEndian.Uint16(head[4:]); v != version {
		return 0, nil, fmt.Errorf("%w: version %d, this is %d", errInvalidFrame, v, version)
	}
	k = frameKind(binary.BigEndian.Uint16(head[6:]))
	length := binary.BigEndian.Uint32(head[8:])
	if length > maxBodyBytes {
		return 0, nil, fmt.Errorf("%w: %d bytes, %d at most", errInvalidFrame, length, maxBodyBytes)
	}
	body, err = io.ReadAll(io.LimitReader(r, int64(length))) // room is made as bytes come, not as they are announced
	if err != nil {
		return 0, nil, fmt.Errorf("handover: %w", err)
	}
	if len(body) < int(length) {
		return 0, nil, fmt.Errorf("handover: %w", io.ErrUnexpectedEOF)
	}
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(head[12:]) {
		return 0, nil, fmt.Errorf("%w: the check sum is another", errInvalidFrame)
	}
	return k, body, nil
}
