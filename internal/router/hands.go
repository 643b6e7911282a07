package router

import (
	"fmt"
	"sync"

	"mossproxy.example/mossproxy/internal/pure/shares"
)

// hands are the answers of one engine that clients have not taken yet, by tenant. Clients that read slowly, or ask for endless values, fill
// what their tenant may hold and nobody else's. It may be used from any goroutine.
type hands struct {
	mu     sync.Mutex
	pool   *shares.Pool
	others *hand // of tenants that are not known
}

// hand is one tenant's: what one of the tenants of a name left is not the next one's. Its engine's goroutine alone uses it.
type hand struct {
	party string
	mean  float64 // length of its answers
}

func newHand(of Lifetime) *hand { return &hand{fmt.Sprint(of.Name, " ", of.Generation), firstMean} }

const (
	// handsAhead is how many times what is free of the memory for answers a tenant may hold.
	handsAhead = 2
	// longerTells is the weight of an answer above its tenant's mean length in that, and shorterTells of one below: a guess that is too low
	// lets more come than there is room for.
	longerTells, shorterTells = 0.5, 0.05
	// firstMean is what a tenant's answers are taken to be long before any has come, in bytes.
	firstMean = 16 << 10
	// leastHand is the part of the bound that a tenant may hold whatever others hold beyond theirs.
	leastHand = 1. / 16
	// strangersHand is the party of tenants that are not known, which no tenant's name can be.
	strangersHand = "(others)"
	// handBack is when to come again, in ms, where a tenant's answers fill what it may hold: its clients have to take some.
	handBack = 100
)

func newHands(total int64) *hands {
	return &hands{pool: shares.New(total, handsAhead), others: &hand{strangersHand, firstMean}}
}

// owes books an answer.
func (h *hands) owes(k *hand, bytes int) (party string) {
	if more := float64(bytes) - k.mean; more > 0 {
		k.mean += longerTells * more
	} else {
		k.mean += shorterTells * more
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pool.Add(k.party, int64(bytes))
	return k.party
}

// paid ends it.
func (h *hands) paid(party string, bytes int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pool.Add(party, -int64(bytes))
}

// fits says whether one more answer has room, with those of open requests that are still to come, and what the tenant holds by now. An
// answer is taken to be as long as the mean.
func (h *hands) fits(k *hand, open int) (ok bool, held int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	need := int64(float64(open+1) * k.mean)
	held = h.pool.Held(k.party)
	return h.pool.CanTake(k.party, need, 0) || float64(held+need) <= leastHand*float64(h.pool.Total()), held
}
