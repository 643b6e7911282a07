// Package member provides a router's list of servers, from a discovery service or from a watched file. Both
// yield the same type of list.
package member

import (
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"strconv"
	"strings"

	"mossproxy.example/mossproxy/decide"
)

// List is a list of servers, or the changes to one, in the JSON form of the discovery service.
type List struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"` // the whole list; otherwise only the entries that changed
	Servers []Entry `json:"servers"`
}

// Entry is one server of a list.
type Entry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`     // relative share of the keys
	Started float64 `json:"started_ms"` // Unix time in ms; 0 = long ago, so the server counts as warm
}

var listStates = map[string]decide.State{"active": decide.Ready, "leaving": decide.Draining, "left": decide.Removed}

// BalancerEntry converts the entry for the balancer. It returns an error if the state is unknown, the id is
// missing or the address is not HOST:PORT.
func (e Entry) BalancerEntry() (decide.Entry, error) {
	st, ok := listStates[e.State]
	if !ok {
		return decide.Entry{}, fmt.Errorf("server %q: unknown state %q", e.ID, e.State)
	}
	if e.ID == "" {
		return decide.Entry{}, fmt.Errorf("server at %q without an id", e.Addr)
	}
	if _, _, err := net.SplitHostPort(e.Addr); err != nil && st != decide.Removed {
		return decide.Entry{}, fmt.Errorf("server %q: %q is not HOST:PORT", e.ID, e.Addr)
	}
	return decide.Entry{ID: ServerID(e.ID), State: st, Started: e.Started, Size: e.Weight, Zone: e.Zone, Cell: e.Cell,
		Kind: e.Kind}, nil
}

// ServerID maps a server's id to the number that the balancer hashes. All routers must compute the same
// number. If the part after the last "-" (the whole id if it has none) consists of exactly eight hex digits,
// that is their value, which is the number that the simulator uses on the wire. Any other id is hashed with
// FNV-1a.
func ServerID(id string) uint32 {
	digits := id[strings.LastIndexByte(id, '-')+1:]
	// Fewer digits are not unique, as in rades-01 and sfax-01.
	if v, err := strconv.ParseUint(digits, 16, 32); err == nil && len(digits) == 8 {
		return uint32(v)
	}
	h := fnv.New32a()
	io.WriteString(h, id)
	return h.Sum32()
}
