// Command rig-2 plays the platform, discovery, cache servers, the origin and clients around real processes of the
// router, for the cases of the second review. Everything is on loopback and on the real clock.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world is one run: its record, its temporary folder and what has to be ended with it.
type world struct {
	trouble bool   // false: the same without the disruption
	root    string // of the project
	dir     string // temporary folder
	began   time.Time

	mu     sync.Mutex
	record *os.File
	broken []string
	ending []func()
}

// unable ends the run as one that could not be carried out.
type unable struct{ why string }

func (u unable) Error() string { return u.why }

// newWorld opens the record in the folder of a case.
func newWorld(root, caseDir string, trouble bool) (*world, error) {
	f, err := os.Create(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	return &world{trouble: trouble, root: root, dir: dir, began: time.Now(), record: f}, nil
}

// notef writes a line to the record, with the seconds since the start.
func (w *world) notef(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%9.3f ", time.Since(w.began).Seconds())
	fmt.Fprintf(w.record, format+"\n", args...)
}

// breakf records that the rule was broken.
func (w *world) breakf(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.notef("BROKEN %s", text)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, text)
}

// atEnd has something done when the run ends, the latest first.
func (w *world) atEnd(do func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ending = append(w.ending, do)
}

// end ends all that the run started.
func (w *world) end() {
	w.mu.Lock()
	ending := w.ending
	w.ending = nil
	w.mu.Unlock()
	for i := len(ending) - 1; i >= 0; i-- {
		ending[i]()
	}
	os.RemoveAll(w.dir)
}

// freeAddr returns a loopback address that nobody listens at.
func freeAddr() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(unable{err.Error()})
	}
	defer ln.Close()
	return ln.Addr().String()
}

// process is a router, started as the platform does.
type process struct {
	w    *world
	name string
	cmd  *exec.Cmd
	gone chan struct{}
}

// starts are carried out by one thread that lasts as long as the program: processes are told when their thread ends.
var starts = make(chan func())

func init() {
	go func() {
		runtime.LockOSThread()
		for do := range starts {
			do()
		}
	}()
}

// start runs a command of the project from its root by the shell, with its log in the record's folder of logs.
func (w *world) start(name, run string, env ...string) *process {
	log, err := os.Create(filepath.Join(w.dir, name+".log"))
	if err != nil {
		panic(unable{err.Error()})
	}
	c := exec.Command("/bin/sh", "-c", run)
	c.Dir, c.Stdout, c.Stderr = w.root, log, log
	c.Env = append(os.Environ(), env...)
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it ends with this program, whatever ends that
	started := make(chan error)
	starts <- func() { started <- c.Start() }
	if err := <-started; err != nil {
		panic(unable{err.Error()})
	}
	p := &process{w: w, name: name, cmd: c, gone: make(chan struct{})}
	go func() {
		err := c.Wait()
		w.notef("%s ended: %v", name, err)
		log.Close()
		close(p.gone)
	}()
	w.atEnd(func() {
		p.signal(syscall.SIGKILL)
		<-p.gone
		p.keepLog()
	})
	w.notef("%s started", name)
	return p
}

// keepLog copies the last of a process's log to the record.
func (p *process) keepLog() {
	text, err := os.ReadFile(filepath.Join(p.w.dir, p.name+".log"))
	if err != nil {
		return
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	for _, l := range lines[max(0, len(lines)-25):] {
		p.w.notef("log of %s: %s", p.name, l)
	}
}

func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.gone:
	default:
		syscall.Kill(p.cmd.Process.Pid, s) //nolint:errcheck // it may have ended just now
	}
}

// deployRun returns the command by which the deploy file starts a router.
func (w *world) deployRun() string {
	text, err := os.ReadFile(filepath.Join(w.root, "deploy", "balancer.toml"))
	if err != nil {
		panic(unable{err.Error()})
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, `run = "`); ok {
			run, _, _ := strings.Cut(rest, `"`)
			return run
		}
	}
	panic(unable{"the deploy file has no run"})
}

// object is a piece of JSON.
type object map[string]any

// writeJSON writes a file of the platform, whole.
func (w *world) writeJSON(path string, v any) {
	text, err := json.MarshalIndent(v, "", " ")
	if err == nil {
		err = os.WriteFile(path+".new", text, 0o600)
	}
	if err == nil {
		err = os.Rename(path+".new", path)
	}
	if err != nil {
		panic(unable{err.Error()})
	}
}

// awaitReady waits until a router answers mn with MN.
func awaitReady(addr string, within time.Duration) {
	until := time.Now().Add(within)
	for time.Now().Before(until) {
		if c, err := net.DialTimeout("tcp", addr, time.Second); err == nil {
			c.SetDeadline(time.Now().Add(time.Second))
			fmt.Fprint(c, "mn\r\n")
			line, _ := bufio.NewReader(c).ReadString('\n')
			c.Close()
			if line == "MN\r\n" {
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	panic(unable{"the router at " + addr + " is not ready"})
}

// run carries out a case and returns the status of its script.
func run(w *world, do func(*world)) (status int) {
	defer w.end()
	defer func() {
		if v := recover(); v != nil {
			u, ok := v.(unable)
			if !ok {
				u = unable{fmt.Sprint(v)}
			}
			w.notef("could not run: %v", u)
			fmt.Println("could not run:", u)
			status = 2
		}
	}()
	do(w)
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.broken) > 0 {
		fmt.Printf("the rule was broken, %d times: %s\n", len(w.broken), w.broken[0])
		return 1
	}
	fmt.Println("the rule held")
	return 0
}

// longestRun is the time that a case may take.
const longestRun = 115 * time.Second

var cases = map[string]func(*world){}

func main() {
	if len(os.Args) != 4 {
		fmt.Println("usage: rig-2 CASE ROOT FOLDER")
		os.Exit(2)
	}
	do := cases[os.Args[1]]
	if do == nil {
		fmt.Println("no such case:", os.Args[1])
		os.Exit(2)
	}
	w, err := newWorld(os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Println("could not run:", err)
		os.Exit(2)
	}
	time.AfterFunc(longestRun, func() {
		fmt.Println("could not run: not done within", longestRun)
		os.Exit(2)
	})
	os.Exit(run(w, do))
}
