package router

import (
	"context"
	"fmt"
	"net"
	"os/exec"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/redis/go-redis/v9"

	"mossproxy.example/mossproxy/internal/load"
	"mossproxy.example/mossproxy/internal/pure/slots"
)

// process starts a program until the test ends, and waits until it listens.
func process(t testing.TB, addr, name string, args ...string) (pid int) {
	t.Helper()
	cmd := exec.Command(name, args...)
	cmd.Stderr = t.Output()
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { // it may have something to write
		cmd.Process.Signal(syscall.SIGTERM) //nolint:errcheck // it may have ended
		kill := time.AfterFunc(5*time.Second, func() { cmd.Process.Kill() })
		cmd.Wait() //nolint:errcheck // it was told to end
		kill.Stop()
	})
	until(t, name+" listens", func() bool {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			c.Close()
		}
		return err == nil
	})
	return cmd.Process.Pid
}

// logResults logs what each target has shown; an answer that is none is an error.
func logResults(b *testing.B, rep load.Report) {
	b.Helper()
	for _, r := range rep.Targets {
		if r.Odd+r.Failed+r.Lost > 0 {
			b.Errorf("%s: %+v", r.Name, r.Counts)
		}
		b.Logf("%-10s %3d conns, depth %2d: %7.0f/s %.0f, cpu %5.1f us, p50 %5.0f us, p99 %5.0f us, p99.9 %5.0f us, refused %d, absent %d, the load took %.0f%%",
			r.Name, rep.Conns, rep.Depth, r.Rate, r.Rates, r.CPU, r.P50, r.P99, r.P999, r.Refused, r.Absent, 100*r.Own)
	}
}

// freePort is an address that nobody listens at just now.
func freePort(t testing.TB) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// BenchmarkRESP compares the router with a cluster client that asks the servers itself, in the same run, over the same
// stand-in servers: requests a second over 32 connections, and the ratio.
func BenchmarkRESP(b *testing.B) {
	c := startCluster(b, 3, 0)
	r := serveRESP(b, c, "")
	rate := func(addrs ...string) float64 {
		rc := redis.NewClusterClient(&redis.ClusterOptions{Addrs: addrs, PoolSize: 32})
		defer rc.Close()
		ctx, stop := context.WithTimeout(b.Context(), time.Second)
		defer stop()
		var wg sync.WaitGroup
		var mu sync.Mutex
		total := 0
		for w := range 32 {
			wg.Go(func() {
				n := 0
				for i := 0; ctx.Err() == nil; i++ {
					if rc.Get(ctx, fmt.Sprintf("key%d", (w*97+i)%1000)).Err() == redis.Nil {
						n++
					}
				}
				mu.Lock()
				total += n
				mu.Unlock()
			})
		}
		wg.Wait()
		return float64(total)
	}
	var direct, routed float64
	for b.Loop() {
		direct += rate(c.Nodes()[0].Addr())
		routed += rate(r.addr)
	}
	b.ReportMetric(direct/float64(b.N), "direct/s")
	b.ReportMetric(routed/float64(b.N), "routed/s")
	b.ReportMetric(routed/direct, "ratio")
}

// BenchmarkMoved gives the time of the first read after its slot has moved, which is redirected, and of the next, which
// goes to the new owner at once: the difference is what a redirection costs.
func BenchmarkMoved(b *testing.B) {
	c := startCluster(b, 2, 0)
	r := serveRESP(b, c, "")
	p := dialRESP(b, r.addr)
	p.SetDeadline(time.Now().Add(time.Minute))
	var first, next []float64
	for i := 0; b.Loop(); i++ { // another slot each time: one that goes to and fro is doubted
		key := fmt.Sprint("moving-", i)
		slot := slots.ForKey([]byte(key))
		to := c.Nodes()[0]
		if c.Owner(slot) == to {
			to = c.Nodes()[1]
		}
		c.Migrate(slot, to)
		c.Finish(slot)
		for _, at := range []*[]float64{&first, &next} {
			began := time.Now()
			if got := p.ask("GET " + key); got != "$-1" {
				b.Fatal(got)
			}
			*at = append(*at, float64(time.Since(began).Microseconds()))
		}
	}
	slices.Sort(first)
	slices.Sort(next)
	b.ReportMetric(first[len(first)/2], "moved-p50-us")
	b.ReportMetric(next[len(next)/2], "next-p50-us")
	b.ReportMetric(first[len(first)*99/100], "moved-p99-us")
}
