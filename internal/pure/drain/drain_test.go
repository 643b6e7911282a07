package drain

import (
	"math"
	"testing"
)

// step is one call on a Machine and the expected state after it.
type step struct {
	at         float64
	do         func(m *Machine, now float64)
	phase      Phase
	advertises bool
	next       float64
}

func takeOut(m *Machine, now float64)       { m.TakeOutOfService(now) }
func putIn(m *Machine, _ float64)           { m.PutInService() }
func shutDown(m *Machine, now float64)      { m.BeginShutdown(now, 2500) }
func successorStarts(m *Machine, _ float64) { m.SetSuccessor(true) }
func successorGone(m *Machine, _ float64)   { m.SetSuccessor(false) }
func noCall(*Machine, float64)              {}

func TestHistories(t *testing.T) {
	never := math.Inf(1)
	for name, steps := range map[string][]step{
		"drained, and back in service": {
			{0, noCall, Serving, true, never},
			{100, takeOut, Redirecting, false, 600},
			{599, noCall, Redirecting, false, 600},
			{600, noCall, Draining, false, never},
			{9e9, noCall, Draining, false, never},
			{9e9, putIn, Serving, true, never},
		},
		"taken out of service twice": {
			{100, takeOut, Redirecting, false, 600},
			{400, takeOut, Redirecting, false, 600},
			{600, putIn, Serving, true, never},
			{601, putIn, Serving, true, never},
		},
		"out of service, back and out again within a second": {
			{0, takeOut, Redirecting, false, 500},
			{300, putIn, Serving, true, never},
			{700, takeOut, Redirecting, false, 1200},
			{1199, noCall, Redirecting, false, 1200},
			{1200, noCall, Draining, false, never},
		},
		"shutdown while serving": {
			{0, shutDown, Redirecting, true, 500},
			{500, noCall, Closing, false, never},
			{600, putIn, Closing, false, never},
		},
		"shutdown while draining": {
			{0, takeOut, Redirecting, false, 500},
			{400, shutDown, Redirecting, false, 500},
			{500, noCall, Draining, false, 900},
			{900, noCall, Closing, false, never},
		},
		"back in service during shutdown": {
			{0, takeOut, Redirecting, false, 500},
			{800, shutDown, Draining, false, 1300},
			{900, putIn, Redirecting, true, 1300},
			{1300, noCall, Closing, false, never},
		},
		"shutdown twice": {
			{0, shutDown, Redirecting, true, 500},
			{400, shutDown, Redirecting, true, 500},
		},
		"shutdown with a successor": {
			{0, successorStarts, Serving, true, never},
			{10, shutDown, Closing, true, never},
			{20, successorGone, Closing, true, never},
			{600, takeOut, Closing, false, 1100},
		},
		"successor disappears": {
			{0, successorStarts, Serving, true, never},
			{10, successorGone, Serving, true, never},
			{20, shutDown, Redirecting, true, 520},
			{520, noCall, Closing, false, never},
		},
	} {
		m := &Machine{Grace: 500}
		for i, s := range steps {
			s.do(m, s.at)
			if p, inv, next := m.Phase(s.at), m.ShouldAdvertise(s.at), m.NextChange(s.at); p != s.phase || inv != s.advertises || next != s.next {
				t.Errorf("%s, step %d: phase %d, advertises %v, next change %v; want %d, %v, %v", name, i, p, inv, next, s.phase, s.advertises, s.next)
			}
		}
	}
}

func TestPutInServiceReportsServing(t *testing.T) {
	m := &Machine{Grace: 500}
	if m.TakeOutOfService(0); !m.PutInService() {
		t.Error("PutInService reports not serving without a shutdown")
	}
	if m.BeginShutdown(0, 2500); m.PutInService() {
		t.Error("PutInService reports serving during shutdown")
	}
}
