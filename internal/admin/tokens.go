package admin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"golang.org/x/time/rate"

	"mossproxy.example/mossproxy/internal/identity"
	"mossproxy.example/mossproxy/internal/keybook"
	"mossproxy.example/mossproxy/internal/store"
)

// Rights of a token: read, change one tenant (tenant:NAME) or change all tenants.
const (
	RightRead   = "read"
	RightAll    = "all"
	rightTenant = "tenant:"
)

const tokenPrefix = "admin/token/"

// Rate limit per token, so that a client in a loop does not block others, and the number of tokens.
const (
	callsPerSecond = 20
	callBurst      = 40
	maxTokens      = 1000
)

// Tokens manages the bearer tokens of the API. The store keeps the SHA-256 of each secret; a fast hash is
// safe, since secrets are random with 256 bits.
type Tokens struct {
	s        *store.Store
	mu       sync.Mutex
	limiters map[string]*rate.Limiter // by token ID; at most one per stored token
}

// NewTokens returns the tokens of a store.
func NewTokens(s *store.Store) *Tokens { return &Tokens{s: s, limiters: map[string]*rate.Limiter{}} }

type tokenRecord struct {
	ID     string    `json:"id"`
	Right  string    `json:"right"`
	SHA256 string    `json:"sha256"`
	Made   time.Time `json:"made"`
}

// CheckRight returns an error if right is not a valid right.
func CheckRight(right string) error {
	if right == RightRead || right == RightAll || strings.HasPrefix(right, rightTenant) && len(right) > len(rightTenant) {
		return nil
	}
	return fmt.Errorf("right %.40q: read, tenant:NAME and all are right", right)
}

// Create stores a new token and returns its text, which is not stored.
func (t *Tokens) Create(id, right string, now time.Time) (string, error) {
	if id == "" || len(id) > 64 || strings.ContainsAny(id, ". \t\r\n/") {
		return "", fmt.Errorf("token %.70q: 1 to 64 characters without dots, slashes and blanks are right", id)
	}
	if err := CheckRight(right); err != nil {
		return "", err
	}
	if n, err := t.count(); err != nil || n >= maxTokens {
		return "", errors.Join(err, fmt.Errorf("%d tokens; %d at most", n, maxTokens))
	}
	secret := identity.NewSecret()
	sum := sha256.Sum256([]byte(secret))
	text, err := json.Marshal(tokenRecord{id, right, hex.EncodeToString(sum[:]), now.UTC()})
	if err != nil {
		return "", fmt.Errorf("token: %w", err)
	}
	var b store.Batch
	b.Expect(tokenPrefix+id, 0)
	b.Put(tokenPrefix+id, text)
	if _, err := t.s.Apply(&b); err != nil {
		if errors.Is(err, store.ErrConflict) {
			err = keybook.ErrExists
		}
		return "", fmt.Errorf("token %s: %w", id, err)
	}
	return id + "." + secret, nil
}

func (t *Tokens) count() (n int, err error) {
	sn, err := t.s.Snapshot()
	if err != nil {
		return 0, err
	}
	defer sn.Release()
	for range sn.Keys(tokenPrefix, "") {
		n++
	}
	return n, nil
}

// Revoke deletes a token. Later calls with it are rejected; calls in progress are answered.
func (t *Tokens) Revoke(id string) error {
	if _, err := t.s.Get(tokenPrefix + id); err != nil {
		return fmt.Errorf("token %.70q: %w", id, keybook.ErrNotFound)
	}
	_, err := t.s.Delete(tokenPrefix + id)
	t.mu.Lock()
	delete(t.limiters, id)
	t.mu.Unlock()
	return err
}

// errTooManyCalls reports that a token exceeds its rate limit.
var errTooManyCalls = errors.New("too many calls")

// authenticate verifies a token, applies its rate limit and returns its ID and right.
func (t *Tokens) authenticate(text string) (id, right string, err error) {
	id, secret, _ := strings.Cut(text, ".")
	item, err := t.s.Get(tokenPrefix + id)
	if errors.Is(err, store.ErrNotFound) || id == "" {
		return "", "", keybook.ErrNotFound
	}
	if err != nil {
		return "", "", err
	}
	var row tokenRecord
	if err := json.Unmarshal(item.Value, &row); err != nil {
		return "", "", fmt.Errorf("token: %w", err)
	}
	sum := sha256.Sum256([]byte(secret))
	if hex.EncodeToString(sum[:]) != row.SHA256 { // comparing hashes: timing reveals nothing about the secret
		return "", "", keybook.ErrNotFound
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.limiters[id]
	if l == nil {
		l = rate.NewLimiter(callsPerSecond, callBurst)
		t.limiters[id] = l
	}
	if !l.Allow() {
		return "", "", errTooManyCalls
	}
	return id, row.Right, nil
}

// exists reports whether a token is stored, that is, not revoked.
func (t *Tokens) exists(id string) (bool, error) {
	_, err := t.s.Get(tokenPrefix + id)
	if errors.Is(err, store.ErrNotFound) {
		return false, nil
	}
	return err == nil, err
}

// callerKey is the context key of the caller's token ID.
type callerKey struct{}

// keeper returns the Keeper that records changes under the caller's token ID.
func (a *API) keeper(ctx context.Context) *keybook.Store {
	tokenID, _ := ctx.Value(callerKey{}).(string)
	return a.opts.Keeper.WithActor("token " + tokenID)
}

// authorize is the middleware that rejects calls without a valid token or without the right for the
// operation.
func (a *API) authorize(ctx huma.Context, next func(huma.Context)) {
	text, ok := strings.CutPrefix(ctx.Header("Authorization"), "Bearer ")
	id, right, err := "", "", keybook.ErrNotFound
	if ok {
		id, right, err = a.opts.Tokens.authenticate(text)
	}
	status, message := 0, ""
	switch {
	case errors.Is(err, errTooManyCalls):
		status, message = http.StatusTooManyRequests, "this token calls too often"
		ctx.SetHeader("Retry-After", "1")
	case errors.Is(err, keybook.ErrNotFound):
		status, message = http.StatusUnauthorized, "Authorization: Bearer with a token of this service is needed"
	case err != nil:
		status, message = http.StatusServiceUnavailable, "tokens can't be read"
	case !allows(right, ctx.Method(), ctx.Param("name")):
		status, message = http.StatusForbidden, "the token has no right to do that"
	}
	if status != 0 {
		a.opts.Log.Warn("administration: refused", "token", sanitize(id), "status", status, "method", ctx.Method(), "path", sanitize(ctx.URL().Path))
		huma.WriteErr(a.huma, ctx, status, message) //nolint:errcheck // fails only if the client has disconnected
		return
	}
	next(huma.WithValue(ctx, callerKey{}, id))
}

// allows reports whether a right permits a call.
func allows(right, method, name string) bool {
	tenant, isTenantRight := strings.CutPrefix(right, rightTenant)
	switch {
	case right == RightAll:
		return true
	case isTenantRight:
		return name != "" && name == tenant && method != http.MethodDelete // only operators may delete a tenant
	}
	return method == http.MethodGet
}

// sanitize truncates untrusted text for the log and replaces all but printable ASCII.
func sanitize(v string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r > '~' {
			return '?'
		}
		return r
	}, v[:min(len(v), 128)])
}
