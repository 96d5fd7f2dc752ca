package lease

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"ivybank/internal/rng"
	"ivybank/rehearse/timeline"
)

const fleetName = 7

// process is one member in a run: its datagrams as bytes, and what a flawed build or a liar makes of them.
type process struct {
	*Member
	claim int // what it wants, and says that it holds, is multiplied; 0: it is honest
	flaw  flaw
	asks  float64 // units of demand
	due   float64
	let   int
	tried int
	sent  int // datagrams
}

// flaw is a faulty build, made for the judges to catch.
type flaw int

const (
	sound       flaw = iota
	unfenced         // the owner does not look whether it still is one
	fromReceipt      // a lease counts from when its grant came
	fresh            // what an earlier life holds is forgotten
)

func (p *process) Receive(from int, body []byte, now int64) {
	d, err := Decode(fleetName, body)
	if err == nil && d.From == from {
		p.hears(from, &d, now)
	}
}

func (p *process) hears(from int, d *Datagram, now int64) {
	for i := range d.Items {
		it := &d.Items[i]
		l := p.limits[0]
		switch {
		case p.flaw == fromReceipt && it.Kind == Grant:
			l.hold.sent = now
		case p.flaw == fresh && it.Kind == Ask && l.own != nil && l.own.who[from].life < d.Life:
			l.own.who[from] = holding{}
		}
	}
	p.Member.Receive(d, now)
}

func (p *process) Tick(now int64) {
	for _, l := range p.limits {
		for i := range l.bid.oks {
			if p.flaw == unfenced && l.own != nil {
				l.bid.oks[i] = now
			}
		}
	}
	p.Member.Tick(now)
}

func (p *process) Next() (to int, body []byte, ok bool) {
	to, d, ok := p.Member.NextDatagram()
	for i := range d.Items {
		if it := &d.Items[i]; it.Kind == Ask && p.claim > 0 {
			it.Want, it.Use = it.Want*p.claim, it.Use*p.claim
		}
	}
	if ok {
		p.sent++
		body, _ = Encode(fleetName, &d)
	}
	return to, body, ok
}

// world is a fleet with one limit, and the judges: what may be in use at each moment, and what the stand-ins
// count.
type world struct {
	*timeline.Simulation
	limit Limit
	flaw  flaw
	drift int64
	procs []*process
	runs  [][]run // Flight, by place: reqs at servers, emptied as they end

	runFor   int64
	dice     *rng.Source // nil: reqs come evenly; else by chance
	level    float64     // of a bucket with the limit's rate and size: below 0 the stand-ins saw too much
	seen     int64
	lowered  int64 // until then leases of a higher limit may be out
	was      int
	most     int // units in force, and by how many the bound was passed
	over     int
	admitted int
}

type run struct {
	p    *process
	end  int64
	done bool // at the server; its proxy does not know yet
}

func newWorld(w *timeline.Simulation, limit Limit, drift int64, f flaw) *world {
	n := len(w.Names)
	return &world{Simulation: w, limit: limit, drift: drift, flaw: f, procs: make([]*process, n),
		runs: make([][]run, n), level: float64(limit.Units), runFor: 300 * ms}
}

func (w *world) Start(place int, life uint64, now int64) timeline.Node {
	p := &process{flaw: w.flaw}
	if old := w.procs[place]; old != nil {
		p.asks, p.claim, p.let, p.tried = old.asks, old.claim, old.let, old.tried
	}
	of := len(w.Names)
	p.Member = New(Config{Index: place, Members: of, Voters: min(3, of), Incarnation: life, Seed: 1, DriftPPM: w.drift,
		Limits: []Limit{w.limit}}, now)
	w.procs[place] = p
	return p
}

func (w *world) Apply(place int, verb string, args []string) error {
	if verb == "leave" && place >= 0 {
		w.procs[place].Leave(w.LocalTime(place))
		return nil
	}
	if len(args) != 1 {
		return errors.New("expected one number")
	}
	n, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	if verb == "runs" { // ms
		w.runFor = int64(n) * ms
		return nil
	}
	for i, p := range w.procs {
		if place >= 0 && i != place {
			continue
		}
		switch verb {
		case "ask":
			p.asks = float64(n)
		case "claim":
			p.claim = n
		case "limit":
			if p.Member.limits[0].Units > n {
				w.was, w.lowered = w.limit.Units, w.Now+p.lasts(w.limit.LeaseDuration)
			}
			x := w.limit
			x.Units = n
			p.Member.SetLimits([]Limit{x}, w.LocalTime(i))
		default:
			return errors.New("no such verb")
		}
	}
	if verb == "limit" {
		w.limit.Units = n
	}
	return nil
}

// force is what may be in use in a place now.
func (w *world) force(place int) int {
	p, now := w.procs[place], w.LocalTime(place)
	l := p.limits[0]
	x := l.hold.line
	fresh := now - p.tick.Load()
	n := 0
	if w.Node(place) != nil && fresh >= 0 && fresh <= stale && now < x.until.Load() {
		n = int(x.units.Load())
	}
	if l.Kind == InFlight {
		at := 0
		for _, r := range w.runs[place] {
			if !r.done {
				at++
			}
		}
		n = max(n, at)
	}
	return n
}

func (w *world) sum() (n int) {
	for i := range w.procs {
		n += w.force(i)
	}
	return n
}

