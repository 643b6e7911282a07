// Package resp is the wire form of RESP2 and RESP3 (the Redis serialization protocol, redis.io/docs/reference/protocol-spec):
// commands as clients send them, replies as servers give them, read from either side. Every length, depth and line that a
// peer can name is bounded.
package resp

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// Bounds on what a peer may send.
const (
	MaxLine    = 4096      // bytes of a line, as of an inline command, an error or a length
	MaxBulk    = 64 << 10  // bytes of one string
	MaxArgs    = 1024      // words of a command
	MaxCommand = 256 << 10 // bytes of a command's words together, and of a reply's strings
	MaxDepth   = 8         // aggregates within aggregates
	MaxItems   = 1 << 16   // items of a reply: a map of all slots, each alone, has some 50,000
)

// ErrProtocol is the root of all errors about what a peer has sent.
var ErrProtocol = errors.New("protocol error")

func protocolError(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrProtocol, fmt.Sprintf(format, args...))
}

// Command is one command. Its words lie in memory that the next Read into the same Command uses again.
type Command struct {
	Args [][]byte
	buf  []byte
	ends []int
}

// Reader reads commands or replies. The buffer of in bounds lines: it must hold MaxLine.
type Reader struct{ in *bufio.Reader }

// NewReader reads from in, whose buffer holds at least MaxLine bytes.
func NewReader(in *bufio.Reader) Reader { return Reader{in} }

// readLine returns a line without its end, valid until the next read.
func (r Reader) readLine() ([]byte, error) {
	l, err := r.in.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) || len(l) > MaxLine {
		return nil, protocolError("too big a line")
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(l[:len(l)-1], []byte("\r")), nil
}

// parseLength reads a number of at most max behind a type byte; -1 is taken where null says so.
func parseLength(text []byte, max int, null bool) (int, error) {
	if null && len(text) == 2 && text[0] == '-' && text[1] == '1' {
		return -1, nil
	}
	n := 0
	if len(text) == 0 || len(text) > 9 {
		return 0, protocolError("invalid length %.20q", text)
	}
	for _, b := range text {
		if b < '0' || b > '9' {
			return 0, protocolError("invalid length %.20q", text)
		}
		n = 10*n + int(b-'0')
	}
	if n > max {
		return 0, protocolError("a length of %d, at most %d", n, max)
	}
	return n, nil
}

// ReadCommand reads a command, an array of strings or an inline one, into c. An empty one has no words. It allocates
// only where c has not held as much before.
func (r Reader) ReadCommand(c *Command) error {
	c.Args, c.buf, c.ends = c.Args[:0], c.buf[:0], c.ends[:0]
	first, err := r.in.Peek(1)
	if err != nil {
		return err
	}
	if first[0] != '*' {
		l, err := r.readLine()
		if err != nil {
			return err
		}
		return c.parseInline(l)
	}
	l, err := r.readLine()
	if err != nil {
		return err
	}
	n, err := parseLength(l[1:], MaxArgs, true)
	if err != nil {
		return err
	}
	for range n {
		if err := r.readArg(c); err != nil {
			return unexpectedEOF(err)
		}
	}
	c.splitArgs()
	return nil
}

// unexpectedEOF makes an end within a command differ from one between two.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readArg reads one string of a command.
func (r Reader) readArg(c *Command) error {
	l, err := r.readLine()
	if err != nil {
		return err
	}
	if len(l) == 0 || l[0] != '$' {
		return protocolError("expected '$', got %.1q", l)
	}
	n, err := parseLength(l[1:], MaxBulk, false)
	if err != nil {
		return err
	}
	at := len(c.buf)
	if at+n > MaxCommand {
		return protocolError("a command of over %d bytes", MaxCommand)
	}
	if c.buf, err = r.readBulk(c.buf, n); err != nil {
		return err
	}
	c.ends = append(c.ends, len(c.buf))
	return nil
}

// readBulk appends n bytes and passes over the line end behind them. What is not there yet is made room for in steps, so that
// a length alone costs nothing.
func (r Reader) readBulk(to []byte, n int) ([]byte, error) {
	for n > 0 {
		step := min(n, 8<<10)
		at := len(to)
		to = append(to, make([]byte, step)...)
		if _, err := io.ReadFull(r.in, to[at:]); err != nil {
			return to, unexpectedEOF(err)
		}
		n -= step
	}
	var end [2]byte
	for i := range end {
		b, err := r.in.ReadByte()
		if err != nil {
			return to, unexpectedEOF(err)
		}
		end[i] = b
	}
	if end != [2]byte{'\r', '\n'} {
		return to, protocolError("a string without its end")
	}
	return to, nil
}

// splitArgs finds the words in the buffer, once it moves no more.
func (c *Command) splitArgs() {
	at := 0
	for _, end := range c.ends {
		c.Args = append(c.Args, c.buf[at:end:end])
		at = end
	}
}

