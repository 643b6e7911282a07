package watch

import "math"

// settler says what a look at a watched file means. It has no clock and reads nothing: each look comes with its time in
// milliseconds and a sum of what was found.
//
// A file that is being written changes from look to look. A new content is judged once it has stood still for settle, or
// at once when nothing has stood still for hurry: the end line tells whole files from others, and drains can't wait for
// a writer that never rests. A bad one is told of only after patience, as it may still be in the making.
type settler struct {
	settle, patience, hurry float64 // ms

	inUse   sum
	pending sum
	since   float64 // when the pending content was first seen
	unrest  float64 // when the content in use was last seen, before the pending ones
	told    []sum   // bad contents that were told of, the latest last
}

// sum identifies what a look found.
type sum [32]byte

// verdict is what to do after a look.
type verdict int

const (
	rest  verdict = iota // nothing new
	later                // look again at the time given
	judge                // read it, and take it if it is good
)

// maxTold bounds the memory of bad contents.
const maxTold = 64

// see takes a look. With later comes the time of the next one.
func (s *settler) see(now float64, found sum) (verdict, float64) {
	if found == s.inUse {
		s.settled()
		return rest, 0
	}
	if s.unrest > now {
		s.unrest = now
	}
	if found != s.pending {
		s.pending, s.since = found, now
	}
	if now < s.since+s.settle && now < s.unrest+s.hurry {
		return later, min(s.since+s.settle, s.unrest+s.hurry)
	}
	return judge, 0
}

// taken tells that the pending content is in use now.
func (s *settler) taken() {
	s.inUse = s.pending
	s.settled()
}

// settled ends an episode: the content in use is what stands there. A bad one that comes back is told of again.
func (s *settler) settled() { s.pending, s.unrest, s.told = sum{}, math.Inf(1), nil }

// bad tells that the pending content is bad. It says whether to tell of it now, once for each content until a good one
// stands there again, or when to look again.
func (s *settler) bad(now float64) (tell bool, again float64) {
	for _, t := range s.told {
		if t == s.pending {
			return false, math.Inf(1)
		}
	}
	if now < s.since+s.patience {
		return false, s.since + s.patience
	}
	if len(s.told) == maxTold {
		s.told = append(s.told[:0], s.told[1:]...)
	}
	s.told = append(s.told, s.pending)
	return true, math.Inf(1)
}
