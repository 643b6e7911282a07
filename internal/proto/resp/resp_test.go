package resp

import (
	"bufio"
	"bytes"
	"io"
	"reflect"
	"strings"
	"testing"
)

func newTestReader(text string) Reader {
	return NewReader(bufio.NewReaderSize(strings.NewReader(text), MaxLine))
}

func argStrings(c *Command) (out []string) {
	for _, a := range c.Args {
		out = append(out, string(a))
	}
	return out
}

func TestReadCommand(t *testing.T) {
	in := "*3\r\n$3\r\nSET\r\n$1\r\nk\r\n$4\r\na\r\nb\r\nPING\r\n*0\r\n\r\n  get  \"a\\x41\\n b\" 'c d'\r\n*-1\r\n*1\r\n$0\r\n\r\n"
	want := [][]string{{"SET", "k", "a\r\nb"}, {"PING"}, nil, nil, {"get", "aA\n b", "c d"}, nil, {""}}
	r, c := newTestReader(in), new(Command)
	for i, w := range want {
		if err := r.ReadCommand(c); err != nil || !reflect.DeepEqual(argStrings(c), w) {
			t.Errorf("command %d: %q, %v; want %q", i, argStrings(c), err, w)
		}
	}
	if err := r.ReadCommand(c); err != io.EOF {
		t.Errorf("then %v", err)
	}
}

// Lengths that are negative, huge or cut, and whatever else a command can't be.
func TestBadCommands(t *testing.T) {
	for in, want := range map[string]string{
		"*2\r\n$-1\r\n": "invalid length", "*-2\r\n": "invalid length", "*1025\r\n": "at most 1024", "*99999999999999\r\n": "invalid length",
		"*1\r\n$65537\r\n": "at most 65536", "*1\r\n$999999999999\r\n": "invalid length", "*1\r\n$4\r\nab\r\n": "unexpected EOF",
		"*1\r\n$2\r\nabc\r\n": "without its end", "*1\r\n:3\r\n": "expected '$'", "*2\r\n$1\r\na\r\n": "unexpected EOF", "*1\r\n$+1\r\na\r\n": "invalid length",
		"get \"a\r\n": "unbalanced quotes", "get 'a'b\r\n": "unbalanced quotes", strings.Repeat("x", 2*MaxLine): "too big a line",
		"*5\r\n" + strings.Repeat("$65536\r\n"+strings.Repeat("v", 65536)+"\r\n", 5): "over 262144 bytes", "*\r\n": "invalid length",
	} {
		err := newTestReader(in).ReadCommand(new(Command))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%.40q: got %v, want %q", in, err, want)
		}
	}
}

