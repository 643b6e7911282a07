package keybook

import (
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

// SourceConfig says which files a gate's book is made of.
type SourceConfig struct {
	Name            string // for the log
	CredentialsPath string // path of the book file
	RightsPath      string // path of the rights file
	BundlePath      string // path of the client certificates' bundle; "" = there is none
	Classes         []string
	Pools           []string // that tenants may be said to come to
	Policy          caller.Policy
}

// maxBundleBytes bounds a bundle, in bytes.
const maxBundleBytes = 1 << 20

// The files of a source.
const (
	credentialsFile = iota
	rightsFile
	bundleFile
	fileCount
)

// Source makes a gate's book of files that it follows: all of them together, whole or not at all. A file that is wrong, or does not
// go with the others, waits until one of those changes too; the old book serves on meanwhile.
type Source struct {
	cfg   SourceConfig
	paths [fileCount]string
	gate  *identity.Authenticator
	log   *slog.Logger

	mu      sync.Mutex
	inUse   [fileCount][]byte
	pending [fileCount][]byte // contents that could not be taken yet; nil = none
	terms   map[string]Terms
	tenants []caller.Tenant
	version uint64 // of the book file in use
	epoch   uint64 // of what was made of the files
}

// Open reads the files and gives the gate its first book. An error tells each fault with file and line.
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
	return s, nil
}

// Version is the version of the book file in use, and how often what serves has changed.
func (s *Source) Version() (file, epoch uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version, s.epoch
}

// SetClasses has the rights file name other classes from its next change on, as those of the configuration have changed.
func (s *Source) SetClasses(names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cfg.Classes = names
}

// Tenants are those of the book in use with their terms, and what Version gives as epoch. They must not be changed.
func (s *Source) Tenants() (epoch uint64, names []caller.Tenant, terms map[string]Terms) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch, s.tenants, s.terms
}

func nowMS() float64 { return float64(time.Now().UnixMicro()) / 1000 }

func (s *Source) watchFile(part int, to watch.Consumer) *watch.File {
	limit := []int64{MaxFileBytes, rights.MaxTextBytes, maxBundleBytes}[part]
	return watch.New(watch.Config{Path: s.paths[part], MaxBytes: limit, SettleMS: watch.DefaultSettleMS}, nowMS, to)
}

// confirmInterval is how often the file is looked at for whether it can still be read: a book that says nothing of its age is as old
// as the last look that found it.
const confirmInterval = time.Second

// Run follows the files until ctx ends.
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
	look := s.watchFile(credentialsFile, nil)
	t := time.NewTicker(confirmInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		text, err := look.Read()
		s.mu.Lock()
		same := err == nil && string(text) == string(s.inUse[credentialsFile])
		s.mu.Unlock()
		if b := s.gate.Credentials(); same && b != nil && b.Issued() == 0 {
			s.gate.Confirm(nowMS())
		}
	}
}

// fileConsumer takes the contents of one file.
type fileConsumer struct {
	source *Source
	file   int
}

// Take takes a content, with those of the other files that wait where they go together.
func (t *fileConsumer) Apply(text []byte) error {
	s := t.source
	s.mu.Lock()
	defer s.mu.Unlock()
	together := s.inUse
	others := false
	for i, w := range s.pending {
		if w != nil && i != t.file {
			together[i], others = w, true
		}
	}
	together[t.file] = text
	alone := s.inUse
	alone[t.file] = text
	err := s.applyLocked(together)
	if err == nil {
		s.pending = [fileCount][]byte{}
		return nil
	}
	if others {
		if err = s.applyLocked(alone); err == nil {
			s.pending[t.file] = nil
			return nil
		}
	}
	s.pending[t.file] = text
	return err
}

// Refused tells why a file is not taken.
func (t *fileConsumer) Refused(why error) {
	t.source.log.Warn("callers: refused, the book in use stays", "file", t.source.paths[t.file], "why", strings.ReplaceAll(why.Error(), "\n", "; "))
}

// Trouble tells that notices fail.
func (t *fileConsumer) NotificationsFailed(err error) {
	t.source.log.Warn("callers: no notices, the file is only looked at four times a second", "file", t.source.paths[t.file], "why", err.Error())
}

func (s *Source) apply(next [fileCount][]byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.applyLocked(next)
}

// errOlderVersion tells of a book file that goes back: a key that was revoked since would live again.
var errOlderVersion = errors.New("older than the one in use")

// applyLocked makes a book of contents and brings it into force.
func (s *Source) applyLocked(next [fileCount][]byte) error {
	b, err := Parse(s.cfg.CredentialsPath, next[credentialsFile])
	if err != nil {
		return err
	}
	if b.Version < s.version {
		return fmt.Errorf("%s: version %d: %w, which is of version %d", s.cfg.CredentialsPath, b.Version, errOlderVersion, s.version)
	}
	if b.Version == s.version && s.inUse[credentialsFile] != nil && !equalExceptIssued(next[credentialsFile], s.inUse[credentialsFile]) && b.Version != 0 {
		return fmt.Errorf("%s: version %d is another content than the one in use of that version; raise it with each change", s.cfg.CredentialsPath, b.Version)
	}
	c, err := s.cfg.Contents(b, next[rightsFile], next[bundleFile])
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
	s.log.Info("callers: book in force", "name", s.cfg.Name, "version", b.Version, "epoch", s.epoch, "keys", len(b.Keys), "callers", len(b.Callers), "tenants", len(b.Tenants))
	return nil
}

// equalExceptIssued says whether two books differ in when they were issued at most: one that is confirmed anew keeps its version.
func equalExceptIssued(a, b []byte) bool {
	cut := func(t []byte) string {
		var out []string
		for l := range strings.SplitSeq(string(t), "\n") {
			if !strings.HasPrefix(l, "issued ") && !strings.HasPrefix(l, "issued=") {
				out = append(out, l)
			}
		}
		return strings.Join(out, "\n")
	}
	return cut(a) == cut(b)
}

// Contents puts together what a book is made of.
func (cfg SourceConfig) Contents(b *Credentials, rightsText, bundle []byte) (caller.Contents, error) {
	roles, faults := rights.Parse(cfg.RightsPath, string(rightsText), cfg.Classes)
	if faults != nil {
		return caller.Contents{}, faults
	}
	for _, t := range b.Tenants {
		terms := b.Terms[t.Name]
		if err := terms.CheckNames(cfg.Classes, cfg.Pools); err != nil {
			return caller.Contents{}, fmt.Errorf("%s: tenant %s: %w", cfg.CredentialsPath, t.Name, err)
		}
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

// maxCertificates bounds a bundle.
const maxCertificates = 1000

// ParseBundle reads a bundle of certificates in PEM whole. A block of another kind, or text that is none, is a fault: the file may be
// cut or be another one.
func ParseBundle(path string, text []byte) ([]*x509.Certificate, error) {
	var out []*x509.Certificate
	for rest := text; len(strings.TrimSpace(string(rest))) > 0; {
		block, next := pem.Decode(rest)
		if block == nil {
			return nil, fmt.Errorf("%s: after %d certificates comes what is none; the file may be cut short", path, len(out))
		}
		if block.Type != "CERTIFICATE" || len(out) == maxCertificates {
			return nil, fmt.Errorf("%s: block %d: %.40q; up to %d certificates are right", path, len(out)+1, block.Type, maxCertificates)
		}
		c, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, fmt.Errorf("%s: certificate %d: %w", path, len(out)+1, err)
		}
		out, rest = append(out, c), next
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("%s: there is no certificate in it", path)
	}
	return out, nil
}
