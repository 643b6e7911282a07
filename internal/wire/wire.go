// Package wire translates between the simulator's text protocol and the decide package. Each router instance
// has a Balancer of its own, and instances share no state. All decisions are made by the Balancers.
package wire

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"

	"mossproxy.example/mossproxy/decide"
	"mossproxy.example/mossproxy/internal/settings"
)

// instance is one simulated router. It implements decide.Host by writing each action to the reply.
type instance struct {
	balancer *decide.Balancer
	id       string
	out      *bytes.Buffer
	columns  []string
}

// Session holds the router instances of one adapter process.
type Session struct {
	instances map[string]*instance
	out       *bytes.Buffer // reply to the current batch, written only after the whole batch was parsed
}

var statusByName = map[string]decide.Status{
	"Ok": decide.OK, "Failed": decide.Failed, "QueueFull": decide.QueueFull, "TimedOut": decide.TimedOut,
	"ConnectError": decide.ConnectError, "ResetByPeer": decide.Reset, "Canceled": decide.Canceled,
	"Ignored": decide.Ignored, "Miss": decide.Miss,
}

var listKindByName = map[string]decide.ListKind{
	"changes": decide.Changes, "all": decide.Full, "remembered": decide.Restored, "refused": decide.ListFailed,
}

var stateByName = map[string]decide.State{"ready": decide.Ready, "draining": decide.Draining, "gone": decide.Removed}

// Run reads batches from in and writes a reply to each to out until in ends. A malformed batch ends it with
// an error that contains the line number; no part of that batch's reply is written.
func Run(in io.Reader, out io.Writer) error {
	r := newLineReader(in)
	s := &Session{instances: map[string]*instance{}, out: new(bytes.Buffer)}
	for {
		more, err := s.handleBatch(r)
		if err != nil {
			return fmt.Errorf("line %d: %w", r.lineNumber, err)
		}
		if !more {
			return nil
		}
		s.out.WriteString("OK\n")
		if _, err := s.out.WriteTo(out); err != nil {
			return fmt.Errorf("writing the reply: %w", err)
		}
	}
}

// lineReader reads lines of any length and counts them for error messages.
type lineReader struct {
	reader     *bufio.Reader
	lineNumber int
}

func newLineReader(in io.Reader) *lineReader {
	return &lineReader{reader: bufio.NewReaderSize(in, 1<<20)}
}

// readLine returns the next line without its line ending. It returns io.EOF only if the input ends after a
// complete line.
func (l *lineReader) readLine() (string, error) {
	text, err := l.reader.ReadString('\n')
	if errors.Is(err, io.EOF) && text == "" {
		return "", io.EOF
	}
	l.lineNumber++
	if errors.Is(err, io.EOF) {
		return "", errors.New("input ends within a line")
	}
	if err != nil {
		return "", fmt.Errorf("reading: %w", err)
	}
	return strings.TrimSuffix(text[:len(text)-1], "\r"), nil
}

