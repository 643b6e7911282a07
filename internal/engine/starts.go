package engine

import "maps"

// maxListDelay is how late, in ms, the list may report a start.
const maxListDelay = 10_000

// maxUnlistedStarts limits the start times kept in addition to those of listed servers.
const maxUnlistedStarts = 4096

// startTime is when a server process started: as listed, by another machine's wall clock, and on the engine's
// clock.
type startTime struct{ listed, at float64 }

// startTimes converts start times of servers to the engine's clock. The wall clock of either machine may be
// wrong or stepped: a recent start that looks an hour old would send a cold server the load of a warm one.
type startTimes struct {
	known      map[uint32]startTime
	lastListAt float64 // when the source last delivered a list; 0 = not yet
}

// onEngineClock returns a server's start time on the engine's clock. A start ahead of that clock, or one that
// the previous list should already have shown, is taken as now: the clocks differ, and nothing better is
// known.
func (s *startTimes) onEngineClock(id uint32, listed, now float64) float64 {
	if !(listed > 0) {
		return listed
	}
	if known, ok := s.known[id]; ok && known.listed == listed {
		return known.at
	}
	at := listed
	if listed > now || s.lastListAt > 0 && listed < s.lastListAt-maxListDelay {
		at = now
	}
	s.record(id, startTime{listed, at})
	return at
}

// record stores a start time.
func (s *startTimes) record(id uint32, known startTime) {
	if s.known == nil {
		s.known = map[uint32]startTime{}
	}
	s.known[id] = known
}

// listReceived records that the source has delivered a list. If very many start times are stored, those of
// servers no longer listed are removed.
func (s *startTimes) listReceived(now float64, targets map[uint32]*server) {
	s.lastListAt = now
	if len(s.known) > len(targets)+maxUnlistedStarts {
		maps.DeleteFunc(s.known, func(id uint32, _ startTime) bool { return targets[id] == nil })
	}
}
