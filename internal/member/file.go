package member

import (
	"bytes"
	"fmt"
	"math"
	"net"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"mossproxy.example/mossproxy/internal/tomlfile"
)

// MaxFileBytes is the longest server file that is read, in bytes: some ten thousand servers.
const MaxFileBytes = 1 << 20

// maxWeight bounds weights: the hash table gives a server places by its weight, and they are few.
const maxWeight = 16

// originKind is what a server file calls the origin.
const originKind = "origin"

// cacheKind is the kind of a server whose file names none.
const cacheKind = "cache"

// Rules are what a pool asks of its server files.
type Rules struct {
	Sites     []string // that servers may stand in; empty = any
	Kinds     []string // of cache servers; empty = any
	Origin    bool     // the pool needs an origin, exactly one
	GoneShare float64  // refuses lists that take away more than this share of the cache servers at once
}

// DefaultGoneShare is the share of the cache servers that one edit may take away, where nothing else is set.
const DefaultGoneShare = 0.5

// File is a server file that was read whole.
type File struct {
	Edition int64    // 0 = the file has none
	Allow   []string // what it allows on purpose
	Servers []Entry  // Started below 0: the file does not tell
}

// document mirrors a server file.
type document struct {
	Edition int64       `toml:"edition"`
	Allow   []string    `toml:"allow"`
	Servers []serverRow `toml:"servers"`
	End     any         `toml:"end"`
}

// serverRow is one server in a server file.
type serverRow struct {
	ID      string    `toml:"id"`
	Addr    string    `toml:"addr"`
	Site    string    `toml:"site"`
	Kind    string    `toml:"kind"`
	Cell    int       `toml:"cell"`
	Weight  *float64  `toml:"weight"`
	State   string    `toml:"state"`
	Started time.Time `toml:"started"`
	Warm    bool      `toml:"warm"`
}

// endLinePattern is the last line of a whole file. A file may end at any byte of an edit, also where what is there would parse:
// this is what it then lacks.
var endLinePattern = regexp.MustCompile(`^end\s*=`)

// ParseFile reads a server file. It is taken whole or not at all: all that is wrong comes back as faults.
func ParseFile(name string, text []byte, rules Rules) (File, tomlfile.Faults) {
	if len(text) > MaxFileBytes {
		return File{}, tomlfile.Faults{{File: name, What: fmt.Sprintf("over %d bytes; a server file holds at most that", MaxFileBytes)}}
	}
	if len(bytes.TrimSpace(text)) == 0 {
		return File{}, tomlfile.Faults{{File: name, Line: 1, What: "the file is empty; a list needs servers and, as its last line, end = COUNT"}}
	}
	var doc document
	d, faults := tomlfile.Decode(name, text, &doc)
	if faults != nil {
		return File{}, faults
	}
	r := validator{doc: d, rules: rules}
	f := File{Edition: doc.Edition, Allow: doc.Allow}
	r.checkEnd(text, &doc)
	for i, a := range doc.Allow {
		if _, ok := parseAllowance(a); !ok {
			r.addFault(fmt.Sprintf("allow[%d]", i), `%q allows nothing known; "site-gone NAME" or "gone COUNT" would`, a)
		}
	}
	for i := range doc.Servers {
		f.Servers = append(f.Servers, r.checkServer(i, &doc.Servers[i]))
	}
	r.checkList(f.Servers)
	if r.faults != nil {
		return File{}, r.faults
	}
	return f, nil
}

// validator collects the faults of one file.
type validator struct {
	doc       *tomlfile.Doc
	rules     Rules
	faults    tomlfile.Faults
	rowByID   map[string]int
	rowByAddr map[string]int
	rowByHash map[uint32]int
}

// maxFaults bounds what is said about one file.
const maxFaults = 100

func (r *validator) addFault(key, format string, args ...any) {
	if len(r.faults) < maxFaults {
		r.faults = append(r.faults, r.doc.Fault(key, format, args...))
	}
}

