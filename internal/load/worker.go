package load

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// worker is one client: a connection to each address of the route.
type worker struct {
	o      *Options
	d      dialect
	route  *route
	links  []*link
	rng    *rand.Rand
	zipf   *rand.Zipf
	id     uint64
	mu     sync.Mutex // counts and times, where several readers book
	counts Counts
	times  *hdrhistogram.Histogram
}

// link is a connection with what is out on it.
type link struct {
	net.Conn
	r   *bufio.Reader
	buf []byte
	out []time.Time    // sent together: when they were due
	due chan time.Time // sent by a rate
}

const (
	bufferSize  = 16 << 10
	maxTogether = 64 // requests that are due and sent together
)

func newWorker(ctx context.Context, o *Options, t Target, d dialect, r *route, seed uint64, n int) (*worker, error) {
	w := &worker{o: o, d: d, route: r, rng: rand.New(rand.NewPCG(seed, uint64(n))), id: uint64(n+1) << 40, times: hdrhistogram.New(1, longest, 3)}
	if o.Zipf > 0 {
		w.zipf = rand.NewZipf(w.rng, o.Zipf, 1, uint64(o.Keys-1))
	}
	for _, addr := range r.addrs {
		c, r, err := t.connect(ctx, addr, o.Protocol)
		if err != nil {
			w.close()
			return nil, err
		}
		w.links = append(w.links, &link{Conn: c, r: r, due: make(chan time.Time, maxBehind)})
	}
	return w, nil
}

func (w *worker) close() {
	for _, l := range w.links {
		l.Close()
	}
}

// key draws a key.
func (w *worker) key() int {
	if w.zipf != nil {
		return int(w.zipf.Uint64())
	}
	return w.rng.IntN(w.o.Keys)
}

// add appends a request to the link that it goes to.
func (w *worker) add() *link {
	key := w.key()
	l := w.links[w.route.to(key)]
	w.id++
	l.buf = w.d.request(l.buf, w.id, key, w.o.Writes > 0 && w.rng.Float64() < w.o.Writes)
	return l
}

// run sends until the end, and returns when all that it sent is answered or lost.
func (w *worker) run(ctx context.Context, c phases) error {
	defer context.AfterFunc(ctx, w.close)()
	for _, l := range w.links {
		l.SetDeadline(c.end.Add(w.o.Deadline + time.Second)) //nolint:errcheck // the reads tell
	}
	if w.o.Rate > 0 {
		return w.paced(c)
	}
	return w.together(c)
}

// book books one answer that came now and counts if it came in the measurement.
func (w *worker) book(c phases, due time.Time, got Counts) {
	now := time.Now()
	if now.Before(c.begin) || !now.Before(c.end) {
		return
	}
	w.counts.add(got)
	w.times.RecordValue(min(longest, max(1, now.Sub(due).Microseconds()))) //nolint:errcheck // it is within the bounds
}

// lost books a connection that has ended, which ends the worker: what a target drops must not go unseen.
func (w *worker) lost(err error) error {
	w.mu.Lock()
	w.counts.Lost++
	w.mu.Unlock()
	return fmt.Errorf("a connection was lost: %w", err)
}

// together sends Depth requests at once and the next when all are answered.
func (w *worker) together(c phases) error {
	for {
		now := time.Now()
		if !now.Before(c.end) {
			return nil
		}
		for range w.o.Depth {
			l := w.add()
			l.out = append(l.out, now)
		}
		for _, l := range w.links {
			if len(l.buf) == 0 {
				continue
			}
			if _, err := l.Write(l.buf); err != nil {
				return w.lost(err)
			}
			l.buf = l.buf[:0]
		}
		for _, l := range w.links {
			for _, due := range l.out {
				var got Counts
				if err := w.d.answer(l.r, &got); err != nil {
					return w.lost(err)
				}
				w.book(c, due, got)
			}
			l.out = l.out[:0]
		}
	}
}

// paced sends at times drawn beforehand, whatever becomes of the answers. Where the target is behind, or this process, a
// request goes out late and its time counts from when it was due: so no slow time is left out.
func (w *worker) paced(c phases) error {
	var readers sync.WaitGroup
	errs := make([]error, len(w.links))
	for i, l := range w.links {
		readers.Go(func() {
			if errs[i] = w.readPaced(l, c); errs[i] != nil {
				l.Close()
				for range l.due { // the sender must not wait
				}
			}
		})
	}
	every := time.Duration(float64(w.o.Conns) / w.o.Rate * float64(time.Second))
	due := time.Now()
	err := error(nil)
	for err == nil && due.Before(c.end) {
		w.sleepUntil(due)
		now := time.Now()
		for n := 0; n < maxTogether && !due.After(now); n++ {
			l := w.add()
			l.out = append(l.out, due)
			due = due.Add(time.Duration(w.rng.ExpFloat64() * float64(every)))
		}
		err = w.flushPaced()
	}
	for _, l := range w.links {
		close(l.due)
	}
	readers.Wait()
	return errors.Join(append(errs, err)...)
}

// sleepUntil waits until a request is due. The runtime's own sleep ends up to a millisecond late, as its poller counts in
// those; so the last two are slept by the system, which takes a thread: not with very many connections.
func (w *worker) sleepUntil(due time.Time) {
	const coarse, most = 2 * time.Millisecond, 256
	wait := time.Until(due)
	if w.o.Conns > most {
		time.Sleep(wait)
		return
	}
	if wait > coarse {
		time.Sleep(wait - coarse)
		wait = time.Until(due)
	}
	if wait > 0 {
		ts := syscall.NsecToTimespec(wait.Nanoseconds())
		syscall.Nanosleep(&ts, nil) //nolint:errcheck // woken early, a request goes out early by so much
	}
}

// flushPaced writes what has been added, and tells the readers what to expect.
func (w *worker) flushPaced() error {
	for _, l := range w.links {
		if len(l.buf) == 0 {
			continue
		}
		for _, due := range l.out {
			l.due <- due
		}
		l.out = l.out[:0]
		if _, err := l.Write(l.buf); err != nil {
			l.Close() // so that its reader ends, which books the loss
			return fmt.Errorf("sending: %w", err)
		}
		l.buf = l.buf[:0]
	}
	return nil
}

func (w *worker) readPaced(l *link, c phases) error {
	for due := range l.due {
		var got Counts
		if err := w.d.answer(l.r, &got); err != nil {
			return w.lost(err)
		}
		w.mu.Lock()
		w.book(c, due, got)
		w.mu.Unlock()
	}
	return nil
}
