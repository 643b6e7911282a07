package experiment

import (
	"context"
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"

	"mossproxy.example/mossproxy/internal/model"
)

// config is a variant's for a seed. Faults that are drawn depend on the seed alone, so that variants meet the same.
func (s *Scenario) config(v Variant, seed uint64) (model.Config, error) {
	c := s.Config
	for n, x := range v.Set {
		if err := set(&c, n, x); err != nil {
			return c, err
		}
	}
	c.Seed = seed
	c.Faults = slices.Clone(c.Faults)
	rng := rand.New(rand.NewPCG(seed, 77))
	for _, d := range s.Draws {
		for range d.Number {
			f := model.Fault{Kind: d.Kind, At: d.From + (d.To-d.From)*rng.Float64(), For: d.Longest * (0.3 + 0.7*rng.Float64())}
			who, to := rng.IntN(1<<30), rng.IntN(1<<30)
			switch d.Kind {
			case model.Restart:
				f.Who = who % c.Routers
			case model.Cut:
				f.Who, f.To = who%len(c.Zones), to%len(c.Zones)
			default:
				f.Who = who % c.Servers
			}
			c.Faults = append(c.Faults, f)
		}
	}
	return c, nil
}

// Run is what came of one run.
type Run struct {
	Variant    string
	Seed       uint64
	Asked      int
	Worth      float64 // part of the worth asked for that was served in time
	Worst      float64 // of the worst 10 s
	Class      float64 // of the worst class
	Fetches    float64 // at the origin, for each request
	Hits       float64
	P99        float64 // ms, of the first class
	Violations int
	First      string // of them
	seconds    []model.Second
}

var columns = []string{"variant", "seed", "asked", "worth", "worst_10s", "worst_class", "fetches_per_request", "hits", "p99_ms", "violations", "first_violation"}

func (r *Run) row() []string {
	f := func(v float64) string { return strconv.FormatFloat(v, 'g', 8, 64) }
	return []string{r.Variant, strconv.FormatUint(r.Seed, 10), strconv.Itoa(r.Asked), f(r.Worth), f(r.Worst), f(r.Class), f(r.Fetches), f(r.Hits), f(r.P99),
		strconv.Itoa(r.Violations), r.First}
}

// readRow reads a row, whole or not at all.
func readRow(row []string) (r Run, err error) {
	if len(row) != len(columns) {
		return r, fmt.Errorf("%d of %d fields", len(row), len(columns))
	}
	num := func(i int) float64 {
		v, e := strconv.ParseFloat(row[i], 64)
		err = errors.Join(err, e)
		return v
	}
	r = Run{Variant: row[0], Seed: uint64(num(1)), Asked: int(num(2)), Worth: num(3), Worst: num(4), Class: num(5), Fetches: num(6), Hits: num(7), P99: num(8), Violations: int(num(9)), First: row[10]}
	return r, err
}

// Manifest says what the runs of a folder are of. Runs of another scenario, or of another program, are not mixed with them.
type Manifest struct {
	Format   int    `json:"format"`
	Program  string `json:"program"`
	Scenario string `json:"scenario"`
	Script   string `json:"script"`
}

// Format is that of folders written now.
const Format = 1

// Play plays one run.
func (s *Scenario) Play(v Variant, seed uint64) (Run, error) {
	c, err := s.config(v, seed)
	if err != nil {
		return Run{}, err
	}
	check := model.NewChecker(&c)
	w, err := model.New(c, check)
	if err != nil {
		return Run{}, err
	}
	out := w.Run()
	check.End(c.For + 60e3)
	r := Run{Variant: v.Name, Seed: seed, Asked: out.Asked, Worth: out.Worth, Worst: worst(out.Seconds), Class: 1, Fetches: float64(out.Fetches) / float64(max(1, out.Asked)),
		Hits: out.Hits, P99: out.ByClass[0].P99, Violations: len(check.Violations()), seconds: out.Seconds}
	for _, k := range out.ByClass {
		if k.Asked > 0 {
			r.Class = min(r.Class, k.Worth)
		}
	}
	if r.Violations > 0 {
		r.First = check.Violations()[0].String()
	}
	return r, nil
}

// worst is the part that was served of the worst 10 s.
func worst(of []model.Second) float64 {
	const span = 10
	out := 1.0
	for i := 0; i+span <= len(of); i++ {
		asked, got := 0.0, 0.0
		for _, s := range of[i : i+span] {
			asked, got = asked+s.Asked, got+s.Got
		}
		if asked > 0 {
			out = min(out, got/asked)
		}
	}
	return out
}

// Options are those of a set of runs.
type Options struct {
	Folder  string
	Script  []byte
	Program string // version, for the manifest
	From    uint64 // first seed
	Seeds   int
	Workers int
	Done    func(done, all int) // told after each run; may be nil
}

