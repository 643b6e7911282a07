package config

import (
	"fmt"
	"strings"
	"testing"
)

// doorsFile returns a configuration with a fleet and a RESP pool, after the given replacements.
func doorsFile(t *testing.T, changes ...string) (path string, text []byte) {
	t.Helper()
	path, text = fleetFile(t, "listen = \"127.0.0.2:7946\"\nadvertise = \"127.0.0.1:7950\"\n")
	pool := "protocol = \"resp\"\n[pool.resp]\nseeds = [\"127.0.0.1:7000\"]\nread_class = \"read\"\nwrite_class = \"write\"\npeers = [\"fleet\"]\n"
	out := strings.Replace(string(text), "[pool.servers]\nfile = \"servers.toml\"\n", pool, 1)
	out = strings.Replace(out, "[[pool]]", "[[class]]\nname = \"write\"\neffect = \"once\"\naim_ms = 500\ndeadline_ms = 1000\n[[pool]]", 1)
	return path, []byte(strings.NewReplacer(changes...).Replace(out))
}

func TestFleetAsPeers(t *testing.T) {
	f, faults := ParseFile(doorsFile(t))
	if faults != nil {
		t.Fatal(faults)
	}
	if r := f.Pools[0].RESP; !r.Fleet || r.Peers != nil || r.FleetName != "r-1" || r.FleetHost != "127.0.0.1" {
		t.Errorf("%+v", r)
	}
}

func TestFaultsOfFleetAsPeers(t *testing.T) {
	many := ""
	for i := range 3 {
		many += fmt.Sprintf("[[pool]]\nname = \"p%d\"\nlisten = \"127.0.0.1:%d\"\nprotocol = \"resp\"\n", i, 7001+i) +
			"[pool.resp]\nseeds = [\"127.0.0.1:7000\"]\nread_class = \"read\"\nwrite_class = \"write\"\npeers = [\"fleet\"]\n"
	}
	for name, c := range map[string]struct {
		changes []string
		want    string
	}{
		"alone":      {[]string{`["fleet"]`, `["fleet", "127.0.0.1:1"]`}, `pool[0].resp.peers: "fleet" stands alone`},
		"none":       {[]string{"[fleet]\nlisten = \"127.0.0.2:7946\"\nadvertise = \"127.0.0.1:7950\"\n", ""}, `pool[0].resp.peers: "fleet" names the routers of [fleet], and there is none`},
		"two views":  {[]string{`["fleet"]`, `["127.0.0.1:1"]`}, `pool[0].resp.peers: where there is a [fleet] it says which routers there are`},
		"other host": {[]string{`"127.0.0.1:11211"`, `"127.0.0.3:11211"`}, `pool[0].listen: "127.0.0.3:11211": the others reach this router at 127.0.0.1, by [fleet]`},
		"too many":   {[]string{"[fleet]", many + "[fleet]"}, `pool[3].resp.peers: 3 pools at most`},
	} {
		_, faults := ParseFile(doorsFile(t, c.changes...))
		if faults == nil || !strings.Contains(faults.Error(), "c.toml:") || !strings.Contains(faults.Error(), c.want) {
			t.Errorf("%s: %v, want %q", name, faults, c.want)
		}
	}
}
