package keybook

import (
	"bytes"
	"context"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"time"

	"mossproxy.example/mossproxy/internal/identity"
	"mossproxy.example/mossproxy/internal/pure/caller"
	"mossproxy.example/mossproxy/internal/pure/rights"
	"mossproxy.example/mossproxy/internal/watch"
)

// SourceConfig names the files that a gate's credentials are read from.
type SourceConfig struct {
	Name            string // appears in log entries
	CredentialsPath string // credentials file
	RightsPath      string // rights file
	BundlePath      string // CA bundle for client certificates; "" = none
	Classes         []string
	Pools           []string // valid names in the tenants' pool lists
	Policy          caller.Policy
}

// maxBundleBytes is the maximum size of a certificate bundle.
const maxBundleBytes = 1 << 20

// Indexes of the files of a source.
const (
	credentialsFile = iota
	rightsFile
	bundleFile
	fileCount
)

// Source watches the files that a gate's credentials are read from and applies all of them atomically. Whenever a
// file or the classes change, the state to apply is computed anew from what the files hold now. Content that is
// invalid or inconsistent with the other files is left out, and the previous content of its file stays in use, until it
// can be applied; content that its file no longer holds is never applied.
type Source struct {
	cfg   SourceConfig
	paths [fileCount]string
	gate  *identity.Authenticator
	log   *slog.Logger

	mu      sync.Mutex
	inUse   [fileCount][]byte
	latest  [fileCount][]byte // what the files hold; differs from inUse where it was rejected
	terms   map[string]Terms
	tenants []caller.Tenant
	// quarantined are the parts of the credentials in use that refer to unknown names.
	quarantined []Quarantined
	version     uint64 // of the credentials file in use
	epoch       uint64 // incremented whenever new contents are applied
}

// Open reads the files and installs the gate's initial credentials. The error lists each fault with file and
// line.
func Open(cfg SourceConfig, gate *identity.Authenticator, log *slog.Logger) (*Source, error) {
	s := &Source{cfg: cfg, paths: [fileCount]string{cfg.CredentialsPath, cfg.RightsPath, cfg.BundlePath}, gate: gate, log: log}
	var next [fileCount][]byte
	for i, path := range s.paths {
		if path == "" {
			continue
		}
		text, err := s.watchFile(i, nil).Read()
		if err != nil {
			return nil, fmt.Errorf("callers: %w", err)
		}
		next[i] = text
	}
	if err := s.apply(next); err != nil {
		return nil, err
	}
	s.latest = next
	return s, nil
}

// Version returns the version of the credentials file in use and the number of times that contents were
// applied.
func (s *Source) Version() (file, epoch uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version, s.epoch
}

// HasApplied reports whether the credentials file in use has the given content, apart from its issue time.
func (s *Source) HasApplied(credentials []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return bytes.Equal(s.inUse[credentialsFile], credentials) || equalExceptIssued(s.inUse[credentialsFile], credentials)
}

// SetClasses sets the class names that are valid in the files, after a configuration change. Tenants' terms are
// checked against them at once. Contents that were rejected are tried again.
func (s *Source) SetClasses(names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cfg.Classes = names
	s.setQuarantined(s.cfg.names().Quarantine(&Credentials{Tenants: s.tenants, Terms: s.terms}))
	s.applyLatest()
}

// Tenants returns the tenants in use with their terms, and the epoch as Version does. Callers must not modify
// them.
func (s *Source) Tenants() (epoch uint64, names []caller.Tenant, terms map[string]Terms) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch, s.tenants, s.terms
}

func nowMS() float64 { return float64(time.Now().UnixMicro()) / 1000 }

func (s *Source) watchFile(part int, consumer watch.Consumer) *watch.File {
	limit := []int64{MaxFileBytes, rights.MaxTextBytes, maxBundleBytes}[part]
	return watch.New(watch.Config{Path: s.paths[part], MaxBytes: limit, SettleMS: watch.DefaultSettleMS}, nowMS, consumer)
}

