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

// Fleet configures the membership of the router in the fleet, a view that the routers maintain themselves.
type Fleet struct {
	Listen, Advertise string
	Join              []string
	Key               []byte // shared key for messages; nil = none
}

// FleetReserve is the number of descriptors reserved for the sockets and streams of the fleet.
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

// checkFleet checks [fleet]; it returns nil if the section is absent.
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

// checkFleetPeers checks the pools that have the routers of the fleet as peers. Clients are sent to such a
// pool at the host by which the other routers reach this one, so the pool must listen there.
func (c *checker) checkFleetPeers(out *File, name string) {
	tags := map[uint16]int{}
	for i, p := range out.Pools {
		if p.RESP == nil || !slices.Contains(p.RESP.Peers, fleetPeersKeyword) || out.Fleet == nil {
			continue
		}
		poolKey := fmt.Sprintf("pool[%d]", i)
		p.RESP.Fleet, p.RESP.Peers, p.RESP.FleetName, p.RESP.FleetHost = true, nil, name, out.Fleet.host()
		tag := tier.PoolTag(p.Pool)
		if j, taken := tags[tag]; taken {
			c.addFault(poolKey+".name", "%q and that of pool[%d] are the same to the other routers; name one otherwise", p.Pool, j)
		}
		tags[tag] = i
		if len(tags) == tier.MaxEndpoints+1 {
			c.addFault(poolKey+".resp.peers", "%d pools at most can have the routers of [fleet] as peers", tier.MaxEndpoints)
		}
		if host, _, err := net.SplitHostPort(p.Listen); err == nil && !sameHost(host, p.RESP.FleetHost) {
			c.addFault(poolKey+".listen", "%q: the others reach this router at %s, by [fleet], and send clients there; listen there, or on all addresses", p.Listen, p.RESP.FleetHost)
		}
	}
}

// host returns the host at which the other routers reach this one.
func (f *Fleet) host() string {
	address := f.Advertise
	if address == "" {
		address = f.Listen
	}
	host, _, _ := net.SplitHostPort(address) // already checked
	return host
}

// sameHost reports whether a listener on one host can be reached at another.
func sameHost(listens, reached string) bool {
	ip, err := netip.ParseAddr(listens)
	return listens == "" || err == nil && ip.IsUnspecified() || listens == reached
}

// checkReachable checks an address by which routers reach each other. Without a key only loopback is allowed,
// because anybody who reaches the address could impersonate a router.
func (c *checker) checkReachable(key, v string, sharedKey []byte) {
	host, _, err := net.SplitHostPort(v)
	ip, perr := netip.ParseAddr(host)
	switch {
	case err != nil:
		return // already reported
	case perr == nil && ip.IsUnspecified():
		c.addFault(key, "%q is no address that others can reach; name one, or set advertise", v)
	case sharedKey == nil && !(perr == nil && ip.IsLoopback()):
		c.addFault(key, "%q is no loopback address, and without key_file anybody could speak as a router; make one: head -c 32 /dev/urandom | base64", v)
	}
}

// fleetKey reads the key that authenticates messages.
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

// sameFleet reports whether two configurations differ at most in join, which a running router can change.
func sameFleet(a, b *Fleet) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Listen == b.Listen && a.Advertise == b.Advertise && string(a.Key) == string(b.Key)
}
