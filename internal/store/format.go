package store

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"slices"
)

// The format, byte by byte, is in docs/design/store.md. All numbers are little-endian, all checksums CRC-32C.
const (
	formatVersion = 1

	headSize    = 48 // of a segment
	frameHead   = 32
	frameTail   = 8
	opHead      = 28
	frameMagic  = 0x72665943 // "CYfr"
	endMagic    = 0x46646e65 // "endF": none of its bytes is 0, so a tail of zeros is no end
	maxPayload  = MaxBatch
	segmentName = "%016x.seg"
)

var (
	segmentMagic = []byte("CYSTORE\n")
	headEnd      = []byte("end\n")
	castagnoli   = crc32.MakeTable(crc32.Castagnoli)
)

func checksum(parts ...[]byte) (c uint32) {
	for _, p := range parts {
		c = crc32.Update(c, castagnoli, p)
	}
	return c
}

// segmentHead is what a segment says of itself.
type segmentHead struct {
	seq      uint64
	prevSize uint64 // bytes of the segment before, which gets no more
	version  uint64 // the last one before this segment
}

func (h segmentHead) append(b []byte) []byte {
	at := len(b)
	b = append(b, segmentMagic...)
	b = binary.LittleEndian.AppendUint32(b, formatVersion)
	b = binary.LittleEndian.AppendUint32(b, 0)
	b = binary.LittleEndian.AppendUint64(b, h.seq)
	b = binary.LittleEndian.AppendUint64(b, h.prevSize)
	b = binary.LittleEndian.AppendUint64(b, h.version)
	b = binary.LittleEndian.AppendUint32(b, checksum(b[at:]))
	return append(b, headEnd...)
}

// readHead reads a segment's head. cut tells that it is what a write that was cut off leaves, in a file of nothing else.
func readHead(b []byte) (h segmentHead, cut bool, err error) {
	if len(b) < headSize || len(bytes.TrimRight(b, "\x00")) <= headSize-len(headEnd) {
		return h, true, fmt.Errorf("the head is cut short")
	}
	if !bytes.Equal(b[:8], segmentMagic) {
		return h, false, fmt.Errorf("this is no segment of a store")
	}
	if checksum(b[:40]) != binary.LittleEndian.Uint32(b[40:]) || !bytes.Equal(b[44:48], headEnd) {
		return h, false, fmt.Errorf("the head's checksum is wrong")
	}
	if v := binary.LittleEndian.Uint32(b[8:]); v != formatVersion {
		return h, false, &FormatError{Has: v, Knows: formatVersion}
	}
	le := binary.LittleEndian
	return segmentHead{le.Uint64(b[16:]), le.Uint64(b[24:]), le.Uint64(b[32:])}, false, nil
}

// The kinds of an op.
const (
	opPut    = 1
	opDelete = 2
	opMove   = 3 // a put of old, at a new place
	opDrop   = 4 // the segments up to the one of this number are needed no more
)

// op is one change within a frame.
type op struct {
	kind    byte
	key     []byte
	value   []byte
	version uint64 // of a move the put's, of a drop the segment's number; else 0: it is the batch's
	expires int64  // Unix ms; 0 = never
}

func (o op) size() int { return opHead + len(o.key) + len(o.value) }

func (o op) append(b []byte) []byte {
	at := len(b)
	b = append(b, o.kind, 0)
	b = binary.LittleEndian.AppendUint16(b, uint16(len(o.key)))
	b = binary.LittleEndian.AppendUint32(b, uint32(len(o.value)))
	b = binary.LittleEndian.AppendUint64(b, o.version)
	b = binary.LittleEndian.AppendUint64(b, uint64(o.expires))
	b = binary.LittleEndian.AppendUint32(b, checksum(b[at:], o.key, o.value))
	return append(append(b, o.key...), o.value...)
}

// readOp reads the op that b begins with. Its parts are b's.
func readOp(b []byte) (o op, n int, err error) {
	if len(b) < opHead {
		return o, 0, fmt.Errorf("an op of %d bytes", len(b))
	}
	le := binary.LittleEndian
	keys, values := int(le.Uint16(b[2:])), int(le.Uint32(b[4:]))
	if n = opHead + keys + values; values > MaxValue || keys > MaxKey || n > len(b) {
		return o, 0, fmt.Errorf("an op of %d and %d bytes in %d", keys, values, len(b))
	}
	o = op{kind: b[0], version: le.Uint64(b[8:]), expires: int64(le.Uint64(b[16:]))}
	if o.kind < opPut || o.kind > opDrop || b[1] != 0 {
		return o, 0, fmt.Errorf("an op of kind %d, %d", o.kind, b[1])
	}
	o.key, o.value = b[opHead:opHead+keys:opHead+keys], b[opHead+keys:n:n]
	return o, n, nil
}

