package experiment

import (
	"fmt"
	"io"

	"mossproxy.example/mossproxy/internal/model"
)

// teller writes a history's events in words, those around one or of one request.
type teller struct {
	out       io.Writer
	from, to  int
	request   int // -1 = any
	n         int
	err       error
	classes   []model.Class
	remaining int
}

// maxTold bounds the lines of a replay.
const maxTold = 10000

// See is model.Observer's.
func (t *teller) See(r model.Record) {
	t.n++
	if t.err != nil || t.remaining == 0 || t.request >= 0 && !about(r, t.request) || t.request < 0 && (t.n < t.from || t.n > t.to) {
		return
	}
	t.remaining--
	_, t.err = fmt.Fprintf(t.out, "%8d %12.1f ms  %s\n", t.n, r.At, t.words(r))
}

// about says whether a record is one request's.
func about(r model.Record, request int) bool {
	switch r.What {
	case model.Asked, model.Taken, model.Sent, model.Reached, model.Ran, model.Ended, model.Answered:
		return r.Request == request
	}
	return false
}

// words is a record in words.
func (t *teller) words(r model.Record) string {
	switch r.What {
	case model.Asked:
		return fmt.Sprintf("request %d is asked for: %s", r.Request, t.classes[r.Class].Name)
	case model.Taken:
		return fmt.Sprintf("router %d takes request %d, to be answered by %.1f ms", r.Router, r.Request, r.Until)
	case model.Sent:
		return fmt.Sprintf("router %d sends request %d to server %d, attempt %d", r.Router, r.Request, r.Server, r.Attempt)
	case model.Reached:
		return fmt.Sprintf("it reaches server %d: request %d of router %d, attempt %d", r.Server, r.Request, r.Router, r.Attempt)
	case model.Ran:
		return fmt.Sprintf("request %d runs at server %d, attempt %d of router %d", r.Request, r.Server, r.Attempt, r.Router)
	case model.Ended:
		return fmt.Sprintf("router %d has the outcome of request %d at server %d, attempt %d: %s", r.Router, r.Request, r.Server, r.Attempt, statuses[r.Status])
	case model.Answered:
		return fmt.Sprintf("router %d answers request %d: %v", r.Router, r.Request, r.Result)
	case model.Told:
		return fmt.Sprintf("router %d is told that server %d drains or is gone", r.Router, r.Server)
	case model.Listed:
		return fmt.Sprintf("router %d is told that server %d is there", r.Router, r.Server)
	case model.Fell:
		return fmt.Sprintf("server %d, cold, is pushed over", r.Server)
	case model.Stopped:
		return "the origin is pushed over and stops"
	case model.Faulted:
		return fmt.Sprintf("fault %d begins, at %d", r.Attempt, r.Server)
	case model.Mended:
		return fmt.Sprintf("a fault at %d ends", r.Server)
	case model.Down:
		return fmt.Sprintf("router %d ends", r.Router)
	}
	return fmt.Sprintf("%v, server %d, %.2f", r.What, r.Server, r.Spent)
}

// statuses are the module's, in words.
var statuses = [...]string{"ok", "failed", "queue full", "timed out", "could not connect", "reset", "cancelled", "ignored", "miss", "spoilt"}

// Replay writes what happened in a run around an event, as many events ahead of it and behind; with request at 0 or above all that happened to
// that request instead.
func (s *Scenario) Replay(out io.Writer, variant string, seed uint64, event, around, request int) error {
	v := Variant{Name: variant}
	for _, x := range s.Variants {
		if x.Name == variant {
			v = x
		}
	}
	if v.Set == nil && variant != "base" {
		return fmt.Errorf("there is no variant %q", variant)
	}
	c, err := s.config(v, seed)
	if err != nil {
		return err
	}
	t := &teller{out: out, from: event - around, to: event + around, request: request, classes: c.Classes, remaining: maxTold}
	w, err := model.New(c, t)
	if err != nil {
		return err
	}
	w.Run()
	if t.err == nil && t.remaining == maxTold {
		return fmt.Errorf("nothing of that is in the history, which has %d events", t.n)
	}
	return t.err
}

// Sweep has the scenario play one setting over values, as a variant each; base stays as it is.
func (s *Scenario) Sweep(setting string, values []float64) error {
	for _, x := range values {
		v := Variant{fmt.Sprintf("%s = %v", setting, x), map[string]float64{setting: x}}
		c, err := s.config(v, 1)
		if err == nil {
			err = c.Check()
		}
		if err != nil {
			return fmt.Errorf("%s: %w", v.Name, err)
		}
		s.Variants = append(s.Variants, v)
	}
	return nil
}