// All plays all variants of a scenario with all seeds, over some cores, and keeps each run in the folder as it ends: what was kept before is
// not played again. When ctx ends, what runs is not kept.
func (s *Scenario) All(ctx context.Context, o Options) ([]Run, error) {
	kept, out, err := openFolder(s, o)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	type job struct {
		v    Variant
		seed uint64
	}
	var jobs []job
	for i := range o.Seeds {
		for _, v := range append([]Variant{{Name: "base"}}, s.Variants...) {
			seed := o.From + uint64(i)
			if !slices.ContainsFunc(kept, func(r Run) bool { return r.Variant == v.Name && r.Seed == seed }) {
				jobs = append(jobs, job{v, seed})
			}
		}
	}
	all := len(kept) + len(jobs)
	next := make(chan job)
	var mu sync.Mutex
	var wg sync.WaitGroup
	var failed error
	for range max(1, o.Workers) {
		wg.Go(func() {
			for j := range next {
				r, err := s.Play(j.v, j.seed)
				mu.Lock()
				if err == nil && ctx.Err() == nil {
					err = writeRow(out, r.row())
				}
				if err != nil {
					failed = errors.Join(failed, fmt.Errorf("%s, seed %d: %w", j.v.Name, j.seed, err))
				} else if ctx.Err() == nil {
					kept = append(kept, r)
				}
				if o.Done != nil {
					o.Done(len(kept), all)
				}
				mu.Unlock()
			}
		})
	}
feed:
	for _, j := range jobs {
		select {
		case <-ctx.Done():
			break feed
		case next <- j:
		}
	}
	close(next)
	wg.Wait()
	slices.SortFunc(kept, func(a, b Run) int {
		if c := strings.Compare(a.Variant, b.Variant); c != 0 {
			return c
		}
		return int(int64(a.Seed) - int64(b.Seed))
	})
	return kept, errors.Join(failed, ctx.Err())
}

// writeRow adds a line, in one write: a run that is cut off leaves a part of one line at most, which reading cuts away.
func writeRow(out io.Writer, row []string) error {
	var b strings.Builder
	w := csv.NewWriter(&b)
	if err := w.Write(row); err != nil {
		return err
	}
	w.Flush()
	_, err := io.WriteString(out, b.String())
	return err
}

const (
	manifestName = "manifest.json"
	runsName     = "runs.csv"
)

// openFolder opens a folder of runs, or makes it, and gives the runs that are kept there.
func openFolder(s *Scenario, o Options) ([]Run, *os.File, error) {
	if err := os.MkdirAll(o.Folder, 0o755); err != nil {
		return nil, nil, fmt.Errorf("experiment: %w", err)
	}
	want := Manifest{Format, o.Program, s.Name, string(o.Script)}
	at := filepath.Join(o.Folder, manifestName)
	if has, err := ReadManifest(o.Folder); errors.Is(err, os.ErrNotExist) {
		text, err := json.MarshalIndent(want, "", "  ")
		if err != nil {
			return nil, nil, err
		}
		if err := os.WriteFile(at+".next", append(text, '\n'), 0o644); err != nil {
			return nil, nil, fmt.Errorf("experiment: %w", err)
		}
		if err := os.Rename(at+".next", at); err != nil {
			return nil, nil, fmt.Errorf("experiment: %w", err)
		}
	} else if err != nil {
		return nil, nil, err
	} else if has != want {
		return nil, nil, fmt.Errorf("%s: its runs are of another scenario, script or program (%s); take another folder", o.Folder, has.Program)
	}
	kept, whole, err := ReadRuns(o.Folder)
	if err != nil {
		return nil, nil, err
	}
	out, err := os.OpenFile(filepath.Join(o.Folder, runsName), os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil, nil, fmt.Errorf("experiment: %w", err)
	}
	if err = out.Truncate(whole); err == nil {
		_, err = out.Seek(whole, io.SeekStart)
	}
	if err == nil && whole == 0 {
		err = writeRow(out, columns)
	}
	if err != nil {
		out.Close()
		return nil, nil, fmt.Errorf("experiment: %w", err)
	}
	return kept, out, nil
}

// ReadManifest reads what a folder is of.
func ReadManifest(folder string) (m Manifest, err error) {
	text, err := os.ReadFile(filepath.Join(folder, manifestName))
	if err != nil {
		return m, fmt.Errorf("experiment: %w", err)
	}
	if err := json.Unmarshal(text, &m); err != nil {
		return m, fmt.Errorf("%s: %w", filepath.Join(folder, manifestName), err)
	}
	if m.Format > Format || m.Format < 1 {
		return m, fmt.Errorf("%s: of format %d; up to %d are known", folder, m.Format, Format)
	}
	return m, nil
}

// ReadRuns reads the runs of a folder. Half a line at the end counts for nothing: whole is where whole lines end.
func ReadRuns(folder string) (out []Run, whole int64, err error) {
	text, err := os.ReadFile(filepath.Join(folder, runsName))
	if errors.Is(err, os.ErrNotExist) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, fmt.Errorf("experiment: %w", err)
	}
	text = text[:strings.LastIndexByte(string(text), '\n')+1]
	rows, err := csv.NewReader(strings.NewReader(string(text))).ReadAll()
	if err != nil {
		return nil, 0, fmt.Errorf("%s: %w", filepath.Join(folder, runsName), err)
	}
	for i, row := range rows {
		if i == 0 {
			if !slices.Equal(row, columns) {
				return nil, 0, fmt.Errorf("%s: its columns are others", filepath.Join(folder, runsName))
			}
			continue
		}
		r, err := readRow(row)
		if err != nil {
			return nil, 0, fmt.Errorf("%s:%d: %w", filepath.Join(folder, runsName), i+1, err)
		}
		out = append(out, r)
	}
	return out, int64(len(text)), nil
}
