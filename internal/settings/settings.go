// Package settings reads what an instance is told at its start: the same object on the simulator's wire and in a real
// router's configuration.
package settings

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"

	"mossproxy.example/mossproxy/decide"
)

// Settings is the settings object in the terms of the decide package, with what only its host needs.
type Settings struct {
	Config         decide.Config
	Columns        []string // of the load reports on the simulator's wire
	ConnectTimeout float64  // a connection not established within these milliseconds has failed; 0 = not told
}

// object mirrors the settings object; unknown keys are ignored.
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

// ParseEffect is the effect of that name.
func ParseEffect(name string) (decide.Effect, bool) {
	e, ok := effectsByName[name]
	return e, ok
}

// Parse reads the settings of one instance.
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

// SetLoad puts one figure of a load report in its place. Sockets and the simulator's wire have a name each for the
// same figure; other figures have no use and are passed over.
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

// ParseLoad reads a load report. One with a figure that can't be read is absent: the rest is no better.
func ParseLoad(text string) decide.Load {
	l := decide.NoLoad
	for f := range strings.SplitSeq(text, ",") {
		name, v, _ := strings.Cut(strings.TrimSpace(f), "=")
		n, err := strconv.ParseFloat(v, 64)
		if err != nil || !(n >= 0) || math.IsInf(n, 0) || strings.ContainsAny(v, "xXpP_") { // or hexadecimal
			return decide.NoLoad
		}
		SetLoad(&l, name, n)
	}
	return l
}