// bound is how much may be in force now.
func (w *world) bound() int {
	n := w.limit.Units
	if w.Now < w.lowered {
		n = max(n, w.was)
	}
	return n + w.limit.MaxExcess(len(w.Names))
}

// Live has clients ask, and judges.
func (w *world) Step() error {
	rate := float64(w.limit.Units) / float64(max(1, w.limit.Period))
	w.level = min(float64(w.limit.Units), w.level+rate*float64(w.Now-w.seen))
	for i, p := range w.procs {
		for j := range w.runs[i] {
			r := &w.runs[i][j]
			if r.done = w.Now >= r.end; r.done && !(w.Stopped(i) && r.p == p) {
				r.p.Limiter().Done(Scope{})
				r.p = nil
			}
		}
		w.runs[i] = slices.DeleteFunc(w.runs[i], func(r run) bool { return r.p == nil })
		if w.Node(i) == nil || w.Stopped(i) {
			continue
		}
		if w.limit.Kind == InFlight {
			if n := p.asks - float64(len(w.runs[i])); n > 0 && w.Now/ms%10 == 0 {
				p.due = n
			}
		} else if w.dice != nil {
			if w.dice.Next() < p.asks*float64(w.Now-w.seen)/float64(w.limit.Period) {
				p.due = 1
			}
		} else {
			p.due += p.asks * float64(w.Now-w.seen) / float64(w.limit.Period)
		}
		for ; p.due >= 1; p.due-- {
			p.tried++
			if ok, _ := p.Limiter().Admit(Scope{}, w.LocalTime(i)); ok {
				p.let++
				w.admitted++
				w.level--
				if w.limit.Kind == InFlight {
					w.runs[i] = append(w.runs[i], run{p: p, end: w.Now + w.runFor})
				}
			}
		}
	}
	w.seen = w.Now
	sum := w.sum()
	w.most = max(w.most, sum)
	if over := sum - w.bound(); over > 0 {
		w.over = max(w.over, over)
		return fmt.Errorf("%d in force of %d", sum, w.bound())
	}
	// The stand-ins' own count; a limit that was just lowered and one that is bounded have more in force by
	// their word.
	if w.limit.Kind == Rate && w.limit.Strict && w.Now >= w.lowered && w.lowered == 0 && w.level < -1e-6 {
		return fmt.Errorf("%.2f reqs too many at the servers", -w.level)
	}
	return nil
}

func (w *world) Observe(place int, what string) (string, error) {
	if place < 0 {
		switch what {
		case "sum":
			return fmt.Sprintf("sum %d of %d", w.sum(), w.limit.Units), nil
		case "most":
			return fmt.Sprintf("most %d, bound %d", w.most, w.bound()), nil
		case "let":
			n := w.admitted
			w.admitted = 0
			return fmt.Sprintf("let %d", n), nil
		}
		return "", errors.New("nothing to be seen")
	}
	p, l := w.procs[place], w.procs[place].limits[0]
	switch what {
	case "has":
		return fmt.Sprintf("has %d", w.force(place)), nil
	case "owner":
		if l.hold.owner < 0 {
			return "owner none", nil
		}
		return "owner " + w.Names[l.hold.owner], nil
	case "owns":
		return fmt.Sprintf("owns %v", p.owns(l, w.LocalTime(place))), nil
	case "served":
		let, tried := p.let, p.tried
		p.let, p.tried = 0, 0
		switch {
		case tried == 0:
			return "nothing asked", nil
		case let == 0:
			return "denied", nil
		case let == tried:
			return "served", nil
		}
		return "served in part", nil
	}
	return "", errors.New("nothing to be seen")
}

// A line in a file names the limit: play units=9 strict; or floor=1; kind=flight; per=250 (ms); lease=2000
// (ms); drift=100; seed=1.
func TestTimelines(t *testing.T) {
	datadriven.Walk(t, "testdata/timelines", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			x, drift, seed := terms(t, d)
			r := timeline.Play(d.Input, seed, func(w *timeline.Simulation) timeline.Cluster {
				return newWorld(w, x, drift, sound)
			})
			if r.Err != nil && !strings.Contains(r.Table, "! ") {
				t.Fatal(r.Err)
			}
			if r.Err != nil {
				t.Errorf("%s: %v\n%s", d.Pos, r.Err, r.Table)
			}
			if r.Table != d.Expected && !d.Rewrite {
				t.Errorf("%s\n%s", d.Pos, timeline.SideBySide(r.Table, d.Expected))
			}
			return r.Table
		})
	})
}

func terms(t *testing.T, d *datadriven.TestData) (x Limit, drift int64, seed uint64) {
	num := func(key string, or int64) int64 {
		for _, a := range d.CmdArgs {
			if a.Key == key && len(a.Vals) == 1 {
				n, err := strconv.ParseInt(a.Vals[0], 10, 64)
				if err != nil {
					t.Fatal(err)
				}
				return n
			}
		}
		return or
	}
	x = Limit{Name: "one", Units: int(num("units", 9)), Period: num("per", 250) * ms, Strict: d.HasArg("strict"),
		LeaseDuration: num("lease", 2000) * ms,
		Floor:         int(num("floor", 0)), MaxRequestDuration: num("linger", 1000) * ms}
	if d.HasArg("flight") {
		x.Kind, x.Period = InFlight, 0
	}
	return x, num("drift", 100), uint64(num("seed", 1))
}
