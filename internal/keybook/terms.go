package keybook

import (
	"fmt"
	"slices"

	"mossproxy.example/mossproxy/internal/pure/tenant"
)

// Terms are a tenant's limits and pools. Credentials identify classes by name and not by index, so
// Limits.Classes is empty here: see LimitsByClass.
type Terms struct {
	tenant.Limits
	ByClass []ClassTerms
	Pools   []string // pools that the tenant may use; nil = all
}

// ClassTerms are the limits on the class of the given name.
type ClassTerms struct {
	Class string
	tenant.ClassLimits
}

// maxPools is the maximum number of pools in a tenant's terms.
const maxPools = 64

// Check returns an error that names the first invalid field, if any.
func (t *Terms) Check() error {
	if err := t.Limits.Check(); err != nil {
		return err
	}
	l := t.Limits
	seen := map[string]bool{}
	for i, c := range t.ByClass {
		if c.Class == "" || seen[c.Class] {
			return fmt.Errorf("classes[%d]: %q: each class by its name, once", i, c.Class)
		}
		seen[c.Class] = true
		l.Classes = append(l.Classes, c.ClassLimits)
	}
	if t.Pools != nil && len(t.Pools) == 0 { // an empty list is omitted when encoded, and would then mean all
		return fmt.Errorf("pools: none: name one at least, or leave it out for all; suspended is what keeps a tenant out")
	}
	if len(t.Pools) > maxPools {
		return fmt.Errorf("pools: %d: %d at most", len(t.Pools), maxPools)
	}
	return l.Check()
}

// LimitsByClass returns the limits with those on classes at the classes' indexes. Unknown classes are
// ignored.
func (t *Terms) LimitsByClass(classes []string) tenant.Limits {
	l := t.Limits
	l.Classes = nil
	for _, c := range t.ByClass {
		n := slices.Index(classes, c.Class)
		if n < 0 {
			continue
		}
		for len(l.Classes) <= n {
			l.Classes = append(l.Classes, tenant.ClassLimits{})
		}
		l.Classes[n] = c.ClassLimits
	}
	return l
}

// AllowsPool reports whether the tenant may use a pool.
func (t *Terms) AllowsPool(pool string) bool { return t.Pools == nil || slices.Contains(t.Pools, pool) }

// hasLimits reports whether any limit is set.
func (t *Terms) hasLimits() bool {
	l := &t.Limits
	return l.Floor != 0 || l.Weight != 0 || l.Burst != 0 || l.Most != 0 || l.Open != 0 || l.Bytes != 0 || l.Conns != 0 || len(t.ByClass) > 0
}

// isSet reports whether any limit or a list of pools is set.
func (t *Terms) isSet() bool { return t.hasLimits() || t.Pools != nil }

// AnyLimited reports whether any tenant has limits.
func AnyLimited(terms map[string]Terms) bool {
	for _, t := range terms {
		if t.hasLimits() {
			return true
		}
	}
	return false
}

func (r limitRow) terms() Terms {
	t := Terms{Limits: tenant.Limits{Floor: r.Floor, Weight: r.Weight, Burst: r.Burst, Most: r.Most, Open: r.Open, Bytes: r.Bytes, Conns: r.Conns}, Pools: r.Pools}
	for _, c := range r.Classes {
		t.ByClass = append(t.ByClass, ClassTerms{c.Class, tenant.ClassLimits{Most: c.Most, Open: c.Open}})
	}
	return t
}

func (t Terms) row() limitRow {
	r := limitRow{Floor: t.Floor, Weight: t.Weight, Burst: t.Burst, Most: t.Most, Open: t.Open, Bytes: t.Bytes, Conns: t.Conns, Pools: t.Pools}
	for _, c := range t.ByClass {
		r.Classes = append(r.Classes, classRow{c.Class, c.Most, c.Open})
	}
	return r
}
