package fleettest

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mossproxy.example/mossproxy/internal/standin"
)

// LoadOptions say what is played by Load.
type LoadOptions struct {
	Options
	View        bool // the processes keep a view; else each is told how many there are
	Rate        float64
	Phase       time.Duration
	KillRouters bool // a further phase in which two thirds of the routers are killed

	Orders   []Order       // instead: these phases, of classes of three worths; nil = none
	Overload float64       // instead: so many times what the servers can do, for Phase, and then 0.8 of it again; classes of three worths; 0 = not
	During   string        // what else happens, a second into the overload: see troubles
	Fill     time.Duration // ahead of it, for the caches to fill; 0 = 12 s
	Keys     int           // that are asked for; 0 = 4000
	Tries    int           // of a client, at once one after the other, at another router each; 0 = 3
	Slower   float64       // times that the servers and the origin are; 0 = 1
}

// Phase is how a part of a load went.
type Phase struct {
	Name                                string
	Sent, Timely, Unserved, Tries, Away int64
	Attempts, Fetches                   int64 // at the caches, at the origin
	Hits                                int64 // of attempts
	AtOrigin                            int   // most fetches at once so far
	Pushed                              int
	Worth, Best                         float64 // that was served in time, and that of all that was asked for
	Classes                             []Class // as the load has them
}

// Class is how requests of one class went.
type Class struct {
	Name         string
	Sent, Timely int64
}

func (p Phase) String() string {
	n, classes := float64(max(1, p.Sent)), ""
	if len(p.Classes) > 1 {
		classes = fmt.Sprintf(", worth %.3f", p.Worth/max(p.Best, 1e-9))
		for _, c := range p.Classes {
			classes += fmt.Sprintf(", %s %.3f", c.Name, float64(c.Timely)/float64(max(1, c.Sent)))
		}
	}
	return fmt.Sprintf("%s %.3f in time, %.3f unserved, %.2f tries, %.2f attempts (%.2f hits), %.3f fetches (%d at once), %d away, %d pushed over%s;", p.Name, float64(p.Timely)/n,
		float64(p.Unserved)/n, float64(p.Tries)/n, float64(p.Attempts)/n, float64(p.Hits)/n, float64(p.Fetches)/n, p.AtOrigin, p.Away, p.Pushed, classes)
}

// What the load is made of.
const (
	loadServers  = 12
	loadKeys     = 4000
	loadAim      = 150 * time.Millisecond
	loadDeadline = 500 * time.Millisecond
	loadTries    = 3
	loadWork     = 10 // ms of a request at a server
	loadConns    = 8  // idle connections kept to each router
	loadOpen     = 2000
	coldAfter    = 1500 * time.Millisecond
)

