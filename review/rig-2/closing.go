package main

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

func init() { cases["closing"] = closing }

const (
	wholeValue  = 60000                // bytes of a value; the pages have up to 64 KiB
	linkPiece   = 4 << 10              // bytes that a client's link brings at a time,
	linkPause   = 4 * time.Millisecond // and the time between two: about 1 MB a second
	openAtOnce  = 8                    // requests that a client has open on its connection
	linkClients = 4
	askedWait   = 2500 // ms that a client waits for each answer
	sendFor     = 3 * time.Second
	killAfter   = 3700 * time.Millisecond // after SIGTERM: SIGKILL comes no sooner
)

// asking is a request as its client sees it.
type asking struct {
	id, class string
	sent      time.Time // when its last byte was written
	begun     bool      // something of its answer has come
	whole     bool
}

// linked is a client with one connection, whose link brings answers at a pace. It keeps openAtOnce requests open and sends
// the next as soon as an answer is whole.
type linked struct {
	w    *world
	name string
	mine []*asking
}

// link hands out what comes at the pace of a client's link.
type link struct{ net.Conn }

func (l link) Read(b []byte) (int, error) {
	time.Sleep(linkPause)
	return l.Conn.Read(b[:min(len(b), linkPiece)])
}

// send sends the next request: reads and order-polls in turn.
func (l *linked) send(c net.Conn) error {
	n := len(l.mine)
	a := &asking{id: fmt.Sprintf("%s-%d", l.name, n), class: "read-status"}
	if n%2 == 1 {
		a.class = "order-poll"
	}
	l.mine = append(l.mine, a)
	a.sent = time.Now()
	_, err := fmt.Fprintf(c, "mg %016x v O%s Pc=%s,d=%d\r\n", uint64(n+1)*0x9e3779b97f4a7c15, a.id, a.class, askedWait)
	return err
}

// run sends until stop is closed, and reads until all is answered or the connection ends. It returns why that was.
func (l *linked) run(addr string, stop <-chan struct{}) string {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		panic(unable{err.Error()})
	}
	defer conn.Close()
	conn.(*net.TCPConn).SetReadBuffer(64 << 10) //nolint:errcheck // it only makes the pace the same on all machines
	for range openAtOnce {
		if err := l.send(conn); err != nil {
			panic(unable{err.Error()})
		}
	}
	in := &client{conn, bufio.NewReaderSize(link{conn}, linkPiece)}
	for next := 0; next < len(l.mine); next++ {
		a := l.mine[next]
		got, err := in.read(a.sent.Add(askedWait*time.Millisecond + time.Second))
		a.begun, a.whole = got.line != "", err == nil && len(got.value) == wholeValue
		if err != nil {
			return err.Error()
		}
		if !a.whole {
			l.w.notef("client %s: %s is answered %q", l.name, a.id, got.line)
		}
		select {
		case <-stop:
		default:
			if err := l.send(conn); err != nil {
				l.w.notef("client %s: %s can't be sent: %v", l.name, l.mine[len(l.mine)-1].id, err)
			}
		}
	}
	return ""
}

// closing: a router is told to end while clients have several requests open on a connection and send the next as
// answers come. The rule: ending a connection with no whole answer loses the request that the router had taken.
func closing(w *world) {
	var came sync.Map // id to when a request came to a server
	var entries []listed
	for i := range 4 {
		c := w.newCache(fmt.Sprintf("s-%08x", 0x5be2a0a0+i), "")
		c.valueBytes = wholeValue
		c.got = func(_ *cache, cmd command) { came.Store(cmd.id, cmd.first) }
		entries = append(entries, entryOf(c, i))
	}
	d := w.newDiscovery(entries...)
	listen := freeAddr()
	d.mu.Lock()
	known := d.full()
	d.mu.Unlock()
	settings := asked(2, 0)
	settings["discovery"] = "push"
	p := w.router("n0", listen, d.addr, known, settings)
	awaitReady(listen, 10*time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	all, ended := make([]*linked, linkClients), make([]string, linkClients)
	for i := range all {
		all[i] = &linked{w: w, name: fmt.Sprintf("c%d", i)}
		clients.Go(func() { ended[i] = all[i].run(listen, stop) })
	}
	time.Sleep(sendFor)
	told := time.Now()
	if w.trouble {
		w.notef("the router is told to end (SIGTERM)")
		p.signal(syscall.SIGTERM)
		time.AfterFunc(killAfter, func() { p.signal(syscall.SIGKILL) })
	} else {
		time.AfterFunc(time.Second, func() { close(stop) })
	}
	clients.Wait()
	w.judgeClosing(all, ended, &came, told)
}

// judgeClosing counts requests that the router had taken, and of whose answers nothing came.
func (w *world) judgeClosing(all []*linked, ended []string, came *sync.Map, told time.Time) {
	asked, served, cut, unread, lost, polls := 0, 0, 0, 0, 0, 0
	for i, l := range all {
		w.notef("client %s: its connection ended: %q", l.name, ended[i])
		for _, a := range l.mine {
			asked++
			at, atServer := came.Load(a.id)
			switch {
			case a.whole:
				served++
			case a.begun:
				cut++
				w.notef("client %s: the answer to %s came in part", l.name, a.id)
			case !atServer:
				unread++
				w.notef("client %s: %s came to no server; it may have crossed the close", l.name, a.id)
			default:
				lost++
				if a.class == "order-poll" {
					polls++
				}
				w.notef("client %s: %s (%s), sent %v from SIGTERM, at a server %v from SIGTERM, has NO ANSWER", l.name, a.id, a.class,
					a.sent.Sub(told).Round(time.Millisecond), at.(time.Time).Sub(told).Round(time.Millisecond))
			}
		}
	}
	w.notef("%d requests: %d served, %d in part, %d came to no server, %d lost, of these %d order-polls", asked, served, cut, unread, lost, polls)
	if served < 100 {
		panic(unable{"the load did not run"})
	}
	if lost > 0 {
		w.breakf("%d requests that had come to a server got no byte of an answer, %d of them order-polls, which run once", lost, polls)
	}
}
