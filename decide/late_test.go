package decide

import "testing"

// Guards against servers that are blamed for a router that was late by itself.
func TestPatienceIsExtendedByTheRoutersOwnLateness(t *testing.T) {
	b, h, s := readOnOneOf(t, 500)
	stalled := h.timers[len(h.timers)-1].token
	b.Late(100150, 120)
	h.timers = nil
	b.Timer(100150, stalled)
	if s.ejected || s.consecutiveFailures > 0 || len(h.cancels) > 0 {
		t.Errorf("the server is blamed: ejected %v, %d failures, canceled %v", s.ejected, s.consecutiveFailures, h.cancels)
	}
	if len(h.timers) != 1 || h.timers[0].after != 120 || h.timers[0].token != stalled {
		t.Errorf("timers %v, want one after 120 ms", h.timers)
	}
	b.Timer(100270, stalled)
	if len(h.cancels) == 0 {
		t.Error("the extended patience did not end")
	}
}
