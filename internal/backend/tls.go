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

// sealed is the TLS of one connection. What it reads and writes goes through the conn below, which looks at the socket itself: so
// input while there is no work ends a connection, as without TLS, and a command is written without waiting.
//
// Writes are gathered while held is set: the command's records leave in one system call of launch, which is where it is settled
// whether they leave at all. mu keeps records in their order: from the sealing of a command until its last byte is out, nothing else
// (the answer to a key update, an alert) is written.
type sealed struct {
	*tls.Conn
	c *conn

	head  [5]byte // of the record that is being read
	heads int     // how much of it is there
	left  int     // bytes of the record that are to come
	text  []byte  // of the last record, what nobody has read yet
	whole []byte  // its memory

	mu   sync.Mutex // of writes to the socket
	held bool       // guarded by mu, or by who has it
	out  []byte     // records that are gathered
}

// socket is the connection as the TLS above it sees it.
type socket struct {
	net.Conn
	s *sealed
}

// Read reads records, by the conn's rules, and never beyond the one that is asked for: what is behind it stays in the socket, where
// the conn sees it.
func (k socket) Read(b []byte) (int, error) {
	s := k.s
	if s.left > 0 {
		n, err := s.c.Read(b[:min(len(b), s.left)])
		s.left -= n
		return n, err
	}
	n, err := s.c.Read(b[:min(len(b), len(s.head)-s.heads)])
	copy(s.head[s.heads:], b[:n])
	if s.heads += n; s.heads == len(s.head) {
		s.heads, s.left = 0, int(s.head[3])<<8|int(s.head[4])
	}
	return n, err
}

// maxText is the longest text of a record (RFC 8446, 5.1).
const maxText = 16 << 10

// Read reads a record's text whole and hands it out, so that pending tells what is left of it.
func (s *sealed) Read(b []byte) (int, error) {
	if len(s.text) == 0 {
		if s.whole == nil {
			s.whole = make([]byte, maxText)
		}
		n, err := s.Conn.Read(s.whole)
		if err != nil {
			return 0, err
		}
		s.text = s.whole[:n]
	}
	n := copy(b, s.text)
	s.text = s.text[n:]
	return n, nil
}

// pending says whether some of a record was not read.
func (s *sealed) pending() bool { return s != nil && len(s.text) > 0 }

// Write gathers records of a command; what the TLS has to say by itself is written at once.
func (k socket) Write(b []byte) (int, error) {
	if k.s.held { // by seal, on whose goroutine this runs
		k.s.out = append(k.s.out, b...)
		return len(b), nil
	}
	k.s.mu.Lock()
	defer k.s.mu.Unlock()
	return k.Conn.Write(b)
}

// shake makes a connection one with TLS, within a time. Its input is nobody's answer until the first command.
func (c *conn) shake(ctx context.Context, cfg *tls.Config, within time.Duration) error {
	cfg, err := named(cfg, c.t.addr)
	if err != nil {
		return err
	}
	s := &sealed{c: c}
	s.Conn = tls.Client(socket{c.Conn, s}, cfg)
	c.tls, c.left = s, maxAnswer
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

// named is the configuration for the server at an address: what it must prove is its host, where nothing else is said.
func named(cfg *tls.Config, addr string) (*tls.Config, error) {
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

// Over makes a connection to the server at an address one with TLS, where links have any.
func Over(ctx context.Context, c net.Conn, t TLS, addr string) (net.Conn, error) {
	if t == nil {
		return c, nil
	}
	cfg, err := named(t.Client(), addr)
	if err != nil {
		return nil, err
	}
	s := tls.Client(c, cfg)
	if err := s.HandshakeContext(ctx); err != nil {
		return nil, fmt.Errorf("tls: %w", err)
	}
	return s, nil
}

// seal gives a command's records. The caller has mu.
func (s *sealed) seal(b []byte) ([]byte, error) {
	s.held, s.out = true, s.out[:0]
	_, err := s.Conn.Write(b)
	s.held = false
	if err != nil {
		return nil, fmt.Errorf("sealing: %w", err)
	}
	return s.out, nil
}
