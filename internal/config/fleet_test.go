package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// fleetFile returns a configuration whose [fleet] section holds the given lines, and the path of its file.
func fleetFile(t *testing.T, lines string) (path string, text []byte) {
	t.Helper()
	dir := t.TempDir()
	for name, key := range map[string]string{"good.key": "AAECAwQFBgcICQoLDA0ODxAREhMUFRYXGBkaGxwdHh8=\n", "short.key": "AAEC\n"} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(key), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return filepath.Join(dir, "c.toml"), []byte(`name = "r-1"
site = "rades"
[[class]]
name = "read"
effect = "repeatable"
aim_ms = 500
deadline_ms = 2000
[[pool]]
name = "one"
listen = "127.0.0.1:11211"
[pool.servers]
file = "servers.toml"
[fleet]
` + lines + "[end]\n")
}

func TestFleetOfAConfiguration(t *testing.T) {
	f, faults := ParseFile(fleetFile(t, `listen = "10.1.2.3:7946"
advertise = "10.9.9.9:7946"
join = ["10.1.2.4:7946"]
key_file = "good.key"
`))
	if faults != nil || f.Fleet == nil || len(f.Fleet.Key) != 32 || f.Fleet.Advertise != "10.9.9.9:7946" || f.Site != "rades" {
		t.Fatalf("%v: %+v", faults, f)
	}
	if got := f.Pools[0].Limits.Sockets; got != 1024-FleetReserve {
		t.Errorf("%d descriptors are left to the pool", got)
	}
	other, faults := ParseFile(fleetFile(t, `listen = "10.1.2.3:7946"
advertise = "10.9.9.9:7946"
join = ["10.1.2.5:7946"]
key_file = "good.key"
`))
	if faults != nil {
		t.Fatal(faults)
	}
	if keys := f.NeedsRestart(other); len(keys) > 0 {
		t.Errorf("another join needs a restart for %q", keys)
	}
	other.Fleet.Listen = "10.1.2.3:7947"
	if keys := f.NeedsRestart(other); len(keys) != 1 || keys[0] != "fleet (all but join)" {
		t.Errorf("another address: %q", keys)
	}
	if other.Fleet = nil; len(f.NeedsRestart(other)) != 1 {
		t.Error("no fleet needs no restart")
	}
}

// Faults in [fleet] are reported with file, line and key.
func TestFaultsOfFleet(t *testing.T) {
	for lines, want := range map[string]string{
		"join = [\"127.0.0.1:1\"]\n":                                                            `c.toml:13: fleet.listen: "" is no address`,
		"listen = \"127.0.0.1:11211\"\n":                                                        `c.toml:10: pool[0].listen: "127.0.0.1:11211" is another's`,
		"listen = \"10.0.0.1:7946\"\n":                                                          `c.toml:14: fleet.listen: "10.0.0.1:7946" is no loopback address, and without key_file`,
		"listen = \"0.0.0.0:7946\"\nkey_file = \"good.key\"\n":                                  `c.toml:14: fleet.listen: "0.0.0.0:7946" is no address that others can reach`,
		"listen = \"127.0.0.1:7946\"\njoin = [\"x\"]\n":                                         `c.toml:15: fleet.join: "x" is no address`,
		"listen = \"127.0.0.1:7946\"\nadvertise = \"10.0.0.1:1\"\n":                             `c.toml:15: fleet.advertise: "10.0.0.1:1" is no loopback address`,
		"listen = \"127.0.0.1:7946\"\nkey_file = \"short.key\"\n":                               `c.toml:15: fleet.key_file: short.key does not hold 32 bytes in base64`,
		"listen = \"127.0.0.1:7946\"\nkey_file = \"none.key\"\n":                                `c.toml:15: fleet.key_file: open `,
		"listen = \"127.0.0.1:7946\"\njoin = [" + strings.Repeat(`"127.0.0.1:1", `, 65) + "]\n": `c.toml:15: fleet.join: 65 addresses; 64 are the most`,
	} {
		path, text := fleetFile(t, lines)
		_, faults := ParseFile(path, text)
		if faults == nil || !strings.Contains(faults.Error(), want) {
			t.Errorf("%s: %v\nwant %s", lines, faults, want)
		}
	}
	path, text := fleetFile(t, "listen = \"127.0.0.1:7946\"\n")
	long := strings.Replace(string(text), `"r-1"`, `"`+strings.Repeat("r", 25)+`"`, 1)
	if _, faults := ParseFile(path, []byte(long)); faults == nil || !strings.Contains(faults.Error(), "c.toml:1: name: ") {
		t.Errorf("a long name: %v", faults)
	}
}
