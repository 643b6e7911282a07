// Package meta is the memcache meta text protocol, as clients speak it to routers and routers to cache servers. All that
// comes from a peer is bounded.
package meta

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"
)

// Bounds of the protocol.
const (
	MaxLine      = 4096     // of a command or an answer
	MaxKey       = 250      // memcache's own limit
	MaxValue     = 64 << 10 // that is held as a whole
	MaxLongValue = 4 << 20  // of a write, or of one that passes through in pieces
	MaxID        = 64
	MaxFacts     = 32
)

// ErrMalformed is the root of all errors about what a peer has sent.
var ErrMalformed = errors.New("malformed")

// Malformed is an error about what a peer has sent.
func Malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

// Command is a request of a client.
type Command struct {
	Verb   string // "mg", "ms", or another of one word
	Key    string
	ID     string // opaque, O
	Facts  string // P, as it came
	Length int    // ms: of the value,
	Value  []byte // which is read last

	Class, Tenant, IdempotencyKey string
	Auth                          string   // a token of the caller's, for this request alone
	Args                          []string // of another verb than mg and ms, behind it
	Wait, Hint, Size              float64  // ms, ms, bytes
	Retry                         bool
}

// ReadLine returns a line without its end, valid until the next read. The reader's buffer bounds it.
func ReadLine(r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return nil, Malformed("line over %d bytes", r.Size())
	}
	if err != nil {
		return nil, err
	}
	if !bytes.HasSuffix(line, []byte("\r\n")) {
		return nil, Malformed("line without its end")
	}
	line = line[:len(line)-2]
	for _, b := range line {
		if b < ' ' || b > '~' { // also keeps what is passed on in HTTP headers free of line ends
			return nil, Malformed("byte %#x in a line", b)
		}
	}
	return line, nil
}

// parseLength reads the length of a value.
func parseLength(text string, most int) (int, error) {
	n, err := strconv.ParseUint(text, 10, 31)
	if err != nil || n > uint64(most) {
		return 0, Malformed("value length %.40q", text)
	}
	return int(n), nil
}

// ReadValue reads a value of n bytes and the line end behind it; one that is not wanted is passed over.
func ReadValue(r *bufio.Reader, n int, unwanted bool) (v []byte, err error) {
	if unwanted {
		_, err = r.Discard(n)
	} else {
		v = make([]byte, n)
		_, err = io.ReadFull(r, v)
	}
	if err != nil {
		return nil, err
	}
	end, err := r.Peek(2)
	if len(end) > 0 && end[0] != '\r' || len(end) > 1 && end[1] != '\n' {
		return nil, Malformed("value without its end")
	}
	if err != nil {
		return nil, err
	}
	r.Discard(2) //nolint:errcheck // it is buffered
	return v, nil
}

// ReadCommand reads one command but for its value. It takes the one form that routers pass on and nothing beside it, as
// what a cache server can't read costs it a connection, with all that waits there.
func ReadCommand(r *bufio.Reader) (Command, error) {
	line, err := ReadLine(r)
	if err != nil {
		return Command{}, err
	}
	parts := strings.Fields(string(line))
	if len(parts) == 0 {
		return Command{}, Malformed("empty command")
	}
	c := Command{Verb: parts[0]}
	if c.Verb != "mg" && c.Verb != "ms" {
		c.Args = parts[1:]
		return c, nil
	}
	if len(parts) != 5 || len(parts[1]) > MaxKey {
		return c, Malformed("%s takes a key of up to %d bytes, %s, O and P", c.Verb, MaxKey, map[string]string{"mg": "v", "ms": "a length"}[c.Verb])
	}
	c.Key = parts[1]
	if c.Verb == "ms" {
		if c.Length, err = parseLength(parts[2], MaxLongValue); err != nil {
			return c, err
		}
	} else if parts[2] != "v" {
		return c, Malformed("mg without v")
	}
	for _, f := range parts[3:] {
		switch {
		case f[0] == 'O' && c.ID == "" && len(f) > 1 && len(f) <= 1+MaxID:
			c.ID = f[1:]
		case f[0] == 'P' && c.Facts == "":
			c.Facts = f[1:]
		default:
			return c, Malformed("flag %.40q", f)
		}
	}
	if c.ID == "" {
		return c, Malformed("no id")
	}
	return c, c.parseFacts()
}

// parseFacts reads the list of names and values; unknown names are passed over.
func (c *Command) parseFacts() error {
	c.Wait = -1
	var names []string
	for f := range strings.SplitSeq(c.Facts, ",") {
		name, v, found := strings.Cut(f, "=")
		if !found || name == "" || v == "" || slices.Contains(names, name) || len(names) == MaxFacts {
			return Malformed("fact %.40q", f)
		}
		names = append(names, name)
		var at *float64
		switch name {
		case "c":
			c.Class = v
		case "t":
			c.Tenant = v
		case "k":
			c.IdempotencyKey = v
		case "a":
			c.Auth = v
		case "r":
			if c.Retry = v == "1"; !c.Retry && v != "0" {
				return Malformed("fact %.40q", f)
			}
		case "d":
			at = &c.Wait
		case "h":
			at = &c.Hint
		case "size":
			at = &c.Size
		}
		if at == nil {
			continue
		}
		n, err := parseDecimal(v)
		if err != nil {
			return err
		}
		*at = n
	}
	c.Hint /= 1000 // microseconds on sockets; the module counts in milliseconds throughout
	if c.Class == "" || c.Wait < 0 {
		return Malformed("no class or no time")
	}
	return nil
}

