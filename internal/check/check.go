// Package check says whether configuration and server files are good, and what a change of servers would do, before
// anything is saved where a router would see it.
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

// Options say what is checked.
type Options struct {
	Files   []string
	Against string // the server file that runs; "" = none
	Config  string // by whose rules server files are judged; "" = by those that hold everywhere
	Pool    string
}

// Run checks and prints to out. An error tells that nothing could be checked.
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

// poolRules finds the rules of the pool that is meant; known is false where there is no configuration to tell them.
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

// serversPattern tells server files from configurations, also where they don't parse.
var serversPattern = regexp.MustCompile(`(?m)^\s*servers\s*=`)

// checkFile checks a file.
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

// readFile reads a file, up to a byte beyond what either kind may hold.
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

// checkServers checks a server file. Without known rules it may list an origin or none.
func checkServers(out io.Writer, path string, text []byte, rules member.Rules, known bool) (member.File, bool) {
	f, faults := member.ParseFile(path, text, rules)
	if !known && faults != nil {
		rules.Origin = true
		if g, other := member.ParseFile(path, text, rules); len(other) < len(faults) {
			f, faults = g, other
		}
	}
	if faults != nil {
		fmt.Fprintln(out, tomlfile.Faults(faults))
		return f, false
	}
	return f, true
}

// checkChange prints what going from one server file to another does.
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
