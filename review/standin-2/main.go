// Command standin-2 plays the scripts of the second review: it starts the project's programs as processes on loopback,
// with stand-ins of the clients, the operator, the hosts and the platform, brings about one disruption, and checks one
// rule. It ends with 0 if the rule held, 1 if it was broken, and 2 if the case could not be played. With TROUBLE=0 it
// leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// The exit statuses.
const (
	held      = 0
	broken    = 1
	notPlayed = 2
)

// record is the file that tells what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) printf(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
}

// conclude writes a line to the record and to standard output.
func (r *record) conclude(format string, values ...any) {
	r.printf(format, values...)
	fmt.Printf(format+"\n", values...)
}

// longest is how long a case may take.
const longest = 115 * time.Second

// stopEarly ends the processes of a case that is interrupted or takes too long.
func stopEarly() {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-interrupted:
	case <-time.After(longest):
	}
	fmt.Fprintln(os.Stderr, "the case was interrupted or took too long")
	killStarted()
	os.Exit(notPlayed)
}

func (r *record) seconds(t time.Time) float64 { return t.Sub(r.start).Seconds() }

// cases are the cases by name; the file of each adds it.
var cases = map[string]func(r *record, trouble bool) (int, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		os.Exit(notPlayed)
	}
	os.Exit(playCase(cases[os.Args[1]], os.Args[2]))
}

func playCase(play func(*record, bool) (int, error), path string) int {
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notPlayed
	}
	defer file.Close()
	r := &record{file: file, start: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	go stopEarly()
	r.printf("disruption: %v", trouble)
	result, err := play(r, trouble)
	if err != nil {
		r.conclude("the case could not be played: %v", err)
		return notPlayed
	}
	return result
}
