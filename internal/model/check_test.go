package model

import (
	"strings"
	"testing"

	"mossproxy.example/mossproxy/decide"
)

// Histories that break each rule in each way that the checker knows, made by hand; each is found at the event that breaks it, and the same
// history without that event is sound.
func TestCheckerFindsEach(t *testing.T) {
	const read, logs, poll = 0, 1, 2
	at := func(ms float64, r Record) Record { r.At = ms; return r }
	begin := func(class int) []Record {
		return []Record{{What: Asked, Class: class}, {What: Taken, Until: 1000}}
	}
	sent := func(ms float64, server, n int) Record { return at(ms, Record{What: Sent, Server: server, Attempt: n}) }
	ended := func(ms float64, n int, st decide.Status) Record {
		return at(ms, Record{What: Ended, Attempt: n, Status: st})
	}
	answer := func(ms float64, res Result) Record { return at(ms, Record{What: Answered, Result: res}) }
	for name, x := range map[string]struct {
		class int
		sound []Record
		bad   Record
		rule  int
		says  string
	}{
		"two answers":              {read, []Record{answer(5, Refused)}, answer(6, Served), 1, "second"},
		"late":                     {read, nil, answer(1100, Served), 1, "has left"},
		"not taken there":          {read, nil, Record{What: Answered, Router: 1}, 1, "not taken"},
		"sent after the answer":    {read, []Record{answer(5, Refused)}, sent(6, 1, 0), 1, "after the final"},
		"ended and was not out":    {read, nil, ended(3, 0, decide.OK), 1, "not out"},
		"two at once":              {read, []Record{sent(1, 1, 0)}, sent(2, 2, 1), 2, "at once"},
		"a poll again":             {poll, []Record{sent(1, 1, 0), ended(2, 0, decide.TimedOut)}, sent(3, 2, 1), 2, "unsafe"},
		"a poll runs twice":        {poll, []Record{at(1, Record{What: Ran, Server: 1})}, at(9, Record{What: Ran, Server: 2}), 2, "twice"},
		"a poll refused":           {poll, []Record{sent(1, 1, 0), ended(2, 0, decide.Reset)}, answer(3, Refused), 2, "harmless"},
		"keyed after its time":     {logs, []Record{sent(1, 1, 0), ended(400, 0, decide.TimedOut)}, sent(900, 1, 1), 2, "time"},
		"keyed out of its group":   {logs, []Record{sent(1, 1, 0), ended(4, 0, decide.TimedOut)}, sent(9, 2, 1), 2, "group"},
		"to one that drains":       {read, []Record{at(1, Record{What: Told, Server: 3})}, sent(502, 3, 0), 3, "after the news"},
		"a cold server pushed":     {read, nil, Record{What: Fell, Server: 1, Blame: true}, 4, "pushed"},
		"the origin stopped by it": {read, nil, Record{What: Stopped, Blame: true}, 4, "stopped"},
	} {
		c := Default()
		c.Classes[logs].Scope, c.Classes[logs].Window = "zone", 300
		check := NewChecker(&c)
		for _, r := range append(begin(x.class), x.sound...) {
			check.See(r)
		}
		if v := check.Violations(); len(v) > 0 {
			t.Errorf("%s: before it: %v", name, v)
		}
		check.See(x.bad)
		if v := check.Violations(); len(v) != 1 || v[0].Rule != x.rule || !strings.Contains(v[0].String(), x.says) {
			t.Errorf("%s: %v", name, v)
		}
	}
	c := Default()
	for name, x := range map[string]struct {
		more []Record
		want int
	}{"no answer": {nil, 1}, "of a router that ended": {[]Record{{What: Down, Router: 0}}, 0}} {
		check := NewChecker(&c)
		for _, r := range append(begin(read), x.more...) {
			check.See(r)
		}
		check.See(at(keepFor+1, Record{What: Asked, Request: 1}))
		if v := check.Violations(); len(v) != x.want || len(check.reqs) != 1 {
			t.Errorf("%s: %v, %d kept", name, v, len(check.reqs))
		}
	}
	six := NewChecker(&c)
	for _, r := range begin(read) {
		six.See(r)
	}
	for n := range maxAttempts + 1 {
		six.See(sent(float64(n), 1, n))
		six.See(ended(float64(n), n, decide.Miss))
	}
	if v := six.Violations(); len(v) != 1 || v[0].Rule != 2 || !strings.Contains(v[0].What, "over 5") {
		t.Errorf("six attempts: %v", v)
	}
}
