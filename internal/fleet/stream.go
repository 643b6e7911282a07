package fleet

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"

	"mossproxy.example/mossproxy/internal/pure/fleet"
)

// A stream carries frames: a length of two bytes and a sealed message. The one who connects sends one question, which the other one
// answers; or the sums of its view, which the other one answers with its own, and then the pages that differ and a frame of length 0,
// which the other one answers with its own pages and such a frame. Neither writes what the other does not wait to read.

func writeFrame(w io.Writer, b []byte) error {
	_, err := w.Write(append(binary.BigEndian.AppendUint16(make([]byte, 0, 2+len(b)), uint16(len(b))), b...))
	return err
}

// readFrame reads a message, nil at the mark of the end.
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
		return nil, fmt.Errorf("a frame of %d bytes; %d are the most", n, fleet.MaxMessage)
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(r, b); err != nil {
		return nil, err
	}
	return fleet.VerifyMAC(f.cfg.Key, b)
}

// accept takes streams of others until the listener closes. Each has its goroutine; there are so many places.
func (f *Fleet) accept() {
	for {
		c, err := f.tcp.Accept()
		if isClosed(err) {
			return
		}
		if err != nil {
			select { // descriptors are short: that passes
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

// limitConn has a connection end with the fleet, and its reads and writes end in time.
func (f *Fleet) limitConn(c net.Conn) (end func()) {
	c.SetDeadline(time.Now().Add(2 * streamTimeout)) //nolint:errcheck // reads tell
	stop := context.AfterFunc(f.ctx, func() { c.Close() })
	return func() { stop(); c.Close() }
}

// serve answers on a stream.
func (f *Fleet) serve(c net.Conn) {
	defer f.limitConn(c)()
	r, w := bufio.NewReader(c), bufio.NewWriter(c)
	pages, differ := 0, fleet.AllBuckets
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
			if differ, err = f.compareDigests(m, w); err != nil {
				return
			}
			continue
		}
		got, stopped := callResult(f.ctx, f, func() reply { b, err := f.machine.Answer(f.now(), m); return reply{b, err} })
		if stopped != nil {
			return
		}
		if got.err != nil {
			f.counters.rejected.Add(1)
			return
		}
		if got.message != nil { // one question, one answer
			f.sendFrame(w, got.message)
			w.Flush() //nolint:errcheck // the other asks again
			return
		}
	}
	if all, err := callResult(f.ctx, f, func() [][]byte { return f.machine.Pages(differ) }); err == nil {
		f.writePages(w, all) //nolint:errcheck // the other asks again
	}
}

// compareDigests answers the sums of another's view with those of this one, and says where they differ.
func (f *Fleet) compareDigests(theirs []byte, w *bufio.Writer) (differ fleet.Buckets, err error) {
	type compared struct {
		own    []byte
		differ fleet.Buckets
		err    error
	}
	got, stopped := callResult(f.ctx, f, func() (c compared) {
		c.own = f.machine.BucketDigests()
		c.differ, c.err = f.machine.CompareDigests(f.now(), theirs)
		return c
	})
	if stopped != nil {
		return 0, stopped
	}
	if got.err != nil {
		f.counters.rejected.Add(1)
		return 0, got.err
	}
	f.sendFrame(w, got.own)
	return got.differ, w.Flush()
}

// reply is an answer, or why there is none.
type reply struct {
	message []byte
	err     error
}

func (f *Fleet) sendFrame(w io.Writer, m []byte) {
	b := fleet.AppendMAC(f.cfg.Key, m)
	f.counters.sentBytes.Add(uint64(len(b)))
	writeFrame(w, b) //nolint:errcheck // Flush tells, or the other end
}

func (f *Fleet) writePages(w *bufio.Writer, all [][]byte) error {
	for _, p := range all {
		f.sendFrame(w, p)
	}
	w.Write([]byte{0, 0}) //nolint:errcheck // Flush tells
	return w.Flush()
}

// dial connects to a member.
func (f *Fleet) dial(to fleet.Addr) (net.Conn, error) {
	d := net.Dialer{Timeout: streamTimeout}
	if own := f.udp.LocalAddr().(*net.UDPAddr).IP; !own.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: own} // the others know this router by it
	}
	return d.DialContext(f.ctx, "tcp", fromMachineAddr(to).String())
}

// Check asks a member by a stream. A connection that is refused proves that no process listens there; one that ends without an answer
// proves nothing.
func (h host) StreamPing(to fleet.Addr, m []byte) {
	f := h.Fleet
	select {
	case f.outStreams <- struct{}{}:
	default:
		f.counters.dropped.Add(1)
		return
	}
	f.streamWG.Go(func() {
		defer func() { <-f.outStreams }()
		answer, err := f.requestOverStream(to, m)
		refused := errors.Is(err, syscall.ECONNREFUSED)
		f.call(f.ctx, func() { //nolint:errcheck // it ends
			if answer != nil {
				f.receive(answer)
			}
			f.machine.StreamPingDone(f.now(), to, answer != nil, refused)
		})
	})
}

func (f *Fleet) requestOverStream(to fleet.Addr, m []byte) ([]byte, error) {
	c, err := f.dial(to)
	if err != nil {
		return nil, err
	}
	defer f.limitConn(c)()
	w := bufio.NewWriter(c)
	f.sendFrame(w, m)
	if err := w.Flush(); err != nil {
		return nil, fmt.Errorf("a question: %v", err) // not wrapped: a refusal after connecting is none
	}
	answer, err := f.readFrame(bufio.NewReader(c))
	if err != nil {
		return nil, fmt.Errorf("an answer: %v", err)
	}
	return answer, nil
}

// Sync exchanges views with a member.
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
		return fmt.Errorf("sums of %v's view: %w", to, err)
	}
	type difference struct {
		ours [][]byte
		err  error
	}
	got, stopped := callResult(f.ctx, f, func() (d difference) {
		differ, err := f.machine.CompareDigests(f.now(), theirs)
		if d.err = err; err == nil {
			d.ours = f.machine.Pages(differ)
		}
		return d
	})
	if stopped != nil {
		return stopped
	}
	if got.err != nil {
		return fmt.Errorf("sums of %v's view: %w", to, got.err)
	}
	if err := f.writePages(w, got.ours); err != nil {
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
	return fmt.Errorf("more than %d pages", maxExchangeFrames)
}
