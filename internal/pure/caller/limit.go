package caller

import (
	"math"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// AuthLimiter limits the verification of credentials to a share of a CPU core, so that a flood of invalid
// credentials does not crowd out legitimate callers. Verifying a new signature costs tens to hundreds of
// microseconds; cached identities cost nothing and bypass the limiter.
//
// Three limits apply, in this order: failures per address; failures per key id by addresses without a recent
// success; and the total verification work, half of which is reserved for addresses with a recent success. A
// flood from many addresses, or one that names a key in use, therefore does not affect known addresses. It is
// not safe for concurrent use.
type AuthLimiter struct {
	share      float64 // of a core that verification may use, 0 to 1
	addresses  *simplelru.LRU[string, *addressRecord]
	keyBudgets *simplelru.LRU[string, *tokenBucket]
	workBudget tokenBucket // ms of work available now
}

// The limits of AuthLimiter.
const (
	addressFailuresPerSecond = 10.0    // also the burst
	keyFailuresPerSecond     = 100.0   // also the burst
	knownAddressMS           = 600e3   // how long an address counts as known after a success
	maxSavedWorkMS           = 250.0   // burst of verification work, before scaling by the share
	maxAddresses             = 1 << 14 // tracked addresses; the least recently used one is evicted
	maxFailedKeys            = 1 << 10 // tracked key ids with failures, evicted likewise
)

// tokenBucket limits a rate; updatedAt is in ms.
type tokenBucket struct{ tokens, updatedAt float64 }

// refill adds the tokens for the time since the last update; rate is in tokens per second.
func (b *tokenBucket) refill(now, rate, capacity float64) {
	if now > b.updatedAt {
		b.tokens = min(capacity, b.tokens+rate*(now-b.updatedAt)/1000)
		b.updatedAt = now
	}
}

// addressRecord tracks the failures and the last success of an address.
type addressRecord struct {
	failureBudget tokenBucket
	lastSuccess   float64 // time of the last successful check, ms; -Inf = never
}

// NewAuthLimiter returns a limiter that lets verification use the given share of one core, 0 to 1.
func NewAuthLimiter(share float64) *AuthLimiter {
	return &AuthLimiter{share: share, addresses: newLRU[string, *addressRecord](maxAddresses), keyBudgets: newLRU[string, *tokenBucket](maxFailedKeys),
		workBudget: tokenBucket{tokens: share * maxSavedWorkMS}}
}

// Allow reports whether a credential that names a key and comes from the given address may be verified, which
// takes costMS of work. If so, RecordResult must be called with the result.
func (l *AuthLimiter) Allow(now float64, address, keyID string, costMS float64) bool {
	record := l.addressState(now, address)
	if record.failureBudget.refill(now, addressFailuresPerSecond, addressFailuresPerSecond); record.failureBudget.tokens < 1 {
		return false
	}
	known := now-record.lastSuccess < knownAddressMS
	if !known {
		if budget, ok := l.keyBudgets.Get(keyID); ok {
			if budget.refill(now, keyFailuresPerSecond, keyFailuresPerSecond); budget.tokens < 1 {
				return false
			}
		}
	}
	capacity := l.share * maxSavedWorkMS
	l.workBudget.refill(now, l.share*1000, capacity)
	required := costMS
	if !known {
		required += capacity / 2
	}
	if l.workBudget.tokens < min(required, capacity) {
		return false
	}
	l.workBudget.tokens -= costMS
	return true
}

// RecordResult records the result of a verification. Failed means that the credential proved nothing; a valid
// signature by a retired key is not a failure.
func (l *AuthLimiter) RecordResult(now float64, address, keyID string, failed bool) {
	record := l.addressState(now, address)
	if !failed {
		record.lastSuccess = now
		return
	}
	record.failureBudget.tokens--
	budget, ok := l.keyBudgets.Get(keyID)
	if !ok {
		budget = &tokenBucket{keyFailuresPerSecond, now}
		l.keyBudgets.Add(keyID, budget)
	}
	budget.refill(now, keyFailuresPerSecond, keyFailuresPerSecond)
	budget.tokens--
}

func (l *AuthLimiter) addressState(now float64, address string) *addressRecord {
	record, ok := l.addresses.Get(address)
	if !ok {
		record = &addressRecord{tokenBucket{addressFailuresPerSecond, now}, math.Inf(-1)}
		l.addresses.Add(address, record)
	}
	return record
}

// Size returns the number of tracked addresses and keys.
func (l *AuthLimiter) Size() (addresses, keys int) { return l.addresses.Len(), l.keyBudgets.Len() }

// IdentityCache caches identities by the keyed hash of their credential, so that each token is verified only
// once. It has a fixed capacity with LRU eviction and is not safe for concurrent use.
type IdentityCache struct {
	entries *simplelru.LRU[[32]byte, *Identity]
}

// NewIdentityCache returns a cache for maxEntries identities, at least one.
func NewIdentityCache(maxEntries int) *IdentityCache {
	return &IdentityCache{newLRU[[32]byte, *Identity](max(1, maxEntries))}
}

// Get returns the cached identity, or nil. The caller must check whether it is still valid.
func (c *IdentityCache) Get(hash [32]byte) *Identity {
	p, _ := c.entries.Get(hash)
	return p
}

// Put stores an identity.
func (c *IdentityCache) Put(hash [32]byte, p *Identity) { c.entries.Add(hash, p) }

// Remove deletes an identity.
func (c *IdentityCache) Remove(hash [32]byte) { c.entries.Remove(hash) }

// Size returns the number of cached identities.
func (c *IdentityCache) Size() int { return c.entries.Len() }

// newLRU returns an LRU table of the given size. It panics if the size is not positive, the only possible
// error.
func newLRU[K comparable, V any](size int) *simplelru.LRU[K, V] {
	l, err := simplelru.NewLRU[K, V](size, nil)
	if err != nil {
		panic(err)
	}
	return l
}
