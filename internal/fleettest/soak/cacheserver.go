package soak

import (
	"bufio"
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

// Mode is how a server behaves.
type Mode string

// The modes of cache servers and the origin.
const (
	Normal      Mode = "normal"
	Slow        Mode = "slow"        // answers late
	Hang        Mode = "hang"        // takes requests and says nothing
	Cut         Mode = "cut"         // resets the connection in the middle of an answer
	Reset       Mode = "reset"       // resets the connection behind a request
	Busy        Mode = "busy"        // turns requests away
	Fail        Mode = "fail"        // answers that the request may have run
	Spoil       Mode = "spoil"       // answers with another request's id
	Twice       Mode = "twice"       // answers, among them error lines, come once more a moment later, whole or in part
	Unsolicited Mode = "unsolicited" // input that answers no request comes on new connections
	Stall       Mode = "stall"       // new connections come up late
	Endless     Mode = "endless"     // an answer without a length, which may be reset
)

// cacheServer is a cache server of the meta protocol that records what it gets.
type cacheServer struct {
	id, addr string
	ledger   *Ledger
	hits     float64 // share of reads that are hits
	repeats  repeats // Twice
	pace     *pace   // of SlowBody and LateBody; nil = drawn for each answer
	share    float64 // of answers that are slow in these modes

	mu      sync.Mutex
	rng     *rand.Rand
	mode    Mode
	came    []time.Time // when requests of the last second came
	started time.Time   // of its process; zero = long ago
	slow    slowStart
	ln      *listener // nil = it is down
	conns   map[*servedConn]struct{}
	opened  int // connections so far
	failed  int // requests answered as failed so far
	wg      sync.WaitGroup
}

// repeats says which answers a server gives in mode Twice, and when they come once more.
type repeats struct {
	busy, failed float64       // shares of answers that are error lines
	whole, part  float64       // shares of answers that come once more, or a part of them
	delay        time.Duration // most until they come
	linesOnly    bool          // only error lines come once more
	behindNext   float64       // share of them that come behind the next command of their connection, if that comes within latestCopy
}

var usualRepeats = repeats{busy: 0.25, failed: 0.1, whole: 0.7, part: 0.1, delay: 200 * time.Millisecond, behindNext: 0.7}

// repeated is what comes once more of one answer.
type repeated struct {
	errorLine  string // the answer is this line; empty = the usual one
	part       float64
	after      time.Duration
	behindNext bool // it comes behind the next command instead
}

// draw draws how an answer comes once more.
func (p repeats) draw(rng *rand.Rand) (r repeated) {
	switch x := rng.Float64(); {
	case x < p.busy:
		r.errorLine = busyLine
	case x < p.busy+p.failed:
		r.errorLine = failedLine
	}
	switch x := rng.Float64(); {
	case x < p.whole:
		r.part = 1
	case x < p.whole+p.part:
		r.part = rng.Float64()
	}
	if p.linesOnly && r.errorLine == "" {
		r.part = 0
	}
	// Half of them come within the first tenth, in which the next command is most likely to be written.
	r.after = time.Duration(rng.Float64() * float64(p.delay) * []float64{0.1, 1}[rng.IntN(2)])
	r.behindNext = rng.Float64() < p.behindNext
	return r
}

// drawRepeat draws how an answer comes once more.
func (s *cacheServer) drawRepeat() repeated {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.repeats.draw(s.rng)
}

// Lines that name no request.
const (
	busyLine   = "SERVER_ERROR busy\r\n"
	failedLine = "SERVER_ERROR failed\r\n"
)

func startCacheServer(l *Ledger, id string, seed uint64) (*cacheServer, error) {
	return startCacheServerAt(l, id, "127.0.0.1:0", seed)
}

func startCacheServerAt(l *Ledger, id, addr string, seed uint64) (*cacheServer, error) {
	s := &cacheServer{id: id, ledger: l, hits: 0.8, repeats: usualRepeats, share: 1, mode: Normal, rng: rand.New(rand.NewPCG(seed, 7)), conns: map[*servedConn]struct{}{}}
	return s, s.listen(addr)
}

func (s *cacheServer) listen(addr string) error {
	ln, err := listenLoopback(addr)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ln, s.addr = ln, ln.addr
	s.wg.Go(func() { s.accept(ln) })
	return nil
}

// set changes the mode.
func (s *cacheServer) set(m Mode) {
	s.mu.Lock()
	s.mode = m
	ln := s.ln
	s.mu.Unlock()
	if ln != nil {
		ln.stall(m == Stall)
	}
}

// die resets all connections and refuses new ones, until listen.
func (s *cacheServer) die() {
	s.mu.Lock()
	ln := s.ln
	s.ln = nil
	s.mu.Unlock()
	if ln != nil {
		ln.shut()
	}
	s.closeAll()
}

// connections is how many connections the server has taken so far.
func (s *cacheServer) connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opened
}

