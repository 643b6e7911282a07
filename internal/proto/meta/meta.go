// Package meta reads and writes the memcache meta text protocol, which clients speak to routers and routers
// to cache servers. All input from a peer is bounded in size.
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

// Limits of the protocol, in bytes unless noted.
const (
	MaxLine      = 4096     // length of the line of a command or an answer
	MaxKey       = 250      // the limit of memcache itself
	MaxValue     = 64 << 10 // value that is buffered as a whole
	MaxLongValue = 4 << 20  // value of a write, or a value that is streamed
	MaxID        = 64
	MaxFacts     = 32 // number of name=value pairs of a command
)

// ErrMalformed is wrapped by all errors about invalid input from a peer.
var ErrMalformed = errors.New("malformed")

// Malformed returns an error that wraps ErrMalformed, for invalid input from a peer.
func Malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

// Command is a request of a client.
type Command struct {
	Verb   string // "mg", "ms" or the first word of another command
	Key    string
	ID     string // opaque id, flag O
	Facts  string // flag P, unchanged: comma-separated name=value pairs
	Length int    // ms: length of the value in bytes
	Value  []byte // ms: read separately, by ReadValue

	Class, Tenant, IdempotencyKey string
	Auth                          string   // token of the caller, valid for this request alone
	Args                          []string // arguments of verbs other than mg and ms
	Wait, Hint, Size              float64  // time left in ms, expected work in ms, size in bytes
	Retry                         bool
}

// ReadLine returns a line without its line end, valid until the next read. The size of the reader's buffer
// limits its length.
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
		if b < ' ' || b > '~' { // also prevents line ends in forwarded HTTP headers
			return nil, Malformed("byte %#x in a line", b)
		}
	}
	return line, nil
}

// parseLength parses the length of a value, which must not exceed limit bytes.
func parseLength(text string, limit int) (int, error) {
	n, err := strconv.ParseUint(text, 10, 31)
	if err != nil || n > uint64(limit) {
		return 0, Malformed("value length %.40q", text)
	}
	return int(n), nil
}

// ReadValue reads a value of n bytes and the line end that follows it. An unwanted value is discarded.
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
	r.Discard(2) //nolint:errcheck // both bytes are buffered
	return v, nil
}

// ReadCommand reads one command without its value. It accepts only the form that routers forward: a cache
// server closes the connection on a command that it can't parse, and all requests that wait there fail.
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

// parseFacts parses the list of name=value pairs; unknown names are ignored.
func (c *Command) parseFacts() error {
	c.Wait = -1
	var seen []string
	for f := range strings.SplitSeq(c.Facts, ",") {
		name, v, found := strings.Cut(f, "=")
		if !found || name == "" || v == "" || slices.Contains(seen, name) || len(seen) == MaxFacts {
			return Malformed("fact %.40q", f)
		}
		seen = append(seen, name)
		var target *float64
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
			target = &c.Wait
		case "h":
			target = &c.Hint
		case "size":
			target = &c.Size
		}
		if target == nil {
			continue
		}
		n, err := parseDecimal(v)
		if err != nil {
			return err
		}
		*target = n
	}
	c.Hint /= 1000 // microseconds on the wire, milliseconds everywhere else
	if c.Class == "" || c.Wait < 0 {
		return Malformed("no class or no time")
	}
	return nil
}

// RewriteFacts replaces the facts by those that servers get for an authenticated caller: the caller's tenant
// instead of the one it names, an idempotency key that no other caller can use, and no token.
func (c *Command) RewriteFacts(tenant, idempotencyKey string) {
	if c.Auth == "" && c.IdempotencyKey == "" && c.Tenant == tenant { // nothing to rewrite
		return
	}
	b := make([]byte, 0, len(c.Facts)+len(tenant)+len(idempotencyKey))
	hasTenant := false
	for f := range strings.SplitSeq(c.Facts, ",") {
		name, _, _ := strings.Cut(f, "=")
		switch name {
		case "a":
			continue
		case "t":
			f, hasTenant = "t="+tenant, true
		case "k":
			f = "k=" + idempotencyKey
		}
		if len(b) > 0 {
			b = append(b, ',')
		}
		b = append(b, f...)
	}
	if !hasTenant {
		b = append(append(b, ",t="...), tenant...)
	}
	c.Facts, c.Tenant, c.IdempotencyKey, c.Auth = string(b), tenant, idempotencyKey, ""
}

// parseDecimal parses a number in decimal digits with an optional fraction. The other forms that
// strconv.ParseFloat accepts (signs, exponents, hexadecimal, names) are not part of the protocol.
func parseDecimal(text string) (float64, error) {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || n > math.MaxUint32 || strings.Trim(text, "0123456789.") != "" || len(text) > 20 {
		return 0, Malformed("number %.40q", text)
	}
	return n, nil
}

// Append appends the command in the form for a cache server: as received, except that the deadline becomes
// the remaining time in ms.
func (c *Command) Append(b []byte, remainingMS float64) []byte {
	b = append(append(append(b, c.Verb...), ' '), c.Key...)
	if c.Verb == "ms" {
		b = strconv.AppendInt(append(b, ' '), int64(len(c.Value)), 10)
	} else {
		b = append(b, " v"...)
	}
	b = append(append(append(b, " O"...), c.ID...), " P"...)
	b = AppendFacts(b, c.Facts, remainingMS)
	b = append(b, "\r\n"...)
	if c.Verb == "ms" {
		b = append(append(b, c.Value...), "\r\n"...)
	}
	return b
}

