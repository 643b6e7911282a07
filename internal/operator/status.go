package operator

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Bounds on asking several routers.
const (
	queryTimeout         = 2 * time.Second
	maxConcurrentQueries = 32 // at once
	maxResponseBytes     = 4 << 20
)

// ViewResult is what came of asking one router for its view.
type ViewResult struct {
	Addr string
	View FleetView
	Err  error
}

// QueryViews asks routers at their operators' addresses for their views.
func QueryViews(ctx context.Context, addrs []string) []ViewResult {
	out := make([]ViewResult, len(addrs))
	places := make(chan struct{}, maxConcurrentQueries)
	client := &http.Client{Timeout: queryTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	var wg sync.WaitGroup
	for i, a := range addrs {
		wg.Go(func() {
			places <- struct{}{}
			defer func() { <-places }()
			v, err := queryView(ctx, client, a)
			out[i] = ViewResult{a, v, err}
		})
	}
	wg.Wait()
	return out
}

func queryView(ctx context.Context, client *http.Client, addr string) (v FleetView, err error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/control/fleet", nil)
	if err != nil {
		return v, err
	}
	resp, err := client.Do(q)
	if err != nil {
		return v, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 200))
		return v, fmt.Errorf("%s: %s", resp.Status, strings.TrimSpace(string(text)))
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&v); err != nil {
		return v, fmt.Errorf("an answer that is none: %w", err)
	}
	return v, nil
}

// SummarizeAgreement is one line that says whether views agree and, if not, who differs about whom; agree is false also where one did not answer.
func SummarizeAgreement(asked []ViewResult) (line string, agree bool) {
	groups := map[string][]FleetView{}
	var silent []string
	for _, a := range asked {
		if a.Err != nil {
			silent = append(silent, a.Addr)
			continue
		}
		groups[a.View.Digest] = append(groups[a.View.Digest], a.View)
	}
	var all [][]FleetView
	for _, g := range groups {
		slices.SortFunc(g, func(a, b FleetView) int { return cmp.Compare(a.Name, b.Name) })
		all = append(all, g)
	}
	slices.SortFunc(all, func(a, b []FleetView) int {
		return cmp.Or(len(b)-len(a), cmp.Compare(a[0].Name, b[0].Name))
	})
	no := ""
	if len(silent) > 0 {
		no = "; no answer from " + abbreviate(silent)
	}
	switch {
	case len(all) == 0:
		return "no router answered" + no, false
	case len(all) == 1:
		v := all[0][0]
		return fmt.Sprintf("%d routers agree: %s (digest %s)%s", len(all[0]), formatStateCounts(v), v.Digest, no), len(silent) == 0
	}
	var parts []string
	for _, g := range all[1:] {
		parts = append(parts, fmt.Sprintf("%s differ%s about %s", abbreviate(routerNames(g)), verbSuffix(len(g)), abbreviate(diffMembers(all[0][0], g[0]))))
	}
	return fmt.Sprintf("%d views: %s agree%s; %s%s", len(all), abbreviate(routerNames(all[0])), verbSuffix(len(all[0])), strings.Join(parts, "; "), no), false
}

func verbSuffix(n int) string {
	if n == 1 {
		return "s"
	}
	return ""
}

func routerNames(g []FleetView) (out []string) {
	for _, v := range g {
		out = append(out, v.Name)
	}
	return out
}

// abbreviate names some, and how many more there are.
func abbreviate(names []string) string {
	const most = 6
	if len(names) == 0 {
		return "nobody's state"
	}
	if len(names) > most {
		return fmt.Sprintf("%s and %d more", strings.Join(names[:most], ", "), len(names)-most)
	}
	return strings.Join(names, ", ")
}

// presentStates are those of members that belong to the view.
var presentStates = []string{"joining", "alive", "suspect", "silent", "lost"}

// diffMembers names the members that two views have differently, with both words.
func diffMembers(a, b FleetView) (out []string) {
	of := func(v FleetView) map[string]Member {
		m := map[string]Member{}
		for _, x := range v.Members {
			if slices.Contains(presentStates, x.State) {
				m[x.Name] = x
			}
		}
		return m
	}
	x, y := of(a), of(b)
	for name, m := range x {
		o, ok := y[name]
		switch {
		case !ok:
			out = append(out, fmt.Sprintf("%s (%s, not there)", name, m.State))
		case o.State != m.State:
			out = append(out, fmt.Sprintf("%s (%s, %s)", name, m.State, o.State))
		case o.Start != m.Start:
			out = append(out, fmt.Sprintf("%s (another start)", name))
		}
	}
	for name, m := range y {
		if _, ok := x[name]; !ok {
			out = append(out, fmt.Sprintf("%s (not there, %s)", name, m.State))
		}
	}
	slices.Sort(out)
	return out
}

// formatStateCounts counts members by state.
func formatStateCounts(v FleetView) string {
	n := map[string]int{}
	for _, m := range v.Members {
		n[m.State]++
	}
	var out []string
	for _, s := range append(slices.Clip(presentStates), "gone", "left") {
		if n[s] > 0 {
			out = append(out, fmt.Sprintf("%d %s", n[s], s))
		}
	}
	return strings.Join(out, ", ")
}

// WriteStatus writes what several routers say of the fleet: a line, and below it a row for each router and for each member that is not alive.
func WriteStatus(w io.Writer, asked []ViewResult) (agree bool) {
	line, agree := SummarizeAgreement(asked)
	fmt.Fprintln(w, line)
	for _, a := range asked {
		if a.Err != nil {
			fmt.Fprintf(w, "  %-22s no answer: %v\n", a.Addr, a.Err)
			continue
		}
		v := a.View
		part := "no part"
		if v.ResourceShare.Divisor > 0 {
			part = fmt.Sprintf("1 of %g parts", v.ResourceShare.Divisor)
		}
		fmt.Fprintf(w, "  %-22s %-24s %s  settled %.1f s, doubt %d, %s\n", a.Addr, v.Name, v.Digest, v.SettledS, v.FailureSuspicion, part)
		for _, m := range v.Members {
			if m.State != "alive" && m.State != "left" {
				by := m.ReportedBy
				if by == "" {
					by = "its own word"
				}
				fmt.Fprintf(w, "      %-24s %-22s %-8s %-8s for %.1f s, by %s\n", m.Name, m.Addr, m.Site, m.State, float64(m.SinceMS)/1000, by)
			}
		}
	}
	return agree
}
