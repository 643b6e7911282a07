package fleettest

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"mossproxy.example/mossproxy/internal/model/fleetnet"
)

// Play carries out a schedule of faults on real processes: the same that fleetnet plays in virtual time. All processes have to run. It
// returns when the last fault is over, with the numbers of those that are to be up then. Who is off says nothing until it is started
// again; nobody joins, as places are given at the start.
func (r *Rig) Play(s fleetnet.Schedule) (up []int, err error) {
	r.say("schedule: %v", s)
	type order struct {
		at  float64
		do  func(p *playing) error
		who string
	}
	p := &playing{Rig: r, on: map[int]fleetnet.Fault{}, dead: map[int]bool{}}
	var orders []order
	for i, f := range s.Faults {
		orders = append(orders, order{f.At, func(p *playing) error { return p.begin(i, f) }, f.Kind}, order{f.At + f.For, func(p *playing) error { return p.over(i, f) }, f.Kind})
	}
	slices.SortStableFunc(orders, func(a, b order) int {
		switch {
		case a.at < b.at:
			return -1
		case a.at > b.at:
			return 1
		}
		return 0
	})
	r.Links("as scheduled", p.link)
	began := time.Now()
	for _, o := range orders {
		r.pause(time.Until(began.Add(time.Duration(o.at * float64(time.Millisecond)))))
		if err := o.do(p); err != nil {
			return nil, fmt.Errorf("%s at %.0f ms: %w", o.who, o.at, err)
		}
	}
	r.Heal()
	for i := range r.Nodes {
		if !p.dead[i] {
			up = append(up, i)
		}
	}
	return up, nil
}

// playing is a schedule under way.
type playing struct {
	*Rig
	mu   sync.Mutex
	on   map[int]fleetnet.Fault // links' faults in force
	dead map[int]bool
}

func (p *playing) node(f fleetnet.Fault) (*Node, int) {
	i := f.Who[0] % len(p.Nodes)
	return p.Nodes[i], i
}

func (p *playing) begin(i int, f fleetnet.Fault) error {
	n, k := p.node(f)
	switch f.Kind {
	case "kill", "restart":
		n.Kill()
		p.dead[k] = true
	case "stop":
		if !p.dead[k] {
			n.Stop()
		}
	case "leave":
		if !p.dead[k] {
			n.Continue() // a stopped one can't say goodbye
			n.Term()
			p.dead[k] = true
		}
	case "join", "slow", "replace", "rename", "load": // places are given; processes are as fast as they are, and have no way to hand over
	default:
		p.say("begin %s %v for %.0f ms", f.Kind, f.Who, f.For)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.on[i] = f
	}
	return nil
}

func (p *playing) over(i int, f fleetnet.Fault) error {
	n, k := p.node(f)
	switch f.Kind {
	case "restart":
		if p.dead[k] {
			p.dead[k] = false
			return n.Start()
		}
	case "stop":
		if !p.dead[k] {
			n.Continue()
		}
	default:
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.on, i)
	}
	return nil
}

// link is what the faults in force make of a link.
func (p *playing) link(a, b int) (l Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var made fleetnet.Link
	for _, f := range p.on {
		if f.Kind == "off" { // its process lives, and nobody hears of it
			f.Kind = "alone"
		}
		f.Apply(&made, a, b)
	}
	return Link{Cut: made.Cut, Loss: made.Loss, Double: made.Double, Jitter: time.Duration(made.Jitter * float64(time.Millisecond))}
}
