package resp

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mossproxy.example/mossproxy/internal/backend"
	"mossproxy.example/mossproxy/internal/member"
	"mossproxy.example/mossproxy/internal/proto/resp"
	"mossproxy.example/mossproxy/internal/pure/slots"
	"mossproxy.example/mossproxy/internal/sock"
)

// Config configures the connection to a cluster.
type Config struct {
	Seeds    []string       // host:port addresses of servers; one that answers is enough
	Site     string         // site that all its servers are assumed to be in
	Protocol Protocol       // NewCluster sets its field Cluster
	TLS      backend.TLS    // for connections to servers; nil = plain TCP
	Now      func() float64 // time in ms
	Log      func(format string, args ...any)
}

const (
	epochInterval      = 250 * time.Millisecond // between epoch checks, at most
	knownWithin        = 450 * time.Millisecond // time within which a change of the map is known: a drain must be known within 500 ms
	mapInterval        = time.Second            // between full maps while the epoch stays the same
	minRefreshDelay    = 25 * time.Millisecond  // least delay of a requested refresh
	mapTimeout         = 500 * time.Millisecond // for connecting, and for the next bytes of a map
	maxMapTime         = 2 * time.Second        // for a whole map
	refreshDelayFactor = 10                     // delay of a requested refresh / duration of the last: a large map costs ms
	// maxNodes limits the number of servers of a cluster; maps and redirections can't add more.
	maxNodes = 1000
)

// Cluster discovers the servers of a cluster by polling them for slot maps, and tracks the owners of slots.
type Cluster struct {
	cfg              Config
	refreshRequested chan struct{}                           // capacity 1: refresh pending
	ownersBySlot     [slots.Count]atomic.Pointer[slotOwners] // read without mu; nil = no owner

	mu              sync.Mutex
	table           *slots.Table
	nodes           map[string]float64 // address -> time in ms when it was first seen; 0 = in the first map
	redirectTargets map[string]float64 // address seen only in redirections -> time in ms
	version         int64
	rotation        int
	mapDue          float64 // when the next full map is due, in ms; used only by the goroutine of Run
	onUpdate        func(member.List)
	lastError       string // text of the last logged error; "" = none since a map was accepted
}

// slotOwners holds the owners of a slot as the server ids used by package decide. It is immutable.
type slotOwners struct {
	write []uint32
	read  []uint32
}

// NewCluster returns a cluster without any known servers or owners.
func NewCluster(cfg Config) *Cluster {
	c := &Cluster{cfg: cfg, refreshRequested: make(chan struct{}, 1), table: slots.New(), nodes: map[string]float64{}, redirectTargets: map[string]float64{}}
	c.cfg.Protocol.Cluster = c
	return c
}

// Protocol returns the protocol of the cluster's servers.
func (c *Cluster) Protocol() Protocol { return c.cfg.Protocol }

// noOwners is returned for a slot without a known owner.
var noOwners = []uint32{}

// Owners returns the servers that may serve a command on a slot, the primary first, or an empty slice that is
// not nil if none is known. May be called from any goroutine. The slice is shared and must not be modified.
func (c *Cluster) Owners(slot int, write bool) []uint32 {
	if slot < 0 || slot >= slots.Count {
		return noOwners
	}
	o := c.ownersBySlot[slot].Load()
	switch {
	case o == nil:
		c.RequestRefresh()
		return noOwners
	case write:
		return o.write
	}
	return o.read
}

// RequestRefresh requests a new slot map soon. It does not block.
func (c *Cluster) RequestRefresh() {
	select {
	case c.refreshRequested <- struct{}{}:
	default:
	}
}

// serverID returns the id that package decide uses for the server at an address.
func serverID(addr string) uint32 { return member.ServerID(addr) }