// RewriteFacts makes the facts those that servers get of a known caller: its tenant, whatever it says itself, an idempotency key that is
// nobody else's, and no token.
func (c *Command) RewriteFacts(tenant, idem string) {
	if c.Auth == "" && c.IdempotencyKey == "" && c.Tenant == tenant { // they are that already
		return
	}
	b := make([]byte, 0, len(c.Facts)+len(tenant)+len(idem))
	named := false
	for f := range strings.SplitSeq(c.Facts, ",") {
		name, _, _ := strings.Cut(f, "=")
		switch name {
		case "a":
			continue
		case "t":
			f, named = "t="+tenant, true
		case "k":
			f = "k=" + idem
		}
		if len(b) > 0 {
			b = append(b, ',')
		}
		b = append(b, f...)
	}
	if !named {
		b = append(append(b, ",t="...), tenant...)
	}
	c.Facts, c.Tenant, c.IdempotencyKey, c.Auth = string(b), tenant, idem, ""
}

// parseDecimal reads a number in plain digits, perhaps with a fraction: what the library takes besides (signs, exponents,
// hexadecimal, words) is no form of the protocol.
func parseDecimal(text string) (float64, error) {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || n > math.MaxUint32 || strings.Trim(text, "0123456789.") != "" || len(text) > 20 {
		return 0, Malformed("number %.40q", text)
	}
	return n, nil
}

// Append writes the command as a cache server gets it: as it came, but for the deadline, which becomes what is left in ms.
func (c *Command) Append(b []byte, left float64) []byte {
	b = append(append(append(b, c.Verb...), ' '), c.Key...)
	if c.Verb == "ms" {
		b = strconv.AppendInt(append(b, ' '), int64(len(c.Value)), 10)
	} else {
		b = append(b, " v"...)
	}
	b = append(append(append(b, " O"...), c.ID...), " P"...)
	b = AppendFacts(b, c.Facts, left)
	b = append(b, "\r\n"...)
	if c.Verb == "ms" {
		b = append(append(b, c.Value...), "\r\n"...)
	}
	return b
}

// AppendFacts writes a request's facts as a server gets them: as they came, but for the deadline, which becomes what is left in ms.
func AppendFacts(b []byte, facts string, left float64) []byte {
	rest, more := facts, facts != ""
	for i := 0; more; i++ {
		var fact string
		fact, rest, more = strings.Cut(rest, ",")
		if i > 0 {
			b = append(b, ',')
		}
		if strings.HasPrefix(fact, "d=") {
			b = strconv.AppendInt(append(b, "d="...), int64(max(1, left)), 10)
		} else {
			b = append(b, fact...)
		}
	}
	return b
}

// Kind is what a cache server says.
type Kind int

// The answers of a cache server.
const (
	Done   Kind = iota // a value or a receipt
	Miss               // it lacks the key
	Busy               // turned away, not run
	Failed             // it may have run
)

// Answer is a cache server's answer to a command.
type Answer struct {
	Kind        Kind
	Body        []byte // Done: the value or the receipt
	CacheResult int    // 1 hit, 2 miss, 3 miss while another fetch of the key is out
	LoadReport  string // the load report, as it came
	UnreadBytes int    // Done: length of a value that is not read, with its end; 0 = Body is the value
}

// answerPrefixes are the beginnings of a cache server's answers.
var answerPrefixes = [][]byte{[]byte("VA "), []byte("HD "), []byte("EN"), []byte("SERVER_ERROR ")}

// readAnswerLine returns an answer's first line without its end and without the load report that may end it, and the
// report. The line is valid until the next read. What can't become an answer is rejected as soon as it shows: noise
// has no line end to wait for. A report may hold any byte, as it is no part of the answer.
func readAnswerLine(r *bufio.Reader) (line, report []byte, err error) {
	for seen := 1; ; seen = r.Buffered() + 1 {
		b, err := r.Peek(seen)
		if errors.Is(err, bufio.ErrBufferFull) {
			return nil, nil, Malformed("answer line over %d bytes", r.Size())
		}
		if err != nil {
			return nil, nil, err
		}
		if !slices.ContainsFunc(answerPrefixes, func(k []byte) bool {
			return bytes.HasPrefix(b, k) || len(b) < len(k) && bytes.HasPrefix(k, b)
		}) {
			return nil, nil, Malformed("answer %.40q", b)
		}
		b, _ = r.Peek(r.Buffered())
		if i := bytes.IndexByte(b, '\n'); i >= 0 {
			line = bytes.TrimSuffix(b[:i], []byte("\r"))
			r.Discard(i + 1) //nolint:errcheck // it is buffered
			break
		}
	}
	if i := bytes.Index(line, []byte(" L")); i >= 0 {
		line, report = line[:i], line[i+2:]
	}
	if bytes.ContainsFunc(line, func(c rune) bool { return c < ' ' || c > '~' }) {
		return nil, nil, Malformed("answer %.40q", line)
	}
	return line, report, nil
}

