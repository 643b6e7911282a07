package settings

import (
	"testing"

	"mossproxy.example/mossproxy/decide"
)

// A report with an invalid or impossible value counts as absent.
func TestUnreadableReportIsAbsent(t *testing.T) {
	for _, text := range []string{"", "qps", "qps=x,util=1", "qps=NaN,util=1", "qps=1,util=+Inf", "qps=-1,util=1", "qps=0x1p3,util=1", "qps=1_0"} {
		if got := ParseLoad(text); got != decide.NoLoad {
			t.Errorf("%q: got %+v", text, got)
		}
	}
	if got := ParseLoad("qps=12.5,util=1e-05,zz=7"); got.QPS != 12.5 || got.Util != 1e-05 {
		t.Errorf("got %+v", got)
	}
}
