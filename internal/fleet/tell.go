package fleet

import (
	"log/slog"
	"time"

	"mossproxy.example/mossproxy/internal/pure/fleet"
)

// minExtension is by how much a right has to be longer before the news of that are worth an event.
const minExtension = 5 * time.Second

// noticeableRatio is the number of parts, as a part of that before, below which the news of a larger one are worth an event.
const noticeableRatio = 0.98

// announce says what the router's part is, where that has changed: at once where it is less, and where it is noticeably more or lasts longer.
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

// reducedFrom says whether a part is smaller than the one before, or ends sooner.
func (t Tier) reducedFrom(was Tier) bool {
	sooner := !t.Until.IsZero() && (was.Until.IsZero() || t.Until.Before(was.Until.Add(-tickInterval)))
	return t.Parts > was.Parts || t.Then > was.Then || sooner
}

// increasedFrom says whether it is noticeably larger, or lasts longer by so much.
func (t Tier) increasedFrom(was Tier, longer time.Duration) bool {
	lasts := !was.Until.IsZero() && (t.Until.IsZero() || t.Until.Sub(was.Until) >= longer)
	return t.Parts < noticeableRatio*was.Parts || t.Then < noticeableRatio*was.Then || lasts
}

// publishMembers says who is there, once after all changes of a tick.
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

// SetMeta has the router tell the others something of itself, up to fleet.MaxMeta bytes. It may be called before Run, and drops what finds no
// room: then it returns false.
func (f *Fleet) SetMeta(card string) bool {
	return f.post(func() {
		if err := f.machine.SetMeta(f.now(), card); err != nil {
			slog.Error("fleet: what the router has to tell is not told", "why", err)
		}
	})
}
