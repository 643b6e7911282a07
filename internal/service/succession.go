package service

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"mossproxy.example/mossproxy/internal/config"
	"mossproxy.example/mossproxy/internal/fleet"
	"mossproxy.example/mossproxy/internal/handover"
	"mossproxy.example/mossproxy/internal/router"
)

// lastWordWithin is how long a process that ends waits for its last word to be out.
const lastWordWithin = 300 * time.Millisecond

// sockets are a router's, in the order in which its configuration names them: of the process before, as far as that has handed them over,
// or opened here.
type sockets struct {
	taken  *handover.Takeover // nil = no process was there
	unused []net.Listener
	all    []syscall.Conn // to hand on
}

// sameAs is what two processes of one router have in common: its name and where it listens.
func sameAs(f *config.File) string {
	parts := []string{f.Name, f.Operator}
	for _, p := range f.Pools {
		parts = append(parts, p.Listen)
		if p.RESP != nil {
			parts = append(parts, p.RESP.Meta)
		}
		if p.TLS != nil {
			parts = append(parts, p.TLS.Listen)
		}
	}
	if f.Fleet != nil {
		parts = append(parts, f.Fleet.Listen)
	}
	return strings.Join(parts, " ")
}

// counted are the sockets that a configuration makes.
func counted(f *config.File) (listeners, packets int) {
	if f.Operator != "" {
		listeners++
	}
	for _, p := range f.Pools {
		listeners++
		if p.RESP != nil && p.RESP.Meta != "" {
			listeners++
		}
		if p.TLS != nil {
			listeners++
		}
	}
	if f.Fleet != nil {
		listeners, packets = listeners+1, 1
	}
	return listeners, packets
}

// takeSockets takes over from the process that is there, if the configuration names a way and there is one.
func takeSockets(f *config.File) *sockets {
	s := &sockets{}
	if f.Handover == "" {
		return s
	}
	listeners, packets := counted(f)
	taken, err := handover.TakeOverAll(f.Handover, sameAs(f), listeners, packets, handover.ExchangeTimeout)
	switch {
	case err == nil:
		slog.Info("handover: the sockets are taken over", "part", taken.Share)
		s.taken, s.unused = taken, taken.Listeners
	case errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED): // nobody is there
	default:
		slog.Warn("handover: this process listens by itself", "why", err)
	}
	return s
}

// listen is the next listener.
func (s *sockets) listen(addr string) (net.Listener, error) {
	var ln net.Listener
	var err error
	if len(s.unused) > 0 {
		ln, s.unused = s.unused[0], s.unused[1:]
	} else if ln, err = net.Listen("tcp", addr); err != nil {
		return nil, err
	}
	if sc, ok := ln.(syscall.Conn); ok {
		s.all = append(s.all, sc)
	}
	return ln, nil
}

// fleet are the sockets of the fleet that were taken over; nil where it listens by itself.
func (s *sockets) fleet() (*fleet.Sockets, error) {
	if s.taken == nil {
		return nil, nil
	}
	ln, err := s.listen("")
	if err != nil {
		return nil, err
	}
	streams, ok := ln.(*net.TCPListener)
	datagrams, too := s.taken.PacketConns[0].(*net.UDPConn)
	if !ok || !too {
		return nil, fmt.Errorf("handover: the fleet's sockets are %T and %T", ln, s.taken.PacketConns[0])
	}
	return &fleet.Sockets{Datagrams: datagrams, Streams: streams}, nil
}

// close lets go of what was taken over and not used.
func (s *sockets) close() {
	if s.taken == nil {
		return
	}
	for _, ln := range s.unused {
		ln.Close()
	}
	for _, pc := range s.taken.PacketConns {
		pc.Close()
	}
	s.taken.Close()
}

// tidings are what a process tells the one that takes over from it, for as long as it is the fleet's member: what follows of its view, and at
// the end the view itself. Of a time only what is left goes over.
type tidings struct {
	Tier    *router.Tier         `json:"tier,omitempty"`
	LeftMS  float64              `json:"left_ms"` // of Tier.Until; below 0 = for ever
	Members []router.Member      `json:"members"`
	Last    *fleet.HandoverState `json:"last,omitempty"`
}

