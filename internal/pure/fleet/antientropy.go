package fleet

import (
	"errors"
	"slices"
)

// Anti-entropy: two members whose views differ compare them bucket by bucket. Members are assigned to buckets
// by a hash of their names, each bucket has a digest, and only the records of buckets whose digests differ
// are exchanged. If one member of hundreds has changed, that is a sixteenth of the view.

// bucketCount is the number of buckets: their digests fit into one message.
const bucketCount = 16

// Buckets is a set of buckets, one bit for each.
type Buckets uint16

// AllBuckets is the set of all buckets.
const AllBuckets = ^Buckets(0)

// bucketDigests holds the digest of each bucket of a view.
type bucketDigests [bucketCount]uint32

// bucketOf returns the bucket of a member's name.
func bucketOf(name string) int { return int(nameID(name) % bucketCount) }

// toggleDigests adds a record to the digests, or removes it if they include it.
func (m *Machine) toggleDigests(r Record) {
	d := r.digest()
	m.viewDigest ^= d
	m.bucketDigests[bucketOf(r.Name)] ^= uint32(d)
	m.rosterDigest ^= r.startDigest()
}

// BucketDigests returns a message with the digests of this router's view, one per bucket.
func (m *Machine) BucketDigests() []byte {
	q := message{Type: viewDigests, ViewDigest: m.viewDigest, RosterDigest: m.rosterDigest, From: m.self, BucketDigests: m.bucketDigests}
	b, _ := q.encode(MaxMessage)
	return b
}

// IsBucketDigests reports whether a message has the type of those made by BucketDigests.
func IsBucketDigests(b []byte) bool { return len(b) > 1 && messageType(b[1]) == viewDigests }

// CompareDigests takes a message of another router's BucketDigests and returns the buckets in which the views
// differ; of those, each of the two needs the other's Pages. An error means that the message is malformed or
// of another type.
func (m *Machine) CompareDigests(now float64, b []byte) (Buckets, error) {
	m.advanceClock(now)
	if m.refused != nil {
		return 0, nil
	}
	q, err := decode(b)
	if err != nil {
		return 0, err
	}
	if q.Type != viewDigests {
		return 0, errors.New("the message holds no bucket digests")
	}
	if q.ViewDigest == m.viewDigest {
		m.handleEqualView()
		return 0, nil
	}
	var differing Buckets
	for i, s := range q.BucketDigests {
		if s != m.bucketDigests[i] {
			differing |= 1 << i
		}
	}
	m.handleSender(&q) // after the comparison, because it may change the digests
	if differing == 0 {
		return AllBuckets, nil // the bucket digests collide
	}
	return differing, nil
}

// handleDifferentView starts a push-pull exchange with a member whose view differs, unless one was started
// shortly before.
func (m *Machine) handleDifferentView(from Record) {
	mem := m.members[from.Name]
	if mem == nil || mem.Start != from.Start || !mem.State.responsive() || m.now < m.nextPushPullAt {
		return
	}
	if m.now-m.changedAt < gossipIntervalMS && m.nextPushPullAt > 0 {
		return // the updates are probably on their way
	}
	m.nextPushPullAt = m.now + pushPullIntervalMS*(0.75+0.5*m.rng.Float64())
	if m.cfg.Streams {
		m.host.PushPull(mem.Addr)
	} else if m.nextPage == 0 {
		m.pageReceiver, m.nextPage = mem.Addr, 1
	}
}

// Pages returns the records of some buckets as messages, those of dead and departed members included; none
// for an empty set.
func (m *Machine) Pages(buckets Buckets) [][]byte {
	if buckets == 0 {
		return nil
	}
	records := []Record{}
	for _, mem := range m.members {
		if buckets&(1<<mem.bucket) != 0 {
			records = append(records, mem.Record)
		}
	}
	slices.SortFunc(records, func(a, b Record) int { // present members first
		if a.State.present() != b.State.present() {
			if a.State.present() {
				return -1
			}
			return 1
		}
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	var out [][]byte
	for {
		q := message{Type: viewPage, ViewDigest: m.viewDigest, RosterDigest: m.rosterDigest, From: m.self, Updates: records}
		b, n := q.encode(MaxMessage)
		out = append(out, b)
		if records = records[n:]; len(records) == 0 {
			return out
		}
	}
}

// sendPages sends the next pages of the view to a member with a different view, where there are no streams.
func (m *Machine) sendPages() {
	if m.nextPage == 0 {
		return
	}
	pages := m.Pages(AllBuckets)
	for range 4 {
		if m.nextPage > len(pages) {
			m.nextPage = 0
			return
		}
		m.host.Send(m.pageReceiver, pages[m.nextPage-1])
		m.nextPage++
	}
}
