package keybook

import (
	"fmt"
	"slices"

	"mossproxy.example/mossproxy/internal/pure/tenant"
)

// Terms are what a tenant may use. The book knows no numbers of classes, so those of Limits are empty here: see Of.
type Terms struct {
	tenant.Limits
	ByClass []ClassTerms
	Pools   []string // it may come to; nil = all
}

// ClassTerms are the limits on one class, by its name.
type ClassTerms struct {
	Class string
	tenant.ClassLimits
}

// maxPools bounds the pools that a tenant names.
const maxPools = 64

// Check says what is wrong with terms, by the name of the field.
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
	if t.Pools != nil && len(t.Pools) == 0 { // written out it would be left out, and mean all
		return fmt.Errorf("pools: none: name one at least, or leave it out for all; suspended is what keeps a tenant out")
	}
	if len(t.Pools) > maxPools {
		return fmt.Errorf("pools: %d: %d at most", len(t.Pools), maxPools)
	}
	return l.Check()
}

// CheckNames says which class or pool is none of those that there are, by the name of the field.
func (t *Terms) CheckNames(classes, pools []string) error {
	for i, c := range t.ByClass {
		if !slices.Contains(classes, c.Class) {
			return fmt.Errorf("classes[%d]: %.40q is no class", i, c.Class)
		}
	}
	for i, p := range t.Pools {
		if !slices.Contains(pools, p) {
			return fmt.Errorf("pools[%d]: %.40q is no pool", i, p)
		}
	}
	return nil
}

// LimitsByClass gives the limits with classes by their numbers. A class that is not there is passed over.
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

// AllowsPool says whether the tenant may come to a pool.
func (t *Terms) AllowsPool(pool string) bool { return t.Pools == nil || slices.Contains(t.Pools, pool) }

// hasLimits says whether there is any limit, and some whether there are any terms at all.
func (t *Terms) hasLimits() bool {
	l := &t.Limits
	return l.Floor != 0 || l.Weight != 0 || l.Burst != 0 || l.Most != 0 || l.Open != 0 || l.Bytes != 0 || l.Conns != 0 || len(t.ByClass) > 0
}

func (t *Terms) isSet() bool { return t.hasLimits() || t.Pools != nil }

// AnyLimited says whether any tenant of a book has limits.
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
