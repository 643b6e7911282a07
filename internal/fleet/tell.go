package fleet

import (
	"log/slog"
	"time"

	"mossproxy.example/mossproxy/internal/pure/fleet"
)

// minExtension is how much later a share has to expire for the extension alone to be announced.
const minExtension = 5 * time.Second

// noticeableRatio is the ratio of the new to the previous Tier.Parts below which a larger share is announced.
const noticeableRatio = 0.98

// publishTier announces the router's share after a change: always if it has become smaller or expires sooner,
// and otherwise if it is noticeably larger or lasts longer, or the number of routers has changed.
func (f *Fleet) publishTier() {
	if f.cfg.TierChanged == nil {
		return
	}
	p, longer := f.machine.Share(), minExtension
	if f.leases != nil {
		p, longer = f.leases.usableShare(), tickInterval
	}
	t := Tier{Routers: f.machine.Present(), Parts: p.Routers, Then: p.RoutersAfter}
	if left := p.Until - f.now(); left < 1e9 {
		t.Until = time.Now().Add(time.Duration(left * float64(time.Millisecond)))
	}
	if t.Routers == f.lastTier.Routers && !t.reducedFrom(f.lastTier) && !t.increasedFrom(f.lastTier, longer) {
		return
	}
	f.lastTier = t
	f.cfg.TierChanged(t)
}

// reducedFrom reports whether a share is smaller than the previous one, or expires sooner.
func (t Tier) reducedFrom(was Tier) bool {
	sooner := !t.Until.IsZero() && (was.Until.IsZero() || t.Until.Before(was.Until.Add(-tickInterval)))
	return t.Parts > was.Parts || t.Then > was.Then || sooner
}

// increasedFrom reports whether a share is noticeably larger than the previous one, or expires later by at
// least the given time.
func (t Tier) increasedFrom(was Tier, longer time.Duration) bool {
	lasts := !was.Until.IsZero() && (t.Until.IsZero() || t.Until.Sub(was.Until) >= longer)
	return t.Parts < noticeableRatio*was.Parts || t.Then < noticeableRatio*was.Then || lasts
}

// publishMembers announces the members, at most once per tick.
func (f *Fleet) publishMembers() {
	if f.cfg.MembersChanged == nil || f.publishedVersion == f.machine.ChangeCount()+1 {
		return
	}
	f.publishedVersion = f.machine.ChangeCount() + 1
	member := func(r fleet.Record) Member { return Member{r.Name, fromMachineAddr(r.Addr).Addr().String(), r.Meta} }
	all := []Member{member(f.machine.Self())}
	f.machine.ForEach(func(r fleet.Record) {
		if r.State <= fleet.Suspect {
			all = append(all, member(r))
		}
	})
	f.cfg.MembersChanged(all)
}

// SetMeta sets the metadata that the router announces to the other members, up to fleet.MaxMeta bytes. It may
// be called before Run. It returns false if the inbox is full: the call has no effect then.
func (f *Fleet) SetMeta(card string) bool {
	return f.post(func() {
		if err := f.machine.SetMeta(f.now(), card); err != nil {
			slog.Error("fleet: metadata not announced", "why", err)
		}
	})
}
