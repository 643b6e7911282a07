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
)

// Config says how a cluster is reached.
type Config struct {
	Seeds    []string    // addresses, of which one that answers is enough
	Site     string      // that its servers are taken to stand in
	Protocol Protocol    // its Cluster is set here
	TLS      backend.TLS // of the links to servers; nil = they are plain
	Now      func() float64
	Log      func(format string, args ...any)
}

const (
	epochInterval      = 250 * time.Millisecond // between two looks at the epoch: who drains must be known within 500 ms
	mapInterval        = time.Second            // between two maps, where the epoch stays
	minRefreshDelay    = 25 * time.Millisecond  // between two, where something does
	mapTimeout         = 500 * time.Millisecond
	refreshDelayFactor = 10 // times what the last map took is between it and one that is called for: a large one costs milliseconds
	// maxNodes bounds the servers of a cluster; what maps and redirections name beyond that is passed over.
	maxNodes = 1000
)

// Cluster is where the servers of a cluster come from: it asks them for their map, and knows the owners of slots.
type Cluster struct {
	cfg              Config
	refreshRequested chan struct{}                           // of capacity 1: a map is asked for soon
	ownersBySlot     [slots.Count]atomic.Pointer[slotOwners] // what requests read

	mu              sync.Mutex
	table           *slots.Table
	nodes           map[string]float64 // address to when it was first seen; 0 = with the first map
	redirectTargets map[string]float64 // addresses that redirections named and no map yet, and when
	version         int64
	rotation        int
	mapDue          float64 // when a whole map is due; Run's alone
	onUpdate        func(member.List)
	lastError       string // the last trouble that was logged
}

// resolveOwners is who owns a slot, as the module's numbers. It never changes.
type slotOwners struct {
	write []uint32
	read  []uint32
}

// NewCluster is a cluster that nothing is known of yet.
func NewCluster(cfg Config) *Cluster {
	c := &Cluster{cfg: cfg, refreshRequested: make(chan struct{}, 1), table: slots.New(), nodes: map[string]float64{}, redirectTargets: map[string]float64{}}
	c.cfg.Protocol.Cluster = c
	return c
}

// Protocol is what its servers speak.
func (c *Cluster) Protocol() Protocol { return c.cfg.Protocol }

// noOwners are the owners of a slot that nobody owns.
var noOwners = []uint32{}

// Owners are the servers that may serve a command on a slot, the primary first. It may be called from any goroutine; the
// slice is shared and must not be changed. It is empty where nobody is known.
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

// RequestRefresh asks for a new map soon.
func (c *Cluster) RequestRefresh() {
	select {
	case c.refreshRequested <- struct{}{}:
	default:
	}
}

// serverID is the module's number of the server at an address.
func serverID(addr string) uint32 { return member.ServerID(addr) }

// HandleMoved is Sent's.
func (c *Cluster) HandleMoved(slot int, addr string) ([]uint32, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.RequestRefresh()
	if !c.ensureListed(addr) || !c.table.ApplyRedirect(c.cfg.Now(), slot, addr) {
		return nil, false
	}
	o, _ := c.table.Owner(slot)
	c.ownersBySlot[slot].Store(c.resolveOwners(&o)) // that one alone: in a migration redirections come by thousands
	return []uint32{serverID(addr)}, true
}

// HandleAsk is Sent's.
func (c *Cluster) HandleAsk(addr string) ([]uint32, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ensureListed(addr) {
		return nil, false
	}
	return []uint32{serverID(addr)}, true
}

// ensureListed makes sure that the server at an address is on the list, so that the module can send there. The news of it is
// told before the outcome that needs it. The caller holds mu.
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

// Run asks for maps until ctx ends, and hands each change of servers to tell.
func (c *Cluster) Run(ctx context.Context, tell func(member.List)) {
	c.mu.Lock()
	c.onUpdate = tell
	c.mu.Unlock()
	pause, soon := time.NewTimer(0), minRefreshDelay
	defer pause.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-pause.C:
		case <-c.refreshRequested:
			c.mapDue = 0
			select {
			case <-time.After(soon):
			case <-ctx.Done():
				return
			}
		}
		began := time.Now()
		c.refresh(ctx)
		soon = min(max(minRefreshDelay, refreshDelayFactor*time.Since(began)), epochInterval)
		pause.Reset(epochInterval)
	}
}

// refresh asks servers in turn until one gives a map that is taken.
func (c *Cluster) refresh(ctx context.Context) {
	var trouble []error
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
		trouble = append(trouble, fmt.Errorf("%s: %w", addr, err))
	}
	if err := errors.Join(trouble...); err != nil {
		c.logError(strings.ReplaceAll(err.Error(), "\n", "; "))
	}
}

// logError logs what is wrong with the maps, once for each text.
func (c *Cluster) logError(text string) {
	c.mu.Lock()
	new := text != c.lastError
	c.lastError = text
	c.mu.Unlock()
	if new && text != "" {
		c.cfg.Log("cluster: no new map, the one in use stays: %s", text)
	}
}

// maxServersAsked bounds the servers that one refresh asks.
const maxServersAsked = 8

// candidates are the servers to ask for a map, each time another one first.
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

