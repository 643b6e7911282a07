package fleetnet

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"

	"mossproxy.example/mossproxy/decide"
	"mossproxy.example/mossproxy/internal/pure/fleet"
)

// Fault is one order of a schedule: what, to whom, from when on and for how long, in ms from the start.
type Fault struct {
	Kind     string
	At, For  float64
	Who      []int   // routers, by number; a partition's sides: of each router
	Strength float64 // of a loss or delay
}

// Schedule is a run: routers that start, faults, and a time after the last fault in which all has to settle.
type Schedule struct {
	Seed    uint64
	Routers int
	Faults  []Fault
	Quiet   float64
	Lends   bool // routers lend each other their parts, as drawn work needs
	Lines   bool // and settle a line of worth: all are asked for much more than servers can do
}

func (s Schedule) config(i int) fleet.Config {
	if s.Lends {
		return Lending(i)
	}
	return Config(i)
}

// String is the schedule as one line, to be read in a failed test.
func (s Schedule) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d, %d routers", s.Seed, s.Routers)
	for _, f := range s.Faults {
		fmt.Fprintf(&b, "; %s@%.0f+%.0f%v", f.Kind, f.At, f.For, f.Who)
		if f.Strength > 0 {
			fmt.Fprintf(&b, "x%.2f", f.Strength)
		}
	}
	return b.String()
}

// faults are the kinds that Draw knows, and how often each comes.
var faults = []struct {
	kind   string
	weight int
}{{"split", 3}, {"one-way", 2}, {"pair", 2}, {"alone", 2}, {"loss", 2}, {"jitter", 1}, {"double", 1}, {"kill", 3}, {"off", 2}, {"stop", 3}, {"restart", 3},
	{"leave", 1}, {"join", 2}, {"slow", 1}, {"replace", 2}, {"rename", 1}, {"load", 3}}

// lengths are those of faults: most are short, some go past the memory that a right to a part has.
var lengths = []float64{300, 1000, 3000, 8000, 20000, 40000, 75000, 130000}

// Draw makes up a schedule.
func Draw(seed uint64) Schedule {
	rng := rand.New(rand.NewPCG(seed, 11))
	s := Schedule{Seed: seed, Routers: 2 + rng.IntN(10), Quiet: 20e3}
	total := 0
	for _, f := range faults {
		total += f.weight
	}
	for range 1 + rng.IntN(5) {
		at := rng.IntN(total)
		kind := ""
		for _, f := range faults {
			if at -= f.weight; at < 0 {
				kind = f.kind
				break
			}
		}
		f := Fault{Kind: kind, At: rng.Float64() * 40e3, For: lengths[rng.IntN(len(lengths))], Strength: 0.05 + 0.4*rng.Float64()}
		switch kind {
		case "split":
			parts := 2 + rng.IntN(2)
			for range 2 * s.Routers { // those who join too
				f.Who = append(f.Who, rng.IntN(parts))
			}
		case "one-way", "pair":
			f.Who = []int{rng.IntN(s.Routers), rng.IntN(s.Routers)}
		default:
			f.Who = []int{rng.IntN(s.Routers)}
		}
		s.Faults = append(s.Faults, f)
	}
	return s
}

// Play runs a schedule. An error says which promise was broken, and when.
func (s Schedule) Play() error {
	n := New(s.Seed)
	for i := range s.Routers {
		n.Start(s.config(i))
	}
	p := &player{Net: n, faults: s.Faults, on: make([]bool, len(s.Faults)), config: s.config}
	for i, nd := range n.Nodes {
		nd.Rate = float64(i % 3) // some have little work, some none
	}
	look := func(do func()) func() {
		return func() {
			s.ask(n)
			do()
		}
	}
	n.Link = p.link
	end, began := 0.0, n.Now
	for i, f := range s.Faults {
		n.after(f.At, func() { p.begin(i, f) })
		n.after(f.At+f.For, func() { p.end(i, f) })
		end = max(end, f.At+f.For)
	}
	var broken error
	n.Run(began+end+10, look(func() {
		if broken == nil {
			broken = n.Overspent()
		}
	}))
	if broken != nil {
		return broken
	}
	limit := n.Now + s.Quiet
	for n.Now < limit && n.Settled() != nil && broken == nil {
		n.Run(n.Now+tickMS, look(func() { broken = n.Overspent() }))
	}
	if broken != nil {
		return broken
	}
	if err := n.Settled(); err != nil {
		return fmt.Errorf("%.0f ms after the last fault: %w", s.Quiet, err)
	}
	if !s.Lines {
		return nil
	}
	return s.oneLine(n, look)
}

// ask has each router be asked for as much as its number says, of three worths.
func (s Schedule) ask(n *Net) {
	if !s.Lines {
		return
	}
	for i, nd := range n.Nodes {
		much := 60 * float64(1+i%4)
		nd.Asks, nd.Room = [decide.NumBands]float64{0: 0.2 * much, 6: 0.5 * much, 13: 0.3 * much}, linesRoom
	}
}

