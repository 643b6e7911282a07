package decide

// ShiftTimes moves all times by some ms, onto the clock of the process that takes what was learned. Times of 0 are long ago and stay so.
func (l *Learned) ShiftTimes(by float64) {
	move := func(times ...*float64) {
		for _, t := range times {
			if *t != 0 {
				*t += by
			}
		}
	}
	move(&l.StartedAt, &l.Arrivals.Updated, &l.FleetLatency.Updated, &l.FetchLatency.Updated)
	for name, u := range l.TenantUse {
		move(&u.Updated)
		l.TenantUse[name] = u
	}
	for i := range l.Servers {
		s := &l.Servers[i]
		move(&s.Started, &s.LastReply, &s.TrialAt, &s.TrialOverdue, &s.ColdSince, &s.SendBudget.Updated, &s.SentWork.Updated, &s.ReportedAt, &s.Capacity.Updated, &s.Latency.Updated)
	}
	for i := range l.Keys {
		move(&l.Keys[i].StoredAt, &l.Keys[i].Rate.Updated)
	}
}
