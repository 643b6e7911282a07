package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"sync"
	"text/tabwriter"
	"time"

	"mossproxy.example/mossproxy/internal/fleettest"
	"mossproxy.example/mossproxy/internal/model/fleetnet"
)

// viewCmd measures the routers' membership protocol in virtual time.
type viewCmd struct {
	Sizes  []int   `default:"24,100,300" help:"Routers."`
	Hours  float64 `default:"1" help:"Virtual hours for which false deaths are counted; 0 = they are not."`
	Of     int     `default:"300" help:"Routers of the fleet in which they are."`
	Seed   uint64  `default:"1" help:"Seed."`
	Losses []int   `default:"0,5,20" help:"Loss of datagrams, in percent."`
	SlowMS []int   `default:"500" help:"Delay of all messages to a slow member, in the mean: a row each, with 5% of such members."`
	Plain  bool    `default:"true" negatable:"" help:"Plain SWIM too, to compare."`
}

func (c *viewCmd) run(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "routers\tstart, agree ms\twhole in use ms\tcrash first/half/all ms\tsilence first/half/all ms\theal ms\tB/s calm\tB/s start\tB/s heal\tKB memory\tmost spent\tnot settled")
	for _, n := range c.Sizes {
		m := fleetnet.Measure(n, c.Seed)
		fmt.Fprintf(w, "%d\t%.0f\t%.0f\t%.0f/%.0f/%.0f\t%.0f/%.0f/%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.4f\t%d %s\n", n, m.Start, m.Parts, m.Crash.First, m.Crash.Half, m.Crash.All,
			m.Silence.First, m.Silence.Half, m.Silence.All, m.Heal, m.BytesPerS, m.StartBytesPerS, m.MostBytesPerS, m.BytesOfMemory/1024, m.Overspent, m.NotSettled, m.AgreementFailed)
	}
	if err := w.Flush(); err != nil || c.Hours == 0 {
		return err
	}
	var rows []fleetnet.Calm
	for _, plain := range []bool{false, true} {
		if plain && !c.Plain {
			break
		}
		all := fleetnet.Calm{Routers: c.Of, Hours: c.Hours, Plain: plain, Seed: c.Seed}
		for _, l := range c.Losses {
			r := all
			r.Loss = float64(l) / 100
			rows = append(rows, r)
		}
		for _, ms := range c.SlowMS {
			r := all
			r.SlowShare, r.SlowMS = 0.05, float64(ms)
			rows = append(rows, r)
		}
	}
	fmt.Fprintf(out, "\nfalse deaths, %d routers, %g h, each as it ends: per member and hour, and bytes a second\n", c.Of, c.Hours)
	var wg sync.WaitGroup
	var one sync.Mutex
	for _, r := range rows {
		wg.Go(func() {
			deaths, bps := r.FalseDeaths()
			one.Lock()
			defer one.Unlock()
			fmt.Fprintf(out, "loss %.2f, slow %.2f by %g ms, plain %v: %.5f, %.0f\n", r.Loss, r.SlowShare, r.SlowMS, r.Plain, deaths, bps)
		})
	}
	wg.Wait()
	return nil
}

// leasesCmd measures how routers lease shares of a common capacity from each other, in virtual time.
type leasesCmd struct {
	Sizes []int  `default:"6,24,100,300" help:"Routers."`
	Seed  uint64 `default:"1" help:"Seed."`
}

func (c *leasesCmd) run(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "routers\twhole in use ms\tbusy one after 250/500/1000/5000 ms\tits due\tback ms\tB/s\tleast in use\tmost\tuneven 30 s later")
	for _, n := range c.Sizes {
		m := fleetnet.MeasureLoans(n, c.Seed)
		fmt.Fprintf(w, "%d\t%.0f\t%.4f/%.4f/%.4f/%.4f\t%.4f\t%.0f\t%.0f\t%.3f\t%.4f\t%d\n", n, m.Whole, m.Shares[0], m.Shares[1], m.Shares[2], m.Shares[3], m.Due, m.Back,
			m.BytesPerS, m.LeastInUse, m.Overspent, m.StillUneven)
	}
	return w.Flush()
}

