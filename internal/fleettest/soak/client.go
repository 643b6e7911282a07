package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// clientGroup is the clients of one router: connections that are used again, and more where all are busy.
type clientGroup struct {
	ledger  *Ledger
	router  int
	classes []Class
	ids     *atomic.Int64
	keys    int

	mu        sync.Mutex
	rng       *rand.Rand
	process   *process     // where new connections go,
	divert    *clientGroup // unless they go where those of another group do; nil = they don't
	idle      []*clientConn
	all       map[*clientConn]struct{}
	readDelay time.Duration // ahead of each read of a new connection; 0 = clients read at once
	crowd     bool          // idle connections fill the descriptors of the router: new ones may be shut unread
	wg        sync.WaitGroup
}

// clientConn is one connection of a client.
type clientConn struct {
	net.Conn
	group   *clientGroup
	process *process
	opened  time.Time
	crowd   bool
	delay   time.Duration // ahead of each read

	mu      sync.Mutex
	pending []*Request // sent, in order
	used    bool
	closed  bool

	lastAnswer time.Time // zero = none has come
}

// answerTime is how long after its deadline a client still reads an answer.
const answerTime = 2 * time.Second

// connMost bounds the open connections of a group.
const connMost = 200

// use has new connections go to another process.
func (g *clientGroup) use(p *process) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.process = p
}

// current is the process that new connections of the group go to while they are not diverted.
func (g *clientGroup) current() *process {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.process
}

func (g *clientGroup) setCrowd(yes bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.crowd = yes
}

// request draws a request.
func (g *clientGroup) request() *Request {
	g.mu.Lock()
	defer g.mu.Unlock()
	class := g.classes[0]
	if len(g.classes) > 1 && g.rng.IntN(4) == 0 {
		class = g.classes[1+g.rng.IntN(len(g.classes)-1)]
	}
	wait := time.Duration((0.5 + 0.5*g.rng.Float64()) * float64(class.Deadline)).Truncate(time.Millisecond)
	return &Request{ID: fmt.Sprintf("%08x", g.ids.Add(1)), Key: fmt.Sprintf("%016x", g.rng.IntN(g.keys)), Class: class, Router: g.router, Wait: wait}
}

// text is a request in the meta protocol.
func (r *Request) text() string {
	facts := fmt.Sprintf("c=%s,t=t,d=%d", r.Class.Name, r.Wait.Milliseconds())
	if r.Class.Effect == Repeatable || r.Class.Read {
		return fmt.Sprintf("mg %s v O%s P%s\r\n", r.Key, r.ID, facts)
	}
	value := paddedValue("value", r.Length)
	return fmt.Sprintf("ms %s %d O%s P%s,k=%s\r\n%s\r\n", r.Key, len(value), r.ID, facts, r.ID, value)
}

// conn gives an idle connection, or opens one.
func (g *clientGroup) conn(fresh bool) (*clientConn, error) {
	g.mu.Lock()
	if n := len(g.idle); n > 0 && !fresh {
		c := g.idle[n-1]
		g.idle = g.idle[:n-1]
		g.mu.Unlock()
		return c, nil
	}
	p, divert, crowd, delay, most := g.process, g.divert, g.crowd, g.readDelay, len(g.all) >= connMost
	g.mu.Unlock()
	if divert != nil {
		p = divert.current()
	}
	if p == nil || most {
		return nil, errors.New("no router, or too many connections")
	}
	nc, err := net.DialTimeout("tcp", p.addr, time.Second)
	if err != nil {
		return nil, fmt.Errorf("client: %w", err)
	}
	c := &clientConn{Conn: nc, group: g, process: p, opened: time.Now(), crowd: crowd, delay: delay}
	g.mu.Lock()
	g.all[c] = struct{}{}
	g.mu.Unlock()
	g.wg.Go(c.read)
	return c, nil
}

// send sends requests together on one connection. Where none can be had they are not sent at all.
func (g *clientGroup) send(fresh bool, requests ...*Request) *clientConn {
	c, err := g.conn(fresh)
	if err != nil {
		return nil
	}
	for _, r := range requests {
		g.ledger.addRequest(r)
	}
	c.write(requests...)
	return c
}

