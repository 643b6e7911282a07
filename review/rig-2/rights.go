package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"
)

func init() { cases["rights"] = withdrawnRights }

// goodRights are the rules that are in the file from the beginning to the end, but for the moment of the wrong edit.
const goodRights = `role dispatcher {
  deny  any on "internal/"
  allow read-status
}

role exporter {
  allow read-status read
}
`

// wrongRights are an edit made in a hurry: one role is missing and the other allows all. The router refuses it.
const wrongRights = `role dispatcher {
  allow any
}
`

// tool runs a command of the program to its end in a folder, and returns what it printed.
func (w *world) tool(dir string, args ...string) string {
	c := exec.Command(filepath.Join(w.root, "bin", "cottonyoke"), args...)
	c.Dir = dir
	out, err := c.CombinedOutput()
	w.notef("cottonyoke %s: %s %v", strings.Join(args, " "), strings.TrimSpace(strings.ReplaceAll(string(out), "\n", "; ")), err)
	if err != nil {
		panic(unable{"cottonyoke " + strings.Join(args, " ") + ": " + string(out)})
	}
	return string(out)
}

// put writes a file as an editor does: beside it, and renamed into place.
func put(path, text string) {
	err := os.WriteFile(path+".new", []byte(text), 0o600)
	if err == nil {
		err = os.Rename(path+".new", path)
	}
	if err != nil {
		panic(unable{err.Error()})
	}
}

// awaitLog waits until the log of a process has a text.
func (w *world) awaitLog(p *process, text string, within time.Duration) {
	until := time.Now().Add(within)
	for time.Now().Before(until) {
		log, _ := os.ReadFile(filepath.Join(w.dir, p.name+".log"))
		if strings.Contains(string(log), text) {
			w.notef("%s has logged %q", p.name, text)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	panic(unable{"the log of " + p.name + " lacks " + text})
}

// withdrawnRights: a wrong file of rights is refused and taken back, and the book changes later. The rule: a wrong file
// never reaches traffic, and a caller does only what the rights allow.
func withdrawnRights(w *world) {
	var ran atomic.Int64
	c := w.newCache("c-01", "")
	c.write = func(c *cache, conn net.Conn, cmd command, body io.Reader) (string, bool) {
		if _, err := io.CopyN(io.Discard, io.MultiReader(body, conn), int64(cmd.length+2)); err != nil {
			return "", true
		}
		ran.Add(1)
		w.notef("%s runs a write of class %s: key %s, id %s", c.id, cmd.class, cmd.key, cmd.id)
		return c.served(cmd), false
	}
	c.got = func(c *cache, cmd command) {
		if strings.Contains(cmd.key, "internal/") {
			w.notef("%s gets a read of %s", c.id, cmd.key)
		}
	}
	listen := freeAddr()
	file := func(name string) string { return filepath.Join(w.dir, name) }
	put(file("servers.toml"), fmt.Sprintf("servers = [\n  {id = \"c-01\", addr = %q, site = \"rades\"},\n]\nend = 1\n", c.addr))
	put(file("callers.rights"), goodRights)
	put(file("router.toml"), fmt.Sprintf(`name = "n0"
site = "rades"
[limits]
memory_mb = 192
descriptors = 1024
[[class]]
name = "read-status"
effect = "repeatable"
aim_ms = 600
deadline_ms = 2500
[[class]]
name = "order-poll"
effect = "once"
aim_ms = 1000
deadline_ms = 2500
[[tenant]]
name = "rades-terminal"
share_per_s = 1000
[[pool]]
name = "status"
listen = %q
origin = "servers"
callers = true
[pool.servers]
file = "servers.toml"
[callers]
book = "callers.toml"
rights = "callers.rights"
pepper_file = "pepper"
audiences = ["rades"]
[end]
`, listen))
	store := []string{"--state", "book", "--export", "callers.toml"}
	w.tool(w.dir, "key", "pepper", "pepper")
	w.tool(w.dir, append(append([]string{"caller"}, store...), "tenant", "rades-terminal")...)
	w.tool(w.dir, append(append([]string{"caller"}, store...), "set", "rades-dispatch", "--tenant", "rades-terminal", "--role", "dispatcher")...)
	w.tool(w.dir, append(append([]string{"caller"}, store...), "set", "old-export", "--tenant", "rades-terminal", "--role", "exporter")...)
	secret := after(w.tool(w.dir, append(append([]string{"key"}, store...), "create", "rades-1", "--caller", "rades-dispatch", "--pepper", "pepper")...), "secret ")
	w.tool(w.dir, "check", "router.toml")
	p := w.start("n0", "exec bin/cottonyoke serve -c "+file("router.toml"))
	awaitReady(listen, 10*time.Second)
	n := 0
	// ask has the caller read a key, order a poll and read an internal key, and returns the answers.
	ask := func(when string) (read, poll, internal string) {
		cl, err := dial(listen)
		if err != nil {
			panic(unable{err.Error()})
		}
		defer cl.conn.Close()
		n++
		fmt.Fprintf(cl.conn, "auth key rades-1 %s\r\n", secret)
		if a, err := cl.read(time.Now().Add(3 * time.Second)); a.line != "HD" {
			panic(unable{fmt.Sprintf("the login is answered %q %v", a.line, err)})
		}
		var got [3]string
		for i, text := range []string{
			fmt.Sprintf("mg status/1 v Or%d Pc=read-status,d=1200\r\n", n),
			fmt.Sprintf("ms poll/1 5 Op%d Pc=order-poll,d=1200\r\nhello\r\n", n),
			fmt.Sprintf("mg internal/1 v Oi%d Pc=read-status,d=1200\r\n", n)} {
			fmt.Fprint(cl.conn, text)
			a, err := cl.read(time.Now().Add(3 * time.Second))
			if err != nil {
				panic(unable{err.Error()})
			}
			got[i] = a.line
		}
		w.notef("client, %s: read %q, order-poll %q, internal key %q", when, got[0], got[1], got[2])
		return got[0], got[1], got[2]
	}
	check := func(when string) {
		read, poll, internal := ask(when)
		if !strings.HasPrefix(read, "VA ") {
			panic(unable{"the caller may read, and got " + read})
		}
		if !strings.HasPrefix(poll, "CLIENT_ERROR") || ran.Load() > 0 {
			w.breakf("%s: an order-poll that the rights in the file do not allow is answered %q, %d have run", when, poll, ran.Load())
		}
		if !strings.HasPrefix(internal, "CLIENT_ERROR") {
			w.breakf("%s: a read that the rights in the file deny is answered %q", when, internal)
		}
	}
	check("at the start")
	if w.trouble {
		put(file("callers.rights"), wrongRights)
		w.notef("a wrong file of rights is written")
		w.awaitLog(p, "file rejected", 5*time.Second)
		check("while the wrong file lies there")
		put(file("callers.rights"), goodRights)
		w.notef("the file of rights is as it was")
	}
	time.Sleep(2 * time.Second)
	check("with the right file back")
	w.tool(w.dir, append(append([]string{"caller"}, store...), "remove", "old-export")...)
	w.awaitLog(p, "version=5", 5*time.Second)
	time.Sleep(time.Second)
	if text, err := os.ReadFile(file("callers.rights")); err != nil || string(text) != goodRights {
		panic(unable{"the file of rights is not the right one"})
	}
	check("after the book has lost a caller")
	p.keepLog()
}
