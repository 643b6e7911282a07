package main

import (
	"errors"
	"fmt"
	"time"
)

// Bounds of the rule on drains, in seconds.
const (
	drainGrace     = 0.5  // rules.drainGrace
	socketSlack    = 0.05 // each time limit is so much longer on sockets
	toldAfterQuiet = 6.0  // after a watch fell silent, at the latest,
	toldAfterWait  = 2.0  // or so long after the wait of the call is over, if that is later
	measureSlack   = 0.1  // for the stand-in to read its clock
)

// silentWatch: where discovery is asked, the router's open watch falls silent once; then a cache server begins to
// drain. Discovery can be reached all the time.
func silentWatch(r *run) error {
	var list []entry
	var caches []*cacheServer
	for i := range 4 {
		s, err := r.startCache(fmt.Sprintf("s-0000000%d", i+1))
		if err != nil {
			return err
		}
		caches, list = append(caches, s), append(list, s.entry())
	}
	o, err := r.startOrigin()
	if err != nil {
		return err
	}
	list = append(list, o.entry())
	d, err := r.startDiscovery(append([]entry{}, list...))
	if err != nil {
		return err
	}
	p, err := r.startRouter("n0", d.addr, settings("ask", 2500), list, false)
	if err != nil {
		return err
	}
	stop := make(chan struct{})
	defer close(stop)
	r.readLoad(p.listen, 4, 50*time.Millisecond, stop)
	time.Sleep(2 * time.Second)

	open := d.open()
	if len(open) != 1 {
		return fmt.Errorf("%d watches are open, 1 was expected", len(open))
	}
	drained := caches[1]
	if len(drained.after(0)) == 0 {
		return errors.New("the server that is to drain got no request")
	}
	silentAt := r.now()
	if r.trouble {
		d.silence()
	}
	time.Sleep(500 * time.Millisecond)
	told := r.now()
	d.setState(drained.id, "leaving")
	if r.trouble {
		told = max(silentAt+toldAfterQuiet, open[0].at+open[0].wait+toldAfterWait)
	}
	limit := told + drainGrace + socketSlack
	r.note("check", fmt.Sprintf("the change counts as told at %.3f at the latest; no attempt may begin at %s after %.3f", told, drained.id, limit))
	time.Sleep(time.Duration((limit + 4 - r.now()) * float64(time.Second)))

	late := drained.after(limit + measureSlack)
	if len(late) == 0 {
		return nil
	}
	last := late[len(late)-1]
	return fmt.Errorf("%w: drain: %d attempts began at %s after %.3f, when it was told to drain and the grace was over, the last at %.3f (id %s)",
		errBroken, len(late), drained.id, limit, last.at, last.id)
}
