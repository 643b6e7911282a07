package caller

// Sampler limits the logging of events that arrive in bursts: it allows a fixed number of each kind per
// second and counts the others. The kinds must be a small fixed set, since the memory grows with their
// number.
type Sampler struct {
	maxPerSecond int
	kinds        map[string]*kindCounter
}

// kindCounter holds the counts of one kind in the current window of a second.
type kindCounter struct {
	windowStart float64 // ms
	written     int
	suppressed  int // not reported yet
}

// NewSampler returns a sampler that allows maxPerSecond events of each kind per second.
func NewSampler(maxPerSecond int) *Sampler {
	return &Sampler{maxPerSecond: maxPerSecond, kinds: map[string]*kindCounter{}}
}

// Allow reports whether an event is to be logged, and if so, how many of its kind were suppressed before it.
func (s *Sampler) Allow(now float64, kind string) (write bool, suppressed int) {
	counter := s.kinds[kind]
	if counter == nil {
		counter = &kindCounter{windowStart: now}
		s.kinds[kind] = counter
	}
	if now-counter.windowStart >= 1000 {
		counter.windowStart, counter.written = now, 0
	}
	if counter.written >= s.maxPerSecond {
		counter.suppressed++
		return false, 0
	}
	counter.written++
	suppressed, counter.suppressed = counter.suppressed, 0
	return true, suppressed
}

// TakeSuppressed returns and resets the number of unreported suppressed events by kind, for windows that have
// ended. It reports a burst that has ended even if no event of its kind follows.
func (s *Sampler) TakeSuppressed(now float64) map[string]int {
	var out map[string]int
	for name, counter := range s.kinds {
		if counter.suppressed > 0 && now-counter.windowStart >= 1000 {
			if out == nil {
				out = map[string]int{}
			}
			out[name], counter.suppressed = counter.suppressed, 0
		}
	}
	return out
}
