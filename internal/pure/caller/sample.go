package caller

// Sampler bounds what is written of events that come in storms: so many of each kind a second, and the others are counted. Kinds
// are few and known; their number bounds the memory.
type Sampler struct {
	most  int
	kinds map[string]*sample
}

type sample struct {
	second  float64
	written int
	left    int
}

// NewSampler lets most of each kind be written each second.
func NewSampler(most int) *Sampler { return &Sampler{most: most, kinds: map[string]*sample{}} }

// Take says whether an event is to be written, and with it how many of its kind were left out before it.
func (s *Sampler) Take(now float64, kind string) (write bool, left int) {
	k := s.kinds[kind]
	if k == nil {
		k = &sample{second: now}
		s.kinds[kind] = k
	}
	if now-k.second >= 1000 {
		k.second, k.written = now, 0
	}
	if k.written >= s.most {
		k.left++
		return false, 0
	}
	k.written++
	left, k.left = k.left, 0
	return true, left
}

// Left gives how many of each kind were left out and not told of, for seconds that are over, and forgets them: a storm that has
// passed is told of though no event of its kind follows.
func (s *Sampler) Left(now float64) map[string]int {
	var out map[string]int
	for name, k := range s.kinds {
		if k.left > 0 && now-k.second >= 1000 {
			if out == nil {
				out = map[string]int{}
			}
			out[name], k.left = k.left, 0
		}
	}
	return out
}
