package watch

import "math"

// debouncer says what a look at a watched file means. It has no clock and reads nothing: each look comes with its time in
// milliseconds and a sum of what was found.
//
// A file that is being written changes from look to look. A new content is judged once it has stood still for settle, or
// at once when nothing has stood still for hurry: the end line tells whole files from others, and drains can't wait for
// a writer that never rests. A bad one is told of only after patience, as it may still be in the making.
type debouncer struct {
	settleMS, badReportDelayMS, maxSettleMS float64 // ms

	current        digest
	pending        digest
	pendingSince   float64  // when the pending content was first seen
	unsettledSince float64  // when the content in use was last seen, before the pending ones
	reported       []digest // bad contents that were told of, the latest last
}

// digest identifies what a look found.
type digest [32]byte

// action is what to do after a look.
type action int

const (
	actionNone     action = iota // nothing new
	actionRecheck                // look again at the time given
	actionEvaluate               // read it, and take it if it is good
)

// maxReported bounds the memory of bad contents.
const maxReported = 64

// observe takes a look. With later comes the time of the next one.
func (s *debouncer) observe(now float64, found digest) (action, float64) {
	if found == s.current {
		s.reset()
		return actionNone, 0
	}
	if s.unsettledSince > now {
		s.unsettledSince = now
	}
	if found != s.pending {
		s.pending, s.pendingSince = found, now
	}
	if now < s.pendingSince+s.settleMS && now < s.unsettledSince+s.maxSettleMS {
		return actionRecheck, min(s.pendingSince+s.settleMS, s.unsettledSince+s.maxSettleMS)
	}
	return actionEvaluate, 0
}

// applied tells that the pending content is in use now.
func (s *debouncer) markCurrent() {
	s.current = s.pending
	s.reset()
}

// reset ends an episode: the content in use is what stands there. A bad one that comes back is told of again.
func (s *debouncer) reset() { s.pending, s.unsettledSince, s.reported = digest{}, math.Inf(1), nil }

// markBad tells that the pending content is bad. It says whether to tell of it now, once for each content until a good one
// stands there again, or when to look again.
func (s *debouncer) markBad(now float64) (tell bool, again float64) {
	for _, t := range s.reported {
		if t == s.pending {
			return false, math.Inf(1)
		}
	}
	if now < s.pendingSince+s.badReportDelayMS {
		return false, s.pendingSince + s.badReportDelayMS
	}
	if len(s.reported) == maxReported {
		s.reported = append(s.reported[:0], s.reported[1:]...)
	}
	s.reported = append(s.reported, s.pending)
	return true, math.Inf(1)
}
