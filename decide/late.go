package decide

// Late handles that the router itself was late by so many ms until now, as its processor was busy or it was
// held up: the patience with attempts that were in flight is extended by that.
func (b *Balancer) Late(now, by float64) {
	b.advance(now)
	b.lateAt, b.lateBy = now, by
}

// extendPatience extends the patience with an attempt once for each time that the router itself was late
// since the attempt was sent, and reports whether it did.
func (b *Balancer) extendPatience(r *request, i int) bool {
	a := &r.attempts[i]
	if b.lateAt <= max(a.sentAt, a.extendedAt) {
		return false
	}
	a.extendedAt = b.now
	b.host.Timer(max(b.lateBy, minExpectedTime), stallToken(r, i))
	return true
}

// stallToken is the token of the timer after which an attempt counts as stalled.
func stallToken(r *request, i int) uint64 { return uint64(r.ID)<<8 | uint64(i+1) }
