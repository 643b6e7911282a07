package service

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"

	"mossproxy.example/mossproxy/internal/config"
	"mossproxy.example/mossproxy/internal/fleet"
	"mossproxy.example/mossproxy/internal/operator"
	pure "mossproxy.example/mossproxy/internal/pure/fleet"
	"mossproxy.example/mossproxy/internal/router"
)

// openFleet opens this router's part in the fleet, where the configuration has one. What follows of the view goes to tiers and doors, and to a
// process that takes over.
func (s *Service) openFleet() (err error) {
	f := s.file
	if f.Fleet == nil {
		return nil
	}
	s.tiers = router.NewTiers(f.Pools[0].Checked.Config.Routers)
	cfg := fleet.Config{Name: f.Name, Site: f.Site, Listen: f.Fleet.Listen, Advertise: f.Fleet.Advertise, Join: f.Fleet.Join, Key: f.Fleet.Key,
		ExpectedRouters: f.Pools[0].Checked.Config.Routers, TierChanged: func(t fleet.Tier) { s.heardTier(router.Tier(t)) }, RequestCount: s.work, PoolDemands: s.demands,
		ThresholdChanged: s.control.Line}
	if slices.ContainsFunc(f.Pools, func(p *config.Config) bool { return p.RESP != nil && p.RESP.Fleet }) {
		s.doors = router.NewDoors(func(card string) bool { return s.fleet.SetMeta(card) }) // pools speak when they serve: the fleet is open by then
		cfg.MembersChanged = func(ms []fleet.Member) {
			out := make([]router.Member, 0, len(ms))
			for _, m := range ms {
				out = append(out, router.Member{Name: m.Name, Host: m.Host, Card: []byte(m.Meta)})
			}
			s.heardMembers(out)
		}
	}
	if cfg.Sockets, err = s.sockets.fleet(); err != nil {
		return err
	}
	if s.sockets.taken != nil {
		s.heir = &heir{handed: make(chan *fleet.HandoverState, 1)}
		cfg.AwaitPredecessor = s.heir.before
	}
	if s.fleet, err = fleet.Open(cfg); err != nil {
		return err
	}
	if cfg.Sockets == nil {
		streams, datagrams := s.fleet.Sockets()
		s.sockets.all = append(s.sockets.all, streams, datagrams)
	} else {
		s.sockets.all = append(s.sockets.all, cfg.Sockets.Datagrams)
	}
	return nil
}

// work counts the requests that this process has answered.
func (s *Service) work() (n uint64) {
	for _, k := range s.control.Counts().Classes {
		n += k.Served + k.Refused + k.Failed
	}
	return n
}

// demands is what has come to each pool.
func (s *Service) demands() (out []fleet.PoolDemand) {
	for _, d := range s.control.Demands() {
		out = append(out, fleet.PoolDemand{Pool: d.Pool, Demand: d.Demand})
	}
	return out
}

// heardTier and heardMembers pass on what the view, this process's or that of the one before, says.
func (s *Service) heardTier(t router.Tier) {
	s.tiers.Tell(t)
	s.news.change(func(n *tidings) { n.Tier = &t })
}

func (s *Service) heardMembers(ms []router.Member) {
	if s.doors == nil {
		return
	}
	s.doors.Heard(ms)
	s.news.change(func(n *tidings) { n.Members = ms })
}

// handOver takes over from the process before, as far as there is one, and lets another one take over, until the returned function is
// called. stop ends this process.
func (s *Service) handOver(stop func()) (end func()) {
	var wg sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	if s.heir != nil {
		wg.Go(func() { s.heir.follow(s.sockets.taken.Updates(), s.heardTier, s.heardMembers) })
	}
	if s.file.Handover != "" {
		wg.Go(func() { s.succeed(ctx, stop) })
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// takePart runs the router's part in the fleet until the returned function is called, which says goodbye and waits. failed is told where
// the router may not take part.
func takePart(f *fleet.Fleet, failed func(error)) (stop func()) {
	if f == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() {
		if err := f.Run(ctx); err != nil {
			failed(err)
		}
	})
	return func() {
		cancel()
		wg.Wait()
	}
}

// fleetView is what operators are told of the fleet; nil where there is none.
func (s *Service) fleetView() func(context.Context) (operator.FleetView, error) {
	if s.fleet == nil {
		return nil
	}
	return func(ctx context.Context) (operator.FleetView, error) {
		v, err := s.fleet.View(ctx)
		if err != nil {
			return operator.FleetView{}, err
		}
		return shown(v), nil
	}
}

// shown is a view in the form that operators get.
func shown(v fleet.View) operator.FleetView {
	out := operator.FleetView{Name: v.Name, Digest: fmt.Sprintf("%016x", v.Digest), SettledS: v.SettledS, FailureSuspicion: v.HealthScore, Members: []operator.Member{},
		Gossip:        operator.GossipCounters(v.Counters),
		ResourceShare: operator.ResourceShare{RemainingMS: -1, Effective: v.Leases.Share, LeasedIn: v.Leases.LeasedIn, LeasedOut: v.Leases.LeasedOut, RequestRate: v.Leases.Rate}}
	if v.Share.Routers < pure.NoShare {
		out.ResourceShare.Divisor, out.ResourceShare.NextDivisor = v.Share.Routers, v.Share.RoutersAfter
		if left := v.Share.Until - v.NowMS; left < 1e12 {
			out.ResourceShare.RemainingMS = int64(max(0, left))
		}
	}
	for _, l := range v.PoolAdmissions {
		out.Admissions = append(out.Admissions, shownLine(l))
	}
	for _, m := range v.Members {
		out.Members = append(out.Members, operator.Member{Name: m.Name, Addr: m.Addr.String(), Site: m.Site, State: m.State.String(), SinceMS: int64(m.SinceMS),
			ReportedBy: m.Reporter, Start: m.Start, Counted: m.Counted})
	}
	return out
}

// shownLine is a line in the form that operators get.
func shownLine(l fleet.PoolAdmission) operator.Admission {
	out := operator.Admission{Pool: l.Pool, AdmittedShare: l.AdmittedShare, Arrivals: l.MeanRate, Capacity: l.MeanCapacity, LocalArrivals: l.LocalRate, AttemptsPerRequest: l.AttemptsPerRequest, Rejected: l.RejectedRate, ByWorth: []operator.WorthStats{}}
	if l.Band < len(l.DemandRate) {
		out.Worth, out.ThresholdShare = fleet.MinWorth(l.Band), l.Share
	}
	for i, asked := range l.DemandRate {
		if asked > 0 {
			out.ByWorth = append(out.ByWorth, operator.WorthStats{Worth: fleet.MinWorth(i), Arrivals: asked, Shed: l.ShedRate[i]})
		}
	}
	return out
}

// rejoin takes other addresses to join by from a new configuration.
func (t *taker) rejoin(next *config.File) error {
	if t.s.fleet == nil || slices.Equal(next.Fleet.Join, t.s.file.Fleet.Join) {
		return nil
	}
	if err := t.s.fleet.SetJoinAddrs(t.ctx, next.Fleet.Join); err != nil {
		return fmt.Errorf("fleet.join: %w", err)
	}
	slog.Info("configuration: other addresses to join by", "join", next.Fleet.Join)
	return nil
}