// failedLines is how many requests the server has answered as failed, copies apart.
func (s *cacheServer) failedLines() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failed
}

// closeAll resets all connections.
func (s *cacheServer) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.die()
	}
}

// reset ends a connection as a process that died does.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0) //nolint:errcheck // it is closed either way
	}
	c.Close()
}

func (s *cacheServer) close() {
	s.set(Normal)
	s.die()
	s.wg.Wait()
}

func (s *cacheServer) accept(ln *listener) {
	for {
		nc, err := ln.accept()
		if err != nil {
			return
		}
		c := &servedConn{TCPConn: nc, deferredCopy: make(chan lateCopy, 1)}
		s.mu.Lock()
		if s.ln != ln {
			c.die()
		}
		s.conns[c] = struct{}{}
		s.opened++
		s.mu.Unlock()
		s.wg.Go(func() { s.serve(c) })
	}
}

// slowStart is what a server can do after its start, by the settings.
type slowStart struct {
	from  float64       // share of its capacity at the start
	phase time.Duration // after which it has all
}

// capacity is what a warm server can do, in requests a second.
const capacity = 50.0

// warmth is the share of its capacity that a server has at an age.
func (s slowStart) warmth(age time.Duration) float64 {
	return min(1, s.from+(1-s.from)*age.Seconds()/s.phase.Seconds())
}

// load is the load report behind an answer.
func (s *cacheServer) load() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for len(s.came) > 0 && now.Sub(s.came[0]) > time.Second {
		s.came = s.came[1:]
	}
	can := capacity
	if !s.started.IsZero() {
		can *= s.slow.warmth(now.Sub(s.started))
	}
	rate := float64(len(s.came))
	return fmt.Sprintf(" Lrps=%.1f,cpu=%.3f", rate, rate/can)
}

// command is one that has come whole.
type command struct {
	fields  []string
	attempt *Attempt // nil = it is no request
}

// maxWaiting bounds the commands of a connection that wait for their answer.
const maxWaiting = 64

// serve answers the commands of a connection in order; another goroutine reads them and sees its end.
func (s *cacheServer) serve(c *servedConn) {
	s.sendUnsolicited(c)
	commands, gone := make(chan command, maxWaiting), make(chan struct{})
	s.wg.Go(func() {
		defer close(commands)
		defer close(gone)
		s.read(c, commands)
	})
	for cmd := range commands {
		s.answer(c, cmd, gone)
		if cmd.attempt != nil {
			s.ledger.markEnded(cmd.attempt)
		}
	}
	c.Close()
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// servedConn is a connection of a router.
type servedConn struct {
	*net.TCPConn
	deferredCopy     chan lateCopy // what comes behind the next command; one at most
	unsolicitedError bool          // an error line that answers no request has come on it
	unsound          atomic.Bool   // something that answers no request has come on it

	mu     sync.Mutex
	diedAt time.Time // when the server reset it as a process that dies does; zero = it did not
}

// die resets the connection. What its reader sees later has happened to a process that is dead.
func (c *servedConn) die() {
	c.mu.Lock()
	if c.diedAt.IsZero() {
		c.diedAt = time.Now()
	}
	c.mu.Unlock()
	reset(c.TCPConn)
}

// now is the time for what is seen on the connection: at the latest when it was reset.
func (c *servedConn) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.diedAt.IsZero() {
		return c.diedAt
	}
	return time.Now()
}

