package resp

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"mossproxy.example/mossproxy/decide"
	"mossproxy.example/mossproxy/internal/backend"
	"mossproxy.example/mossproxy/internal/engine"
	"mossproxy.example/mossproxy/internal/proto/resp"
	"mossproxy.example/mossproxy/internal/standin/standintest"
)

// cachingServer answers GET with the key as the value. What a key asks for comes once more behind the next command.
func cachingServer(t *testing.T, rejectEcho bool) (addr string) {
	t.Helper()
	ln := standintest.Listen(t)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serveCaching(c, rejectEcho)
		}
	}()
	return ln.Addr().String()
}

func serveCaching(c net.Conn, rejectEcho bool) {
	defer c.Close()
	owed := ""
	for in := resp.NewReader(bufio.NewReaderSize(c, resp.MaxLine)); ; {
		var cmd resp.Command
		if err := in.ReadCommand(&cmd); err != nil {
			return
		}
		name, key := string(cmd.Args[0]), string(cmd.Args[1])
		answer := string(resp.AppendBulk(nil, cmd.Args[1]))
		switch {
		case name == "ECHO" && rejectEcho:
			answer = "-NOPERM this user has no permissions to run the 'echo' command\r\n"
		case name == "ECHO":
		case strings.HasPrefix(key, "loading"):
			answer = "-LOADING Redis is loading the dataset in memory\r\n"
		}
		if name != "ECHO" {
			again := answer
			if answer, owed = owed+answer, ""; strings.HasSuffix(key, "twice") {
				owed = again
			}
		}
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
	}
}

// resultHandler is the handler of one attempt.
type resultHandler chan engine.Reply

func (resultHandler) Begin() (engine.Try, bool) {
	return engine.Try{DeadlineMS: 1000, WriteBy: time.Now().Add(standintest.Wait)}, true
}
func (resultHandler) Link() *engine.Link    { return nil }
func (resultHandler) Written()              {}
func (resultHandler) AnswerBegun()          {}
func (resultHandler) AnswerProgress()       {}
func (h resultHandler) Done(r engine.Reply) { h <- r }

// getter returns a function that gets a key over a pool of connections to one server.
func getter(t *testing.T, addr string) func(key string) engine.Reply {
	t.Helper()
	pool := backend.NewPool(10*time.Second, time.Second, 4)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		pool.Sweep(ctx)
	}()
	t.Cleanup(func() { stop(); <-ended })
	endpoint := pool.Endpoint(addr, Protocol{Cluster: &fakeTopology{}})
	return func(key string) engine.Reply {
		h := make(resultHandler, 1)
		got, known := endpoint.Attempt(&engine.Canceler{}, command("GET", key), h)
		if !known {
			got = standintest.Next(t, h, "reply to GET "+key)
		}
		return got
	}
}

// valueOf returns the value of a reply, "" if it has none.
func valueOf(r engine.Reply) string {
	if reply, ok := r.Content.(*resp.Reply); ok {
		return string(reply.Text)
	}
	return ""
}

// Guards against a value made for another command: a reply that came twice was taken for the reply to the next command.
func TestReplyThatComesTwiceIsNotTheReplyToTheNextCommand(t *testing.T) {
	get := getter(t, cachingServer(t, false))
	for n := range 5 {
		if got := get("a-twice"); valueOf(got) != "a-twice" {
			t.Errorf("round %d: got status %v, %q", n, got.Status, valueOf(got))
		}
		if got := get("b"); got.Status != decide.InvalidAnswer {
			t.Errorf("round %d: status %v, value %q for b; the reply to a came first", n, got.Status, valueOf(got))
		}
		if got := get("c"); valueOf(got) != "c" {
			t.Errorf("round %d: got status %v, %q", n, got.Status, valueOf(got))
		}
	}
}

// Guards against a false proof: an error reply that came twice was taken as proof that the next command had not run.
func TestErrorReplyThatComesTwiceProvesNothingOfTheNextCommand(t *testing.T) {
	get := getter(t, cachingServer(t, false))
	if got := get("loading-twice"); got.Status != decide.QueueFull {
		t.Errorf("loading: status %v", got.Status)
	}
	if got := get("b"); got.Status.NeverRan() {
		t.Errorf("status %v for a command that ran", got.Status)
	}
	if got := get("c"); valueOf(got) != "c" {
		t.Errorf("got status %v, %q", got.Status, valueOf(got))
	}
}

// A server that doesn't permit ECHO is served over connections for one command each.
func TestServerThatRejectsTheBarrierIsUsedForOneCommandAConnection(t *testing.T) {
	get := getter(t, cachingServer(t, true))
	for _, key := range []string{"a-twice", "b", "loading", "c"} {
		got := get(key)
		if key != "loading" && valueOf(got) != key || key == "loading" && got.Status != decide.QueueFull {
			t.Errorf("%s: got status %v, %q", key, got.Status, valueOf(got))
		}
	}
}
