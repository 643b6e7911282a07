package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// Mutant is one fault that the tests have to find.
type Mutant struct {
	Name  string
	Edits []Edit
}

// Edit replaces a text that occurs once in a file of the tree.
type Edit struct{ File, Old, New string }

// apply makes the edit in the tree below dir.
func (e Edit) apply(dir string) error {
	path := filepath.Join(dir, e.File)
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("edit: %w", err)
	}
	if n := strings.Count(string(text), e.Old); n != 1 {
		return fmt.Errorf("edit of %s: %q occurs %d times, not once", e.File, e.Old, n)
	}
	if err := os.WriteFile(path, []byte(strings.Replace(string(text), e.Old, e.New, 1)), 0o644); err != nil {
		return fmt.Errorf("edit: %w", err)
	}
	return nil
}

const (
	connFile    = "internal/backend/conn.go"
	answerFile  = "internal/backend/answer.go"
	commandFile = "internal/backend/command.go"
	reuseFile   = "internal/backend/reuse.go"
	metaFile    = "internal/proto/meta/meta.go"
	boundsFile  = "internal/pure/drain/bounds.go"
)

// noAbort leaves the connection of a canceled attempt open.
var noAbort = Edit{connFile, "		raw.Control(shutdown) //nolint:errcheck // it may be closed already\n		c.shut.Store(true)\n", ""}

