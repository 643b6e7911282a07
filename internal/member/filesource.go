package member

import (
	"context"
	"errors"
	"fmt"
	"math"

	"mossproxy.example/mossproxy/internal/watch"
)

// FileConfig configures a watched server file.
type FileConfig struct {
	Path      string
	State     string  // file in which the last good list is saved; "" = not saved
	Rules     Rules   // requirements for the list
	SettleMS  float64 // time that new content must stay unchanged before it is evaluated
	NoNotices bool    // poll without file system notifications, for example on network file systems
}

// FileSource provides the list of servers from a watched file.
type FileSource struct {
	cfg     FileConfig
	now     func() float64 // Unix time in ms
	log     func(format string, args ...any)
	onList  func(List)
	file    *watch.File
	current *File
	version int64
}

// OpenFile reads the server file and returns its source. If the file is invalid, or implausible compared with
// the last good list, that list is used and the reason is logged; if there is no such list, the reason is
// returned as the error. now returns the Unix time in milliseconds.
func OpenFile(cfg FileConfig, now func() float64, log func(string, ...any)) (*FileSource, error) {
	if cfg.SettleMS < 0 || math.IsNaN(cfg.SettleMS) {
		return nil, fmt.Errorf("server file: invalid settling time of %v ms", cfg.SettleMS)
	}
	s := &FileSource{cfg: cfg, now: now, log: log}
	s.file = watch.New(watch.Config{Path: cfg.Path, MaxBytes: MaxFileBytes, SettleMS: cfg.SettleMS, PollOnly: cfg.NoNotices}, now, fileConsumer{s})
	var lastGood *File
	if cfg.State != "" {
		var err error
		if lastGood, err = loadState(cfg.State); err != nil && !errors.Is(err, errNoState) {
			log("server file: ignoring the saved list: %v", err)
		}
	}
	text, err := s.file.Read()
	var c Change
	if err == nil {
		c, err = s.planChange(lastGood, text)
	}
	switch {
	case err == nil:
		s.file.SetCurrent(text)
		s.accept(&c.Next)
	case lastGood != nil:
		log("server file: refused, using the last good list: %s", oneLine(err.Error()))
		s.current = lastGood
		s.file.SetKnownBad(text)
	default:
		return nil, fmt.Errorf("server file: %w", err)
	}
	s.version++
	return s, nil
}

// Current returns the list in use. It must not be called while Run is running.
func (s *FileSource) Current() List { return s.current.List(s.version) }

// planChange parses a new content and returns the change from old. If the content is rejected, it returns an
// error with the reasons.
func (s *FileSource) planChange(old *File, text []byte) (Change, error) {
	f, faults := ParseFile(s.cfg.Path, text, s.cfg.Rules)
	if faults != nil {
		return Change{}, faults
	}
	c := Plan(old, f, s.cfg.Rules, s.now())
	if len(c.Refused) > 0 {
		return c, &refusedList{s.cfg.Path, c.Refused}
	}
	return c, nil
}

// refusedList is the error for a valid list that is probably a mistake.
type refusedList struct {
	path    string
	reasons []string
}

// Error returns the reasons, one per line, each after the path of the file.
func (r *refusedList) Error() string {
	text := ""
	for i, w := range r.reasons {
		if i > 0 {
			text += "\n"
		}
		text += r.path + ": " + w
	}
	return text
}

// accept makes f the list in use and saves it for a restart.
func (s *FileSource) accept(f *File) {
	s.current = f
	if s.cfg.State == "" {
		return
	}
	if err := saveState(s.cfg.State, f); err != nil {
		s.log("server file: the list is used, but could not be saved for a restart: %v", err)
	}
}

// Run watches the file until ctx ends and passes each new list to onList. Errors are logged, and the list in
// use stays.
func (s *FileSource) Run(ctx context.Context, onList func(List)) {
	s.onList = onList
	s.file.Run(ctx)
}

// fileConsumer implements watch.Consumer for a FileSource.
type fileConsumer struct{ source *FileSource }

// Apply uses new content of the file, or returns the reasons why not.
func (c fileConsumer) Apply(text []byte) error {
	change, err := c.source.planChange(c.source.current, text)
	if err != nil {
		return err
	}
	c.source.apply(&change)
	return nil
}

// Refused logs why new content is rejected.
func (c fileConsumer) Refused(why error) {
	c.source.log("server file: refused, the list in use stays: %s", oneLine(why.Error()))
}

// NotificationsFailed logs that file system notifications failed.
func (c fileConsumer) NotificationsFailed(err error) {
	c.source.log("server file: change notifications failed, polling every 250 ms: %v", err)
}

// apply puts a change into use.
func (s *FileSource) apply(c *Change) {
	s.version++
	s.onList(c.Next.List(s.version)) // first, because drains are timed from when the file was complete
	s.log("server file: applied list %d with %d servers: %s", s.version, len(c.Next.Servers), oneLine(c.String()))
	s.accept(&c.Next)
}

// oneLine joins the lines of text with "; " for the log.
func oneLine(text string) string {
	out := make([]byte, 0, len(text))
	for i := range len(text) {
		switch {
		case text[i] != '\n':
			out = append(out, text[i])
		case i < len(text)-1:
			out = append(out, "; "...)
		}
	}
	return string(out)
}
