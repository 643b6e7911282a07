package front

import (
	"errors"
	"net"
	"os"
	"time"

	"mossproxy.example/mossproxy/internal/sock"
)

// An answer is delivered once the client's system has acknowledged it: until then a reset of the connection destroys
// it. Input that arrives at a closed connection resets it, as does a close over unread input. This file
// decides by what is acknowledged, never by a write that has returned, when a connection may be closed.

const (
	// deliveryPollInterval is the time between two looks at what a client has acknowledged.
	deliveryPollInterval = 10 * time.Millisecond
	// maxCrossingTime is how long answers may take to arrive whose connection is no longer read: what the client
	// sends in that time has no answer.
	maxCrossingTime = 50 * time.Millisecond
	// deliveryGrace is how long a connection is not evicted for its idleness while its answers are on their way.
	deliveryGrace = time.Second
	// evictionPatience is how long the client of an evicted connection may acknowledge nothing: others wait for its slot. A
	// link acknowledges half a receive buffer at a time.
	evictionPatience = time.Second
	// deliveryReserve is by what factor a client may take its answers more slowly than before.
	deliveryReserve = 1.25
	// deliveryMargin is how long before the limit a client should have its answers: it acknowledges in steps.
	deliveryMargin = 100 * time.Millisecond
	// answerSizeWeight is the weight of the latest answer in the mean size of a connection's answers.
	answerSizeWeight = 0.125
)

// undelivered reports whether answers that were written have not been acknowledged.
func (c *clientConn) undelivered() bool { return sock.Unacknowledged(c.Conn) > 0 }

// deliveryPatience returns for how long a client may acknowledge nothing until its answers are given up.
func (c *clientConn) deliveryPatience() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dropped {
		return evictionPatience
	}
	return answerWriteTimeout
}

// observeDelivery records what the client has acknowledged so far. ok is false if that is not known. The caller
// holds mu.
func (c *clientConn) observeDelivery() (output sock.SendState, ok bool) {
	output, err := sock.Output(c.Conn)
	if err != nil {
		return output, false
	}
	c.delivery.Observe(c.manager.engine.Now(), output.Acknowledged, output.Unacknowledged)
	return output, true
}

// heldUp reports whether answers that were written need noticeable time to arrive, as the client or the network takes
// them slowly. The caller holds mu.
func (c *clientConn) heldUp() bool {
	output, ok := c.observeDelivery()
	return ok && (output.Unsent > 0 || c.delivery.Delay(0) > float64(maxCrossingTime/time.Millisecond))
}

// readsOn reports whether a connection that closes is read on after a timeout, as its answers are held up, and
// sets the deadline until which.
func (c *clientConn) readsOn() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closing.active || c.dropped || c.broken || c.acceptsNoMore() || !c.heldUp() {
		return false
	}
	c.SetReadDeadline(time.Now().Add(deliveryPollInterval))
	return true
}

// answerDeadline returns the time by which a command that is read now has to be answered so that the answer arrives,
// in ms of the engine's clock; 0 = no limit. It matters where the process ends: the answers on the connection
// ahead of it need their time too. Once there is none left for a command, there is none for later ones either.
func (c *clientConn) answerDeadline() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing.deliverBy.IsZero() {
		return 0
	}
	if _, ok := c.observeDelivery(); !ok {
		return 0
	}
	now := c.manager.engine.Now()
	left := float64(time.Until(c.closing.deliverBy)-deliveryMargin) / float64(time.Millisecond)
	expected := int(c.meanAnswerBytes * float64(c.openCommands()+1))
	deadline := now + left - c.delivery.Delay(expected)*deliveryReserve
	if c.closing.tooLate = c.closing.tooLate || deadline <= now; c.closing.tooLate {
		return earliestDeadline
	}
	return deadline
}

// earliestDeadline is a deadline that has always passed.
const earliestDeadline = 1

// noteAnswerSize records the size of an answer. The caller holds mu.
func (c *clientConn) noteAnswerSize(bytes int) {
	c.meanAnswerBytes += answerSizeWeight * (float64(bytes) - c.meanAnswerBytes)
}

// deliver waits until the client has acknowledged all answers, or stops to take them. It ends the sending side, so that
// the client sees the end of the connection behind the answers, and discards input meanwhile. A rejected client
// gets lingerTime in addition to close its side.
func (c *clientConn) deliver(rejected bool) {
	if !rejected && !c.undelivered() || !c.closeWrite() {
		return
	}
	conn, patience := c.transport(), c.deliveryPatience()
	input, discarded := make([]byte, maxLineBytes), 0
	lingerUntil, lastProgress := time.Now(), time.Now()
	if rejected {
		lingerUntil = lingerUntil.Add(lingerTime)
	}
	for unacked := sock.Unacknowledged(conn); ; {
		now := time.Now()
		if left := sock.Unacknowledged(conn); left != unacked {
			unacked, lastProgress = left, now
		}
		lingers := now.Before(lingerUntil) && discarded < lingerBytes
		if unacked == 0 && !lingers || now.Sub(lastProgress) > patience {
			return
		}
		conn.SetReadDeadline(now.Add(deliveryPollInterval))
		n, err := conn.Read(input)
		if discarded += n; err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return // the client has closed its side, or the connection is reset
		}
		if discarded >= lingerBytes {
			time.Sleep(deliveryPollInterval) // a client that sends without end is not read at its pace
		}
	}
}

// transport returns the TCP connection, below TLS if there is any.
func (c *clientConn) transport() net.Conn {
	if t, ok := c.Conn.(interface{ NetConn() net.Conn }); ok {
		return t.NetConn()
	}
	return c.Conn
}

// closeWrite ends the sending side of the connection. Reports whether the connection still exists and can do that.
func (c *clientConn) closeWrite() bool {
	transport := c.transport()
	if transport != c.Conn {
		if tlsConn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
			tlsConn.CloseWrite() //nolint:errcheck // the end of the transport follows in any case
		}
	}
	closer, ok := transport.(interface{ CloseWrite() error })
	return ok && closer.CloseWrite() == nil
}
