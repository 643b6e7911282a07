package identity

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mossproxy.example/mossproxy/internal/watch"
)

// ClientAuth says what a listener asks of client certificates.
type ClientAuth int

// What can be asked.
const (
	ClientAuthNone     ClientAuth = iota // none is asked for
	ClientAuthOptional                   // one that is shown must be good
	ClientAuthRequired                   // without one the handshake fails
)

// TLSFiles are the files that a TLS link is made of, followed together.
type TLSFiles struct {
	Certificate string // chain in PEM, the own certificate first; "" on a link to servers = none is shown
	Key         string // its private key in PEM
	Bundle      string // certificates that vouch for the other side; "" = the other side is not asked
	Tickets     string // keys of session tickets, in base64, one a line, the first one encrypts; "" = drawn by this process
	Clients     ClientAuth
	ServerName  string // that servers must prove; "" on listeners
}

// bounds of the files of a link, in bytes, and of ticket keys.
const (
	maxTLSFileBytes = 1 << 20
	maxTicketKeys   = 16
)

// TLSReloader is the TLS material of a listener, or of the way to servers, as it is now. What is read at a handshake is always one whole
// set that was judged together.
type TLSReloader struct {
	files   TLSFiles
	paths   []string
	log     *slog.Logger
	current atomic.Pointer[tls.Config]

	mu     sync.Mutex
	serial int
}

// OpenTLS reads the files. An error names the one that is wrong.
func OpenTLS(f TLSFiles, log *slog.Logger) (*TLSReloader, error) {
	l := &TLSReloader{files: f, log: log}
	for _, p := range []string{f.Certificate, f.Key, f.Bundle, f.Tickets} {
		if p != "" {
			l.paths = append(l.paths, p)
		}
	}
	if err := l.Reload(); err != nil {
		return nil, fmt.Errorf("tls: %w", err)
	}
	return l, nil
}

// Server is the configuration of a listener: each handshake has the material of its moment.
func (l *TLSReloader) Server() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return l.current.Load(), nil }}
}

// Client is the configuration for one connection to a server, of this moment.
func (l *TLSReloader) Client() *tls.Config { return l.current.Load() }

// Serial counts the sets that were in force.
func (l *TLSReloader) Serial() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.serial
}

// Run follows the files until ctx ends.
func (l *TLSReloader) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, p := range l.paths {
		now := func() float64 { return float64(time.Now().UnixMicro()) / 1000 }
		f := watch.New(watch.Config{Path: p, MaxBytes: maxTLSFileBytes, SettleMS: watch.DefaultSettleMS}, now, &reloadOnChange{l, p})
		if text, err := readTLSFile(p); err == nil {
			f.SetCurrent(text)
		}
		wg.Go(func() { f.Run(ctx) })
	}
}

type reloadOnChange struct {
	reloader *TLSReloader
	path     string
}

// Take reads all files anew: one may wait for another, as a certificate does for its key.
func (t *reloadOnChange) Apply([]byte) error { return t.reloader.Reload() }

func (t *reloadOnChange) Refused(why error) {
	t.reloader.log.Warn("tls: refused, what is in use stays", "file", t.path, "why", strings.ReplaceAll(why.Error(), "\n", "; "))
}

func (t *reloadOnChange) NotificationsFailed(err error) {
	t.reloader.log.Warn("tls: no notices, the file is only looked at four times a second", "file", t.path, "why", err.Error())
}

// Reload reads all files and brings them into force together, or none.
func (l *TLSReloader) Reload() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, err := l.files.loadConfig()
	if err != nil {
		return err
	}
	l.current.Store(c)
	if l.serial++; l.serial > 1 {
		l.log.Info("tls: other material in force", "certificate", l.files.Certificate, "serial", l.serial)
	}
	return nil
}

