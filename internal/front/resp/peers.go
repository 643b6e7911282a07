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
	// pollInterval is the time between two questions to a peer. A router that drains must be known before its grace is over.
	pollInterval = 150 * time.Millisecond
	// pollTimeout is how long the answer is waited for, connecting included.
	pollTimeout = 300 * time.Millisecond
)

// statesByName are the words of YOKE STATE.
var statesByName = map[string]tier.State{"serving": tier.Serving, "draining": tier.Draining, "loading": tier.Loading}

// peers is what is known of the other routers. Sessions read now; the rest is guarded by mu.
type peers struct {
	assignment atomic.Pointer[tier.Assignment]
	mu         sync.Mutex
	addrs      []string    // of the routers by number
	table      *tier.Table // of those; nil where group is not
	group      *tier.Group // of those that the view of the fleet names; nil where a file numbers them
}

// initNumbered has routers asked that a file numbers.
func (p *peers) initNumbered(addrs []string, me int) {
	p.addrs, p.table = addrs, tier.New(len(addrs), me)
	p.publish()
}

// initFromView has a view of the fleet name the routers. This one may not be asked before Among says that it may.
func (p *peers) initFromView(me, addr string) {
	p.group = tier.NewGroup(tier.Router{Name: me, Addr: addr, State: tier.Loading})
	p.publish()
}

// publish makes what is known so to sessions. The caller holds mu, or is alone.
func (p *peers) publish() {
	var s tier.Assignment
	if p.group != nil {
		s = p.group.Assignment()
	} else {
		s = p.table.Assignment(p.addrs)
	}
	p.assignment.Store(&s)
}

func (p *peers) update(do func(*tier.Table) bool) (news bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.table == nil {
		return false
	}
	if news = do(p.table); news {
		p.publish()
	}
	return news
}

// UpdateRouters takes from a view of the fleet which routers are heard and what they say of this pool, and from ready whether this one has its
// servers. It returns the word of this one's that the others are to hear.
func (p *Protocol) UpdateRouters(rs []tier.Router, ready bool) tier.State {
	word := tier.Serving
	switch {
	case p.draining.Load():
		word = tier.Draining
	case !ready:
		word = tier.Loading
	}
	p.peers.mu.Lock()
	defer p.peers.mu.Unlock()
	if g := p.peers.group; g != nil {
		said := g.SetOwnState(word)
		if heard := g.SetPeers(rs); said || heard {
			p.peers.publish()
		}
	}
	return word
}

// PollPeers asks the other routers of the tier how they are until ctx ends. log gets each change.
func (p *Protocol) PollPeers(ctx context.Context, log func(format string, args ...any)) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for i, addr := range p.peers.addrs {
		if i != p.cfg.Self {
			wg.Go(func() { p.pollPeer(ctx, i, addr, log) })
		}
	}
}

// pollPeer asks one router, over one connection as long as that holds.
func (p *Protocol) pollPeer(ctx context.Context, router int, addr string, log func(format string, args ...any)) {
	a := &statePoller{addr: addr}
	defer a.close()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		word, err := a.poll(ctx)
		if ctx.Err() != nil {
			return
		}
		if p.peers.update(func(t *tier.Table) bool {
			if err != nil {
				return t.RecordMissedReply(router)
			}
			return t.RecordState(router, parseState(word))
		}) {
			if err != nil {
				word = "silent: " + err.Error()
			}
			log("router %d at %s is %s", router, addr, word)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// parseState reads an answer to YOKE STATE. One of another version may know no such question, and lives.
func parseState(word string) tier.State { return statesByName[word] }

// statePoller holds a connection to another router.
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

// stateCommand is YOKE STATE.
var stateCommand = resp.AppendCommand(nil, []byte("YOKE"), []byte("STATE"))

// poll asks once. A connection that was closed since the last time is opened anew.
func (a *statePoller) poll(ctx context.Context) (word string, err error) {
	ctx, stop := context.WithTimeout(ctx, pollTimeout)
	defer stop()
	kept := a.conn != nil
	if word, err = a.pollOnce(ctx); err != nil {
		if a.close(); kept && ctx.Err() == nil {
			if word, err = a.pollOnce(ctx); err != nil {
				a.close()
			}
		}
	}
	return word, err
}

func (a *statePoller) pollOnce(ctx context.Context) (string, error) {
	if a.conn == nil {
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", a.addr)
		if err != nil {
			return "", err
		}
		a.conn, a.reader = c, bufio.NewReaderSize(c, resp.MaxLine)
	}
	conn := a.conn                                                               // by the time it runs, the asker may have let it go
	defer context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })() //nolint:errcheck // the read tells
	if _, err := a.conn.Write(stateCommand); err != nil {
		return "", err
	}
	r, err := resp.NewReader(a.reader).ReadReply()
	if err != nil {
		return "", err
	}
	if a.reader.Buffered() > 0 {
		return "", errors.New("an answer without a question")
	}
	return fmt.Sprintf("%.40s", r.Text), nil
}

// stateReply answers YOKE STATE: whether clients may be sent here. No login is asked for, as it tells nothing else.
func (s *session) stateReply(e *engine.Engine) []byte {
	switch {
	case s.protocol.draining.Load():
		return resp.AppendSimple(nil, "draining")
	case !e.Ready():
		return resp.AppendSimple(nil, "loading")
	}
	return resp.AppendSimple(nil, "serving")
}

// redirect is the error that sends a client to the router that serves a slot, "" where it is this one. A router that
// drains hands its slots on by ASK: the next one serves them by leave, whether it has heard of the drain or not.
func (p *Protocol) redirect(slot int, asking bool) string {
	now := p.peers.assignment.Load()
	home := slot * len(now.ServedBy) / slots.Count
	at := now.ServedBy[home]
	if at == now.Self || asking && !p.draining.Load() {
		return ""
	}
	word := "MOVED"
	if p.draining.Load() && now.HandsOver[home] {
		word = "ASK"
	}
	return fmt.Sprintf("%s %d %s", word, slot, now.Routers[at])
}

// Drain hands this router's slots on from now on, to the next router that serves; or takes them again.
func (p *Protocol) Drain(yes bool) {
	if p.draining.Swap(yes) == yes {
		return
	}
	state := tier.Serving
	if yes {
		state = tier.Draining
	}
	p.peers.update(func(t *tier.Table) bool { return t.RecordState(p.cfg.Self, state) })
	p.peers.mu.Lock()
	defer p.peers.mu.Unlock()
	if g := p.peers.group; g != nil && yes && g.SetOwnState(state) { // that it serves again Among says, which knows whether it can
		p.peers.publish()
	}
}

// isStateCommand says whether a command is YOKE STATE.
func isStateCommand(args [][]byte) bool {
	return len(args) == 2 && strings.EqualFold(string(args[1]), "STATE")
}