// fetchMap gets the map of one server.
func (c *Cluster) fetchMap(ctx context.Context, addr string) (m slots.Map, err error) {
	ctx, stop := context.WithTimeout(ctx, mapTimeout)
	defer stop()
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return m, err
	}
	defer raw.Close()
	defer context.AfterFunc(ctx, func() { raw.Close() })()
	conn, err := backend.WrapTLS(ctx, raw, c.cfg.TLS, addr)
	if err != nil {
		return m, err
	}
	p := c.cfg.Protocol
	if _, err := conn.Write(resp.AppendCommand(p.Preamble(), []byte("CLUSTER"), []byte("INFO"))); err != nil {
		return m, err
	}
	in := bufio.NewReaderSize(conn, resp.MaxLine)
	if err := p.ReadPreambleReply(in); err != nil {
		return m, err
	}
	r := resp.NewReader(in)
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

// errMapUnchanged tells that the epoch is that of the map in use, and none is due.
var errMapUnchanged = errors.New("the same epoch")

func (c *Cluster) mapCurrent(epoch uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.nodes) > 0 && epoch == c.table.Epoch() && c.cfg.Now() < c.mapDue
}

// readEpoch reads the current epoch from CLUSTER INFO; 0 where it is not told.
func readEpoch(info *resp.Reply) (uint64, error) {
	if info.IsError() {
		return 0, errors.New(string(info.Text))
	}
	for line := range strings.Lines(string(info.Text)) {
		if v, ok := strings.CutPrefix(strings.TrimSpace(line), "cluster_current_epoch:"); ok {
			n, err := strconv.ParseUint(v, 10, 64)
			if err != nil {
				return 0, fmt.Errorf("epoch %.20q", v)
			}
			return n, nil
		}
	}
	return 0, nil
}

// readRanges reads what CLUSTER SLOTS says, run by run: of a cluster whose slots lie scattered it is megabytes, which are
// not held. A host that is left out is that of the server asked.
func readRanges(r resp.Reader, addr string) (out []slots.Range, err error) {
	own, _, _ := net.SplitHostPort(addr)
	names := map[string]string{} // each address once, however many runs name it
	err = r.ReadItems(slots.Count, func(item resp.Reply) error {
		run, err := readRange(item.Items, own, names)
		out = append(out, run)
		return err
	})
	return out, err
}

// readRange reads one run: from, to, its primary, its replicas.
func readRange(it []resp.Reply, own string, names map[string]string) (r slots.Range, err error) {
	if len(it) < 3 {
		return r, errors.New("a run of slots without an owner")
	}
	if r.From, err = strconv.Atoi(string(it[0].Text)); err == nil {
		r.To, err = strconv.Atoi(string(it[1].Text))
	}
	if err != nil {
		return r, fmt.Errorf("slots %.20q to %.20q", it[0].Text, it[1].Text)
	}
	for j, n := range it[2:min(len(it), 3+slots.MaxReplicas)] {
		if len(n.Items) < 2 {
			return r, errors.New("a server without an address")
		}
		host := string(n.Items[0].Text)
		if host == "" || host == "?" {
			host = own
		}
		at := net.JoinHostPort(host, string(n.Items[1].Text))
		if known, ok := names[at]; ok {
			at = known
		} else if len(names) < maxNodes {
			names[at] = at
		}
		if j == 0 {
			r.Primary = at
		} else {
			r.Replicas = append(r.Replicas, at)
		}
	}
	return r, nil
}

// applyMap uses a map. Servers that are new with it count as started now: nobody tells when they did.
func (c *Cluster) applyMap(m slots.Map) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	ch := c.table.ApplyMap(c.cfg.Now(), m)
	if ch.RejectReason != "" {
		return errors.New(ch.RejectReason)
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
			if at, ok := c.redirectTargets[addr]; ok {
				started = at
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
	for addr, at := range c.redirectTargets { // named by a redirection, and by no map since
		if now-at > 10000 {
			delete(c.redirectTargets, addr)
			changed = true
		}
	}
	if ch.ChangedSlots > 0 || ch.Conflicts > 0 || ch.Gaps > 0 && first {
		c.cfg.Log("cluster: map of epoch %d: %d slots changed hands, %d without an owner, %d claimed by two", m.Epoch, ch.ChangedSlots, ch.Gaps, ch.Conflicts)
	}
	c.publishOwners() // before the list, which makes the router ready
	if changed {
		c.publishServers()
	}
	return nil
}

// publishServers tells which servers there are. The caller holds mu.
func (c *Cluster) publishServers() {
	c.version++
	l := member.List{Version: c.version, Full: true}
	for _, from := range []map[string]float64{c.nodes, c.redirectTargets} {
		for addr, started := range from {
			l.Servers = append(l.Servers, member.Entry{ID: addr, Addr: addr, Zone: c.cfg.Site, Kind: "cache", State: "active", Weight: 1, Started: started})
		}
	}
	slices.SortFunc(l.Servers, func(a, b member.Entry) int { return strings.Compare(a.Addr, b.Addr) })
	if c.onUpdate != nil {
		c.onUpdate(l)
	}
}

// publishOwners makes the owners known to requests. The caller holds mu.
func (c *Cluster) publishOwners() {
	made := map[*slots.Owner]*slotOwners{}
	for s, o := range c.table.Owners() {
		if o != nil && made[o] == nil {
			made[o] = c.resolveOwners(o)
		}
		c.ownersBySlot[s].Store(made[o]) // nil = nobody
	}
}

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
