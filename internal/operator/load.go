package operator

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// maxAdmittedShareSpread is the largest difference between two routers' admitted shares of the same pool
// that is not reported as a disagreement.
const maxAdmittedShareSpread = 0.15

// WriteLoad writes a report of the fleet's load from the views of several routers: for each pool a line
// on what is served, followed by a row per router with its share of the common resources and its
// refusals. Returns false if a router did not answer, if none reports a pool, or if the admitted shares
// of a pool differ too much.
func WriteLoad(w io.Writer, results []ViewResult) (agree bool) {
	agree = true
	for _, a := range results {
		if a.Err != nil {
			agree = false
			fmt.Fprintf(w, "%s: no answer: %v\n", a.Addr, a.Err)
		}
	}
	names, pools := admissionsByPool(results)
	if len(names) == 0 {
		fmt.Fprintln(w, "no router tells of a pool")
		return false
	}
	for _, name := range names {
		description, sameShare := describeAdmission(pools[name])
		fmt.Fprintf(w, "pool %s: %s\n", name, description)
		agree = agree && sameShare
		writeRouterRows(w, name, results)
	}
	return agree
}

// admissionsByPool returns the admissions that the routers report, by pool, and the sorted names of the
// pools.
func admissionsByPool(results []ViewResult) (names []string, pools map[string][]Admission) {
	pools = map[string][]Admission{}
	for _, a := range results {
		for _, l := range a.View.Admissions {
			pools[l.Pool] = append(pools[l.Pool], l)
		}
	}
	return slices.Sorted(maps.Keys(pools)), pools
}

// SummarizeServed returns a short text with the share of requests that each pool serves, the median over the
// routers.
func SummarizeServed(results []ViewResult) string {
	names, pools := admissionsByPool(results)
	var out []string
	for _, name := range names {
		admissions := pools[name]
		slices.SortFunc(admissions, func(a, b Admission) int { return cmp.Compare(a.AdmittedShare, b.AdmittedShare) })
		out = append(out, fmt.Sprintf("%s serves %.0f%%", name, 100*admissions[len(admissions)/2].AdmittedShare))
	}
	return strings.Join(out, ", ")
}

// describeAdmission describes in one line what a pool serves, by the router with the median admitted share.
// Reports also whether the routers' admitted shares differ by at most maxAdmittedShareSpread.
func describeAdmission(admissions []Admission) (description string, sameShare bool) {
	admissions = slices.Clone(admissions)
	slices.SortFunc(admissions, func(a, b Admission) int { return cmp.Compare(a.AdmittedShare, b.AdmittedShare) })
	median, lowest, highest := admissions[len(admissions)/2], admissions[0].AdmittedShare, admissions[len(admissions)-1].AdmittedShare
	load := fmt.Sprintf("%.0f a second asked of each router, room for %.0f", median.Arrivals, median.Capacity)
	switch {
	case median.Capacity == 0:
		description = "no server has said what it can do; nothing is refused for all"
	case median.AdmittedShare >= 1:
		description = "all is served; " + load
	default:
		description = fmt.Sprintf("%.0f%% is served: all that is worth over %.3g of the highest, and %.0f%% of what is worth about that; %s", 100*median.AdmittedShare, median.Worth, 100*median.ThresholdShare, load)
	}
	if highest-lowest > maxAdmittedShareSpread {
		return description + fmt.Sprintf("; the routers differ: %.0f%% to %.0f%%", 100*lowest, 100*highest), false
	}
	return description, true
}

// writeRouterRows writes a row for each router that reports the pool, with a row per band of worth below it.
func writeRouterRows(w io.Writer, pool string, results []ViewResult) {
	for _, a := range results {
		i := slices.IndexFunc(a.View.Admissions, func(l Admission) bool { return l.Pool == pool })
		if a.Err != nil || i < 0 {
			continue
		}
		l, p := a.View.Admissions[i], a.View.ResourceShare
		fmt.Fprintf(w, "  %-22s %-16s asked %7.1f/s  share %.4f (borrowed %.4f, lent %.4f)  refused: under the line %.1f/s, no room %.1f/s\n", a.Addr, a.View.Name, l.LocalArrivals,
			p.Effective, p.LeasedIn, p.LeasedOut, totalShed(l), l.Rejected)
		for _, x := range l.ByWorth {
			fmt.Fprintf(w, "      worth %-8.3g asked %7.1f/s, refused under the line %7.1f/s\n", x.Worth, x.Arrivals, x.Shed)
		}
	}
}

// totalShed returns the rate of requests that a router sheds below the admission threshold.
func totalShed(l Admission) (sum float64) {
	for _, x := range l.ByWorth {
		sum += x.Shed
	}
	return sum
}
