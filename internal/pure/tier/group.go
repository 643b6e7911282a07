package tier

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/zeebo/blake3"
)

// PartitionCount are the parts of the slots that a Group divides: enough that dozens of routers have nearly the same number, few enough for a
// client's map.
const PartitionCount = 512

// Router is a router of the fleet as far as it serves a pool.
type Router struct {
	Name, Addr string // where clients reach it
	State      State
}

// Assignment says who serves which part of the slots, as one router has it.
type Assignment struct {
	Routers   []string // addresses; one that serves nothing just now is among them
	Self      int      // this one
	ServedBy  []int    // the router that serves, by home
	HandsOver []bool   // whether this one hands a home on while it drains
	Version   uint64   // grows with each change
}

// Group divides the slots among routers that a view of the fleet names. It takes no numbers from a file: what any two of them compute from
// the same routers is the same, and one that comes or goes moves hardly more than its own part. Its memory is that of the routers.
type Group struct {
	self    Router
	peers   []Router
	version uint64
}

// NewGroup is for a router that knows of no other.
func NewGroup(me Router) *Group { return &Group{self: me} }

// SetOwnState takes what this router says of itself, and tells whether that is news.
func (g *Group) SetOwnState(s State) bool {
	if g.self.State == s {
		return false
	}
	g.self.State = s
	g.version++
	return true
}

// RecordState takes the routers that the view names and that are heard, in any order, and tells whether that is news. What it says of this one
// is passed over: nobody knows that better.
func (g *Group) SetPeers(rs []Router) bool {
	others := slices.DeleteFunc(slices.Clone(rs), func(r Router) bool { return r.Name == g.self.Name })
	slices.SortFunc(others, func(a, b Router) int { return cmp.Compare(a.Name, b.Name) })
	others = slices.CompactFunc(others, func(a, b Router) bool { return a.Name == b.Name })
	if slices.Equal(others, g.peers) {
		return false
	}
	g.peers = others
	g.version++
	return true
}

// Assignment is who serves what. Where nobody serves, all that are there do: what comes is refused by who knows why.
func (g *Group) Assignment() Assignment {
	all := append(slices.Clone(g.peers), g.self)
	slices.SortFunc(all, func(a, b Router) int { return cmp.Compare(a.Name, b.Name) })
	s := Assignment{Self: slices.Index(all, g.self), Version: g.version}
	for _, r := range all {
		s.Routers = append(s.Routers, r.Addr)
	}
	can := func(r Router) bool { return r.State == Serving }
	if !slices.ContainsFunc(all, can) {
		can = func(Router) bool { return true }
	}
	s.ServedBy = assignPartitions(all, can)
	mine := assignPartitions(all, func(r Router) bool { return can(r) || r == g.self })
	for home := range PartitionCount {
		s.HandsOver = append(s.HandsOver, mine[home] == s.Self)
	}
	return s
}

// assignPartitions gives each home to one of the routers that can serve: to the one that draws highest for it among those that have less than 5/4 of
// an equal part. A router's draws are its own, so others that come or go change few of them; with parts that are quite equal one of 64 that
// goes moves 8% of the slots at worst, with these 5.5%. Of hundreds of routers some have no home.
func assignPartitions(all []Router, can func(Router) bool) []int {
	type taker struct {
		i, room int
		seed    uint64
	}
	var takers []taker
	for i, r := range all {
		if can(r) {
			sum := blake3.Sum256([]byte(r.Name))
			takers = append(takers, taker{i: i, seed: binary.LittleEndian.Uint64(sum[:])})
		}
	}
	for k := range takers {
		takers[k].room = (5*PartitionCount + 4*len(takers) - 1) / (4 * len(takers))
	}
	out := make([]int, PartitionCount)
	for home := range out {
		best, most := -1, uint64(0)
		for k, t := range takers {
			if d := mix(t.seed, uint64(home)); t.room > 0 && (best < 0 || d > most) {
				best, most = k, d
			}
		}
		takers[best].room--
		out[home] = takers[best].i
	}
	return out
}

// mix draws a number for a router and a home: the finalizer of SplitMix64, whose outputs are even for inputs that differ in a bit.
func mix(seed, home uint64) uint64 {
	z := seed + (home+1)*0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// Assignment is who serves what where the routers have numbers, and addresses by them.
func (t *Table) Assignment(addrs []string) Assignment {
	s := Assignment{Routers: addrs, Self: t.self, ServedBy: t.ServedBy(), Version: t.version}
	for home := range t.peers {
		s.HandsOver = append(s.HandsOver, t.OwnPartition(home))
	}
	return s
}

// Endpoint is what a router tells the others of a pool: where clients reach it, and whether they may be sent there. The host is the router's.
type Endpoint struct {
	Pool  uint16 // see PoolTag; its two highest bits are the state's on the way
	Port  uint16
	State State
}

// endpointLen is the length of a door on the way; MaxEndpoints is how many a router may have.
const (
	endpointLen  = 4
	MaxEndpoints = 3
	poolTagBits  = 14
)

// PoolTag is a pool's name in 14 bits. Two pools of one router must not have the same.
func PoolTag(name string) uint16 {
	sum := blake3.Sum256([]byte(name))
	return binary.LittleEndian.Uint16(sum[:]) & (1<<poolTagBits - 1)
}

// AppendEndpoints writes doors.
func AppendEndpoints(b []byte, ds []Endpoint) []byte {
	for _, d := range ds {
		b = binary.BigEndian.AppendUint16(b, d.Pool&(1<<poolTagBits-1)|uint16(d.State)<<poolTagBits)
		b = binary.BigEndian.AppendUint16(b, d.Port)
	}
	return b
}

// DecodeEndpoints reads what AppendEndpoints wrote. Input is another router's: what makes no sense is an error.
func DecodeEndpoints(b []byte) (out []Endpoint, err error) {
	if len(b)%endpointLen != 0 || len(b) > MaxEndpoints*endpointLen {
		return nil, fmt.Errorf("%d bytes are no doors: up to %d of %d bytes are right", len(b), MaxEndpoints, endpointLen)
	}
	for ; len(b) > 0; b = b[endpointLen:] {
		w := binary.BigEndian.Uint16(b)
		d := Endpoint{Pool: w & (1<<poolTagBits - 1), State: State(w >> poolTagBits), Port: binary.BigEndian.Uint16(b[2:])}
		if d.Port == 0 || d.State > Loading {
			return nil, fmt.Errorf("pool %d: no door has port %d and state %d", d.Pool, d.Port, d.State)
		}
		out = append(out, d)
	}
	return out, nil
}
