package config

import (
	"fmt"
	"slices"

	"mossproxy.example/mossproxy/decide"
	"mossproxy.example/mossproxy/internal/pure/tenant"
)

// Tenants holds the limits of all tenants.
type Tenants struct {
	Capacity float64 // capacity of the service in requests per second; 0 = the sum of the floors
	Tenants  []TenantLimits
	Costs    []float64 // cost of a request by class index, counted against rates and floors
	Fetch    float64   // additional cost of each fetch from the origin
	Off      bool      // no limits are enforced; requests are only counted
}

// TenantLimits holds the limits of one tenant.
type TenantLimits struct {
	Name       string
	Generation uint32 // 0 = the configuration has none
	Suspended  bool   // this router rejects all requests of the tenant
	tenant.Limits
}

type tenantClassRow struct {
	Class string   `toml:"class"`
	Most  *float64 `toml:"most_per_s"`
	Open  *int     `toml:"open"`
}

// hasLimits reports whether any limit other than share_per_s is set.
func (t *tenantKeys) hasLimits() bool {
	return t.Floor != nil || t.Weight != nil || t.Burst != nil || t.Most != nil || t.Open != nil || t.Bytes != nil || t.Conns != nil || t.Suspended || len(t.Classes) > 0
}

// checkTenantLimits checks the limits of tenants, which replace share_per_s; it returns nil if no tenant has
// any.
func (c *checker) checkTenantLimits(classes []decide.Class) *Tenants {
	if !slices.ContainsFunc(c.doc.Tenants, func(t tenantKeys) bool { return t.hasLimits() }) {
		if c.doc.Capacity != nil {
			c.addFault("capacity_per_s", "no tenant has limits, so nothing is left to others; give one a floor_per_s")
		}
		return nil
	}
	out := &Tenants{Capacity: boundedNumber(c, "capacity_per_s", c.doc.Capacity, 0, 0, 1e9, " requests a second")}
	for i := range c.doc.Tenants {
		t, keyPrefix := &c.doc.Tenants[i], fmt.Sprintf("tenant[%d].", i)
		if t.Share != nil {
			c.addFault(keyPrefix+"share_per_s", "stands beside limits of tenants; floor_per_s takes its place")
		}
		l := tenant.Limits{Floor: boundedNumber(c, keyPrefix+"floor_per_s", t.Floor, 0, 0, 1e9, " requests a second"),
			Weight: boundedNumber(c, keyPrefix+"weight", t.Weight, 1, 0.001, 1000, ""), Burst: boundedNumber(c, keyPrefix+"burst_s", t.Burst, 1, 0.01, 60, " s"),
			Most: boundedNumber(c, keyPrefix+"most_per_s", t.Most, 0, 0, 1e9, " requests a second"), Open: boundedNumber(c, keyPrefix+"open", t.Open, 0, 0, 1e6, " requests"),
			Bytes: int64(boundedNumber(c, keyPrefix+"bytes_mb", t.Bytes, 0, 0, 1<<20, " MB") * (1 << 20)),
			Conns: boundedNumber(c, keyPrefix+"connections", t.Conns, 0, 0, 1e6, " connections"), Classes: c.classLimits(keyPrefix, t, classes)}
		if err := l.Check(); err != nil {
			c.addFault(keyPrefix+"most_per_s", "%v", err)
		}
		out.Tenants = append(out.Tenants, TenantLimits{Name: t.Name, Suspended: t.Suspended, Limits: l})
	}
	return out
}

// costs returns the cost of a request by class index.
func (c *checker) costs() (out []float64) {
	for i, k := range c.doc.Classes {
		out = append(out, boundedNumber(c, fmt.Sprintf("class[%d].cost", i), k.Cost, 1, 0.01, 1000, ""))
	}
	return out
}

// fetchCost returns the cost of a fetch from the origin.
func (c *checker) fetchCost() float64 {
	return boundedNumber(c, "fetch_cost", c.doc.FetchCost, 3, 0, 1000, "")
}

// classLimits returns the per-class limits of a tenant by class index.
func (c *checker) classLimits(keyPrefix string, t *tenantKeys, classes []decide.Class) (out []tenant.ClassLimits) {
	for j, r := range t.Classes {
		entryKey := fmt.Sprintf("%slimit[%d].", keyPrefix, j)
		n := slices.IndexFunc(classes, func(k decide.Class) bool { return k.Name == r.Class })
		if n < 0 {
			c.addFault(entryKey+"class", "%.40q is no class", r.Class)
			continue
		}
		for len(out) <= n {
			out = append(out, tenant.ClassLimits{})
		}
		out[n] = tenant.ClassLimits{Most: boundedNumber(c, entryKey+"most_per_s", r.Most, 0, 0, 1e9, " requests a second"), Open: boundedNumber(c, entryKey+"open", r.Open, 0, 0, 1e6, " requests")}
	}
	return out
}
