package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

// Client calls a router's administration API for the command-line tools.
type Client struct {
	URL   string // base URL, such as http://127.0.0.1:8443
	Token string
	JSON  bool // print responses unchanged
	Out   io.Writer
}

// maxResponseBytes limits the size of a response.
const maxResponseBytes = 64 << 20

// problemBody is an error response of the API (RFC 9457).
type problemBody struct {
	Detail string `json:"detail"`
	Errors []struct {
		Location string `json:"location"`
		Message  string `json:"message"`
		Value    any    `json:"value"`
	} `json:"errors"`
}

// call sends a request and decodes the response into into, if not nil. An error response is returned as an
// error that names the invalid fields.
func (c Client) call(ctx context.Context, method, path, condition string, body, into any) (text []byte, err error) {
	var in io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return nil, err
		}
		in = bytes.NewReader(b)
	}
	q, err := http.NewRequestWithContext(ctx, method, c.URL+path, in)
	if err != nil {
		return nil, err
	}
	q.Header.Set("Authorization", "Bearer "+c.Token)
	q.Header.Set("Content-Type", "application/json")
	switch condition {
	case "":
	case "*":
		q.Header.Set("If-None-Match", "*")
	default:
		q.Header.Set("If-Match", condition)
	}
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return nil, err
	}
	defer r.Body.Close()
	if text, err = io.ReadAll(io.LimitReader(r.Body, maxResponseBytes)); err != nil {
		return nil, err
	}
	if r.StatusCode/100 != 2 {
		return nil, parseProblem(r.Status, text)
	}
	if into == nil {
		return text, nil
	}
	if err := json.Unmarshal(text, into); err != nil {
		return nil, fmt.Errorf("%s: no answer of the administration API: %w", c.URL, err)
	}
	return text, nil
}

func parseProblem(status string, text []byte) error {
	var p problemBody
	if json.Unmarshal(text, &p) != nil || p.Detail == "" {
		return fmt.Errorf("%s", status)
	}
	out := p.Detail
	for _, e := range p.Errors {
		out += fmt.Sprintf("; %s: %s", e.Location, e.Message)
		if e.Value != nil {
			out += fmt.Sprintf(" (%v)", e.Value)
		}
	}
	return fmt.Errorf("%s", out)
}

func tenantPath(name string) string { return "/v1/tenants/" + url.PathEscape(name) }

// show prints tenants as a table, or the response unchanged if JSON is set.
func (c Client) show(text []byte, tenants ...Tenant) error {
	if c.JSON {
		_, err := fmt.Fprintf(c.Out, "%s\n", bytes.TrimSpace(text))
		return err
	}
	w := tabwriter.NewWriter(c.Out, 0, 8, 2, ' ', 0)
	fmt.Fprintf(w, "TENANT\tGENERATION\tSTATE\tFLOOR/s\tMOST/s\tWEIGHT\tOPEN\tBYTES\tCONNECTIONS\tPOOLS\tVERSION\n")
	for _, t := range tenants {
		state := "active"
		if t.Suspended {
			state = "suspended"
		}
		l := t.Limits
		fmt.Fprintf(w, "%s\t%d\t%s\t%v\t%v\t%v\t%d\t%d\t%d\t%s\t%d\n", t.Name, t.Generation, state, l.Floor, l.Most, max(l.Weight, 0), l.Open, l.Bytes, l.Conns, formatPools(t.Pools), t.Version)
	}
	return w.Flush()
}

// formatPools returns a tenant's pools as shown in a table.
func formatPools(names []string) string {
	if names == nil {
		return "all"
	}
	return strings.Join(names, ",")
}

// List prints all tenants, requesting one page at a time.
func (c Client) List(ctx context.Context) error {
	var all []Tenant
	for after := ""; ; {
		var p pageAnswer
		text, err := c.call(ctx, http.MethodGet, "/v1/tenants?limit="+strconv.Itoa(maxPageSize)+"&after="+url.QueryEscape(after), "", nil, &p.Body)
		if err != nil {
			return err
		}
		if c.JSON {
			if err := c.show(text); err != nil {
				return err
			}
		}
		all = append(all, p.Body.Tenants...)
		if after = p.Body.Next; after == "" {
			break
		}
	}
	if c.JSON {
		return nil
	}
	return c.show(nil, all...)
}

