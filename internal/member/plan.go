package member

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// Change describes the difference between the list in use and the next one.
type Change struct {
	Added      []string // ids of servers that are new or accept requests again
	Drained    []string // ids of servers that no longer accept requests: removed, leaving or of weight 0
	Reweighted []string // "id 1 -> 0.25"
	Moved      []string // "id 10.0.0.1:11211 -> 10.0.0.9:11211"; the process at the new address is cold
	Altered    []string // ids of servers whose site, kind, cell or start differs
	Refused    []string // why the list is refused; empty = it is accepted
	Notes      []string // hints for the person who edits the file
	Next       File     // the next list, with the start times filled in
}

// Empty reports whether no server changes.
func (c *Change) Empty() bool {
	return len(c.Added)+len(c.Drained)+len(c.Reweighted)+len(c.Moved)+len(c.Altered) == 0
}

// Plan returns the change from the list in use to that of a new file. It does no I/O and depends only on its
// arguments. If old is nil, there is no list in use; now is the Unix time in milliseconds.
//
// A server that an edit adds or moves to another address counts as started now unless the file says
// otherwise: it may be cold, and a cold server must not be overloaded. Servers of the first file count as
// started long ago.
func Plan(old *File, next File, rules Rules, now float64) Change {
	c := Change{Next: next}
	c.Next.Servers = slices.Clone(next.Servers)
	if old == nil {
		for i := range c.Next.Servers {
			s := &c.Next.Servers[i]
			s.Started = max(0, s.Started)
			c.Added = append(c.Added, s.ID)
		}
		return c
	}
	removed := make(map[string]Entry, len(old.Servers))
	for _, s := range old.Servers {
		removed[s.ID] = s
	}
	for i := range c.Next.Servers {
		s := &c.Next.Servers[i]
		previous, existed := removed[s.ID]
		delete(removed, s.ID)
		c.compareServer(previous, existed, s, now)
	}
	for _, s := range old.Servers {
		if _, wasRemoved := removed[s.ID]; wasRemoved {
			c.Drained = append(c.Drained, s.ID)
		}
	}
	c.checkPlausible(old, rules)
	return c
}

// compareServer records how a server of the new file differs from its previous entry, and fills in its start.
func (c *Change) compareServer(previous Entry, existed bool, s *Entry, now float64) {
	startKnown := s.Started >= 0
	switch {
	case !existed:
		c.Added = append(c.Added, s.ID)
		if !startKnown {
			s.Started = now
		}
		return
	case previous.Addr != s.Addr:
		c.Moved = append(c.Moved, fmt.Sprintf("%s %s -> %s", s.ID, previous.Addr, s.Addr))
		if !startKnown {
			s.Started = now
		}
	case !startKnown:
		s.Started = previous.Started
	}
	if previous.acceptsRequests() && !s.acceptsRequests() {
		c.Drained = append(c.Drained, s.ID)
	} else if !previous.acceptsRequests() && s.acceptsRequests() {
		c.Added = append(c.Added, s.ID)
	} else if previous.Weight != s.Weight {
		c.Reweighted = append(c.Reweighted, fmt.Sprintf("%s %v -> %v", s.ID, previous.Weight, s.Weight))
	}
	if previous.Addr == s.Addr && (previous.Zone != s.Zone || previous.Kind != s.Kind || previous.Cell != s.Cell || previous.Started != s.Started) {
		c.Altered = append(c.Altered, s.ID)
	}
}

// acceptsRequests reports whether the server may get new requests.
func (e Entry) acceptsRequests() bool { return e.State == "active" && e.Weight > 0 }

