package config

import (
	"slices"
	"strings"

	"mossproxy.example/mossproxy/internal/pure/caller"
)

// Callers configures the authentication and authorization of callers.
type Callers struct {
	Book, Rights, Pepper, Bundle string // paths; Book is the credentials store; without Pepper no secrets are accepted, without Bundle no certificates
	Policy                       caller.Policy
	Remember                     int     // capacity of the cache of checked tokens
	Share                        float64 // largest fraction of one core spent on checks
}

// TLS configures the TLS listener of a pool, in addition to the plain one.
type TLS struct {
	Listen                    string
	Certificate, Key, Tickets string // paths; without Tickets the ticket keys are random
	Clients                   string // one of ClientCertModes
	Bundle                    string // path of the CA bundle for client certificates
}

// ServerTLS configures TLS for the connections to the servers and origin of a pool.
type ServerTLS struct {
	Bundle, Certificate, Key string // paths; Certificate and Key may be empty
	Name                     string // name expected in server certificates; "" = the host of the address
}

// ClientCertModes lists the client certificate modes of a listener.
var ClientCertModes = []string{"none", "may", "required"}

type callersKeys struct {
	Book      string   `toml:"book"`
	Rights    string   `toml:"rights"`
	Pepper    string   `toml:"pepper_file"`
	Bundle    string   `toml:"client_bundle"`
	Audiences []string `toml:"audiences"`
	Skew      *float64 `toml:"skew_ms"`
	Longest   *float64 `toml:"longest_token_s"`
	StaleNew  *float64 `toml:"stale_new_s"`
	StaleAll  *float64 `toml:"stale_all_s"`
	Remember  *int     `toml:"remembered_tokens"`
	Share     *float64 `toml:"checks_share"`
}

// Admin holds the listening address of the administration API and the path of the store that it changes.
type Admin struct{ Listen, State string }

type adminKeys struct {
	Listen string `toml:"listen"`
	State  string `toml:"state"`
}

// checkAdmin checks [admin]; it returns nil if the section is absent.
func (c *checker) checkAdmin(callers *Callers, addresses *[]string) *Admin {
	k := c.doc.Admin
	if k == (adminKeys{}) {
		return nil
	}
	c.checkListen("admin.listen", k.Listen, addresses)
	if k.State == "" {
		c.addFault("admin.state", "missing; it names the folder of the store that has the book")
	}
	if callers == nil {
		c.addFault("admin", "changes the book of callers, and there is none: it takes [callers] and a pool with callers = true")
	}
	return &Admin{k.Listen, c.resolvePath(k.State)}
}

type tlsKeys struct {
	Listen      string `toml:"listen"`
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	Tickets     string `toml:"ticket_keys"`
	Clients     string `toml:"clients"`
}

type serverTLSKeys struct {
	Bundle      string `toml:"bundle"`
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	Name        string `toml:"server_name"`
}

type logKeys struct {
	Format string `toml:"format"`
	Level  string `toml:"level"`
}

// Log configures the format and level of the log.
type Log struct {
	JSON  bool
	Level string // debug, info, warn or error
}

var logLevels = []string{"debug", "info", "warn", "error"}

// checkLog checks [log].
func (c *checker) checkLog() Log {
	k := c.doc.Log
	if k.Format != "" && k.Format != "text" && k.Format != "json" {
		c.addFault("log.format", "%.20q is no format; text and json are", k.Format)
	}
	if k.Level == "" {
		k.Level = "info"
	}
	if !slices.Contains(logLevels, k.Level) {
		c.addFault("log.level", "%.20q is no level; %s are", k.Level, strings.Join(logLevels, ", "))
	}
	return Log{k.Format == "json", k.Level}
}