// HandleMoved implements Topology.
func (c *Cluster) HandleMoved(slot int, addr string) ([]uint32, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.RequestRefresh()
	if !c.ensureListed(addr) || !c.table.ApplyRedirect(c.cfg.Now(), slot, addr) {
		return nil, false
	}
	o, _ := c.table.Owner(slot)
	c.ownersBySlot[slot].Store(c.resolveOwners(&o)) // one slot: migrations redirect by thousands
	return []uint32{serverID(addr)}, true
}

// HandleAsk implements Topology.
func (c *Cluster) HandleAsk(addr string) ([]uint32, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ensureListed(addr) {
		return nil, false
	}
	return []uint32{serverID(addr)}, true
}

// ensureListed adds the server at an address to the list if necessary, so that the Balancer can send there.
// The updated list is published before the outcome of the attempt that needs the server. It reports false for
// an invalid address, or if the list is full. The caller holds mu.
func (c *Cluster) ensureListed(addr string) bool {
	if _, _, err := net.SplitHostPort(addr); err != nil {
		return false
	}
	if _, ok := c.nodes[addr]; ok {
		return true
	}
	if _, ok := c.redirectTargets[addr]; ok {
		return true
	}
	if len(c.nodes)+len(c.redirectTargets) >= maxNodes {
		return false
	}
	c.redirectTargets[addr] = c.cfg.Now()
	c.publishServers()
	return true
}

// Run polls for slot maps until ctx ends, and calls onUpdate with each change of the list of servers.
func (c *Cluster) Run(ctx context.Context, onUpdate func(member.List)) {
	c.mu.Lock()
	c.onUpdate = onUpdate
	c.mu.Unlock()
	timer, refreshDelay := time.NewTimer(0), minRefreshDelay
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-c.refreshRequested:
			c.mapDue = 0
			select {
			case <-time.After(refreshDelay):
			case <-ctx.Done():
				return
			}
		}
		start := time.Now()
		c.refresh(ctx)
		took := time.Since(start)
		refreshDelay = requestedDelay(took)
		timer.Reset(pollDelay(took))
	}
}

// pollDelay returns the time until the next refresh, after one that took a time: a change that this one has just
// missed is known once the next one is done.
func pollDelay(took time.Duration) time.Duration {
	return max(minRefreshDelay, min(epochInterval, knownWithin-2*took))
}

// requestedDelay is pollDelay for a refresh that is requested. Requests come by thousands while slots move.
func requestedDelay(took time.Duration) time.Duration {
	return max(minRefreshDelay, min(refreshDelayFactor*took, pollDelay(took)))
}

// refresh asks the servers in turn until one returns an acceptable map or has the epoch of the current one.
func (c *Cluster) refresh(ctx context.Context) {
	var errs []error
	for _, addr := range c.candidates() {
		m, err := c.fetchMap(ctx, addr)
		if ctx.Err() != nil || errors.Is(err, errMapUnchanged) {
			return
		}
		if err == nil {
			err = c.applyMap(m)
		}
		if err == nil {
			c.mapDue = c.cfg.Now() + float64(mapInterval.Milliseconds())
			c.logError("")
			return
		}
		errs = append(errs, fmt.Errorf("%s: %w", addr, err))
	}
	if err := errors.Join(errs...); err != nil {
		c.logError(strings.ReplaceAll(err.Error(), "\n", "; "))
	}
}

// logError logs an error with the slot map unless it is the same as the last one; "" resets it.
func (c *Cluster) logError(text string) {
	c.mu.Lock()
	changed := text != c.lastError
	c.lastError = text
	c.mu.Unlock()
	if changed && text != "" {
		c.cfg.Log("cluster: slot map not refreshed, keeping the current one: %s", text)
	}
}

// maxServersAsked limits the number of known servers, besides the seeds, that one refresh asks.
const maxServersAsked = 8

// candidates returns the servers to ask for a map. Each call starts with the next server; seeds are last.
func (c *Cluster) candidates() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for addr := range c.nodes {
		out = append(out, addr)
	}
	slices.Sort(out)
	if len(out) > 0 {
		c.rotation = (c.rotation + 1) % len(out)
		out = append(out[c.rotation:], out[:c.rotation]...)
		out = out[:min(len(out), maxServersAsked)]
	}
	for _, s := range c.cfg.Seeds {
		if !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	return out
}

