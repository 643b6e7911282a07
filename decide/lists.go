package decide

import "math"

// When to call for the list, where the service that has it tells its changes only to routers that ask. One
// service works through the calls of the whole tier in turn.

const (
	listCallTimeout   = 15000 // ms without an answer after which the list is requested again
	listCallSpread    = 1000  // ms over which calls of a tier are spread, for each ten routers
	maxListCallSpread = 4000  // ms, in any tier: a change counts as announced 6 s after it could be had
	minListRetryPause = 500   // ms, and a random part of listCallSpread: pause behind a failed call
	crowdedListCall   = 1000  // ms from which a call that fails has waited in turn: the service is crowded
	maxListDoublings  = 2     // doublings of the pause between failing list calls, at most
	listPauseJitter   = 0.125 // random part of the longest pause: calls that are spread over it stay so
)

// listCalls is the state of the calls for the list. Times are in ms.
type listCalls struct {
	dueAt    float64 // when to call; +Inf while the router is subscribed
	calledAt float64 // time of the latest call; +Inf before the first
	failures int     // consecutive failed calls
	crowded  int     // consecutive calls that failed after they had waited in turn
}

// newListCalls returns the state of a router that has not asked yet.
func newListCalls() listCalls { return listCalls{dueAt: math.Inf(1), calledAt: math.Inf(1)} }

// call records a call for the list.
func (l *listCalls) call(now float64) { l.calledAt, l.dueAt = now, now+listCallTimeout }

// subscribed reports whether a list has come since the latest call and nothing has failed since.
func (l *listCalls) subscribed() bool { return math.IsInf(l.dueAt, 1) }

// received records a list or changes of it.
func (l *listCalls) received() { l.dueAt, l.failures, l.crowded = math.Inf(1), 0, 0 }

// scheduleFirstCall sets when a router calls that has restored its list. In a small tier the next round of
// housekeeping calls.
func (b *Balancer) scheduleFirstCall() {
	spread := min(listCallSpread*(b.tierScale()-1), maxListCallSpread)
	b.listCalls.dueAt = b.now + b.boundListWait(0.8, spread)*b.rng.Float64()
}

// scheduleListCall sets when to call again, after a call has failed or the subscription has broken. The
// time is random, or all routers would call at once.
//
// A change counts as announced some seconds after the service had it and could be reached, so pauses are
// bounded however long the service was away, and the calls of a large tier are spread over that bound.
// Only where calls fail after they have waited in turn, twice in a row, do pauses grow beyond it: the
// service works through calls that have timed out as well, and retries within the bound would keep it
// overloaded for good.
func (b *Balancer) scheduleListCall() {
	l := &b.listCalls
	if l.subscribed() { // nothing shows that the service is away
		l.dueAt = b.now + b.rng.Float64()*b.brokenListSpread()
		return
	}
	if b.now-l.calledAt >= crowdedListCall {
		l.crowded++
	} else {
		l.crowded = 0
	}
	pause := (minListRetryPause + listCallSpread*b.rng.Float64()) * b.tierScale() * doublings(l.failures)
	longest := maxListCallSpread * (1 - listPauseJitter*b.rng.Float64())
	if l.crowded > 1 {
		longest = maxListCallSpread * (1 + 2*b.rng.Float64())
	}
	l.failures++
	l.dueAt = b.now + b.boundListWait(3, min(pause, longest))
}

// brokenListSpread returns the time over which the routers of a tier call again whose subscriptions have
// broken together.
func (b *Balancer) brokenListSpread() float64 {
	if b.tierScale() > 1 {
		return maxListCallSpread
	}
	return listCallSpread
}

// doublings returns the factor on a pause after n failures.
func doublings(n int) float64 { return math.Exp2(float64(min(n, maxListDoublings))) }

// boundListWait limits a wait before the next call for the list to a part of Config.MustAsk.
func (b *Balancer) boundListWait(share, wait float64) float64 {
	if b.cfg.MustAsk > 0 {
		return min(wait, share*b.cfg.MustAsk)
	}
	return wait
}
