package standin

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"mossproxy.example/mossproxy/internal/proto/resp"
	"mossproxy.example/mossproxy/internal/pure/slots"
)

// Cluster is a cluster of RESP servers: slots, migration key by key, failover, nodes that have not heard, and every error
// on order. Each node acts by its own view of who owns what, as real ones do.
type Cluster struct {
	tls *tls.Config
	clock
	work   float64 // mean ms of a command
	record *CommandRecord

	mu    sync.Mutex
	rng   *rand.Rand
	nodes []*Node
	epoch uint64
}

// ClusterConfig says what a cluster is made of.
type ClusterConfig struct {
	Primaries int
	Replicas  int     // of each primary
	Work      float64 // mean ms of a command; 0 = at once
	Seed      uint64
	Keep      int         // commands that the record holds
	TLS       *tls.Config // of all listeners; nil = they are plain
}

// Node is one server of a cluster.
type Node struct {
	ID string

	c    *Cluster
	addr string
	wg   sync.WaitGroup

	// guarded by Cluster.mu
	ln        net.Listener // nil = dead
	conns     map[net.Conn]struct{}
	data      map[string]string
	view      *[slots.Count]*Node // who owns what, as this node knows it
	epoch     uint64              // and since which epoch
	primary   *Node               // of a replica
	migrating map[int]*Node       // slots on their way out,
	importing map[int]*Node       // and in
	mode      Mode
	orders    []string // errors that the next commands get
	late      time.Duration
	runs      int
	touched   float64 // when a command on keys came last, run or not
	copies    copies
}

// copies says how often a reply comes once more, and how late at most.
type copies struct {
	share float64
	late  time.Duration
}

// StartCluster starts a cluster whose primaries own equal runs of slots.
func StartCluster(cfg ClusterConfig) (*Cluster, error) {
	c := &Cluster{clock: clock{time.Now()}, tls: cfg.TLS, work: cfg.Work, record: &CommandRecord{keep: max(1, cfg.Keep)}, rng: rand.New(rand.NewPCG(cfg.Seed, 17)), epoch: 1}
	var owners [slots.Count]*Node
	for i := range cfg.Primaries * (1 + cfg.Replicas) {
		n := &Node{ID: fmt.Sprintf("%040x", 0xabc000+i), c: c, addr: "127.0.0.1:0", data: map[string]string{}, epoch: 1,
			migrating: map[int]*Node{}, importing: map[int]*Node{}}
		if i >= cfg.Primaries {
			n.primary = c.nodes[i%cfg.Primaries]
		}
		if err := n.listen(); err != nil {
			c.Close()
			return nil, err
		}
		c.nodes = append(c.nodes, n)
	}
	for s := range owners {
		owners[s] = c.nodes[s*cfg.Primaries/slots.Count]
	}
	for _, n := range c.nodes {
		view := owners
		n.view = &view
	}
	return c, nil
}

// Close ends all nodes and waits for them.
func (c *Cluster) Close() {
	for _, n := range c.Nodes() {
		n.Kill()
		n.wg.Wait()
	}
}

// Nodes are the servers, primaries first.
func (c *Cluster) Nodes() []*Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.nodes)
}

// Record is what the nodes have run.
func (c *Cluster) Record() *CommandRecord { return c.record }

// Owner is who owns a slot in the newest view.
func (c *Cluster) Owner(slot int) *Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.newest().view[slot]
}

// newest is a node with the newest view. The caller holds mu.
func (c *Cluster) newest() *Node {
	best := c.nodes[0]
	for _, n := range c.nodes {
		if n.ln != nil && (best.ln == nil || n.epoch > best.epoch) {
			best = n
		}
	}
	return best
}

// Migrate begins to move a slot: its owner still serves the keys that it has and sends others on by ASK.
func (c *Cluster) Migrate(slot int, to *Node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	from := c.newest().view[slot]
	from.migrating[slot], to.importing[slot] = to, from
}

// MoveKeys moves up to n keys of a slot that migrates, and says how many are left.
func (c *Cluster) MoveKeys(slot, n int) (left int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	from := c.newest().view[slot]
	to := from.migrating[slot]
	if to == nil {
		return 0
	}
	for k, v := range from.data {
		if slots.ForKey([]byte(k)) != slot {
			continue
		}
		if n > 0 {
			to.data[k] = v
			delete(from.data, k)
			n--
		} else {
			left++
		}
	}
	return left
}

