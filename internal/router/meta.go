package router

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

	"mossproxy.example/mossproxy/decide"
	"mossproxy.example/mossproxy/internal/settings"
)

// The memcache meta text protocol, as clients speak it to routers and routers to cache servers.

const (
	maxLine  = 4096     // of a command or an answer
	maxKey   = 250      // memcache's own limit
	maxValue = 64 << 10 // of the protocol
	maxID    = 64
	maxFacts = 32
)

// errMalformed is the root of all errors about what a peer has sent.
var errMalformed = errors.New("malformed")

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errMalformed, fmt.Sprintf(format, args...))
}

// command is a request of a client.
type command struct {
	verb   string // "mg", "ms", or another of one word
	key    string
	id     string // opaque, O
	facts  string // P, as it came
	length int    // ms: of the value,
	value  []byte // which is read last

	class, tenant, idem string
	wait, hint, size    float64 // ms, ms, bytes
	retry               bool
}

// readLine returns a line without its end, valid until the next read. The reader's buffer bounds it.
func readLine(r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return nil, malformed("line over %d bytes", r.Size())
	}
	if err != nil {
		return nil, err
	}
	if !bytes.HasSuffix(line, []byte("\r\n")) {
		return nil, malformed("line without its end")
	}
	line = line[:len(line)-2]
	for _, b := range line {
		if b < ' ' || b > '~' { // also keeps what is passed on in HTTP headers free of line ends
			return nil, malformed("byte %#x in a line", b)
		}
	}
	return line, nil
}

// readLength reads the length of a value.
func readLength(text string) (int, error) {
	n, err := strconv.ParseUint(text, 10, 31)
	if err != nil || n > maxValue {
		return 0, malformed("value length %.40q", text)
	}
	return int(n), nil
}

// readValue reads a value of n bytes and the line end behind it; one that is not wanted is passed over.
func readValue(r *bufio.Reader, n int, unwanted bool) (v []byte, err error) {
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
		return nil, malformed("value without its end")
	}
	if err != nil {
		return nil, err
	}
	r.Discard(2) //nolint:errcheck // it is buffered
	return v, nil
}

// readCommand reads one command but for its value. It takes the one form that routers pass on and nothing beside it, as
// what a cache server can't read costs it a connection, with all that waits there.
func readCommand(r *bufio.Reader) (command, error) {
	line, err := readLine(r)
	if err != nil {
		return command{}, err
	}
	parts := strings.Fields(string(line))
	if len(parts) == 0 {
		return command{}, malformed("empty command")
	}
	c := command{verb: parts[0]}
	if c.verb != "mg" && c.verb != "ms" {
		return c, nil
	}
	if len(parts) != 5 || len(parts[1]) > maxKey {
		return c, malformed("%s takes a key of up to %d bytes, %s, O and P", c.verb, maxKey, map[string]string{"mg": "v", "ms": "a length"}[c.verb])
	}
	c.key = parts[1]
	if c.verb == "ms" {
		if c.length, err = readLength(parts[2]); err != nil {
			return c, err
		}
	} else if parts[2] != "v" {
		return c, malformed("mg without v")
	}
	for _, f := range parts[3:] {
		switch {
		case f[0] == 'O' && c.id == "" && len(f) > 1 && len(f) <= 1+maxID:
			c.id = f[1:]
		case f[0] == 'P' && c.facts == "":
			c.facts = f[1:]
		default:
			return c, malformed("flag %.40q", f)
		}
	}
	if c.id == "" {
		return c, malformed("no id")
	}
	return c, c.readFacts()
}

// readFacts reads the list of names and values; unknown names are passed over.
func (c *command) readFacts() error {
	c.wait = -1
	var names []string
	for f := range strings.SplitSeq(c.facts, ",") {
		name, v, found := strings.Cut(f, "=")
		if !found || name == "" || v == "" || slices.Contains(names, name) || len(names) == maxFacts {
			return malformed("fact %.40q", f)
		}
		names = append(names, name)
		var at *float64
		switch name {
		case "c":
			c.class = v
		case "t":
			c.tenant = v
		case "k":
			c.idem = v
		case "r":
			if c.retry = v == "1"; !c.retry && v != "0" {
				return malformed("fact %.40q", f)
			}
		case "d":
			at = &c.wait
		case "h":
			at = &c.hint
		case "size":
			at = &c.size
		}
		if at == nil {
			continue
		}
		n, err := decimal(v)
		if err != nil {
			return err
		}
		*at = n
	}
	c.hint /= 1000 // microseconds on sockets; the module counts in milliseconds throughout
	if c.class == "" || c.wait < 0 {
		return malformed("no class or no time")
	}
	return nil
}

// decimal reads a number in plain digits, perhaps with a fraction: what the library takes besides (signs, exponents,
// hexadecimal, words) is no form of the protocol.
func decimal(text string) (float64, error) {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || n > math.MaxUint32 || strings.Trim(text, "0123456789.") != "" || len(text) > 20 {
		return 0, malformed("number %.40q", text)
	}
	return n, nil
}

// append writes the command as a cache server gets it: as it came, but for the time that the router will wait.
func (c *command) append(b []byte, wait float64) []byte {
	b = append(append(append(b, c.verb...), ' '), c.key...)
	if c.verb == "ms" {
		b = strconv.AppendInt(append(b, ' '), int64(len(c.value)), 10)
	} else {
		b = append(b, " v"...)
	}
	b = append(append(append(b, " O"...), c.id...), " P"...)
	for i, f := range strings.Split(c.facts, ",") {
		if i > 0 {
			b = append(b, ',')
		}
		if strings.HasPrefix(f, "d=") {
			b = strconv.AppendInt(append(b, "d="...), int64(max(1, wait)), 10)
		} else {
			b = append(b, f...)
		}
	}
	b = append(b, "\r\n"...)
	if c.verb == "ms" {
		b = append(append(b, c.value...), "\r\n"...)
	}
	return b
}

