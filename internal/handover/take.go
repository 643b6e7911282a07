package handover

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"
)

// maxSockets bounds the listening sockets of a router that are handed over.
const maxSockets = 16

// Takeover is what a new process has of the old one. It lasts until the old one is gone.
type Takeover struct {
	Grant
	Listeners   []net.Listener   // the caller's to close
	PacketConns []net.PacketConn // as well
	conn        *net.UnixConn
	updates     chan []byte
	gone        chan struct{}
}

// TakeOver asks the process at a path, within a time, for as many listeners as a router that listens there has. An error says why the caller
// has to start by itself; nothing is left open then.
func TakeOver(path, listen string, listeners int, within time.Duration) (*Takeover, error) {
	return TakeOverAll(path, listen, listeners, 0, within)
}

// TakeOverAll is Take of a router that has sockets of datagrams too.
func TakeOverAll(path, listen string, listeners, packets int, within time.Duration) (*Takeover, error) {
	until := time.Now().Add(within)
	d := net.Dialer{Deadline: until}
	dialed, err := d.Dial("unix", path)
	if err != nil {
		return nil, fmt.Errorf("handover: nobody there: %w", err)
	}
	t := &Takeover{conn: dialed.(*net.UnixConn), updates: make(chan []byte, 1), gone: make(chan struct{})}
	t.conn.SetDeadline(until)
	if err := t.exchange(listen, listeners, packets); err != nil {
		for _, ln := range t.Listeners {
			ln.Close()
		}
		for _, pc := range t.PacketConns {
			pc.Close()
		}
		t.conn.Close()
		return nil, err
	}
	t.conn.SetDeadline(time.Time{})
	go t.receiveUpdates() // ends with the old process, or with Close
	return t, nil
}

// receiveUpdates takes words until the old process is gone. Of those that nobody has heard the latest is kept.
func (t *Takeover) receiveUpdates() {
	defer close(t.gone)
	defer close(t.updates)
	for {
		k, body, err := readFrame(t.conn, nil)
		if err != nil || k != kindUpdate {
			return // whatever it is, it is over
		}
		select {
		case <-t.updates:
		default:
		}
		t.updates <- body // there is room: nobody else sends
	}
}

// Updates are what the old process has to tell. The channel is closed once that is gone.
func (t *Takeover) Updates() <-chan []byte { return t.updates }

// exchange is the new process's half.
func (t *Takeover) exchange(listen string, listeners, packets int) error {
	if err := sameUser(t.conn); err != nil {
		return err
	}
	body, err := json.Marshal(Hello{listen, os.Getpid()})
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	if _, err := t.conn.Write(appendFrame(nil, kindHello, body)); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	var head [headerBytes]byte
	oob := make([]byte, syscall.CmsgSpace(4*maxSockets))
	n, oobn, _, _, err := t.conn.ReadMsgUnix(head[:], oob)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	if err := t.adoptDescriptors(oob[:oobn]); err != nil {
		return err
	}
	k, body, err := readFrame(t.conn, head[:n])
	switch {
	case err != nil:
		return err
	case k == kindRefusal:
		return fmt.Errorf("handover: refused: %.200q", body)
	case k != kindGrant:
		return fmt.Errorf("%w: kind %d", errInvalidFrame, k)
	}
	if err := json.Unmarshal(body, &t.Grant); err != nil {
		return fmt.Errorf("%w: %v", errInvalidFrame, err)
	}
	if !(t.Share >= 0.05 && t.Share <= 0.5) {
		return fmt.Errorf("%w: a part of %v", errInvalidFrame, t.Share)
	}
	if len(t.Listeners) != listeners || len(t.PacketConns) != packets {
		return fmt.Errorf("%w: %d listeners and %d sockets of datagrams, not %d and %d", errInvalidFrame, len(t.Listeners), len(t.PacketConns), listeners, packets)
	}
	return nil
}

// adoptDescriptors makes sockets of the descriptors that came. What is none is closed and makes the exchange fail.
func (t *Takeover) adoptDescriptors(oob []byte) error {
	msgs, err := syscall.ParseSocketControlMessage(oob)
	if err != nil {
		return fmt.Errorf("%w: %v", errInvalidFrame, err)
	}
	for _, m := range msgs {
		fds, more := syscall.ParseUnixRights(&m)
		if more != nil {
			return fmt.Errorf("%w: %v", errInvalidFrame, more)
		}
		for _, fd := range fds {
			syscall.CloseOnExec(fd)
			f := os.NewFile(uintptr(fd), "taken over")
			ln, bad := net.FileListener(f) // has a descriptor of its own
			pc, none := net.FilePacketConn(f)
			f.Close()
			switch {
			case bad == nil:
				t.Listeners = append(t.Listeners, ln)
				if none == nil {
					pc.Close()
				}
			case none == nil:
				t.PacketConns = append(t.PacketConns, pc)
			default:
				err = fmt.Errorf("%w: a descriptor that neither listens nor takes datagrams: %v", errInvalidFrame, bad)
			}
		}
	}
	return err
}

// ConfirmServing tells the old process that this one takes clients.
func (t *Takeover) ConfirmServing() error {
	t.conn.SetWriteDeadline(time.Now().Add(ExchangeTimeout))
	if _, err := t.conn.Write(appendFrame(nil, kindServing, nil)); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

// Gone is closed when the old process is gone, or this side is closed.
func (t *Takeover) Gone() <-chan struct{} { return t.gone }

// Close ends the bond with the old process, which then has all its room again.
func (t *Takeover) Close() {
	t.conn.Close()
	<-t.gone
}
