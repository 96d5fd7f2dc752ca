package quota

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// Runs as text: one column per member, one row per time in seconds. The table below ---- is the result, each cell with
// what was observed. With -rewrite the files are rewritten.
//
//	own               starts a term with this member as the owner
//	kill, back [n]    kills the process; restarts it with its file as it was n writes ago
//	pause, wake       stops it as SIGSTOP does; resumes it
//	cut bc, cut> bc   drops messages between it and b and c in both directions; only from it to them
//	heal              ends all cuts
//	clock +90s        sets the deviation of its wall clock from true time
//	amount 5          gives the owner here a later version of the quota
//	anew              resets this voter as operators do, see ResetVoter
//	want 5 [w7] [k3]  clients send reqs until the next row until 5 are admitted, of value 7, retries of key 3
//	greedy 1000       adds this much to its demand at each step
//	end, never        ends all dispatches here: they ran, or are known never to have run
//	?                 shows what it holds, and for an owner its phase and what is charged of what is allowed
func TestTimelines(t *testing.T) {
	datadriven.Walk(t, "testdata/timelines", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd != "play" {
				d.Fatalf(t, "unknown command %s", d.Cmd)
			}
			return newTimeline(t, d).play(d.Input)
		})
	})
}

type timeline struct {
	t           *testing.T
	w           *world
	wants       []want
	extraDemand []int64
	edition     uint64
}

type want struct {
	n, got, denied int
	wait           int64
	r              Req
	key            uint64
}

func newTimeline(t *testing.T, d *datadriven.TestData) *timeline {
	q, tt, places := minuteQuota(12), testConfig(), 3
	began := int64(1_800_000_050)
	zone, kind, double, late := "UTC", Minute, 0.0, int64(5)
	for _, a := range d.CmdArgs {
		n, _ := strconv.ParseInt(a.Vals[0], 10, 64)
		switch a.Key {
		case "amount":
			q.Amount = n
		case "slice":
			q.MaxUnspent = n
		case "ahead":
			q.WriteAhead = n
		case "carry":
			q.MaxCarry = n
		case "reserve":
			q.Reserve, q.ReserveFrom = n, 7
		case "release":
			q.ReserveRelease = n * second
		case "ramp":
			q.Ramp = n * second
		case "burst":
			q.Burst = n
		case "places":
			places = int(n)
		case "old":
			tt.MaxRolledBack = int(n)
		case "seal":
			tt.SealAfter = n * second
		case "double":
			double = float64(n) / 100
		case "late":
			late = n
		case "zone":
			zone = a.Vals[0]
		case "kind":
			kind = map[string]Kind{"hour": Hour, "day": Day, "month": Month, "sliding": Sliding}[a.Vals[0]]
		case "began":
			at, err := time.Parse(time.RFC3339, a.Vals[0])
			if err != nil {
				d.Fatalf(t, "%v", err)
			}
			began = at.Unix()
		default:
			d.Fatalf(t, "unknown setting %s", a.Key)
		}
	}
	c, err := NewCalendar(kind, zone, 20*second, 4)
	if err != nil {
		d.Fatalf(t, "%v", err)
	}
	q.Calendar = c
	w := newWorld(q, tt, places, 1)
	w.startUnix, w.double, w.delay = began*second, double, late*ms
	return &timeline{t: t, w: w, wants: make([]want, places), extraDemand: make([]int64, places), edition: 1}
}

func (l *timeline) play(input string) string {
	var rows [][]string
	for line := range strings.Lines(input) {
		cells := strings.Split(line, "|")
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		rows = append(rows, cells)
	}
	pending := make([]int, len(l.wants))
	for i, row := range rows {
		if i == 0 {
			continue
		}
		at, err := strconv.ParseFloat(row[0], 64)
		if err != nil {
			l.t.Fatalf("row %q: %v", row, err)
		}
		l.runUntil(int64(at * float64(second)))
		l.recordResults(rows, pending)
		for p, cell := range row[1:] {
			var out []string
			for do := range strings.SplitSeq(cell, ";") {
				if do = strings.TrimSpace(do); do != "" {
					out = append(out, l.do(p, strings.Fields(do)))
				}
			}
			row[p+1] = strings.Join(out, "; ")
			if l.wants[p].n > 0 {
				pending[p] = i
			}
		}
	}
	l.runUntil(l.w.now + 2*second)
	l.recordResults(rows, pending)
	return drawTable(rows) + l.total()
}

// runUntil advances the time; at each step clients send the reqs still wanted.
func (l *timeline) runUntil(at int64) {
	for l.w.now+l.w.tick <= at {
		l.w.step(0)
		for p := range l.wants {
			x, was := &l.wants[p], l.w.procs[p].served
			if h := l.w.procs[p].holder; l.extraDemand[p] > 0 {
				h.tokens.demanded[0].Add(l.extraDemand[p])
			}
			for x.n > x.got && l.w.procs[p].up && !l.w.procs[p].paused {
				l.w.sendReqs(p, 1, x.r, 1000*second, x.key)
				if l.w.procs[p].served == was {
					x.denied++
					x.wait = l.w.procs[p].lastDecision.RetryAfter
					break
				}
				was++
				x.got++
			}
		}
	}
}

