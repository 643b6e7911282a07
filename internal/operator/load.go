package operator

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// maxAdmittedShareSpread is by how much of all requests two routers' lines may differ before that is said.
const maxAdmittedShareSpread = 0.15

// WriteLoad writes what several routers say of the load of the fleet: for each pool a line on what is served, below it a row for each router with its part of
// what all share, and what it refuses. Status is false where one did not answer, or where lines lie apart.
func WriteLoad(w io.Writer, asked []ViewResult) (agree bool) {
	agree = true
	for _, a := range asked {
		if a.Err != nil {
			agree = false
			fmt.Fprintf(w, "%s: no answer: %v\n", a.Addr, a.Err)
		}
	}
	names, pools := admissionsByPool(asked)
	if len(names) == 0 {
		fmt.Fprintln(w, "no router tells of a pool")
		return false
	}
	for _, name := range names {
		said, same := describeAdmission(pools[name])
		fmt.Fprintf(w, "pool %s: %s\n", name, said)
		agree = agree && same
		writeRouterRows(w, name, asked)
	}
	return agree
}

// admissionsByPool are the lines of those who answered, by pool, and the pools in order.
func admissionsByPool(asked []ViewResult) (names []string, pools map[string][]Admission) {
	pools = map[string][]Admission{}
	for _, a := range asked {
		for _, l := range a.View.Admissions {
			pools[l.Pool] = append(pools[l.Pool], l)
		}
	}
	return slices.Sorted(maps.Keys(pools)), pools
}

// SummarizeServed says in a few words how much each pool serves.
func SummarizeServed(asked []ViewResult) string {
	names, pools := admissionsByPool(asked)
	var out []string
	for _, name := range names {
		ls := pools[name]
		slices.SortFunc(ls, func(a, b Admission) int { return cmp.Compare(a.AdmittedShare, b.AdmittedShare) })
		out = append(out, fmt.Sprintf("%s serves %.0f%%", name, 100*ls[len(ls)/2].AdmittedShare))
	}
	return strings.Join(out, ", ")
}

// describeAdmission says in one line what is served, by the router in the middle of those that were asked.
func describeAdmission(ls []Admission) (said string, same bool) {
	ls = slices.Clone(ls)
	slices.SortFunc(ls, func(a, b Admission) int { return cmp.Compare(a.AdmittedShare, b.AdmittedShare) })
	l, lo, hi := ls[len(ls)/2], ls[0].AdmittedShare, ls[len(ls)-1].AdmittedShare
	load := fmt.Sprintf("%.0f a second asked of each router, room for %.0f", l.Arrivals, l.Capacity)
	switch {
	case l.Capacity == 0:
		said = "no server has said what it can do; nothing is refused for all"
	case l.AdmittedShare >= 1:
		said = "all is served; " + load
	default:
		said = fmt.Sprintf("%.0f%% is served: all that is worth over %.3g of the highest, and %.0f%% of what is worth about that; %s", 100*l.AdmittedShare, l.Worth, 100*l.ThresholdShare, load)
	}
	if hi-lo > maxAdmittedShareSpread {
		return said + fmt.Sprintf("; the routers differ: %.0f%% to %.0f%%", 100*lo, 100*hi), false
	}
	return said, true
}

// writeRouterRows writes one for each router that has the pool.
func writeRouterRows(w io.Writer, pool string, asked []ViewResult) {
	for _, a := range asked {
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

// totalShed is all that a router refuses under the line.
func totalShed(l Admission) (sum float64) {
	for _, x := range l.ByWorth {
		sum += x.Shed
	}
	return sum
}
