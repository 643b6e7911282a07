// Package member tells a router which servers there are: from a discovery service or from a watched file, each as the
// same type of list.
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

// List is a list of servers, or the changes to one, in discovery's form.
type List struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
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
	Weight  float64 `json:"weight"`
	Started float64 `json:"started_ms"`
}

var listStates = map[string]decide.State{"active": decide.Ready, "leaving": decide.Draining, "left": decide.Removed}

// BalancerEntry is the entry as the module takes it.
func (e Entry) BalancerEntry() (decide.Entry, error) {
	st, ok := listStates[e.State]
	if !ok {
		return decide.Entry{}, fmt.Errorf("server %q: unknown state %q", e.ID, e.State)
	}
	if e.ID == "" {
		return decide.Entry{}, fmt.Errorf("server at %q without an id", e.Addr)
	}
	if _, _, err := net.SplitHostPort(e.Addr); err != nil && st != decide.Removed {
		return decide.Entry{}, fmt.Errorf("server %q: %q is no host:port", e.ID, e.Addr)
	}
	return decide.Entry{ID: ServerID(e.ID), State: st, Started: e.Started, Size: e.Weight, Zone: e.Zone, Cell: e.Cell,
		Kind: e.Kind}, nil
}

// ServerID maps a server's id to the module's. All routers must map alike, as the module hashes it: the digits are
// the number that the simulator's wire gives.
func ServerID(id string) uint32 {
	digits := id[strings.LastIndexByte(id, '-')+1:]
	if v, err := strconv.ParseUint(digits, 16, 32); err == nil && len(digits) == 8 { // not rades-01 and sfax-01 alike
		return uint32(v)
	}
	h := fnv.New32a()
	io.WriteString(h, id)
	return h.Sum32()
}
