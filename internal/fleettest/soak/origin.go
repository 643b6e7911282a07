package soak

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// origin is the origin behind HTTP/1.1, which records what it gets. All its writes have an effect.
type origin struct {
	ledger *Ledger
	addr   string

	mu      sync.Mutex
	rng     *rand.Rand
	mode    Mode
	repeats repeats // Twice
	pace    *pace   // of SlowBody and LateBody; nil = drawn for each answer
	form    string  // of their answers; empty = drawn
	// How long the bodies of requests take to be read; 0 = as they come.
	readTime time.Duration
	ln       *listener
	conns    map[*net.TCPConn]struct{}
	wg       sync.WaitGroup
}

// originID is the origin's name in records.
const originID = "origin"

// originRepeats is what comes once more in mode Twice: whole answers, also behind refusals.
var originRepeats = repeats{busy: 0.2, whole: 0.7, part: 0.1, delay: 200 * time.Millisecond, behindNext: 0.7}

func startOrigin(l *Ledger, seed uint64) (*origin, error) {
	ln, err := listenLoopback("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	o := &origin{ledger: l, addr: ln.addr, ln: ln, mode: Normal, repeats: originRepeats, rng: rand.New(rand.NewPCG(seed, 11)), conns: map[*net.TCPConn]struct{}{}}
	o.wg.Go(o.accept)
	return o, nil
}

func (o *origin) set(m Mode) {
	o.mu.Lock()
	o.mode = m
	o.mu.Unlock()
	o.ln.stall(m == Stall)
}

func (o *origin) close() {
	o.ln.shut()
	o.mu.Lock()
	for c := range o.conns {
		reset(c)
	}
	o.conns = nil
	o.mu.Unlock()
	o.wg.Wait()
}

func (o *origin) accept() {
	for {
		c, err := o.ln.accept()
		if err != nil {
			return
		}
		o.mu.Lock()
		if o.readTime > 0 {
			c.SetReadBuffer(slowReadBuffer) //nolint:errcheck // it reads faster without
		}
		if o.conns == nil {
			reset(c)
		} else {
			o.conns[c] = struct{}{}
		}
		o.mu.Unlock()
		o.wg.Go(func() { o.serve(c) })
	}
}

func (o *origin) draw() (m Mode, work time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	work = time.Duration(15+o.rng.IntN(60)) * time.Millisecond
	if o.mode == Slow {
		work += time.Duration(200+o.rng.IntN(900)) * time.Millisecond
	}
	return o.mode, work
}

// drawRepeat draws how an answer comes once more.
func (o *origin) drawRepeat() repeated {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.repeats.draw(o.rng)
}

// originRequest is a request that has come whole.
type originRequest struct {
	*http.Request
	first   time.Time // when its first byte was there
	attempt *Attempt  // nil = a probe
}

// serve answers the requests of a connection in order; another goroutine reads them and sees its end.
func (o *origin) serve(c *net.TCPConn) {
	served := &servedConn{TCPConn: c, deferredCopy: make(chan lateCopy, 1)}
	ctx, gone := context.WithCancel(context.Background())
	requests := make(chan originRequest, maxWaiting)
	o.wg.Go(func() {
		defer close(requests)
		defer gone()
		o.read(served, requests)
	})
	for r := range requests {
		o.answer(ctx, served, r)
	}
	c.Close()
	o.mu.Lock()
	delete(o.conns, c)
	o.mu.Unlock()
}

// read reads requests until the connection ends.
func (o *origin) read(c *servedConn, out chan<- originRequest) {
	in := bufio.NewReader(c)
	var attempts []*Attempt
	defer func() { o.ledger.markClosed(attempts, time.Now()) }()
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		first := time.Now()
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if err := o.readBody(r); err != nil {
			return
		}
		got := originRequest{Request: r, first: first}
		if id := r.Header.Get("X-Correlation-Id"); id != "" {
			if got.attempt = o.ledger.addAttempt(originID, id, deadlineOf(r.Header.Get("X-Facts")), first, time.Now()); got.attempt == nil {
				return
			}
			o.ledger.markRead(got.attempt, c.TCPConn)
			attempts = append(attempts, got.attempt)
		}
		c.sendDeferredCopy(&o.wg)
		select {
		case out <- got:
		default:
			return
		}
	}
}

