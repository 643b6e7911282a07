package caller

// Sampler bounds what is written of events that come in storms: so many of each kind a second, and the others are counted. Kinds
// are few and known; their number bounds the memory.
type Sampler struct {
	maxPerSecond int
	kinds        map[string]*kindCounter
}

type kindCounter struct {
	windowStart float64
	written     int
	suppressed  int
}

// NewSampler lets most of each kind be written each second.
func NewSampler(most int) *Sampler {
	return &Sampler{maxPerSecond: most, kinds: map[string]*kindCounter{}}
}

// Allow says whether an event is to be written, and with it how many of its kind were left out before it.
func (s *Sampler) Allow(now float64, kind string) (write bool, left int) {
	k := s.kinds[kind]
	if k == nil {
		k = &kindCounter{windowStart: now}
		s.kinds[kind] = k
	}
	if now-k.windowStart >= 1000 {
		k.windowStart, k.written = now, 0
	}
	if k.written >= s.maxPerSecond {
		k.suppressed++
		return false, 0
	}
	k.written++
	left, k.suppressed = k.suppressed, 0
	return true, left
}

// TakeSuppressed gives how many of each kind were left out and not told of, for seconds that are over, and forgets them: a storm that has
// passed is told of though no event of its kind follows.
func (s *Sampler) TakeSuppressed(now float64) map[string]int {
	var out map[string]int
	for name, k := range s.kinds {
		if k.suppressed > 0 && now-k.windowStart >= 1000 {
			if out == nil {
				out = map[string]int{}
			}
			out[name], k.suppressed = k.suppressed, 0
		}
	}
	return out
}
