package fleettest

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"mossproxy.example/mossproxy/internal/proto/resp"
	"mossproxy.example/mossproxy/internal/pure/slots"
	"mossproxy.example/mossproxy/internal/standin"
)

// doors has a rig's routers stand in front of a RESP cluster, whose clients find all of them by the view.
func doors(t *testing.T, o *Options) {
	t.Helper()
	c, err := standin.StartCluster(standin.ClusterConfig{Primaries: 3, Seed: 5, Keep: 1 << 20})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	o.Config = func(_ int, n *Config) {
		n.Advertised = true // clients are sent to where the others reach it
		n.Pool = fmt.Sprintf("protocol = \"resp\"\n[pool.resp]\nseeds = [%q]\nread_class = \"read\"\nwrite_class = \"write\"\npeers = [\"fleet\"]\n", c.Nodes()[0].Addr())
		n.Extra = "[[class]]\nname = \"read\"\neffect = \"repeatable\"\naim_ms = 500\ndeadline_ms = 2000\n" +
			"[[class]]\nname = \"write\"\neffect = \"once\"\naim_ms = 500\ndeadline_ms = 1000\n"
	}
}

// doored makes such a rig.
func doored(t *testing.T, routers int) *Rig {
	t.Helper()
	return rigged(t, routers, func(o *Options) { doors(t, o) })
}

// ask sends one command to a router and gives the reply.
func ask(addr string, args ...string) (r resp.Reply, err error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return r, err
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(3 * time.Second)); err != nil {
		return r, err
	}
	var words [][]byte
	for _, a := range args {
		words = append(words, []byte(a))
	}
	if _, err := c.Write(resp.AppendCommand(nil, words...)); err != nil {
		return r, err
	}
	return resp.NewReader(bufio.NewReaderSize(c, resp.MaxLine)).ReadReply()
}

// slotMap is who serves each slot, as a router tells its clients.
func slotMap(addr string) (*[slots.Count]string, error) {
	r, err := ask(addr, "CLUSTER", "SLOTS")
	if err != nil {
		return nil, err
	}
	m := &[slots.Count]string{}
	for _, run := range r.Items {
		var from, to int
		if _, err := fmt.Sscan(string(run.Items[0].Text)+" "+string(run.Items[1].Text), &from, &to); err != nil || from < 0 || to >= slots.Count {
			return nil, fmt.Errorf("a run %s to %s", run.Items[0].Text, run.Items[1].Text)
		}
		for s := from; s <= to; s++ {
			m[s] = net.JoinHostPort(string(run.Items[2].Items[0].Text), string(run.Items[2].Items[1].Text))
		}
	}
	return m, nil
}

// parted waits until some nodes all tell their clients the same, and that each of them serves a part; then one redirection leads anywhere.
func (r *Rig) parted(t *testing.T, why string, nodes ...int) map[string]int {
	t.Helper()
	var first *[slots.Count]string
	took, err := r.Until(slow, func() error {
		first = nil
		for _, i := range nodes {
			m, err := slotMap(r.Nodes[i].Addr())
			if err != nil {
				return fmt.Errorf("%s: %w", r.Nodes[i].Name(), err)
			}
			if first == nil {
				first = m
			}
			if *m != *first {
				return fmt.Errorf("%s and %s tell their clients different things", r.Nodes[i].Name(), r.Nodes[nodes[0]].Name())
			}
		}
		have := map[string]bool{}
		for _, a := range first {
			have[a] = true
		}
		for _, i := range nodes {
			if !have[r.Nodes[i].Addr()] {
				return fmt.Errorf("%s has no part", r.Nodes[i].Name())
			}
		}
		if len(have) != len(nodes) {
			return fmt.Errorf("%d routers have parts, %d are there", len(have), len(nodes))
		}
		return nil
	})
	if err != nil {
		t.Fatalf("%s: %v", why, err)
	}
	t.Logf("%s: one map after %v", why, took.Round(time.Millisecond))
	parts := map[string]int{}
	for _, a := range first {
		parts[a]++
	}
	r.served(t, why, nodes...)
	return parts
}

// answered asks as clients do: by where it is sent on to, and again after a refusal, which is harmless and may come from either on a machine
// that is full.
func (r *Rig) answered(at string, cmd ...string) (got resp.Reply, err error) {
	_, late := r.Until(time.Second, func() error {
		got, err = ask(at, cmd...)
		words := strings.Fields(string(got.Text))
		switch {
		case err != nil || !got.IsError() || len(words) == 0:
			return nil
		case words[0] == "MOVED" && len(words) == 3:
			at = words[2]
		case words[0] != "TRYAGAIN":
			return nil
		}
		return fmt.Errorf("%s: %s", at, got.Text)
	})
	return got, errors.Join(err, late)
}

