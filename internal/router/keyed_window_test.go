package router

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"mossproxy.example/mossproxy/internal/member"
)

// keyedWindow is the window for repeats of the class "put" in testSettings.
const keyedWindow = 2 * time.Second

// fetchingServers are settings of cache servers that pass on writes by themselves, and of keyed writes that are of use until
// their deadline.
var fetchingServers = strings.NewReplacer(`"mode":"aside","originKind":1`, `"mode":"through","originKind":-1`,
	`"window":2000,"target":500`, `"window":2000,"target":2000`).Replace(testSettings)

// dedupGroup is a group of cache servers that drop repeats of a keyed write together. The first attempt of each
// write runs, and its connection is reset later; the others are read slowly.
type dedupGroup struct {
	t          *testing.T
	resetAfter time.Duration // of the connection of the first attempt
	readTime   time.Duration // that a further attempt takes to be read

	mu       sync.Mutex
	ran      time.Time   // when the last byte of the first attempt was read
	repeated []time.Time // the same of the further ones
	attempts int
	wg       sync.WaitGroup
}

// start starts a server of the group.
func (g *dedupGroup) start(id string) member.Entry {
	ln := listenLocal(g.t)
	g.wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			g.wg.Go(func() { g.serve(c.(*net.TCPConn)) })
		}
	})
	g.t.Cleanup(func() { ln.Close() })
	return box(id, ln.Addr().String())
}

// serve answers the commands of a connection until it ends.
func (g *dedupGroup) serve(c *net.TCPConn) {
	defer c.Close()
	in := bufio.NewReaderSize(c, 1024)
	for {
		line, err := in.ReadString('\n')
		fields := strings.Fields(line)
		switch {
		case err != nil:
			return
		case fields[0] == "mn":
			io.WriteString(c, "MN\r\n") //nolint:errcheck // its reader sees it
		case fields[0] == "ms":
			if !g.write(c, in, fields) {
				return
			}
		default:
			io.WriteString(c, "ERROR\r\n") //nolint:errcheck // as above
		}
	}
}

// write reads a write and answers it. Reports whether the connection goes on.
func (g *dedupGroup) write(c *net.TCPConn, in *bufio.Reader, fields []string) bool {
	length, err := strconv.Atoi(fields[2])
	if err != nil {
		g.t.Error(err)
		return false
	}
	g.mu.Lock()
	g.attempts++
	first := g.attempts == 1
	g.mu.Unlock()
	pause := time.Duration(0)
	if pieces := length/1024 + 1; !first {
		pause = g.readTime / time.Duration(pieces)
	}
	for left := length + len("\r\n"); left > 0; left -= min(left, 1024) {
		time.Sleep(pause)
		if _, err := io.CopyN(io.Discard, in, int64(min(left, 1024))); err != nil {
			return false // it never arrived whole, so it does not run
		}
	}
	g.mu.Lock()
	if now := time.Now(); first {
		g.ran = now
	} else {
		g.repeated = append(g.repeated, now)
	}
	g.mu.Unlock()
	if first {
		time.Sleep(g.resetAfter)
		c.SetLinger(0) //nolint:errcheck // the close is then a reset
		return false
	}
	fmt.Fprintf(c, "HD %s c77\r\n", strings.TrimSpace(fields[3])) //nolint:errcheck // its reader sees it
	return true
}

// writeKeyed sends a keyed write of so many bytes through a router and returns its answer, once all attempts have ended.
func (g *dedupGroup) writeKeyed(bytes int) (answer string) {
	g.t.Helper()
	d := startDirectory(g.t, full(g.start("s-0000000a"), g.start("s-0000000b"), g.start("s-0000000c")))
	control := NewControl(1)
	r := startSetup(g.t, Setup{Config: configOf(g.t, d.Listener.Addr().String(), member.List{}, fetchingServers), Control: control})
	until(g.t, "the router to be ready", control.Ready)
	c := dial(g.t, r.addr)
	answer = c.ask(fmt.Sprintf("ms 7f3a9c21e0b4d655 %d Oa1 Pc=put,t=t,d=2000,k=5c0f6e1a\r\n%s", bytes, strings.Repeat("x", bytes)))
	time.Sleep(g.readTime) // for what is still in the buffers of a server
	for _, rule := range control.Counts().Rules {
		if rule.Broken > 0 {
			g.t.Errorf("the guard counts %d violations of %v", rule.Broken, rule.Rule)
		}
	}
	return answer
}

// Guards against a keyed write that runs twice, as its repeat begins within the window in which servers drop it, and is read
// whole behind it.
func TestKeyedRepeatArrivesWithinItsWindow(t *testing.T) {
	for _, c := range []struct {
		bytes                int
		readTime, resetAfter time.Duration
	}{
		{16 << 10, 500 * time.Millisecond, 1600 * time.Millisecond},
		{16 << 10, time.Second, 1200 * time.Millisecond},
		{16 << 10, 3 * time.Second, 700 * time.Millisecond},
		{8 << 10, 1500 * time.Millisecond, 900 * time.Millisecond},
		{60000, time.Second, 1300 * time.Millisecond},
		{60000, 2500 * time.Millisecond, 300 * time.Millisecond},
	} {
		t.Run(fmt.Sprintf("%d bytes over %v, reset after %v", c.bytes, c.readTime, c.resetAfter), func(t *testing.T) {
			t.Parallel()
			g := &dedupGroup{t: t, resetAfter: c.resetAfter, readTime: c.readTime}
			answer := g.writeKeyed(c.bytes)
			g.mu.Lock()
			defer g.mu.Unlock()
			if g.ran.IsZero() {
				t.Fatalf("no attempt ran, which tests nothing; answer %q", answer)
			}
			for _, at := range g.repeated {
				if after := at.Sub(g.ran); after > keyedWindow+socketSlack {
					t.Errorf("a repeat has come %v after the attempt that ran, and runs again; answer %q", after.Round(time.Millisecond), answer)
				}
			}
			t.Logf("%d attempts, answer %q", g.attempts, answer)
		})
	}
}

// Guards against keyed writes that are not repeated any more though there is time enough.
func TestKeyedRepeatIsSentWhileThereIsTime(t *testing.T) {
	for _, c := range []struct {
		bytes      int
		resetAfter time.Duration
	}{{5, 700 * time.Millisecond}, {1000, 700 * time.Millisecond}, {4 << 10, 200 * time.Millisecond}} {
		t.Run(fmt.Sprintf("%d bytes, reset after %v", c.bytes, c.resetAfter), func(t *testing.T) {
			t.Parallel()
			g := &dedupGroup{t: t, resetAfter: c.resetAfter}
			if answer := g.writeKeyed(c.bytes); answer != "HD Oa1 c77" || len(g.repeated) != 1 {
				t.Errorf("%d repeats, answer %q", len(g.repeated), answer)
			}
		})
	}
}
