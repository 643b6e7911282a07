// Package shares divides something of which there is only so much, such as places of connections or bytes of memory, between parties
// that come and go, so that none takes so much that another finds nothing. It has no clock, lock or goroutine.
//
// The rule is that of dynamic thresholds (A. K. Choudhury and E. L. Hahne, "Dynamic queue length thresholds for shared-memory packet
// switches", IEEE/ACM Transactions on Networking 6(2), 1998): a party may take more as long as it then holds no more than a multiple of
// what is left free. Nobody has to say how many parties there will be. One alone gets multiple/(1+multiple) of all, and whoever comes
// next finds something. Where those that hold too much by then (Over) give back as they can, k parties that want all they can get come to
// equal parts and leave total/(1+k*multiple) free.
package shares

// Pool is what is divided. Its memory is that of the parties that hold something.
type Pool struct {
	total, used int64
	multiple    float64
	held        map[string]int64
}

// New is a pool of so much, of which each party may hold a multiple of what is free.
func New(total int64, multiple float64) *Pool {
	return &Pool{total: total, multiple: multiple, held: map[string]int64{}}
}

// CanTake says whether a party may have n more, beside what it holds. most is a bound of its own; 0 = it has none.
func (p *Pool) CanTake(who string, n, most int64) bool {
	have := p.held[who] + n
	return (most <= 0 || have <= most) && p.used+n <= p.total && float64(have) <= p.multiple*float64(p.total-p.used-n)
}

// Take is Fits, and books what fits.
func (p *Pool) Take(who string, n, most int64) bool {
	if !p.CanTake(who, n, most) {
		return false
	}
	p.Add(who, n)
	return true
}

// Add books n more for a party, whether they fit or not; with less than 0 it gives back. No party holds less than nothing.
func (p *Pool) Add(who string, n int64) {
	have := p.held[who]
	n = max(n, -have)
	p.used += n
	if have += n; have == 0 {
		delete(p.held, who)
	} else {
		p.held[who] = have
	}
}

// Held is what a party holds.
func (p *Pool) Held(who string) int64 { return p.held[who] }

// Used is what all parties hold, and Total what there is.
func (p *Pool) Used() int64 { return p.used }

// Total is Used's brother.
func (p *Pool) Total() int64 { return p.total }

// Parties is how many hold something.
func (p *Pool) Parties() int { return len(p.held) }

// OverLimit says whether a party holds more than it could take now: others have come since.
func (p *Pool) OverLimit(who string, most int64) bool {
	have := p.held[who]
	return have > 0 && (most > 0 && have > most || float64(have) > p.multiple*float64(p.total-p.used))
}

// Unidentified is the party of those that nobody knows yet. No name is empty.
const Unidentified = ""

// unidentifiedWeight is how many times what strangers hold counts where one has to give way: who is known has more to lose.
const unidentifiedWeight = 8

// ChooseVictim names the party that gives way to one more of another, of those that have something idle; ok is false where none does. It is the
// one that weighs most. A known party gives way to itself, and to others only while it holds more than an equal part and more than who comes:
// however many strangers come, they drive out nobody who holds little.
func (p *Pool) ChooseVictim(to string, idle []string) (who string, ok bool) {
	most := int64(0)
	for _, x := range idle {
		have := p.held[x]
		weight := have
		switch {
		case x == Unidentified:
			weight = unidentifiedWeight * have
		case x == to:
		case have*int64(len(p.held)) <= p.total || have <= p.held[to] && to != Unidentified:
			continue
		}
		if weight > most || weight == most && ok && x < who {
			who, most, ok = x, weight, true
		}
	}
	return who, ok
}
