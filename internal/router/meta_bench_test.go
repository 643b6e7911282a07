package router

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"mossproxy.example/mossproxy/internal/load"
	"mossproxy.example/mossproxy/internal/standin"
)

const metaConfigText = `site = "a"
[limits]
cores = CORES
descriptors = 2048
memory_mb = 192
[[class]]
name = "read"
effect = "repeatable"
aim_ms = 500
deadline_ms = 2000
[[class]]
name = "put"
effect = "once"
aim_ms = 500
deadline_ms = 2000
[[tenant]]
name = "t"
share_per_s = 1000000000
[[pool]]
name = "p"
listen = "ADDR"
origin = "servers"
[pool.servers]
file = "servers.toml"
[end]
`

// standIns starts three stand-in cache servers that have every key and whose work takes next to no time.
func standIns(t testing.TB) (addrs []string) {
	t.Helper()
	quick := standin.Capacity{Workers: 64, Work: 0.001, Queue: 1 << 16}
	f, err := standin.StartFleet(standin.FleetConfig{Servers: 3, Sites: []string{"a"}, Keep: 1, Full: true, Cache: quick, Origin: standin.OriginConfig{Capacity: quick}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	for _, c := range f.Caches() {
		addrs = append(addrs, c.Addr())
	}
	return addrs
}

// metaProcess builds the program and runs it in front of servers.
func metaProcess(t testing.TB, cores int, servers []string, more ...string) (addr string, pid int) {
	t.Helper()
	return configProcess(t, t.TempDir(), metaConfigText, cores, servers, more...)
}

// configProcess is metaProcess by a configuration of one's own, whose files lie in a folder.
func configProcess(t testing.TB, dir, text string, cores int, servers []string, more ...string) (addr string, pid int) {
	t.Helper()
	list := ""
	program := filepath.Join(dir, "cottonyoke")
	if out, err := exec.Command("go", "build", "-o", program, "../../cmd/cottonyoke").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	for i, s := range servers {
		list += fmt.Sprintf("  {id = \"m-%02d\", addr = %q, site = \"a\"},\n", i, s)
	}
	addr = freePort(t)
	for name, text := range map[string]string{"c.toml": strings.NewReplacer("ADDR", addr, "CORES", strconv.Itoa(cores)).Replace(text), "servers.toml": "servers = [\n" + list + "]\nend = 3\n"} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return addr, process(t, addr, program, append([]string{"serve", "-c", filepath.Join(dir, "c.toml")}, more...)...)
}

// BenchmarkHits measures reads that all hit: three stand-in servers behind the router on one core, 32
// connections, in turns within one run with one server directly as the floor. One iteration is the whole measurement.
// With COTTONYOKE_PROFILE=FILE the router writes a CPU profile.
func BenchmarkHits(b *testing.B) {
	servers := standIns(b)
	var more []string
	if f := os.Getenv("COTTONYOKE_PROFILE"); f != "" {
		more = []string{"--profile", f}
	}
	addr, pid := metaProcess(b, 1, servers, more...)
	targets := []load.Target{{Name: "router", Addr: addr, PIDs: []int{pid}}, {Name: "direct", Addr: servers[0]}}
	o := load.Options{Protocol: "meta", Class: "read", Poll: "put", Tenant: "t", Keys: 1000, Seed: 1, Warm: 500 * time.Millisecond, For: 2 * time.Second, Rounds: 3}
	for _, other := range targets[1:] {
		for _, depth := range []int{1, 16} {
			b.Run(fmt.Sprintf("%s/depth=%d", other.Name, depth), func(b *testing.B) {
				o := o
				o.Targets, o.Depth = []load.Target{other, targets[0]}, depth
				rep, err := load.Run(b.Context(), o)
				if err != nil {
					b.Fatal(err)
				}
				logResults(b, rep)
				b.ReportMetric(rep.RateRatio, "ratio")
				b.ReportMetric(rep.CPURatio, "cpu-ratio")
			})
		}
	}
}

// BenchmarkAtRate gives the times of the router on one core at 6,000 and 12,000 reads a second, sent whether answers come or
// not, beside one server directly.
func BenchmarkAtRate(b *testing.B) {
	servers := standIns(b)
	o := load.Options{Protocol: "meta", Class: "read", Poll: "put", Tenant: "t", Keys: 1000, Seed: 1, Warm: 500 * time.Millisecond, For: 3 * time.Second, Rounds: 2}
	addr, pid := metaProcess(b, 1, servers)
	o.Targets = []load.Target{{Name: "direct", Addr: servers[0]}, {Name: "router", Addr: addr, PIDs: []int{pid}}}
	for _, rate := range []float64{6000, 12000} {
		b.Run(fmt.Sprint(rate), func(b *testing.B) {
			o.Rate = rate
			rep, err := load.Run(b.Context(), o)
			if err != nil {
				b.Fatal(err)
			}
			logResults(b, rep)
			b.ReportMetric(rep.P99Added, "p99-added-us")
		})
	}
}

// BenchmarkCores measures the router on two cores, and on three, against itself on one, in turns within one run. The load
// and three servers run on the same machine: the share of its cores that the load took is logged.
func BenchmarkCores(b *testing.B) {
	servers := standIns(b)
	o := load.Options{Protocol: "meta", Class: "read", Poll: "put", Tenant: "t", Conns: 64, Keys: 1000, Seed: 1, Warm: 500 * time.Millisecond, For: 2 * time.Second, Rounds: 3}
	addr, pid := metaProcess(b, 1, servers)
	for _, cores := range []int{2, 3} {
		b.Run(strconv.Itoa(cores), func(b *testing.B) {
			more, morePID := metaProcess(b, cores, servers)
			o := o
			o.Targets = []load.Target{{Name: "1 core", Addr: addr, PIDs: []int{pid}}, {Name: fmt.Sprint(cores, " cores"), Addr: more, PIDs: []int{morePID}}}
			rep, err := load.Run(b.Context(), o)
			if err != nil {
				b.Fatal(err)
			}
			logResults(b, rep)
			b.ReportMetric(rep.RateRatio, "ratio")
		})
	}
}
