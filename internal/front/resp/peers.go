package resp

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mossproxy.example/mossproxy/internal/engine"
	"mossproxy.example/mossproxy/internal/proto/resp"
	"mossproxy.example/mossproxy/internal/pure/slots"
	"mossproxy.example/mossproxy/internal/pure/tier"
)

const (
	// pollInterval is the time between two state polls of a peer. It is short enough that peers learn of a
	// drain before the drain's grace period ends.
	pollInterval = 150 * time.Millisecond
	// pollTimeout limits a poll, including connection setup.
	pollTimeout = 300 * time.Millisecond
)

// statesByName maps the replies to YOKE STATE to states.
var statesByName = map[string]tier.State{"serving": tier.Serving, "draining": tier.Draining, "loading": tier.Loading}

// peers holds the known state of the routers in the tier. Sessions read assignment; mu guards the other
// fields.
type peers struct {
	assignment atomic.Pointer[tier.Assignment]
	mu         sync.Mutex
	addrs      []string    // addresses of the routers, by number
	table      *tier.Table // states of the numbered routers; nil if group is set
	group      *tier.Group // routers named by the fleet view; nil if a file numbers them
}

// initNumbered sets up a tier whose routers are numbered by a configuration file and are polled.
func (p *peers) initNumbered(addrs []string, self int) {
	p.addrs, p.table = addrs, tier.New(len(addrs), self)
	p.publish()
}

// initFromView sets up a tier whose routers come from the fleet view. This router counts as loading until
// UpdateRouters reports it ready.
func (p *peers) initFromView(name, addr string) {
	p.group = tier.NewGroup(tier.Router{Name: name, Addr: addr, State: tier.Loading})
	p.publish()
}

// publish makes the current assignment visible to sessions. The caller holds mu or has exclusive access.
func (p *peers) publish() {
	var current tier.Assignment
	if p.group != nil {
		current = p.group.Assignment()
	} else {
		current = p.table.Assignment(p.addrs)
	}
	p.assignment.Store(&current)
}

// update applies a change to the table and publishes the assignment if apply reports a change. It reports
// whether there was a change; without a table it does nothing.
func (p *peers) update(apply func(*tier.Table) bool) (changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.table == nil {
		return false
	}
	if changed = apply(p.table); changed {
		p.publish()
	}
	return changed
}

// UpdateRouters takes the routers of this pool and their states from the fleet view; ready tells whether
// this router has its servers. It returns the state of this router that is to be announced to the others.
func (p *Protocol) UpdateRouters(routers []tier.Router, ready bool) tier.State {
	state := tier.Serving
	switch {
	case p.draining.Load():
		state = tier.Draining
	case !ready:
		state = tier.Loading
	}
	p.peers.mu.Lock()
	defer p.peers.mu.Unlock()
	if g := p.peers.group; g != nil {
		ownChanged := g.SetOwnState(state)
		if peersChanged := g.SetPeers(routers); ownChanged || peersChanged {
			p.peers.publish()
		}
	}
	return state
}

// PollPeers polls the state of the other routers in the tier until ctx ends and logs each change.
func (p *Protocol) PollPeers(ctx context.Context, log func(format string, args ...any)) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for i, addr := range p.peers.addrs {
		if i != p.cfg.Self {
			wg.Go(func() { p.pollPeer(ctx, i, addr, log) })
		}
	}
}

