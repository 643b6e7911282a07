package fleet

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"syscall"
	"time"

	"mossproxy.example/mossproxy/internal/pure/fleet"
)

// A stream carries frames: a length of two bytes and a message with a MAC. The connecting side either sends
// one request and reads one answer, or exchanges views: each side sends the bucket digests of its view, the
// connecting side first, and then, in the same order, the pages of the buckets that differ, ended by a frame
// of length 0. Neither side writes before the other one waits to read.

// writeFrame writes a message with its length.
func writeFrame(w io.Writer, b []byte) error {
	_, err := w.Write(append(binary.BigEndian.AppendUint16(make([]byte, 0, 2+len(b)), uint16(len(b))), b...))
	return err
}

// readFrame reads a message and verifies its MAC. It returns nil for the end marker, a frame of length 0.
func (f *Fleet) readFrame(r io.Reader) ([]byte, error) {
	var head [2]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint16(head[:])
	if n == 0 {
		return nil, nil
	}
	if n > fleet.MaxMessage {
		return nil, fmt.Errorf("frame of %d bytes exceeds the maximum of %d", n, fleet.MaxMessage)
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(r, b); err != nil {
		return nil, err
	}
	return fleet.VerifyMAC(f.cfg.Key, b)
}

// accept serves incoming streams until the listener closes, each on a goroutine of its own and up to
// maxStreams at once. A connection beyond that is closed.
func (f *Fleet) accept() {
	for {
		c, err := f.tcp.Accept()
		if isClosed(err) {
			return
		}
		if err != nil {
			select { // e.g. out of file descriptors, which is temporary
			case <-time.After(tickInterval):
				continue
			case <-f.ctx.Done():
				return
			}
		}
		select {
		case f.inStreams <- struct{}{}:
			f.streamWG.Go(func() {
				defer func() { <-f.inStreams }()
				f.serve(c)
			})
		default:
			f.counters.dropped.Add(1)
			c.Close()
		}
	}
}

// limitConn sets a deadline for a connection and closes it when the Fleet stops. The returned function closes
// it.
func (f *Fleet) limitConn(c net.Conn) (closeConn func()) {
	c.SetDeadline(time.Now().Add(2 * streamTimeout)) //nolint:errcheck // reads report it
	stop := context.AfterFunc(f.ctx, func() { c.Close() })
	return func() { stop(); c.Close() }
}

// serve answers a request or a view exchange on an incoming stream.
func (f *Fleet) serve(c net.Conn) {
	defer f.limitConn(c)()
	r, w := bufio.NewReader(c), bufio.NewWriter(c)
	pages, differing := 0, fleet.AllBuckets
	for {
		m, err := f.readFrame(r)
		if err != nil || pages >= maxExchangeFrames {
			if !errors.Is(err, io.EOF) {
				f.counters.rejected.Add(1)
			}
			return
		}
		if m == nil {
			break
		}
		pages++
		f.counters.receivedBytes.Add(uint64(len(m)))
		if fleet.IsBucketDigests(m) {
			if differing, err = f.compareDigests(m, w); err != nil {
				return
			}
			continue
		}
		result, callErr := callResult(f.ctx, f, func() reply { b, err := f.machine.Answer(f.now(), m); return reply{b, err} })
		if callErr != nil {
			return
		}
		if result.err != nil {
			f.counters.rejected.Add(1)
			return
		}
		if result.message != nil { // a stream has one request and one answer
			f.sendFrame(w, result.message)
			w.Flush() //nolint:errcheck // the peer retries
			return
		}
	}
	if all, err := callResult(f.ctx, f, func() [][]byte { return f.machine.Pages(differing) }); err == nil {
		f.writePages(w, all) //nolint:errcheck // the peer retries
	}
}

// compareDigests answers the bucket digests of a peer's view with those of this router's view, and returns
// the buckets that differ.
func (f *Fleet) compareDigests(theirs []byte, w *bufio.Writer) (differ fleet.Buckets, err error) {
	type compared struct {
		own    []byte
		differ fleet.Buckets
		err    error
	}
	result, callErr := callResult(f.ctx, f, func() (c compared) {
		c.own = f.machine.BucketDigests()
		c.differ, c.err = f.machine.CompareDigests(f.now(), theirs)
		return c
	})
	if callErr != nil {
		return 0, callErr
	}
	if result.err != nil {
		f.counters.rejected.Add(1)
		return 0, result.err
	}
	f.sendFrame(w, result.own)
	return result.differ, w.Flush()
}

// reply is an answer, or the error that prevented it.
type reply struct {
	message []byte
	err     error
}

// sendFrame writes a message with its MAC.
func (f *Fleet) sendFrame(w io.Writer, m []byte) {
	b := fleet.AppendMAC(f.cfg.Key, m)
	f.counters.sentBytes.Add(uint64(len(b)))
	writeFrame(w, b) //nolint:errcheck // Flush reports it
}

// writePages writes pages of the view and the end marker.
func (f *Fleet) writePages(w *bufio.Writer, all [][]byte) error {
	for _, p := range all {
		f.sendFrame(w, p)
	}
	w.Write([]byte{0, 0}) //nolint:errcheck // Flush reports it
	return w.Flush()
}

// dial connects to a member, from the address at which this router listens.
func (f *Fleet) dial(to fleet.Addr) (net.Conn, error) {
	d := net.Dialer{Timeout: streamTimeout}
	if ownIP := f.udp.LocalAddr().(*net.UDPAddr).IP; !ownIP.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: ownIP} // the other members know this router by this address
	}
	return d.DialContext(f.ctx, "tcp", fromMachineAddr(to).String())
}

