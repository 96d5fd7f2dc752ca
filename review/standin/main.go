//go:build review

// Command standin runs the cases of the review. It starts the fleet's programs on loopback with simulated hosts,
// clients, operator and platform around them, and reports whether a rule was broken.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit statuses of a case.
const (
	exitPassed   = 0
	exitViolated = 1
	exitNotRun   = 2 // the case couldn't run
)

var cases = map[string]func(r *record, disruption bool) (int, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(exitNotRun)
	}
	// The processes that were started are killed when this one ends; see process.start.
	signal.Ignore(syscall.SIGPIPE)
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	disruption := os.Getenv("TROUBLE") != "0"
	r.line("case %s, disruption %v", os.Args[1], disruption)
	status, err := cases[os.Args[1]](r, disruption)
	if err != nil {
		r.line("the case couldn't run: %v", err)
		status = exitNotRun
	}
	r.line("exit %d", status)
	os.Exit(status)
}
