package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"mossproxy.example/mossproxy/internal/standin/standintest"
)

func viewResult(name, digest string, members ...Member) ViewResult {
	return ViewResult{Addr: name + ":1", View: FleetView{Name: name, Digest: digest, Members: members}}
}

func TestAgreementSaysWhoDiffersAboutWhom(t *testing.T) {
	a, b, c := Member{Name: "a", State: "alive"}, Member{Name: "b", State: "alive"}, Member{Name: "c", State: "alive", Start: 1}
	silent, restarted, gone := c, c, c
	silent.State, restarted.Start, gone.State = "silent", 2, "gone"
	unreachable := ViewResult{Addr: "d:1", Err: errors.New("refused")}
	for _, x := range []struct {
		asked []ViewResult
		want  string
		agree bool
	}{
		{[]ViewResult{viewResult("a", "1", a, b, c), viewResult("b", "1", a, b, c)}, "2 routers agree: 3 alive (digest 1)", true},
		{[]ViewResult{viewResult("a", "1", a, b, gone), unreachable}, "1 routers agree: 2 alive, 1 gone (digest 1); no answer from d:1", false},
		{[]ViewResult{viewResult("b", "1", a, b, c), viewResult("a", "1", a, b, c), viewResult("c", "2", a, b, silent)}, "2 views: a, b agree; c differs about c (alive, silent)", false},
		{[]ViewResult{viewResult("a", "1", a, b, c), viewResult("b", "2", a, b)}, "2 views: a agrees; b differs about c (alive, not there)", false},
		{[]ViewResult{viewResult("a", "1", a), viewResult("b", "2", a, b)}, "2 views: a agrees; b differs about b (not there, alive)", false},
		{[]ViewResult{viewResult("a", "1", a, c), viewResult("b", "2", a, restarted)}, "2 views: a agrees; b differs about c (another start)", false},
		{[]ViewResult{unreachable}, "no router answered; no answer from d:1", false},
	} {
		if line, agree := SummarizeAgreement(x.asked); line != x.want || agree != x.agree {
			t.Errorf("%q, %v\nwant %q, %v", line, agree, x.want, x.agree)
		}
	}
}

// The endpoint returns the view, a router without a view responds 404, and WriteStatus reports both cases.
func TestCallForTheFleet(t *testing.T) {
	ln := standintest.Listen(t)
	ctx, stop := context.WithCancel(t.Context())
	v := viewResult("a", "00ff", Member{Name: "a", State: "alive", Start: 1 << 60}, Member{Name: "b", Addr: "127.0.0.2:1", Site: "sfax", State: "silent", ReportedBy: "c", SinceMS: 1500}).View
	v.ResourceShare = ResourceShare{Divisor: 3, RemainingMS: -1, NextDivisor: 24}
	done := make(chan error, 1)
	go func() {
		done <- Serve(ctx, ln, &stubRouter{}, func(context.Context) (FleetView, error) { return v, nil }, 4)
	}()
	defer func() { stop(); <-done }()
	status, text := call(t, "GET", ln.Addr().String(), "/control/fleet")
	var got FleetView
	if err := json.Unmarshal([]byte(text), &got); err != nil || status != 200 || got.Members[0].Start != 1<<60 || !strings.Contains(text, `"since_ms":1500,"by":"c"`) {
		t.Errorf("%d %s, %v", status, text, err)
	}
	withoutFleet, _ := serve(t)
	if status, text := call(t, "GET", withoutFleet, "/control/fleet"); status != 404 {
		t.Errorf("without a fleet: %d %s", status, text)
	}
	var out bytes.Buffer
	if WriteStatus(&out, QueryViews(t.Context(), []string{ln.Addr().String(), withoutFleet})) {
		t.Error("one that has no view counts as agreeing")
	}
	for _, want := range []string{"1 routers agree: 1 alive, 1 silent (digest 00ff); no answer from " + withoutFleet, "1 of 3 parts", "silent   for 1.5 s, by c", "404 Not Found: there is no call"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%s\nlacks %q", &out, want)
		}
	}
}
