package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

func init() { cases["tenant"] = halfTenant }

// halfTenant: the router is killed and its store is restored from the last backup, which lacks a change, as after a damage
// of its files; an administrator suspends a tenant later. The rule: a tenant is never half applied, and what is answered
// as in force is in force.
func halfTenant(w *world) {
	c := w.newCache("c-01", "")
	listen, admin := freeAddr(), freeAddr()
	file := func(name string) string { return filepath.Join(w.dir, name) }
	put(file("servers.toml"), fmt.Sprintf("servers = [\n  {id = \"c-01\", addr = %q, site = \"rades\"},\n]\nend = 1\n", c.addr))
	put(file("callers.rights"), "role reader {\n  allow read-status read\n}\n")
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
[[tenant]]
name = "acme"
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
[admin]
listen = %q
state = "book"
[end]
`, listen, admin))
	store := []string{"--state", "book", "--export", "callers.toml"}
	w.tool(w.dir, "key", "pepper", "pepper")
	w.tool(w.dir, append(append([]string{"caller"}, store...), "tenant", "acme")...)
	w.tool(w.dir, append(append([]string{"caller"}, store...), "set", "acme-reader", "--tenant", "acme", "--role", "reader")...)
	secret := after(w.tool(w.dir, append(append([]string{"key"}, store...), "create", "acme-1", "--caller", "acme-reader", "--pepper", "pepper")...), "secret ")
	token := strings.Fields(w.tool(w.dir, "admin", "--state", "book", "token", "ops", "--right", "all"))
	call := func(method, path, match, body string) (int, string, string) {
		r, err := http.NewRequest(method, "http://"+admin+"/v1"+path, bytes.NewReader([]byte(body)))
		if err != nil {
			panic(unable{err.Error()})
		}
		r.Header.Set("Authorization", "Bearer "+token[len(token)-1])
		r.Header.Set("Content-Type", "application/json")
		switch match {
		case "":
		case "*":
			r.Header.Set("If-None-Match", "*")
		default:
			r.Header.Set("If-Match", match)
		}
		resp, err := (&http.Client{Timeout: 5 * time.Second}).Do(r)
		if err != nil {
			panic(unable{err.Error()})
		}
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		w.notef("administrator: %s %s %s: %d %s", method, path, body, resp.StatusCode, strings.TrimSpace(string(text)))
		return resp.StatusCode, resp.Header.Get("ETag"), string(text)
	}
	// served asks as a caller of the tenant, on a new connection, and returns what it got.
	served := func() string {
		cl, err := dial(listen)
		if err != nil {
			panic(unable{err.Error()})
		}
		defer cl.conn.Close()
		fmt.Fprintf(cl.conn, "auth key acme-1 %s\r\nmg status/1 v Or%d Pc=read-status,d=1200\r\n", secret, time.Now().UnixNano())
		login, err := cl.read(time.Now().Add(3 * time.Second))
		if err != nil {
			panic(unable{err.Error()})
		}
		a, err := cl.read(time.Now().Add(3 * time.Second))
		if err != nil {
			panic(unable{err.Error()})
		}
		w.notef("caller of acme: login %q, read %q", login.line, a.line)
		return a.line
	}
	start := func(name string) *process {
		p := w.start(name, "exec bin/cottonyoke serve -c "+file("router.toml"))
		awaitReady(listen, 10*time.Second)
		w.awaitLog(p, "administration: listening", 5*time.Second)
		return p
	}
	p := start("n0")
	if a := served(); !strings.HasPrefix(a, "VA ") {
		panic(unable{"the caller is not served at first: " + a})
	}
	w.tool(w.dir, "store", "backup", "book", "backup")
	if status, _, _ := call(http.MethodPut, "/tenants/blue", "*", `{"limits":{"floor_per_s":5}}`); status != http.StatusOK {
		panic(unable{"a tenant can't be made"})
	}
	p.signal(syscall.SIGKILL)
	<-p.gone
	if w.trouble {
		if err := os.Rename(file("book"), file("book.damaged")); err != nil {
			panic(unable{err.Error()})
		}
		w.tool(w.dir, "store", "restore", "book", "backup")
	}
	p = start("n1")
	_, etag, _ := call(http.MethodGet, "/tenants/acme", "", "")
	status, _, _ := call(http.MethodPut, "/tenants/acme", etag, `{"suspended":true}`)
	if status != http.StatusOK {
		w.notef("the change is not answered as in force")
		return
	}
	answered := time.Now()
	late := 0
	for time.Since(answered) < 20*time.Second {
		time.Sleep(time.Second)
		if strings.HasPrefix(served(), "VA ") {
			late++
		}
	}
	var shown struct {
		Suspended bool `json:"suspended"`
	}
	_, _, text := call(http.MethodGet, "/tenants/acme", "", "")
	if err := json.Unmarshal([]byte(text), &shown); err != nil || !shown.Suspended {
		panic(unable{"the tenant is not shown as suspended"})
	}
	p.keepLog()
	if late > 0 {
		w.breakf("a caller of a suspended tenant was served %d times in the 20 s after the change was answered as in force", late)
	}
}

// after returns the word that follows a text.
func after(text, mark string) string {
	_, rest, _ := strings.Cut(text, mark)
	word, _, _ := strings.Cut(rest, "\n")
	return word
}
