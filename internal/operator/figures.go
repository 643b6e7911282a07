package operator

import (
	"bytes"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"

	"mossproxy.example/mossproxy/internal/engine"
)

// metricPrefix stands before the name of every figure.
const metricPrefix = "svc_"

// textContentType is the media type of the figures.
var textContentType = string(expfmt.NewFormat(expfmt.TypeTextPlain))

// Gossip are counts in Prometheus's text form.
func FormatMetrics(c engine.Counts) []byte {
	passed := newFamily("passed", "Requests served, by class.", dto.MetricType_COUNTER)
	dropped := newFamily("dropped", "Requests refused, by class: trying again is harmless.", dto.MetricType_COUNTER)
	failed := newFamily("bad_gateway", "Requests failed, by class: no promise.", dto.MetricType_COUNTER)
	for _, k := range c.Classes {
		class := []*dto.LabelPair{{Name: new("category"), Value: new(k.Class)}}
		for _, f := range []struct {
			to *dto.MetricFamily
			n  uint64
		}{{passed, k.Served}, {dropped, k.Refused}, {failed, k.Failed}} {
			f.to.Metric = append(f.to.Metric, &dto.Metric{Label: class, Counter: &dto.Counter{Value: new(float64(f.n))}})
		}
	}
	tries := newFamily("upstream_tries", "Attempts written whole to cache servers and the origin.", dto.MetricType_COUNTER)
	tries.Metric = []*dto.Metric{{Counter: &dto.Counter{Value: new(float64(c.Attempts))}}}
	checked := newFamily("invariant_checks", "Checks of a rule, by rule.", dto.MetricType_COUNTER)
	prevented := newFamily("invariant_prevented", "Attempts called off to keep a rule, by rule.", dto.MetricType_COUNTER)
	broken := newFamily("invariant_violations", "Broken rules, by rule: there should be none.", dto.MetricType_COUNTER)
	for _, r := range c.Rules {
		rule := []*dto.LabelPair{{Name: new("rule"), Value: new(r.Rule.String())}}
		for _, f := range []struct {
			to *dto.MetricFamily
			n  uint64
		}{{checked, r.Checked}, {prevented, r.Prevented}, {broken, r.Broken}} {
			f.to.Metric = append(f.to.Metric, &dto.Metric{Label: rule, Counter: &dto.Counter{Value: new(float64(f.n))}})
		}
	}
	var out bytes.Buffer
	for _, f := range []*dto.MetricFamily{passed, dropped, failed, tries, checked, prevented, broken,
		newGauge("in_progress", "Requests taken and not ended.", c.Open),
		newGauge("known_cache_servers", "Cache servers on the list.", c.KnownServers),
		newGauge("skipped_cache_servers", "Listed cache servers that requests are kept from now.", c.AvoidedServers),
	} {
		if len(f.Metric) > 0 { // the form has none without
			expfmt.MetricFamilyToText(&out, f) //nolint:errcheck // neither the buffer nor families of this form fail
		}
	}
	return out.Bytes()
}

func newFamily(name, help string, kind dto.MetricType) *dto.MetricFamily {
	return &dto.MetricFamily{Name: new(metricPrefix + name), Help: &help, Type: &kind}
}

func newGauge(name, help string, n int) *dto.MetricFamily {
	f := newFamily(name, help, dto.MetricType_GAUGE)
	f.Metric = []*dto.Metric{{Gauge: &dto.Gauge{Value: new(float64(n))}}}
	return f
}
