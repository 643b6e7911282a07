// Package resp reads and writes RESP2 and RESP3, the Redis serialization protocol
// (redis.io/docs/reference/protocol-spec): commands of clients and replies of servers. Every length, nesting
// depth and line of a peer is bounded.
package resp

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// Limits on the input from a peer.
const (
	MaxLine    = 4096      // bytes of a line, such as an inline command, an error or a length
	MaxBulk    = 64 << 10  // bytes of one string
	MaxArgs    = 1024      // arguments of a command, including its name
	MaxCommand = 256 << 10 // total bytes of the arguments of a command, or of the strings of a reply
	MaxDepth   = 8         // levels of nested aggregates
	MaxItems   = 1 << 16   // items of a reply: a slot map with one range per slot has about 50,000
)

// ErrProtocol is wrapped by all errors about invalid input from a peer.
var ErrProtocol = errors.New("protocol error")

// protocolError returns an error that wraps ErrProtocol.
func protocolError(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrProtocol, fmt.Sprintf(format, args...))
}

// Command is one command. Its arguments are valid until the next ReadCommand into the same Command, which
// reuses their memory, or Release.
type Command struct {
	Args [][]byte
	// Reserve takes n bytes for a long command while it is read and reports whether they are available; Return gives
	// them back. nil = there is no limit.
	Reserve func(n int) bool
	Return  func(n int)
	// Discarded reports that there was no memory for the arguments: they were read and not kept.
	Discarded bool

	buf      []byte
	ends     []int
	reserved int
}

// freeBytes are the bytes of arguments for which a command needs no reservation.
const freeBytes = 4096

// Release gives the memory of a long command back.
func (c *Command) Release() {
	if c.reserved > 0 {
		c.Return(c.reserved)
		c.reserved = 0
	}
	if cap(c.buf) > 2*freeBytes {
		c.Args, c.buf = nil, nil
	}
}

// makeRoom reserves memory for n more bytes of arguments, or has the command discarded.
func (c *Command) makeRoom(n int) {
	if c.Discarded || c.Reserve == nil || len(c.buf)+n <= freeBytes {
		return
	}
	if !c.Reserve(n) {
		c.Release()
		c.Args, c.buf, c.ends, c.Discarded = c.Args[:0], c.buf[:0], c.ends[:0], true
		return
	}
	c.reserved += n
}

// Reader reads commands or replies. The buffer of in limits the length of lines and must hold MaxLine bytes.
type Reader struct {
	in   *bufio.Reader
	head func() // see OnHead; nil = nobody is told
}

// NewReader returns a Reader of in, whose buffer must hold at least MaxLine bytes.
func NewReader(in *bufio.Reader) Reader { return Reader{in: in} }

// OnHead returns a Reader that calls head each time that it has read the first line of a reply, except for push
// messages.
func (r Reader) OnHead(head func()) Reader { return Reader{r.in, head} }

// readLine returns a line without its line end, valid until the next read.
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

