package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Bounds of the rule on sending clients away, in seconds after the operators' call.
const (
	emptyBy = 4.0 // from then on no connection may be held
	lastAsk = 2.0 // that is idle, or has a request that came within this time

	// A request that was written so long before the end of its connection has not crossed that.
	noCrossing = 0.5
)

// sent is a request that a client has sent.
type sent struct {
	at, answered float64 // answered 0 = not yet
	id           string
}

// pipeline is a client connection on which requests are sent before the earlier ones are answered.
type pipeline struct {
	r    *run
	conn net.Conn

	mu     sync.Mutex
	sent   []sent
	ended  float64 // when the router ended the connection; 0 = it is open
	closed chan struct{}
}

func (r *run) startPipeline(addr string) (*pipeline, error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	p := &pipeline{r: r, conn: c, closed: make(chan struct{})}
	go p.read()
	return p, nil
}

// poll sends a request that the origin has to run. It reports whether the connection is open.
func (p *pipeline) poll() bool {
	select {
	case <-p.closed:
		return false
	default:
	}
	id := newID()
	p.mu.Lock()
	p.sent = append(p.sent, sent{at: p.r.now(), id: id})
	p.mu.Unlock()
	p.r.note("client", id+" sent: ms (order-poll)")
	_, err := fmt.Fprintf(p.conn, "ms %s 5 O%s Pc=order-poll,t=acme,d=1500\r\nhello\r\n", id, id)
	return err == nil
}

// read reads the answers, which come in the order of the requests.
func (p *pipeline) read() {
	defer close(p.closed)
	in := bufio.NewReader(p.conn)
	for i := 0; ; i++ {
		answer, err := readAnswer(in)
		now := p.r.now()
		p.mu.Lock()
		if err != nil {
			p.ended = now
			p.mu.Unlock()
			p.r.note("client", "the connection has ended: "+err.Error())
			return
		}
		p.sent[i].answered = now
		id := p.sent[i].id
		p.mu.Unlock()
		p.r.note("client", id+" answered: "+answer)
	}
}

// operatorCall makes a call at the operators' address and returns its status.
func (r *run) operatorCall(method, addr, path string) (int, error) {
	q, err := http.NewRequest(method, "http://"+addr+path, nil)
	if err != nil {
		return 0, err
	}
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	r.note("operator", fmt.Sprintf("%s %s: %d %s", method, path, resp.StatusCode, strings.TrimSpace(string(text))))
	return resp.StatusCode, nil
}

// heldInDrain: operators take the router out of service while the origin answers nothing. A client goes on using its
// connection as long as that stays open.
func heldInDrain(r *run) error {
	s, err := r.startCache("s-00000001")
	if err != nil {
		return err
	}
	o, err := r.startOrigin()
	if err != nil {
		return err
	}
	list := []entry{s.entry(), o.entry()}
	d, err := r.startDiscovery(list)
	if err != nil {
		return err
	}
	p, err := r.startRouter("n0", d.addr, settings("push", 2500), list, true)
	if err != nil {
		return err
	}
	client, err := r.startPipeline(p.listen)
	if err != nil {
		return err
	}
	begin := r.now()
	called := 0.0
	for client.poll() {
		now := r.now()
		if called == 0 && now-begin > 3 {
			if r.trouble {
				o.setHangs(true)
				r.note("origin", "hangs")
			}
			time.Sleep(50 * time.Millisecond)
			called = r.now()
			if status, err := r.operatorCall(http.MethodPost, p.operator, "/control/out-of-service"); err != nil || status/100 != 2 {
				return fmt.Errorf("out-of-service: status %d: %v", status, err)
			}
		}
		if called > 0 && now-called > 6 {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	if called == 0 {
		return errors.New("the connection ended before the operators' call")
	}
	time.Sleep(time.Duration(max(0, called+emptyBy+2-r.now()) * float64(time.Second)))

	check := called + emptyBy + socketSlack
	client.mu.Lock()
	defer client.mu.Unlock()
	if client.ended > 0 && client.ended <= check+measureSlack {
		return nil
	}
	var broken []string
	for _, q := range client.sent {
		if q.at > check+measureSlack-lastAsk && q.at < check && q.answered > check+measureSlack {
			broken = append(broken, fmt.Sprintf("%.2f s after the call the connection was still held, with a request open from %.2f s before that (id %s, answered %.2f s after the call)",
				check-called, check-q.at, q.id, q.answered-called))
			break
		}
	}
	lost, longest := 0, 0.0
	for _, q := range client.sent {
		if client.ended > 0 && q.answered == 0 && q.at < client.ended-noCrossing {
			lost, longest = lost+1, max(longest, client.ended-q.at)
		}
	}
	if lost > 0 {
		broken = append(broken, fmt.Sprintf("%d requests got no answer though the connection stayed open for up to %.2f s after them; it ended %.2f s after the call", lost, longest, client.ended-called))
	}
	if len(broken) > 0 {
		return fmt.Errorf("%w: lost: %s", errBroken, strings.Join(broken, "; and "))
	}
	return nil
}