// Show prints one tenant.
func (c Client) Show(ctx context.Context, name string) error {
	var t Tenant
	text, err := c.call(ctx, http.MethodGet, tenantPath(name), "", nil, &t)
	if err != nil {
		return err
	}
	return c.show(text, t)
}

// Create creates a tenant and prints it.
func (c Client) Create(ctx context.Context, name string, s Spec) error {
	var t Tenant
	text, err := c.call(ctx, http.MethodPut, tenantPath(name), "*", s, &t)
	if err != nil {
		return err
	}
	return c.show(text, t)
}

// Change reads a tenant, applies change and writes it back, conditional on version; 0 = the version read.
func (c Client) Change(ctx context.Context, name string, version uint64, change func(*Spec) error) error {
	var t Tenant
	if _, err := c.call(ctx, http.MethodGet, tenantPath(name), "", nil, &t); err != nil {
		return err
	}
	if version == 0 {
		version = t.Version
	}
	if err := change(&t.Spec); err != nil {
		return err
	}
	text, err := c.call(ctx, http.MethodPut, tenantPath(name), etag(version), t.Spec, &t)
	if err != nil {
		return err
	}
	return c.show(text, t)
}

// Delete deletes the tenant if it has the given version, 0 = any, and waits for its last request.
func (c Client) Delete(ctx context.Context, name string, version uint64) error {
	if version == 0 {
		var t Tenant
		if _, err := c.call(ctx, http.MethodGet, tenantPath(name), "", nil, &t); err != nil {
			return err
		}
		version = t.Version
	}
	var out deleted
	text, err := c.call(ctx, http.MethodDelete, tenantPath(name), etag(version), nil, &out.Body)
	if err != nil {
		return err
	}
	if c.JSON {
		return c.show(text)
	}
	inFlight := out.Body.InHand
	for inFlight > 0 { // terminates, because the class limits the duration of every request
		fmt.Fprintf(c.Out, "%s, generation %d: %d requests in hand\n", name, out.Body.Generation, inFlight)
		var e ending
		path := fmt.Sprintf("%s/ending?generation=%d&wait_s=%d", tenantPath(name), out.Body.Generation, maxWaitSeconds)
		if _, err := c.call(ctx, http.MethodGet, path, "", nil, &e.Body); err != nil {
			return err
		}
		inFlight = e.Body.InHand
	}
	_, err = fmt.Fprintf(c.Out, "%s, generation %d: deleted, and its last request is over\n", name, out.Body.Generation)
	return err
}

// Usage prints a tenant's requests by minute.
func (c Client) Usage(ctx context.Context, name string) error {
	var u usageAnswer
	text, err := c.call(ctx, http.MethodGet, tenantPath(name)+"/usage", "", nil, &u.Body)
	if err != nil {
		return err
	}
	if c.JSON {
		return c.show(text)
	}
	w := tabwriter.NewWriter(c.Out, 0, 8, 2, ' ', 0)
	fmt.Fprintf(w, "MINUTE\tWITHIN\tBORROWED\tOVER\tBEYOND\tSUSPENDED\n")
	for _, m := range u.Body.Minutes {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\n", m.Minute.Format("15:04"), m.Within, m.Borrowed, m.Over, m.Beyond, m.Suspended)
	}
	return w.Flush()
}

// Watch prints audit records above a version of the credentials store as they arrive, until ctx ends.
func (c Client) Watch(ctx context.Context, from uint64) error {
	for ctx.Err() == nil {
		text, err := c.call(ctx, http.MethodGet, fmt.Sprintf("/v1/watch?wait_s=%d&from=%d", maxWaitSeconds, from), "", nil, nil)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		for line := range bytes.Lines(text) {
			var r struct {
				Version uint64 `json:"version"`
			}
			if err := json.Unmarshal(line, &r); err != nil {
				return fmt.Errorf("%s: %w", c.URL, err)
			}
			from = max(from, r.Version)
		}
		if _, err := c.Out.Write(text); err != nil {
			return err
		}
		if len(text) == 0 {
			time.Sleep(100 * time.Millisecond) // a router that is shutting down answers at once: avoid a busy loop
		}
	}
	return nil
}
