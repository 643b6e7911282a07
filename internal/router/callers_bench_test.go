package router

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"mossproxy.example/mossproxy/internal/identity"
	"mossproxy.example/mossproxy/internal/identity/identitytest"
	"mossproxy.example/mossproxy/internal/load"
)

// known writes what a router needs to ask who calls, and gives the lines of its configuration and its pool's.
func known(t testing.TB, dir string) (top, pool string, authority *identitytest.CA) {
	t.Helper()
	authority = identitytest.NewCA(t, "a")
	cert, key := authority.Issue(t, time.Hour, "dns:router")
	hash := identity.Pepper{7}.Hash("k", []byte("secret"))
	for name, text := range map[string]string{"router.pem": string(cert), "router.key": string(key), "ca.pem": string(authority.PEM()), "pepper": "BwAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=",
		"callers.rights": "role r {\n deny any on \"secret/\"\n allow read read at mon-sun 00:00-24:00\n allow put\n}\n",
		"callers.toml":   fmt.Sprintf("version = 1\n[[tenant]]\nname = \"t\"\n[[caller]]\nname = \"c\"\ntenant = \"t\"\nroles = [\"r\"]\n[[key]]\nid = \"k\"\ncaller = \"c\"\nsecret_hash = \"%x\"\nactive = 2020-01-01T00:00:00Z\n[end]\n", hash)} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return "[callers]\nbook = \"callers.toml\"\nrights = \"callers.rights\"\npepper_file = \"pepper\"\nclient_bundle = \"ca.pem\"\naudiences = [\"r\"]\n",
		"callers = true\n[pool.tls]\nlisten = \"TLSADDR\"\ncertificate = \"router.pem\"\nkey = \"router.key\"\nclients = \"may\"\n", authority
}

// knownProcess runs a router that asks who calls, with a TLS listener, in front of servers.
func knownProcess(t testing.TB, servers []string) (addr, tlsAddr, ca string, pid int, authority *identitytest.CA) {
	t.Helper()
	dir := t.TempDir()
	top, pool, authority := known(t, dir)
	tlsAddr = freePort(t)
	text := strings.Replace(metaConfigText, "[limits]", top+"[limits]", 1)
	text = strings.Replace(text, "origin = \"servers\"\n", "origin = \"servers\"\n"+strings.Replace(pool, "TLSADDR", tlsAddr, 1), 1)
	addr, pid = configProcess(t, dir, text, 1, servers)
	return addr, tlsAddr, filepath.Join(dir, "ca.pem"), pid, authority
}

// BenchmarkCallers measures a request on a kept, known connection, plain and with TLS, against a router that asks nobody: each pair in
// turns within one run. One iteration is the whole measurement.
func BenchmarkCallers(b *testing.B) {
	servers := standIns(b)
	o := load.Options{Protocol: "meta", Class: "read", Poll: "put", Tenant: "t", Conns: 32, Keys: 1000, Seed: 1, Warm: 300 * time.Millisecond, For: time.Second, Rounds: 5}
	addr, pid := metaProcess(b, 1, servers)
	plain, tlsAddr, ca, knownPID, _ := knownProcess(b, servers)
	nobody := load.Target{Name: "nobody", Addr: addr, PIDs: []int{pid}}
	for _, t := range []load.Target{{Name: "known", Addr: plain, PIDs: []int{knownPID}, Auth: "k:secret"}, {Name: "tls", Addr: tlsAddr, PIDs: []int{knownPID}, Auth: "k:secret", CA: ca}} {
		for _, depth := range []int{1, 16} {
			b.Run(fmt.Sprintf("%s/depth=%d", t.Name, depth), func(b *testing.B) {
				o := o
				o.Depth, o.Targets = depth, []load.Target{nobody, t}
				rep, err := load.Run(b.Context(), o)
				if err != nil {
					b.Fatal(err)
				}
				logResults(b, rep)
				b.ReportMetric(rep.CPURatio, "cpu-ratio")
				b.ReportMetric(rep.RateRatio, "rate-ratio")
			})
		}
	}
}

