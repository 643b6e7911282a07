// Package handover passes the service of a router from a running process to its successor on the same host:
// the listening sockets, a share of the resource limits, and learned state. All input from the other process
// is checked against limits.
package handover

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
)

// A frame consists of magic, version, kind, body length in bytes, CRC-32C of the body, and the body. Numbers
// are big-endian.
const (
	magic        = "CYHO"
	version      = 1
	headerBytes  = 4 + 2 + 2 + 4 + 4
	maxBodyBytes = 1 << 20 // enough for the learned state of some thousands of servers
)

// frameKind is the type of a frame.
type frameKind uint16

// Frame kinds, in protocol order; an update may follow at any time after the grant.
const (
	kindHello   frameKind = iota + 1 // new to old: requests a takeover; the body is a Hello
	kindGrant                        // old to new: the body is a Grant; the sockets come with it
	kindServing                      // new to old: the new process serves clients
	kindRefusal                      // old to new: the takeover is refused; the body is the reason
	kindUpdate                       // old to new, after the grant: state; replaces earlier updates
)

// errInvalidFrame is wrapped by all errors about invalid input from the other process.
var errInvalidFrame = errors.New("handover: invalid message")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendFrame appends a frame of a kind with the given body.
func appendFrame(b []byte, k frameKind, body []byte) []byte {
	b = append(b, magic...)
	b = binary.BigEndian.AppendUint16(b, version)
	b = binary.BigEndian.AppendUint16(b, uint16(k))
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	b = binary.BigEndian.AppendUint32(b, crc32.Checksum(body, castagnoli))
	return append(b, body...)
}

// readFrame reads a frame. read holds its first bytes if they have been read already.
func readFrame(r io.Reader, read []byte) (k frameKind, body []byte, err error) {
	var head [headerBytes]byte
	n := copy(head[:], read)
	if _, err := io.ReadFull(r, head[n:]); err != nil {
		return 0, nil, fmt.Errorf("handover: %w", err)
	}
	if string(head[:4]) != magic {
		return 0, nil, fmt.Errorf("%w: wrong magic %q", errInvalidFrame, head[:4])
	}
	if v := binary.BigEndian.Uint16(head[4:]); v != version {
		return 0, nil, fmt.Errorf("%w: version %d, want %d", errInvalidFrame, v, version)
	}
	k = frameKind(binary.BigEndian.Uint16(head[6:]))
	length := binary.BigEndian.Uint32(head[8:])
	if length > maxBodyBytes {
		return 0, nil, fmt.Errorf("%w: body of %d bytes exceeds %d", errInvalidFrame, length, maxBodyBytes)
	}
	body, err = io.ReadAll(io.LimitReader(r, int64(length))) // allocates only what is received
	if err != nil {
		return 0, nil, fmt.Errorf("handover: %w", err)
	}
	if len(body) < int(length) {
		return 0, nil, fmt.Errorf("handover: %w", io.ErrUnexpectedEOF)
	}
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(head[12:]) {
		return 0, nil, fmt.Errorf("%w: checksum mismatch", errInvalidFrame)
	}
	return k, body, nil
}