// fetchMap fetches the slot map of one server, or returns errMapUnchanged if no new map is needed.
func (c *Cluster) fetchMap(ctx context.Context, addr string) (m slots.Map, err error) {
	ctx, cancel := context.WithTimeout(ctx, maxMapTime)
	defer cancel()
	dialed, err := (&net.Dialer{Timeout: mapTimeout}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return m, err
	}
	tcpConn := sock.StallConn{Conn: dialed, Limit: mapTimeout}
	defer tcpConn.Close()
	defer context.AfterFunc(ctx, func() { tcpConn.Close() })()
	conn, err := backend.WrapTLS(ctx, tcpConn, c.cfg.TLS, addr)
	if err != nil {
		return m, err
	}
	p := c.cfg.Protocol
	if _, err := conn.Write(resp.AppendCommand(p.Preamble(), []byte("CLUSTER"), []byte("INFO"))); err != nil {
		return m, err
	}
	input := bufio.NewReaderSize(conn, resp.MaxLine)
	if err := p.ReadPreambleReply(input); err != nil {
		return m, err
	}
	r := resp.NewReader(input)
	info, err := r.ReadReply()
	if err != nil {
		return m, err
	}
	if m.Epoch, err = readEpoch(&info); err != nil {
		return m, err
	}
	if c.mapCurrent(m.Epoch) {
		return m, errMapUnchanged
	}
	if _, err := conn.Write(resp.AppendCommand(nil, []byte("CLUSTER"), []byte("SLOTS"))); err != nil {
		return m, err
	}
	m.Ranges, err = readRanges(r, addr)
	return m, err
}

// errMapUnchanged reports that the server has the epoch of the current map, and no full map is due.
var errMapUnchanged = errors.New("epoch unchanged")

// mapCurrent reports whether the current map has this epoch and no full map is due.
func (c *Cluster) mapCurrent(epoch uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.nodes) > 0 && epoch == c.table.Epoch() && c.cfg.Now() < c.mapDue
}

// readEpoch returns the current epoch in a reply to CLUSTER INFO, or 0 if it has none.
func readEpoch(info *resp.Reply) (uint64, error) {
	if info.IsError() {
		return 0, errors.New(string(info.Text))
	}
	for line := range strings.Lines(string(info.Text)) {
		if v, ok := strings.CutPrefix(strings.TrimSpace(line), "cluster_current_epoch:"); ok {
			n, err := strconv.ParseUint(v, 10, 64)
			if err != nil {
				return 0, fmt.Errorf("invalid cluster epoch %.20q", v)
			}
			return n, nil
		}
	}
	return 0, nil
}

// readRanges reads the reply to CLUSTER SLOTS range by range, without buffering it as a whole: with
// fragmented slots it has megabytes. An omitted host is that of the server at addr, which has been asked.
func readRanges(r resp.Reader, addr string) (out []slots.Range, err error) {
	defaultHost, _, _ := net.SplitHostPort(addr)
	addresses := map[string]string{} // interned addresses: ranges share the string of an address
	err = r.ReadItems(slots.Count, func(item resp.Reply) error {
		slotRange, err := readRange(item.Items, defaultHost, addresses)
		out = append(out, slotRange)
		return err
	})
	return out, err
}

// readRange reads one range: first slot, last slot, primary, replicas.
func readRange(items []resp.Reply, defaultHost string, addresses map[string]string) (r slots.Range, err error) {
	if len(items) < 3 {
		return r, errors.New("slot range without an owner")
	}
	if r.From, err = strconv.Atoi(string(items[0].Text)); err == nil {
		r.To, err = strconv.Atoi(string(items[1].Text))
	}
	if err != nil {
		return r, fmt.Errorf("invalid slot range %.20q to %.20q", items[0].Text, items[1].Text)
	}
	for j, server := range items[2:min(len(items), 3+slots.MaxReplicas)] {
		if len(server.Items) < 2 {
			return r, errors.New("server entry without an address")
		}
		host := string(server.Items[0].Text)
		if host == "" || host == "?" {
			host = defaultHost
		}
		address := net.JoinHostPort(host, string(server.Items[1].Text))
		if interned, ok := addresses[address]; ok {
			address = interned
		} else if len(addresses) < maxNodes {
			addresses[address] = address
		}
		if j == 0 {
			r.Primary = address
		} else {
			r.Replicas = append(r.Replicas, address)
		}
	}
	return r, nil
}

