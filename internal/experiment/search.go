package experiment

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"

	"mossproxy.example/mossproxy/internal/model"
)

// Finding is a schedule that breaks a rule, shrunk to what it takes.
type Finding struct {
	Config model.Config
	First  model.Violation
	Runs   int // after how many it was found
}

// SearchOptions are those of a search.
type SearchOptions struct {
	Requests int // that are played at least, over all runs
	Seed     uint64
	Workers  int
	Most     int // findings after which it ends; 0 = 1
	Done     func(requests int, nearest Nearest)
}

// Nearest is how near the nearest sound run came to a bound, 1 = there, and to which.
type Nearest struct {
	Part float64
	What string
}

// poolSize is how many schedules that came near a bound are changed on, and freshPart the part of the runs that begin anew.
const (
	poolSize  = 32
	freshPart = 0.25
	maxDrawn  = 12 // faults of a schedule
)

// candidate is a schedule with how near it came.
type candidate struct {
	c    model.Config
	near float64
}

// Search draws schedules of faults on a scenario, plays them, and changes on what came near a rule's bound, until so many requests are played
// or so many schedules are found that break one. With one worker it is the same each time; several share what came near, in the order in which
// they end. It gives the requests that it played, and how near the nearest sound run came (1 = the bound).
func (s *Scenario) Search(ctx context.Context, o SearchOptions) (found []Finding, requests int, nearest Nearest, err error) {
	var mu sync.Mutex
	var pool []candidate
	runs := 0
	var wg sync.WaitGroup
	for n := range max(1, o.Workers) {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(o.Seed, uint64(n)+100))
			for {
				mu.Lock()
				over := ctx.Err() != nil || err != nil || requests >= o.Requests || len(found) >= max(1, o.Most)
				base := s.Config
				if len(pool) > 0 && rng.Float64() > freshPart {
					base = pool[rng.IntN(len(pool))].c
				}
				mu.Unlock()
				if over {
					return
				}
				c := changed(base, rng)
				out, check, e := playOnce(c)
				mu.Lock()
				if runs++; e != nil {
					err = e
					mu.Unlock()
					return
				}
				requests += out.Asked
				v := check.Violations()
				near, what := check.Near()
				if len(v) == 0 {
					if near > nearest.Part {
						nearest = Nearest{near, what}
					}
					pool = keep(pool, candidate{c, near})
				}
				at := runs
				if o.Done != nil {
					o.Done(requests, nearest)
				}
				mu.Unlock()
				if len(v) == 0 {
					continue
				}
				small, first := shrink(c, v[0].Rule)
				mu.Lock()
				if len(found) < max(1, o.Most) {
					found = append(found, Finding{small, first, at})
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return found, requests, nearest, err
}

func playOnce(c model.Config) (*model.Outcome, *model.Checker, error) {
	check := model.NewChecker(&c)
	w, err := model.New(c, check)
	if err != nil {
		return nil, nil, fmt.Errorf("search: %w", err)
	}
	out := w.Run()
	check.End(c.For + 60e3)
	return out, check, nil
}

// keep keeps the nearest candidates.
func keep(pool []candidate, x candidate) []candidate {
	pool = append(pool, x)
	slices.SortStableFunc(pool, func(a, b candidate) int {
		switch {
		case a.near > b.near:
			return -1
		case a.near < b.near:
			return 1
		}
		return 0
	})
	return pool[:min(len(pool), poolSize)]
}

// changed is a configuration with one to three changes.
func changed(c model.Config, rng *rand.Rand) model.Config {
	c.Faults = slices.Clone(c.Faults)
	c.Seed = rng.Uint64()
	for range 1 + rng.IntN(3) {
		switch n := len(c.Faults); {
		case n == 0 || n < maxDrawn && rng.IntN(3) == 0:
			c.Faults = append(c.Faults, drawn(&c, rng))
		case rng.IntN(4) == 0:
			c.Faults = slices.Delete(c.Faults, 0, 1)
		case rng.IntN(2) == 0:
			f := &c.Faults[rng.IntN(n)]
			f.At = math.Max(0, math.Min(c.For, f.At+4000*rng.NormFloat64()))
		case rng.IntN(3) == 0:
			f := &c.Faults[rng.IntN(n)]
			f.For = math.Max(100, f.For*(0.5+rng.Float64()))
		default:
			c.Load = math.Max(0.1, math.Min(2, c.Load+0.15*rng.NormFloat64()))
		}
	}
	for i := range c.Faults { // whole ms, so that a script says the same
		c.Faults[i].At, c.Faults[i].For = math.Round(c.Faults[i].At), math.Round(c.Faults[i].For)
	}
	return c
}

// drawn is a fault of any kind.
func drawn(c *model.Config, rng *rand.Rand) model.Fault {
	f := model.Fault{Kind: model.Kind(rng.IntN(int(model.Stop) + 1)), At: c.For * rng.Float64(), For: 500 + 15e3*rng.Float64()}
	switch f.Kind {
	case model.Restart:
		f.Who = rng.IntN(c.Routers)
	case model.Cut:
		f.Who, f.To = rng.IntN(len(c.Zones)), rng.IntN(len(c.Zones))
	case model.Stop:
	default:
		f.Who = rng.IntN(c.Servers)
	}
	return f
}

// shrink takes faults away, and then time, as long as the same rule breaks (greedily, as delta debugging does; A. Zeller, 2002).
func shrink(c model.Config, rule int) (model.Config, model.Violation) {
	breaks := func(c model.Config) (model.Violation, bool) {
		_, check, err := playOnce(c)
		if err != nil {
			return model.Violation{}, false
		}
		i := slices.IndexFunc(check.Violations(), func(v model.Violation) bool { return v.Rule == rule })
		if i < 0 {
			return model.Violation{}, false
		}
		return check.Violations()[i], true
	}
	first, _ := breaks(c)
	for again := true; again; {
		again = false
		for i := range c.Faults {
			less := c
			less.Faults = slices.Delete(slices.Clone(c.Faults), i, i+1)
			if v, ok := breaks(less); ok {
				c, first, again = less, v, true
				break
			}
		}
	}
	if end := math.Ceil(first.Event.At/1000)*1000 + 1000; end > 0 && end < c.For {
		less := c
		less.For = end
		if v, ok := breaks(less); ok {
			c, first = less, v
		}
	}
	return c, first
}

// Script is a finding as a scenario, which a test can play. The seed belongs to it.
func (f *Finding) Script(name string) string {
	var b strings.Builder
	c := &f.Config
	fmt.Fprintf(&b, "# Found by search after %d runs: %v.\n# Play it with --from %d --seeds 1.\n", f.Runs, f.First, c.Seed)
	fmt.Fprintf(&b, "service(name = %q, version = %d%s)\n", name, Version, said(c))
	for _, x := range c.Faults {
		fmt.Fprintf(&b, "fault(%q, at_s = %v, for_s = %v, who = %d, to = %d)\n", x.Kind, x.At/1000, x.For/1000, x.Who, x.To)
	}
	return b.String()
}
