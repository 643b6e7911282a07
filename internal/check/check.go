// Package check validates configuration and server files and shows what a change of servers would do, before
// the files are saved where a router reads them.
package check

import (
	"fmt"
	"io"
	"os"
	"regexp"
	"time"

	"mossproxy.example/mossproxy/internal/config"
	"mossproxy.example/mossproxy/internal/member"
	"mossproxy.example/mossproxy/internal/tomlfile"
)

// Options selects what Run checks.
type Options struct {
	Files   []string
	Against string // server file in use; "" = none
	Config  string // configuration with the rules for server files; "" = general rules only
	Pool    string
}

// Run checks the files and prints the results to out. An error means that nothing could be checked.
func Run(out io.Writer, o Options) (good bool, err error) {
	rules, known, err := poolRules(o)
	if err != nil {
		return false, err
	}
	if o.Against != "" {
		if len(o.Files) != 1 {
			return false, fmt.Errorf("--against takes one file, not %d", len(o.Files))
		}
		return checkChange(out, o.Against, o.Files[0], rules, known), nil
	}
	good = true
	for _, path := range o.Files {
		good = checkFile(out, path, rules, known) && good
	}
	return good, nil
}

// poolRules returns the rules of the selected pool; known is false without a configuration.
func poolRules(o Options) (r member.Rules, known bool, err error) {
	if o.Config == "" {
		return member.Rules{GoneShare: member.DefaultGoneShare}, false, nil
	}
	f, err := config.ReadFile(o.Config)
	if err != nil {
		return r, false, err
	}
	for _, p := range f.Pools {
		if o.Pool == p.Pool || o.Pool == "" && len(f.Pools) == 1 {
			return p.Source.Rules, true, nil
		}
	}
	return r, false, fmt.Errorf("%s: no pool %q; name one of its %d with --pool", o.Config, o.Pool, len(f.Pools))
}

// serversPattern distinguishes server files from configurations, even if they do not parse.
var serversPattern = regexp.MustCompile(`(?m)^\s*servers\s*=`)

// checkFile checks one file, and the files that a configuration refers to.
func checkFile(out io.Writer, path string, rules member.Rules, known bool) bool {
	text, err := readFile(path)
	if err != nil {
		fmt.Fprintln(out, err)
		return false
	}
	if serversPattern.Match(text) {
		f, ok := checkServers(out, path, text, rules, known)
		if ok {
			fmt.Fprintf(out, "%s: good: %d servers\n", path, len(f.Servers))
		}
		return ok
	}
	f, faults := config.ParseFile(path, text)
	if faults != nil {
		fmt.Fprintln(out, faults)
		return false
	}
	good := true
	for _, p := range f.Pools {
		if p.Source.Path != "" {
			good = checkFile(out, p.Source.Path, p.Source.Rules, true) && good
		}
	}
	if f.Callers != nil {
		good = checkCallers(out, f, "") && good
	}
	if good {
		fmt.Fprintf(out, "%s: good: %d pool(s)\n", path, len(f.Pools))
	}
	return good
}

// readFile reads at most one byte more than the size limit, so that the parser detects files that are too
// large.
func readFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, member.MaxFileBytes+1))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return text, nil
}

// checkServers checks a server file. If the rules are not known, an origin is optional.
func checkServers(out io.Writer, path string, text []byte, rules member.Rules, known bool) (member.File, bool) {
	f, faults := member.ParseFile(path, text, rules)
	if !known && faults != nil {
		rules.Origin = true
		if g, otherFaults := member.ParseFile(path, text, rules); len(otherFaults) < len(faults) {
			f, faults = g, otherFaults
		}
	}
	if faults != nil {
		fmt.Fprintln(out, tomlfile.Faults(faults))
		return f, false
	}
	return f, true
}

// checkChange prints the effect of replacing one server file by another.
func checkChange(out io.Writer, from, to string, rules member.Rules, known bool) bool {
	var files [2]member.File
	for i, path := range []string{from, to} {
		text, err := readFile(path)
		if err != nil {
			fmt.Fprintln(out, err)
			return false
		}
		var ok bool
		if files[i], ok = checkServers(out, path, text, rules, known); !ok {
			return false
		}
	}
	first := member.Plan(nil, files[0], rules, 0)
	c := member.Plan(&first.Next, files[1], rules, float64(time.Now().UnixMilli()))
	fmt.Fprint(out, c.String())
	return len(c.Refused) == 0
}
