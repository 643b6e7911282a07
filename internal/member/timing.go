package member

import (
	"math/rand/v2"
	"time"
)

// discoveryTiming holds the timeouts of discovery calls. A long poll without an answer looks like a list that does not
// change: only its timeout shows that the connection is dead and that updates were lost.
type discoveryTiming struct {
	listTimeout      time.Duration // for the answer to a call other than a long poll to begin
	firstListTimeout time.Duration // the same while no list is held
	longestCall      time.Duration // until a call is given up that was repeated as its answer did not begin in time
	stallTimeout     time.Duration // for the next bytes of a list
	firstPollWait    waitRange     // for the first poll of a shared service, whose answer shows that it is there
	pollWait         waitRange     // how long discovery may hold a long poll open
	pollSlack        time.Duration // added to the wait of a long poll for its timeout
	retryPause       waitRange     // after a failure, at least
	silentRetryPause waitRange     // after a call of a shared service that got no answer
}

// waitRange bounds a random time. Random, or routers that one change has woken together would go on calling together.
type waitRange struct{ shortest, longest time.Duration }

// draw returns a time in the range, in whole milliseconds.
func (w waitRange) draw() time.Duration {
	return (w.shortest + rand.N(w.longest-w.shortest+1)).Truncate(time.Millisecond)
}

var (
	// agentTiming is for an agent on the router's own machine, whose answers are immediate and cheap. Its updates must
	// take effect within 500 ms, even one that is lost because the connection ends, or that it has at the end of an
	// outage.
	agentTiming = discoveryTiming{
		listTimeout: 250 * time.Millisecond, firstListTimeout: 250 * time.Millisecond, longestCall: 250 * time.Millisecond,
		stallTimeout: 250 * time.Millisecond,
		pollWait:     waitRange{2 * time.Second, 2 * time.Second},
		pollSlack:    250 * time.Millisecond,
		retryPause:   waitRange{25 * time.Millisecond, 50 * time.Millisecond},
	}
	// sharedTiming is for a discovery service that all routers share and that handles calls one after the other. Calls
	// are therefore few and long. An update that a silent poll has lost counts as announced 2 s after the wait of that
	// poll: by then the poll is given up and a further call answered. Any other update counts 6 s after the service had
	// it and could be reached: by then a call that got no answer is repeated, and the repetition answered.
	sharedTiming = discoveryTiming{
		listTimeout: 5 * time.Second, firstListTimeout: 6 * time.Second, longestCall: 15 * time.Second,
		stallTimeout:     3500 * time.Millisecond,
		firstPollWait:    waitRange{500 * time.Millisecond, time.Second},
		pollWait:         waitRange{8 * time.Second, 12 * time.Second},
		pollSlack:        time.Second,
		retryPause:       waitRange{100 * time.Millisecond, 500 * time.Millisecond},
		silentRetryPause: waitRange{100 * time.Millisecond, 300 * time.Millisecond},
	}
)
