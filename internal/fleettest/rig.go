package fleettest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mossproxy.example/mossproxy/internal/operator"
)

// Options say what a rig starts.
type Options struct {
	Program string // see Build
	Dir     string // for files; the caller's
	Routers int    // that have a number: 1 to 1000
	Seed    uint64
	Servers string                           // the text of the server file; "" = one that lists a server which is not there
	Config  func(i int, c *Config)           // changes what a process is told; nil = as it is
	Log     func(format string, args ...any) // tells of orders; nil = nobody
}

// Config is what a process is told.
type Config struct {
	Name, Site string
	Join       []string
	Expected   int
	Fleet      bool   // takes part in a view; without it tier.routers and tier.me count
	Top, Extra string // further lines of the configuration, ahead of and behind its tables
	Pool       string // the pool's lines behind listen; "" = the server file alone
	Advertised bool   // the pool listens where the others reach the process, not at the process's own address
}

// Rig is a set of processes and what is between them.
type Rig struct {
	o     Options
	Nodes []*Node
	rng   *draws
	out   *net.UDPConn // what relays pass on goes out here

	mu    sync.Mutex
	links func(from, to int) Link

	passed, lost atomic.Int64 // datagrams
	ctx          context.Context
	end          context.CancelFunc
}

// Build builds the program into a folder.
func Build(ctx context.Context, dir string) (program string, err error) {
	root, err := exec.CommandContext(ctx, "go", "list", "-m", "-f", "{{.Dir}}").Output()
	if err != nil {
		return "", fmt.Errorf("where the module is: %w", err)
	}
	program = filepath.Join(dir, "cottonyoke")
	build := exec.CommandContext(ctx, "go", "build", "-o", program, "./cmd/cottonyoke")
	build.Dir = strings.TrimSpace(string(root))
	if text, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("building the program: %w: %s", err, text)
	}
	return program, nil
}

// New makes a rig; no process runs yet.
func New(o Options) (*Rig, error) {
	r := &Rig{o: o, rng: &draws{rng: rand.New(rand.NewPCG(o.Seed, 5))}}
	r.ctx, r.end = context.WithCancel(context.Background())
	var err error
	if r.out, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}); err != nil {
		return nil, err
	}
	if r.o.Servers == "" {
		r.o.Servers = "servers = [\n  {id = \"c-01\", addr = \"127.0.0.1:9\", site = \"rades\"},\n  {id = \"db\", addr = \"127.0.0.1:7\", site = \"rades\", kind = \"origin\"},\n]\nend = 2\n"
	}
	if err := os.WriteFile(filepath.Join(o.Dir, "servers.toml"), []byte(r.o.Servers), 0o600); err != nil {
		return nil, err
	}
	for i := range o.Routers {
		n := &Node{rig: r, i: i, relay: &relay{rig: r, to: i, conns: map[net.Conn]bool{}}}
		r.Nodes = append(r.Nodes, n)
		if err := n.relay.listen(); err != nil {
			r.Close()
			return nil, err
		}
		n.relay.close() // nobody is there yet; the address is taken from now on
	}
	return r, nil
}

// Close ends all processes that the rig has started, by their ids, and waits.
func (r *Rig) Close() {
	r.end()
	for _, n := range r.Nodes {
		n.Kill()
		n.relay.close()
	}
	r.out.Close()
}

// ip is the address of a process's own.
func (r *Rig) ip(i int) string { return fmt.Sprintf("127.7.%d.%d", 1+i/200, 1+i%200) }

// relayIP is the address of a process's relay: no other rig and nothing else takes ports there while the relay is closed. The rig's own port
// tells rigs apart.
func (r *Rig) relayIP(i int) net.IP {
	port := r.out.LocalAddr().(*net.UDPAddr).Port
	return net.IPv4(127, byte(64+(port>>8)%128), byte(port), byte(1+i%250))
}

