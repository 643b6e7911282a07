// Package slots knows which server of a cluster owns which slot. It does no input or output and has no clock: maps and
// redirections come in with their time in milliseconds, owners go out.
package slots

import (
	"bytes"
	"fmt"
	"slices"
)

// Count is the number of slots of a cluster (redis.io/docs/reference/cluster-spec).
const Count = 16384

// ForSlot is the slot of a key: CRC16 of the key, or of what stands between its first { and the next }, if anything does.
func ForKey(key []byte) int {
	if i := bytes.IndexByte(key, '{'); i >= 0 {
		if j := bytes.IndexByte(key[i+1:], '}'); j > 0 {
			key = key[i+1 : i+1+j]
		}
	}
	crc := uint16(0)
	for _, b := range key {
		crc = crc<<8 ^ crcTable[byte(crc>>8)^b]
	}
	return int(crc) % Count
}

// crcTable is that of CRC-16/XMODEM, polynomial 0x1021.
var crcTable = func() (t [256]uint16) {
	for i := range t {
		c := uint16(i) << 8
		for range 8 {
			if c&0x8000 != 0 {
				c = c<<1 ^ 0x1021
			} else {
				c <<= 1
			}
		}
		t[i] = c
	}
	return t
}()

// Owner is who serves a slot: addresses. An empty primary is a gap.
type Owner struct {
	Primary  string
	Replicas []string
}

// Range is a run of slots of one owner, as a node tells it.
type Range struct {
	From, To int // both within
	Owner
}

// Map is what one node says of the cluster at one time.
type Map struct {
	Epoch  uint64 // the cluster's current epoch, as that node knows it
	Ranges []Range
}

const (
	// epochTrustMS is how long an older epoch is refused for, from when a map of the epoch in use came last: a cluster that was
	// made anew begins at low epochs again.
	epochTrustMS = 10000
	// redirectLifetimeMS is how long a redirection stands against maps of the same epoch: they may come from a node that has not
	// heard.
	redirectLifetimeMS = 2000
	// maxOwnerFlips is how many times a slot may change hands by redirections within fresh; then they are not believed, and a map
	// is waited for.
	maxOwnerFlips = 4
	// MaxReplicas bounds the replicas of a slot that are kept.
	MaxReplicas = 5
)

// redirects is what redirections said of a slot.
type slotRedirects struct {
	changedAt, since float64
	changes          int
}

// Table is what is known of the cluster. Its memory is that of its slots.
type Table struct {
	owners      [Count]*Owner
	redirects   map[int]*slotRedirects // by slot; at most Count
	epoch       uint64
	confirmedAt float64 // when a map of the epoch came last
	hasMap      bool
	needsMap    bool
	conflicts   int
}

// New is a table that knows nothing.
func New() *Table { return &Table{redirects: map[int]*slotRedirects{}, needsMap: true} }

// Change is what a map has changed.
type Change struct {
	ChangedSlots int    // that have another primary
	Gaps         int    // slots without an owner
	Conflicts    int    // slots that two claimed
	RejectReason string // why the map is not taken; "" = it is
}

// ApplyMap takes the map that a node tells.
func (t *Table) ApplyMap(now float64, m Map) Change {
	if err := validateMap(m); err != "" {
		return Change{RejectReason: err}
	}
	if t.hasMap && m.Epoch < t.epoch && now < t.confirmedAt+epochTrustMS {
		return Change{RejectReason: fmt.Sprintf("epoch %d is older than %d, which is in use", m.Epoch, t.epoch)}
	}
	var next [Count]*Owner
	c := Change{}
	for i := range m.Ranges {
		r := &m.Ranges[i]
		o := &Owner{Primary: r.Primary, Replicas: slices.Clone(r.Replicas[:min(len(r.Replicas), MaxReplicas)])}
		for s := r.From; s <= r.To; s++ {
			if next[s] != nil && next[s].Primary != o.Primary {
				c.Conflicts++
				next[s] = t.resolveConflict(s, next[s], o)
				continue
			}
			next[s] = o
		}
	}
	for s := range next {
		if t.redirectOverrides(now, s, m.Epoch) {
			next[s] = t.owners[s]
		} else {
			delete(t.redirects, s)
		}
		if primaryOf(next[s]) != primaryOf(t.owners[s]) {
			c.ChangedSlots++
		}
		if next[s] == nil {
			c.Gaps++
		}
	}
	t.owners, t.epoch, t.confirmedAt, t.hasMap = next, m.Epoch, now, true
	t.needsMap, t.conflicts = c.Conflicts > 0, c.Conflicts
	return c
}

// validateMap finds what no map may hold.
func validateMap(m Map) string {
	if len(m.Ranges) == 0 {
		return "the map has no slots"
	}
	for _, r := range m.Ranges {
		switch {
		case r.From < 0 || r.To >= Count || r.From > r.To:
			return fmt.Sprintf("slots %d to %d; they run from 0 to %d", r.From, r.To, Count-1)
		case r.Primary == "":
			return fmt.Sprintf("slots %d to %d have no address", r.From, r.To)
		}
	}
	return ""
}

// resolveConflict says who owns a slot that two claim: who has had it, else the first by address, so that all routers agree.
func (t *Table) resolveConflict(s int, a, b *Owner) *Owner {
	switch had := primaryOf(t.owners[s]); {
	case had == a.Primary:
		return a
	case had == b.Primary:
		return b
	case a.Primary < b.Primary:
		return a
	}
	return b
}

// redirectOverrides says whether a redirection stands against a map.
func (t *Table) redirectOverrides(now float64, s int, epoch uint64) bool {
	m := t.redirects[s]
	return m != nil && m.changes <= maxOwnerFlips && epoch <= t.epoch && now < m.changedAt+redirectLifetimeMS
}

func primaryOf(o *Owner) string {
	if o == nil {
		return ""
	}
	return o.Primary
}

// ApplyRedirect takes a redirection: a node said that a slot is served at another address. It says whether that is believed; in
// any case a map is wanted.
func (t *Table) ApplyRedirect(now float64, slot int, addr string) bool {
	if slot < 0 || slot >= Count || addr == "" {
		return false
	}
	t.needsMap = true
	m := t.redirects[slot]
	if m == nil || now >= m.changedAt+redirectLifetimeMS {
		m = &slotRedirects{since: now}
		t.redirects[slot] = m
	}
	if primaryOf(t.owners[slot]) == addr {
		return true
	}
	m.changedAt = now
	if m.changes++; m.changes > maxOwnerFlips {
		return false
	}
	t.owners[slot] = &Owner{Primary: addr} // its replicas are those of before, or not: the next map tells
	return true
}

// RemoveServer takes the news that a server is on no list any more: its slots are gaps until a map gives them an owner. It says
// how many.
func (t *Table) RemoveServer(addr string) (n int) {
	for s, o := range t.owners {
		if o != nil && o.Primary == addr {
			t.owners[s], n = nil, n+1
		}
	}
	t.needsMap = t.needsMap || n > 0
	return n
}

// Owner is who serves a slot; false = nobody is known.
func (t *Table) Owner(slot int) (Owner, bool) {
	if slot < 0 || slot >= Count || t.owners[slot] == nil {
		return Owner{}, false
	}
	return *t.owners[slot], true
}

// Epoch is that of the map in use.
func (t *Table) Epoch() uint64 { return t.epoch }

// NeedsMap says whether a new map is to be asked for soon.
func (t *Table) NeedsMap() bool { return t.needsMap }

// Owners are all who serve a slot, by slot, for reading by others while the table goes on. Entries are shared and never
// change.
func (t *Table) Owners() [Count]*Owner { return t.owners }