// Finish gives a slot that migrates to its new owner. The nodes that are named stay without the news.
func (c *Cluster) Finish(slot int, unaware ...*Node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	from := c.newest().view[slot]
	to := from.migrating[slot]
	if to == nil {
		return
	}
	from.give(slot, to)
	delete(from.migrating, slot)
	delete(to.importing, slot)
	c.tell(func(view *[slots.Count]*Node) { view[slot] = to }, unaware)
}

// Abort ends the import of a slot: the receiver sends back whoever asks it, and has what was moved returned.
func (c *Cluster) Abort(slot int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	from := c.newest().view[slot]
	to := from.migrating[slot]
	if to == nil {
		return
	}
	to.give(slot, from)
	delete(to.importing, slot) // the sender still says ASK for a while
}

// Fail makes a replica take over from its primary, which goes on answering by its old view until it hears.
func (c *Cluster) Fail(replica *Node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := replica.primary
	replica.primary = nil
	c.tell(func(view *[slots.Count]*Node) {
		for s, n := range view {
			if n == old {
				view[s] = replica
			}
		}
	}, []*Node{old})
}

// Hear brings a node up to date. One whose slots have all gone to a replica becomes that one's replica.
func (c *Cluster) Hear(n *Node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	best := c.newest()
	view := *best.view
	had := slices.Contains(n.view[:], n)
	n.view, n.epoch = &view, best.epoch
	if had && !slices.Contains(view[:], n) && n.primary == nil {
		for _, m := range c.nodes {
			if m != n && slices.Contains(view[:], m) {
				n.primary = m
			}
		}
	}
}

// give hands the keys of a slot to another node. The caller holds mu.
func (n *Node) give(slot int, to *Node) {
	for k, v := range n.data {
		if slots.ForKey([]byte(k)) == slot {
			to.data[k] = v
			delete(n.data, k)
		}
	}
}

// Drop takes slots from their owner without giving them to another: a gap.
func (c *Cluster) Drop(from, to int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tell(func(view *[slots.Count]*Node) { clear(view[from : to+1]) }, nil)
}

// tell changes the views of all nodes but the unaware, with a new epoch. The caller holds mu.
func (c *Cluster) tell(change func(*[slots.Count]*Node), unaware []*Node) {
	next := *c.newest().view
	change(&next)
	c.epoch++
	for _, n := range c.nodes {
		if !slices.Contains(unaware, n) {
			view := next
			n.view, n.epoch = &view, c.epoch
		}
	}
}

// Addr is the node's address, the same after a restart.
func (n *Node) Addr() string { return n.addr }

func (n *Node) listen() error {
	ln, err := listen(n.addr, n.c.tls)
	if err != nil {
		return fmt.Errorf("stand-in %s: %w", n.ID, err)
	}
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	n.addr, n.ln, n.mode, n.conns = ln.Addr().String(), ln, Serves, map[net.Conn]struct{}{}
	n.wg.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			n.c.mu.Lock()
			if n.ln != ln || len(n.conns) >= maxConns {
				n.c.mu.Unlock()
				conn.Close()
				continue
			}
			n.conns[conn] = struct{}{}
			n.c.mu.Unlock()
			n.wg.Go(func() { n.serve(conn) })
		}
	})
	return nil
}

// Kill ends the process: connections are reset and new ones refused.
func (n *Node) Kill() {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	if n.ln == nil {
		return
	}
	n.ln.Close()
	n.ln, n.mode = nil, Dead
	for c := range n.conns {
		c.Close()
	}
}

// Restart starts a dead node again, with the keys and the view that it had.
func (n *Node) Restart() error { return n.listen() }

// Set changes how the node behaves: Serves, Hangs, Silent (runs and says nothing), Cuts (runs and ends the connection in
// its answer) or Drops (ends it without running).
func (n *Node) Set(m Mode) {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	n.mode = m
}

// Mode is how the node behaves now.
func (n *Node) Mode() Mode {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	return n.mode
}

// SendCopies has a share of the node's replies come once more, up to a time later.
func (n *Node) SendCopies(share float64, late time.Duration) {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	n.copies = copies{share, late}
}

