package model

import (
	"math"
	"slices"
)

// Outcome is what came of a run. Worth is counted for each unit of work, in time or not at all, as on the platform.
type Outcome struct {
	Asked   int
	ByClass []ClassOutcome
	Seconds []Second // of the run, by when the request was asked
	Worth   float64  // part of the worth asked for that was served in time, 0 to 1
	Fetches int      // at the origin
	Hits    float64  // part of the reads that came to servers which had them
	Events  uint64
}

// ClassOutcome is one class's.
type ClassOutcome struct {
	Name                                string
	Asked, InTime, Late, Refused, Ended int // Ended: the client gave up, or was told of a failure
	Worth                               float64
	P50, P99                            float64 // ms of what was served
}

// Second is one second of a run.
type Second struct{ Asked, Got float64 } // worth

// tally counts.
type tally struct {
	classes       []ClassOutcome
	asks, gots    []float64
	took          [][]float32
	seconds       []Second
	fetches       int
	reads, misses int
}

// maxTook bounds the latencies that are kept of each class, for quantiles.
const maxTook = 1 << 20

func (t *tally) init(c *Config) {
	t.seconds = make([]Second, int(c.For/1000)+1)
	for _, k := range c.Classes {
		t.classes = append(t.classes, ClassOutcome{Name: k.Name})
	}
	t.asks, t.gots, t.took = make([]float64, len(c.Classes)), make([]float64, len(c.Classes)), make([][]float32, len(c.Classes))
}

func worth(q *request) float64 { return q.class.Worth * q.work }

func (t *tally) second(q *request) *Second {
	return &t.seconds[min(len(t.seconds)-1, int((q.born-epoch)/1000))]
}

func (t *tally) asked(q *request) {
	t.classes[q.classNo].Asked++
	t.asks[q.classNo] += worth(q)
	t.second(q).Asked += worth(q)
}

func (t *tally) served(q *request, now float64) {
	if q.done {
		return
	}
	q.done = true
	c, took := &t.classes[q.classNo], now-q.born
	if len(t.took[q.classNo]) < maxTook {
		t.took[q.classNo] = append(t.took[q.classNo], float32(took))
	}
	if took > q.class.Aim {
		c.Late++
		return
	}
	c.InTime++
	t.gots[q.classNo] += worth(q)
	t.second(q).Got += worth(q)
}

func (t *tally) ended(q *request, why Result) {
	if q.done {
		return
	}
	if q.done = true; why == Refused {
		t.classes[q.classNo].Refused++
	} else {
		t.classes[q.classNo].Ended++
	}
}

func (t *tally) outcome(w *World) *Outcome {
	o := &Outcome{Asked: w.asked, ByClass: t.classes, Seconds: t.seconds, Fetches: t.fetches, Hits: 1 - float64(t.misses)/math.Max(1, float64(t.reads)), Events: w.events.seq}
	asked, got := 0.0, 0.0
	for i := range t.classes {
		c := &t.classes[i]
		asked, got = asked+t.asks[i], got+t.gots[i]
		c.Worth = t.gots[i] / math.Max(t.asks[i], 1e-9)
		if took := t.took[i]; len(took) > 0 {
			slices.Sort(took)
			c.P50, c.P99 = float64(took[len(took)/2]), float64(took[len(took)*99/100])
		}
	}
	o.Worth = got / math.Max(asked, 1e-9)
	return o
}