// pollPeer polls one router, reusing one connection while it works.
func (p *Protocol) pollPeer(ctx context.Context, router int, addr string, log func(format string, args ...any)) {
	poller := &statePoller{addr: addr}
	defer poller.close()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		state, err := poller.poll(ctx)
		if ctx.Err() != nil {
			return
		}
		if p.peers.update(func(t *tier.Table) bool {
			if err != nil {
				return t.RecordMissedReply(router)
			}
			return t.RecordState(router, parseState(state))
		}) {
			if err != nil {
				state = "unresponsive: " + err.Error()
			}
			log("router %d at %s is %s", router, addr, state)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// parseState parses a reply to YOKE STATE. A router of another version may not know the command and reply
// with an error; any unknown reply counts as serving, since the router is alive.
func parseState(reply string) tier.State { return statesByName[reply] }

// statePoller holds the connection that polls another router.
type statePoller struct {
	addr   string
	conn   net.Conn
	reader *bufio.Reader
}

func (a *statePoller) close() {
	if a.conn != nil {
		a.conn.Close()
		a.conn = nil
	}
}

// stateCommand is the encoded YOKE STATE command.
var stateCommand = resp.AppendCommand(nil, []byte("YOKE"), []byte("STATE"))

// poll sends one poll. If the connection was closed since the last one, it reconnects and tries once more.
func (a *statePoller) poll(ctx context.Context) (state string, err error) {
	ctx, stop := context.WithTimeout(ctx, pollTimeout)
	defer stop()
	reused := a.conn != nil
	if state, err = a.pollOnce(ctx); err != nil {
		if a.close(); reused && ctx.Err() == nil {
			if state, err = a.pollOnce(ctx); err != nil {
				a.close()
			}
		}
	}
	return state, err
}

func (a *statePoller) pollOnce(ctx context.Context) (string, error) {
	if a.conn == nil {
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", a.addr)
		if err != nil {
			return "", err
		}
		a.conn, a.reader = c, bufio.NewReaderSize(c, resp.MaxLine)
	}
	// The poller may have dropped its connection by the time the callback runs.
	conn := a.conn
	defer context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })() //nolint:errcheck // a failure shows in the read
	if _, err := a.conn.Write(stateCommand); err != nil {
		return "", err
	}
	r, err := resp.NewReader(a.reader).ReadReply()
	if err != nil {
		return "", err
	}
	if a.reader.Buffered() > 0 {
		return "", errors.New("unexpected data after the reply")
	}
	return fmt.Sprintf("%.40s", r.Text), nil
}

// stateReply answers YOKE STATE: whether clients may be sent to this router. It needs no login, as it
// reveals nothing else.
func (s *session) stateReply(e *engine.Engine) []byte {
	switch {
	case s.protocol.draining.Load():
		return resp.AppendSimple(nil, "draining")
	case !e.Ready():
		return resp.AppendSimple(nil, "loading")
	}
	return resp.AppendSimple(nil, "serving")
}

// redirect returns the error that redirects a client to the router that serves a slot, or "" if this router
// serves it. A draining router hands its slots over with ASK: the next router serves them after ASKING,
// whether or not it has learned of the drain.
func (p *Protocol) redirect(slot int, asking bool) string {
	assignment := p.peers.assignment.Load()
	partition := slot * len(assignment.ServedBy) / slots.Count
	serving := assignment.ServedBy[partition]
	if serving == assignment.Self || asking && !p.draining.Load() {
		return ""
	}
	kind := "MOVED"
	if p.draining.Load() && assignment.HandsOver[partition] {
		kind = "ASK"
	}
	return fmt.Sprintf("%s %d %s", kind, slot, assignment.Routers[serving])
}

// Drain starts handing this router's slots over to the next serving router, or stops doing so and takes
// them back.
func (p *Protocol) Drain(drain bool) {
	if p.draining.Swap(drain) == drain {
		return
	}
	state := tier.Serving
	if drain {
		state = tier.Draining
	}
	p.peers.update(func(t *tier.Table) bool { return t.RecordState(p.cfg.Self, state) })
	p.peers.mu.Lock()
	defer p.peers.mu.Unlock()
	// UpdateRouters announces serving again, as it knows whether the router is ready.
	if g := p.peers.group; g != nil && drain && g.SetOwnState(state) {
		p.peers.publish()
	}
}

// isStateCommand reports whether a command is YOKE STATE.
func isStateCommand(args [][]byte) bool {
	return len(args) == 2 && strings.EqualFold(string(args[1]), "STATE")
}