// unsolicitedInputs are inputs that answer no request.
var unsolicitedInputs = []string{busyLine, failedLine, "SERVER_ERR", "EN Oxx h0\r\n", "VA 3 Oxx h1\r\nabc\r\n", "STAT rps 20\r\nEND\r\n", "MN\r\n", "\r\n"}

// sendUnsolicited sends input that answers no request on a new connection, in mode Unsolicited.
func (s *cacheServer) sendUnsolicited(c *servedConn) {
	s.mu.Lock()
	on := s.mode == Unsolicited
	text := unsolicitedInputs[s.rng.IntN(len(unsolicitedInputs))]
	after := time.Duration(s.rng.IntN(20)) * time.Millisecond
	s.mu.Unlock()
	if !on {
		return
	}
	c.unsolicitedError = text == busyLine || text == failedLine
	s.wg.Go(func() { c.writeAfter(after, text) })
}

// read reads commands until the connection ends.
func (s *cacheServer) read(c *servedConn, out chan<- command) {
	in := bufio.NewReaderSize(c, 4096)
	var attempts []*Attempt
	defer func() { s.ledger.markClosed(attempts, c.now()) }()
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		first := c.now()
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		cmd := command{fields: strings.Fields(line)}
		if len(cmd.fields) == 5 {
			if n, err := strconv.Atoi(cmd.fields[2]); err == nil {
				if _, err := io.CopyN(io.Discard, in, int64(n)+2); err != nil {
					return
				}
			}
			s.mu.Lock()
			s.came = append(s.came, time.Now())
			s.mu.Unlock()
			cmd.attempt = s.ledger.addAttempt(s.id, strings.TrimPrefix(cmd.fields[3], "O"), deadlineOf(strings.TrimPrefix(cmd.fields[4], "P")), first, c.now())
			if cmd.attempt != nil {
				s.ledger.markRead(cmd.attempt, c.TCPConn)
				attempts = append(attempts, cmd.attempt)
			}
		}
		c.sendDeferredCopy(&s.wg)
		select {
		case out <- cmd:
		default:
			return
		}
	}
}

// deadlineOf returns the deadline among a request's facts.
func deadlineOf(facts string) time.Duration {
	for fact := range strings.SplitSeq(facts, ",") {
		if text, ok := strings.CutPrefix(fact, "d="); ok {
			ms, err := strconv.ParseFloat(text, 64)
			if err == nil {
				return time.Duration(ms * float64(time.Millisecond))
			}
		}
	}
	return 0
}

// draw gives what the next answer depends on.
func (s *cacheServer) draw() (m Mode, hit bool, work time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, hit = s.mode, s.rng.Float64() < s.hits
	work = time.Duration(3+s.rng.IntN(25)) * time.Millisecond
	if m == Slow {
		work += time.Duration(200+s.rng.IntN(600)) * time.Millisecond
	}
	return m, hit, work
}

// drawSlow draws the pace of an answer; slow is false where it is written at once.
func (s *cacheServer) drawSlow(mode Mode) (p pace, slow bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, slow = drawPace(s.rng, mode)
	if s.pace != nil {
		p = *s.pace
	}
	return p, slow && s.rng.Float64() < s.share
}

