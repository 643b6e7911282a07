package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"mossproxy.example/mossproxy/internal/standin"
)

// Plays of routers that ask for their lists: discovery fails, and right after that a server begins to drain until the end.

// Bounds of what routers count as notified of where lists are asked for.
const (
	afterSilence = 6 * time.Second // after a watch has fallen silent,
	afterWait    = 2 * time.Second // or after the wait of its call, whichever is later
)

// Bounds of the draws.
const (
	troubleFrom, troubleUntil = 2 * time.Second, 6 * time.Second
	shortestOutage            = 200 * time.Millisecond
	longestOutage             = 8 * time.Second
	drainWithin               = 1500 * time.Millisecond // after a watch has fallen silent
)

// DrawAsked draws a play in which routers ask for their lists. Its length leaves time for a drain that a silent watch has
// missed to be notified.
func DrawAsked(seed uint64, size Size) Plan {
	p := Draw(seed, size)
	p.settings.Asked = true
	rng := rand.New(rand.NewPCG(seed, 79))
	between := func(from, to time.Duration) time.Duration {
		return from + time.Duration(rng.Float64()*float64(to-from))
	}
	trouble := Fault{Kind: SilentWatches, At: between(troubleFrom, troubleUntil)}
	drain := Fault{Kind: DrainServer, Target: rng.IntN(p.Servers), At: trouble.At + between(0, drainWithin)}
	if rng.IntN(2) == 0 {
		trouble.Kind, trouble.For = DiscoveryDown, between(shortestOutage, longestOutage)
		drain.At = trouble.At + between(0, trouble.For+drainWithin)
	}
	drain.For = p.Length - drain.At
	p.Faults = slices.DeleteFunc(p.Faults, func(f Fault) bool {
		switch f.Kind {
		case DiscoveryDown, DrainServer:
			return true
		case Terminate, SignalSeries, Crash:
			return trouble.Kind == DiscoveryDown // a new process has no list until discovery is back
		}
		return false
	})
	p.Faults = append(p.Faults, trouble, drain)
	slices.SortFunc(p.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return p
}

// silenceWatches has the open watches fall silent.
func (w *world) silenceWatches() {
	calls := w.directory.Silence()
	w.update(func() { w.silentUntil = silenceNotified(time.Now(), calls) })
}

// silenceNotified returns when all routers count as notified of what the given calls have missed since they fell silent.
func silenceNotified(silentAt time.Time, calls []standin.OpenCall) time.Time {
	latest := silentAt.Add(afterSilence)
	for _, c := range calls {
		if by := c.At.Add(c.Wait + afterWait); by.After(latest) {
			latest = by
		}
	}
	return latest
}
