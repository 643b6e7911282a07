package model

import (
	"runtime"
	"testing"
	"time"
)

// BenchmarkModel gives the requests that are played in a second of real time on one core, the events of each, and how much quicker than the
// service itself that is: 10 servers with 3 routers, as on the platform, and 1,000 with 20.
func BenchmarkModel(b *testing.B) {
	for name, set := range map[string]func(*Config){
		"10-servers-3-routers": func(c *Config) { c.For = 60e3 },
		"10-quick-servers":     func(c *Config) { c.For = 10e3; quick(c) },
		"1000-servers-20-routers": func(c *Config) {
			c.For, c.Servers, c.Routers, c.Keys, c.OriginCores = 10e3, 1000, 20, 100000, 800
		},
	} {
		b.Run(name, func(b *testing.B) {
			was := runtime.GOMAXPROCS(1)
			defer runtime.GOMAXPROCS(was)
			var asked, events, took float64
			var virtual, heap float64
			for b.Loop() {
				c := Default()
				set(&c)
				w, err := New(c, nil)
				if err != nil {
					b.Fatal(err)
				}
				at := time.Now()
				out := w.Run()
				took += time.Since(at).Seconds()
				asked, events, virtual = asked+float64(out.Asked), events+float64(out.Events), virtual+c.For/1000
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				heap = max(heap, float64(m.HeapAlloc)/(1<<20))
			}
			b.ReportMetric(asked/took, "requests/s")
			b.ReportMetric(events/asked, "events/request")
			b.ReportMetric(virtual/took, "times-real-time")
			b.ReportMetric(heap, "MB-heap")
		})
	}
}

// quick has servers whose work takes a hundredth, so that the module is asked as often as a large service asks it.
func quick(c *Config) {
	for i := range c.Classes {
		c.Classes[i].Work /= 100
	}
	c.MissWork, c.OriginWork, c.OriginCores = c.MissWork/100, c.OriginWork/100, 16
}
