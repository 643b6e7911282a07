// Package fleet implements the membership protocol of the routers: SWIM with the measures of Lifeguard. Every
// router keeps its own view of the fleet, and all views converge despite lost messages. The package does no
// I/O and reads no clock: messages and the time are passed in, and everything to be sent goes out through
// Host.
//
// Members are probed in turn, by a direct ping and then by indirect pings through other members. A member
// that does not answer becomes suspect, may refute that, and otherwise is declared unresponsive after a
// timeout that shortens as other members confirm the suspicion. A member that is proven not to run is
// declared dead. Updates are piggybacked on the messages that are sent anyway, none of which is longer than
// MaxMessage bytes, and are also gossiped at once to a few members; view digests reveal updates that were
// missed. Design and alternatives: docs/design/view.md.
package fleet

import (
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
)

// Limits, in bytes, on what a member states about itself. They ensure that one record fits into any message.
const (
	MaxName = 24
	MaxSite = 16
	MaxMeta = 14
)

// MaxMembers limits the number of known members, unresponsive and excluded ones included.
const MaxMembers = 2048

// maxDeparted limits the number of dead and departed members that are remembered.
const maxDeparted = 1024

// Addr is the address at which a member receives datagrams and accepts streams. An IPv4 address is held in
// its 16-byte form.
type Addr struct {
	IP   [16]byte
	Port uint16
}

var ipv4Prefix = [12]byte{10: 0xff, 11: 0xff}

// IPv4 returns the Addr of an IPv4 address and a port.
func IPv4(a, b, c, d byte, port uint16) Addr {
	out := Addr{Port: port}
	copy(out.IP[:], ipv4Prefix[:])
	copy(out.IP[12:], []byte{a, b, c, d})
	return out
}

func (a Addr) isIPv4() bool { return [12]byte(a.IP[:12]) == ipv4Prefix }

// String returns the address and port in text form. An IPv6 address is in brackets and not shortened.
func (a Addr) String() string {
	port := strconv.Itoa(int(a.Port))
	if a.isIPv4() {
		return fmt.Sprintf("%d.%d.%d.%d:%s", a.IP[12], a.IP[13], a.IP[14], a.IP[15], port)
	}
	text := hex.EncodeToString(a.IP[:])
	var groups []string
	for i := 0; i < len(text); i += 4 {
		groups = append(groups, text[i:i+4])
	}
	return "[" + strings.Join(groups, ":") + "]:" + port
}

// State is the state of a member in a view.
type State uint8

// Member states. Of two records with the same start and incarnation, the one with the higher state wins.
const (
	Joining State = iota // runs, but does not know yet whether all members count it
	Alive
	Suspect      // failed a probe and can still refute the suspicion
	Unresponsive // "silent": the suspicion timed out, but the process may still run
	Excluded     // "lost": unresponsive for so long that a majority no longer counts it
	Dead         // "gone": known not to run
	Left         // announced that it leaves
	numStates
)

var stateNames = [numStates]string{"joining", "alive", "suspect", "silent", "lost", "gone", "left"}

// String returns the state's name in metrics and logs, which may differ from the name of the constant.
func (s State) String() string {
	if s < numStates {
		return stateNames[s]
	}
	return fmt.Sprintf("state %d", uint8(s))
}

// present reports whether the member belongs to the view; dead and departed members do not.
func (s State) present() bool { return s <= Excluded }

// responsive reports whether the member is expected to answer.
func (s State) responsive() bool { return s <= Suspect }

// Record describes a member. Start grows with every start of the process; Incarnation grows each time a
// running process refutes a report or changes its own record.
type Record struct {
	Name        string
	Site        string
	Addr        Addr
	Start       uint64
	Incarnation uint32
	State       State
	// TimeoutExtension is the number of extra base timeouts that the others grant this member, which reports
	// itself as slow.
	TimeoutExtension uint8
	Meta             string // metadata for other parts of the program; opaque to this package
	AccuserID        uint32 // nameID of the member that reported the failure
}

// maxTimeoutExtension limits what a member may ask for, so that its failure is still detected in time.
const maxTimeoutExtension = 3

// supersedes reports whether r takes precedence over an older record of the same name.
func (r Record) supersedes(old Record) bool {
	switch {
	case r.Start != old.Start:
		return r.Start > old.Start
	case (r.State == Left) != (old.State == Left):
		return r.State == Left // final for this start
	case r.Incarnation != old.Incarnation:
		return r.Incarnation > old.Incarnation
	}
	return r.State > old.State
}

// Validate returns an error that names the first invalid field of r.
func (r Record) Validate() error {
	switch {
	case !printable(r.Name) || len(r.Name) > MaxName || r.Name == "":
		return fmt.Errorf("name %.40q: 1 to %d printable bytes without blanks are allowed", r.Name, MaxName)
	case !printable(r.Site) || len(r.Site) > MaxSite:
		return fmt.Errorf("member %s: site %.40q: up to %d printable bytes without blanks are allowed", r.Name, r.Site, MaxSite)
	case r.Addr.Port == 0:
		return fmt.Errorf("member %s: no port", r.Name)
	case r.Start == 0:
		return fmt.Errorf("member %s: no start", r.Name)
	case len(r.Meta) > MaxMeta:
		return fmt.Errorf("member %s: metadata of %d bytes; the limit is %d", r.Name, len(r.Meta), MaxMeta)
	case r.TimeoutExtension > maxTimeoutExtension:
		return fmt.Errorf("member %s: timeout extension %d; the limit is %d", r.Name, r.TimeoutExtension, maxTimeoutExtension)
	case r.State >= numStates:
		return fmt.Errorf("member %s: unknown state: %v", r.Name, r.State)
	}
	return nil
}

func printable(s string) bool {
	return !strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r > '~' })
}

// Change describes a change of a member's record.
type Change struct {
	Record
	Previous State
	New      bool // the name was not known before
	// Reporter is the member that reported the change, "" = the member itself, "me" = this router.
	Reporter string
}
