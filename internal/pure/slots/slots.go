// Package slots tracks which server of a cluster owns which slot. It has no I/O and no clock: the caller
// passes in slot maps and redirects with the time in ms, and reads the owners.
package slots

import (
	"bytes"
	"fmt"
	"slices"
)

// Count is the number of slots of a cluster (redis.io/docs/reference/cluster-spec).
const Count = 16384

// ForKey returns the slot of a key: the CRC16 of the key, or of its hash tag if it has one (the text
// between the first { and the next }, unless that is empty), modulo Count.
func ForKey(key []byte) int {
	if open := bytes.IndexByte(key, '{'); open >= 0 {
		if length := bytes.IndexByte(key[open+1:], '}'); length > 0 {
			key = key[open+1 : open+1+length]
		}
	}
	crc := uint16(0)
	for _, b := range key {
		crc = crc<<8 ^ crcTable[byte(crc>>8)^b]
	}
	return int(crc) % Count
}

// crcTable is the lookup table of CRC-16/XMODEM, polynomial 0x1021.
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

// Owner holds the addresses of the servers of a slot. An empty primary means that the slot has no owner.
type Owner struct {
	Primary  string
	Replicas []string
}

// Range is a range of slots with the same owner, as a node reports it.
type Range struct {
	From, To int // inclusive
	Owner
}

// Map is the slot map that one node reports.
type Map struct {
	Epoch  uint64 // the cluster's current epoch as known to that node
	Ranges []Range
}

const (
	// epochTrustMS is how long a map of an older epoch is rejected after the last map of the current epoch.
	// After that it is accepted, since a recreated cluster starts at low epochs again.
	epochTrustMS = 10000
	// redirectLifetimeMS is how long a redirect takes precedence over maps of the same epoch, which may
	// come from a node that does not know of the change yet.
	redirectLifetimeMS = 2000
	// maxOwnerFlips is how many times redirects may change the owner of a slot, each within
	// redirectLifetimeMS of the one before. Further ones are ignored until a map arrives.
	maxOwnerFlips = 4
	// MaxReplicas is the maximum number of replicas kept per slot.
	MaxReplicas = 5
)

// slotRedirects tracks recent redirects of one slot.
type slotRedirects struct {
	changedAt, since float64
	changes          int
}

// Table is the current knowledge of the slots of a cluster. Its memory is bounded by the number of slots.
type Table struct {
	owners      [Count]*Owner
	redirects   map[int]*slotRedirects // by slot; at most Count
	epoch       uint64
	confirmedAt float64 // time of the last map of the current epoch
	hasMap      bool
	needsMap    bool
	conflicts   int
}

// New returns an empty table, which needs a map.
func New() *Table { return &Table{redirects: map[int]*slotRedirects{}, needsMap: true} }

// Change describes the effect of a map.
type Change struct {
	ChangedSlots int    // number of slots with a different primary than before
	Gaps         int    // number of slots without an owner
	Conflicts    int    // number of conflicting claims
	RejectReason string // why the map is rejected; "" = accepted
}

// ApplyMap applies the map that a node reports, or returns why it is rejected.
func (t *Table) ApplyMap(now float64, m Map) Change {
	if err := validateMap(m); err != "" {
		return Change{RejectReason: err}
	}
	if t.hasMap && m.Epoch < t.epoch && now < t.confirmedAt+epochTrustMS {
		return Change{RejectReason: fmt.Sprintf("epoch %d is older than %d, the current epoch", m.Epoch, t.epoch)}
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

// validateMap returns what is wrong with a map, or "".
func validateMap(m Map) string {
	if len(m.Ranges) == 0 {
		return "the map has no slots"
	}
	for _, r := range m.Ranges {
		switch {
		case r.From < 0 || r.To >= Count || r.From > r.To:
			return fmt.Sprintf("slots %d to %d: the valid range is 0 to %d", r.From, r.To, Count-1)
		case r.Primary == "":
			return fmt.Sprintf("slots %d to %d have no address", r.From, r.To)
		}
	}
	return ""
}

// resolveConflict returns the owner of a slot that two servers claim: the current owner if it is one of
// them, else the one with the lower address, so that all routers agree.
func (t *Table) resolveConflict(s int, a, b *Owner) *Owner {
	switch previous := primaryOf(t.owners[s]); {
	case previous == a.Primary:
		return a
	case previous == b.Primary:
		return b
	case a.Primary < b.Primary:
		return a
	}
	return b
}

// redirectOverrides reports whether a redirect of a slot takes precedence over a map of this epoch.
func (t *Table) redirectOverrides(now float64, s int, epoch uint64) bool {
	m := t.redirects[s]
	return m != nil && m.changes <= maxOwnerFlips && epoch <= t.epoch && now < m.changedAt+redirectLifetimeMS
}

// primaryOf returns the primary of an owner, or "" for nil.
func primaryOf(o *Owner) string {
	if o == nil {
		return ""
	}
	return o.Primary
}

// ApplyRedirect applies a redirect: a node reported that a slot is served at another address. Reports
// whether the redirect is accepted; unless it is malformed, a new map is needed in either case.
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
	t.owners[slot] = &Owner{Primary: addr} // the replicas are unknown until the next map
	return true
}

// RemoveServer removes a server that is no longer on any list. Its slots have no owner until a map assigns
// them one. Returns the number of these slots.
func (t *Table) RemoveServer(addr string) (removed int) {
	for s, o := range t.owners {
		if o != nil && o.Primary == addr {
			t.owners[s], removed = nil, removed+1
		}
	}
	t.needsMap = t.needsMap || removed > 0
	return removed
}

// Owner returns the owner of a slot; false if it is unknown or the slot is out of range.
func (t *Table) Owner(slot int) (Owner, bool) {
	if slot < 0 || slot >= Count || t.owners[slot] == nil {
		return Owner{}, false
	}
	return *t.owners[slot], true
}

// Epoch returns the epoch of the current map.
func (t *Table) Epoch() uint64 { return t.epoch }

// NeedsMap reports whether a new map should be fetched soon.
func (t *Table) NeedsMap() bool { return t.needsMap }

// Owners returns a snapshot of the owners by slot, for use while the table changes. The entries are shared
// and immutable.
func (t *Table) Owners() [Count]*Owner { return t.owners }
