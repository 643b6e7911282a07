package fleet

import (
	"errors"
	"slices"
)

// Two members whose views differ compare them part by part: members fall into buckets by their names, each bucket has a sum, and only
// records of buckets whose sums differ are exchanged. Where one member of hundreds has changed that is a sixteenth of a view, not all.

// bucketCount is how many buckets there are: their sums fit one message.
const bucketCount = 16

// Buckets say which buckets are meant, a bit for each.
type Buckets uint16

// AllBuckets is all buckets.
const AllBuckets = ^Buckets(0)

// bucketDigests are the buckets' parts of the digest of a view.
type bucketDigests [bucketCount]uint32

func bucketOf(name string) int { return int(nameID(name) % bucketCount) }

// toggleDigests has the digests count a record that they did not count, or count it no more.
func (m *Machine) toggleDigests(r Record) {
	d := r.digest()
	m.viewDigest ^= d
	m.bucketDigests[bucketOf(r.Name)] ^= uint32(d)
	m.rosterDigest ^= r.startDigest()
}

// BucketDigests is the message that says what this router's view adds up to, by buckets.
func (m *Machine) BucketDigests() []byte {
	q := message{Type: viewDigests, ViewDigest: m.viewDigest, RosterDigest: m.rosterDigest, From: m.self, BucketDigests: m.bucketDigests}
	b, _ := q.encode(MaxMessage)
	return b
}

// IsBucketDigests says whether a message is one of Sums.
func IsBucketDigests(b []byte) bool { return len(b) > 1 && messageType(b[1]) == viewDigests }

// CompareDigests takes another's Sums, and tells in which buckets its view and this one differ: of those each wants the other's Pages.
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
		return 0, errors.New("sums of a view were asked for")
	}
	if q.ViewDigest == m.viewDigest {
		m.handleEqualView()
		return 0, nil
	}
	var differ Buckets
	for i, s := range q.BucketDigests {
		if s != m.bucketDigests[i] {
			differ |= 1 << i
		}
	}
	m.handleSender(&q) // after the sums, which it may change
	if differ == 0 {
		return AllBuckets, nil // sums that only look alike
	}
	return differ, nil
}

// handleDifferentView is told that a member's view is another one.
func (m *Machine) handleDifferentView(from Record) {
	mem := m.members[from.Name]
	if mem == nil || mem.Start != from.Start || !mem.State.responsive() || m.now < m.nextPushPullAt {
		return
	}
	if m.now-m.changedAt < gossipIntervalMS && m.nextPushPullAt > 0 {
		return // the news are on their way
	}
	m.nextPushPullAt = m.now + pushPullIntervalMS*(0.75+0.5*m.rng.Float64())
	if m.cfg.Streams {
		m.host.PushPull(mem.Addr)
	} else if m.nextPage == 0 {
		m.pageReceiver, m.nextPage = mem.Addr, 1
	}
}

// Pages are some buckets of the view, and of the memory of those that are no more, as messages; none for no bucket.
func (m *Machine) Pages(of Buckets) [][]byte {
	if of == 0 {
		return nil
	}
	all := []Record{}
	for _, mem := range m.members {
		if of&(1<<mem.bucket) != 0 {
			all = append(all, mem.Record)
		}
	}
	slices.SortFunc(all, func(a, b Record) int { // who is here first
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
		q := message{Type: viewPage, ViewDigest: m.viewDigest, RosterDigest: m.rosterDigest, From: m.self, Updates: all}
		b, n := q.encode(MaxMessage)
		out = append(out, b)
		if all = all[n:]; len(all) == 0 {
			return out
		}
	}
}

// sendPages sends the next pages of a view to who has another one, where there are no streams.
func (m *Machine) sendPages() {
	if m.nextPage == 0 {
		return
	}
	all := m.Pages(AllBuckets)
	for range 4 {
		if m.nextPage > len(all) {
			m.nextPage = 0
			return
		}
		m.host.Send(m.pageReceiver, all[m.nextPage-1])
		m.nextPage++
	}
}
