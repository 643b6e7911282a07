package service

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"
)

// paced asks one request after the other, on a connection that it keeps, until ctx ends, and gives how long each took, in ms, and how many
// were not served.
func (g *gated) paced(ctx context.Context, addr string) (took []float64, lost int) {
	c := dialGuest(g.t, addr)
	c.ready()
	for ctx.Err() == nil {
		at := time.Now()
		if got := c.ask("GET k"); strings.HasPrefix(got, "-") || got == "EOF" {
			lost++
		}
		took = append(took, float64(time.Since(at).Microseconds())/1000)
		time.Sleep(time.Millisecond)
	}
	return took, lost
}

func p99(took []float64) float64 {
	slices.Sort(took)
	return took[len(took)*99/100]
}

// BenchmarkTrafficWhileTenantsChange gives the p99 of one tenant's reads while an admin changes another as often as the API takes it, beside
// that without, in turns in the same run, and the changes a second.
func BenchmarkTrafficWhileTenantsChange(b *testing.B) {
	o := startOffice(b)
	addr := o.s.Addrs()[1]
	_, tag, _ := o.call("GET", "/v1/tenants/c", "all", "", nil)
	var calm, busy []float64
	changes, lost := 0, 0
	for b.Loop() {
		for _, with := range []bool{false, true} {
			ctx, stop := context.WithTimeout(b.Context(), 2*time.Second)
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				for with && ctx.Err() == nil {
					if status, next, _ := o.call("PUT", "/v1/tenants/c", "all", tag, spec{"limits": spec{"floor_per_s": changes + 1}}); status == 200 {
						tag = next
						changes++
					} else {
						time.Sleep(20 * time.Millisecond)
					}
				}
			}()
			took, n := o.paced(ctx, addr)
			<-ended
			stop()
			if lost += n; with {
				busy = append(busy, took...)
			} else {
				calm = append(calm, took...)
			}
		}
	}
	b.ReportMetric(p99(calm), "ms-p99-calm")
	b.ReportMetric(p99(busy), "ms-p99-changing")
	b.ReportMetric(p99(busy)/p99(calm), "ratio")
	b.ReportMetric(float64(changes)/(2*float64(b.N)), "changes/s")
	b.ReportMetric(float64(lost), "lost")
}

// BenchmarkFloodsOfConnections gives what another tenant keeps of its requests in time beside each flood, and its p99 beside that without.
func BenchmarkFloodsOfConnections(b *testing.B) {
	for name, each := range floods {
		b.Run(strings.ReplaceAll(name, " ", "-"), func(b *testing.B) {
			g := startGated(b, 1)
			addr := g.routers[0].Addrs()[1]
			g.fillLong(addr)
			var calm, busy []float64
			lost := 0
			for b.Loop() {
				for _, with := range []bool{false, true} {
					ctx, stop := context.WithTimeout(b.Context(), 2*time.Second)
					ended := make(chan struct{})
					go func() {
						defer close(ended)
						if with {
							flood(ctx, addr, each)
						}
					}()
					took, n := g.paced(ctx, addr)
					<-ended
					stop()
					if with {
						busy, lost = append(busy, took...), lost+n
					} else {
						calm = append(calm, took...)
					}
				}
			}
			b.ReportMetric(100*float64(len(busy)-lost)/float64(len(busy)), "%-kept")
			b.ReportMetric(p99(calm), "ms-p99-calm")
			b.ReportMetric(p99(busy), "ms-p99-flood")
		})
	}
}
