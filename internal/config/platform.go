// Package router is a router in front of cache servers on real sockets. It hosts one decide.Balancer and decides
// nothing itself.
// Package config reads what a router is told at its start, and checks it.
package config

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"mossproxy.example/mossproxy/internal/member"
	"mossproxy.example/mossproxy/internal/settings"
)

// Config is what a router is told at its start.
type Config struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Operator  string `json:"operator"` // where operators call; "" = nowhere
	Seed      string `json:"seed"`
	Limits    struct {
		MemoryMB int64 `json:"memory_mb"`
		Sockets  int   `json:"sockets"`
	} `json:"limits"`
	Known    member.List     `json:"known"`
	Settings json.RawMessage `json:"settings"`

	SeedNumber uint64            `json:"-"` // Seed, read
	Checked    settings.Settings `json:"-"` // Settings, read and checked

	Pool       string            `json:"-"` // of the program's own configuration
	Standalone bool              `json:"-"` // comes from the program's own configuration, not from the platform's
	RESP       *RESP             `json:"-"` // the pool speaks RESP; nil = the meta commands
	Cores      int               `json:"-"` // engines that share the pool; 0 counts as 1
	Callers    *Callers          `json:"-"` // who may call; nil = nobody is asked
	TLS        *TLS              `json:"-"` // a listener for links with TLS; nil = there is none
	Tenants    *Tenants          `json:"-"` // their limits; nil = they have none but the module's quotas
	ServerTLS  *ServerTLS        `json:"-"` // of links to servers and origin; nil = they are plain
	Grace      time.Duration     `json:"-"` // how long connections are taken once the router is told to stop
	Source     member.FileConfig `json:"-"` // the server file; without a path, Discovery tells of servers
}

// FDReserve is what the process holds beside connections: standard streams, the listener, the poller, discovery.
const FDReserve = 32

// OperatorReserve is what operators' calls may hold beside that, where they have an address: as many calls at once, their listener and the
// call that has come before another one gives way.
const OperatorReserve = 18

// platformDrainGrace is for how long connections are taken on the platform once the router is told to stop: for 0.4 s new
// ones still come.
const platformDrainGrace = 500 * time.Millisecond

// Load reads the configuration at path; getenv fills in what the file leaves out. An error is one line that
// names the setting.
func Load(path string, getenv func(string) string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("GW_CONFIG: %w", err)
	}
	c := &Config{Grace: platformDrainGrace}
	if err := json.Unmarshal(text, c); err != nil {
		return nil, fmt.Errorf("GW_CONFIG: %s: %w", path, err)
	}
	for _, v := range []struct {
		at        *string
		name, env string
	}{{&c.Name, "name", "GW_NAME"}, {&c.Listen, "listen", "GW_LISTEN"}, {&c.Discovery, "discovery", "GW_DISCOVERY"}} {
		if *v.at == "" {
			*v.at = getenv(v.env)
		}
		if *v.at == "" {
			return nil, fmt.Errorf("%s: missing, and %s is not set", v.name, v.env)
		}
	}
	if c.Operator == "" {
		c.Operator = getenv("GW_OPERATOR")
	}
	for name, addr := range map[string]string{"listen": c.Listen, "discovery": c.Discovery, "operator": c.Operator} {
		if addr == "" && name == "operator" {
			continue
		}
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return nil, fmt.Errorf("%s: %q is no host:port", name, addr)
		}
	}
	if c.SeedNumber, err = strconv.ParseUint(c.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %q is not a number of up to 16 hex digits", c.Seed)
	}
	if c.Limits.MemoryMB < 16 {
		return nil, fmt.Errorf("limits.memory_mb: %d is missing or under 16", c.Limits.MemoryMB)
	}
	if c.Limits.Sockets < 2*FDReserve {
		return nil, fmt.Errorf("limits.sockets: %d is missing or under %d", c.Limits.Sockets, 2*FDReserve)
	}
	if len(c.Settings) == 0 {
		return nil, fmt.Errorf("settings: missing")
	}
	if c.Checked, err = settings.Parse(c.Settings); err != nil {
		return nil, err
	}
	return c, nil
}
