package caller

import (
	"math"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Limits hold a flood of wrong credentials to a bounded share of a core, and keep it from those who are right. Checking a
// signature that is new costs tens to hundreds of microseconds; what is remembered costs none and is not asked for here.
//
// Three bounds, in this order: what an address may get wrong; what may be got wrong with one key's id by addresses that never got
// anything right; and the work of checking for all, of which a half is kept for addresses that did lately. So a flood from
// everywhere, or one that names a key in use, costs those who are known nothing.
type Limits struct {
	share     float64 // of a core that checking may take
	addresses *simplelru.LRU[string, *address]
	keys      *simplelru.LRU[string, *bucket]
	work      bucket // ms of work that may be done now
}

// The bounds of Limits.
const (
	addressWrongs = 10.0    // a second, with as many saved up
	keyWrongs     = 100.0   // a second, with as many saved up
	goodFor       = 600e3   // ms for which an address that was right counts as known
	workDepth     = 250.0   // ms of a core's share that may be saved up
	maxAddresses  = 1 << 14 // remembered; the one that was seen longest ago is forgotten
	maxWrongKeys  = 1 << 10
)

type bucket struct{ level, at float64 }

func (b *bucket) fill(now, rate, depth float64) {
	if now > b.at {
		b.level = min(depth, b.level+rate*(now-b.at)/1000)
		b.at = now
	}
}

type address struct {
	left bucket
	good float64 // when it was right last; -Inf = never
}

// NewLimits lets checking take a share of one core, 0 to 1.
func NewLimits(share float64) *Limits {
	return &Limits{share: share, addresses: lru[string, *address](maxAddresses), keys: lru[string, *bucket](maxWrongKeys),
		work: bucket{level: share * workDepth}}
}

// May says whether a credential from an address, that names a key, is to be checked, which will take so many ms of work. With
// true, Was must be told how it ended.
func (l *Limits) May(now float64, from, key string, cost float64) bool {
	a := l.address(now, from)
	if a.left.fill(now, addressWrongs, addressWrongs); a.left.level < 1 {
		return false
	}
	known := now-a.good < goodFor
	if !known {
		if k, ok := l.keys.Get(key); ok {
			if k.fill(now, keyWrongs, keyWrongs); k.level < 1 {
				return false
			}
		}
	}
	depth := l.share * workDepth
	l.work.fill(now, l.share*1000, depth)
	least := cost
	if !known {
		least += depth / 2
	}
	if l.work.level < min(least, depth) {
		return false
	}
	l.work.level -= cost
	return true
}

// Was tells how a check ended. Wrong is one that proves nothing; a good signature by a key that is retired is not wrong.
func (l *Limits) Was(now float64, from, key string, wrong bool) {
	a := l.address(now, from)
	if !wrong {
		a.good = now
		return
	}
	a.left.level--
	k, ok := l.keys.Get(key)
	if !ok {
		k = &bucket{keyWrongs, now}
		l.keys.Add(key, k)
	}
	k.fill(now, keyWrongs, keyWrongs)
	k.level--
}

func (l *Limits) address(now float64, from string) *address {
	a, ok := l.addresses.Get(from)
	if !ok {
		a = &address{bucket{addressWrongs, now}, math.Inf(-1)}
		l.addresses.Add(from, a)
	}
	return a
}

// Size is how many addresses and keys are remembered.
func (l *Limits) Size() (addresses, keys int) { return l.addresses.Len(), l.keys.Len() }

// Memory remembers passes by the keyed hash of what was shown, so that a token is checked once. It has no lock and a bound; what
// was asked for longest ago is forgotten.
type Memory struct {
	of *simplelru.LRU[[32]byte, *Pass]
}

// NewMemory remembers so many passes, one at least.
func NewMemory(most int) *Memory { return &Memory{lru[[32]byte, *Pass](max(1, most))} }

// Get gives what is remembered, nil where nothing is. Whether it holds is for the caller to ask.
func (m *Memory) Get(hash [32]byte) *Pass {
	p, _ := m.of.Get(hash)
	return p
}

// Put remembers a pass.
func (m *Memory) Put(hash [32]byte, p *Pass) { m.of.Add(hash, p) }

// Forget forgets one.
func (m *Memory) Forget(hash [32]byte) { m.of.Remove(hash) }

// Size is how many are remembered.
func (m *Memory) Size() int { return m.of.Len() }

// lru is a bounded table that forgets what was used longest ago; the size is above 0, which is all that can be wrong with it.
func lru[K comparable, V any](most int) *simplelru.LRU[K, V] {
	l, err := simplelru.NewLRU[K, V](most, nil)
	if err != nil {
		panic(err)
	}
	return l
}
