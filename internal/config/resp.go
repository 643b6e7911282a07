package config

import (
	"encoding/hex"
	"fmt"
	"os"
	"slices"
	"strings"

	"mossproxy.example/mossproxy/decide"
)

// RESP is what a pool that speaks the cluster dialect of RESP works by.
type RESP struct {
	Seeds       []string
	User        string
	Password    string // for the servers; "" = none
	Replicas    bool   // may answer reads
	Read, Write string // classes of what no rule maps
	Rules       []RESPRule
	Logins      []RESPLogin
	Tenant      string // of clients that need not log in
	Peers       []string
	Fleet       bool // the routers of [checkFleet] are the peers; this one is FleetName there, and reached by FleetHost
	FleetName   string
	FleetHost   string
	Meta        string // where clients that speak the meta commands come to; "" = nowhere
	Origin      string // address of the origin; "" = what the servers hold is all there is
	KeepMS      int64  // for which a value of the origin is stored
}

// RESPRule maps commands, on keys with a prefix, to a class.
type RESPRule struct {
	Commands []string
	Prefix   string
	Class    string
}

// RESPLogin is a user's way to a tenant.
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

// checkRESP checks a pool that speaks RESP.
func (c *checker) checkRESP(at string, p *poolKeys, cfg *Config, addresses *[]string) {
	k, in := &p.RESP, at+".resp"
	m := &cfg.Checked.Config
	// A server that speaks RESP says LOADING until it has its data, and a replica that takes over has them: none is cold.
	m.Cold = 0
	m.Aside, m.OriginKind, m.Alone, m.Probes, m.Weighted = false, "", true, false, false
	if p.Origin != "" && p.Origin != "none" {
		// The default has been filled in by now.
		if c.d.Line(at+".origin") != c.d.Line(at) {
			c.addFault(at+".origin", "belongs to pools that speak the meta commands; [pool.resp.origin] names one with its address")
		}
	}
	if p.Servers != (serversKeys{}) {
		c.addFault(at+".servers", "the servers of a pool that speaks RESP come from its cluster; name resp.seeds alone")
	}
	if len(k.Seeds) == 0 {
		c.addFault(in+".seeds", "missing; name one server of the cluster at least, HOST:PORT")
	}
	for i, s := range k.Seeds {
		c.checkAddress(fmt.Sprintf("%s.seeds[%d]", in, i), s, false)
	}
	out := &RESP{Seeds: k.Seeds, User: k.User, Replicas: k.Replicas, Tenant: k.Tenant, Peers: k.Peers}
	out.Read, out.Write = c.checkRESPClass(in+".read_class", k.Read, m), c.checkRESPClass(in+".write_class", k.Write, m)
	for _, cl := range m.Classes {
		if cl.Name == k.Write && cl.Effect == decide.Repeatable {
			c.addFault(in+".write_class", "%q may run twice, and INCR must not: name a class with the effect once", k.Write)
		}
	}
	for i, r := range k.Rules {
		here := fmt.Sprintf("%s.rule[%d]", in, i)
		for j, n := range r.Commands {
			r.Commands[j] = strings.ToUpper(n)
		}
		out.Rules = append(out.Rules, RESPRule{r.Commands, r.Prefix, c.checkRESPClass(here+".class", r.Class, m)})
	}
	c.checkLogins(in, k, out)
	c.checkRESPOrigin(in, k, m, out)
	if k.Meta != "" {
		c.checkListen(in+".meta_listen", k.Meta, addresses)
		out.Meta = k.Meta
	}
	if k.PasswordFile != "" {
		text, err := os.ReadFile(c.resolvePath(k.PasswordFile))
		if err != nil {
			c.addFault(in+".password_file", "can't be read: %v", err)
		}
		out.Password = strings.TrimSpace(string(text))
	}
	c.checkRESPPeers(in, k.Peers, m.Routers)
	cfg.RESP = out
}

// fleetPeersKeyword stands in place of peers' addresses for the routers of [checkFleet].
const fleetPeersKeyword = "fleet"

// checkRESPPeers checks the other routers that a pool's clients are sent to.
func (c *checker) checkRESPPeers(in string, peers []string, routers int) {
	if slices.Contains(peers, fleetPeersKeyword) {
		if len(peers) > 1 {
			c.addFault(in+".peers", "%q stands alone: it names all routers of [fleet]", fleetPeersKeyword)
		}
		if c.doc.Fleet.isZero() {
			c.addFault(in+".peers", "%q names the routers of [fleet], and there is none", fleetPeersKeyword)
		}
		return
	}
	if len(peers) > 0 && !c.doc.Fleet.isZero() {
		c.addFault(in+".peers", "where there is a [fleet] it says which routers there are: write peers = [%q], or [] for this one alone", fleetPeersKeyword)
	}
	if len(peers) > 0 && len(peers) != routers {
		c.addFault(in+".peers", "%d addresses, and tier.routers says %d; name each router's, in the order of their numbers", len(peers), routers)
	}
	for i, s := range peers {
		c.checkAddress(fmt.Sprintf("%s.peers[%d]", in, i), s, false)
	}
}

// OriginKind is how the origin of a pool that speaks RESP stands on its list.
const OriginKind = "origin"

// checkRESPOrigin checks the origin behind a cluster.
func (c *checker) checkRESPOrigin(in string, k *respKeys, m *decide.Config, out *RESP) {
	if k.Origin == (behindKeys{}) {
		return
	}
	c.checkAddress(in+".origin.address", k.Origin.Address, false)
	if k.Origin.Keep == nil {
		c.addFault(in+".origin.keep_ms", "missing; for how long may the servers give a value that the origin has changed since?")
	}
	out.Origin, out.KeepMS = k.Origin.Address, boundedNumber(c, in+".origin.keep_ms", k.Origin.Keep, 1, 1, 365*24*hourMS, " ms")
	m.Alone, m.Aside, m.OriginKind = false, true, OriginKind
}

// checkRESPClass checks that a class is there, and that RESP servers can keep what it asks.
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

func (c *checker) checkLogins(in string, k *respKeys, out *RESP) {
	tenant := func(key, name string) {
		for _, t := range c.doc.Tenants {
			if t.Name == name {
				return
			}
		}
		c.addFault(key, "%.40q is no tenant", name)
	}
	if len(k.Logins) == 0 && k.Tenant != "" {
		tenant(in+".tenant", k.Tenant)
	}
	if p := len(k.Logins); p > 0 && c.requiresCallers(in) {
		c.addFault(in+".login", "logins and callers = true don't go together: the book of callers has the keys")
	}
	var users []string
	for i, l := range k.Logins {
		here := fmt.Sprintf("%s.login[%d]", in, i)
		c.checkName(here+".user", l.User, &users)
		tenant(here+".tenant", l.Tenant)
		sum, err := hex.DecodeString(l.SHA256)
		if err != nil || len(sum) != 32 {
			c.addFault(here+".password_sha256", "not the 64 hex digits of a SHA-256")
			continue
		}
		out.Logins = append(out.Logins, RESPLogin{l.User, [32]byte(sum), l.Tenant})
	}
}

// requiresCallers says whether the pool of a key like pool[2].resp asks who calls.
func (c *checker) requiresCallers(in string) bool {
	for i, p := range c.doc.Pools {
		if fmt.Sprintf("pool[%d].resp", i) == in {
			return p.Callers
		}
	}
	return false
}
