package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// LoudKind is what a loud client sends at full speed.
type LoudKind string

// The kinds of loud clients.
const (
	LoudPing     LoudKind = "ping"     // `mn`, one behind the answer to the other
	LoudPipeline LoudKind = "pipeline" // `mn`, as many as the connection takes
	LoudUnsound  LoudKind = "unsound"  // lines that are no command; new connections follow closed ones
	LoudNames    LoudKind = "names"    // reads of names that never come again, as many as the connection takes
	LoudReads    LoudKind = "reads"    // reads, one behind the answer to the other
	LoudRejected LoudKind = "rejected" // writes of an unknown class with a long value
	LoudConnects LoudKind = "connects" // connections with one `mn` each
)

// loudKinds lists all kinds of loud clients.
var loudKinds = []LoudKind{LoudPing, LoudPipeline, LoudUnsound, LoudNames, LoudReads, LoudRejected, LoudConnects}

// serverlessKinds are those whose commands need no server.
var serverlessKinds = []LoudKind{LoudPing, LoudPipeline, LoudUnsound, LoudRejected, LoudConnects}

// loudNumber is how many loud clients come at once in a play.
const loudNumber = 6

// loud has loud clients send to a router for a while.
func (w *world) loud(ctx context.Context, f Fault, p *process) {
	ctx, stop := context.WithTimeout(ctx, f.For)
	defer stop()
	startLoud(ctx, p, f.Loud, loudNumber).wg.Wait()
}

// rejectedBytes is the length of the values of LoudRejected.
const rejectedBytes = 60000

// loudClients are clients that send at full speed.
type loudClients struct {
	answered atomic.Int64 // answers or connections so far
	names    atomic.Int64
	wg       sync.WaitGroup
}

// startLoud starts n loud clients of a process, which go on until ctx ends.
func startLoud(ctx context.Context, p *process, kind LoudKind, n int) *loudClients {
	l := &loudClients{}
	for range n {
		l.wg.Go(func() {
			for ctx.Err() == nil {
				if err := l.session(ctx, p, kind); err != nil && !waited(ctx, time.Millisecond) {
					return
				}
			}
		})
	}
	return l
}

// session sends on one connection until it or ctx ends.
func (l *loudClients) session(ctx context.Context, p *process, kind LoudKind) error {
	c, err := net.DialTimeout("tcp", p.addr, time.Second)
	if err != nil {
		return fmt.Errorf("loud client: %w", err)
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	in := bufio.NewReaderSize(c, 64<<10)
	if kind == LoudPipeline || kind == LoudNames {
		var sender sync.WaitGroup
		defer sender.Wait()
		defer c.Close()
		sender.Go(func() { l.sendOn(c, kind) })
		for {
			if _, err := in.ReadSlice('\n'); err != nil {
				return fmt.Errorf("loud client: %w", err)
			}
			l.answered.Add(1)
		}
	}
	for {
		if _, err := io.WriteString(c, l.command(kind)); err != nil {
			return fmt.Errorf("loud client: %w", err)
		}
		line, err := in.ReadString('\n')
		if err != nil {
			return fmt.Errorf("loud client: %w", err)
		}
		if strings.HasPrefix(line, "VA ") {
			if _, err := in.ReadSlice('\n'); err != nil {
				return fmt.Errorf("loud client: %w", err)
			}
		}
		if l.answered.Add(1); kind == LoudConnects {
			return nil
		}
	}
}

// sendOn sends commands without waiting for answers.
func (l *loudClients) sendOn(c net.Conn, kind LoudKind) {
	out := bufio.NewWriterSize(c, 16<<10)
	for {
		if _, err := out.WriteString(l.command(kind)); err != nil {
			return
		}
	}
}

// command returns the next command.
func (l *loudClients) command(kind LoudKind) string {
	switch kind {
	case LoudUnsound:
		return "unsound line\r\n"
	case LoudNames:
		n := l.names.Add(1)
		return fmt.Sprintf("mg name%d v Oloud%d Pc=status,t=t%d,d=100\r\n", n, n, n)
	case LoudReads:
		n := l.names.Add(1)
		return fmt.Sprintf("mg loudkey v Oloud%d Pc=status,t=t,d=2000\r\n", n)
	case LoudRejected:
		return fmt.Sprintf("ms k %d Oloud Pc=nosuchclass,t=t,d=100\r\n%s\r\n", rejectedBytes, strings.Repeat("x", rejectedBytes))
	}
	return "mn\r\n"
}
