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
	epochEvery = 250 * time.Millisecond // between two looks at the epoch: who drains must be known within 500 ms
	mapEvery   = time.Second            // between two maps, where the epoch stays
	mapSoon    = 25 * time.Millisecond  // between two, where something does
	mapTimeout = 500 * time.Millisecond
	mapCost    = 10 // times what the last map took is between it and one that is called for: a large one costs milliseconds
	// maxNodes bounds the servers of a cluster; what maps and redirections name beyond that is passed over.
	maxNodes = 1000
)

// Cluster is where the servers of a cluster come from: it asks them for their map, and knows the owners of slots.
type Cluster struct {
	cfg  Config
	want chan struct{}                      // of capacity 1: a map is asked for soon
	view [slots.Count]atomic.Pointer[owner] // what requests read

	mu      sync.Mutex
	table   *slots.Table
	nodes   map[string]float64 // address to when it was first seen; 0 = with the first map
	extra   map[string]float64 // addresses that redirections named and no map yet, and when
	version int64
	turn    int
	full    float64 // when a whole map is due; Run's alone
	tell    func(member.List)
	said    string // the last trouble that was logged
}

// owner is who owns a slot, as the module's numbers. It never changes.
type owner struct {
	write []uint32
	read  []uint32
}

// NewCluster is a cluster that nothing is known of yet.
func NewCluster(cfg Config) *Cluster {
	c := &Cluster{cfg: cfg, want: make(chan struct{}, 1), table: slots.New(), nodes: map[string]float64{}, extra: map[string]float64{}}
	c.cfg.Protocol.Cluster = c
	return c
}

// Protocol is what its servers speak.
func (c *Cluster) Protocol() Protocol { return c.cfg.Protocol }

// none are the owners of a slot that nobody owns.
var none = []uint32{}

// Owners are the servers that may serve a command on a slot, the primary first. It may be called from any goroutine; the
// slice is shared and must not be changed. It is empty where nobody is known.
func (c *Cluster) Owners(slot int, write bool) []uint32 {
	if slot < 0 || slot >= slots.Count {
		return none
	}
	o := c.view[slot].Load()
	switch {
	case o == nil:
		c.Doubt()
		return none
	case write:
		return o.write
	}
	return o.read
}

// Doubt asks for a new map soon.
func (c *Cluster) Doubt() {
	select {
	case c.want <- struct{}{}:
	default:
	}
}

// idOf is the module's number of the server at an address.
func idOf(addr string) uint32 { return member.ServerID(addr) }

// Moved is Sent's.
func (c *Cluster) Moved(slot int, addr string) ([]uint32, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.Doubt()
	if !c.known(addr) || !c.table.Moved(c.cfg.Now(), slot, addr) {
		return nil, false
	}
	o, _ := c.table.Owner(slot)
	c.view[slot].Store(c.owner(&o)) // that one alone: in a migration redirections come by thousands
	return []uint32{idOf(addr)}, true
}

// Asked is Sent's.
func (c *Cluster) Asked(addr string) ([]uint32, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known(addr) {
		return nil, false
	}
	return []uint32{idOf(addr)}, true
}

// known makes sure that the server at an address is on the list, so that the module can send there. The news of it is
// told before the outcome that needs it. The caller holds mu.
func (c *Cluster) known(addr string) bool {
	if _, _, err := net.SplitHostPort(addr); err != nil {
		return false
	}
	if _, ok := c.nodes[addr]; ok {
		return true
	}
	if _, ok := c.extra[addr]; ok {
		return true
	}
	if len(c.nodes)+len(c.extra) >= maxNodes {
		return false
	}
	c.extra[addr] = c.cfg.Now()
	c.list()
	return true
}

// Run asks for maps until ctx ends, and hands each change of servers to tell.
func (c *Cluster) Run(ctx context.Context, tell func(member.List)) {
	c.mu.Lock()
	c.tell = tell
	c.mu.Unlock()
	pause, soon := time.NewTimer(0), mapSoon
	defer pause.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-pause.C:
		case <-c.want:
			c.full = 0
			select {
			case <-time.After(soon):
			case <-ctx.Done():
				return
			}
		}
		began := time.Now()
		c.refresh(ctx)
		soon = min(max(mapSoon, mapCost*time.Since(began)), epochEvery)
		pause.Reset(epochEvery)
	}
}

