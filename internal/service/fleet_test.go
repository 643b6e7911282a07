package service

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"mossproxy.example/mossproxy/internal/operator"
	"mossproxy.example/mossproxy/internal/standin/standintest"
)

// partner is a router with a [fleet], run within the test.
type partner struct {
	*Service
	t    *testing.T
	path string
	hup  chan os.Signal
	text func(join string) string
}

func startPartner(t *testing.T, name, join string) *partner {
	t.Helper()
	dir := t.TempDir()
	p := &partner{t: t, path: filepath.Join(dir, "c.toml"), hup: make(chan os.Signal)}
	servers := "servers = [\n{id = \"c-01\", addr = \"127.0.0.1:9\", site = \"a\"},\n{id = \"db\", addr = \"127.0.0.1:7\", site = \"a\", kind = \"origin\"},\n]\nend = 2\n"
	if err := os.WriteFile(filepath.Join(dir, "servers.toml"), []byte(servers), 0o600); err != nil {
		t.Fatal(err)
	}
	p.text = func(join string) string {
		return fmt.Sprintf("name = %q\nsite = \"a\"\noperator = \"127.0.0.1:0\"\n[tier]\nrouters = 9\n[[class]]\nname = \"read\"\neffect = \"repeatable\"\naim_ms = 500\ndeadline_ms = 2000\n"+
			"[[pool]]\nname = \"one\"\nlisten = \"127.0.0.1:0\"\n[pool.servers]\nfile = \"servers.toml\"\n[fleet]\nlisten = \"127.0.0.1:0\"\njoin = [%s]\n[end]\n", name, join)
	}
	p.write(join)
	var err error
	if p.Service, err = Open(p.path); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- p.Run(ctx, p.hup) }()
	t.Cleanup(func() {
		stop()
		if err := <-ended; err != nil {
			t.Errorf("%s ended with %v", name, err)
		}
	})
	return p
}

func (p *partner) write(join string) {
	p.t.Helper()
	if err := os.WriteFile(p.path, []byte(p.text(join)), 0o600); err != nil {
		p.t.Fatal(err)
	}
}

func (p *partner) view() operator.FleetView {
	return operator.QueryViews(p.t.Context(), []string{p.Operator()})[0].View
}

// Two routers that know of nobody are told of each other by SIGHUP: they agree, and each has half of what is shared. What else of [fleet] is
// changed is refused.
func TestJoinByHangup(t *testing.T) {
	log := standintest.CatchLog(t)
	a := startPartner(t, "a", "")
	b := startPartner(t, "b", "")
	if v := b.view(); len(v.Members) != 1 || v.ResourceShare.Divisor != 0 && v.ResourceShare.Divisor != 9 {
		t.Errorf("alone: %+v", v)
	}
	b.write(fmt.Sprintf("%q", a.Fleet()))
	b.hup <- syscall.SIGHUP
	for _, p := range []*partner{a, b} {
		standintest.Until(t, "half each", func() bool {
			v := p.view()
			return v.ResourceShare.Divisor == 2 && len(v.Members) == 2 && v.Members[0].State == "alive" && v.Members[1].State == "alive"
		})
	}
	if line, ok := operator.SummarizeAgreement(operator.QueryViews(t.Context(), []string{a.Operator(), b.Operator()})); !ok {
		t.Error(line)
	}
	text := strings.Replace(b.text(""), "[fleet]\nlisten = \"127.0.0.1:0\"", "[fleet]\nlisten = \"127.0.0.1:1\"", 1)
	if err := os.WriteFile(b.path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	b.hup <- syscall.SIGHUP
	standintest.Until(t, "another address is refused", func() bool { return log.Has("fleet (all but join) can only change with a restart") })
	if line, ok := operator.SummarizeAgreement(operator.QueryViews(t.Context(), []string{a.Operator(), b.Operator()})); !ok {
		t.Error(line)
	}
}
