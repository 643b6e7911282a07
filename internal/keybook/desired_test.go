package keybook

import (
	"fmt"
	"log/slog"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"mossproxy.example/mossproxy/internal/identity"
	"mossproxy.example/mossproxy/internal/pure/caller"
	"mossproxy.example/mossproxy/internal/watch"
)

// watchedSource is a source whose files a test edits and has looked at.
type watchedSource struct {
	*Source
	t       *testing.T
	dir     string
	watches [fileCount]*watch.File
}

// openWatched opens a source whose rights may name the given classes.
func openWatched(t *testing.T, book, rights string, classes ...string) *watchedSource {
	t.Helper()
	w := &watchedSource{t: t, dir: t.TempDir()}
	w.put("book", book)
	w.put("rights", rights)
	gate := identity.NewAuthenticator(identity.Options{Log: slog.New(slog.DiscardHandler)})
	s, err := Open(SourceConfig{CredentialsPath: filepath.Join(w.dir, "book"), RightsPath: filepath.Join(w.dir, "rights"), Classes: classes,
		Policy: caller.Policy{Audiences: []string{"r"}}}, gate, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	w.Source = s
	for _, file := range []int{credentialsFile, rightsFile} {
		w.watches[file] = s.watchFile(file, &fileConsumer{s, file})
		w.watches[file].SetCurrent(s.inUse[file])
	}
	return w
}

func (w *watchedSource) put(name, text string) {
	w.t.Helper()
	if err := os.WriteFile(filepath.Join(w.dir, name), []byte(text), 0o600); err != nil {
		w.t.Fatal(err)
	}
}

// edit replaces a file and returns when its watch has settled.
func (w *watchedSource) edit(file int, text string) {
	w.t.Helper()
	w.put(map[int]string{credentialsFile: "book", rightsFile: "rights"}[file], text)
	for end := time.Now().Add(10 * time.Second); !math.IsInf(w.watches[file].Poll(), 1); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			w.t.Fatal("the watch does not settle")
		}
	}
}

// check fails the test unless the given contents are in use.
func (w *watchedSource) check(when, book, rights string) {
	w.t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	if string(w.inUse[credentialsFile]) != book {
		w.t.Errorf("%s: in use is the book\n%s", when, w.inUse[credentialsFile])
	}
	if string(w.inUse[rightsFile]) != rights {
		w.t.Errorf("%s: in use are the rights %s", when, w.inUse[rightsFile])
	}
}

// versionOf returns validFile with another version, and with replacements.
func versionOf(version int, replacements ...string) string {
	return strings.NewReplacer(append(replacements, "version = 4", fmt.Sprintf("version = %d", version))...).Replace(validFile)
}

// Guards against contents of a file that were rejected and taken back, and come into force with the next change of
// another file.
func TestRejectedContentsThatWereTakenBackAreNeverApplied(t *testing.T) {
	const allRole, otherRole = "role all { allow any read }", "role other { allow any }"
	withOther := versionOf(6, `["all"]`, `["other"]`)
	t.Run("rights", func(t *testing.T) {
		w := openWatched(t, validFile, allRole+otherRole)
		w.edit(rightsFile, otherRole) // the caller's role is missing
		w.check("wrong rights", validFile, allRole+otherRole)
		w.edit(rightsFile, allRole+otherRole)
		w.edit(credentialsFile, withOther) // goes with the wrong rights, too
		w.check("a new book", withOther, allRole+otherRole)
		w.edit(rightsFile, otherRole)
		w.check("the same rights, now right", withOther, otherRole)
	})
	t.Run("book", func(t *testing.T) {
		w := openWatched(t, validFile, allRole)
		w.edit(credentialsFile, withOther) // has a role that is missing
		w.check("a wrong book", validFile, allRole)
		w.edit(credentialsFile, validFile)
		w.edit(rightsFile, allRole+otherRole) // goes with the wrong book, too
		w.check("new rights", validFile, allRole+otherRole)
	})
	t.Run("applied later, then taken back", func(t *testing.T) {
		w := openWatched(t, validFile, allRole)
		w.edit(rightsFile, otherRole)
		w.edit(credentialsFile, withOther)
		w.check("both", withOther, otherRole)
		w.edit(rightsFile, allRole+otherRole)
		w.check("rights with both roles", withOther, allRole+otherRole)
	})
}

// Guards against files that were rejected, as one of them needs the other or a class of the configuration, and stay
// out of force when all of them are there, in whichever order they come and whatever wrong content came in between.
func TestFilesAndClassesComeInAnyOrder(t *testing.T) {
	const rights, newRights = "role all { allow read read }", "role all { allow read read }\nrole other { allow added read }"
	book := versionOf(5, `["all"]`, `["all", "other"]`)
	steps := map[string]func(w *watchedSource){
		"book":          func(w *watchedSource) { w.edit(credentialsFile, book) },
		"rights":        func(w *watchedSource) { w.edit(rightsFile, newRights) },
		"configuration": func(w *watchedSource) { w.SetClasses([]string{"read", "added"}) },
	}
	mistakes := map[string]func(w *watchedSource){
		"none": func(*watchedSource) {},
		"wrong rights": func(w *watchedSource) {
			before := string(w.latest[rightsFile])
			w.edit(rightsFile, "role wrong { allow any }")
			w.edit(rightsFile, before)
		},
		"wrong book": func(w *watchedSource) {
			before := string(w.latest[credentialsFile])
			w.edit(credentialsFile, versionOf(9, `["all"]`, `["none"]`))
			w.edit(credentialsFile, before)
		},
		"wrong classes": func(w *watchedSource) {
			before := w.Names().Classes
			w.SetClasses([]string{"another"})
			w.SetClasses(before)
		},
	}
	for _, order := range [][]string{{"book", "rights", "configuration"}, {"book", "configuration", "rights"}, {"rights", "book", "configuration"},
		{"rights", "configuration", "book"}, {"configuration", "book", "rights"}, {"configuration", "rights", "book"}} {
		for name, mistake := range mistakes {
			t.Run(fmt.Sprintf("%v, %s", order, name), func(t *testing.T) {
				t.Parallel()
				for at := range order {
					w := openWatched(t, validFile, rights, "read")
					for i, step := range order {
						if steps[step](w); i == at {
							mistake(w)
						}
					}
					w.check(fmt.Sprintf("mistake after step %d", at+1), book, newRights)
				}
			})
		}
	}
}

// Guards against rights in use that name a class which a new configuration has dropped: they held up each later
// change of the book, revocations among them.
func TestDroppedClassThatTheRightsNameHoldsUpNoBook(t *testing.T) {
	const rights = "role all { allow read, gone read }"
	w := openWatched(t, validFile, rights, "read", "gone")
	w.SetClasses([]string{"read"})
	revoked := versionOf(5, "[[key]]", "[[key]]\nrevoked = 2026-12-01T12:00:01Z")
	w.edit(credentialsFile, revoked)
	w.check("a revocation", revoked, rights)
}
