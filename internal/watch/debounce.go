package watch

import "math"

// debouncer decides what to do after each poll of a watched file. It has no clock and does no I/O: the caller
// passes the time of the poll, in milliseconds, and a digest of the content that was found.
//
// A file that is being written changes from poll to poll. New content is evaluated once it has been unchanged
// for settleMS. If the file keeps changing, it is evaluated anyway after maxSettleMS: the end line tells
// complete files from partial ones, and drains must not wait for a writer that never stops. Bad content is
// reported only after badReportDelayMS, because the writer may not have finished.
type debouncer struct {
	settleMS, badReportDelayMS, maxSettleMS float64

	current        digest
	pending        digest
	pendingSince   float64  // time in ms of the first poll that found the pending content
	unsettledSince float64  // time in ms of the first poll that found other content; +Inf = none
	reported       []digest // bad contents that were reported, oldest first
}

// digest is the SHA-256 hash of the content, or of the read error, that a poll found.
type digest [32]byte

// action is what the caller does after a poll.
type action int

const (
	actionNone     action = iota // the content is the current one
	actionRecheck                // poll again at the returned time
	actionEvaluate               // hand the content to the consumer
)

// maxReported is the number of reported bad contents that are remembered.
const maxReported = 64

// observe records the result of a poll and returns the action to take. With actionRecheck it also returns the
// time of the next poll in milliseconds.
func (d *debouncer) observe(nowMS float64, found digest) (action, float64) {
	if found == d.current {
		d.reset()
		return actionNone, 0
	}
	if d.unsettledSince > nowMS {
		d.unsettledSince = nowMS
	}
	if found != d.pending {
		d.pending, d.pendingSince = found, nowMS
	}
	if nowMS < d.pendingSince+d.settleMS && nowMS < d.unsettledSince+d.maxSettleMS {
		return actionRecheck, min(d.pendingSince+d.settleMS, d.unsettledSince+d.maxSettleMS)
	}
	return actionEvaluate, 0
}

// markCurrent records that the pending content is now in use.
func (d *debouncer) markCurrent() {
	d.current = d.pending
	d.reset()
}

// reset discards the pending content when the file holds the current content. Bad content that returns later
// is reported again.
func (d *debouncer) reset() { d.pending, d.unsettledSince, d.reported = digest{}, math.Inf(1), nil }

// markBad records that the pending content is bad. It returns whether to report it now, and otherwise the
// time in milliseconds of the next poll (+Inf = no extra poll). Each bad content is reported once until the
// file holds good content again.
func (d *debouncer) markBad(nowMS float64) (report bool, recheckAt float64) {
	for _, t := range d.reported {
		if t == d.pending {
			return false, math.Inf(1)
		}
	}
	if nowMS < d.pendingSince+d.badReportDelayMS {
		return false, d.pendingSince + d.badReportDelayMS
	}
	if len(d.reported) == maxReported {
		d.reported = append(d.reported[:0], d.reported[1:]...)
	}
	d.reported = append(d.reported, d.pending)
	return true, math.Inf(1)
}
