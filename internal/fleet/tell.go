package fleet

import (
	"log/slog"
	"time"

	"mossproxy.example/mossproxy/internal/pure/fleet"
)

// renewed is by how much a right has to be longer before the news of that are worth an event.
const renewed = 5 * time.Second

// noticed is the number of parts, as a part of that before, below which the news of a larger one are worth an event.
const noticed = 0.98

// tell says what the router's part is, where that has changed: at once where it is less, and where it is noticeably more or lasts longer.
func (f *Fleet) tell() {
	if f.cfg.Tier == nil {
		return
	}
	p, longer := f.m.Share(), renewed
	if f.loans != nil {
		p, longer = f.loans.part(), tick
	}
	t := Tier{Routers: f.m.Present(), Parts: p.Routers, Then: p.RoutersAfter}
	if left := p.Until - f.now(); left < 1e9 {
		t.Until = time.Now().Add(time.Duration(left * float64(time.Millisecond)))
	}
	if t.Routers == f.told.Routers && !t.less(f.told) && !t.more(f.told, longer) {
		return
	}
	f.told = t
	f.cfg.Tier(t)
}

// less says whether a part is smaller than the one before, or ends sooner.
func (t Tier) less(was Tier) bool {
	sooner := !t.Until.IsZero() && (was.Until.IsZero() || t.Until.Before(was.Until.Add(-tick)))
	return t.Parts > was.Parts || t.Then > was.Then || sooner
}

// more says whether it is noticeably larger, or lasts longer by so much.
func (t Tier) more(was Tier, longer time.Duration) bool {
	lasts := !was.Until.IsZero() && (t.Until.IsZero() || t.Until.Sub(was.Until) >= longer)
	return t.Parts < noticed*was.Parts || t.Then < noticed*was.Then || lasts
}

// show says who is there, once after all changes of a tick.
func (f *Fleet) show() {
	if f.cfg.Members == nil || f.shown == f.m.ChangeCount()+1 {
		return
	}
	f.shown = f.m.ChangeCount() + 1
	member := func(r fleet.Record) Member { return Member{r.Name, fromPure(r.Addr).Addr().String(), r.Meta} }
	all := []Member{member(f.m.Self())}
	f.m.ForEach(func(r fleet.Record) {
		if r.State <= fleet.Suspect {
			all = append(all, member(r))
		}
	})
	f.cfg.Members(all)
}

// Say has the router tell the others something of itself, up to fleet.MaxMeta bytes. It may be called before Run, and drops what finds no
// room: then it returns false.
func (f *Fleet) Say(card string) bool {
	return f.post(func() {
		if err := f.m.SetMeta(f.now(), card); err != nil {
			slog.Error("fleet: what the router has to tell is not told", "why", err)
		}
	})
}
