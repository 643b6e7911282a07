package soak

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// settings are what the routers of a play are told.
type settings struct {
	Routers        int
	Asked          bool // routers ask for their lists
	Classes        []Class
	ConnectTimeout time.Duration
	Cancel         bool
	ColdPhase      time.Duration
	ColdFrom       float64       // share of its capacity that a server has at its start
	FallFactor     float64       // of what it can do then it may get,
	FallFor        time.Duration // for so long
}

func (s settings) slow() slowStart { return slowStart{s.ColdFrom, s.ColdPhase} }

// class gives the class of a name.
func (s settings) class(name string) Class {
	for _, c := range s.Classes {
		if c.Name == name {
			return c
		}
	}
	return Class{}
}

// categories gives the classes in the form of the platform's settings.
func (s settings) categories() []map[string]any {
	effects := map[Effect]string{Repeatable: "repeatable", Keyed: "by_key", Once: "once"}
	var out []map[string]any
	for _, c := range s.Classes {
		out = append(out, map[string]any{"name": c.Name, "effect": effects[c.Effect], "keyScope": "all", "window": c.Window.Milliseconds(),
			"target": c.Target.Milliseconds(), "hardLimit": c.Deadline.Milliseconds(), "gain": 1})
	}
	return out
}

// object is the platform's settings object.
func (s settings) object(me int) map[string]any {
	discovery := "push"
	if s.Asked {
		discovery = "ask"
	}
	return map[string]any{
		"balancers": s.Routers, "myNumber": me, "zone": "a", "categories": s.categories(),
		"projects": []map[string]any{{"name": "t", "quotaPerS": 1e5}},
		"kinds":    []string{"box", "origin"}, "familyInfo": map[string]any{"mode": "aside", "originKind": 1},
		"discovery": discovery, "weights": "nominal", "loadInfo": map[string]any{"columns": []string{"rps", "cpu"}, "how": "answers"},
		"caps": map[string]any{"cancel": s.Cancel, "mayProbe": true, "retryAfter": true, "maxAttempts": maxAttempts, "connIdle": 3000,
			"connectTimeout": s.ConnectTimeout.Milliseconds()},
		"rules": map[string]any{"cold": s.ColdPhase.Milliseconds(), "coldFrom": s.ColdFrom, "overloadFactor": s.FallFactor, "overloadFor": s.FallFor.Milliseconds(), "mustAskIn": 10000},
	}
}

// process is one run of the router program.
type process struct {
	name     string
	cmd      *exec.Cmd
	addr     string
	pid      int
	operator string // address of the operators' calls
	private  string // its folder for temporary files, where a successor finds it

	mu        sync.Mutex
	lines     []string
	listening chan struct{}
	ended     chan struct{}
	err       error     // how it ended, valid then
	termAt    time.Time // when it was first told to end
	killed    bool      // by us
	crashed   bool      // by us, while it could still answer: what it held is its clients' to retry
}

// startWithin is how long a process may take until it listens.
const startWithin = 20 * time.Second

// keptLines bounds the lines of a log that are kept.
const keptLines = 20000

// startProcess starts the program and waits until it listens.
func startProcess(program, dir, name, discovery string, s settings, me int) (*process, error) {
	// No process takes over from another's socket here. The path of a socket has to be short.
	private, err := os.MkdirTemp("", "soak-")
	if err != nil {
		return nil, fmt.Errorf("soak: %w", err)
	}
	return startProcessIn(private, "127.0.0.1:0", program, dir, name, discovery, s, me)
}

