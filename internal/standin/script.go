package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
)

// Script is a server on a loopback socket that follows a script, in either protocol.
type Script struct {
	Addr  string
	Seen  chan string // first lines of the requests, with their bodies
	Conns atomic.Int32
	Ended chan struct{} // one for each connection that the other side has closed

	ln   net.Listener
	wg   sync.WaitGroup
	mu   sync.Mutex
	open []net.Conn // guarded by mu, as is
	over bool       // whether it has been closed
}

// seenMost bounds the requests, and the ends of connections, that wait to be looked at; later ones are not kept.
const seenMost = 10000

// StartScript answers each request with the text of answer, which gets its first line with the headers that count: ""
// says nothing, "close" closes, "{id}" stands for the request's id, and "{cut}" ends the connection behind what stands
// before it.
func StartScript(answer func(line string) string) (*Script, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("stand-in: %w", err)
	}
	f := &Script{Addr: ln.Addr().String(), Seen: make(chan string, seenMost), Ended: make(chan struct{}, seenMost), ln: ln}
	f.wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			f.Conns.Add(1)
			f.mu.Lock()
			if f.open = append(f.open, c); f.over {
				c.Close()
			}
			f.mu.Unlock()
			f.wg.Go(func() {
				defer c.Close()
				f.serve(c, answer)
			})
		}
	})
	return f, nil
}

// Close ends all connections and waits for what was started.
func (f *Script) Close() {
	f.ln.Close()
	f.mu.Lock()
	f.over = true
	for _, c := range f.open {
		c.Close()
	}
	f.mu.Unlock()
	f.wg.Wait()
}

func (f *Script) serve(c net.Conn, answer func(string) string) {
	r := bufio.NewReader(c)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			select {
			case f.Ended <- struct{}{}:
			default: // nobody looks
			}
			return
		}
		line = strings.TrimSpace(line)
		for strings.HasSuffix(line, "HTTP/1.1") { // its headers, of which the id and the facts count
			h, err := r.ReadString('\n')
			if err != nil {
				return
			}
			if h = strings.TrimSpace(h); h == "" {
				line = strings.Replace(line, "HTTP/1.1", "HTTP", 1)
			} else if strings.HasPrefix(h, "X-") || strings.HasPrefix(h, "Content-Length") {
				line = strings.Replace(line, "HTTP/1.1", h+" HTTP/1.1", 1)
			}
		}
		var n int
		if i := strings.Index(line, "Content-Length: "); i >= 0 {
			fmt.Sscanf(line[i:], "Content-Length: %d", &n)
		} else if strings.HasPrefix(line, "ms ") {
			fmt.Sscanf(line, "ms %s %d", new(string), &n)
			n += 2
		}
		body := make([]byte, n)
		if _, err := io.ReadFull(r, body); err != nil {
			return
		}
		select {
		case f.Seen <- line + " " + strings.TrimSpace(string(body)):
		default: // nobody looks
		}
		switch a := answer(line); a {
		case "":
		case "close":
			return
		default:
			text := strings.TrimSuffix(strings.ReplaceAll(a, "{id}", IDOf(line)), "{cut}")
			if _, err := io.WriteString(c, text); err != nil {
				return
			}
			if strings.HasSuffix(a, "{cut}") || strings.Contains(a, "Connection: close") {
				return
			}
		}
	}
}

// IDOf finds the request's id in either protocol.
func IDOf(line string) string {
	for f := range strings.FieldsSeq(line) {
		if f[0] == 'O' && len(f) > 1 {
			return f[1:]
		}
	}
	_, rest, _ := strings.Cut(line, "X-Correlation-Id: ")
	id, _, _ := strings.Cut(rest, " ")
	return id
}
