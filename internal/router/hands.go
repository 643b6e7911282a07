package router

import (
	"sync"

	"mossproxy.example/mossproxy/internal/pure/shares"
)

// hands are the answers of one engine that clients have not taken yet, by tenant. Clients that read slowly, or ask for endless values, fill
// what their tenant may hold and nobody else's. It may be used from any goroutine.
type hands struct {
	mu    sync.Mutex
	pool  *shares.Pool
	known map[string]*hand
}

// hand is what is known of a tenant's answers.
type hand struct{ mean float64 }

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
	return &hands{pool: shares.New(total, handsAhead), known: map[string]*hand{strangersHand: {firstMean}}}
}

// keep knows the tenants that there are. What is booked to others stays so until it is given back.
func (h *hands) keep(named map[string]*resident) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name := range h.known {
		if named[name] == nil && name != strangersHand {
			delete(h.known, name)
		}
	}
	for name := range named {
		if h.known[name] == nil {
			h.known[name] = &hand{firstMean}
		}
	}
}

func (h *hands) party(name string) string {
	if h.known[name] == nil {
		return strangersHand
	}
	return name
}

// owes books an answer.
func (h *hands) owes(name string, bytes int) (party string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	party = h.party(name)
	k := h.known[party]
	if more := float64(bytes) - k.mean; more > 0 {
		k.mean += longerTells * more
	} else {
		k.mean += shorterTells * more
	}
	h.pool.Add(party, int64(bytes))
	return party
}

// paid ends it.
func (h *hands) paid(party string, bytes int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pool.Add(party, -int64(bytes))
}

// fits says whether one more answer has room, with those of open requests that are still to come, and what the tenant holds by now. An
// answer is taken to be as long as the mean.
func (h *hands) fits(name string, open int) (ok bool, held int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	party := h.party(name)
	need := int64(float64(open+1) * h.known[party].mean)
	held = h.pool.Held(party)
	return h.pool.Fits(party, need, 0) || float64(held+need) <= leastHand*float64(h.pool.Total()), held
}