// checkPlausible refuses a list that is probably a mistake, unless the file permits it explicitly. A
// permission is valid for one list only: one that was in the previous list already no longer counts.
func (c *Change) checkPlausible(old *File, rules Rules) {
	if old.Edition > 0 && c.Next.Edition == old.Edition && !c.Empty() {
		c.refuse("edition %d is in use and this list is another; raise it to %d, in the head and in the end line", old.Edition, old.Edition+1)
	}
	if old.Edition > 0 && c.Next.Edition < old.Edition {
		c.refuse("edition %d is older than %d, which is in use; write %d, in the head and in the end line", c.Next.Edition, old.Edition, old.Edition+1)
	}
	var spent []string
	var granted allowance
	removableSites := map[string]bool{}
	for _, text := range c.Next.Allow {
		if slices.Contains(old.Allow, text) {
			spent = append(spent, fmt.Sprintf("%q", text))
			continue
		}
		a, _ := parseAllowance(text)
		granted.maxGone = max(granted.maxGone, a.maxGone)
		removableSites[a.site] = true
	}
	before, after := countAcceptingBySite(old.Servers), countAcceptingBySite(c.Next.Servers)
	var lostSites []string
	for _, s := range old.Servers { // in the order of the file, so that messages are reproducible
		site := s.Zone
		if before[site] > 0 && after[site] == 0 && !removableSites[site] && !slices.Contains(lostSites, site) {
			lostSites = append(lostSites, site)
		}
	}
	for _, site := range lostSites {
		c.refuse(`site %s would lose all of its %d servers; if that is meant, add to the head of the file: allow = ["site-gone %s"]`, site, before[site], site)
	}
	total, leaving := 0, 0
	for _, n := range before {
		total += n
	}
	leavingIDs := make(map[string]bool, len(c.Drained)+len(c.Moved))
	for _, id := range c.Drained {
		leavingIDs[id] = true
	}
	for _, m := range c.Moved { // a new process does not have the previous one's data
		id, _, _ := strings.Cut(m, " ")
		leavingIDs[id] = true
	}
	for _, s := range old.Servers {
		if s.isCache() && s.acceptsRequests() && leavingIDs[s.ID] && !removableSites[s.Zone] {
			leaving++
		}
	}
	if share := rules.GoneShare; share > 0 && float64(leaving) > share*float64(total) && leaving > granted.maxGone {
		c.refuse(`%d of %d servers would go, or move to another address, at once: more than %v%%; if that is meant, add to the head of the file: allow = ["gone %d"]`,
			leaving, total, math.Round(share*1000)/10, leaving)
	}
	if len(spent) > 0 {
		c.Notes = append(c.Notes, "allow: "+strings.Join(spent, ", ")+
			" stood in the list before and is spent; take it out, or save once without it to use it again")
	}
	if len(c.Refused) > 0 {
		c.Refused = append(c.Refused, c.Notes...)
	}
}

func (c *Change) refuse(format string, args ...any) {
	c.Refused = append(c.Refused, fmt.Sprintf(format, args...))
}

// isCache reports whether the server is a cache server and not the origin.
func (e Entry) isCache() bool { return e.Kind != originKind }

// countAcceptingBySite returns the number of cache servers that accept requests, by site.
func countAcceptingBySite(servers []Entry) map[string]int {
	n := map[string]int{}
	for _, s := range servers {
		if s.isCache() && s.acceptsRequests() {
			n[s.Zone]++
		}
	}
	return n
}

// String describes the change for people, one line for each kind of difference, refusal or note.
func (c *Change) String() string {
	var b strings.Builder
	writeLine := func(name string, items []string) {
		if len(items) == 0 {
			return
		}
		const maxItems = 12
		rest := ""
		if len(items) > maxItems {
			rest = fmt.Sprintf(" and %d more", len(items)-maxItems)
			items = items[:maxItems]
		}
		fmt.Fprintf(&b, "%s: %s%s\n", name, strings.Join(items, ", "), rest)
	}
	writeLine("added", c.Added)
	writeLine("drained", c.Drained)
	writeLine("reweighted", c.Reweighted)
	writeLine("moved", c.Moved)
	writeLine("altered", c.Altered)
	for _, r := range c.Refused {
		fmt.Fprintf(&b, "refused: %s\n", r)
	}
	if len(c.Refused) == 0 {
		for _, n := range c.Notes {
			fmt.Fprintf(&b, "note: %s\n", n)
		}
	}
	if c.Empty() && len(c.Refused) == 0 {
		b.WriteString("nothing changes\n")
	}
	return b.String()
}

// List returns the servers as a full list with the given version. A server of weight 0 is listed as leaving,
// so that it gets no new requests.
func (f *File) List(version int64) List {
	l := List{Version: version, Full: true, Servers: slices.Clone(f.Servers)}
	for i := range l.Servers {
		if s := &l.Servers[i]; s.State == "active" && !(s.Weight > 0) {
			s.State = "leaving"
		}
	}
	return l
}
