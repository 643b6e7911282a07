package soak

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// quietWait is how long the other clients wait in the tests of loud clients.
const quietWait = 202 * time.Millisecond

// besideLoud sends reads at a rate beside loud clients, and returns what was found.
func besideLoud(t testing.TB, kind LoudKind, clients, perSecond int, length time.Duration) (*world, *loudClients) {
	t.Helper()
	w := scriptedWith(t, 8, time.Second, canceling)
	for _, s := range w.caches {
		s.hits = 1
	}
	ctx, stop := context.WithCancel(t.Context())
	watched, unwatch := context.WithCancel(t.Context())
	defer unwatch()
	go w.ledger.watchLateness(watched)
	quiet := w.plan.settings.class("status")
	quiet.Deadline = quietWait
	w.readSteadily(quiet, perSecond, time.Second) // the router gets to know its servers
	loud := startLoud(ctx, w.process(0), kind, clients)
	w.readSteadily(quiet, perSecond, length)
	stop()
	loud.wg.Wait()
	return w, loud
}

// Guards against answers that come over half a second after their time, or never, while other clients send cheap
// or unsound commands at full speed.
func TestRequestsBesideLoudClientsAreAnsweredInTime(t *testing.T) {
	for _, kind := range loudKinds {
		if kind != LoudNames {
			t.Run(string(kind), func(t *testing.T) { checkBesideLoud(t, kind) })
		}
	}
}

// Guards against the same while other clients send reads of names that never come again.
func TestRequestsBesideClientsOfNewNamesAreAnsweredInTime(t *testing.T) {
	checkBesideLoud(t, LoudNames)
}

// checkBesideLoud checks what other clients get beside 48 loud ones.
func checkBesideLoud(t *testing.T, kind LoudKind) {
	t.Helper()
	w, loud := besideLoud(t, kind, 48, 50, 3*time.Second)
	w.logReport(t)
	t.Logf("loud clients got %d answers, the router needed %d MB", loud.answered.Load(), w.process(0).memoryMB(t))
	w.none(t, Answer, Overlap, SelfCheck)
	for _, line := range w.process(0).guardReports() {
		t.Error(line)
	}
}

// memoryMB returns the peak of the memory that a process has had, in MB.
func (p *process) memoryMB(t testing.TB) int {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.Atoi(strings.Fields(rest)[0])
			if err != nil {
				t.Fatal(err)
			}
			return kb >> 10
		}
	}
	t.Fatal("no peak of the memory")
	return 0
}

// loudNumbers are how many loud clients the benchmark has.
var loudNumbers = []int{1, 6, 24, 48, 200}

// BenchmarkOthersBesideLoudClients measures what other clients get beside loud ones: 50 reads a second that wait for
// 202 ms. Compare with an earlier program by -soak.program.
func BenchmarkOthersBesideLoudClients(b *testing.B) {
	for _, kind := range loudKinds {
		for _, clients := range loudNumbers {
			b.Run(fmt.Sprintf("%s/%d", kind, clients), func(b *testing.B) {
				for range b.N {
					w, _ := besideLoud(b, kind, clients, 50, 2*time.Second)
					w.reportOthers(b)
				}
			})
		}
	}
}

// reportOthers reports the share that was served, the times until the answers, and the memory of the router.
func (w *world) reportOthers(b *testing.B) {
	b.Helper()
	var took []time.Duration
	served, late := 0, 0
	w.ledger.update(func() {
		for _, r := range w.ledger.order {
			if r.Outcome == Served {
				served++
			}
			after := r.Answered.Sub(r.Sent)
			if r.Outcome == None || after > r.Wait+answerSlack {
				late++
			}
			took = append(took, after)
		}
	})
	slices.Sort(took)
	b.ReportMetric(float64(served)/float64(len(took)), "served")
	b.ReportMetric(float64(late), "late-or-lost")
	b.ReportMetric(took[len(took)/2].Seconds()*1000, "p50-ms")
	b.ReportMetric(took[len(took)*99/100].Seconds()*1000, "p99-ms")
	b.ReportMetric(took[len(took)-1].Seconds()*1000, "max-ms")
	b.ReportMetric(float64(w.process(0).memoryMB(b)), "MB")
}
