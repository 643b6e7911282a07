// Package fleettest starts several processes of the program with faults between them, for tests and experiments alone. Each process
// advertises an address at which a relay of the rig listens; the relay knows by source and destination which pair speaks.
package fleettest

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Link is what is done to what one process sends another.
type Link struct {
	Cut       bool
	Loss      float64 // of datagrams
	Delay     time.Duration
	Jitter    time.Duration // drawn evenly on top; datagrams overtake each other by it
	Double    float64       // share of datagrams that come twice
	Reset     float64       // share of streams that are reset when they have begun
	BytesPerS float64       // of streams; 0 = no bound
}

// relay stands for one process towards the others.
type relay struct {
	rig  *Rig
	to   int // the process
	addr *net.UDPAddr

	mu     sync.Mutex
	udp    *net.UDPConn
	tcp    *net.TCPListener
	target string // where the process listens
	conns  map[net.Conn]bool
	wg     sync.WaitGroup
}

// listen opens the relay: at a port of its own the first time, later at the same.
func (r *relay) listen() (err error) {
	at := &net.UDPAddr{IP: r.rig.relayIP(r.to)}
	if r.addr != nil {
		at = r.addr
	}
	for range 50 { // what the system gives one may be another's for the other
		var udp *net.UDPConn
		if udp, err = net.ListenUDP("udp", at); err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		port := udp.LocalAddr().(*net.UDPAddr).Port
		var tcp *net.TCPListener
		if tcp, err = net.ListenTCP("tcp", &net.TCPAddr{IP: at.IP, Port: port}); err != nil {
			udp.Close()
			continue
		}
		r.mu.Lock()
		r.udp, r.tcp = udp, tcp
		if r.addr == nil { // for good: others read it
			r.addr = &net.UDPAddr{IP: at.IP, Port: port}
		}
		r.mu.Unlock()
		r.wg.Go(func() { r.datagrams(udp) })
		r.wg.Go(func() { r.streams(tcp) })
		return nil
	}
	return err
}

// open has what comes go to the process that listens at target now.
func (r *relay) open(target string) error {
	r.mu.Lock()
	r.target = target
	closed := r.udp == nil
	r.mu.Unlock()
	if closed {
		return r.listen()
	}
	return nil
}

// close is the end of the process: from now on the address refuses, as a machine does whose process is gone.
func (r *relay) close() {
	r.mu.Lock()
	if r.udp != nil {
		r.udp.Close()
		r.tcp.Close()
		r.udp, r.tcp = nil, nil
	}
	for c := range r.conns {
		c.Close()
	}
	r.mu.Unlock()
	r.wg.Wait()
}

func (r *relay) goal() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.target
}

// datagrams passes datagrams on.
func (r *relay) datagrams(in *net.UDPConn) {
	buf := make([]byte, 2048)
	for {
		n, from, err := in.ReadFromUDPAddrPort(buf)
		if err != nil {
			return // closed
		}
		l, rng := r.rig.link(r.rig.who(from.Addr().Unmap().As4()), r.to)
		if l.Cut || rng.float() < l.Loss {
			r.rig.lost.Add(1)
			continue
		}
		r.rig.passed.Add(1)
		copies := 1
		if rng.float() < l.Double {
			copies = 2
		}
		b := append([]byte(nil), buf[:n]...)
		for range copies {
			wait := l.Delay + time.Duration(rng.float()*float64(l.Jitter))
			if wait == 0 {
				r.deliver(b)
				continue
			}
			r.wg.Go(func() {
				r.rig.pause(wait)
				r.deliver(b)
			})
		}
	}
}

func (r *relay) deliver(b []byte) {
	to, err := net.ResolveUDPAddr("udp", r.goal())
	if err != nil {
		return
	}
	if c := r.rig.out; c != nil {
		c.WriteToUDP(b, to) //nolint:errcheck // lost
	}
}

// streams passes streams on.
func (r *relay) streams(in *net.TCPListener) {
	for {
		c, err := in.Accept()
		if err != nil {
			return // closed
		}
		r.keep(c)
		r.wg.Go(func() {
			defer r.drop(c)
			r.stream(c.(*net.TCPConn))
		})
	}
}

func (r *relay) keep(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[c] = true
}

func (r *relay) drop(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
	c.Close()
}

// stream passes one stream on, both ways.
func (r *relay) stream(c *net.TCPConn) {
	from := r.rig.who([4]byte(c.RemoteAddr().(*net.TCPAddr).IP.To4()))
	l, rng := r.rig.link(from, r.to)
	if rng.float() < l.Reset {
		c.SetLinger(0) //nolint:errcheck // then it ends without a reset
		return
	}
	out, err := net.DialTimeout("tcp", r.goal(), time.Second)
	if err != nil {
		c.SetLinger(0) //nolint:errcheck // as above
		return
	}
	r.keep(out)
	defer r.drop(out)
	var wg sync.WaitGroup
	wg.Go(func() { r.copy(out, c, from, r.to) })
	wg.Go(func() { r.copy(c, out, r.to, from) })
	wg.Wait()
}

// copy passes bytes on while the link is there. What comes on a cut one is lost for good, with all behind it.
func (r *relay) copy(to, in net.Conn, from, dst int) {
	buf := make([]byte, 4096)
	for {
		n, err := in.Read(buf)
		if n > 0 {
			l, rng := r.rig.link(from, dst)
			wait := l.Delay + time.Duration(rng.float()*float64(l.Jitter))
			if l.BytesPerS > 0 {
				wait += time.Duration(float64(n) / l.BytesPerS * float64(time.Second))
			}
			if wait > 0 {
				r.rig.pause(wait)
			}
			if l.Cut {
				io.Copy(io.Discard, in) //nolint:errcheck // until it closes, of which the other end hears nothing
				return
			}
			if _, err := to.Write(buf[:n]); err != nil {
				in.Close()
				return
			}
		}
		if err != nil {
			break
		}
	}
	if l, _ := r.rig.link(from, dst); l.Cut {
		return // nor does an end come through
	}
	if t, ok := to.(*net.TCPConn); ok {
		t.CloseWrite() //nolint:errcheck // it may be closed
	}
}

// draws are random numbers that several goroutines take.
type draws struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func (d *draws) float() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rng.Float64()
}