// news keep the latest tidings. Its methods may be called from any goroutine.
type news struct {
	mu      sync.Mutex
	now     tidings
	changed chan struct{} // closed at each change
	told    chan struct{} // closed when the last word is out
	once    sync.Once
}

func newNews() *news { return &news{changed: make(chan struct{}), told: make(chan struct{})} }

// change has the next process hear something else.
func (n *news) change(do func(*tidings)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	do(&n.now)
	close(n.changed)
	n.changed = make(chan struct{})
}

// tell is handover.Grant's Words.
func (n *news) tell(ctx context.Context, say func([]byte) error) {
	for {
		n.mu.Lock()
		now, changed := n.now, n.changed
		n.mu.Unlock()
		if now.LeftMS = -1; now.Tier != nil && !now.Tier.Until.IsZero() {
			now.LeftMS = max(0, float64(time.Until(now.Tier.Until))/float64(time.Millisecond))
		}
		b, err := json.Marshal(now)
		if err == nil {
			err = say(b)
		}
		if err != nil {
			slog.Warn("handover: the next process does not hear of the fleet", "why", err)
			return
		}
		if now.Last != nil {
			n.once.Do(func() { close(n.told) })
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// end tells the last word, and waits until it is out.
func (n *news) end(h *fleet.HandoverState) {
	if h == nil {
		return
	}
	n.change(func(t *tidings) { t.Last = h })
	select {
	case <-n.told:
	case <-time.After(lastWordWithin):
		slog.Warn("handover: the next process has not heard the last word")
	}
}

// heir is this process as one that takes over: it hears the tidings of the one before, until that has ended.
type heir struct {
	handed chan *fleet.HandoverState // its last word, nil = it had none
}

// follow passes on the tidings of the process before.
func (h *heir) follow(words <-chan []byte, tier func(router.Tier), members func([]router.Member)) {
	var last *fleet.HandoverState
	for b := range words {
		var t tidings
		if err := json.Unmarshal(b, &t); err != nil {
			slog.Warn("handover: a word is not understood", "why", err)
			continue
		}
		if t.Tier != nil && t.Tier.Routers > 0 && t.Tier.Parts >= 1 && t.Tier.Then >= 1 {
			now := *t.Tier
			if now.Until = (time.Time{}); t.LeftMS >= 0 {
				now.Until = time.Now().Add(time.Duration(t.LeftMS * float64(time.Millisecond)))
			}
			tier(now)
		}
		if members(t.Members); t.Last != nil {
			last = t.Last
			break
		}
	}
	h.handed <- last
}

// before is fleet.Config's.
func (h *heir) before(ctx context.Context) (*fleet.HandoverState, error) {
	select {
	case last := <-h.handed:
		return last, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// bequeather is this process as one that may be taken over from: it ends by itself once another takes clients.
type bequeather struct {
	*router.Control
	s    *Service
	stop func()
}

// Yield is handover.Predecessor's.
func (b bequeather) Yield(ctx context.Context) (g handover.Grant, err error) {
	if g.Share, err = b.Control.Yield(ctx); err == nil && b.s.fleet != nil {
		g.StreamUpdates = b.s.news.tell
	}
	return g, err
}

// Followed is handover.Predecessor's.
func (b bequeather) Followed() {
	b.handOn(true)
	b.Control.Followed()
	b.stop()
}

// Regain is handover.Predecessor's.
func (b bequeather) Regain() {
	b.Control.Regain()
	b.handOn(false)
}

func (b bequeather) handOn(yes bool) {
	b.s.doors.Freeze(yes)
	if b.s.fleet != nil {
		b.s.fleet.SetHandover(yes)
	}
}

// succeed takes the place of the process before once this one serves, and then gives way to the next one that comes, until ctx ends. stop
// ends this process.
func (s *Service) succeed(ctx context.Context, stop func()) {
	taken := s.sockets.taken
	if taken != nil {
		defer taken.Close()
	}
	if s.control.ServesWithin(ctx) != nil {
		return
	}
	if taken != nil && !outlive(ctx, s.control, taken) {
		return
	}
	if err := handover.Serve(ctx, s.file.Handover, sameAs(s.file), s.sockets.all, bequeather{s.control, s, stop}); err != nil {
		slog.Warn("handover: nobody can take over from this process", "why", err)
	}
}
