// Package timeline plays runs that are drawn as text: one column a node, one row a moment. A cell says what
// befalls a node, or, with a question mark, what is to be seen there; played, the table comes back with what
// was seen in its place.
//
//	at    rig       a       b       c
//	0s    .         ask 9   ask 9   ask 9
//	3s    cut a|bc  has?    has?    has?
//
// Cells stand two spaces or more apart, `.` is an empty one, `; ` separates several in one. The column `rig`
// is for what befalls all.
//
// This file owns reading and drawing, and the verbs that any core understands. It must never know what the
// nodes settle among themselves (that is a Cluster's), nor use chance or time of its own.
package timeline

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

// Node is one process's core. Times are ns by its own clock.
type Node interface {
	Tick(now int64)
	Receive(from int, body []byte, now int64)
	Next() (to int, body []byte, ok bool)
}

// Cluster is what a core's test makes of nodes.
type Cluster interface {
	// Start begins a process in a place; life is later at each start.
	Start(place int, life uint64, now int64) Node
	// Do is what befalls a node (-1: all), in a word that the runner does not know.
	Apply(place int, verb string, args []string) error
	// See gives what is seen of a node (-1: of all).
	Observe(place int, what string) (string, error)
	// Live is called each ms: what clients do then, and what must hold. An error is drawn, and ends the run.
	Step() error
}

// Report is a run as it was.
type Report struct {
	Table string
	Err   error // what did not hold, or was not understood
}

type row struct {
	line  int
	at    int64
	cells []string
}

var cellSeparator = regexp.MustCompile(`\s{2,}`)

// read takes a drawn run apart.
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

// Names gives the nodes of a drawn run.
func Names(text string) ([]string, error) {
	names, _, err := parse(text)
	return names, err
}

// Play plays a drawn run; begin makes its cluster.
func Play(text string, seed uint64, begin func(w *Simulation) Cluster) (r Report) {
	names, rows, err := parse(text)
	if err != nil {
		return Report{text, err}
	}
	w := newSimulation(names, seed)
	w.cluster = begin(w)
	drawn := [][]string{append([]string{"at", "rig"}, names...)}
	for i := range names {
		w.Start(i)
	}
	for _, x := range rows {
		if r.Err = w.Run(x.at); r.Err != nil {
			drawn = append(drawn, []string{time.Duration(w.Now).String(), "! " + r.Err.Error()})
			break
		}
		out := []string{x.cells[0]}
		for i, cell := range x.cells[1:] {
			var said []string
			for _, word := range strings.Split(cell, "; ") {
				s, err := w.runCell(i-1, word)
				if err != nil {
					return Report{render(drawn), fmt.Errorf("line %d: %q: %w", x.line, word, err)}
				}
				said = append(said, s)
			}
			out = append(out, strings.Join(said, "; "))
		}
		drawn = append(drawn, out)
	}
	r.Table = render(drawn)
	return r
}

// cell does what one says, or looks.
func (w *Simulation) runCell(place int, word string) (string, error) {
	if word == "." {
		return word, nil
	}
	if what, ok := strings.CutSuffix(word, "?"); ok {
		return w.cluster.Observe(place, what)
	}
	f := strings.Fields(word)
	if done, err := w.inject(place, f[0], f[1:]); done || err != nil {
		return word, err
	}
	return word, w.cluster.Apply(place, f[0], f[1:])
}

var oneWay = regexp.MustCompile(`^(\S+)-x->(\S+)$`)

// befall is what any core understands.
func (w *Simulation) inject(place int, verb string, args []string) (done bool, err error) {
	arg := ""
	if len(args) > 0 {
		arg = args[len(args)-1]
	}
	if m := oneWay.FindStringSubmatch(verb); m != nil {
		return true, w.cutLinks(m[1], m[2])
	}
	if place < 0 {
		switch verb {
		case "cut":
			groups := strings.Split(arg, "|")
			for _, x := range groups {
				for _, y := range groups {
					if x != y && err == nil {
						err = w.cutLinks(x, y)
					}
				}
			}
			return true, err
		case "heal":
			clear(w.brokenLinks)
			return true, nil
		case "loss", "double", "garble", "late":
			w.probability[verb], err = strconv.ParseFloat(arg, 64)
			return true, err
		case "delay":
			d, err := time.ParseDuration(arg)
			w.maxDelay = int64(d)
			return true, err
		case "kill", "back":
			for i := range w.nodes {
				_, _ = w.inject(i, verb, nil)
			}
			return true, nil
		}
		return false, nil
	}
	n := &w.nodes[place]
	switch verb {
	case "kill":
		n.Node, n.stopped, n.queued, n.restartInterval = nil, false, nil, 0
	case "back":
		w.Start(place)
	case "stop":
		if n.datagramsUntilStop = 0; len(args) > 0 { // after so many more datagrams, heard or sent
			n.datagramsUntilStop, err = strconv.Atoi(arg)
		} else {
			n.stopped = true
		}
	case "wake":
		n.datagramsUntilStop = 0
		w.resume(place)
	case "flap":
		d, bad := time.ParseDuration(arg)
		n.restartInterval, n.restartedAt, err = int64(d), w.Now, bad
	case "steady":
		n.restartInterval = 0
	case "clock":
		d, bad := time.ParseDuration(arg)
		n.clockOffset, err = n.clockOffset+int64(d), bad
	case "rate": // millionths
		var ppm int64
		ppm, err = strconv.ParseInt(arg, 10, 64)
		n.clockOffset = w.LocalTime(place) - w.Now - w.Now*ppm/1e6
		n.clockRatePPM = ppm
	default:
		return false, nil
	}
	return true, err
}

// cut cuts the way from each of some nodes to each of others; names are one letter each, or stand with commas
// between them.
func (w *Simulation) cutLinks(from, to string) error {
	for _, x := range splitNames(from) {
		for _, y := range splitNames(to) {
			i, j := slices.Index(w.Names, x), slices.Index(w.Names, y)
			if i < 0 || j < 0 {
				return fmt.Errorf("no node %s or %s", x, y)
			}
			w.brokenLinks[[2]int{i, j}] = true
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

// render sets cells in columns.
func render(rows [][]string) string {
	var wide []int
	for _, r := range rows {
		for i, c := range r {
			if i == len(wide) {
				wide = append(wide, 0)
			}
			if n := utf8.RuneCountInString(c); len(r) == len(rows[0]) || i == 0 {
				wide[i] = max(wide[i], n)
			}
		}
	}
	var b strings.Builder
	for _, r := range rows {
		line := ""
		for i, c := range r {
			line += c + strings.Repeat(" ", max(0, wide[i]-utf8.RuneCountInString(c))+2)
		}
		b.WriteString(strings.TrimRight(line, " ") + "\n")
	}
	return b.String()
}

// Beside sets two drawn runs side by side, with a mark at each row that differs.
func SideBySide(was, wanted string) string {
	x := strings.Split(strings.TrimRight(was, "\n"), "\n")
	y := strings.Split(strings.TrimRight(wanted, "\n"), "\n")
	rows := [][]string{{" ", "as it was", "as it was wanted"}}
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