// BenchmarkFlood gives the times of known callers at 4,000 reads a second beside a flood of forged tokens from other addresses, each over a
// connection of its own, against the same without it, in turns. The flood has the id of the key in use.
func BenchmarkFlood(b *testing.B) {
	addr, _, _, pid, _ := knownProcess(b, standIns(b))
	o := load.Options{Targets: []load.Target{{Name: "known", Addr: addr, PIDs: []int{pid}, Auth: "k:secret"}}, Protocol: "meta", Class: "read", Poll: "put", Tenant: "t", Conns: 32,
		Keys: 1000, Seed: 1, Rate: 4000, Warm: 300 * time.Millisecond, For: 2 * time.Second, Rounds: 1}
	forged := identitytest.NewSigner(b, "k", "i", "EdDSA").Token(b, "s", "r")
	var times [2][]float64
	var sent atomic.Int64
	for range 5 {
		for i := range times {
			ctx, stop := context.WithCancel(b.Context())
			var wg sync.WaitGroup
			for w := range 16 * i {
				wg.Go(func() {
					d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 1, byte(w+1))}}
					for n := 0; ctx.Err() == nil; n++ {
						c, err := d.DialContext(ctx, "tcp", addr)
						if err != nil {
							continue
						}
						c.SetDeadline(time.Now().Add(time.Second))                                 //nolint:errcheck // it only floods
						fmt.Fprintf(c, "auth token %s%d\r\n", forged[:len(forged)-4], 1000+n%9000) //nolint:errcheck // as above
						c.Read(make([]byte, 64))                                                   //nolint:errcheck // as above
						c.Close()
						sent.Add(1)
					}
				})
			}
			rep, err := load.Run(b.Context(), o)
			stop()
			wg.Wait()
			if err != nil {
				b.Fatal(err)
			}
			logResults(b, rep)
			times[i] = append(times[i], rep.Targets[0].P99)
		}
	}
	for i := range times {
		slices.Sort(times[i])
	}
	b.ReportMetric(times[1][2]/times[0][2], "p99-ratio")
	b.ReportMetric(float64(sent.Load())/10, "forged/s")
}

// BenchmarkHandshakes gives TLS handshakes a second over four connections at a time, full ones with a client certificate and resumed
// ones, and what an idle connection takes of the router's memory.
func BenchmarkHandshakes(b *testing.B) {
	_, tlsAddr, _, pid, authority := knownProcess(b, standIns(b))
	for _, resumed := range []bool{false, true} {
		b.Run(map[bool]string{false: "full", true: "resumed"}[resumed], func(b *testing.B) {
			cfg := authority.ClientConfig(b, "uri:spiffe://x/y")
			if resumed {
				cfg.ClientSessionCache = tls.NewLRUClientSessionCache(64)
			}
			cpu := cpuOf(b, pid)
			b.SetParallelism(max(1, 4/runtime.GOMAXPROCS(0)))
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					c, err := tls.Dial("tcp", tlsAddr, cfg)
					if err != nil {
						b.Error(err)
						return
					}
					c.SetDeadline(time.Now().Add(time.Minute)) //nolint:errcheck // the read tells
					c.Write([]byte("mn\r\n"))                  //nolint:errcheck // as above
					if _, err := c.Read(make([]byte, 16)); err != nil {
						b.Error(err)
					}
					c.Close()
				}
			})
			b.ReportMetric(1e6*(cpuOf(b, pid)-cpu)/float64(b.N), "router-cpu-us/op")
		})
	}
	b.Run("idle", func(b *testing.B) {
		const n = 500
		plain := memoryOf(b, pid)
		pool := x509.NewCertPool()
		pool.AddCert(authority.Cert)
		var open []net.Conn
		for range n {
			c, err := tls.Dial("tcp", tlsAddr, &tls.Config{RootCAs: pool})
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			open = append(open, c)
		}
		for _, c := range open { // none is turned away: all have asked
			c.Write([]byte("mn\r\n")) //nolint:errcheck // the read tells
			c.Read(make([]byte, 16))  //nolint:errcheck // as above
		}
		b.ReportMetric((memoryOf(b, pid)-plain)/n/1024, "KiB/conn")
	})
}

// cpuOf is the CPU time of a process, in s, and memoryOf its resident memory, in bytes (proc(5)).
func cpuOf(t testing.TB, pid int) float64 {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	f := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+2:]))
	var user, system float64
	fmt.Sscan(f[11]+" "+f[12], &user, &system) //nolint:errcheck // numbers by proc(5)
	return (user + system) / 100
}

func memoryOf(t testing.TB, pid int) float64 {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		t.Fatal(err)
	}
	var pages float64
	fmt.Sscan(strings.Fields(string(text))[1], &pages) //nolint:errcheck // a number by proc(5)
	return pages * float64(os.Getpagesize())
}