// answer answers a command, once its work is done.
func (s *cacheServer) answer(c *servedConn, cmd command, gone <-chan struct{}) {
	if cmd.attempt == nil {
		io.WriteString(c, s.plain(cmd.fields)) //nolint:errcheck // the reader sees the end
		return
	}
	mode, hit, work := s.draw()
	var again repeated
	if mode == Twice {
		again = s.drawRepeat()
	}
	verb, key, id := cmd.fields[0], cmd.fields[1], strings.TrimPrefix(cmd.fields[3], "O")
	switch {
	case mode == Busy || again.errorLine == busyLine:
		s.ledger.markAnswered(cmd.attempt, c.TCPConn) // before the router can know
		io.WriteString(c, busyLine)                   //nolint:errcheck // as above
		c.repeat(&s.wg, busyLine, again)
		return
	case mode == Hang:
		<-gone
		return
	case c.unsolicitedError && cmd.attempt.Effect != Repeatable: // the protocol has no means to tell such a line from the answer, so nothing runs behind it
		s.ledger.markAnswered(cmd.attempt, c.TCPConn)
		reset(c.TCPConn)
		return
	case mode == Reset:
		s.ledger.markEnded(cmd.attempt)
		reset(c.TCPConn)
		return
	}
	if verb == "ms" || hit || mode == Fail || again.errorLine != "" { // a miss has no effect
		s.ledger.markRan(cmd.attempt)
	}
	select {
	case <-time.After(work):
	case <-gone:
		return
	}
	load := s.load()
	text := "EN O" + id + " h0" + load + "\r\n"
	switch {
	case mode == Fail || again.errorLine != "":
		text = failedLine
		s.mu.Lock()
		s.failed++
		s.mu.Unlock()
	case mode == Spoil:
		text = "VA 3 Oxx" + id + " h1\r\nabc\r\n"
	case verb == "ms":
		text = "HD O" + id + " c" + id + "\r\n"
	case hit:
		value := key + "/" + id + "/" + s.id
		if p, slow := s.drawSlow(mode); slow {
			value = paddedValue(value, p.length)
			c.writeSlowly(s.ledger, cmd.attempt, gone, fmt.Sprintf("VA %d O%s h1%s\r\n", len(value), id, load), value, "\r\n", p)
			return
		}
		text = fmt.Sprintf("VA %d O%s h1%s\r\n%s\r\n", len(value), id, load, value)
	}
	s.ledger.markAnswered(cmd.attempt, c.TCPConn) // before the router can know
	if mode == Cut {
		io.WriteString(c, text[:len(text)/2]) //nolint:errcheck // as above
		reset(c.TCPConn)
		return
	}
	io.WriteString(c, text) //nolint:errcheck // as above
	c.repeat(&s.wg, text, again)
}

// repeat has an answer, or a part of it, come once more, while the connection is used on.
func (c *servedConn) repeat(wg *sync.WaitGroup, text string, again repeated) {
	if again.part == 0 {
		return
	}
	text = text[:int(again.part*float64(len(text)))]
	if again.behindNext {
		select {
		case c.deferredCopy <- lateCopy{text, time.Now()}:
		default:
		}
		return
	}
	wg.Go(func() { c.writeAfter(again.after, text) })
}

// writeAfter writes a text after a time.
func (c *servedConn) writeAfter(d time.Duration, text string) {
	time.Sleep(d)
	c.unsound.Store(true)
	io.WriteString(c, text) //nolint:errcheck // the router may have closed
}

// lateCopy is a copy of an answer that comes behind the next command.
type lateCopy struct {
	text     string
	answered time.Time
}

// latestCopy is the latest time after its answer at which a copy comes (issue 57).
const latestCopy = time.Second

// behindCommand is how long after the next command a deferred copy comes.
const behindCommand = 2 * time.Millisecond

// sendDeferredCopy sends the copy that is due behind a command that has just come.
func (c *servedConn) sendDeferredCopy(wg *sync.WaitGroup) {
	select {
	case late := <-c.deferredCopy:
		if time.Since(late.answered) < latestCopy-behindCommand {
			wg.Go(func() { c.writeAfter(behindCommand, late.text) })
		}
	default:
	}
}

// plain answers what is no request.
func (s *cacheServer) plain(fields []string) string {
	switch strings.Join(fields, " ") {
	case "mn":
		return "MN\r\n"
	case "stats load":
		return "STAT rps 20\r\nSTAT cpu 0.3\r\nEND\r\n"
	}
	return "ERROR\r\n"
}