// confirmInterval is how often the credentials file is read again to check that it is still there.
// Credentials without an issue time count as confirmed at the last successful read.
const confirmInterval = time.Second

// Run watches the files and applies their changes until ctx is done.
func (s *Source) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for i, path := range s.paths {
		if path == "" {
			continue
		}
		f := s.watchFile(i, &fileConsumer{s, i})
		s.mu.Lock()
		f.SetCurrent(s.inUse[i])
		s.mu.Unlock()
		wg.Go(func() { f.Run(ctx) })
	}
	wg.Go(func() { s.gate.Run(ctx) })
	probe := s.watchFile(credentialsFile, nil)
	t := time.NewTicker(confirmInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		text, err := probe.Read()
		s.mu.Lock()
		unchanged := err == nil && string(text) == string(s.inUse[credentialsFile])
		s.mu.Unlock()
		if b := s.gate.Credentials(); unchanged && b != nil && b.Issued() == 0 {
			s.gate.Confirm(nowMS())
		}
	}
}

// fileConsumer applies new contents of one file.
type fileConsumer struct {
	source *Source
	file   int
}

// Apply records what the file holds and applies the contents of all files, as far as they can be applied together.
// The error says why those of this file can't.
func (t *fileConsumer) Apply(text []byte) error {
	s := t.source
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latest[t.file] = text
	s.applyLatest()
	if s.isLatest(t.file) {
		return nil
	}
	alone := s.inUse
	alone[t.file] = text
	return s.applyLocked(alone)
}

// Restored is Apply for contents that were applied earlier and rejected ones have replaced for a while.
func (t *fileConsumer) Restored(text []byte) error { return t.Apply(text) }

// Refused logs why the contents of the file were rejected.
func (t *fileConsumer) Refused(err error) {
	t.source.log.Warn("callers: file rejected, the previous contents stay in use", "file", t.source.paths[t.file], "why", strings.ReplaceAll(err.Error(), "\n", "; "))
}

// NotificationsFailed logs that file change notifications are unavailable.
func (t *fileConsumer) NotificationsFailed(err error) {
	t.source.log.Warn("callers: no change notifications, the file is polled four times a second", "file", t.source.paths[t.file], "why", err.Error())
}

// isLatest reports whether the contents in use of a file are those that it holds. s.mu must be held.
func (s *Source) isLatest(file int) bool { return bytes.Equal(s.inUse[file], s.latest[file]) }

// applyLatest applies what the files hold: all of it, or the first of the combinations that can be applied. Errors are
// not returned, as each combination has its own. s.mu must be held.
func (s *Source) applyLatest() {
	for _, files := range combinations {
		next, changes := s.inUse, false
		for _, file := range files {
			changes = changes || !s.isLatest(file)
			next[file] = s.latest[file]
		}
		if changes && s.applyLocked(next) == nil {
			return
		}
	}
}

// combinations are the sets of files whose latest contents are applied together with the contents in use of the
// others, in the order in which they are tried: credentials first, as they revoke keys.
var combinations = [][]int{
	{credentialsFile, rightsFile, bundleFile},
	{credentialsFile, rightsFile},
	{credentialsFile, bundleFile},
	{credentialsFile},
	{rightsFile, bundleFile},
	{rightsFile},
	{bundleFile},
}

func (s *Source) apply(next [fileCount][]byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.applyLocked(next)
}

// errOlderVersion rejects a file with a lower version: it could make a key valid that was revoked since.
var errOlderVersion = errors.New("older than the one in use")

