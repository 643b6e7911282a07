// Package caller settles who is calling: which key, token or certificate stands for which tenant and rights, until when, and why
// not. It has no clock, socket or file: each method gets the time, in ms of Unix time. docs/design/callers.md compares the ways.
//
// What is known stands in a Book, which never changes; a new one takes its place whole. A Pass is a verdict that was good: it
// says until when it holds, and of which version of the book it is. Past either, Book.Renew judges it again, without a signature
// being checked anew: the key must still be the very key that checked it.
package caller

import (
	"math"

	"mossproxy.example/mossproxy/internal/pure/tenant"
)

// Reason is why a caller is not taken. Its name is stable: logs, answers and figures bear it.
type Reason uint8

// The reasons.
const (
	None          Reason = iota // it is taken
	NoCaller                    // nobody has said who calls
	UnknownKey                  // no key of that id, or no caller of that certificate
	KeyRetired                  // the key has been retired, or it was retiring when it signed
	KeyRevoked                  //
	Expired                     // the token's or certificate's time is over
	NotYetValid                 // it has not come, or the key's has not
	WrongAudience               // the token is meant for others
	WrongIssuer                 // the key is another issuer's
	BadSignature                // or a wrong secret
	BadAlgorithm                // not the one of its key
	TwoTenants                  // what was shown stands for more than one caller
	NoTenant                    // the caller's tenant is no more, or it is another one of that name
	NoRight                     // no rule allows it, or not now
	TooLong                     // a token beyond the bound in bytes, or one that lives too long
	Malformed                   // no token at all
	StaleKeys                   // the book is too old to be believed
	Throttled                   // too many wrong ones came from there
	OverRate                    // the right is there, its rate is used up
	Connections                 // the tenant has all the connections that it may
	numReasons                  // their number
)

var reasonNames = [numReasons]string{"none", "no_caller", "unknown_key", "key_retired", "key_revoked", "expired", "not_yet_valid", "wrong_audience", "wrong_issuer",
	"bad_signature", "algorithm", "two_tenants", "no_tenant", "no_right", "too_long", "malformed", "stale_keys", "throttled", "over_rate", "too_many_connections"}

// String is the reason's stable name.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "unknown"
}

// Reasons gives all reasons, for tables of figures.
func Reasons() (out []Reason) {
	for r := range numReasons {
		out = append(out, r)
	}
	return out
}

// Algorithm is what a key checks by. It is the key's, never the token's to say.
type Algorithm string

// The algorithms.
const (
	EdDSA  Algorithm = "EdDSA"
	ES256  Algorithm = "ES256"
	Secret Algorithm = "secret" // no signature: a secret is shown, and the book has its keyed hash
)

// State is a key's place in its life.
type State uint8

// The states, in their order.
const (
	Announced State = iota // routers know it, nobody uses it yet
	Active
	Retiring // what it signed before still counts; nothing new does
	Retired
	Revoked
)

// String is the state as commands and logs name it.
func (s State) String() string {
	return [...]string{"announced", "active", "retiring", "retired", "revoked"}[s]
}

// Lifecycle is when a key goes from one state to the next, in ms; 0 = that is not planned.
type Lifecycle struct{ Active, Retiring, Retired, Revoked float64 }

// StateAt is the state at a time.
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

// NextChange is when the state changes next after a time; +Inf = never.
func (l Lifecycle) NextChange(now float64) float64 {
	next := math.Inf(1)
	for _, at := range []float64{l.Active, l.Retiring, l.Retired, l.Revoked} {
		if at > now {
			next = min(next, at)
		}
	}
	return next
}

// CredentialName is one key of the book.
type Key struct {
	ID        string
	Algorithm Algorithm
	Issuer    string   // whose tokens it checks; "" for secrets
	Caller    string   // whose secret it is; "" for keys of issuers
	Digest    [32]byte // SHA-256 of the public key's DER form, or the keyed hash of the secret
	PublicDER []byte   // the public key in PKIX DER form; nil for secrets
	Lifecycle Lifecycle
}

// Tenant is one that callers may stand for.
type Tenant struct {
	Name       string
	Generation uint32 // tells it from earlier ones of its name
	Suspended  bool
}

// Principal is a caller.
type Principal struct {
	Name         string
	Tenant       string
	Roles        []string
	Subjects     []Subject // whose tokens stand for it
	Certificates []string  // names of certificates that do: uri:…, dns:…, sha256:… of the whole certificate in hex
}

// Subject is the subject of one issuer's tokens.
type Subject struct{ Issuer, Name string }

// Policy is what a book holds callers to beside its keys.
type Policy struct {
	Audiences []string // of this router; a token must name one of them
	Skew      float64  // ms by which clocks may differ
	Longest   float64  // ms that a token may live
	StaleNew  float64  // ms of age from which nobody new is taken; 0 = never
	StaleAll  float64  // ms of age from which nobody is; 0 = never
}

// Claims are what a token says, once its signature has been checked by the key. Times are in ms; 0 = it does not say.
type Claims struct {
	KeyID     string
	KeyDigest [32]byte // of the key that has checked it
	Issuer    string
	Subject   string
	Audience  []string
	IssuedAt  float64
	NotBefore float64
	ExpiresAt float64
}

// AuthenticateCertificate is what a client certificate says, once its chain has been checked.
type Certificate struct {
	Names     []string // uri:…, dns:…, sha256:…
	NotBefore float64
	NotAfter  float64
	// TrustAnchor is the SHA-256 of the bundle's certificate that the chain ends at: with that withdrawn, the pass is over.
	TrustAnchor [32]byte
}

// credential is what a pass rests on. It is compact, as each connection keeps one.
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

// Identity is a caller that was taken. It does not change and may be read from any goroutine.
type Identity struct {
	Caller         string
	Tenant         Tenant
	Space          tenant.Keyspace
	Rights         *Rights
	CredentialName string  // id of the key or name of the certificate, for the audit
	ValidUntil     float64 // the verdict holds so long, ms
	Version        uint64  // and with this version of the book alone
	credential     credential
}

// Valid says whether the verdict still counts with a book of that version. It costs two comparisons.
func (p *Identity) Valid(version uint64, now float64) bool {
	return p.Version == version && now < p.ValidUntil
}
