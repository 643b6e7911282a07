package handover

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"
)

// maxSockets is the maximum number of sockets that are handed over.
const maxSockets = 16

// Takeover holds what a new process has received from the old one, and the connection between them, which
// lasts until the old process ends or Close is called.
type Takeover struct {
	Grant
	Listeners   []net.Listener   // closed by the caller
	PacketConns []net.PacketConn // closed by the caller
	conn        *net.UnixConn
	updates     chan []byte
	gone        chan struct{}
}

// TakeOver requests a takeover from the process at a socket path, for the router with the given client
// address and number of listeners. On error, which may be a timeout, nothing stays open and the caller has to
// start without a predecessor.
func TakeOver(path, listen string, listeners int, timeout time.Duration) (*Takeover, error) {
	return TakeOverAll(path, listen, listeners, 0, timeout)
}

// TakeOverAll is TakeOver for a router that also has datagram sockets.
func TakeOverAll(path, listen string, listeners, packets int, timeout time.Duration) (*Takeover, error) {
	deadline := time.Now().Add(timeout)
	d := net.Dialer{Deadline: deadline}
	conn, err := d.Dial("unix", path)
	if err != nil {
		return nil, fmt.Errorf("handover: no running process: %w", err)
	}
	t := &Takeover{conn: conn.(*net.UnixConn), updates: make(chan []byte, 1), gone: make(chan struct{})}
	t.conn.SetDeadline(deadline)
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

// receiveUpdates reads updates until the old process ends. Of those that the caller has not read only the
// latest is kept.
func (t *Takeover) receiveUpdates() {
	defer close(t.gone)
	defer close(t.updates)
	for {
		k, body, err := readFrame(t.conn, nil)
		if err != nil || k != kindUpdate {
			return // the old process has ended, or the input is invalid
		}
		select {
		case <-t.updates:
		default:
		}
		t.updates <- body // never blocks: there is no other sender
	}
}

// Updates returns the channel of updates from the old process. It is closed when that process ends.
func (t *Takeover) Updates() <-chan []byte { return t.updates }

// exchange runs the new process's side of the protocol up to the grant.
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
		return fmt.Errorf("%w: unexpected kind %d", errInvalidFrame, k)
	}
	if err := json.Unmarshal(body, &t.Grant); err != nil {
		return fmt.Errorf("%w: %v", errInvalidFrame, err)
	}
	if !(t.Share >= 0.05 && t.Share <= 0.5) {
		return fmt.Errorf("%w: share %v is not within 0.05 to 0.5", errInvalidFrame, t.Share)
	}
	if len(t.Listeners) != listeners || len(t.PacketConns) != packets {
		return fmt.Errorf("%w: %d listeners and %d datagram sockets, want %d and %d", errInvalidFrame, len(t.Listeners), len(t.PacketConns), listeners, packets)
	}
	return nil
}

// adoptDescriptors turns received file descriptors into listeners and datagram sockets. Any other descriptor
// is closed and makes the exchange fail.
func (t *Takeover) adoptDescriptors(oob []byte) error {
	msgs, err := syscall.ParseSocketControlMessage(oob)
	if err != nil {
		return fmt.Errorf("%w: %v", errInvalidFrame, err)
	}
	for _, m := range msgs {
		fds, rightsErr := syscall.ParseUnixRights(&m)
		if rightsErr != nil {
			return fmt.Errorf("%w: %v", errInvalidFrame, rightsErr)
		}
		for _, fd := range fds {
			syscall.CloseOnExec(fd)
			f := os.NewFile(uintptr(fd), "taken over")
			ln, listenErr := net.FileListener(f) // duplicates the descriptor
			pc, packetErr := net.FilePacketConn(f)
			f.Close()
			switch {
			case listenErr == nil:
				t.Listeners = append(t.Listeners, ln)
				if packetErr == nil {
					pc.Close()
				}
			case packetErr == nil:
				t.PacketConns = append(t.PacketConns, pc)
			default:
				err = fmt.Errorf("%w: descriptor is neither a listener nor a datagram socket: %v", errInvalidFrame, listenErr)
			}
		}
	}
	return err
}

// ConfirmServing notifies the old process that this one serves clients.
func (t *Takeover) ConfirmServing() error {
	t.conn.SetWriteDeadline(time.Now().Add(ExchangeTimeout))
	if _, err := t.conn.Write(appendFrame(nil, kindServing, nil)); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

// Gone returns a channel that is closed when the old process has ended, or after Close.
func (t *Takeover) Gone() <-chan struct{} { return t.gone }

// Close closes the connection to the old process, which then reclaims all its resources.
func (t *Takeover) Close() {
	t.conn.Close()
	<-t.gone
}