// ReadAnswer reads a cache server's answer to a command, but for the value where that is long. An error leaves the connection without use.
func ReadAnswer(r *bufio.Reader, c *Command) (Answer, error) {
	var a Answer
	line, report, err := readAnswerLine(r)
	if err != nil {
		return a, err
	}
	parts := strings.Fields(string(line))
	if len(parts) < 2 {
		return a, Malformed("answer %q", parts)
	}
	a.LoadReport = string(report) // before the line's buffer is used again
	kind, flags := parts[0], parts[1:]
	id, receipt, known := "", "", true
	switch {
	case kind == "VA" && c.Verb == "mg":
		if id, err = answerID(flags[1:]); err == nil && id == c.ID { // else its value is nobody's, and not read
			var n int
			if n, err = parseLength(flags[0], MaxLongValue); err == nil && n > MaxValue {
				a.UnreadBytes = n
			} else if err == nil {
				a.Body, err = ReadValue(r, n, false)
			}
		}
		if err != nil {
			return a, err
		}
		flags = flags[1:]
	case kind == "HD" && c.Verb == "ms":
	case kind == "EN":
		a.Kind = Miss
	case kind == "SERVER_ERROR" && flags[0] == "busy":
		a.Kind, id, flags = Busy, c.ID, nil // an error line carries no id
	case kind == "SERVER_ERROR" && flags[0] == "failed":
		a.Kind, id, flags = Failed, c.ID, nil
	default:
		known = false
	}
	if !known {
		return a, Malformed("answer %q", parts)
	}
	if id == "" {
		if id, err = answerID(flags); err != nil {
			return a, err
		}
	}
	// An answer to another request, left over on the connection, must not reach this client.
	if id != c.ID {
		return a, Malformed("answer for id %q, want %q", id, c.ID)
	}
	for _, f := range flags {
		switch f[0] {
		case 'c':
			receipt = f[1:]
		case 'h':
			a.CacheResult = map[string]int{"h1": 1, "h0": 2}[f]
		case 'Z':
			a.CacheResult = 3
		}
	}
	if kind == "HD" {
		if receipt == "" {
			return a, Malformed("write without a receipt")
		}
		a.Body = []byte(receipt)
	}
	return a, nil
}

// answerID finds the id among an answer's flags. Two of them belong to no request.
func answerID(flags []string) (id string, err error) {
	for _, f := range flags {
		if f[0] != 'O' {
			continue
		}
		if id != "" {
			return "", Malformed("answer with two ids")
		}
		id = f[1:]
	}
	return id, nil
}

// The answers that a client gets.

// Served is the answer with a value, or with the receipt of a write.
func Served(write bool, id string, body []byte) []byte {
	if write {
		return fmt.Appendf(nil, "HD O%s c%s\r\n", id, body)
	}
	b := fmt.Appendf(make([]byte, 0, len(body)+64), "VA %d O%s\r\n", len(body), id)
	return append(append(b, body...), "\r\n"...)
}

// ServedHeader is the beginning of an answer with a value of n bytes, which the value and a line end follow.
func ServedHeader(id string, n int) []byte { return fmt.Appendf(nil, "VA %d O%s\r\n", n, id) }

// ClientError says that a request is not taken, for what its sender may or may not do: it has not run, and trying it again as it is brings
// the same.
func ClientError(why string, wait float64) []byte {
	if wait < 1 {
		return fmt.Appendf(nil, "CLIENT_ERROR %s\r\n", why)
	}
	return fmt.Appendf(nil, "CLIENT_ERROR %s, come again after %d ms\r\n", why, int64(wait))
}

// NotFound is the answer to a read of what nobody has.
func NotFound(id string) []byte { return fmt.Appendf(nil, "EN O%s\r\n", id) }

// Refused says that trying again is harmless, after wait milliseconds where that is 1 or more.
func Refused(wait float64) []byte {
	if wait < 1 {
		return []byte("SERVER_ERROR busy\r\n")
	}
	return fmt.Appendf(nil, "SERVER_ERROR busy %d\r\n", int64(wait))
}

// Failure promises nothing.
func Failure() []byte { return []byte("SERVER_ERROR failed\r\n") }

// ReadStats reads the answer to stats load, as the text of a load report.
func ReadStats(r *bufio.Reader) (report string, err error) {
	var fields []string
	for range 64 {
		line, err := ReadLine(r)
		if err != nil {
			return "", err
		}
		if string(line) == "END" {
			return strings.Join(fields, ","), nil
		}
		var name, value string
		if n, _ := fmt.Sscanf(string(line), "STAT %s %s", &name, &value); n != 2 {
			return "", Malformed("statistics line %q", line)
		}
		fields = append(fields, name+"="+value)
	}
	return "", Malformed("statistics without an end")
}