// parseInline reads a command in words on a line, with quotes as redis-cli and telnet users write them.
func (c *Command) parseInline(l []byte) error {
	for i := 0; i < len(l); {
		if l[i] == ' ' || l[i] == '\t' {
			i++
			continue
		}
		if len(c.ends) == MaxArgs {
			return protocolError("over %d words", MaxArgs)
		}
		var err error
		if i, err = c.parseWord(l, i); err != nil {
			return err
		}
		c.ends = append(c.ends, len(c.buf))
	}
	c.splitArgs()
	return nil
}

// parseWord reads one word from i on, and returns where it ends.
func (c *Command) parseWord(l []byte, i int) (int, error) {
	var quote byte
	for ; i < len(l); i++ {
		b := l[i]
		switch {
		case quote == 0 && (b == ' ' || b == '\t'):
			return i, nil
		case quote == 0 && (b == '"' || b == '\''):
			quote = b
		case quote != 0 && b == quote:
			if quote = 0; i+1 < len(l) && l[i+1] != ' ' && l[i+1] != '\t' {
				return i, protocolError("unbalanced quotes in request")
			}
		case quote == '"' && b == '\\' && i+1 < len(l):
			i = c.parseEscape(l, i+1)
		default:
			c.buf = append(c.buf, b)
		}
	}
	if quote != 0 {
		return i, protocolError("unbalanced quotes in request")
	}
	return i, nil
}

// parseEscape reads what stands behind a backslash, and returns the place of its last byte.
func (c *Command) parseEscape(l []byte, i int) int {
	if l[i] == 'x' && i+2 < len(l) {
		if v, err := strconv.ParseUint(string(l[i+1:i+3]), 16, 8); err == nil {
			c.buf = append(c.buf, byte(v))
			return i + 2
		}
	}
	b := l[i]
	if j := bytes.IndexByte([]byte("nrtba"), b); j >= 0 {
		b = "\n\r\t\b\a"[j]
	}
	c.buf = append(c.buf, b)
	return i
}

// Kind is the type of a reply, by its first byte on the wire.
type Kind byte

// The kinds of replies. Those from Null on are RESP3's alone.
const (
	Simple    Kind = '+'
	Error     Kind = '-'
	Integer   Kind = ':'
	Bulk      Kind = '$'
	Array     Kind = '*'
	Null      Kind = '_'
	Bool      Kind = '#'
	Double    Kind = ','
	BigInt    Kind = '('
	BlobError Kind = '!'
	Verbatim  Kind = '='
	Map       Kind = '%'
	Set       Kind = '~'
	Push      Kind = '>'
	Attribute Kind = '|'
)

// Reply is one reply of a server. Nil strings and arrays of RESP2 become Null.
type Reply struct {
	Kind  Kind
	Text  []byte  // of all that are no aggregates; the digits of numbers
	Items []Reply // of aggregates; a map's keys and values in turn
}

// IsError says whether a reply is an error.
func (r *Reply) IsError() bool { return r.Kind == Error || r.Kind == BlobError }

// ReadReply reads a reply. Attributes are read and passed over.
func (r Reader) ReadReply() (Reply, error) {
	b := &remaining{items: MaxItems, bytes: MaxCommand}
	return r.readNested(0, b)
}

// ReadItems reads an array whose items may be more than a reply may hold together: each is handed to take by itself, and
// bounded by itself. most bounds their number. An answer that is no array is an error that says what it is.
func (r Reader) ReadItems(most int, take func(Reply) error) error {
	l, err := r.readLine()
	if err != nil {
		return err
	}
	if len(l) == 0 || Kind(l[0]) != Array {
		return protocolError("%.80q where an array was expected", l)
	}
	n, err := parseLength(l[1:], most, false)
	if err != nil {
		return err
	}
	for range n {
		item, err := r.ReadReply()
		if err != nil {
			return unexpectedEOF(err)
		}
		if err := take(item); err != nil {
			return err
		}
	}
	return nil
}

// remaining is what is left for a reply.
type remaining struct{ items, bytes int }

func (r Reader) readNested(depth int, b *remaining) (Reply, error) {
	if b.items--; b.items < 0 || depth > MaxDepth {
		return Reply{}, protocolError("a reply of over %d items, or %d deep", MaxItems, MaxDepth)
	}
	l, err := r.readLine()
	if err != nil {
		return Reply{}, err
	}
	if len(l) == 0 {
		return Reply{}, protocolError("an empty line")
	}
	k, rest := Kind(l[0]), l[1:]
	switch k {
	case Simple, Error, Integer, Bool, Double, BigInt:
		return r.parseScalar(k, rest, b)
	case Null:
		return Reply{Kind: Null}, nil
	case Bulk, BlobError, Verbatim:
		n, err := parseLength(rest, MaxBulk, k == Bulk)
		if err != nil {
			return Reply{}, err
		}
		if n < 0 {
			return Reply{Kind: Null}, nil
		}
		if b.bytes -= n; b.bytes < 0 {
			return Reply{}, protocolError("a reply of over %d bytes", MaxCommand)
		}
		text, err := r.readBulk(nil, n)
		return Reply{Kind: k, Text: text}, err
	case Array, Map, Set, Push, Attribute:
		return r.readAggregate(k, rest, depth, b)
	}
	return Reply{}, protocolError("unknown type %.1q", l)
}