var mutants = []Mutant{
	{"begun answer canceled as stalled", []Edit{{"decide/decide.go", "r.attempts[i].done || r.attempts[i].begun() ||", "r.attempts[i].done ||"}}},
	{"pause within a begun answer ends it", []Edit{{connFile, "		deadline, c.deadlineFinal = c.answerBy.Add(cancelMargin), true\n", ""}}},
	{"time of a body counts as latency", []Edit{{"decide/begun.go", "	return math.Min(latency, a.begunAt-a.sentAt)\n", "	return math.Max(latency, a.begunAt-a.sentAt)\n"}}},
	{"records of keys without bound", []Edit{{"decide/state.go", "if len(b.keyList) < b.cfg.MaxKeys {", "if len(b.keyList) >= 0 {"}}},
	{"popular key forgotten for a new one", []Edit{{"decide/state.go", "rate < b.keyList[coldest].rate.value", "rate > b.keyList[coldest].rate.value"}}},
	{"server blamed for the router's lateness", []Edit{{"decide/decide.go", "	if b.extendPatience(r, i) {\n		return\n	}\n", ""}}},
	{"half command of RESP not counted", []Edit{{"internal/proto/resp/resp.go", "	c.reserved += n\n", "	c.Return(n)\n"}}},
	{"list bounded as a whole", []Edit{{"internal/member/calls.go", "	r.timer.Reset(r.limit)\n", ""}}},
	{"allowance without bound", []Edit{{"internal/front/pacing.go", "a.units = min(allowanceBurst, a.units+allowanceRate*now.Sub(a.updated).Seconds())", "a.units += allowanceRate * now.Sub(a.updated).Seconds()"}}},
	{"answers of a client bounded as a whole", []Edit{{"internal/front/answers.go", "if n == 0 || !errors.Is(err, os.ErrDeadlineExceeded) {", "if n >= 0 || !errors.Is(err, os.ErrDeadlineExceeded) {"}}},
	{"loud clients not paced", []Edit{{"internal/front/pacing.go", "c.pause(reserve(c.manager.pacer.commands, turnUnits))", "reserve(c.manager.pacer.commands, turnUnits)"}}},
	{"id of an abandoned request forgotten", []Edit{{"internal/engine/unsafe.go", "len(r.attempts) == 0 || result == ClientGone {", "len(r.attempts) == 0 {"}, {"internal/engine/unsafe.go", "if mayHaveRun && (!r.ReusableID || clientLeft) {", "if mayHaveRun && r.client == nil && clientLeft {"}}},
	{"hang in the middle of an answer not told", []Edit{{"internal/engine/progress.go", "	e.balancer.AnswerStalled(e.now(), a.request.id, a.index)\n", ""}}},
	{"ids not taken from the predecessor", []Edit{{"internal/service/platform.go", "		ids.Add(update.IDs...)\n", ""}}},
	{"large write bounded as a short one", []Edit{{"internal/front/conn.go", "time.Duration(short)*shortValueTimePerByte + time.Duration(n-short)*valueTimePerByte", "time.Duration(n) * valueTimePerByte"}}},
	{"error line accepted for any request", []Edit{{"internal/backend/meta/meta.go", "return reply, engine.UnnamedError, err", "return reply, engine.Identified, err"}}},
	{"connection open while a retry begins after an error line", []Edit{{"internal/engine/host.go", "		r.closeHeld()\n", ""}}},
	{"unsafe request on a connection with an error line", []Edit{{reuseFile, "	if r != nil && !r.Repeatable {\n		return false\n	}\n", ""}}},
	{"request uses a connection twice", []Edit{{reuseFile, "r.Serial == c.reuse.lastRequest", "false"}}},
	{"connection to the origin used again at once", []Edit{{reuseFile, "answerQuietPeriod = 1500 * time.Millisecond", "answerQuietPeriod = 0"}}},
	{"reply of the barrier not compared", []Edit{{"internal/backend/resp/protocol.go", "case reply.Kind != resp.Bulk || !bytes.Equal(reply.Text, barrierText(number)):", "case reply.Kind != resp.Bulk && !bytes.Equal(reply.Text, barrierText(number)):"}}},
	{"connection kept after a spoilt answer", []Edit{{answerFile, "	if err != nil || !c.readyForReuse() {\n		reuse = engine.NoReuse\n	}", "	if c.readyForReuse() {\n		reuse = engine.Identified\n	}"}}},
	{"connection not closed on cancel", []Edit{noAbort}},
	{"late answer of a canceled attempt given to the next", []Edit{noAbort, {answerFile, "work.canceler.Detach() && reuse != engine.NoReuse", "(work.canceler.Detach() || true) && reuse != engine.NoReuse"}}},
	{"abort registered after the write", []Edit{{commandFile, "	work.canceler.OnCancel(c.abort) // first, as the answer may be read before start returns\n	got := c.beginTask(work)\n", "	got := c.beginTask(work)\n	work.canceler.OnCancel(c.abort)\n"}}},
	{"abort detached before the answer is read", []Edit{{answerFile, "	reply, reuse, err := c.readAnswer(work, err)\n", "	work.canceler.Detach()\n	reply, reuse, err := c.readAnswer(work, err)\n"}}},
	{"connection kept with unread input", []Edit{{connFile, "return c.in.Buffered() == 0 && !c.tls.hasUnread()", "return true"}}},
	{"id not checked for EN", []Edit{{metaFile, "		a.Kind = Miss\n", "		a.Kind, id = Miss, c.ID\n"}}},
	{"id not checked for VA", []Edit{{metaFile, "if id, err = answerID(flags[1:]); err == nil && id == c.ID {", "if _, err = answerID(flags[1:]); err == nil {\n			id = c.ID"}}},
	{"id not checked for HD", []Edit{{metaFile, "	case kind == \"HD\" && c.Verb == \"ms\":\n", "	case kind == \"HD\" && c.Verb == \"ms\":\n		id = c.ID\n"}}},
	{"slow start off", []Edit{{"decide/decide.go", "func (b *Balancer) budgetAllows(s *server, work, rank float64) bool {\n", "func (b *Balancer) budgetAllows(s *server, work, rank float64) bool {\n	if s != nil {\n		return true\n	}\n"}}},
	{"answers after SIGTERM without a limit", []Edit{{boundsFile, "	return min(deadline, b.AnswerBy), ok\n", "	return deadline, ok\n"}}},
	{"requests admitted long after out-of-service", []Edit{{boundsFile, "ok = now <= b.AdmitUntil && deadline", "ok = deadline"}}},
	{"requests admitted that end after the router has to be empty", []Edit{{boundsFile, " && deadline <= b.LatestDeadline", ""}}},
	{"closing connection not read", []Edit{{"internal/front/closing.go", "	if !limited || now.Before(until) {\n", "	if !limited && until.IsZero() {\n"}}},
	{"busy readers do not yield", []Edit{{"internal/front/conn.go", "	if c.arrival.flowing {\n", "	if false {\n"}}},
	{"bounds of a drain outlast it", []Edit{{"internal/router/control.go", "	if bounds == d.bounds {\n", "	if bounds == d.bounds || bounds == drain.Unbounded() {\n"}}},
	{"rejected request keeps its memory", []Edit{{"internal/engine/engine.go", "	e.ids.release(q.ID)\n	e.HeldBytes.Release(q.HeldBytes)\n	e.countAnswer", "	e.ids.release(q.ID)\n	e.countAnswer"}}},
	{"drain gate off", []Edit{{"internal/engine/checks.go", "since > 0 && now-since > drainGrace-maxProcessPause-timeLimitSlack", "since < 0 && now-since > drainGrace-maxProcessPause-timeLimitSlack"}}},
	{"ENOBUFS taken for the end", []Edit{{"internal/sock/sock.go", "return errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)", "return false && errors.Is(err, syscall.ENOMEM)"}}},
	{"stale copy of discovery's list applied", []Edit{{"internal/member/discovery.go", "	if l.Version < d.knownVersion {\n", "	if l.Version < -1 {\n"}}},
	{"silent poll given up late", []Edit{{"internal/member/timing.go", "pollSlack:        time.Second,", "pollSlack:        4 * time.Second,"}}},
	{"silent call not repeated", []Edit{{"internal/member/calls.go", "		case <-repeatAt:\n", "		case <-repeatAt:\n			repeatAt = nil\n			continue\n"}}},
	{"first poll behind a failure long", []Edit{{"internal/member/discovery.go", "	case d.onDemand && !d.confirmed:\n", "	case false:\n"}}},
	{"pauses between calls for the list by the size of the tier", []Edit{{"decide/lists.go", "min(pause, longest)", "max(pause, min(pause, longest))"}}},
	{"first call for the list by the size of the tier", []Edit{{"decide/lists.go", "spread := min(listCallSpread*(b.tierScale()-1), maxListCallSpread)", "spread := listCallSpread * (b.tierScale() - 1)"}}},
	{"crowded service asked as often", []Edit{{"decide/lists.go", "	if l.crowded > 1 {\n", "	if false {\n"}}},
	{"broken subscriptions of a tier renewed at once", []Edit{{"decide/lists.go", "		return maxListCallSpread\n", "		return 0\n"}}},
	{"pause behind an agent's failure", []Edit{{"internal/member/timing.go", "waitRange{25 * time.Millisecond, 50 * time.Millisecond}", "waitRange{100 * time.Millisecond, 500 * time.Millisecond}"}}},
	{"overdue call forgotten", []Edit{{"internal/member/calls.go", "			if d.overdue != nil {\n", "			if true {\n"}}},
	{"polls of a tier in step", []Edit{{"internal/member/timing.go", "waitRange{8 * time.Second, 12 * time.Second}", "waitRange{10 * time.Second, 10 * time.Second}"}}},
	{"ended polls repeated at once", []Edit{{"internal/member/calls.go", "time.Since(start) > staleConnectionTime", "time.Since(start) < 0"}}},
}
