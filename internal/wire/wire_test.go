package wire

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"mossproxy.example/mossproxy/decide"
)

const testSettings = `{"balancers":2,"myNumber":0,"zone":"a","unheard":{"of":1},"categories":[` +
	`{"name":"read","effect":"repeatable","keyScope":"all","target":300,"hardLimit":600,"gain":1},` +
	`{"name":"lock","effect":"once","keyScope":"all","target":300,"hardLimit":600,"gain":2}],` +
	`"projects":[{"name":"t","quotaPerS":5}],"kinds":["box","origin"],"familyInfo":{"mode":"aside","originKind":1},` +
	`"discovery":"push","weights":"nominal","loadInfo":{"columns":["rps","active","cpu"],"how":"answers"},` +
	`"caps":{"cancel":true,"mayProbe":true,"secondCopies":true,"maxAttempts":4,"cpuUsPerS":8000},` +
	`"rules":{"cold":8000,"coldFrom":0.3,"overloadFactor":3,"overloadFor":2000,"mustAskIn":10000}}`

const openingBatch = "SYNC 1000\nOPEN_INSTANCE 3 42 " + testSettings + "\nDIRECTORY_UPDATE 3 remembered 1 3\n" +
	"M - 1 11 ready a 0 box\nM 400.5 1.5 12 ready a 0 box\nM - - 13 ready a 0 origin\nCOMMIT\n"

func runWire(t testing.TB, in string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	err := Run(strings.NewReader(in), &out)
	return out.String(), err
}

func TestBatchesAreAnswered(t *testing.T) {
	out, err := runWire(t, "SYNC 1\nCOMMIT\n\n"+openingBatch+
		"SYNC 1005\nASK 3 7 read t 91f03b7c55d20a64 240.0 12.0 1800 0 0\nASK 3 8 lock - - 500 - - 0 1\nCOMMIT\n")
	if err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(out, "OK\n"); n != 3 {
		t.Errorf("%d replies, want 3:\n%s", n, out)
	}
	if !strings.HasPrefix(out, "OK\n") {
		t.Errorf("an empty batch got actions:\n%s", out)
	}
	if !strings.Contains(out, "PLACE 3 7 1") || !strings.Contains(out, "PLACE 3 8 13 ") {
		t.Errorf("want the read at a cache server and the write at the origin:\n%s", out)
	}
}

func TestEveryEventIsRead(t *testing.T) {
	out, err := runWire(t, openingBatch+"SYNC 1005\nASK 3 7 read t 91f03b7c55d20a64 240.0 - - 0 0\nCOMMIT\n"+
		"SYNC 1010\nRETURNED 3 7 0 11 Failed 5.0 0 - 140,7,0.62\nRETURNED 3 7 0 12 Miss 5.0 0 2 -\n"+
		"STATUS_BACK 3 11 Ok 2.5 10,-,0.5\nSTATUS_BACK 3 11 TimedOut 200 -\nMESSAGE 3 1 aGkgNw==\nMESSAGE 3 1 -\n"+
		"UNDER_WAY 3 99 0 11 5.0\nVANISHED 3 99\nVANISHED 5 242166553\nFIRED 3 sweep\nFIRED 3 9223372036854775808\n"+
		"DIRECTORY_UPDATE 3 refused 0 0\nDIRECTORY_UPDATE 3 changes 2 1\nM - 1 11 gone a 0 box\nSHUTDOWN 3\n"+
		"RETURNED 3 7 1 12 Ok 5 1 - 1,1,1\nCOMMIT\n")
	if err != nil {
		t.Fatal(err)
	}
	if strings.Count(out, "OK\n") != 3 {
		t.Errorf("replies:\n%s", out)
	}
}

func TestReportColumns(t *testing.T) {
	f := fields{rest: "140,7,0.62,5,9,-", hasMore: true}
	l := f.parseLoad([]string{"rps", "active", "cpu", "avg_ms", "x0", "err_rps"})
	want := decide.Load{QPS: 140, Inflight: 7, Util: 0.62, Latency: 5, EPS: -1}
	if l != want || f.expectEnd("x") != nil {
		t.Errorf("got %+v, want %+v", l, want)
	}
}

func TestMalformedInputIsRefused(t *testing.T) {
	for name, c := range map[string]struct{ in, want string }{
		"no start":         {"COMMIT\n", "line 1: want SYNC"},
		"bad clock":        {"SYNC x\nCOMMIT\n", "line 1: SYNC: bad clock"},
		"no end":           {"SYNC 1\n", "line 1: input ends within a batch"},
		"half a line":      {"SYNC 1\nCOMM", "line 2: input ends within a line"},
		"unknown event":    {"SYNC 1\nDANCE 3\nCOMMIT\n", `line 2: unknown event "DANCE"`},
		"bad instance":     {"SYNC 1\nFIRED x sweep\nCOMMIT\n", "line 2: FIRED: bad instance"},
		"too few values":   {openingBatch + "SYNC 2\nASK 3 7 read\nCOMMIT\n", "line 9: ASK: too few values"},
		"too many values":  {openingBatch + "SYNC 2\nVANISHED 3 7 8\nCOMMIT\n", "line 9: VANISHED: too many values"},
		"bad key":          {openingBatch + "SYNC 2\nASK 3 7 read t zz 240 - - 0 0\nCOMMIT\n", `line 9: ASK: bad affinity "zz"`},
		"bad outcome":      {openingBatch + "SYNC 2\nRETURNED 3 7 0 11 Fine 5 0 - -\nCOMMIT\n", "bad outcome"},
		"bad report":       {openingBatch + "SYNC 2\nRETURNED 3 7 0 11 Ok 5 0 - 1,2\nCOMMIT\n", "bad load report"},
		"infinite":         {openingBatch + "SYNC 2\nASK 3 7 read t - inf - - 0 0\nCOMMIT\n", "bad remaining"},
		"list cut short":   {openingBatch + "SYNC 2\nDIRECTORY_UPDATE 3 all 1 2\nM - 1 11 ready a 0 box\nCOMMIT\n", "line 11: want a list entry"},
		"bad mode":         {openingBatch + "SYNC 2\nDIRECTORY_UPDATE 3 all 1 1\nM - 1 11 asleep a 0 box\nCOMMIT\n", "bad mode"},
		"settings no JSON": {"SYNC 1\nOPEN_INSTANCE 3 42 {\nCOMMIT\n", "line 2: settings"},
		"settings empty":   {"SYNC 1\nOPEN_INSTANCE 3 42 {}\nCOMMIT\n", "setting Routers"},
		"settings effect": {"SYNC 1\nOPEN_INSTANCE 3 42 " + strings.Replace(testSettings, "once", "never", 1) +
			"\nCOMMIT\n", "categories[lock].effect"},
		"settings origin": {"SYNC 1\nOPEN_INSTANCE 3 42 " + strings.Replace(testSettings, `"originKind":1`, `"originKind":7`, 1) +
			"\nCOMMIT\n", "familyInfo.originKind"},
	} {
		_, err := runWire(t, c.in)
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got %v, want one line with %q", name, err, c.want)
		}
	}
}

