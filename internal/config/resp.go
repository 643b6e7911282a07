package config

import (
	"encoding/hex"
	"fmt"
	"os"
	"slices"
	"strings"

	"mossproxy.example/mossproxy/decide"
)

// RESP configures a pool that speaks the cluster dialect of RESP.
type RESP struct {
	Seeds       []string
	User        string
	Password    string // for authentication at the servers; "" = none
	Replicas    bool   // whether replicas may answer reads
	Read, Write string // classes of commands that no rule matches
	Rules       []RESPRule
	Logins      []RESPLogin
	Tenant      string // tenant of clients that need not log in
	Peers       []string
	Fleet       bool // the peers are the routers of [fleet], in which this one has FleetName and FleetHost
	FleetName   string
	FleetHost   string
	Meta        string // listening address for the meta commands; "" = none
	Origin      string // address of the origin; "" = the pool has no origin
	KeepMS      int64  // time to live of values fetched from the origin, in milliseconds
}

// RESPRule maps commands on keys with a prefix to a class.
type RESPRule struct {
	Commands []string
	Prefix   string
	Class    string
}

// RESPLogin maps a user, with the hash of the password, to a tenant.
type RESPLogin struct {
	User   string
	SHA256 [32]byte
	Tenant string
}

type respKeys struct {
	Seeds        []string    `toml:"seeds"`
	User         string      `toml:"user"`
	PasswordFile string      `toml:"password_file"`
	Replicas     bool        `toml:"replicas"`
	Read         string      `toml:"read_class"`
	Write        string      `toml:"write_class"`
	Tenant       string      `toml:"tenant"`
	Peers        []string    `toml:"peers"`
	Meta         string      `toml:"meta_listen"`
	Origin       behindKeys  `toml:"origin"`
	Rules        []ruleRow   `toml:"rule"`
	Logins       []loginKeys `toml:"login"`
}

type behindKeys struct {
	Address string `toml:"address"`
	Keep    *int64 `toml:"keep_ms"`
}

type ruleRow struct {
	Commands []string `toml:"commands"`
	Prefix   string   `toml:"prefix"`
	Class    string   `toml:"class"`
}

type loginKeys struct {
	User   string `toml:"user"`
	SHA256 string `toml:"password_sha256"`
	Tenant string `toml:"tenant"`
}

// checkRESP checks the settings of a pool that speaks RESP.
func (c *checker) checkRESP(poolKey string, p *poolKeys, cfg *Config, addresses *[]string) {
	k, section := &p.RESP, poolKey+".resp"
	m := &cfg.Checked.Config
	// A RESP server answers LOADING until it has its data, and a promoted replica already has them: no server
	// is cold.
	m.Cold = 0
	m.Aside, m.OriginKind, m.Alone, m.Probes, m.Weighted = false, "", true, false, false
	if p.Origin != "" && p.Origin != "none" {
		// Origin already holds its default here, so its line tells whether the file sets it.
		if c.d.Line(poolKey+".origin") != c.d.Line(poolKey) {
			c.addFault(poolKey+".origin", "belongs to pools that speak the meta commands; [pool.resp.origin] names one with its address")
		}
	}
	if p.Servers != (serversKeys{}) {
		c.addFault(poolKey+".servers", "the servers of a pool that speaks RESP come from its cluster; name resp.seeds alone")
	}
	if len(k.Seeds) == 0 {
		c.addFault(section+".seeds", "missing; name one server of the cluster at least, HOST:PORT")
	}
	for i, s := range k.Seeds {
		c.checkAddress(fmt.Sprintf("%s.seeds[%d]", section, i), s, false)
	}
	out := &RESP{Seeds: k.Seeds, User: k.User, Replicas: k.Replicas, Tenant: k.Tenant, Peers: k.Peers}
	out.Read, out.Write = c.checkRESPClass(section+".read_class", k.Read, m), c.checkRESPClass(section+".write_class", k.Write, m)
	for _, cl := range m.Classes {
		if cl.Name == k.Write && cl.Effect == decide.Repeatable {
			c.addFault(section+".write_class", "%q may run twice, and INCR must not: name a class with the effect once", k.Write)
		}
	}
	for i, r := range k.Rules {
		entryKey := fmt.Sprintf("%s.rule[%d]", section, i)
		for j, n := range r.Commands {
			r.Commands[j] = strings.ToUpper(n)
		}
		out.Rules = append(out.Rules, RESPRule{r.Commands, r.Prefix, c.checkRESPClass(entryKey+".class", r.Class, m)})
	}
	c.checkLogins(section, k, out)
	c.checkRESPOrigin(section, k, m, out)
	if k.Meta != "" {
		c.checkListen(section+".meta_listen", k.Meta, addresses)
		out.Meta = k.Meta
	}
	if k.PasswordFile != "" {
		text, err := os.ReadFile(c.resolvePath(k.PasswordFile))
		if err != nil {
			c.addFault(section+".password_file", "can't be read: %v", err)
		}
		out.Password = strings.TrimSpace(string(text))
	}
	c.checkRESPPeers(section, k.Peers, m.Routers)
	cfg.RESP = out
}

