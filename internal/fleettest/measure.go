package fleettest

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Known is how long it took until the first, half and all of the others knew.
type Known struct{ First, Half, All time.Duration }

func (k Known) String() string {
	return fmt.Sprintf("%v/%v/%v", k.First.Round(time.Millisecond), k.Half.Round(time.Millisecond), k.All.Round(time.Millisecond))
}

// ViewTimes is what MeasureView finds.
type ViewTimes struct {
	Start, Heal    time.Duration // until views agree and the whole is in use
	Crash, Silence Known
}

// knew reads from the logs of some processes when each first called somebody by one of some words.
func (r *Rig) knew(within time.Duration, since time.Time, name string, nodes []int, words ...string) (k Known, err error) {
	var took []time.Duration
	_, err = r.Until(within, func() error {
		took = nil
		missing := ""
		for _, i := range nodes {
			before := len(took)
			for _, w := range r.Nodes[i].Words() {
				if w.Name == name && slices.Contains(words, w.State) && w.At.After(since.Add(-time.Millisecond)) {
					took = append(took, w.At.Sub(since))
					break
				}
			}
			if len(took) == before {
				log := r.Nodes[i].Log()
				missing += "\n" + r.Nodes[i].Name() + ": " + strings.Join(log[max(0, len(log)-4):], "\n")
			}
		}
		if len(took) < len(nodes) {
			return fmt.Errorf("%d of %d know of %s; not %s", len(took), len(nodes), name, missing)
		}
		return nil
	})
	if err != nil {
		return k, err
	}
	slices.Sort(took)
	return Known{took[0], took[(len(took)-1)/2], took[len(took)-1]}, nil
}

// calm is a time in which nothing is asked of the processes.
const calm = 3 * time.Second

// MeasureView starts as many processes as the options say and measures how long their view takes to know what happens.
func MeasureView(o Options) (t ViewTimes, err error) {
	r, err := New(o)
	if err != nil {
		return t, err
	}
	defer r.Close()
	all := r.All()
	agreed := func(nodes []int) (time.Duration, error) {
		return r.Until(30*time.Second, func() error {
			if err := r.Agree(nodes...); err != nil {
				return err
			}
			if sum := r.Spent(nodes...); sum < 0.999 || sum > 1+1e-9 {
				return fmt.Errorf("all may use %.3f of the whole", sum)
			}
			return nil
		})
	}
	began := time.Now()
	if err := r.Start(all...); err != nil {
		return t, err
	}
	if _, err = agreed(all); err != nil {
		return t, err
	}
	t.Start = time.Since(began).Round(time.Millisecond)
	doubts := 0
	for _, a := range r.Views(all...) {
		doubts += a.View.FailureSuspicion
	}
	r.say("doubt of all in themselves after being asked so often: %d", doubts)
	r.pause(calm) // asking all for their views starves them, where cores are few
	n := len(all)
	others := slices.Delete(slices.Clone(all), n/3, n/3+1)
	began = time.Now()
	r.Nodes[n/3].Kill()
	if t.Crash, err = r.knew(30*time.Second, began, r.Nodes[n/3].Name(), others, "gone"); err != nil {
		return t, err
	}
	r.pause(calm)
	hung := others[n/2]
	rest := slices.DeleteFunc(slices.Clone(others), func(i int) bool { return i == hung })
	began = time.Now()
	r.Nodes[hung].Stop()
	if t.Silence, err = r.knew(30*time.Second, began, r.Nodes[hung].Name(), rest, "silent"); err != nil {
		return t, err
	}
	r.Nodes[hung].Continue()
	if _, err = agreed(others); err != nil {
		return t, err
	}
	r.Split(func(i int) int { return i % 2 })
	r.pause(20 * time.Second)
	began = time.Now()
	r.Heal()
	if _, err = agreed(others); err != nil {
		return t, err
	}
	t.Heal = time.Since(began).Round(time.Millisecond)
	return t, nil
}
