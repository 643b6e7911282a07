package soak

import (
	"fmt"
	"testing"
	"time"
)

// writeSteadily sends writes with long values one after the other at a rate, and waits until their time is over.
func (w *world) writeSteadily(class Class, length, perSecond int, span time.Duration) {
	tick := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tick.Stop()
	for end := time.Now().Add(span); time.Now().Before(end); {
		<-tick.C
		r := w.groups[0].request()
		r.Class, r.Wait, r.Length = class, class.Deadline, length
		go w.groups[0].send(false, r)
	}
	time.Sleep(100 * time.Millisecond)
	w.awaitAnswers(class.Deadline + answerTime)
}

// Guards against final answers that come after their time as a server reads a large request slowly, and against
// false promises that it never ran.
func TestWritesThatAServerReadsSlowlyAreAnsweredInTime(t *testing.T) {
	for _, over := range []time.Duration{300 * time.Millisecond, time.Second, 4 * time.Second} {
		for _, name := range []string{"put", "bill"} {
			t.Run(fmt.Sprintf("%s over %v", name, over), func(t *testing.T) {
				w := scriptedWith(t, 2, time.Second, canceling)
				w.origin.readOver(over)
				class := w.plan.settings.class(name)
				class.Deadline = 2500 * time.Millisecond
				w.writeSteadily(class, 60000, 10, 2*time.Second)
				w.logReport(t)
				w.none(t, Answer, Promise, Repeat, Overlap, SelfCheck)
			})
		}
	}
}

// slowWrites sends writes with long values that the origin reads slowly.
func slowWrites(t *testing.T, over time.Duration) *world {
	t.Helper()
	w := scriptedWith(t, 2, time.Second, canceling)
	w.origin.readOver(over)
	class := w.plan.settings.class("put")
	class.Deadline = 2500 * time.Millisecond
	w.writeSteadily(class, 60000, 10, 2*time.Second)
	w.logReport(t, Deadline)
	return w
}

// Guards against a server that is passed more time than its client has left, as it reads a large request slowly.
func TestServersThatReadSlowlyArePassedWhatIsLeft(t *testing.T) {
	slowWrites(t, 300*time.Millisecond).none(t, Deadline)
}

// Guards against the same where the request lies in the system's buffers for longer than the router allows for.
func TestServersThatReadVerySlowlyArePassedWhatIsLeft(t *testing.T) {
	slowWrites(t, time.Second).none(t, Deadline)
}