// write writes requests. An error shows to the reader too.
func (c *clientConn) write(requests ...*Request) {
	var text strings.Builder
	c.mu.Lock()
	for i, r := range requests {
		text.WriteString(r.text())
		fresh := !c.used && i == 0
		c.group.ledger.update(func() { r.NewConn, r.Sent = fresh, time.Now() })
	}
	c.used = true
	closed := c.closed
	if !closed {
		c.pending = append(c.pending, requests...)
	}
	c.mu.Unlock()
	if closed { // nothing was written: no router has taken the requests
		c.group.sendElsewhere(requests)
		return
	}
	io.WriteString(c.Conn, text.String()) //nolint:errcheck // the reader sees it
	now := time.Now()
	c.group.ledger.update(func() {
		for _, r := range requests {
			r.Sent = now
		}
	})
}

// leave closes the connection as a client that gives up.
func (c *clientConn) leave() {
	c.mu.Lock()
	c.closed = true
	pending := c.pending
	c.pending = nil
	c.mu.Unlock()
	c.Conn.Close()
	now := time.Now()
	c.group.ledger.update(func() {
		for _, r := range pending {
			r.Left = now
		}
	})
}

// isClosed says whether nothing more can be sent.
func (c *clientConn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// read reads answers until the connection ends.
func (c *clientConn) read() {
	defer c.forget()
	in := bufio.NewReaderSize(lateReader{c.Conn, c.delay}, 8192)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			c.Close()
			c.lost(fmt.Sprintf("%v after %v", err, time.Since(c.opened).Round(time.Millisecond)))
			return
		}
		r := c.next()
		if r == nil {
			continue
		}
		if err := c.answered(in, r, strings.Fields(line)); err != nil {
			c.Close()
			c.lost(err.Error())
			return
		}
		c.rest()
	}
}

// lateReader waits ahead of each read.
type lateReader struct {
	net.Conn
	delay time.Duration
}

// Read reads what has come after the delay.
func (r lateReader) Read(b []byte) (int, error) {
	time.Sleep(r.delay)
	return r.Conn.Read(b) //nolint:wrapcheck // callers check the type of the error
}

// next is the request that the next answer is for, which stays first until it is whole.
func (c *clientConn) next() *Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) == 0 {
		return nil
	}
	return c.pending[0]
}

// answered reads the rest of an answer and records it.
func (c *clientConn) answered(in *bufio.Reader, r *Request, fields []string) error {
	outcome, foreign := Failed, ""
	switch {
	case len(fields) >= 3 && fields[0] == "VA":
		n, err := strconv.Atoi(fields[1])
		if err != nil {
			return fmt.Errorf("client: %w", err)
		}
		value := make([]byte, n+2)
		if _, err := io.ReadFull(in, value); err != nil {
			return fmt.Errorf("client: value: %w", err)
		}
		if outcome = Served; fields[2] != "O"+r.ID || !strings.HasPrefix(string(value), r.Key+"/"+r.ID+"/") {
			foreign = fmt.Sprintf("%v %.60q", fields, value)
		}
	case len(fields) >= 2 && fields[0] == "HD":
		if outcome = Served; fields[1] != "O"+r.ID {
			foreign = strings.Join(fields, " ")
		}
	case len(fields) >= 2 && fields[0] == "SERVER_ERROR" && fields[1] == "busy":
		outcome = Refused
	}
	c.mu.Lock()
	if len(c.pending) > 0 {
		c.pending = c.pending[1:]
	}
	behind := c.lastAnswer
	c.lastAnswer = time.Now()
	c.mu.Unlock()
	c.group.ledger.update(func() {
		r.Behind = behind
		r.Answers++
		r.Outcome, r.Answered = outcome, time.Now()
		if foreign != "" {
			r.Foreign = foreign
		}
	})
	return nil
}

