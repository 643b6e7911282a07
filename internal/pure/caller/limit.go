package caller

import (
	"math"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// AuthLimiter hold a flood of wrong credentials to a bounded share of a core, and keep it from those who are right. Checking a
// signature that is new costs tens to hundreds of microseconds; what is remembered costs none and is not asked for here.
//
// Three bounds, in this order: what an address may get wrong; what may be got wrong with one key's id by addresses that never got
// anything right; and the work of checking for all, of which a half is kept for addresses that did lately. So a flood from
// everywhere, or one that names a key in use, costs those who are known nothing.
type AuthLimiter struct {
	share      float64 // of a core that checking may take
	addresses  *simplelru.LRU[string, *addressRecord]
	keyBudgets *simplelru.LRU[string, *tokenBucket]
	workBudget tokenBucket // ms of work that may be done now
}

// The bounds of Limits.
const (
	addressFailuresPerSecond = 10.0    // a second, with as many saved up
	keyFailuresPerSecond     = 100.0   // a second, with as many saved up
	knownAddressMS           = 600e3   // ms for which an address that was right counts as known
	maxSavedWorkMS           = 250.0   // ms of a core's share that may be saved up
	maxAddresses             = 1 << 14 // remembered; the one that was seen longest ago is forgotten
	maxFailedKeys            = 1 << 10
)

type tokenBucket struct{ tokens, updatedAt float64 }

func (b *tokenBucket) refill(now, rate, depth float64) {
	if now > b.updatedAt {
		b.tokens = min(depth, b.tokens+rate*(now-b.updatedAt)/1000)
		b.updatedAt = now
	}
}

type addressRecord struct {
	failureBudget tokenBucket
	lastSuccess   float64 // when it was right last; -Inf = never
}

// NewAuthLimiter lets checking take a share of one core, 0 to 1.
func NewAuthLimiter(share float64) *AuthLimiter {
	return &AuthLimiter{share: share, addresses: newLRU[string, *addressRecord](maxAddresses), keyBudgets: newLRU[string, *tokenBucket](maxFailedKeys),
		workBudget: tokenBucket{tokens: share * maxSavedWorkMS}}
}

// Allow says whether a credential from an address, that names a key, is to be checked, which will take so many ms of work. With
// true, Was must be told how it ended.
func (l *AuthLimiter) Allow(now float64, from, key string, cost float64) bool {
	a := l.addressState(now, from)
	if a.failureBudget.refill(now, addressFailuresPerSecond, addressFailuresPerSecond); a.failureBudget.tokens < 1 {
		return false
	}
	known := now-a.lastSuccess < knownAddressMS
	if !known {
		if k, ok := l.keyBudgets.Get(key); ok {
			if k.refill(now, keyFailuresPerSecond, keyFailuresPerSecond); k.tokens < 1 {
				return false
			}
		}
	}
	depth := l.share * maxSavedWorkMS
	l.workBudget.refill(now, l.share*1000, depth)
	least := cost
	if !known {
		least += depth / 2
	}
	if l.workBudget.tokens < min(least, depth) {
		return false
	}
	l.workBudget.tokens -= cost
	return true
}

// RecordResult tells how a check ended. Wrong is one that proves nothing; a good signature by a key that is retired is not wrong.
func (l *AuthLimiter) RecordResult(now float64, from, key string, wrong bool) {
	a := l.addressState(now, from)
	if !wrong {
		a.lastSuccess = now
		return
	}
	a.failureBudget.tokens--
	k, ok := l.keyBudgets.Get(key)
	if !ok {
		k = &tokenBucket{keyFailuresPerSecond, now}
		l.keyBudgets.Add(key, k)
	}
	k.refill(now, keyFailuresPerSecond, keyFailuresPerSecond)
	k.tokens--
}

func (l *AuthLimiter) addressState(now float64, from string) *addressRecord {
	a, ok := l.addresses.Get(from)
	if !ok {
		a = &addressRecord{tokenBucket{addressFailuresPerSecond, now}, math.Inf(-1)}
		l.addresses.Add(from, a)
	}
	return a
}

// Size is how many addresses and keys are remembered.
func (l *AuthLimiter) Size() (addresses, keys int) { return l.addresses.Len(), l.keyBudgets.Len() }

// IdentityCache remembers passes by the keyed hash of what was shown, so that a token is checked once. It has no lock and a bound; what
// was asked for longest ago is forgotten.
type IdentityCache struct {
	entries *simplelru.LRU[[32]byte, *Identity]
}

// NewIdentityCache remembers so many passes, one at least.
func NewIdentityCache(most int) *IdentityCache {
	return &IdentityCache{newLRU[[32]byte, *Identity](max(1, most))}
}

// Get gives what is remembered, nil where nothing is. Whether it holds is for the caller to ask.
func (m *IdentityCache) Get(hash [32]byte) *Identity {
	p, _ := m.entries.Get(hash)
	return p
}

// Put remembers a pass.
func (m *IdentityCache) Put(hash [32]byte, p *Identity) { m.entries.Add(hash, p) }

// Remove forgets one.
func (m *IdentityCache) Remove(hash [32]byte) { m.entries.Remove(hash) }

// Size is how many are remembered.
func (m *IdentityCache) Size() int { return m.entries.Len() }

// newLRU is a bounded table that forgets what was used longest ago; the size is above 0, which is all that can be wrong with it.
func newLRU[K comparable, V any](most int) *simplelru.LRU[K, V] {
	l, err := simplelru.NewLRU[K, V](most, nil)
	if err != nil {
		panic(err)
	}
	return l
}
