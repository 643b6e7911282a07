package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// startWithin is how long a router may take to be ready.
const startWithin = 30 * time.Second

// memberRights is what members may do; it names no class that is taken out of the configuration.
const memberRights = `role member {
  allow read-status, log-handover
}
`

// adminCall makes a call of the administration API and returns status, ETag and body.
func (r *run) adminCall(method, addr, path, token, match, body string) (status int, etag, text string, err error) {
	q, err := http.NewRequest(method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return 0, "", "", err
	}
	q.Header.Set("Authorization", "Bearer "+token)
	if match != "" {
		q.Header.Set("If-Match", match)
		q.Header.Set("Content-Type", "application/json")
	}
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, "", "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "", "", err
	}
	text = strings.TrimSpace(string(b))
	r.note("admin", fmt.Sprintf("%s %s %s -> %d %s", method, path, body, resp.StatusCode, text))
	return resp.StatusCode, resp.Header.Get("ETag"), text, nil
}

// change reads a tenant and changes it on the version that was read.
func (r *run) change(addr, token, name, body string) (status int, err error) {
	_, etag, _, err := r.adminCall(http.MethodGet, addr, "/v1/tenants/"+name, token, "", "")
	if err != nil {
		return 0, err
	}
	status, _, _, err = r.adminCall(http.MethodPut, addr, "/v1/tenants/"+name, token, etag, body)
	return status, err
}

// hostedRouter is a router with callers and the administration API, and what its operators have.
type hostedRouter struct {
	program, config, listen, admin string
	secret, token                  string
}

// setUpHosted makes the book of two members and the files of a router.
func (r *run) setUpHosted() (*hostedRouter, error) {
	h := &hostedRouter{config: filepath.Join(r.dir, "r.toml")}
	var err error
	if h.program, err = filepath.Abs("bin/cottonyoke"); err != nil {
		return nil, err
	}
	if h.listen, err = freeAddr(); err != nil {
		return nil, err
	}
	if h.admin, err = freeAddr(); err != nil {
		return nil, err
	}
	s, err := r.startCache("c-01")
	if err != nil {
		return nil, err
	}
	o, err := r.startOrigin()
	if err != nil {
		return nil, err
	}
	for name, text := range map[string]string{"callers.rights": memberRights, "r.toml": h.file(pollClass),
		"servers.toml": fmt.Sprintf("servers = [\n  {id = \"c-01\", addr = %q, site = \"rades\"},\n  {id = \"db\", addr = %q, site = \"rades\", kind = \"origin\"},\n]\nend = 2\n", s.addr, o.addr)} {
		if err := r.write(name, text); err != nil {
			return nil, err
		}
	}
	steps := [][]string{{"key", "pepper", "pepper"}}
	for _, tenant := range []string{"acme", "blue"} {
		steps = append(steps, []string{"caller", "--state", "book", "--export", "callers.toml", "tenant", tenant},
			[]string{"caller", "--state", "book", "--export", "callers.toml", "set", tenant + "-d", "--tenant", tenant, "--role", "member"})
	}
	for _, step := range steps {
		if _, err := r.tool(h.program, step...); err != nil {
			return nil, err
		}
	}
	said, err := r.tool(h.program, "key", "--state", "book", "--export", "callers.toml", "create", "acme-1", "--caller", "acme-d", "--pepper", "pepper")
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(said) {
		if v, ok := strings.CutPrefix(line, "secret "); ok {
			h.secret = strings.TrimSpace(v)
		}
	}
	if said, err = r.tool(h.program, "admin", "--state", "book", "token", "ops", "--right", "all"); err != nil {
		return nil, err
	}
	for word := range strings.FieldsSeq(said) {
		if strings.HasPrefix(word, "ops.") {
			h.token = word
		}
	}
	if h.secret == "" || h.token == "" {
		return nil, errors.New("no secret or no token was printed")
	}
	_, err = r.tool(h.program, "check", "r.toml")
	return h, err
}

// file is the configuration with a last class, or with none in its place.
func (h *hostedRouter) file(class string) string {
	return strings.Replace(fmt.Sprintf(routerFile, class, h.listen), "[[pool]]", fmt.Sprintf("[admin]\nlisten = %q\nstate = \"book\"\n\n[[pool]]", h.admin), 1)
}

// launch starts the router and waits until it is ready.
func (r *run) launch(h *hostedRouter, name string) (*router, error) {
	command, err := runCommand()
	if err != nil {
		return nil, err
	}
	p := &router{listen: h.listen, ended: make(chan struct{})}
	if err := r.startProcess(p, name, command+" serve -c "+h.config, os.Environ()); err != nil {
		return nil, err
	}
	return p, r.awaitReady(p, startWithin)
}

// halfApplied: a class is taken out of the configuration in service; an administrator still sets a limit on it for one
// tenant. Later another tenant is suspended, and the router is restarted as planned.
func halfApplied(r *run) error {
	h, err := r.setUpHosted()
	if err != nil {
		return err
	}
	p, err := r.launch(h, "r0")
	if err != nil {
		return err
	}
	var m member
	stop := make(chan struct{})
	defer close(stop)
	go m.use(r, h.listen, "acme-1", h.secret, stop)
	time.Sleep(2 * time.Second)
	m.mu.Lock()
	served := len(m.served)
	m.mu.Unlock()
	if served == 0 {
		return errors.New("the member was not served before it was suspended")
	}

	if r.trouble {
		if err := r.write("r.toml", h.file("")); err != nil {
			return err
		}
		if _, err := r.tool(h.program, "check", "r.toml"); err != nil {
			return err
		}
		r.note("operator", "the class order-poll is taken out of the configuration")
	}
	time.Sleep(2 * time.Second)
	if _, err := r.change(h.admin, h.token, "blue", `{"limits":{"classes":[{"class":"order-poll","open":5}]}}`); err != nil {
		return err
	}
	suspend, err := r.change(h.admin, h.token, "acme", `{"suspended":true}`)
	if err != nil {
		return err
	}
	limit := r.now() + inForceWithin
	time.Sleep(time.Duration((inForceWithin + 5) * float64(time.Second)))

	var broken []string
	_, _, stored, err := r.adminCall(http.MethodGet, h.admin, "/v1/tenants/acme", h.token, "", "")
	if err != nil {
		return err
	}
	m.mu.Lock()
	values, logins := after(m.served, limit+measureSlack), after(m.loggedIn, limit+measureSlack)
	m.mu.Unlock()
	if strings.Contains(stored, `"suspended":true`) && values+logins > 0 {
		broken = append(broken, fmt.Sprintf("the API says that acme is suspended (PUT was answered with %d); later than %.0f s after that its caller got %d values and %d new logins",
			suspend, inForceWithin, values, logins))
	}

	p.cmd.Process.Signal(syscall.SIGTERM) //nolint:errcheck // it shows below
	select {
	case <-p.ended:
	case <-time.After(10 * time.Second):
		return errors.New("the router did not end after SIGTERM")
	}
	r.note("operator", "the router has ended after SIGTERM and is started again")
	if _, err := r.launch(h, "r0-again"); err != nil {
		broken = append(broken, "the router does not start again: "+err.Error())
	}
	if len(broken) > 0 {
		return fmt.Errorf("%w: half-applied tenant: %s", errBroken, strings.Join(broken, "; and "))
	}
	return nil
}
