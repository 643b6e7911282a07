package backend

import (
	"time"

	"golang.org/x/sys/unix"

	"mossproxy.example/mossproxy/internal/sock"
)

// A write that has returned says only that the system has taken a command. Until the server's system has acknowledged
// all of it, the rest may arrive at any later time, even on a connection that was closed here: the system goes on
// sending it. This file takes such bytes back.

// limitArrival has an attempt aborted whose command has not arrived by its time. The caller holds mu.
func (c *conn) limitArrival() {
	arriveBy, number := c.task.try.ArriveBy, c.task.number
	if arriveBy.IsZero() {
		return
	}
	c.arrivalTimer = time.AfterFunc(time.Until(arriveBy), func() { c.abortUndelivered(number) })
}

// stopArrivalTimer stops the timer of limitArrival. The caller holds mu.
func (c *conn) stopArrivalTimer() {
	if c.arrivalTimer != nil {
		c.arrivalTimer.Stop()
		c.arrivalTimer = nil
	}
}

// abortUndelivered aborts the attempt that is in progress on the connection if its command, of the given number,
// has not arrived.
func (c *conn) abortUndelivered(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy && c.commands == number && sock.Unacknowledged(c.Conn) > 0 {
		c.abort()
	}
}

// discardOutput has the close of a connection discard what has not arrived at the server, and reset the
// connection. A connection whose output has arrived ends as usual.
func (c *conn) discardOutput() {
	if sock.Unacknowledged(c.Conn) == 0 {
		return
	}
	c.raw.Control(func(fd uintptr) { //nolint:errcheck // it may be closed already
		unix.SetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1}) //nolint:errcheck // as above
	})
}
