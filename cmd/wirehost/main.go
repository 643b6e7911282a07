// Command wirehost runs Balancers for the simulator: it reads batches of events from standard input and
// writes the replies to standard output.
package main

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"

	"mossproxy.example/mossproxy/internal/wire"
)

func main() {
	runtime.GOMAXPROCS(1) // batches are processed one at a time; more threads only add CPU time
	debug.SetGCPercent(400)
	if err := wire.Run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}
