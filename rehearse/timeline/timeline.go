// Package timeline runs simulations that are written as a table in text, with one column per node and one row per
// time. A cell holds an event that happens to a node or, with a question mark, something to observe there. The run
// gives the table back with each observation in place of its question.
//
//	at    rig       a       b       c
//	0s    .         ask 9   ask 9   ask 9
//	3s    cut a|bc  has?    has?    has?
//
// Cells are separated by two or more spaces, `.` is an empty cell, and `; ` separates several entries of one cell. The
// column `rig` is for events that concern all nodes.
package timeline

// This file holds the reading and writing of tables, and the verbs that apply to any kind of node. It never depends on
// the protocol between the nodes (that is left to a Cluster), and never uses randomness or a clock other than the
// Simulation's.

import (
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"
)

// Node is the state machine of one process under test. Times are in nanoseconds by its own clock.
type Node interface {
	Tick(now int64)
	Receive(from int, body []byte, now int64)
	Next() (to int, body []byte, ok bool)
}

// Cluster is implemented by the test of a kind of node. A place is the index of a node.
type Cluster interface {
	// Start starts a process at a place; incarnation grows with each start.
	Start(place int, incarnation uint64, now int64) Node
	// Apply applies an event to a node (-1: all) whose verb is not one of the package's own.
	Apply(place int, verb string, args []string) error
	// Observe gives an observation of a node (-1: of all).
	Observe(place int, what string) (string, error)
	// Step is called each millisecond, to act for clients and to check invariants. An error goes into the table and ends
	// the run.
	Step() error
}

// Report is the result of a run.
type Report struct {
	Table string
	Err   error // the invariant that was violated, or the entry that was not understood
}

type row struct {
	line  int
	at    int64
	cells []string
}

var cellSeparator = regexp.MustCompile(`\s{2,}`)

// parse parses a table.
func parse(text string) (names []string, rows []row, err error) {
	for i, line := range strings.Split(strings.TrimRight(text, "\n"), "\n") {
		cells := cellSeparator.Split(strings.TrimSpace(line), -1)
		switch {
		case strings.TrimSpace(line) == "":
		case names == nil && (len(cells) < 3 || cells[0] != "at" || cells[1] != "rig"):
			return nil, nil, fmt.Errorf("line %d: expected at, rig and the nodes' names", i+1)
		case names == nil:
			names = cells[2:]
		case len(cells) != len(names)+2:
			return nil, nil, fmt.Errorf("line %d: %d cells, expected %d", i+1, len(cells), len(names)+2)
		default:
			at, bad := time.ParseDuration(cells[0])
			if bad != nil || len(rows) > 0 && int64(at) < rows[len(rows)-1].at {
				return nil, nil, fmt.Errorf("line %d: %q: no time, or earlier than the row's before",
					i+1, cells[0])
			}
			rows = append(rows, row{i + 1, int64(at), cells})
		}
	}
	if len(rows) == 0 {
		return nil, nil, errors.New("an empty run")
	}
	return names, rows, nil
}

// Names gives the names of the nodes in a table.
func Names(text string) ([]string, error) {
	names, _, err := parse(text)
	return names, err
}

// Play runs a table; begin makes its cluster, and seed decides all random events.
func Play(text string, seed uint64, begin func(s *Simulation) Cluster) (r Report) {
	names, rows, err := parse(text)
	if err != nil {
		return Report{text, err}
	}
	s := newSimulation(names, seed)
	s.cluster = begin(s)
	table := [][]string{append([]string{"at", "rig"}, names...)}
	for i := range names {
		s.Start(i)
	}
	for _, x := range rows {
		if r.Err = s.Run(x.at); r.Err != nil {
			table = append(table, []string{time.Duration(s.Now).String(), "! " + r.Err.Error()})
			break
		}
		out := []string{x.cells[0]}
		for i, cell := range x.cells[1:] {
			var results []string
			for _, word := range strings.Split(cell, "; ") {
				result, err := s.runCell(i-1, word)
				if err != nil {
					return Report{render(table), fmt.Errorf("line %d: %q: %w", x.line, word, err)}
				}
				results = append(results, result)
			}
			out = append(out, strings.Join(results, "; "))
		}
		table = append(table, out)
	}
	r.Table = render(table)
	return r
}

// runCell applies the event of a cell's entry, or makes its observation, and gives the entry's text for the result.
func (s *Simulation) runCell(node int, word string) (string, error) {
	if word == "." {
		return word, nil
	}
	if what, ok := strings.CutSuffix(word, "?"); ok {
		return s.cluster.Observe(node, what)
	}
	f := strings.Fields(word)
	if done, err := s.inject(node, f[0], f[1:]); done || err != nil {
		return word, err
	}
	return word, s.cluster.Apply(node, f[0], f[1:])
}

