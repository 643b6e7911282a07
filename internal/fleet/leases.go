package fleet

import (
	"log/slog"
	"math"
	"math/rand/v2"
	"time"

	"mossproxy.example/mossproxy/internal/pure/fleet"
	"mossproxy.example/mossproxy/internal/pure/quota"
)

// Resources that routers lease to each other. There is one: the capacity that all routers share, which is the
// budgets of cold servers and the fetches.
const (
	sharedResource = 0
	numResources   = 1
)

// rateWindow is the time constant of the moving average of the request rate.
const rateWindow = time.Second

// leaseManager leases this router's share of the common resource to other routers, and leases of theirs. Only
// the owner goroutine uses it.
type leaseManager struct {
	f            *Fleet
	machine      *quota.Machine
	peers        []quota.Peer
	peersVersion uint64 // ChangeCount at which peers was built, plus 1
	lastCount    uint64 // RequestCount at lastCountAt
	lastCountAt  time.Time
	rate         float64 // requests per second
}

// newLeaseManager returns nil if leases are disabled.
func newLeaseManager(f *Fleet) (*leaseManager, error) {
	if f.cfg.RequestCount == nil {
		return nil, nil
	}
	l := &leaseManager{f: f}
	var err error
	l.machine, err = quota.New(numResources, rand.Uint64(), l)
	return l, err
}

// Send implements quota.Host.
func (l *leaseManager) Send(to quota.Peer, m []byte) {
	l.f.machine.SendPayload(l.f.now(), to.Name, to.Start, m)
}

// deliver queues a lease message from another router: the membership machine that delivers it must return
// first.
func (l *leaseManager) deliver(from fleet.Record, b []byte) {
	l.f.post(func() {
		l.machine.UpdateShare(l.f.now(), l.baseShare())
		if err := l.machine.Receive(l.f.now(), quota.Peer{Name: from.Name, Start: from.Start}, b); err != nil {
			l.f.counters.rejected.Add(1)
			slog.Debug("fleet: lease message rejected", "from", from.Name, "why", err)
		}
	})
}

// baseShare returns the share that follows from the membership view, without leases.
func (l *leaseManager) baseShare() quota.BaseShare {
	p := l.f.machine.Share()
	return quota.BaseShare{Share: shareForRouters(p.Routers), Until: p.Until, After: shareForRouters(p.RoutersAfter)}
}

// shareForRouters returns the equal share among a number of routers; it is 0 from fleet.NoShare on.
func shareForRouters(parts float64) float64 {
	if parts >= fleet.NoShare {
		return 0
	}
	return 1 / parts
}

// routersForShare is the inverse of shareForRouters.
func routersForShare(share float64) float64 {
	if share <= 1.0/fleet.NoShare {
		return fleet.NoShare
	}
	return 1 / share
}

// tick updates the request rate and the list of peers, and runs the lease machine.
func (l *leaseManager) tick() {
	if at := time.Now(); l.lastCountAt.IsZero() {
		l.lastCount, l.lastCountAt = l.f.cfg.RequestCount(), at
	} else if elapsed := at.Sub(l.lastCountAt); elapsed >= 2*tickInterval {
		n := l.f.cfg.RequestCount()
		weight := 1 - math.Exp(-float64(elapsed)/float64(rateWindow))
		l.rate += weight * (float64(n-min(n, l.lastCount))/elapsed.Seconds() - l.rate)
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

// usableShare returns the share that this router may use with its leases until they expire, and the share
// after that.
func (l *leaseManager) usableShare() fleet.Share {
	now := l.f.now()
	l.machine.UpdateShare(now, l.baseShare())
	until, after := l.machine.Expiry(now, sharedResource)
	return fleet.Share{Routers: routersForShare(l.machine.UsableShare(now, sharedResource)), Until: until, RoutersAfter: routersForShare(after)}
}

// LeaseStats holds the share that a router may use, the part of it that is leased from others, and what is
// leased to others of its own share, all as fractions of the whole; and its rate in requests per second.
type LeaseStats struct{ Share, LeasedIn, LeasedOut, Rate float64 }

// stats returns the current shares, leases and request rate.
func (l *leaseManager) stats() LeaseStats {
	now := l.f.now()
	leasedOut, leasedIn := l.machine.Leases(now, sharedResource)
	return LeaseStats{Share: l.machine.UsableShare(now, sharedResource), LeasedIn: leasedIn, LeasedOut: leasedOut, Rate: l.rate}
}
