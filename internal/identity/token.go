// Package identity authenticates clients by signed tokens, secrets and client certificates, with keys that
// can be rotated without a restart. Package caller decides what a verified credential grants and does no
// I/O; this package verifies signatures and certificate chains, caches verified identities and writes the
// audit log.
package identity

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/elliptic"
	"crypto/sha256"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/go-jose/go-jose/v4"
	"github.com/go-jose/go-jose/v4/jwt"

	"mossproxy.example/mossproxy/internal/pure/caller"
)

// MaxTokenBytes is the length limit of a token. A token of this length and a request fit on one line of the
// meta protocol.
const MaxTokenBytes = 3 << 10

// allowedAlgorithms lists the signature algorithms of tokens. It excludes "none" and symmetric algorithms,
// so that a public key cannot be misused as a shared secret.
var allowedAlgorithms = []jose.SignatureAlgorithm{jose.EdDSA, jose.ES256}

// token is a parsed token whose signature is not verified yet.
type token struct {
	*jwt.JSONWebToken
	kid string
	alg string
}

// readToken parses a token without verifying it.
func readToken(text string) (token, caller.Reason) {
	if len(text) > MaxTokenBytes {
		return token{}, caller.TooLong
	}
	t, err := jwt.ParseSigned(text, allowedAlgorithms)
	var alg *jose.ErrUnexpectedSignatureAlgorithm
	switch {
	case errors.As(err, &alg):
		return token{}, caller.BadAlgorithm
	case err != nil || len(t.Headers) != 1:
		return token{}, caller.Malformed
	}
	return token{t, t.Headers[0].KeyID, t.Headers[0].Algorithm}, caller.None
}

// verify checks the token's signature with key k and returns its claims. The algorithm must be that of the
// key.
func (t token) verify(k *caller.Key, public crypto.PublicKey) (caller.Claims, caller.Reason) {
	if t.alg != string(k.Algorithm) {
		return caller.Claims{}, caller.BadAlgorithm
	}
	var c jwt.Claims
	if err := t.Claims(public, &c); err != nil {
		if errors.Is(err, jose.ErrCryptoFailure) {
			return caller.Claims{}, caller.BadSignature
		}
		return caller.Claims{}, caller.Malformed // the signature is valid, the claims are not
	}
	ms := func(d *jwt.NumericDate) float64 {
		if d == nil {
			return 0
		}
		return float64(*d) * 1000
	}
	return caller.Claims{KeyID: k.ID, KeyDigest: k.Digest, Issuer: c.Issuer, Subject: c.Subject, Audience: c.Audience, IssuedAt: ms(c.IssuedAt),
		NotBefore: ms(c.NotBefore), ExpiresAt: ms(c.Expiry)}, caller.None
}

// publicKey parses the public key of k and checks that it matches k's algorithm.
func publicKey(k *caller.Key) (crypto.PublicKey, error) {
	p, err := x509.ParsePKIXPublicKey(k.PublicDER)
	if err != nil {
		return nil, fmt.Errorf("key %s: %w", k.ID, err)
	}
	if alg, err := algorithmOf(p); err != nil || alg != k.Algorithm {
		return nil, fmt.Errorf("key %s: its public key is none of algorithm %s", k.ID, k.Algorithm)
	}
	return p, nil
}

// algorithmOf returns the signature algorithm for a public key.
func algorithmOf(p crypto.PublicKey) (caller.Algorithm, error) {
	switch p := p.(type) {
	case ed25519.PublicKey:
		return caller.EdDSA, nil
	case *ecdsa.PublicKey:
		if p.Curve == elliptic.P256() {
			return caller.ES256, nil
		}
		return "", fmt.Errorf("curve %s: P-256 is taken", p.Curve.Params().Name)
	}
	return "", fmt.Errorf("%T: Ed25519 and ECDSA keys of P-256 are taken", p)
}

// Limits of a JWKS.
const (
	MaxJWKSBytes = 256 << 10 // bytes
	maxJWKSKeys  = 256
)

// ReadJWKS parses a set of public keys (RFC 7517). One unusable key rejects the whole set, because half a
// key rotation is of no use. The returned keys have no Lifecycle.
func ReadJWKS(text []byte, issuer string) ([]caller.Key, error) {
	if len(text) > MaxJWKSBytes {
		return nil, fmt.Errorf("over %d bytes", MaxJWKSBytes)
	}
	var set struct {
		Keys []json.RawMessage `json:"keys"`
	}
	if err := json.Unmarshal(text, &set); err != nil {
		return nil, fmt.Errorf("no JWKS: %w", err)
	}
	if len(set.Keys) == 0 || len(set.Keys) > maxJWKSKeys {
		return nil, fmt.Errorf("%d keys; 1 to %d are right", len(set.Keys), maxJWKSKeys)
	}
	ids := map[string]bool{}
	var out []caller.Key
	for i, raw := range set.Keys {
		k, err := ReadJWK(raw, issuer)
		if err != nil {
			return nil, fmt.Errorf("keys[%d]: %w", i, err)
		}
		if ids[k.ID] {
			return nil, fmt.Errorf("keys[%d]: id %.60q is there twice", i, k.ID)
		}
		ids[k.ID] = true
		out = append(out, k)
	}
	return out, nil
}

// ReadJWK parses one public key (RFC 7517).
func ReadJWK(text []byte, issuer string) (caller.Key, error) {
	var k jose.JSONWebKey
	if err := json.Unmarshal(text, &k); err != nil {
		return caller.Key{}, fmt.Errorf("no JWK: %w", err)
	}
	switch {
	case !k.IsPublic():
		return caller.Key{}, errors.New("a private key, which belongs to its issuer alone: replace it, it has been shown")
	case k.KeyID == "":
		return caller.Key{}, errors.New("no kid")
	case k.Use != "" && k.Use != "sig":
		return caller.Key{}, fmt.Errorf("use %.20q: sig is right", k.Use)
	}
	alg, err := algorithmOf(k.Key)
	if err != nil {
		return caller.Key{}, err
	}
	if k.Algorithm != "" && k.Algorithm != string(alg) {
		return caller.Key{}, fmt.Errorf("alg %.20q, and the key is one of %s", k.Algorithm, alg)
	}
	der, err := x509.MarshalPKIXPublicKey(k.Key)
	if err != nil {
		return caller.Key{}, fmt.Errorf("public key: %w", err)
	}
	return caller.Key{ID: k.KeyID, Algorithm: alg, Issuer: issuer, PublicDER: der, Digest: sha256.Sum256(der)}, nil
}

// WriteJWK returns a stored key as a JWK.
func WriteJWK(k *caller.Key) (string, error) {
	p, err := publicKey(k)
	if err != nil {
		return "", err
	}
	text, err := json.Marshal(jose.JSONWebKey{Key: p, KeyID: k.ID, Algorithm: string(k.Algorithm), Use: "sig"})
	if err != nil {
		return "", fmt.Errorf("key %s: %w", k.ID, err)
	}
	return string(text), nil
}
