package keybook

import (
	"fmt"
	"slices"
)

// Names are the names of a configuration that stored state may refer to.
type Names struct{ Classes, Pools []string }

// Quarantined is a part of the stored state that refers to a name that the configuration does not have. It is
// set aside until the configuration has the name: a limit on a class without requests limits nothing, and a
// pool that does not exist admits nobody. Everything else is applied.
type Quarantined struct {
	Tenant string
	Field  string // in the tenant's terms, as the administration API names it
	Why    string
}

// String names the item and the reason.
func (q Quarantined) String() string {
	return fmt.Sprintf("tenant %s: %s: %s", q.Tenant, q.Field, q.Why)
}

// Unknown returns the parts of a tenant's terms that refer to names that do not exist.
func (n Names) Unknown(tenantName string, t *Terms) (out []Quarantined) {
	for i, c := range t.ByClass {
		if !slices.Contains(n.Classes, c.Class) {
			out = append(out, Quarantined{tenantName, fmt.Sprintf("classes[%d]", i), fmt.Sprintf("%.40q is no class", c.Class)})
		}
	}
	for i, p := range t.Pools {
		if !slices.Contains(n.Pools, p) {
			out = append(out, Quarantined{tenantName, fmt.Sprintf("pools[%d]", i), fmt.Sprintf("%.40q is no pool", p)})
		}
	}
	return out
}

// Quarantine returns all parts of the credentials that refer to names that do not exist.
func (n Names) Quarantine(b *Credentials) (out []Quarantined) {
	for _, t := range b.Tenants {
		terms := b.Terms[t.Name]
		out = append(out, n.Unknown(t.Name, &terms)...)
	}
	return out
}

// NameError is returned for terms that refer to a name that does not exist.
type NameError struct{ Item Quarantined }

// Error names the field and the reason.
func (e *NameError) Error() string { return e.Item.Field + ": " + e.Item.Why }

// maxQuarantineRecords limits the log records of one change of the quarantined items.
const maxQuarantineRecords = 20

// Names returns the names that stored state may refer to, which change with the configuration.
func (s *Source) Names() Names {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cfg.names()
}

// Quarantined returns the parts of the credentials in use that are set aside.
func (s *Source) Quarantined() []Quarantined {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantined
}

func (cfg *SourceConfig) names() Names { return Names{cfg.Classes, cfg.Pools} }

// setQuarantined replaces the quarantined items and logs how they changed. s.mu must be held.
func (s *Source) setQuarantined(items []Quarantined) {
	previous := s.quarantined
	s.quarantined = items
	if slices.Equal(previous, items) {
		return
	}
	logged := 0
	for _, item := range items {
		if slices.Contains(previous, item) {
			continue
		}
		if logged++; logged > maxQuarantineRecords {
			break
		}
		s.log.Warn("callers: item quarantined", "name", s.cfg.Name, "tenant", item.Tenant, "field", item.Field, "why", item.Why)
	}
	s.log.Warn("callers: quarantined items changed", "name", s.cfg.Name, "before", len(previous), "now", len(items))
}
