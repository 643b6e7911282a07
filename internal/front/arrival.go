package front

// arrivalTracker determines when input read from a connection arrived. A client's deadline counts from
// then, however late the input is read. If a read had to wait, its input arrived at the end of the wait.
// Otherwise the input may have arrived at any time since the connection was last known to be empty, as the
// reader was busy (too many open commands, process stalled), and that time is used. Times are the engine's,
// in ms.
type arrivalTracker struct {
	earliest  float64 // earliest possible arrival of the last input
	lastEmpty float64 // when the connection was last known to hold no input
	readStart float64 // when the current read began
	flowing   bool    // the last read found its input already there
}

// minBlockedReadMS is the minimum duration, in ms, of a read that had to wait for input.
const minBlockedReadMS = 2

// readStarted is called before each read.
func (a *arrivalTracker) readStarted(now float64) { a.readStart = now }

// readFinished is called after a read of n bytes into a buffer of size bytes.
func (a *arrivalTracker) readFinished(now float64, n, size int) {
	if n == 0 {
		return
	}
	if a.flowing = now-a.readStart < minBlockedReadMS; !a.flowing {
		a.lastEmpty = now
	}
	if a.earliest = a.lastEmpty; n < size {
		a.lastEmpty = now
	}
}

// emptyAt records that the connection holds no input at a time at which nothing is read.
func (a *arrivalTracker) emptyAt(now float64) { a.lastEmpty = now }
