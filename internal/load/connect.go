package load

import (
	"bufio"
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"os"
	"strings"
	"time"
)

// connectTime bounds how long a connection takes to come up and log in.
const connectTime = 5 * time.Second

// connect opens a connection to an address of a target, as a client of it does: with TLS and a login where the target has them.
func (t Target) connect(ctx context.Context, addr, protocol string) (c net.Conn, r *bufio.Reader, err error) {
	c, err = (&net.Dialer{Timeout: connectTime}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, nil, err
	}
	raw := c
	defer func() {
		if err != nil {
			raw.Close()
		}
	}()
	if err = c.SetDeadline(time.Now().Add(connectTime)); err != nil {
		return nil, nil, err
	}
	if t.CA != "" {
		if c, err = t.secure(c, addr); err != nil {
			return nil, nil, err
		}
	}
	r = bufio.NewReaderSize(c, bufferSize)
	if t.Auth != "" {
		if err = t.login(c, r, protocol); err != nil {
			return nil, nil, err
		}
	}
	return c, r, c.SetDeadline(time.Time{})
}

// secure shakes hands.
func (t Target) secure(c net.Conn, addr string) (net.Conn, error) {
	text, err := os.ReadFile(t.CA)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("%s: there is no certificate in it", t.CA)
	}
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, err
	}
	s := tls.Client(c, &tls.Config{RootCAs: pool, ServerName: host, MinVersion: tls.VersionTLS13})
	return s, s.Handshake()
}

// login logs in by a key's secret.
func (t Target) login(c net.Conn, r *bufio.Reader, protocol string) error {
	id, secret, _ := strings.Cut(t.Auth, ":")
	text, want := "auth key "+id+" "+secret+"\r\n", "HD"
	if protocol == "resp" {
		text, want = "AUTH "+id+" "+secret+"\r\n", "+OK"
	}
	if _, err := c.Write([]byte(text)); err != nil {
		return err
	}
	line, err := r.ReadString('\n')
	if err == nil && !strings.HasPrefix(line, want) {
		err = fmt.Errorf("login: %.60q", line)
	}
	return err
}
