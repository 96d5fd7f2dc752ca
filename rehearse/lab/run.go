package lab

// This file owns the playing of an experiment in virtual time: each seed with each variant in turn, and what is measured. It must
// never let one run look at another.

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ivybank/balance"
	"ivybank/conf"
	"ivybank/fleet"
	"ivybank/rehearse/emu"
)

// Figures are what came of one run.
type Figures struct {
	Seed    uint64
	Variant string

	Asks, Done, Denied, Aborted, Unanswered int
	Service                                 float64 // value answered within the response target, of the value asked for
	P50, P90, P99                           float64 // milliseconds, of those done
	Tries                                   float64 // of an ask, its client's retries included
	Begun                                   int     // executions at servers
	Breaches                                [5]int  // of each rule, by the servers' and clients' evidence
	Strain                                  float64 // the most offered to a cold server, of what pushes it over
	Notes                                   []string
	Hash                                    string // of all decisions; sockets: none
	Line                                    []float64
	Events                                  int           // of the virtual clock
	Wall                                    time.Duration // that it took
	Late                                    float64       // milliseconds: how late the load generator was, 99 in 100; 0 in virtual time
	Unusable                                string        // why the machine could not keep up, empty where it could
	Problems                                int           // bad rows of a trace

	Sends      int            // dispatches that came to servers
	Dispatched int            // reqs, each try of a client one, of which a dispatch came
	Best       float64        // service of the best cut, by what the servers can do
	Inverted   float64        // part of asks that were denied while a lesser one that came in the same 100 ms was done
	Recovered  float64        // seconds from the end of the last surge to 0.95 of the service before the first; 0: no surge; -1: never
	Probes     map[string]int // by server
	Peers      []PeerCount    // datagrams by proxy
	Views      []View
	Processor  float64            // seconds that all proxies used, where none was started again
	Crashes    int                // proxies that have ended by themselves
	Quarters   []float64          // service by quarters of a second
	Return     *Return            // nil: nobody was killed
	Worst      float64            // service of the worst 5 s after the warm-up
	Plan       *PlanFigures       // nil: nothing was done to servers
	Classes    map[string]float64 // service by rule set
	Limits     []OverLimit        // of the fleet, of a rate
}

// measure gathers results into figures.
type measure struct {
	e           *Experiment
	figures     *Figures
	took        *hdrhistogram.Histogram
	good, asked float64
	tries       int
	line        [][2]float64 // value answered in time and asked for, by second
	quarters    worth        // the same by quarters of a second,
	seats       []worth      // and by proxy
	windows     []window     // by 100 ms
	classes     map[string][2]float64
}

// window is what came in one tenth of a second.
type window struct {
	done   float64   // least value that was done
	any    bool      // one was done
	denied []float64 // values that were denied
	asked  []float64
}

func newMeasure(e *Experiment, f *Figures) *measure {
	return &measure{e: e, figures: f, took: hdrhistogram.New(1, 600e6, 3), classes: map[string][2]float64{}, seats: make([]worth, max(1, e.Fleet.Balancers))}
}

// add takes what became of one ask.
func (m *measure) add(r emu.Result) {
	value, target := 1.0, int64(0)
	for _, x := range m.e.RuleSets {
		if x.Name == r.RuleSet {
			value, target = x.Value, int64(x.Target)
		}
	}
	intime := 0.0
	if r.Kind == emu.Done && r.Latency <= target {
		intime = value
	}
	second := int(r.At / 1e9)
	for len(m.line) <= second {
		m.line = append(m.line, [2]float64{})
	}
	tenth := int(r.At / 100e6)
	for len(m.windows) <= tenth {
		m.windows = append(m.windows, window{})
	}
	m.quarters.add(r.At, intime, value)
	m.seats[r.Balancer%len(m.seats)].add(r.At, intime, value)
	w := &m.windows[tenth]
	w.asked = append(w.asked, value)
	switch {
	case r.Kind == emu.Denied:
		w.denied = append(w.denied, value)
	case r.Kind == emu.Done && (!w.any || value < w.done):
		w.any, w.done = true, value
	}
	m.line[second][0] += intime
	m.line[second][1] += value
	if r.At < int64(m.e.Warm) {
		return
	}
	c := m.classes[r.RuleSet]
	m.classes[r.RuleSet] = [2]float64{c[0] + intime, c[1] + value}
	f := m.figures
	f.Asks++
	m.tries += r.Attempts
	m.good, m.asked = m.good+intime, m.asked+value
	switch r.Kind {
	case emu.Done:
		f.Done++
		_ = m.took.RecordValue(max(1, r.Latency/1e3))
	case emu.Denied:
		f.Denied++
	case emu.Aborted:
		f.Aborted++
	default:
		f.Unanswered++
	}
}

