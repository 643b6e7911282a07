package tenant

// Usage counts a tenant's requests per minute and status, in constant memory. It is not safe for concurrent
// use.
type Usage struct {
	minutes [usageMinutes]Minute // ring buffer, indexed by minute modulo usageMinutes
}

// usageMinutes is the number of minutes kept: the last hour and the current minute.
const usageMinutes = 61

// Minute counts the requests of one minute by status. Requests that were within the limits but refused by
// the deciding module are not counted separately.
type Minute struct {
	At     int64 // minutes since 1970
	Counts [Suspended + 1]uint64
}

// Add counts a request at the time now, in ms since 1970.
func (u *Usage) Add(now float64, s QuotaStatus) {
	at := int64(now / 60e3)
	m := &u.minutes[at%usageMinutes]
	if m.At != at {
		*m = Minute{At: at}
	}
	m.Counts[s]++
}

// Since returns the non-empty minutes of the last hour, oldest first, up to and including the current
// minute.
func (u *Usage) Since(now float64) (out []Minute) {
	at := int64(now / 60e3)
	for minutesAgo := int64(usageMinutes - 1); minutesAgo >= 0; minutesAgo-- {
		if m := u.minutes[(at-minutesAgo)%usageMinutes]; m.At == at-minutesAgo && m.Counts != ([Suspended + 1]uint64{}) {
			out = append(out, m)
		}
	}
	return out
}
