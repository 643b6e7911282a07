// Package wire translates between the simulator's text protocol and the decide package: one Balancer for each
// router instance, sharing nothing. It decides nothing.
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

// instance is one router: its Balancer and the actions it took in this batch.
type instance struct {
	b       *decide.Balancer
	id      string
	out     *bytes.Buffer
	columns []string
}

// Session hosts the instances of one adapter process.
type Session struct {
	instances map[string]*instance
	out       *bytes.Buffer // the reply to the batch in hand, written once the batch has been understood
}

var statuses = map[string]decide.Status{
	"Ok": decide.OK, "Failed": decide.Failed, "QueueFull": decide.QueueFull, "TimedOut": decide.TimedOut,
	"ConnectError": decide.ConnectError, "ResetByPeer": decide.Reset, "Canceled": decide.Canceled,
	"Ignored": decide.Ignored, "Miss": decide.Miss,
}

var listKinds = map[string]decide.ListKind{
	"changes": decide.Changes, "all": decide.Full, "remembered": decide.Restored, "refused": decide.ListFailed,
}

var states = map[string]decide.State{"ready": decide.Ready, "draining": decide.Draining, "gone": decide.Removed}

// Run answers batches from in on out until in ends. A malformed batch ends it with an error that names the line.
func Run(in io.Reader, out io.Writer) error {
	r := newLineReader(in)
	s := &Session{instances: map[string]*instance{}, out: new(bytes.Buffer)}
	for {
		more, err := s.batch(r)
		if err != nil {
			return fmt.Errorf("line %d: %w", r.n, err)
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

// lineReader reads lines of any length and counts them.
type lineReader struct {
	r *bufio.Reader
	n int
}

func newLineReader(in io.Reader) *lineReader { return &lineReader{r: bufio.NewReaderSize(in, 1<<20)} }

// next returns the next line without its end; io.EOF only at a clean end of input.
func (l *lineReader) next() (string, error) {
	text, err := l.r.ReadString('\n')
	if errors.Is(err, io.EOF) && text == "" {
		return "", io.EOF
	}
	l.n++
	if errors.Is(err, io.EOF) {
		return "", errors.New("input ends within a line")
	}
	if err != nil {
		return "", fmt.Errorf("reading: %w", err)
	}
	return strings.TrimSuffix(text[:len(text)-1], "\r"), nil
}

// batch reads one batch and acts on its events; false at the end of input.
func (s *Session) batch(r *lineReader) (bool, error) {
	text, err := r.next()
	for err == nil && text == "" {
		text, err = r.next()
	}
	if err == io.EOF {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	f := fields{rest: text, more: true}
	if w := f.word(); w != "SYNC" {
		return false, fmt.Errorf("want SYNC, got %q", w)
	}
	now := f.number("clock", false)
	if err := f.end("SYNC"); err != nil {
		return false, err
	}
	for {
		text, err := r.next()
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
		if err := s.event(now, text, r); err != nil {
			return false, err
		}
	}
}

// fields walks through the parts of a line; the first error sticks.
type fields struct {
	rest string
	more bool
	err  error
}

func (f *fields) word() string {
	if !f.more {
		if f.err == nil {
			f.err = errors.New("too few values")
		}
		return ""
	}
	w, rest, more := strings.Cut(f.rest, " ")
	f.rest, f.more = rest, more
	return w
}

func (f *fields) fail(name, w string) {
	if f.err == nil {
		f.err = fmt.Errorf("bad %s %q", name, w)
	}
}

// text returns the remainder of the line.
func (f *fields) text() string {
	if !f.more {
		return f.word()
	}
	f.more = false
	return f.rest
}

// number reads a finite number; an absent one is 0 where that is allowed.
func (f *fields) number(name string, absent bool) float64 {
	w := f.word()
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

func (f *fields) uint(name string) uint32 {
	w := f.word()
	v, err := strconv.ParseUint(w, 10, 32)
	if err != nil {
		f.fail(name, w)
	}
	return uint32(v)
}

func (f *fields) bool(name string) bool {
	w := f.word()
	if w != "0" && w != "1" && w != "-" {
		f.fail(name, w)
	}
	return w == "1"
}

func (f *fields) end(what string) error {
	if f.err == nil && f.more {
		f.err = fmt.Errorf("too many values at %q", f.rest)
	}
	if f.err != nil {
		return fmt.Errorf("%s: %w", what, f.err)
	}
	return nil
}

func oneOf[T any](f *fields, name string, words map[string]T) T {
	w := f.word()
	v, ok := words[w]
	if !ok {
		f.fail(name, w)
	}
	return v
}

// load reads a report; its absent figures stay below 0.
func (f *fields) load(columns []string) decide.Load {
	l := decide.NoLoad
	w := f.word()
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

// event reads one event and hands it to its instance. Events for unknown instances are passed over.
func (s *Session) event(now float64, text string, r *lineReader) error {
	f := fields{rest: text, more: true}
	kind := f.word()
	id := f.word()
	if _, err := strconv.ParseUint(id, 10, 63); err != nil && f.err == nil {
		f.fail("instance", id)
	}
	in := s.instances[id]
	var do func(b *decide.Balancer)
	switch kind {
	case "OPEN_INSTANCE":
		w := f.word()
		seed, err := strconv.ParseUint(w, 10, 64)
		if n, err2 := strconv.ParseInt(w, 10, 64); err != nil && err2 == nil {
			seed, err = uint64(n), nil
		}
		if err != nil {
			f.fail("entropy", w)
		}
		info := f.text()
		if err := f.end(kind); err != nil {
			return err
		}
		return s.open(id, seed, info)
	case "DIRECTORY_UPDATE":
		lk := oneOf(&f, "kind", listKinds)
		f.number("version", true)
		n := f.uint("number of entries")
		if err := f.end(kind); err != nil {
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
		do = func(b *decide.Balancer) { b.Servers(now, lk, entries) }
	case "ASK":
		q := decide.Request{ID: f.uint("requestId"), Class: f.word(), Tenant: f.word()}
		if k := f.word(); k != "-" {
			v, err := strconv.ParseUint(k, 16, 64)
			if err != nil {
				f.fail("affinity", k)
			}
			q.Key, q.HasKey = v, true
		}
		q.Left, q.Hint, q.Size = f.number("remaining", false), f.number("weightHint", true), f.number("size", true)
		q.Retry, q.Write = f.bool("isRetry"), f.bool("isWrite")
		do = func(b *decide.Balancer) { b.Request(now, q) }
	case "VANISHED":
		q := f.uint("requestId")
		do = func(b *decide.Balancer) { b.ClientGone(now, q) }
	case "UNDER_WAY":
		q := f.uint("requestId")
		f.uint("leg")
		f.uint("server")
		f.number("lag", true)
		do = func(b *decide.Balancer) { b.StreamStarted(now, q) }
	case "STATUS_BACK":
		sv, st := f.uint("server"), oneOf(&f, "outcome", statuses)
		f.number("lag", true)
		var columns []string
		if in != nil {
			columns = in.columns
		}
		var l decide.Load
		if in != nil {
			l = f.load(columns)
		} else {
			f.word()
		}
		do = func(b *decide.Balancer) { b.ProbeResult(now, sv, st, l) }
	case "MESSAGE":
		from := int(f.uint("sender"))
		w := f.word()
		data, err := base64.StdEncoding.DecodeString(strings.TrimSuffix(w, "-"))
		if err != nil {
			f.fail("octets", w)
		}
		do = func(b *decide.Balancer) { b.PeerMessage(now, from, data) }
	case "SHUTDOWN":
		if err := f.end(kind); err != nil {
			return err
		}
		delete(s.instances, id)
		return nil
	case "RETURNED":
		o := decide.Outcome{ID: f.uint("requestId"), Attempt: int(f.uint("leg")), Server: f.uint("server"),
			Status: oneOf(&f, "outcome", statuses), Latency: f.number("lag", true), Final: f.bool("final"),
			CacheResult: int(f.number("note", true))}
		if in != nil {
			o.Load = f.load(in.columns)
		} else {
			f.word()
		}
		do = func(b *decide.Balancer) { b.Outcome(now, o) }
	case "FIRED":
		w := f.word()
		token, err := strconv.ParseUint(w, 10, 64)
		do = func(b *decide.Balancer) {
			if err == nil { // a token that is not ours has nothing to say
				b.Timer(now, token)
			}
		}
	default:
		return fmt.Errorf("unknown event %q", kind)
	}
	if err := f.end(kind); err != nil {
		return err
	}
	if in != nil {
		do(in.b)
	}
	return nil
}

func (s *Session) open(id string, seed uint64, info string) error {
	set, err := settings.Parse([]byte(info))
	if err != nil {
		return err
	}
	in := &instance{id: id, out: s.out, columns: set.Columns}
	if in.b, err = decide.New(set.Config, seed, in); err != nil {
		return err
	}
	s.instances[id] = in
	return nil
}

// readEntry reads one line of a list.
func readEntry(r *lineReader) (decide.Entry, error) {
	text, err := r.next()
	if err == io.EOF {
		return decide.Entry{}, errors.New("input ends within a list")
	}
	if err != nil {
		return decide.Entry{}, err
	}
	f := fields{rest: text, more: true}
	if w := f.word(); w != "M" {
		return decide.Entry{}, fmt.Errorf("want a list entry, got %q", w)
	}
	e := decide.Entry{Started: f.number("startedAt", true), Size: f.number("size", true), ID: f.uint("server"),
		State: oneOf(&f, "mode", states), Zone: f.word(), Cell: int(f.number("bay", true)), Kind: f.word()}
	return e, f.end("list entry")
}

// The methods of decide.Host write one action each.

func (in *instance) line(name string, parts ...string) {
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

func num(v uint32) string { return strconv.FormatUint(uint64(v), 10) }

func ms(v float64) string { return strconv.FormatFloat(v, 'f', 3, 64) }

func (in *instance) Send(id, server uint32, timeout float64) {
	in.line("PLACE", num(id), num(server), ms(timeout))
}
func (in *instance) Cancel(id uint32, attempt int) {
	in.line("WITHDRAW", num(id), strconv.Itoa(attempt))
}
func (in *instance) Refuse(id uint32, wait float64) { in.line("OVERLOAD_REPLY", num(id), ms(wait)) }
func (in *instance) Fail(id uint32)                 { in.line("GIVE_UP", num(id)) }
func (in *instance) Probe(server uint32)            { in.line("HEALTH_CHECK", num(server)) }
func (in *instance) Close(server uint32)            { in.line("LET_GO", num(server)) }
func (in *instance) WatchList()                     { in.line("TAIL", "1") }
func (in *instance) Timer(after float64, tok uint64) {
	in.line("ARM", ms(after), strconv.FormatUint(tok, 10))
}
func (in *instance) Broadcast(data []byte) {
	in.line("MEMO_TO", "-1", base64.StdEncoding.EncodeToString(data))
}
func (in *instance) Log(text string) { in.line("RECORD", strings.ReplaceAll(text, "\n", " ")) }
