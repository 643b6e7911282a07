// Package load measures a router, a server or a cluster on this machine: requests at a rate that waits for no answer, or as
// fast as a number of connections carries them, to one address or to two in turns within one run.
package load

import (
	"context"
	"errors"
	"fmt"
	"net"
	"runtime"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Target is what is measured.
type Target struct {
	Name    string
	Addr    string // on loopback
	PIDs    []int  // processes whose CPU time is counted; none = not counted
	Cluster bool   // RESP: the load asks it for its slots and goes to the owner of each key
	Classic bool   // meta: it knows get and set alone
	Auth    string // KEY:SECRET that each connection logs in by; "" = none does
	CA      string // file of certificates in PEM by which the target's is checked; "" = links are plain
}

// Options say what is sent. Zero values take the defaults of Check.
type Options struct {
	Targets  []Target
	Protocol string  // meta or resp
	Conns    int     // connections; of a cluster: to each node
	Depth    int     // requests of a connection that are out at once, sent together, where Rate is 0
	Rate     float64 // requests a second over all connections, at times drawn beforehand; 0 = as fast as they go
	Keys     int
	Zipf     float64 // exponent of the keys' popularity, above 1; 0 = all alike
	Bytes    int     // of a value
	Writes   float64 // share of writes
	Class    string  // meta: of reads, and
	Poll     string  // of writes
	Tenant   string
	Deadline time.Duration // meta: what a request says it waits for
	Warm     time.Duration // before each measurement
	For      time.Duration // each measurement
	Rounds   int           // measurements of each target, in turns
	Seed     uint64
}

// Bounds of a load.
const (
	maxConns  = 4096
	maxDepth  = 256
	maxRate   = 2e6
	maxFor    = 10 * time.Minute
	maxRounds = 100
	maxBytes  = 64 << 10
	maxKeys   = 10_000_000
	// maxBehind is how many requests of a connection may be out where a rate is given: beyond that it sends no more until
	// answers come. What is sent late counts from when it was due.
	maxBehind = 1024
)

// Check fills in defaults, and says what is out of range.
func (o *Options) Check() error {
	def := func(v *int, d int) {
		if *v == 0 {
			*v = d
		}
	}
	def(&o.Conns, 32)
	def(&o.Depth, 1)
	def(&o.Keys, 10000)
	def(&o.Bytes, 100)
	def(&o.Rounds, 3)
	if o.For == 0 {
		o.For = 3 * time.Second
	}
	if o.Deadline == 0 {
		o.Deadline = 5 * time.Second
	}
	for _, c := range []struct {
		bad  bool
		name string
		v    any
	}{
		{len(o.Targets) < 1 || len(o.Targets) > 2, "targets", len(o.Targets)}, {o.Protocol != "meta" && o.Protocol != "resp", "protocol", o.Protocol},
		{o.Conns < 1 || o.Conns > maxConns, "conns", o.Conns}, {o.Depth < 1 || o.Depth > maxDepth, "depth", o.Depth},
		{!(o.Rate >= 0 && o.Rate <= maxRate), "rate", o.Rate}, {o.Keys < 1 || o.Keys > maxKeys, "keys", o.Keys},
		{o.Zipf != 0 && !(o.Zipf > 1 && o.Zipf <= 10), "zipf", o.Zipf}, {o.Bytes < 1 || o.Bytes > maxBytes, "bytes", o.Bytes},
		{!(o.Writes >= 0 && o.Writes <= 1), "writes", o.Writes}, {o.Warm < 0 || o.Warm > maxFor, "warm", o.Warm},
		{o.For < 10*time.Millisecond || o.For > maxFor, "for", o.For}, {o.Rounds < 1 || o.Rounds > maxRounds, "rounds", o.Rounds},
		{o.Deadline < time.Millisecond || o.Deadline > time.Hour, "deadline", o.Deadline},
		{o.Protocol == "meta" && (o.Class == "" || o.Tenant == "" || o.Writes > 0 && o.Poll == ""), "class, poll or tenant", "(missing)"},
	} {
		if c.bad {
			return fmt.Errorf("load: %s: %v is out of range", c.name, c.v)
		}
	}
	for _, t := range o.Targets {
		if err := loopback(t.Addr); err != nil {
			return fmt.Errorf("load: %s: %w", t.Name, err)
		}
		if t.Cluster && o.Protocol != "resp" {
			return fmt.Errorf("load: %s: a cluster speaks RESP", t.Name)
		}
	}
	return nil
}

// ParseTarget reads [NAME=]HOST:PORT with ,cluster ,classic ,pid=N ,auth=KEY:SECRET and ,ca=FILE behind it. Without a name the address is one.
func ParseTarget(text string) (t Target, err error) {
	parts := strings.Split(text, ",")
	t.Name, t.Addr, _ = strings.Cut(parts[0], "=")
	if t.Addr == "" {
		t.Addr = t.Name
	}
	for _, p := range parts[1:] {
		if v, is := strings.CutPrefix(p, "auth="); is && strings.Contains(v, ":") {
			t.Auth = v
			continue
		}
		if v, is := strings.CutPrefix(p, "ca="); is && v != "" {
			t.CA = v
			continue
		}
		n, isPID := strings.CutPrefix(p, "pid=")
		pid, err := strconv.Atoi(n)
		switch {
		case p == "cluster":
			t.Cluster = true
		case p == "classic":
			t.Classic = true
		case isPID && err == nil && pid > 0:
			t.PIDs = append(t.PIDs, pid)
		default:
			return t, fmt.Errorf("load: target %q: %q; cluster, classic, pid=N, auth=KEY:SECRET and ca=FILE are right", text, p)
		}
	}
	return t, nil
}

// loopback checks that an address is on this machine: a load on others is for whoever runs those to start.
func loopback(addr string) error {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("%s is not on loopback (127.0.0.1:PORT is)", addr)
	}
	return nil
}

