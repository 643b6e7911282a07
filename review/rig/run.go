package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// run is one play of a case: its record, its temporary folder and the processes that it started.
type run struct {
	trouble bool
	start   time.Time
	dir     string

	mu     sync.Mutex
	record *os.File
	procs  []*exec.Cmd
}

func newRun(record string, trouble bool) (*run, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		f.Close()
		return nil, err
	}
	r := &run{trouble: trouble, start: time.Now(), dir: dir, record: f}
	r.note("begin", fmt.Sprintf("trouble=%v", trouble))
	return r, nil
}

// now returns the seconds since the start of the run.
func (r *run) now() float64 { return time.Since(r.start).Seconds() }

// note writes a line to the record: time in seconds, who, what.
func (r *run) note(who, what string) { r.noteAt(r.now(), who, what) }

func (r *run) noteAt(at float64, who, what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.record != nil {
		fmt.Fprintf(r.record, "%9.3f %-10s %s\n", at, who, what)
	}
}

func (r *run) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Close()
	r.record = nil
	os.RemoveAll(r.dir)
}

// router is the router program as one process.
type router struct {
	cmd      *exec.Cmd
	listen   string
	operator string
	ended    chan struct{}
}

// freeAddr returns a loopback address that was free a moment ago. Its port lies below those that the system gives to
// outgoing connections, so that none of these takes it in between.
func freeAddr() (string, error) {
	for range 100 {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 20000+rand.IntN(12000)))
		if err != nil {
			continue
		}
		defer ln.Close()
		return ln.Addr().String(), nil
	}
	return "", errors.New("no free port was found")
}

// object is a JSON object.
type object = map[string]any

// startRouter starts the program by the command run of the deploy file.
func (r *run) startRouter(name, discovery string, settings object, known []entry, withOperator bool) (*router, error) {
	listen, err := freeAddr()
	if err != nil {
		return nil, err
	}
	p := &router{listen: listen, ended: make(chan struct{})}
	cfg := object{"name": name, "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": object{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":  object{"version": 1, "full": true, "servers": known}, "settings": settings}
	if withOperator {
		if p.operator, err = freeAddr(); err != nil {
			return nil, err
		}
		cfg["operator"] = p.operator
	}
	text, err := json.Marshal(cfg)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(r.dir, name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	command, err := runCommand()
	if err != nil {
		return nil, err
	}
	tmp := filepath.Join(r.dir, name+".tmp")
	if err := os.Mkdir(tmp, 0o700); err != nil {
		return nil, err
	}
	if err := r.startProcess(p, name, command, append(os.Environ(), "GW_CONFIG="+path, "TMPDIR="+tmp)); err != nil {
		return nil, err
	}
	return p, r.awaitReady(p, 20*time.Second)
}

// startProcess starts a shell command whose last step is the program.
func (r *run) startProcess(p *router, name, command string, env []string) error {
	p.cmd = exec.Command("/bin/sh", "-c", command)
	p.cmd.Env = env
	log, err := p.cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	r.mu.Lock()
	r.procs = append(r.procs, p.cmd)
	r.mu.Unlock()
	r.note(name, fmt.Sprintf("started: %s", command))
	go func() {
		defer close(p.ended)
		for lines := bufio.NewScanner(log); lines.Scan(); {
			r.note(name, "log: "+lines.Text())
		}
		p.cmd.Wait() //nolint:errcheck // it is ended by a signal
	}()
	return nil
}

// runCommand returns the command run of the deploy file.
func runCommand() (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, `run = "`); ok {
			command, _, ok := strings.Cut(rest, `"`)
			if ok {
				return command, nil
			}
		}
	}
	return "", errors.New("deploy/balancer.toml: no run")
}

// awaitReady waits until the router answers mn with MN.
func (r *run) awaitReady(p *router, within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		select {
		case <-p.ended:
			return errors.New("the router ended at its start")
		default:
		}
		c, err := net.DialTimeout("tcp", p.listen, time.Second)
		if err != nil {
			continue
		}
		c.SetDeadline(time.Now().Add(time.Second)) //nolint:errcheck // a failure shows in the read
		fmt.Fprint(c, "mn\r\n")
		line, _ := bufio.NewReader(c).ReadString('\n')
		c.Close()
		if line == "MN\r\n" {
			r.note("router", "ready")
			return nil
		}
	}
	return errors.New("the router was not ready")
}

// stopAll ends all processes that the run started.
func (r *run) stopAll() {
	r.mu.Lock()
	procs := r.procs
	r.procs = nil
	r.mu.Unlock()
	for _, p := range procs {
		p.Process.Signal(syscall.SIGKILL) //nolint:errcheck // it may have ended
	}
	time.Sleep(50 * time.Millisecond) // for the last lines of logs
}
