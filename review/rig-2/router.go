package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// asked are the settings of a small deployment whose discovery is asked. Servers fetch by themselves.
func asked(routers, number int) object {
	return object{"balancers": routers, "myNumber": number, "zone": "rades", "zones": []string{"rades"},
		"categories": []object{
			{"name": "read-status", "effect": "repeatable", "target": 600, "hardLimit": 2500, "gain": 5, "lateWorth": 0},
			{"name": "order-poll", "effect": "once", "target": 1000, "hardLimit": 2500, "gain": 2, "lateWorth": 0}},
		"kinds": []string{"std-1c"}, "family": "cache", "familyInfo": object{"mode": "through", "originKind": -1},
		"discovery": "ask", "weights": "nominal", "countedBy": "request", "loadInfo": object{"columns": []string{}, "how": "none"},
		"caps":  object{"cancel": true, "maxAttempts": 5, "connIdle": 10000, "connectTimeout": 250, "openCap": 20000, "retryAfter": true, "maxRetryAfter": 1200, "streamsPerConn": 100},
		"rules": object{"cold": 8100, "coldFrom": 0.3, "drainGrace": drainGrace, "graceToAnswer": 20, "mustAskIn": 10000, "overloadFactor": 2.5, "overloadFor": 3000},
		"tick":  5, "tier": 0, "tiers": []string{"cache-fleet"}}
}

// drainGrace is the grace of the settings, in ms; each time limit is socketSlack longer on sockets.
const (
	drainGrace  = 500
	socketSlack = 50 * time.Millisecond
)

// router writes the configuration of a router and starts it as the platform does.
func (w *world) router(name, listen, discovery string, known list, settings object) *process {
	config := w.dir + "/" + name + ".json"
	w.writeJSON(config, object{"name": name, "listen": listen, "discovery": discovery, "seed": fmt.Sprintf("%016x", rand.Uint64()),
		"limits": object{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": known, "settings": settings})
	return w.start(name, w.deployRun(), "GW_CONFIG="+config, "GW_NAME="+name, "GW_LISTEN="+listen, "GW_DISCOVERY="+discovery)
}

// load has clients ask a router for keys, one after the other on each connection, until stop is closed. Their ids have
// a prefix.
func (w *world) load(listen, prefix string, clients int, pause time.Duration, stop <-chan struct{}) (served, other *atomic.Int64, wait func()) {
	served, other = &atomic.Int64{}, &atomic.Int64{}
	var wg sync.WaitGroup
	for i := range clients {
		wg.Go(func() {
			var c *client
			for n := 0; ; n++ {
				select {
				case <-stop:
					if c != nil {
						c.conn.Close()
					}
					return
				case <-time.After(pause):
				}
				if c == nil {
					var err error
					if c, err = dial(listen); err != nil {
						continue
					}
				}
				verb := fmt.Sprintf("mg %016x v O%s%d-%d Pc=read-status,d=1200\r\n", uint64(i*7919+n%97)*0x9e3779b97f4a7c15, prefix, i, n)
				fmt.Fprint(c.conn, verb)
				a, err := c.read(time.Now().Add(3 * time.Second))
				switch {
				case err != nil:
					c.conn.Close()
					c = nil
					other.Add(1)
				case a.value != "":
					served.Add(1)
				default:
					other.Add(1)
				}
			}
		})
	}
	return served, other, wg.Wait
}