// applyMap replaces the current map. Servers that it adds count as started now, or when a redirection first
// named them, since maps contain no start time; those of the first map have start time 0 (long ago).
func (c *Cluster) applyMap(m slots.Map) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	change := c.table.ApplyMap(c.cfg.Now(), m)
	if change.RejectReason != "" {
		return errors.New(change.RejectReason)
	}
	seen := map[string]bool{}
	for _, r := range m.Ranges {
		seen[r.Primary] = true
		if c.cfg.Protocol.Replicas {
			for _, a := range r.Replicas {
				seen[a] = true
			}
		}
	}
	first, changed := len(c.nodes) == 0, false
	for addr := range seen {
		if _, ok := c.nodes[addr]; !ok && len(c.nodes) < maxNodes {
			started := c.cfg.Now()
			if first {
				started = 0
			}
			if redirectedAt, ok := c.redirectTargets[addr]; ok {
				started = redirectedAt
			}
			c.nodes[addr], changed = started, true
		}
		delete(c.redirectTargets, addr)
	}
	for addr := range c.nodes {
		if !seen[addr] {
			delete(c.nodes, addr)
			changed = true
		}
	}
	now := c.cfg.Now()
	for addr, redirectedAt := range c.redirectTargets { // 10 s without a map that lists it
		if now-redirectedAt > 10000 {
			delete(c.redirectTargets, addr)
			changed = true
		}
	}
	if change.ChangedSlots > 0 || change.Conflicts > 0 || change.Gaps > 0 && first {
		c.cfg.Log("cluster: map of epoch %d: %d slots changed owner, %d have no owner, %d have conflicting owners", m.Epoch, change.ChangedSlots, change.Gaps, change.Conflicts)
	}
	c.publishOwners() // before the list of servers, which makes the router ready
	if changed {
		c.publishServers()
	}
	return nil
}

// publishServers passes the full list of servers to onUpdate. The caller holds mu.
func (c *Cluster) publishServers() {
	c.version++
	l := member.List{Version: c.version, Full: true}
	for _, group := range []map[string]float64{c.nodes, c.redirectTargets} {
		for addr, started := range group {
			l.Servers = append(l.Servers, member.Entry{ID: addr, Addr: addr, Zone: c.cfg.Site, Kind: "cache", State: "active", Weight: 1, Started: started})
		}
	}
	slices.SortFunc(l.Servers, func(a, b member.Entry) int { return strings.Compare(a.Addr, b.Addr) })
	if c.onUpdate != nil {
		c.onUpdate(l)
	}
}

// publishOwners updates the owners of all slots that requests see. The caller holds mu.
func (c *Cluster) publishOwners() {
	converted := map[*slots.Owner]*slotOwners{}
	for s, o := range c.table.Owners() {
		if o != nil && converted[o] == nil {
			converted[o] = c.resolveOwners(o)
		}
		c.ownersBySlot[s].Store(converted[o]) // nil = no owner
	}
}

// resolveOwners converts addresses to server ids; replicas count for reads only, and only if enabled.
func (c *Cluster) resolveOwners(o *slots.Owner) *slotOwners {
	out := &slotOwners{write: []uint32{serverID(o.Primary)}}
	out.read = out.write
	if c.cfg.Protocol.Replicas {
		for _, a := range o.Replicas {
			out.read = append(slices.Clip(out.read), serverID(a))
		}
	}
	return out
}
