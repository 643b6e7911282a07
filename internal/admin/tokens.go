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

// Rights of a token: to read, to change one tenant (tenant:NAME), or to change all.
const (
	RightRead   = "read"
	RightAll    = "all"
	rightTenant = "tenant:"
)

const tokenPrefix = "admin/token/"

// A token's calls are bounded, so that a loop of one admin's leaves the others theirs.
const (
	callsPerSecond = 20
	callBurst      = 40
	maxTokens      = 1000
)

// Tokens are the API's bearer tokens. The store has the SHA-256 of each: they are drawn with 256 bits, so there is nothing to guess.
type Tokens struct {
	s        *store.Store
	mu       sync.Mutex
	limiters map[string]*rate.Limiter // by id; bounded as the tokens are
}

// NewTokens are those of a store.
func NewTokens(s *store.Store) *Tokens { return &Tokens{s: s, limiters: map[string]*rate.Limiter{}} }

type tokenRecord struct {
	ID     string    `json:"id"`
	Right  string    `json:"right"`
	SHA256 string    `json:"sha256"`
	Made   time.Time `json:"made"`
}

// CheckRight says what is wrong with a right.
func CheckRight(right string) error {
	if right == RightRead || right == RightAll || strings.HasPrefix(right, rightTenant) && len(right) > len(rightTenant) {
		return nil
	}
	return fmt.Errorf("right %.40q: read, tenant:NAME and all are right", right)
}

// Create makes a token and gives its text, which is kept nowhere.
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

// Revoke ends a token. It counts for no call that comes from then on; one that is under way is answered.
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

// errTooManyCalls tells of a token that calls too often.
var errTooManyCalls = errors.New("too many calls")

// authenticate gives the id and right of a token.
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
	if hex.EncodeToString(sum[:]) != row.SHA256 { // of hashes: how far they agree tells nothing of the secret
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

// exists says whether a token has not been revoked.
func (t *Tokens) exists(id string) (bool, error) {
	_, err := t.s.Get(tokenPrefix + id)
	if errors.Is(err, store.ErrNotFound) {
		return false, nil
	}
	return err == nil, err
}

// callerKey is the context's key of who calls.
type callerKey struct{}

// keeper is the store's in the name of who calls.
func (a *API) keeper(ctx context.Context) *keybook.Store {
	who, _ := ctx.Value(callerKey{}).(string)
	return a.opts.Keeper.WithActor("token " + who)
}

// authorize lets calls through whose token has the right to make them.
func (a *API) authorize(ctx huma.Context, next func(huma.Context)) {
	text, ok := strings.CutPrefix(ctx.Header("Authorization"), "Bearer ")
	id, right, err := "", "", keybook.ErrNotFound
	if ok {
		id, right, err = a.opts.Tokens.authenticate(text)
	}
	status, what := 0, ""
	switch {
	case errors.Is(err, errTooManyCalls):
		status, what = http.StatusTooManyRequests, "this token calls too often"
		ctx.SetHeader("Retry-After", "1")
	case errors.Is(err, keybook.ErrNotFound):
		status, what = http.StatusUnauthorized, "Authorization: Bearer with a token of this service is needed"
	case err != nil:
		status, what = http.StatusServiceUnavailable, "tokens can't be read"
	case !allows(right, ctx.Method(), ctx.Param("name")):
		status, what = http.StatusForbidden, "the token has no right to do that"
	}
	if status != 0 {
		a.opts.Log.Warn("administration: refused", "token", sanitize(id), "status", status, "method", ctx.Method(), "path", sanitize(ctx.URL().Path))
		huma.WriteErr(a.huma, ctx, status, what) //nolint:errcheck // the client has gone then
		return
	}
	next(huma.WithValue(ctx, callerKey{}, id))
}

// allows says whether a right covers a call.
func allows(right, method, name string) bool {
	of, one := strings.CutPrefix(right, rightTenant)
	switch {
	case right == RightAll:
		return true
	case one:
		return name != "" && name == of && method != http.MethodDelete // to end itself is the operators'
	}
	return method == http.MethodGet
}

// sanitize bounds what comes from outside.
func sanitize(v string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r > '~' {
			return '?'
		}
		return r
	}, v[:min(len(v), 128)])
}