// handleBatch reads one batch and processes its events. It returns false at the end of input.
func (s *Session) handleBatch(r *lineReader) (bool, error) {
	text, err := r.readLine()
	for err == nil && text == "" {
		text, err = r.readLine()
	}
	if err == io.EOF {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	f := fields{rest: text, hasMore: true}
	if w := f.next(); w != "SYNC" {
		return false, fmt.Errorf("want SYNC, got %q", w)
	}
	now := f.parseNumber("clock", false)
	if err := f.expectEnd("SYNC"); err != nil {
		return false, err
	}
	for {
		text, err := r.readLine()
		if err == io.EOF {
			return false, errors.New("input ends within a batch")
		}
		if err != nil {
			return false, err
		}
		if text == "COMMIT" {
			return true, nil
		}
		if text == "" {
			continue
		}
		if err := s.handleEvent(now, text, r); err != nil {
			return false, err
		}
	}
}

// fields parses the space-separated fields of a line and keeps the first error.
type fields struct {
	rest    string
	hasMore bool
	err     error
}

func (f *fields) next() string {
	if !f.hasMore {
		if f.err == nil {
			f.err = errors.New("too few values")
		}
		return ""
	}
	w, rest, more := strings.Cut(f.rest, " ")
	f.rest, f.hasMore = rest, more
	return w
}

func (f *fields) fail(name, w string) {
	if f.err == nil {
		f.err = fmt.Errorf("bad %s %q", name, w)
	}
}

// remainder returns the unparsed rest of the line, spaces included.
func (f *fields) remainder() string {
	if !f.hasMore {
		return f.next()
	}
	f.hasMore = false
	return f.rest
}

// parseNumber parses a finite number. If absent is true, "-" stands for a missing value and yields 0.
func (f *fields) parseNumber(name string, absent bool) float64 {
	w := f.next()
	if absent && w == "-" {
		return 0
	}
	v, err := strconv.ParseFloat(w, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		f.fail(name, w)
		return 0
	}
	return v
}

func (f *fields) parseUint(name string) uint32 {
	w := f.next()
	v, err := strconv.ParseUint(w, 10, 32)
	if err != nil {
		f.fail(name, w)
	}
	return uint32(v)
}

func (f *fields) parseBool(name string) bool {
	w := f.next()
	if w != "0" && w != "1" && w != "-" {
		f.fail(name, w)
	}
	return w == "1"
}

func (f *fields) expectEnd(what string) error {
	if f.err == nil && f.hasMore {
		f.err = fmt.Errorf("too many values at %q", f.rest)
	}
	if f.err != nil {
		return fmt.Errorf("%s: %w", what, f.err)
	}
	return nil
}

func parseEnum[T any](f *fields, name string, words map[string]T) T {
	w := f.next()
	v, ok := words[w]
	if !ok {
		f.fail(name, w)
	}
	return v
}

// parseLoad parses a server's load report. Values that the report leaves out keep decide.NoLoad's negative
// value.
func (f *fields) parseLoad(columns []string) decide.Load {
	l := decide.NoLoad
	w := f.next()
	if w == "-" || w == "" && f.err != nil {
		return l
	}
	parts := strings.Split(w, ",")
	if len(parts) != len(columns) {
		f.fail("load report", w)
		return l
	}
	for i, p := range parts {
		if p == "-" || p == "" {
			continue
		}
		v, err := strconv.ParseFloat(p, 64)
		if err != nil {
			f.fail("load report", w)
			return l
		}
		settings.SetLoad(&l, columns[i], v)
	}
	return l
}

// handleEvent parses one event and passes it to its instance. Events for unknown instances are parsed and
// ignored.
func (s *Session) handleEvent(now float64, text string, r *lineReader) error {
	f := fields{rest: text, hasMore: true}
	kind := f.next()
	id := f.next()
	if _, err := strconv.ParseUint(id, 10, 63); err != nil && f.err == nil {
		f.fail("instance", id)
	}
	in := s.instances[id]
	var deliver func(b *decide.Balancer)
	switch kind {
	case "OPEN_INSTANCE":
		w := f.next()
		seed, err := strconv.ParseUint(w, 10, 64)
		if n, err2 := strconv.ParseInt(w, 10, 64); err != nil && err2 == nil {
			seed, err = uint64(n), nil
		}
		if err != nil {
			f.fail("entropy", w)
		}
		info := f.remainder()
		if err := f.expectEnd(kind); err != nil {
			return err
		}
		return s.openInstance(id, seed, info)
	case "DIRECTORY_UPDATE":
		listKind := parseEnum(&f, "kind", listKindByName)
		f.parseNumber("version", true)
		n := f.parseUint("number of entries")
		if err := f.expectEnd(kind); err != nil {
			return err
		}
		entries := make([]decide.Entry, 0, min(n, 4096))
		for range n {
			e, err := readEntry(r)
			if err != nil {
				return err
			}
			entries = append(entries, e)
		}
		deliver = func(b *decide.Balancer) { b.Servers(now, listKind, entries) }
	case "ASK":
		q := decide.Request{ID: f.parseUint("requestId"), Class: f.next(), Tenant: f.next()}
		if k := f.next(); k != "-" {
			v, err := strconv.ParseUint(k, 16, 64)
			if err != nil {
				f.fail("affinity", k)
			}
			q.Key, q.HasKey = v, true
		}
		q.Left, q.Hint, q.Size = f.parseNumber("remaining", false), f.parseNumber("weightHint", true), f.parseNumber("size", true)
		q.Retry, q.Write = f.parseBool("isRetry"), f.parseBool("isWrite")
		deliver = func(b *decide.Balancer) { b.Request(now, q) }
	case "VANISHED":
		q := f.parseUint("requestId")
		deliver = func(b *decide.Balancer) { b.ClientGone(now, q) }
	case "UNDER_WAY":
		q := f.parseUint("requestId")
		f.parseUint("leg")
		f.parseUint("server")
		f.parseNumber("lag", true)
		deliver = func(b *decide.Balancer) { b.StreamStarted(now, q) }
	case "STATUS_BACK":
		server, status := f.parseUint("server"), parseEnum(&f, "outcome", statusByName)
		f.parseNumber("lag", true)
		var columns []string
		if in != nil {
			columns = in.columns
		}
		var l decide.Load
		if in != nil {
			l = f.parseLoad(columns)
		} else {
			f.next()
		}
		deliver = func(b *decide.Balancer) { b.ProbeResult(now, server, status, l) }
	case "MESSAGE":
		from := int(f.parseUint("sender"))
		w := f.next()
		data, err := base64.StdEncoding.DecodeString(strings.TrimSuffix(w, "-"))
		if err != nil {
			f.fail("octets", w)
		}
		deliver = func(b *decide.Balancer) { b.PeerMessage(now, from, data) }
	case "SHUTDOWN":
		if err := f.expectEnd(kind); err != nil {
			return err
		}
		delete(s.instances, id)
		return nil
	case "RETURNED":
		o := decide.Outcome{ID: f.parseUint("requestId"), Attempt: int(f.parseUint("leg")), Server: f.parseUint("server"),
			Status: parseEnum(&f, "outcome", statusByName), Latency: f.parseNumber("lag", true), Final: f.parseBool("final"),
			CacheResult: int(f.parseNumber("note", true))}
		if in != nil {
			o.Load = f.parseLoad(in.columns)
		} else {
			f.next()
		}
		deliver = func(b *decide.Balancer) { b.Outcome(now, o) }
	case "FIRED":
		w := f.next()
		token, err := strconv.ParseUint(w, 10, 64)
		deliver = func(b *decide.Balancer) {
			if err == nil { // a Balancer's tokens are numbers; any other is ignored
				b.Timer(now, token)
			}
		}
	default:
		return fmt.Errorf("unknown event %q", kind)
	}
	if err := f.expectEnd(kind); err != nil {
		return err
	}
	if in != nil {
		deliver(in.balancer)
	}
	return nil
}

func (s *Session) openInstance(id string, seed uint64, info string) error {
	parsed, err := settings.Parse([]byte(info))
	if err != nil {
		return err
	}
	in := &instance{id: id, out: s.out, columns: parsed.Columns}
	if in.balancer, err = decide.New(parsed.Config, seed, in); err != nil {
		return err
	}
	s.instances[id] = in
	return nil
}

// readEntry parses one entry of a server list.
func readEntry(r *lineReader) (decide.Entry, error) {
	text, err := r.readLine()
	if err == io.EOF {
		return decide.Entry{}, errors.New("input ends within a list")
	}
	if err != nil {
		return decide.Entry{}, err
	}
	f := fields{rest: text, hasMore: true}
	if w := f.next(); w != "M" {
		return decide.Entry{}, fmt.Errorf("want a list entry, got %q", w)
	}
	e := decide.Entry{Started: f.parseNumber("startedAt", true), Size: f.parseNumber("size", true), ID: f.parseUint("server"),
		State: parseEnum(&f, "mode", stateByName), Zone: f.next(), Cell: int(f.parseNumber("bay", true)), Kind: f.next()}
	return e, f.expectEnd("list entry")
}

// The methods of decide.Host each write one action to the reply, by writeAction.

func (in *instance) writeAction(name string, parts ...string) {
	w := in.out
	w.WriteString(name)
	w.WriteByte(' ')
	w.WriteString(in.id)
	for _, p := range parts {
		w.WriteByte(' ')
		w.WriteString(p)
	}
	w.WriteByte('\n')
}

func formatUint(v uint32) string { return strconv.FormatUint(uint64(v), 10) }

func formatMillis(v float64) string { return strconv.FormatFloat(v, 'f', 3, 64) }

// Send writes PLACE with the request, the server and the attempt's timeout in ms.
func (in *instance) Send(id, server uint32, timeout float64) {
	in.writeAction("PLACE", formatUint(id), formatUint(server), formatMillis(timeout))
}

// Cancel writes WITHDRAW with the request and the number of the attempt.
func (in *instance) Cancel(id uint32, attempt int) {
	in.writeAction("WITHDRAW", formatUint(id), strconv.Itoa(attempt))
}

// Refuse writes OVERLOAD_REPLY with the request and the ms that the client may wait before a retry.
func (in *instance) Refuse(id uint32, wait float64) {
	in.writeAction("OVERLOAD_REPLY", formatUint(id), formatMillis(wait))
}

// Fail writes GIVE_UP with the request.
func (in *instance) Fail(id uint32) { in.writeAction("GIVE_UP", formatUint(id)) }

// Probe writes HEALTH_CHECK with the server.
func (in *instance) Probe(server uint32) { in.writeAction("HEALTH_CHECK", formatUint(server)) }

// Close writes LET_GO with the server.
func (in *instance) Close(server uint32) { in.writeAction("LET_GO", formatUint(server)) }

// WatchList writes TAIL 1, which subscribes to changes of the list.
func (in *instance) WatchList() { in.writeAction("TAIL", "1") }

// Timer writes ARM with the delay in ms and the token.
func (in *instance) Timer(after float64, tok uint64) {
	in.writeAction("ARM", formatMillis(after), strconv.FormatUint(tok, 10))
}

// Broadcast writes MEMO_TO with -1, which stands for every peer, and the data in base64.
func (in *instance) Broadcast(data []byte) {
	in.writeAction("MEMO_TO", "-1", base64.StdEncoding.EncodeToString(data))
}

// Log writes RECORD with the text, in which spaces replace newlines.
func (in *instance) Log(text string) { in.writeAction("RECORD", strings.ReplaceAll(text, "\n", " ")) }
