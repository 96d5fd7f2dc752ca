//go:build review

// Command standin plays the cases of the review: it starts the fleet's programs on loopback, with stand-ins of hosts,
// clients, the operator and the platform around them, and says whether a rule was broken.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// What a case ends with.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNot    = 2 // the case couldn't run
)

var cases = map[string]func(r *record, trouble bool) (int, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "standin CASE RECORD")
		os.Exit(exitNot)
	}
	// Processes that were started end with this one; see process.start.
	signal.Ignore(syscall.SIGPIPE)
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNot)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.line("case %s, disruption %v", os.Args[1], trouble)
	status, err := cases[os.Args[1]](r, trouble)
	if err != nil {
		r.line("the case couldn't run: %v", err)
		status = exitNot
	}
	r.line("exit %d", status)
	os.Exit(status)
}
