package router

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// slot is the place of a request's answer among those of its connection.
type slot struct {
	id     uint32      // the loop's
	answer chan []byte // of capacity 1; nil where there is nobody to answer
	last   bool        // the connection ends with this answer
}

// clients serves the connections of clients.
type clients struct {
	l        *loop
	ln       net.Listener
	room     chan struct{} // a place for each connection that may be open
	draining atomic.Bool
	wg       sync.WaitGroup

	mu    sync.Mutex
	conns map[*clientConn]struct{}
}

// clientConn is a client's connection. One goroutine reads commands, another writes the answers in their order.
type clientConn struct {
	net.Conn
	r        *bufio.Reader
	pending  chan *slot
	busy     atomic.Int32 // commands that are not answered
	since    atomic.Int64 // idle since, in Unix nanoseconds
	reading  sync.Mutex   // held while a command is being read
	draining atomic.Bool
}

const (
	maxPipelined = 16              // commands of a connection that wait for their answer
	commandTime  = 2 * time.Second // for a command to come whole once it has begun
	answerTime   = 5 * time.Second // for a client to take an answer
)

func newClients(l *loop, ln net.Listener, limit int) *clients {
	return &clients{l: l, ln: ln, room: make(chan struct{}, limit), conns: map[*clientConn]struct{}{}}
}

// accept takes connections until the listener is closed.
func (s *clients) accept() {
	for {
		select {
		case s.room <- struct{}{}:
		default: // the limit on sockets: an idle connection makes room
			s.evict()
			s.room <- struct{}{}
		}
		c, err := s.ln.Accept()
		if err != nil {
			<-s.room
			if errors.Is(err, net.ErrClosed) {
				return
			}
			log.Printf("accepting: %v", err)
			time.Sleep(100 * time.Millisecond) // as with no descriptor left: not in a tight loop
			continue
		}
		s.serve(c)
	}
}

// evict closes the connection that has been idle for longest.
func (s *clients) evict() {
	var oldest *clientConn
	s.mu.Lock()
	for c := range s.conns {
		if c.busy.Load() == 0 && (oldest == nil || c.since.Load() < oldest.since.Load()) {
			oldest = c
		}
	}
	s.mu.Unlock()
	if oldest != nil {
		oldest.drain()
	}
}

func (s *clients) serve(nc net.Conn) {
	c := &clientConn{Conn: nc, r: bufio.NewReaderSize(nc, maxLine), pending: make(chan *slot, maxPipelined)}
	c.since.Store(time.Now().UnixNano())
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	s.wg.Add(2)
	written := make(chan struct{})
	go func() {
		defer s.wg.Done()
		defer close(written)
		c.write()
	}()
	go func() {
		defer s.wg.Done()
		s.read(c)
		close(c.pending)
		<-written
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		<-s.room
	}()
	if s.draining.Load() {
		c.drain()
	}
}

// drain closes the connection as soon as no command is being read or waits for its answer.
func (c *clientConn) drain() {
	c.draining.Store(true)
	if c.reading.TryLock() { // else the reader sees the mark when it has the command
		c.SetReadDeadline(time.Unix(1, 0))
		c.reading.Unlock()
	}
}

// read reads commands until the client leaves, sends what is no command, or the connection is drained.
func (s *clients) read(c *clientConn) {
	var open []*slot // those that may be unanswered
	for {
		if c.draining.Load() && c.r.Buffered() == 0 {
			return
		}
		if _, err := c.r.Peek(1); err != nil {
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				s.leave(open)
				return
			}
			continue // draining
		}
		c.reading.Lock()
		c.SetReadDeadline(time.Now().Add(commandTime))
		cmd, err := readCommand(c.r)
		read := s.l.now()
		c.SetReadDeadline(time.Time{})
		c.busy.Add(1)
		c.reading.Unlock()
		sl := &slot{answer: make(chan []byte, 1)}
		switch {
		case errors.Is(err, errMalformed):
			sl.last = true
			sl.answer <- []byte("CLIENT_ERROR " + err.Error() + "\r\n")
			c.pending <- sl
			io.Copy(io.Discard, c) // until the answers before it are out: what follows has no known form
			return
		case err != nil:
			s.leave(open)
			return
		case cmd.verb == "mg" || cmd.verb == "ms":
			open = append(unanswered(open), sl)
			s.l.post(func() { s.l.arrive(cmd, read, sl) })
		case cmd.verb == "mn":
			sl.answer <- s.readiness()
		case cmd.verb == "quit":
			sl.last = true
			sl.answer <- nil
		default:
			sl.answer <- []byte("ERROR\r\n")
		}
		c.pending <- sl
	}
}

// readiness answers mn: the router is used from MN on, so it must be able to serve.
func (s *clients) readiness() []byte {
	if s.l.ready.Load() && !s.draining.Load() {
		return []byte("MN\r\n")
	}
	return []byte("SERVER_ERROR not ready\r\n")
}

func unanswered(open []*slot) []*slot {
	kept := open[:0]
	for _, sl := range open {
		if len(sl.answer) == 0 && !sl.last {
			kept = append(kept, sl)
		}
	}
	return kept
}

// leave tells that the client of these has gone.
func (s *clients) leave(open []*slot) {
	for _, sl := range open {
		s.l.post(func() { s.l.gone(sl.id, sl) })
	}
}

// write writes the answers in the order of the commands, and closes the connection after the last.
func (c *clientConn) write() {
	defer c.Close()
	broken := false
	for sl := range c.pending {
		answer := <-sl.answer
		if !broken {
			c.SetWriteDeadline(time.Now().Add(answerTime))
			_, err := c.Write(answer)
			if broken = err != nil || sl.last; broken {
				c.Close() // which ends the reader too
			}
		}
		c.since.Store(time.Now().UnixNano())
		c.busy.Add(-1)
	}
}

// drain has every connection closed once it has nothing to answer, and returns when all are, or ctx ends.
func (s *clients) drain(ctx context.Context) {
	s.draining.Store(true)
	s.mu.Lock()
	for c := range s.conns {
		c.drain()
	}
	s.mu.Unlock()
	closed := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(closed)
	}()
	select {
	case <-closed:
	case <-ctx.Done():
		s.mu.Lock()
		for c := range s.conns {
			c.Close()
		}
		s.mu.Unlock()
		<-closed
	}
}
