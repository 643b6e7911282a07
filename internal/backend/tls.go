package backend

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync"
	"time"
)

// TLS provides the current TLS configuration for connections to servers. A nil TLS means plain connections.
type TLS interface {
	Client() *tls.Config // configuration of the next connection
	// Serial grows with each change of the configuration. Connections made under an earlier one finish
	// their attempt and are not kept.
	Serial() int
}

// tlsConn is the TLS layer of one connection. It reads and writes through the conn below, which accesses
// the socket itself. So, as without TLS, input on a connection without a task ends the connection, and a
// command is written without blocking.
//
// While buffering is set, writes are collected in records, so that conn.writeCommand sends all records of a
// command in one system call, at the point where it decides whether to send them at all. mu keeps records in
// order: from the encryption of a command until its last byte is written, nothing else (the answer to a key
// update, an alert) is written.
type tlsConn struct {
	*tls.Conn
	c *conn

	header     [5]byte // of the record being read
	headerRead int     // bytes of header that have been read
	recordLeft int     // bytes of the record that have not been read
	unread     []byte  // plaintext of the last record that has not been consumed
	plaintext  []byte  // buffer that holds unread

	mu        sync.Mutex // guards writes to the socket
	buffering bool       // guarded by mu
	records   []byte     // encrypted records of a command; guarded by mu
}

// tlsTransport is the connection as the TLS layer sees it.
type tlsTransport struct {
	net.Conn
	tls *tlsConn
}

// Read reads records with the limits of conn.Read and never past the current record: later input stays in
// the socket, where the conn notices it.
func (k tlsTransport) Read(b []byte) (int, error) {
	s := k.tls
	if s.recordLeft > 0 {
		n, err := s.c.Read(b[:min(len(b), s.recordLeft)])
		s.recordLeft -= n
		return n, err
	}
	n, err := s.c.Read(b[:min(len(b), len(s.header)-s.headerRead)])
	copy(s.header[s.headerRead:], b[:n])
	if s.headerRead += n; s.headerRead == len(s.header) {
		s.headerRead, s.recordLeft = 0, int(s.header[3])<<8|int(s.header[4])
	}
	return n, err
}

// maxPlaintextBytes is the maximum plaintext length of a record (RFC 8446, section 5.1).
const maxPlaintextBytes = 16 << 10

// Read decrypts a whole record and returns it piecewise, so that hasUnread can tell whether some is left.
func (s *tlsConn) Read(b []byte) (int, error) {
	if len(s.unread) == 0 {
		if s.plaintext == nil {
			s.plaintext = make([]byte, maxPlaintextBytes)
		}
		n, err := s.Conn.Read(s.plaintext)
		if err != nil {
			return 0, err
		}
		s.unread = s.plaintext[:n]
	}
	n := copy(b, s.unread)
	s.unread = s.unread[n:]
	return n, nil
}

// hasUnread reports whether part of a decrypted record has not been consumed.
func (s *tlsConn) hasUnread() bool { return s != nil && len(s.unread) > 0 }

// Write collects the records of a command. Records that the TLS layer sends on its own are written at once.
func (k tlsTransport) Write(b []byte) (int, error) {
	if k.tls.buffering { // set by encrypt, which runs on this goroutine
		k.tls.records = append(k.tls.records, b...)
		return len(b), nil
	}
	k.tls.mu.Lock()
	defer k.tls.mu.Unlock()
	return k.Conn.Write(b)
}

// handshake establishes TLS on the connection within a time limit. Input is not treated as an unexpected
// answer until the first command is written.
func (c *conn) handshake(ctx context.Context, cfg *tls.Config, timeout time.Duration) error {
	cfg, err := configFor(cfg, c.target.addr)
	if err != nil {
		return err
	}
	layer := &tlsConn{c: c}
	layer.Conn = tls.Client(tlsTransport{c.Conn, layer}, cfg)
	c.tls, c.readBudget = layer, maxAnswerBytes
	if err := c.SetDeadline(time.Now().Add(timeout)); err != nil {
		return fmt.Errorf("tls: %w", err)
	}
	if err := layer.HandshakeContext(ctx); err != nil {
		return fmt.Errorf("tls: %w", err)
	}
	if err := c.SetDeadline(time.Time{}); err != nil {
		return fmt.Errorf("tls: %w", err)
	}
	c.in.Reset(layer)
	return nil
}

// configFor returns the configuration for the server at addr. Unless cfg names a server, the certificate must
// be valid for the host of addr.
func configFor(cfg *tls.Config, addr string) (*tls.Config, error) {
	if cfg.ServerName != "" {
		return cfg, nil
	}
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, fmt.Errorf("tls: %w", err)
	}
	cfg = cfg.Clone()
	cfg.ServerName = host
	return cfg, nil
}

// WrapTLS establishes TLS on a connection to the server at addr. If t is nil, it returns c unchanged.
func WrapTLS(ctx context.Context, c net.Conn, t TLS, addr string) (net.Conn, error) {
	if t == nil {
		return c, nil
	}
	cfg, err := configFor(t.Client(), addr)
	if err != nil {
		return nil, err
	}
	tlsLayer := tls.Client(c, cfg)
	if err := tlsLayer.HandshakeContext(ctx); err != nil {
		return nil, fmt.Errorf("tls: %w", err)
	}
	return tlsLayer, nil
}

// encrypt returns a command's TLS records, valid until the next call. The caller holds mu.
func (s *tlsConn) encrypt(b []byte) ([]byte, error) {
	s.buffering, s.records = true, s.records[:0]
	_, err := s.Conn.Write(b)
	s.buffering = false
	if err != nil {
		return nil, fmt.Errorf("encrypting: %w", err)
	}
	return s.records, nil
}
