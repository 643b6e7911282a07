package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["outage"] = outage }

// outageLength is how long discovery is down.
const outageLength = 8 * time.Second

// outage: discovery is down, and a server begins to drain as it returns. The rule: no router sends to it once the change
// counts as told and the grace is over.
func outage(w *world) {
	const routers, caches = 24, 6
	var servers []*cache
	var entries []listed
	for i := range caches {
		c := w.newCache(fmt.Sprintf("s-%08x", 0x5be2a070+i), "")
		servers, entries = append(servers, c), append(entries, entryOf(c, i))
	}
	d := w.newDiscovery(entries...)
	leaving := servers[1]
	var mu sync.Mutex
	var told time.Time
	late := map[int]int{}
	total := 0
	for _, s := range servers {
		s.got = func(c *cache, cmd command) {
			mu.Lock()
			defer mu.Unlock()
			total++
			if c != leaving || told.IsZero() || !cmd.first.After(told.Add(drainGrace*time.Millisecond+socketSlack)) {
				return
			}
			name, _, _ := strings.Cut(strings.TrimPrefix(cmd.id, "r"), "-")
			router, _ := strconv.Atoi(name)
			if late[router]++; late[router] == 1 {
				w.notef("%s got %s %s of router n%d %v after it counted as told that this server drains", c.id, cmd.verb, cmd.id, router, cmd.first.Sub(told).Round(time.Millisecond))
			}
		}
	}
	d.mu.Lock()
	known := d.full()
	d.mu.Unlock()
	var listens []string
	for i := range routers {
		listen := freeAddr()
		listens = append(listens, listen)
		w.router(fmt.Sprintf("n%d", i), listen, d.addr, known, asked(routers, i))
	}
	stop := make(chan struct{})
	var waits []func()
	for i, listen := range listens {
		awaitReady(listen, 20*time.Second)
		_, _, wait := w.load(listen, fmt.Sprintf("r%d-", i), 2, 40*time.Millisecond, stop)
		waits = append(waits, wait)
	}
	w.notef("%d routers are ready", routers)
	time.Sleep(5 * time.Second) // the first calls of a tier are spread over some seconds
	drain := listed{ID: leaving.id, Addr: leaving.addr, Zone: "rades", Kind: "std-1c", Cell: 1, State: "leaving", Weight: 1}
	if w.trouble {
		d.down()
		w.notef("discovery is down")
		time.Sleep(outageLength)
		d.set(drain)
		d.up()
		w.notef("discovery can be reached again")
	} else {
		time.Sleep(outageLength)
		d.set(drain)
	}
	mu.Lock()
	told = time.Now().Add(6 * time.Second)
	w.notef("the change counts as told at %.3f at the latest; nothing may begin after %.3f", told.Sub(w.began).Seconds(), told.Add(drainGrace*time.Millisecond+socketSlack).Sub(w.began).Seconds())
	mu.Unlock()
	time.Sleep(25 * time.Second)
	close(stop)
	for _, wait := range waits {
		wait()
	}
	mu.Lock()
	defer mu.Unlock()
	w.notef("servers got %d requests; late at %s, by router: %v", total, leaving.id, late)
	if total < 5000 {
		panic(unable{"the load did not run"})
	}
	if len(late) > 0 {
		w.breakf("%d of %d routers sent to %s after the grace of its drain", len(late), routers, leaving.id)
	}
}
