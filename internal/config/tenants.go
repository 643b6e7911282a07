package config

import (
	"fmt"
	"slices"

	"mossproxy.example/mossproxy/decide"
	"mossproxy.example/mossproxy/internal/pure/tenant"
)

// Tenants are the limits of all tenants.
type Tenants struct {
	Capacity float64 // requests a second that the service can do; 0 = the sum of the floors
	Tenants  []TenantLimits
	Costs    []float64 // of a request of each class, by its number, against rates and floors
	Fetch    float64   // what each way of a request to the origin counts beside that
	Off      bool      // none has limits: requests are counted, and held to nothing
}

// TenantLimits are one tenant's.
type TenantLimits struct {
	Name       string
	Generation uint32 // 0 = the configuration knows of none
	Suspended  bool   // here: nothing of it is taken
	tenant.Limits
}

type tenantClassRow struct {
	Class string   `toml:"class"`
	Most  *float64 `toml:"most_per_s"`
	Open  *int     `toml:"open"`
}

// hasLimits says whether a tenant's row has any limit beside its share.
func (t *tenantKeys) hasLimits() bool {
	return t.Floor != nil || t.Weight != nil || t.Burst != nil || t.Most != nil || t.Open != nil || t.Bytes != nil || t.Conns != nil || t.Suspended || len(t.Classes) > 0
}

// checkTenantLimits checks the limits of tenants; nil where none has any. What they hold to counts instead of share_per_s.
func (c *checker) checkTenantLimits(classes []decide.Class) *Tenants {
	if !slices.ContainsFunc(c.doc.Tenants, func(t tenantKeys) bool { return t.hasLimits() }) {
		if c.doc.Capacity != nil {
			c.addFault("capacity_per_s", "no tenant has limits, so nothing is left to others; give one a floor_per_s")
		}
		return nil
	}
	out := &Tenants{Capacity: boundedNumber(c, "capacity_per_s", c.doc.Capacity, 0, 0, 1e9, " requests a second")}
	for i := range c.doc.Tenants {
		t, at := &c.doc.Tenants[i], fmt.Sprintf("tenant[%d].", i)
		if t.Share != nil {
			c.addFault(at+"share_per_s", "stands beside limits of tenants; floor_per_s takes its place")
		}
		l := tenant.Limits{Floor: boundedNumber(c, at+"floor_per_s", t.Floor, 0, 0, 1e9, " requests a second"),
			Weight: boundedNumber(c, at+"weight", t.Weight, 1, 0.001, 1000, ""), Burst: boundedNumber(c, at+"burst_s", t.Burst, 1, 0.01, 60, " s"),
			Most: boundedNumber(c, at+"most_per_s", t.Most, 0, 0, 1e9, " requests a second"), Open: boundedNumber(c, at+"open", t.Open, 0, 0, 1e6, " requests"),
			Bytes: int64(boundedNumber(c, at+"bytes_mb", t.Bytes, 0, 0, 1<<20, " MB") * (1 << 20)),
			Conns: boundedNumber(c, at+"connections", t.Conns, 0, 0, 1e6, " connections"), Classes: c.classLimits(at, t, classes)}
		if err := l.Check(); err != nil {
			c.addFault(at+"most_per_s", "%v", err)
		}
		out.Tenants = append(out.Tenants, TenantLimits{Name: t.Name, Suspended: t.Suspended, Limits: l})
	}
	return out
}

// costs gives what a request of each class counts.
func (c *checker) costs() (out []float64) {
	for i, k := range c.doc.Classes {
		out = append(out, boundedNumber(c, fmt.Sprintf("class[%d].cost", i), k.Cost, 1, 0.01, 1000, ""))
	}
	return out
}

// fetchCost gives what each way to the origin counts.
func (c *checker) fetchCost() float64 {
	return boundedNumber(c, "fetch_cost", c.doc.FetchCost, 3, 0, 1000, "")
}

// classLimits gives a tenant's limits of classes by their numbers.
func (c *checker) classLimits(at string, t *tenantKeys, classes []decide.Class) (out []tenant.ClassLimits) {
	for j, r := range t.Classes {
		here := fmt.Sprintf("%slimit[%d].", at, j)
		n := slices.IndexFunc(classes, func(k decide.Class) bool { return k.Name == r.Class })
		if n < 0 {
			c.addFault(here+"class", "%.40q is no class", r.Class)
			continue
		}
		for len(out) <= n {
			out = append(out, tenant.ClassLimits{})
		}
		out[n] = tenant.ClassLimits{Most: boundedNumber(c, here+"most_per_s", r.Most, 0, 0, 1e9, " requests a second"), Open: boundedNumber(c, here+"open", r.Open, 0, 0, 1e6, " requests")}
	}
	return out
}
