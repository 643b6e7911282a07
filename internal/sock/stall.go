package sock

import (
	"net"
	"time"
)

// StallConn is a connection on which each read and write may wait for a limited time: a peer that goes on is not
// cut off, however long the whole takes.
type StallConn struct {
	net.Conn
	Limit time.Duration
}

// Read reads what comes within the limit.
func (c StallConn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.Limit)); err != nil {
		return 0, err //nolint:wrapcheck // callers check the type of the error
	}
	return c.Conn.Read(b) //nolint:wrapcheck // as above
}

// Write writes b within the limit.
func (c StallConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.Limit)); err != nil {
		return 0, err //nolint:wrapcheck // as above
	}
	return c.Conn.Write(b) //nolint:wrapcheck // as above
}
