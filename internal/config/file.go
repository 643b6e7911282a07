package config

import (
	"bytes"
	"fmt"
	"math"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"mossproxy.example/mossproxy/decide"
	"mossproxy.example/mossproxy/internal/member"
	"mossproxy.example/mossproxy/internal/settings"
	"mossproxy.example/mossproxy/internal/tomlfile"
	"mossproxy.example/mossproxy/internal/watch"
)

// File is the checked configuration file of a router. Each pool has a Config, the type that the platform's
// configuration also has.
type File struct {
	Name  string
	Cores int
	Pools []*Config
	Log   Log
	// Callers configures the authentication of callers; nil = no pool authenticates them.
	Callers *Callers
	// Costs holds the cost of a request by class index, counted against limits of tenants.
	Costs []float64
	// FetchCost is the additional cost of each fetch from the origin.
	FetchCost float64
	// Admin configures the administration API; nil = none.
	Admin *Admin
	// Operator is the listening address for operators; "" = none.
	Operator string
	// Handover is the path of the socket through which a new process of this router takes over; "" = no
	// handover.
	Handover string
	// Fleet configures the membership of this router in the fleet; nil = it is not a member.
	Fleet *Fleet
	// Site is the site of the router.
	Site string
}

// MaxFileBytes is the maximum size of a configuration file.
const MaxFileBytes = 1 << 20

// document mirrors the configuration file. deploy/cottonyoke.toml explains each key.
type document struct {
	Name      string       `toml:"name"`
	Site      string       `toml:"site"`
	Seed      string       `toml:"seed"`
	StateDir  string       `toml:"state_dir"`
	Limits    limitKeys    `toml:"limits"`
	Tier      tierKeys     `toml:"tier"`
	Attempts  attemptKeys  `toml:"attempts"`
	Rules     ruleKeys     `toml:"rules"`
	Classes   []classKeys  `toml:"class"`
	Tenants   []tenantKeys `toml:"tenant"`
	Over      *float64     `toml:"over_share_worth"`
	Capacity  *float64     `toml:"capacity_per_s"`
	FetchCost *float64     `toml:"fetch_cost"`
	Pools     []poolKeys   `toml:"pool"`
	Callers   callersKeys  `toml:"callers"`
	Admin     adminKeys    `toml:"admin"`
	Operator  string       `toml:"operator"`
	Handover  string       `toml:"handover"`
	Fleet     fleetKeys    `toml:"fleet"`
	Log       logKeys      `toml:"log"`
	End       *struct{}    `toml:"end"`
}

// endMarker matches the required last line of a file. A truncated file lacks it, even if the rest parses.
var endMarker = regexp.MustCompile(`^\s*\[end\]\s*(#.*)?$`)

// lastSignificantLine returns the last line that is neither blank nor a comment.
func lastSignificantLine(text []byte) []byte {
	lines := bytes.Split(text, []byte("\n"))
	for _, l := range slices.Backward(lines) {
		if l = bytes.TrimSpace(l); len(l) > 0 && l[0] != '#' {
			return l
		}
	}
	return nil
}

type limitKeys struct {
	Memory  *int64 `toml:"memory_mb"`
	Sockets *int   `toml:"descriptors"`
	Cores   *int   `toml:"cores"`
}

type tierKeys struct {
	Routers *int `toml:"routers"`
	Me      *int `toml:"me"`
}

type attemptKeys struct {
	Most    *int     `toml:"max"`
	Connect *float64 `toml:"connect_timeout_ms"`
	Idle    *float64 `toml:"server_idle_ms"`
	Cancel  *bool    `toml:"cancel"`
	Probes  *bool    `toml:"probes"`
}

type ruleKeys struct {
	Cold     *float64 `toml:"cold_ms"`
	ColdFrom *float64 `toml:"cold_from"`
	Factor   *float64 `toml:"overload_factor"`
	For      *float64 `toml:"overload_for_ms"`
	Grace    *float64 `toml:"drain_grace_ms"`
}

type classKeys struct {
	Name     string   `toml:"name"`
	Effect   string   `toml:"effect"`
	Scope    string   `toml:"scope"`
	Window   *float64 `toml:"window_ms"`
	Aim      *float64 `toml:"aim_ms"`
	Stretch  *float64 `toml:"aim_stretch"`
	Deadline *float64 `toml:"deadline_ms"`
	Worth    *float64 `toml:"worth"`
	Late     *float64 `toml:"late_worth"`
	Cost     *float64 `toml:"cost"`
}

