package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// lastID is the number of the last request of this run.
var lastID atomic.Uint64

// newID returns the id of a new request.
func newID() string { return fmt.Sprintf("%016x", 0x9b1f03aa00000000+lastID.Add(1)) }

// readAnswer reads the answer to one command.
func readAnswer(in *bufio.Reader) (string, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return line, err
	}
	if f := strings.Fields(line); len(f) > 1 && f[0] == "VA" {
		n, err := strconv.Atoi(f[1])
		if err != nil {
			return line, err
		}
		if _, err := io.CopyN(io.Discard, in, int64(n)+2); err != nil {
			return line, err
		}
	}
	return strings.TrimSpace(line), nil
}

// readLoad sends reads of different keys, one after the other on each of some connections, until stop is closed.
func (r *run) readLoad(addr string, conns int, pause time.Duration, stop <-chan struct{}) {
	for n := range conns {
		go func() {
			for i := 0; ; i++ {
				c, err := net.Dial("tcp", addr)
				if err != nil {
					return
				}
				in := bufio.NewReader(c)
				for ; err == nil; i++ {
					select {
					case <-stop:
						c.Close()
						return
					case <-time.After(pause):
					}
					id, key := newID(), fmt.Sprintf("%016x", uint64(n*1000+i%100+1)*0x9e3779b97f4a7c15)
					r.note("client", id+" sent: mg "+key)
					fmt.Fprintf(c, "mg %s v O%s Pc=read-status,t=acme,d=1250\r\n", key, id)
					var answer string
					if answer, err = readAnswer(in); err == nil {
						r.note("client", id+" answered: "+answer)
					}
				}
				c.Close()
			}
		}()
	}
}
