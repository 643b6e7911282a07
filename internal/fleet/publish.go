package fleet

import (
	"log/slog"
	"time"

	"mossproxy.example/mossproxy/internal/pure/fleet"
)

// minExtension is how much later a share has to expire for the extension alone to be announced if leases are
// disabled.
const minExtension = 5 * time.Second

// noticeableRatio is the ratio of the new to the previous Tier.Parts below which a larger share is announced.
const noticeableRatio = 0.98

// publishTier announces the router's share after a change: always if it has become smaller or expires sooner,
// and otherwise if it is noticeably larger or lasts longer, or the number of routers has changed.
func (f *Fleet) publishTier() {
	if f.cfg.TierChanged == nil {
		return
	}
	share, extension := f.machine.Share(), minExtension
	if f.leases != nil {
		share, extension = f.leases.usableShare(), tickInterval
	}
	t := Tier{Routers: f.machine.Present(), Parts: share.Routers, Then: share.RoutersAfter}
	if leftMS := share.Until - f.now(); leftMS < 1e9 {
		t.Until = time.Now().Add(time.Duration(leftMS * float64(time.Millisecond)))
	}
	if t.Routers == f.lastTier.Routers && !t.reducedFrom(f.lastTier) && !t.increasedFrom(f.lastTier, extension) {
		return
	}
	f.lastTier = t
	f.cfg.TierChanged(t)
}

// reducedFrom reports whether a share is smaller than the previous one, or expires sooner.
func (t Tier) reducedFrom(previous Tier) bool {
	expiresSooner := !t.Until.IsZero() && (previous.Until.IsZero() || t.Until.Before(previous.Until.Add(-tickInterval)))
	return t.Parts > previous.Parts || t.Then > previous.Then || expiresSooner
}

// increasedFrom reports whether a share is noticeably larger than the previous one, or expires later by at
// least the given time.
func (t Tier) increasedFrom(previous Tier, extension time.Duration) bool {
	expiresLater := !previous.Until.IsZero() && (t.Until.IsZero() || t.Until.Sub(previous.Until) >= extension)
	return t.Parts < noticeableRatio*previous.Parts || t.Then < noticeableRatio*previous.Then || expiresLater
}

// publishMembers announces the members, at most once per tick.
func (f *Fleet) publishMembers() {
	if f.cfg.MembersChanged == nil || f.publishedVersion == f.machine.ChangeCount()+1 {
		return
	}
	f.publishedVersion = f.machine.ChangeCount() + 1
	member := func(r fleet.Record) Member { return Member{r.Name, fromMachineAddr(r.Addr).Addr().String(), r.Meta} }
	members := []Member{member(f.machine.Self())}
	f.machine.ForEach(func(r fleet.Record) {
		if r.State <= fleet.Suspect {
			members = append(members, member(r))
		}
	})
	f.cfg.MembersChanged(members)
}

// SetMeta sets the metadata that the router announces to the other members, up to fleet.MaxMeta bytes. It may
// be called before Run. It returns false if the inbox is full: the call has no effect then.
func (f *Fleet) SetMeta(meta string) bool {
	return f.post(func() {
		if err := f.machine.SetMeta(f.now(), meta); err != nil {
			slog.Error("fleet: metadata not announced", "why", err)
		}
	})
}
