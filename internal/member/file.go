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

// MaxFileBytes is the maximum size of a server file in bytes, enough for about ten thousand servers.
const MaxFileBytes = 1 << 20

// maxWeight is the maximum weight of a server: the hash table assigns slots by weight, and has few of them.
const maxWeight = 16

// originKind is the kind of the origin in a server file.
const originKind = "origin"

// cacheKind is the kind of a server for which the file gives none.
const cacheKind = "cache"

// Rules are a pool's requirements for its server file.
type Rules struct {
	Sites     []string // allowed sites; empty = any
	Kinds     []string // allowed kinds of cache servers; empty = any
	Origin    bool     // the pool needs exactly one origin; otherwise it must have none
	GoneShare float64  // largest share of the active cache servers that one edit may remove; 0 = no limit
}

// DefaultGoneShare is the default of Rules.GoneShare.
const DefaultGoneShare = 0.5

// File is the content of a valid server file.
type File struct {
	Edition int64    // 0 = the file has none
	Allow   []string // removals that the file permits explicitly: "site-gone NAME" or "gone COUNT"
	Servers []Entry  // Started is negative if the file does not give it
}

// document is the TOML structure of a server file.
type document struct {
	Edition int64       `toml:"edition"`
	Allow   []string    `toml:"allow"`
	Servers []serverRow `toml:"servers"`
	End     any         `toml:"end"`
}

// serverRow is the TOML structure of one server.
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

// endLinePattern matches the last line of a complete file. While a file is being written it may end at any
// byte, even where the part would parse; the missing end line shows that it is not complete.
var endLinePattern = regexp.MustCompile(`^end\s*=`)

// ParseFile parses and validates a server file. A file with any fault is rejected as a whole and its faults
// are returned.
func ParseFile(name string, text []byte, rules Rules) (File, tomlfile.Faults) {
	if len(text) > MaxFileBytes {
		return File{}, tomlfile.Faults{{File: name, What: fmt.Sprintf("over %d bytes; a server file holds at most that", MaxFileBytes)}}
	}
	if len(bytes.TrimSpace(text)) == 0 {
		return File{}, tomlfile.Faults{{File: name, Line: 1, What: "the file is empty; a list needs servers and, as its last line, end = COUNT"}}
	}
	var doc document
	decoded, faults := tomlfile.Decode(name, text, &doc)
	if faults != nil {
		return File{}, faults
	}
	v := validator{decoded: decoded, rules: rules}
	f := File{Edition: doc.Edition, Allow: doc.Allow}
	v.checkEnd(text, &doc)
	for i, a := range doc.Allow {
		if _, ok := parseAllowance(a); !ok {
			v.addFault(fmt.Sprintf("allow[%d]", i), `%q allows nothing known; "site-gone NAME" or "gone COUNT" would`, a)
		}
	}
	for i := range doc.Servers {
		f.Servers = append(f.Servers, v.checkServer(i, &doc.Servers[i]))
	}
	v.checkList(f.Servers)
	if v.faults != nil {
		return File{}, v.faults
	}
	return f, nil
}

// validator checks one file and collects its faults.
type validator struct {
	decoded   *tomlfile.Doc
	rules     Rules
	faults    tomlfile.Faults
	rowByID   map[string]int
	rowByAddr map[string]int
	rowByHash map[uint32]int
}

// maxFaults limits the number of faults collected per file.
const maxFaults = 100

func (v *validator) addFault(key, format string, args ...any) {
	if len(v.faults) < maxFaults {
		v.faults = append(v.faults, v.decoded.Fault(key, format, args...))
	}
}