// close works the figures out.
func (m *measure) close(j *emu.Checker) {
	f := m.figures
	if m.asked > 0 {
		f.Service = m.good / m.asked
	}
	if f.Asks > 0 {
		f.Tries = float64(m.tries) / float64(f.Asks)
	}
	for _, x := range []struct {
		to *float64
		at float64
	}{{&f.P50, 50}, {&f.P90, 90}, {&f.P99, 99}} {
		*x.to = float64(m.took.ValueAtPercentile(x.at)) / 1e3
	}
	for _, x := range m.line {
		part := 0.0
		if x[1] > 0 {
			part = x[0] / x[1]
		}
		f.Line = append(f.Line, part)
	}
	for _, x := range m.quarters {
		f.Quarters = append(f.Quarters, x[0]/max(1e-9, x[1]))
	}
	m.inversions()
	f.Best = m.best()
	f.Classes = map[string]float64{}
	for name, x := range m.classes {
		f.Classes[name] = x[0] / max(1e-9, x[1])
	}
	f.Recovered = m.recovered()
	f.Return = m.returned()
	f.Worst = 1
	for q := int(int64(m.e.Warm) / quarter); q+20 <= len(m.quarters); q++ {
		f.Worst = min(f.Worst, m.quarters.mean(q, q+20))
	}
	f.Breaches, f.Strain, f.Notes, f.Begun = j.Violations, j.MaxOverload, j.Notes, j.ExecutionCount
}

// inversions counts who was denied while a lesser one was done.
func (m *measure) inversions() {
	inverted, asks := 0, 0
	for _, w := range m.windows {
		asks += len(w.asked)
		for _, v := range w.denied {
			if w.any && v > w.done {
				inverted++
			}
		}
	}
	m.figures.Inverted = float64(inverted) / float64(max(1, asks))
}

// best is what a cut would serve that knows what comes in each second and what the servers can do: the most worth first. Without a
// cache of keys, as that makes what they can do depend on who asks.
func (m *measure) best() float64 {
	can := 0.0 // reqs a second
	for _, x := range m.e.Fleet.Machines {
		can += float64(x.Count*x.Cores) * x.Speed * 1e9 / max(1, float64(m.e.Load.Work))
	}
	good, all := 0.0, 0.0
	for from := 0; from < len(m.windows); from += 10 {
		var asked []float64
		for _, w := range m.windows[from:min(len(m.windows), from+10)] {
			asked = append(asked, w.asked...)
		}
		if int64(from)*100e6 < int64(m.e.Warm) {
			continue
		}
		slices.SortFunc(asked, func(x, y float64) int { return cmp.Compare(y, x) })
		for i, v := range asked {
			if all += v; float64(i) < can {
				good += v
			}
		}
	}
	return good / max(1e-9, all)
}

// recovered is how long after the last surge the service of a second is again 0.95 of that before the first one.
func (m *measure) recovered() float64 {
	first, last := int64(math.MaxInt64), int64(0)
	for _, x := range m.e.Faults {
		if x.Kind == "surge" {
			first, last = min(first, int64(x.At)), max(last, int64(x.At+x.For))
		}
	}
	if last == 0 {
		return 0
	}
	mean := m.quarters.mean
	calm := mean(int(int64(m.e.Warm)/250e6), int(first/250e6))
	for q := int(last / 250e6); q < len(m.quarters); q++ {
		if mean(q, q+4) >= 0.95*calm {
			return float64(q)/4 - float64(last)/1e9
		}
	}
	return -1
}