// drawCopy gives what comes once more of a reply, and when; empty = nothing.
func (n *Node) drawCopy(reply []byte) (again []byte, after time.Duration) {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	rng := n.c.rng
	if n.copies.share == 0 || rng.Float64() >= n.copies.share {
		return nil, 0
	}
	return slices.Clone(reply), time.Duration(rng.Float64() * float64(n.copies.late))
}

// Touched is when a command on keys came last, run or not, as Unix time in ms.
func (n *Node) Touched() float64 {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	return n.touched
}

// Empty drains a primary: all its slots and keys go to others at once, in one epoch that all hear of. It stays, and sends
// on whoever still comes. It gives the time.
func (c *Cluster) Empty(n *Node, to ...*Node) (at float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tell(func(view *[slots.Count]*Node) {
		for s, o := range view {
			if o == n {
				view[s] = to[s%len(to)]
			}
		}
	}, nil)
	view := c.newest().view
	for k, v := range n.data {
		view[slots.ForKey([]byte(k))].data[k] = v
		delete(n.data, k)
	}
	clear(n.migrating)
	return c.now()
}

// Runs is how many commands the node has run.
func (n *Node) Runs() int {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	return n.runs
}

// IsPrimary says whether a node owns slots, in the newest view, or might.
func (c *Cluster) IsPrimary(n *Node) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return n.primary == nil && slices.Contains(c.newest().view[:], n)
}

// Epoch is the newest one.
func (c *Cluster) Epoch() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.epoch
}

// Late has answers come so much later than the command has run.
func (n *Node) Late(d time.Duration) {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	n.late = d
}

// Order has the next commands on keys answered with these errors, which they then have not run.
func (n *Node) Order(errors ...string) {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	n.orders = append(n.orders, errors...)
}

// session is what a connection has set.
type session struct{ asking, readonly bool }

// serve answers the commands of a connection, in order.
func (n *Node) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		n.c.mu.Lock()
		delete(n.conns, conn)
		n.c.mu.Unlock()
	}()
	r, cmd, s := resp.NewReader(bufio.NewReaderSize(conn, resp.MaxLine)), new(resp.Command), new(session)
	for {
		if err := r.ReadCommand(cmd); err != nil {
			return
		}
		if len(cmd.Args) == 0 {
			continue
		}
		var args []string
		for _, a := range cmd.Args {
			args = append(args, string(a))
		}
		text, mode, wait := n.run(s, args)
		if wait > 0 {
			time.Sleep(wait)
		}
		switch mode {
		case Hangs, Silent:
			for _, err := conn.Read(make([]byte, 512)); err == nil; {
				_, err = conn.Read(make([]byte, 512))
			}
			return
		case Drops, Dead:
			return
		case Cuts:
			conn.Write(text[:len(text)/2]) //nolint:errcheck // the end is what counts
			return
		}
		again, after := n.drawCopy(text)
		if _, err := conn.Write(text); err != nil {
			return
		}
		if len(again) > 0 {
			n.wg.Go(func() {
				time.Sleep(after)
				conn.Write(again) //nolint:errcheck // the router may have closed
			})
		}
	}
}

