package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"syscall"

	"mossproxy.example/mossproxy/internal/admin"
)

type limitFlags struct {
	Floor  *float64 `placeholder:"N" help:"Requests a second that it always gets."`
	Most   *float64 `placeholder:"N" help:"Requests a second at most; 0 = no such limit."`
	Weight *float64 `placeholder:"N" help:"Its part of what others leave."`
	Burst  *float64 `placeholder:"S" help:"Seconds of these that may be saved up."`
	Open   *int     `placeholder:"N" help:"Requests at once; 0 = no such limit."`
	Bytes  *int64   `placeholder:"N" help:"Bytes of requests in hand and answers not taken; 0 = no such limit."`
	Conns  *int     `name:"connections" placeholder:"N" help:"Connections of its clients; 0 = no such limit."`

	Pools []string `placeholder:"POOL" help:"Pools that it may use; all = every one."`
	Class []string `placeholder:"CLASS=PER_S[/OPEN]" help:"Limits on one class, which take the place of those it had; 0 = none. May be repeated."`
}

// applyLimits sets the limits given as flags in l and leaves the others as they are.
func (f limitFlags) applyLimits(l *admin.Limits) error {
	for _, limit := range []struct {
		from *float64
		to   *float64
	}{{f.Floor, &l.Floor}, {f.Most, &l.Most}, {f.Weight, &l.Weight}, {f.Burst, &l.Burst}} {
		if limit.from != nil {
			*limit.to = *limit.from
		}
	}
	if f.Open != nil {
		l.Open = *f.Open
	}
	if f.Bytes != nil {
		l.Bytes = *f.Bytes
	}
	if f.Conns != nil {
		l.Conns = *f.Conns
	}
	for _, text := range f.Class {
		c, err := parseClassLimit(text)
		if err != nil {
			return err
		}
		l.Classes = slices.DeleteFunc(l.Classes, func(limit admin.ClassLimits) bool { return limit.Class == c.Class })
		if c.Most != 0 || c.Open != 0 {
			l.Classes = append(l.Classes, c)
		}
	}
	return nil
}

// parseClassLimit parses CLASS=PER_S[/OPEN]: requests per second and concurrent requests.
func parseClassLimit(text string) (c admin.ClassLimits, err error) {
	name, rest, ok := strings.Cut(text, "=")
	most, open, both := strings.Cut(rest, "/")
	c.Class = name
	if c.Most, err = strconv.ParseFloat(most, 64); err == nil && both {
		c.Open, err = strconv.Atoi(open)
	}
	if !ok || name == "" || err != nil {
		return c, fmt.Errorf("--class: %q: CLASS=PER_S or CLASS=PER_S/OPEN is right", text)
	}
	return c, nil
}

// applySpec sets the pools and limits given as flags in s and leaves the others as they are.
func (f limitFlags) applySpec(s *admin.Spec) error {
	switch {
	case len(f.Pools) == 1 && f.Pools[0] == "all":
		s.Pools = nil
	case len(f.Pools) > 0:
		s.Pools = f.Pools
	}
	return f.applyLimits(&s.Limits)
}

type oneTenant struct {
	Name string `arg:"" help:"The tenant."`
}

// tenantCmd holds the subcommands for tenants, which use a router's administration API.
type tenantCmd struct {
	URL       string `default:"http://127.0.0.1:8443" help:"The API's address."`
	TokenFile string `placeholder:"FILE" help:"The token; COTTONYOKE_TOKEN by default."`
	IfVersion uint64 `placeholder:"N" help:"Change nothing unless the tenant is of this version."`
	JSON      bool   `help:"Write what the API says."`

	List   struct{}  `cmd:"" help:"Show all tenants."`
	Show   oneTenant `cmd:"" help:"Show one."`
	Create struct {
		oneTenant
		limitFlags
	} `cmd:"" help:"Make one."`
	Set struct {
		oneTenant
		limitFlags
	} `cmd:"" help:"Change the limits that are named; the others stay."`
	Suspend oneTenant `cmd:"" help:"Take nothing of it."`
	Resume  oneTenant `cmd:"" help:"Take its requests again."`
	Delete  oneTenant `cmd:"" help:"End it, with its callers and their secrets."`
	Usage   oneTenant `cmd:"" help:"Show what it asked of this router in the last hour, by minute."`
	Watch   struct {
		From uint64 `help:"Changes above this version of the book."`
	} `cmd:"" help:"Show changes as they come, a line of JSON each."`
}

// run executes the named subcommand.
func (c *tenantCmd) run(name string) error {
	token := os.Getenv("COTTONYOKE_TOKEN")
	if c.TokenFile != "" {
		text, err := os.ReadFile(c.TokenFile)
		if err != nil {
			return err
		}
		token = strings.TrimSpace(string(text))
	}
	if token == "" {
		return errors.New("--token-file: missing, and COTTONYOKE_TOKEN is not set; cottonyoke admin token makes one")
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	k := admin.Client{URL: strings.TrimSuffix(c.URL, "/"), Token: token, JSON: c.JSON, Out: os.Stdout}
	suspended := func(on bool) func(*admin.Spec) error {
		return func(s *admin.Spec) error { s.Suspended = on; return nil }
	}
	switch name {
	case "show":
		return k.Show(ctx, c.Show.Name)
	case "create":
		var s admin.Spec
		if err := c.Create.applySpec(&s); err != nil {
			return err
		}
		return k.Create(ctx, c.Create.Name, s)
	case "set":
		return k.Change(ctx, c.Set.Name, c.IfVersion, c.Set.applySpec)
	case "suspend":
		return k.Change(ctx, c.Suspend.Name, c.IfVersion, suspended(true))
	case "resume":
		return k.Change(ctx, c.Resume.Name, c.IfVersion, suspended(false))
	case "delete":
		return k.Delete(ctx, c.Delete.Name, c.IfVersion)
	case "usage":
		return k.Usage(ctx, c.Usage.Name)
	case "watch":
		return k.Watch(ctx, c.Watch.From)
	}
	return k.List(ctx)
}
