package tier

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/zeebo/blake3"
)

// PartitionCount is the number of partitions of the slots in a Group: enough for an even distribution over
// dozens of routers, few enough for a client's slot map.
const PartitionCount = 512

// Router is a router of the fleet that serves a pool.
type Router struct {
	Name, Addr string // address for clients
	State      State
}

// Assignment is one router's view of which router serves which partition.
type Assignment struct {
	Routers   []string // addresses, including those of routers that do not serve now
	Self      int      // index of this router
	ServedBy  []int    // index of the serving router, by partition
	HandsOver []bool   // whether this router hands a partition over while it drains
	Version   uint64   // grows with each change
}

// Group divides the slots among the routers of the membership view. It needs no configured numbers: any two
// routers compute the same assignment from the same set of routers, and one that joins or leaves moves
// hardly more than its own partitions. Its memory is proportional to the number of routers.
type Group struct {
	self    Router
	peers   []Router
	version uint64
}

// NewGroup returns a Group that contains only the given router.
func NewGroup(me Router) *Group { return &Group{self: me} }

// SetOwnState sets the state of this router and reports whether it changed.
func (g *Group) SetOwnState(s State) bool {
	if g.self.State == s {
		return false
	}
	g.self.State = s
	g.version++
	return true
}

// SetPeers sets the responsive routers of the membership view, in any order, and reports whether they
// changed. An entry for this router is ignored, as its own state is more accurate.
func (g *Group) SetPeers(routers []Router) bool {
	peers := slices.DeleteFunc(slices.Clone(routers), func(r Router) bool { return r.Name == g.self.Name })
	slices.SortFunc(peers, func(a, b Router) int { return cmp.Compare(a.Name, b.Name) })
	peers = slices.CompactFunc(peers, func(a, b Router) bool { return a.Name == b.Name })
	if slices.Equal(peers, g.peers) {
		return false
	}
	g.peers = peers
	g.version++
	return true
}

// Assignment returns the current assignment. If no router serves, all of them get partitions, because each
// knows why it has to refuse requests.
func (g *Group) Assignment() Assignment {
	routers := append(slices.Clone(g.peers), g.self)
	slices.SortFunc(routers, func(a, b Router) int { return cmp.Compare(a.Name, b.Name) })
	assignment := Assignment{Self: slices.Index(routers, g.self), Version: g.version}
	for _, r := range routers {
		assignment.Routers = append(assignment.Routers, r.Addr)
	}
	canServe := func(r Router) bool { return r.State == Serving }
	if !slices.ContainsFunc(routers, canServe) {
		canServe = func(Router) bool { return true }
	}
	assignment.ServedBy = assignPartitions(routers, canServe)
	withSelf := assignPartitions(routers, func(r Router) bool { return canServe(r) || r == g.self })
	for partition := range PartitionCount {
		assignment.HandsOver = append(assignment.HandsOver, withSelf[partition] == assignment.Self)
	}
	return assignment
}

// assignPartitions assigns each partition to a router that can serve: to the one with the highest random
// draw among those below 5/4 of an equal share (rendezvous hashing with bounded load). The draws of a
// router depend on its name alone, so routers that join or leave change few of them. If one of 64 routers
// leaves, at most 5.5% of the slots move; with a bound close to an equal share it would be 8%. Among
// hundreds of routers some have no partition.
func assignPartitions(routers []Router, canServe func(Router) bool) []int {
	type candidate struct {
		i, capacity int
		seed        uint64
	}
	var candidates []candidate
	for i, r := range routers {
		if canServe(r) {
			sum := blake3.Sum256([]byte(r.Name))
			candidates = append(candidates, candidate{i: i, seed: binary.LittleEndian.Uint64(sum[:])})
		}
	}
	for k := range candidates {
		candidates[k].capacity = (5*PartitionCount + 4*len(candidates) - 1) / (4 * len(candidates))
	}
	servedBy := make([]int, PartitionCount)
	for partition := range servedBy {
		best, highest := -1, uint64(0)
		for k, c := range candidates {
			if draw := mix(c.seed, uint64(partition)); c.capacity > 0 && (best < 0 || draw > highest) {
				best, highest = k, draw
			}
		}
		candidates[best].capacity--
		servedBy[partition] = candidates[best].i
	}
	return servedBy
}

// mix hashes a router's seed and a partition with the finalizer of SplitMix64, whose outputs are uniform
// even for inputs that differ in one bit.
func mix(seed, partition uint64) uint64 {
	z := seed + (partition+1)*0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// Assignment returns the assignment of a tier with numbered routers; addrs holds their addresses by number.
func (t *Table) Assignment(addrs []string) Assignment {
	assignment := Assignment{Routers: addrs, Self: t.self, ServedBy: t.ServedBy(), Version: t.version}
	for partition := range t.peers {
		assignment.HandsOver = append(assignment.HandsOver, t.OwnPartition(partition))
	}
	return assignment
}

// Endpoint is what a router announces of a pool: the port for clients, and whether they may be sent there.
// The host is that of the router.
type Endpoint struct {
	Pool  uint16 // see PoolTag; when encoded, the two highest bits hold the state
	Port  uint16
	State State
}

// endpointLen is the encoded length of an Endpoint in bytes, MaxEndpoints the maximum per router, and
// poolTagBits the length of a pool tag in bits.
const (
	endpointLen  = 4
	MaxEndpoints = 3
	poolTagBits  = 14
)

// PoolTag returns a 14-bit hash of a pool's name. The tags of the pools of one router must differ.
func PoolTag(name string) uint16 {
	sum := blake3.Sum256([]byte(name))
	return binary.LittleEndian.Uint16(sum[:]) & (1<<poolTagBits - 1)
}

// AppendEndpoints appends the encoding of endpoints to b.
func AppendEndpoints(b []byte, endpoints []Endpoint) []byte {
	for _, d := range endpoints {
		b = binary.BigEndian.AppendUint16(b, d.Pool&(1<<poolTagBits-1)|uint16(d.State)<<poolTagBits)
		b = binary.BigEndian.AppendUint16(b, d.Port)
	}
	return b
}

// DecodeEndpoints parses the encoding of AppendEndpoints. As the input is from another router, invalid
// values are errors.
func DecodeEndpoints(b []byte) (out []Endpoint, err error) {
	if len(b)%endpointLen != 0 || len(b) > MaxEndpoints*endpointLen {
		return nil, fmt.Errorf("endpoints of %d bytes, want at most %d of %d bytes each", len(b), MaxEndpoints, endpointLen)
	}
	for ; len(b) > 0; b = b[endpointLen:] {
		w := binary.BigEndian.Uint16(b)
		d := Endpoint{Pool: w & (1<<poolTagBits - 1), State: State(w >> poolTagBits), Port: binary.BigEndian.Uint16(b[2:])}
		if d.Port == 0 || d.State > Loading {
			return nil, fmt.Errorf("pool %d: invalid endpoint with port %d and state %d", d.Pool, d.Port, d.State)
		}
		out = append(out, d)
	}
	return out, nil
}