// run runs a command, and says how its answer is to go out and when.
func (n *Node) run(s *session, args []string) (text []byte, m Mode, wait time.Duration) {
	c := n.c
	c.mu.Lock()
	defer c.mu.Unlock()
	name := strings.ToUpper(args[0])
	switch name {
	case "PING":
		return resp.AppendSimple(nil, "PONG"), Serves, 0
	case "ECHO":
		if len(args) != 2 {
			return resp.AppendError(nil, "ERR wrong number of arguments for 'echo' command"), Serves, 0
		}
		return resp.AppendBulk(nil, []byte(args[1])), Serves, 0
	case "ASKING":
		s.asking = true
		return resp.AppendSimple(nil, "OK"), Serves, 0
	case "READONLY", "AUTH":
		s.readonly = s.readonly || name == "READONLY"
		return resp.AppendSimple(nil, "OK"), Serves, 0
	case "CLUSTER":
		return n.cluster(args), Serves, 0
	case "HELLO": // real clients begin with it, and make a connection anew where it fails
		b := resp.AppendArrayHeader(nil, 4)
		b = resp.AppendBulk(resp.AppendBulk(b, []byte("server")), []byte("redis"))
		return resp.AppendInt(resp.AppendBulk(b, []byte("proto")), 2), Serves, 0
	case "CLIENT":
		return resp.AppendSimple(nil, "OK"), Serves, 0
	case "COMMAND":
		return resp.AppendArrayHeader(nil, 0), Serves, 0
	}
	n.touched = c.now()
	if n.mode == Hangs || n.mode == Drops || n.mode == Dead {
		return nil, n.mode, 0
	}
	asking := s.asking
	s.asking = false
	if len(n.orders) > 0 {
		err := n.orders[0]
		n.orders = n.orders[1:]
		return resp.AppendError(nil, err), Serves, 0
	}
	keys := keysOf(name, args)
	if err := n.refuses(s, name, keys, asking); err != "" {
		return resp.AppendError(nil, err), Serves, 0
	}
	text = n.execute(name, args)
	n.runs++
	c.record.add(Ran{Node: n.addr, Args: args, At: c.now()})
	if c.work > 0 {
		wait = time.Duration(c.work * (0.5 + 0.5*c.rng.ExpFloat64()) * float64(time.Millisecond))
	}
	return text, n.mode, wait + n.late
}

// keysOf are the keys of a command.
func keysOf(name string, args []string) []string {
	switch {
	case len(args) < 2:
		return nil
	case name == "MSET":
		var keys []string
		for i := 1; i < len(args); i += 2 {
			keys = append(keys, args[i])
		}
		return keys
	case name == "MGET" || name == "DEL" || name == "EXISTS":
		return args[1:]
	}
	return args[1:2]
}

// reads says whether a replica may run a command.
func reads(name string) bool {
	return slices.Contains([]string{"GET", "MGET", "EXISTS", "STRLEN", "TTL", "PTTL"}, name)
}

// refuses is the error of a command that this node does not run, "" for one that it does.
func (n *Node) refuses(s *session, name string, keys []string, asking bool) string {
	if len(keys) == 0 {
		return ""
	}
	slot := slots.ForKey([]byte(keys[0]))
	for _, k := range keys[1:] {
		if slots.ForKey([]byte(k)) != slot {
			return "CROSSSLOT Keys in request don't hash to the same slot"
		}
	}
	owner := n.view[slot]
	missing := 0
	for _, k := range keys {
		if _, ok := n.data[k]; !ok {
			missing++
		}
	}
	switch {
	case owner == nil:
		return "CLUSTERDOWN Hash slot not served"
	case owner == n && n.migrating[slot] != nil && missing > 0:
		if missing < len(keys) {
			return "TRYAGAIN Multiple keys request during rehashing of slot"
		}
		return fmt.Sprintf("ASK %d %s", slot, n.migrating[slot].addr)
	case owner == n:
		return ""
	case asking && n.importing[slot] != nil:
		if missing > 0 && missing < len(keys) {
			return "TRYAGAIN Multiple keys request during rehashing of slot"
		}
		return ""
	case n.primary == owner && s.readonly && reads(name):
		return ""
	}
	return fmt.Sprintf("MOVED %d %s", slot, owner.addr)
}

// store is where a node's keys are: a replica shows its primary's.
func (n *Node) store() map[string]string {
	if n.primary != nil {
		return n.primary.data
	}
	return n.data
}

