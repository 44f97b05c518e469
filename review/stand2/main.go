//go:build review

// Command stand2 plays the scripted cases of the second review. It starts the project's daemons as
// processes, with a stand-in of the platform's store, and runners and clients of its own.
//
//	stand2 CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With TROUBLE=0 in
// the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases are the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(w *world) (isBroken bool, err error){
	"route-ends":  routeEnds,
	"crash-whole": crashWhole,
	"late-accept": lateAccept,
	"late-stream": lateStream,
	"stale-end":   staleEnd,
}

func main() {
	const words = 3
	if len(os.Args) == words+2 && os.Args[1] == runnerWord {
		os.Exit(serveRunner(os.Args[2:]))
	}
	if len(os.Args) != words || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case, and ends all that it started.
func play(name, recordPath string) int {
	w, err := newWorld(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer w.close()
	w.line("case %s, trouble %v", name, w.hasTrouble)
	started := time.Now()
	isBroken, err := cases[name](w)
	switch {
	case err != nil:
		w.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	case isBroken:
		w.line("the rule was broken (after %.0f s)", time.Since(started).Seconds())
		return exitBroken
	}
	w.line("the rule held (after %.0f s)", time.Since(started).Seconds())
	return exitHeld
}
