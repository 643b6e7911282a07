// Package standintest holds what tests with stand-ins share.
package standintest

import (
	"fmt"
	"log"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"mossproxy.example/mossproxy/internal/standin"
)

// Wait is for what must come; a test that passes does not wait for it.
const Wait = 10 * time.Second

// Listen listens on loopback until the test ends.
func Listen(t testing.TB) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// Script starts a server that follows a script; see standin.StartScript.
func Script(t testing.TB, answer func(line string) string) *standin.Script {
	t.Helper()
	f, err := standin.StartScript(answer)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

// Next waits for one thing on a channel.
func Next[T any](t testing.TB, ch <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-ch:
		return v
	case <-time.After(Wait):
		t.Fatalf("no %s", what)
		panic("unreachable")
	}
}

// Until waits for something that is looked at again and again.
func Until(t testing.TB, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(Wait); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

// Log gathers what is logged.
type Log struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write is the logger's.
func (l *Log) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

// Count says how often a text was logged.
func (l *Log) Count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), text)
}

// Has says whether a text was logged.
func (l *Log) Has(text string) bool { return l.Count(text) > 0 }

// CatchLog gathers what is logged until the test ends.
func CatchLog(t testing.TB) *Log {
	l := &Log{}
	log.SetOutput(l)
	t.Cleanup(func() { log.SetOutput(os.Stderr) })
	return l
}

// Hit is a cache server that has every key.
func Hit(string) string { return "VA 5 O{id} h1 Lqps=3,util=0.1\r\nhello\r\n" }

// Miss is one that has none.
func Miss(string) string { return "EN O{id} h0\r\n" }

// HTTP is an answer in HTTP.
func HTTP(status, body string, headers ...string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n%s\r\n%s", status, len(body), strings.Join(append(headers, ""), "\r\n"), body)
}

// Origin is an origin that has every key.
func Origin(line string) string {
	if strings.HasPrefix(line, "PUT") {
		return HTTP("200 OK", "5c0f")
	}
	return HTTP("200 OK", "fresh")
}
