package front

// arrivalTracker says when what was read from a connection has come: a client's deadline counts from then, however late it is looked at. What a
// read had to wait for has come just then. What it found may have come at any time since the connection was last known to hold no input,
// as the reader was away (too many commands were open, the process was held up), and that time is taken. Times are the engine's, in ms.
type arrivalTracker struct {
	earliest  float64 // when the last input came, at the earliest
	lastEmpty float64 // when the connection was last known to hold no input
	readStart float64 // when the read that goes on began
}

// minBlockedReadMS is how long, in ms, a read takes at least that had to wait for input.
const minBlockedReadMS = 2

// readStarted is called ahead of a read.
func (a *arrivalTracker) readStarted(now float64) { a.readStart = now }

// readFinished is called behind a read of n bytes into room for some.
func (a *arrivalTracker) readFinished(now float64, n, room int) {
	if n == 0 {
		return
	}
	if now-a.readStart >= minBlockedReadMS {
		a.lastEmpty = now
	}
	if a.earliest = a.lastEmpty; n < room {
		a.lastEmpty = now
	}
}