// served writes and reads keys by way of some routers: each answers, or sends the client to one that does.
func (r *Rig) served(t *testing.T, why string, nodes ...int) {
	t.Helper()
	for k := range 40 {
		key := fmt.Sprint("key-", k)
		at := r.Nodes[nodes[k%len(nodes)]].Addr()
		for _, cmd := range [][]string{{"SET", key, fmt.Sprint(why, k)}, {"GET", key}} {
			got, err := r.answered(at, cmd...)
			if err != nil || got.IsError() {
				t.Fatalf("%s: %v by %s: %q, %v", why, cmd, at, got.Text, err)
			}
			if cmd[0] == "GET" && string(got.Text) != fmt.Sprint(why, k) {
				t.Errorf("%s: %s holds %q", why, key, got.Text)
			}
		}
	}
}

// Clients of a RESP pool are told of the routers by the view, whatever becomes of these: nobody has a list of addresses.
func TestRouterMapsFollowTheView(t *testing.T) {
	r := doored(t, 6)
	up(r, t)
	parts := r.parted(t, "start", r.All()...)
	for addr, n := range parts {
		if most := slots.Count * 3 / 12; n > most {
			t.Errorf("%s has %d slots; %d are the most", addr, n, most)
		}
	}

	r.Nodes[2].Kill()
	r.parted(t, "one is killed", 0, 1, 3, 4, 5)

	r.Nodes[3].Stop()
	r.parted(t, "one hangs", 0, 1, 4, 5)
	r.Nodes[3].Continue()
	r.parted(t, "it goes on", 0, 1, 3, 4, 5)

	r.must(t, r.Nodes[2].Start())
	r.parted(t, "one comes", r.All()...)
}

// Halves that can't speak each serve all slots by themselves, and have one map again once they can.
func TestRouterMapsOfHalves(t *testing.T) {
	r := doored(t, 6)
	up(r, t)
	r.parted(t, "start", r.All()...)
	r.Split(func(i int) int { return i % 2 })
	r.parted(t, "a half", 0, 2, 4)
	r.parted(t, "the other half", 1, 3, 5)
	r.Heal()
	r.parted(t, "healed", r.All()...)
}

// A router that ends has its slots taken over before it is gone: it sends its clients on, and the others no longer send any to it.
func TestRouterThatDrainsIsLeftInTime(t *testing.T) {
	r := doored(t, 5)
	up(r, t)
	r.parted(t, "start", r.All()...)
	leaving := r.Nodes[1].Addr()
	key := ""
	m, err := slotMap(leaving)
	r.must(t, err)
	for k := 0; key == ""; k++ {
		if c := fmt.Sprint("mine-", k); m[slots.ForKey([]byte(c))] == leaving {
			key = c
		}
	}
	c, err := net.Dial("tcp", leaving)
	r.must(t, err)
	defer c.Close()
	in := bufio.NewReaderSize(c, resp.MaxLine)
	get := func() (string, error) {
		if _, err := c.Write(resp.AppendCommand(nil, []byte("GET"), []byte(key))); err != nil {
			return "", err
		}
		got, err := resp.NewReader(in).ReadReply()
		return string(got.Text), err
	}
	if got, err := get(); err != nil || strings.HasPrefix(got, "MOVED") {
		t.Fatalf("its own key: %q, %v", got, err)
	}
	ended := make(chan struct{})
	go func() { defer close(ended); r.Nodes[1].Term() }()
	var asked bool
	for {
		got, err := get()
		if err != nil {
			break // the grace is over: connections are closed between two commands
		}
		if words := strings.Fields(got); len(words) == 3 && words[0] == "ASK" && words[2] != leaving {
			asked = true
		} else if asked {
			t.Errorf("while it drains: %q", got)
		}
	}
	if !asked {
		t.Error("it never sent its clients on")
	}
	others := []int{0, 2, 3, 4}
	for _, i := range others { // at the end of its grace, not after a failure of its was seen
		m, err := slotMap(r.Nodes[i].Addr())
		if err != nil || slices.Contains(m[:], leaving) {
			t.Errorf("%s still sends clients to the one that has drained (%v)", r.Nodes[i].Name(), err)
		}
	}
	<-ended
	r.parted(t, "it is gone", others...)
}
