package operator

import (
	"bytes"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"

	"mossproxy.example/mossproxy/internal/engine"
)

// metricPrefix is prepended to the name of every metric.
const metricPrefix = "svc_"

// textContentType is the media type of the Prometheus text format.
var textContentType = string(expfmt.NewFormat(expfmt.TypeTextPlain))

// FormatMetrics returns c in the Prometheus text format.
func FormatMetrics(c engine.Counts) []byte {
	served := newFamily("passed", "Requests served, by class.", dto.MetricType_COUNTER)
	refused := newFamily("dropped", "Requests refused, by class: trying again is harmless.", dto.MetricType_COUNTER)
	failed := newFamily("bad_gateway", "Requests failed, by class: no promise.", dto.MetricType_COUNTER)
	for _, k := range c.Classes {
		class := []*dto.LabelPair{{Name: new("category"), Value: new(k.Class)}}
		for _, f := range []struct {
			family *dto.MetricFamily
			n      uint64
		}{{served, k.Served}, {refused, k.Refused}, {failed, k.Failed}} {
			f.family.Metric = append(f.family.Metric, &dto.Metric{Label: class, Counter: &dto.Counter{Value: new(float64(f.n))}})
		}
	}
	attempts := newFamily("upstream_tries", "Attempts written whole to cache servers and the origin.", dto.MetricType_COUNTER)
	attempts.Metric = []*dto.Metric{{Counter: &dto.Counter{Value: new(float64(c.Attempts))}}}
	checked := newFamily("invariant_checks", "Checks of a rule, by rule.", dto.MetricType_COUNTER)
	prevented := newFamily("invariant_prevented", "Attempts called off to keep a rule, by rule.", dto.MetricType_COUNTER)
	broken := newFamily("invariant_violations", "Broken rules, by rule: there should be none.", dto.MetricType_COUNTER)
	for _, r := range c.Rules {
		rule := []*dto.LabelPair{{Name: new("rule"), Value: new(r.Rule.String())}}
		for _, f := range []struct {
			family *dto.MetricFamily
			n      uint64
		}{{checked, r.Checked}, {prevented, r.Prevented}, {broken, r.Broken}} {
			f.family.Metric = append(f.family.Metric, &dto.Metric{Label: rule, Counter: &dto.Counter{Value: new(float64(f.n))}})
		}
	}
	var out bytes.Buffer
	for _, f := range []*dto.MetricFamily{served, refused, failed, attempts, checked, prevented, broken, waitFamily(c.Waits),
		newGauge("in_progress", "Requests taken and not ended.", c.Open),
		newGauge("known_cache_servers", "Cache servers on the list.", c.KnownServers),
		newGauge("skipped_cache_servers", "Listed cache servers that requests are kept from now.", c.AvoidedServers),
	} {
		if len(f.Metric) > 0 { // the text format has no families without samples
			expfmt.MetricFamilyToText(&out, f) //nolint:errcheck // writes to the buffer and families of this form don't fail
		}
	}
	return out.Bytes()
}

// newFamily returns an empty metric family; name is given without metricPrefix.
func newFamily(name, help string, kind dto.MetricType) *dto.MetricFamily {
	return &dto.MetricFamily{Name: new(metricPrefix + name), Help: &help, Type: &kind}
}

// waitFamily returns the histogram of the waits of events for the engines' turns.
func waitFamily(w engine.WaitCounts) *dto.MetricFamily {
	f := newFamily("event_wait_seconds", "How long events have waited for the router's own turn, by batch.", dto.MetricType_HISTOGRAM)
	h := &dto.Histogram{SampleSum: new(w.Total.Seconds())}
	var count uint64
	for i, bound := range engine.WaitBounds {
		count += w.Batches[i]
		h.Bucket = append(h.Bucket, &dto.Bucket{CumulativeCount: new(count), UpperBound: new(bound.Seconds())})
	}
	if count += w.Batches[len(engine.WaitBounds)]; count > 0 {
		h.SampleCount = &count
		f.Metric = []*dto.Metric{{Histogram: h}}
	}
	return f
}

// newGauge returns a gauge family that holds the single sample n.
func newGauge(name, help string, n int) *dto.MetricFamily {
	f := newFamily(name, help, dto.MetricType_GAUGE)
	f.Metric = []*dto.Metric{{Gauge: &dto.Gauge{Value: new(float64(n))}}}
	return f
}
