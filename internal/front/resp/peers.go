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
	// askEvery is the time between two questions to a peer. A router that drains must be known before its grace is over.
	askEvery = 150 * time.Millisecond
	// askWait is how long the answer is waited for, connecting included.
	askWait = 300 * time.Millisecond
)

// states are the words of YOKE STATE.
var states = map[string]tier.State{"serving": tier.Serving, "draining": tier.Draining, "loading": tier.Loading}

// peers is what is known of the other routers. Sessions read now; the rest is guarded by mu.
type peers struct {
	now   atomic.Pointer[tier.Assignment]
	mu    sync.Mutex
	addrs []string    // of the routers by number
	table *tier.Table // of those; nil where group is not
	group *tier.Group // of those that the view of the fleet names; nil where a file numbers them
}

// byNumber has routers asked that a file numbers.
func (p *peers) byNumber(addrs []string, me int) {
	p.addrs, p.table = addrs, tier.New(len(addrs), me)
	p.publish()
}

// byView has a view of the fleet name the routers. This one may not be asked before Among says that it may.
func (p *peers) byView(me, addr string) {
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
	p.now.Store(&s)
}

func (p *peers) change(do func(*tier.Table) bool) (news bool) {
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

// Among takes from a view of the fleet which routers are heard and what they say of this pool, and from ready whether this one has its
// servers. It returns the word of this one's that the others are to hear.
func (p *Protocol) Among(rs []tier.Router, ready bool) tier.State {
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

// Follow asks the other routers of the tier how they are until ctx ends. log gets each change.
func (p *Protocol) Follow(ctx context.Context, log func(format string, args ...any)) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for i, addr := range p.peers.addrs {
		if i != p.cfg.Me {
			wg.Go(func() { p.follow(ctx, i, addr, log) })
		}
	}
}

// follow asks one router, over one connection as long as that holds.
func (p *Protocol) follow(ctx context.Context, router int, addr string, log func(format string, args ...any)) {
	a := &asker{addr: addr}
	defer a.close()
	tick := time.NewTicker(askEvery)
	defer tick.Stop()
	for {
		word, err := a.ask(ctx)
		if ctx.Err() != nil {
			return
		}
		if p.peers.change(func(t *tier.Table) bool {
			if err != nil {
				return t.RecordMissedReply(router)
			}
			return t.RecordState(router, stateOf(word))
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

// stateOf reads an answer to YOKE STATE. One of another version may know no such question, and lives.
func stateOf(word string) tier.State { return states[word] }

// asker holds a connection to another router.
type asker struct {
	addr string
	conn net.Conn
	in   *bufio.Reader
}

func (a *asker) close() {
	if a.conn != nil {
		a.conn.Close()
		a.conn = nil
	}
}

// question is YOKE STATE.
var question = resp.AppendCommand(nil, []byte("YOKE"), []byte("STATE"))

// ask asks once. A connection that was closed since the last time is opened anew.
func (a *asker) ask(ctx context.Context) (word string, err error) {
	ctx, stop := context.WithTimeout(ctx, askWait)
	defer stop()
	kept := a.conn != nil
	if word, err = a.once(ctx); err != nil {
		if a.close(); kept && ctx.Err() == nil {
			if word, err = a.once(ctx); err != nil {
				a.close()
			}
		}
	}
	return word, err
}

func (a *asker) once(ctx context.Context) (string, error) {
	if a.conn == nil {
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", a.addr)
		if err != nil {
			return "", err
		}
		a.conn, a.in = c, bufio.NewReaderSize(c, resp.MaxLine)
	}
	conn := a.conn                                                               // by the time it runs, the asker may have let it go
	defer context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })() //nolint:errcheck // the read tells
	if _, err := a.conn.Write(question); err != nil {
		return "", err
	}
	r, err := resp.NewReader(a.in).ReadReply()
	if err != nil {
		return "", err
	}
	if a.in.Buffered() > 0 {
		return "", errors.New("an answer without a question")
	}
	return fmt.Sprintf("%.40s", r.Text), nil
}

// state answers YOKE STATE: whether clients may be sent here. No login is asked for, as it tells nothing else.
func (s *session) state(e *engine.Engine) []byte {
	switch {
	case s.p.draining.Load():
		return resp.AppendSimple(nil, "draining")
	case !e.Ready():
		return resp.AppendSimple(nil, "loading")
	}
	return resp.AppendSimple(nil, "serving")
}

// elsewhere is the error that sends a client to the router that serves a slot, "" where it is this one. A router that
// drains hands its slots on by ASK: the next one serves them by leave, whether it has heard of the drain or not.
func (p *Protocol) elsewhere(slot int, asking bool) string {
	now := p.peers.now.Load()
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
	p.peers.change(func(t *tier.Table) bool { return t.RecordState(p.cfg.Me, state) })
	p.peers.mu.Lock()
	defer p.peers.mu.Unlock()
	if g := p.peers.group; g != nil && yes && g.SetOwnState(state) { // that it serves again Among says, which knows whether it can
		p.peers.publish()
	}
}

// isState says whether a command is YOKE STATE.
func isState(args [][]byte) bool {
	return len(args) == 2 && strings.EqualFold(string(args[1]), "STATE")
}
