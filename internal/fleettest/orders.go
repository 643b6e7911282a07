package fleettest

import (
	"fmt"
	"time"
)

// kind is a class of requests that the load sends.
type kind struct {
	name  string
	share float64 // of requests
	worth float64
}

// one is the only class of the usual load, worths are those of an overload: the best of them alone fits at three times what the servers can do.
var (
	one    = []kind{{"read", 1, 1}}
	worths = []kind{{"gold", 0.2, 10}, {"read", 0.5, 1}, {"bulk", 0.3, 0.1}}
)

// config is the classes as a configuration has them.
func configOf(kinds []kind) (text string) {
	for _, k := range kinds {
		text += fmt.Sprintf("[[class]]\nname = %q\neffect = \"repeatable\"\naim_ms = %d\ndeadline_ms = %d\nworth = %g\n", k.name, loadAim.Milliseconds(),
			loadDeadline.Milliseconds(), k.worth)
	}
	return text
}

// defaults fills in what is not said, and returns the classes that are sent.
func (o *LoadOptions) defaults() []kind {
	if o.Slower <= 0 {
		o.Slower = 1
	}
	if o.Tries == 0 {
		o.Tries = loadTries
	}
	if o.Keys == 0 {
		o.Keys = loadKeys
	}
	if o.Fill == 0 {
		o.Fill = 12 * time.Second
	}
	if o.Overload > 0 || o.Orders != nil {
		return worths
	}
	return one
}

// Order is a phase to be played.
type Order struct {
	Name    string
	Rate    float64 // requests a second
	For     time.Duration
	Trouble string // that comes with it; "" = none
}

// Can is what the servers of a load can do in a second, when they hold what is asked for.
func Can(slower float64) float64 { return loadServers * 1000 / (loadWork * slower) }

// orders are the phases of a load. What the servers can do is that of all caches together, when they hold what is asked for.
func (o LoadOptions) orders() (out []Order) {
	if o.Orders != nil {
		return o.Orders
	}
	if o.Overload == 0 {
		out = []Order{{"filling", o.Rate, o.Phase, ""}, {"calm", o.Rate, o.Phase, ""}, {serversLost, o.Rate, o.Phase, serversLost}}
		if o.KillRouters {
			out = append(out, Order{routersLost, o.Rate, o.Phase, routersLost})
		}
		return out
	}
	can := Can(o.Slower)
	return []Order{{"filling", 0.5 * can, o.Fill, ""}, {"before", 0.8 * can, o.Phase / 2, ""}, {"overload, first second", o.Overload * can, time.Second, ""},
		{"rest of it", o.Overload * can, o.Phase - time.Second, o.During}, {"3 s after", 0.8 * can, 3 * time.Second, ""}, {"later", 0.8 * can, o.Phase / 2, ""}}
}
