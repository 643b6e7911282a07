package standin

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/elliptic"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"time"

	"github.com/go-jose/go-jose/v4"
	"github.com/go-jose/go-jose/v4/jwt"
)

// Issuer signs tokens by one key, as the members' login service does. It is made from the text of RFC 7515, 7517 and 7519.
type Issuer struct {
	Name string
	ID   string // of its key
	alg  jose.SignatureAlgorithm
	key  crypto.Signer
}

// NewIssuer draws a key of an algorithm: EdDSA or ES256.
func NewIssuer(name, id, alg string) (*Issuer, error) {
	i := &Issuer{Name: name, ID: id, alg: jose.SignatureAlgorithm(alg)}
	var err error
	switch i.alg {
	case jose.EdDSA:
		_, i.key, err = ed25519.GenerateKey(rand.Reader)
	case jose.ES256:
		i.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	default:
		err = fmt.Errorf("stand-in issuer: algorithm %q", alg)
	}
	return i, err
}

// JWK is the public half of its key.
func (i *Issuer) JWK() ([]byte, error) {
	return json.Marshal(jose.JSONWebKey{Key: i.key.Public(), KeyID: i.ID, Algorithm: string(i.alg), Use: "sig"})
}

// Claims are those of a token for an audience, from a time on.
func (i *Issuer) Claims(subject, audience string, at time.Time, lives time.Duration) jwt.Claims {
	return jwt.Claims{Issuer: i.Name, Subject: subject, Audience: jwt.Audience{audience}, IssuedAt: jwt.NewNumericDate(at), Expiry: jwt.NewNumericDate(at.Add(lives))}
}

// Sign signs claims.
func (i *Issuer) Sign(c jwt.Claims) (string, error) {
	s, err := jose.NewSigner(jose.SigningKey{Algorithm: i.alg, Key: i.key}, (&jose.SignerOptions{}).WithHeader("kid", i.ID))
	if err != nil {
		return "", fmt.Errorf("stand-in issuer: %w", err)
	}
	return jwt.Signed(s).Claims(c).Serialize()
}
