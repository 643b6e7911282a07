package backend

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync"
	"time"
)

// TLS is the material of links to servers as it is now. nil = links are plain.
type TLS interface {
	Client() *tls.Config // for one more connection
	Serial() int         // grows with each other material: connections of before are used up and not kept
}

// tlsConn is the TLS of one connection. What it reads and writes goes through the conn below, which looks at the socket itself: so
// input while there is no work ends a connection, as without TLS, and a command is written without waiting.
//
// Writes are gathered while held is set: the command's records leave in one system call of launch, which is where it is settled
// whether they leave at all. mu keeps records in their order: from the sealing of a command until its last byte is out, nothing else
// (the answer to a key update, an alert) is written.
type tlsConn struct {
	*tls.Conn
	c *conn

	header     [5]byte // of the record that is being read
	headerRead int     // how much of it is there
	recordLeft int     // bytes of the record that are to come
	unread     []byte  // of the last record, what nobody has read yet
	plaintext  []byte  // its memory

	mu        sync.Mutex // of writes to the socket
	buffering bool       // guarded by mu, or by who has it
	records   []byte     // records that are gathered
}

// tlsTransport is the connection as the TLS above it sees it.
type tlsTransport struct {
	net.Conn
	tls *tlsConn
}

// Read reads records, by the conn's rules, and never beyond the one that is asked for: what is behind it stays in the socket, where
// the conn sees it.
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

// maxPlaintextBytes is the longest text of a record (RFC 8446, 5.1).
const maxPlaintextBytes = 16 << 10

// Read reads a record's text whole and hands it out, so that pending tells what is left of it.
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

// hasUnread says whether some of a record was not read.
func (s *tlsConn) hasUnread() bool { return s != nil && len(s.unread) > 0 }

// Write gathers records of a command; what the TLS has to say by itself is written at once.
func (k tlsTransport) Write(b []byte) (int, error) {
	if k.tls.buffering { // by seal, on whose goroutine this runs
		k.tls.records = append(k.tls.records, b...)
		return len(b), nil
	}
	k.tls.mu.Lock()
	defer k.tls.mu.Unlock()
	return k.Conn.Write(b)
}

// handshake makes a connection one with TLS, within a time. Its input is nobody's answer until the first command.
func (c *conn) handshake(ctx context.Context, cfg *tls.Config, within time.Duration) error {
	cfg, err := configFor(cfg, c.target.addr)
	if err != nil {
		return err
	}
	s := &tlsConn{c: c}
	s.Conn = tls.Client(tlsTransport{c.Conn, s}, cfg)
	c.tls, c.readBudget = s, maxAnswerBytes
	if err := c.SetDeadline(time.Now().Add(within)); err != nil {
		return fmt.Errorf("tls: %w", err)
	}
	if err := s.HandshakeContext(ctx); err != nil {
		return fmt.Errorf("tls: %w", err)
	}
	if err := c.SetDeadline(time.Time{}); err != nil {
		return fmt.Errorf("tls: %w", err)
	}
	c.in.Reset(s)
	return nil
}

// configFor is the configuration for the server at an address: what it must prove is its host, where nothing else is said.
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

// WrapTLS makes a connection to the server at an address one with TLS, where links have any.
func WrapTLS(ctx context.Context, c net.Conn, t TLS, addr string) (net.Conn, error) {
	if t == nil {
		return c, nil
	}
	cfg, err := configFor(t.Client(), addr)
	if err != nil {
		return nil, err
	}
	s := tls.Client(c, cfg)
	if err := s.HandshakeContext(ctx); err != nil {
		return nil, fmt.Errorf("tls: %w", err)
	}
	return s, nil
}

// encrypt gives a command's records. The caller has mu.
func (s *tlsConn) encrypt(b []byte) ([]byte, error) {
	s.buffering, s.records = true, s.records[:0]
	_, err := s.Conn.Write(b)
	s.buffering = false
	if err != nil {
		return nil, fmt.Errorf("sealing: %w", err)
	}
	return s.records, nil
}
