package experiment

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"math"
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	_ "gonum.org/v1/plot/vg/vgsvg" // charts are SVG

	"mossproxy.example/mossproxy/internal/model"
)

// Report writes one page with tables and charts, which needs nothing beside it, and gives where it is. What is charted over time is played
// anew with the first seed: histories are the same each time.
func Report(folder string, s *Scenario, runs []Run) (string, error) {
	names, by := variantsOf(runs)
	if len(names) == 0 {
		return "", fmt.Errorf("%s: there are no runs", folder)
	}
	var table bytes.Buffer
	if err := WriteComparison(&table, runs, names[0]); err != nil {
		return "", err
	}
	over, err := s.overTime(names, runs[0].Seed)
	if err != nil {
		return "", err
	}
	spread, err := spreadChart(names, by)
	if err != nil {
		return "", err
	}
	page := struct {
		Name, Table, Script string
		Broken              []Run
		Runs                int
		Over, Spread        template.HTML
	}{Name: s.Name, Table: table.String(), Runs: len(runs), Over: over, Spread: spread}
	for _, r := range runs {
		if r.Violations > 0 {
			page.Broken = append(page.Broken, r)
		}
	}
	if m, err := ReadManifest(folder); err == nil {
		page.Script = m.Script
	}
	var out bytes.Buffer
	if err := pageText.Execute(&out, page); err != nil {
		return "", fmt.Errorf("report: %w", err)
	}
	path := filepath.Join(folder, "report.html")
	if err := os.WriteFile(path, out.Bytes(), 0o644); err != nil {
		return "", fmt.Errorf("report: %w", err)
	}
	return path, nil
}

var pageText = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>{{.Name}}</title>
<style>body{font:15px/1.45 system-ui,sans-serif;max-width:62rem;margin:2rem auto;padding:0 1rem}pre{background:#f4f4f2;padding:.8rem;overflow:auto;font-size:13px}svg{max-width:100%;height:auto}</style>
<h1>{{.Name}}</h1>
<p>{{.Runs}} runs of the model.{{if .Broken}} <strong>{{len .Broken}} of them broke a rule.</strong>{{else}} None broke a rule.{{end}}</p>
{{range .Broken}}<pre>{{.Variant}}, seed {{.Seed}}: {{.Violations}}, the first: {{.First}}</pre>{{end}}
<h2>By variant, pairs of the same seed</h2><pre>{{.Table}}</pre>
<h2>Worth served in time, over all seeds</h2>{{.Spread}}
<h2>Over the run, one seed</h2><p>Worth served in time of that asked for, by the second in which it was asked for, over 5 s. Lines mark faults.</p>{{.Over}}
<h2>Scenario</h2><pre>{{.Script}}</pre>
</html>
`))

// maxLines bounds the variants in one chart.
const maxLines = 6

// overTime charts worth over the run.
func (s *Scenario) overTime(names []string, seed uint64) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text, p.Y.Min, p.Y.Max = "s", "worth in time", 0, 1.02
	p.Legend.Top, p.Legend.Left = false, true
	var faults []float64
	for i, n := range names[:min(len(names), maxLines)] {
		v := Variant{Name: n}
		for _, x := range s.Variants {
			if x.Name == n {
				v = x
			}
		}
		r, err := s.Play(v, seed)
		if err != nil {
			return "", err
		}
		line, err := plotter.NewLine(smoothed(r.seconds))
		if err != nil {
			return "", fmt.Errorf("chart: %w", err)
		}
		line.Color, line.Width = plotutil.Color(i), vg.Points(1.4)
		p.Add(line)
		p.Legend.Add(n, line)
		if c, err := s.config(v, seed); err == nil && faults == nil {
			for _, f := range c.Faults {
				faults = append(faults, f.At/1000)
			}
		}
	}
	for _, at := range faults {
		mark, err := plotter.NewLine(plotter.XYs{{X: at, Y: 0}, {X: at, Y: 1}})
		if err != nil {
			return "", fmt.Errorf("chart: %w", err)
		}
		mark.Color, mark.Width = color.Gray{0xa0}, vg.Points(0.6)
		p.Add(mark)
	}
	return svg(p, 22, 8)
}

// smoothed is the part served over the last 5 s.
func smoothed(of []model.Second) plotter.XYs {
	const span = 5
	var out plotter.XYs
	for i := range of {
		asked, got := 0.0, 0.0
		for _, s := range of[max(0, i-span+1) : i+1] {
			asked, got = asked+s.Asked, got+s.Got
		}
		if asked > 0 {
			out = append(out, plotter.XY{X: float64(i), Y: got / asked})
		}
	}
	return out
}

// spreadChart shows each variant's worth over the seeds: the median, the middle half, and the rest.
func spreadChart(names []string, by map[string][]Run) (template.HTML, error) {
	p := plot.New()
	p.Y.Label.Text = "worth in time"
	for i, n := range names {
		var xs plotter.Values
		for _, r := range by[n] {
			xs = append(xs, math.Max(0, r.Worth))
		}
		box, err := plotter.NewBoxPlot(vg.Points(26), float64(i), xs)
		if err != nil {
			return "", fmt.Errorf("chart: %w", err)
		}
		p.Add(box)
	}
	p.NominalX(names...)
	return svg(p, float64(max(9, 3*len(names))), 8)
}

// svg draws a chart, in cm.
func svg(p *plot.Plot, w, h float64) (template.HTML, error) {
	to, err := p.WriterTo(vg.Length(w)*vg.Centimeter, vg.Length(h)*vg.Centimeter, "svg")
	if err != nil {
		return "", fmt.Errorf("chart: %w", err)
	}
	var b bytes.Buffer
	if _, err := to.WriteTo(&b); err != nil {
		return "", fmt.Errorf("chart: %w", err)
	}
	text := b.String()
	if i := strings.Index(text, "<svg"); i >= 0 {
		text = text[i:]
	}
	return template.HTML(text), nil //nolint:gosec // it was made here, and text in it is escaped by the library
}