// Counts are the answers of a measurement.
type Counts struct {
	Served  int64 `json:"served"`
	Absent  int64 `json:"absent"` // of the served ones: there was no value
	Refused int64 `json:"refused"`
	Failed  int64 `json:"failed"`
	Odd     int64 `json:"odd"`  // any other answer
	Lost    int64 `json:"lost"` // connections that ended, or did not come up
}

func (c *Counts) add(d Counts) {
	c.Served, c.Absent, c.Refused, c.Failed, c.Odd, c.Lost = c.Served+d.Served, c.Absent+d.Absent, c.Refused+d.Refused, c.Failed+d.Failed, c.Odd+d.Odd, c.Lost+d.Lost
}

// Result is what one target has shown, over all rounds.
type Result struct {
	Name   string    `json:"name"`
	Rates  []float64 `json:"rates_per_s"` // answers a second of each round
	Rate   float64   `json:"rate_per_s"`  // their median
	Counts `json:"answers"`
	P50    float64 `json:"p50_us"` // from when a request was due, or sent, to the last byte of its answer
	P90    float64 `json:"p90_us"`
	P99    float64 `json:"p99_us"`
	P999   float64 `json:"p999_us"`
	Max    float64 `json:"max_us"`
	CPU    float64 `json:"cpu_us_per_request"` // of the target's processes; 0 = not counted
	Own    float64 `json:"own_cpu_share"`      // of this machine's cores that the load itself took
}

// Report is what a run has shown.
type Report struct {
	Protocol string   `json:"protocol"`
	Conns    int      `json:"conns"`
	Depth    int      `json:"depth,omitempty"`
	Rate     float64  `json:"asked_rate_per_s,omitempty"`
	Cores    int      `json:"cores"`
	Targets  []Result `json:"targets"`
	// Of two targets: the second's figure over the first's, within the run.
	RateRatio float64 `json:"rate_ratio,omitempty"`
	CPURatio  float64 `json:"cpu_ratio,omitempty"`
	P50Added  float64 `json:"p50_added_us,omitempty"`
	P99Added  float64 `json:"p99_added_us,omitempty"`
}

// longest is the longest time that is told apart, in µs.
const longest = 120e6