// virtual plays one run in virtual time.
func virtual(e *Experiment, v Variant, seed uint64, policy func(t balance.Config, now int64) emu.Policy, p *Problems) (*Figures, error) {
	begun := time.Now()
	clock := emu.NewVirtualClock(1e12)
	fleet := emu.NewFleet(clock, seed, e.nature(), e.wire(), e.machines(), int64(e.Fleet.Grace))
	if policy == nil {
		policy = newPolicy(v.Policy, fleet)
	}
	f := &Figures{Seed: seed, Variant: v.Name}
	m := newMeasure(e, f)
	zones := make([]string, e.Fleet.Balancers)
	for i := range zones {
		zones[i] = e.zone(i)
	}
	seats := emu.NewBalancers(fleet, clock, zones, e.terms(), e.clients(), seed, policy, m.add)
	peers, err := e.meet(v, seats, seed)
	if err != nil {
		return nil, err
	}
	if err := fleet.Schedule(e.faults()); err != nil {
		return nil, err
	}
	l, err := e.load(seed, p)
	if err != nil {
		return nil, err
	}
	defer l.close()
	start, end := clock.Now(), clock.Now()
	for {
		a, at, err := l.next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
		end = start + a.At
		clock.Run(end)
		seats.Arrive(at, a)
	}
	// Those that came last have their time, with all their clients' retries.
	clock.Run(end + int64(e.Load.Timeout)*int64(2+e.Load.Retries) + 1e9)
	fleet.Checker.CountUnanswered()
	m.close(fleet.Checker)
	f.Sends, f.Dispatched = seats.Dispatches, seats.DispatchedTries
	if peers != nil {
		f.Peers, f.Views = tell(peers, e.Fleet.Balancers, clock.Now())
	}
	f.Hash, f.Events, f.Wall, f.Problems = seats.Hash(), clock.Events, time.Since(begun), p.Count
	return f, nil
}

// meet has the balancers of a variant hear one another and keep what they learn, as its operator file says.
func (e *Experiment) meet(v Variant, s *emu.Balancers, seed uint64) (*emu.Peers, error) {
	if v.Operator == "" {
		return nil, nil
	}
	o, err := conf.LoadOperator(e.beside(v.Operator))
	if err != nil {
		return nil, err
	}
	if r := o.Recovery; r != nil && r.Folder != "" {
		s.EnableSnapshots(emu.SnapshotConfig{Interval: int64(r.SnapshotInterval), TrustPeriod: int64(r.MaxObservationAge)})
	}
	if o.Fleet == nil {
		return nil, nil
	}
	if o.Fleet.Limits != nil {
		return nil, fmt.Errorf("%s: fleet.limits: played in mode processes alone", v.Operator)
	}
	return s.ConnectPeers(seed, func(me, of int) fleet.Config {
		t := o.Fleet.MemberConfig(me, of, true)
		t.Learn = o.LearnConfig()
		return t
	}), nil
}

// tell gives what members have sent and what they see at the end.
func tell(p *emu.Peers, n int, now int64) (counts []PeerCount, views []View) {
	for i := range n {
		sent, bytes := p.SentTotals(i)
		counts = append(counts, PeerCount{Datagrams: sent, Bytes: bytes})
		views = append(views, viewOf(float64(now)/1e9, i, p.Fleet(i).Status(now)))
	}
	return counts, views
}

func (e *Experiment) load(seed uint64, p *Problems) (load, error) {
	if e.Trace == nil {
		return newGenerated(e, seed), nil
	}
	p.Most = e.Trace.Problems
	return newTraced(e, seed, p)
}

// Run plays all seeds with all variants in turn, so that what changes on the machine meanwhile meets all variants alike.
func Run(e *Experiment, say func(format string, a ...any)) ([]*Figures, error) {
	var all []*Figures
	for n, seed := range e.Seeds {
		for i := range e.Variants {
			v := e.Variants[(i+n)%len(e.Variants)] // no variant is always the first
			p := &Problems{Tell: func(what string) {
				if n == 0 && i == 0 { // the rows are the same each time
					say("%s", what)
				}
			}}
			var f *Figures
			var err error
			if e.Mode != "virtual" {
				f, err = sockets(e, v, seed, p)
			} else {
				f, err = virtual(e, v, seed, nil, p)
			}
			if err != nil {
				return all, fmt.Errorf("%s, seed %d, %s: %w", e.Name, seed, v.Name, err)
			}
			all = append(all, f)
			say("%s seed %d %-12s service %.3f  p50 %.0f ms  p99 %.0f ms  done %d  denied %d  aborted %d  breaches %v%s", e.Name, seed,
				v.Name, f.Service, f.P50, f.P99, f.Done, f.Denied, f.Aborted, f.Breaches[1:], map[bool]string{true: "  UNUSABLE: " + f.Unusable}[f.Unusable != ""])
			for _, note := range f.Notes {
				say("  %s", note)
			}
			for _, x := range f.Limits {
				say("  %s", x.said())
			}
			if f.Plan != nil {
				say("%s", f.Plan.said())
			}
		}
	}
	return all, nil
}
