package lab

// This file holds the execution of an experiment: each seed with each variant in turn, the runs in virtual time, and
// the figures measured. No run may depend on another.

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

// Figures are the results of one run.
type Figures struct {
	Seed    uint64
	Variant string

	Asks, Done, Denied, Aborted, Unanswered int
	Service                                 float64 // value answered within the response target, as a fraction of the value requested
	P50, P90, P99                           float64 // latency in milliseconds of the requests that were done
	Tries                                   float64 // mean attempts per request, including the client's retries
	Begun                                   int     // executions at servers
	Breaches                                [5]int  // violations of each rule, as seen by servers and clients
	Strain                                  float64 // highest load offered to a cold server, as a fraction of what overloads it
	Notes                                   []string
	Hash                                    string // hash of all decisions; empty in the sockets and processes modes
	Line                                    []float64
	Events                                  int           // events of the virtual clock
	Wall                                    time.Duration // real time that the run took
	Late                                    float64       // 99th percentile of the load generator's delay in milliseconds; 0 in virtual time
	Unusable                                string        // why the run does not count; empty if the machine kept up
	Problems                                int           // bad rows of a trace

	Sends      int            // dispatches that reached servers
	Dispatched int            // client attempts of which a dispatch reached a server
	Best       float64        // service of ideal load shedding, by the servers' capacity
	Inverted   float64        // fraction of requests denied while one of lower value that came in the same 100 ms was done
	Recovered  float64        // seconds from the end of the last surge to 0.95 of the service before the first; 0: no surge; -1: never
	Probes     map[string]int // by server
	Peers      []PeerCount    // datagrams sent, by proxy
	Views      []View
	Processor  float64            // processor seconds that all proxies used; valid if none was restarted
	Crashes    int                // proxies that ended by themselves
	Quarters   []float64          // service by quarters of a second
	Return     *Return            // nil: no proxy was killed
	Worst      float64            // lowest service in any 5 s after the warm-up
	Plan       *PlanFigures       // nil: no maintenance
	Classes    map[string]float64 // service by rule set
	Limits     []OverLimit        // results of the fleet's rate limits
}

// measure collects results into figures.
type measure struct {
	e           *Experiment
	figures     *Figures
	latencies   *hdrhistogram.Histogram
	good, asked float64
	tries       int
	perSecond   [][2]float64    // value answered in time and value requested, by second
	quarters    serviceSeries   // the same by quarter of a second
	byBalancer  []serviceSeries // the same by quarter of a second, for each balancer
	windows     []window        // by 100 ms
	classes     map[string][2]float64
}

// window holds the requests that came in one tenth of a second.
type window struct {
	done   float64   // lowest value of the requests that were done
	any    bool      // at least one was done
	denied []float64 // values of the requests that were denied
	asked  []float64
}

func newMeasure(e *Experiment, f *Figures) *measure {
	return &measure{e: e, figures: f, latencies: hdrhistogram.New(1, 600e6, 3), classes: map[string][2]float64{}, byBalancer: make([]serviceSeries, max(1, e.Fleet.Balancers))}
}

// add records the result of one request.
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
	for len(m.perSecond) <= second {
		m.perSecond = append(m.perSecond, [2]float64{})
	}
	tenth := int(r.At / 100e6)
	for len(m.windows) <= tenth {
		m.windows = append(m.windows, window{})
	}
	m.quarters.add(r.At, intime, value)
	m.byBalancer[r.Balancer%len(m.byBalancer)].add(r.At, intime, value)
	w := &m.windows[tenth]
	w.asked = append(w.asked, value)
	switch {
	case r.Kind == emu.Denied:
		w.denied = append(w.denied, value)
	case r.Kind == emu.Done && (!w.any || value < w.done):
		w.any, w.done = true, value
	}
	m.perSecond[second][0] += intime
	m.perSecond[second][1] += value
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
		_ = m.latencies.RecordValue(max(1, r.Latency/1e3))
	case emu.Denied:
		f.Denied++
	case emu.Aborted:
		f.Aborted++
	default:
		f.Unanswered++
	}
}

// close computes the figures.
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
		*x.to = float64(m.latencies.ValueAtPercentile(x.at)) / 1e3
	}
	for _, x := range m.perSecond {
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
	f.Best = m.bestService()
	f.Classes = map[string]float64{}
	for name, x := range m.classes {
		f.Classes[name] = x[0] / max(1e-9, x[1])
	}
	f.Recovered = m.recovered()
	f.Return = m.restartFigures()
	f.Worst = 1
	for q := int(int64(m.e.Warm) / quarterNs); q+20 <= len(m.quarters); q++ {
		f.Worst = min(f.Worst, m.quarters.mean(q, q+20))
	}
	f.Breaches, f.Strain, f.Notes, f.Begun = j.Violations, j.MaxOverload, j.Notes, j.ExecutionCount
}

