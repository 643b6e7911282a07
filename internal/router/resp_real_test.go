package router

import (
	"context"
	"fmt"
	"net"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/redis/go-redis/v9"

	"mossproxy.example/mossproxy/internal/slots"
)

// realCluster starts six servers of a real cluster, three primaries with a replica each. It installs nothing.
func realCluster(t testing.TB) (seed string) {
	t.Helper()
	server, err := exec.LookPath("redis-server")
	if err != nil {
		t.Skip("skipped: there is no redis-server on the PATH; the test against a real cluster did not run")
	}
	cli, err := exec.LookPath("redis-cli")
	if err != nil {
		t.Skip("skipped: there is no redis-cli on the PATH; the test against a real cluster did not run")
	}
	var addrs []string
	for range 6 {
		addr := freePort(t)
		_, port, _ := net.SplitHostPort(addr)
		dir := t.TempDir()
		_, bus, _ := net.SplitHostPort(freePort(t))
		cmd := exec.Command(server, "--port", port, "--bind", "127.0.0.1", "--cluster-enabled", "yes", "--cluster-port", bus, "--cluster-node-timeout", "2000",
			"--dir", dir, "--save", "", "--appendonly", "no", "--logfile", filepath.Join(dir, "log"))
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { cmd.Process.Kill(); cmd.Wait() })
		addrs = append(addrs, addr)
	}
	for _, a := range addrs {
		until(t, "server "+a, func() bool {
			c, err := net.Dial("tcp", a)
			if err == nil {
				c.Close()
			}
			return err == nil
		})
	}
	args := append([]string{"--cluster", "create"}, addrs...)
	args = append(args, "--cluster-replicas", "1", "--cluster-yes")
	if out, err := exec.Command(cli, args...).CombinedOutput(); err != nil {
		t.Fatalf("creating the cluster: %v\n%s", err, out)
	}
	until(t, "the cluster is up", func() bool {
		_, port, _ := net.SplitHostPort(addrs[0])
		out, _ := exec.Command(cli, "-h", "127.0.0.1", "-p", port, "cluster", "info").Output()
		return strings.Contains(string(out), "cluster_state:ok")
	})
	return addrs[0]
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

// The router in front of a real cluster whose slots move under load: each INCR that was acknowledged ran once, and none
// ran twice.
func TestRealClusterUnderReshard(t *testing.T) {
	seed := realCluster(t)
	r := serveSeed(t, seed, "")
	p := dialRESP(t, r.addr)
	until(t, "ready", func() bool { return p.ask("SET ready 1") == "+OK" })
	c := redis.NewClusterClient(&redis.ClusterOptions{Addrs: []string{r.addr}, MaxRedirects: 8})
	defer c.Close()
	ctx, stop := context.WithTimeout(t.Context(), 60*time.Second)
	defer stop()
	var wg sync.WaitGroup
	var mu sync.Mutex
	acked, unsure := map[string]int64{}, map[string]bool{}
	for w := range 8 {
		wg.Go(func() {
			for i := range 400 {
				key := fmt.Sprintf("k%d-%d", w, i%50)
				_, err := c.Incr(ctx, key).Result()
				mu.Lock()
				if err == nil {
					acked[key]++
				} else if !strings.HasPrefix(err.Error(), "TRYAGAIN") {
					unsure[key] = true
				}
				mu.Unlock()
			}
		})
	}
	moved := reshard(t, ctx, seed, 40)
	wg.Wait()
	for key, n := range acked {
		got, err := c.Get(ctx, key).Int64()
		if err != nil || got != n && !unsure[key] || got < n {
			t.Errorf("%s: %d, and %d were acknowledged (%v)", key, got, n, err)
		}
	}
	t.Logf("%d keys, %d unsure, %d slots moved under load", len(acked), len(unsure), moved)
}

// reshard moves slots of the load's keys from their owners to the first server, by the servers' own commands.
func reshard(t *testing.T, ctx context.Context, seed string, n int) (moved int) {
	t.Helper()
	cli, err := exec.LookPath("redis-cli")
	if err != nil {
		t.Fatal(err)
	}
	run := func(addr string, args ...string) string {
		_, port, _ := net.SplitHostPort(addr)
		out, _ := exec.CommandContext(ctx, cli, append([]string{"-h", "127.0.0.1", "-p", port}, args...)...).CombinedOutput()
		return strings.TrimSpace(string(out))
	}
	target := run(seed, "cluster", "myid")
	primaries := map[string]string{} // id to address
	for line := range strings.Lines(run(seed, "cluster", "nodes")) {
		if f := strings.Fields(line); len(f) > 8 && strings.Contains(f[2], "master") {
			addr, _, _ := strings.Cut(f[1], "@")
			primaries[f[0]] = addr
		}
	}
	for i := range n {
		slot := fmt.Sprint(slots.Of(fmt.Appendf(nil, "k%d-%d", i%8, i%50)))
		for id, addr := range primaries {
			if id == target || run(addr, "cluster", "countkeysinslot", slot) == "0" {
				continue
			}
			run(seed, "cluster", "setslot", slot, "importing", id)
			run(addr, "cluster", "setslot", slot, "migrating", target)
			host, port, _ := net.SplitHostPort(seed)
			for range 100 {
				keys := strings.Fields(run(addr, "cluster", "getkeysinslot", slot, "10"))
				if len(keys) == 0 {
					break
				}
				run(addr, append([]string{"migrate", host, port, "", "0", "5000", "keys"}, keys...)...)
			}
			for _, a := range primaries {
				run(a, "cluster", "setslot", slot, "node", target)
			}
			moved++
		}
	}
	return moved
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
		slot := slots.Of([]byte(key))
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