// rest keeps the connection for the next request once nothing waits on it.
func (c *clientConn) rest() {
	c.mu.Lock()
	idle := len(c.pending) == 0 && !c.closed
	c.mu.Unlock()
	if !idle {
		return
	}
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	c.group.idle = append(c.group.idle, c)
}

// forget takes the connection out of the group.
func (c *clientConn) forget() {
	g := c.group
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.all, c)
	for i, o := range g.idle {
		if o == c {
			g.idle = append(g.idle[:i], g.idle[i+1:]...)
			return
		}
	}
}

// newConnectionsFor is how long new connections go on coming after SIGTERM.
const newConnectionsFor = 400 * time.Millisecond

// lost records what was sent on a connection that has ended without an answer. What the router can't have read is sent once more.
func (c *clientConn) lost(why string) {
	c.mu.Lock()
	c.closed = true
	pending := c.pending
	c.pending = nil
	c.mu.Unlock()
	since, ending := c.process.terminating()
	crashed := c.process.wasCrashed()
	for _, r := range pending {
		seen := c.group.ledger.attempts(r) > 0
		late := ending && c.opened.Sub(since) > newConnectionsFor
		again := !crashed && !seen && r.Resends == 0 && (!r.NewConn || late || c.crowd)
		c.group.ledger.update(func() {
			r.Closed, r.Excused = why, r.Excused || crashed
			if again {
				r.Waited = time.Since(r.Sent)
				r.Resends++
			}
		})
		if again {
			c.group.wg.Go(func() { c.group.resend(r) })
		}
	}
}

// maxUnwritten bounds the connections that may have been closed ahead of a request.
const maxUnwritten = 10

// sendElsewhere sends requests on other connections that were not written, as theirs was closed.
func (g *clientGroup) sendElsewhere(requests []*Request) {
	for _, r := range requests {
		var unwritten int
		g.ledger.update(func() {
			r.Unwritten++
			unwritten = r.Unwritten
			r.Excused = r.Excused || unwritten > maxUnwritten // it was never sent
		})
		if unwritten <= maxUnwritten {
			g.wg.Go(func() { g.resend(r) })
		}
	}
}

// resend sends a request on a new connection: once more, or for the first time.
func (g *clientGroup) resend(r *Request) {
	end := time.Now().Add(3 * time.Second)
	for time.Now().Before(end) {
		c, err := g.conn(true)
		if err == nil {
			c.write(r)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	g.ledger.update(func() { r.Excused = true }) // no router took connections: it was never sent again
}

// busy gives a connection on which requests are open, nil where there is none.
func (g *clientGroup) busy() *clientConn {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.all {
		c.mu.Lock()
		open := len(c.pending) > 0 && !c.closed
		c.mu.Unlock()
		if open {
			return c
		}
	}
	return nil
}

// run sends requests at a rate until ctx ends. Some clients leave early, some send many requests at once or behind open ones.
func (g *clientGroup) run(ctx context.Context, p Plan) {
	for {
		g.mu.Lock()
		pause := time.Duration(g.rng.ExpFloat64() / p.PerSecond * float64(time.Second))
		leave, burst := g.rng.Float64() < p.Leaves, g.rng.Float64() < p.Bursts
		behind := g.rng.Float64() < p.Pipelined
		after := g.rng.Float64()
		size := 4 + g.rng.IntN(30)
		g.mu.Unlock()
		if !waited(ctx, pause) {
			return
		}
		requests := []*Request{g.request()}
		for burst && len(requests) < size {
			requests = append(requests, g.request())
		}
		if c := g.busy(); behind && c != nil {
			g.ledger.addRequest(requests[0])
			c.write(requests[0])
			continue
		}
		c := g.send(leave || burst, requests...)
		if c != nil && leave {
			g.wg.Go(func() {
				time.Sleep(time.Duration(after * float64(requests[0].Wait)))
				c.leave()
			})
		}
	}
}

// end closes what is open, once answers have had their time.
func (g *clientGroup) end() {
	g.mu.Lock()
	var open []*clientConn
	for c := range g.all {
		open = append(open, c)
	}
	g.mu.Unlock()
	for _, c := range open {
		c.Close()
	}
	g.wg.Wait()
}