// StreamPing probes a member over a stream. A refused connection proves that no process listens there. A
// connection that ends without an answer proves nothing.
func (h host) StreamPing(to fleet.Addr, m []byte) {
	f := h.Fleet
	select {
	case f.outStreams <- struct{}{}:
	default:
		f.counters.dropped.Add(1)
		slog.Debug("fleet: no ping on a stream, too many are open", "addr", fromMachineAddr(to).String())
		return
	}
	f.streamWG.Go(func() {
		defer func() { <-f.outStreams }()
		answer, err := f.requestOverStream(to, m)
		refused := errors.Is(err, syscall.ECONNREFUSED)
		if err != nil {
			slog.Debug("fleet: a member did not answer on a stream", "addr", fromMachineAddr(to).String(), "refused", refused, "err", err)
		}
		f.call(f.ctx, func() { //nolint:errcheck // it fails only when the Fleet stops
			if answer != nil {
				f.receive(answer)
			}
			f.machine.StreamPingDone(f.now(), to, answer != nil, refused)
		})
	})
}

// requestOverStream sends a request to a member over a new stream and returns the answer.
func (f *Fleet) requestOverStream(to fleet.Addr, m []byte) ([]byte, error) {
	c, err := f.dial(to)
	if err != nil {
		return nil, err
	}
	defer f.limitConn(c)()
	w := bufio.NewWriter(c)
	f.sendFrame(w, m)
	if err := w.Flush(); err != nil {
		return nil, fmt.Errorf("write request: %v", err) // not wrapped: ECONNREFUSED counts only from dial
	}
	answer, err := f.readFrame(bufio.NewReader(c))
	if err != nil {
		return nil, fmt.Errorf("read answer: %v", err)
	}
	return answer, nil
}

// PushPull starts an exchange of views with a member, unless maxPushPulls are in flight.
func (h host) PushPull(to fleet.Addr) {
	f := h.Fleet
	select {
	case f.pushPulls <- struct{}{}:
	default:
		return
	}
	own := f.machine.BucketDigests()
	f.streamWG.Go(func() {
		defer func() { <-f.pushPulls }()
		if err := f.pushPull(to, own); err != nil {
			f.counters.dropped.Add(1)
		}
	})
}

// pushPull exchanges views with a member; own holds the digests of this router's view.
func (f *Fleet) pushPull(to fleet.Addr, own []byte) error {
	c, err := f.dial(to)
	if err != nil {
		return err
	}
	defer f.limitConn(c)()
	r, w := bufio.NewReader(c), bufio.NewWriter(c)
	f.sendFrame(w, own)
	if err := w.Flush(); err != nil {
		return err
	}
	theirs, err := f.readFrame(r)
	if err != nil {
		return fmt.Errorf("read digests of %v: %w", to, err)
	}
	type difference struct {
		ours [][]byte
		err  error
	}
	result, callErr := callResult(f.ctx, f, func() (d difference) {
		differ, err := f.machine.CompareDigests(f.now(), theirs)
		if d.err = err; err == nil {
			d.ours = f.machine.Pages(differ)
		}
		return d
	})
	if callErr != nil {
		return callErr
	}
	if result.err != nil {
		return fmt.Errorf("compare digests of %v: %w", to, result.err)
	}
	if err := f.writePages(w, result.ours); err != nil {
		return err
	}
	for range maxExchangeFrames {
		m, err := f.readFrame(r)
		if err != nil || m == nil {
			return err
		}
		f.counters.receivedBytes.Add(uint64(len(m)))
		if err := f.call(f.ctx, func() { f.receive(m) }); err != nil {
			return err
		}
	}
	return fmt.Errorf("view exchange exceeds %d frames", maxExchangeFrames)
}