var oneWay = regexp.MustCompile(`^(\S+)-x->(\S+)$`)

// inject applies an event that any kind of node understands; done is false if the verb is not such a one.
func (s *Simulation) inject(node int, verb string, args []string) (done bool, err error) {
	arg := ""
	if len(args) > 0 {
		arg = args[len(args)-1]
	}
	if m := oneWay.FindStringSubmatch(verb); m != nil {
		return true, s.cutLinks(m[1], m[2])
	}
	if node < 0 {
		switch verb {
		case "cut":
			groups := strings.Split(arg, "|")
			for _, x := range groups {
				for _, y := range groups {
					if x != y && err == nil {
						err = s.cutLinks(x, y)
					}
				}
			}
			return true, err
		case "heal":
			clear(s.brokenLinks)
			return true, nil
		case "loss", "double", "garble", "late":
			s.probability[verb], err = strconv.ParseFloat(arg, 64)
			return true, err
		case "delay":
			d, err := time.ParseDuration(arg)
			s.maxDelay = int64(d)
			return true, err
		case "kill", "back":
			for i := range s.nodes {
				_, _ = s.inject(i, verb, nil)
			}
			return true, nil
		}
		return false, nil
	}
	n := &s.nodes[node]
	switch verb {
	case "kill":
		n.Node, n.stopped, n.queued, n.restartInterval = nil, false, nil, 0
	case "back":
		s.Start(node)
	case "stop":
		if n.datagramsUntilStop = 0; len(args) > 0 { // stop only after this many more datagrams received or sent
			n.datagramsUntilStop, err = strconv.Atoi(arg)
		} else {
			n.stopped = true
		}
	case "wake":
		n.datagramsUntilStop = 0
		s.resume(node)
	case "flap":
		d, bad := time.ParseDuration(arg)
		n.restartInterval, n.restartedAt, err = int64(d), s.Now, bad
	case "steady":
		n.restartInterval = 0
	case "clock":
		d, bad := time.ParseDuration(arg)
		n.clockOffset, err = n.clockOffset+int64(d), bad
	case "rate": // in parts per million
		var ppm int64
		ppm, err = strconv.ParseInt(arg, 10, 64)
		n.clockOffset = s.LocalTime(node) - s.Now - s.Now*ppm/1e6
		n.clockRatePPM = ppm
	default:
		return false, nil
	}
	return true, err
}

// cutLinks cuts the links from each node of one group to each node of another. Names have one letter each, or are
// separated by commas.
func (s *Simulation) cutLinks(from, to string) error {
	for _, x := range splitNames(from) {
		for _, y := range splitNames(to) {
			i, j := slices.Index(s.Names, x), slices.Index(s.Names, y)
			if i < 0 || j < 0 {
				return fmt.Errorf("no node %s or %s", x, y)
			}
			s.brokenLinks[[2]int{i, j}] = true
		}
	}
	return nil
}

func splitNames(s string) []string {
	if strings.Contains(s, ",") {
		return strings.Split(s, ",")
	}
	return strings.Split(s, "")
}

// render aligns cells in columns.
func render(rows [][]string) string {
	var widths []int
	for _, r := range rows {
		for i, c := range r {
			if i == len(widths) {
				widths = append(widths, 0)
			}
			if n := utf8.RuneCountInString(c); len(r) == len(rows[0]) || i == 0 {
				widths[i] = max(widths[i], n)
			}
		}
	}
	var b strings.Builder
	for _, r := range rows {
		line := ""
		for i, c := range r {
			line += c + strings.Repeat(" ", max(0, widths[i]-utf8.RuneCountInString(c))+2)
		}
		b.WriteString(strings.TrimRight(line, " ") + "\n")
	}
	return b.String()
}

// SideBySide puts two tables side by side, with a mark at each row that differs.
func SideBySide(got, want string) string {
	x := strings.Split(strings.TrimRight(got, "\n"), "\n")
	y := strings.Split(strings.TrimRight(want, "\n"), "\n")
	rows := [][]string{{" ", "got", "want"}}
	for i := range max(len(x), len(y)) {
		var a, b string
		if i < len(x) {
			a = x[i]
		}
		if i < len(y) {
			b = y[i]
		}
		mark := " "
		if strings.Join(strings.Fields(a), " ") != strings.Join(strings.Fields(b), " ") {
			mark = "*"
		}
		rows = append(rows, []string{mark, a, b})
	}
	return render(rows)
}
