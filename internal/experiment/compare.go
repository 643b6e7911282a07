package experiment

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Difference is that of two variants in one figure, by pairs of the same seed.
type Difference struct {
	Pairs      int
	Mean       float64
	Low, High  float64 // 95% of the means of samples drawn anew (percentile bootstrap; Efron, 1979)
	Sign       float64 // two-sided p of the sign test: how often chance alone would have one win so many pairs
	Better     int     // pairs in which the second one has more
	Worse      int
	Equal      int
	Conclusion string
}

const (
	resamples = 4000
	level     = 0.05
	fewest    = 6 // pairs: with fewer no sign test can show anything at that level
)

// Compare compares two variants' runs in one figure, which is the better the higher.
func Compare(a, b []Run, figure func(Run) float64) Difference {
	var diffs []float64
	d := Difference{}
	for _, x := range a {
		i := slices.IndexFunc(b, func(y Run) bool { return y.Seed == x.Seed })
		if i < 0 {
			continue
		}
		diff := figure(b[i]) - figure(x)
		diffs = append(diffs, diff)
		switch {
		case diff > 0:
			d.Better++
		case diff < 0:
			d.Worse++
		default:
			d.Equal++
		}
	}
	if d.Pairs = len(diffs); d.Pairs == 0 {
		d.Conclusion = "no pairs of the same seed"
		return d
	}
	d.Mean = stat.Mean(diffs, nil)
	d.Low, d.High = bootstrap(diffs)
	n := float64(d.Better + d.Worse)
	if d.Sign = 1; n > 0 {
		d.Sign = math.Min(1, 2*distuv.Binomial{N: n, P: 0.5}.CDF(math.Min(float64(d.Better), float64(d.Worse))))
	}
	switch {
	case d.Pairs < fewest:
		d.Conclusion = fmt.Sprintf("no difference shown: %d pairs are too few", d.Pairs)
	case d.Low <= 0 && d.High >= 0 || d.Sign > level:
		d.Conclusion = "no difference shown"
	case d.Mean > 0:
		d.Conclusion = "better"
	default:
		d.Conclusion = "worse"
	}
	return d
}

// bootstrap gives the middle 95% of the means of samples drawn anew.
func bootstrap(of []float64) (low, high float64) {
	rng := rand.New(rand.NewPCG(1, 2)) // the same figures give the same answer
	means := make([]float64, resamples)
	for i := range means {
		for range of {
			means[i] += of[rng.IntN(len(of))]
		}
		means[i] /= float64(len(of))
	}
	slices.Sort(means)
	return stat.Quantile(level/2, stat.Empirical, means, nil), stat.Quantile(1-level/2, stat.Empirical, means, nil)
}

// figures are what variants are compared by.
var figures = []struct {
	name string
	of   func(Run) float64
}{{"worth", func(r Run) float64 { return r.Worth }}, {"worst 10 s", func(r Run) float64 { return r.Worst }}, {"worst class", func(r Run) float64 { return r.Class }},
	{"fetches a request, less", func(r Run) float64 { return -r.Fetches }}, {"p99 ms, less", func(r Run) float64 { return -r.P99 }}}

// variantsOf groups runs, in the order in which they come.
func variantsOf(runs []Run) (names []string, by map[string][]Run) {
	by = map[string][]Run{}
	for _, r := range runs {
		if by[r.Variant] == nil {
			names = append(names, r.Variant)
		}
		by[r.Variant] = append(by[r.Variant], r)
	}
	return names, by
}

// WriteComparison writes how all variants differ from one.
func WriteComparison(out io.Writer, runs []Run, than string) error {
	names, by := variantsOf(runs)
	if by[than] == nil {
		return fmt.Errorf("there are no runs of %q", than)
	}
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintf(w, "VARIANT\tFIGURE\tMEAN\tDIFFERENCE\t95%%\tBETTER/WORSE\tSIGN TEST p\tSO\n")
	for _, n := range names {
		for _, f := range figures {
			var xs []float64
			for _, r := range by[n] {
				xs = append(xs, f.of(r))
			}
			if n == than {
				fmt.Fprintf(w, "%s\t%s\t%.4f\t\t\t\t\t\n", n, f.name, math.Abs(stat.Mean(xs, nil)))
				continue
			}
			d := Compare(by[than], by[n], f.of)
			fmt.Fprintf(w, "%s\t%s\t%.4f\t%+.4f\t%+.4f to %+.4f\t%d/%d\t%.3f\t%s\n", n, f.name, math.Abs(stat.Mean(xs, nil)), d.Mean, d.Low, d.High, d.Better, d.Worse, d.Sign, d.Conclusion)
		}
	}
	return w.Flush()
}