// checkOp says whether an op's own checksum holds. Frames have one of their own: this one is for reads of a single value.
func checkOp(b []byte) bool {
	return len(b) >= opHead && checksum(b[:24], b[opHead:]) == binary.LittleEndian.Uint32(b[24:])
}

// frame is one batch as it is stored.
type frame struct {
	off     int64 // in its segment
	version uint64
	time    int64 // Unix ms
	count   uint32
	payload []byte
}

func (f *frame) size() int64 { return frameHead + int64(len(f.payload)) + frameTail }

// startFrame leaves room for a frame's head at the end of b; endFrame fills it in and closes the frame.
func startFrame(b []byte) []byte { return append(b, make([]byte, frameHead)...) }

func endFrame(b []byte, at int, version uint64, time int64, count int) []byte {
	le := binary.LittleEndian
	h, payload := b[at:at+frameHead], b[at+frameHead:]
	le.PutUint32(h, frameMagic)
	le.PutUint32(h[4:], uint32(len(payload)))
	le.PutUint64(h[8:], version)
	le.PutUint64(h[16:], uint64(time))
	le.PutUint32(h[24:], uint32(count))
	le.PutUint32(h[28:], checksum(h[:28]))
	b = le.AppendUint32(b, checksum(payload))
	return le.AppendUint32(b, endMagic)
}

// readFrameHead reads a frame's head, and the length of its payload.
func readFrameHead(b []byte) (f frame, n int, ok bool) {
	le := binary.LittleEndian
	if len(b) < frameHead || le.Uint32(b) != frameMagic || checksum(b[:28]) != le.Uint32(b[28:]) {
		return f, 0, false
	}
	n = int(le.Uint32(b[4:]))
	return frame{version: le.Uint64(b[8:]), time: int64(le.Uint64(b[16:])), count: le.Uint32(b[24:])}, n, n <= maxPayload
}

// readFrame reads the frame that b begins with.
func readFrame(b []byte) (f frame, err error) {
	f, n, ok := readFrameHead(b)
	if !ok {
		return f, fmt.Errorf("a frame's head is wrong")
	}
	if len(b) < frameHead+n+frameTail {
		return f, fmt.Errorf("a frame of %d bytes ends after %d", frameHead+n+frameTail, len(b))
	}
	f.payload = b[frameHead : frameHead+n : frameHead+n]
	tail := b[frameHead+n:]
	if checksum(f.payload) != binary.LittleEndian.Uint32(tail) || binary.LittleEndian.Uint32(tail[4:]) != endMagic {
		return f, fmt.Errorf("the checksum of batch %d is wrong", f.version)
	}
	return f, nil
}

// ops calls do for each op of a frame, with its place in the segment.
func (f *frame) ops(do func(o op, off int64, n int)) error {
	b, off := f.payload, f.off+frameHead
	for range f.count {
		o, n, err := readOp(b)
		if err != nil {
			return fmt.Errorf("batch %d: %w", f.version, err)
		}
		do(o, off, n)
		b, off = b[n:], off+int64(n)
	}
	if len(b) > 0 {
		return fmt.Errorf("batch %d has %d bytes over", f.version, len(b))
	}
	return nil
}

// endCut gives the last frame of a segment whose end mark alone was cut off, with zeros in its place. All of the batch is there,
// acknowledged or not, so it counts.
func endCut(b []byte) (f frame, ok bool) {
	f, n, ok := readFrameHead(b)
	written := bytes.TrimRight(b, "\x00")
	whole := frameHead + n + frameTail
	if !ok || len(b) < whole || len(written) <= whole-4 || len(written) >= whole {
		return f, false
	}
	mended := binary.LittleEndian.AppendUint32(slices.Clone(b[:whole-4]), endMagic)
	if !bytes.HasPrefix(mended, written) {
		return f, false
	}
	f, err := readFrame(mended)
	return f, err == nil
}

// torn says whether b, all that a segment holds from the first frame on that can't be read, is what a write that was cut off
// leaves: the start of a frame, then nothing, or zeros where the file had its length already. What is there in full and
// wrong has been changed since it was written.
func torn(b []byte) bool {
	written := len(bytes.TrimRight(b, "\x00"))
	if written < frameHead {
		return true
	}
	_, n, ok := readFrameHead(b)
	if !ok {
		return false
	}
	whole := frameHead + n + frameTail
	return len(b) < whole || written <= whole-4
}