// Load plays a load on as many processes in front of the same servers: caches fill, calm, a third of the servers is killed and back cold.
// Or it overloads them; see LoadOptions.
func Load(ctx context.Context, o LoadOptions) ([]Phase, error) {
	kinds := o.defaults()
	servers, err := standin.StartFleet(standin.FleetConfig{Servers: loadServers, Sites: []string{"rades", "sfax"}, Seed: o.Seed, Keep: 1,
		Cache:  standin.Capacity{Workers: 1, Work: loadWork * o.Slower, Queue: 32, Cold: 8000, ColdFrom: 0.3, FallMult: 3, FallFor: 2000},
		Origin: standin.OriginConfig{Capacity: standin.Capacity{Workers: 4, Work: 2 * loadWork * o.Slower, Queue: 100}}})
	if err != nil {
		return nil, err
	}
	defer servers.Close()
	var text strings.Builder
	text.WriteString("servers = [\n")
	for _, e := range servers.Entries() {
		fmt.Fprintf(&text, "  {id = %q, addr = %q, site = %q, kind = %q},\n", e.ID, e.Addr, e.Zone, e.Kind)
	}
	fmt.Fprintf(&text, "]\nend = %d\n", loadServers+1)
	o.Servers = text.String()
	change := o.Config
	o.Config = func(i int, c *Config) {
		c.Fleet, c.Extra = o.View, configOf(kinds)
		if change != nil {
			change(i, c)
		}
	}
	r, err := New(o.Options)
	if err != nil {
		return nil, err
	}
	defer r.Close()
	if err := r.Start(r.All()...); err != nil {
		return nil, err
	}
	if o.View {
		if _, err := r.Until(30*time.Second, func() error { return r.Agree(r.All()...) }); err != nil {
			return nil, err
		}
	}
	l := &load{rig: r, rng: rand.New(rand.NewPCG(o.Seed, 21)), tries: o.Tries, kinds: kinds, servers: servers, idle: make([]chan net.Conn, len(r.Nodes)), open: make(chan struct{}, loadOpen)}
	l.zipf = rand.NewZipf(l.rng, 1.05, 1, uint64(o.Keys-1))
	for i := range l.idle {
		l.idle[i] = make(chan net.Conn, loadConns)
		defer l.drain(l.idle[i])
	}
	var out []Phase
	for _, ph := range o.orders() {
		over, err := l.trouble(ctx, ph.Trouble)
		if err != nil {
			return out, err
		}
		p, err := l.phase(ctx, ph)
		if err = errors.Join(err, over()); err != nil {
			return out, err
		}
		out = append(out, p)
		r.sayParts(ph.Name)
		l.sayServers(ph)
	}
	return out, nil
}

// sayParts tells what parts the processes have, and how many changes of members they saw.
func (r *Rig) sayParts(when string) {
	if r.o.Log == nil {
		return
	}
	parts, changes, doubt := map[string]int{}, uint64(0), 0
	for _, a := range r.Views(r.All()...) {
		parts[fmt.Sprintf("1 of %v for %d s, then %v, settled %.0f s", a.View.ResourceShare.Divisor, a.View.ResourceShare.RemainingMS/1000, a.View.ResourceShare.NextDivisor, a.View.SettledS)]++
		changes, doubt = changes+a.View.Gossip.Changes, doubt+a.View.FailureSuspicion
	}
	r.say("%s: parts %v, %d changes of members in all, doubt %d", when, parts, changes, doubt)
}

// load sends requests at a rate that does not wait for answers.
type load struct {
	rig     *Rig
	rng     *rand.Rand
	zipf    *rand.Zipf
	tries   int
	kinds   []kind
	servers *standin.Fleet
	idle    []chan net.Conn // to each router
	open    chan struct{}
	ids     atomic.Int64
	ran     [loadServers]int64 // at each server, by the end of the last phase
}

func (l *load) drain(idle chan net.Conn) {
	for {
		select {
		case c := <-idle:
			c.Close()
		default:
			return
		}
	}
}

// counted is what the servers have counted so far.
func (l *load) counted() (p Phase) {
	for _, c := range l.servers.Caches() {
		s := c.State()
		p.Attempts, p.Hits, p.Away = p.Attempts+s.Runs, p.Hits+s.Hits, p.Away+s.Away
		if s.Fallen {
			p.Pushed++
		}
	}
	o := l.servers.Origin.State()
	p.Fetches, p.AtOrigin = o.Asked, o.Most
	return p
}

// sayServers tells what each server was sent a second in a phase.
func (l *load) sayServers(o Order) {
	var each []int64
	for i, c := range l.servers.Caches() {
		n := c.State().Runs
		each = append(each, int64(float64(n-l.ran[i])/o.For.Seconds()))
		l.ran[i] = n
	}
	l.rig.say("%s: runs a second at each server %v", o.Name, each)
	for i, a := range l.rig.Views(0, len(l.rig.Nodes)-1) {
		l.rig.say("%s: router %d has lines %+v", o.Name, i, a.View.Admissions)
	}
}

// drawn is the class of the next request.
func (l *load) drawn() int {
	u := l.rng.Float64()
	for i, k := range l.kinds {
		if u -= k.share; u < 0 {
			return i
		}
	}
	return 0
}