// execute runs a command that may run.
func (n *Node) execute(name string, args []string) []byte {
	d := n.store()
	arg := func(i int) string {
		if i < len(args) {
			return args[i]
		}
		return ""
	}
	key := arg(1)
	v, has := d[key]
	value := func(v string, has bool) []byte {
		if !has {
			return resp.AppendNull(nil, 2)
		}
		return resp.AppendBulk(nil, []byte(v))
	}
	switch name {
	case "GET":
		return value(v, has)
	case "SET":
		d[key] = arg(2)
		return resp.AppendSimple(nil, "OK")
	case "SETNX":
		if has {
			return resp.AppendInt(nil, 0)
		}
		d[key] = arg(2)
		return resp.AppendInt(nil, 1)
	case "GETDEL":
		delete(d, key)
		return value(v, has)
	case "GETSET":
		d[key] = arg(2)
		return value(v, has)
	case "INCR", "INCRBY", "DECR":
		return incr(d, name, key, arg(2))
	case "APPEND":
		d[key] = v + arg(2)
		return resp.AppendInt(nil, int64(len(d[key])))
	case "STRLEN":
		return resp.AppendInt(nil, int64(len(v)))
	case "DEL", "EXISTS":
		n := int64(0)
		for _, k := range args[1:] {
			if _, has := d[k]; has {
				n++
			}
			if name == "DEL" {
				delete(d, k)
			}
		}
		return resp.AppendInt(nil, n)
	case "MGET":
		out := resp.AppendArrayHeader(nil, len(args)-1)
		for _, k := range args[1:] {
			v, has := d[k]
			out = append(out, value(v, has)...)
		}
		return out
	case "MSET":
		for i := 1; i+1 < len(args); i += 2 {
			d[args[i]] = args[i+1]
		}
		return resp.AppendSimple(nil, "OK")
	case "TTL", "PTTL":
		if has {
			return resp.AppendInt(nil, -1)
		}
		return resp.AppendInt(nil, -2)
	}
	return resp.AppendError(nil, "ERR unknown command '"+args[0]+"'")
}

func incr(d map[string]string, name, key, by string) []byte {
	now := d[key]
	if now == "" {
		now = "0"
	}
	n, err := strconv.ParseInt(now, 10, 64)
	if err != nil {
		return resp.AppendError(nil, "ERR value is not an integer or out of range")
	}
	step := int64(1)
	if name == "INCRBY" {
		if step, err = strconv.ParseInt(by, 10, 64); err != nil {
			return resp.AppendError(nil, "ERR value is not an integer or out of range")
		}
	} else if name == "DECR" {
		step = -1
	}
	d[key] = strconv.FormatInt(n+step, 10)
	return resp.AppendInt(nil, n+step)
}

// cluster answers CLUSTER SLOTS and INFO by the node's own view.
func (n *Node) cluster(args []string) []byte {
	if len(args) > 1 && strings.EqualFold(args[1], "INFO") {
		return resp.AppendBulk(nil, fmt.Appendf(nil, "cluster_state:ok\r\ncluster_current_epoch:%d\r\n", n.epoch))
	}
	type run struct {
		from, to int
		owner    *Node
	}
	var runs []run
	for s, o := range n.view {
		if k := len(runs); k > 0 && runs[k-1].owner == o && runs[k-1].to == s-1 {
			runs[k-1].to = s
		} else if o != nil {
			runs = append(runs, run{s, s, o})
		}
	}
	out := resp.AppendArrayHeader(nil, len(runs))
	for _, r := range runs {
		nodes := []*Node{r.owner}
		for _, m := range n.c.nodes {
			if m.primary == r.owner && m.ln != nil {
				nodes = append(nodes, m)
			}
		}
		out = resp.AppendInt(resp.AppendInt(resp.AppendArrayHeader(out, 2+len(nodes)), int64(r.from)), int64(r.to))
		for _, m := range nodes {
			host, port, _ := net.SplitHostPort(m.addr)
			p, _ := strconv.ParseInt(port, 10, 64)
			out = resp.AppendBulk(resp.AppendInt(resp.AppendBulk(resp.AppendArrayHeader(out, 3), []byte(host)), p), []byte(m.ID))
		}
	}
	return out
}

// Ran is one command that a node has run.
type Ran struct {
	Node string
	Args []string
	At   float64 // Unix time in ms
}

// CommandRecord holds the first commands that ran, a stated number of them, and counts all.
type CommandRecord struct {
	mu   sync.Mutex
	keep int
	ran  []Ran
	n    int
}

func (r *CommandRecord) add(x Ran) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.n++; len(r.ran) < r.keep {
		r.ran = append(r.ran, x)
	}
}

// All are the commands held. whole is false where there were more.
func (r *CommandRecord) All() (ran []Ran, whole bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.ran), r.n == len(r.ran)
}

// Times is how often a command with these first words has run.
func (r *CommandRecord) Times(words ...string) (n int) {
	ran, _ := r.All()
	for _, x := range ran {
		if len(x.Args) >= len(words) && slices.Equal(x.Args[:len(words)], words) {
			n++
		}
	}
	return n
}
