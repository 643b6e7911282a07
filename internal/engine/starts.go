package engine

import "maps"

// maxListDelay is how late, in ms, the list may tell of a start.
const maxListDelay = 10_000

// maxUnlistedStarts bounds the starts that are remembered beside those of listed servers.
const maxUnlistedStarts = 4096

// startTime is when a process of a server began: as a list has it, by another machine's wall clock, and on the engine's clock.
type startTime struct{ listed, at float64 }

// startTimes puts the starts of servers on the engine's clock. The wall clock of either machine may be wrong or be stepped, and a start that is
// taken for one of an hour ago would have a cold server get the requests of a warm one.
type startTimes struct {
	known      map[uint32]startTime
	lastListAt float64 // when the source of lists was last heard; 0 = not yet
}

// onEngineClock is a server's start on the engine's clock. One ahead of that clock, or one that the list of before would have shown already, is
// taken for one of now: the clocks differ, and nothing better is known.
func (s *startTimes) onEngineClock(id uint32, listed, now float64) float64 {
	if !(listed > 0) {
		return listed
	}
	if k, ok := s.known[id]; ok && k.listed == listed {
		return k.at
	}
	at := listed
	if listed > now || s.lastListAt > 0 && listed < s.lastListAt-maxListDelay {
		at = now
	}
	s.record(id, startTime{listed, at})
	return at
}

// record books a start.
func (s *startTimes) record(id uint32, known startTime) {
	if s.known == nil {
		s.known = map[uint32]startTime{}
	}
	s.known[id] = known
}

// listReceived books that the source of lists was heard. Starts of servers that are no longer listed are forgotten where there are very many.
func (s *startTimes) listReceived(now float64, targets map[uint32]*server) {
	s.lastListAt = now
	if len(s.known) > len(targets)+maxUnlistedStarts {
		maps.DeleteFunc(s.known, func(id uint32, _ startTime) bool { return targets[id] == nil })
	}
}
