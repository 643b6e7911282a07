// Package config reads and checks the configuration with which a router starts.
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

// Config is the configuration of one pool: that of the platform, or a [[pool]] of a File.
type Config struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Operator  string `json:"operator"` // listening address for operators; "" = none
	Seed      string `json:"seed"`
	Limits    struct {
		MemoryMB int64 `json:"memory_mb"`
		Sockets  int   `json:"sockets"`
	} `json:"limits"`
	Known    member.List     `json:"known"`
	Settings json.RawMessage `json:"settings"`

	SeedNumber uint64            `json:"-"` // Seed, parsed
	Checked    settings.Settings `json:"-"` // Settings, parsed and checked

	Pool       string            `json:"-"` // name of the pool in a File
	Standalone bool              `json:"-"` // comes from a File, not from the platform
	RESP       *RESP             `json:"-"` // set if the pool speaks RESP; nil = the meta commands
	Cores      int               `json:"-"` // number of engines that share the pool; 0 means 1
	Callers    *Callers          `json:"-"` // authentication of callers; nil = none
	TLS        *TLS              `json:"-"` // additional TLS listener; nil = none
	Tenants    *Tenants          `json:"-"` // limits of tenants; nil = only the quotas of the decide package apply
	ServerTLS  *ServerTLS        `json:"-"` // TLS of connections to servers and origin; nil = plain
	Grace      time.Duration     `json:"-"` // how long connections are still accepted after the stop signal
	Source     member.FileConfig `json:"-"` // the server file; without a path, Discovery supplies the servers
}

// FDReserve is the number of descriptors reserved for other uses than connections: standard streams, the
// listener, the poller and discovery.
const FDReserve = 32

// OperatorReserve is the number of descriptors reserved for operators, if they have an address: the
// concurrent calls, the listener, and one call accepted before another is closed for it.
const OperatorReserve = 18

// platformDrainGrace is how long the router accepts connections on the platform after the stop signal: new
// ones still arrive for 0.4 s.
const platformDrainGrace = 500 * time.Millisecond

// Load reads the configuration of the platform at path; getenv supplies values that the file omits. An error
// is one line that names the setting.
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