// linesRoom is what the servers of such a schedule can do in a second.
const linesRoom = 240

// oneLine says what is wrong with the line that routers have once they had time to settle it: over some seconds it lets pass what servers can do, and
// two routers seldom differ.
func (s Schedule) oneLine(n *Net, look func(func()) func()) error {
	var over, differ, times, asked float64
	began := n.Now
	n.Run(began+18e3, look(func() {
		if n.Now < began+8e3 {
			return
		}
		o, d := n.Over()
		over, differ, times, asked = over+o, differ+d, times+1, 0
		for _, nd := range n.Running() {
			for _, x := range nd.Asks {
				asked += x
			}
		}
	}))
	parts := 0.0 // one that is nobody's yet, as its owner may still act, is not used
	for _, nd := range n.Running() {
		parts += nd.ofWarm()
	}
	want := min(1, linesRoom*parts/asked)
	if over, differ := over/times, differ/times; over < 0.85*want || over > 1.15*want || differ > 0.06 {
		return fmt.Errorf("settled, lines let %.3f pass where %.3f are right, and two routers differ about %.3f", over, want, differ)
	}
	return nil
}

// PlayDrawn plays so many drawn schedules, on all cores, with or without loans and lines, until one fails.
func PlayDrawn(schedules int, lends, lines bool) error {
	var wg sync.WaitGroup
	var failed atomic.Pointer[error]
	workers := runtime.GOMAXPROCS(0)
	for w := range workers {
		wg.Go(func() {
			for seed := w; seed < schedules && failed.Load() == nil; seed += workers {
				s := Draw(uint64(seed))
				s.Lends, s.Lines = lends, lines
				if err := s.Play(); err != nil {
					err = fmt.Errorf("%v: %w", s, err)
					failed.CompareAndSwap(nil, &err)
				}
			}
		})
	}
	wg.Wait()
	if err := failed.Load(); err != nil {
		return *err
	}
	return nil
}

// player carries out faults.
type player struct {
	*Net
	faults []Fault
	on     []bool // those of links that are in force
	config func(i int) fleet.Config
}

func (p *player) node(i int) *Node { return p.Nodes[i%len(p.Nodes)] }

func (p *player) begin(i int, f Fault) {
	switch f.Kind {
	case "kill", "restart":
		p.node(f.Who[0]).Kill()
	case "off":
		p.node(f.Who[0]).Off()
	case "stop":
		p.node(f.Who[0]).Stop()
	case "load":
		p.node(f.Who[0]).Rate = 1000 * f.Strength
	case "rename":
		p.node(f.Who[0]).Rename()
	case "replace":
		p.node(f.Who[0]).Replace(min(f.For, 4000) * f.Strength)
	case "leave":
		if nd := p.node(f.Who[0]); nd.State == Up {
			nd.Goodbye()
		}
	case "join":
		p.Start(p.config(len(p.Nodes)))
	case "slow":
		p.node(f.Who[0]).Slow = 1000 * f.Strength
	default:
		p.on[i] = true
	}
}

func (p *player) end(i int, f Fault) {
	p.on[i] = false
	switch nd := p.node(f.Who[0]); f.Kind {
	case "stop":
		nd.Continue()
	case "restart":
		if nd.State >= Dead {
			nd.Again()
		}
	case "off": // it is put in order, and started
		if nd.State == Off {
			nd.Again()
		}
	case "slow":
		nd.Slow = 0
	case "load":
		nd.Rate = 0
	}
}

// link is what the faults in force make of a link.
func (p *player) link(from, to *Node) Link {
	l := Link{Delay: 1}
	for i, f := range p.faults {
		if p.on[i] {
			f.Apply(&l, p.index(from), p.index(to))
		}
	}
	return l
}

// Apply adds what a fault does to the link from one router to another.
func (f Fault) Apply(l *Link, a, b int) {
	switch f.Kind {
	case "split":
		l.Cut = l.Cut || f.Who[a%len(f.Who)] != f.Who[b%len(f.Who)]
	case "alone":
		l.Cut = l.Cut || a == f.Who[0] || b == f.Who[0]
	case "one-way":
		l.Cut = l.Cut || a == f.Who[0] && b == f.Who[1]
	case "pair":
		l.Cut = l.Cut || a == f.Who[0] && b == f.Who[1] || a == f.Who[1] && b == f.Who[0]
	case "loss":
		l.Loss = max(l.Loss, f.Strength)
	case "jitter":
		l.Jitter += 200 * f.Strength
	case "double":
		l.Double = max(l.Double, f.Strength)
	}
}

func (p *player) index(nd *Node) int { return int(nd.Cfg.Addr.IP[14])<<8 | int(nd.Cfg.Addr.IP[15]) }
