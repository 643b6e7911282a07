package check

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestRun(t *testing.T) {
	dir := t.TempDir()
	put := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	row := func(id, port, site string) string {
		return `{id = "` + id + `", addr = "127.0.0.1:` + port + `", site = "` + site + `"},` + "\n"
	}
	all := put("all.toml", "servers = [\n"+row("a", "1", "rades")+row("b", "2", "sfax")+"]\nend = 2\n")
	one := put("one.toml", "servers = [\n"+row("a", "1", "rades")+"]\nend = 1\n")
	half := put("half.toml", "servers = [\n"+row("a", "1", "rades")+"]\n")
	bad := put("bad.toml", "servers = [\n"+row("a", "x", "rades")+row("a", "2", "")+"]\nend = 2\n")
	example := filepath.Join("..", "..", "deploy", "cottonyoke.toml")
	servers := filepath.Join("..", "..", "deploy", "servers.toml")
	broken := put("broken.toml", "site = \"rades\"\n[limits]\nmemory_mb = 1\n")
	for name, c := range map[string]struct {
		o    Options
		good bool
		want []string
	}{
		"good":         {Options{Files: []string{all, servers}}, true, []string{all + ": good: 2 servers", servers + ": good: 5 servers"}},
		"example":      {Options{Files: []string{example}}, true, []string{servers + ": good", example + ": good"}},
		"half":         {Options{Files: []string{half, all}}, false, []string{half + ":3: end: the last line is missing", all + ": good"}},
		"every fault":  {Options{Files: []string{bad}}, false, []string{bad + ":2: servers[0].addr: ", bad + ":3: servers[1].site: missing", bad + `:3: servers[1].id: "a" stands at`}},
		"by the rules": {Options{Files: []string{all}, Config: example}, false, []string{all + ":1: servers: no origin is listed"}},
		"broken":       {Options{Files: []string{broken}}, false, []string{broken + ":3: limits.memory_mb: 1 is out of range", "the last line is missing"}},
		"against":      {Options{Files: []string{one}, Against: all}, false, []string{"drained: b\n", "refused: site sfax would lose all of its 1 servers"}},
		"back":         {Options{Files: []string{all}, Against: one}, true, []string{"added: b\n"}},
		"same":         {Options{Files: []string{all}, Against: all}, true, []string{"nothing changes\n"}},
		"no file":      {Options{Files: []string{filepath.Join(dir, "none")}}, false, []string{"no such file"}},
	} {
		var out strings.Builder
		good, err := Run(&out, c.o)
		if err != nil || good != c.good {
			t.Errorf("%s: %v, %v\n%s", name, good, err, out.String())
		}
		for _, w := range c.want {
			if !strings.Contains(out.String(), w) {
				t.Errorf("%s: got %q, want %q in it", name, out.String(), w)
			}
		}
	}
	for _, o := range []Options{{Files: []string{all, one}, Against: all}, {Files: []string{all}, Config: broken},
		{Files: []string{all}, Config: example, Pool: "none"}} {
		if _, err := Run(&strings.Builder{}, o); err == nil {
			t.Errorf("%+v: no error", o)
		}
	}
}