// parseScalar reads what stands on one line.
func (r Reader) parseScalar(k Kind, text []byte, b *remaining) (Reply, error) {
	ok := true
	switch k {
	case Integer:
		_, err := strconv.ParseInt(string(text), 10, 64)
		ok = err == nil
	case Bool:
		ok = len(text) == 1 && (text[0] == 't' || text[0] == 'f')
	case Double:
		_, err := strconv.ParseFloat(string(text), 64)
		ok = err == nil
	case BigInt:
		ok = len(text) > 0 && len(bytes.Trim(text, "0123456789-")) == 0
	}
	if !ok {
		return Reply{}, protocolError("bad %c%.40q", byte(k), text)
	}
	if b.bytes -= len(text); b.bytes < 0 {
		return Reply{}, protocolError("a reply of over %d bytes", MaxCommand)
	}
	return Reply{Kind: k, Text: bytes.Clone(text)}, nil
}

func (r Reader) readAggregate(k Kind, text []byte, depth int, b *remaining) (Reply, error) {
	n, err := parseLength(text, MaxItems, k == Array)
	if err != nil {
		return Reply{}, err
	}
	if n < 0 {
		return Reply{Kind: Null}, nil
	}
	if k == Map || k == Attribute {
		n *= 2
	}
	out := Reply{Kind: k}
	for range n {
		item, err := r.readNested(depth+1, b)
		if err != nil {
			return Reply{}, unexpectedEOF(err)
		}
		out.Items = append(out.Items, item)
	}
	if k == Attribute { // it only speaks of the reply behind it
		return r.readNested(depth, b)
	}
	return out, nil
}

// AppendCommand writes a command.
func AppendCommand(b []byte, args ...[]byte) []byte {
	b = appendHeader(b, '*', len(args))
	for _, a := range args {
		b = AppendBulk(b, a)
	}
	return b
}

func appendHeader(b []byte, k byte, n int) []byte {
	return append(strconv.AppendInt(append(b, k), int64(n), 10), "\r\n"...)
}

// AppendBulk writes a string.
func AppendBulk(b, text []byte) []byte {
	return append(append(appendHeader(b, '$', len(text)), text...), "\r\n"...)
}

// AppendSimple writes a status.
func AppendSimple(b []byte, text string) []byte {
	return append(append(append(b, '+'), text...), "\r\n"...)
}

// AppendError writes an error. Line ends in it become blanks.
func AppendError(b []byte, text string) []byte {
	b = append(b, '-')
	for i := range len(text) {
		if c := text[i]; c == '\r' || c == '\n' {
			b = append(b, ' ')
		} else {
			b = append(b, c)
		}
	}
	return append(b, "\r\n"...)
}

// AppendInt writes a number.
func AppendInt(b []byte, n int64) []byte {
	return append(strconv.AppendInt(append(b, ':'), n, 10), "\r\n"...)
}

// AppendArrayHeader writes the head of an array of n items.
func AppendArrayHeader(b []byte, n int) []byte { return appendHeader(b, '*', n) }

// AppendMapHeader writes the head of a map of n pairs: in RESP2 an array of both.
func AppendMapHeader(b []byte, n, proto int) []byte {
	if proto < 3 {
		return appendHeader(b, '*', 2*n)
	}
	return appendHeader(b, '%', n)
}

// AppendNull writes that there is nothing.
func AppendNull(b []byte, proto int) []byte {
	if proto < 3 {
		return append(b, "$-1\r\n"...)
	}
	return append(b, "_\r\n"...)
}

// AppendReply writes a reply as a client of that version of the protocol reads it.
func AppendReply(b []byte, r *Reply, proto int) []byte {
	switch r.Kind {
	case Null:
		return AppendNull(b, proto)
	case Bulk:
		return AppendBulk(b, r.Text)
	case Verbatim, BlobError:
		if proto >= 3 {
			return append(append(appendHeader(b, byte(r.Kind), len(r.Text)), r.Text...), "\r\n"...)
		}
		if r.Kind == BlobError {
			return AppendError(b, string(r.Text))
		}
		return AppendBulk(b, bytes.TrimPrefix(r.Text, []byte("txt:")))
	case Bool:
		if proto < 3 {
			if string(r.Text) == "t" {
				return AppendInt(b, 1)
			}
			return AppendInt(b, 0)
		}
	case Double, BigInt:
		if proto < 3 {
			return AppendBulk(b, r.Text)
		}
	case Array, Map, Set, Push:
		b = appendAggregateHeader(b, r, proto)
		for i := range r.Items {
			b = AppendReply(b, &r.Items[i], proto)
		}
		return b
	}
	return append(append(append(b, byte(r.Kind)), r.Text...), "\r\n"...)
}

func appendAggregateHeader(b []byte, r *Reply, proto int) []byte {
	switch {
	case r.Kind == Map:
		return AppendMapHeader(b, len(r.Items)/2, proto)
	case proto < 3:
		return appendHeader(b, '*', len(r.Items))
	}
	return appendHeader(b, byte(r.Kind), len(r.Items))
}
