// Package wire translates between the simulator's text protocol and the decide package: one Balancer for each
// router instance, sharing nothing. It decides nothing.
package wire

import (
	"encoding/json"
	"fmt"

	"mossproxy.example/mossproxy/decide"
)

// settings mirrors the settings object that starts an instance; unknown keys are ignored.
type settings struct {
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
	}
	Rules struct {
		Cold, ColdFrom, OverloadFactor, OverloadFor, MustAskIn float64
	}
}

var effects = map[string]decide.Effect{"repeatable": decide.Repeatable, "by_key": decide.Keyed, "once": decide.Once}

// parseSettings reads the settings of one instance and the columns of its load reports.
func parseSettings(text string) (decide.Config, []string, error) {
	var s settings
	if err := json.Unmarshal([]byte(text), &s); err != nil {
		return decide.Config{}, nil, fmt.Errorf("settings: %w", err)
	}
	c := decide.Config{
		Routers: s.Balancers, Me: s.MyNumber, Zone: s.Zone, OverWorth: s.OverShareWorth,
		ByWork: s.CountedBy == "work", Aside: s.FamilyInfo.Mode == "aside",
		SizesVary: s.Weights == "live", ByProbe: s.LoadInfo.How == "probe",
		AskList: s.Discovery == "ask", MustAsk: s.Rules.MustAskIn,
		Probes: s.Caps.MayProbe, Peers: s.Caps.Peers, Cancel: s.Caps.Cancel, Copies: s.Caps.SecondCopies,
		RetryAfter: s.Caps.RetryAfter, MaxAfter: s.Caps.MaxRetryAfter,
		MaxAttempts: s.Caps.MaxAttempts, ConnIdle: s.Caps.ConnIdle, CPU: s.Caps.CPUUsPerS,
		Cold: s.Rules.Cold, ColdFrom: s.Rules.ColdFrom, FallMult: s.Rules.OverloadFactor, FallFor: s.Rules.OverloadFor,
	}
	if c.Aside {
		k := s.FamilyInfo.OriginKind
		if k == nil || *k < 0 || *k >= len(s.Kinds) {
			return c, nil, fmt.Errorf("settings: familyInfo.originKind names no entry of kinds")
		}
		c.OriginKind = s.Kinds[*k]
	}
	for _, k := range s.Categories {
		e, ok := effects[k.Effect]
		if !ok {
			return c, nil, fmt.Errorf("settings: categories[%s].effect: unknown value %q", k.Name, k.Effect)
		}
		c.Classes = append(c.Classes, decide.Class{Name: k.Name, Effect: e, Scope: k.KeyScope, Window: k.Window,
			Aim: k.Target, Stretch: k.AimStretch, Deadline: k.HardLimit, Worth: k.Gain, Late: k.LateWorth, Stream: k.Stream})
	}
	for _, t := range s.Projects {
		c.Tenants = append(c.Tenants, decide.Tenant{Name: t.Name, Quota: t.QuotaPerS})
	}
	return c, s.LoadInfo.Columns, nil
}