type tenantKeys struct {
	Name  string   `toml:"name"`
	Share *float64 `toml:"share_per_s"`

	Floor     *float64         `toml:"floor_per_s"`
	Weight    *float64         `toml:"weight"`
	Burst     *float64         `toml:"burst_s"`
	Most      *float64         `toml:"most_per_s"`
	Open      *int             `toml:"open"`
	Bytes     *float64         `toml:"bytes_mb"`
	Conns     *int             `toml:"connections"`
	Suspended bool             `toml:"suspended"`
	Classes   []tenantClassRow `toml:"limit"`
}

type poolKeys struct {
	Name    string      `toml:"name"`
	Listen  string      `toml:"listen"`
	Part    *float64    `toml:"part"`
	Origin  string      `toml:"origin"`
	Sites   []string    `toml:"sites"`
	Kinds   []string    `toml:"kinds"`
	Servers serversKeys `toml:"servers"`

	Protocol string   `toml:"protocol"`
	RESP     respKeys `toml:"resp"`
	Callers  bool     `toml:"callers"`
	TLS      tlsKeys  `toml:"tls"`

	ServerTLS serverTLSKeys `toml:"server_tls"`
}

type serversKeys struct {
	File      string   `toml:"file"`
	Discovery string   `toml:"discovery"`
	Gone      *float64 `toml:"gone_share"`
	Settle    *float64 `toml:"settle_ms"`
	Notices   *bool    `toml:"notices"`
}

