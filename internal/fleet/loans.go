package fleet

import (
	"log/slog"
	"math"
	"math/rand/v2"
	"time"

	"mossproxy.example/mossproxy/internal/pure/fleet"
	"mossproxy.example/mossproxy/internal/pure/quota"
)

// The only good is what all routers share as one: cold servers' budgets and fetches.
const (
	shared = 0
	goods  = 1
)

// rateOver is the time over which work is counted as a rate.
const rateOver = time.Second

// loans are how this router lends its part of what all share, and borrows of the others'. The owner's goroutine alone uses it.
type loans struct {
	f       *Fleet
	q       *quota.Machine
	peers   []quota.Peer
	changes uint64 // of the view that peers are of, and one more
	count   uint64 // of work, at countAt
	countAt time.Time
	rate    float64
}

// newLoans is nil where nothing is lent.
func newLoans(f *Fleet) (*loans, error) {
	if f.cfg.Work == nil {
		return nil, nil
	}
	l := &loans{f: f}
	var err error
	l.q, err = quota.New(goods, rand.Uint64(), l)
	return l, err
}

// Send is quota.Host's.
func (l *loans) Send(to quota.Peer, m []byte) { l.f.m.SendPayload(l.f.now(), to.Name, to.Start, m) }

// cargo takes what another router has to say of loans, once the machine that brought it has returned.
func (l *loans) cargo(from fleet.Record, b []byte) {
	l.f.post(func() {
		l.q.UpdateShare(l.f.now(), l.own())
		if err := l.q.Receive(l.f.now(), quota.Peer{Name: from.Name, Start: from.Start}, b); err != nil {
			l.f.counts.refused.Add(1)
			slog.Debug("fleet: a word of loans is refused", "from", from.Name, "why", err)
		}
	})
}

// own is what the view gives this router.
func (l *loans) own() quota.BaseShare {
	p := l.f.m.Share()
	return quota.BaseShare{Share: shareOf(p.Routers), Until: p.Until, After: shareOf(p.RoutersAfter)}
}

// shareOf is one of so many parts; holding is none.
func shareOf(parts float64) float64 {
	if parts >= fleet.NoShare {
		return 0
	}
	return 1 / parts
}

// partsOf is how many parts a share is one of.
func partsOf(share float64) float64 {
	if share <= 1.0/fleet.NoShare {
		return fleet.NoShare
	}
	return 1 / share
}

// tick counts work, and asks and lends.
func (l *loans) tick() {
	if at := time.Now(); l.countAt.IsZero() {
		l.count, l.countAt = l.f.cfg.Work(), at
	} else if gone := at.Sub(l.countAt); gone >= 2*tick {
		n := l.f.cfg.Work()
		weight := 1 - math.Exp(-float64(gone)/float64(rateOver))
		l.rate += weight * (float64(n-min(n, l.count))/gone.Seconds() - l.rate)
		l.count, l.countAt = n, at
	}
	if l.changes != l.f.m.ChangeCount()+1 {
		l.changes, l.peers = l.f.m.ChangeCount()+1, l.peers[:0]
		l.f.m.ForEach(func(r fleet.Record) {
			if r.State == fleet.Alive {
				l.peers = append(l.peers, quota.Peer{Name: r.Name, Start: r.Start})
			}
		})
	}
	l.q.Tick(l.f.now(), l.own(), []float64{l.rate}, l.peers)
}

// part is what this router may use with loans, until a time, and from there on without them.
func (l *loans) part() fleet.Share {
	now := l.f.now()
	l.q.UpdateShare(now, l.own())
	until, then := l.q.Expiry(now, shared)
	return fleet.Share{Routers: partsOf(l.q.UsableShare(now, shared)), Until: until, RoutersAfter: partsOf(then)}
}

// Loans are what a router may use, of that what it has borrowed, and what of its own it has lent, as shares of the whole; and the work that
// it has.
type Loans struct{ Share, Borrowed, Lent, Rate float64 }

func (l *loans) figures() Loans {
	now := l.f.now()
	lent, borrowed := l.q.Leases(now, shared)
	return Loans{Share: l.q.UsableShare(now, shared), Borrowed: borrowed, Lent: lent, Rate: l.rate}
}
