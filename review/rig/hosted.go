package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

// inForceWithin is the time in seconds in which a change of who may call has to be in force.
const inForceWithin = 5.0

// routerFile is the router's configuration; %s are the address for clients and the last class.
const routerFile = `name = "r0"
site = "rades"

[[class]]
name = "read-status"
effect = "repeatable"
aim_ms = 600
deadline_ms = 2500

[[class]]
name = "log-handover"
effect = "by_key"
scope = "all"
window_ms = 2000
aim_ms = 600
deadline_ms = 1200
worth = 3
%s
[callers]
book = "callers.toml"
rights = "callers.rights"
pepper_file = "pepper"
audiences = ["rades"]

[[pool]]
name = "status"
listen = "%s"
callers = true

[pool.servers]
file = "servers.toml"

[end]
`

// pollClass is the class that the operators take out of the configuration.
const pollClass = `
[[class]]
name = "order-poll"
effect = "once"
aim_ms = 1000
deadline_ms = 2500
worth = 2
`

// tool runs a command of the program in the folder of the run, as operators do.
func (r *run) tool(program string, args ...string) (string, error) {
	cmd := exec.Command(program, args...)
	cmd.Dir = r.dir
	out, err := cmd.CombinedOutput()
	said := string(out)
	shown := strings.ReplaceAll(strings.TrimSpace(said), "\n", "; ")
	if args[0] == "admin" || slices.Contains(args, "create") {
		shown = "(a secret is printed)"
	}
	r.note("operator", strings.Join(args, " ")+": "+shown)
	if err != nil {
		return said, fmt.Errorf("%s: %w: %s", strings.Join(args, " "), err, said)
	}
	return said, nil
}

// write writes a file of the run's folder by a rename, so that nobody sees a part of it.
func (r *run) write(name, text string) error {
	path := filepath.Join(r.dir, name)
	if err := os.WriteFile(path+".next", []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".next", path)
}

// member uses a key: it logs in, reads as long as it is let, and logs in again when its connection ends.
type member struct {
	mu       sync.Mutex
	served   []float64 // when it got a value
	loggedIn []float64
}

func (h *member) use(r *run, addr, id, secret string, stop <-chan struct{}) {
	for n := 0; ; {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		c, err := net.Dial("tcp", addr)
		if err != nil {
			continue
		}
		in := bufio.NewReader(c)
		fmt.Fprintf(c, "auth key %s %s\r\n", id, secret)
		answer, err := readAnswer(in)
		r.note("caller", "login with the key "+id+" answered: "+answer)
		if answer == "HD" {
			h.mu.Lock()
			h.loggedIn = append(h.loggedIn, r.now())
			h.mu.Unlock()
		}
		for until := time.Now().Add(2 * time.Second); err == nil && answer != "" && !strings.HasPrefix(answer, "CLIENT_ERROR") && time.Now().Before(until); n++ {
			select {
			case <-stop:
				c.Close()
				return
			case <-time.After(100 * time.Millisecond):
			}
			request := newID()
			r.note("caller", fmt.Sprintf("%s sent: mg %016x", request, n%50+1))
			fmt.Fprintf(c, "mg %016x v O%s Pc=read-status,d=1250\r\n", n%50+1, request)
			if answer, err = readAnswer(in); err != nil {
				break
			}
			r.note("caller", request+" answered: "+answer)
			if strings.HasPrefix(answer, "VA ") {
				h.mu.Lock()
				h.served = append(h.served, r.now())
				h.mu.Unlock()
			}
		}
		c.Close()
	}
}

// after counts what is later than a time.
func after(times []float64, at float64) (n int) {
	for _, t := range times {
		if t > at {
			n++
		}
	}
	return n
}
