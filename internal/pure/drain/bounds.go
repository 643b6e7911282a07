package drain

import "math"

// Bounds limit what a router still does for its clients. Times are in ms on the clock of the Machine's
// caller; +Inf means no limit.
type Bounds struct {
	AdmitUntil     float64 // requests that arrive later are rejected
	LatestDeadline float64 // requests with a later deadline are rejected
	AnswerBy       float64 // later deadlines are cut to this time
	CloseBy        float64 // commands that arrive later do not keep a connection open
	DeliverBy      float64 // clients must have received all answers by then, as the process ends
}

const (
	// emptyAfter is the time, in ms after operators have taken a router out of service, from which on no
	// connection may be held that is idle or has an open request from the last recentRequest.
	emptyAfter    = 4000
	recentRequest = 2000
	// killAfter is the earliest time of SIGKILL, in ms after SIGTERM and the longest deadline.
	killAfter = 700
	// answerMargin and closeMargin are how long, in ms before such a limit, the last answers are given and
	// the last connections are closed: the process may be held up, and what is written has to arrive.
	answerMargin = 200
	closeMargin  = 100
)

// Unbounded are the bounds of a router that serves.
func Unbounded() Bounds {
	never := math.Inf(1)
	return Bounds{never, never, never, never, never}
}

// outOfServiceBounds are the bounds of a router that operators have taken out of service: a request gets its
// full time or is rejected, as another router can give it that.
func outOfServiceBounds(since float64) Bounds {
	b := Unbounded()
	b.AdmitUntil = since + emptyAfter - recentRequest - answerMargin
	b.LatestDeadline = since + emptyAfter - answerMargin
	b.CloseBy = since + emptyAfter - closeMargin
	return b
}

// shutdownBounds are the bounds of a process that exits. Clients may know of no other router: their requests
// get what time there is.
func shutdownBounds(since, longestDeadline float64) Bounds {
	b := Unbounded()
	b.AnswerBy = since + longestDeadline + killAfter - answerMargin
	b.AdmitUntil = b.AnswerBy
	b.CloseBy = since + longestDeadline + killAfter - closeMargin
	b.DeliverBy = b.CloseBy
	return b
}

// earliest returns the bounds that satisfy both b and o.
func (b Bounds) earliest(o Bounds) Bounds {
	return Bounds{
		AdmitUntil:     min(b.AdmitUntil, o.AdmitUntil),
		LatestDeadline: min(b.LatestDeadline, o.LatestDeadline),
		AnswerBy:       min(b.AnswerBy, o.AnswerBy),
		CloseBy:        min(b.CloseBy, o.CloseBy),
		DeliverBy:      min(b.DeliverBy, o.DeliverBy),
	}
}

// Shift returns the bounds on another clock, which is ahead by the given ms.
func (b Bounds) Shift(ahead float64) Bounds {
	return Bounds{b.AdmitUntil + ahead, b.LatestDeadline + ahead, b.AnswerBy + ahead, b.CloseBy + ahead, b.DeliverBy + ahead}
}

// Admit decides on a request that is read at the time now and whose client waits until deadline. It returns
// the time by which the request has to be answered; ok is false if the request is rejected.
func (b Bounds) Admit(now, deadline float64) (answerBy float64, ok bool) {
	ok = now <= b.AdmitUntil && deadline <= b.LatestDeadline
	return min(deadline, b.AnswerBy), ok
}
