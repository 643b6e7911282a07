// Package shares divides a limited resource, such as connection slots or bytes of memory, between parties
// that come and go, so that no party can exhaust it. It has no clock, lock or goroutine.
//
// It uses dynamic thresholds (A. K. Choudhury and E. L. Hahne, "Dynamic queue length thresholds for
// shared-memory packet switches", IEEE/ACM Transactions on Networking 6(2), 1998): a party may take more as
// long as it then holds no more than a multiple of what is left free. The number of parties need not be
// known. A single party gets multiple/(1+multiple) of the total, and the next one still finds some free. If
// parties over their limit (OverLimit) release what they can, k parties with unlimited demand converge to
// equal shares and leave total/(1+k*multiple) free.
package shares

// Pool is the resource that is divided. Its memory is proportional to the number of parties that hold
// something.
type Pool struct {
	total, used int64
	multiple    float64
	held        map[string]int64
}

// New returns a Pool of the given total, of which each party may hold the given multiple of what is free.
func New(total int64, multiple float64) *Pool {
	return &Pool{total: total, multiple: multiple, held: map[string]int64{}}
}

// CanTake reports whether a party may take n more. limit is an additional limit of the party; 0 means none.
func (p *Pool) CanTake(party string, n, limit int64) bool {
	holding := p.held[party] + n
	return (limit <= 0 || holding <= limit) && p.used+n <= p.total && float64(holding) <= p.multiple*float64(p.total-p.used-n)
}

// Take takes n more for a party if CanTake allows it, and reports whether it did.
func (p *Pool) Take(party string, n, limit int64) bool {
	if !p.CanTake(party, n, limit) {
		return false
	}
	p.Add(party, n)
	return true
}

// Add adds n to what a party holds without checking any limit. A negative n releases; the amount held never
// falls below 0.
func (p *Pool) Add(party string, n int64) {
	holding := p.held[party]
	n = max(n, -holding)
	p.used += n
	if holding += n; holding == 0 {
		delete(p.held, party)
	} else {
		p.held[party] = holding
	}
}

// Held returns the amount that a party holds.
func (p *Pool) Held(party string) int64 { return p.held[party] }

// Used returns the amount that all parties hold together.
func (p *Pool) Used() int64 { return p.used }

// Total returns the size of the Pool.
func (p *Pool) Total() int64 { return p.total }

// Parties returns the number of parties that hold something.
func (p *Pool) Parties() int { return len(p.held) }

// OverLimit reports whether a party holds more than it could take now, as other parties have taken some
// since. limit is as in CanTake.
func (p *Pool) OverLimit(party string, limit int64) bool {
	holding := p.held[party]
	return holding > 0 && (limit > 0 && holding > limit || float64(holding) > p.multiple*float64(p.total-p.used))
}

// Unidentified is the party of all clients that are not identified yet. Identified parties have non-empty
// names.
const Unidentified = ""

// unidentifiedWeight multiplies what unidentified clients hold when a victim is chosen, as identified
// parties have more to lose.
const unidentifiedWeight = 8

// ChooseVictim returns the party that must release something so that requester can take one more. idle are
// the parties that have something idle to release; ok is false if none of them qualifies. The victim is the
// party with the greatest weight. An identified party is a victim for its own requests, and for those of
// others only if it holds more than an equal share and more than the requester. So a flood of unidentified
// clients never evicts a party that holds little.
func (p *Pool) ChooseVictim(requester string, idle []string) (party string, ok bool) {
	heaviest := int64(0)
	for _, candidate := range idle {
		holding := p.held[candidate]
		weight := holding
		switch {
		case candidate == Unidentified:
			weight = unidentifiedWeight * holding
		case candidate == requester:
		case holding*int64(len(p.held)) <= p.total || holding <= p.held[requester] && requester != Unidentified:
			continue
		}
		if weight > heaviest || weight == heaviest && ok && candidate < party {
			party, heaviest, ok = candidate, weight, true
		}
	}
	return party, ok
}
