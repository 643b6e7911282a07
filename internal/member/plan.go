package member

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// Change is what going from one list to the next does.
type Change struct {
	Added      []string // ids that are new, or are back
	Drained    []string // ids that get nothing new any more: removed, leaving, or of weight 0
	Reweighted []string // "id 1 -> 0.25"
	Moved      []string // "id 10.0.0.1:11211 -> 10.0.0.9:11211": a new process, cold
	Altered    []string // ids of another site, kind, cell or start
	Refused    []string // why the list is not taken; empty = it is
	Notes      []string // what the person who edits may want to know
	Next       File     // the list to be used, starts filled in
}

// Empty says whether the change changes nothing.
func (c *Change) Empty() bool {
	return len(c.Added)+len(c.Drained)+len(c.Reweighted)+len(c.Moved)+len(c.Altered) == 0
}

// Plan says what a new file does to the list in use. Nothing is read or written, and the same arguments give the same
// change. A nil old file is the first of all; now is Unix time in milliseconds.
//
// A server that comes by an edit, or to another address, counts as started now unless its file says otherwise: nobody
// has told that it is warm, and a cold one must not be pushed over. Those of the first file count as started long ago.
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
	was := make(map[string]Entry, len(old.Servers))
	for _, s := range old.Servers {
		was[s.ID] = s
	}
	for i := range c.Next.Servers {
		s := &c.Next.Servers[i]
		p, had := was[s.ID]
		delete(was, s.ID)
		c.compareServer(p, had, s, now)
	}
	for _, s := range old.Servers {
		if _, gone := was[s.ID]; gone {
			c.Drained = append(c.Drained, s.ID)
		}
	}
	c.checkPlausible(old, rules)
	return c
}

// compareServer books what becomes of one server that the new file lists.
func (c *Change) compareServer(p Entry, had bool, s *Entry, now float64) {
	told := s.Started >= 0
	switch {
	case !had:
		c.Added = append(c.Added, s.ID)
		if !told {
			s.Started = now
		}
		return
	case p.Addr != s.Addr:
		c.Moved = append(c.Moved, fmt.Sprintf("%s %s -> %s", s.ID, p.Addr, s.Addr))
		if !told {
			s.Started = now
		}
	case !told:
		s.Started = p.Started
	}
	if p.acceptsRequests() && !s.acceptsRequests() {
		c.Drained = append(c.Drained, s.ID)
	} else if !p.acceptsRequests() && s.acceptsRequests() {
		c.Added = append(c.Added, s.ID)
	} else if p.Weight != s.Weight {
		c.Reweighted = append(c.Reweighted, fmt.Sprintf("%s %v -> %v", s.ID, p.Weight, s.Weight))
	}
	if p.Addr == s.Addr && (p.Zone != s.Zone || p.Kind != s.Kind || p.Cell != s.Cell || p.Started != s.Started) {
		c.Altered = append(c.Altered, s.ID)
	}
}

// acceptsRequests says whether a server may get anything new.
func (e Entry) acceptsRequests() bool { return e.State == "active" && e.Weight > 0 }

// checkPlausible refuses a list that is likely a mistake, unless the file allows it on purpose, for this one list: an allowance
// that stood in the list before is spent.
func (c *Change) checkPlausible(old *File, rules Rules) {
	if old.Edition > 0 && c.Next.Edition == old.Edition && !c.Empty() {
		c.refuse("edition %d is in use and this list is another; raise it to %d, in the head and in the end line", old.Edition, old.Edition+1)
	}
	if old.Edition > 0 && c.Next.Edition < old.Edition {
		c.refuse("edition %d is older than %d, which is in use; write %d, in the head and in the end line", c.Next.Edition, old.Edition, old.Edition+1)
	}
	var spent []string
	var allowed allowance
	sites := map[string]bool{}
	for _, text := range c.Next.Allow {
		if slices.Contains(old.Allow, text) {
			spent = append(spent, fmt.Sprintf("%q", text))
			continue
		}
		a, _ := parseAllowance(text)
		allowed.maxGone = max(allowed.maxGone, a.maxGone)
		sites[a.site] = true
	}
	before, after := countAcceptingBySite(old.Servers), countAcceptingBySite(c.Next.Servers)
	var lost []string
	for _, s := range old.Servers { // in the order of the file, so that the same files give the same words
		site := s.Zone
		if before[site] > 0 && after[site] == 0 && !sites[site] && !slices.Contains(lost, site) {
			lost = append(lost, site)
		}
	}
	for _, site := range lost {
		c.refuse(`site %s would lose all of its %d servers; if that is meant, add to the head of the file: allow = ["site-gone %s"]`, site, before[site], site)
	}
	total, gone := 0, 0
	for _, n := range before {
		total += n
	}
	leaves := make(map[string]bool, len(c.Drained)+len(c.Moved))
	for _, id := range c.Drained {
		leaves[id] = true
	}
	for _, m := range c.Moved { // a new process lacks what the one before it held
		id, _, _ := strings.Cut(m, " ")
		leaves[id] = true
	}
	for _, s := range old.Servers {
		if s.isCache() && s.acceptsRequests() && leaves[s.ID] && !sites[s.Zone] {
			gone++
		}
	}
	if share := rules.GoneShare; share > 0 && float64(gone) > share*float64(total) && gone > allowed.maxGone {
		c.refuse(`%d of %d servers would go, or move to another address, at once: more than %v%%; if that is meant, add to the head of the file: allow = ["gone %d"]`,
			gone, total, math.Round(share*1000)/10, gone)
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

func (e Entry) isCache() bool { return e.Kind != originKind }

// countAcceptingBySite counts the cache servers of each site that take requests.
func countAcceptingBySite(servers []Entry) map[string]int {
	n := map[string]int{}
	for _, s := range servers {
		if s.isCache() && s.acceptsRequests() {
			n[s.Zone]++
		}
	}
	return n
}

// String is the change in lines for a person.
func (c *Change) String() string {
	var b strings.Builder
	line := func(name string, items []string) {
		if len(items) == 0 {
			return
		}
		const most = 12
		rest := ""
		if len(items) > most {
			rest = fmt.Sprintf(" and %d more", len(items)-most)
			items = items[:most]
		}
		fmt.Fprintf(&b, "%s: %s%s\n", name, strings.Join(items, ", "), rest)
	}
	line("added", c.Added)
	line("drained", c.Drained)
	line("reweighted", c.Reweighted)
	line("moved", c.Moved)
	line("altered", c.Altered)
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

// List is the file as the router takes it: the whole list. Weight 0 is a server that gets nothing new.
func (f *File) List(version int64) List {
	l := List{Version: version, Full: true, Servers: slices.Clone(f.Servers)}
	for i := range l.Servers {
		if s := &l.Servers[i]; s.State == "active" && !(s.Weight > 0) {
			s.State = "leaving"
		}
	}
	return l
}
