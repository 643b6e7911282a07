package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"mossproxy.example/mossproxy/internal/operator"
)

// fleetCmd holds the subcommands for the fleet of routers.
type fleetCmd struct {
	Status fleetQuery `cmd:"" help:"Ask routers for their views of the fleet, and say whether they agree."`
	Load   fleetQuery `cmd:"" help:"Ask routers what the fleet serves while it can't serve all, who has what part, and who refuses how much."`
}

// fleetQuery holds the arguments and flags of both fleet subcommands.
type fleetQuery struct {
	Addrs []string      `arg:"" name:"addr" help:"Operators' addresses of some routers, HOST:PORT."`
	Watch bool          `short:"w" help:"Ask again and again, until Ctrl-C."`
	Every time.Duration `default:"1s" help:"Between two times, with --watch (100ms or more)."`
	JSON  bool          `name:"json" help:"Print each router's view as it gives it, a line each."`
}

// Help returns the text of fleet --help.
func (fleetCmd) Help() string {
	return `The first line says whether the routers that were asked agree on who is there; if not, who differs about whom. Status 0: they
agree and all answered. Status 1: they don't, or one did not answer. docs/operate/fleet-view.md says what to do.

    cottonyoke fleet status 127.0.0.1:9101 127.0.0.1:9102 --watch

fleet load says for each pool what is served while the fleet can't serve all, and who refuses how much; status 1: a router did not answer, or
they lie apart. docs/operate/fleet-overload.md says what to do.

    cottonyoke fleet load 127.0.0.1:9101 127.0.0.1:9102 --watch`
}

// run executes the named subcommand.
func (c *fleetCmd) run(name string) error {
	s, printResult := &c.Status, operator.WriteStatus
	if name == "load" {
		s, printResult = &c.Load, operator.WriteLoad
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	for {
		agree := s.queryOnce(ctx, printResult)
		if !s.Watch {
			if !agree {
				os.Exit(1) // the result has already been printed
			}
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(max(100*time.Millisecond, s.Every)):
		}
	}
}

// queryOnce queries all routers once, prints the result and reports whether all routers answered and agree.
func (s *fleetQuery) queryOnce(ctx context.Context, printResult func(io.Writer, []operator.ViewResult) bool) (agree bool) {
	asked := operator.QueryViews(ctx, s.Addrs)
	if !s.JSON {
		return printResult(os.Stdout, asked)
	}
	agree = printResult(io.Discard, asked)
	out := json.NewEncoder(os.Stdout)
	for _, a := range asked {
		if a.Err != nil {
			fmt.Fprintf(os.Stderr, "cottonyoke: %s: %v\n", a.Addr, a.Err)
			continue
		}
		out.Encode(a.View) //nolint:errcheck // a write fails only if the reader is gone
	}
	return agree
}
