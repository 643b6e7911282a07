package engine

import (
	"strconv"
	"testing"
)

// Guards against memory that grows without end under ever new ids of unsafe requests, and against the loss of the
// latest ones.
func TestIDsOfUnsafeRequestsAreBounded(t *testing.T) {
	s := NewUnsafeIDs()
	const total = 3 * maxUnsafe
	for i := range total {
		s.Add(strconv.Itoa(i))
		if i%2 == 0 {
			s.remove(strconv.Itoa(i))
		}
	}
	if n := len(s.order); n > maxUnsafe || len(s.until) > n {
		t.Errorf("%d ids in order, %d known, %d at most", n, len(s.until), maxUnsafe)
	}
	if latest := strconv.Itoa(total - 1); !s.contains(latest) {
		t.Errorf("id %s is forgotten", latest)
	}
	if s.contains(strconv.Itoa(total - 2)) {
		t.Error("an id that was removed is still known")
	}
	if got := len(s.All()); got != maxUnsafe/2 {
		t.Errorf("%d ids are handed over, want %d", got, maxUnsafe/2)
	}
}
