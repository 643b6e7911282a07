// Package identitytest makes what tests of callers need: signers of tokens, authorities of certificates. Nothing else uses it.
package identitytest

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/ed25519"
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

	"github.com/go-jose/go-jose/v4"
	"github.com/go-jose/go-jose/v4/jwt"

	"mossproxy.example/mossproxy/internal/identity"
	"mossproxy.example/mossproxy/internal/pure/caller"
)

// Signer signs tokens by one key.
type Signer struct {
	Key    caller.Key // its public half, without a life
	Issuer string
	by     crypto.Signer
}

// NewSigner makes a key of an algorithm: EdDSA or ES256.
func NewSigner(t testing.TB, id, issuer string, alg caller.Algorithm) *Signer {
	t.Helper()
	s := &Signer{Issuer: issuer}
	var err error
	if alg == caller.EdDSA {
		_, s.by, err = ed25519.GenerateKey(rand.Reader)
	} else {
		s.by, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	}
	if err != nil {
		t.Fatal(err)
	}
	jwk, err := jose.JSONWebKey{Key: s.by.Public(), KeyID: id, Algorithm: string(alg), Use: "sig"}.MarshalJSON()
	if err != nil {
		t.Fatal(err)
	}
	if s.Key, err = identity.ReadJWK(jwk, issuer); err != nil {
		t.Fatal(err)
	}
	return s
}

// Live is the signer's key with a life.
func (s *Signer) Live(l caller.Life) caller.Key {
	k := s.Key
	k.Life = l
	return k
}

// Claims are those of a token for an audience that lives for a while from a time on.
func (s *Signer) Claims(subject, audience string, at time.Time, lives time.Duration) jwt.Claims {
	return jwt.Claims{Issuer: s.Issuer, Subject: subject, Audience: jwt.Audience{audience}, IssuedAt: jwt.NewNumericDate(at), Expiry: jwt.NewNumericDate(at.Add(lives))}
}

// Sign signs claims.
func (s *Signer) Sign(t testing.TB, c jwt.Claims) string {
	t.Helper()
	j, err := jose.NewSigner(jose.SigningKey{Algorithm: jose.SignatureAlgorithm(s.Key.Algorithm), Key: s.by}, (&jose.SignerOptions{}).WithHeader("kid", s.Key.ID))
	if err != nil {
		t.Fatal(err)
	}
	text, err := jwt.Signed(j).Claims(c).Serialize()
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// Token is a token for an audience, from now on for an hour.
func (s *Signer) Token(t testing.TB, subject, audience string) string {
	return s.Sign(t, s.Claims(subject, audience, time.Now(), time.Hour))
}

// Authority issues certificates.
type Authority struct {
	Cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority makes one.
func NewAuthority(t testing.TB, name string) *Authority {
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
	return &Authority{c, key}
}

func serial(t testing.TB) *big.Int {
	n, err := rand.Int(rand.Reader, big.NewInt(1<<62))
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// PEM is the authority's certificate.
func (a *Authority) PEM() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.Cert.Raw})
}

// Issue makes a certificate for names (uri:… or dns:…) and loopback, in PEM with its key.
func (a *Authority) Issue(t testing.TB, lives time.Duration, names ...string) (cert, key []byte) {
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

// Client is the TLS configuration of a client that trusts the authority and, with names, shows a certificate of it.
func (a *Authority) Client(t testing.TB, names ...string) *tls.Config {
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
