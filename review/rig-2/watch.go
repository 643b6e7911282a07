package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["silent-watch"] = silentWatch }

// silentWatch: a watch falls silent, and a server begins to drain. The rule: nothing goes to it once the change counts
// as told and the grace is over.
func silentWatch(w *world) {
	var servers []*cache
	var entries []listed
	for i := range 4 {
		c := w.newCache(fmt.Sprintf("s-%08x", 0x5be2a070+i), "")
		servers, entries = append(servers, c), append(entries, entryOf(c, i))
	}
	d := w.newDiscovery(entries...)
	leaving := servers[1]
	var mu sync.Mutex
	var told, last time.Time
	late, all := 0, 0
	for _, s := range servers {
		s.got = func(c *cache, cmd command) {
			mu.Lock()
			defer mu.Unlock()
			all++
			if c != leaving {
				return
			}
			last = cmd.first
			if limit := told.Add(drainGrace*time.Millisecond + socketSlack); !told.IsZero() && cmd.first.After(limit) {
				if late++; late <= 20 {
					w.notef("%s got %s %s %v after it counted as told to the router that this server drains", c.id, cmd.verb, cmd.id, cmd.first.Sub(told).Round(time.Millisecond))
				}
			}
		}
	}
	listen := freeAddr()
	d.mu.Lock()
	known := d.full()
	d.mu.Unlock()
	w.router("n0", listen, d.addr, known, asked(3, 0))
	awaitReady(listen, 10*time.Second)
	stop := make(chan struct{})
	served, other, wait := w.load(listen, "c", 6, 20*time.Millisecond, stop)
	// A first change shows that changes arrive, and begins the watch of the case at a known time.
	time.Sleep(2 * time.Second)
	d.set(listed{ID: servers[3].id, Addr: servers[3].addr, Zone: "rades", Kind: "std-1c", Cell: 3, State: "active", Weight: 1.5})
	time.Sleep(300 * time.Millisecond)
	begun := time.Now() // the watch began at most 300 ms ago: what follows is counted from here
	if w.trouble {
		d.silence()
	}
	time.Sleep(200 * time.Millisecond)
	d.set(listed{ID: leaving.id, Addr: leaving.addr, Zone: "rades", Kind: "std-1c", Cell: 1, State: "leaving", Weight: 1})
	mu.Lock()
	told = begun.Add(12 * time.Second) // the wait of the call is over 10 s after it began at the latest, and 2 s more
	w.notef("the change counts as told at %.3f; nothing may begin after %.3f", told.Sub(w.began).Seconds(), told.Add(drainGrace*time.Millisecond+socketSlack).Sub(w.began).Seconds())
	mu.Unlock()
	time.Sleep(20 * time.Second)
	close(stop)
	wait()
	mu.Lock()
	defer mu.Unlock()
	w.notef("clients: %d served, %d otherwise; servers got %d, %s the last at %.3f", served.Load(), other.Load(), all, leaving.id, last.Sub(w.began).Seconds())
	if served.Load() < 500 {
		panic(unable{"the load did not run"})
	}
	if late > 0 {
		w.breakf("%d requests went to %s after the grace of its drain", late, leaving.id)
	}
}
