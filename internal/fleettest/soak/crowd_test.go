package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// memoryLimitMB is the memory that processes of the soak may use.
const memoryLimitMB = 96

// crowdOf opens connections on which a client does the same thing, and closes them with the test.
func crowdOf(t *testing.T, p *process, n int, send func(context.Context, net.Conn)) {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(stop)
	for range n {
		c, err := net.DialTimeout("tcp", p.addr, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		go send(ctx, c)
	}
}

// drip writes a text in parts with pauses.
func drip(ctx context.Context, c net.Conn, text string, parts int, pause time.Duration) {
	for i := range parts {
		if _, err := io.WriteString(c, text[len(text)*i/parts:len(text)*(i+1)/parts]); err != nil || !waited(ctx, pause) {
			return
		}
	}
}

// Guards against a process that passes its memory limit, and against lost requests of others, while hundreds of
// clients write slowly, stop half way, send heads of very many short fields or read long answers slowly.
func TestCrowdsKeepARouterWithinItsMemory(t *testing.T) {
	value := strings.Repeat("x", 60000)
	rows := map[string]func(context.Context, net.Conn){
		"slow writers": func(ctx context.Context, c net.Conn) {
			for ctx.Err() == nil {
				drip(ctx, c, fmt.Sprintf("ms k 60000 Oc%p Pc=put,t=t,d=2500,k=1\r\n%s\r\n", c, value), 40, 40*time.Millisecond)
				return
			}
		},
		"half writes": func(ctx context.Context, c net.Conn) {
			drip(ctx, c, fmt.Sprintf("ms k 60000 Oc%p Pc=put,t=t,d=2500,k=1\r\n%s", c, value[:50000]), 1, 0)
		},
		"long half writes": func(ctx context.Context, c net.Conn) {
			drip(ctx, c, fmt.Sprintf("ms k 4000000 Oc%p Pc=put,t=t,d=2500,k=1\r\n%s", c, strings.Repeat("x", 300000)), 1, 0)
		},
		"many fields": func(ctx context.Context, c net.Conn) {
			for range 40 {
				drip(ctx, c, "mg "+strings.Repeat("a ", 2040)+"\r\n", 4, 10*time.Millisecond)
			}
		},
		"unread answers": func(ctx context.Context, c net.Conn) {
			for i := range 40 {
				drip(ctx, c, fmt.Sprintf("mg %016x v Oc%p%d Pc=status,t=t,d=2500\r\n", i, c, i), 1, 5*time.Millisecond)
			}
			for waited(ctx, 100*time.Millisecond) {
				c.Read(make([]byte, 512)) //nolint:errcheck // it ends with the connection
			}
		},
	}
	for name, send := range rows {
		t.Run(name, func(t *testing.T) {
			w := scriptedWith(t, 4, time.Second, canceling)
			slow := evenly(60000, 0)
			for _, s := range w.caches {
				s.hits, s.pace = 1, &slow
				s.set(SlowBody)
			}
			p := w.process(0)
			crowdOf(t, p, crowdSize, send)
			w.readSteadily(w.plan.settings.class("status"), 20, 4*time.Second)
			w.logReport(t)
			w.none(t, Answer, SelfCheck)
			if err := p.crash(); err != nil {
				t.Error(err)
			}
			if used := p.memoryMB(t); used > memoryLimitMB {
				t.Errorf("%d MB used, %d at most", used, memoryLimitMB)
			} else {
				t.Logf("%d MB used", used)
			}
		})
	}
}