// checkCallers checks [callers]; it returns nil if no pool authenticates callers.
func (c *checker) checkCallers() *Callers {
	k := &c.doc.Callers
	required := slices.ContainsFunc(c.doc.Pools, func(p poolKeys) bool { return p.Callers })
	if !required {
		if k.Book != "" {
			c.addFault("callers", "no pool has callers = true, so nobody is asked; set it, or take [callers] away")
		}
		return nil
	}
	out := &Callers{Remember: boundedNumber(c, "callers.remembered_tokens", k.Remember, 16384, 16, 1<<20, " tokens"),
		Share: boundedNumber(c, "callers.checks_share", k.Share, 0.2, 0.01, 1, " of a core")}
	secondsAsMS := func(key string, v *float64, def, hi float64) float64 {
		return 1000 * boundedNumber(c, key, v, def, 0, hi, " s")
	}
	out.Policy = caller.Policy{Audiences: k.Audiences, Skew: boundedNumber(c, "callers.skew_ms", k.Skew, 30e3, 0, 600e3, " ms"),
		Longest:  secondsAsMS("callers.longest_token_s", k.Longest, 3600, 30*86400),
		StaleNew: secondsAsMS("callers.stale_new_s", k.StaleNew, 0, 365*86400), StaleAll: secondsAsMS("callers.stale_all_s", k.StaleAll, 0, 365*86400)}
	for _, p := range []struct {
		key, value string
		needed     bool
		to         *string
	}{{"book", k.Book, true, &out.Book}, {"rights", k.Rights, true, &out.Rights}, {"pepper_file", k.Pepper, false, &out.Pepper},
		{"client_bundle", k.Bundle, false, &out.Bundle}} {
		if p.value == "" {
			if p.needed {
				c.addFault("callers."+p.key, "missing; a pool has callers = true")
			}
			continue
		}
		*p.to = c.resolvePath(p.value)
	}
	if len(k.Audiences) == 0 {
		c.addFault("callers.audiences", "missing; name what tokens for this router are meant for, or any token of the issuer would do here")
	}
	return out
}

// checkTLS checks [pool.tls]; it returns nil if the section is absent.
func (c *checker) checkTLS(poolKey string, p *poolKeys, callers *Callers, addresses *[]string) *TLS {
	k, section := p.TLS, poolKey+".tls"
	if k == (tlsKeys{}) {
		return nil
	}
	c.checkListen(section+".listen", k.Listen, addresses)
	if k.Certificate == "" || k.Key == "" {
		c.addFault(section+".certificate", "certificate and key are both needed")
	}
	if k.Clients == "" {
		k.Clients = "none"
	}
	out := &TLS{Listen: k.Listen, Certificate: c.resolvePath(k.Certificate), Key: c.resolvePath(k.Key), Clients: k.Clients}
	if k.Tickets != "" {
		out.Tickets = c.resolvePath(k.Tickets)
	}
	switch {
	case !slices.Contains(ClientCertModes, k.Clients):
		c.addFault(section+".clients", "%.20q is no choice; %s are", k.Clients, strings.Join(ClientCertModes, ", "))
	case k.Clients == "none":
	case callers == nil || callers.Bundle == "":
		c.addFault(section+".clients", "certificates are asked for, and callers.client_bundle, to check them by, is missing")
	default:
		out.Bundle = callers.Bundle
	}
	return out
}

// checkServerTLS checks [pool.server_tls]; it returns nil if the section is absent.
func (c *checker) checkServerTLS(poolKey string, p *poolKeys) *ServerTLS {
	k, section := p.ServerTLS, poolKey+".server_tls"
	if k == (serverTLSKeys{}) {
		return nil
	}
	if k.Bundle == "" {
		c.addFault(section+".bundle", "missing; without it any server would do")
	}
	if (k.Certificate == "") != (k.Key == "") {
		c.addFault(section+".certificate", "certificate and key go together")
	}
	out := &ServerTLS{Bundle: c.resolvePath(k.Bundle), Name: k.Name}
	if k.Certificate != "" {
		out.Certificate, out.Key = c.resolvePath(k.Certificate), c.resolvePath(k.Key)
	}
	return out
}

// Classes returns the names of the classes that clients may use.
func (f *File) Classes() (names []string) {
	for _, p := range f.Pools {
		for _, c := range p.Checked.Config.Classes {
			if !slices.Contains(names, c.Name) {
				names = append(names, c.Name)
			}
		}
	}
	return names
}

// PoolNames returns the names of the pools.
func (f *File) PoolNames() (names []string) {
	for _, p := range f.Pools {
		names = append(names, p.Pool)
	}
	return names
}