// checkEnd checks the mark that a file cut short lacks.
func (r *validator) checkEnd(text []byte, doc *document) {
	want := fmt.Sprintf("end = %d", len(doc.Servers))
	if doc.Edition != 0 {
		want = fmt.Sprintf("end = {servers = %d, edition = %d}", len(doc.Servers), doc.Edition)
	}
	lines := bytes.Split(bytes.TrimRight(text, "\r\n\t "), []byte("\n"))
	for len(lines) > 1 && bytes.HasPrefix(bytes.TrimSpace(lines[len(lines)-1]), []byte("#")) {
		lines = lines[:len(lines)-1]
	}
	last := tomlfile.Fault{File: r.doc.File, Line: len(lines), Key: "end"}
	fail := func(format string, args ...any) {
		last.What = fmt.Sprintf(format, args...)
		r.faults = append(r.faults, last)
	}
	count, edition, ok := parseEndMarker(doc.End)
	switch {
	case doc.End == nil:
		fail("the last line is missing, so the file may be cut short; if it is whole, add as its last line: %s", want)
	case !endLinePattern.Match(bytes.TrimSpace(lines[len(lines)-1])):
		fail("something stands behind the end line; make this the last line: %s", want)
	case !ok:
		fail("not an end line; write: %s", want)
	case count != int64(len(doc.Servers)):
		fail("says %d servers, and the file lists %d; if the file is whole, write: %s", count, len(doc.Servers), want)
	case edition != doc.Edition:
		fail("says edition %d, and the head says %d, as in a file that was written over half way; if it is whole, write: %s",
			edition, doc.Edition, want)
	case doc.Edition < 0:
		r.addFault("edition", "%d is below 1; count editions up from 1", doc.Edition)
	}
}

// parseEndMarker reads the value of the end line: COUNT or {servers = COUNT, edition = NUMBER}.
func parseEndMarker(v any) (count, edition int64, ok bool) {
	switch v := v.(type) {
	case int64:
		return v, 0, true
	case map[string]any:
		count, ok = v["servers"].(int64)
		if e, has := v["edition"]; has && ok {
			edition, ok = e.(int64)
		}
		return count, edition, ok && len(v) <= 2
	}
	return 0, 0, false
}

// states of a server in a file. One that is removed drains likewise.
var fileStates = []string{"active", "leaving"}

// compareServer checks one server and returns it as lists hold it.
func (r *validator) checkServer(i int, s *serverRow) Entry {
	at := fmt.Sprintf("servers[%d]", i)
	bad := func(key, format string, args ...any) { r.addFault(at+"."+key, format, args...) }
	if s.ID == "" || len(s.ID) > 64 || strings.ContainsFunc(s.ID, func(c rune) bool { return c <= ' ' || c > '~' }) {
		bad("id", "%.40q is no id; up to 64 letters, digits and signs are", s.ID)
	}
	if host, port, err := net.SplitHostPort(s.Addr); err != nil || host == "" || !isPort(port) {
		bad("addr", "%.60q is no address; HOST:PORT with a port from 1 to 65535 is", s.Addr)
	}
	if s.Kind == "" {
		s.Kind = cacheKind
	}
	if s.State == "" {
		s.State = "active"
	}
	if s.Site == "" {
		bad("site", "missing; name the site that the server stands in")
	} else if len(r.rules.Sites) > 0 && !slices.Contains(r.rules.Sites, s.Site) {
		bad("site", "%.40q is no site of this pool; it has %s", s.Site, strings.Join(r.rules.Sites, ", "))
	}
	if s.Kind != originKind && len(r.rules.Kinds) > 0 && !slices.Contains(r.rules.Kinds, s.Kind) {
		bad("kind", "%.40q is no kind of this pool; it has %s and %s", s.Kind, strings.Join(r.rules.Kinds, ", "), originKind)
	}
	if !slices.Contains(fileStates, s.State) {
		bad("state", "%.40q is no state; %s are", s.State, strings.Join(fileStates, " and "))
	}
	weight := 1.0
	if s.Weight != nil {
		weight = *s.Weight
	}
	if !(weight >= 0 && weight <= maxWeight) {
		bad("weight", "%v is no weight; from 0 (nothing new) over 1 (the usual) to %d is", weight, maxWeight)
	}
	started := float64(unknownStart)
	switch {
	case s.Warm && !s.Started.IsZero():
		bad("warm", "stands beside started; one of the two tells how warm it is")
	case s.Warm:
		started = 0
	case !s.Started.IsZero():
		started = float64(s.Started.UnixMilli())
	}
	r.checkDuplicate(at+".id", s.ID, &r.rowByID, i)
	r.checkDuplicate(at+".addr", s.Addr, &r.rowByAddr, i)
	if j, ok := r.findHashCollision(s.ID, i); ok {
		bad("id", "%q has the same number as servers[%d] in the hash; change one of the two", s.ID, j)
	}
	return Entry{ID: s.ID, Addr: s.Addr, Zone: s.Site, Kind: s.Kind, Cell: s.Cell, State: s.State, Weight: weight, Started: started}
}

