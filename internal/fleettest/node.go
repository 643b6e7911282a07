package fleettest

import (
	"bufio"
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

// startWithin is how long a process may take until it listens.
const startWithin = 20 * time.Second

// keptLines bounds the lines of a process's log that are kept.
const keptLines = 4000

// Node is one process, or the place for it.
type Node struct {
	rig   *Rig
	i     int
	relay *relay

	mu                     sync.Mutex
	cfg                    Config
	cmd                    *exec.Cmd
	ended                  chan struct{}
	pool, operator, listen string
	lines                  []string
	heard                  chan struct{} // closed at each line
	words                  []Word
}

// Word is what a process logged of a member.
type Word struct {
	At          time.Time
	Name, State string
}

// Config is what the node's next start is told, as the rig has it.
func (n *Node) config() Config {
	c := Config{Name: fmt.Sprintf("r-%02d", n.i), Site: []string{"rades", "sfax"}[n.i%2], Expected: len(n.rig.Nodes), Fleet: true,
		Join: []string{n.rig.Nodes[0].relay.addr.String()}}
	if n.rig.o.Config != nil {
		n.rig.o.Config(n.i, &c)
	}
	return c
}

// text is a configuration.
func (n *Node) text(c Config) string {
	ip := n.rig.ip(n.i)
	var b strings.Builder
	fmt.Fprintf(&b, "name = %q\nsite = %q\noperator = \"%s:0\"\n%s\n", c.Name, c.Site, ip, c.Top)
	fmt.Fprintf(&b, "[tier]\nrouters = %d\nme = %d\n", c.Expected, n.i%c.Expected)
	host := ip
	if c.Advertised {
		host = n.relay.addr.IP.String()
	}
	fmt.Fprintf(&b, "[[pool]]\nname = \"one\"\nlisten = \"%s:0\"\n", host)
	if c.Pool == "" {
		c.Pool = "[pool.servers]\nfile = \"servers.toml\"\n"
	}
	b.WriteString(c.Pool)
	if c.Fleet {
		fmt.Fprintf(&b, "[fleet]\nlisten = \"%s:0\"\nadvertise = %q\njoin = [", ip, n.relay.addr)
		for _, j := range c.Join {
			fmt.Fprintf(&b, "%q, ", j)
		}
		b.WriteString("]\n")
	}
	if c.Extra == "" {
		c.Extra = "[[class]]\nname = \"read\"\neffect = \"repeatable\"\naim_ms = 500\ndeadline_ms = 2000\n"
	}
	return b.String() + c.Extra + "[end]\n"
}

// Start starts the process and waits until it listens.
func (n *Node) Start() error { return n.StartAs(n.config()) }

// StartAs starts the process by another configuration than the rig's.
func (n *Node) StartAs(c Config) error {
	if err := n.begin(c); err != nil {
		return err
	}
	if c.Fleet {
		return n.relay.open(n.listenAt())
	}
	return nil
}

// begin starts the process and waits until it listens.
func (n *Node) begin(c Config) error {
	path := filepath.Join(n.rig.o.Dir, fmt.Sprintf("r-%02d.toml", n.i))
	if err := os.WriteFile(path, []byte(n.text(c)), 0o600); err != nil {
		return err
	}
	cmd := exec.Command(n.rig.o.Program, "serve", "-c", path)
	log, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.cfg, n.cmd, n.ended, n.lines, n.heard = c, cmd, make(chan struct{}), nil, make(chan struct{})
	n.pool, n.operator, n.listen = "", "", ""
	ended := n.ended
	n.mu.Unlock()
	n.rig.say("start %s", c.Name)
	if err := cmd.Start(); err != nil {
		close(ended)
		return err
	}
	go func() {
		defer close(ended)
		n.follow(log)
		cmd.Wait() //nolint:errcheck // how it ended is in the state
	}()
	err = n.wait(startWithin, "it listens", func() bool { return n.pool != "" && n.operator != "" && (n.listen != "" || !c.Fleet) })
	if err != nil {
		return fmt.Errorf("%s: %w: %s", c.Name, err, strings.Join(n.Log(), "\n"))
	}
	return nil
}

// Replace starts another process in place of the one that runs, which hands its place over and ends by itself. It waits for that.
func (n *Node) Replace() error {
	n.mu.Lock()
	old, ended, at, serves := n.cmd, n.ended, n.listen, n.pool
	n.mu.Unlock()
	n.rig.say("replace %s", n.Name())
	if err := n.begin(n.config()); err != nil {
		return err
	}
	select {
	case <-ended:
	case <-time.After(startWithin):
		old.Process.Kill() //nolint:errcheck // it has ended, or ends now
		<-ended
		return fmt.Errorf("%s: the process before did not end by itself", n.Name())
	}
	if n.listenAt() != at || n.Addr() != serves {
		return fmt.Errorf("%s: the next process listens at %s and %s, not %s and %s", n.Name(), n.listenAt(), n.Addr(), at, serves)
	}
	return nil
}

func (n *Node) listenAt() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.listen
}

