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

// ClientAuth is a listener's policy for client certificates.
type ClientAuth int

// Policies for client certificates.
const (
	ClientAuthNone     ClientAuth = iota // not requested
	ClientAuthOptional                   // verified if presented
	ClientAuthRequired                   // the handshake fails without one
)

// TLSFiles names the files of a TLS configuration, which are watched and reloaded together.
type TLSFiles struct {
	Certificate string // PEM chain, leaf first; "" for clients without a certificate
	Key         string // private key of the certificate in PEM
	Bundle      string // CA certificates that verify the peer; "" = system roots
	Tickets     string // session ticket keys, base64, one a line, the first encrypts; "" = random
	Clients     ClientAuth
	ServerName  string // name that server certificates must have; "" on listeners
}

// Limits of the size of a file, in bytes, and of the number of ticket keys.
const (
	maxTLSFileBytes = 1 << 20
	maxTicketKeys   = 16
)

// TLSReloader holds the current TLS configuration of a listener or of connections to servers. A handshake
// always uses one consistent set of files that was validated as a whole.
type TLSReloader struct {
	files   TLSFiles
	paths   []string
	log     *slog.Logger
	current atomic.Pointer[tls.Config]

	mu     sync.Mutex
	serial int
}

// OpenTLS loads the files. An error names the invalid file.
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

// Server returns the configuration of a listener; each handshake uses the files loaded last.
func (l *TLSReloader) Server() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return l.current.Load(), nil }}
}

// Client returns the current configuration for one connection to a server.
func (l *TLSReloader) Client() *tls.Config { return l.current.Load() }

// Serial returns the number of successful loads.
func (l *TLSReloader) Serial() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.serial
}

// Run watches the files until ctx ends.
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

// reloadOnChange reloads all files when the file at path changes.
type reloadOnChange struct {
	reloader *TLSReloader
	path     string
}

// Apply reloads all files, because a change may be valid only with another one, as a certificate with its
// key.
func (t *reloadOnChange) Apply([]byte) error { return t.reloader.Reload() }

// Refused logs why a changed file was not accepted; the current configuration stays in use.
func (t *reloadOnChange) Refused(reason error) {
	t.reloader.log.Warn("tls: reload failed, keeping the current configuration", "file", t.path, "why", strings.ReplaceAll(reason.Error(), "\n", "; "))
}

// NotificationsFailed logs that file notifications failed and that the file is polled instead.
func (t *reloadOnChange) NotificationsFailed(err error) {
	t.reloader.log.Warn("tls: file notifications failed, polling four times a second", "file", t.path, "why", err.Error())
}

// Reload loads all files and replaces the configuration, or keeps the current one on an error.
func (l *TLSReloader) Reload() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, err := l.files.loadConfig()
	if err != nil {
		return err
	}
	l.current.Store(c)
	if l.serial++; l.serial > 1 {
		l.log.Info("tls: new configuration in use", "certificate", l.files.Certificate, "serial", l.serial)
	}
	return nil
}

// readTLSFile reads a file of at most maxTLSFileBytes.
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

// loadConfig builds a configuration from the current files.
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

// loadKeyPair loads certificate and key and checks that they match and that the certificate is not expired.
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
	if err != nil { // the library's error text contains no part of the key
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

// loadTicketKeys loads the session ticket keys.
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

// TrustAnchors returns the SHA-256 digests of the certificates.
func TrustAnchors(certs []*x509.Certificate) (out [][32]byte) {
	for _, c := range certs {
		out = append(out, sha256.Sum256(c.Raw))
	}
	return out
}

// errNoCertificate is returned for a TLS listener without a certificate or key.
var errNoCertificate = errors.New("tls: a listener needs a certificate and its key")

// Validate checks that the files needed by a listener are named.
func (f TLSFiles) Validate() error {
	switch {
	case f.Certificate == "" || f.Key == "":
		return errNoCertificate
	case f.Clients != ClientAuthNone && f.Bundle == "":
		return errors.New("tls: client certificates are asked for, and there is no bundle to check them by")
	}
	return nil
}
