// Command rig plays the cases of the review: it starts the router as the deploy file does, beside stand-ins of
// its own on loopback, and exits with 1 if the rule of the case was broken, 0 if it held and 2 if the case could
// not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// cases holds the cases by name.
var cases = map[string]func(*run) error{
	"silent-watch":  silentWatch,
	"half-applied":  halfApplied,
	"held-in-drain": heldInDrain,
}

// errBroken reports that the rule of the case was broken.
var errBroken = errors.New("the rule was broken")

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play plays a case and returns the exit status.
func play(do func(*run) error, folder string) int {
	r, err := newRun(filepath.Join(folder, "record.txt"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return 2
	}
	defer r.close()
	ended := make(chan error, 1)
	go func() { ended <- do(r) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case err = <-ended:
	case s := <-signals:
		err = fmt.Errorf("ended by signal %v", s)
	}
	r.stopAll()
	switch {
	case err == nil:
		r.note("verdict", "the rule held")
		return 0
	case errors.Is(err, errBroken):
		r.note("verdict", err.Error())
		fmt.Fprintln(os.Stderr, "rig:", err)
		return 1
	}
	r.note("verdict", "the case could not run: "+err.Error())
	fmt.Fprintln(os.Stderr, "rig: the case could not run:", err)
	return 2
}
