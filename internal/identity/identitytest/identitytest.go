// Package identitytest provides token signers and certificate authorities for tests.
package identitytest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/url"
	"testing"
	"time"

	"github.com/go-jose/go-jose/v4/jwt"

	"mossproxy.example/mossproxy/internal/identity"
	"mossproxy.example/mossproxy/internal/pure/caller"
	"mossproxy.example/mossproxy/internal/standin"
)

// Signer is a token issuer and its public key as stored in the credentials store.
type Signer struct {
	*standin.Issuer
	Key caller.Key // public key without Lifecycle
}

// NewSigner generates a key for the algorithm, EdDSA or ES256.
func NewSigner(t testing.TB, id, issuer string, alg caller.Algorithm) *Signer {
	t.Helper()
	i, err := standin.NewIssuer(issuer, id, string(alg))
	if err != nil {
		t.Fatal(err)
	}
	jwk, err := i.JWK()
	if err != nil {
		t.Fatal(err)
	}
	key, err := identity.ReadJWK(jwk, issuer)
	if err != nil {
		t.Fatal(err)
	}
	return &Signer{i, key}
}

// KeyWithLifecycle returns the signer's key with the given lifecycle.
func (s *Signer) KeyWithLifecycle(l caller.Lifecycle) caller.Key {
	k := s.Key
	k.Lifecycle = l
	return k
}

// Sign returns a signed token with the claims.
func (s *Signer) Sign(t testing.TB, c jwt.Claims) string {
	t.Helper()
	text, err := s.Issuer.Sign(c)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// Token returns a token for the audience that is valid for one hour from now.
func (s *Signer) Token(t testing.TB, subject, audience string) string {
	return s.Sign(t, s.Claims(subject, audience, time.Now(), time.Hour))
}

// CA is a certificate authority.
type CA struct {
	Cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewCA creates a CA that is valid for one hour.
func NewCA(t testing.TB, name string) *CA {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	c := &x509.Certificate{SerialNumber: serial(t), Subject: pkix.Name{CommonName: name}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	der, err := x509.CreateCertificate(rand.Reader, c, c, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	if c, err = x509.ParseCertificate(der); err != nil {
		t.Fatal(err)
	}
	return &CA{c, key}
}

func serial(t testing.TB) *big.Int {
	n, err := rand.Int(rand.Reader, big.NewInt(1<<62))
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// PEM returns the CA certificate in PEM.
func (a *CA) PEM() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.Cert.Raw})
}

// Issue returns a certificate for the names (uri:... or dns:...) and loopback, and its key, both in PEM.
func (a *CA) Issue(t testing.TB, lives time.Duration, names ...string) (cert, key []byte) {
	t.Helper()
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	c := &x509.Certificate{SerialNumber: serial(t), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(lives), KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	for _, n := range names {
		if n[:4] == "dns:" {
			c.DNSNames = append(c.DNSNames, n[4:])
			continue
		}
		u, err := url.Parse(n[4:])
		if err != nil {
			t.Fatal(err)
		}
		c.URIs = append(c.URIs, u)
	}
	der, err := x509.CreateCertificate(rand.Reader, c, a.Cert, k.Public(), a.key)
	if err != nil {
		t.Fatal(err)
	}
	pk, err := x509.MarshalPKCS8PrivateKey(k)
	if err != nil {
		t.Fatal(err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: pk})
}

// ClientConfig returns the TLS configuration of a client that trusts the CA. With names, the client presents
// a certificate for them.
func (a *CA) ClientConfig(t testing.TB, names ...string) *tls.Config {
	t.Helper()
	pool := x509.NewCertPool()
	pool.AddCert(a.Cert)
	c := &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}
	if len(names) > 0 {
		cert, key := a.Issue(t, time.Hour, names...)
		pair, err := tls.X509KeyPair(cert, key)
		if err != nil {
			t.Fatal(err)
		}
		c.Certificates = []tls.Certificate{pair}
	}
	return c
}
