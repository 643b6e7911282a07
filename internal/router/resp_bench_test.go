package router

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"mossproxy.example/mossproxy/internal/load"
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

// routerProcess builds the program and runs it in front of a cluster, on one core.
func routerProcess(t testing.TB, seed string) (addr string, pid int) {
	t.Helper()
	dir := t.TempDir()
	program, cfg := filepath.Join(dir, "cottonyoke"), filepath.Join(dir, "c.toml")
	if out, err := exec.Command("go", "build", "-o", program, "../../cmd/cottonyoke").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	addr = freePort(t)
	text := strings.NewReplacer("SEED", seed, "MORE", "[limits]\ndescriptors = 2048\nmemory_mb = 192", "127.0.0.1:0", addr).Replace(respConfigText)
	if err := os.WriteFile(cfg, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return addr, process(t, addr, program, "serve", "-c", cfg)
}

// nutcracker runs twemproxy in front of three servers that are no cluster; ok is false where it is not on the PATH.
func nutcracker(t testing.TB) (addr string, pid int, ok bool) {
	t.Helper()
	program, err := exec.LookPath("nutcracker")
	server, err2 := exec.LookPath("redis-server")
	if err != nil || err2 != nil {
		return "", 0, false
	}
	dir, list := t.TempDir(), ""
	for range 3 {
		at := freePort(t)
		_, port, _ := net.SplitHostPort(at)
		process(t, at, server, "--port", port, "--bind", "127.0.0.1", "--dir", dir, "--save", "", "--appendonly", "no", "--logfile", filepath.Join(dir, port))
		list += "   - " + at + ":1\n"
	}
	addr = freePort(t)
	cfg := filepath.Join(dir, "n.yml")
	text := "alpha:\n  listen: " + addr + "\n  hash: fnv1a_64\n  distribution: ketama\n  redis: true\n  servers:\n" + list
	if err := os.WriteFile(cfg, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	_, stats, _ := net.SplitHostPort(freePort(t))
	return addr, process(t, addr, program, "-c", cfg, "-s", stats, "-a", "127.0.0.1", "-o", filepath.Join(dir, "log")), true
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

// BenchmarkAgainst measures reads through the router against a cluster client that goes to a real cluster directly, and
// against nutcracker, each pair in turns within one run: the whole report of each is logged. It needs redis-server on the
// PATH; one iteration is the whole measurement.
func BenchmarkAgainst(b *testing.B) {
	seed := realCluster(b)
	addr, pid := routerProcess(b, seed)
	p := dialRESP(b, addr)
	until(b, "ready", func() bool { return p.ask("SET ready 1") == "+OK" })
	other, otherPID, ok := nutcracker(b)
	if !ok {
		b.Log("there is no nutcracker on the PATH: it is not measured")
	}
	router := load.Target{Name: "router", Addr: addr, PIDs: []int{pid}}
	run := func(b *testing.B, o load.Options) {
		o.Protocol, o.Keys, o.Seed = "resp", 1000, 1
		rep, err := load.Run(b.Context(), o)
		if err != nil {
			b.Fatal(err)
		}
		logResults(b, rep)
		if len(rep.Targets) == 2 {
			b.ReportMetric(rep.RateRatio, "ratio")
			b.ReportMetric(rep.P50Added, "p50-added-us")
			b.ReportMetric(rep.P99Added, "p99-added-us")
		}
	}
	for _, t := range []load.Target{router, {Name: "nutcracker", Addr: other}} { // the keys are there
		if t.Addr != "" {
			if _, err := load.Run(b.Context(), load.Options{Targets: []load.Target{t}, Protocol: "resp", Keys: 1000, Conns: 4, Writes: 1, For: time.Second, Rounds: 1}); err != nil {
				b.Fatal(err)
			}
		}
	}
	for _, conns := range []int{1, 32, 256} {
		for _, depth := range []int{1, 16} {
			o := load.Options{Conns: conns, Depth: depth, Warm: 300 * time.Millisecond, For: time.Second, Rounds: 3}
			b.Run(fmt.Sprintf("direct/conns=%d/depth=%d", conns, depth), func(b *testing.B) {
				o.Targets = []load.Target{{Name: "direct", Addr: seed, Cluster: true}, router}
				run(b, o)
			})
			if ok {
				b.Run(fmt.Sprintf("nutcracker/conns=%d/depth=%d", conns, depth), func(b *testing.B) {
					o.Targets = []load.Target{{Name: "nutcracker", Addr: other, PIDs: []int{otherPID}}, router}
					run(b, o)
				})
			}
		}
	}
}
