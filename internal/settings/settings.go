// Package settings parses the settings of an instance. The simulator's protocol and the configuration of a
// real router use the same JSON object.
package settings

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"

	"mossproxy.example/mossproxy/decide"
)

// Settings holds the settings converted for the decide package, and those that only its host needs.
type Settings struct {
	Config         decide.Config
	Columns        []string // names of the columns in the simulator's load reports
	ConnectTimeout float64  // for establishing a connection, after which the attempt to connect has failed; in ms, 0 = not set
}

// object is the JSON form of the settings; unknown keys are ignored. Decoding errors contain its name.
type object struct {
	Balancers  int `json:"balancers"`
	MyNumber   int `json:"myNumber"`
	Zone       string
	Categories []struct {
		Name       string
		Effect     string
		KeyScope   string
		Window     float64
		Target     float64
		AimStretch float64
		HardLimit  float64
		Gain       float64
		LateWorth  float64
		Stream     bool
	}
	Projects []struct {
		Name      string
		QuotaPerS float64
	}
	OverShareWorth float64
	CountedBy      string
	Kinds          []string
	FamilyInfo     struct {
		Mode       string
		OriginKind *int
	}
	Discovery string
	Weights   string
	LoadInfo  struct {
		Columns []string
		How     string
	}
	Caps struct {
		Cancel, MayProbe, Peers, RetryAfter, SecondCopies bool
		MaxAttempts                                       int
		MaxRetryAfter, CPUUsPerS, ConnIdle                float64
		ConnectTimeout                                    float64
	}
	Rules struct {
		Cold, ColdFrom, OverloadFactor, OverloadFor, MustAskIn float64
	}
}

var effectsByName = map[string]decide.Effect{"repeatable": decide.Repeatable, "by_key": decide.Keyed, "once": decide.Once}

// ParseEffect returns the effect with the given name and reports whether it exists.
func ParseEffect(name string) (decide.Effect, bool) {
	e, ok := effectsByName[name]
	return e, ok
}

// Parse parses and checks the settings of one instance.
func Parse(text []byte) (Settings, error) {
	var s object
	if err := json.Unmarshal(text, &s); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	c := decide.Config{
		Routers: s.Balancers, Me: s.MyNumber, Zone: s.Zone, OverWorth: s.OverShareWorth,
		ByWork: s.CountedBy == "work", Aside: s.FamilyInfo.Mode == "aside",
		SizesVary: s.Weights == "live", Weighted: s.Weights == "nominal", ByProbe: s.LoadInfo.How == "probe",
		AskList: s.Discovery == "ask", MustAsk: s.Rules.MustAskIn,
		Probes: s.Caps.MayProbe, Peers: s.Caps.Peers, Cancel: s.Caps.Cancel, Copies: s.Caps.SecondCopies,
		RetryAfter: s.Caps.RetryAfter, MaxAfter: s.Caps.MaxRetryAfter,
		MaxAttempts: s.Caps.MaxAttempts, ConnIdle: s.Caps.ConnIdle, CPU: s.Caps.CPUUsPerS,
		Cold: s.Rules.Cold, ColdFrom: s.Rules.ColdFrom, FallMult: s.Rules.OverloadFactor, FallFor: s.Rules.OverloadFor,
	}
	if c.Aside {
		k := s.FamilyInfo.OriginKind
		if k == nil || *k < 0 || *k >= len(s.Kinds) {
			return Settings{}, fmt.Errorf("settings: familyInfo.originKind names no entry of kinds")
		}
		c.OriginKind = s.Kinds[*k]
	}
	for _, k := range s.Categories {
		e, ok := ParseEffect(k.Effect)
		if !ok {
			return Settings{}, fmt.Errorf("settings: categories[%s].effect: unknown value %q", k.Name, k.Effect)
		}
		c.Classes = append(c.Classes, decide.Class{Name: k.Name, Effect: e, Scope: k.KeyScope, Window: k.Window,
			Aim: k.Target, Stretch: k.AimStretch, Deadline: k.HardLimit, Worth: k.Gain, Late: k.LateWorth, Stream: k.Stream})
	}
	for _, t := range s.Projects {
		c.Tenants = append(c.Tenants, decide.Tenant{Name: t.Name, Quota: t.QuotaPerS})
	}
	if !(s.Caps.ConnectTimeout >= 0) {
		return Settings{}, fmt.Errorf("settings: caps.connectTimeout: impossible value %v", s.Caps.ConnectTimeout)
	}
	return Settings{Config: c, Columns: s.LoadInfo.Columns, ConnectTimeout: s.Caps.ConnectTimeout}, nil
}

// SetLoad stores one metric of a load report. Reports over sockets and from the simulator name the same
// metric differently; unknown metrics are ignored.
func SetLoad(l *decide.Load, name string, v float64) {
	switch name {
	case "rps", "qps":
		l.QPS = v
	case "err_rps", "eps":
		l.EPS = v
	case "cpu", "util":
		l.Util = v
	case "active", "inflight":
		l.Inflight = v
	case "avg_ms", "latency_ms":
		l.Latency = v
	}
}

// ParseLoad parses a load report. If any value is invalid, it returns decide.NoLoad, because the other values
// of such a report can't be trusted either.
func ParseLoad(text string) decide.Load {
	l := decide.NoLoad
	for f := range strings.SplitSeq(text, ",") {
		name, v, _ := strings.Cut(strings.TrimSpace(f), "=")
		n, err := strconv.ParseFloat(v, 64)
		if err != nil || !(n >= 0) || math.IsInf(n, 0) || strings.ContainsAny(v, "xXpP_") { // ParseFloat also accepts hexadecimal and underscores
			return decide.NoLoad
		}
		SetLoad(&l, name, n)
	}
	return l
}
