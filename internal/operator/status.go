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

// Limits on querying several routers.
const (
	queryTimeout         = 2 * time.Second // per router
	maxConcurrentQueries = 32              // queries in flight
	maxResponseBytes     = 4 << 20         // 4 MiB
)

// ViewResult is the result of querying one router for its view: View is valid if Err is nil.
type ViewResult struct {
	Addr string
	View FleetView
	Err  error
}

// QueryViews queries the routers at the given operator addresses for their views concurrently. Returns
// one result per address, in the same order.
func QueryViews(ctx context.Context, addrs []string) []ViewResult {
	out := make([]ViewResult, len(addrs))
	slots := make(chan struct{}, maxConcurrentQueries)
	client := &http.Client{Timeout: queryTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	var wg sync.WaitGroup
	for i, a := range addrs {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			v, err := queryView(ctx, client, a)
			out[i] = ViewResult{a, v, err}
		})
	}
	wg.Wait()
	return out
}

// queryView queries one router for its view.
func queryView(ctx context.Context, client *http.Client, addr string) (v FleetView, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/control/fleet", nil)
	if err != nil {
		return v, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return v, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 200))
		return v, fmt.Errorf("%s: %s", resp.Status, strings.TrimSpace(string(text)))
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&v); err != nil {
		return v, fmt.Errorf("invalid fleet view in the response: %w", err)
	}
	return v, nil
}

// SummarizeAgreement returns a line that states whether the views agree and, if not, which routers differ
// about which members. agree is also false if a router did not answer.
func SummarizeAgreement(results []ViewResult) (line string, agree bool) {
	groups := map[string][]FleetView{}
	var unanswered []string
	for _, a := range results {
		if a.Err != nil {
			unanswered = append(unanswered, a.Addr)
			continue
		}
		groups[a.View.Digest] = append(groups[a.View.Digest], a.View)
	}
	var groupsBySize [][]FleetView
	for _, g := range groups {
		slices.SortFunc(g, func(a, b FleetView) int { return cmp.Compare(a.Name, b.Name) })
		groupsBySize = append(groupsBySize, g)
	}
	slices.SortFunc(groupsBySize, func(a, b []FleetView) int {
		return cmp.Or(len(b)-len(a), cmp.Compare(a[0].Name, b[0].Name))
	})
	unansweredNote := ""
	if len(unanswered) > 0 {
		unansweredNote = "; no answer from " + abbreviate(unanswered)
	}
	switch {
	case len(groupsBySize) == 0:
		return "no router answered" + unansweredNote, false
	case len(groupsBySize) == 1:
		v := groupsBySize[0][0]
		return fmt.Sprintf("%d routers agree: %s (digest %s)%s", len(groupsBySize[0]), formatStateCounts(v), v.Digest, unansweredNote), len(unanswered) == 0
	}
	var disagreements []string
	for _, g := range groupsBySize[1:] {
		disagreements = append(disagreements, fmt.Sprintf("%s differ%s about %s", abbreviate(routerNames(g)), verbSuffix(len(g)), abbreviate(diffMembers(groupsBySize[0][0], g[0]))))
	}
	return fmt.Sprintf("%d views: %s agree%s; %s%s", len(groupsBySize), abbreviate(routerNames(groupsBySize[0])), verbSuffix(len(groupsBySize[0])), strings.Join(disagreements, "; "), unansweredNote), false
}

// verbSuffix returns the ending of a verb whose subject is n routers.
func verbSuffix(n int) string {
	if n == 1 {
		return "s"
	}
	return ""
}

// routerNames returns the names of the routers that the views come from.
func routerNames(g []FleetView) (out []string) {
	for _, v := range g {
		out = append(out, v.Name)
	}
	return out
}

// abbreviate lists the first names, and the number of those left out.
func abbreviate(names []string) string {
	const maxNames = 6
	if len(names) == 0 {
		return "nobody's state"
	}
	if len(names) > maxNames {
		return fmt.Sprintf("%s and %d more", strings.Join(names[:maxNames], ", "), len(names)-maxNames)
	}
	return strings.Join(names, ", ")
}

// presentStates are the states of the members that count when views are compared.
var presentStates = []string{"joining", "alive", "suspect", "silent", "lost"}

// diffMembers returns the members that differ between two views, each with its states in a and in b.
func diffMembers(a, b FleetView) (out []string) {
	presentMembers := func(v FleetView) map[string]Member {
		m := map[string]Member{}
		for _, member := range v.Members {
			if slices.Contains(presentStates, member.State) {
				m[member.Name] = member
			}
		}
		return m
	}
	membersA, membersB := presentMembers(a), presentMembers(b)
	for name, m := range membersA {
		other, ok := membersB[name]
		switch {
		case !ok:
			out = append(out, fmt.Sprintf("%s (%s, not there)", name, m.State))
		case other.State != m.State:
			out = append(out, fmt.Sprintf("%s (%s, %s)", name, m.State, other.State))
		case other.Start != m.Start:
			out = append(out, fmt.Sprintf("%s (another start)", name))
		}
	}
	for name, m := range membersB {
		if _, ok := membersA[name]; !ok {
			out = append(out, fmt.Sprintf("%s (not there, %s)", name, m.State))
		}
	}
	slices.Sort(out)
	return out
}

// formatStateCounts formats the number of members in each state.
func formatStateCounts(v FleetView) string {
	counts := map[string]int{}
	for _, m := range v.Members {
		counts[m.State]++
	}
	var out []string
	for _, s := range append(slices.Clip(presentStates), "gone", "left") {
		if counts[s] > 0 {
			out = append(out, fmt.Sprintf("%d %s", counts[s], s))
		}
	}
	return strings.Join(out, ", ")
}

// WriteStatus writes a report of the fleet's state from the views of several routers: a summary line,
// then a row per router, followed by its members that are neither alive nor have left. Returns false if
// the views differ or a router did not answer.
func WriteStatus(w io.Writer, results []ViewResult) (agree bool) {
	line, agree := SummarizeAgreement(results)
	fmt.Fprintln(w, line)
	for _, a := range results {
		if a.Err != nil {
			fmt.Fprintf(w, "  %-22s no answer: %v\n", a.Addr, a.Err)
			continue
		}
		v := a.View
		share := "no part"
		if v.ResourceShare.Divisor > 0 {
			share = fmt.Sprintf("1 of %g parts", v.ResourceShare.Divisor)
		}
		fmt.Fprintf(w, "  %-22s %-24s %s  settled %.1f s, doubt %d, %s\n", a.Addr, v.Name, v.Digest, v.SettledS, v.FailureSuspicion, share)
		for _, m := range v.Members {
			if m.State != "alive" && m.State != "left" {
				reporter := m.ReportedBy
				if reporter == "" {
					reporter = "its own word"
				}
				fmt.Fprintf(w, "      %-24s %-22s %-8s %-8s for %.1f s, by %s\n", m.Name, m.Addr, m.Site, m.State, float64(m.SinceMS)/1000, reporter)
			}
		}
	}
	return agree
}