// Run measures. The end of ctx ends it early, with an error.
func Run(ctx context.Context, o Options) (Report, error) {
	if err := o.Check(); err != nil {
		return Report{}, err
	}
	rep := Report{Protocol: o.Protocol, Conns: o.Conns, Rate: o.Rate, Cores: runtime.NumCPU()}
	if o.Rate == 0 {
		rep.Depth = o.Depth
	}
	sums := make([]sum, len(o.Targets))
	for i := range sums {
		sums[i].times = hdrhistogram.New(1, longest, 3)
	}
	for round := range o.Rounds {
		for i, t := range o.Targets {
			if err := measure(ctx, &o, t, o.Seed+uint64(round), &sums[i]); err != nil {
				return rep, fmt.Errorf("load: %s: %w", t.Name, err)
			}
		}
	}
	for i := range sums {
		rep.Targets = append(rep.Targets, sums[i].result(o.Targets[i].Name))
	}
	if len(rep.Targets) == 2 {
		rep.compare()
	}
	return rep, nil
}

func (r *Report) compare() {
	a, b := r.Targets[0], r.Targets[1]
	over := func(x, y float64) float64 {
		if y == 0 {
			return 0
		}
		return x / y
	}
	r.RateRatio, r.CPURatio, r.P50Added, r.P99Added = over(b.Rate, a.Rate), over(b.CPU, a.CPU), b.P50-a.P50, b.P99-a.P99
}

// sum gathers the rounds of a target.
type sum struct {
	rates  []float64
	counts Counts
	times  *hdrhistogram.Histogram
	cpu    time.Duration
	own    time.Duration
	took   time.Duration
}

func (s *sum) result(name string) Result {
	q := func(p float64) float64 { return float64(s.times.ValueAtQuantile(p)) }
	r := Result{Name: name, Rates: s.rates, Counts: s.counts, P50: q(50), P90: q(90), P99: q(99), P999: q(99.9), Max: float64(s.times.Max())}
	sorted := append([]float64(nil), s.rates...)
	sort.Float64s(sorted)
	r.Rate = sorted[len(sorted)/2]
	if n := s.counts.answers(); n > 0 {
		r.CPU = float64(s.cpu.Microseconds()) / float64(n)
	}
	if s.took > 0 {
		r.Own = s.own.Seconds() / s.took.Seconds() / float64(runtime.NumCPU())
	}
	return r
}

func (c *Counts) answers() int64 { return c.Served + c.Refused + c.Failed + c.Odd }

// measure makes one measurement of a target: connections come up, the load warms up, and then counts.
func measure(ctx context.Context, o *Options, t Target, seed uint64, s *sum) error {
	d := dialectOf(o, t)
	route, err := routeOf(ctx, t)
	if err != nil {
		return err
	}
	workers := make([]*worker, o.Conns)
	for i := range workers {
		if workers[i], err = newWorker(ctx, o, t, d, route, seed, i); err != nil {
			for _, w := range workers[:i] {
				w.close()
			}
			return err
		}
	}
	clk := phases{begin: time.Now().Add(o.Warm)}
	clk.end = clk.begin.Add(o.For)
	ended := make(chan error, len(workers))
	for _, w := range workers {
		go func() { ended <- w.run(ctx, clk) }()
	}
	cpu, own, err := counted(ctx, clk, t.PIDs)
	for range workers {
		err = errors.Join(err, <-ended)
	}
	got := Counts{}
	for _, w := range workers {
		w.close()
		got.add(w.counts)
		s.times.Merge(w.times)
	}
	s.counts.add(got)
	s.rates = append(s.rates, float64(got.answers())/o.For.Seconds())
	s.cpu, s.own, s.took = s.cpu+cpu, s.own+own, s.took+o.For
	return err
}

// phases are the times between which answers count.
type phases struct{ begin, end time.Time }

// counted is the CPU time of processes, and our own, between begin and end.
func counted(ctx context.Context, c phases, pids []int) (cpu, own time.Duration, err error) {
	if err := sleepUntil(ctx, c.begin); err != nil {
		return 0, 0, err
	}
	cpu0, err := cpuOf(pids)
	if err != nil {
		return 0, 0, err
	}
	own0 := ownCPU()
	if err := sleepUntil(ctx, c.end); err != nil {
		return 0, 0, err
	}
	cpu1, err := cpuOf(pids)
	return cpu1 - cpu0, ownCPU() - own0, err
}

func sleepUntil(ctx context.Context, at time.Time) error {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
