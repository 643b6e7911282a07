package standin

import (
	"crypto/tls"
	"fmt"
	"sync"
	"time"

	"mossproxy.example/mossproxy/internal/member"
)

// Fleet is a set of cache servers with their origin. A value that the origin gives is stored at the servers that missed
// for its request, and a write drops the copies, as the platform's fleet does.
type Fleet struct {
	clock
	Origin *Origin
	caches []*Cache
	record *Record

	mu     sync.Mutex
	misses map[string][]*Cache // by request
	full   bool                // nothing is a miss
	tls    *tls.Config
	order  []string // of misses, oldest first
}

// maxMisses bounds the misses that wait for the origin.
const maxMisses = 1 << 16

// FleetConfig says what a fleet is made of.
type FleetConfig struct {
	Servers int
	Sites   []string // dealt out in turn
	Cache   Capacity
	Origin  OriginConfig
	Seed    uint64
	Keep    int         // runs that the record holds
	Full    bool        // every server has every key
	TLS     *tls.Config // of all listeners; nil = they are plain
}

// StartFleet starts a fleet whose servers are c-01, c-02 and so on, warm and empty.
func StartFleet(cfg FleetConfig) (*Fleet, error) {
	f := &Fleet{clock: clock{time.Now()}, misses: map[string][]*Cache{}, record: newRecord(cfg.Keep), full: cfg.Full, tls: cfg.TLS}
	for i := range cfg.Servers {
		c := &Cache{ID: fmt.Sprintf("c-%02d", i+1), Site: cfg.Sites[i%len(cfg.Sites)], fleet: f, cap: cfg.Cache, seed: cfg.Seed + uint64(i), addr: "127.0.0.1:0"}
		if err := c.listen(false); err != nil {
			f.Close()
			return nil, err
		}
		f.caches = append(f.caches, c)
	}
	var err error
	if f.Origin, err = startOrigin(f, cfg.Origin, cfg.Seed); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// Close ends all servers and waits for them.
func (f *Fleet) Close() {
	if f.Origin != nil {
		f.Origin.close()
	}
	for _, c := range f.caches {
		c.close()
	}
}

// Caches are the cache servers.
func (f *Fleet) Caches() []*Cache { return f.caches }

// Record is what the servers have run.
func (f *Fleet) Record() *Record { return f.record }

// Entries lists the servers in the form of lists.
func (f *Fleet) Entries() []member.Entry {
	var out []member.Entry
	for _, c := range f.caches {
		out = append(out, member.Entry{ID: c.ID, Addr: c.Addr(), Zone: c.Site, Kind: "cache", State: "active", Weight: 1})
	}
	return append(out, member.Entry{ID: "db", Addr: f.Origin.Addr(), Zone: f.caches[0].Site, Kind: "origin", State: "active", Weight: 1})
}

func (f *Fleet) ran(server, id, verb, key string) { f.record.add(Run{server, id, verb, key, f.now()}) }

// missed books that a server lacked the key that a request asks for.
func (f *Fleet) missed(id string, c *Cache) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, known := f.misses[id]; !known {
		if f.order = append(f.order, id); len(f.order) > maxMisses {
			delete(f.misses, f.order[0])
			f.order = f.order[1:]
		}
	}
	f.misses[id] = append(f.misses[id], c)
}

// fetched stores a value at the servers that missed for its request.
func (f *Fleet) fetched(id, key string) {
	f.mu.Lock()
	to := f.misses[id]
	f.misses[id] = nil // its place in the order stays until its turn
	f.mu.Unlock()
	for _, c := range to {
		c.store(key)
	}
}

// written drops all copies of a key.
func (f *Fleet) written(key string) {
	for _, c := range f.caches {
		c.drop(key)
	}
}

// Run is one request that a server has worked on: it had its effect there.
type Run struct {
	Server, ID, Verb, Key string
	At                    float64 // Unix time in ms
}

// Record holds the last runs, a stated number of them.
type Record struct {
	mu    sync.Mutex
	runs  []Run
	next  int
	times map[string]int // runs held, by request
}

func newRecord(keep int) *Record {
	return &Record{runs: make([]Run, 0, max(1, keep)), times: map[string]int{}}
}

func (r *Record) add(run Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.times[run.ID]++
	if len(r.runs) < cap(r.runs) {
		r.runs = append(r.runs, run)
		return
	}
	old := r.runs[r.next]
	if r.times[old.ID]--; r.times[old.ID] == 0 {
		delete(r.times, old.ID)
	}
	r.runs[r.next] = run
	r.next = (r.next + 1) % len(r.runs)
}

// Times is how often a request has run, as far as the record goes back.
func (r *Record) Times(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.times[id]
}

// Runs are the runs held, the oldest first.
func (r *Record) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append(append([]Run(nil), r.runs[r.next:]...), r.runs[:r.next]...)
}