// applyLocked builds credentials from the contents and installs them in the gate. s.mu must be held.
func (s *Source) applyLocked(next [fileCount][]byte) error {
	b, err := Parse(s.cfg.CredentialsPath, next[credentialsFile])
	if err != nil {
		return err
	}
	if b.Version < s.version {
		return fmt.Errorf("%s: version %d: %w, which is of version %d", s.cfg.CredentialsPath, b.Version, errOlderVersion, s.version)
	}
	if b.Version == s.version && s.inUse[credentialsFile] != nil && !equalExceptIssued(next[credentialsFile], s.inUse[credentialsFile]) && b.Version != 0 {
		return fmt.Errorf("%s: version %d is in use with other content; raise it with each change", s.cfg.CredentialsPath, b.Version)
	}
	cfg := s.cfg
	if s.inUse[rightsFile] != nil && bytes.Equal(next[rightsFile], s.inUse[rightsFile]) {
		cfg.Classes = nil // a class that is gone takes no requests: rights in use that name it hold nothing up
	}
	c, err := cfg.Contents(b, next[rightsFile], next[bundleFile])
	if err != nil {
		return err
	}
	c.Version = s.epoch + 1
	book, faults := caller.NewCredentialStore(c)
	if faults != nil {
		return LocateFaults(s.cfg.CredentialsPath, next[credentialsFile], faults)
	}
	if err := s.gate.SetCredentials(book); err != nil {
		return fmt.Errorf("%s: %w", s.cfg.CredentialsPath, err)
	}
	s.inUse, s.version, s.epoch, s.terms, s.tenants = next, b.Version, c.Version, b.Terms, b.Tenants
	s.setQuarantined(s.cfg.names().Quarantine(b))
	s.log.Info("callers: credentials applied", "name", s.cfg.Name, "version", b.Version, "epoch", s.epoch, "keys", len(b.Keys), "callers", len(b.Callers), "tenants", len(b.Tenants))
	return nil
}

// equalExceptIssued reports whether two files are equal apart from their issue time, which changes without a
// new version when the content is only confirmed.
func equalExceptIssued(a, b []byte) bool {
	withoutIssued := func(t []byte) string {
		var out []string
		for l := range strings.SplitSeq(string(t), "\n") {
			if !strings.HasPrefix(l, "issued ") && !strings.HasPrefix(l, "issued=") {
				out = append(out, l)
			}
		}
		return strings.Join(out, "\n")
	}
	return withoutIssued(a) == withoutIssued(b)
}

// Contents combines the parsed credentials, the rights file and the certificate bundle. It checks that the
// classes that the rights file names exist; tenants' terms are not checked, see Names.Quarantine.
func (cfg SourceConfig) Contents(b *Credentials, rightsText, bundle []byte) (caller.Contents, error) {
	roles, faults := rights.Parse(cfg.RightsPath, string(rightsText), cfg.Classes)
	if faults != nil {
		return caller.Contents{}, faults
	}
	c := caller.Contents{Policy: cfg.Policy, Keys: b.Keys, Tenants: b.Tenants, Principals: b.Callers, Roles: roles}
	if !b.Issued.IsZero() {
		c.Issued = float64(b.Issued.UnixMicro()) / 1000
	}
	if cfg.BundlePath != "" {
		certs, err := ParseBundle(cfg.BundlePath, bundle)
		if err != nil {
			return caller.Contents{}, err
		}
		c.TrustAnchors = identity.TrustAnchors(certs)
	}
	return c, nil
}

// maxCertificates is the maximum number of certificates in a bundle.
const maxCertificates = 1000

// ParseBundle parses a bundle of PEM certificates. Blocks of other types and text outside of blocks are
// errors, as the file may be truncated or the wrong one.
func ParseBundle(path string, text []byte) ([]*x509.Certificate, error) {
	var out []*x509.Certificate
	for rest := text; len(strings.TrimSpace(string(rest))) > 0; {
		block, next := pem.Decode(rest)
		if block == nil {
			return nil, fmt.Errorf("%s: no PEM block after %d certificates; the file may be truncated", path, len(out))
		}
		if block.Type != "CERTIFICATE" || len(out) == maxCertificates {
			return nil, fmt.Errorf("%s: block %d: %.40q; only blocks of type CERTIFICATE are allowed, at most %d", path, len(out)+1, block.Type, maxCertificates)
		}
		c, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, fmt.Errorf("%s: certificate %d: %w", path, len(out)+1, err)
		}
		out, rest = append(out, c), next
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("%s: no certificate found", path)
	}
	return out, nil
}