// unknownStart stands for a start that the file does not tell.
const unknownStart = -1

// isPort says whether text is a port that can be connected to.
func isPort(text string) bool {
	n, err := strconv.ParseUint(text, 10, 16)
	return err == nil && n > 0
}

// checkDuplicate reports a value that stood at a server before.
func (r *validator) checkDuplicate(key, value string, seen *map[string]int, i int) {
	if *seen == nil {
		*seen = map[string]int{}
	}
	if j, ok := (*seen)[value]; ok && value != "" {
		r.addFault(key, "%q stands at servers[%d] too, in line %d; each server has its own", value, j, r.doc.Line(fmt.Sprintf("servers[%d]", j)))
		return
	}
	(*seen)[value] = i
}

// findHashCollision finds another id that the module can't tell from this one.
func (r *validator) findHashCollision(id string, i int) (int, bool) {
	if r.rowByHash == nil {
		r.rowByHash = map[uint32]int{}
	}
	n := ServerID(id)
	j, taken := r.rowByHash[n]
	if !taken {
		r.rowByHash[n] = i
	}
	return j, taken && r.rowByID[id] == i
}

// checkList checks what only the list as a whole can tell.
func (r *validator) checkList(servers []Entry) {
	caches, origins, active, weight := 0, 0, 0, 0.0
	for _, s := range servers {
		if s.Kind == originKind {
			origins++
			continue
		}
		caches++
		if s.State == "active" {
			active++
			weight += s.Weight
		}
	}
	switch {
	case caches == 0:
		r.addFault("servers", "no cache server is listed; a list without any is never taken")
	case active == 0:
		r.addFault("servers", "every cache server is leaving; at least one must be active")
	case !(weight > 0) && !math.IsNaN(weight):
		r.addFault("servers", "every weight is 0; at least one must be above")
	}
	switch {
	case r.rules.Origin && origins == 0:
		r.addFault("servers", `no origin is listed, and this pool needs one: a server with kind = "origin"`)
	case origins > 1:
		r.addFault("servers", "%d origins are listed; a pool has one", origins)
	case origins > 0 && !r.rules.Origin:
		r.addFault("servers", `an origin is listed, and this pool has none: its configuration says origin = "none"`)
	}
}

// allowance is something that a file allows on purpose.
type allowance struct {
	site    string // whose servers may all go
	maxGone int    // or how many servers may go at once
}

// parseAllowance reads "site-gone NAME" or "gone COUNT".
func parseAllowance(text string) (allowance, bool) {
	kind, rest, _ := strings.Cut(text, " ")
	switch kind {
	case "site-gone":
		return allowance{site: rest}, rest != ""
	case "gone":
		n, err := strconv.Atoi(rest)
		return allowance{maxGone: n}, err == nil && n > 0
	}
	return allowance{}, false
}