// ReadFile reads and checks a configuration file. The error is of type tomlfile.Faults if the file could be
// read.
func ReadFile(path string) (*File, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	defer f.Close()
	i, err := f.Stat()
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	if !i.Mode().IsRegular() || i.Size() > MaxFileBytes {
		return nil, fmt.Errorf("configuration: %s: not a regular file of up to %d bytes", path, MaxFileBytes)
	}
	text := make([]byte, i.Size())
	n, err := f.ReadAt(text, 0)
	if err != nil && int64(n) != i.Size() {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	c, faults := ParseFile(path, text)
	return c, faults.Err()
}

// ParseFile parses and checks a configuration. Paths in it are relative to the directory of path.
func ParseFile(path string, text []byte) (*File, tomlfile.Faults) {
	var doc document
	d, faults := tomlfile.Decode(path, text, &doc)
	if faults != nil {
		return nil, faults
	}
	c := checker{d: d, doc: &doc, dir: filepath.Dir(path)}
	if !endMarker.Match(lastSignificantLine(text)) {
		c.addFault("", "the last line is missing, so the file may be cut short; if it is whole, add as its last line: [end]")
	}
	out := c.checkFile()
	if c.faults != nil {
		return nil, c.faults
	}
	return out, nil
}

// checker checks a configuration and collects the faults.
type checker struct {
	d      *tomlfile.Doc
	doc    *document
	dir    string
	faults tomlfile.Faults
}

// maxFaults is the maximum number of faults reported per file.
const maxFaults = 100

func (c *checker) addFault(key, format string, args ...any) {
	if len(c.faults) < maxFaults {
		c.faults = append(c.faults, c.d.Fault(key, format, args...))
	}
}

// boundedNumber returns the value of a key, or its default if it is missing. A value out of range is a fault.
func boundedNumber[T int | int64 | float64](c *checker, key string, v *T, def, lo, hi T, unit string) T {
	if v == nil {
		return def
	}
	if f := float64(*v); !(f >= float64(lo) && f <= float64(hi)) {
		c.addFault(key, "%v is out of range; from %v to %v%s is right", *v, lo, hi, unit)
		return def
	}
	return *v
}

func boolOrDefault(v *bool, def bool) bool {
	if v == nil {
		return def
	}
	return *v
}

// checkName checks the form of a name and that it is unique among those seen.
func (c *checker) checkName(key, v string, seen *[]string) {
	if v == "" || len(v) > 64 || strings.Trim(v, ".") == "" || strings.ContainsFunc(v, func(r rune) bool { return r <= ' ' || r > '~' || strings.ContainsRune(`,=/\`, r) }) {
		c.addFault(key, "%.40q is no name; up to 64 letters, digits and signs but , = / and \\ are", v)
	} else if slices.Contains(*seen, v) {
		c.addFault(key, "%q stands twice; each name stands once", v)
	}
	*seen = append(*seen, v)
}

// maxCores is the maximum number of engines of a pool. Each has an equal share of all limits.
const maxCores = 64

// hourMS is an hour in milliseconds, the upper bound of most durations.
const hourMS = 3600e3

// checkFile checks the whole configuration.
func (c *checker) checkFile() *File {
	doc := c.doc
	var seen []string
	if doc.Name == "" {
		doc.Name = "cottonyoke"
	}
	c.checkName("name", doc.Name, &seen)
	out := &File{Name: doc.Name, Cores: boundedNumber(c, "limits.cores", doc.Limits.Cores, 1, 1, maxCores, " cores")}
	out.Log, out.Callers = c.checkLog(), c.checkCallers()
	base := c.balancerConfig()
	base.Classes, base.Tenants = c.checkClasses(), c.checkTenants()
	limits := c.checkTenantLimits(base.Classes)
	out.FetchCost = c.fetchCost()
	if out.Costs = c.costs(); limits != nil {
		limits.Costs, limits.Fetch = out.Costs, out.FetchCost
	}
	memory := boundedNumber(c, "limits.memory_mb", doc.Limits.Memory, 192, 16, 1<<20, " MB")
	sockets := boundedNumber(c, "limits.descriptors", doc.Limits.Sockets, 1024, 2*FDReserve, 1<<20, "")
	seed := c.parseSeed()
	if len(doc.Pools) == 0 {
		c.addFault("pool", "there is none; add [[pool]] with a name, listen and servers")
	}
	var names, addresses []string
	out.Admin = c.checkAdmin(out.Callers, &addresses)
	if out.Operator = doc.Operator; doc.Operator != "" {
		c.checkListen("operator", doc.Operator, &addresses)
		sockets -= OperatorReserve
	}
	out.Handover = c.checkHandover(out.Admin)
	out.Site = doc.Site
	if out.Fleet = c.checkFleet(doc.Name, doc.Site, &addresses); out.Fleet != nil {
		sockets -= FleetReserve
	}
	total := 0.0
	for i := range doc.Pools {
		part := boundedNumber(c, fmt.Sprintf("pool[%d].part", i), doc.Pools[i].Part, 1, 0.01, 100, "")
		doc.Pools[i].Part = &part
		total += part
	}
	for i := range doc.Pools {
		p := &doc.Pools[i]
		cfg := c.checkPool(fmt.Sprintf("pool[%d]", i), p, base, &names, &addresses)
		cfg.Tenants = limits
		cfg.TLS = c.checkTLS(fmt.Sprintf("pool[%d]", i), p, out.Callers, &addresses)
		cfg.ServerTLS = c.checkServerTLS(fmt.Sprintf("pool[%d]", i), p)
		if p.Callers {
			cfg.Callers = out.Callers
		}
		cfg.Name, cfg.Pool, cfg.SeedNumber, cfg.Cores = doc.Name, p.Name, seed, out.Cores
		if len(doc.Pools) > 1 {
			cfg.Name += "/" + p.Name
		}
		cfg.Grace = time.Duration(boundedNumber(c, "rules.drain_grace_ms", doc.Rules.Grace, 500, 0, 60e3, " ms") * float64(time.Millisecond))
		cfg.Limits.MemoryMB = int64(float64(memory) * *p.Part / total)
		cfg.Limits.Sockets = int(float64(sockets) * *p.Part / total)
		if cfg.Limits.MemoryMB < 16 || cfg.Limits.Sockets < 2*FDReserve {
			c.addFault(fmt.Sprintf("pool[%d].part", i), "leaves the pool %d MB and %d descriptors; it takes 16 and %d at least: raise limits, or the part",
				cfg.Limits.MemoryMB, cfg.Limits.Sockets, 2*FDReserve)
		}
		if n := out.Cores; n > 1 && (cfg.Limits.MemoryMB/int64(n) < 8 || cfg.Limits.Sockets/n < 2*FDReserve) {
			c.addFault("limits.cores", "leaves each of %d engines of pool %s %d MB and %d descriptors; it takes 8 and %d at least: raise the limits",
				n, p.Name, cfg.Limits.MemoryMB/int64(n), cfg.Limits.Sockets/n, 2*FDReserve)
		}
		out.Pools = append(out.Pools, cfg)
	}
	c.checkFleetPeers(out, doc.Name)
	if c.faults == nil {
		c.validate(out)
	}
	return out
}

// validate applies the checks of the decide package, whose bounds hold regardless of those in this package.
func (c *checker) validate(f *File) {
	for i, p := range f.Pools {
		if err := p.Checked.Config.Validate(); err != nil {
			c.addFault(fmt.Sprintf("pool[%d]", i), "%v", err)
		}
	}
}

func (c *checker) parseSeed() uint64 {
	if c.doc.Seed == "" {
		return 0 // the program chooses a random seed
	}
	n, err := strconv.ParseUint(c.doc.Seed, 16, 64)
	if err != nil || n == 0 {
		c.addFault("seed", "%.40q is no seed; up to 16 hex digits that are not all 0 are", c.doc.Seed)
	}
	return n
}

// balancerConfig returns the settings of the decide package that all pools share.
func (c *checker) balancerConfig() decide.Config {
	d := c.doc
	if d.Site == "" {
		c.addFault("site", "missing; name the site that this router stands in")
	}
	m := decide.Config{Zone: d.Site, Weighted: true,
		Routers:     boundedNumber(c, "tier.routers", d.Tier.Routers, 1, 1, 4096, " routers"),
		Me:          boundedNumber(c, "tier.me", d.Tier.Me, 0, 0, 4095, ""),
		OverWorth:   boundedNumber(c, "over_share_worth", d.Over, 0.25, 0, 1, ""),
		MaxAttempts: boundedNumber(c, "attempts.max", d.Attempts.Most, 4, 1, 5, " attempts"),
		ConnIdle:    boundedNumber(c, "attempts.server_idle_ms", d.Attempts.Idle, 10000, 1000, hourMS, " ms"),
		Cancel:      boolOrDefault(d.Attempts.Cancel, true),
		Probes:      boolOrDefault(d.Attempts.Probes, true),
		Cold:        boundedNumber(c, "rules.cold_ms", d.Rules.Cold, 8000, 0, hourMS, " ms"),
		ColdFrom:    boundedNumber(c, "rules.cold_from", d.Rules.ColdFrom, 0.3, 0.01, 1, ""),
		FallMult:    boundedNumber(c, "rules.overload_factor", d.Rules.Factor, 3, 1, 100, ""),
		FallFor:     boundedNumber(c, "rules.overload_for_ms", d.Rules.For, 2000, 1, hourMS, " ms"),
	}
	if m.Me >= m.Routers {
		c.addFault("tier.me", "%d is no number of a tier of %d; they count from 0", m.Me, m.Routers)
	}
	return m
}

var keyScopes = []string{"all", "zone", "cell"}

func (c *checker) checkClasses() []decide.Class {
	if len(c.doc.Classes) == 0 {
		c.addFault("class", "there is none; add [[class]] with a name, an effect, aim_ms and deadline_ms")
	}
	var names []string
	var out []decide.Class
	for i := range c.doc.Classes {
		k, keyPrefix := &c.doc.Classes[i], fmt.Sprintf("class[%d].", i)
		c.checkName(keyPrefix+"name", k.Name, &names)
		if k.Aim == nil || k.Deadline == nil {
			c.addFault(keyPrefix+"aim_ms", "aim_ms and deadline_ms are needed; a class has no usual time")
		}
		e, ok := settings.ParseEffect(k.Effect)
		if !ok {
			c.addFault(keyPrefix+"effect", "%.40q is no effect; repeatable, by_key and once are", k.Effect)
		}
		cl := decide.Class{Name: k.Name, Effect: e, Scope: k.Scope,
			Aim:      boundedNumber(c, keyPrefix+"aim_ms", k.Aim, 1, 1, hourMS, " ms"),
			Deadline: boundedNumber(c, keyPrefix+"deadline_ms", k.Deadline, hourMS, 1, hourMS, " ms"),
			Window:   boundedNumber(c, keyPrefix+"window_ms", k.Window, 0, 0, 24*hourMS, " ms"),
			Stretch:  boundedNumber(c, keyPrefix+"aim_stretch", k.Stretch, 0, 0, 100, ""),
			Worth:    boundedNumber(c, keyPrefix+"worth", k.Worth, 1, 0, 1e6, ""),
			Late:     boundedNumber(c, keyPrefix+"late_worth", k.Late, 0, 0, 1, "")}
		if cl.Aim > cl.Deadline {
			c.addFault(keyPrefix+"aim_ms", "%v is later than the deadline of %v", cl.Aim, cl.Deadline)
		}
		switch keyed := ok && e == decide.Keyed; {
		case keyed && !slices.Contains(keyScopes, cl.Scope):
			c.addFault(keyPrefix+"scope", "%.40q is no scope; %s are", cl.Scope, strings.Join(keyScopes, ", "))
		case keyed && k.Window == nil:
			c.addFault(keyPrefix+"window_ms", "missing; how long does the group that drops repeats remember a key?")
		case ok && !keyed && (cl.Scope != "" || k.Window != nil):
			c.addFault(keyPrefix+"scope", "scope and window_ms belong to the effect by_key alone")
		}
		out = append(out, cl)
	}
	return out
}

func (c *checker) checkTenants() []decide.Tenant {
	var names []string
	var out []decide.Tenant
	for i, t := range c.doc.Tenants {
		keyPrefix := fmt.Sprintf("tenant[%d].", i)
		c.checkName(keyPrefix+"name", t.Name, &names)
		if t.Share == nil && slices.ContainsFunc(c.doc.Tenants, func(t tenantKeys) bool { return t.hasLimits() }) {
			continue
		}
		if t.Share == nil {
			c.addFault(keyPrefix+"share_per_s", "missing; how many requests a second over all routers count in full?")
		}
		out = append(out, decide.Tenant{Name: t.Name, Quota: boundedNumber(c, keyPrefix+"share_per_s", t.Share, 0, 0, 1e9, " requests a second")})
	}
	return out
}

// originModes lists who fetches values that no cache server has.
var originModes = []string{"router", "servers"}

// checkPool checks one pool. Names and addresses are those already in use.
func (c *checker) checkPool(poolKey string, p *poolKeys, base decide.Config, names, addresses *[]string) *Config {
	c.checkName(poolKey+".name", p.Name, names)
	cfg := &Config{Listen: p.Listen, Standalone: true}
	c.checkListen(poolKey+".listen", p.Listen, addresses)
	if p.Origin == "" {
		p.Origin = "router"
	}
	if !slices.Contains(originModes, p.Origin) {
		c.addFault(poolKey+".origin", "%.40q is no way to the origin; router (asks it after a miss) and servers (fetch by themselves) are", p.Origin)
	}
	m := base
	if m.Aside = p.Origin == "router"; m.Aside {
		m.OriginKind = "origin"
	}
	if len(p.Sites) > 0 && m.Zone != "" && !slices.Contains(p.Sites, m.Zone) {
		c.addFault(poolKey+".sites", "the router's own site %q is not among them", m.Zone)
	}
	cfg.Checked = settings.Settings{Config: m, ConnectTimeout: boundedNumber(c, "attempts.connect_timeout_ms", c.doc.Attempts.Connect, 250, 1, 60e3, " ms")}
	switch p.Protocol {
	case "", "meta":
		if len(p.RESP.Seeds) > 0 {
			c.addFault(poolKey+".resp", `belongs to a pool with protocol = "resp"`)
		}
	case "resp":
		c.checkRESP(poolKey, p, cfg, addresses)
		return cfg
	default:
		c.addFault(poolKey+".protocol", "%.40q is no protocol; meta and resp are", p.Protocol)
	}
	cfg.Source = c.checkSource(poolKey+".servers", p, m.Aside)
	cfg.Discovery = p.Servers.Discovery
	return cfg
}

// checkAddress checks HOST:PORT.
func (c *checker) checkAddress(key, v string, allowPortZero bool) {
	host, port, err := net.SplitHostPort(v)
	n, perr := strconv.ParseUint(port, 10, 16)
	if err != nil || host == "" || perr != nil || n == 0 && !allowPortZero {
		c.addFault(key, "%.60q is no address; HOST:PORT is", v)
	}
}

// checkListen checks a listening address, which must be unique.
func (c *checker) checkListen(key, v string, addresses *[]string) {
	c.checkAddress(key, v, true)
	if slices.Contains(*addresses, v) && !strings.HasSuffix(v, ":0") {
		c.addFault(key, "%q is another's; each listens at its own", v)
	}
	*addresses = append(*addresses, v)
}

// checkSource checks the source of a pool's server list.
func (c *checker) checkSource(section string, p *poolKeys, hasOrigin bool) member.FileConfig {
	s := &p.Servers
	out := member.FileConfig{SettleMS: boundedNumber(c, section+".settle_ms", s.Settle, watch.DefaultSettleMS, 0, 200, " ms"),
		NoNotices: !boolOrDefault(s.Notices, true),
		Rules: member.Rules{Sites: p.Sites, Kinds: p.Kinds, Origin: hasOrigin,
			GoneShare: boundedNumber(c, section+".gone_share", s.Gone, member.DefaultGoneShare, 0.01, 1, "")}}
	switch {
	case (s.File == "") == (s.Discovery == ""):
		c.addFault(section, "takes one of the two: file = PATH or discovery = HOST:PORT")
	case s.Discovery != "":
		c.checkAddress(section+".discovery", s.Discovery, false)
		if s.Gone != nil || s.Settle != nil || s.Notices != nil {
			c.addFault(section, "gone_share, settle_ms and notices belong to a file alone")
		}
		return member.FileConfig{}
	default:
		out.Path = c.resolvePath(s.File)
		if c.doc.StateDir != "" {
			out.State = filepath.Join(c.resolvePath(c.doc.StateDir), p.Name+".servers.json")
		}
	}
	return out
}

// resolvePath resolves a path relative to the directory of the configuration.
func (c *checker) resolvePath(path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(c.dir, path)
}

// maxSocketPathBytes is the maximum length of a Unix socket path that leaves space for a process ID as
// suffix.
const maxSocketPathBytes = 96

// checkHandover checks the socket path for the handover to a new process and returns it.
func (c *checker) checkHandover(admin *Admin) string {
	if c.doc.Handover == "" {
		return ""
	}
	path := c.resolvePath(c.doc.Handover)
	if len(path) > maxSocketPathBytes {
		c.addFault("handover", "%q has %d bytes; a socket's name has %d at most", path, len(path), maxSocketPathBytes)
	}
	if admin != nil {
		c.addFault("handover", "there is an [admin], whose store one process alone can hold; leave one of them out")
	}
	return path
}

// NeedsRestart returns the differing settings that a running router can't change, because they determine
// resources that it has already opened or divided. An empty list means that next can replace f without a
// restart.
func (f *File) NeedsRestart(next *File) []string {
	var keys []string
	addIfChanged := func(key string, changed bool) {
		if changed {
			keys = append(keys, key)
		}
	}
	addIfChanged("name", f.Name != next.Name)
	addIfChanged("limits.cores", f.Cores != next.Cores)
	addIfChanged("log", f.Log != next.Log)
	addIfChanged("operator", f.Operator != next.Operator)
	addIfChanged("handover", f.Handover != next.Handover)
	addIfChanged("fleet (all but join)", !sameFleet(f.Fleet, next.Fleet))
	addIfChanged("admin", !reflect.DeepEqual(f.Admin, next.Admin))
	addIfChanged("callers", !reflect.DeepEqual(f.Callers, next.Callers))
	if len(f.Pools) != len(next.Pools) {
		return append(keys, "pool (their number)")
	}
	for i, p := range f.Pools {
		q := next.Pools[i]
		keyPrefix := fmt.Sprintf("pool[%d].", i)
		addIfChanged(keyPrefix+"name", p.Name != q.Name)
		addIfChanged("rules.drain_grace_ms", p.Grace != q.Grace)
		addIfChanged(keyPrefix+"listen", p.Listen != q.Listen)
		addIfChanged(keyPrefix+"tenant (limits, where there were none)", (p.Tenants == nil) != (q.Tenants == nil))
		addIfChanged(keyPrefix+"callers", (p.Callers == nil) != (q.Callers == nil))
		addIfChanged(keyPrefix+"tls", !reflect.DeepEqual(p.TLS, q.TLS))
		addIfChanged(keyPrefix+"server_tls", !reflect.DeepEqual(p.ServerTLS, q.ServerTLS))
		addIfChanged(keyPrefix+"protocol or resp", !reflect.DeepEqual(p.RESP, q.RESP))
		addIfChanged(keyPrefix+"origin", p.Checked.Config.Aside != q.Checked.Config.Aside)
		addIfChanged(keyPrefix+"servers.discovery (another kind of source)", (p.Source.Path == "") != (q.Source.Path == ""))
		addIfChanged("limits", p.Limits != q.Limits)
		addIfChanged("attempts", p.Checked.ConnectTimeout != q.Checked.ConnectTimeout)
		a, b := p.Checked.Config, q.Checked.Config
		a.Classes, a.Tenants, a.OverWorth, a.Aside, a.OriginKind = nil, nil, 0, false, ""
		b.Classes, b.Tenants, b.OverWorth, b.Aside, b.OriginKind = nil, nil, 0, false, ""
		addIfChanged("site, tier, attempts or rules", !sameBalancerConfig(a, b))
	}
	return slices.Compact(keys)
}

// sameBalancerConfig compares two configurations whose lists have been cleared.
func sameBalancerConfig(a, b decide.Config) bool {
	return fmt.Sprint(a) == fmt.Sprint(b) && !math.IsNaN(a.Cold)
}