// who is the process at an address, -1 for nobody's.
func (r *Rig) who(ip [4]byte) int {
	i := (int(ip[2])-1)*200 + int(ip[3]) - 1
	if ip[0] != 127 || ip[1] != 7 || i < 0 || i >= len(r.Nodes) {
		return -1
	}
	return i
}

// Links orders what is between the processes from now on.
func (r *Rig) Links(what string, links func(from, to int) Link) {
	r.say("links: %s", what)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.links = links
}

// Heal ends what was ordered for links.
func (r *Rig) Heal() { r.Links("healed", nil) }

// Split cuts the processes of each side off from those of the others.
func (r *Rig) Split(side func(i int) int) {
	var sides []int
	for i := range r.Nodes {
		sides = append(sides, side(i))
	}
	r.Links(fmt.Sprintf("split %v", sides), func(a, b int) Link { return Link{Cut: sides[a] != sides[b]} })
}

func (r *Rig) link(from, to int) (Link, *draws) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.links == nil || from < 0 {
		return Link{}, r.rng
	}
	return r.links(from, to), r.rng
}

// pause waits, until the rig closes at the latest.
func (r *Rig) pause(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.ctx.Done():
	}
}

func (r *Rig) say(format string, args ...any) {
	if r.o.Log != nil {
		r.o.Log(format, args...)
	}
}

// Start starts processes, all at once, and waits until each listens.
func (r *Rig) Start(nodes ...int) error {
	errs := make([]error, len(nodes))
	var wg sync.WaitGroup
	for k, i := range nodes {
		wg.Go(func() { errs[k] = r.Nodes[i].Start() })
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// All are the numbers of all nodes.
func (r *Rig) All() (out []int) {
	for i := range r.Nodes {
		out = append(out, i)
	}
	return out
}

// living are the nodes that run, so that what stands in front of them sends clients there; all where none does.
func (r *Rig) living() (out []int) {
	for i, n := range r.Nodes {
		if n.alive() {
			out = append(out, i)
		}
	}
	if len(out) == 0 {
		return r.All()
	}
	return out
}

// Views asks processes for their views, all at once.
func (r *Rig) Views(nodes ...int) []operator.ViewResult {
	var addrs []string
	for _, i := range nodes {
		addrs = append(addrs, r.Nodes[i].Operator())
	}
	return operator.QueryViews(r.ctx, addrs)
}

// Until looks again and again, for as long as that may take. The error is that of the last look.
func (r *Rig) Until(within time.Duration, look func() error) (took time.Duration, err error) {
	began := time.Now()
	for {
		if err = look(); err == nil {
			return time.Since(began), nil
		}
		if took = time.Since(began); took > within {
			return took, fmt.Errorf("not within %v: %w", within, err)
		}
		r.pause(10 * time.Millisecond)
	}
}

// Agree says what keeps the views of some processes from being equal and from having exactly them as alive; nil where they are.
func (r *Rig) Agree(nodes ...int) error {
	asked := r.Views(nodes...)
	if line, ok := operator.SummarizeAgreement(asked); !ok {
		return fmt.Errorf("%s", line)
	}
	alive := map[string]bool{}
	for _, i := range nodes {
		alive[r.Nodes[i].Name()] = true
	}
	n := 0
	for _, m := range asked[0].View.Members {
		if lives := m.State == "alive"; lives {
			n++
			if !alive[m.Name] {
				return fmt.Errorf("%s is called alive", m.Name)
			}
		} else if alive[m.Name] {
			return fmt.Errorf("%s is called %s", m.Name, m.State)
		}
	}
	if n != len(nodes) {
		return fmt.Errorf("%d are called alive, and %d are", n, len(nodes))
	}
	return nil
}

// Spent is what some processes together say that they may use of a whole of 1.
func (r *Rig) Spent(nodes ...int) (sum float64) {
	for _, a := range r.Views(nodes...) {
		if a.Err == nil && a.View.ResourceShare.Divisor > 0 {
			sum += 1 / a.View.ResourceShare.Divisor
		}
	}
	return sum
}