// parseLength parses the length that follows a type byte, at most limit. It accepts -1 only with allowNull.
func parseLength(text []byte, limit int, allowNull bool) (int, error) {
	if allowNull && len(text) == 2 && text[0] == '-' && text[1] == '1' {
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
	if n > limit {
		return 0, protocolError("a length of %d, at most %d", n, limit)
	}
	return n, nil
}

// ReadCommand reads a command, either an array of strings or an inline command, into c. An empty command has
// no arguments. It allocates only if c has not held a command of that size before.
func (r Reader) ReadCommand(c *Command) error {
	c.Args, c.buf, c.ends, c.Discarded = c.Args[:0], c.buf[:0], c.ends[:0], false
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

// unexpectedEOF turns io.EOF into io.ErrUnexpectedEOF, for input that ends within a command or a reply.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readArg reads one argument of a command.
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
	start := len(c.buf)
	if start+n > MaxCommand {
		return protocolError("a command of over %d bytes", MaxCommand)
	}
	if c.makeRoom(n); c.Discarded {
		_, err = r.in.Discard(n + len("\r\n"))
		return unexpectedEOF(err)
	}
	if c.buf, err = r.readBulk(c.buf, n); err != nil {
		return err
	}
	c.ends = append(c.ends, len(c.buf))
	return nil
}

// readBulk appends n bytes of input to dst and skips the line end that follows. It allocates in steps of 8
// KiB as data arrives, so that a peer that only announces a large length does not consume memory.
func (r Reader) readBulk(dst []byte, n int) ([]byte, error) {
	for n > 0 {
		step := min(n, 8<<10)
		start := len(dst)
		dst = append(dst, make([]byte, step)...)
		if _, err := io.ReadFull(r.in, dst[start:]); err != nil {
			return dst, unexpectedEOF(err)
		}
		n -= step
	}
	var end [2]byte
	for i := range end {
		b, err := r.in.ReadByte()
		if err != nil {
			return dst, unexpectedEOF(err)
		}
		end[i] = b
	}
	if end != [2]byte{'\r', '\n'} {
		return dst, protocolError("a string without its end")
	}
	return dst, nil
}

// splitArgs sets Args to the arguments in the buffer. It is called once the buffer is complete, since growth
// may move it.
func (c *Command) splitArgs() {
	start := 0
	for _, end := range c.ends {
		c.Args = append(c.Args, c.buf[start:end:end])
		start = end
	}
}

// parseInline parses an inline command: words on one line, quoted as redis-cli and telnet users write them.
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

// parseWord parses one word that starts at index i, and returns the index after it.
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

// parseEscape parses an escape sequence whose backslash precedes index i, and returns the index of its last
// byte.
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

// Kind is the type of a reply: its first byte on the wire.
type Kind byte

// Kinds of replies. Those from Null on exist only in RESP3.
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

// Reply is one reply of a server. Null strings and null arrays of RESP2 have kind Null.
type Reply struct {
	Kind  Kind
	Text  []byte  // content of all kinds except aggregates; the digits of a number
	Items []Reply // elements of an aggregate; the keys and values of a map alternate
}

// IsError reports whether the reply is an error.
func (r *Reply) IsError() bool { return r.Kind == Error || r.Kind == BlobError }

// ReadReply reads a reply. Attributes are read and discarded.
func (r Reader) ReadReply() (Reply, error) {
	b := &remaining{items: MaxItems, bytes: MaxCommand}
	return r.readNested(0, b)
}

// ReadItems reads an array that may exceed the limits of one reply, and calls handle for each item. The
// limits of a reply hold for each item alone; limit is the maximum number of items. A reply that is not an
// array gives an error that quotes it.
func (r Reader) ReadItems(limit int, handle func(Reply) error) error {
	l, err := r.readLine()
	if err != nil {
		return err
	}
	if len(l) == 0 || Kind(l[0]) != Array {
		return protocolError("%.80q where an array was expected", l)
	}
	n, err := parseLength(l[1:], limit, false)
	if err != nil {
		return err
	}
	for range n {
		item, err := r.ReadReply()
		if err != nil {
			return unexpectedEOF(err)
		}
		if err := handle(item); err != nil {
			return err
		}
	}
	return nil
}

// remaining holds the number of items and bytes that the rest of a reply may still have.
type remaining struct{ items, bytes int }

// readNested reads a reply at a nesting depth, and subtracts its items and bytes from b.
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
	if depth == 0 && r.head != nil && k != Push {
		r.head()
	}
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

// parseScalar checks and copies the text of a reply that consists of one line.
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

// readAggregate reads the elements of an aggregate, whose length is in text. Instead of an attribute it
// returns the reply that follows.
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
	if k == Attribute { // an attribute only describes the reply that follows it
		return r.readNested(depth, b)
	}
	return out, nil
}

// AppendCommand appends a command.
func AppendCommand(b []byte, args ...[]byte) []byte {
	b = appendHeader(b, '*', len(args))
	for _, a := range args {
		b = AppendBulk(b, a)
	}
	return b
}

// appendHeader appends a type byte, a length and a line end.
func appendHeader(b []byte, k byte, n int) []byte {
	return append(strconv.AppendInt(append(b, k), int64(n), 10), "\r\n"...)
}

// AppendBulk appends a bulk string.
func AppendBulk(b, text []byte) []byte {
	return append(append(appendHeader(b, '$', len(text)), text...), "\r\n"...)
}

// AppendSimple appends a simple string (a status).
func AppendSimple(b []byte, text string) []byte {
	return append(append(append(b, '+'), text...), "\r\n"...)
}

// AppendError appends a simple error. Carriage returns and line feeds in text become blanks.
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

// AppendInt appends an integer.
func AppendInt(b []byte, n int64) []byte {
	return append(strconv.AppendInt(append(b, ':'), n, 10), "\r\n"...)
}

// AppendArrayHeader appends the header of an array of n items.
func AppendArrayHeader(b []byte, n int) []byte { return appendHeader(b, '*', n) }

// AppendMapHeader appends the header of a map of n pairs, in RESP2 that of an array of 2n items.
func AppendMapHeader(b []byte, n, proto int) []byte {
	if proto < 3 {
		return appendHeader(b, '*', 2*n)
	}
	return appendHeader(b, '%', n)
}

// AppendNull appends a null, in RESP2 a null bulk string.
func AppendNull(b []byte, proto int) []byte {
	if proto < 3 {
		return append(b, "$-1\r\n"...)
	}
	return append(b, "_\r\n"...)
}

// AppendReply appends a reply in the form of RESP version proto (2 or 3).
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

// appendAggregateHeader appends the header of an array, map, set or push.
func appendAggregateHeader(b []byte, r *Reply, proto int) []byte {
	switch {
	case r.Kind == Map:
		return AppendMapHeader(b, len(r.Items)/2, proto)
	case proto < 3:
		return appendHeader(b, '*', len(r.Items))
	}
	return appendHeader(b, byte(r.Kind), len(r.Items))
}