// Guards against a partial reply to a malformed batch. With a buffered writer, the start of a long reply is
// sent as soon as the buffer is full, before the malformed line is read.
func TestNothingOfAMalformedBatchIsAnswered(t *testing.T) {
	var in strings.Builder
	in.WriteString(openingBatch + "SYNC 1005\n")
	for i := range 20000 {
		fmt.Fprintf(&in, "ASK 3 %d read t %016x 240 - - 0 0\n", i, i)
	}
	good, err := runWire(t, in.String()+"COMMIT\n")
	if err != nil || len(good) < 1<<17 {
		t.Fatalf("%d bytes of reply, error %v", len(good), err)
	}
	if out, err := runWire(t, in.String()+"DANCE 3\nCOMMIT\n"); err == nil || strings.Count(out, "\n") != strings.Count(out, "OK\n")+1 {
		t.Errorf("%d bytes of reply, error %v: want the opening's reply alone", len(out), err)
	}
}

// An instance takes the same actions whether it shares the process with others or not.
func TestInstancesShareNothing(t *testing.T) {
	script := func(ids ...int) string {
		var in strings.Builder
		in.WriteString("SYNC 1000\n")
		for _, i := range ids {
			fmt.Fprintf(&in, "OPEN_INSTANCE %d %d %s\nDIRECTORY_UPDATE %d remembered 1 3\nM - 1 11 ready a 0 box\n"+
				"M - 1 12 ready a 0 box\nM - 1 13 ready a 0 origin\n", i, 42+i, testSettings, i)
		}
		in.WriteString("COMMIT\n")
		for n := range 200 {
			fmt.Fprintf(&in, "SYNC %d\n", 1005+5*n)
			for _, i := range ids {
				fmt.Fprintf(&in, "ASK %d %d read t %016x 240 - - 0 0\n", i, n, n%7)
				if n > 3 {
					fmt.Fprintf(&in, "RETURNED %d %d 0 11 Ok 18.5 1 1 %d,7,0.62\n", i, n-3, n)
				}
			}
			in.WriteString("COMMIT\n")
		}
		return in.String()
	}
	both, err := runWire(t, script(3, 4))
	if err != nil {
		t.Fatal(err)
	}
	of := func(out, i string) string {
		var kept []string
		for _, l := range strings.Split(out, "\n") {
			if f := strings.SplitN(l, " ", 3); len(f) > 1 && f[1] == i {
				kept = append(kept, l)
			}
		}
		return strings.Join(kept, "\n")
	}
	for _, i := range []int{3, 4} {
		alone, err := runWire(t, script(i))
		if err != nil {
			t.Fatal(err)
		}
		if id := fmt.Sprint(i); of(both, id) != of(alone, id) || of(alone, id) == "" {
			t.Errorf("instance %d acts differently when it shares the process", i)
		}
	}
}

func FuzzRun(f *testing.F) {
	f.Add(openingBatch + "SYNC 1005\nASK 3 7 read t 91f03b7c55d20a64 240.0 12.0 1800 0 0\nFIRED 3 1793\nCOMMIT\n")
	f.Add(openingBatch + "SYNC 1005\nRETURNED 3 7 0 11 Ok 18.5 1 - 140,7,0.62\nSTATUS_BACK 3 11 Ok 1 nan,1,1e300\nCOMMIT\n")
	f.Add(openingBatch + "SYNC 1005\nDIRECTORY_UPDATE 3 all 2 1\nM 9e9 -1 12 draining b -3 box\nASK 3 1 lock - - 0 -1 -1 1 1\nCOMMIT\n")
	f.Add(openingBatch + "SYNC 900\nMESSAGE 3 1 aGkgNw==\nVANISHED 3 7\nSHUTDOWN 3\nUNDER_WAY 3 1 1 1 1\nCOMMIT\n")
	f.Add("SYNC 1\nDIRECTORY_UPDATE 3 all 2 4294967295\n")
	f.Fuzz(func(t *testing.T, in string) {
		var out bytes.Buffer
		if err := Run(strings.NewReader(in), &out); err != nil && strings.Contains(err.Error(), "\n") {
			t.Errorf("error text has several lines: %q", err)
		}
		if s := out.String(); strings.Contains(s, "NaN") || strings.Contains(s, "Inf") {
			t.Errorf("reply contains NaN or Inf: %q", s)
		}
	})
}