// readTLSFile reads a file that a link is made of.
func readTLSFile(path string) ([]byte, error) {
	f, _, err := watch.OpenRegular(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	b, err := io.ReadAll(io.LimitReader(f, maxTLSFileBytes+1))
	if err == nil && len(b) > maxTLSFileBytes {
		err = fmt.Errorf("%s: over %d bytes", path, maxTLSFileBytes)
	}
	return b, err
}

// loadConfig makes a configuration of the files as they are.
func (f TLSFiles) loadConfig() (*tls.Config, error) {
	c := &tls.Config{MinVersion: tls.VersionTLS13, ServerName: f.ServerName}
	if f.Certificate != "" {
		pair, err := f.loadKeyPair()
		if err != nil {
			return nil, err
		}
		c.Certificates = []tls.Certificate{pair}
	}
	if f.Bundle != "" {
		text, err := readTLSFile(f.Bundle)
		if err != nil {
			return nil, err
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(text) {
			return nil, fmt.Errorf("%s: there is no certificate in it", f.Bundle)
		}
		c.RootCAs, c.ClientCAs = pool, pool
	}
	switch f.Clients {
	case ClientAuthOptional:
		c.ClientAuth = tls.VerifyClientCertIfGiven
	case ClientAuthRequired:
		c.ClientAuth = tls.RequireAndVerifyClientCert
	}
	if f.Tickets != "" {
		keys, err := f.loadTicketKeys()
		if err != nil {
			return nil, err
		}
		c.SetSessionTicketKeys(keys)
	}
	return c, nil
}

// loadKeyPair reads certificate and key, and judges them together: they belong to one another, and the certificate's time is now.
func (f TLSFiles) loadKeyPair() (tls.Certificate, error) {
	cert, err := readTLSFile(f.Certificate)
	if err != nil {
		return tls.Certificate{}, err
	}
	key, err := readTLSFile(f.Key)
	if err != nil {
		return tls.Certificate{}, err
	}
	pair, err := tls.X509KeyPair(cert, key)
	if err != nil { // the library's text holds no part of the key
		return pair, fmt.Errorf("%s and %s: %w", f.Certificate, f.Key, err)
	}
	leaf, err := x509.ParseCertificate(pair.Certificate[0])
	if err != nil {
		return pair, fmt.Errorf("%s: %w", f.Certificate, err)
	}
	if now := time.Now(); now.After(leaf.NotAfter) {
		return pair, fmt.Errorf("%s: expired at %s", f.Certificate, leaf.NotAfter.UTC().Format(time.RFC3339))
	}
	pair.Leaf = leaf
	return pair, nil
}

// loadTicketKeys reads the keys of session tickets.
func (f TLSFiles) loadTicketKeys() ([][32]byte, error) {
	text, err := readTLSFile(f.Tickets)
	if err != nil {
		return nil, err
	}
	var keys [][32]byte
	for i, line := range strings.Split(strings.TrimRight(string(text), "\n"), "\n") {
		b, err := base64.StdEncoding.DecodeString(strings.TrimSpace(line))
		if err != nil || len(b) != 32 {
			return nil, fmt.Errorf("%s:%d: 32 bytes in base64 are right", f.Tickets, i+1)
		}
		keys = append(keys, [32]byte(b))
	}
	if len(keys) > maxTicketKeys {
		return nil, fmt.Errorf("%s: %d keys; %d at most", f.Tickets, len(keys), maxTicketKeys)
	}
	return keys, nil
}

// TrustAnchors are the SHA-256 of a bundle's certificates.
func TrustAnchors(certs []*x509.Certificate) (out [][32]byte) {
	for _, c := range certs {
		out = append(out, sha256.Sum256(c.Raw))
	}
	return out
}

// errNoCertificate tells of a listener that is to serve TLS without a certificate.
var errNoCertificate = errors.New("tls: a listener needs a certificate and its key")

// Validate says what is wrong with the names of files for a listener.
func (f TLSFiles) Validate() error {
	switch {
	case f.Certificate == "" || f.Key == "":
		return errNoCertificate
	case f.Clients != ClientAuthNone && f.Bundle == "":
		return errors.New("tls: client certificates are asked for, and there is no bundle to check them by")
	}
	return nil
}
