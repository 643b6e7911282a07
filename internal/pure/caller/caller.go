// Package caller authenticates and authorizes callers. It maps a key, token or certificate to a tenant and
// its rights, with an expiry time, or gives the reason for a rejection. It uses no clock, socket or file:
// each method is passed the time, in milliseconds of Unix time. docs/design/callers.md compares the ways to
// authenticate.
//
// The credentials are held in a CredentialStore, which is immutable and is replaced as a whole. A successful
// authentication yields an Identity, which records how long it is valid and for which version of the store.
// Once it expires or the version changes, CredentialStore.Reauthenticate evaluates it again. The signature is
// not verified again; instead, the key must still be the same one that verified it.
package caller

import (
	"math"

	"mossproxy.example/mossproxy/internal/pure/tenant"
)

// Reason says why a caller or a request was rejected. Its name is stable: logs, responses and metrics contain
// it.
type Reason uint8

// The reasons. None means accepted.
const (
	None          Reason = iota // accepted
	NoCaller                    // no credentials were presented
	UnknownKey                  // no key with that id, or no caller for that certificate
	KeyRetired                  // the key is retired, or was already retiring when it signed the token
	KeyRevoked                  // the key, or the trust anchor of the certificate, has been withdrawn
	Expired                     // the token or certificate has expired
	NotYetValid                 // the token, certificate or key is not valid yet
	WrongAudience               // the token is for another audience
	WrongIssuer                 // the key belongs to another issuer
	BadSignature                // the signature or the secret is wrong
	BadAlgorithm                // the token's algorithm differs from the key's
	TwoTenants                  // the credential identifies more than one caller
	NoTenant                    // no caller for the subject, or the tenant is suspended or recreated
	NoRight                     // no rule allows the request, or none at this time
	TooLong                     // the token or secret exceeds the size limit, or the token lives too long
	Malformed                   // the text cannot be parsed as a token
	StaleKeys                   // the credentials store is too old to be trusted
	Throttled                   // too many authentication failures, or no capacity for further checks
	OverRate                    // a rule allows the request, but its rate limit is reached
	Connections                 // the tenant has reached its connection limit
	numReasons                  // number of reasons
)

var reasonNames = [numReasons]string{"none", "no_caller", "unknown_key", "key_retired", "key_revoked", "expired", "not_yet_valid", "wrong_audience", "wrong_issuer",
	"bad_signature", "algorithm", "two_tenants", "no_tenant", "no_right", "too_long", "malformed", "stale_keys", "throttled", "over_rate", "too_many_connections"}

// String returns the stable name of the reason.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "unknown"
}

// Reasons returns all reasons, for tables of metrics.
func Reasons() (out []Reason) {
	for r := range numReasons {
		out = append(out, r)
	}
	return out
}

// Algorithm is how a key verifies a credential. It is taken from the key, never from the token.
type Algorithm string

// The supported algorithms.
const (
	EdDSA  Algorithm = "EdDSA"
	ES256  Algorithm = "ES256"
	Secret Algorithm = "secret" // shared secret without a signature; the store has its keyed hash
)

// State is a stage in the lifecycle of a key.
type State uint8

// The states, in the order in which a key passes through them.
const (
	Announced State = iota // known to the routers, not in use yet
	Active
	Retiring // tokens signed earlier stay valid; new ones are rejected
	Retired
	Revoked
)

// String returns the state's name as used in commands and logs.
func (s State) String() string {
	return [...]string{"announced", "active", "retiring", "retired", "revoked"}[s]
}

// Lifecycle holds the times at which a key enters each state, in ms of Unix time; 0 = not scheduled.
type Lifecycle struct{ Active, Retiring, Retired, Revoked float64 }

// StateAt returns the state at the given time.
func (l Lifecycle) StateAt(now float64) State {
	due := func(at float64) bool { return at > 0 && now >= at }
	switch {
	case due(l.Revoked):
		return Revoked
	case due(l.Retired):
		return Retired
	case due(l.Retiring):
		return Retiring
	case due(l.Active):
		return Active
	}
	return Announced
}

// NextChange returns the time of the first state change after now, or +Inf if none is scheduled.
func (l Lifecycle) NextChange(now float64) float64 {
	next := math.Inf(1)
	for _, at := range []float64{l.Active, l.Retiring, l.Retired, l.Revoked} {
		if at > now {
			next = min(next, at)
		}
	}
	return next
}

// Key is a verification key or a shared secret in the credentials store.
type Key struct {
	ID        string
	Algorithm Algorithm
	Issuer    string   // issuer whose tokens the key verifies; "" for secrets
	Caller    string   // principal that the secret belongs to; "" for issuer keys
	Digest    [32]byte // SHA-256 of PublicDER, or the keyed hash of the secret
	PublicDER []byte   // public key in PKIX DER encoding; nil for secrets
	Lifecycle Lifecycle
}

// Tenant is a tenant that callers can belong to.
type Tenant struct {
	Name       string
	Generation uint32 // distinguishes the tenant from earlier ones with the same name
	Suspended  bool
}

// Principal is a caller as configured in the credentials store.
type Principal struct {
	Name         string
	Tenant       string
	Roles        []string
	Subjects     []Subject // token subjects that identify the principal
	Certificates []string  // names: uri:…, dns:… or sha256:… (hash of the whole certificate, in hex)
}

// Subject identifies a token's subject together with its issuer.
type Subject struct{ Issuer, Name string }

// Policy holds the limits that apply to all callers, in addition to the keys.
type Policy struct {
	Audiences []string // audiences of this router; a token must name one of them
	Skew      float64  // tolerated clock difference, ms
	Longest   float64  // longest lifetime of a token, ms; 0 = no limit
	StaleNew  float64  // store age above which new callers are rejected, ms; 0 = never
	StaleAll  float64  // store age above which all callers are rejected, ms; 0 = never
}

// Claims are the contents of a token whose signature has been verified. Times are in ms; 0 = not set.
type Claims struct {
	KeyID     string
	KeyDigest [32]byte // digest of the key that verified the signature
	Issuer    string
	Subject   string
	Audience  []string
	IssuedAt  float64
	NotBefore float64
	ExpiresAt float64
}

// Certificate describes a client certificate whose chain has been verified. Times are in ms of Unix time.
type Certificate struct {
	Names     []string // uri:…, dns:…, sha256:…
	NotBefore float64
	NotAfter  float64
	// TrustAnchor is the SHA-256 of the certificate in the client bundle at which the chain ends. Identities
	// that depend on it become invalid when it is removed from the bundle.
	TrustAnchor [32]byte
}

// credential is the verified credential behind an identity. Every connection holds one, so it is kept small.
type credential struct {
	kind      credentialKind
	keyID     string
	digest    [32]byte
	issuer    string
	subject   string
	names     []string
	issuedAt  float64
	notBefore float64
	expiresAt float64
}

type credentialKind uint8

const (
	tokenCredential credentialKind = iota + 1
	secretCredential
	certificateCredential
)

// Identity is an authenticated caller. It is immutable and safe for concurrent use.
type Identity struct {
	Caller         string
	Tenant         Tenant
	Space          tenant.Keyspace
	Rights         *Rights
	CredentialName string  // key id or certificate name, for the audit log
	ValidUntil     float64 // end of validity, ms of Unix time
	Version        uint64  // the only version of the credentials store for which it is valid
	credential     credential
}

// Valid reports whether the identity is still valid for the given version of the store. It costs two
// comparisons.
func (id *Identity) Valid(version uint64, now float64) bool {
	return id.Version == version && now < id.ValidUntil
}
