package router

import (
	"cmp"
	"context"
	"log/slog"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"mossproxy.example/mossproxy/internal/front/resp"
	"mossproxy.example/mossproxy/internal/pure/tier"
)

// doorsEvery is the time between two looks at whether a pool may be sent clients, and who else is.
const doorsEvery = 50 * time.Millisecond

// Member is a router of the fleet that is heard: its name, the host by which it is reached, and what it tells of its doors.
type Member struct {
	Name string `json:"name"`
	Host string `json:"host"`
	Card []byte `json:"card"`
}

// Doors tell the other routers of the fleet where this one's pools take clients, and pools where the others do. Its methods may be called
// from any goroutine.
type Doors struct {
	say func(card string) bool

	mu      sync.Mutex
	own     []tier.Endpoint // in the order of their tags
	unsaid  bool
	frozen  bool // another process of this router speaks of them
	members []Member
	version uint64            // grows with each change of members
	bad     map[string]string // by member: its card that made no sense, to be logged once
}

// NewDoors is for a router whose words go out by say, which returns false where they did not.
func NewDoors(say func(card string) bool) *Doors { return &Doors{say: say, bad: map[string]string{}} }

// Heard takes who is there.
func (d *Doors) Heard(ms []Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.members = ms
	d.version++
	for name := range d.bad {
		if !slices.ContainsFunc(ms, func(m Member) bool { return m.Name == name }) {
			delete(d.bad, name)
		}
	}
}

// tell has the others hear of a door of this router, where that is news or the last word did not go out.
func (d *Doors) tell(door tier.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, found := slices.BinarySearchFunc(d.own, door, func(a, b tier.Endpoint) int { return cmp.Compare(a.Pool, b.Pool) })
	switch {
	case !found:
		d.own = slices.Insert(d.own, at, door)
	case d.frozen || d.own[at] == door && !d.unsaid:
		return
	default:
		d.own[at] = door
	}
	d.unsaid = !d.say(string(tier.AppendEndpoints(nil, d.own)))
}

// Freeze has this router's doors stay as they were told: another of its processes takes clients at them, whatever becomes of this one.
func (d *Doors) Freeze(yes bool) {
	if d == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.frozen = yes
}

// to are the routers that have a door to a pool, and the version of the members that they are of. For that of known there are none to tell.
func (d *Doors) to(pool uint16, known uint64) (out []tier.Router, version uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.version == known {
		return nil, known
	}
	for _, m := range d.members {
		doors, err := tier.DecodeEndpoints(m.Card)
		if err != nil {
			if d.bad[m.Name] != string(m.Card) {
				d.bad[m.Name] = string(m.Card)
				slog.Warn("fleet: a member's doors make no sense", "name", m.Name, "why", err)
			}
			continue
		}
		for _, door := range doors {
			if door.Pool == pool {
				out = append(out, tier.Router{Name: m.Name, Addr: net.JoinHostPort(m.Host, strconv.Itoa(int(door.Port))), State: door.State})
			}
		}
	}
	return out, d.version
}

// follow keeps a pool among the routers that have a door to it, until ctx ends.
func (d *Doors) follow(ctx context.Context, pool string, port uint16, p *resp.Protocol, ready func() bool) {
	tag := tier.PoolTag(pool)
	tick := time.NewTicker(doorsEvery)
	defer tick.Stop()
	var there []tier.Router
	var known uint64
	for {
		if rs, version := d.to(tag, known); version != known {
			there, known = rs, version
		}
		word := p.UpdateRouters(there, ready())
		d.tell(tier.Endpoint{Pool: tag, Port: port, State: word})
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// ready says whether all engines have their servers.
func (rs engines) ready() bool {
	return !slices.ContainsFunc(rs, func(r *router) bool { return !r.Ready() })
}
