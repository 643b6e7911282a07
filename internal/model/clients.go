package model

import (
	"math"

	"mossproxy.example/mossproxy/decide"
)

// rate is the requests a second just now: the load swells and falls in a wave.
func (w *World) rate() float64 {
	c := &w.cfg
	work := 0.0
	for _, k := range c.Classes {
		if !k.Write { // the origin does those
			work += k.Share * k.Work
		}
	}
	mean := c.Load * c.capacity(w.servers[:c.Servers]) / math.Max(work, 1e-9)
	return mean * (1 + c.Swing*math.Sin(2*math.Pi*(w.now-epoch)/c.Wave))
}

// arrive draws the next request of the load, by thinning (Lewis and Shedler, 1979): the wave is slow beside the time between two.
func (w *World) arrive() {
	if w.now >= epoch+w.cfg.For {
		return
	}
	w.after(w.expo()/math.Max(w.rate(), 1e-6)*1000, event{kind: evArrive})
	q := &request{no: w.asked, born: w.now, zone: w.rng.IntN(len(w.cfg.Zones)), tenant: "member"}
	w.asked++
	u := w.rng.Float64()
	for q.classNo = 0; q.classNo < len(w.cfg.Classes)-1; q.classNo++ {
		if u -= w.cfg.Classes[q.classNo].Share; u < 0 {
			break
		}
	}
	q.class = &w.cfg.Classes[q.classNo]
	q.key = mix(w.zipf.Uint64() + 1)
	q.work = q.class.Work * w.part()
	q.hint = q.work * (0.5 + w.rng.Float64()) // rough
	w.note(Record{What: Asked, Request: q.no, Router: -1, Server: -1, Class: q.classNo})
	w.tally.asked(q)
	w.try(q)
}

// mix is the finaliser of SplitMix64: keys that are popular are no neighbours.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// try sends a request to the router that the front layer picks: in turn those of the client's site that it takes to be up, else any.
func (w *World) try(q *request) {
	q.tries++
	var r *router
	for pass := 0; pass < 2 && r == nil; pass++ {
		for range w.routers {
			w.turn[q.zone]++
			x := w.routers[w.turn[q.zone]%len(w.routers)]
			if x.known && (pass == 1 || x.zone == q.zone) {
				r = x
				break
			}
		}
	}
	if r == nil {
		w.after(w.cfg.Backoff, event{kind: evRefusal, q: &try{req: q}})
		return
	}
	w.after(w.way(q.zone, r.zone), event{kind: evTry, q: &try{req: q, r: r}})
}

// come is a try's arrival at its router.
func (w *World) come(q *try) {
	k := q.req.class
	q.until = math.Min(q.req.born+k.Deadline, w.now+w.cfg.TryShare*k.Deadline)
	if !q.r.up || q.until <= w.now {
		w.after(w.way(q.r.zone, q.req.zone), event{kind: evRefusal, q: q})
		return
	}
	q.r.take(q)
}

// answered is an answer's arrival at its client.
func (w *World) answered(q *try) {
	if q.result == Served {
		w.tally.served(q.req, w.now)
		return
	}
	w.again(q.req, q.result, q.wait)
}

// again has a client try once more, where that is safe and there is time: after a refusal, or where nothing was taken, and after a failure
// of what is safe to repeat.
func (w *World) again(q *request, why Result, wait float64) {
	wait = math.Max(wait, w.cfg.Backoff)
	safe := why == Refused || q.class.Effect == decide.Repeatable || why == Lost
	if q.done || !safe || q.tries > w.cfg.Retries || w.now+wait >= q.born+q.class.Deadline {
		w.tally.ended(q, why)
		return
	}
	w.after(wait, event{kind: evRetry, q: &try{req: q}})
}