// admissionCmd measures the admission threshold that the routers share, in virtual time.
type admissionCmd struct {
	Sizes []int     `default:"2,6,24,100,300" help:"Routers."`
	Times []float64 `default:"2,4" help:"Times that as much is asked for as in calm; servers can do 1.25 times that."`
	Seed  uint64    `default:"1" help:"Seed."`
}

func (c *admissionCmd) run(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "routers\ttimes\ta line after ms\tpasses\tright\ttwo differ\tgone after ms\tB/s calm\tB/s overload")
	for _, n := range c.Sizes {
		for _, x := range c.Times {
			m := fleetnet.MeasureLine(n, x, c.Seed)
			fmt.Fprintf(w, "%d\t%g\t%.0f\t%.3f\t%.3f\t%.3f\t%.0f\t%.0f\t%.0f\n", n, x, m.After, m.Passes, m.Right, m.Differ, m.Gone, m.CalmBS, m.BusyBS)
		}
	}
	return w.Flush()
}

// processesCmd measures real router processes under load and faults.
type processesCmd struct {
	Routers []int         `default:"1,6,24" help:"Processes."`
	View    string        `default:"both" enum:"with,without,both" help:"With the routers' own view, by the number in a file, or both in turn."`
	Rate    float64       `default:"600" help:"Requests a second, over all."`
	Phase   time.Duration `default:"15s" help:"Length of a phase."`
	Over    float64       `help:"Instead: so many times what the servers can do, for the length of a phase, between 0.8 of it; classes of three worths."`
	During  string        `help:"What else happens a second into the overload: servers lost, routers lost, halves, all restart, origin stopped, one router hangs."`
	Tries   int           `default:"3" help:"Tries of a client, at once one after the other, each at a router that is drawn."`
	Slower  float64       `default:"1" help:"Times that servers and origin are slower than 100 and 200 requests a second."`
	Kill    bool          `help:"A further phase: two thirds of the routers are killed."`
	Times   bool          `help:"Instead: how long the view takes to know of crashes, silences, starts and heals."`
	Seed    uint64        `default:"1" help:"Seed."`
	Verbose bool          `help:"Tell of each order."`
}

// orderLogger returns a function that logs each order to out, or nil unless verbose is set.
func orderLogger(out io.Writer, verbose bool) func(format string, args ...any) {
	if !verbose {
		return nil
	}
	return func(format string, args ...any) { fmt.Fprintf(out, format+"\n", args...) }
}

func (c *processesCmd) run(ctx context.Context, out io.Writer) error {
	dir, err := os.MkdirTemp("", "cottonyoke-processes-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	program, err := fleettest.Build(ctx, dir)
	if err != nil {
		return err
	}
	if c.Times {
		for _, n := range c.Routers {
			t, err := fleettest.MeasureView(fleettest.Options{Program: program, Dir: dir, Routers: n, Seed: c.Seed, Log: orderLogger(out, c.Verbose)})
			if err != nil {
				return err
			}
			fmt.Fprintf(out, "%d processes: start %v; crash first/half/all %v; silence %v; heal %v\n", n, t.Start, t.Crash, t.Silence, t.Heal)
		}
		return nil
	}
	views := map[string][]bool{"with": {true}, "without": {false}, "both": {false, true}}[c.View]
	for _, n := range c.Routers {
		for _, view := range views {
			o := fleettest.LoadOptions{Options: fleettest.Options{Program: program, Dir: dir, Routers: n, Seed: c.Seed, Log: orderLogger(out, c.Verbose)}, View: view, Rate: c.Rate, Phase: c.Phase, KillRouters: c.Kill,
				Overload: c.Over, During: c.During, Tries: c.Tries, Slower: c.Slower}
			phases, err := fleettest.Load(ctx, o)
			if err != nil {
				return err
			}
			fmt.Fprintf(out, "%d processes, view %v:", n, view)
			for _, p := range phases {
				fmt.Fprintf(out, "  %s", p)
			}
			fmt.Fprintln(out)
		}
	}
	return nil
}
