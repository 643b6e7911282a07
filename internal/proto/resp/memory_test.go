package resp

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"
)

// budget is memory for long commands.
type budget struct{ left int }

func (b *budget) reserve(n int) bool {
	if n > b.left {
		return false
	}
	b.left -= n
	return true
}

// longCommand is a command of many arguments, over freeBytes together.
func longCommand(args, length int) string {
	return string(AppendCommand(nil, strings2bytes(strings.Repeat("x", length), args)...))
}

func strings2bytes(s string, n int) (out [][]byte) {
	for range n {
		out = append(out, []byte(s))
	}
	return out
}

// Guards against memory that half a command takes without being counted: hundreds of clients that stop in the middle
// of one must not exhaust it.
func TestCommandThatStopsHalfWayCountsItsMemory(t *testing.T) {
	b := &budget{1 << 20}
	c := Command{Reserve: b.reserve, Return: func(n int) { b.left += n }}
	text := longCommand(100, 1000)
	half := text[:len(text)/2]
	err := NewReader(bufio.NewReader(strings.NewReader(half))).ReadCommand(&c)
	if !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Fatalf("got %v", err)
	}
	if used := 1<<20 - b.left; used < len(c.buf)-freeBytes {
		t.Errorf("%d bytes are held, %d are counted", len(c.buf), used)
	}
	c.Release()
	if b.left != 1<<20 || cap(c.buf) > 2*freeBytes {
		t.Errorf("%d bytes are not given back, %d are held", 1<<20-b.left, cap(c.buf))
	}
}

// Guards against a command that is rejected for lack of memory and takes the next one of its connection with it.
func TestCommandWithoutMemoryIsReadToItsEnd(t *testing.T) {
	b := &budget{10000}
	c := Command{Reserve: b.reserve, Return: func(n int) { b.left += n }}
	r := NewReader(bufio.NewReader(strings.NewReader(longCommand(100, 1000) + longCommand(1, 3))))
	if err := r.ReadCommand(&c); err != nil || !c.Discarded || len(c.Args) != 0 {
		t.Fatalf("got %v, discarded %v, %d arguments", err, c.Discarded, len(c.Args))
	}
	c.Release()
	if b.left != 10000 {
		t.Errorf("%d bytes are not given back", 10000-b.left)
	}
	if err := r.ReadCommand(&c); err != nil || c.Discarded || len(c.Args) != 1 {
		t.Errorf("the next command: got %v, discarded %v, %d arguments", err, c.Discarded, len(c.Args))
	}
}
