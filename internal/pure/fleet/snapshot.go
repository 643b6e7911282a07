package fleet

import (
	"fmt"
	"math"
	"slices"
)

// Snapshot is what a machine knows, for another process of the same router that goes on in its place: to the others it is the same member,
// of the same start. Whoever takes one may not use the machine any more. Times are ages in ms.
type Snapshot struct {
	Self             []byte           `json:"self"` // a record
	Members          []MemberSnapshot `json:"members"`
	HealthScore      int              `json:"doubt"`
	ExtensionChanged float64          `json:"eased"` // -1 = never
	ExtensionHold    float64          `json:"hold"`
	LastAckedPing    float64          `json:"touch"`
	Share            ShareSnapshot    `json:"part"`
}

// MemberSnapshot is a member as a Snapshot has it.
type MemberSnapshot struct {
	Record       []byte  `json:"record"`
	Since        float64 `json:"since"`
	Reporter     string  `json:"word"`
	LastAck      float64 `json:"answered"` // -1 = never
	LastMessage  float64 `json:"spoke"`
	AddrVerified bool    `json:"proven"`
	Confirmed    bool    `json:"confirmed"`
	VerifiedDown bool    `json:"shown"`
}

// ShareSnapshot is what the router may use as a Snapshot has it.
type ShareSnapshot struct {
	Active       bool    `json:"spends"`
	HadShare     bool    `json:"had"`
	MetAny       bool    `json:"met"`
	AllConfirmed float64 `json:"all"` // -1 = they do not
	Contact      float64 `json:"contact"`
	Majority     float64 `json:"major"`
}

// age is how long ago a time was, -1 for never.
func (m *Machine) age(at float64) float64 {
	if at == 0 {
		return -1
	}
	return m.now - at
}

// Snapshot ends the machine's life here. A process that has been refused has nothing to hand on.
func (m *Machine) Snapshot(now float64) (Snapshot, error) {
	m.advanceClock(now)
	if m.refused != nil {
		return Snapshot{}, m.refused
	}
	p := m.share
	s := Snapshot{Self: appendRecord(nil, m.self), Members: []MemberSnapshot{}, HealthScore: m.healthScore, ExtensionChanged: m.age(m.extensionChangedAt), ExtensionHold: m.extensionHold, LastAckedPing: m.age(m.lastAckedPingAt),
		Share: ShareSnapshot{p.active, p.hadShare, p.metAny, m.age(p.allConfirmedAt), m.age(p.contactAt), m.age(p.majoritySince)}}
	for _, mem := range m.members {
		s.Members = append(s.Members, MemberSnapshot{appendRecord(nil, mem.Record), m.age(mem.since), mem.reporter, m.age(mem.lastAckAt), m.age(mem.lastMessageAt),
			mem.addrVerified, mem.confirmed, mem.verifiedDown})
	}
	slices.SortFunc(s.Members, func(a, b MemberSnapshot) int { // who is remembered as gone for longest comes first, as in the memory
		return int(math.Copysign(1, b.Since-a.Since))
	})
	return s, nil
}

// Resume is the view of a router whose process before has given a Snapshot, gap ms ago. It goes on as that would have after a pause of
// that length. An error means that the snapshot is not this router's, or makes no sense: then the process begins anew.
func Resume(cfg Config, host Host, now, gap float64, s Snapshot) (*Machine, error) {
	self, err := readRecord(s.Self)
	if err != nil {
		return nil, fmt.Errorf("a snapshot: %w", err)
	}
	if self.Name != cfg.Name || self.Addr != cfg.Addr || self.Site != cfg.Site {
		return nil, fmt.Errorf("a snapshot of %s at %v in %q: this is %s at %v in %q", self.Name, self.Addr, self.Site, cfg.Name, cfg.Addr, cfg.Site)
	}
	if self.State > Alive || len(s.Members) > MaxMembers || !(gap >= 0) || s.HealthScore < 0 || s.HealthScore > maxHealthScore || !(s.ExtensionHold >= 0 && s.ExtensionHold <= maxExtensionHoldMS) {
		return nil, fmt.Errorf("a snapshot that makes no sense: state %v, %d members, doubt %d", self.State, len(s.Members), s.HealthScore)
	}
	cfg.Start = self.Start
	m, err := New(cfg, host)
	if err != nil {
		return nil, err
	}
	m.advanceClock(now)
	ago := func(age float64) float64 {
		if !(age >= 0) {
			return 0
		}
		return now - gap - age
	}
	m.toggleDigests(m.self)
	m.self = self
	m.toggleDigests(m.self)
	m.healthScore, m.extensionChangedAt, m.extensionHold, m.lastAckedPingAt = s.HealthScore, ago(s.ExtensionChanged), s.ExtensionHold, ago(s.LastAckedPing)
	for i, sm := range s.Members {
		if err := m.resumeMember(sm, ago); err != nil {
			return nil, fmt.Errorf("a snapshot's member %d: %w", i, err)
		}
	}
	p := s.Share
	m.share = shareState{active: p.Active, hadShare: p.HadShare, metAny: p.MetAny, allConfirmedAt: ago(p.AllConfirmed), contactAt: ago(p.Contact), majoritySince: ago(p.Majority), recountNeeded: true}
	m.queueUpdate(m.self)
	if gap > minPauseMS {
		m.handlePause(gap)
	}
	m.updateShare()
	return m, nil
}

// resumeMember takes a member of a snapshot.
func (m *Machine) resumeMember(sm MemberSnapshot, ago func(float64) float64) error {
	r, err := readRecord(sm.Record)
	if err != nil {
		return err
	}
	if r.Name == m.self.Name || m.members[r.Name] != nil {
		return fmt.Errorf("%s is named twice", r.Name)
	}
	mem := &member{Record: r, orderIndex: -1, bucket: bucketOf(r.Name), since: ago(sm.Since), reporter: sm.Reporter, lastAckAt: ago(sm.LastAck), lastMessageAt: ago(sm.LastMessage),
		addrVerified: sm.AddrVerified, confirmed: sm.Confirmed, verifiedDown: sm.VerifiedDown}
	m.members[r.Name] = mem
	m.stateCounts[r.State]++
	if !r.State.present() {
		m.departed = append(m.departed, r.Name)
		return nil
	}
	m.addToProbeOrder(mem)
	if r.State == Suspect {
		m.startSuspicion(mem)
	}
	return nil
}

// readRecord reads one record that stands alone.
func readRecord(b []byte) (Record, error) {
	r := reader{b: b}
	out := r.record()
	if r.err == nil && len(r.b) > 0 {
		r.err = fmt.Errorf("%d bytes behind the record", len(r.b))
	}
	return out, r.err
}