// checkEnd checks the end line, which a truncated file lacks.
func (v *validator) checkEnd(text []byte, doc *document) {
	wantEnd := fmt.Sprintf("end = %d", len(doc.Servers))
	if doc.Edition != 0 {
		wantEnd = fmt.Sprintf("end = {servers = %d, edition = %d}", len(doc.Servers), doc.Edition)
	}
	lines := bytes.Split(bytes.TrimRight(text, "\r\n\t "), []byte("\n"))
	for len(lines) > 1 && bytes.HasPrefix(bytes.TrimSpace(lines[len(lines)-1]), []byte("#")) {
		lines = lines[:len(lines)-1]
	}
	fault := tomlfile.Fault{File: v.decoded.File, Line: len(lines), Key: "end"}
	addEndFault := func(format string, args ...any) {
		fault.What = fmt.Sprintf(format, args...)
		v.faults = append(v.faults, fault)
	}
	count, edition, ok := parseEndMarker(doc.End)
	switch {
	case doc.End == nil:
		addEndFault("the last line is missing, so the file may be cut short; if it is whole, add as its last line: %s", wantEnd)
	case !endLinePattern.Match(bytes.TrimSpace(lines[len(lines)-1])):
		addEndFault("something stands behind the end line; make this the last line: %s", wantEnd)
	case !ok:
		addEndFault("not an end line; write: %s", wantEnd)
	case count != int64(len(doc.Servers)):
		addEndFault("says %d servers, and the file lists %d; if the file is whole, write: %s", count, len(doc.Servers), wantEnd)
	case edition != doc.Edition:
		addEndFault("says edition %d, and the head says %d, as in a file that was written over half way; if it is whole, write: %s",
			edition, doc.Edition, wantEnd)
	case doc.Edition < 0:
		v.addFault("edition", "%d is below 1; count editions up from 1", doc.Edition)
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

// fileStates are the states of a server in a file. A server that is removed from the file drains as well.
var fileStates = []string{"active", "leaving"}

// checkServer validates one server and returns its list entry.
func (v *validator) checkServer(i int, s *serverRow) Entry {
	path := fmt.Sprintf("servers[%d]", i)
	addFault := func(key, format string, args ...any) { v.addFault(path+"."+key, format, args...) }
	if s.ID == "" || len(s.ID) > 64 || strings.ContainsFunc(s.ID, func(c rune) bool { return c <= ' ' || c > '~' }) {
		addFault("id", "%.40q is no id; up to 64 letters, digits and signs are", s.ID)
	}
	if host, port, err := net.SplitHostPort(s.Addr); err != nil || host == "" || !isPort(port) {
		addFault("addr", "%.60q is no address; HOST:PORT with a port from 1 to 65535 is", s.Addr)
	}
	if s.Kind == "" {
		s.Kind = cacheKind
	}
	if s.State == "" {
		s.State = "active"
	}
	if s.Site == "" {
		addFault("site", "missing; name the site that the server stands in")
	} else if len(v.rules.Sites) > 0 && !slices.Contains(v.rules.Sites, s.Site) {
		addFault("site", "%.40q is no site of this pool; it has %s", s.Site, strings.Join(v.rules.Sites, ", "))
	}
	if s.Kind != originKind && len(v.rules.Kinds) > 0 && !slices.Contains(v.rules.Kinds, s.Kind) {
		addFault("kind", "%.40q is no kind of this pool; it has %s and %s", s.Kind, strings.Join(v.rules.Kinds, ", "), originKind)
	}
	if !slices.Contains(fileStates, s.State) {
		addFault("state", "%.40q is no state; %s are", s.State, strings.Join(fileStates, " and "))
	}
	weight := 1.0
	if s.Weight != nil {
		weight = *s.Weight
	}
	if !(weight >= 0 && weight <= maxWeight) {
		addFault("weight", "%v is no weight; from 0 (nothing new) over 1 (the usual) to %d is", weight, maxWeight)
	}
	started := float64(unknownStart)
	switch {
	case s.Warm && !s.Started.IsZero():
		addFault("warm", "stands beside started; one of the two tells how warm it is")
	case s.Warm:
		started = 0
	case !s.Started.IsZero():
		started = float64(s.Started.UnixMilli())
	}
	v.checkDuplicate(path+".id", s.ID, &v.rowByID, i)
	v.checkDuplicate(path+".addr", s.Addr, &v.rowByAddr, i)
	if j, ok := v.findHashCollision(s.ID, i); ok {
		addFault("id", "%q has the same number as servers[%d] in the hash; change one of the two", s.ID, j)
	}
	return Entry{ID: s.ID, Addr: s.Addr, Zone: s.Site, Kind: s.Kind, Cell: s.Cell, State: s.State, Weight: weight, Started: started}
}

// unknownStart is the Entry.Started of a server whose start the file does not give.
const unknownStart = -1

// isPort reports whether text is a port from 1 to 65535.
func isPort(text string) bool {
	n, err := strconv.ParseUint(text, 10, 16)
	return err == nil && n > 0
}

// checkDuplicate adds a fault if an earlier server has the same value.
func (v *validator) checkDuplicate(key, value string, seen *map[string]int, i int) {
	if *seen == nil {
		*seen = map[string]int{}
	}
	if j, ok := (*seen)[value]; ok && value != "" {
		v.addFault(key, "%q stands at servers[%d] too, in line %d; each server has its own", value, j, v.decoded.Line(fmt.Sprintf("servers[%d]", j)))
		return
	}
	(*seen)[value] = i
}

// findHashCollision returns the index of an earlier server whose id maps to the same number, so that the
// balancer could not tell the two apart. Duplicate ids do not count: checkDuplicate reports them.
func (v *validator) findHashCollision(id string, i int) (int, bool) {
	if v.rowByHash == nil {
		v.rowByHash = map[uint32]int{}
	}
	hash := ServerID(id)
	j, taken := v.rowByHash[hash]
	if !taken {
		v.rowByHash[hash] = i
	}
	return j, taken && v.rowByID[id] == i
}

// checkList checks the list as a whole: that it has usable cache servers and the right number of origins.
func (v *validator) checkList(servers []Entry) {
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
		v.addFault("servers", "no cache server is listed; a list without any is never taken")
	case active == 0:
		v.addFault("servers", "every cache server is leaving; at least one must be active")
	case !(weight > 0) && !math.IsNaN(weight):
		v.addFault("servers", "every weight is 0; at least one must be above")
	}
	switch {
	case v.rules.Origin && origins == 0:
		v.addFault("servers", `no origin is listed, and this pool needs one: a server with kind = "origin"`)
	case origins > 1:
		v.addFault("servers", "%d origins are listed; a pool has one", origins)
	case origins > 0 && !v.rules.Origin:
		v.addFault("servers", `an origin is listed, and this pool has none: its configuration says origin = "none"`)
	}
}

// allowance is a removal of servers that the file permits explicitly.
type allowance struct {
	site    string // all servers of this site may be removed
	maxGone int    // or this many servers may be removed at once
}

// parseAllowance parses "site-gone NAME" or "gone COUNT". It reports whether the text is valid.
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