// fleetPeersKeyword, in place of the addresses of peers, selects the routers of [fleet].
const fleetPeersKeyword = "fleet"

// checkRESPPeers checks the routers to which clients of a pool are redirected.
func (c *checker) checkRESPPeers(section string, peers []string, routers int) {
	if slices.Contains(peers, fleetPeersKeyword) {
		if len(peers) > 1 {
			c.addFault(section+".peers", "%q stands alone: it names all routers of [fleet]", fleetPeersKeyword)
		}
		if c.doc.Fleet.isZero() {
			c.addFault(section+".peers", "%q names the routers of [fleet], and there is none", fleetPeersKeyword)
		}
		return
	}
	if len(peers) > 0 && !c.doc.Fleet.isZero() {
		c.addFault(section+".peers", "where there is a [fleet] it says which routers there are: write peers = [%q], or [] for this one alone", fleetPeersKeyword)
	}
	if len(peers) > 0 && len(peers) != routers {
		c.addFault(section+".peers", "%d addresses, and tier.routers says %d; name each router's, in the order of their numbers", len(peers), routers)
	}
	for i, s := range peers {
		c.checkAddress(fmt.Sprintf("%s.peers[%d]", section, i), s, false)
	}
}

// OriginKind is the kind of the origin in the server list of a RESP pool.
const OriginKind = "origin"

// checkRESPOrigin checks [pool.resp.origin].
func (c *checker) checkRESPOrigin(section string, k *respKeys, m *decide.Config, out *RESP) {
	if k.Origin == (behindKeys{}) {
		return
	}
	c.checkAddress(section+".origin.address", k.Origin.Address, false)
	if k.Origin.Keep == nil {
		c.addFault(section+".origin.keep_ms", "missing; for how long may the servers give a value that the origin has changed since?")
	}
	out.Origin, out.KeepMS = k.Origin.Address, boundedNumber(c, section+".origin.keep_ms", k.Origin.Keep, 1, 1, 365*24*hourMS, " ms")
	m.Alone, m.Aside, m.OriginKind = false, true, OriginKind
}

// checkRESPClass checks that a class exists and that RESP servers support its effect.
func (c *checker) checkRESPClass(key, name string, m *decide.Config) string {
	for _, cl := range m.Classes {
		if cl.Name == name {
			if cl.Effect == decide.Keyed {
				c.addFault(key, "%q has the effect by_key, and servers that speak RESP drop no repeats; once and repeatable do", name)
			}
			return name
		}
	}
	c.addFault(key, "%.40q is no class", name)
	return name
}

func (c *checker) checkLogins(section string, k *respKeys, out *RESP) {
	checkTenant := func(key, name string) {
		for _, t := range c.doc.Tenants {
			if t.Name == name {
				return
			}
		}
		c.addFault(key, "%.40q is no tenant", name)
	}
	if len(k.Logins) == 0 && k.Tenant != "" {
		checkTenant(section+".tenant", k.Tenant)
	}
	if p := len(k.Logins); p > 0 && c.requiresCallers(section) {
		c.addFault(section+".login", "logins and callers = true don't go together: the book of callers has the keys")
	}
	var users []string
	for i, l := range k.Logins {
		entryKey := fmt.Sprintf("%s.login[%d]", section, i)
		c.checkName(entryKey+".user", l.User, &users)
		checkTenant(entryKey+".tenant", l.Tenant)
		sum, err := hex.DecodeString(l.SHA256)
		if err != nil || len(sum) != 32 {
			c.addFault(entryKey+".password_sha256", "not the 64 hex digits of a SHA-256")
			continue
		}
		out.Logins = append(out.Logins, RESPLogin{l.User, [32]byte(sum), l.Tenant})
	}
}

// requiresCallers reports whether the pool of a key such as pool[2].resp authenticates callers.
func (c *checker) requiresCallers(section string) bool {
	for i, p := range c.doc.Pools {
		if fmt.Sprintf("pool[%d].resp", i) == section {
			return p.Callers
		}
	}
	return false
}
