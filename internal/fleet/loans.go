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
	sharedResource = 0
	numResources   = 1
)

// rateWindow is the time over which work is counted as a rate.
const rateWindow = time.Second

// leaseManager are how this router lends its part of what all share, and borrows of the others'. The owner's goroutine alone uses it.
type leaseManager struct {
	f            *Fleet
	machine      *quota.Machine
	peers        []quota.Peer
	peersVersion uint64 // of the view that peers are of, and one more
	lastCount    uint64 // of work, at lastCountAt
	lastCountAt  time.Time
	rate         float64
}

// newLeaseManager is nil where nothing is lent.
func newLeaseManager(f *Fleet) (*leaseManager, error) {
	if f.cfg.RequestCount == nil {
		return nil, nil
	}
	l := &leaseManager{f: f}
	var err error
	l.machine, err = quota.New(numResources, rand.Uint64(), l)
	return l, err
}

// Send is quota.Host's.
func (l *leaseManager) Send(to quota.Peer, m []byte) {
	l.f.machine.SendPayload(l.f.now(), to.Name, to.Start, m)
}

// deliver takes what another router has to say of loans, once the machine that brought it has returned.
func (l *leaseManager) deliver(from fleet.Record, b []byte) {
	l.f.post(func() {
		l.machine.UpdateShare(l.f.now(), l.baseShare())
		if err := l.machine.Receive(l.f.now(), quota.Peer{Name: from.Name, Start: from.Start}, b); err != nil {
			l.f.counters.rejected.Add(1)
			slog.Debug("fleet: a word of loans is refused", "from", from.Name, "why", err)
		}
	})
}

// baseShare is what the view gives this router.
func (l *leaseManager) baseShare() quota.BaseShare {
	p := l.f.machine.Share()
	return quota.BaseShare{Share: shareForRouters(p.Routers), Until: p.Until, After: shareForRouters(p.RoutersAfter)}
}

// shareForRouters is one of so many parts; holding is none.
func shareForRouters(parts float64) float64 {
	if parts >= fleet.NoShare {
		return 0
	}
	return 1 / parts
}

// routersForShare is how many parts a share is one of.
func routersForShare(share float64) float64 {
	if share <= 1.0/fleet.NoShare {
		return fleet.NoShare
	}
	return 1 / share
}

// tickInterval counts work, and asks and lends.
func (l *leaseManager) tick() {
	if at := time.Now(); l.lastCountAt.IsZero() {
		l.lastCount, l.lastCountAt = l.f.cfg.RequestCount(), at
	} else if gone := at.Sub(l.lastCountAt); gone >= 2*tickInterval {
		n := l.f.cfg.RequestCount()
		weight := 1 - math.Exp(-float64(gone)/float64(rateWindow))
		l.rate += weight * (float64(n-min(n, l.lastCount))/gone.Seconds() - l.rate)
		l.lastCount, l.lastCountAt = n, at
	}
	if l.peersVersion != l.f.machine.ChangeCount()+1 {
		l.peersVersion, l.peers = l.f.machine.ChangeCount()+1, l.peers[:0]
		l.f.machine.ForEach(func(r fleet.Record) {
			if r.State == fleet.Alive {
				l.peers = append(l.peers, quota.Peer{Name: r.Name, Start: r.Start})
			}
		})
	}
	l.machine.Tick(l.f.now(), l.baseShare(), []float64{l.rate}, l.peers)
}

// usableShare is what this router may use with loans, until a time, and from there on without them.
func (l *leaseManager) usableShare() fleet.Share {
	now := l.f.now()
	l.machine.UpdateShare(now, l.baseShare())
	until, then := l.machine.Expiry(now, sharedResource)
	return fleet.Share{Routers: routersForShare(l.machine.UsableShare(now, sharedResource)), Until: until, RoutersAfter: routersForShare(then)}
}

// Leases are what a router may use, of that what it has borrowed, and what of its own it has lent, as shares of the whole; and the work that
// it has.
type LeaseStats struct{ Share, LeasedIn, LeasedOut, Rate float64 }

func (l *leaseManager) stats() LeaseStats {
	now := l.f.now()
	lent, borrowed := l.machine.Leases(now, sharedResource)
	return LeaseStats{Share: l.machine.UsableShare(now, sharedResource), LeasedIn: borrowed, LeasedOut: lent, Rate: l.rate}
}