func TestReplies(t *testing.T) {
	in := "+OK\r\n-MOVED 3 a:1\r\n:-7\r\n$2\r\nhi\r\n$-1\r\n*-1\r\n_\r\n#t\r\n,1.5\r\n(12345678901234567890\r\n!5\r\nERR x\r\n=6\r\ntxt:hi\r\n" +
		"*2\r\n:1\r\n*1\r\n+x\r\n%1\r\n+k\r\n:2\r\n~1\r\n:3\r\n>2\r\n+a\r\n+b\r\n|1\r\n+ttl\r\n:9\r\n+behind\r\n"
	r := newTestReader(in)
	var three, two []byte
	for {
		a, err := r.ReadReply()
		if err == io.EOF {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		three, two = AppendReply(three, &a, 3), AppendReply(two, &a, 2)
	}
	want3 := strings.Replace(strings.NewReplacer("$-1\r\n", "_\r\n", "*-1\r\n", "_\r\n").Replace(in), "|1\r\n+ttl\r\n:9\r\n", "", 1)
	if string(three) != want3 {
		t.Errorf("RESP3: %q\nwant %q", three, want3)
	}
	want2 := "+OK\r\n-MOVED 3 a:1\r\n:-7\r\n$2\r\nhi\r\n$-1\r\n$-1\r\n$-1\r\n:1\r\n$3\r\n1.5\r\n$20\r\n12345678901234567890\r\n-ERR x\r\n$2\r\nhi\r\n" +
		"*2\r\n:1\r\n*1\r\n+x\r\n*2\r\n+k\r\n:2\r\n*1\r\n:3\r\n*2\r\n+a\r\n+b\r\n+behind\r\n"
	if string(two) != want2 {
		t.Errorf("RESP2: %q\nwant %q", two, want2)
	}
}

func TestBadReplies(t *testing.T) {
	for in, want := range map[string]string{
		"$-2\r\n": "invalid length", "$70000\r\n": "at most 65536", "*70000\r\n": "at most 65536", ":x\r\n": "bad", "#y\r\n": "bad", ",x\r\n": "bad", "(1x\r\n": "bad",
		"?\r\n": "unknown type", "\r\n": "an empty line", "*2\r\n:1\r\n": "unexpected EOF", strings.Repeat("*1\r\n", MaxDepth+2): "deep",
		"*9\r\n" + strings.Repeat("$65536\r\n"+strings.Repeat("v", 65536)+"\r\n", 9): "over 262144 bytes", "|1\r\n+a\r\n": "unexpected EOF", "%-1\r\n": "invalid length",
	} {
		if _, err := newTestReader(in).ReadReply(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%.40q: got %v, want %q", in, err, want)
		}
	}
}

func FuzzReadCommand(f *testing.F) {
	f.Add([]byte("*2\r\n$3\r\nGET\r\n$1\r\nk\r\nset k \"a b\"\r\n"))
	f.Add([]byte("*1\r\n$70000\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		r, c, again := NewReader(bufio.NewReaderSize(bytes.NewReader(in), MaxLine)), new(Command), new(Command)
		for r.ReadCommand(c) == nil {
			wire := AppendCommand(nil, c.Args...)
			if err := NewReader(bufio.NewReaderSize(bytes.NewReader(wire), MaxLine)).ReadCommand(again); err != nil || !reflect.DeepEqual(argStrings(c), argStrings(again)) {
				t.Fatalf("%q came back as %q, %v", argStrings(c), argStrings(again), err)
			}
			if len(c.buf) > MaxCommand || len(c.Args) > MaxArgs {
				t.Fatalf("%d bytes in %d words", len(c.buf), len(c.Args))
			}
		}
	})
}

func FuzzReadReply(f *testing.F) {
	f.Add([]byte("*2\r\n:1\r\n%1\r\n+a\r\n_\r\n"))
	f.Add([]byte("|1\r\n+a\r\n#t\r\n$3\r\nabc\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		r := NewReader(bufio.NewReaderSize(bytes.NewReader(in), MaxLine))
		for range 100 {
			a, err := r.ReadReply()
			if err != nil {
				return
			}
			wire := AppendReply(nil, &a, 3)
			b, err := NewReader(bufio.NewReaderSize(bytes.NewReader(wire), MaxLine)).ReadReply()
			if err != nil || !bytes.Equal(wire, AppendReply(nil, &b, 3)) {
				t.Fatalf("%q came back otherwise: %v", wire, err)
			}
		}
	})
}

// repeatingReader gives the same text again and again.
type repeatingReader struct {
	text []byte
	at   int
}

func (e *repeatingReader) Read(b []byte) (int, error) {
	n := copy(b, e.text[e.at:])
	e.at = (e.at + n) % len(e.text)
	return n, nil
}

// BenchmarkReadCommand gives time and allocations of a SET of 100 bytes. The allocations are the aim: none.
func BenchmarkReadCommand(b *testing.B) {
	wire := AppendCommand(nil, []byte("SET"), []byte("container:7f3a9c21e0b4d655"), bytes.Repeat([]byte("v"), 100))
	r, c := NewReader(bufio.NewReaderSize(&repeatingReader{text: wire}, MaxLine)), new(Command)
	b.ReportAllocs()
	for b.Loop() {
		if err := r.ReadCommand(c); err != nil || len(c.Args) != 3 {
			b.Fatal(err)
		}
	}
}