// AppendFacts appends the facts of a request in the form for a server: as received, except that the deadline
// becomes the remaining time in ms, at least 1.
func AppendFacts(b []byte, facts string, remainingMS float64) []byte {
	rest, more := facts, facts != ""
	for i := 0; more; i++ {
		var fact string
		fact, rest, more = strings.Cut(rest, ",")
		if i > 0 {
			b = append(b, ',')
		}
		if strings.HasPrefix(fact, "d=") {
			b = strconv.AppendInt(append(b, "d="...), int64(max(1, remainingMS)), 10)
		} else {
			b = append(b, fact...)
		}
	}
	return b
}

// Kind is the kind of an answer of a cache server.
type Kind int

// Kinds of answers of a cache server.
const (
	Done   Kind = iota // a value, or the receipt of a write
	Miss               // the server does not hold the key
	Busy               // rejected for lack of capacity, not run
	Failed             // it may have run
)

// Answer is a cache server's answer to a command.
type Answer struct {
	Kind        Kind
	Body        []byte // Done: the value or the receipt
	CacheResult int    // 1 hit, 2 miss, 3 miss while another fetch of the key is in flight
	LoadReport  string // the load report, unchanged
	UnreadBytes int    // Done: length of a value left unread, as is its line end; 0 = Body is the value
}

// answerPrefixes lists the prefixes of valid answers of a cache server.
var answerPrefixes = [][]byte{[]byte("VA "), []byte("HD "), []byte("EN"), []byte("SERVER_ERROR ")}

// readAnswerLine returns the first line of an answer, without its line end and without the load report that
// may follow the answer, and the report. Both are valid until the next read. Input that can't become an
// answer is rejected as soon as a byte shows it, since garbage may never contain a line end. A report may
// hold any byte, as it is no part of the answer.
func readAnswerLine(r *bufio.Reader) (line, report []byte, err error) {
	for needed := 1; ; needed = r.Buffered() + 1 {
		b, err := r.Peek(needed)
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
			r.Discard(i + 1) //nolint:errcheck // the line is buffered
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

// ReadAnswer reads the answer of a cache server to a command. A value longer than MaxValue stays unread, see
// UnreadBytes. head is called once the line ahead of a value is read and names the command. After an error the
// connection can't be used any more.
func ReadAnswer(r *bufio.Reader, c *Command, head func()) (Answer, error) {
	var a Answer
	line, report, err := readAnswerLine(r)
	if err != nil {
		return a, err
	}
	parts := strings.Fields(string(line))
	if len(parts) < 2 {
		return a, Malformed("answer %q", parts)
	}
	a.LoadReport = string(report) // copied before the next read reuses the buffer
	kind, flags := parts[0], parts[1:]
	id, receipt, known := "", "", true
	switch {
	case kind == "VA" && c.Verb == "mg" && validFlags(flags[1:]):
		if id, err = answerID(flags[1:]); err == nil && id == c.ID { // else unread: for no request
			var n int
			if n, err = parseLength(flags[0], MaxLongValue); err == nil {
				head()
			}
			if err == nil && n > MaxValue {
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
		a.Kind, id, flags = Busy, c.ID, nil // error lines carry no id
	case kind == "SERVER_ERROR" && flags[0] == "failed":
		a.Kind, id, flags = Failed, c.ID, nil
	default:
		known = false
	}
	if !known || !validFlags(flags) {
		return a, Malformed("answer %q", parts)
	}
	if id == "" {
		if id, err = answerID(flags); err != nil {
			return a, err
		}
	}
	// A leftover answer to an earlier request on the connection must not reach this client.
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

// validFlags reports whether all flags of an answer are ones that the protocol knows: a part of an earlier answer
// that comes once more ahead of an answer makes a line with other words.
func validFlags(flags []string) bool {
	for _, f := range flags {
		switch {
		case f[0] == 'O' || f[0] == 'c', f == "h0", f == "h1", f == "Z":
		default:
			return false
		}
	}
	return true
}

// answerID returns the id among the flags of an answer, or "". An answer with two ids belongs to no request
// and is an error.
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

// Answers to clients.

// Served returns the answer with a value, or with the receipt of a write.
func Served(write bool, id string, body []byte) []byte {
	if write {
		return fmt.Appendf(nil, "HD O%s c%s\r\n", id, body)
	}
	b := fmt.Appendf(make([]byte, 0, len(body)+64), "VA %d O%s\r\n", len(body), id)
	return append(append(b, body...), "\r\n"...)
}

// ServedHeader returns the first line of an answer with a value of n bytes. The value and a line end follow
// it.
func ServedHeader(id string, n int) []byte { return fmt.Appendf(nil, "VA %d O%s\r\n", n, id) }

// ClientError returns the answer to a request that is rejected for lack of permission or quota of its sender.
// The request has not run, and an unchanged retry is rejected again, at least for retryAfterMS milliseconds
// where that is 1 or more.
func ClientError(reason string, retryAfterMS float64) []byte {
	if retryAfterMS < 1 {
		return fmt.Appendf(nil, "CLIENT_ERROR %s\r\n", reason)
	}
	return fmt.Appendf(nil, "CLIENT_ERROR %s, come again after %d ms\r\n", reason, int64(retryAfterMS))
}

// NotFound returns the answer to a read of a key that has no value.
func NotFound(id string) []byte { return fmt.Appendf(nil, "EN O%s\r\n", id) }

// Refused returns the answer to a request that has not run: a retry is harmless, after retryAfterMS
// milliseconds where that is 1 or more.
func Refused(retryAfterMS float64) []byte {
	if retryAfterMS < 1 {
		return []byte("SERVER_ERROR busy\r\n")
	}
	return fmt.Appendf(nil, "SERVER_ERROR busy %d\r\n", int64(retryAfterMS))
}

// Failure returns the answer to a failed request, which may have run.
func Failure() []byte { return []byte("SERVER_ERROR failed\r\n") }

// ReadStats reads the answer to the command "stats load" and returns it in the form of a load report.
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
