package tenant

// Usage counts what a tenant's requests were, by minute. Its memory is that of the minutes it keeps, whatever is counted; who counts
// from several goroutines guards it.
type Usage struct {
	minutes [usageMinutes]Minute // by minute modulo their number
}

// usageMinutes are kept: an hour, and the minute that runs.
const usageMinutes = 61

// Minute is one minute's requests by their standing. Refused ones that were within limits are not told apart here: the module refuses.
type Minute struct {
	At     int64 // minutes since 1970
	Counts [Suspended + 1]uint64
}

// Add counts a request at a time in ms.
func (u *Usage) Add(now float64, s QuotaStatus) {
	at := int64(now / 60e3)
	m := &u.minutes[at%usageMinutes]
	if m.At != at {
		*m = Minute{At: at}
	}
	m.Counts[s]++
}

// Since gives the minutes of the last hour in which anything was counted, oldest first, and the one that runs last.
func (u *Usage) Since(now float64) (out []Minute) {
	at := int64(now / 60e3)
	for back := int64(usageMinutes - 1); back >= 0; back-- {
		if m := u.minutes[(at-back)%usageMinutes]; m.At == at-back && m.Counts != ([Suspended + 1]uint64{}) {
			out = append(out, m)
		}
	}
	return out
}
