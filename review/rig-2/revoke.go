package main

import (
	"fmt"
	"path/filepath"
	"strings"
	"time"
)

func init() { cases["revoke"] = heldUpRevocation }

// revokedWithin is the time in which a revoked key stops working.
const revokedWithin = 5 * time.Second

// heldUpRevocation: a class comes with a new configuration, after the rights that name it and the book that has a caller for
// it and a revoked key. The rule: a revoked key stops working within five seconds, here of the moment from which all files
// are good.
func heldUpRevocation(w *world) {
	c := w.newCache("c-01", "")
	listen := freeAddr()
	file := func(name string) string { return filepath.Join(w.dir, name) }
	put(file("servers.toml"), fmt.Sprintf("servers = [\n  {id = \"c-01\", addr = %q, site = \"rades\"},\n]\nend = 1\n", c.addr))
	const reader = "role reader {\n  allow read-status read\n}\n"
	put(file("callers.rights"), reader)
	class := func(name string) string {
		return fmt.Sprintf("[[class]]\nname = %q\neffect = \"repeatable\"\naim_ms = 600\ndeadline_ms = 2500\n", name)
	}
	configuration := func(classes string) string {
		return fmt.Sprintf(`name = "n0"
site = "rades"
[limits]
memory_mb = 192
descriptors = 1024
%s[[tenant]]
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
`, classes, listen)
	}
	full := configuration(class("read-status") + class("new-report"))
	if w.trouble {
		put(file("router.toml"), configuration(class("read-status")))
	} else {
		put(file("router.toml"), full)
	}
	store := []string{"--state", "book", "--export", "callers.toml"}
	w.tool(w.dir, "key", "pepper", "pepper")
	w.tool(w.dir, append(append([]string{"caller"}, store...), "tenant", "rades-terminal")...)
	w.tool(w.dir, append(append([]string{"caller"}, store...), "set", "rades-reader", "--tenant", "rades-terminal", "--role", "reader")...)
	secret := after(w.tool(w.dir, append(append([]string{"key"}, store...), "create", "rades-1", "--caller", "rades-reader", "--pepper", "pepper")...), "secret ")
	p := w.start("n0", "exec bin/cottonyoke serve -c "+file("router.toml"))
	awaitReady(listen, 10*time.Second)
	// login logs in by the key, and returns the connection and the answer.
	login := func() (*client, string) {
		cl, err := dial(listen)
		if err != nil {
			panic(unable{err.Error()})
		}
		fmt.Fprintf(cl.conn, "auth key rades-1 %s\r\n", secret)
		a, err := cl.read(time.Now().Add(3 * time.Second))
		if err != nil {
			panic(unable{err.Error()})
		}
		return cl, a.line
	}
	n := 0
	read := func(cl *client) string {
		n++
		fmt.Fprintf(cl.conn, "mg status/1 v Or%d Pc=read-status,d=1200\r\n", n)
		a, err := cl.read(time.Now().Add(3 * time.Second))
		if err != nil {
			return err.Error()
		}
		return a.line
	}
	first, line := login()
	defer first.conn.Close()
	if got := read(first); line != "HD" || !strings.HasPrefix(got, "VA ") {
		panic(unable{"the caller is not served at first: " + line + ", " + got})
	}
	time.Sleep(time.Second) // no new configuration in the first second
	w.tool(w.dir, append(append([]string{"caller"}, store...), "set", "rades-reporter", "--tenant", "rades-terminal", "--role", "reporter")...)
	w.tool(w.dir, append(append([]string{"key"}, store...), "revoke", "rades-1")...)
	time.Sleep(time.Second)
	put(file("callers.rights"), reader+"\nrole reporter {\n  allow new-report read\n}\n")
	w.notef("the rights have the role reporter, which names the class new-report")
	time.Sleep(time.Second)
	if w.trouble {
		put(file("router.toml"), full)
		w.notef("the configuration has the class new-report")
		w.awaitLog(p, "configuration: taken", 5*time.Second)
	}
	w.tool(w.dir, "check", "router.toml") // it finds all files good
	revoked := time.Now()
	w.notef("all files are good; the book has the key revoked")
	late, last := 0, time.Duration(0)
	for time.Since(revoked) < 20*time.Second {
		time.Sleep(500 * time.Millisecond)
		since := time.Since(revoked)
		cl, line := login()
		got := read(cl)
		cl.conn.Close()
		w.notef("%.1f s after that: login by the key %q, read %q", since.Seconds(), line, got)
		if since > revokedWithin && (line == "HD" || strings.HasPrefix(got, "VA ")) {
			late++
			last = since
		}
	}
	p.keepLog()
	if late > 0 {
		w.breakf("a revoked key was taken %d times later than %v after all files were good, the last after %v", late, revokedWithin, last.Round(time.Millisecond))
	}
}
