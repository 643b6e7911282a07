package member

import (
	"context"
	"errors"
	"fmt"
	"math"

	"mossproxy.example/mossproxy/internal/watch"
)

// FileConfig tells where a watched server file is and what it must hold.
type FileConfig struct {
	Path      string
	State     string  // where the last good list is kept; "" = nowhere
	Rules     Rules   //
	SettleMS  float64 // a new content counts once it has stood still for so long
	NoNotices bool    // look only at intervals, as where the folder is on a network
}

// FileSource is a watched server file.
type FileSource struct {
	cfg     FileConfig
	now     func() float64 // Unix time in ms
	log     func(format string, args ...any)
	onList  func(List)
	file    *watch.File
	current *File
	version int64
}

// OpenFile reads the server file and gives its source. Where the file is bad, or clearly wrong beside the last good list,
// that list is used and the reason logged; without one the reason is the error. now is Unix time in milliseconds.
func OpenFile(cfg FileConfig, now func() float64, log func(string, ...any)) (*FileSource, error) {
	if cfg.SettleMS < 0 || math.IsNaN(cfg.SettleMS) {
		return nil, fmt.Errorf("server file: a settling time of %v ms", cfg.SettleMS)
	}
	s := &FileSource{cfg: cfg, now: now, log: log}
	s.file = watch.New(watch.Config{Path: cfg.Path, MaxBytes: MaxFileBytes, SettleMS: cfg.SettleMS, PollOnly: cfg.NoNotices}, now, fileConsumer{s})
	var last *File
	if cfg.State != "" {
		var err error
		if last, err = loadState(cfg.State); err != nil && !errors.Is(err, errNoState) {
			log("server file: the list that was kept is not used: %v", err)
		}
	}
	text, err := s.file.Read()
	var c Change
	if err == nil {
		c, err = s.planChange(last, text)
	}
	switch {
	case err == nil:
		s.file.SetCurrent(text)
		s.accept(&c.Next)
	case last != nil:
		log("server file: refused, the last good list is used: %s", oneLine(err.Error()))
		s.current = last
		s.file.SetKnownBad(text)
	default:
		return nil, fmt.Errorf("server file: %w", err)
	}
	s.version++
	return s, nil
}

// Current is the list in use. It is not called while Run does.
func (s *FileSource) Current() List { return s.current.List(s.version) }

// planChange reads a content and says what it would change, or why it is not taken.
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

// refusedList is a list that was read and is likely a mistake.
type refusedList struct {
	path    string
	reasons []string
}

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

// accept uses a file from now on, and keeps it for a restart.
func (s *FileSource) accept(f *File) {
	s.current = f
	if s.cfg.State == "" {
		return
	}
	if err := saveState(s.cfg.State, f); err != nil {
		s.log("server file: the list is used, but a restart won't have it: %v", err)
	}
}

// Run follows the file until ctx ends, and hands each further list to tell. What goes wrong is logged and leaves the list
// as it is.
func (s *FileSource) Run(ctx context.Context, tell func(List)) {
	s.onList = tell
	s.file.Run(ctx)
}

// fileConsumer is the source as the watched file sees it.
type fileConsumer struct{ source *FileSource }

// Take uses a content of the file.
func (t fileConsumer) Apply(text []byte) error {
	c, err := t.source.planChange(t.source.current, text)
	if err != nil {
		return err
	}
	t.source.apply(&c)
	return nil
}

// Refused tells why a content is not used.
func (t fileConsumer) Refused(why error) {
	t.source.log("server file: refused, the list in use stays: %s", oneLine(why.Error()))
}

// Trouble tells that notices fail.
func (t fileConsumer) NotificationsFailed(err error) {
	t.source.log("server file: no notices, it is only looked at four times a second: %v", err)
}

// apply uses a change.
func (s *FileSource) apply(c *Change) {
	s.version++
	s.onList(c.Next.List(s.version)) // first of all: drains run from the moment the file was whole
	s.log("server file: taken, list %d of %d servers: %s", s.version, len(c.Next.Servers), oneLine(c.String()))
	s.accept(&c.Next)
}

// oneLine joins lines for a log.
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