// readOver has the bodies of requests take a time to be read.
func (o *origin) readOver(d time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.readTime = d
}

// slowReadBuffer is the system's buffer for requests that are read slowly, in bytes.
const slowReadBuffer = 4 << 10

// readBody reads the body of a request, in the time that this takes.
func (o *origin) readBody(r *http.Request) error {
	o.mu.Lock()
	readTime := o.readTime
	o.mu.Unlock()
	if readTime == 0 || r.ContentLength == 0 {
		_, err := io.Copy(io.Discard, r.Body)
		return err
	}
	part := r.ContentLength/slowParts + 1
	for left := r.ContentLength; left > 0; left -= part {
		time.Sleep(readTime / slowParts)
		if _, err := io.CopyN(io.Discard, r.Body, min(part, left)); err != nil {
			return err
		}
	}
	return nil
}

// answer answers GET /KEY, PUT /KEY and the probes.
func (o *origin) answer(ctx context.Context, c *servedConn, r originRequest) {
	a := r.attempt
	if a == nil {
		io.WriteString(c, httpText(http.StatusOK, "")) //nolint:errcheck // the reader sees the end
		return
	}
	mode, work := o.draw()
	var again repeated
	if mode == Twice {
		again = o.drawRepeat()
	}
	switch {
	case mode == Busy || again.errorLine == busyLine:
		o.ledger.markAnswered(a, c.TCPConn)
		text := httpText(http.StatusServiceUnavailable, "", "X-Unprocessed: 1")
		io.WriteString(c, text) //nolint:errcheck // as above
		c.repeat(&o.wg, text, again)
		return
	case mode == Reset:
		o.ledger.markAnswered(a, c.TCPConn)
		reset(c.TCPConn)
		return
	}
	o.ledger.markRan(a)
	if mode == Hang {
		<-ctx.Done()
		return
	}
	if !waited(ctx, work) {
		return
	}
	if p, form, slow := o.drawSlow(mode); slow && r.Method == http.MethodGet {
		head, body, end := slowResponse(form, paddedValue(r.value(), p.length))
		whole := c.writeSlowly(o.ledger, a, ctx.Done(), head, body, end, p)
		if !whole || form == formToEnd {
			c.Close()
		}
		return
	}
	o.ledger.markAnswered(a, c.TCPConn)
	o.reply(c, r, mode, again)
}

// drawSlow draws the pace and the form of an answer; slow is false where it is written at once. What has no
// announced length is no longer than what routers buffer.
func (o *origin) drawSlow(mode Mode) (p pace, form string, slow bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	p, slow = drawPace(o.rng, mode)
	form = originForms[o.rng.IntN(len(originForms))]
	if o.form != "" {
		form = o.form
	}
	if o.pace != nil {
		p = *o.pace
	}
	if form != formLength {
		p.length = min(p.length, bufferedLength)
	}
	return p, form, slow
}

// bufferedLength is the longest value of an answer that does not announce its length.
const bufferedLength = 64 << 10

// value returns the value of a request for one.
func (r originRequest) value() string {
	return strings.TrimPrefix(r.URL.Path, "/") + "/" + r.Header.Get("X-Correlation-Id") + "/" + originID
}

// httpText is an answer with a length.
func httpText(status int, body string, headers ...string) string {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\nX-Backend-Load: rps=10,cpu=0.2\r\n", status, http.StatusText(status), len(body))
	for _, h := range headers {
		b.WriteString(h + "\r\n")
	}
	b.WriteString("\r\n" + body)
	return b.String()
}

// waited waits, and says whether the router is still there.
func waited(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// reply answers a request that has run.
func (o *origin) reply(c *servedConn, r originRequest, mode Mode, again repeated) {
	id := r.Header.Get("X-Correlation-Id")
	body := "r" + id
	if r.Method == http.MethodGet {
		body = r.value()
	}
	text := httpText(http.StatusOK, body)
	switch mode {
	case Fail:
		text = httpText(http.StatusInternalServerError, "")
	case Cut:
		io.WriteString(c, text[:len(text)-len(body)/2]) //nolint:errcheck // the router may have left
		reset(c.TCPConn)
		return
	case Endless:
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n\r\n%s", body)
		c.Close()
		return
	}
	io.WriteString(c, text) //nolint:errcheck // as above
	c.repeat(&o.wg, text, again)
}
