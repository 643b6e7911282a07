// Package fleet settles which routers there are: a view that every router keeps by itself and that all come to share, whatever is
// lost on the way. It does no input or output and has no clock: what comes and the time go in, what to send goes out by Host.
//
// Members are probed in turn, directly and by way of others; who does not answer is suspected, may say that it lives, and is
// silent after a time that shortens as others agree. Who is proven not to run is gone. What is learned rides on the messages that
// are sent anyway, none longer than MaxMessage bytes, and goes out at once to a few; digests show what was missed all the same.
// Design and options compared: docs/design/view.md.
package fleet

import (
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
)

// Bounds on what a member says of itself, in bytes: one record fits every message, whoever sends it.
const (
	MaxName = 24
	MaxSite = 16
	MaxMeta = 14
)

// MaxMembers bounds the routers that are known at once, those that are silent among them.
const MaxMembers = 2048

// maxDeparted bounds the memory of members that have left or are gone.
const maxDeparted = 1024

// Addr is where a member is reached by datagrams and streams. An IPv4 address stands in its form of 16 bytes.
type Addr struct {
	IP   [16]byte
	Port uint16
}

var ipv4Prefix = [12]byte{10: 0xff, 11: 0xff}

// IPv4 is an IPv4 address.
func IPv4(a, b, c, d byte, port uint16) Addr {
	out := Addr{Port: port}
	copy(out.IP[:], ipv4Prefix[:])
	copy(out.IP[12:], []byte{a, b, c, d})
	return out
}

func (a Addr) isIPv4() bool { return [12]byte(a.IP[:12]) == ipv4Prefix }

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

// State is what the view says of a member.
type State uint8

// The states. Of two records of one start and incarnation the one with the higher state counts.
const (
	Joining State = iota // it runs, and does not yet know that all count it
	Alive
	Suspect      // it did not answer, and may still say that it lives
	Unresponsive // it is not heard and may still act
	Excluded     // silent for so long that a majority does not count it any more
	Dead         // known not to run
	Left         // it said goodbye
	numStates
)

var stateNames = [numStates]string{"joining", "alive", "suspect", "silent", "lost", "gone", "left"}

func (s State) String() string {
	if s < numStates {
		return stateNames[s]
	}
	return fmt.Sprintf("state %d", uint8(s))
}

// present says whether the member belongs to the view; who is gone or has left does not.
func (s State) present() bool { return s <= Excluded }

// answered says whether the member is thought to answer.
func (s State) responsive() bool { return s <= Suspect }

// Record is what is said of a member. Start grows with each start of the process, Inc with each word by which a running one denies
// what is said of it.
type Record struct {
	Name             string
	Site             string
	Addr             Addr
	Start            uint64
	Incarnation      uint32
	State            State
	TimeoutExtension uint8  // by how many times longer the others wait for its answers: it is slow, and says so itself
	Meta             string // what it tells the others' other parts of itself; nothing to this package
	AccuserID        uint32 // whose word that it does not answer is; see nameID
}

// maxTimeoutExtension bounds what a member may ask for, so that one that dies is noticed in time all the same.
const maxTimeoutExtension = 3

// supersedes says whether r counts over an older record of the same name.
func (r Record) supersedes(old Record) bool {
	switch {
	case r.Start != old.Start:
		return r.Start > old.Start
	case (r.State == Left) != (old.State == Left):
		return r.State == Left // the last word of a start
	case r.Incarnation != old.Incarnation:
		return r.Incarnation > old.Incarnation
	}
	return r.State > old.State
}

// Validate reports what is wrong with what a member says of itself.
func (r Record) Validate() error {
	switch {
	case !printable(r.Name) || len(r.Name) > MaxName || r.Name == "":
		return fmt.Errorf("name %.40q: 1 to %d printable bytes without blanks are right", r.Name, MaxName)
	case !printable(r.Site) || len(r.Site) > MaxSite:
		return fmt.Errorf("member %s: site %.40q: up to %d printable bytes without blanks are right", r.Name, r.Site, MaxSite)
	case r.Addr.Port == 0:
		return fmt.Errorf("member %s: no port", r.Name)
	case r.Start == 0:
		return fmt.Errorf("member %s: no start", r.Name)
	case len(r.Meta) > MaxMeta:
		return fmt.Errorf("member %s: a card of %d bytes; %d are the most", r.Name, len(r.Meta), MaxMeta)
	case r.TimeoutExtension > maxTimeoutExtension:
		return fmt.Errorf("member %s: %d times more patience; %d are the most", r.Name, r.TimeoutExtension, maxTimeoutExtension)
	case r.State >= numStates:
		return fmt.Errorf("member %s: %v is unknown", r.Name, r.State)
	}
	return nil
}

func printable(s string) bool {
	return !strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r > '~' })
}

// Change is what became of a member, and why.
type Change struct {
	Record
	Previous State
	New      bool   // nobody of that name was known
	Reporter string // whose word it is, "" = its own
}