var (
	poolLine     = regexp.MustCompile(`msg=listening .*addr=(\S+)`)
	operatorLine = regexp.MustCompile(`msg="operators' calls" addr=(\S+)`)
	fleetLine    = regexp.MustCompile(`msg="fleet: listening" .*addr=(\S+)`)
	wordLine     = regexp.MustCompile(`^time=(\S+) .*msg="fleet: member" name=(\S+) addr=\S+ state=(\S+)`)
)

// follow reads the process's log to its end.
func (n *Node) follow(log io.Reader) {
	lines := bufio.NewScanner(log)
	for lines.Scan() {
		line := lines.Text()
		n.mu.Lock()
		for re, to := range map[*regexp.Regexp]*string{poolLine: &n.pool, operatorLine: &n.operator, fleetLine: &n.listen} {
			if m := re.FindStringSubmatch(line); m != nil && *to == "" {
				*to = m[1]
			}
		}
		if m := wordLine.FindStringSubmatch(line); m != nil {
			if at, err := time.Parse("2006-01-02T15:04:05.000Z07:00", m[1]); err == nil {
				n.words = append(n.words, Word{at, m[2], m[3]})
			}
		}
		if n.lines = append(n.lines, line); len(n.lines) > keptLines {
			n.lines = n.lines[1:]
		}
		close(n.heard)
		n.heard = make(chan struct{})
		n.mu.Unlock()
	}
}

// wait waits until the log says something.
func (n *Node) wait(within time.Duration, what string, is func() bool) error {
	end := time.After(within)
	for {
		n.mu.Lock()
		ok, heard, ended := is(), n.heard, n.ended
		n.mu.Unlock()
		if ok {
			return nil
		}
		select {
		case <-heard:
		case <-ended:
			return errors.New("it has ended")
		case <-end:
			return fmt.Errorf("never within %v: %s", within, what)
		}
	}
}

// WaitLog waits for a line with a text.
func (n *Node) WaitLog(within time.Duration, text string) error {
	return n.wait(within, text, func() bool { return strings.Contains(strings.Join(n.lines, "\n"), text) })
}

// Log is the log of the last start.
func (n *Node) Log() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]string(nil), n.lines...)
}

// Words are what the node's processes have logged of members, all starts.
func (n *Node) Words() []Word {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]Word(nil), n.words...)
}

// Name is the name of the process.
func (n *Node) Name() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cfg.Name
}

// alive says whether the process runs and listens.
func (n *Node) alive() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.ended:
		return false
	default:
		return n.pool != ""
	}
}

// Addr is where it serves clients, Operator where it takes operators' calls.
func (n *Node) Addr() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.pool
}

// Operator is where the process takes operators' calls.
func (n *Node) Operator() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.operator
}

// signal sends the process a signal; false where none runs.
func (n *Node) signal(s os.Signal) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil || n.cmd.Process == nil {
		return false
	}
	return n.cmd.Process.Signal(s) == nil
}

// Kill ends the process at once, and its address refuses from then on.
func (n *Node) Kill() {
	if !n.signal(syscall.SIGKILL) {
		return
	}
	n.rig.say("kill %s", n.Name())
	n.Ended()
	n.relay.close()
}

// Term tells the process to end, and waits for that.
func (n *Node) Term() {
	if !n.signal(syscall.SIGTERM) {
		return
	}
	n.rig.say("term %s", n.Name())
	n.Ended()
	n.relay.close()
}

// Ended waits for the end of the process.
func (n *Node) Ended() {
	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()
	<-ended
}

// Stop has the process hang, Continue has it go on where it was.
func (n *Node) Stop() {
	n.rig.say("stop %s", n.Name())
	n.signal(syscall.SIGSTOP)
}

// Continue has a stopped process go on.
func (n *Node) Continue() {
	n.rig.say("continue %s", n.Name())
	n.signal(syscall.SIGCONT)
}

// Advertised is where the others reach it.
func (n *Node) Advertised() string { return n.relay.addr.String() }
