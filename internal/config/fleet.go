package config

import (
	"encoding/base64"
	"fmt"
	"net"
	"net/netip"
	"os"
	"slices"
	"strings"

	"mossproxy.example/mossproxy/internal/fleet"
	pure "mossproxy.example/mossproxy/internal/pure/fleet"
	"mossproxy.example/mossproxy/internal/pure/tier"
)

// Fleet is how the router takes part in a view of the fleet that the routers keep themselves.
type Fleet struct {
	Listen, Advertise string
	Join              []string
	Key               []byte // nil = none
}

// FleetReserve are the descriptors that the fleet's sockets and streams may hold.
const FleetReserve = fleet.MaxDescriptors

type fleetKeys struct {
	Listen    string   `toml:"listen"`
	Advertise string   `toml:"advertise"`
	Join      []string `toml:"join"`
	KeyFile   string   `toml:"key_file"`
}

func (k fleetKeys) isZero() bool {
	return k.Listen == "" && k.Advertise == "" && len(k.Join) == 0 && k.KeyFile == ""
}

// checkFleet checks [checkFleet]; nil where there is none.
func (c *checker) checkFleet(name, site string, addresses *[]string) *Fleet {
	k := c.doc.Fleet
	if k.isZero() {
		return nil
	}
	if len(name) > pure.MaxName {
		c.addFault("name", "%q has %d bytes; where there is a [fleet], %d are the most", name, len(name), pure.MaxName)
	}
	if len(site) > pure.MaxSite || strings.ContainsFunc(site, func(r rune) bool { return r <= ' ' || r > '~' }) {
		c.addFault("site", "%.60q; where there is a [fleet], up to %d letters, digits and signs are right", site, pure.MaxSite)
	}
	c.checkListen("fleet.listen", k.Listen, addresses)
	out := &Fleet{Listen: k.Listen, Advertise: k.Advertise, Join: slices.Clone(k.Join), Key: c.fleetKey(k.KeyFile)}
	if k.Advertise != "" {
		c.checkAddress("fleet.advertise", k.Advertise, false)
		c.checkReachable("fleet.advertise", k.Advertise, out.Key)
	} else {
		c.checkReachable("fleet.listen", k.Listen, out.Key)
	}
	if len(k.Join) > fleet.MaxJoinAddrs {
		c.addFault("fleet.join", "%d addresses; %d are the most: a few members are enough", len(k.Join), fleet.MaxJoinAddrs)
	}
	for _, a := range k.Join {
		c.checkAddress("fleet.join", a, false)
		c.checkReachable("fleet.join", a, out.Key)
	}
	return out
}

// checkFleetPeers checks the pools whose clients find all routers of the fleet: each is reached at the host by which the others reach the router.
func (c *checker) checkFleetPeers(out *File, name string) {
	tags := map[uint16]int{}
	for i, p := range out.Pools {
		if p.RESP == nil || !slices.Contains(p.RESP.Peers, fleetPeersKeyword) || out.Fleet == nil {
			continue
		}
		at := fmt.Sprintf("pool[%d]", i)
		p.RESP.Fleet, p.RESP.Peers, p.RESP.FleetName, p.RESP.FleetHost = true, nil, name, out.Fleet.host()
		tag := tier.PoolTag(p.Pool)
		if j, taken := tags[tag]; taken {
			c.addFault(at+".name", "%q and that of pool[%d] are the same to the other routers; name one otherwise", p.Pool, j)
		}
		tags[tag] = i
		if len(tags) == tier.MaxEndpoints+1 {
			c.addFault(at+".resp.peers", "%d pools at most can have the routers of [fleet] as peers", tier.MaxEndpoints)
		}
		if host, _, err := net.SplitHostPort(p.Listen); err == nil && !sameHost(host, p.RESP.FleetHost) {
			c.addFault(at+".listen", "%q: the others reach this router at %s, by [fleet], and send clients there; listen there, or on all addresses", p.Listen, p.RESP.FleetHost)
		}
	}
}

// host is that by which the others reach the router.
func (f *Fleet) host() string {
	at := f.Advertise
	if at == "" {
		at = f.Listen
	}
	host, _, _ := net.SplitHostPort(at) // checked before
	return host
}

// sameHost says whether who listens at a host can be reached at another.
func sameHost(listens, reached string) bool {
	ip, err := netip.ParseAddr(listens)
	return listens == "" || err == nil && ip.IsUnspecified() || listens == reached
}

// checkReachable checks an address by which routers reach each other. Without a key anybody who reaches it could speak as one of them.
func (c *checker) checkReachable(key, v string, secret []byte) {
	host, _, err := net.SplitHostPort(v)
	ip, perr := netip.ParseAddr(host)
	switch {
	case err != nil:
		return // said before
	case perr == nil && ip.IsUnspecified():
		c.addFault(key, "%q is no address that others can reach; name one, or set advertise", v)
	case secret == nil && !(perr == nil && ip.IsLoopback()):
		c.addFault(key, "%q is no loopback address, and without key_file anybody could speak as a router; make one: head -c 32 /dev/urandom | base64", v)
	}
}

// fleetKey reads the key that messages are proven by.
func (c *checker) fleetKey(path string) []byte {
	if path == "" {
		return nil
	}
	text, err := os.ReadFile(c.resolvePath(path))
	if err != nil {
		c.addFault("fleet.key_file", "%v", err)
		return []byte{}
	}
	key, err := base64.StdEncoding.DecodeString(strings.TrimSpace(string(text)))
	if err != nil || len(key) != 32 {
		c.addFault("fleet.key_file", "%s does not hold 32 bytes in base64", path)
		return []byte{}
	}
	return key
}

// sameFleet says whether two differ at most in what a running router can change.
func sameFleet(a, b *Fleet) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Listen == b.Listen && a.Advertise == b.Advertise && string(a.Key) == string(b.Key)
}