// recordResults adds to each "want" cell how many reqs were admitted.
func (l *timeline) recordResults(rows [][]string, pending []int) {
	for p := range l.wants {
		x := &l.wants[p]
		if x.n > 0 {
			cell := &rows[pending[p]][p+1]
			saw := fmt.Sprintf("want %d: %d", x.n, x.got)
			if x.got < x.n && x.denied > 0 {
				saw += fmt.Sprintf(", wait %.0fs", float64(x.wait)/float64(second))
			}
			*cell = strings.Replace(*cell, fmt.Sprintf("want %d", x.n), saw, 1)
		}
		*x = want{}
	}
}

func (l *timeline) do(p int, words []string) string {
	w := l.w
	node := w.procs[p]
	var arg string
	if len(words) > 1 {
		arg = words[1]
	}
	number, _ := strconv.ParseInt(arg, 10, 64)
	switch words[0] {
	case "own":
		w.own(p)
	case "kill":
		w.kill(p)
	case "back":
		w.back(p, int(number))
	case "pause":
		node.paused = true
	case "wake":
		node.paused = false
	case "heal":
		w.heal()
	case "cut", "cut>":
		for _, other := range arg {
			w.cut[p][int(other-'a')] = true
			w.cut[int(other-'a')][p] = words[0] == "cut"
		}
	case "clock":
		d, err := time.ParseDuration(strings.TrimPrefix(arg, "+"))
		if err != nil {
			l.t.Fatal(err)
		}
		node.clockOffset = int64(d)
	case "amount":
		l.edition++
		q := w.quota
		q.Amount, q.Version = number, l.edition
		w.send(p, node.owner.Configure(q, w.now, w.wall(node)))
	case "anew":
		node.voter = ResetVoter(w.quota, 100, w.wall(node))
		w.term = 100
		w.write(node)
	case "greedy":
		l.extraDemand[p] = number
	case "want":
		x := &l.wants[p]
		*x = want{n: int(number), r: Req{Cost: 1, Value: 1}}
		for _, word := range words[2:] {
			n, _ := strconv.ParseInt(word[1:], 10, 64)
			if word[0] == 'w' {
				x.r.Value = n
			} else {
				x.key = uint64(n)
			}
		}
	case "end", "never":
		for i := range node.dispatches {
			node.dispatches[i].at = w.now
		}
		never := 0.0
		if words[0] == "never" {
			never = 1
		}
		w.end(node, never)
	case "?":
		return l.describe(p)
	default:
		l.t.Fatalf("unknown cell %q", words)
	}
	return strings.Join(words, " ")
}

func (l *timeline) describe(p int) string {
	node, w := l.w.procs[p], l.w
	if !node.up {
		return "? down"
	}
	left := node.holder.left()
	s := fmt.Sprintf("? has %d", left[0])
	if left[1] > 0 {
		s += fmt.Sprintf("+%d", left[1])
	}
	if node.holder.validUntil <= w.now {
		s += " ended"
	}
	if o := node.owner; o != nil {
		st := o.Status(w.now, w.wall(node))
		names := [...]string{"reading", "granting", "lost", "deposed"}
		s += fmt.Sprintf(", %s %d/%d", names[st.Phase], st.Charged, st.Allowed)
		if st.InDoubt > 0 {
			s += fmt.Sprintf(", %d voters in doubt", st.InDoubt)
		}
		if st.ClockMismatch {
			s += ", clocks differ"
		}
	}
	if self, off := node.clocks.Judge(w.now, w.wall(node)); self {
		s += ", own clock off"
	} else if len(off) > 0 {
		s += ", off:"
		for _, x := range off {
			s += " " + string(rune('a'+x))
		}
	}
	return s
}

func (l *timeline) total() string {
	var b strings.Builder
	for at := l.w.startUnix - 3600*24*31*second; at <= l.w.startUnix+l.w.now; {
		start, end := l.w.quota.Calendar.At(at)
		if n, ran := l.w.ran[start]; ran {
			from, to := time.Unix(0, start).UTC(), time.Unix(0, end).UTC()
			fmt.Fprintf(&b, "ran %d in %s to %s\n", n, from.Format(time.RFC3339), to.Format(time.RFC3339))
		}
		at = end
	}
	if bad := l.w.violation(); bad != "" {
		fmt.Fprintf(&b, "over: %s\n", bad)
	}
	return b.String()
}

func drawTable(rows [][]string) string {
	wide := map[int]int{}
	for _, row := range rows {
		for i, cell := range row {
			wide[i] = max(wide[i], len(cell))
		}
	}
	var b strings.Builder
	for _, row := range rows {
		var line strings.Builder
		for i, cell := range row {
			if i > 0 {
				line.WriteString(" | ")
			}
			fmt.Fprintf(&line, "%-*s", wide[i], cell)
		}
		b.WriteString(strings.TrimRight(line.String(), " ") + "\n")
	}
	return b.String()
}
