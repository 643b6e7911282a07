package operator

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"mossproxy.example/mossproxy/internal/engine"
	"mossproxy.example/mossproxy/internal/guard"
	"mossproxy.example/mossproxy/internal/standin/standintest"
)

// stubRouter is a Router whose answers are set by the test; it counts the calls.
type stubRouter struct {
	ready                             atomic.Bool
	outOfServiceCalls, inServiceCalls atomic.Int32
	ending                            atomic.Bool
}

func (s *stubRouter) Ready() bool { return s.ready.Load() }
func (s *stubRouter) Counts() engine.Counts {
	return engine.Counts{Classes: []engine.ClassCounts{{Class: "bill"}, {Class: "read", Served: 812, Refused: 3, Failed: 2}}, Attempts: 900, Open: 14, KnownServers: 9, AvoidedServers: 1}
}
func (s *stubRouter) OutOfService(context.Context) error { s.outOfServiceCalls.Add(1); return nil }
func (s *stubRouter) InService(context.Context) error {
	if s.inServiceCalls.Add(1); s.ending.Load() {
		return errors.New("this process is ending")
	}
	return nil
}

// serve serves the endpoints of a stub router until the test ends.
func serve(t *testing.T) (addr string, r *stubRouter) {
	t.Helper()
	r = &stubRouter{}
	ln := standintest.Listen(t)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- Serve(ctx, ln, r, nil, 16) }()
	t.Cleanup(func() {
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return ln.Addr().String(), r
}

// call sends one request and returns the status and the body of the response. It checks that the server
// closes the connection.
func call(t *testing.T, method, addr, path string) (status int, text string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+addr+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: standintest.Wait}
	resp, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	if !resp.Close {
		t.Errorf("%s %s: the connection stays open", method, path)
	}
	return resp.StatusCode, string(b)
}

func TestCalls(t *testing.T) {
	addr, r := serve(t)
	for _, c := range []struct {
		method, path string
		status       int
		text         string
	}{
		{"GET", "/control/ready", 503, "this process does not take clients\n"},
		{"POST", "/control/out-of-service", 200, "out of service: clients are being sent away\n"},
		{"POST", "/control/in-service", 200, "in service\n"},
		{"GET", "/control/out-of-service", 405, "/control/out-of-service takes POST, not \"GET\"\n"},
		{"POST", "/control/ready", 405, "/control/ready takes GET, not \"POST\"\n"},
		{"DELETE", "/control/counters", 405, "/control/counters takes GET, not \"DELETE\"\n"},
		{"GET", "/control/", 404, "there is no call \"/control/\"\n"},
		{"GET", "/", 404, "there is no call \"/\"\n"},
	} {
		if status, text := call(t, c.method, addr, c.path); status != c.status || text != c.text {
			t.Errorf("%s %s: %d %q, want %d %q", c.method, c.path, status, text, c.status, c.text)
		}
	}
	if r.outOfServiceCalls.Load() != 1 || r.inServiceCalls.Load() != 1 {
		t.Errorf("out %d times, in %d times, want once each", r.outOfServiceCalls.Load(), r.inServiceCalls.Load())
	}
	r.ready.Store(true)
	if status, _ := call(t, "GET", addr, "/control/ready"); status != 200 {
		t.Errorf("ready: %d", status)
	}
	r.ending.Store(true)
	if status, text := call(t, "POST", addr, "/control/in-service"); status != 503 || text != "this process is ending\n" {
		t.Errorf("in service while it ends: %d %q", status, text)
	}
}

func TestFigures(t *testing.T) {
	addr, _ := serve(t)
	status, text := call(t, "GET", addr, "/control/counters")
	if status != 200 {
		t.Fatalf("status %d", status)
	}
	var got []string
	for line := range strings.Lines(text) {
		if !strings.HasPrefix(line, "#") {
			got = append(got, strings.TrimSpace(line))
		}
	}
	want := []string{`svc_passed{category="bill"} 0`, `svc_passed{category="read"} 812`, `svc_dropped{category="bill"} 0`, `svc_dropped{category="read"} 3`,
		`svc_bad_gateway{category="bill"} 0`, `svc_bad_gateway{category="read"} 2`, "svc_upstream_tries 900", "svc_in_progress 14",
		"svc_known_cache_servers 9", "svc_skipped_cache_servers 1"}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got %q\nwant %q", got, want)
	}
}

func TestBrokenCallsGetAnErrorOrAClose(t *testing.T) {
	addr, _ := serve(t)
	for name, in := range map[string]string{
		"noise":           "\x00\x01\x02\r\n\r\n",
		"no version":      "GET /control/ready\r\n\r\n",
		"long head":       "GET /control/ready HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("a", 64<<10) + "\r\n\r\n",
		"two hosts":       "GET /control/ready HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n",
		"negative length": "POST /control/in-service HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n",
	} {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(standintest.Wait))
		go io.WriteString(c, in) //nolint:errcheck // the server may close the connection before all is sent
		line, err := bufio.NewReader(c).ReadString('\n')
		if err == nil && !strings.HasPrefix(line, "HTTP/1.1 4") {
			t.Errorf("%s: %q", name, line)
		}
	}
}

// Guards against a lockout of operators: with 200 clients that hold a connection without sending a whole
// request, a valid request must still be answered within a second.
func TestSilentCallersGiveWay(t *testing.T) {
	addr, r := serve(t)
	r.ready.Store(true)
	for i := range 200 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		io.WriteString(c, []string{"", "GET /control/re", "POST /control/in-service HTTP/1.1\r\nHost: x\r\n"}[i%3]) //nolint:errcheck // the connection may have been evicted
		if i%20 != 0 {
			continue
		}
		began := time.Now()
		if status, _ := call(t, "GET", addr, "/control/ready"); status != 200 {
			t.Fatalf("with %d silent callers: status %d", i+1, status)
		}
		if took := time.Since(began); took > time.Second {
			t.Errorf("with %d silent callers: answered after %v", i+1, took)
		}
	}
}

// A client that announces a body and never sends it is answered nevertheless.
func TestBodyThatNeverComes(t *testing.T) {
	addr, r := serve(t)
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(standintest.Wait))
	io.WriteString(c, "POST /control/out-of-service HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n") //nolint:errcheck // the response shows whether it arrived
	if line, err := bufio.NewReader(c).ReadString('\n'); err != nil || line != "HTTP/1.1 200 OK\r\n" || r.outOfServiceCalls.Load() != 1 {
		t.Errorf("got %q, %v", line, err)
	}
}

func BenchmarkFigures(b *testing.B) {
	var c engine.Counts
	for i := range 8 {
		c.Classes = append(c.Classes, engine.ClassCounts{Class: fmt.Sprint("class-", i), Served: uint64(i) * 1e5})
	}
	b.ReportAllocs()
	for b.Loop() {
		FormatMetrics(c)
	}
}

// Guards against a violated invariant that no metric shows.
func TestFiguresShowBrokenRules(t *testing.T) {
	c := engine.Counts{Rules: []guard.Count{{Rule: guard.Deadline, Checked: 7, Prevented: 2, Broken: 1}}}
	text := string(FormatMetrics(c))
	for _, want := range []string{`svc_invariant_checks{rule="deadline"} 7`, `svc_invariant_prevented{rule="deadline"} 2`, `svc_invariant_violations{rule="deadline"} 1`} {
		if !strings.Contains(text, want) {
			t.Errorf("no %s in %s", want, text)
		}
	}
}
