package resp

import (
	"bufio"
	"io"
	"strings"
	"testing"
	"time"

	"mossproxy.example/mossproxy/decide"
	"mossproxy.example/mossproxy/internal/backend"
	"mossproxy.example/mossproxy/internal/engine"
	"mossproxy.example/mossproxy/internal/proto/resp"
	"mossproxy.example/mossproxy/internal/standin/standintest"
)

// patientHandler is the handler of an attempt whose client waits for long.
type patientHandler struct{ resultHandler }

func (patientHandler) Begin() (engine.Try, bool) {
	by := time.Now().Add(standintest.Wait)
	return engine.Try{DeadlineMS: 1000, WriteBy: by, AnswerBy: by}, true
}

// Guards against replies that are cut off as a server writes them slowly: a string, a nested reply, and the reply to
// the barrier behind them.
func TestReplyThatComesSlowlyIsReadToItsEnd(t *testing.T) {
	const pause = 400 * time.Millisecond
	value := strings.Repeat("x", 20000)
	for name, reply := range map[string]string{"string": string(resp.AppendBulk(nil, []byte(value))),
		"nested": "*3\r\n$1\r\na\r\n*1\r\n$1\r\nb\r\n" + string(resp.AppendBulk(nil, []byte(value)))} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ln := standintest.Listen(t)
			go func() {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				in := resp.NewReader(bufio.NewReaderSize(c, resp.MaxLine))
				var get, echo resp.Command
				if in.ReadCommand(&get) != nil || in.ReadCommand(&echo) != nil {
					return
				}
				text := reply + string(resp.AppendBulk(nil, echo.Args[1]))
				head := strings.Index(text, "\n") + 1
				for _, part := range []string{text[:head], text[head : len(text)/2], text[len(text)/2 : len(reply)], text[len(reply):]} {
					io.WriteString(c, part) //nolint:errcheck // the router sees the end
					time.Sleep(pause)
				}
			}()
			pool := backend.NewPool(10*time.Second, time.Second, 4)
			h := patientHandler{make(resultHandler, 1)}
			got, known := pool.Endpoint(ln.Addr().String(), Protocol{Cluster: &fakeTopology{}}).Attempt(&engine.Canceler{}, command("GET", "k"), h)
			if !known {
				got = standintest.Next(t, h.resultHandler, "reply")
			}
			if got.Status != decide.OK {
				t.Fatalf("got %v", got.Status)
			}
		})
	}
}
