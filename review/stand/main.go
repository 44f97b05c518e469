//go:build review

package main

import (
	"fmt"
	"os"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases are the cases by name. One returns what broke the rule; nothing if it held.
var cases = map[string]func(w *world, hasTrouble bool) ([]string, error){"markup": markup, "refusal": refusal, "full": full, "blank": blank}

// main plays the case that the first argument names, and records it in the second.
func main() {
	os.Exit(play())
}

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		return exitFailed
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer w.end()
	hasTrouble := os.Getenv("TROUBLE") != "0"
	w.note("case %s, with the disruption: %v", os.Args[1], hasTrouble)
	broken, err := cases[os.Args[1]](w, hasTrouble)
	if err != nil {
		w.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	for _, each := range broken {
		w.note("BROKEN %s", each)
		fmt.Println("BROKEN", each)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	w.note("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