// reply is what came back for an attempt.
type reply struct {
	status decide.Status
	body   []byte // OK: the value or the receipt
	note   int    // 1 hit, 2 miss, 3 miss while another fetch of the key is out
	load   decide.Load
	last   bool // the connection carries no further request

	refused bool // the connection was refused: no process listens
}

// ran says whether a server has answered, whatever that was.
func (a *reply) ran() bool {
	return a.status == decide.OK || a.status == decide.Miss || a.status == decide.Failed || a.status == decide.QueueFull
}

// answerKinds are the beginnings of a cache server's answers.
var answerKinds = [][]byte{[]byte("VA "), []byte("HD "), []byte("EN"), []byte("SERVER_ERROR ")}

// readAnswerLine returns an answer's first line without its end and without the load report that may end it, and the
// report. The line is valid until the next read. What can't become an answer is rejected as soon as it shows: noise
// has no line end to wait for. A report may hold any byte, as it is no part of the answer.
func readAnswerLine(r *bufio.Reader) (line, report []byte, err error) {
	for seen := 1; ; seen = r.Buffered() + 1 {
		b, err := r.Peek(seen)
		if errors.Is(err, bufio.ErrBufferFull) {
			return nil, nil, malformed("answer line over %d bytes", r.Size())
		}
		if err != nil {
			return nil, nil, err
		}
		if !slices.ContainsFunc(answerKinds, func(k []byte) bool {
			return bytes.HasPrefix(b, k) || len(b) < len(k) && bytes.HasPrefix(k, b)
		}) {
			return nil, nil, malformed("answer %.40q", b)
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
		return nil, nil, malformed("answer %.40q", line)
	}
	return line, report, nil
}

// readReply reads a cache server's answer to a command. An error leaves the connection without use.
func readReply(r *bufio.Reader, c *command) (reply, error) {
	a := reply{load: decide.NoLoad}
	line, report, err := readAnswerLine(r)
	if err != nil {
		return a, err
	}
	parts := strings.Fields(string(line))
	if len(parts) < 2 {
		return a, malformed("answer %q", parts)
	}
	a.load = readLoad(string(report)) // before the line's buffer is used again
	kind, flags := parts[0], parts[1:]
	id, receipt, known := "", "", true
	switch {
	case kind == "VA" && c.verb == "mg":
		if id, err = answerID(flags[1:]); err == nil && id == c.id { // else its value is nobody's, and not read
			var n int
			if n, err = readLength(flags[0]); err == nil {
				a.body, err = readValue(r, n, false)
			}
		}
		if err != nil {
			return a, err
		}
		a.status, flags = decide.OK, flags[1:]
	case kind == "HD" && c.verb == "ms":
		a.status = decide.OK
	case kind == "EN":
		a.status = decide.Miss
	case kind == "SERVER_ERROR" && flags[0] == "busy":
		a.status, id, flags = decide.QueueFull, c.id, nil // an error line carries no id
	case kind == "SERVER_ERROR" && flags[0] == "failed":
		a.status, id, flags = decide.Failed, c.id, nil
	default:
		known = false
	}
	if !known {
		return a, malformed("answer %q", parts)
	}
	if id == "" {
		if id, err = answerID(flags); err != nil {
			return a, err
		}
	}
	// An answer to another request, left over on the connection, must not reach this client.
	if id != c.id {
		return a, malformed("answer for id %q, want %q", id, c.id)
	}
	for _, f := range flags {
		switch f[0] {
		case 'c':
			receipt = f[1:]
		case 'h':
			a.note = map[string]int{"h1": 1, "h0": 2}[f]
		case 'Z':
			a.note = 3
		}
	}
	if kind == "HD" {
		if receipt == "" {
			return a, malformed("write without a receipt")
		}
		a.body = []byte(receipt)
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
			return "", malformed("answer with two ids")
		}
		id = f[1:]
	}
	return id, nil
}

// readLoad reads a load report. One with a figure that can't be read is absent: the rest is no better.
func readLoad(text string) decide.Load {
	l := decide.NoLoad
	for f := range strings.SplitSeq(text, ",") {
		name, v, _ := strings.Cut(strings.TrimSpace(f), "=")
		n, err := strconv.ParseFloat(v, 64)
		if err != nil || !(n >= 0) || math.IsInf(n, 0) || strings.ContainsAny(v, "xXpP_") { // or hexadecimal
			return decide.NoLoad
		}
		settings.SetLoad(&l, name, n)
	}
	return l
}

// The answers that a client gets.

func served(c *command, body []byte) []byte {
	if c.verb == "ms" {
		return fmt.Appendf(nil, "HD O%s c%s\r\n", c.id, body)
	}
	b := fmt.Appendf(make([]byte, 0, len(body)+64), "VA %d O%s\r\n", len(body), c.id)
	return append(append(b, body...), "\r\n"...)
}

func refused(wait float64) []byte {
	if wait < 1 {
		return []byte("SERVER_ERROR busy\r\n")
	}
	return fmt.Appendf(nil, "SERVER_ERROR busy %d\r\n", int64(wait))
}

func failed() []byte { return []byte("SERVER_ERROR failed\r\n") }