func (l *load) phase(ctx context.Context, o Order) (Phase, error) {
	p := Phase{Name: o.Name, Classes: make([]Class, len(l.kinds))}
	was := l.counted()
	var unserved, tries atomic.Int64
	timely := make([]atomic.Int64, len(l.kinds))
	var wg sync.WaitGroup
	due := time.Now()
	for end := due.Add(o.For); due.Before(end); {
		due = due.Add(time.Duration(l.rng.ExpFloat64() / o.Rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			return p, ctx.Err()
		case <-time.After(time.Until(due)):
		}
		c := l.drawn()
		p.Sent++
		p.Classes[c].Sent++
		at := due
		key, live := fmt.Sprintf("%016x", 0x9e3779b97f4a7c15*(l.zipf.Uint64()+1)), l.rig.living()
		next := make([]int, l.tries)
		for k := range next {
			next[k] = live[l.rng.IntN(len(live))]
		}
		select {
		case l.open <- struct{}{}:
			wg.Go(func() {
				defer func() { <-l.open }()
				n, ok := l.request(l.kinds[c].name, key, next, at)
				tries.Add(int64(n))
				if !ok {
					unserved.Add(1)
				} else if time.Since(at) <= loadAim {
					timely[c].Add(1)
				}
			})
		default:
			unserved.Add(1)
		}
	}
	wg.Wait()
	for i, k := range l.kinds {
		p.Classes[i].Name, p.Classes[i].Timely = k.name, timely[i].Load()
		p.Timely += p.Classes[i].Timely
		p.Worth += k.worth * float64(p.Classes[i].Timely)
		p.Best += k.worth * float64(p.Classes[i].Sent)
	}
	p.Unserved, p.Tries = unserved.Load(), tries.Load()
	now := l.counted()
	p.Attempts, p.Hits, p.Away, p.Fetches = now.Attempts-was.Attempts, now.Hits-was.Hits, now.Away-was.Away, now.Fetches-was.Fetches
	p.AtOrigin, p.Pushed = now.AtOrigin, now.Pushed
	return p, nil
}

// request asks one router after the other until one serves, or its time is over.
func (l *load) request(class, key string, routers []int, due time.Time) (tries int, served bool) {
	id := fmt.Sprintf("f%x", l.ids.Add(1))
	for k, i := range routers {
		left := time.Until(due.Add(loadDeadline))
		if left < 10*time.Millisecond {
			break
		}
		tries++
		again := ""
		if k > 0 {
			again = ",r=1"
		}
		line := fmt.Sprintf("mg %s v O%s Pc=%s,t=t,d=%d%s\r\n", key, id, class, left.Milliseconds(), again)
		if l.ask(i, line, due.Add(loadDeadline+100*time.Millisecond)) {
			return tries, true
		}
	}
	return tries, false
}

// ask sends one line to a router. A connection that was closed meanwhile is opened anew, once.
func (l *load) ask(i int, line string, until time.Time) (served bool) {
	for fresh := false; ; fresh = true {
		var c net.Conn
		if !fresh {
			select {
			case c = <-l.idle[i]:
			default:
			}
		}
		if c == nil {
			var err error
			if c, err = net.DialTimeout("tcp", l.rig.Nodes[i].Addr(), time.Until(until)); err != nil {
				return false
			}
			fresh = true
		}
		c.SetDeadline(until) //nolint:errcheck // reads tell
		_, err := io.WriteString(c, line)
		in := bufio.NewReaderSize(c, 256)
		var got string
		if err == nil {
			got, err = in.ReadString('\n')
		}
		if err == nil && strings.HasPrefix(got, "VA ") {
			var n int
			if _, err = fmt.Sscanf(got, "VA %d", &n); err == nil {
				_, err = io.ReadFull(in, make([]byte, n+2))
			}
		}
		if err != nil {
			if c.Close(); fresh {
				return false
			}
			continue
		}
		select {
		case l.idle[i] <- c:
		default:
			c.Close()
		}
		return strings.HasPrefix(got, "VA ") || strings.HasPrefix(got, "EN")
	}
}