// refresh asks servers in turn until one gives a map that is taken.
func (c *Cluster) refresh(ctx context.Context) {
	var trouble []error
	for _, addr := range c.candidates() {
		m, err := c.ask(ctx, addr)
		if ctx.Err() != nil || errors.Is(err, errSame) {
			return
		}
		if err == nil {
			err = c.take(m)
		}
		if err == nil {
			c.full = c.cfg.Now() + float64(mapEvery.Milliseconds())
			c.trouble("")
			return
		}
		trouble = append(trouble, fmt.Errorf("%s: %w", addr, err))
	}
	if err := errors.Join(trouble...); err != nil {
		c.trouble(strings.ReplaceAll(err.Error(), "\n", "; "))
	}
}

// trouble logs what is wrong with the maps, once for each text.
func (c *Cluster) trouble(text string) {
	c.mu.Lock()
	new := text != c.said
	c.said = text
	c.mu.Unlock()
	if new && text != "" {
		c.cfg.Log("cluster: no new map, the one in use stays: %s", text)
	}
}

// maxAsked bounds the servers that one refresh asks.
const maxAsked = 8

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
		c.turn = (c.turn + 1) % len(out)
		out = append(out[c.turn:], out[:c.turn]...)
		out = out[:min(len(out), maxAsked)]
	}
	for _, s := range c.cfg.Seeds {
		if !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	return out
}

// ask gets the map of one server.
func (c *Cluster) ask(ctx context.Context, addr string) (m slots.Map, err error) {
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
	if c.same(m.Epoch) {
		return m, errSame
	}
	if _, err := conn.Write(resp.AppendCommand(nil, []byte("CLUSTER"), []byte("SLOTS"))); err != nil {
		return m, err
	}
	m.Ranges, err = readRanges(r, addr)
	return m, err
}

// errSame tells that the epoch is that of the map in use, and none is due.
var errSame = errors.New("the same epoch")

func (c *Cluster) same(epoch uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.nodes) > 0 && epoch == c.table.Epoch() && c.cfg.Now() < c.full
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

// take uses a map. Servers that are new with it count as started now: nobody tells when they did.
func (c *Cluster) take(m slots.Map) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	ch := c.table.Full(c.cfg.Now(), m)
	if ch.Refused != "" {
		return errors.New(ch.Refused)
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
			if at, ok := c.extra[addr]; ok {
				started = at
			}
			c.nodes[addr], changed = started, true
		}
		delete(c.extra, addr)
	}
	for addr := range c.nodes {
		if !seen[addr] {
			delete(c.nodes, addr)
			changed = true
		}
	}
	now := c.cfg.Now()
	for addr, at := range c.extra { // named by a redirection, and by no map since
		if now-at > 10000 {
			delete(c.extra, addr)
			changed = true
		}
	}
	if ch.Slots > 0 || ch.Clashes > 0 || ch.Gaps > 0 && first {
		c.cfg.Log("cluster: map of epoch %d: %d slots changed hands, %d without an owner, %d claimed by two", m.Epoch, ch.Slots, ch.Gaps, ch.Clashes)
	}
	c.publish() // before the list, which makes the router ready
	if changed {
		c.list()
	}
	return nil
}

// list tells which servers there are. The caller holds mu.
func (c *Cluster) list() {
	c.version++
	l := member.List{Version: c.version, Full: true}
	for _, from := range []map[string]float64{c.nodes, c.extra} {
		for addr, started := range from {
			l.Servers = append(l.Servers, member.Entry{ID: addr, Addr: addr, Zone: c.cfg.Site, Kind: "cache", State: "active", Weight: 1, Started: started})
		}
	}
	slices.SortFunc(l.Servers, func(a, b member.Entry) int { return strings.Compare(a.Addr, b.Addr) })
	if c.tell != nil {
		c.tell(l)
	}
}

// publish makes the owners known to requests. The caller holds mu.
func (c *Cluster) publish() {
	made := map[*slots.Owner]*owner{}
	for s, o := range c.table.Owners() {
		if o != nil && made[o] == nil {
			made[o] = c.owner(o)
		}
		c.view[s].Store(made[o]) // nil = nobody
	}
}

func (c *Cluster) owner(o *slots.Owner) *owner {
	out := &owner{write: []uint32{idOf(o.Primary)}}
	out.read = out.write
	if c.cfg.Protocol.Replicas {
		for _, a := range o.Replicas {
			out.read = append(slices.Clip(out.read), idOf(a))
		}
	}
	return out
}