// startProcessIn is startProcess with an address for clients and a folder for temporary files: the process takes over
// from one that has the same.
func startProcessIn(private, listen, program, dir, name, discovery string, s settings, me int) (*process, error) {
	text, err := json.Marshal(map[string]any{"name": name, "listen": listen, "operator": "127.0.0.1:0", "discovery": discovery, "seed": fmt.Sprintf("%x", 0x8c1f30d27a5be964+uint64(me)),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 96, "sockets": 512}, "known": map[string]any{"version": 0, "full": true, "servers": []any{}}, "settings": s.object(me)})
	if err != nil {
		return nil, fmt.Errorf("soak: %w", err)
	}
	path := filepath.Join(dir, name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, fmt.Errorf("soak: %w", err)
	}
	cmd := exec.Command(program)
	cmd.Env = append(os.Environ(), "GW_CONFIG="+path, "TMPDIR="+private)
	log, err := cmd.StderrPipe()
	if err != nil {
		return nil, fmt.Errorf("soak: %w", err)
	}
	if err := cmd.Start(); err != nil {
		os.RemoveAll(private)
		return nil, fmt.Errorf("soak: %w", err)
	}
	p := &process{name: name, private: private, cmd: cmd, pid: cmd.Process.Pid, listening: make(chan struct{}), ended: make(chan struct{})}
	go func() {
		defer close(p.ended)
		p.follow(log)
		p.err = cmd.Wait()
		os.RemoveAll(private)
	}()
	select {
	case <-p.listening:
		return p, nil
	case <-p.ended:
		return nil, fmt.Errorf("soak: %s ended at its start: %s", name, strings.Join(p.log(), "\n"))
	case <-time.After(startWithin):
		p.kill()
		return nil, fmt.Errorf("soak: %s does not listen within %v", name, startWithin)
	}
}

var (
	listeningLine = regexp.MustCompile(`listening router=.*addr=(127\.\S+)`)
	operatorLine  = regexp.MustCompile(`operators' calls addr=(127\.\S+)`)
)

// follow reads the log to its end.
func (p *process) follow(log io.Reader) {
	lines := bufio.NewScanner(log)
	for lines.Scan() {
		line := lines.Text()
		p.mu.Lock()
		if m := operatorLine.FindStringSubmatch(line); m != nil {
			p.operator = m[1]
		}
		if m := listeningLine.FindStringSubmatch(line); m != nil && p.addr == "" {
			p.addr = m[1]
			close(p.listening)
		}
		if p.lines = append(p.lines, line); len(p.lines) > keptLines {
			p.lines = p.lines[1:]
		}
		p.mu.Unlock()
	}
}

func (p *process) log() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.lines...)
}

func (p *process) signal(s os.Signal) { p.cmd.Process.Signal(s) } //nolint:errcheck // it has ended

// term tells the process to end.
func (p *process) term() {
	p.mu.Lock()
	if p.termAt.IsZero() {
		p.termAt = time.Now()
	}
	p.mu.Unlock()
	p.signal(syscall.SIGTERM)
}

// terminating tells since when it has been told to end; ok is false where it has not.
func (p *process) terminating() (since time.Time, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.termAt, !p.termAt.IsZero()
}

// kill ends the process at once and waits for that.
func (p *process) kill() {
	p.mu.Lock()
	p.killed = true
	p.mu.Unlock()
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// crashNow kills the process while it serves.
func (p *process) crashNow() {
	p.mu.Lock()
	p.crashed = true
	p.mu.Unlock()
	p.kill()
}

func (p *process) wasCrashed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.crashed
}

// crash is how the process ended where that is none of our doing; nil = it has not.
func (p *process) crash() error {
	select {
	case <-p.ended:
	default:
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var exit *exec.ExitError
	if p.killed && errors.As(p.err, &exit) {
		return nil
	}
	if p.err == nil && !p.termAt.IsZero() {
		return nil
	}
	tail := p.lines[max(0, len(p.lines)-20):]
	return fmt.Errorf("%w: %s", errors.Join(p.err, errEnded), strings.Join(tail, "\n"))
}

var errEnded = errors.New("ended by itself")

// guardLine is the router's own report of a broken invariant.
const guardLine = "invariant violated"

// guardReports are the lines by which the router's guard reports violations, and those of a crash.
func (p *process) guardReports() (out []string) {
	for _, line := range p.log() {
		if strings.Contains(line, guardLine) || strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") || strings.Contains(line, "no answer by its deadline") {
			out = append(out, line)
		}
	}
	return out
}