// inversions counts the requests that were denied while one of lower value was done.
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

// bestService returns the service of ideal load shedding, which knows the requests of each second and the capacity of
// the servers and serves the highest values first. It ignores the key cache, which makes capacity depend on the keys
// requested.
func (m *measure) bestService() float64 {
	can := 0.0 // capacity in requests per second
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

// recovered returns how many seconds after the last surge the service over a second is again 0.95 of that before the
// first surge; 0 without a surge, -1 if it never recovers.
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

// runVirtual executes one run in virtual time.
func runVirtual(e *Experiment, v Variant, seed uint64, policy func(t balance.Config, now int64) emu.Policy, p *Problems) (*Figures, error) {
	begun := time.Now()
	clock := emu.NewVirtualClock(1e12)
	fleet := emu.NewFleet(clock, seed, e.serverParams(), e.network(), e.machines(), int64(e.Fleet.Grace))
	if policy == nil {
		policy = newPolicy(v.Policy, fleet)
	}
	f := &Figures{Seed: seed, Variant: v.Name}
	m := newMeasure(e, f)
	zones := make([]string, e.Fleet.Balancers)
	for i := range zones {
		zones[i] = e.zone(i)
	}
	balancers := emu.NewBalancers(fleet, clock, zones, e.balanceConfig(), e.clientConfig(), seed, policy, m.add)
	peers, err := e.connectBalancers(v, balancers, seed)
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
		balancers.Arrive(at, a)
	}
	// Let the last requests finish, with all their clients' retries.
	clock.Run(end + int64(e.Load.Timeout)*int64(2+e.Load.Retries) + 1e9)
	fleet.Checker.CountUnanswered()
	m.close(fleet.Checker)
	f.Sends, f.Dispatched = balancers.Dispatches, balancers.DispatchedTries
	if peers != nil {
		f.Peers, f.Views = peerFigures(peers, e.Fleet.Balancers, clock.Now())
	}
	f.Hash, f.Events, f.Wall, f.Problems = balancers.Hash(), clock.Events, time.Since(begun), p.Count
	return f, nil
}

// connectBalancers connects the balancers of a variant as peers and enables their snapshots, as its operator file says.
func (e *Experiment) connectBalancers(v Variant, s *emu.Balancers, seed uint64) (*emu.Peers, error) {
	if v.Operator == "" {
		return nil, nil
	}
	o, err := conf.LoadOperator(e.resolvePath(v.Operator))
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
		return nil, fmt.Errorf("%s: fleet.limits: supported in mode processes only", v.Operator)
	}
	return s.ConnectPeers(seed, func(me, of int) fleet.Config {
		t := o.Fleet.MemberConfig(me, of, true)
		t.Learn = o.LearnConfig()
		return t
	}), nil
}

// peerFigures returns what the fleet's members have sent and their views at the end.
func peerFigures(p *emu.Peers, n int, now int64) (counts []PeerCount, views []View) {
	for i := range n {
		sent, bytes := p.SentTotals(i)
		counts = append(counts, PeerCount{Datagrams: sent, Bytes: bytes})
		views = append(views, viewOf(float64(now)/1e9, i, p.Fleet(i).Status(now)))
	}
	return counts, views
}

func (e *Experiment) load(seed uint64, p *Problems) (load, error) {
	if e.Trace == nil {
		return newGeneratedLoad(e, seed), nil
	}
	p.Most = e.Trace.Problems
	return newTraceLoad(e, seed, p)
}

// Run executes all seeds with all variants in turn, so that changes on the machine during the experiment affect all
// variants alike.
func Run(e *Experiment, say func(format string, a ...any)) ([]*Figures, error) {
	var all []*Figures
	for n, seed := range e.Seeds {
		for i := range e.Variants {
			v := e.Variants[(i+n)%len(e.Variants)] // rotate, so that no variant is always the first
			p := &Problems{Tell: func(what string) {
				if n == 0 && i == 0 { // the bad rows are the same in every run
					say("%s", what)
				}
			}}
			var f *Figures
			var err error
			if e.Mode != "virtual" {
				f, err = runOnSockets(e, v, seed, p)
			} else {
				f, err = runVirtual(e, v, seed, nil, p)
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
				say("  %s", x.summary())
			}
			if f.Plan != nil {
				say("%s", f.Plan.summary())
			}
		}
	}
	return all, nil
}
